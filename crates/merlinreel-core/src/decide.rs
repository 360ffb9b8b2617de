//! All decisions of a limiter. How to call it: `Limiter::new` once at start, then `Limiter::round`
//! with the clock, all that came in since the last round, and a `Writer` that takes the decisions.
//! The plain data and the writer are the interface, in `lib.rs`; `peer_message.rs` holds the bytes of a
//! batch between limiters. Docs: `docs/design.md`, `docs/on-call.md`.

use crate::job::{Attempt, OpenJob};
use crate::peer_message::{self, Row};
use crate::remote_counts::Reading;
use crate::ring::Ring;
pub use crate::state::Limiter;
use crate::state::{Account, Listener, Server, secs, slot, span};
use crate::store::window_length;
use crate::*;
use nanorand::Rng;

/// Rows that surely fit into the one peer message that a peer's inbox takes: twelve bytes of head, nine a row.
const ROWS: usize = (peer_message::MOST_BYTES - 12) / 9;
/// Buckets of all rings: what is measured is then true to an eighth.
pub(crate) const BUCKETS: usize = 8;

// ---- Quotas: one account per customer, counted in clock-aligned windows ----

/// What is asked is measured over some reports of each limiter, and soon forgotten after a burst.
pub(crate) const ASKED_OVER: Duration = Duration::from_secs(3);
/// How long one that asked is told by the gatherer, and so how long a reading holds; who goes on using a customer asks
/// sooner again.
const LISTENED: Duration = Duration::from_secs(5);

/// Readings passed on in a peer message, beside its own rows: each of some thirty customers then reaches each limiter, which
/// takes tens of peer messages a second, about once a second.
const SAID: usize = 2;

/// Departure where one limiter gathers: a try's chance. Less as the store empties and as more is asked, so
/// use settles at the refill with a third of the store left, however old the reading is.
fn draw(left: f64, pace: f64, plan: &Plan) -> f64 {
    (left / (pace.max(plan.rate) * window_length(plan) / 3.0)).clamp(0.0, 1.0)
}

/// Departure where one gathers: what its gatherer or another read of a customer that asks for more than its quota goes
/// along with each peer message. Guards against hundreds of limiters each letting in a first job of a quota that is used up.
fn passed_on(reading: &Reading, plan: &Plan) -> bool {
    let pressed = reading.pace > plan.rate && draw(reading.left, reading.pace, plan) < 1.0;
    pressed && reading.age < LISTENED / 2
}

impl Account {
    /// The retry-after: to the window's end, or sooner, where the even refill covers the job before.
    fn opens_in(&self, now: Duration, plan: &Plan, units: f64) -> f64 {
        let edge = window_length(plan) * (self.window + 1) as f64 - secs(now);
        // Twice the units, as peers wait for the refill too.
        let refill = (2.0 * units - self.left(now, plan)) / plan.rate.max(0.001);
        edge.min(refill.max(0.05))
    }

    /// Limiters that this quota is split over while they are blind to each other: those that used it lately,
    /// as far as they are likely to take from it in that time. A slow customer's is hardly split.
    fn sharers(&self, now: Duration, plan: &Plan, blind: f64, peers: Peers) -> f64 {
        let set = f64::from(self.set_size.max(1));
        if now < self.split_until {
            return set;
        }
        let told = |i: usize, p: usize| self.heard[i].get(p).is_some_and(|&units| units > 0.0);
        let all = self.heard[0].len().max(self.heard[1].len());
        let told = (0..all).filter(|&p| told(0, p) || told(1, p)).count() as f64;
        let used = self.others(0) + self.others(1);
        let others = if peers.counter && used > 0.0 { set - 1.0 } else { told };
        let seen_for = secs(now) - (self.window.saturating_sub(1)) as f64 * window_length(plan);
        let pace = (self.tries.iter().sum::<f64>() * others).max(used) / seen_for.max(0.1);
        // Twice what is expected of them, as they come in bursts.
        1.0 + others.min(2.0 * pace * blind)
    }

    fn admits(&self, now: Duration, plan: &Plan, units: f64, blind: f64, peers: Peers, lot: f64) -> bool {
        if plan.most_open > 0 && self.out >= (plan.most_open / self.set_size.max(1)).max(1) {
            return false;
        }
        if plan.rate <= 0.0 {
            return true;
        }
        let left = self.left(now, plan);
        if let Some(pace) = self.pace_known(now, LISTENED) {
            let left = left.min(self.thought(now, plan));
            return left >= units && lot <= draw(left, pace, plan);
        }
        let share = (left + self.untold) / self.sharers(now, plan, blind, peers) - self.untold;
        let first = now < self.split_until && self.untold == 0.0;
        left >= units && (first || units <= share)
    }

    /// Guards the hard ceiling alone, whatever peers do: each limiter of the set keeps a part of its
    /// own, which starts empty but for half the slack, as a restart finds the store as it stands.
    fn under_ceiling(&mut self, now: Duration, plan: &Plan, units: f64) -> bool {
        if plan.ceiling_rate <= 0.0 {
            return true;
        }
        let part = f64::from(self.set_size.max(1));
        let gained = secs(now.saturating_sub(self.ceiling_at)) * plan.ceiling_rate / part;
        self.ceiling = (self.ceiling + gained).min(plan.ceiling_depth / part);
        self.ceiling_at = now;
        units <= self.ceiling + plan.ceiling_slack / part / 2.0
    }

    /// Departure for limiters too many to tell each other in time: one of a customer's set gathers the
    /// counts and tells the others what is left; the next of the set does while that one is silent.
    fn gatherer(&self, peers: Peers, owing: &[u32]) -> u32 {
        let set = u64::from(self.set_size.max(1));
        // A multiplier with well mixed bits spreads customers over their sets.
        let start = self.customer.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
        let place = |k| (self.set_first % peers.limiters + ((start + k) % set) as u32) % peers.limiters;
        // Five peer messages unanswered: some are lost, and two that gather for one customer tell too much.
        let fit = |&p: &u32| p == peers.me || owing[p as usize] < 5;
        (0..set).map(place).find(fit).unwrap_or(peers.me)
    }

