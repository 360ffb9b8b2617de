//! The state that the module keeps, and how it is measured over time; nothing is decided here.

use crate::decide::{ASKED_OVER, StartClock};
use crate::peer_batch::{self, BatchHeader, CounterRow};
use crate::remote_counts::QuotaSnapshot;
use crate::request::PendingRequest;
use crate::rolling_window::RollingWindow;
use crate::{
    Actions, Endpoint, EndpointConfig, EndpointState, FleetConfig, Plan, RequestClass,
    RequestLimits,
};
use nanorand::WyRand;
use std::collections::HashMap;
use std::time::Duration;

pub fn secs(time: Duration) -> f64 {
    time.as_secs_f64()
}

pub fn span(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX)
}

/// A place in a list that grows as indices come.
pub fn slot<T>(list: &mut Vec<Option<T>>, index: u32) -> &mut Option<T> {
    let i = index as usize;
    if i >= list.len() {
        list.resize_with(i + 1, || None);
    }
    &mut list[i]
}

/// A limiter that reported to the gatherer of a customer's counts.
pub struct Subscriber {
    pub peer: u32,
    pub heard: Duration,
    pub owed: bool,
}

/// What is known of one customer's quota. Index 0 of the pairs is the present window, 1 the one before
/// it, which late news still reach.
#[derive(Default)]
pub struct Account {
    pub customer: u64,
    pub plan: usize,
    pub me: usize,
    pub set_size: u32,
    pub set_first: u32,
    pub window: u64,
    /// Allowance that the window began with: what the store held then.
    pub carried: f64,
    /// Refill of this window that found the store full.
    pub spilled: f64,
    pub own: [f64; 2],
    /// Tries that came in here, admitted or not.
    pub tries: [f64; 2],
    /// By limiter, what it reported, and the sum; with a counter, all others' units by its total.
    pub heard: [Vec<f64>; 2],
    pub told: [f64; 2],
    pub summed: [f64; 2],
    /// Batches that are still to carry the window's row, and whether a counter call is due.
    pub news: [u8; 2],
    pub due: [bool; 2],
    /// It is on the limiter's list of accounts that may have something to tell.
    pub stirred: bool,
    /// Units that the counter was given, and the call it has not answered yet: window, own, amount.
    pub counted: [f64; 2],
    pub calling: Option<(u64, f64, f64)>,
    /// Own units admitted since the last batch: peers cannot know of them.
    pub untold: f64,
    /// Units asked for a second, as the gatherer tells; none where nobody gathers.
    pub pace: Option<f64>,
    /// Units asked for of late, at all limiters that report here.
    pub asked_units: RollingWindow,
    /// Units asked for that the gatherer was not told of, and when it was told last.
    pub unasked: f64,
    pub asked_at: Duration,
    /// At the gatherer: who reported when, and is owed an answer; what they were told last, and when.
    pub listeners: Vec<Subscriber>,
    pub told_left: f64,
    pub told_at: Duration,
    /// A new customer's quota is split until then, or until it is reported.
    pub split_until: Duration,
    pub out: u32,
    pub ceiling: f64,
    pub ceiling_at: Duration,
    /// Times it was looked at since a job or a peer message spoke of it.
    pub quiet: u32,
}

#[derive(Default)]
pub struct Server {
    pub entry: Endpoint,
    pub listed: bool,
    /// Not among those that this limiter sends to as a rule.
    pub aside: bool,
    /// Most attempts that this limiter has out there, and how many are.
    pub credits: f64,
    pub out: u32,
    pub took: f64,
    /// How much of the target time its answers use.
    pub slow: f64,
    pub errors: f64,
    pub strikes: u32,
    /// Attempts dropped since its last answer.
    pub drops: u32,
    pub benched_until: Duration,
    /// Since when it owes an answer and gave none.
    pub owing_since: Duration,
    pub cold_since: Option<Duration>,
    pub down: bool,
    /// Since when no connection to it came up, with no answer since and no refusal.
    pub unreachable_since: Option<Duration>,
    pub sends: RollingWindow,
    pub cut_at: Duration,
    /// Times it was looked at since the server list or a job spoke of it.
    pub quiet: u32,
}

