//! Instances of this process, and their decisions as lines of the wire.

use merlinreel_policy::*;
use std::collections::HashMap;
use std::fmt::Write as _;
use std::time::Duration;

/// Ids of one kind, each mapped to a small index at the door.
#[derive(Default)]
pub struct NameTable {
    pub index: HashMap<String, u32>,
    pub names: Vec<String>,
    pub free: Vec<u32>,
}

impl NameTable {
    pub fn add(&mut self, name: &str) -> u32 {
        if let Some(&i) = self.index.get(name) {
            return i;
        }
        let i = match self.free.pop() {
            Some(i) => {
                self.names[i as usize] = name.to_owned();
                i
            }
            None => {
                self.names.push(name.to_owned());
                self.names.len() as u32 - 1
            }
        };
        self.index.insert(name.to_owned(), i);
        i
    }

    pub fn get(&self, name: &str) -> Option<u32> {
        self.index.get(name).copied()
    }

    pub fn remove(&mut self, i: u32) {
        self.index.remove(&self.names[i as usize]);
        self.free.push(i);
    }
}

/// Where a job stands on the wire; its index is free again once it is done and nothing is out.
#[derive(Clone, Copy, Default)]
pub struct RequestState {
    pub out: u32,
    pub attempts: u32,
    pub done: bool,
}

pub struct Instance {
    pub limiter: Limiter,
    pub servers: NameTable,
    pub requests: NameTable,
    pub states: Vec<RequestState>,
    pub round: EventBatch,
    pub touched: bool,
    pub freed: Vec<u32>,
    pub forgotten: Vec<u32>,
}

impl Instance {
    pub fn state(&mut self, request: u32) -> &mut RequestState {
        let i = request as usize;
        if i >= self.states.len() {
            self.states.resize(i + 1, RequestState::default());
        }
        &mut self.states[i]
    }

    pub fn free_if_over(&mut self, request: u32) {
        let state = *self.state(request);
        if state.done && state.out == 0 && !self.freed.contains(&request) {
            self.freed.push(request);
        }
    }
}

pub struct Reply<'a> {
    pub out: &'a mut String,
    pub servers: &'a NameTable,
    pub requests: &'a NameTable,
    pub states: &'a mut Vec<RequestState>,
    pub freed: &'a mut Vec<u32>,
    pub forgotten: &'a mut Vec<u32>,
}

impl Reply<'_> {
    pub fn close(&mut self, request: u32) {
        let state = &mut self.states[request as usize];
        if !state.done {
            state.done = true;
            if state.out == 0 {
                self.freed.push(request);
            }
        }
    }

    pub fn line(&mut self, text: std::fmt::Arguments) {
        // Writing to a string cannot fail.
        let _ = self.out.write_fmt(text);
        self.out.push('\n');
    }
}

pub fn hex(bytes: &[u8]) -> String {
    if bytes.is_empty() {
        return "-".to_owned();
    }
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

pub fn unhex(text: &str) -> Option<Vec<u8>> {
    if text == "-" {
        return Some(Vec::new());
    }
    if !text.len().is_multiple_of(2) || !text.is_ascii() {
        return None;
    }
    (0..text.len())
        .step_by(2)
        .map(|i| u8::from_str_radix(&text[i..i + 2], 16).ok())
        .collect()
}

pub fn count_name(customer: u64, window: u64) -> String {
    format!("{customer:x}.{window:x}")
}

pub fn count_parts(name: &str) -> Option<(u64, u64)> {
    let (customer, window) = name.split_once('.')?;
    Some((
        u64::from_str_radix(customer, 16).ok()?,
        u64::from_str_radix(window, 16).ok()?,
    ))
}

impl Actions for Reply<'_> {
    /// A window runs to the sending here, so that nothing is late by the way there.
    fn start_attempt(&mut self, request: u32, server: u32, _within: Option<Duration>) {
        let (id, name) = (
            &self.requests.names[request as usize],
            &self.servers.names[server as usize],
        );
        let _ = writeln!(self.out, "SUBMIT_TO {id} {name} 0.000000");
        let state = &mut self.states[request as usize];
        state.out += 1;
        state.attempts += 1;
    }

    fn reject(&mut self, request: u32, retry_after: Option<Duration>) {
        let wait = retry_after.map_or(0.0, |wait| wait.as_secs_f64());
        let id = &self.requests.names[request as usize];
        let _ = writeln!(self.out, "NOT_NOW {id} {wait:.6}");
        self.close(request);
    }

    fn fail(&mut self, request: u32) {
        let _ = writeln!(self.out, "FAIL {}", self.requests.names[request as usize]);
        self.close(request);
    }

    fn cancel_attempt(&mut self, request: u32, attempt: u32) {
        let _ = writeln!(
            self.out,
            "REVOKE {} {attempt}",
            self.requests.names[request as usize]
        );
    }

    fn start_health_check(&mut self, server: u32) {
        let _ = writeln!(self.out, "TOUCH {}", self.servers.names[server as usize]);
    }

    fn send_peer_message(&mut self, limiter: u32, peer_message: &[u8]) {
        self.line(format_args!("MEMO_TO {limiter} {}", hex(peer_message)));
    }

    fn increment_counter(&mut self, customer: u64, window: u64, amount: f64, keep: Duration) {
        let name = count_name(customer, window);
        self.line(format_args!(
            "POST_AMOUNT {:.6} {amount} {name}",
            keep.as_secs_f64()
        ));
    }

    fn set_endpoint_subscription(&mut self, on: bool) {
        self.line(format_args!("TRACK {}", u8::from(on)));
    }

    fn poll_endpoints(&mut self) {
        self.line(format_args!("LOOKUP"));
    }

    fn close_idle_connections(&mut self, server: u32) {
        let _ = writeln!(
            self.out,
            "CLOSE_IDLE {}",
            self.servers.names[server as usize]
        );
    }

    fn release_endpoint(&mut self, server: u32) {
        self.forgotten.push(server);
    }

    fn schedule_wakeup(&mut self, after: Duration) {
        self.line(format_args!("AFTER wake {:.6}", after.as_secs_f64()));
    }

    fn log(&mut self, text: &str) {
        self.line(format_args!("SAY_LOG {}", text.replace('\n', " ")));
    }
}
