//! What a log may violate.

use crate::event_log::RequestId;
use std::fmt;
use std::time::Duration;

/// An attempt with more time than its client had left, and what was observed of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdvertisedTime {
    /// The request.
    pub id: RequestId,
    /// The number of its limiter.
    pub limiter: usize,
    /// When its client was about to write it.
    pub sent_at: Duration,
    /// When the kernel had taken its last byte.
    pub written_at: Option<Duration>,
    /// When the attempt's last byte arrived at its server.
    pub received_at: Duration,
    /// What the limiter advertised.
    pub advertised: Duration,
    /// What the client had left.
    pub remaining: Duration,
}

impl fmt::Display for AdvertisedTime {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "limiter {}: sent at {:?}, written by {:?}, received by the server at {:?} with {:?} of {:?}",
            self.limiter,
            self.sent_at,
            self.written_at,
            self.received_at,
            self.advertised,
            self.remaining
        )
    }
}

/// A rule that a log violates, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// More requests than tolerated had no response though their limiter was running.
    LostRequests {
        /// Requests without a response.
        unanswered: usize,
        /// All requests.
        requests: usize,
    },
    /// The request arrived late in a shutdown, and SIGKILL found it without a response.
    LostAtKill(RequestId),
    /// The request had more than one response.
    DuplicateResponse(RequestId),
    /// The response arrived too long after the deadline.
    LateResponse(RequestId),
    /// The request was answered as incomplete, though its client had written all of it at once.
    CalledIncomplete(RequestId),
    /// An attempt began after its client had disconnected.
    AttemptAfterDisconnect(RequestId),
    /// More time than the client had left was advertised to a server.
    ExcessiveAdvertisedTime(AdvertisedTime),
    /// A non-idempotent request was retried, or rejected, after an attempt that may have run.
    DuplicateEffect(RequestId),
    /// Two attempts of one request were in flight at once.
    ConcurrentAttempts(RequestId),
    /// An attempt began at a server after the grace of its announced drain.
    AttemptAfterDrain {
        /// The request.
        id: RequestId,
        /// The server.
        server: usize,
    },
    /// A customer used more units than its quota grants.
    QuotaExceeded {
        /// The customer.
        customer: u32,
        /// Units in excess.
        units: u64,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Violation::LostRequests {
                unanswered,
                requests,
            } => write!(
                f,
                "no request lost: {unanswered} of {requests} had no response"
            ),
            Violation::LostAtKill(id) => write!(
                f,
                "no request lost: request {id} had no response at the kill"
            ),
            Violation::DuplicateResponse(id) => {
                write!(f, "one final response: request {id} had two")
            }
            Violation::LateResponse(id) => {
                write!(f, "response in time: request {id} had it later")
            }
            Violation::CalledIncomplete(id) => {
                write!(f, "no complete request refused as late: request {id}")
            }
            Violation::AttemptAfterDisconnect(id) => {
                write!(f, "no attempt after the client disconnected: request {id}")
            }
            Violation::ExcessiveAdvertisedTime(time) => write!(
                f,
                "time advertised to servers: more than request {} had left ({time})",
                time.id
            ),
            Violation::DuplicateEffect(id) => write!(
                f,
                "no duplicate effect: request {id} after an attempt that may have run"
            ),
            Violation::ConcurrentAttempts(id) => {
                write!(f, "one attempt at a time: request {id} had two")
            }
            Violation::AttemptAfterDrain { id, server } => {
                write!(
                    f,
                    "no attempt after a drain: request {id} at server {server}"
                )
            }
            Violation::QuotaExceeded { customer, units } => {
                write!(f, "quota: customer {customer} exceeded it by {units}")
            }
        }
    }
}