    /// Tells who asked of late, where what is left is not what they must think.
    fn tell_listeners(&mut self, now: Duration, plan: &Plan) {
        let (left, asked) = (self.left(now, plan), self.asked(now, ASKED_OVER));
        let thought = draw(self.thought(now, plan), self.pace.unwrap_or(0.0), plan);
        let true_one = draw(left, asked, plan);
        // A third more or less is no more than use varies by chance.
        if (true_one - thought).abs() > 0.35 * true_one.max(thought) {
            (self.told_left, self.pace, self.told_at) = (left, Some(asked), now);
            self.listeners.iter_mut().for_each(|listener| listener.owed = true);
        }
        self.listeners.retain(|listener| now < listener.heard + LISTENED);
    }
}

// ---- Servers: credits, health, cold starts ----

/// Six usual answers in a row unanswered hardly happen by chance; the bounds fit short outages. Where
/// many more are lost than slow ones make up, waiting is worth less: at one in nine, half as long.
fn overdue_after(usual: f64, losing: f64) -> Duration {
    span((usual * 6.0 / (1.0 + 12.0 * (losing - 0.03).max(0.0))).clamp(0.1, 1.5))
}

/// One job in four is always waited for in full: else giving up the slow ones would make the usual answer
/// seem ever quicker and slow answers seem lost.
fn watched(job: u32) -> bool {
    job.is_multiple_of(4)
}

/// The level over all credits: with many limiters each hears too seldom from one server, and its part is less
/// than a burst takes. Guards against parts unused while jobs wait, as limiters die or lose traffic. A
/// report tells of all limiters' work, so a few suffice: up while nothing waits at servers, down where a job
/// waits at each core. Without reports answers' times tell it, so slowly that some hundred double it.
fn next_level(level: f64, strain: f64, pressed: bool, load: &Load) -> f64 {
    let (down, up, fall, rise, most) = match (load.busy, load.waiting) {
        // Eight times: a limiter that has its neighbours' traffic too, in a hall with few servers left.
        (Some(busy), Some(waiting)) => (waiting >= 2.0, busy < 0.9 && waiting < 1.0, 0.8, 1.2, 8.0),
        _ => (strain > 0.8, strain < 0.65, 0.985, 1.005, 4.0),
    };
    let grown = if pressed && up { rise } else { 1.0 };
    (level * if down { fall } else { grown }).clamp(1.0, most)
}

impl Server {
    fn new(entry: ServerEntry, rules: &ServerRules, limiters: u32) -> Server {
        Server {
            entry,
            listed: true,
            // Starting value: eight attempts at a server, on machines of a few cores, over all limiters.
            credits: 4.0 / f64::from(limiters),
            sends: Ring::new(rules.fall_time),
            ..Server::default()
        }
    }

    /// The share of its capacity that it surely has, from its last known start.
    fn warmth(&self, now: Duration, rules: &ServerRules) -> f64 {
        let Some(since) = self.cold_since else { return 1.0 };
        let part = secs(now.saturating_sub(since)) / secs(rules.warm_after).max(0.001);
        (rules.start_share + (1.0 - rules.start_share) * part).min(1.0)
    }

    /// Credits follow how long attempts take, whether answered or not, against what is long: guards
    /// against queues at the servers, which no limiter sees, and against work that nobody waits for.
    fn pace(&mut self, now: Duration, took: f64, long: f64, floor: f64, pressed: bool) {
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
    fn strike(&mut self, now: Duration) {
        self.strikes += 1;
        // From a quarter second, about a round of answers, up to 4 s, a fair part of a short outage.
        self.benched_until = now + span(0.125 * f64::from(1u32 << self.strikes.min(5)));
    }

    /// Fails far more than the fleet: what all servers share is not this one's doing.
    fn fails(&self, erring: f64) -> bool {
        self.errors > 0.3 + erring
    }
}

/// How long the client has waited over earlier tries. First tries of a category come with one and the same
/// time left; a rarer one is what the outer limit leaves of a later try. Guards quota and servers against
/// retries too late to earn. Clients that change their time-outs could suffer: so it forgets fast.
fn elapsed(left: Duration, seen: &mut [f64], firsts: &mut f64, outer_limit: Duration) -> Duration {
    let steps = seen.len() - 2;
    let part = secs(left) / secs(outer_limit).max(0.001);
    let i = 1 + ((part * steps as f64) as usize).min(steps - 1);
    let total: f64 = seen.iter().sum();
    seen[i] += 1.0;
    // A tenth is less than first tries make up in any storm of retries; 30 tries tell enough.
    let common = total < 30.0 || seen[i - 1..=i + 1].iter().sum::<f64>() >= 0.1 * total;
    // 400 tries bring a new common value up within some dozens.
    if total > 400.0 {
        seen.iter_mut().for_each(|tries| *tries /= 2.0);
    }
    *firsts += (f64::from(u8::from(common)) - *firsts) * 0.02;
    if common || *firsts < 0.15 { Duration::ZERO } else { outer_limit.saturating_sub(left) }
}

impl Limiter {
    pub fn new(
        seed: u64,
        plans: Vec<Plan>,
        categories: Vec<Category>,
        peers: Peers,
        server_rules: ServerRules,
        job_rules: JobRules,
    ) -> Limiter {
        // Until answers are seen; two and a half of them do not bind then.
        let fifth = categories.iter().map(|c| secs(c.target_time) / 5.0).fold(1.0, f64::min);
        Limiter {
            usual: fifth,
            calm: fifth,
            level: 1.0,
            // Half a minute of buckets outlasts most surges.
            answers: Ring::new(Duration::from_secs(32)),
            answer_times: Ring::new(Duration::from_secs(32)),
            // As an inbox is measured.
            word: Ring::new(Duration::from_secs(1)),
            last_peer_message: vec![(0, 0); peers.limiters as usize],
            owing: vec![0; peers.limiters as usize],
            told_peer: vec![Duration::ZERO; peers.limiters as usize],
            // Starting value: a thousand a second over all limiters, little for a service made for it.
            calls: 20.0 / f64::from(peers.limiters),
            // Steps of a 128th are finer than retries spread and coarser than the way here varies.
            left_seen: vec![(vec![0.0; 130], 1.0); categories.len()],
            ..Limiter::empty(seed, plans, categories, peers, server_rules, job_rules)
        }
    }

