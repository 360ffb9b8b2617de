//! Hosts the instances: decodes a batch into one call for each, and encodes the replies.

use merlinreel_core::decide::Limiter;
use merlinreel_core::*;
use merlinreel_settings::{Paths, Terms};
use std::collections::HashMap;
use std::fmt::Write as _;
use std::time::Duration;

/// Ids of one kind, each mapped to a small index at the door.
#[derive(Default)]
struct Names {
    index: HashMap<String, u32>,
    names: Vec<String>,
    free: Vec<u32>,
}

impl Names {
    fn add(&mut self, name: &str) -> u32 {
        if let Some(&i) = self.index.get(name) {
            return i;
        }
        let i = match self.free.pop() {
            Some(i) => {
                self.names[i as usize] = name.to_owned();
                i
            }
            None => {
                self.names.push(name.to_owned());
                self.names.len() as u32 - 1
            }
        };
        self.index.insert(name.to_owned(), i);
        i
    }

    fn get(&self, name: &str) -> Option<u32> {
        self.index.get(name).copied()
    }

    fn remove(&mut self, i: u32) {
        self.index.remove(&self.names[i as usize]);
        self.free.push(i);
    }
}

/// Where a job stands on the wire; its index is free again once it is done and nothing is out.
#[derive(Clone, Copy, Default)]
struct JobState {
    out: u32,
    attempts: u32,
    done: bool,
}

struct Instance {
    limiter: Limiter,
    servers: Names,
    jobs: Names,
    states: Vec<JobState>,
    round: Round,
    touched: bool,
    freed: Vec<u32>,
    forgotten: Vec<u32>,
}

impl Instance {
    fn state(&mut self, job: u32) -> &mut JobState {
        let i = job as usize;
        if i >= self.states.len() {
            self.states.resize(i + 1, JobState::default());
        }
        &mut self.states[i]
    }

    fn free_if_over(&mut self, job: u32) {
        let state = *self.state(job);
        if state.done && state.out == 0 && !self.freed.contains(&job) {
            self.freed.push(job);
        }
    }
}

struct Reply<'a> {
    out: &'a mut String,
    servers: &'a Names,
    jobs: &'a Names,
    states: &'a mut Vec<JobState>,
    freed: &'a mut Vec<u32>,
    forgotten: &'a mut Vec<u32>,
}

impl Reply<'_> {
    fn close(&mut self, job: u32) {
        let state = &mut self.states[job as usize];
        if !state.done {
            state.done = true;
            if state.out == 0 {
                self.freed.push(job);
            }
        }
    }

    fn line(&mut self, text: std::fmt::Arguments) {
        // Writing to a string cannot fail.
        let _ = self.out.write_fmt(text);
        self.out.push('\n');
    }
}

fn hex(bytes: &[u8]) -> String {
    if bytes.is_empty() {
        return "-".to_owned();
    }
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    if text == "-" {
        return Some(Vec::new());
    }
    if !text.len().is_multiple_of(2) || !text.is_ascii() {
        return None;
    }
    (0..text.len()).step_by(2).map(|i| u8::from_str_radix(&text[i..i + 2], 16).ok()).collect()
}

fn count_name(customer: u64, window: u64) -> String {
    format!("{customer:x}.{window:x}")
}

fn count_parts(name: &str) -> Option<(u64, u64)> {
    let (customer, window) = name.split_once('.')?;
    Some((u64::from_str_radix(customer, 16).ok()?, u64::from_str_radix(window, 16).ok()?))
}

