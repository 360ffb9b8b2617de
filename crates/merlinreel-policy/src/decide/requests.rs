//! Requests that are admitted: the order in which they are sent, further attempts, and the final answer.

use super::*;

/// A limiter may be held up for so long between reading its clock and writing, as the operators' page has it.
const HOLD_UP: Duration = Duration::from_millis(150);

/// How long the client has waited over earlier tries. First tries of a class come with one and the same
/// time left; a rarer one is what the deadline leaves of a later try. Guards quota and servers against
/// retries too late to earn. Clients that change their time-outs could suffer: so it forgets fast.
pub(super) fn elapsed(
    left: Duration,
    seen: &mut [f64],
    firsts: &mut f64,
    deadline: Duration,
) -> Duration {
    let steps = seen.len() - 2;
    let part = secs(left) / secs(deadline).max(0.001);
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
    if common || *firsts < 0.15 {
        Duration::ZERO
    } else {
        deadline.saturating_sub(left)
    }
}

impl Limiter {
    pub(super) fn end_attempt(
        &mut self,
        now: Duration,
        end: &AttemptResult,
        actions: &mut dyn Actions,
    ) {
        let (took, pressed) = (secs(end.latency), !self.queue.is_empty());
        // Where limiters hear each other, their own credits tell more.
        let load = if self.gathers() {
            end.load
        } else {
            LoadReport::default()
        };
        let Some(open) = self
            .requests
            .get_mut(end.request as usize)
            .and_then(|open| open.as_mut())
        else {
            return;
        };
        let Some(attempt) = open
            .attempts
            .get_mut(end.attempt as usize)
            .filter(|attempt| attempt.out)
        else {
            return;
        };
        attempt.out = false;
        let overdue = attempt.overdue;
        if end.outcome == AttemptOutcome::Success {
            self.answers.add(now, 1.0);
            self.answer_times.add(now, took);
            // The calmest of the last buckets with enough answers to tell: load raises all of a bucket's.
            if let Some(least) = self.answer_times.least_mean(&self.answers, 20.0) {
                self.calm = least;
            }
        }
        // Two at a server over all limiters keep it at work, however long its answers take.
        let floor = 2.0 / f64::from(self.fleet.limiters);
        let (sent, target) = (
            attempt.sent,
            secs(self.classes[open.request.class].latency_objective),
        );
        if let Some(server) = self
            .servers
            .get_mut(end.server as usize)
            .and_then(|s| s.as_mut())
        {
            if !overdue {
                server.out = server.out.saturating_sub(1);
            }
            if !matches!(
                end.outcome,
                AttemptOutcome::Cancelled
                    | AttemptOutcome::DeadlineExceeded
                    | AttemptOutcome::NotSent
            ) {
                server.owing_since = now;
            }
            if !end.outcome.never_ran() && (!overdue || end.outcome == AttemptOutcome::Success) {
                // Four tenths of the target time leave room; beyond 2.5 calm ones servers only queue.
                let long = (target * 0.4).min(self.calm * 2.5).max(0.001);
                server.pace(now, took, long, floor, pressed);
                // A client that gave up would have waited longer: thrice as long stands for it.
                let felt = if end.outcome == AttemptOutcome::DeadlineExceeded {
                    took.max(3.0 * long)
                } else {
                    took
                };
                self.strain += (felt / long - self.strain) * 0.03;
                self.level = next_level(self.level, self.strain, pressed, &load);
            }
            match end.outcome {
                AttemptOutcome::Success => {
                    server.took += (took - server.took) * if server.took > 0.0 { 0.1 } else { 1.0 };
                    if watched(end.request) {
                        self.usual += (took - self.usual) * 0.05;
                        self.losing *= 0.98;
                    }
                    server.errors *= 0.9;
                    self.erring *= 0.99;
                    (server.strikes, server.drops) = (0, 0);
                    // What no server could be reached for is this limiter's own doing: none has started anew by it.
                    let since = server.unreachable_since.take();
                    let cut_off =
                        since.is_some_and(|since| self.cut_off_at.is_some_and(|at| at >= since));
                    if std::mem::take(&mut server.down) && !cut_off {
                        server.cold_since = Some(now);
                    }
                }
                AttemptOutcome::Error | AttemptOutcome::ConnectionLost => {
                    server.errors += (1.0 - server.errors) * 0.1;
                    self.erring += (1.0 - self.erring) * 0.01;
                    server.drops += u32::from(end.outcome == AttemptOutcome::ConnectionLost);
                    // One drop is the link's; three with no answer between them are the server's, or as many
                    // as chance hardly brings where all fail often, as with answers that nobody can use.
                    let lost = server.drops >= 3 && self.erring.powi(server.drops as i32) < 0.002;
                    if lost || server.fails(self.erring) {
                        server.strike(now);
                        server.down |= lost && server.strikes >= 2;
                    }
                }
                AttemptOutcome::Rejected => {
                    // Never more than before: with many limiters credits are parts of an attempt.
                    server.credits = (server.credits * 0.7).max(floor.min(server.credits));
                    server.benched_until =
                        server.benched_until.max(now + Duration::from_millis(100));
                }
                AttemptOutcome::ConnectionRefused => {
                    (server.down, server.unreachable_since) = (true, None);
                    server.strike(now);
                }
                AttemptOutcome::Unreachable => {
                    server.down = true;
                    server.unreachable_since.get_or_insert(now);
                    server.strike(now);
                }
                _ => {}
            }
        }
        if end.outcome == AttemptOutcome::Unreachable && reaches_none(&self.servers) {
            self.cut_off_at = Some(now);
        }
        if !end.outcome.never_ran() && open.ran.is_none() {
            open.ran = Some((end.server, sent));
        }
        if let (Some(units), Some(window), true) = (end.units, open.window, self.fleet.settles) {
            let account = &mut self.accounts[open.account];
            account.roll(now, &self.plans[account.plan]);
            account.add_own(window, (units - open.request.units) * open.stands_for);
            account.stir(open.account, &mut self.stirred);
        }
        let stays = !open.queued && !open.attempts.iter().any(|attempt| attempt.out);
        if end.request_completed || open.done {
            self.close(end.request, actions);
        } else if stays && self.may_send_again(now, end.request) {
            self.requests[end.request as usize]
                .iter_mut()
                .for_each(|open| open.queued = true);
            self.queue.push(end.request);
        } else if stays {
            self.give_up(now, end.request, actions);
        }
    }