/// One limiter: what it was started with and all that it keeps.
pub struct Limiter {
    pub(crate) plans: Vec<Plan>,
    pub(crate) classes: Vec<RequestClass>,
    pub(crate) fleet: FleetConfig,
    pub(crate) endpoint_config: EndpointConfig,
    pub(crate) request_limits: RequestLimits,
    pub(crate) chance: WyRand,
    pub(crate) accounts: Vec<Account>,
    /// Places of accounts that were forgotten.
    pub(crate) free_accounts: Vec<usize>,
    pub(crate) by_customer: HashMap<u64, usize>,
    pub(crate) stirred: Vec<usize>,
    pub(crate) servers: Vec<Option<Server>>,
    pub(crate) requests: Vec<Option<PendingRequest>>,
    pub(crate) queue: Vec<u32>,
    pub(crate) usual: f64,
    /// Share of attempts that fail, over all servers.
    pub(crate) erring: f64,
    /// Share of attempts whose answer was long overdue.
    pub(crate) losing: f64,
    /// How long answers of all servers take against what is long, and the level over the credits it gives.
    pub(crate) strain: f64,
    pub(crate) level: f64,
    /// Credits of all servers over those of the regular ones.
    pub(crate) reach: f64,
    /// Attempts that a warm server got lately.
    pub(crate) warm_sends: f64,
    /// Servers had credit to spare at the last choice.
    pub(crate) idle: bool,
    pub(crate) starts: StartClock,
    /// When no server at all could be reached last.
    pub(crate) cut_off_at: Option<Duration>,
    /// What answers take while servers are calm, and what tells it.
    pub(crate) calm: f64,
    pub(crate) answers: RollingWindow,
    pub(crate) answer_times: RollingWindow,
    pub(crate) started: Option<Duration>,
    pub(crate) beat_at: Duration,
    pub(crate) woken_at: Duration,
    pub(crate) swept_at: Duration,
    pub(crate) peer_messages: u64,
    /// Peer messages that may go out now; by peer, when it was told last and how many peer messages it left unanswered.
    pub(crate) message_room: f64,
    /// Peer messages in of late with what a gatherer tells.
    pub(crate) word: RollingWindow,
    pub(crate) told_peer: Vec<Duration>,
    pub(crate) owing: Vec<u32>,
    /// By limiter: the life and the number of the last peer message.
    pub(crate) last_peer_message: Vec<(u64, u64)>,
    /// The server list must be asked for, and the last call failed or is yet to be made.
    pub(crate) discovery_lost: bool,
    pub(crate) discovery_at: Duration,
    /// By class, how many tries came with which part of the deadline left, and the common share.
    pub(crate) left_seen: Vec<(Vec<f64>, f64)>,
    /// Counter calls a beat, and how many may go out now.
    pub(crate) calls: f64,
    pub(crate) call_room: f64,
    /// The counter could not take all calls of late.
    pub(crate) behind_until: Duration,
    pub(crate) messages_at: Duration,
}

impl Account {
    /// Its row of the present window or the one before in a peer message.
    pub fn row(&self, i: usize) -> CounterRow {
        let window = self.window.wrapping_sub(i as u64);
        CounterRow {
            customer: self.customer,
            plan: self.plan,
            window,
            total: self.own[i],
            demand: None,
            remaining: None,
            age: None,
        }
    }

    /// A reading of it as it stands in a peer message that passes it on.
    pub fn passed_on(&self, reading: QuotaSnapshot) -> CounterRow {
        let QuotaSnapshot { left, pace, age } = reading;
        CounterRow {
            demand: Some(pace),
            remaining: Some(left),
            age: Some(age),
            ..self.row(0)
        }
    }