    fn message_interval(&self) -> Duration {
        // As short as the peers' inboxes surely take: three quarters, never under 20 ms.
        let others = f64::from(self.peers.limiters.saturating_sub(1));
        span((others / (0.75 * self.peers.inbox_per_s.max(1.0))).max(0.02))
    }

    /// Counter answers come in a few ms; a tenth of a second is soon enough for what waits without.
    fn beat(&self) -> Duration {
        let most = Duration::from_millis(if self.peers.counter { 20 } else { 100 });
        most.min(self.message_interval())
    }

    /// A round of peer messages that takes longer than this leaves most readings older than a burst lasts.
    fn gathers(&self) -> bool {
        self.peers.peer_messages && self.message_interval() > Duration::from_millis(600)
    }

    pub fn round(&mut self, now: Duration, round: &Round, out: &mut dyn Writer) {
        self.discovery_lost |= self.started.is_none() && self.server_rules.discovery_on_request;
        self.started.get_or_insert(now);
        round.server_list.iter().for_each(|server_list| self.follow(server_list));
        round.peer_messages.iter().for_each(|peer_message| self.read_peer_message(now, peer_message));
        round.counts.iter().for_each(|answer| self.read_count(now, answer));
        round.attempt_ends.iter().for_each(|end| self.end_attempt(now, end, out));
        round.streaming.iter().for_each(|&job| self.answer_begins(now, job));
        for job in round.jobs.iter().filter(|job| !round.left.contains(&job.job)) {
            self.take(now, job, out);
        }
        round.left.iter().for_each(|&job| self.close(job, out));
        if now >= self.beat_at {
            self.beat_at = now + self.beat();
            self.sync(now, out);
            // Half a second spares a server list that is pressed, and is far under what the rule allows.
            if self.discovery_lost && now >= self.discovery_at + Duration::from_millis(500) {
                self.discovery_at = now;
                out.follow_discovery(true);
            }
            self.watch(now, out);
            self.keep_regulars(now);
            self.gauge(now);
            self.forget(now, out);
        }
        self.dispatch(now, out);
        if self.woken_at <= now {
            self.woken_at = self.beat_at;
            out.wake(self.beat_at.saturating_sub(now).max(Duration::from_millis(1)));
        }
    }

    // ---- Quotas ----

    /// Drops what no window, job or peer message needs. Guards the memory against customers that come once, and
    /// servers replaced without end; half a minute spares those that come back.
    fn forget(&mut self, now: Duration, out: &mut dyn Writer) {
        if now < self.swept_at + Duration::from_secs(1) {
            return;
        }
        self.swept_at = now;
        self.drop_accounts(|account, plan| {
            account.quiet += 1;
            // Both windows over, and a store as full as a new one's.
            let quiet = f64::from(account.quiet) > (2.0 * window_length(plan)).max(30.0) && !account.stirred;
            quiet && account.calling.is_none() && account.listeners.is_empty() && {
                account.roll(now, plan);
                account.left(now, plan) >= plan.burst
            }
        });
        let over = |server: &mut Server| {
            server.quiet = if server.entry.standing == Standing::Gone { server.quiet + 1 } else { 0 };
            server.quiet > 30
        };
        self.drop_servers(over).into_iter().for_each(|server| out.forget(server));
    }

    fn take(&mut self, now: Duration, job: &Job, out: &mut dyn Writer) {
        let gathers = self.gathers();
        let counted = gathers || self.peers.counter && now >= self.behind_until;
        let interval = if counted { self.beat() } else { self.message_interval() };
        let blind = secs(interval) + 0.03; // And the way of a peer message or a call, some tens of ms.
        // Where one gathers no peer is heard directly: a new quota would seem whole at each of hundreds.
        let split = if gathers { LISTENED } else { interval };
        let i = self.account(now, job.customer, job.plan);
        let (account, peers) = (&mut self.accounts[i], self.peers);
        let plan = &self.plans[account.plan];
        if account.set_size == 0 {
            account.split_until = now + split;
        }
        (account.set_size, account.set_first) = (job.set_size.max(1), job.set_first);
        account.roll(now, plan);
        account.tries[0] += 1.0;
        account.unasked += job.units;
        account.asked_units.add(now, job.units);
        let category = &self.categories[job.category];
        let (seen, firsts) = &mut self.left_seen[job.category];
        let elapsed = elapsed(job.time_left, seen, firsts, category.outer_limit);
        // What earns little any more takes units only from a store that is well filled.
        let late = elapsed >= category.target_time;
        let worth_it = !late || category.late_gain > 0.0 && account.left(now, plan) > plan.burst / 2.0;
        // Departure: where a plan earns beyond the quota more than it costs, idle servers take such jobs.
        // They find the store empty and take nothing from it.
        let beyond = account.left(now, plan) < job.units;
        let welcome = beyond && plan.beyond_gain > plan.beyond_cost && self.idle;
        let lot = self.chance.generate::<f64>();
        let admitted = worth_it && (welcome || account.admits(now, plan, job.units, blind, peers, lot));
        if !admitted || !account.under_ceiling(now, plan, job.units) {
            account.due[0] = true;
            let wait = account.opens_in(now, plan, job.units);
            out.defer(job.job, self.job_rules.retry_after.then(|| span(wait)));
            return;
        }
        // Departure where one gathers: a quarter of its inbox is for what is let in. Of small jobs one in some is
        // reported and stands for all, lest a customer that asks much drown its gatherer and seem to ask little.
        let heard = match account.pace_known(now, LISTENED) {
            Some(_) if gathers => job.units * peers.inbox_per_s / (4.0 * plan.rate),
            _ => 1.0,
        };
        let stands_for = if heard >= 1.0 {
            1.0
        } else {
            f64::from(u8::from(self.chance.generate::<f64>() < heard)) / heard
        };
        let window = (!welcome && stands_for > 0.0).then_some(account.window);
        window.into_iter().for_each(|window| account.add_own(window, job.units * stands_for));
        if !welcome {
            account.untold += job.units;
            account.told_left -= job.units;
        }
        account.ceiling -= job.units;
        account.out += 1;
        let target = now + category.target_time.saturating_sub(elapsed);
        *slot(&mut self.jobs, job.job) =
            Some(OpenJob { stands_for, ..OpenJob::new(job, i, now, target, window) });
        self.queue.push(job.job);
    }

