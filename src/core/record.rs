//! Log records and their encoding. A frame in the log is a marker, a length, a checksum and a payload.

use crate::interface::{ClassSettings, DedupScope, Effect, Micros, Verdict};
use std::sync::Arc;

const FRAME_MARKER: [u8; 2] = [0xa7, 0x1e];
/// Length of marker, payload length and checksum.
const FRAME_HEADER_BYTES: usize = 10;
/// A frame with a longer payload counts as damaged.
const MAX_PAYLOAD_BYTES: usize = 1 << 20;

/// A message as it was accepted. Times are wall-clock times, so that they stay valid after a restart.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AcceptedMessage {
    /// Its number in the log.
    pub number: u64,
    /// The frontend that accepted it, by the numbering of the caller.
    pub frontend: u8,
    /// The id by which its client knows it.
    pub request_id: String,
    /// Name of its class.
    pub class: String,
    /// The settings of that class at acceptance: the name may stand for other settings later. None in logs of
    /// older versions, which did not record them.
    pub recorded_class: Option<RecordedClass>,
    /// Name of its tenant; empty if it has none.
    pub tenant: String,
    /// Number of its destination.
    pub destination: u64,
    /// Its idempotency key; empty if it has none.
    pub idempotency_key: String,
    /// Data that the frontend needs to report the end of the message to its client.
    pub frontend_note: String,
    /// Whether its client wants a receipt for a delivery too.
    pub wants_receipt: bool,
    /// Its deadline.
    pub deadline: Micros,
    /// The content to deliver, which its calls share.
    pub body: Arc<[u8]>,
}

/// The settings of a class at the time when a message was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordedClass {
    target_latency: Micros,
    give_up_after: Micros,
    effect: Effect,
    in_order: bool,
    /// Bits of the floating-point number, so that reading gives exactly what was written.
    value_bits: u64,
    /// Bits of the floating-point number, for the same reason.
    late_value_share_bits: u64,
}

impl From<&ClassSettings> for RecordedClass {
    fn from(class: &ClassSettings) -> RecordedClass {
        let ClassSettings { target_latency, give_up_after, effect, in_order, .. } = *class;
        let (value_bits, late_value_share_bits) = (class.value.to_bits(), class.late_value_share.to_bits());
        RecordedClass { target_latency, give_up_after, effect, in_order, value_bits, late_value_share_bits }
    }
}

impl From<RecordedClass> for ClassSettings {
    fn from(recorded: RecordedClass) -> ClassSettings {
        let RecordedClass { target_latency, give_up_after, effect, in_order, .. } = recorded;
        let (value, late_value_share) =
            (f64::from_bits(recorded.value_bits), f64::from_bits(recorded.late_value_share_bits));
        ClassSettings { target_latency, give_up_after, effect, in_order, value, late_value_share }
    }
}

impl AcceptedMessage {
    /// Length of the frame of its record.
    pub(super) fn frame_bytes(&self) -> usize {
        let texts = [&self.request_id, &self.class, &self.tenant, &self.idempotency_key, &self.frontend_note];
        let text_bytes: usize = texts.iter().map(|text| size_of::<u32>() + text.len()).sum();
        let class_bytes = if self.recorded_class.is_some() { RecordedClass::BYTES } else { 0 };
        let fixed_bytes = 3 + 3 * size_of::<u64>();
        FRAME_HEADER_BYTES + fixed_bytes + text_bytes + size_of::<u32>() + self.body.len() + class_bytes
    }
}

impl RecordedClass {
    /// Length of its encoding.
    const BYTES: usize = 2 + 5 * size_of::<u64>();

    fn write(&self, writer: &mut Writer) {
        let (code, window) = match self.effect {
            Effect::Safe => (0, Micros(0)),
            Effect::Keyed { scope: DedupScope::Destination, window } => (1, window),
            Effect::Keyed { scope: DedupScope::Zone, window } => (2, window),
            Effect::Unsafe => (3, Micros(0)),
        };
        writer.0.extend([code, u8::from(self.in_order)]);
        writer
            .num(window.0)
            .num(self.target_latency.0)
            .num(self.give_up_after.0)
            .num(self.value_bits)
            .num(self.late_value_share_bits);
    }

