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
mod tests;
