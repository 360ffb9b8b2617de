//! Each job's course, put together from what clients and workers saw.

use crate::record::{Entry, JobId, What};
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Debug)]
pub struct Trip {
    pub worker: usize,
    pub came: Duration,
    pub over: Option<Duration>,
    pub never_ran: bool,
}

#[derive(Debug)]
pub struct Job {
    pub category: &'static str,
    pub customer: u32,
    pub limiter: usize,
    pub asked: Duration,
    pub patience: Duration,
    pub answers: Vec<(Duration, u16)>,
    pub gave_up: bool,
    pub trips: Vec<Trip>,
}

impl Job {
    /// Whether a single-use job went out again, or was deferred, after a trip that may have run.
    pub fn effects(&self) -> Option<()> {
        let single_use = self.category == "pay";
        let first = self.trips.iter().position(|trip| !trip.never_ran)?;
        let again = self.trips.len() > first + 1;
        let came = self.trips[first].came;
        let deferred = self.answers.iter().any(|(at, status)| matches!(status, 429 | 503) && *at > came);
        (single_use && (again || deferred)).then_some(())
    }

    /// Whether a trip came while one before it was still out, as far as its worker could tell: `hidden` says whether
    /// an end might not have been seen there.
    pub fn two_out(&self, hidden: impl Fn(&Trip, Duration) -> bool) -> bool {
        let out = |trip: &Trip, at| trip.over.is_none_or(|over| over > at) && !hidden(trip, at);
        self.trips.iter().enumerate().any(|(i, later)| self.trips[..i].iter().any(|one| out(one, later.came)))
    }
}

/// All jobs of a record. What comes of a job that nobody asked is left out.
pub fn of(entries: &[Entry]) -> BTreeMap<JobId, Job> {
    let mut jobs: BTreeMap<JobId, Job> = BTreeMap::new();
    // Of which job a trip is, and its place there.
    let mut trips: BTreeMap<u64, (JobId, usize)> = BTreeMap::new();
    for Entry { at, what } in entries {
        match what {
            What::Asked { id, category, customer, limiter, patience } => {
                let job = Job {
                    category,
                    customer: *customer,
                    limiter: *limiter,
                    asked: *at,
                    patience: *patience,
                    answers: Vec::new(),
                    gave_up: false,
                    trips: Vec::new(),
                };
                jobs.insert(id.clone(), job);
            }
            What::Answered { id, status, .. } => {
                jobs.get_mut(id).into_iter().for_each(|job| job.answers.push((*at, *status)));
            }
            What::Unanswered { id } => jobs.get_mut(id).into_iter().for_each(|job| job.gave_up = true),
            What::Came { id, worker, trip } => {
                if let Some(job) = jobs.get_mut(id) {
                    trips.insert(*trip, (id.clone(), job.trips.len()));
                    job.trips.push(Trip { worker: *worker, came: *at, over: None, never_ran: false });
                }
            }
            What::TurnedAway { trip } | What::Ran { trip } | What::Left { trip } => {
                let place = trips.get(trip);
                let found = place.and_then(|(id, place)| jobs.get_mut(id)?.trips.get_mut(*place));
                if let Some(found) = found {
                    found.over.get_or_insert(*at);
                    found.never_ran |= matches!(what, What::TurnedAway { .. });
                }
            }
            _ => {}
        }
    }
    jobs
}
