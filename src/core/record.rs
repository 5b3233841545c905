//! Log records, as bytes: a frame is a mark, a length, a checksum and a payload.

use crate::interface::{ClassSettings, Effect, Group, Micros, Verdict};

const MARK: [u8; 2] = [0xa7, 0x1e];
const HEAD: usize = 10;
/// Longer frames are taken for damage.
const LONGEST: usize = 1 << 20;

/// A request as it was taken on. Times are wall-clock, so that they hold over a restart.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Taken {
    /// The number it has in the log.
    pub n: u64,
    /// Which front took it, as the caller numbers its fronts.
    pub front: u8,
    /// The id by which its client knows it.
    pub id: String,
    /// Name of its class.
    pub class: String,
    /// That class as it was then: its name may stand for another one later. None in logs of before this was kept.
    pub class_then: Option<ClassThen>,
    /// Name of its tenant; empty if it has none.
    pub tenant: String,
    /// Number of its destination.
    pub destination: u64,
    /// Its idempotency key; empty if it has none.
    pub key: String,
    /// What its front needs to end it.
    pub note: String,
    /// Its client is told of a delivery too.
    pub receipt: bool,
    /// When its time is up.
    pub deadline: Micros,
    /// What is delivered.
    pub body: Vec<u8>,
}

/// The settings of a class at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassThen {
    aim: Micros,
    give_up: Micros,
    effect: Effect,
    in_order: bool,
    /// Bits of the numbers, so that what is read is what was written.
    worth: u64,
    late_share: u64,
}

impl From<&ClassSettings> for ClassThen {
    fn from(class: &ClassSettings) -> ClassThen {
        let ClassSettings { aim, give_up, effect, in_order, .. } = *class;
        let (worth, late_share) = (class.worth.to_bits(), class.late_share.to_bits());
        ClassThen { aim, give_up, effect, in_order, worth, late_share }
    }
}

impl From<ClassThen> for ClassSettings {
    fn from(then: ClassThen) -> ClassSettings {
        let ClassThen { aim, give_up, effect, in_order, .. } = then;
        let (worth, late_share) = (f64::from_bits(then.worth), f64::from_bits(then.late_share));
        ClassSettings { aim, give_up, effect, in_order, worth, late_share }
    }
}

impl ClassThen {
    fn write(&self, to: &mut Writer) {
        let (code, window) = match self.effect {
            Effect::Safe => (0, Micros(0)),
            Effect::Keyed { group: Group::All, window } => (1, window),
            Effect::Keyed { group: Group::Zone, window } => (2, window),
            Effect::Unsafe => (3, Micros(0)),
        };
        to.0.extend([code, u8::from(self.in_order)]);
        to.num(window.0).num(self.aim.0).num(self.give_up.0).num(self.worth).num(self.late_share);
    }

    fn read(from: &mut Reader<'_>) -> Option<ClassThen> {
        let (code, in_order, window) = (from.byte()?, from.byte()? != 0, Micros(from.num()?));
        let effect = match code {
            0 => Effect::Safe,
            1 => Effect::Keyed { group: Group::All, window },
            2 => Effect::Keyed { group: Group::Zone, window },
            _ => Effect::Unsafe,
        };
        let (aim, give_up) = (Micros(from.num()?), Micros(from.num()?));
        Some(ClassThen { aim, give_up, effect, in_order, worth: from.num()?, late_share: from.num()? })
    }
}

/// How an attempt ended, as far as a restart needs to know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// It never ran.
    NeverRan,
    /// It may have run.
    MayHaveRun,
    /// It never ran, and is none of the attempts that its request may have.
    HeldBack,
}

impl From<Verdict> for CallEnd {
    fn from(v: Verdict) -> CallEnd {
        match v {
            Verdict::HeldBack => CallEnd::HeldBack,
            v if v.may_have_run() => CallEnd::MayHaveRun,
            _ => CallEnd::NeverRan,
        }
    }
}

