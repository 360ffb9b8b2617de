//! All decisions of a limiter. How to call it: `Limiter::new` once at start, then `Limiter::round`
//! with the clock, all that came in since the last round, and a `Writer` that takes the decisions.
//! The plain data and the writer are the interface, in `lib.rs`; `letter.rs` holds the bytes of a
//! batch between limiters. Docs: `docs/design.md`, `docs/on-call.md`.

use crate::letter::{self, Head, Row};
pub use crate::state::Limiter;
use crate::state::{Account, OpenJob, Ring, Server, Trip, secs, span};
use crate::*;
use nanorand::Rng;

// ---- Quotas: one account per customer, counted in clock-aligned windows ----

/// The window's length starts as the design has it: the store's size over its rate.
fn window_length(plan: &Plan) -> f64 {
    if plan.rate > 0.0 { (plan.burst / plan.rate).max(0.1) } else { 1.0 }
}

impl Account {
    fn new(customer: u64, plan_index: usize, plan: &Plan, peers: Peers, now: Duration) -> Account {
        let window = (secs(now) / window_length(plan)) as u64;
        let refill = secs(now) - window as f64 * window_length(plan);
        Account {
            customer,
            plan: plan_index,
            me: peers.me as usize,
            window,
            carried: plan.burst - plan.rate * refill,
            ceiling_at: now,
            ..Account::default()
        }
    }

    /// What the quota leaves at this moment: a store counted by windows (see `roll`).
    fn left(&self, now: Duration, plan: &Plan) -> f64 {
        let into = secs(now) - self.window as f64 * window_length(plan);
        self.carried - self.spilled + plan.rate * into - self.own[0] - self.others(0)
    }

    /// The retry-after: to the window's end, or sooner, where the even refill covers the job before.
    fn opens_in(&self, now: Duration, plan: &Plan, units: f64) -> f64 {
        let edge = window_length(plan) * (self.window + 1) as f64 - secs(now);
        // Twice the units, as peers wait for the refill too.
        let refill = (2.0 * units - self.left(now, plan)) / plan.rate.max(0.001);
        edge.min(refill.max(0.05))
    }

    /// What others used: by the counter, whose total stands in this limiter's own place, or by their
    /// letters, where those tell of more.
    fn others(&self, i: usize) -> f64 {
        self.summed[i].max(self.told[i])
    }

    /// A limiter's total, its own place being the counter's; the sum runs along, as it is read often.
    fn note(&mut self, i: usize, from: usize, total: f64) {
        if from == self.me {
            self.summed[i] = total;
            return;
        }
        if from >= self.heard[i].len() {
            self.heard[i].resize(from + 1, 0.0);
        }
        self.told[i] += total - self.heard[i][from];
        self.heard[i][from] = total;
    }

    /// Departure from the fixed windows: guards against all limiters opening together at a window's
    /// edge. The unused allowance is carried into the next window and the refill comes evenly, so
    /// the window counts follow the store of rate and burst that the quota really is.
    fn roll(&mut self, now: Duration, plan: &Plan) {
        let length = window_length(plan);
        let window = (secs(now) / length) as u64;
        if window > self.window {
            let edge = span((self.window + 1) as f64 * length);
            let passed = (window - self.window - 1) as f64;
            self.carried = (self.left(edge, plan) + passed * plan.rate * length).min(plan.burst);
            let next = window == self.window + 1;
            for pair in [&mut self.own, &mut self.counted, &mut self.tries, &mut self.told, &mut self.summed]
            {
                pair[1] = if next { pair[0] } else { 0.0 };
                pair[0] = 0.0;
            }
            self.heard.swap(0, 1);
            self.heard[0].clear();
            let used = next && (self.own[1] != 0.0 || self.others(1) != 0.0);
            if !next {
                self.heard[1].clear();
            }
            self.news = [0, self.news[0] * u8::from(next)];
            self.due = [false, next && (self.due[0] || used)];
            self.spilled = 0.0;
            self.window = window;
        }
        let over = self.left(now, plan) - plan.burst;
        if over > 0.0 {
            self.spilled += over;
        }
    }