    /// What others used: by the counter, whose total stands in this limiter's own place, or by their
    /// peer messages, where those tell of more.
    pub fn others(&self, i: usize) -> f64 {
        self.summed[i].max(self.told[i])
    }

    /// A limiter's total, its own place being the counter's; the sum runs along, as it is read often.
    pub fn note(&mut self, i: usize, from: usize, total: f64) {
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

    /// The pairs turn to a later window; says whether it is the next one.
    pub fn shift(&mut self, window: u64) -> bool {
        let next = window == self.window + 1;
        for pair in [
            &mut self.own,
            &mut self.counted,
            &mut self.tries,
            &mut self.told,
            &mut self.summed,
        ] {
            *pair = [0.0, if next { pair[0] } else { 0.0 }];
        }
        self.heard.swap(0, 1);
        self.heard[0].clear();
        if !next {
            self.heard[1].clear();
        }
        self.news = [0, self.news[0] * u8::from(next)];
        (self.spilled, self.window) = (0.0, window);
        next
    }

    /// Index of a window in the pairs; older ones are dropped, as are ones yet to come.
    pub fn place(&self, window: u64) -> Option<usize> {
        (0..2).find(|&i| self.window.checked_sub(i as u64) == Some(window))
    }

    /// Only accounts that something touched can have news.
    pub fn stir(&mut self, i: usize, stirred: &mut Vec<usize>) {
        self.quiet = 0;
        if !std::mem::replace(&mut self.stirred, true) {
            stirred.push(i);
        }
    }

    pub fn includes(&self, limiter: u32, limiters: u32) -> bool {
        (limiter + limiters - self.set_first % limiters) % limiters < self.set_size
    }
}

impl Limiter {
    /// Nothing seen yet.
    pub(crate) fn empty(
        seed: u64,
        plans: Vec<Plan>,
        classes: Vec<RequestClass>,
        fleet: FleetConfig,
        endpoint_config: EndpointConfig,
        request_limits: RequestLimits,
    ) -> Limiter {
        Limiter {
            usual: 0.0,
            calm: 0.0,
            answers: RollingWindow::default(),
            answer_times: RollingWindow::default(),
            last_peer_message: Vec::new(),
            message_room: 0.0,
            word: RollingWindow::default(),
            told_peer: Vec::new(),
            owing: Vec::new(),
            calls: 0.0,
            call_room: 0.0,
            behind_until: Duration::ZERO,
            messages_at: Duration::ZERO,
            left_seen: Vec::new(),
            plans,
            classes,
            fleet,
            endpoint_config,
            request_limits,
            chance: WyRand::new_seed(seed),
            erring: 0.0,
            strain: 0.0,
            level: 0.0,
            losing: 0.0,
            reach: 1.0,
            warm_sends: 0.0,
            idle: false,
            cut_off_at: None,
            starts: StartClock::default(),
            accounts: Vec::new(),
            free_accounts: Vec::new(),
            by_customer: HashMap::new(),
            stirred: Vec::new(),
            servers: Vec::new(),
            requests: Vec::new(),
            queue: Vec::new(),
            started: None,
            beat_at: Duration::ZERO,
            woken_at: Duration::ZERO,
            swept_at: Duration::ZERO,
            peer_messages: 0,
            discovery_lost: false,
            discovery_at: Duration::ZERO,
        }
    }

    /// A place for a customer's account, which nothing refers to yet.
    pub(crate) fn settle(&mut self, account: Account) -> usize {
        let i = self.free_accounts.pop().unwrap_or(self.accounts.len());
        self.by_customer.insert(account.customer, i);
        if i < self.accounts.len() {
            self.accounts[i] = account;
        } else {
            self.accounts.push(account);
        }
        i
    }