    fn read(reader: &mut Reader<'_>) -> Option<RecordedClass> {
        let (code, in_order, window) = (reader.byte()?, reader.byte()? != 0, Micros(reader.num()?));
        let effect = match code {
            0 => Effect::Safe,
            1 => Effect::Keyed { scope: DedupScope::Destination, window },
            2 => Effect::Keyed { scope: DedupScope::Zone, window },
            _ => Effect::Unsafe,
        };
        let (target_latency, give_up_after) = (Micros(reader.num()?), Micros(reader.num()?));
        Some(RecordedClass {
            target_latency,
            give_up_after,
            effect,
            in_order,
            value_bits: reader.num()?,
            late_value_share_bits: reader.num()?,
        })
    }
}

/// How an attempt ended, as far as recovery after a restart needs to know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// The message never ran.
    NeverRan,
    /// The message may have run.
    MayHaveRun,
    /// The message never ran, and the attempt does not count towards its maximum number of attempts.
    HeldBack,
}

impl From<Verdict> for AttemptStatus {
    fn from(verdict: Verdict) -> AttemptStatus {
        match verdict {
            Verdict::HeldBack => AttemptStatus::HeldBack,
            verdict if verdict.may_have_run() => AttemptStatus::MayHaveRun,
            _ => AttemptStatus::NeverRan,
        }
    }
}

/// How a message ended, as reported to its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalStatus {
    /// Failed: the message may or may not have run.
    Failed,
    /// Not delivered: the client may safely submit the message again, best after this span.
    Returned(Option<Micros>),
    /// Delivered; reported to clients that want a receipt.
    Delivered,
}

/// One record of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A message was accepted.
    Accepted(AcceptedMessage),
    /// An attempt is about to be made.
    Attempt {
        /// Number of the message.
        number: u64,
        /// Index of the attempt: two attempts may be in flight at once.
        attempt: u32,
        /// Name of the endpoint.
        endpoint: String,
        /// Name of the endpoint's zone.
        zone: String,
        /// Wall-clock time of the send.
        at: Micros,
    },
    /// An attempt in flight has ended.
    Outcome {
        /// Number of the message.
        number: u64,
        /// Index of the attempt.
        attempt: u32,
        /// How the attempt ended.
        status: AttemptStatus,
    },
    /// The attempts for a message that an earlier log had recorded.
    AttemptHistory {
        /// Number of the message.
        number: u64,
        /// Number of attempts made.
        attempts: u32,
        /// Send time and zone of the first attempt that may have run.
        first_possible_run: Option<(Micros, String)>,
    },
    /// The final status of a message is decided; it still has to be reported to the client.
    FinalStatus {
        /// Number of the message.
        number: u64,
        /// The final status.
        status: FinalStatus,
    },
    /// Nothing more has to be done for the message with this number.
    Closed(u64),
}

struct Writer(Vec<u8>);

impl Writer {
    fn num(&mut self, value: u64) -> &mut Self {
        self.0.extend(value.to_le_bytes());
        self
    }
    fn bytes(&mut self, bytes: &[u8]) -> &mut Self {
        self.0.extend((bytes.len() as u32).to_le_bytes());
        self.0.extend(bytes);
        self
    }
    fn text(&mut self, text: &str) -> &mut Self {
        self.bytes(text.as_bytes())
    }
}

struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn take(&mut self, len: usize) -> Option<&'a [u8]> {
        let (taken, remaining) = self.0.split_at_checked(len)?;
        self.0 = remaining;
        Some(taken)
    }
    fn byte(&mut self) -> Option<u8> {
        self.take(1).map(|b| b[0])
    }
    fn num(&mut self) -> Option<u64> {
        Some(u64::from_le_bytes(self.take(8)?.try_into().ok()?))
    }
    fn bytes(&mut self) -> Option<&'a [u8]> {
        let len = u32::from_le_bytes(self.take(4)?.try_into().ok()?);
        self.take(len as usize)
    }
    fn text(&mut self) -> Option<String> {
        String::from_utf8(self.bytes()?.to_vec()).ok()
    }
    /// Reads the index of an attempt. It is missing in logs of versions without second copies: they had only
    /// one attempt in flight at a time, so one index serves for all.
    fn attempt(&mut self) -> u32 {
        self.num().and_then(|index| u32::try_from(index).ok()).unwrap_or_default()
    }
}

impl Record {
    /// Number of the message that the record is about.
    pub fn number(&self) -> u64 {
        match self {
            Record::Accepted(message) => message.number,
            Record::Attempt { number, .. } | Record::Outcome { number, .. } => *number,
            Record::AttemptHistory { number, .. }
            | Record::FinalStatus { number, .. }
            | Record::Closed(number) => *number,
        }
    }

    /// Length of the frame of this record.
    pub fn frame_bytes(&self) -> usize {
        let text_bytes = |text: &str| size_of::<u32>() + text.len();
        let number_bytes = size_of::<u64>();
        FRAME_HEADER_BYTES
            + match self {
                Record::Accepted(message) => return message.frame_bytes(),
                Record::Attempt { endpoint, zone, .. } => {
                    1 + 3 * number_bytes + text_bytes(endpoint) + text_bytes(zone)
                }
                Record::Outcome { .. } => 2 + 2 * number_bytes,
                Record::AttemptHistory { first_possible_run, .. } => {
                    let zone = first_possible_run.as_ref().map_or("", |(_, zone)| zone);
                    2 + 3 * number_bytes + text_bytes(zone)
                }
                Record::FinalStatus { .. } => 2 + 2 * number_bytes,
                Record::Closed(_) => 1 + number_bytes,
            }
    }

    /// Appends the frame of this record.
    pub fn write(&self, out: &mut Vec<u8>) {
        let mut writer = Writer(Vec::with_capacity(64));
        match self {
            Record::Accepted(message) => {
                writer.0.extend([b'T', message.frontend, u8::from(message.wants_receipt)]);
                writer.num(message.number).num(message.destination).num(message.deadline.0);
                writer
                    .text(&message.request_id)
                    .text(&message.class)
                    .text(&message.tenant)
                    .text(&message.idempotency_key)
                    .text(&message.frontend_note)
                    .bytes(&message.body);
                // The class settings follow all fields that older versions read, so that these can still read
                // the record.
                if let Some(class) = &message.recorded_class {
                    class.write(&mut writer);
                }
            }
            Record::Attempt { number, attempt, endpoint, zone, at } => {
                writer.0.push(b'A');
                writer.num(*number).num(at.0).text(endpoint).text(zone).num(u64::from(*attempt));
            }
            Record::Outcome { number, attempt, status } => {
                writer.0.extend([b'O', *status as u8]);
                writer.num(*number).num(u64::from(*attempt));
            }
            Record::AttemptHistory { number, attempts, first_possible_run } => {
                writer.0.extend([b'P', u8::from(first_possible_run.is_some())]);
                let (at, zone) = first_possible_run.clone().unwrap_or_default();
                writer.num(*number).num(u64::from(*attempts)).num(at.0).text(&zone);
            }
            Record::FinalStatus { number, status } => {
                let (code, retry_after_us) = match status {
                    FinalStatus::Failed => (0, 0),
                    FinalStatus::Returned(None) => (1, 0),
                    FinalStatus::Returned(Some(retry_after)) => (2, retry_after.0),
                    FinalStatus::Delivered => (3, 0),
                };
                writer.0.extend([b'G', code]);
                writer.num(*number).num(retry_after_us);
            }
            Record::Closed(number) => {
                writer.0.push(b'E');
                writer.num(*number);
            }
        }
        let payload = writer.0;
        out.extend(FRAME_MARKER);
        out.extend((payload.len() as u32).to_le_bytes());
        out.extend(crc32fast::hash(&payload).to_le_bytes());
        out.extend(payload);
    }