    /// Index of a window in the pairs; older ones are dropped, as are ones yet to come.
    fn place(&self, window: u64) -> Option<usize> {
        (0..2).find(|&i| self.window.checked_sub(i as u64) == Some(window))
    }

    fn add_own(&mut self, window: u64, units: f64) {
        let Some(i) = self.place(window) else {
            self.carried -= units;
            return;
        };
        self.own[i] += units;
        self.carried -= units * i as f64;
        // Told twice: a lost batch is made good by the next, and totals make repeats harmless.
        (self.news[i], self.due[i]) = (2, true);
    }

    /// A peer's total of a window. What was admitted past an empty store took nothing from it.
    fn hear(&mut self, now: Duration, plan: &Plan, from: usize, window: u64, total: f64, floor: f64) {
        self.roll(now, plan);
        let Some(i) = self.place(window) else { return };
        let before = self.others(i);
        self.note(i, from, total);
        let units = self.others(i) - before;
        self.carried -= units * i as f64;
        let left = self.left(now, plan);
        if units > 0.0 && left < -floor {
            self.spilled -= (-floor - left).min(units);
        }
        self.split_until = Duration::ZERO;
    }

    /// Limiters that this quota is split over while they are blind to each other: those that used it
    /// lately, as far as they are likely to take from it in that time. A slow customer's quota is hardly
    /// split; a busy one's is split over all.
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
        let sharers = self.sharers(now, plan, blind, peers);
        let share = (left + self.untold) / sharers - self.untold;
        let first = now < self.split_until && self.untold == 0.0;
        // Departure: a share of less than a job is a whole job by lot. Guards against nobody using what
        // is left where more limiters share a quota than half of its store has jobs; with fewer, what
        // none of them may take stays in the store and is not lost.
        let lot = if sharers * units > plan.burst / 2.0 { lot } else { 1.0 };
        left >= units && (first || lot * units <= share)
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

    /// Only accounts that something touched can have news.
    fn stir(&mut self, i: usize, stirred: &mut Vec<usize>) {
        if !std::mem::replace(&mut self.stirred, true) {
            stirred.push(i);
        }
    }

    fn includes(&self, limiter: u32, limiters: u32) -> bool {
        (limiter + limiters - self.set_first % limiters) % limiters < self.set_size
    }
}

// ---- Servers: credits, health, cold starts ----