    /// Drains the news: one add a customer where a counter is given, else one batch a peer, each told only of
    /// the customers it shares. The emptiest quotas go first, the rest wait for the next time.
    fn sync(&mut self, now: Duration, out: &mut dyn Writer) {
        if self.gathers() {
            return self.gather(now, out);
        }
        let (limiters, me, counter) = (self.peers.limiters, self.peers.me, self.peers.counter);
        let mut order: Vec<(f64, usize)> = Vec::new();
        let (accounts, plans) = (&mut self.accounts, &self.plans);
        self.stirred.retain(|&i| {
            let account = &mut accounts[i];
            let plan = &plans[account.plan];
            account.roll(now, plan);
            account.stirred = account.news != [0, 0] || counter && account.due != [false, false];
            if account.stirred {
                order.push((account.left(now, plan) / plan.burst.max(1.0), i));
            }
            account.stirred
        });
        order.sort_by(|a, b| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal));
        // Parts of a call gather up to a few whole ones: with many limiters each has less than one a beat.
        self.call_room = (self.call_room + self.calls).min(self.calls.max(4.0));
        for &(_, account) in order.iter().filter(|_| counter) {
            let account = &mut self.accounts[account];
            for i in [1, 0] {
                if !account.due[i] || account.calling.is_some() {
                    continue;
                }
                if self.call_room < 1.0 {
                    self.behind_until = now + Duration::from_secs(1);
                    continue;
                }
                self.call_room -= 1.0;
                let window = account.window.wrapping_sub(i as u64);
                let amount = account.own[i] - account.counted[i];
                account.counted[i] = account.own[i];
                account.calling = Some((window, account.own[i], amount));
                (account.due[i], account.untold) = (false, 0.0);
                let keep = span((window_length(&self.plans[account.plan]) * 3.0).min(60.0));
                out.count(account.customer, window, amount, keep);
            }
        }
        // Departure: peer messages beside a counter that cannot take all calls, as it is crowded, slow or gone.
        if !self.peers.peer_messages || now < self.messages_at || counter && now >= self.behind_until {
            return;
        }
        self.messages_at = now + self.message_interval();
        let mut rows: Vec<Vec<Row>> = vec![Vec::new(); limiters as usize];
        for (_, account) in order {
            let account = &mut self.accounts[account];
            for i in [1, 0] {
                let told = (0..limiters).filter(|&p| p != me && account.includes(p, limiters));
                let full = told.clone().any(|p| rows[p as usize].len() >= ROWS);
                if account.news[i] > 0 && !full {
                    told.for_each(|p| rows[p as usize].push(account.row(i)));
                    account.news[i] -= 1;
                    account.untold = 0.0;
                }
            }
        }
        for p in (0..limiters).filter(|&p| !rows[p as usize].is_empty()) {
            self.post(now, p, &rows[p as usize], out);
        }
    }