impl Writer for Reply<'_> {
    /// A window runs to the sending here, so that nothing is late by the way there.
    fn send(&mut self, job: u32, server: u32, _within: Option<Duration>) {
        let (id, name) = (&self.jobs.names[job as usize], &self.servers.names[server as usize]);
        let _ = writeln!(self.out, "SUBMIT_TO {id} {name} 0.000000");
        let state = &mut self.states[job as usize];
        state.out += 1;
        state.attempts += 1;
    }

    fn defer(&mut self, job: u32, retry_after: Option<Duration>) {
        let wait = retry_after.map_or(0.0, |wait| wait.as_secs_f64());
        let id = &self.jobs.names[job as usize];
        let _ = writeln!(self.out, "NOT_NOW {id} {wait:.6}");
        self.close(job);
    }

    fn scrap(&mut self, job: u32) {
        let _ = writeln!(self.out, "FAIL {}", self.jobs.names[job as usize]);
        self.close(job);
    }

    fn revoke(&mut self, job: u32, attempt: u32) {
        let _ = writeln!(self.out, "REVOKE {} {attempt}", self.jobs.names[job as usize]);
    }

    fn probe(&mut self, server: u32) {
        let _ = writeln!(self.out, "TOUCH {}", self.servers.names[server as usize]);
    }

    fn tell(&mut self, limiter: u32, peer_message: &[u8]) {
        self.line(format_args!("MEMO_TO {limiter} {}", hex(peer_message)));
    }

    fn count(&mut self, customer: u64, window: u64, amount: f64, keep: Duration) {
        let name = count_name(customer, window);
        self.line(format_args!("POST_AMOUNT {:.6} {amount} {name}", keep.as_secs_f64()));
    }

    fn follow_discovery(&mut self, on: bool) {
        self.line(format_args!("TRACK {}", u8::from(on)));
    }

    fn ask_discovery(&mut self) {
        self.line(format_args!("LOOKUP"));
    }

    fn close_idle(&mut self, server: u32) {
        let _ = writeln!(self.out, "CLOSE_IDLE {}", self.servers.names[server as usize]);
    }

    fn forget(&mut self, server: u32) {
        self.forgotten.push(server);
    }

    fn wake(&mut self, after: Duration) {
        self.line(format_args!("AFTER wake {:.6}", after.as_secs_f64()));
    }

    fn note(&mut self, text: &str) {
        self.line(format_args!("SAY_LOG {}", text.replace('\n', " ")));
    }
}

/// The values of one message, read from left to right; each complaint names the value.
struct Values<'a>(std::str::Split<'a, char>);

impl<'a> Values<'a> {
    fn text(&mut self, name: &str) -> Result<&'a str, String> {
        match self.0.next() {
            Some(text) if !text.is_empty() => Ok(text),
            _ => Err(format!("{name} is missing")),
        }
    }

    /// None for an absent value, also at the end of a line that was cut after it.
    fn optional(&mut self, name: &str) -> Result<Option<f64>, String> {
        match self.0.next() {
            None | Some("" | "-") => Ok(None),
            Some(text) => match text.parse::<f64>() {
                Ok(value) if value.is_finite() => Ok(Some(value)),
                _ => Err(format!("{name}: '{text}' is not a number")),
            },
        }
    }

    fn number(&mut self, name: &str) -> Result<f64, String> {
        self.optional(name)?.ok_or(format!("{name} is missing"))
    }

    fn integer(&mut self, name: &str) -> Result<u64, String> {
        let text = self.text(name)?;
        text.parse().map_err(|_| format!("{name}: '{text}' is not a whole number"))
    }

    fn index(&mut self, name: &str, below: u64) -> Result<u64, String> {
        match self.integer(name)? {
            value if value < below => Ok(value),
            value => Err(format!("{name}: {value} is out of range")),
        }
    }

    fn time(&mut self, name: &str) -> Result<Duration, String> {
        let seconds = self.number(name)?;
        Duration::try_from_secs_f64(seconds).map_err(|_| format!("{name}: {seconds} is no time"))
    }

    fn flag(&mut self, name: &str) -> Result<bool, String> {
        match self.text(name)? {
            "1" => Ok(true),
            "0" => Ok(false),
            text => Err(format!("{name}: '{text}' is neither 1 nor 0")),
        }
    }

    fn load(&mut self) -> Result<Load, String> {
        let mut load = Load::default();
        let text = match self.0.next() {
            None | Some("" | "-") => return Ok(load),
            Some(text) => text,
        };
        for pair in text.split(',') {
            let (name, value) = pair.split_once(':').ok_or(format!("feedback: '{pair}' is no pair"))?;
            let value = match value.parse::<f64>() {
                Ok(value) if value.is_finite() => value,
                _ => return Err(format!("feedback: '{value}' is not a number")),
            };
            match name {
                "busy_reqs" => load.in_hand = Some(value),
                "pending" => load.waiting = Some(value),
                "cpu_share" => load.busy = Some(value),
                "svc_ms" => load.service_ms = Some(value),
                "served_ps" => load.served_per_s = Some(value),
                "failed_ps" => load.errors_per_s = Some(value),
                _ => {}
            }
        }
        Ok(load)
    }
}

