//! Servers: credits, health, cold starts, and the choice among them.

use super::*;

/// Six usual answers in a row unanswered hardly happen by chance; the bounds fit short outages. Where
/// many more are lost than slow ones make up, waiting is worth less: at one in nine, half as long.
pub(super) fn overdue_after(usual: f64, losing: f64) -> Duration {
    span((usual * 6.0 / (1.0 + 12.0 * (losing - 0.03).max(0.0))).clamp(0.1, 1.5))
}

/// One job in four is always waited for in full: else giving up the slow ones would make the usual answer
/// seem ever quicker and slow answers seem lost.
pub(super) fn watched(request: u32) -> bool {
    request.is_multiple_of(4)
}

/// The level over all credits: with many limiters each hears too seldom from one server, and its part is less
/// than a burst takes. Guards against parts unused while jobs wait, as limiters die or lose traffic. A
/// report tells of all limiters' work, so a few suffice: up while nothing waits at servers, down where a job
/// waits at each core. Without reports answers' times tell it, so slowly that some hundred double it.
pub(super) fn next_level(level: f64, strain: f64, pressed: bool, load: &LoadReport) -> f64 {
    let (down, up, fall, rise, most) = match (load.utilization, load.queued) {
        // Eight times: a limiter that has its neighbours' traffic too, in a hall with few servers left.
        (Some(busy), Some(waiting)) => (waiting >= 2.0, busy < 0.9 && waiting < 1.0, 0.8, 1.2, 8.0),
        _ => (strain > 0.8, strain < 0.65, 0.985, 1.005, 4.0),
    };
    let grown = if pressed && up { rise } else { 1.0 };
    (level * if down { fall } else { grown }).clamp(1.0, most)
}

/// Whether no server that this limiter sends to could be reached since it answered last. Guards against a fleet taken
/// for cold at a stroke after a fault of this limiter's own machine or network (source: local health in failure
/// detectors, Dadgar, Phillips and Currey, Lifeguard, 2017). A single server's own end looks alike: the list tells of
/// its start then.
pub(super) fn reaches_none(servers: &[Option<Server>]) -> bool {
    let mut regular = servers
        .iter()
        .flatten()
        .filter(|server| server.listed && !server.aside);
    regular.all(|server| server.unreachable_since.is_some())
}

impl Server {
    pub(super) fn new(entry: Endpoint, rules: &EndpointConfig, limiters: u32) -> Server {
        Server {
            entry,
            listed: true,
            // Starting value: eight attempts at a server, on machines of a few cores, over all limiters.
            credits: 4.0 / f64::from(limiters),
            sends: RollingWindow::new(rules.overload_window),
            ..Server::default()
        }
    }

    /// The share of its capacity that it surely has, from its last known start.
    pub(super) fn warmth(&self, now: Duration, rules: &EndpointConfig) -> f64 {
        let Some(since) = self.cold_since else {
            return 1.0;
        };
        let part = secs(now.saturating_sub(since)) / secs(rules.slow_start_duration).max(0.001);
        (rules.slow_start_fraction + (1.0 - rules.slow_start_fraction) * part).min(1.0)
    }

    /// Credits follow how long attempts take, whether answered or not, against what is long: guards
    /// against queues at the servers, which no limiter sees, and against work that nobody waits for.
    pub(super) fn pace(&mut self, now: Duration, took: f64, long: f64, floor: f64, pressed: bool) {
        self.slow += (took / long - self.slow) * 0.25;
        if self.slow > 1.0 && now >= self.cut_at {
            self.credits = (self.credits * 0.85).max(floor);
            // Not again before this cut can show; three long answers are soon enough for that.
            self.cut_at = now + span(took.min(long));
        } else if self.slow < 0.55 && pressed {
            // All limiters see the same quick answers: together they add a third of an attempt an answer each.
            let step = floor * 0.15 / (self.credits / floor).max(1.0);
            self.credits = (self.credits + step).min(32.0);
        }
    }

    /// A symptom that the server is not well: a rest that doubles, then one attempt on trial.
    pub(super) fn strike(&mut self, now: Duration) {
        self.strikes += 1;
        // From a quarter second, about a round of answers, up to 4 s, a fair part of a short outage.
        self.benched_until = now + span(0.125 * f64::from(1u32 << self.strikes.min(5)));
    }

    /// Fails far more than the fleet: what all servers share is not this one's doing.
    pub(super) fn fails(&self, erring: f64) -> bool {
        self.errors > 0.3 + erring
    }
}

