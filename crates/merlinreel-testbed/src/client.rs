//! Clients: one that asks once, and one that keeps asking and records what it saw.

use crate::PATIENCE;
use crate::http::{Message, ReadError, read};
use crate::record::{Record, What};
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

static TRIES: AtomicU32 = AtomicU32::new(0x9b1f_03aa);

/// A connection to a limiter.
#[derive(Debug)]
pub struct Client {
    to: TcpStream,
    from: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let to = TcpStream::connect(address)?;
        to.set_read_timeout(Some(PATIENCE))?;
        Ok(Client { from: BufReader::new(to.try_clone()?), to })
    }

    pub fn send(&mut self, text: &str) {
        // Where the other side has closed, the missing answer tells.
        let _ = self.to.write_all(text.as_bytes());
    }

    /// A second handle, to write beside the reading.
    pub fn writer(&self) -> io::Result<TcpStream> {
        self.to.try_clone()
    }

    /// None where the connection ends without an answer.
    pub fn receive(&mut self) -> Option<Message> {
        self.receive_or_error().ok().flatten()
    }

    /// Tells an answer that broke off from none; `None` where the connection ended before one.
    pub fn receive_or_error(&mut self) -> Result<Option<Message>, ReadError> {
        read(&mut self.from, 0)
    }

    /// Sends nothing more; answers still come.
    pub fn finish_sending(&mut self) {
        // Where the other side has closed already, there is nothing to end.
        let _ = self.to.shutdown(Shutdown::Write);
    }

    pub fn call(&mut self, text: &str) -> Option<Message> {
        self.send(text);
        self.receive()
    }

    /// The answer to one job of that customer.
    pub fn job(&mut self, class: &str, customer: u32, units: u32) -> Message {
        self.call(&job(class, customer, units, "3000m")).expect("an answer")
    }
}

/// A job as clients send it, with an id of its own.
pub fn job(class: &str, customer: u32, units: u32, remaining: &str) -> String {
    let (method, key, body) = match class {
        "look" => ("GET", "", ""),
        "put" => ("POST", "Idempotency-Key: 5c0f6e1a\r\n", "a body"),
        _ => ("POST", "", "a body"),
    };
    format!(
        "{method} /{class}?key={customer:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: {:08x}\r\n\
         X-Lane: {class}\r\nX-Plan: team\r\nX-Remaining: {remaining}\r\n{key}Content-Length: {}\r\n\
         X-Quota: units={units},spread=1,first=0\r\n\r\n{body}",
        TRIES.fetch_add(1, Ordering::Relaxed),
        body.len()
    )
}

/// Keeps asking at one limiter until `stop`, a job of each class by turns, on a connection that it keeps as long as
/// it stays open; comes again after each answer, a pause of `beat` between, and dials anew where the connection ended.
/// The time that it gives each job is `patience`, and it waits `longer` for an answer that is late.
pub fn keep_asking(
    limiter: usize,
    address: SocketAddr,
    customer: u32,
    record: &Record,
    stop: &AtomicBool,
    (beat, patience, longer): (Duration, Duration, Duration),
) {
    let mut open: Option<Client> = None;
    let mut turn = customer as usize;
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(beat);
        let Some(mut client) = open.take().or_else(|| Client::connect(address).ok()) else { continue };
        let _ = client.to.set_read_timeout(Some(patience + longer));
        turn += 1;
        let class = ["look", "put", "pay"][turn % 3];
        let text = job(class, customer, 1, &format!("{}m", patience.as_millis()));
        let id = text.split("X-Txn: ").nth(1).and_then(|rest| rest.split("\r\n").next()).unwrap_or("");
        let id = id.to_owned();
        record.tell(What::Asked { id: id.clone(), class, customer, limiter, patience });
        match client.call(&text) {
            Some(answer) => {
                record.tell(What::Answered {
                    id,
                    status: answer.status(),
                    again: answer.header("retry-after").is_some(),
                });
                if answer.header("connection") != Some("close") {
                    open = Some(client);
                }
            }
            None => record.tell(What::Unanswered { id }),
        }
    }
}
