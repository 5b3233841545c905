//! Log records, as bytes: a frame is a mark, a length, a checksum and a payload.

use crate::interface::{ClassSettings, DedupScope, Effect, Micros, Verdict};

const MARK: [u8; 2] = [0xa7, 0x1e];
const HEAD: usize = 10;
/// Longer frames are taken for damage.
const LONGEST: usize = 1 << 20;

/// A request as it was taken on. Times are wall-clock, so that they hold over a restart.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AcceptedMessage {
    /// The number it has in the log.
    pub number: u64,
    /// Which front took it, as the caller numbers its fronts.
    pub frontend: u8,
    /// The id by which its client knows it.
    pub request_id: String,
    /// Name of its class.
    pub class: String,
    /// That class as it was then: its name may stand for another one later. None in logs of before this was kept.
    pub recorded_class: Option<RecordedClass>,
    /// Name of its tenant; empty if it has none.
    pub tenant: String,
    /// Number of its destination.
    pub destination: u64,
    /// Its idempotency key; empty if it has none.
    pub idempotency_key: String,
    /// What its front needs to end it.
    pub frontend_note: String,
    /// Its client is told of a delivery too.
    pub wants_receipt: bool,
    /// When its time is up.
    pub deadline: Micros,
    /// What is delivered.
    pub body: Vec<u8>,
}

/// The settings of a class at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordedClass {
    aim: Micros,
    give_up: Micros,
    effect: Effect,
    in_order: bool,
    /// Bits of the numbers, so that what is read is what was written.
    worth: u64,
    late_share: u64,
}

impl From<&ClassSettings> for RecordedClass {
    fn from(class: &ClassSettings) -> RecordedClass {
        let ClassSettings { target_latency: aim, give_up_after: give_up, effect, in_order, .. } = *class;
        let (worth, late_share) = (class.value.to_bits(), class.late_value_share.to_bits());
        RecordedClass { aim, give_up, effect, in_order, worth, late_share }
    }
}

impl From<RecordedClass> for ClassSettings {
    fn from(then: RecordedClass) -> ClassSettings {
        let RecordedClass { aim, give_up, effect, in_order, .. } = then;
        let (worth, late_share) = (f64::from_bits(then.worth), f64::from_bits(then.late_share));
        ClassSettings {
            target_latency: aim,
            give_up_after: give_up,
            effect,
            in_order,
            value: worth,
            late_value_share: late_share,
        }
    }
}

impl RecordedClass {
    fn write(&self, to: &mut Writer) {
        let (code, window) = match self.effect {
            Effect::Safe => (0, Micros(0)),
            Effect::Keyed { scope: DedupScope::Destination, window } => (1, window),
            Effect::Keyed { scope: DedupScope::Zone, window } => (2, window),
            Effect::Unsafe => (3, Micros(0)),
        };
        to.0.extend([code, u8::from(self.in_order)]);
        to.num(window.0).num(self.aim.0).num(self.give_up.0).num(self.worth).num(self.late_share);
    }

    fn read(from: &mut Reader<'_>) -> Option<RecordedClass> {
        let (code, in_order, window) = (from.byte()?, from.byte()? != 0, Micros(from.num()?));
        let effect = match code {
            0 => Effect::Safe,
            1 => Effect::Keyed { scope: DedupScope::Destination, window },
            2 => Effect::Keyed { scope: DedupScope::Zone, window },
            _ => Effect::Unsafe,
        };
        let (aim, give_up) = (Micros(from.num()?), Micros(from.num()?));
        Some(RecordedClass { aim, give_up, effect, in_order, worth: from.num()?, late_share: from.num()? })
    }
}

/// How an attempt ended, as far as a restart needs to know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// It never ran.
    NeverRan,
    /// It may have run.
    MayHaveRun,
    /// It never ran, and is none of the attempts that its request may have.
    HeldBack,
}

impl From<Verdict> for AttemptStatus {
    fn from(v: Verdict) -> AttemptStatus {
        match v {
            Verdict::HeldBack => AttemptStatus::HeldBack,
            v if v.may_have_run() => AttemptStatus::MayHaveRun,
            _ => AttemptStatus::NeverRan,
        }
    }
}

