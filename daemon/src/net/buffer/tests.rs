//! The buffer of a connection, and writing all of it.

use super::*;
use futures_lite::future::block_on;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Every other call is interrupted, and none takes or gives more than a byte.
#[derive(Default)]
struct Interrupted {
    bytes: Vec<u8>,
    calls: usize,
}

impl Interrupted {
    fn is_hit(&mut self) -> bool {
        self.calls += 1;
        self.calls % 2 == 1
    }
}

impl AsyncRead for Interrupted {
    fn poll_read(mut self: Pin<&mut Self>, _: &mut Context<'_>, to: &mut [u8]) -> Poll<io::Result<usize>> {
        if self.is_hit() {
            return Poll::Ready(Err(io::ErrorKind::Interrupted.into()));
        }
        to[0] = self.bytes.remove(0);
        Poll::Ready(Ok(1))
    }
}

impl AsyncWrite for Interrupted {
    fn poll_write(mut self: Pin<&mut Self>, _: &mut Context<'_>, from: &[u8]) -> Poll<io::Result<usize>> {
        if self.is_hit() {
            return Poll::Ready(Err(io::ErrorKind::Interrupted.into()));
        }
        self.bytes.push(from[0]);
        Poll::Ready(Ok(1))
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

#[test]
fn signals_and_short_calls_lose_nothing() {
    let mut stream = Interrupted::default();
    block_on(write_whole(&mut stream, b"short")).unwrap();
    let mut buffer = Buffer::new(STEP);
    while !stream.bytes.is_empty() {
        block_on(buffer.fill(&mut stream)).unwrap();
    }
    assert_eq!(buffer.data(), b"short");
}

#[test]
fn grows_to_its_cap_and_makes_room_in_place() {
    let input = vec![7u8; 3 * STEP];
    let mut from = input.as_slice();
    let mut b = Buffer::new(2 * STEP);
    let mut read = 0;
    while read < 2 * STEP {
        read += block_on(b.fill(&mut from)).unwrap();
    }
    assert!(block_on(b.fill(&mut from)).is_err(), "the cap holds");
    b.consume(STEP);
    assert_eq!(block_on(b.fill(&mut from)).unwrap(), STEP, "what was consumed is room again");
    assert_eq!((b.data().len(), b.bytes.len()), (2 * STEP, 2 * STEP));
}
