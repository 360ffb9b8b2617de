//! Servers and discoveries that do what a test says, request by request.

use crate::PATIENCE;
use crate::http::{Message, read};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;

/// What a stand-in does with a request.
pub enum React {
    Answer(String),
    /// Closes the connection without an answer.
    Break,
    /// Says nothing.
    Hang,
}

pub fn answer(status: &str, headers: &str, body: &str) -> React {
    React::Answer(format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()))
}

pub fn fine() -> React {
    answer("200 OK", "", "done")
}

/// A server or a discovery: tells what it got, and which connections were closed from the other side.
pub struct StandIn {
    pub address: SocketAddr,
    pub seen: Receiver<Message>,
    pub closed: Receiver<usize>,
}

impl StandIn {
    pub fn start(react: impl Fn(&Message) -> React + Send + Sync + 'static) -> StandIn {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let ((tell, seen), (over, closed)) = (channel(), channel());
        let react = Arc::new(react);
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let (react, tell, over) = (react.clone(), tell.clone(), over.clone());
                thread::spawn(move || attend(stream, number, &*react, &tell, &over));
            }
        });
        StandIn { address, seen, closed }
    }

    pub fn next(&self) -> Message {
        self.seen.recv_timeout(PATIENCE).expect("a request")
    }
}

fn attend(
    mut stream: TcpStream,
    number: usize,
    react: &dyn Fn(&Message) -> React,
    tell: &Sender<Message>,
    over: &Sender<usize>,
) -> io::Result<()> {
    let mut from = BufReader::new(stream.try_clone()?);
    while let Ok(Some(message)) = read(&mut from, number) {
        // A test that has ended wants to know no more.
        let _ = tell.send(message.clone());
        match react(&message) {
            React::Answer(text) => stream.write_all(text.as_bytes())?,
            React::Break => return Ok(()),
            React::Hang => {}
        }
    }
    let _ = over.send(number);
    Ok(())
}

/// A server that holds each POST until it is let go of, one a message sent; answers all else at once.
pub fn holding() -> (StandIn, Sender<()>) {
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let server = StandIn::start(move |message| {
        if message.first.starts_with("POST") {
            let _ = released.lock().expect("whole").recv();
        }
        fine()
    });
    (server, release)
}

/// A discovery that tells the texts it is given, one an answer, or breaks; each call waits for the next.
pub fn discovery(texts: Receiver<String>) -> StandIn {
    let texts = Mutex::new(texts);
    StandIn::start(move |_| match texts.lock().expect("whole").recv() {
        Ok(text) if text == "break" => React::Break,
        Ok(text) => answer("200 OK", "", &text),
        Err(_) => React::Hang,
    })
}