/// The end of a request that its client is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalStatus {
    /// Nothing is promised.
    Failed,
    /// Handing it in again is harmless, best after the wait.
    Returned(Option<Micros>),
    /// Delivered, and its client wants to know.
    Delivered,
}

/// What the log keeps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A request was taken on.
    Accepted(AcceptedMessage),
    /// An attempt is about to be made.
    Attempt {
        /// The request.
        number: u64,
        /// Which attempt: two may be out at once.
        attempt: u32,
        /// Name of the endpoint.
        endpoint: String,
        /// Name of its zone.
        zone: String,
        /// Wall-clock time.
        at: Micros,
    },
    /// An attempt that was out has ended.
    Outcome {
        /// The request.
        number: u64,
        /// Which attempt.
        attempt: u32,
        /// How.
        status: AttemptStatus,
    },
    /// What an earlier log knew of a request's attempts.
    AttemptHistory {
        /// The request.
        number: u64,
        /// Attempts made.
        attempts: u32,
        /// When and in which zone the first went that may have run.
        first_possible_run: Option<(Micros, String)>,
    },
    /// The module gave it up; its client is still to be told.
    FinalStatus {
        /// The request.
        number: u64,
        /// How.
        status: FinalStatus,
    },
    /// Nothing more is owed.
    Closed(u64),
}

struct Writer(Vec<u8>);

impl Writer {
    fn num(&mut self, n: u64) -> &mut Self {
        self.0.extend(n.to_le_bytes());
        self
    }
    fn bytes(&mut self, b: &[u8]) -> &mut Self {
        self.0.extend((b.len() as u32).to_le_bytes());
        self.0.extend(b);
        self
    }
    fn text(&mut self, s: &str) -> &mut Self {
        self.bytes(s.as_bytes())
    }
}

struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn take(&mut self, n: usize) -> Option<&'a [u8]> {
        let (head, rest) = self.0.split_at_checked(n)?;
        self.0 = rest;
        Some(head)
    }
    fn byte(&mut self) -> Option<u8> {
        self.take(1).map(|b| b[0])
    }
    fn num(&mut self) -> Option<u64> {
        Some(u64::from_le_bytes(self.take(8)?.try_into().ok()?))
    }
    fn bytes(&mut self) -> Option<&'a [u8]> {
        let n = u32::from_le_bytes(self.take(4)?.try_into().ok()?);
        self.take(n as usize)
    }
    fn text(&mut self) -> Option<String> {
        String::from_utf8(self.bytes()?.to_vec()).ok()
    }
    /// Logs of before second copies name no attempt: one was out at a time, so one number does for all.
    fn attempt(&mut self) -> u32 {
        self.num().and_then(|n| u32::try_from(n).ok()).unwrap_or_default()
    }
}

impl Record {
    /// The request it is about.
    pub fn number(&self) -> u64 {
        match self {
            Record::Accepted(t) => t.number,
            Record::Attempt { number: n, .. } | Record::Outcome { number: n, .. } => *n,
            Record::AttemptHistory { number: n, .. }
            | Record::FinalStatus { number: n, .. }
            | Record::Closed(n) => *n,
        }
    }

    /// Appends its frame.
    pub fn write(&self, out: &mut Vec<u8>) {
        let mut w = Writer(Vec::with_capacity(64));
        match self {
            Record::Accepted(t) => {
                w.0.extend([b'T', t.frontend, u8::from(t.wants_receipt)]);
                w.num(t.number).num(t.destination).num(t.deadline.0);
                w.text(&t.request_id)
                    .text(&t.class)
                    .text(&t.tenant)
                    .text(&t.idempotency_key)
                    .text(&t.frontend_note)
                    .bytes(&t.body);
                // Behind all that older programs read.
                if let Some(class) = &t.recorded_class {
                    class.write(&mut w);
                }
            }
            Record::Attempt { number: n, attempt, endpoint, zone, at } => {
                w.0.push(b'A');
                w.num(*n).num(at.0).text(endpoint).text(zone).num(u64::from(*attempt));
            }
            Record::Outcome { number: n, attempt, status: end } => {
                w.0.extend([b'O', *end as u8]);
                w.num(*n).num(u64::from(*attempt));
            }
            Record::AttemptHistory { number: n, attempts, first_possible_run: maybe_ran } => {
                w.0.extend([b'P', u8::from(maybe_ran.is_some())]);
                let (at, zone) = maybe_ran.clone().unwrap_or_default();
                w.num(*n).num(u64::from(*attempts)).num(at.0).text(&zone);
            }
            Record::FinalStatus { number: n, status: end } => {
                let (state, wait) = match end {
                    FinalStatus::Failed => (0, 0),
                    FinalStatus::Returned(None) => (1, 0),
                    FinalStatus::Returned(Some(w)) => (2, w.0),
                    FinalStatus::Delivered => (3, 0),
                };
                w.0.extend([b'G', state]);
                w.num(*n).num(wait);
            }
            Record::Closed(n) => {
                w.0.push(b'E');
                w.num(*n);
            }
        }
        let payload = w.0;
        out.extend(MARK);
        out.extend((payload.len() as u32).to_le_bytes());
        out.extend(crc32fast::hash(&payload).to_le_bytes());
        out.extend(payload);
    }