impl Server {
    fn new(entry: RosterEntry, rules: &ServerRules, limiters: u32) -> Server {
        Server {
            entry,
            listed: true,
            // Starting value: eight trips at a server, on machines of a few cores, over all limiters.
            credits: 4.0 / f64::from(limiters),
            // Two seconds outlast nearly all work of trips that nobody waits for.
            lost: Ring::new(Duration::from_secs(2)),
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

    /// Credits follow how long trips take, whether answered or not, against what is long: guards
    /// against queues at the servers, which no limiter sees, and against work that nobody waits for.
    fn pace(&mut self, now: Duration, took: f64, long: f64, floor: f64, pressed: bool) {
        self.slow += (took / long - self.slow) * 0.25;
        if self.slow > 1.0 && now >= self.cut_at {
            self.credits = (self.credits * 0.85).max(floor);
            // Not again before this cut can show; three long answers are soon enough for that.
            self.cut_at = now + span(took.min(long));
        } else if self.slow < 0.55 && pressed {
            // All limiters see the same quick answers: together they add a third of a trip an answer each.
            let step = floor * 0.15 / (self.credits / floor).max(1.0);
            self.credits = (self.credits + step).min(32.0);
        }
    }

    /// A symptom that the server is not well: a rest that doubles, then one trip on trial.
    fn strike(&mut self, now: Duration) {
        self.strikes += 1;
        // From a quarter second, about a round of answers, up to 4 s, a fair part of a short outage.
        let rest = 0.125 * f64::from(1u32 << self.strikes.min(5));
        self.benched_until = now + span(rest);
    }

    /// Fails far more than the fleet: what all servers share is not this one's doing.
    fn fails(&self, erring: f64) -> bool {
        self.errors > 0.3 + erring
    }

    /// Silence longer than any ordinary answer takes guards against hangs and unseen deaths.
    fn silent(&self, now: Duration, usual: f64) -> bool {
        // Six usual answers in a row unanswered hardly happen by chance; the bounds fit short outages.
        self.out > 0 && secs(now.saturating_sub(self.owing_since)) > (usual * 6.0).clamp(0.25, 1.5)
    }
}

/// How long the client has waited over earlier tries. First tries of a category come with one and the
/// same time left; a rarer one is what the outer limit leaves of a later try, and so tells it. Guards
/// the quota and the servers against retries that come too late to earn. It could harm where clients
/// change their own time-outs: so it forgets fast, and says nothing while few tries are common ones.
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
        Limiter {
            // Until answers are seen, a fifth of the shortest target time.
            usual: categories.iter().map(|c| secs(c.target_time) / 5.0).fold(1.0, f64::min),
            // As long, until seen: three and a half of them do not bind then.
            calm: categories.iter().map(|c| secs(c.target_time) / 5.0).fold(1.0, f64::min),
            // Half a minute of buckets outlasts most surges.
            answers: Ring::new(Duration::from_secs(32)),
            answer_times: Ring::new(Duration::from_secs(32)),
            last_letter: vec![(0, 0); peers.limiters as usize],
            // Starting value: a thousand a second over all limiters, little for a service made for it.
            calls: 20.0 / f64::from(peers.limiters),
            // Steps of a 128th are finer than retries spread and coarser than the way here varies.
            left_seen: vec![(vec![0.0; 130], 1.0); categories.len()],
            ..Limiter::empty(seed, plans, categories, peers, server_rules, job_rules)
        }
    }

    /// Time between two batches: as short as the peers' inboxes surely take, with room for views.
    fn letter_interval(&self) -> Duration {
        // Three quarters of the inbox for batches, never under 20 ms.
        let others = f64::from(self.peers.limiters.saturating_sub(1));
        span((others / (0.75 * self.peers.inbox_per_s.max(1.0))).max(0.02))
    }

    /// Counter answers come in a few ms; 20 ms keeps the calls under one a job. Without a counter a
    /// tenth of a second is soon enough for what waits, also where letters are rarer.
    fn beat(&self) -> Duration {
        let most = Duration::from_millis(if self.peers.counter { 20 } else { 100 });
        most.min(self.letter_interval())
    }

    pub fn round(&mut self, now: Duration, round: &Round, out: &mut dyn Writer) {
        if self.started.is_none() {
            self.started = Some(now);
            self.roster_lost = self.server_rules.roster_on_request;
            if self.peers.letters {
                self.post(now, true, None, &[], out);
            }
        }
        for roster in &round.roster {
            self.follow(roster);
        }
        for letter in &round.letters {
            self.read_letter(now, letter, out);
        }
        for answer in &round.counts {
            self.read_count(now, answer);
        }
        for end in &round.trip_ends {
            self.end_trip(now, end, out);
        }
        for &job in &round.streaming {
            self.answer_begins(now, job);
        }
        for job in round.jobs.iter().filter(|job| !round.left.contains(&job.job)) {
            self.take(now, job, out);
        }
        for &job in &round.left {
            self.leave(job, out);
        }
        if now >= self.beat_at {
            self.beat_at = now + self.beat();
            self.sync(now, out);
            // Half a second between calls spares a roster that is pressed, and is far under what the rule
            // allows without asking.
            if self.roster_lost && now >= self.roster_at + Duration::from_millis(500) {
                self.roster_at = now;
                out.follow_roster(true);
            }
            self.watch(now, out);
        }
        self.dispatch(now, out);
        if self.woken_at <= now {
            self.woken_at = self.beat_at;
            out.wake(self.beat_at.saturating_sub(now).max(Duration::from_millis(1)));
        }
    }

