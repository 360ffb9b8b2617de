//! Clients of a campaign: they keep asking at one limiter and record what they saw.

use crate::client::{Client, request};
use crate::record::{Record, RequestId, What};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// The classes that clients ask by turns.
const CLASSES: [&str; 3] = ["look", "put", "pay"];

/// How a client uses its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// One request at a time.
    OneByOne,
    /// So many at once, each behind the other.
    Pipelined(usize),
    /// One at a time, and of some it closes the connection so long after it has sent them.
    Leaves(Duration),
}

/// One client: whom it asks, and how.
#[derive(Clone, Copy, Debug)]
pub struct Asking {
    pub limiter: usize,
    pub address: SocketAddr,
    pub customer: u32,
    pub manner: Manner,
    /// The pause behind each answer.
    pub beat: Duration,
    /// The time that it gives each request.
    pub patience: Duration,
    /// It waits so much longer for an answer that is late.
    pub longer: Duration,
}

impl Asking {
    /// Asks until `stop`, a request of each class by turns, on a connection that it keeps as long as it stays open. It
    /// connects anew where that has ended, while the front `admits` its limiter.
    pub fn keep_on(&self, record: &Record, stop: &AtomicBool, admits: &AtomicBool) {
        let mut open: Option<Client> = None;
        let mut turn = self.customer as usize;
        while !stop.load(Ordering::Relaxed) {
            thread::sleep(self.beat);
            let fresh = open.is_none();
            if fresh && !admits.load(Ordering::Relaxed) {
                continue;
            }
            let Some(mut client) = open.take().or_else(|| Client::connect(self.address).ok())
            else {
                continue;
            };
            turn += 1;
            let stays = match self.manner {
                Manner::OneByOne => self.ask(&mut client, 1, turn, fresh, record),
                Manner::Pipelined(count) => self.ask(&mut client, count, turn, fresh, record),
                Manner::Leaves(after) if turn.is_multiple_of(4) => {
                    self.leave(client, after, turn, record);
                    continue;
                }
                Manner::Leaves(_) => self.ask(&mut client, 1, turn, fresh, record),
            };
            open = stays.then_some(client);
        }
    }

    /// A request, its id, and that it was asked.
    fn write(&self, turn: usize, record: &Record) -> (RequestId, String) {
        let class = CLASSES[turn % CLASSES.len()];
        let text = request(
            class,
            self.customer,
            1,
            &format!("{}m", self.patience.as_millis()),
        );
        let id = text
            .split("X-Txn: ")
            .nth(1)
            .and_then(|rest| rest.split("\r\n").next())
            .unwrap_or("");
        let (customer, limiter, patience) = (self.customer, self.limiter, self.patience);
        record.tell(What::Asked {
            id: id.to_owned(),
            class,
            customer,
            limiter,
            patience,
        });
        (id.to_owned(), text)
    }

    /// Sends so many requests at once and reads their answers; whether the connection stays.
    fn ask(
        &self,
        client: &mut Client,
        count: usize,
        turn: usize,
        fresh: bool,
        record: &Record,
    ) -> bool {
        let _ = client.wait_at_most(self.patience + self.longer);
        let requests: Vec<(RequestId, String)> =
            (0..count).map(|n| self.write(turn + n, record)).collect();
        client.send(
            &requests
                .iter()
                .map(|(_, text)| text.as_str())
                .collect::<String>(),
        );
        let mut stays = true;
        for (id, _) in requests {
            let answer = client.receive().filter(|_| stays);
            stays = answer
                .as_ref()
                .is_some_and(|answer| answer.header("connection") != Some("close"));
            record.tell(match answer {
                None => What::Unanswered { id, fresh },
                Some(answer) => {
                    let again = answer.header("retry-after").is_some();
                    What::Answered {
                        id,
                        status: answer.status(),
                        again,
                    }
                }
            });
        }
        stays
    }

    /// Sends a request and closes the connection.
    fn leave(&self, mut client: Client, after: Duration, turn: usize, record: &Record) {
        let (id, text) = self.write(turn, record);
        client.send(&text);
        thread::sleep(after);
        drop(client);
        record.tell(What::Gone { id });
    }
}