/// The end of a request that its client is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
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
    Taken(Taken),
    /// An attempt is about to be made.
    Attempt {
        /// The request.
        n: u64,
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
        n: u64,
        /// Which attempt.
        attempt: u32,
        /// How.
        end: CallEnd,
    },
    /// What an earlier log knew of a request's attempts.
    Past {
        /// The request.
        n: u64,
        /// Attempts made.
        attempts: u32,
        /// When and in which zone the first went that may have run.
        maybe_ran: Option<(Micros, String)>,
    },
    /// The module gave it up; its client is still to be told.
    Given {
        /// The request.
        n: u64,
        /// How.
        end: End,
    },
    /// Nothing more is owed.
    Over(u64),
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
    pub fn n(&self) -> u64 {
        match self {
            Record::Taken(t) => t.n,
            Record::Attempt { n, .. } | Record::Outcome { n, .. } => *n,
            Record::Past { n, .. } | Record::Given { n, .. } | Record::Over(n) => *n,
        }
    }

    /// Appends its frame.
    pub fn write(&self, out: &mut Vec<u8>) {
        let mut w = Writer(Vec::with_capacity(64));
        match self {
            Record::Taken(t) => {
                w.0.extend([b'T', t.front, u8::from(t.receipt)]);
                w.num(t.n).num(t.destination).num(t.deadline.0);
                w.text(&t.id).text(&t.class).text(&t.tenant).text(&t.key).text(&t.note).bytes(&t.body);
                // Behind all that older programs read.
                if let Some(class) = &t.class_then {
                    class.write(&mut w);
                }
            }
            Record::Attempt { n, attempt, endpoint, zone, at } => {
                w.0.push(b'A');
                w.num(*n).num(at.0).text(endpoint).text(zone).num(u64::from(*attempt));
            }
            Record::Outcome { n, attempt, end } => {
                w.0.extend([b'O', *end as u8]);
                w.num(*n).num(u64::from(*attempt));
            }
            Record::Past { n, attempts, maybe_ran } => {
                w.0.extend([b'P', u8::from(maybe_ran.is_some())]);
                let (at, zone) = maybe_ran.clone().unwrap_or_default();
                w.num(*n).num(u64::from(*attempts)).num(at.0).text(&zone);
            }
            Record::Given { n, end } => {
                let (state, wait) = match end {
                    End::Failed => (0, 0),
                    End::Returned(None) => (1, 0),
                    End::Returned(Some(w)) => (2, w.0),
                    End::Delivered => (3, 0),
                };
                w.0.extend([b'G', state]);
                w.num(*n).num(wait);
            }
            Record::Over(n) => {
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
                let taken = Taken {
                    front: r.byte()?,
                    receipt: r.byte()? != 0,
                    n: r.num()?,
                    destination: r.num()?,
                    deadline: Micros(r.num()?),
                    id: r.text()?,
                    class: r.text()?,
                    class_then: None,
                    tenant: r.text()?,
                    key: r.text()?,
                    note: r.text()?,
                    body: r.bytes()?.to_vec(),
                };
                Record::Taken(Taken { class_then: ClassThen::read(&mut r), ..taken })
            }
            b'A' => {
                let (n, at) = (r.num()?, Micros(r.num()?));
                Record::Attempt { n, at, endpoint: r.text()?, zone: r.text()?, attempt: r.attempt() }
            }
            b'O' => {
                let end = match r.byte()? {
                    0 => CallEnd::NeverRan,
                    2 => CallEnd::HeldBack,
                    _ => CallEnd::MayHaveRun,
                };
                Record::Outcome { n: r.num()?, end, attempt: r.attempt() }
            }
            b'P' => {
                let ran = r.byte()? != 0;
                let (n, attempts, at) = (r.num()?, r.num()? as u32, Micros(r.num()?));
                let zone = r.text()?;
                Record::Past { n, attempts, maybe_ran: ran.then_some((at, zone)) }
            }
            b'G' => {
                let (state, n, wait) = (r.byte()?, r.num()?, Micros(r.num()?));
                let end = match state {
                    0 => End::Failed,
                    1 => End::Returned(None),
                    3 => End::Delivered,
                    _ => End::Returned(Some(wait)),
                };
                Record::Given { n, end }
            }
            b'E' => Record::Over(r.num()?),
            _ => return None,
        })
    }
}

/// What a log held.
#[derive(Debug, Default)]
pub struct Scan {
    /// The records that are whole.
    pub records: Vec<Record>,
    /// Bytes that belong to none.
    pub damaged: usize,
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
pub fn frames(bytes: &[u8]) -> Scan {
    let (mut scan, mut at) = (Scan::default(), 0);
    while at < bytes.len() {
        if let Some((record, n)) = frame(&bytes[at..]) {
            scan.records.push(record);
            at += n;
        } else {
            scan.damaged += 1;
            at += 1;
        }
    }
    scan
}
