//! A client's connection to a limiter, and the text of client requests.

use crate::TEST_TIMEOUT;
use crate::http::{Message, ReadError, read};
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Id of the next request, unique within the test process.
static NEXT_REQUEST_ID: AtomicU32 = AtomicU32::new(0x9b1f_03aa);

/// A client's HTTP/1.1 connection to a limiter. Reads time out after [`TEST_TIMEOUT`] by default.
#[derive(Debug)]
pub struct Client {
    writer: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Connects within [`TEST_TIMEOUT`].
    ///
    /// # Errors
    /// The connection is refused or times out.
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        Client::connect_within(address, TEST_TIMEOUT)
    }

    /// Connects within `timeout`.
    ///
    /// # Errors
    /// The connection is refused or not established within `timeout`, for example because the listen queue is full.
    pub fn connect_within(address: SocketAddr, timeout: Duration) -> io::Result<Client> {
        let writer = TcpStream::connect_timeout(&address, timeout)?;
        writer.set_read_timeout(Some(TEST_TIMEOUT))?;
        Ok(Client {
            reader: BufReader::new(writer.try_clone()?),
            writer,
        })
    }

    /// Sets the timeout of each later read.
    ///
    /// # Errors
    /// The timeout is zero, or the socket option can't be set.
    pub fn set_read_timeout(&self, timeout: Duration) -> io::Result<()> {
        self.writer.set_read_timeout(Some(timeout))
    }

    /// Sends text unchanged. Errors are ignored.
    pub fn send(&mut self, text: &str) {
        // If the other side has closed the connection, the missing response shows it.
        let _ = self.writer.write_all(text.as_bytes());
    }

    /// Returns a second handle of the connection, for writing while this one reads.
    ///
    /// # Errors
    /// The socket can't be duplicated.
    pub fn writer(&self) -> io::Result<TcpStream> {
        self.writer.try_clone()
    }

    /// Reads the next response. `None` if the connection ends or times out without a complete, well-formed one.
    pub fn receive(&mut self) -> Option<Message> {
        self.receive_or_error().ok().flatten()
    }

    /// Reads the next response. `None` if the connection ended before it began.
    ///
    /// # Errors
    /// The response was truncated, malformed or did not arrive in time.
    pub fn receive_or_error(&mut self) -> Result<Option<Message>, ReadError> {
        read(&mut self.reader, 0)
    }

    /// Shuts down the write half of the connection. Responses can still be received.
    pub fn finish_sending(&mut self) {
        // If the other side has closed the connection already, there is nothing to shut down.
        let _ = self.writer.shutdown(Shutdown::Write);
    }

    /// Sends text and reads one response, see [`Client::receive`].
    pub fn call(&mut self, text: &str) -> Option<Message> {
        self.send(text);
        self.receive()
    }

    /// Sends one request of `class` with a remaining time of 3000 ms, and returns the response.
    ///
    /// # Panics
    /// There is no complete response.
    pub fn request(&mut self, class: &str, customer: u32, units: u32) -> Message {
        self.call(&request(class, customer, units, "3000m"))
            .expect("a complete response")
    }
}

/// The text of a request with a unique `X-Txn`. `remaining` is the value of `X-Remaining`, such as `3000m`.
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
        NEXT_REQUEST_ID.fetch_add(1, Ordering::Relaxed),
        body.len()
    )
}
