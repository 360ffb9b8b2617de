//! One limiter: combines the parts, and passes a batch of events through them.

use crate::actions::Actions;
use crate::events::EventBatch;
use crate::expiry;
use crate::model::attempt::{AttemptResult, LoadReport};
use crate::model::limiter_config::LimiterConfig;
use crate::model::request::{Request, RequestLimits};
use crate::model::request_class::RequestClass;
use crate::quota::aggregation::DEMAND_WINDOW;
use crate::quota::counter_client::CounterClient;
use crate::quota::intervals::{tick_interval, uses_aggregator};
use crate::quota::peer_links::PeerLinks;
use crate::quota::table::QuotaTable;
use crate::quota::{counter, peer_reports, replication};
use crate::request::admission::Admission;
use crate::request::completion;
use crate::request::queue::Dispatch;
use crate::request::remaining_time::RemainingTimeHistogram;
use crate::request_table::RequestTable;
use crate::server::attempt_results::{self, ObservedResult};
use crate::server::endpoint_updates;
use crate::server::overdue_attempts::detect_overdue_attempts;
use crate::server::pool::{EndpointCounts, ServerPool};
use crate::server::pool_latency::PoolLatency;
use crate::server::subscription::EndpointSubscription;
use crate::time;
use nanorand::WyRand;
use std::time::Duration;

/// Initial budget of calls to the counter service per tick, over all limiters: a light load for such a service.
const INITIAL_COUNTER_CALLS_PER_TICK: f64 = 20.0;
/// Until responses arrive, their latency is assumed to be the shortest latency objective divided by this.
const EXPECTED_LATENCY_DIVISOR: f64 = 5.0;
/// Upper bound of the latency that is assumed until responses arrive.
const MAX_EXPECTED_LATENCY_SECONDS: f64 = 1.0;
const MIN_WAKEUP_DELAY: Duration = Duration::from_millis(1);
/// A tick that is late by more than this indicates an event loop stall: results may have arrived that have not been
/// read yet.
const MAX_TICK_DELAY: Duration = Duration::from_millis(100);

/// When work that no event triggers is due or was last done, on the limiter's clock.
#[derive(Debug, Default)]
struct Schedule {
    next_tick: Duration,
    next_wakeup: Duration,
    last_expiry_check: Duration,
}

/// One limiter: its configuration and its state. It does no I/O, and reads no clock.
pub struct Limiter {
    pub(crate) config: LimiterConfig,
    pub(crate) quotas: QuotaTable,
    pub(crate) servers: ServerPool,
    pub(crate) latency: PoolLatency,
    pub(crate) requests: RequestTable,
    remaining_times: Vec<RemainingTimeHistogram>,
    pub(crate) peers: PeerLinks,
    pub(crate) counter: CounterClient,
    pub(crate) subscription: EndpointSubscription,
    schedule: Schedule,
    random: WyRand,
}

impl Limiter {
    /// A limiter without servers, accounts and requests. The same seed and events give the same decisions.
    pub fn new(seed: u64, config: LimiterConfig) -> Limiter {
        let expected_seconds = config
            .classes
            .iter()
            .map(|class| time::seconds(class.latency_objective) / EXPECTED_LATENCY_DIVISOR)
            .fold(MAX_EXPECTED_LATENCY_SECONDS, f64::min);
        let calls_per_tick = INITIAL_COUNTER_CALLS_PER_TICK / f64::from(config.fleet.limiters);
        Limiter {
            quotas: QuotaTable::new(DEMAND_WINDOW),
            servers: ServerPool::default(),
            latency: PoolLatency::new(expected_seconds),
            requests: RequestTable::default(),
            remaining_times: config
                .classes
                .iter()
                .map(|_| RemainingTimeHistogram::default())
                .collect(),
            peers: PeerLinks::new(&config.fleet),
            counter: CounterClient::new(calls_per_tick),
            subscription: EndpointSubscription::default(),
            schedule: Schedule::default(),
            random: WyRand::new_seed(seed),
            config,
        }
    }

    /// Limits the number of customers whose accounts are kept at the same time. Requests of further ones are rejected while
    /// no account can be dropped. Without a limit, the memory grows with the number of customers.
    #[must_use]
    pub fn with_max_accounts(mut self, max_accounts: usize) -> Limiter {
        self.quotas.max_accounts = max_accounts;
        self
    }

    /// Handles the events since the last batch, and passes the decisions to `actions`.
    ///
    /// `now` is the time on the limiter's clock, whose zero all limiters share: Unix time or simulated time. A server's
    /// index may be reused for another server after [`Actions::release_endpoint`].
    ///
    /// # Panics
    ///
    /// If a request has the index of a plan or a class that the configuration does not have.
    pub fn process(&mut self, now: Duration, batch: &EventBatch, actions: &mut dyn Actions) {
        if self.peers.started_at.is_none() {
            self.peers.started_at = Some(now);
            self.subscription.lost |= self.config.endpoints.endpoint_polling;
        }
        self.handle_reports(now, batch);
        for result in &batch.attempt_results {
            self.handle_attempt_result(now, result, actions);
        }
        for progress in &batch.response_progress {
            completion::record_progress(now, progress, &mut self.servers, &mut self.requests);
        }
        for &request in &batch.streaming {
            completion::response_started(now, request, &mut self.servers, &mut self.requests);
        }
        for request in &batch.requests {
            if !batch.disconnects.contains(&request.id) {
                self.handle_request(now, request, actions);
            }
        }
        for &request in &batch.disconnects {
            let limits = &self.config.request_limits;
            let requests = &mut self.requests;
            completion::complete(request, limits, &mut self.quotas, requests, actions);
        }
        if now >= self.schedule.next_tick {
            let was_stalled = now > self.schedule.next_tick + MAX_TICK_DELAY;
            self.schedule.next_tick = now + tick_interval(&self.config.fleet);
            self.tick(now, was_stalled, actions);
        }
        self.dispatch().run(now, actions);
        if now >= self.schedule.next_wakeup {
            self.schedule.next_wakeup = self.schedule.next_tick;
            let until_tick = self.schedule.next_tick.saturating_sub(now);
            actions.schedule_wakeup(until_tick.max(MIN_WAKEUP_DELAY));
        }
    }

