//! The one task that owns the module. All else reaches it by its queue: it takes what waits there into
//! one round, carries the decisions out in order, and sleeps until there is news or a wake is due.

use crate::figures::Figures;
use crate::log;
use crate::messages::{Answer, Arrival, News, Parcel, RosterNews, TripNews, Tuned};
use crate::peers::Post;
use crate::servers::{Errand, Link, Servers};
use merlinreel_core::decide::Limiter;
use merlinreel_core::*;
use merlinreel_settings::Terms;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot, watch};
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
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix }
    }

    pub fn at(&self, instant: Instant) -> Duration {
        self.unix + instant.saturating_duration_since(self.started)
    }
}

/// A trip that is out: of which job, which number, where, and by which connection.
struct Out {
    job: u32,
    trip: u32,
    server: u32,
    link: Link,
}

/// A job that is held.
struct Held {
    ticket: u64,
    until: Instant,
    parcel: Arc<Parcel>,
    answer: Option<oneshot::Sender<Answer>>,
    trips: u32,
    /// Serial numbers of the trips that are out, with their own numbers.
    out: Vec<(u32, u64)>,
}

/// Everything that decisions are carried out with.
struct Desk {
    clock: Clock,
    servers: Servers,
    post: Option<Post>,
    /// Trips end so long before the client gives up.
    margin: Duration,
    held: Vec<Option<Held>>,
    free: Vec<u32>,
    tickets: HashMap<u64, u32>,
    trips: HashMap<u64, Out>,
    serial: u64,
    /// Trips that could not begin: news for the next round.
    unsent: Vec<TripEnd>,
    /// Jobs that may be over once the round is.
    closed: Vec<u32>,
    wake_at: Option<Instant>,
    now: Instant,
}

pub struct Driver {
    limiter: Limiter,
    figures: Arc<Figures>,
    /// Where the door learns of settings read again.
    door: Option<watch::Sender<Arc<Tuned>>>,
    desk: Desk,
    most_jobs: usize,
    batch: usize,
}

impl Driver {
    pub fn new(
        limiter: Limiter,
        servers: Servers,
        post: Option<Post>,
        clock: Clock,
        figures: Arc<Figures>,
    ) -> Driver {
        let limits = servers.limits().clone();
        Driver {
            limiter,
            figures,
            door: None,
            most_jobs: limits.jobs,
            batch: limits.round,
            desk: Desk {
                clock,
                servers,
                post,
                margin: limits.answer_margin,
                held: Vec::new(),
                free: Vec::new(),
                tickets: HashMap::new(),
                trips: HashMap::new(),
                serial: 0,
                unsent: Vec::new(),
                closed: Vec::new(),
                wake_at: None,
                now: Instant::now(),
            },
        }
    }

