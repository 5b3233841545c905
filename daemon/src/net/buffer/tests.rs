//! The read buffer of a connection, and `write_fully`.

use super::*;
use futures_lite::future::block_on;
use std::pin::Pin;
use std::task::{Context, Poll};

/// A stream of which every other call is interrupted, and that reads or writes at most one byte a call.
#[derive(Default)]
struct Interrupted {
    bytes: Vec<u8>,
    calls: usize,
}

impl Interrupted {
    fn interrupts(&mut self) -> bool {
        self.calls += 1;
        self.calls % 2 == 1
    }
}

impl AsyncRead for Interrupted {
    fn poll_read(
        mut self: Pin<&mut Self>, _: &mut Context<'_>, target: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.interrupts() {
            return Poll::Ready(Err(io::ErrorKind::Interrupted.into()));
        }
        target[0] = self.bytes.remove(0);
        Poll::Ready(Ok(1))
    }
}

impl AsyncWrite for Interrupted {
    fn poll_write(mut self: Pin<&mut Self>, _: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if self.interrupts() {
            return Poll::Ready(Err(io::ErrorKind::Interrupted.into()));
        }
        self.bytes.push(bytes[0]);
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
fn interrupted_and_short_calls_lose_no_bytes() {
    let mut stream = Interrupted::default();
    block_on(write_fully(&mut stream, b"short")).unwrap();
    let mut buffer = Buffer::new(INITIAL_BYTES);
    while !stream.bytes.is_empty() {
        block_on(buffer.fill(&mut stream)).unwrap();
    }
    assert_eq!(buffer.data(), b"short");
}

#[test]
fn grows_to_its_limit_and_reuses_consumed_space() {
    let input = vec![7u8; 3 * INITIAL_BYTES];
    let mut reader = input.as_slice();
    let mut buffer = Buffer::new(2 * INITIAL_BYTES);
    let mut read = 0;
    while read < 2 * INITIAL_BYTES {
        read += block_on(buffer.fill(&mut reader)).unwrap();
    }
    assert!(block_on(buffer.fill(&mut reader)).is_err(), "a full buffer does not grow over its limit");
    buffer.consume(INITIAL_BYTES);
    assert_eq!(block_on(buffer.fill(&mut reader)).unwrap(), INITIAL_BYTES, "consumed space is used again");
    assert_eq!((buffer.data().len(), buffer.bytes.len()), (2 * INITIAL_BYTES, 2 * INITIAL_BYTES));
}
