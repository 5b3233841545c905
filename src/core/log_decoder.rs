//! Decodes a log piece by piece, so that reading it needs memory for one piece at a time.

use super::record::{FrameError, LogScan, Record, read_frame};

/// Decodes the bytes of a log in the order in which they come. After damage it continues at the next intact frame: a
/// process that is killed during a write leaves a torn tail, and a bad sector must not make the records behind it
/// unreadable.
#[derive(Debug, Default)]
pub struct LogDecoder {
    /// Bytes that end within a frame.
    undecoded: Vec<u8>,
    damaged_bytes: usize,
}

impl LogDecoder {
    /// Decodes all records that are complete with these bytes.
    pub fn push(&mut self, bytes: &[u8], on_record: impl FnMut(Record)) {
        self.undecoded.extend_from_slice(bytes);
        self.decode(false, on_record);
    }

    /// Decodes what is left at the end of the log. Returns the number of bytes that belong to no intact record.
    pub fn finish(mut self, on_record: impl FnMut(Record)) -> usize {
        self.decode(true, on_record);
        self.damaged_bytes
    }

    fn decode(&mut self, at_end: bool, mut on_record: impl FnMut(Record)) {
        let mut offset = 0;
        while offset < self.undecoded.len() {
            match read_frame(&self.undecoded[offset..]) {
                Ok((record, frame_bytes)) => {
                    on_record(record);
                    offset += frame_bytes;
                }
                Err(FrameError::Incomplete) if !at_end => break,
                Err(FrameError::Incomplete | FrameError::Damaged) => {
                    self.damaged_bytes += 1;
                    offset += 1;
                }
            }
        }
        self.undecoded.drain(..offset);
    }
}

/// Decodes a whole log.
pub fn scan_log(bytes: &[u8]) -> LogScan {
    let mut decoder = LogDecoder::default();
    let mut records = Vec::new();
    decoder.push(bytes, |record| records.push(record));
    let damaged_bytes = decoder.finish(|record| records.push(record));
    LogScan { records, damaged_bytes }
}
