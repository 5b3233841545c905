//! The read buffer of a connection: it grows on demand, is compacted in place, and has a size limit.

use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use std::io;

/// Growth of an empty buffer; later growth doubles the size.
const INITIAL_BYTES: usize = super::input_budget::FREE_BYTES;

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
    /// Bytes that are known to come, with those that are here.
    expected: usize,
}

impl Buffer {
    /// An empty buffer without memory.
    pub fn new(max_bytes: usize) -> Buffer {
        Buffer { bytes: Vec::new(), start: 0, end: 0, max_bytes, expected: 0 }
    }
    /// The bytes that have been read and not consumed.
    pub fn data(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }
    /// Whether all bytes have been consumed.
    pub fn is_empty(&self) -> bool {
        self.start == self.end
    }
    /// Bytes of memory in use.
    pub fn capacity(&self) -> usize {
        self.bytes.len()
    }
    /// This many bytes are known to come from the front of the buffer on, so that it grows to them at once.
    pub fn expect(&mut self, total: usize) {
        self.expected = total;
    }
    /// Bytes of memory that the next [`Buffer::fill`] will use.
    pub fn capacity_for_fill(&self) -> usize {
        let size = self.bytes.len();
        if self.end < size || self.start > 0 {
            return size;
        }
        let doubled = size + size.max(INITIAL_BYTES);
        let wanted = if self.expected > size { self.expected } else { doubled };
        wanted.min(self.max_bytes)
    }
    /// Takes `count` bytes from the front out of the buffer. Where they are many, they and the rest need no more memory
    /// than the buffer did.
    pub fn take(&mut self, count: usize) -> Vec<u8> {
        if count <= INITIAL_BYTES {
            let taken = self.data()[..count].to_vec();
            self.consume(count);
            return taken;
        }
        self.bytes.copy_within(self.start..self.end, 0);
        (self.start, self.end) = (0, self.end - self.start);
        let rest = self.bytes[count..self.end].to_vec();
        let mut taken = std::mem::replace(&mut self.bytes, rest);
        taken.truncate(count);
        taken.shrink_to_fit();
        (self.end, self.expected) = (self.bytes.len(), 0);
        taken
    }
    /// Drops `count` bytes from the front.
    pub fn consume(&mut self, count: usize) {
        self.expected = 0;
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
    /// Frees the memory and drops all bytes.
    pub fn discard(&mut self) {
        *self = Buffer::new(self.max_bytes);
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
                // The allocator has zeroed memory at hand, so that its bytes are not written one by one.
                let mut larger = vec![0; self.capacity_for_fill()];
                larger[..self.end].copy_from_slice(&self.bytes);
                self.bytes = larger;
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
