//! One buffer a connection: grows as it needs, is compacted in place, and has a cap.

use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use std::io;

const STEP: usize = 4096;

/// Writes all of it, whatever signals come between.
pub async fn write_whole(to: &mut (impl AsyncWrite + Unpin), mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match to.write(bytes).await {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(n) => bytes = &bytes[n..],
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    cap: usize,
}

impl Buffer {
    pub fn new(cap: usize) -> Buffer {
        Buffer { bytes: Vec::new(), start: 0, end: 0, cap }
    }
    pub fn data(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }
    pub fn is_empty(&self) -> bool {
        self.start == self.end
    }
    pub fn consume(&mut self, n: usize) {
        self.start = (self.start + n).min(self.end);
        if self.is_empty() {
            (self.start, self.end) = (0, 0);
            // A rare large message should not hold its room for the life of a quiet connection.
            if self.bytes.len() > 4 * STEP {
                self.bytes = Vec::new();
            }
        }
    }
    /// Nothing is expected for a while: an empty buffer needs no room.
    pub fn release(&mut self) {
        if self.is_empty() {
            (self.bytes, self.start, self.end) = (Vec::new(), 0, 0);
        }
    }
    /// Reads once. The bytes read, 0 at the end of the stream; an error when the cap is reached.
    pub async fn fill(&mut self, from: &mut (impl AsyncRead + Unpin)) -> io::Result<usize> {
        if self.end == self.bytes.len() {
            if self.start > 0 {
                self.bytes.copy_within(self.start..self.end, 0);
                (self.start, self.end) = (0, self.end - self.start);
            } else if self.bytes.len() >= self.cap {
                return Err(io::Error::new(io::ErrorKind::OutOfMemory, "message over the cap"));
            } else {
                let more = self.bytes.len().max(STEP).min(self.cap - self.bytes.len());
                self.bytes.resize(self.bytes.len() + more, 0);
            }
        }
        let n = loop {
            match from.read(&mut self.bytes[self.end..]).await {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                read => break read?,
            }
        };
        self.end += n;
        Ok(n)
    }
}

#[cfg(test)]
mod tests {
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
        fn poll_read(
            mut self: Pin<&mut Self>, _: &mut Context<'_>, to: &mut [u8],
        ) -> Poll<io::Result<usize>> {
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
}
