//! Each request's course, put together from what clients and workers saw.

use crate::record::{Entry, RequestId, What};
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Debug)]
pub struct Attempt {
    pub worker: usize,
    pub came: Duration,
    /// How long its limiter said that it would wait.
    pub told: Option<Duration>,
    pub over: Option<Duration>,
    pub never_ran: bool,
}

#[derive(Debug)]
pub struct Request {
    pub class: &'static str,
    pub customer: u32,
    pub limiter: usize,
    pub asked: Duration,
    pub patience: Duration,
    pub answers: Vec<(Duration, u16)>,
    pub gave_up: bool,
    /// It had no answer, and was the first on its connection.
    pub fresh: bool,
    /// When its client closed the connection on it.
    pub gone: Option<Duration>,
    pub attempts: Vec<Attempt>,
}

impl Request {
    /// Whether a single-use request went out again, or was refused, after an attempt that may have run.
    pub fn effects(&self) -> Option<()> {
        let single_use = self.class == "pay";
        let first = self
            .attempts
            .iter()
            .position(|attempt| !attempt.never_ran)?;
        let again = self.attempts.len() > first + 1;
        let came = self.attempts[first].came;
        let refused = self
            .answers
            .iter()
            .any(|(at, status)| matches!(status, 429 | 503) && *at > came);
        (single_use && (again || refused)).then_some(())
    }

    /// Whether an attempt came while one before it was still out, as far as its worker could tell: `hidden` says whether
    /// an end might not have been seen there.
    pub fn two_out(&self, hidden: impl Fn(&Attempt, Duration) -> bool) -> bool {
        let out = |attempt: &Attempt, at| {
            attempt.over.is_none_or(|over| over > at) && !hidden(attempt, at)
        };
        self.attempts
            .iter()
            .enumerate()
            .any(|(i, later)| self.attempts[..i].iter().any(|one| out(one, later.came)))
    }
}

/// All requests of a record. What comes of a request that nobody asked is left out.
pub fn of(entries: &[Entry]) -> BTreeMap<RequestId, Request> {
    let mut requests: BTreeMap<RequestId, Request> = BTreeMap::new();
    // Of which request an attempt is, and its place there.
    let mut attempts: BTreeMap<u64, (RequestId, usize)> = BTreeMap::new();
    for Entry { at, what } in entries {
        match what {
            What::Asked {
                id,
                class,
                customer,
                limiter,
                patience,
            } => {
                let request = Request {
                    class,
                    customer: *customer,
                    limiter: *limiter,
                    asked: *at,
                    patience: *patience,
                    answers: Vec::new(),
                    gave_up: false,
                    fresh: false,
                    gone: None,
                    attempts: Vec::new(),
                };
                requests.insert(id.clone(), request);
            }
            What::Answered { id, status, .. } => {
                requests
                    .get_mut(id)
                    .into_iter()
                    .for_each(|request| request.answers.push((*at, *status)));
            }
            What::Unanswered { id, fresh } => {
                requests
                    .get_mut(id)
                    .into_iter()
                    .for_each(|request| (request.gave_up, request.fresh) = (true, *fresh));
            }
            What::Gone { id } => requests
                .get_mut(id)
                .into_iter()
                .for_each(|request| request.gone = Some(*at)),
            What::Came {
                id,
                worker,
                attempt,
                told,
            } => {
                if let Some(request) = requests.get_mut(id) {
                    attempts.insert(*attempt, (id.clone(), request.attempts.len()));
                    let (worker, told) = (*worker, *told);
                    request.attempts.push(Attempt {
                        worker,
                        came: *at,
                        told,
                        over: None,
                        never_ran: false,
                    });
                }
            }
            What::TurnedAway { attempt } | What::Ran { attempt } | What::Left { attempt } => {
                let place = attempts.get(attempt);
                let found =
                    place.and_then(|(id, place)| requests.get_mut(id)?.attempts.get_mut(*place));
                if let Some(found) = found {
                    found.over.get_or_insert(*at);
                    found.never_ran |= matches!(what, What::TurnedAway { .. });
                }
            }
            _ => {}
        }
    }
    requests
}