impl Limiter {
    /// A first list of which no server would be warm: the clock is believed then, if it says that any is. Guards against a
    /// limiter that starts again within the hour of its servers' start and has nobody to send to.
    fn believe_clock(&mut self, now: Duration) {
        let rules = self.endpoint_config;
        let listed = || self.servers.iter().flatten().filter(|server| server.listed);
        let long_ago = |start: Duration| now >= start + rules.slow_start_duration;
        let any_warm = listed().any(|server| server.warmth(now, &rules) >= 1.0);
        if any_warm || !listed().any(|server| server.entry.started_at.is_some_and(long_ago)) {
            return;
        }
        for server in self
            .servers
            .iter_mut()
            .flatten()
            .filter(|server| server.listed)
        {
            server.cold_since = server.entry.started_at.map(|start| start.min(now));
        }
    }

    pub(super) fn follow(&mut self, now: Duration, endpoint_updates: &EndpointUpdate) {
        self.discovery_lost = endpoint_updates.unavailable;
        if endpoint_updates.unavailable {
            return;
        }
        let first = !self.servers.iter().flatten().any(|server| server.listed);
        let starts = endpoint_updates
            .endpoints
            .iter()
            .filter_map(|entry| entry.started_at);
        starts.for_each(|start| self.starts.hear(now, start));
        for server in self
            .servers
            .iter_mut()
            .flatten()
            .filter(|_| endpoint_updates.complete)
        {
            (server.listed, server.entry.state) = (false, EndpointState::Removed);
        }
        let limiters = self.fleet.limiters;
        for entry in &endpoint_updates.endpoints {
            let place = slot(&mut self.servers, entry.server);
            let known = place.is_some();
            let server =
                place.get_or_insert_with(|| Server::new(*entry, &self.endpoint_config, limiters));
            let restarted =
                entry.started_at.is_some() && entry.started_at != server.entry.started_at || !known;
            server.entry = *entry;
            server.listed = entry.state == EndpointState::Ready;
            if let Some(start) = entry.started_at.filter(|_| restarted) {
                let since = now.saturating_sub(self.starts.age(now, start));
                // Told of a start after it was seen to come back: the earlier start holds.
                server.cold_since = Some(server.cold_since.map_or(since, |seen| seen.max(since)));
                server.credits = server.credits.min(4.0 / f64::from(limiters));
            }
        }
        if first {
            self.believe_clock(now);
        }
    }

    /// Departure where limiters are many: each sends to a steady part of the servers, the next on the ring of
    /// their marks from a point of its own, which lie evenly; struck and cold ones count for what they bear.
    /// Guards against a connection an attempt, and against views too thin to tell a good server from a bad one.
    pub(super) fn keep_regulars(&mut self, now: Duration) {
        let rules = self.endpoint_config;
        let bears = |s: &Server| {
            if now >= s.benched_until {
                s.warmth(now, &rules)
            } else {
                0.0
            }
        };
        let mut ring: Vec<&mut Server> = self
            .servers
            .iter_mut()
            .flatten()
            .filter(|s| s.listed)
            .collect();
        ring.sort_by_key(|server| server.entry.ring_hash);
        // Ten limiters at each even out that some get several times the mean; six leave a choice in a zone.
        let most = (10.0 * ring.len() as f64 / f64::from(self.fleet.limiters)).max(6.0);
        let all: f64 = ring.iter().map(|server| bears(server)).sum();
        let start = ((f64::from(self.fleet.me) * 0.618).fract() * ring.len() as f64) as usize;
        let mut kept = 0.0;
        ring.rotate_left(start);
        for server in ring {
            server.aside = kept >= most;
            kept += if server.aside { 0.0 } else { bears(server) };
        }
        self.reach = if kept > 0.0 {
            (all / kept).max(1.0)
        } else {
            1.0
        };
    }

    /// What a warm server was sent of late. While none is warm what was last holds, and a cold one gets a
    /// attempt: guards against a fleet taken for cold at a stroke, which would idle.
    pub(super) fn gauge(&mut self, now: Duration) {
        let warm = |s: &&mut Server| {
            s.listed && !s.aside && s.cold_since.is_none() && now >= s.benched_until
        };
        let sends = self
            .servers
            .iter_mut()
            .flatten()
            .filter(warm)
            .map(|server| server.sends.sum(now));
        let (count, sum) = sends.fold((0.0, 0.0), |(count, sum), sends| (count + 1.0, sum + sends));
        let least = 1.0 / self.endpoint_config.slow_start_fraction.max(0.05);
        self.warm_sends = if count > 0.0 {
            sum / count
        } else {
            self.warm_sends.max(least)
        };
    }