    /// The batch where one limiter of a set gathers: totals go to it, and what is left comes back.
    fn gather(&mut self, now: Duration, out: &mut dyn Writer) {
        let peers = self.peers;
        // Few gather for customers that ask much, and must tell many at once: each has four times its even
        // share, while what it is told itself, as all are by all, leaves two thirds of its inbox to reports.
        let more = if self.word.sum(now) < peers.inbox_per_s / 3.0 { 4.0 } else { 1.0 };
        let room = more * f64::from(peers.limiters) * secs(self.beat()) / secs(self.message_interval());
        self.message_room = (self.message_room + room).min(room + 4.0);
        let mut mail: Vec<(f64, Vec<Row>)> = vec![(0.0, Vec::new()); peers.limiters as usize];
        let (accounts, plans, owing) = (&mut self.accounts, &self.plans, &self.owing);
        let mut said = Vec::new();
        self.stirred.retain(|&i| {
            let account = &mut accounts[i];
            let plan = &plans[account.plan];
            account.roll(now, plan);
            let to = account.gatherer(peers, owing);
            let gathers = account.set_size > 0 && to == peers.me;
            let reading = account.reading(now, gathers, ASKED_OVER, plan).filter(|it| passed_on(it, plan));
            said.extend(reading.map(|reading| (i, reading)));
            if gathers || account.set_size == 0 {
                if gathers || !account.listeners.is_empty() {
                    account.tell_listeners(now, plan);
                }
                (account.news, account.due[0], account.unasked) = ([0, 0], false, 0.0);
            }
            let (left, pace) = (account.left(now, plan), account.asked(now, ASKED_OVER));
            let need = 1.25 - (left / plan.burst.max(1.0)).clamp(0.0, 1.0);
            let mut add = |to: u32, i: usize, total, asked, left| {
                let row = Row { total, asked: Some(asked), left, ..account.row(i) };
                mail[to as usize].0 += need;
                mail[to as usize].1.push(row);
            };
            // A set of hundreds would fill the gatherer's inbox by asking alone: a quarter of it is for that.
            let turn = span(4.0 * f64::from(account.set_size) / peers.inbox_per_s.max(1.0));
            let asks = account.due[0] && now >= account.asked_at + turn.max(LISTENED * 3 / 4);
            if account.news[1] > 0 {
                add(to, 1, account.own[1], 0.0, None);
            }
            if account.news[0] > 0 || asks {
                add(to, 0, account.own[0], account.unasked, None);
            }
            for listener in account.listeners.iter().filter(|listener| listener.owed) {
                let total = account.heard[0].get(listener.peer as usize).copied().unwrap_or(0.0);
                add(listener.peer, 0, total, pace, Some(left));
            }
            account.stirred = !account.listeners.is_empty() || account.news != [0, 0] || account.due[0];
            account.stirred
        });
        let due = |p: u32| mail[p as usize].0 * secs(now.saturating_sub(self.told_peer[p as usize]));
        let mut order: Vec<u32> = (0..peers.limiters).filter(|&p| mail[p as usize].0 > 0.0).collect();
        order.sort_by(|&a, &b| due(b).total_cmp(&due(a)));
        order.truncate(self.message_room as usize);
        for p in order {
            self.message_room -= 1.0;
            self.told_peer[p as usize] = now;
            let rows = &mut mail[p as usize].1;
            // Rows with two numbers more; what does not fit waits for the next peer message.
            rows.truncate(ROWS * 2 / 3);
            self.owing[p as usize] += u32::from(rows.iter().any(|row| row.left.is_none()));
            for row in rows.iter() {
                let account = &mut self.accounts[self.by_customer[&row.customer]];
                if row.left.is_some() {
                    account.listeners.iter_mut().filter(|l| l.peer == p).for_each(|l| l.owed = false);
                } else {
                    (account.news, account.due[0], account.unasked) = ([0, 0], false, 0.0);
                    account.asked_at = now;
                }
            }
            let turn = (self.peer_messages as usize * SAID) % said.len().max(1);
            let by_turns = said[turn..].iter().chain(&said[..turn]);
            let shared = by_turns.filter(|(i, _)| self.accounts[*i].includes(p, peers.limiters));
            let row = |&(i, reading): &(usize, Reading)| self.accounts[i].passed_on(reading);
            mail[p as usize].1.extend(shared.take(SAID).map(row));
            self.post(now, p, &mail[p as usize].1, out);
        }
    }

    /// Malformed, stale and repeated peer messages change nothing.
    fn read_peer_message(&mut self, now: Duration, peer_message: &PeerMessage) {
        let Some((head, rows)) = peer_message::read(&peer_message.bytes) else { return };
        let from = peer_message.from as usize;
        if from >= self.last_peer_message.len() || peer_message.from == self.peers.me {
            return;
        }
        let (life, number) = self.last_peer_message[from];
        if (head.life, head.number) <= (life, number) {
            return;
        }
        self.last_peer_message[from] = (head.life, head.number);
        self.word
            .add(now, f64::from(u8::from(rows.iter().any(|row| row.left.is_some() && row.age.is_none()))));
        self.owing[from] = 0;
        if head.life > life {
            // A peer that started again tells its totals from nothing; what it told before stays counted.
            for account in &mut self.accounts {
                account.roll(now, &self.plans[account.plan]);
                account.carried -= account.heard[0].get(from).unwrap_or(&0.0);
                (0..2).for_each(|i| account.note(i, from, 0.0));
            }
        }
        for row in rows {
            if row.plan >= self.plans.len() || row.total.abs() > 1e9 {
                continue;
            }
            let i = self.account(now, row.customer, row.plan);
            let (account, plan) = (&mut self.accounts[i], &self.plans[row.plan]);
            if account.plan != row.plan {
                continue;
            }
            // Settled units may leave a store below nothing, by one large job at most.
            let floor = if self.peers.settles { self.peers.most_units } else { 0.0 };
            account.roll(now, plan);
            let window = account.window.saturating_sub(account.window.wrapping_sub(row.window) & 3);
            let Some(left) = row.left else {
                account.hear(now, plan, from, window, row.total, floor);
                if let Some(asked) = row.asked {
                    account.asked_units.add(now, asked);
                    // Who reported of late was told of every change since.
                    let known =
                        account.listeners.iter().any(|one| one.peer == peer_message.from && !one.owed);
                    account.listeners.retain(|listener| listener.peer != peer_message.from);
                    account.listeners.push(Listener { peer: peer_message.from, heard: now, owed: !known });
                }
                continue;
            };
            let gatherer = account.gatherer(self.peers, &self.owing);
            if let (Some(age), Some(pace)) = (row.age, row.asked) {
                if gatherer != self.peers.me || account.set_size == 0 {
                    account.overhear(now, plan, Reading { left, pace, age }, LISTENED);
                }
                continue;
            }
            let told = gatherer == peer_message.from;
            if let (Some(i), true) = (account.place(window), told) {
                // The gatherer's reading, less what it could not know of yet.
                account.told_left = left - account.own[..=i].iter().sum::<f64>() + row.total;
                account.spilled += account.left(now, plan) - account.told_left;
                (account.told_at, account.pace, account.split_until) = (now, row.asked, Duration::ZERO);
            }
        }
    }

