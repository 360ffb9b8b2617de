//! Servers' answers, read whole before any of it goes on, within the memory that all of them share.

use crate::limits::Limits;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// What large answers take together. A small one has its place with its connection.
#[derive(Clone, Debug)]
pub struct Room {
    bytes: Arc<Semaphore>,
    small: usize,
    most: usize,
}

/// The bytes of a large answer; their room is given back once the client has them.
struct Held {
    bytes: Vec<u8>,
    _room: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Room {
    pub fn new(limits: &Limits) -> Room {
        Room { bytes: Arc::new(Semaphore::new(limits.answers)), small: limits.body, most: limits.answer }
    }

    async fn hold(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        self.bytes.clone().acquire_many_owned(u32::try_from(bytes).ok()?).await.ok()
    }

    /// The whole of a body; none where it breaks off or is larger than any may be. A large one waits until there is
    /// room for it. Guards the memory against many of them at once, and good answers that are large against being
    /// taken for spoilt ones: each would be tried at server after server, and all of those be rested.
    pub async fn whole<B: Body<Data = Bytes> + Unpin>(&self, mut body: B) -> Option<Bytes> {
        let length = body.size_hint();
        if length.upper().is_some_and(|most| most <= self.small as u64) {
            return Some(body.collect().await.ok()?.to_bytes());
        }
        let least = usize::try_from(length.lower()).ok().filter(|&least| least <= self.most)?;
        // Of one that comes in pieces nobody knows the length.
        let mut room = if least > self.small { Some(self.hold(least).await?) } else { None };
        let mut bytes = Vec::with_capacity(least);
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.ok()?.into_data() else { continue };
            let all = bytes.len() + data.len();
            if all > self.most {
                return None;
            }
            if all > self.small && room.is_none() {
                room = Some(self.hold(self.most).await?);
            }
            bytes.extend_from_slice(&data);
        }
        Some(match room {
            Some(room) => Bytes::from_owner(Held { bytes, _room: room }),
            None => bytes.into(),
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use http_body_util::Full;
    use hyper::body::Frame;
    use std::convert::Infallible;
    use std::future::Future;
    use std::pin::{Pin, pin};
    use std::task::{Context, Poll, Waker};
    use test_case::test_case;

    fn room() -> Room {
        Room { bytes: Arc::new(Semaphore::new(16)), small: 4, most: 10 }
    }

    /// So many bytes, in pieces of two, of which only the number of pieces is to be seen.
    struct Pieces(usize);

    impl Body for Pieces {
        type Data = Bytes;
        type Error = Infallible;

        fn poll_frame(
            mut self: Pin<&mut Self>,
            _: &mut Context,
        ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
            let left = self.0.checked_sub(2);
            self.0 = left.unwrap_or(0);
            Poll::Ready(left.map(|_| Ok(Frame::data(Bytes::from_static(b"ab")))))
        }
    }

    #[test_case(3, 0 => Some(3) ; "small")]
    #[test_case(9, 0 => Some(9) ; "large")]
    #[test_case(11, 0 => None ; "too large")]
    #[test_case(0, 4 => Some(4) ; "small in pieces")]
    #[test_case(0, 10 => Some(10) ; "large in pieces")]
    #[test_case(0, 12 => None ; "too large in pieces")]
    #[tokio::test]
    async fn what_is_read_whole(known: usize, pieces: usize) -> Option<usize> {
        let whole = match pieces {
            0 => room().whole(Full::new(Bytes::from(vec![1; known]))).await,
            _ => room().whole(Pieces(pieces)).await,
        };
        whole.map(|bytes| bytes.len())
    }

    #[tokio::test]
    async fn a_large_one_waits_for_room_until_another_s_client_has_it() {
        let room = room();
        let first = room.whole(Full::new(Bytes::from(vec![1; 9]))).await.expect("room");
        let mut second = pin!(room.whole(Full::new(Bytes::from(vec![2; 9]))));
        let mut turn = Context::from_waker(Waker::noop());
        assert!(second.as_mut().poll(&mut turn).is_pending());
        assert_eq!(room.whole(Full::new(Bytes::from(vec![3; 4]))).await.map(|bytes| bytes.len()), Some(4));
        drop(first);
        assert_eq!(second.await, Some(Bytes::from(vec![2; 9])));
    }
}
