//! Messages of HTTP/1.1 as stand-ins read them.

use std::io::{self, BufRead};

/// A request or an answer.
#[derive(Clone, Debug)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
    /// By which connection it came, counted from 0.
    pub connection: usize,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// One message, none at the connection's end.
pub fn read(from: &mut impl BufRead, connection: usize) -> io::Result<Option<Message>> {
    let mut first = String::new();
    if from.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        from.read_line(&mut line)?;
        let Some((name, value)) = line.trim_end().split_once(": ") else { break };
        headers.push((name.to_owned(), value.to_owned()));
    }
    let mut message =
        Message { first: first.trim_end().to_owned(), headers, body: String::new(), connection };
    let length = message.header("content-length").map_or(0, |text| text.parse().expect("a length"));
    let mut body = vec![0; length];
    from.read_exact(&mut body)?;
    message.body = String::from_utf8_lossy(&body).into_owned();
    Ok(Some(message))
}
