//! Quotas: one account per customer, counted in clock-aligned windows, and what limiters tell one another of them.

use super::requests::elapsed;
use super::*;

/// What is asked is measured over some reports of each limiter, and soon forgotten after a burst.
pub(crate) const ASKED_OVER: Duration = Duration::from_secs(3);
/// How long one that asked is told by the gatherer, and so how long a reading holds; who goes on using a customer asks
/// sooner again.
pub(super) const LISTENED: Duration = Duration::from_secs(5);

/// Readings passed on in a peer message, beside its own rows: each of some thirty customers then reaches each limiter, which
/// takes tens of peer messages a second, about once a second.
pub(super) const SAID: usize = 2;

/// Departure where one limiter gathers: a try's chance. Less as the store empties and as more is asked, so
/// use settles at the refill with a third of the store left, however old the reading is.
pub(super) fn draw(left: f64, pace: f64, plan: &Plan) -> f64 {
    (left / (pace.max(plan.rate) * window_length(plan) / 3.0)).clamp(0.0, 1.0)
}

/// Departure where one gathers: what its gatherer or another read of a customer that asks for more than its quota goes
/// along with each peer message. Guards against hundreds of limiters each letting in a first job of a quota that is used up.
pub(super) fn passed_on(reading: &QuotaSnapshot, plan: &Plan) -> bool {
    let pressed = reading.pace > plan.rate && draw(reading.left, reading.pace, plan) < 1.0;
    pressed && reading.age < LISTENED / 2
}

impl Account {
    /// The retry-after: to the window's end, or sooner, where the even refill covers the job before.
    pub(super) fn opens_in(&self, now: Duration, plan: &Plan, units: f64) -> f64 {
        let edge = window_length(plan) * (self.window + 1) as f64 - secs(now);
        // Twice the units, as peers wait for the refill too.
        let refill = (2.0 * units - self.left(now, plan)) / plan.rate.max(0.001);
        edge.min(refill.max(0.05))
    }

    /// Limiters that this quota is split over while they are blind to each other: those that used it lately,
    /// as far as they are likely to take from it in that time. A slow customer's is hardly split.
    pub(super) fn sharers(
        &self,
        now: Duration,
        plan: &Plan,
        blind: f64,
        fleet: FleetConfig,
    ) -> f64 {
        let set = f64::from(self.set_size.max(1));
        if now < self.split_until {
            return set;
        }
        let told = |i: usize, p: usize| self.heard[i].get(p).is_some_and(|&units| units > 0.0);
        let all = self.heard[0].len().max(self.heard[1].len());
        let told = (0..all).filter(|&p| told(0, p) || told(1, p)).count() as f64;
        let used = self.others(0) + self.others(1);
        let others = if fleet.counter && used > 0.0 {
            set - 1.0
        } else {
            told
        };
        let seen_for = secs(now) - (self.window.saturating_sub(1)) as f64 * window_length(plan);
        let pace = (self.tries.iter().sum::<f64>() * others).max(used) / seen_for.max(0.1);
        // Twice what is expected of them, as they come in bursts.
        1.0 + others.min(2.0 * pace * blind)
    }

