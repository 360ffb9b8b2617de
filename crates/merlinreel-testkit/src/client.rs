//! A client's connection to a limiter, and requests as clients write them.

use crate::PATIENCE;
use crate::http::{Message, ReadError, read};
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
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
        Client::connect_within(address, PATIENCE)
    }

    /// An error where the connection is not up within that time, as the other side's queue may be full.
    pub fn connect_within(address: SocketAddr, span: Duration) -> io::Result<Client> {
        let to = TcpStream::connect_timeout(&address, span)?;
        to.set_read_timeout(Some(PATIENCE))?;
        Ok(Client {
            from: BufReader::new(to.try_clone()?),
            to,
        })
    }

    /// Waits so long at most for each further read.
    pub fn wait_at_most(&self, span: Duration) -> io::Result<()> {
        self.to.set_read_timeout(Some(span))
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

    /// The answer to one request of that customer.
    pub fn request(&mut self, class: &str, customer: u32, units: u32) -> Message {
        self.call(&request(class, customer, units, "3000m"))
            .expect("an answer")
    }
}

/// A request as clients send it, with an id of its own.
pub fn request(class: &str, customer: u32, units: u32, remaining: &str) -> String {
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
