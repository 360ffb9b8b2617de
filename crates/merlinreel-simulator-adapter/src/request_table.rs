//! The requests in flight at an instance.

use crate::name_table::NameTable;
use merlinreel_policy::{Index, RequestIndex};

/// State of a request, which tells when its index can be freed.
#[derive(Clone, Copy, Default)]
struct RequestState {
    attempts_in_flight: u32,
    is_completed: bool,
    /// The index is already in [`RequestTable::unused`].
    is_unused: bool,
}

/// The requests by name and index. An index is unused once its request is completed and no attempt is in flight; the end of
/// the batch frees it.
#[derive(Default)]
pub struct RequestTable {
    names: NameTable<RequestIndex>,
    states: Vec<RequestState>,
    unused: Vec<RequestIndex>,
}

impl RequestTable {
    /// The index of a request in flight; `None` if there is none of this name.
    pub fn get(&self, name: &str) -> Option<RequestIndex> {
        self.names.get(name)
    }

    /// The name of a request in flight.
    pub fn name(&self, request: RequestIndex) -> &str {
        self.names.name(request)
    }

    /// Adds a request and returns its index.
    pub fn insert(&mut self, name: &str) -> RequestIndex {
        let request = self.names.insert(name);
        let index = request.position();
        if index >= self.states.len() {
            self.states.resize(index + 1, RequestState::default());
        }
        self.states[index] = RequestState::default();
        request
    }

    /// Whether the request has its final response, or its client has disconnected.
    pub fn is_completed(&self, request: RequestIndex) -> bool {
        self.states[request.position()].is_completed
    }

    /// Marks the request as completed.
    pub fn complete(&mut self, request: RequestIndex) {
        self.states[request.position()].is_completed = true;
        self.mark_if_unused(request);
    }

    /// Number of the request's attempts in flight.
    pub fn attempts_in_flight(&self, request: RequestIndex) -> u32 {
        self.states[request.position()].attempts_in_flight
    }

    /// Records that an attempt starts.
    pub fn start_attempt(&mut self, request: RequestIndex) {
        self.states[request.position()].attempts_in_flight += 1;
    }

    /// Records that an attempt ended.
    ///
    /// # Panics
    ///
    /// If the request has no attempt in flight.
    pub fn end_attempt(&mut self, request: RequestIndex) {
        self.states[request.position()].attempts_in_flight -= 1;
        self.mark_if_unused(request);
    }

    /// Frees all unused indices, for later requests.
    pub fn free_unused(&mut self) {
        for request in self.unused.drain(..) {
            self.names.remove(request);
        }
    }

    fn mark_if_unused(&mut self, request: RequestIndex) {
        let state = &mut self.states[request.position()];
        if state.is_completed && state.attempts_in_flight == 0 && !state.is_unused {
            state.is_unused = true;
            self.unused.push(request);
        }
    }
}
