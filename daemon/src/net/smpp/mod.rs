//! SMPP v3.4, on the same decisions of the core as the HTTP frontend. The crate rusmpp encodes and decodes
//! PDUs; framing, sessions and the meaning of PDUs are implemented here.

pub mod gateway;
pub mod inbound;
pub mod receipts;
pub mod request;
#[cfg(test)]
pub mod tests;
pub mod time;

use super::buffer::{Buffer, write_fully};
use bytes::BytesMut;
use futures_lite::{AsyncRead, AsyncWrite, future};
use onyxrock::interface::Micros;
use rusmpp::decode::DecodeWithLength;
use rusmpp::encode::{Encode, Length};
use rusmpp::types::COctetString;
use rusmpp::{Command, CommandStatus, Pdu};
use serde_json::{Value, json};
use std::io;

/// Identifies the SMPP frontend in stored records.
pub const FRONTEND_ID: u8 = 1;
/// Largest PDU: a message_payload of 64 KiB, and a small rest.
pub const MAX_PDU_BYTES: usize = 66 * 1024;
/// Length of a PDU's header.
const HEADER_BYTES: usize = 16;
/// Time limit for one write, and for the response to enquire_link or unbind.
const IO_TIMEOUT: Micros = Micros(5_000_000);

/// What the start of a buffer contains.
pub enum ReadResult {
    /// A complete PDU.
    Pdu(Box<Command>),
    /// A complete PDU that cannot be decoded; its sequence number.
    Undecodable(u32),
    /// The length field is invalid, so that the next PDU cannot be found either.
    FramingLost,
}

/// Takes one PDU of at most `max_bytes` out of the buffer, if it is complete.
pub fn take_pdu(buffer: &mut Buffer, max_bytes: usize) -> Option<ReadResult> {
    let data = buffer.data();
    let length = u32::from_be_bytes(data.get(..4)?.try_into().ok()?) as usize;
    if !(HEADER_BYTES..=max_bytes).contains(&length) {
        return Some(ReadResult::FramingLost);
    }
    if data.len() < length {
        buffer.expect(length);
        return None;
    }
    let pdu = buffer.take(length);
    let sequence = u32::from_be_bytes(pdu[12..16].try_into().ok()?);
    let mut bytes = BytesMut::from(&pdu[4..]);
    Some(match Command::decode(&mut bytes, length - 4) {
        Ok((decoded, _)) => ReadResult::Pdu(Box::new(decoded)),
        Err(_) => ReadResult::Undecodable(sequence),
    })
}

/// Encodes a PDU.
pub fn encode_pdu(status: CommandStatus, sequence: u32, pdu: impl Into<Pdu>) -> Vec<u8> {
    let pdu = Command::new(status, sequence, pdu);
    let length = 4 + pdu.length();
    let mut bytes = vec![0; length];
    bytes[..4].copy_from_slice(&(length as u32).to_be_bytes());
    pdu.encode(&mut bytes[4..]);
    bytes
}

/// Writes an encoded PDU.
pub async fn write_pdu(writer: &mut (impl AsyncWrite + Unpin), bytes: &[u8]) -> io::Result<()> {
    write_fully(writer, bytes).await
}

/// Reads until a PDU is complete. `None` at the end of the stream.
pub async fn read_pdu(buffer: &mut Buffer, reader: &mut (impl AsyncRead + Unpin)) -> Option<ReadResult> {
    loop {
        if let Some(result) = take_pdu(buffer, MAX_PDU_BYTES) {
            return Some(result);
        }
        if !buffer.fill(reader).await.is_ok_and(|n| n > 0) {
            return None;
        }
    }
}

/// The result of whichever future is ready; if both are, of `input` where `input_first` is set.
async fn first_ready<T>(
    input_first: bool, input: impl Future<Output = T>, other: impl Future<Output = T>,
) -> T {
    if input_first { future::or(input, other).await } else { future::or(other, input).await }
}

/// Text as a C-octet string field; what does not fit is cut off.
pub fn c_octet_string<const MIN: usize, const MAX: usize>(value: &str) -> COctetString<MIN, MAX> {
    let ascii = value.bytes().filter(|b| b.is_ascii() && *b != 0).take(MAX - 1).chain([0]);
    COctetString::from_vec(ascii.collect()).unwrap_or_else(|_| COctetString::null())
}

/// The text of a C-octet string field, empty if it is not UTF-8.
pub fn c_octet_text(octets: &impl AsRef<[u8]>) -> &str {
    std::str::from_utf8(octets.as_ref()).unwrap_or("").trim_end_matches('\0')
}

/// Addresses and encoding of a message, stored with it for its receipt and for a gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MessageNote {
    /// The client that submitted the message.
    pub system_id: String,
    pub source: String,
    pub destination: String,
    /// Encoding of the body.
    pub data_coding: u8,
    /// Message mode and type.
    pub esm_class: u8,
}

impl MessageNote {
    /// The note as JSON, as it is stored with the message.
    pub fn encode(&self) -> String {
        json!([self.system_id, self.source, self.destination, self.data_coding, self.esm_class]).to_string()
    }
    /// Parses a stored note; fields that are missing or invalid are empty.
    pub fn decode(note: &str) -> MessageNote {
        let values: Value = serde_json::from_str(note).unwrap_or_default();
        let string = |i: usize| values[i].as_str().unwrap_or("").to_owned();
        let byte = |i: usize| values[i].as_u64().unwrap_or(0) as u8;
        MessageNote {
            system_id: string(0),
            source: string(1),
            destination: string(2),
            data_coding: byte(3),
            esm_class: byte(4),
        }
    }
}