    /// Applies the reports of other parts of the system: discovery, peers and the counter service.
    fn handle_reports(&mut self, now: Duration, batch: &EventBatch) {
        let LimiterConfig {
            plans,
            fleet,
            endpoints,
            ..
        } = &self.config;
        let quotas = &mut self.quotas;
        for update in &batch.endpoint_updates {
            let servers = &mut self.servers;
            let subscription = &mut self.subscription;
            endpoint_updates::apply(
                now,
                update,
                endpoints,
                fleet.limiters,
                servers,
                subscription,
            );
        }
        for message in &batch.peer_messages {
            peer_reports::apply(now, message, fleet, plans, quotas, &mut self.peers);
        }
        for reply in &batch.counter_replies {
            counter::apply_reply(now, reply, fleet, plans, quotas, &mut self.counter);
        }
    }

    pub(crate) fn handle_attempt_result(
        &mut self,
        now: Duration,
        result: &AttemptResult,
        actions: &mut dyn Actions,
    ) {
        let requests_waiting = !self.requests.queue.is_empty();
        let Some(ended) = self.requests.end_attempt(result) else {
            return;
        };
        let fleet = &self.config.fleet;
        let class = &self.config.classes[ended.class];
        let observed = ObservedResult {
            result,
            ended,
            objective_seconds: time::seconds(class.latency_objective),
            requests_waiting,
            limiters: fleet.limiters,
            // With few limiters, their own concurrency limits are more informative than a server's report.
            load: if uses_aggregator(fleet) {
                result.load
            } else {
                LoadReport::default()
            },
        };
        attempt_results::observe(now, &observed, &mut self.servers, &mut self.latency);
        completion::continue_request(
            now,
            result,
            &self.config,
            &mut self.quotas,
            &mut self.requests,
            actions,
        );
    }

    pub(crate) fn handle_request(
        &mut self,
        now: Duration,
        request: &Request,
        actions: &mut dyn Actions,
    ) {
        let mut admission = Admission {
            config: &self.config,
            quotas: &mut self.quotas,
            requests: &mut self.requests,
            remaining_times: &mut self.remaining_times,
            random: &mut self.random,
            has_spare_capacity: self.servers.has_spare_capacity,
            counter_overloaded_until: self.counter.overloaded_until,
        };
        admission.decide(now, request, actions);
    }

    pub(crate) fn dispatch(&mut self) -> Dispatch<'_> {
        Dispatch {
            config: &self.config,
            quotas: &mut self.quotas,
            servers: &mut self.servers,
            latency: &mut self.latency,
            requests: &mut self.requests,
            random: &mut self.random,
        }
    }

    /// Does the periodic work. After a stall no attempt is declared overdue, as its response may have arrived in time
    /// without having been read.
    fn tick(&mut self, now: Duration, was_stalled: bool, actions: &mut dyn Actions) {
        self.send_updates(now, actions);
        endpoint_updates::renew_subscription(now, &mut self.subscription, actions);
        if !was_stalled {
            detect_overdue_attempts(
                now,
                &self.config,
                &mut self.servers,
                &mut self.latency,
                &mut self.requests,
                actions,
            );
        }
        let LimiterConfig {
            fleet, endpoints, ..
        } = &self.config;
        self.servers.rebuild_subset(now, endpoints, fleet);
        self.servers.measure_full_capacity_load(now, endpoints);
        if now >= self.schedule.last_expiry_check + expiry::CHECK_INTERVAL {
            self.schedule.last_expiry_check = now;
            expiry::remove_expired(
                now,
                &self.config,
                &mut self.quotas,
                &mut self.servers,
                &self.requests,
                actions,
            );
        }
    }

    pub(crate) fn send_updates(&mut self, now: Duration, actions: &mut dyn Actions) {
        replication::send_updates(
            now,
            &self.config.fleet,
            &self.config.plans,
            &mut self.quotas,
            &mut self.peers,
            &mut self.counter,
            actions,
        );
    }

    /// Number of servers that are not removed, and number of those among them that are draining or ejected, for the
    /// operators' metrics.
    pub fn endpoint_counts(&self, now: Duration) -> EndpointCounts {
        self.servers.counts(now)
    }

    /// Applies reloaded request classes and limits. Returns the index of each given class, in the given order.
    ///
    /// No class is removed: an unchanged one keeps its index, and a new or changed one is appended, so that a request
    /// in progress keeps the class with which it arrived.
    pub fn reconfigure(
        &mut self,
        classes: &[RequestClass],
        request_limits: RequestLimits,
    ) -> Vec<usize> {
        self.config.request_limits = request_limits;
        classes
            .iter()
            .map(|class| self.class_index(class))
            .collect()
    }

    fn class_index(&mut self, class: &RequestClass) -> usize {
        let classes = &mut self.config.classes;
        if let Some(index) = classes.iter().rposition(|known| known == class) {
            return index;
        }
        classes.push(class.clone());
        self.remaining_times.push(RemainingTimeHistogram::default());
        classes.len() - 1
    }

    /// Number of plans. The plan index of a request must be below it.
    pub fn plan_count(&self) -> usize {
        self.config.plans.len()
    }

    /// Number of request classes, replaced ones included. The class index of a request must be below it.
    pub fn class_count(&self) -> usize {
        self.config.classes.len()
    }
}