    pub(super) fn may_send_again(&self, now: Duration, request: u32) -> bool {
        let Some(open) = self.requests[request as usize].as_ref() else {
            return false;
        };
        let class = &self.classes[open.request.class];
        let in_time = now < open.target || class.late_weight > 0.0 && now < open.give_up;
        let rule = match (class.repeats, open.ran) {
            (_, None) | (Idempotency::Idempotent, _) => true,
            (Idempotency::IdempotencyKey(_, memory), Some((_, sent))) => {
                now + HOLD_UP < sent + memory
            }
            (Idempotency::NonIdempotent, Some(_)) => false,
        };
        rule && in_time && open.attempts.len() < self.request_limits.max_attempts as usize
    }

    /// A streamed answer has begun: its server is not silent, and the attempt is never taken back.
    pub(super) fn answer_begins(&mut self, now: Duration, request: u32) {
        let open = self
            .requests
            .get_mut(request as usize)
            .into_iter()
            .flatten();
        for attempt in open
            .flat_map(|open| &mut open.attempts)
            .filter(|attempt| attempt.out)
        {
            attempt.revoked = true;
            self.servers[attempt.server as usize]
                .iter_mut()
                .for_each(|server| server.owing_since = now);
        }
    }

    /// The final answer of a job that is given up, at once: a refusal where that is harmless.
    pub(super) fn give_up(&mut self, now: Duration, request: u32, actions: &mut dyn Actions) {
        let Some(open) = self.requests[request as usize]
            .as_mut()
            .filter(|open| !open.done)
        else {
            return;
        };
        let harmless = match (self.classes[open.request.class].repeats, open.ran) {
            (_, None) | (Idempotency::Idempotent, _) => true,
            // Guards the effect against clients told to come back once no server knows the key any more.
            (Idempotency::IdempotencyKey(IdempotencyScope::All, memory), Some((_, sent))) => {
                now < sent + memory
            }
            (_, Some(_)) => false,
        };
        let account = &mut self.accounts[open.account];
        if open.attempts.is_empty() {
            account.roll(now, &self.plans[account.plan]);
            open.window
                .into_iter()
                .for_each(|window| account.add_own(window, -open.request.units * open.stands_for));
            account.stir(open.account, &mut self.stirred);
            account.ceiling += open.request.units;
        }
        if harmless {
            let plan = &self.plans[account.plan];
            // To the window's end, not the refill: servers that are full need a pause.
            let wait = window_length(plan) * (account.window + 1) as f64 - secs(now);
            actions.reject(request, self.request_limits.retry_after.then(|| span(wait)));
        } else {
            actions.fail(request);
        }
        self.close(request, actions);
    }

