//! Hosts the instances: decodes a batch into one call for each, and encodes the replies.

mod values;
mod writer;

use merlinreel_policy::*;
use merlinreel_settings::{Paths, Settings};
use std::collections::HashMap;
use std::fmt::Write as _;
use std::time::Duration;
use values::{ListedEndpoint, Values, outcome, read_entry};
use writer::{Instance, NameTable, Reply, RequestState, count_parts, unhex};

/// A numbered list of the process; short while its entries still come in.
#[derive(Default)]
struct Pool {
    lines: Vec<ListedEndpoint>,
    missing: usize,
    broken: bool,
}

/// Every instance of this process, by its wire name; they share nothing but the lists.
#[derive(Default)]
pub struct Host {
    now: Duration,
    in_round: bool,
    instances: HashMap<String, Instance>,
    order: Vec<String>,
    current: Option<String>,
    pools: HashMap<u64, Pool>,
    filling: Option<u64>,
}

impl Host {
    /// Takes one line in. Gives the reply once the batch is over.
    pub fn line(&mut self, line: &str) -> Result<Option<String>, String> {
        let mut values = Values(line.split(' '));
        let message = values.text("message")?;
        if message != "ENTRY" {
            self.end_list()?;
        }
        match message {
            "ROUND" => {
                self.current = None;
                self.in_round = true;
                self.now = values.time("clock")?;
            }
            "OVER_TO_YOU" if !self.in_round => return Err("no round has begun".to_owned()),
            "OVER_TO_YOU" => return Ok(Some(self.reply())),
            "CONTEXT" => {
                self.current = None;
                self.current = Some(values.text("limiterId")?.to_owned());
            }
            "POOL" => {
                let list = values.integer("list")?;
                let missing = values.index("records", 1 << 20)? as usize;
                self.pools.insert(
                    list,
                    Pool {
                        missing,
                        ..Pool::default()
                    },
                );
                self.filling = Some(list);
            }
            "ENTRY" => self.entry(&mut values)?,
            "INIT" => self.init(&mut values)?,
            "TEARDOWN" => {
                let name = self.current.clone().ok_or("no instance is named")?;
                self.instances
                    .remove(&name)
                    .ok_or(format!("instance {name} is not known"))?;
            }
            "ENDPOINTS" | "JOB_IN" | "ACCEPTED" | "LEFT" | "SAMPLED" | "MAIL" | "REPLY" | "DUE"
            | "LEDGER_REPLY" => self.event(message, &mut values)?,
            other => return Err(format!("unknown message '{other}'")),
        }
        Ok(None)
    }

    fn end_list(&mut self) -> Result<(), String> {
        let Some(list) = self.filling.take() else {
            return Ok(());
        };
        match self.pools.get_mut(&list) {
            Some(pool) if pool.missing > 0 => {
                pool.broken = true;
                Err(format!("list {list} is {} entries short", pool.missing))
            }
            _ => Ok(()),
        }
    }

    fn entry(&mut self, values: &mut Values) -> Result<(), String> {
        let pool = self
            .filling
            .and_then(|list| self.pools.get_mut(&list))
            .ok_or("no list is open")?;
        if pool.missing == 0 {
            return Err("one entry more than the list states".to_owned());
        }
        pool.missing -= 1;
        let line = read_entry(values);
        pool.broken |= line.is_err();
        pool.lines.push(line?);
        Ok(())
    }

    fn init(&mut self, values: &mut Values) -> Result<(), String> {
        let name = self.current.clone().ok_or("no instance is named")?;
        let seed = values.integer("entropy")?;
        let settings: Vec<&str> = values.0.by_ref().collect();
        let instance = Instance {
            limiter: Settings::read(&Paths::from_pairs(&settings)?)?.limiter(seed),
            servers: NameTable::default(),
            requests: NameTable::default(),
            states: Vec::new(),
            round: EventBatch::default(),
            touched: true,
            freed: Vec::new(),
            forgotten: Vec::new(),
        };
        if !self.order.contains(&name) {
            self.order.push(name.clone());
        }
        self.instances.insert(name, instance);
        Ok(())
    }