    fn parse(payload: &[u8]) -> Option<Record> {
        let mut r = Reader(payload);
        Some(match r.byte()? {
            b'T' => {
                let taken = AcceptedMessage {
                    frontend: r.byte()?,
                    wants_receipt: r.byte()? != 0,
                    number: r.num()?,
                    destination: r.num()?,
                    deadline: Micros(r.num()?),
                    request_id: r.text()?,
                    class: r.text()?,
                    recorded_class: None,
                    tenant: r.text()?,
                    idempotency_key: r.text()?,
                    frontend_note: r.text()?,
                    body: r.bytes()?.to_vec(),
                };
                Record::Accepted(AcceptedMessage { recorded_class: RecordedClass::read(&mut r), ..taken })
            }
            b'A' => {
                let (n, at) = (r.num()?, Micros(r.num()?));
                Record::Attempt { number: n, at, endpoint: r.text()?, zone: r.text()?, attempt: r.attempt() }
            }
            b'O' => {
                let end = match r.byte()? {
                    0 => AttemptStatus::NeverRan,
                    2 => AttemptStatus::HeldBack,
                    _ => AttemptStatus::MayHaveRun,
                };
                Record::Outcome { number: r.num()?, status: end, attempt: r.attempt() }
            }
            b'P' => {
                let ran = r.byte()? != 0;
                let (n, attempts, at) = (r.num()?, r.num()? as u32, Micros(r.num()?));
                let zone = r.text()?;
                Record::AttemptHistory { number: n, attempts, first_possible_run: ran.then_some((at, zone)) }
            }
            b'G' => {
                let (state, n, wait) = (r.byte()?, r.num()?, Micros(r.num()?));
                let end = match state {
                    0 => FinalStatus::Failed,
                    1 => FinalStatus::Returned(None),
                    3 => FinalStatus::Delivered,
                    _ => FinalStatus::Returned(Some(wait)),
                };
                Record::FinalStatus { number: n, status: end }
            }
            b'E' => Record::Closed(r.num()?),
            _ => return None,
        })
    }
}

/// What a log held.
#[derive(Debug, Default)]
pub struct LogScan {
    /// The records that are whole.
    pub records: Vec<Record>,
    /// Bytes that belong to none.
    pub damaged_bytes: usize,
}

fn frame(bytes: &[u8]) -> Option<(Record, usize)> {
    let mut r = Reader(bytes);
    if r.take(2)? != MARK {
        return None;
    }
    let n = u32::from_le_bytes(r.take(4)?.try_into().ok()?) as usize;
    let sum = u32::from_le_bytes(r.take(4)?.try_into().ok()?);
    let payload = r.take(n).filter(|_| n <= LONGEST)?;
    if crc32fast::hash(payload) != sum {
        return None;
    }
    Some((Record::parse(payload)?, HEAD + n))
}

/// Reads a log. After damage it goes on at the next frame that is whole: a process killed in the middle of a
/// write leaves a torn tail, and a bad sector must not take what stands behind it along.
pub fn scan_log(bytes: &[u8]) -> LogScan {
    let (mut scan, mut at) = (LogScan::default(), 0);
    while at < bytes.len() {
        if let Some((record, n)) = frame(&bytes[at..]) {
            scan.records.push(record);
            at += n;
        } else {
            scan.damaged_bytes += 1;
            at += 1;
        }
    }
    scan
}