    fn parse(payload: &[u8]) -> Option<Record> {
        let mut reader = Reader(payload);
        Some(match reader.byte()? {
            b'T' => {
                let accepted = AcceptedMessage {
                    frontend: reader.byte()?,
                    wants_receipt: reader.byte()? != 0,
                    number: reader.num()?,
                    destination: reader.num()?,
                    deadline: Micros(reader.num()?),
                    request_id: reader.text()?,
                    class: reader.text()?,
                    recorded_class: None,
                    tenant: reader.text()?,
                    idempotency_key: reader.text()?,
                    frontend_note: reader.text()?,
                    body: reader.bytes()?.into(),
                };
                Record::Accepted(AcceptedMessage {
                    recorded_class: RecordedClass::read(&mut reader),
                    ..accepted
                })
            }
            b'A' => {
                let (number, at) = (reader.num()?, Micros(reader.num()?));
                Record::Attempt {
                    number,
                    at,
                    endpoint: reader.text()?,
                    zone: reader.text()?,
                    attempt: reader.attempt(),
                }
            }
            b'O' => {
                let status = match reader.byte()? {
                    0 => AttemptStatus::NeverRan,
                    2 => AttemptStatus::HeldBack,
                    _ => AttemptStatus::MayHaveRun,
                };
                Record::Outcome { number: reader.num()?, status, attempt: reader.attempt() }
            }
            b'P' => {
                let may_have_run = reader.byte()? != 0;
                let (number, attempts, at) = (reader.num()?, reader.num()? as u32, Micros(reader.num()?));
                let zone = reader.text()?;
                Record::AttemptHistory {
                    number,
                    attempts,
                    first_possible_run: may_have_run.then_some((at, zone)),
                }
            }
            b'G' => {
                let (code, number, retry_after) = (reader.byte()?, reader.num()?, Micros(reader.num()?));
                let status = match code {
                    0 => FinalStatus::Failed,
                    1 => FinalStatus::Returned(None),
                    3 => FinalStatus::Delivered,
                    _ => FinalStatus::Returned(Some(retry_after)),
                };
                Record::FinalStatus { number, status }
            }
            b'E' => Record::Closed(reader.num()?),
            _ => return None,
        })
    }
}

/// The content of a log.
#[derive(Debug, Default)]
pub struct LogScan {
    /// The intact records.
    pub records: Vec<Record>,
    /// Number of bytes that belong to no intact record.
    pub damaged_bytes: usize,
}

/// Why there is no record at the start of a part of a log.
pub(super) enum FrameError {
    /// The rest of the frame is missing.
    Incomplete,
    /// These bytes are no frame.
    Damaged,
}

/// Reads the frame at the start of these bytes. Returns its record and its length.
pub(super) fn read_frame(bytes: &[u8]) -> Result<(Record, usize), FrameError> {
    let marker_bytes = bytes.len().min(FRAME_MARKER.len());
    if bytes[..marker_bytes] != FRAME_MARKER[..marker_bytes] {
        return Err(FrameError::Damaged);
    }
    let (header, rest) = bytes.split_at_checked(FRAME_HEADER_BYTES).ok_or(FrameError::Incomplete)?;
    let (length, checksum) = header[FRAME_MARKER.len()..].split_at(size_of::<u32>());
    let number = |bytes: &[u8]| bytes.try_into().map_or(0, u32::from_le_bytes);
    let payload_bytes = number(length) as usize;
    if payload_bytes > MAX_PAYLOAD_BYTES {
        return Err(FrameError::Damaged);
    }
    let payload = rest.get(..payload_bytes).ok_or(FrameError::Incomplete)?;
    if crc32fast::hash(payload) != number(checksum) {
        return Err(FrameError::Damaged);
    }
    let record = Record::parse(payload).ok_or(FrameError::Damaged)?;
    Ok((record, FRAME_HEADER_BYTES + payload_bytes))
}