    pub(super) fn admits(
        &self,
        now: Duration,
        plan: &Plan,
        units: f64,
        blind: f64,
        fleet: FleetConfig,
        lot: f64,
    ) -> bool {
        if plan.max_concurrent > 0
            && self.out >= (plan.max_concurrent / self.set_size.max(1)).max(1)
        {
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
        let share = (left + self.untold) / self.sharers(now, plan, blind, fleet) - self.untold;
        let first = now < self.split_until && self.untold == 0.0;
        left >= units && (first || units <= share)
    }

    /// Guards the hard ceiling alone, whatever peers do: each limiter of the set keeps a part of its
    /// own, which starts empty but for half the slack, as a restart finds the store as it stands.
    pub(super) fn under_ceiling(&mut self, now: Duration, plan: &Plan, units: f64) -> bool {
        if plan.ceiling_rate <= 0.0 {
            return true;
        }
        let part = f64::from(self.set_size.max(1));
        let gained = secs(now.saturating_sub(self.ceiling_at)) * plan.ceiling_rate / part;
        self.ceiling = (self.ceiling + gained).min(plan.ceiling_burst / part);
        self.ceiling_at = now;
        units <= self.ceiling + plan.ceiling_slack / part / 2.0
    }

    /// Departure for limiters too many to tell each other in time: one of a customer's set gathers the
    /// counts and tells the others what is left; the next of the set does while that one is silent.
    pub(super) fn gatherer(&self, fleet: FleetConfig, owing: &[u32]) -> u32 {
        let set = u64::from(self.set_size.max(1));
        // A multiplier with well mixed bits spreads customers over their sets.
        let start = self.customer.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
        let place =
            |k| (self.set_first % fleet.limiters + ((start + k) % set) as u32) % fleet.limiters;
        // Five peer messages unanswered: some are lost, and two that gather for one customer tell too much.
        let fit = |&p: &u32| p == fleet.me || owing[p as usize] < 5;
        (0..set).map(place).find(fit).unwrap_or(fleet.me)
    }

    /// Tells who asked of late, where what is left is not what they must think.
    pub(super) fn tell_listeners(&mut self, now: Duration, plan: &Plan) {
        let (left, asked) = (self.left(now, plan), self.asked(now, ASKED_OVER));
        let thought = draw(self.thought(now, plan), self.pace.unwrap_or(0.0), plan);
        let true_one = draw(left, asked, plan);
        // A third more or less is no more than use varies by chance.
        if (true_one - thought).abs() > 0.35 * true_one.max(thought) {
            (self.told_left, self.pace, self.told_at) = (left, Some(asked), now);
            self.listeners
                .iter_mut()
                .for_each(|listener| listener.owed = true);
        }
        self.listeners
            .retain(|listener| now < listener.heard + LISTENED);
    }
}

impl Limiter {
    pub(super) fn take(&mut self, now: Duration, request: &Request, actions: &mut dyn Actions) {
        let gathers = self.gathers();
        let counted = gathers || self.fleet.counter && now >= self.behind_until;
        let interval = if counted {
            self.beat()
        } else {
            self.message_interval()
        };
        let blind = secs(interval) + 0.03; // And the way of a peer message or a call, some tens of ms.
        // Where one gathers no peer is heard directly: a new quota would seem whole at each of hundreds.
        let split = if gathers { LISTENED } else { interval };
        let i = self.account(now, request.customer, request.plan);
        let (account, fleet) = (&mut self.accounts[i], self.fleet);
        let plan = &self.plans[account.plan];
        if account.set_size == 0 {
            account.split_until = now + split;
        }
        (account.set_size, account.set_first) = (request.set_size.max(1), request.set_first);
        account.roll(now, plan);
        account.tries[0] += 1.0;
        account.unasked += request.units;
        account.asked_units.add(now, request.units);
        let class = &self.classes[request.class];
        let (seen, firsts) = &mut self.left_seen[request.class];
        let elapsed = elapsed(request.remaining_time, seen, firsts, class.deadline);
        // What earns little any more takes units only from a store that is well filled.
        let late = elapsed >= class.latency_objective;
        let worth_it =
            !late || class.late_weight > 0.0 && account.left(now, plan) > plan.burst / 2.0;
        // Departure: where a plan earns beyond the quota more than it costs, idle servers take such jobs.
        // They find the store empty and take nothing from it.
        let beyond = account.left(now, plan) < request.units;
        let welcome = beyond && plan.overage_value > plan.overage_cost && self.idle;
        let lot = self.chance.generate::<f64>();
        let admitted =
            worth_it && (welcome || account.admits(now, plan, request.units, blind, fleet, lot));
        if !admitted || !account.under_ceiling(now, plan, request.units) {
            account.due[0] = true;
            let wait = account.opens_in(now, plan, request.units);
            actions.reject(
                request.id,
                self.request_limits.retry_after.then(|| span(wait)),
            );
            return;
        }
        // Departure where one gathers: a quarter of its inbox is for what is let in. Of small jobs one in some is
        // reported and stands for all, lest a customer that asks much drown its gatherer and seem to ask little.
        let heard = match account.pace_known(now, LISTENED) {
            Some(_) if gathers => request.units * fleet.peer_inbox_rate / (4.0 * plan.rate),
            _ => 1.0,
        };
        let stands_for = if heard >= 1.0 {
            1.0
        } else {
            f64::from(u8::from(self.chance.generate::<f64>() < heard)) / heard
        };
        let window = (!welcome && stands_for > 0.0).then_some(account.window);
        window
            .into_iter()
            .for_each(|window| account.add_own(window, request.units * stands_for));
        if !welcome {
            account.untold += request.units;
            account.told_left -= request.units;
        }
        account.ceiling -= request.units;
        account.out += 1;
        let target = now + class.latency_objective.saturating_sub(elapsed);
        *slot(&mut self.requests, request.id) = Some(PendingRequest {
            stands_for,
            ..PendingRequest::new(request, i, now, target, window)
        });
        self.queue.push(request.id);
    }

