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
    figures: Arc<Metrics>,
    /// Where the door learns of settings read again.
    door: Option<watch::Sender<Arc<ActiveSettings>>>,
    desk: ActionExecutor,
    most_jobs: usize,
    batch: usize,
}

impl EventLoop {
    pub fn new(
        limiter: Limiter,
        servers: UpstreamPool,
        post: Option<PeerSender>,
        clock: Clock,
        figures: Arc<Metrics>,
    ) -> EventLoop {
        let limits = servers.limits().clone();
        EventLoop {
            limiter,
            figures,
            door: None,
            most_jobs: limits.jobs,
            batch: limits.round,
            desk: ActionExecutor {
                clock,
                servers,
                post,
                margin: limits.answer_margin,
                held: Vec::new(),
                free: Vec::new(),
                tickets: HashMap::new(),
                attempts: HashMap::new(),
                serial: 0,
                unsent: Vec::new(),
                closed: Vec::new(),
                wake_at: None,
                now: Instant::now(),
            },
        }
    }

    /// Runs without end; `known` is the server list as it was last held.
    pub async fn run(mut self, known: Option<DiscoveryUpdate>, mut queue: mpsc::Receiver<Event>) {
        let mut news = Vec::with_capacity(self.batch);
        let mut round = EventBatch::default();
        if let Some(known) = known {
            round
                .endpoint_updates
                .push(self.desk.servers.list(known, true));
        }
        self.round(round);
        let timer = sleep_until(Instant::now().into());
        tokio::pin!(timer);
        loop {
            let wake = self.desk.wake_at;
            if let Some(at) = wake {
                timer.as_mut().reset(at.into());
            }
            tokio::select! {
                biased;
                count = queue.recv_many(&mut news, self.batch) => if count == 0 {
                    return;
                },
                () = &mut timer, if wake.is_some() => {}
            }
            self.step(&mut news);
        }
    }

    /// One round with all that waits.
    fn step(&mut self, news: &mut Vec<Event>) {
        let mut round = EventBatch::default();
        self.desk.now = Instant::now();
        for one in news.drain(..) {
            match one {
                Event::Request(arrival) => self.arrive(*arrival, &mut round),
                Event::ClientDisconnected(ticket) => {
                    if let Some(job) = self.desk.tickets.remove(&ticket) {
                        self.desk.forget_client(job);
                        round.disconnects.push(job);
                    }
                }
                Event::AttemptCompleted(end) => {
                    round.attempt_results.extend(self.desk.end_attempt(end))
                }
                Event::Reconfigure(terms) => self.reconfigure(*terms),
                Event::HealthCheck(answer) => round.health_checks.push(answer),
                Event::EndpointUpdate(endpoint_updates) => {
                    round
                        .endpoint_updates
                        .push(self.desk.servers.list(endpoint_updates, false));
                    self.desk.withdraw_from_leaving();
                }
                Event::PeerMessage(peer_message) => round.peer_messages.push(peer_message),
            }
        }
        self.round(round);
    }

    /// The door is told of settings read again from now on.
    pub fn tells(mut self, door: watch::Sender<Arc<ActiveSettings>>) -> EventLoop {
        self.door = Some(door);
        self
    }

    /// Settings read again: the module first, so that the door never names a class that it does not know.
    fn reconfigure(&mut self, terms: Settings) {
        let indices = self
            .limiter
            .reconfigure(&terms.classes, terms.request_limits);
        self.figures.classes_now(&terms.sockets.classes);
        log!(
            "settings read again: classes {} and their rules in force",
            terms.sockets.classes.join(", ")
        );
        if let Some(door) = &self.door {
            door.send_replace(Arc::new(ActiveSettings { terms, indices }));
        }
    }

    fn round(&mut self, mut round: EventBatch) {
        loop {
            let desk = &mut self.desk;
            desk.now = Instant::now();
            if desk.wake_at.is_some_and(|at| at <= desk.now) {
                desk.wake_at = None;
            }
            let now = desk.clock.at(desk.now);
            self.limiter.process(now, &round, desk);
            let endpoints = self.limiter.endpoint_counts(now);
            self.figures
                .servers_known
                .store(endpoints.known as u64, Ordering::Relaxed);
            self.figures
                .servers_excluded
                .store(endpoints.avoided as u64, Ordering::Relaxed);
            for job in std::mem::take(&mut desk.closed) {
                desk.free_if_over(job);
            }
            if desk.unsent.is_empty() {
                return;
            }
            round = EventBatch {
                attempt_results: std::mem::take(&mut desk.unsent),
                ..EventBatch::default()
            };
        }
    }

    fn arrive(&mut self, arrival: IncomingRequest, round: &mut EventBatch) {
        let desk = &mut self.desk;
        if desk.tickets.len() >= self.most_jobs {
            // Never taken in: trying again is harmless.
            let _ = arrival.answer.send(ClientResponse::Rejected(None));
            return;
        }
        let index = desk.free.pop().unwrap_or_else(|| {
            desk.held.push(None);
            desk.held.len() as u32 - 1
        });
        let remaining_time = arrival.until.saturating_duration_since(desk.now);
        round.requests.push(Request {
            id: index,
            remaining_time,
            ..arrival.job
        });
        desk.tickets.insert(arrival.ticket, index);
        desk.held[index as usize] = Some(InFlightRequest {
            ticket: arrival.ticket,
            until: arrival.until,
            parcel: Arc::new(arrival.parcel),
            answer: Some(arrival.answer),
            attempts: 0,
            out: Vec::new(),
        });
    }
}