    /// An unanswered add counts as made; one that surely was not made is due again.
    fn read_count(&mut self, now: Duration, answer: &CountAnswer) {
        // Guards against a counter that is full or gone: fewer calls, down to one in two seconds. A call in
        // twenty may fail before the rate falls; it rises only where it binds.
        let bound = if now < self.behind_until { 1.01 } else { 1.0 };
        self.calls *= if answer.total.is_some() { bound } else { 0.8 };
        self.calls = self.calls.clamp(0.01, 64.0);
        let Some(&i) = self.by_customer.get(&answer.customer) else { return };
        let account = &mut self.accounts[i];
        account.stir(i, &mut self.stirred);
        let call = account.calling.filter(|call| call.0 == answer.window);
        let Some((window, own, amount)) = call else { return };
        account.calling = None;
        account.roll(now, &self.plans[account.plan]);
        match (answer.total, account.place(window)) {
            (Some(total), _) => {
                let (floor, me) = (self.peers.most_units, self.peers.me as usize);
                account.hear(now, &self.plans[account.plan], me, window, total - own, floor);
            }
            (None, Some(i)) if answer.not_added => {
                account.counted[i] -= amount;
                account.due[i] = true;
            }
            _ => {}
        }
    }

    // ---- Servers ----

    fn follow(&mut self, server_list: &ServerList) {
        self.discovery_lost = server_list.unavailable;
        if server_list.unavailable {
            return;
        }
        for server in self.servers.iter_mut().flatten().filter(|_| server_list.whole) {
            (server.listed, server.entry.standing) = (false, Standing::Gone);
        }
        let limiters = self.peers.limiters;
        for entry in &server_list.entries {
            let place = slot(&mut self.servers, entry.server);
            let known = place.is_some();
            let server = place.get_or_insert_with(|| Server::new(*entry, &self.server_rules, limiters));
            let restarted = entry.up_since.is_some() && entry.up_since != server.entry.up_since || !known;
            server.entry = *entry;
            server.listed = entry.standing == Standing::Up;
            if let Some(since) = entry.up_since.filter(|_| restarted) {
                // Told of a start after it was seen to come back: the earlier start holds.
                server.cold_since = Some(server.cold_since.map_or(since, |seen| seen.max(since)));
                server.credits = server.credits.min(4.0 / f64::from(limiters));
            }
        }
    }

    /// Departure where limiters are many: each sends to a steady part of the servers, the next on the ring of
    /// their marks from a point of its own, which lie evenly; struck and cold ones count for what they bear.
    /// Guards against a connection an attempt, and against views too thin to tell a good server from a bad one.
    fn keep_regulars(&mut self, now: Duration) {
        let rules = self.server_rules;
        let bears = |s: &Server| if now >= s.benched_until { s.warmth(now, &rules) } else { 0.0 };
        let mut ring: Vec<&mut Server> = self.servers.iter_mut().flatten().filter(|s| s.listed).collect();
        ring.sort_by_key(|server| server.entry.mark);
        // Ten limiters at each even out that some get several times the mean; six leave a choice in a zone.
        let most = (10.0 * ring.len() as f64 / f64::from(self.peers.limiters)).max(6.0);
        let all: f64 = ring.iter().map(|server| bears(server)).sum();
        let start = ((f64::from(self.peers.me) * 0.618).fract() * ring.len() as f64) as usize;
        let mut kept = 0.0;
        ring.rotate_left(start);
        for server in ring {
            server.aside = kept >= most;
            kept += if server.aside { 0.0 } else { bears(server) };
        }
        self.reach = if kept > 0.0 { (all / kept).max(1.0) } else { 1.0 };
    }

    /// What a warm server was sent of late. While none is warm what was last holds, and a cold one gets a
    /// attempt: guards against a fleet taken for cold at a stroke, which would idle.
    fn gauge(&mut self, now: Duration) {
        let warm = |s: &&mut Server| s.listed && !s.aside && s.cold_since.is_none() && now >= s.benched_until;
        let sends = self.servers.iter_mut().flatten().filter(warm).map(|server| server.sends.sum(now));
        let (count, sum) = sends.fold((0.0, 0.0), |(count, sum), sends| (count + 1.0, sum + sends));
        let least = 1.0 / self.server_rules.start_share.max(0.05);
        self.warm_sends = if count > 0.0 { sum / count } else { self.warm_sends.max(least) };
    }

