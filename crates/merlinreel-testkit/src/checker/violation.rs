//! Violations of the protocol's rules, and their descriptions.

use crate::event_log::RequestId;
use std::fmt;
use std::time::Duration;

/// An attempt that advertised more time than its client had left.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdvertisedTime {
    /// Id of the request that the attempt belongs to.
    pub id: RequestId,
    /// Index of the limiter that made the attempt.
    pub limiter: usize,
    /// When the client began to write the request, or its second part if it was sent in two.
    pub sent_at: Duration,
    /// When the client had written the last byte of the request; `None` if it had not by the end of the log.
    pub written_at: Option<Duration>,
    /// When the server had received the attempt completely.
    pub received_at: Duration,
    /// The remaining time that the limiter advertised to the server.
    pub advertised: Duration,
    /// The remaining time of the client at `received_at`.
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

/// A violation of a rule, with the request, server or customer concerned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// More requests than tolerated were unanswered although no fault of their limiter excused it.
    LostRequests {
        /// Number of such requests.
        unanswered: usize,
        /// Number of all requests in the log.
        requests: usize,
    },
    /// The request was sent late in a shutdown and was still unanswered at SIGKILL.
    LostAtKill(RequestId),
    /// The request had more than one response.
    DuplicateResponse(RequestId),
    /// The response arrived later after the deadline than tolerated.
    LateResponse(RequestId),
    /// The request was rejected as incomplete (408) although its client had written all of it promptly.
    RejectedAsIncomplete(RequestId),
    /// An attempt arrived at a server too long after its client had disconnected.
    AttemptAfterDisconnect(RequestId),
    /// An attempt advertised more time than the client had left.
    ExcessiveAdvertisedTime(AdvertisedTime),
    /// A non-idempotent request was retried, or rejected with 429 or 503, after an attempt that may have run.
    DuplicateEffect(RequestId),
    /// Two attempts of one request were in flight at once.
    ConcurrentAttempts(RequestId),
    /// An attempt arrived at a server later than the drain grace after its drain was announced.
    AttemptAfterDrain {
        /// Id of the request that the attempt belongs to.
        id: RequestId,
        /// Index of the draining server.
        server: usize,
    },
    /// A customer used more units than its quota grants.
    QuotaExceeded {
        /// The customer that exceeded its quota.
        customer: u32,
        /// Whole units used in excess.
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
            Violation::RejectedAsIncomplete(id) => {
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
