//! The names of the simulator's protocol. A line is a name and its values, separated by single spaces.

/// Messages from the simulator.
pub mod message {
    /// Starts a batch and gives its time.
    pub const BATCH_START: &str = "ROUND";
    /// Ends the batch and requests the reply.
    pub const BATCH_END: &str = "OVER_TO_YOU";
    /// Selects the instance that the following messages are for.
    pub const INSTANCE: &str = "CONTEXT";
    /// Starts an endpoint list; its entries follow directly.
    pub const LIST: &str = "POOL";
    /// One endpoint of the list.
    pub const LIST_ENTRY: &str = "ENTRY";
    /// Starts the selected instance with a seed and settings (`path=value` pairs), in place of a running one.
    pub const INSTANCE_START: &str = "INIT";
    /// Stops the selected instance and drops its pending requests.
    pub const INSTANCE_STOP: &str = "TEARDOWN";
    /// Discovery published an endpoint list, or could not be reached.
    pub const ENDPOINT_UPDATE: &str = "ENDPOINTS";
    /// A client sent a request.
    pub const REQUEST: &str = "JOB_IN";
    /// The response to a request has started to stream.
    pub const STREAMING: &str = "ACCEPTED";
    /// The client of a request closed its connection.
    pub const DISCONNECT: &str = "LEFT";
    /// A health check ended.
    pub const HEALTH_CHECK: &str = "SAMPLED";
    /// Another limiter sent a message.
    pub const PEER_MESSAGE: &str = "MAIL";
    /// An attempt ended.
    pub const ATTEMPT_RESULT: &str = "REPLY";
    /// A timer fired.
    pub const WAKEUP: &str = "DUE";
    /// The counter service replied.
    pub const COUNTER_REPLY: &str = "LEDGER_REPLY";
}

/// Actions in the reply.
pub mod action {
    /// Names the instance that decided the following actions.
    pub const INSTANCE: &str = "FOR";
    /// Ends the reply.
    pub const REPLY_END: &str = "READY";
    /// Starts an attempt of a request at an endpoint.
    pub const START_ATTEMPT: &str = "SUBMIT_TO";
    /// Rejects a request. The client may retry after the given seconds, 0 if the limiter gives no time.
    pub const REJECT: &str = "NOT_NOW";
    /// Fails a request; the client must not retry as if it never ran.
    pub const FAIL: &str = "FAIL";
    /// Cancels one attempt of a request, given by its number.
    pub const CANCEL_ATTEMPT: &str = "REVOKE";
    /// Starts a health check of an endpoint.
    pub const START_HEALTH_CHECK: &str = "TOUCH";
    /// Sends a message to another limiter.
    pub const SEND_PEER_MESSAGE: &str = "MEMO_TO";
    /// Adds an amount to a counter of the counter service.
    pub const INCREMENT_COUNTER: &str = "POST_AMOUNT";
    /// Starts (`1`) or ends (`0`) the subscription to endpoint lists.
    pub const SET_ENDPOINT_SUBSCRIPTION: &str = "TRACK";
    /// Asks discovery for the endpoint list.
    pub const POLL_ENDPOINTS: &str = "LOOKUP";
    /// Closes the idle connections to an endpoint.
    pub const CLOSE_IDLE_CONNECTIONS: &str = "CLOSE_IDLE";
    /// Starts a timer.
    pub const SCHEDULE_WAKEUP: &str = "AFTER";
    /// Writes a log line.
    pub const LOG: &str = "SAY_LOG";
}

