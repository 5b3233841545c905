//! The read buffer of a connection: it grows on demand, is compacted in place, and has a size limit.

use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use std::io;

/// Growth of an empty buffer; later growth doubles the size.
const INITIAL_BYTES: usize = 4096;

/// Writes all bytes, also when signals interrupt a write.
pub async fn write_fully(writer: &mut (impl AsyncWrite + Unpin), mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match writer.write(bytes).await {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(count) => bytes = &bytes[count..],
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// A buffer that grows up to `max_bytes`.
#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    max_bytes: usize,
}

impl Buffer {
    /// An empty buffer without memory.
    pub fn new(max_bytes: usize) -> Buffer {
        Buffer { bytes: Vec::new(), start: 0, end: 0, max_bytes }
    }
    /// The bytes that have been read and not consumed.
    pub fn data(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }
    /// Whether all bytes have been consumed.
    pub fn is_empty(&self) -> bool {
        self.start == self.end
    }
    /// Drops `count` bytes from the front.
    pub fn consume(&mut self, count: usize) {
        self.start = (self.start + count).min(self.end);
        if self.is_empty() {
            (self.start, self.end) = (0, 0);
            // A rare large message should not keep its memory for the life of an idle connection.
            if self.bytes.len() > 4 * INITIAL_BYTES {
                self.bytes = Vec::new();
            }
        }
    }
    /// Frees the memory of an empty buffer; called when no input is expected for a while.
    pub fn release(&mut self) {
        if self.is_empty() {
            (self.bytes, self.start, self.end) = (Vec::new(), 0, 0);
        }
    }
    /// Reads once. Returns the number of bytes read, 0 at the end of the stream; an error when the buffer
    /// is full.
    pub async fn fill(&mut self, reader: &mut (impl AsyncRead + Unpin)) -> io::Result<usize> {
        if self.end == self.bytes.len() {
            if self.start > 0 {
                self.bytes.copy_within(self.start..self.end, 0);
                (self.start, self.end) = (0, self.end - self.start);
            } else if self.bytes.len() >= self.max_bytes {
                return Err(io::Error::new(io::ErrorKind::OutOfMemory, "the read buffer is full"));
            } else {
                let growth = self.bytes.len().max(INITIAL_BYTES).min(self.max_bytes - self.bytes.len());
                self.bytes.resize(self.bytes.len() + growth, 0);
            }
        }
        let count = loop {
            match reader.read(&mut self.bytes[self.end..]).await {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                result => break result?,
            }
        };
        self.end += count;
        Ok(count)
    }
}

#[cfg(test)]
mod tests;