    /// Runs without end; `known` is the roster as it was last held.
    pub async fn run(mut self, known: Option<RosterNews>, mut queue: mpsc::Receiver<News>) {
        let mut news = Vec::with_capacity(self.batch);
        let mut round = Round::default();
        if let Some(known) = known {
            round.roster.push(self.desk.servers.list(known, true));
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
    fn step(&mut self, news: &mut Vec<News>) {
        let mut round = Round::default();
        self.desk.now = Instant::now();
        for one in news.drain(..) {
            match one {
                News::Arrival(arrival) => self.arrive(*arrival, &mut round),
                News::Left(ticket) => {
                    if let Some(job) = self.desk.tickets.remove(&ticket) {
                        self.desk.forget_client(job);
                        round.left.push(job);
                    }
                }
                News::Trip(end) => round.trip_ends.extend(self.desk.end_trip(end)),
                News::Retune(terms) => self.retune(*terms),
                News::Probe(answer) => round.probes.push(answer),
                News::Roster(roster) => round.roster.push(self.desk.servers.list(roster, false)),
                News::Letter(letter) => round.letters.push(letter),
            }
        }
        self.round(round);
    }

    /// The door is told of settings read again from now on.
    pub fn tells(mut self, door: watch::Sender<Arc<Tuned>>) -> Driver {
        self.door = Some(door);
        self
    }

    /// Settings read again: the module first, so that the door never names a class that it does not know.
    fn retune(&mut self, terms: Terms) {
        let indices = self.limiter.retune(&terms.categories, terms.jobs);
        self.figures.classes_now(&terms.wire.categories);
        log!("settings read again: classes {} and their rules in force", terms.wire.categories.join(", "));
        if let Some(door) = &self.door {
            door.send_replace(Arc::new(Tuned { terms, indices }));
        }
    }

    fn round(&mut self, mut round: Round) {
        loop {
            let desk = &mut self.desk;
            desk.now = Instant::now();
            if desk.wake_at.is_some_and(|at| at <= desk.now) {
                desk.wake_at = None;
            }
            let now = desk.clock.at(desk.now);
            self.limiter.round(now, &round, desk);
            let (known, excluded) = self.limiter.servers_seen(now);
            self.figures.servers_known.store(known as u64, Ordering::Relaxed);
            self.figures.servers_excluded.store(excluded as u64, Ordering::Relaxed);
            for job in std::mem::take(&mut desk.closed) {
                desk.free_if_over(job);
            }
            if desk.unsent.is_empty() {
                return;
            }
            round = Round { trip_ends: std::mem::take(&mut desk.unsent), ..Round::default() };
        }
    }

    fn arrive(&mut self, arrival: Arrival, round: &mut Round) {
        let desk = &mut self.desk;
        if desk.tickets.len() >= self.most_jobs {
            // Never taken in: trying again is harmless.
            let _ = arrival.answer.send(Answer::Deferred(None));
            return;
        }
        let index = desk.free.pop().unwrap_or_else(|| {
            desk.held.push(None);
            desk.held.len() as u32 - 1
        });
        let time_left = arrival.until.saturating_duration_since(desk.now);
        round.jobs.push(Job { job: index, time_left, ..arrival.job });
        desk.tickets.insert(arrival.ticket, index);
        desk.held[index as usize] = Some(Held {
            ticket: arrival.ticket,
            until: arrival.until,
            parcel: Arc::new(arrival.parcel),
            answer: Some(arrival.answer),
            trips: 0,
            out: Vec::new(),
        });
    }
}

impl Desk {
    fn held(&mut self, job: u32) -> Option<&mut Held> {
        self.held.get_mut(job as usize).and_then(Option::as_mut)
    }

    /// The client's final answer; there is none after it.
    fn answer(&mut self, job: u32, answer: Answer) {
        let Some(held) = self.held(job) else { return };
        if let Some(client) = held.answer.take() {
            let ticket = held.ticket;
            // A client that left meanwhile needs none.
            let _ = client.send(answer);
            self.tickets.remove(&ticket);
            self.closed.push(job);
        }
    }

    fn forget_client(&mut self, job: u32) {
        if let Some(held) = self.held(job) {
            held.answer = None;
            self.closed.push(job);
        }
    }

    /// An index is free again once its job is answered and no trip is out.
    fn free_if_over(&mut self, job: u32) {
        if self.held(job).is_some_and(|held| held.answer.is_none() && held.out.is_empty()) {
            self.held[job as usize] = None;
            self.free.push(job);
        }
    }

    /// The first good answer goes to the client as it stands.
    fn end_trip(&mut self, end: TripNews) -> Option<TripEnd> {
        let out = self.trips.remove(&end.serial)?;
        if end.reusable {
            self.servers.keep(out.server, out.link);
        }
        let held = self.held(out.job)?;
        held.out.retain(|&(_, serial)| serial != end.serial);
        if let Some(delivery) = end.delivery {
            self.answer(out.job, Answer::Fulfilled(delivery));
        }
        self.closed.push(out.job);
        let finished = self.held(out.job).is_none_or(|held| held.answer.is_none());
        Some(TripEnd {
            job: out.job,
            trip: out.trip,
            server: out.server,
            ending: end.ending,
            took: end.took,
            finished,
            units: end.units,
            metered: None,
            load: end.load,
        })
    }
}

impl Writer for Desk {
    fn send(&mut self, job: u32, server: u32, limit: Option<Duration>) {
        let (now, margin, serial) = (self.now, self.margin, self.serial + 1);
        let Some(held) = self.held(job) else { return };
        let trip = held.trips;
        held.trips += 1;
        let until = held.until.checked_sub(margin).unwrap_or(held.until);
        let until = limit.map_or(until, |limit| until.min(now + limit));
        let errand = Errand { serial, parcel: held.parcel.clone(), started: now, until };
        let link = if until > now { self.servers.send(server, errand) } else { None };
        if let Some(link) = link {
            self.serial = serial;
            self.trips.insert(serial, Out { job, trip, server, link });
            if let Some(held) = self.held(job) {
                held.out.push((trip, serial));
            }
            return;
        }
        let finished = self.held(job).is_none_or(|held| held.answer.is_none());
        self.unsent.push(TripEnd {
            job,
            trip,
            server,
            ending: Ending::Unsent,
            took: Duration::ZERO,
            finished,
            units: None,
            metered: None,
            load: Load::default(),
        });
    }

    fn defer(&mut self, job: u32, retry_after: Option<Duration>) {
        self.answer(job, Answer::Deferred(retry_after));
    }

    fn scrap(&mut self, job: u32) {
        self.answer(job, Answer::Scrapped);
    }

    fn revoke(&mut self, job: u32, trip: u32) {
        let out = self.held(job).and_then(|held| held.out.iter().find(|(n, _)| *n == trip).copied());
        if let Some(out) = out.and_then(|(_, serial)| self.trips.get(&serial).map(|out| (serial, out))) {
            out.1.link.abandon(out.0);
        }
    }

    fn probe(&mut self, server: u32) {
        self.servers.probe(server);
    }

    fn tell(&mut self, limiter: u32, letter: &[u8]) {
        if let Some(post) = &self.post {
            post.tell(limiter, letter);
        }
    }

    /// A configuration with a counter is refused at start.
    fn count(&mut self, customer: u64, window: u64, _: f64, _: Duration) {
        log!("no counter to tell of customer {customer}, window {window}");
    }

    /// The roster is always watched.
    fn follow_roster(&mut self, _: bool) {}

    fn ask_roster(&mut self) {}

    fn close_idle(&mut self, server: u32) {
        self.servers.close_idle(server);
    }

    fn forget(&mut self, server: u32) {
        self.servers.forget(server);
    }

    fn wake(&mut self, after: Duration) {
        let at = self.now + after;
        self.wake_at = Some(self.wake_at.map_or(at, |set| set.min(at)));
    }

    fn note(&mut self, text: &str) {
        log!("{text}");
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::messages::Queue;

    #[test]
    fn the_clock_is_unix_time_and_only_runs_forward() {
        let clock = Clock::start();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970");
        assert!(unix.abs_diff(clock.at(Instant::now())) < Duration::from_secs(60));
        let later = clock.started + Duration::from_secs(3600);
        assert_eq!(clock.at(later), clock.at(clock.started) + Duration::from_secs(3600));
    }

    /// A driver that holds one job at most, and an arrival of that ticket.
    fn driver() -> (Driver, Queue, mpsc::Receiver<News>) {
        let settings = serde_json::json!({"classes": [{"idempotency": "non_idempotent", "promiseS": 30.0,
            "hardLimitS": 60.0}], "packages": [{"unitsPerS": 9.0, "mostAtOnce": 9.0}],
            "policyLimits": {"mostHeld": 1, "mayCancel": true}});
        let paths = merlinreel_settings::Paths::from_json(&settings);
        let terms = paths.and_then(|paths| merlinreel_settings::Terms::read(&paths)).expect("sound");
        let limits = crate::limits::Limits::new(1024, 192, &terms).expect("room");
        let (queue, news) = mpsc::channel(16);
        let figures = Figures::new(&[]);
        let servers = Servers::new(limits, &terms, queue.clone(), figures.clone());
        (Driver::new(terms.limiter(7), servers, None, Clock::start(), figures), queue, news)
    }

    fn arrival(ticket: u64) -> (News, oneshot::Receiver<Answer>) {
        let (answer, answered) = oneshot::channel();
        let job = Job {
            job: 0,
            customer: 7,
            plan: 0,
            category: 0,
            units: 1.0,
            time_left: Duration::ZERO,
            set_size: 1,
            set_first: 0,
            again: false,
        };
        let (method, uri, headers, body, claim) = Default::default();
        let until = Instant::now() + Duration::from_secs(60);
        let parcel = Parcel { method, uri, headers, body, claim };
        (News::Arrival(Box::new(Arrival { ticket, job, until, parcel, answer })), answered)
    }

    #[tokio::test]
    async fn what_cannot_be_held_is_deferred_and_a_leaving_makes_room() {
        let (mut driver, _queue, _news) = driver();
        let ((first, mut waits), (second, mut deferred)) = (arrival(1), arrival(2));
        // All that waits goes into one round, in order.
        driver.step(&mut vec![first, second]);
        assert!(waits.try_recv().is_err());
        assert!(matches!(deferred.try_recv(), Ok(Answer::Deferred(None))));
        let (third, mut held) = arrival(3);
        driver.step(&mut vec![News::Left(1), News::Left(99)]);
        assert!(driver.desk.held.iter().all(Option::is_none) && driver.desk.tickets.is_empty());
        driver.step(&mut vec![third]);
        assert!(held.try_recv().is_err() && driver.desk.held.len() == 1);
        assert!(driver.desk.wake_at.is_some());
    }

    #[tokio::test]
    async fn an_end_told_twice_or_of_no_trip_changes_nothing() {
        let (mut driver, _queue, _news) = driver();
        let end = TripNews {
            serial: 5,
            ending: Ending::Fulfilled,
            took: Duration::ZERO,
            units: None,
            load: Load::default(),
            delivery: None,
            reusable: false,
        };
        assert!(driver.desk.end_trip(end).is_none());
        let (first, mut waits) = arrival(1);
        driver.step(&mut vec![first]);
        driver.desk.scrap(0);
        driver.desk.defer(0, None);
        assert!(matches!(waits.try_recv(), Ok(Answer::Scrapped)));
    }
}