/// Names of the values in messages; they appear only in error texts.
pub mod value_name {
    /// The message's own name, the first value of a line.
    pub const MESSAGE: &str = "message";
    /// Simulated time of the batch, in seconds.
    pub const CLOCK: &str = "clock";
    /// Name of an instance.
    pub const INSTANCE: &str = "limiterId";
    /// Seed of the instance's random number generator.
    pub const SEED: &str = "entropy";
    /// Number of an endpoint list; a later list may reuse it.
    pub const LIST: &str = "list";
    /// Number of entries in a list.
    pub const LIST_LENGTH: &str = "records";
    /// Name of an endpoint.
    pub const SERVER: &str = "server";
    /// Index of the endpoint's zone.
    pub const ZONE: &str = "failureDomain";
    /// Index of the endpoint's machine type.
    pub const MACHINE_TYPE: &str = "shape";
    /// The endpoint's cell.
    pub const CELL: &str = "cluster";
    /// State of the endpoint, one of [`super::endpoint_state`].
    pub const STATE: &str = "readiness";
    /// Capacity of the endpoint relative to others; absent if it has the default capacity.
    pub const WEIGHT: &str = "scale";
    /// Simulated time of the endpoint's last start, in seconds; 0 or absent if there is none to report.
    pub const STARTED_AT: &str = "upSinceS";
    /// Kind of an endpoint update, one of [`super::update_kind`].
    pub const UPDATE_KIND: &str = "form";
    /// Version of an endpoint list.
    pub const LIST_VERSION: &str = "serial";
    /// Name of a request.
    pub const REQUEST: &str = "req";
    /// Number of limiters in the customer's limiter set.
    pub const SET_SIZE: &str = "spread";
    /// Index of the first limiter in the customer's limiter set; 0 if absent.
    pub const SET_FIRST: &str = "setFrom";
    /// Time until the client abandons the request, in seconds.
    pub const REMAINING_TIME: &str = "timeLeftS";
    /// Number of a customer.
    pub const CUSTOMER: &str = "clientId";
    /// Index of a plan.
    pub const PLAN: &str = "package";
    /// Index of a request class.
    pub const CLASS: &str = "lane";
    /// Flags of a request, as bits of one number; none is set if absent.
    pub const REQUEST_FLAGS: &str = "attrs";
    /// Estimated units of a request; 1 if absent.
    pub const UNITS: &str = "quotaUnits";
    /// Whether the client has the final response, as `1` or `0`.
    pub const REQUEST_COMPLETED: &str = "finished";
    /// Units that the request actually used; 0 or absent if the response does not report them.
    pub const USED_UNITS: &str = "cost";
    /// Outcome of an attempt, a health check or a counter call, one of [`super::outcome`].
    pub const OUTCOME: &str = "stateCode";
    /// Duration of an attempt, a health check or a counter call, in seconds.
    pub const LATENCY: &str = "waitTimeS";
    /// Number of the attempt among the request's attempts, from 0.
    pub const ATTEMPT: &str = "seqNo";
    /// The customer's metered use of its quota, in hundredths plus one; less than 1 or absent if nothing was metered.
    pub const METERED_USAGE: &str = "quotaUse";
    /// Load report of an endpoint: `name:value` pairs separated by commas, with the names of [`super::load`].
    pub const LOAD_REPORT: &str = "feedback";
    /// Index of the limiter that sent a message.
    pub const SENDER: &str = "src";
    /// Bytes of a message, as hexadecimal digits.
    pub const CONTENT: &str = "content";
    /// Name of a timer.
    pub const TIMER: &str = "token";
    /// Name of a counter.
    pub const COUNTER: &str = "cname";
    /// Total of a counter after the increment, over the whole fleet.
    pub const COUNTER_TOTAL: &str = "value";
}

/// Kinds of endpoint updates, values of [`value_name::UPDATE_KIND`].
pub mod update_kind {
    /// Only the endpoints that changed.
    pub const CHANGES: &str = "update";
    /// All endpoints; one that is left out is removed.
    pub const SNAPSHOT: &str = "replace";
    /// All endpoints, from a list stored before the instance's start.
    pub const CACHED: &str = "restored";
    /// Discovery could not be reached.
    pub const UNAVAILABLE: &str = "unavailable";
}

/// States of endpoints, values of [`value_name::STATE`].
pub mod endpoint_state {
    /// Takes new requests.
    pub const READY: &str = "U";
    /// Finishes its requests and takes no new ones.
    pub const DRAINING: &str = "L";
    /// No longer exists.
    pub const REMOVED: &str = "D";
}

/// Outcomes of attempts, health checks and counter calls, values of [`value_name::OUTCOME`].
pub mod outcome {
    /// The response arrived.
    pub const SUCCESS: &str = "delivered";
    /// The server returned an error.
    pub const ERROR: &str = "app_error";
    /// The server rejected the request without running it.
    pub const REJECTED: &str = "shed";
    /// The client's deadline passed first.
    pub const DEADLINE_EXCEEDED: &str = "expired";
    /// No connection could be opened.
    pub const CONNECTION_REFUSED: &str = "dial_failed";
    /// The connection broke before the response was complete.
    pub const CONNECTION_LOST: &str = "dropped";
    /// The limiter cancelled the attempt.
    pub const CANCELLED: &str = "revoked";
    /// The attempt never left the limiter.
    pub const NOT_SENT: &str = "unused";
}

/// Names of the values in a load report; other names are ignored.
pub mod load {
    /// Requests that the server is processing.
    pub const IN_FLIGHT: &str = "busy_reqs";
    /// Requests that wait in the server's queue.
    pub const QUEUED: &str = "pending";
    /// Share of the server's cores that is busy, 0 to 1.
    pub const UTILIZATION: &str = "cpu_share";
    /// Time to process one request, in milliseconds.
    pub const SERVICE_TIME_MS: &str = "svc_ms";
    /// Requests that the server handles per second.
    pub const REQUESTS_PER_SECOND: &str = "served_ps";
    /// Errors that the server returns per second.
    pub const ERRORS_PER_SECOND: &str = "failed_ps";
}

/// Stands for an absent value and for an empty peer message.
pub const ABSENT: &str = "-";
/// Name of the only timer that an instance uses.
pub const WAKEUP_TIMER: &str = "wake";
/// Bit of [`value_name::REQUEST_FLAGS`]: the client marked the request as a retry.
pub const RETRY_FLAG: u32 = 2;