    /// A customer's account, a new one where there is none.
    pub(crate) fn account(&mut self, now: Duration, customer: u64, plan: usize) -> usize {
        let i = self.by_customer.get(&customer).copied().unwrap_or_else(|| {
            self.settle(Account::new(
                customer,
                plan,
                &self.plans[plan],
                self.fleet,
                now,
                ASKED_OVER,
            ))
        });
        self.accounts[i].stir(i, &mut self.stirred);
        i
    }

    /// Rows to a peer, in as many peer messages as they need.
    pub(crate) fn post(
        &mut self,
        now: Duration,
        to: u32,
        rows: &[CounterRow],
        actions: &mut dyn Actions,
    ) {
        let life = self.started.unwrap_or(now).as_millis() as u64;
        for peer_message in peer_batch::encode(
            BatchHeader {
                incarnation: life,
                sequence: self.peer_messages + 1,
            },
            rows,
        ) {
            self.peer_messages += 1;
            actions.send_peer_message(to, &peer_message);
        }
    }

    /// Drops the accounts that no job refers to and that are over.
    pub(crate) fn drop_accounts(&mut self, mut over: impl FnMut(&mut Account, &Plan) -> bool) {
        let mut kept = vec![false; self.accounts.len()];
        let held = self.requests.iter().flatten().map(|open| open.account);
        held.chain(self.free_accounts.iter().copied())
            .for_each(|i| kept[i] = true);
        for (i, account) in self
            .accounts
            .iter_mut()
            .enumerate()
            .filter(|(i, _)| !kept[*i])
        {
            if over(account, &self.plans[account.plan]) {
                self.by_customer.remove(&account.customer);
                // What it measured goes with it.
                *account = Account::default();
                self.free_accounts.push(i);
            }
        }
    }

    /// Drops the servers that no job refers to and that are over, and says which.
    pub(crate) fn drop_servers(&mut self, mut over: impl FnMut(&mut Server) -> bool) -> Vec<u32> {
        let mut kept = vec![false; self.servers.len()];
        let attempts = self
            .requests
            .iter()
            .flatten()
            .flat_map(|open| &open.attempts);
        attempts.for_each(|attempt| kept[attempt.server as usize] = true);
        let mut dropped = Vec::new();
        for (i, place) in self
            .servers
            .iter_mut()
            .enumerate()
            .filter(|(i, _)| !kept[*i])
        {
            if place.as_mut().is_some_and(&mut over) {
                *place = None;
                dropped.push(i as u32);
            }
        }
        dropped
    }

    /// Servers listed and not gone, and of those the ones avoided now: draining, or resting after failures, as
    /// the choice of a server reads them. For the operators' figures; decides nothing.
    pub fn endpoint_counts(&self, now: Duration) -> (usize, usize) {
        let known = self
            .servers
            .iter()
            .flatten()
            .filter(|server| server.entry.state != EndpointState::Removed);
        known.fold((0, 0), |(known, avoided), server| {
            (
                known + 1,
                avoided + usize::from(!server.listed || now < server.benched_until),
            )
        })
    }

    /// Classes and job rules of settings read again. Classes only grow: one with the same rules keeps its
    /// index, a new or changed one is appended, so that an open job keeps the rules it came under. Returns each
    /// given class's index here, in their order.
    pub fn reconfigure(
        &mut self,
        classes: &[RequestClass],
        request_limits: RequestLimits,
    ) -> Vec<usize> {
        self.request_limits = request_limits;
        let mut indices = Vec::with_capacity(classes.len());
        for class in classes {
            let same = self.classes.iter().rposition(|known| known == class);
            indices.push(same.unwrap_or_else(|| {
                // What was seen of the times left starts over, as for any class at start.
                self.left_seen.push((vec![0.0; 130], 1.0));
                self.classes.push(class.clone());
                self.classes.len() - 1
            }));
        }
        indices
    }

    /// How many plans and classes there are; a job names one of each.
    pub fn sizes(&self) -> (usize, usize) {
        (self.plans.len(), self.classes.len())
    }
}