    // ---- Quotas ----

    fn account(&mut self, now: Duration, customer: u64, plan: usize) -> usize {
        let next = self.accounts.len();
        let i = *self.by_customer.entry(customer).or_insert(next);
        if i == next {
            self.accounts.push(Account::new(customer, plan, &self.plans[plan], self.peers, now));
        }
        self.accounts[i].stir(i, &mut self.stirred);
        i
    }

    fn take(&mut self, now: Duration, job: &Job, out: &mut dyn Writer) {
        let counted = self.peers.counter && now >= self.behind_until;
        let interval = if counted { self.beat() } else { self.letter_interval() };
        // And the way of a letter or a call, some tens of ms.
        let blind = secs(interval) + 0.03;
        let i = self.account(now, job.customer, job.plan);
        let (account, peers) = (&mut self.accounts[i], self.peers);
        let plan = &self.plans[account.plan];
        if account.set_size == 0 {
            account.split_until = now + interval;
        }
        (account.set_size, account.set_first) = (job.set_size.max(1), job.set_first);
        account.roll(now, plan);
        account.tries[0] += 1.0;
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
        if !welcome {
            account.add_own(account.window, job.units);
            account.untold += job.units;
        }
        account.ceiling -= job.units;
        account.out += 1;
        let slot = job.job as usize;
        if slot >= self.jobs.len() {
            self.jobs.resize_with(slot + 1, || None);
        }
        self.jobs[slot] = Some(OpenJob {
            job: *job,
            account: i,
            arrived: now,
            target: now + category.target_time.saturating_sub(elapsed),
            give_up: now + job.time_left,
            trips: Vec::new(),
            window: (!welcome).then_some(account.window),
            done: false,
            queued: true,
            ran: None,
        });
        self.queue.push(job.job);
    }

    /// Drains the news: one add a customer where a counter is given, else one batch a peer, each told
    /// only of the customers it shares. The emptiest quotas go first, the rest wait for the next time.
    fn sync(&mut self, now: Duration, out: &mut dyn Writer) {
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
        // Departure: letters beside a counter that cannot take all calls. Guards against one that is
        // crowded, slow or gone; costs little, as letters are small.
        if !self.peers.letters || now < self.letters_at || counter && now >= self.behind_until {
            return;
        }
        self.letters_at = now + self.letter_interval();
        let mut rows: Vec<Vec<Row>> = vec![Vec::new(); limiters as usize];
        for (_, account) in order {
            let account = &mut self.accounts[account];
            for i in [1, 0] {
                let told = (0..limiters).filter(|&p| p != me && account.includes(p, limiters));
                // One letter a peer is what its inbox takes.
                let full = told.clone().any(|p| rows[p as usize].len() >= letter::ROWS);
                if account.news[i] > 0 && !full {
                    let (customer, plan, total) = (account.customer, account.plan, account.own[i]);
                    let window = account.window.wrapping_sub(i as u64);
                    told.for_each(|p| {
                        rows[p as usize].push(Row { customer, plan, window, total, left: None })
                    });
                    account.news[i] -= 1;
                    account.untold = 0.0;
                }
            }
        }
        for p in (0..limiters).filter(|&p| !rows[p as usize].is_empty()) {
            self.post(now, false, Some(p), &rows[p as usize], out);
        }
    }

    fn post(&mut self, now: Duration, asks: bool, to: Option<u32>, rows: &[Row], out: &mut dyn Writer) {
        let life = self.started.unwrap_or(now).as_millis() as u64;
        let head = Head { life, number: self.letters + 1, asks };
        for letter in letter::write(head, rows) {
            self.letters += 1;
            for p in (0..self.peers.limiters).filter(|&p| p != self.peers.me && to.is_none_or(|to| to == p)) {
                out.tell(p, &letter);
            }
        }
    }

