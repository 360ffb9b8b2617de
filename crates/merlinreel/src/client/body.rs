//! Bodies of clients' requests: read whole, within their time and the memory that they share.

use super::ClientListener;
use super::connection::{ClientConnection, lock};
use crate::client::decode::respond;
use crate::config::limits::Limits;
use crate::log;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Incoming};
use hyper::{Response, StatusCode};
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::timeout_at;

/// Why a body is not taken.
#[derive(Debug, Error)]
pub enum BodyError {
    #[error("a body of {least} bytes or more is longer than {most}")]
    TooLong { least: u64, most: usize },
    #[error("too much in hand")]
    NoRoom,
    #[error("a repeatable class comes without a body")]
    NotAllowed,
    #[error("a body was not whole in time")]
    Late,
    #[error(transparent)]
    Broken(#[from] hyper::Error),
}

/// How long a body may take. Guards the place against one that never ends.
pub struct BodyPatience {
    /// When a whole request is due.
    pub due: Instant,
    /// When its client gives up.
    pub gone: Instant,
    pub begun: Instant,
}

impl BodyPatience {
    /// When the next piece must be there, with so many bytes before it: one that comes as fast as the slowest client sends
    /// has longer than others.
    fn until(&self, bytes: usize, limits: &Limits) -> Instant {
        let sent_in = Duration::from_secs_f64(
            bytes as f64 / f64::from(limits.client.min_body_bytes_per_second),
        );
        self.due
            .max(self.begun + sent_in + limits.client.max_body_pause)
            .min(self.gone)
    }
}

impl BodyError {
    /// What its client is told.
    pub fn answer(&self) -> Response<Full<Bytes>> {
        let status = match self {
            BodyError::TooLong { .. } => {
                log!("clients: {self}: 413");
                return respond(StatusCode::PAYLOAD_TOO_LARGE, String::new());
            }
            BodyError::Late => {
                log!("clients: {self}: 408");
                return respond(StatusCode::REQUEST_TIMEOUT, String::new());
            }
            BodyError::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
            BodyError::NotAllowed | BodyError::Broken(_) => StatusCode::BAD_REQUEST,
        };
        respond(status, format!("{self}\n"))
    }
}

impl ClientListener {
    /// The whole of a body and its place in the memory. One that comes in chunks, its length untold, takes its place
    /// piece by piece; trailers are dropped.
    pub(super) async fn body(
        &self,
        mut body: Incoming,
        allowed: bool,
        patience: BodyPatience,
        client_connection: &ClientConnection,
    ) -> Result<(Bytes, OwnedSemaphorePermit), BodyError> {
        let (most, least) = (self.limits.max_body_bytes, body.size_hint().lower());
        if least > most as u64 {
            return Err(BodyError::TooLong { least, most });
        }
        let told = least as usize;
        // Guards the memory against many large bodies at once.
        let mut room = self.permits.body(told).ok_or(BodyError::NoRoom)?;
        // Copied: pieces as they are would each keep a whole buffer of the connection's.
        let mut whole = Vec::with_capacity(told);
        loop {
            let until = patience.until(whole.len(), &self.limits);
            lock(&client_connection.times).body_due = Some(until);
            let Some(frame) = timeout_at(until.into(), body.frame())
                .await
                .map_err(|_| BodyError::Late)?
            else {
                break;
            };
            let Ok(piece) = frame?.into_data() else {
                continue;
            };
            if !allowed {
                return Err(BodyError::NotAllowed);
            }
            let length = whole.len() + piece.len();
            if length > most {
                return Err(BodyError::TooLong {
                    least: length as u64,
                    most,
                });
            }
            let beyond = length.saturating_sub(room.num_permits());
            if !self.permits.grow(&mut room, beyond) {
                return Err(BodyError::NoRoom);
            }
            whole.extend_from_slice(&piece);
        }
        Ok((Bytes::from(whole.into_boxed_slice()), room))
    }
}
