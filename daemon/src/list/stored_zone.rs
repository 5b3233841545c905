//! The copy of the DNS zone in the state folder: each record in the wire form of RFC 1035, section 3.2.1, behind a
//! checksum. An update arrives in that form, so every record that is accepted can be stored and read again. The text
//! form of a zone file cannot hold each of them: its parser refuses some names and strings.
//!
//! Earlier versions stored a zone file; [`decode`] reads those as well.

use super::zone::Zone;
use hickory_proto::rr::{Name, Record};
use hickory_proto::serialize::binary::{BinDecodable, BinEncodable};

/// First bytes of the file, with the version of its form.
const HEADER: &[u8] = b"onyxrock zone 1\n";
/// Bytes of the checksum, and of the length before each record.
const WORD_BYTES: usize = 4;

/// How many bytes there are to store for a zone.
pub fn encoded_bytes(zone: &Zone) -> usize {
    HEADER.len() + WORD_BYTES + zone.stored_bytes()
}

/// The bytes to store for a zone.
pub fn encode(zone: &Zone) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(encoded_bytes(zone));
    bytes.extend(HEADER);
    bytes.extend([0; WORD_BYTES]);
    let body_at = bytes.len();
    zone.stored_parts().for_each(|part| bytes.extend(part));
    let checksum = crc32fast::hash(&bytes[body_at..]).to_be_bytes();
    bytes[HEADER.len()..body_at].copy_from_slice(&checksum);
    bytes
}

/// The stored form of a record, behind its length.
///
/// # Errors
/// The stored form would not be read as this record.
pub fn encode_record(record: &Record) -> Result<Vec<u8>, String> {
    let error = |reason: String| format!("{} {}: {reason}", record.name, record.record_type());
    let bytes = record.to_bytes().map_err(|e| error(e.to_string()))?;
    let read = Record::from_bytes(&bytes).map_err(|e| error(e.to_string()))?;
    if !is_same(record, &read) {
        return Err(error("the stored form stands for another record".into()));
    }
    let length = u32::try_from(bytes.len()).map_err(|e| error(e.to_string()))?;
    Ok([&length.to_be_bytes()[..], &bytes].concat())
}

/// Equality of records that covers the TTL, which `==` leaves out.
fn is_same(a: &Record, b: &Record) -> bool {
    a == b && a.ttl == b.ttl
}

/// Reads a stored zone. The texts are the lines that were left out of a zone file of an earlier version.
///
/// # Errors
/// The bytes are damaged, or are no zone of this origin.
pub fn decode(bytes: &[u8], origin: &str) -> Result<(Zone, Vec<String>), String> {
    let Some(rest) = bytes.strip_prefix(HEADER) else {
        return decode_zone_file(&String::from_utf8_lossy(bytes), origin);
    };
    let (checksum, mut body) = rest.split_at_checked(WORD_BYTES).ok_or("the checksum is missing")?;
    if crc32fast::hash(body).to_be_bytes() != checksum {
        return Err("the checksum does not match".into());
    }
    let mut records = Vec::new();
    while !body.is_empty() {
        let (length, rest) = body.split_first_chunk::<WORD_BYTES>().ok_or("a record is cut off")?;
        let length = u32::from_be_bytes(*length) as usize;
        let (record, rest) = rest.split_at_checked(length).ok_or("a record is cut off")?;
        records.push(Record::from_bytes(record).map_err(|e| e.to_string())?);
        body = rest;
    }
    Ok((Zone::from_records(records, origin)?, Vec::new()))
}

/// Reads the zone file of an earlier version, which has a record on each line. A record that the parser refuses is left
/// out, so that it does not undo the updates of all others.
fn decode_zone_file(text: &str, origin: &str) -> Result<(Zone, Vec<String>), String> {
    let Err(whole) = Zone::parse(text, origin) else {
        return Ok((Zone::parse(text, origin)?, Vec::new()));
    };
    let origin_name = Name::from_ascii(origin).map_err(|e| e.to_string())?;
    let (mut records, mut left_out) = (Vec::new(), Vec::new());
    for line in text.lines() {
        match Zone::parse_records(line, &origin_name) {
            Ok((_, of_line)) => records.extend(of_line),
            Err(e) => left_out.push(format!("{line}: {e}")),
        }
    }
    // Without its SOA record the zone says nothing about its age.
    let zone = Zone::from_records(records, origin).map_err(|_| whole)?;
    Ok((zone, left_out))
}

#[cfg(test)]
mod tests;