    /// The server for an attempt: credit left there, and the least work in hand for its pace.
    fn choose(&mut self, now: Duration, job: u32) -> Option<u32> {
        let open = self.jobs[job as usize].as_ref()?;
        let category = &self.categories[open.job.category];
        let rules = &self.server_rules;
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
        let origin = open.ran.and_then(|(server, _)| self.servers[server as usize].as_ref()).map(|s| s.entry);
        let mut best: Option<(f64, u32)> = None;
        for (i, server) in self.servers.iter_mut().enumerate() {
            let Some(server) = server else { continue };
            let has_one = open.attempts.iter().any(|attempt| attempt.out && attempt.server == i as u32);
            // What may have run goes anywhere in its group, which may hold none of the regular ones.
            let aside = server.aside && origin.is_none();
            if has_one || aside || !server.listed || now < server.benched_until {
                continue;
            }
            if let (Some(origin), Repeats::Referenced(group, _)) = (origin, category.repeats)
                && (group == Group::Zone && origin.zone != server.entry.zone
                    || group == Group::Cell && origin.cell != server.entry.cell)
            {
                continue;
            }
            let tried = open.attempts.iter().filter(|attempt| attempt.server == i as u32).count();
            let warmth = server.warmth(now, rules);
            if warmth >= 1.0 {
                server.cold_since = None;
            }
            let trial = server.strikes > 0 || server.fails(self.erring);
            let credits =
                if trial { server.credits.min(1.0) } else { server.credits * self.level * self.reach }
                    * warmth;
            // A part of a credit is a whole one for part of the time, by turns among the limiters: not all
            // send to one server at once. Half a second outlasts most attempts, the golden ratio is even.
            let turn = i as f64 * 0.618 + secs(now).div_euclid(0.5) * 0.382;
            let turn = (turn + f64::from(self.peers.me) / f64::from(self.peers.limiters)).fract();
            let credits = credits.floor() + f64::from(u8::from(turn < credits.fract()));
            // A credit comes back with an answer, or once the attempt is overdue (see `watch`).
            if f64::from(server.out) + 1.0 > credits {
                continue;
            }
            // All limiters together send a cold server what warm ones get, times the warmth, far inside the
            // multiple allowed: a part of an attempt a window is a whole one in some of the window's turns.
            let part = self.warm_sends * warmth - server.sends.sum(now);
            if warmth < 1.0 && part < 1.0 && turn * secs(rules.fall_time) >= part * 0.5 {
                continue;
            }
            let took = if server.took > 0.0 { server.took } else { self.usual };
            let far = if server.entry.zone == rules.zone { 1.0 } else { 1.02 };
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
    fn watch(&mut self, now: Duration, out: &mut dyn Writer) {
        let patience = overdue_after(self.usual, self.losing);
        let most = self.job_rules.most_attempts as usize;
        for open in self.jobs.iter_mut().flatten() {
            let again = match self.categories[open.job.category].repeats {
                Repeats::Replayable => true,
                Repeats::Referenced(_, memory) => open.attempts.iter().all(|t| now < t.sent + memory / 2),
                Repeats::SingleUse => false,
            };
            let again = again && !open.done && open.attempts.len() < most && now < open.target;
            for (n, attempt) in open.attempts.iter_mut().enumerate() {
                let full = watched(open.job.job);
                let patience = if full { overdue_after(self.usual, 0.0) } else { patience };
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
                if again && self.job_rules.may_revoke && !std::mem::replace(&mut attempt.revoked, true) {
                    out.revoke(open.job.job, n as u32);
                }
            }
        }
    }

    // ---- Jobs ----

    fn end_attempt(&mut self, now: Duration, end: &AttemptEnd, out: &mut dyn Writer) {
        let (took, pressed) = (secs(end.took), !self.queue.is_empty());
        // Where limiters hear each other, their own credits tell more.
        let load = if self.gathers() { end.load } else { Load::default() };
        let Some(open) = self.jobs.get_mut(end.job as usize).and_then(|open| open.as_mut()) else { return };
        let Some(attempt) = open.attempts.get_mut(end.attempt as usize).filter(|attempt| attempt.out) else {
            return;
        };
        attempt.out = false;
        let overdue = attempt.overdue;
        if end.ending == Ending::Fulfilled {
            self.answers.add(now, 1.0);
            self.answer_times.add(now, took);
            // The calmest of the last buckets with enough answers to tell: load raises all of a bucket's.
            if let Some(least) = self.answer_times.least_mean(&self.answers, 20.0) {
                self.calm = least;
            }
        }
        // Two at a server over all limiters keep it at work, however long its answers take.
        let floor = 2.0 / f64::from(self.peers.limiters);
        let (sent, target) = (attempt.sent, secs(self.categories[open.job.category].target_time));
        if let Some(server) = self.servers.get_mut(end.server as usize).and_then(|s| s.as_mut()) {
            if !overdue {
                server.out = server.out.saturating_sub(1);
            }
            if !matches!(end.ending, Ending::Revoked | Ending::Expired | Ending::Unsent) {
                server.owing_since = now;
            }
            if !end.ending.never_ran() && (!overdue || end.ending == Ending::Fulfilled) {
                // Four tenths of the target time leave room; beyond 2.5 calm ones servers only queue.
                let long = (target * 0.4).min(self.calm * 2.5).max(0.001);
                server.pace(now, took, long, floor, pressed);
                // A client that gave up would have waited longer: thrice as long stands for it.
                let felt = if end.ending == Ending::Expired { took.max(3.0 * long) } else { took };
                self.strain += (felt / long - self.strain) * 0.03;
                self.level = next_level(self.level, self.strain, pressed, &load);
            }
            match end.ending {
                Ending::Fulfilled => {
                    server.took += (took - server.took) * if server.took > 0.0 { 0.1 } else { 1.0 };
                    if watched(end.job) {
                        self.usual += (took - self.usual) * 0.05;
                        self.losing *= 0.98;
                    }
                    server.errors *= 0.9;
                    self.erring *= 0.99;
                    (server.strikes, server.drops) = (0, 0);
                    if std::mem::take(&mut server.down) {
                        server.cold_since = Some(now);
                    }
                }
                Ending::Error | Ending::Dropped => {
                    server.errors += (1.0 - server.errors) * 0.1;
                    self.erring += (1.0 - self.erring) * 0.01;
                    server.drops += u32::from(end.ending == Ending::Dropped);
                    // One drop is the link's; three with no answer between them are the server's, or as many
                    // as chance hardly brings where all fail often, as with answers that nobody can use.
                    let lost = server.drops >= 3 && self.erring.powi(server.drops as i32) < 0.002;
                    if lost || server.fails(self.erring) {
                        server.strike(now);
                        server.down |= lost && server.strikes >= 2;
                    }
                }
                Ending::TurnedAway => {
                    // Never more than before: with many limiters credits are parts of an attempt.
                    server.credits = (server.credits * 0.7).max(floor.min(server.credits));
                    server.benched_until = server.benched_until.max(now + Duration::from_millis(100));
                }
                Ending::NoConnection => {
                    server.down = true;
                    server.strike(now);
                }
                _ => {}
            }
        }
        if !end.ending.never_ran() && open.ran.is_none() {
            open.ran = Some((end.server, sent));
        }
        if let (Some(units), Some(window), true) = (end.units, open.window, self.peers.settles) {
            let account = &mut self.accounts[open.account];
            account.roll(now, &self.plans[account.plan]);
            account.add_own(window, (units - open.job.units) * open.stands_for);
            account.stir(open.account, &mut self.stirred);
        }
        let stays = !open.queued && !open.attempts.iter().any(|attempt| attempt.out);
        if end.finished || open.done {
            self.close(end.job, out);
        } else if stays && self.may_send_again(now, end.job) {
            self.jobs[end.job as usize].iter_mut().for_each(|open| open.queued = true);
            self.queue.push(end.job);
        } else if stays {
            self.give_up(now, end.job, out);
        }
    }

    fn may_send_again(&self, now: Duration, job: u32) -> bool {
        let Some(open) = self.jobs[job as usize].as_ref() else { return false };
        let category = &self.categories[open.job.category];
        let in_time = now < open.target || category.late_gain > 0.0 && now < open.give_up;
        let rule = match (category.repeats, open.ran) {
            (_, None) | (Repeats::Replayable, _) => true,
            (Repeats::Referenced(_, memory), Some((_, sent))) => now < sent + memory,
            (Repeats::SingleUse, Some(_)) => false,
        };
        rule && in_time && open.attempts.len() < self.job_rules.most_attempts as usize
    }

    /// A streamed answer has begun: its server is not silent, and the attempt is never taken back.
    fn answer_begins(&mut self, now: Duration, job: u32) {
        let open = self.jobs.get_mut(job as usize).into_iter().flatten();
        for attempt in open.flat_map(|open| &mut open.attempts).filter(|attempt| attempt.out) {
            attempt.revoked = true;
            self.servers[attempt.server as usize].iter_mut().for_each(|server| server.owing_since = now);
        }
    }

    /// The final answer of a job that is given up, at once: a deferral where that is harmless.
    fn give_up(&mut self, now: Duration, job: u32, out: &mut dyn Writer) {
        let Some(open) = self.jobs[job as usize].as_mut().filter(|open| !open.done) else { return };
        let harmless = match (self.categories[open.job.category].repeats, open.ran) {
            (_, None) | (Repeats::Replayable, _) => true,
            // Guards the effect against clients told to come back once no server knows the key any more.
            (Repeats::Referenced(Group::All, memory), Some((_, sent))) => now < sent + memory,
            (_, Some(_)) => false,
        };
        let account = &mut self.accounts[open.account];
        if open.attempts.is_empty() {
            account.roll(now, &self.plans[account.plan]);
            open.window
                .into_iter()
                .for_each(|window| account.add_own(window, -open.job.units * open.stands_for));
            account.stir(open.account, &mut self.stirred);
            account.ceiling += open.job.units;
        }
        if harmless {
            let plan = &self.plans[account.plan];
            // To the window's end, not the refill: servers that are full need a pause.
            let wait = window_length(plan) * (account.window + 1) as f64 - secs(now);
            out.defer(job, self.job_rules.retry_after.then(|| span(wait)));
        } else {
            out.scrap(job);
        }
        self.close(job, out);
    }

    /// The job has its final answer: attempts still out are taken back, and nothing more is sent.
    fn close(&mut self, job: u32, out: &mut dyn Writer) {
        let Some(open) = self.jobs.get_mut(job as usize).and_then(|open| open.as_mut()) else { return };
        if !std::mem::replace(&mut open.done, true) {
            let account = &mut self.accounts[open.account];
            account.out = account.out.saturating_sub(1);
        }
        let mut still_out = false;
        for (n, attempt) in open.attempts.iter_mut().enumerate().filter(|(_, attempt)| attempt.out) {
            still_out = true;
            if self.job_rules.may_revoke && !std::mem::replace(&mut attempt.revoked, true) {
                out.revoke(job, n as u32);
            }
        }
        if !still_out {
            self.jobs[job as usize] = None;
        }
    }

    /// Sends what waits, the last arrived first: under pressure the newest are answered in time, where the
    /// oldest first would make all late. What cannot be answered by its target time is given up at once.
    fn dispatch(&mut self, now: Duration, out: &mut dyn Writer) {
        let mut queue = std::mem::take(&mut self.queue);
        // What gains less than half as much for its target time goes after; near equals fare alike.
        let worth = |open: &OpenJob| {
            let category = &self.categories[open.job.category];
            category.gain * self.plans[open.job.plan].price / secs(category.target_time).max(0.001)
        };
        let most = queue.iter().flat_map(|&job| &self.jobs[job as usize]).map(worth).fold(0.0, f64::max);
        queue.sort_by_cached_key(|&job| match &self.jobs[job as usize] {
            Some(open) => ((most / worth(open).max(1e-9)).log2() as u32, std::cmp::Reverse(open.arrived)),
            None => (0, std::cmp::Reverse(now)),
        });
        for job in queue {
            let Some(open) = self.jobs[job as usize].as_ref().filter(|open| !open.done && open.queued) else {
                continue;
            };
            // Half the target time bounds it: slow answers must not stop all sending for good.
            let least = secs(self.categories[open.job.category].target_time) / 2.0;
            let hopeless = now + span((self.usual * 1.5).min(least)) >= open.target.min(open.give_up);
            if hopeless || !self.may_send_again(now, job) {
                self.give_up(now, job, out);
                continue;
            }
            let Some(server) = self.choose(now, job) else {
                self.queue.push(job);
                continue;
            };
            let places = (&mut self.jobs[job as usize], &mut self.servers[server as usize]);
            let (Some(open), Some(at)) = places else { continue };
            open.queued = false;
            open.attempts.push(Attempt { server, sent: now, out: true, revoked: false, overdue: false });
            if at.out == 0 {
                at.owing_since = now;
            }
            at.out += 1;
            at.sends.add(now, 1.0);
            // Servers keep a key so long after the first attempt that may have run: a repeat has to be there by then.
            let within = match (self.categories[open.job.category].repeats, open.ran) {
                (Repeats::Referenced(_, memory), Some((_, sent))) => {
                    Some((sent + memory).saturating_sub(now))
                }
                _ => None,
            };
            out.send(job, server, within);
        }
    }
}

#[cfg(test)]
mod tests;