    /// The server for an attempt: credit left there, and the least work in hand for its pace.
    pub(super) fn choose(&mut self, now: Duration, request: u32) -> Option<u32> {
        let open = self.requests[request as usize].as_ref()?;
        let class = &self.classes[open.request.class];
        let rules = &self.endpoint_config;
        // Where limiters are many, credits are parts of an attempt: all together bound what is out.
        let (mut credits, mut busy) = (0.0, 0.0);
        for server in self.servers.iter().flatten() {
            busy += f64::from(server.out);
            if server.listed && !server.aside && now >= server.benched_until {
                credits += server.credits * self.level * self.reach * server.warmth(now, rules);
            }
        }
        // Half of the credits left are room enough for what comes inside the quotas.
        self.idle = busy < 0.5 * credits && self.queue.is_empty();
        if busy + 1.0 > credits.max(1.0) {
            return None;
        }
        let origin = open
            .ran
            .and_then(|(server, _)| self.servers[server as usize].as_ref())
            .map(|s| s.entry);
        let mut best: Option<(f64, u32)> = None;
        for (i, server) in self.servers.iter_mut().enumerate() {
            let Some(server) = server else { continue };
            let has_one = open
                .attempts
                .iter()
                .any(|attempt| attempt.out && attempt.server == i as u32);
            // What may have run goes anywhere in its group, which may hold none of the regular ones.
            let aside = server.aside && origin.is_none();
            if has_one || aside || !server.listed || now < server.benched_until {
                continue;
            }
            if let (Some(origin), Idempotency::IdempotencyKey(group, _)) = (origin, class.repeats)
                && (group == IdempotencyScope::Zone && origin.zone != server.entry.zone
                    || group == IdempotencyScope::Cell && origin.cell != server.entry.cell)
            {
                continue;
            }
            let tried = open
                .attempts
                .iter()
                .filter(|attempt| attempt.server == i as u32)
                .count();
            let warmth = server.warmth(now, rules);
            if warmth >= 1.0 {
                server.cold_since = None;
            }
            let trial = server.strikes > 0 || server.fails(self.erring);
            let credits = if trial {
                server.credits.min(1.0)
            } else {
                server.credits * self.level * self.reach
            } * warmth;
            // A part of a credit is a whole one for part of the time, by turns among the limiters: not all
            // send to one server at once. Half a second outlasts most attempts, the golden ratio is even.
            let turn = i as f64 * 0.618 + secs(now).div_euclid(0.5) * 0.382;
            let turn = (turn + f64::from(self.fleet.me) / f64::from(self.fleet.limiters)).fract();
            let credits = credits.floor() + f64::from(u8::from(turn < credits.fract()));
            // A credit comes back with an answer, or once the attempt is overdue (see `watch`).
            if f64::from(server.out) + 1.0 > credits {
                continue;
            }
            // All limiters together send a cold server what warm ones get, times the warmth, far inside the
            // multiple allowed: a part of an attempt a window is a whole one in some of the window's turns.
            let part = self.warm_sends * warmth - server.sends.sum(now);
            if warmth < 1.0 && part < 1.0 && turn * secs(rules.overload_window) >= part * 0.5 {
                continue;
            }
            let took = if server.took > 0.0 {
                server.took
            } else {
                self.usual
            };
            let far = if server.entry.zone == rules.zone {
                1.0
            } else {
                1.02
            };
            let luck = 1.0 + 0.05 * self.chance.generate::<f64>();
            let doubt = (1.0 - server.errors).max(0.05).powi(4);
            let cost = took * f64::from(server.out + 1) * far * luck * (1 + tried) as f64 / doubt;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, i as u32));
            }
        }
        best.map(|(_, server)| server)
    }

    /// Gives up on answers long overdue: the credit comes back, as a server that lives has done the work;
    /// one that answered nothing since is struck; what may be sent again is taken back. Guards against
    /// hangs as well as answers lost on the way from servers that work, which must not starve the credits.
    pub(super) fn watch(&mut self, now: Duration, actions: &mut dyn Actions) {
        let patience = overdue_after(self.usual, self.losing);
        let most = self.request_limits.max_attempts as usize;
        for open in self.requests.iter_mut().flatten() {
            let again = match self.classes[open.request.class].repeats {
                Idempotency::Idempotent => true,
                Idempotency::IdempotencyKey(_, memory) => {
                    open.attempts.iter().all(|t| now < t.sent + memory / 2)
                }
                Idempotency::NonIdempotent => false,
            };
            let again = again && !open.done && open.attempts.len() < most && now < open.target;
            for (n, attempt) in open.attempts.iter_mut().enumerate() {
                let full = watched(open.request.id);
                let patience = if full {
                    overdue_after(self.usual, 0.0)
                } else {
                    patience
                };
                if !attempt.out || attempt.overdue || now <= attempt.sent + patience {
                    continue;
                }
                attempt.overdue = true;
                if let Some(server) = &mut self.servers[attempt.server as usize] {
                    server.out = server.out.saturating_sub(1);
                    self.losing += (1.0 - self.losing) * if full { 0.02 } else { 0.0 };
                    if server.owing_since <= attempt.sent
                        && now > server.owing_since + overdue_after(self.usual, 0.0)
                    {
                        server.strike(now);
                    }
                }
                if again
                    && self.request_limits.cancellation
                    && !std::mem::replace(&mut attempt.revoked, true)
                {
                    actions.cancel_attempt(open.request.id, n as u32);
                }
            }
        }
    }
}