    fn event(&mut self, message: &str, values: &mut Values) -> Result<(), String> {
        let name = self.current.as_ref().ok_or("no instance is named")?;
        let instance = self
            .instances
            .get_mut(name)
            .ok_or(format!("instance {name} is not known"))?;
        instance.touched = true;
        match message {
            "ENDPOINTS" => {
                let form = values.text("form")?;
                values.integer("serial")?;
                if form == "unavailable" {
                    instance.round.endpoint_updates.push(EndpointUpdate {
                        complete: false,
                        cached: false,
                        unavailable: true,
                        endpoints: Vec::new(),
                    });
                    return Ok(());
                }
                let list = values.integer("list")?;
                let pool = self
                    .pools
                    .get(&list)
                    .ok_or(format!("list {list} is not known"))?;
                if pool.broken || pool.missing > 0 {
                    return Err(format!("list {list} came in broken"));
                }
                let (complete, cached) = match form {
                    "update" => (false, false),
                    "replace" => (true, false),
                    "restored" => (true, true),
                    other => return Err(format!("form: unknown '{other}'")),
                };
                let endpoints = pool
                    .lines
                    .iter()
                    .map(|line| Endpoint {
                        server: instance.servers.add(&line.name),
                        ..line.entry
                    })
                    .collect();
                instance.round.endpoint_updates.push(EndpointUpdate {
                    complete,
                    cached,
                    unavailable: false,
                    endpoints,
                });
            }
            "JOB_IN" => {
                let id = values.text("req")?;
                let set_size = values.index("spread", 1 << 16)? as u32;
                let remaining_time = values.time("timeLeftS")?;
                let customer = values.integer("clientId")?;
                let plans = instance.limiter.plan_count();
                let classes = instance.limiter.class_count();
                let plan = values.index("package", plans as u64)? as usize;
                let class = values.index("lane", classes as u64)? as usize;
                let marks = values.optional("attrs")?.unwrap_or(0.0) as u32;
                let set_first = values.optional("setFrom")?.unwrap_or(0.0) as u32;
                let units = values.optional("quotaUnits")?.unwrap_or(1.0);
                if units < 0.0 {
                    return Err(format!("quotaUnits: {units} is below 0"));
                }
                if instance.requests.get(id).is_some() {
                    return Err(format!("job {id} came in twice"));
                }
                let request = instance.requests.add(id);
                *instance.state(request) = RequestState::default();
                instance.round.requests.push(Request {
                    id: request,
                    customer,
                    plan,
                    class,
                    units,
                    remaining_time,
                    set_size,
                    set_first,
                    is_retry: marks & 2 != 0,
                });
            }
            "ACCEPTED" => {
                if let Some(request) = instance.requests.get(values.text("req")?) {
                    instance.round.streaming.push(request);
                }
            }
            "LEFT" => {
                if let Some(request) = instance.requests.get(values.text("req")?) {
                    instance.round.disconnects.push(request);
                    instance.state(request).done = true;
                    instance.free_if_over(request);
                }
            }
            "SAMPLED" => {
                let name = values.text("server")?;
                let server = instance
                    .servers
                    .get(name)
                    .ok_or(format!("server {name} is not known"))?;
                let answered = outcome(values.text("stateCode")?)? == AttemptOutcome::Success;
                let took = values.time("waitTimeS")?;
                let load = values.load()?;
                instance.round.health_checks.push(HealthCheckResult {
                    server,
                    answered,
                    latency: took,
                    load,
                });
            }
            "MAIL" => {
                let from = values.index("src", 1 << 16)? as u32;
                let content = values.text("content")?;
                let bytes = unhex(content).ok_or(format!("content: '{content}' is not hex"))?;
                instance
                    .round
                    .peer_messages
                    .push(PeerMessage { from, bytes });
            }
            "REPLY" => {
                let id = values.text("req")?;
                let request = instance
                    .requests
                    .get(id)
                    .ok_or(format!("job {id} is not known"))?;
                let request_completed = values.flag("finished")?;
                let units = values.optional("cost")?.filter(|&cost| cost > 0.0);
                let name = values.text("server")?;
                let server = instance
                    .servers
                    .get(name)
                    .ok_or(format!("server {name} is not known"))?;
                let outcome = outcome(values.text("stateCode")?)?;
                let took = values.time("waitTimeS")?;
                let attempt = values.integer("seqNo")? as u32;
                let used = values.optional("quotaUse")?.filter(|&used| used >= 1.0);
                let load = values.load()?;
                let state = instance.state(request);
                if state.out == 0 {
                    return Err(format!("job {id} has no attempt out"));
                }
                state.out -= 1;
                state.done |= request_completed;
                let request_completed = state.done;
                instance.free_if_over(request);
                instance.round.attempt_results.push(AttemptResult {
                    request,
                    attempt,
                    server,
                    outcome,
                    latency: took,
                    request_completed,
                    units,
                    metered_usage: used.map(|used| (used - 1.0) / 100.0),
                    load,
                });
            }
            "DUE" => {
                values.text("token")?;
            }
            _ => {
                let total = values.optional("value")?;
                let code = values.text("stateCode")?;
                values.time("waitTimeS")?;
                let name = values.text("cname")?;
                let (customer, window) =
                    count_parts(name).ok_or(format!("cname: unknown '{name}'"))?;
                let outcome = outcome(code)?;
                instance.round.counter_replies.push(CounterReply {
                    customer,
                    window,
                    total: total.filter(|_| outcome == AttemptOutcome::Success),
                    not_added: outcome.never_ran(),
                });
            }
        }
        Ok(())
    }

    fn reply(&mut self) -> String {
        let mut out = String::new();
        self.in_round = false;
        self.current = None;
        for name in &self.order {
            let Some(instance) = self.instances.get_mut(name) else {
                continue;
            };
            if !std::mem::take(&mut instance.touched) {
                continue;
            }
            let round = std::mem::take(&mut instance.round);
            let _ = writeln!(out, "FOR {name}");
            let mut reply = Reply {
                out: &mut out,
                servers: &instance.servers,
                requests: &instance.requests,
                states: &mut instance.states,
                freed: &mut instance.freed,
                forgotten: &mut instance.forgotten,
            };
            instance.limiter.process(self.now, &round, &mut reply);
            instance
                .forgotten
                .drain(..)
                .for_each(|server| instance.servers.remove(server));
            for request in instance.freed.drain(..) {
                instance.requests.remove(request);
            }
        }
        out.push_str("READY\n");
        out
    }
}

#[cfg(test)]
mod tests;