    /// The job has its final answer: attempts still out are taken back, and nothing more is sent.
    pub(super) fn close(&mut self, request: u32, actions: &mut dyn Actions) {
        let Some(open) = self
            .requests
            .get_mut(request as usize)
            .and_then(|open| open.as_mut())
        else {
            return;
        };
        if !std::mem::replace(&mut open.done, true) {
            let account = &mut self.accounts[open.account];
            account.out = account.out.saturating_sub(1);
        }
        let mut still_out = false;
        for (n, attempt) in open
            .attempts
            .iter_mut()
            .enumerate()
            .filter(|(_, attempt)| attempt.out)
        {
            still_out = true;
            if self.request_limits.cancellation && !std::mem::replace(&mut attempt.revoked, true) {
                actions.cancel_attempt(request, n as u32);
            }
        }
        if !still_out {
            self.requests[request as usize] = None;
        }
    }

    /// Sends what waits, the last arrived first: under pressure the newest are answered in time, where the
    /// oldest first would make all late. What cannot be answered by its target time is given up at once.
    pub(super) fn dispatch(&mut self, now: Duration, actions: &mut dyn Actions) {
        let mut queue = std::mem::take(&mut self.queue);
        let answers_seen = self.answers.sum(now) > 0.0;
        // What gains less than half as much for its target time goes after; near equals fare alike.
        let worth = |open: &PendingRequest| {
            let class = &self.classes[open.request.class];
            class.priority_weight * self.plans[open.request.plan].plan_weight
                / secs(class.latency_objective).max(0.001)
        };
        let most = queue
            .iter()
            .flat_map(|&request| &self.requests[request as usize])
            .map(worth)
            .fold(0.0, f64::max);
        queue.sort_by_cached_key(|&request| match &self.requests[request as usize] {
            Some(open) => (
                (most / worth(open).max(1e-9)).log2() as u32,
                std::cmp::Reverse(open.arrived),
            ),
            None => (0, std::cmp::Reverse(now)),
        });
        for request in queue {
            let Some(open) = self.requests[request as usize]
                .as_ref()
                .filter(|open| !open.done && open.queued)
            else {
                continue;
            };
            // Half the target time bounds it: slow answers must not stop all sending for good. Nor does a starting value,
            // before any answer was seen: nothing would be learnt where all have little time left.
            let least = secs(self.classes[open.request.class].latency_objective) / 2.0;
            let needed = if answers_seen {
                (self.usual * 1.5).min(least)
            } else {
                0.0
            };
            let hopeless = now + span(needed) >= open.target.min(open.give_up);
            if hopeless || !self.may_send_again(now, request) {
                self.give_up(now, request, actions);
                continue;
            }
            let Some(server) = self.choose(now, request) else {
                self.queue.push(request);
                continue;
            };
            let places = (
                &mut self.requests[request as usize],
                &mut self.servers[server as usize],
            );
            let (Some(open), Some(at)) = places else {
                continue;
            };
            open.queued = false;
            open.attempts.push(Attempt {
                server,
                sent: now,
                out: true,
                revoked: false,
                overdue: false,
            });
            if at.out == 0 {
                at.owing_since = now;
            }
            at.out += 1;
            at.sends.add(now, 1.0);
            // Servers keep a key so long after the first attempt that may have run: a repeat has to be there by then.
            let within = match (self.classes[open.request.class].repeats, open.ran) {
                (Idempotency::IdempotencyKey(_, memory), Some((_, sent))) => {
                    Some((sent + memory).saturating_sub(now + HOLD_UP))
                }
                _ => None,
            };
            actions.start_attempt(request, server, within);
        }
    }
}