    /// Drains the news: one add a customer where a counter is given, else one batch a peer, each told only of
    /// the customers it shares. The emptiest quotas go first, the rest wait for the next time.
    pub(super) fn sync(&mut self, now: Duration, actions: &mut dyn Actions) {
        if self.gathers() {
            return self.gather(now, actions);
        }
        let (limiters, me, counter) = (self.fleet.limiters, self.fleet.me, self.fleet.counter);
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
                actions.increment_counter(account.customer, window, amount, keep);
            }
        }
        // Departure: peer messages beside a counter that cannot take all calls, as it is crowded, slow or gone.
        if !self.fleet.peer_messages
            || now < self.messages_at
            || counter && now >= self.behind_until
        {
            return;
        }
        self.messages_at = now + self.message_interval();
        let mut rows: Vec<Vec<CounterRow>> = vec![Vec::new(); limiters as usize];
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
            self.post(now, p, &rows[p as usize], actions);
        }
    }

    /// The batch where one limiter of a set gathers: totals go to it, and what is left comes back.
    pub(super) fn gather(&mut self, now: Duration, actions: &mut dyn Actions) {
        let fleet = self.fleet;
        // Few gather for customers that ask much, and must tell many at once: each has four times its even
        // share, while what it is told itself, as all are by all, leaves two thirds of its inbox to reports.
        let more = if self.word.sum(now) < fleet.peer_inbox_rate / 3.0 {
            4.0
        } else {
            1.0
        };
        let room =
            more * f64::from(fleet.limiters) * secs(self.beat()) / secs(self.message_interval());
        self.message_room = (self.message_room + room).min(room + 4.0);
        let mut mail: Vec<(f64, Vec<CounterRow>)> =
            vec![(0.0, Vec::new()); fleet.limiters as usize];
        let (accounts, plans, owing) = (&mut self.accounts, &self.plans, &self.owing);
        let mut said = Vec::new();
        self.stirred.retain(|&i| {
            let account = &mut accounts[i];
            let plan = &plans[account.plan];
            account.roll(now, plan);
            let to = account.gatherer(fleet, owing);
            let gathers = account.set_size > 0 && to == fleet.me;
            let reading = account
                .reading(now, gathers, ASKED_OVER, plan)
                .filter(|it| passed_on(it, plan));
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
                let row = CounterRow {
                    total,
                    demand: Some(asked),
                    remaining: left,
                    ..account.row(i)
                };
                mail[to as usize].0 += need;
                mail[to as usize].1.push(row);
            };
            // A set of hundreds would fill the gatherer's inbox by asking alone: a quarter of it is for that.
            let turn = span(4.0 * f64::from(account.set_size) / fleet.peer_inbox_rate.max(1.0));
            let asks = account.due[0] && now >= account.asked_at + turn.max(LISTENED * 3 / 4);
            if account.news[1] > 0 {
                add(to, 1, account.own[1], 0.0, None);
            }
            if account.news[0] > 0 || asks {
                add(to, 0, account.own[0], account.unasked, None);
            }
            for listener in account.listeners.iter().filter(|listener| listener.owed) {
                let total = account.heard[0]
                    .get(listener.peer as usize)
                    .copied()
                    .unwrap_or(0.0);
                add(listener.peer, 0, total, pace, Some(left));
            }
            account.stirred =
                !account.listeners.is_empty() || account.news != [0, 0] || account.due[0];
            account.stirred
        });
        let due =
            |p: u32| mail[p as usize].0 * secs(now.saturating_sub(self.told_peer[p as usize]));
        let mut order: Vec<u32> = (0..fleet.limiters)
            .filter(|&p| mail[p as usize].0 > 0.0)
            .collect();
        order.sort_by(|&a, &b| due(b).total_cmp(&due(a)));
        order.truncate(self.message_room as usize);
        for p in order {
            self.message_room -= 1.0;
            self.told_peer[p as usize] = now;
            let rows = &mut mail[p as usize].1;
            // Rows with two numbers more; what does not fit waits for the next peer message.
            rows.truncate(ROWS * 2 / 3);
            self.owing[p as usize] += u32::from(rows.iter().any(|row| row.remaining.is_none()));
            for row in rows.iter() {
                let account = &mut self.accounts[self.by_customer[&row.customer]];
                if row.remaining.is_some() {
                    account
                        .listeners
                        .iter_mut()
                        .filter(|l| l.peer == p)
                        .for_each(|l| l.owed = false);
                } else {
                    (account.news, account.due[0], account.unasked) = ([0, 0], false, 0.0);
                    account.asked_at = now;
                }
            }
            let turn = (self.peer_messages as usize * SAID) % said.len().max(1);
            let by_turns = said[turn..].iter().chain(&said[..turn]);
            let shared = by_turns.filter(|(i, _)| self.accounts[*i].includes(p, fleet.limiters));
            let row = |&(i, reading): &(usize, QuotaSnapshot)| self.accounts[i].passed_on(reading);
            mail[p as usize].1.extend(shared.take(SAID).map(row));
            self.post(now, p, &mail[p as usize].1, actions);
        }
    }

    /// Malformed, stale and repeated peer messages change nothing.
    pub(super) fn read_peer_message(&mut self, now: Duration, peer_message: &PeerMessage) {
        let Some((head, rows)) = peer_batch::decode(&peer_message.bytes) else {
            return;
        };
        let from = peer_message.from as usize;
        if from >= self.last_peer_message.len() || peer_message.from == self.fleet.me {
            return;
        }
        let (life, number) = self.last_peer_message[from];
        if (head.incarnation, head.sequence) <= (life, number) {
            return;
        }
        self.last_peer_message[from] = (head.incarnation, head.sequence);
        self.word.add(
            now,
            f64::from(u8::from(
                rows.iter()
                    .any(|row| row.remaining.is_some() && row.age.is_none()),
            )),
        );
        self.owing[from] = 0;
        if head.incarnation > life {
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
            let floor = if self.fleet.settles {
                self.fleet.max_units
            } else {
                0.0
            };
            account.roll(now, plan);
            let window = account
                .window
                .saturating_sub(account.window.wrapping_sub(row.window) & 3);
            let Some(left) = row.remaining else {
                account.hear(now, plan, from, window, row.total, floor);
                if let Some(asked) = row.demand {
                    account.asked_units.add(now, asked);
                    // Who reported of late was told of every change since.
                    let known = account
                        .listeners
                        .iter()
                        .any(|one| one.peer == peer_message.from && !one.owed);
                    account
                        .listeners
                        .retain(|listener| listener.peer != peer_message.from);
                    account.listeners.push(Subscriber {
                        peer: peer_message.from,
                        heard: now,
                        owed: !known,
                    });
                }
                continue;
            };
            let gatherer = account.gatherer(self.fleet, &self.owing);
            if let (Some(age), Some(pace)) = (row.age, row.demand) {
                if gatherer != self.fleet.me || account.set_size == 0 {
                    account.overhear(now, plan, QuotaSnapshot { left, pace, age }, LISTENED);
                }
                continue;
            }
            let told = gatherer == peer_message.from;
            if let (Some(i), true) = (account.place(window), told) {
                // The gatherer's reading, less what it could not know of yet.
                account.told_left = left - account.own[..=i].iter().sum::<f64>() + row.total;
                account.spilled += account.left(now, plan) - account.told_left;
                (account.told_at, account.pace, account.split_until) =
                    (now, row.demand, Duration::ZERO);
            }
        }
    }

    /// An unanswered add counts as made; one that surely was not made is due again.
    pub(super) fn read_count(&mut self, now: Duration, answer: &CounterReply) {
        // Guards against a counter that is full or gone: fewer calls, down to one in two seconds. A call in
        // twenty may fail before the rate falls; it rises only where it binds.
        let bound = if now < self.behind_until { 1.01 } else { 1.0 };
        self.calls *= if answer.total.is_some() { bound } else { 0.8 };
        self.calls = self.calls.clamp(0.01, 64.0);
        let Some(&i) = self.by_customer.get(&answer.customer) else {
            return;
        };
        let account = &mut self.accounts[i];
        account.stir(i, &mut self.stirred);
        let call = account.calling.filter(|call| call.0 == answer.window);
        let Some((window, own, amount)) = call else {
            return;
        };
        account.calling = None;
        account.roll(now, &self.plans[account.plan]);
        match (answer.total, account.place(window)) {
            (Some(total), _) => {
                let (floor, me) = (self.fleet.max_units, self.fleet.me as usize);
                account.hear(
                    now,
                    &self.plans[account.plan],
                    me,
                    window,
                    total - own,
                    floor,
                );
            }
            (None, Some(i)) if answer.not_added => {
                account.counted[i] -= amount;
                account.due[i] = true;
            }
            _ => {}
        }
    }
}