    /// Malformed, stale and repeated letters change nothing.
    fn read_letter(&mut self, now: Duration, letter: &Letter, out: &mut dyn Writer) {
        let Some((head, rows)) = letter::read(&letter.bytes) else { return };
        let from = letter.from as usize;
        if from >= self.last_letter.len() || letter.from == self.peers.me {
            return;
        }
        let (life, number) = self.last_letter[from];
        if (head.life, head.number) <= (life, number) {
            return;
        }
        self.last_letter[from] = (head.life, head.number);
        if head.life > life {
            // A peer that started again tells its totals from nothing; what it told before stays counted.
            for account in &mut self.accounts {
                account.roll(now, &self.plans[account.plan]);
                account.carried -= account.heard[0].get(from).unwrap_or(&0.0);
                (0..2).for_each(|i| account.note(i, from, 0.0));
            }
        }
        let just_started = self.started.is_none_or(|at| now < at + Duration::from_secs(1));
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
            match row.left {
                None => account.hear(now, plan, from, window, row.total, floor),
                Some(left) if just_started => {
                    if let Some(i) = account.place(window) {
                        account.note(i, from, row.total);
                    }
                    account.spilled += (account.left(now, plan) - left).max(0.0);
                }
                Some(_) => {}
            }
        }
        if head.asks {
            self.show_view(now, letter.from, out);
        }
    }

    /// Departure for restarts: a limiter that starts asks its peers what is left of each quota, as its
    /// own count of the window is gone. Guards also against lost windows after a long cut.
    fn show_view(&mut self, now: Duration, to: u32, out: &mut dyn Writer) {
        let mut rows = Vec::new();
        for account in &mut self.accounts {
            let plan = &self.plans[account.plan];
            account.roll(now, plan);
            let left = account.left(now, plan);
            if plan.rate > 0.0 && left < plan.burst - 0.5 && account.includes(to, self.peers.limiters) {
                let (customer, total) = (account.customer, account.own[0]);
                let window = account.window;
                rows.push(Row { customer, plan: account.plan, window, total, left: Some(left) });
            }
        }
        if !rows.is_empty() {
            self.post(now, false, Some(to), &rows, out);
        }
    }

    /// An unanswered add counts as made; one that surely was not made is due again.
    fn read_count(&mut self, now: Duration, answer: &CountAnswer) {
        // Guards against a counter that is full or gone: fewer calls until it answers again. A call in
        // twenty may fail before the rate falls, and it rises only where it binds. One in two seconds
        // is enough to notice that the counter is back.
        match answer.total {
            Some(_) if now < self.behind_until => self.calls *= 1.01,
            Some(_) => {}
            None => self.calls *= 0.8,
        }
        self.calls = self.calls.clamp(0.01, 64.0);
        let Some(&i) = self.by_customer.get(&answer.customer) else { return };
        let account = &mut self.accounts[i];
        account.stir(i, &mut self.stirred);
        let Some((window, own, amount)) = account.calling.filter(|call| call.0 == answer.window) else {
            return;
        };
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

    fn follow(&mut self, roster: &Roster) {
        self.roster_lost = roster.unavailable;
        if roster.unavailable {
            return;
        }
        if roster.whole {
            self.servers.iter_mut().flatten().for_each(|server| server.listed = false);
        }
        let limiters = self.peers.limiters;
        for entry in &roster.entries {
            let i = entry.server as usize;
            if i >= self.servers.len() {
                self.servers.resize_with(i + 1, || None);
            }
            let known = self.servers[i].is_some();
            let server =
                self.servers[i].get_or_insert_with(|| Server::new(*entry, &self.server_rules, limiters));
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

    /// The server for a trip: credit left there, and the least work in hand for its pace.
    fn choose(&mut self, now: Duration, job: u32) -> Option<u32> {
        let open = self.jobs[job as usize].as_ref()?;
        let category = &self.categories[open.job.category];
        let rules = &self.server_rules;
        let warm: Vec<f64> = self
            .servers
            .iter_mut()
            .flatten()
            .filter(|s| s.listed && s.cold_since.is_none())
            .map(|s| s.sends.sum(now))
            .collect();
        // Where limiters are many, credits are parts of a trip: all together bound what is out.
        let usable = |s: &&Server| s.listed && now >= s.benched_until;
        let (mut credits, mut busy) = (0.0, 0.0);
        for server in self.servers.iter_mut().flatten() {
            if usable(&&*server) {
                credits += server.credits * server.warmth(now, rules);
                busy += f64::from(server.out) + server.lost.sum(now);
            }
        }
        // Half of the credits left are room enough for what comes inside the quotas.
        self.idle = busy < 0.5 * credits && self.queue.is_empty();
        if busy + 1.0 > credits.max(1.0) {
            return None;
        }
        let warm_sends = warm.iter().sum::<f64>() / warm.len().max(1) as f64;
        let origin = open.ran.and_then(|(server, _)| self.servers[server as usize].as_ref()).map(|s| s.entry);
        let mut best: Option<(f64, u32)> = None;
        for (i, server) in self.servers.iter_mut().enumerate() {
            let Some(server) = server else { continue };
            if !server.listed || now < server.benched_until || server.silent(now, self.usual) {
                continue;
            }
            if let (Some(origin), Repeats::Referenced(group, _)) = (origin, category.repeats)
                && (group == Group::Zone && origin.zone != server.entry.zone
                    || group == Group::Cell && origin.cell != server.entry.cell)
            {
                continue;
            }
            let tried = open.trips.iter().filter(|trip| trip.server == i as u32).count();
            if open.trips.iter().any(|trip| trip.out && trip.server == i as u32) {
                continue;
            }
            let warmth = server.warmth(now, rules);
            if warmth >= 1.0 {
                server.cold_since = None;
            }
            let trial = server.strikes > 0 || server.fails(self.erring);
            let credits = if trial { 1.0 } else { server.credits * warmth };
            // A part of a credit is a whole one for part of the time, by turns among the limiters: guards
            // against all of them sending their one trip to a quick or a fresh server at once. Turns of
            // half a second outlast most trips; the golden ratio spreads them evenly.
            let turn = i as f64 * 0.618 + secs(now).div_euclid(0.5) * 0.382;
            let turn = (turn + f64::from(self.peers.me) / f64::from(self.peers.limiters)).fract();
            let credits = credits.floor() + f64::from(u8::from(turn < credits.fract()));
            // A credit comes back with an answer; without one, only once the work must be over.
            if f64::from(server.out) + server.lost.sum(now) + 1.0 > credits {
                continue;
            }
            // Every limiter sends a cold server its warm share times the warmth, far inside the
            // multiple that all together may send; one trip a window is always within it.
            if warmth < 1.0 && server.sends.sum(now) + 1.0 > (warm_sends * warmth).max(1.0) {
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

    /// Takes trips back from servers that fell silent, where the job may be sent again.
    fn watch(&mut self, now: Duration, out: &mut dyn Writer) {
        if !self.job_rules.may_revoke {
            return;
        }
        let usual = self.usual;
        let silent = |s: &Option<Server>| s.as_ref().is_some_and(|s| s.silent(now, usual));
        let silent: Vec<bool> = self.servers.iter().map(silent).collect();
        if !silent.contains(&true) {
            return;
        }
        for open in self.jobs.iter_mut().flatten().filter(|open| !open.done) {
            let again = match self.categories[open.job.category].repeats {
                Repeats::Replayable => true,
                Repeats::Referenced(_, memory) => open.trips.iter().all(|t| now < t.sent + memory / 2),
                Repeats::SingleUse => false,
            };
            let most = self.job_rules.most_trips as usize;
            if !again || open.trips.len() >= most || now >= open.target {
                continue;
            }
            for (n, trip) in open.trips.iter_mut().enumerate() {
                if trip.out && !trip.revoked && silent[trip.server as usize] {
                    trip.revoked = true;
                    out.revoke(open.job.job, n as u32);
                }
            }
        }
    }

    // ---- Jobs ----

    fn end_trip(&mut self, now: Duration, end: &TripEnd, out: &mut dyn Writer) {
        let (took, pressed) = (secs(end.took), !self.queue.is_empty());
        let Some(open) = self.jobs.get_mut(end.job as usize).and_then(|open| open.as_mut()) else { return };
        let Some(trip) = open.trips.get_mut(end.trip as usize).filter(|trip| trip.out) else { return };
        trip.out = false;
        if end.ending == Ending::Fulfilled {
            self.answers.add(now, 1.0);
            self.answer_times.add(now, took);
            // The calmest of the last buckets with enough answers to tell: load raises all of a bucket's.
            if let Some(least) = self.answer_times.least_mean(&self.answers, 20.0) {
                self.calm = least;
            }
        }
        let (sent, target) = (trip.sent, secs(self.categories[open.job.category].target_time));
        if let Some(server) = self.servers.get_mut(end.server as usize).and_then(|s| s.as_mut()) {
            server.out = server.out.saturating_sub(1);
            if !matches!(end.ending, Ending::Revoked | Ending::Expired | Ending::Unsent) {
                server.owing_since = now;
            }
            if !matches!(end.ending, Ending::TurnedAway | Ending::NoConnection | Ending::Unsent) {
                // Four tenths of the target time leave room for the slower answers; beyond three and a
                // half calm ones a server only queues, and some do less the more they hold.
                let long = (target * 0.4).min(self.calm * 2.5);
                // Three at a server over all limiters keep it at work, however long its answers take.
                let floor = 2.0 / f64::from(self.peers.limiters);
                server.pace(now, took, long, floor, pressed);
            }
            if matches!(end.ending, Ending::Expired | Ending::Revoked) {
                server.lost.add(now, 1.0);
            }
            match end.ending {
                Ending::Fulfilled => {
                    // Servers work in turn: what was left before this trip is over as well.
                    server.lost = Ring::new(Duration::from_secs(2));
                    server.took += (took - server.took) * if server.took > 0.0 { 0.1 } else { 1.0 };
                    self.usual += (took - self.usual) * 0.02;
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
                    // One drop is the link's; three with no answer between them are the server's.
                    if server.drops >= 3 || server.fails(self.erring) {
                        server.strike(now);
                        server.down |= server.drops >= 3 && server.strikes >= 2;
                    }
                }
                Ending::TurnedAway => {
                    server.credits = (server.credits * 0.7).max(1.0);
                    server.benched_until = server.benched_until.max(now + Duration::from_millis(100));
                }
                Ending::NoConnection => {
                    server.down = true;
                    server.strike(now);
                }
                Ending::Expired | Ending::Revoked
                    if took > self.usual * 4.0 && (server.out == 0 || server.silent(now, self.usual)) =>
                {
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
            account.add_own(window, units - open.job.units);
            account.stir(open.account, &mut self.stirred);
        }
        let finished = end.finished && !open.done;
        open.done |= end.finished;
        let still_out = open.trips.iter().any(|trip| trip.out);
        if finished {
            let account = &mut self.accounts[open.account];
            account.out = account.out.saturating_sub(1);
            for (n, trip) in open.trips.iter().enumerate() {
                if trip.out && self.job_rules.may_revoke {
                    out.revoke(end.job, n as u32);
                }
            }
        }
        if open.done {
            if !still_out {
                self.jobs[end.job as usize] = None;
            }
        } else if !still_out && !open.queued {
            if self.may_send_again(now, end.job) {
                if let Some(open) = self.jobs[end.job as usize].as_mut() {
                    open.queued = true;
                }
                self.queue.push(end.job);
            } else {
                self.give_up(now, end.job, out);
            }
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
        rule && in_time && open.trips.len() < self.job_rules.most_trips as usize
    }

    /// A streamed answer has begun: its server is not silent, however long the rest takes.
    fn answer_begins(&mut self, now: Duration, job: u32) {
        let Some(open) = self.jobs.get(job as usize).and_then(|open| open.as_ref()) else { return };
        for trip in open.trips.iter().filter(|trip| trip.out) {
            self.servers[trip.server as usize].iter_mut().for_each(|server| server.owing_since = now);
        }
    }

    /// The final answer of a job that is given up, at once: a deferral where that is harmless.
    fn give_up(&mut self, now: Duration, job: u32, out: &mut dyn Writer) {
        let Some(open) = self.jobs[job as usize].as_mut().filter(|open| !open.done) else { return };
        open.done = true;
        let harmless = match (self.categories[open.job.category].repeats, open.ran) {
            (_, None) | (Repeats::Replayable, _) | (Repeats::Referenced(Group::All, _), _) => true,
            (_, Some(_)) => false,
        };
        let account = &mut self.accounts[open.account];
        account.out = account.out.saturating_sub(1);
        if open.trips.is_empty() {
            account.roll(now, &self.plans[account.plan]);
            open.window.into_iter().for_each(|window| account.add_own(window, -open.job.units));
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
        if !open.trips.iter().any(|trip| trip.out) {
            self.jobs[job as usize] = None;
        }
    }

    fn leave(&mut self, job: u32, out: &mut dyn Writer) {
        let Some(open) = self.jobs.get_mut(job as usize).and_then(|open| open.as_mut()) else { return };
        if !open.done {
            open.done = true;
            let account = &mut self.accounts[open.account];
            account.out = account.out.saturating_sub(1);
        }
        for (n, trip) in open.trips.iter().enumerate() {
            if trip.out && self.job_rules.may_revoke {
                out.revoke(job, n as u32);
            }
        }
        if !open.trips.iter().any(|trip| trip.out) {
            self.jobs[job as usize] = None;
        }
    }

    /// Sends what waits to where credit is left, the last arrived first: under pressure the newest
    /// are answered in time, where the oldest first would make all of them just late. A job that could
    /// not be answered by its target time any more is given up at once.
    fn dispatch(&mut self, now: Duration, out: &mut dyn Writer) {
        if self.queue.is_empty() {
            return;
        }
        let mut queue = std::mem::take(&mut self.queue);
        // What gains less than half as much for its time, by the target time, goes after: overload then
        // sheds low gain first, and near equals fare alike.
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
            let (target, give_up) = (open.target, open.give_up);
            // Guards against giving everything up for good: slow answers must not raise the bar so far
            // that nothing is sent and no faster answer is ever seen. Half the target time bounds it.
            let least = secs(self.categories[open.job.category].target_time) / 2.0;
            let hopeless = now + span((self.usual * 1.5).min(least)) >= target.min(give_up);
            if hopeless || !self.may_send_again(now, job) {
                self.give_up(now, job, out);
                continue;
            }
            let Some(server) = self.choose(now, job) else {
                self.queue.push(job);
                continue;
            };
            let (Some(open), Some(at)) = (&mut self.jobs[job as usize], &mut self.servers[server as usize])
            else {
                continue;
            };
            open.queued = false;
            open.trips.push(Trip { server, sent: now, out: true, revoked: false });
            if at.out == 0 {
                at.owing_since = now;
            }
            at.out += 1;
            at.sends.add(now, 1.0);
            out.send(job, server, None);
        }
    }
}

#[cfg(test)]
mod tests;
