//! The task that owns the policy. All other tasks reach it through its queue: it processes the queued events as one
//! batch, carries out the policy's decisions in order, and sleeps until an event arrives or a wakeup is due.

mod action_executor;
mod clock;
mod in_flight;
#[cfg(test)]
mod tests;

pub use clock::Clock;

use crate::log;
use crate::messages::{ActiveSettings, ClientResponse, Event, IncomingRequest};
use crate::peers::PeerSocket;
use crate::stall::StallMonitor;
use crate::telemetry::metrics::Metrics;
use crate::upstream::UpstreamPool;
use action_executor::ActionExecutor;
use in_flight::InFlightRequest;
use merlinreel_discovery::DiscoveryUpdate;
use merlinreel_policy::Limiter;
use merlinreel_policy::{EventBatch, Request};
use merlinreel_settings::Settings;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep_until;

/// Passes queued events to the policy and carries out its decisions.
pub struct EventLoop {
    limiter: Limiter,
    metrics: Arc<Metrics>,
    stall_monitor: Arc<StallMonitor>,
    /// Sends reloaded settings to the client listener; without it, only the policy and the metrics get them.
    settings_sender: Option<watch::Sender<Arc<ActiveSettings>>>,
    executor: ActionExecutor,
    /// Maximum number of requests that wait for a response at the same time; further ones are rejected.
    max_requests: usize,
    /// Maximum number of events in one batch.
    batch_size: usize,
}

impl EventLoop {
    /// Creates an event loop without requests or endpoints. `peer_socket` is `None` if limiters exchange no messages.
    pub fn new(
        limiter: Limiter,
        upstreams: UpstreamPool,
        peer_socket: Option<PeerSocket>,
        clock: Clock,
        metrics: Arc<Metrics>,
        stall_monitor: Arc<StallMonitor>,
    ) -> EventLoop {
        let limits = upstreams.limits().event_loop.clone();
        EventLoop {
            limiter,
            stall_monitor,
            settings_sender: None,
            max_requests: limits.max_requests,
            batch_size: limits.batch_size,
            executor: ActionExecutor::new(
                clock,
                upstreams,
                peer_socket,
                limits.response_margin,
                metrics.clone(),
            ),
            metrics,
        }
    }

    /// Makes the event loop send reloaded settings to `settings_sender` after the policy has applied them.
    pub fn with_settings_sender(
        mut self,
        settings_sender: watch::Sender<Arc<ActiveSettings>>,
    ) -> EventLoop {
        self.settings_sender = Some(settings_sender);
        self
    }

    /// Runs until every sender of the queue is dropped. `cached_endpoints` is the endpoint list of an earlier process,
    /// used until discovery responds.
    pub async fn run(
        mut self,
        cached_endpoints: Option<DiscoveryUpdate>,
        mut queue: mpsc::Receiver<Event>,
    ) {
        let mut events = Vec::with_capacity(self.batch_size);
        let mut batch = EventBatch::default();
        if let Some(update) = cached_endpoints {
            let update = self.executor.upstreams.apply_cached_endpoints(update);
            batch.endpoint_updates.push(update);
        }
        self.run_batch(batch);
        let timer = sleep_until(Instant::now().into());
        tokio::pin!(timer);
        loop {
            let wake_at = self.executor.wake_at;
            self.stall_monitor.set_next_due(wake_at);
            if let Some(at) = wake_at {
                timer.as_mut().reset(at.into());
            }
            tokio::select! {
                biased;
                count = queue.recv_many(&mut events, self.batch_size) => if count == 0 {
                    return;
                },
                () = &mut timer, if wake_at.is_some() => {}
            }
            self.process_events(&mut events);
        }
    }

    /// Runs one batch of all `events`, in their order, and empties the vector.
    fn process_events(&mut self, events: &mut Vec<Event>) {
        let mut batch = EventBatch::default();
        self.executor.now = Instant::now();
        self.stall_monitor.record_run(self.executor.now);
        for event in events.drain(..) {
            self.add_event(event, &mut batch);
        }
        self.run_batch(batch);
    }

    fn add_event(&mut self, event: Event, batch: &mut EventBatch) {
        match event {
            Event::Request(request) => self.add_request(*request, batch),
            Event::ClientDisconnected(request_id) => {
                if let Some(request) = self.executor.requests.stop_waiting(request_id) {
                    self.executor.handle_disconnect(request);
                    batch.disconnects.push(request);
                }
            }
            Event::AttemptCompleted(completion) => {
                let result = self.executor.complete_attempt(completion);
                batch.attempt_results.extend(result);
            }
            Event::ResponseProgress(progress) => {
                let progress = self.executor.locate_progress(progress);
                batch.response_progress.extend(progress);
            }
            Event::Reconfigure(settings) => self.reconfigure(*settings),
            Event::HealthCheck(result) => batch.health_checks.push(result),
            Event::EndpointUpdate(update) => {
                let update = self.executor.upstreams.apply_endpoints(update);
                batch.endpoint_updates.push(update);
                self.executor.cancel_unstarted_attempts_at_unready_servers();
            }
            Event::PeerMessage(message) => batch.peer_messages.push(message),
        }
    }

    /// Adds a request to the batch, or rejects it if `max_requests` requests are waiting for a response already.
    fn add_request(&mut self, incoming: IncomingRequest, batch: &mut EventBatch) {
        if self.executor.requests.waiting() >= self.max_requests {
            self.metrics.count_excess_request();
            // The request was not sent to any server, so the client can retry it safely.
            let _ = incoming
                .response_sender
                .send(ClientResponse::Rejected(None));
            return;
        }
        let index = self.executor.requests.insert(InFlightRequest {
            request_id: incoming.request_id,
            deadline: incoming.deadline,
            upstream_request: Arc::new(incoming.upstream_request),
            response_sender: Some(incoming.response_sender),
            next_attempt_number: 0,
            attempts: Vec::new(),
            cancelled_response_began_at: None,
        });
        batch.requests.push(Request {
            id: index,
            remaining_time: incoming
                .deadline
                .saturating_duration_since(self.executor.now),
            ..incoming.request
        });
    }

    /// Applies reloaded settings: to the policy first, so that the client listener never uses a class that the policy
    /// does not know.
    fn reconfigure(&mut self, settings: Settings) {
        let indices = self
            .limiter
            .reconfigure(&settings.classes, settings.request_limits);
        self.metrics.set_classes(&settings.sockets.classes);
        log!(
            "configuration: settings reloaded; classes {} and the request limits are now active",
            settings.sockets.classes.join(", ")
        );
        if let Some(settings_sender) = &self.settings_sender {
            settings_sender.send_replace(Arc::new(ActiveSettings { settings, indices }));
        }
    }

    /// Runs a batch, then further ones with the results of attempts that could not be sent, until there are none.
    fn run_batch(&mut self, mut batch: EventBatch) {
        loop {
            let executor = &mut self.executor;
            executor.now = Instant::now();
            if executor.wake_at.is_some_and(|at| at <= executor.now) {
                executor.wake_at = None;
            }
            let now = executor.clock.unix_time_at(executor.now);
            self.limiter.process(now, &batch, executor);
            let endpoints = self.limiter.endpoint_counts(now);
            self.metrics
                .servers_known
                .store(endpoints.known as u64, Ordering::Relaxed);
            self.metrics
                .servers_excluded
                .store(endpoints.avoided as u64, Ordering::Relaxed);
            executor.release_finished_requests();
            if executor.not_sent.is_empty() {
                return;
            }
            batch = EventBatch {
                attempt_results: std::mem::take(&mut executor.not_sent),
                ..EventBatch::default()
            };
        }
    }
}