fn ending(code: &str) -> Result<Ending, String> {
    Ok(match code {
        "delivered" => Ending::Fulfilled,
        "app_error" => Ending::Error,
        "shed" => Ending::TurnedAway,
        "expired" => Ending::Expired,
        "dial_failed" => Ending::NoConnection,
        "dropped" => Ending::Dropped,
        "revoked" => Ending::Revoked,
        "unused" => Ending::Unsent,
        other => return Err(format!("stateCode: unknown '{other}'")),
    })
}

struct Line {
    name: String,
    entry: ServerEntry,
}

/// A numbered list of the process; short while its entries still come in.
#[derive(Default)]
struct Pool {
    lines: Vec<Line>,
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
                self.pools.insert(list, Pool { missing, ..Pool::default() });
                self.filling = Some(list);
            }
            "ENTRY" => self.entry(&mut values)?,
            "INIT" => self.init(&mut values)?,
            "TEARDOWN" => {
                let name = self.current.clone().ok_or("no instance is named")?;
                self.instances.remove(&name).ok_or(format!("instance {name} is not known"))?;
            }
            "ENDPOINTS" | "JOB_IN" | "ACCEPTED" | "LEFT" | "SAMPLED" | "MAIL" | "REPLY" | "DUE"
            | "LEDGER_REPLY" => self.event(message, &mut values)?,
            other => return Err(format!("unknown message '{other}'")),
        }
        Ok(None)
    }

    fn end_list(&mut self) -> Result<(), String> {
        let Some(list) = self.filling.take() else { return Ok(()) };
        match self.pools.get_mut(&list) {
            Some(pool) if pool.missing > 0 => {
                pool.broken = true;
                Err(format!("list {list} is {} entries short", pool.missing))
            }
            _ => Ok(()),
        }
    }

    fn entry(&mut self, values: &mut Values) -> Result<(), String> {
        let pool = self.filling.and_then(|list| self.pools.get_mut(&list)).ok_or("no list is open")?;
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
            limiter: Terms::read(&Paths::from_pairs(&settings)?)?.limiter(seed),
            servers: Names::default(),
            jobs: Names::default(),
            states: Vec::new(),
            round: Round::default(),
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
        let instance = self.instances.get_mut(name).ok_or(format!("instance {name} is not known"))?;
        instance.touched = true;
        match message {
            "ENDPOINTS" => {
                let form = values.text("form")?;
                values.integer("serial")?;
                if form == "unavailable" {
                    instance.round.server_list.push(ServerList {
                        whole: false,
                        restored: false,
                        unavailable: true,
                        entries: Vec::new(),
                    });
                    return Ok(());
                }
                let list = values.integer("list")?;
                let pool = self.pools.get(&list).ok_or(format!("list {list} is not known"))?;
                if pool.broken || pool.missing > 0 {
                    return Err(format!("list {list} came in broken"));
                }
                let (whole, restored) = match form {
                    "update" => (false, false),
                    "replace" => (true, false),
                    "restored" => (true, true),
                    other => return Err(format!("form: unknown '{other}'")),
                };
                let entries = pool
                    .lines
                    .iter()
                    .map(|line| ServerEntry { server: instance.servers.add(&line.name), ..line.entry })
                    .collect();
                instance.round.server_list.push(ServerList { whole, restored, unavailable: false, entries });
            }
            "JOB_IN" => {
                let id = values.text("req")?;
                let set_size = values.index("spread", 1 << 16)? as u32;
                let time_left = values.time("timeLeftS")?;
                let customer = values.integer("clientId")?;
                let (plans, categories) = instance.limiter.sizes();
                let plan = values.index("package", plans as u64)? as usize;
                let category = values.index("lane", categories as u64)? as usize;
                let marks = values.optional("attrs")?.unwrap_or(0.0) as u32;
                let set_first = values.optional("setFrom")?.unwrap_or(0.0) as u32;
                let units = values.optional("quotaUnits")?.unwrap_or(1.0);
                if units < 0.0 {
                    return Err(format!("quotaUnits: {units} is below 0"));
                }
                if instance.jobs.get(id).is_some() {
                    return Err(format!("job {id} came in twice"));
                }
                let job = instance.jobs.add(id);
                *instance.state(job) = JobState::default();
                instance.round.jobs.push(Job {
                    job,
                    customer,
                    plan,
                    category,
                    units,
                    time_left,
                    set_size,
                    set_first,
                    again: marks & 2 != 0,
                });
            }
            "ACCEPTED" => {
                if let Some(job) = instance.jobs.get(values.text("req")?) {
                    instance.round.streaming.push(job);
                }
            }
            "LEFT" => {
                if let Some(job) = instance.jobs.get(values.text("req")?) {
                    instance.round.left.push(job);
                    instance.state(job).done = true;
                    instance.free_if_over(job);
                }
            }
            "SAMPLED" => {
                let name = values.text("server")?;
                let server = instance.servers.get(name).ok_or(format!("server {name} is not known"))?;
                let answered = ending(values.text("stateCode")?)? == Ending::Fulfilled;
                let took = values.time("waitTimeS")?;
                let load = values.load()?;
                instance.round.probes.push(ProbeAnswer { server, answered, took, load });
            }
            "MAIL" => {
                let from = values.index("src", 1 << 16)? as u32;
                let content = values.text("content")?;
                let bytes = unhex(content).ok_or(format!("content: '{content}' is not hex"))?;
                instance.round.peer_messages.push(PeerMessage { from, bytes });
            }
            "REPLY" => {
                let id = values.text("req")?;
                let job = instance.jobs.get(id).ok_or(format!("job {id} is not known"))?;
                let finished = values.flag("finished")?;
                let units = values.optional("cost")?.filter(|&cost| cost > 0.0);
                let name = values.text("server")?;
                let server = instance.servers.get(name).ok_or(format!("server {name} is not known"))?;
                let ending = ending(values.text("stateCode")?)?;
                let took = values.time("waitTimeS")?;
                let attempt = values.integer("seqNo")? as u32;
                let used = values.optional("quotaUse")?.filter(|&used| used >= 1.0);
                let load = values.load()?;
                let state = instance.state(job);
                if state.out == 0 {
                    return Err(format!("job {id} has no attempt out"));
                }
                state.out -= 1;
                state.done |= finished;
                let finished = state.done;
                instance.free_if_over(job);
                instance.round.attempt_ends.push(AttemptEnd {
                    job,
                    attempt,
                    server,
                    ending,
                    took,
                    finished,
                    units,
                    metered: used.map(|used| (used - 1.0) / 100.0),
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
                let (customer, window) = count_parts(name).ok_or(format!("cname: unknown '{name}'"))?;
                let ending = ending(code)?;
                instance.round.counts.push(CountAnswer {
                    customer,
                    window,
                    total: total.filter(|_| ending == Ending::Fulfilled),
                    not_added: ending.never_ran(),
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
            let Some(instance) = self.instances.get_mut(name) else { continue };
            if !std::mem::take(&mut instance.touched) {
                continue;
            }
            let round = std::mem::take(&mut instance.round);
            let _ = writeln!(out, "FOR {name}");
            let mut reply = Reply {
                out: &mut out,
                servers: &instance.servers,
                jobs: &instance.jobs,
                states: &mut instance.states,
                freed: &mut instance.freed,
                forgotten: &mut instance.forgotten,
            };
            instance.limiter.round(self.now, &round, &mut reply);
            instance.forgotten.drain(..).for_each(|server| instance.servers.remove(server));
            for job in instance.freed.drain(..) {
                instance.jobs.remove(job);
            }
        }
        out.push_str("READY\n");
        out
    }
}

fn read_entry(values: &mut Values) -> Result<Line, String> {
    let name = values.text("server")?.to_owned();
    let zone = values.integer("failureDomain")? as u32;
    values.integer("shape")?;
    let cell = values.integer("cluster")? as u32;
    let standing = match values.text("readiness")? {
        "U" => Standing::Up,
        "L" => Standing::Draining,
        "D" => Standing::Gone,
        other => return Err(format!("readiness: unknown '{other}'")),
    };
    let weight = values.optional("scale")?.unwrap_or(1.0);
    let up_since = match values.optional("upSinceS")? {
        Some(at) if at > 0.0 => Duration::try_from_secs_f64(at).ok(),
        _ => None,
    };
    let entry = ServerEntry { server: 0, mark: mark(&name), zone, cell, standing, weight, up_since };
    Ok(Line { name, entry })
}

#[cfg(test)]
mod tests;
