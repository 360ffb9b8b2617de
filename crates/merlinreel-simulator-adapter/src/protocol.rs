//! The names of the simulator's protocol. A line is a name and its values, separated by single spaces.

/// Messages from the simulator.
pub mod message {
    /// A batch begins.
    pub const BATCH_START: &str = "ROUND";
    /// The batch is complete and the reply is due.
    pub const BATCH_END: &str = "OVER_TO_YOU";
    /// Names the instance that the following messages are for.
    pub const INSTANCE: &str = "CONTEXT";
    /// An endpoint list begins.
    pub const LIST: &str = "POOL";
    /// One endpoint of the list.
    pub const LIST_ENTRY: &str = "ENTRY";
    /// Starts the instance.
    pub const INSTANCE_START: &str = "INIT";
    /// Stops the instance.
    pub const INSTANCE_STOP: &str = "TEARDOWN";
    /// Discovery published an endpoint list, or could not be reached.
    pub const ENDPOINT_UPDATE: &str = "ENDPOINTS";
    /// A client sent a request.
    pub const REQUEST: &str = "JOB_IN";
    /// The response to a request has started to stream.
    pub const STREAMING: &str = "ACCEPTED";
    /// A client closed its connection.
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
    /// Names the instance that the following actions are of.
    pub const INSTANCE: &str = "FOR";
    /// The reply is complete.
    pub const REPLY_END: &str = "READY";
    /// Starts an attempt.
    pub const START_ATTEMPT: &str = "SUBMIT_TO";
    /// Rejects a request.
    pub const REJECT: &str = "NOT_NOW";
    /// Fails a request.
    pub const FAIL: &str = "FAIL";
    /// Cancels an attempt.
    pub const CANCEL_ATTEMPT: &str = "REVOKE";
    /// Starts a health check.
    pub const START_HEALTH_CHECK: &str = "TOUCH";
    /// Sends a message to another limiter.
    pub const SEND_PEER_MESSAGE: &str = "MEMO_TO";
    /// Adds to a counter of the counter service.
    pub const INCREMENT_COUNTER: &str = "POST_AMOUNT";
    /// Subscribes to endpoint lists, or ends the subscription.
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

/// Names of the messages' values, as errors show them.
pub mod value_name {
    /// The name of a message itself.
    pub const MESSAGE: &str = "message";
    /// Time of the batch, in seconds.
    pub const CLOCK: &str = "clock";
    /// Name of an instance.
    pub const INSTANCE: &str = "limiterId";
    /// Seed of the instance's random draws.
    pub const SEED: &str = "entropy";
    /// Number of an endpoint list.
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
    /// State of the endpoint.
    pub const STATE: &str = "readiness";
    /// Capacity of the endpoint relative to others.
    pub const WEIGHT: &str = "scale";
    /// Time of the endpoint's last start, in seconds.
    pub const STARTED_AT: &str = "upSinceS";
    /// Kind of an endpoint update.
    pub const UPDATE_KIND: &str = "form";
    /// Version of an endpoint list.
    pub const LIST_VERSION: &str = "serial";
    /// Name of a request.
    pub const REQUEST: &str = "req";
    /// Number of limiters that the customer's requests come through.
    pub const SET_SIZE: &str = "spread";
    /// The first of these limiters.
    pub const SET_FIRST: &str = "setFrom";
    /// Time until the client gives up, in seconds.
    pub const REMAINING_TIME: &str = "timeLeftS";
    /// Number of a customer.
    pub const CUSTOMER: &str = "clientId";
    /// Index of a plan.
    pub const PLAN: &str = "package";
    /// Index of a request class.
    pub const CLASS: &str = "lane";
    /// Flags of a request, as bits.
    pub const REQUEST_FLAGS: &str = "attrs";
    /// Estimated units of a request.
    pub const UNITS: &str = "quotaUnits";
    /// Whether the request has its final response.
    pub const REQUEST_COMPLETED: &str = "finished";
    /// Units that the request really used.
    pub const USED_UNITS: &str = "cost";
    /// Outcome of an attempt or a call.
    pub const OUTCOME: &str = "stateCode";
    /// Duration of an attempt or a call, in seconds.
    pub const LATENCY: &str = "waitTimeS";
    /// Number of the attempt at its request.
    pub const ATTEMPT: &str = "seqNo";
    /// The customer's metered use of its quota.
    pub const METERED_USAGE: &str = "quotaUse";
    /// Load report of an endpoint.
    pub const LOAD_REPORT: &str = "feedback";
    /// Index of the limiter that sent a message.
    pub const SENDER: &str = "src";
    /// Bytes of a message, in hex.
    pub const CONTENT: &str = "content";
    /// Name of a timer.
    pub const TIMER: &str = "token";
    /// Name of a counter.
    pub const COUNTER: &str = "cname";
    /// Total of a counter.
    pub const COUNTER_TOTAL: &str = "value";
}

/// Kinds of endpoint updates.
pub mod update_kind {
    /// Only the endpoints that changed.
    pub const CHANGES: &str = "update";
    /// All endpoints.
    pub const SNAPSHOT: &str = "replace";
    /// All endpoints, as stored before the instance's start.
    pub const CACHED: &str = "restored";
    /// Discovery could not be reached.
    pub const UNAVAILABLE: &str = "unavailable";
}

/// States of endpoints.
pub mod endpoint_state {
    /// Takes requests.
    pub const READY: &str = "U";
    /// Finishes its requests and takes no new ones.
    pub const DRAINING: &str = "L";
    /// No longer exists.
    pub const REMOVED: &str = "D";
}

/// Outcomes of attempts and calls.
pub mod outcome {
    /// The response arrived.
    pub const SUCCESS: &str = "delivered";
    /// The server returned an error.
    pub const ERROR: &str = "app_error";
    /// The server rejected the request without processing it.
    pub const REJECTED: &str = "shed";
    /// The time for the attempt ran out.
    pub const DEADLINE_EXCEEDED: &str = "expired";
    /// No connection could be opened.
    pub const CONNECTION_REFUSED: &str = "dial_failed";
    /// The connection broke.
    pub const CONNECTION_LOST: &str = "dropped";
    /// The limiter cancelled it.
    pub const CANCELLED: &str = "revoked";
    /// It was never sent.
    pub const NOT_SENT: &str = "unused";
}

/// Values of a load report.
pub mod load {
    /// Requests that the server is processing.
    pub const IN_FLIGHT: &str = "busy_reqs";
    /// Requests that wait in the server's queue.
    pub const QUEUED: &str = "pending";
    /// Share of the processor in use.
    pub const UTILIZATION: &str = "cpu_share";
    /// Time to process one request, in milliseconds.
    pub const SERVICE_TIME_MS: &str = "svc_ms";
    /// Requests completed in a second.
    pub const REQUESTS_PER_SECOND: &str = "served_ps";
    /// Requests failed in a second.
    pub const ERRORS_PER_SECOND: &str = "failed_ps";
}

/// A value that is absent, and an empty peer message.
pub const ABSENT: &str = "-";
/// Name of the only timer that an instance uses.
pub const WAKEUP_TIMER: &str = "wake";
/// Bit of [`value_name::REQUEST_FLAGS`]: the client has sent this request before.
pub const RETRY_FLAG: u32 = 2;
