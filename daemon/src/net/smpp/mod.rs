//! SMPP v3.4, on the same decisions and rules as the HTTP front. The PDUs are rusmpp's; framing, sessions and
//! what they mean are here.

pub mod gateway;
pub mod inbound;
pub mod receipts;
pub mod time;

use super::buffer::{Buffer, write_whole};
use bytes::BytesMut;
use futures_lite::{AsyncRead, AsyncWrite};
use onyxrock::interface::Micros;
use rusmpp::decode::DecodeWithLength;
use rusmpp::encode::{Encode, Length};
use rusmpp::types::COctetString;
use rusmpp::{Command, CommandStatus, Pdu};
use serde_json::{Value, json};
use std::io;

/// The number of this front in the log.
pub const FRONTEND_ID: u8 = 1;
/// A message_payload may hold 64 KiB; the rest of a PDU is small.
pub const PDU_MOST: usize = 66 * 1024;
const HEADER: usize = 16;
/// How long one write may take, and an answer to enquire_link or unbind.
const PROMPT: Micros = Micros(5_000_000);

/// What stands at the front of a buffer.
pub enum Read {
    Pdu(Box<Command>),
    /// A whole PDU that cannot be read: its sequence number.
    Unreadable(u32),
    /// The framing is lost.
    Lost,
}

/// Takes one PDU out of the buffer, if it is all there. A length that no PDU has means that nothing after it
/// can be told apart either.
pub fn take(buffer: &mut Buffer) -> Option<Read> {
    let data = buffer.data();
    let length = u32::from_be_bytes(data.get(..4)?.try_into().ok()?) as usize;
    if !(HEADER..=PDU_MOST).contains(&length) {
        return Some(Read::Lost);
    }
    let pdu = data.get(..length)?;
    let sequence = u32::from_be_bytes(pdu[12..16].try_into().ok()?);
    let mut bytes = BytesMut::from(&pdu[4..]);
    buffer.consume(length);
    Some(match Command::decode(&mut bytes, length - 4) {
        Ok((command, _)) => Read::Pdu(Box::new(command)),
        Err(_) => Read::Unreadable(sequence),
    })
}

pub fn command(status: CommandStatus, sequence: u32, pdu: impl Into<Pdu>) -> Vec<u8> {
    let command = Command::new(status, sequence, pdu);
    let length = 4 + command.length();
    let mut bytes = vec![0; length];
    bytes[..4].copy_from_slice(&(length as u32).to_be_bytes());
    command.encode(&mut bytes[4..]);
    bytes
}

pub async fn write(to: &mut (impl AsyncWrite + Unpin), bytes: &[u8]) -> io::Result<()> {
    write_whole(to, bytes).await
}

/// Reads until a PDU is there. None at the end of the stream.
pub async fn next(buffer: &mut Buffer, from: &mut (impl AsyncRead + Unpin)) -> Option<Read> {
    loop {
        if let Some(read) = take(buffer) {
            return Some(read);
        }
        if !buffer.fill(from).await.is_ok_and(|n| n > 0) {
            return None;
        }
    }
}

/// Text as a field of an SMPP message; what does not fit is cut off.
pub fn field<const MIN: usize, const MAX: usize>(text: &str) -> COctetString<MIN, MAX> {
    let plain = text.bytes().filter(|b| b.is_ascii() && *b != 0).take(MAX - 1).chain([0]);
    COctetString::from_vec(plain.collect()).unwrap_or_else(|_| COctetString::null())
}

pub fn text(field: &impl AsRef<[u8]>) -> &str {
    std::str::from_utf8(field.as_ref()).unwrap_or("").trim_end_matches('\0')
}

/// What the log keeps of a message's addresses, for its receipt and for a gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Note {
    /// Who submitted it.
    pub system_id: String,
    pub source: String,
    pub destination: String,
    pub coding: u8,
    pub esm: u8,
}

impl Note {
    pub fn write(&self) -> String {
        json!([self.system_id, self.source, self.destination, self.coding, self.esm]).to_string()
    }
    pub fn read(note: &str) -> Note {
        let v: Value = serde_json::from_str(note).unwrap_or_default();
        let text = |i: usize| v[i].as_str().unwrap_or("").to_owned();
        let byte = |i: usize| v[i].as_u64().unwrap_or(0) as u8;
        Note { system_id: text(0), source: text(1), destination: text(2), coding: byte(3), esm: byte(4) }
    }
}
