//! The one task that owns the module. All else reaches it by its queue: it takes what waits there into
//! one round, carries the decisions out in order, and sleeps until there is news or a wake is due.

mod action_executor;
#[cfg(test)]
mod tests;

use crate::log;
use crate::messages::{ActiveSettings, ClientResponse, Event, IncomingRequest};
use crate::peers::PeerSender;
use crate::telemetry::metrics::Metrics;
use crate::upstream::UpstreamPool;
use action_executor::{ActionExecutor, InFlightRequest};
use merlinreel_discovery::DiscoveryUpdate;
use merlinreel_policy::decide::Limiter;
use merlinreel_policy::*;
use merlinreel_settings::Settings;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, watch};
use tokio::time::sleep_until;

/// The shared clock: Unix time, read once and advanced by the monotonic clock, so that windows align over
/// limiters and restarts and never run backwards.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    unix: Duration,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started: Instant::now(),
            unix,
        }
    }

    pub fn at(&self, instant: Instant) -> Duration {
        self.unix + instant.saturating_duration_since(self.started)
    }
}

pub struct EventLoop {
    limiter: Limiter,
    metrics: Arc<Metrics>,
    /// Where the door learns of settings read again.
    client_listener: Option<watch::Sender<Arc<ActiveSettings>>>,
    executor: ActionExecutor,
    most_jobs: usize,
    batch: usize,
}

impl EventLoop {
    pub fn new(
        limiter: Limiter,
        servers: UpstreamPool,
        peer_sender: Option<PeerSender>,
        clock: Clock,
        metrics: Arc<Metrics>,
    ) -> EventLoop {
        let limits = servers.limits().clone();
        EventLoop {
            limiter,
            metrics,
            client_listener: None,
            most_jobs: limits.event_loop.max_requests,
            batch: limits.event_loop.batch_size,
            executor: ActionExecutor {
                clock,
                servers,
                peer_sender,
                margin: limits.event_loop.response_margin,
                in_flight: Vec::new(),
                free: Vec::new(),
                request_ids: HashMap::new(),
                attempts: HashMap::new(),
                attempt_id: 0,
                unsent: Vec::new(),
                closed: Vec::new(),
                wake_at: None,
                now: Instant::now(),
            },
        }
    }

    /// Runs without end; `known` is the server list as it was last held.
    pub async fn run(mut self, known: Option<DiscoveryUpdate>, mut queue: mpsc::Receiver<Event>) {
        let mut events = Vec::with_capacity(self.batch);
        let mut round = EventBatch::default();
        if let Some(known) = known {
            round
                .endpoint_updates
                .push(self.executor.servers.list(known, true));
        }
        self.round(round);
        let timer = sleep_until(Instant::now().into());
        tokio::pin!(timer);
        loop {
            let wake = self.executor.wake_at;
            if let Some(at) = wake {
                timer.as_mut().reset(at.into());
            }
            tokio::select! {
                biased;
                count = queue.recv_many(&mut events, self.batch) => if count == 0 {
                    return;
                },
                () = &mut timer, if wake.is_some() => {}
            }
            self.step(&mut events);
        }
    }

    /// One round with all that waits.
    fn step(&mut self, events: &mut Vec<Event>) {
        let mut round = EventBatch::default();
        self.executor.now = Instant::now();
        for one in events.drain(..) {
            match one {
                Event::Request(arrival) => self.arrive(*arrival, &mut round),
                Event::ClientDisconnected(request_id) => {
                    if let Some(request) = self.executor.request_ids.remove(&request_id) {
                        self.executor.forget_client(request);
                        round.disconnects.push(request);
                    }
                }
                Event::AttemptCompleted(end) => {
                    round.attempt_results.extend(self.executor.end_attempt(end))
                }
                Event::Reconfigure(settings) => self.reconfigure(*settings),
                Event::HealthCheck(answer) => round.health_checks.push(answer),
                Event::EndpointUpdate(endpoint_updates) => {
                    round
                        .endpoint_updates
                        .push(self.executor.servers.list(endpoint_updates, false));
                    self.executor.withdraw_from_leaving();
                }
                Event::PeerMessage(peer_message) => round.peer_messages.push(peer_message),
            }
        }
        self.round(round);
    }

    /// The door is told of settings read again from now on.
    pub fn tells(mut self, client_listener: watch::Sender<Arc<ActiveSettings>>) -> EventLoop {
        self.client_listener = Some(client_listener);
        self
    }

    /// Settings read again: the module first, so that the door never names a class that it does not know.
    fn reconfigure(&mut self, settings: Settings) {
        let indices = self
            .limiter
            .reconfigure(&settings.classes, settings.request_limits);
        self.metrics.set_classes(&settings.sockets.classes);
        log!(
            "settings read again: classes {} and their rules in force",
            settings.sockets.classes.join(", ")
        );
        if let Some(client_listener) = &self.client_listener {
            client_listener.send_replace(Arc::new(ActiveSettings { settings, indices }));
        }
    }

    fn round(&mut self, mut round: EventBatch) {
        loop {
            let executor = &mut self.executor;
            executor.now = Instant::now();
            if executor.wake_at.is_some_and(|at| at <= executor.now) {
                executor.wake_at = None;
            }
            let now = executor.clock.at(executor.now);
            self.limiter.round(now, &round, executor);
            let (known, excluded) = self.limiter.endpoint_counts(now);
            self.metrics
                .servers_known
                .store(known as u64, Ordering::Relaxed);
            self.metrics
                .servers_excluded
                .store(excluded as u64, Ordering::Relaxed);
            for request in std::mem::take(&mut executor.closed) {
                executor.free_if_over(request);
            }
            if executor.unsent.is_empty() {
                return;
            }
            round = EventBatch {
                attempt_results: std::mem::take(&mut executor.unsent),
                ..EventBatch::default()
            };
        }
    }

    fn arrive(&mut self, arrival: IncomingRequest, round: &mut EventBatch) {
        let executor = &mut self.executor;
        if executor.request_ids.len() >= self.most_jobs {
            // Never taken in: trying again is harmless.
            let _ = arrival.answer.send(ClientResponse::Rejected(None));
            return;
        }
        let index = executor.free.pop().unwrap_or_else(|| {
            executor.in_flight.push(None);
            executor.in_flight.len() as u32 - 1
        });
        let remaining_time = arrival.until.saturating_duration_since(executor.now);
        round.requests.push(Request {
            id: index,
            remaining_time,
            ..arrival.request
        });
        executor.request_ids.insert(arrival.request_id, index);
        executor.in_flight[index as usize] = Some(InFlightRequest {
            request_id: arrival.request_id,
            until: arrival.until,
            upstream_request: Arc::new(arrival.upstream_request),
            answer: Some(arrival.answer),
            attempts: 0,
            out: Vec::new(),
        });
    }
}
