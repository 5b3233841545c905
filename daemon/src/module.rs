//! The actor round the module: one letter after the other, then one decision, then its steps.

use crate::net::http::endpoint;
use crate::net::smpp::gateway;
use crate::net::{OutboundCall, Shared, ToEndpoint};
use crate::wal::Wal;
use async_channel::{Receiver, Sender, TrySendError};
use onyxrock::core::{Answered, Desk, End, Owed, Record, Step, Taken};
use onyxrock::interface::{
    DestinationId, Entry, Event, KindId, Listing, Micros, ReceiverId, Verdict, ZoneId,
};
use onyxrock_config::list::List;
use onyxrock_config::smpp::Gateway;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Nothing may go out later than a second after the list told of a drain; a queued call stops well before.
const DRAIN_GRACE: Micros = Micros(500_000);

#[derive(Debug)]
pub struct HandIn {
    pub taken: Taken,
    pub reply: Sender<Reply>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    Taken(u64),
    FailFast(Option<Micros>),
    /// The same, since no more can be held.
    Full,
    /// No such class or tenant.
    Unknown,
    /// The list has never named its destination.
    Nowhere,
    /// Its id has been used, and that request could still run.
    Again,
}

/// The module's mailbox.
#[derive(Debug)]
pub enum ToModule {
    HandIn(HandIn),
    /// The answer that it was taken on did not reach its client.
    Unheard(u64),
    /// A call is about to be written: may it go?
    Writing {
        n: u64,
        to: ReceiverId,
        reply: Sender<bool>,
    },
    Answered(Answered),
    List(List),
    ListFailed,
    /// A client has been told of an end.
    Told(u64),
    /// Hold all further sends.
    Hold,
    /// Says when no call is out any more.
    Quiet(Sender<()>),
}

/// The end of a request, on its way to its client.
#[derive(Clone, Debug)]
pub struct Ending {
    pub n: u64,
    pub id: String,
    pub note: String,
    pub deadline: Micros,
    pub end: End,
}

struct Peer {
    name: String,
    zone: String,
    mailbox: Sender<ToEndpoint>,
    address: std::net::SocketAddr,
    /// When the list told that it drains or is gone.
    drains: Option<Micros>,
}

pub struct Module {
    pub shared: Rc<Shared>,
    pub desk: Desk,
    pub wal: Wal,
    pub follow: Sender<()>,
    /// Where the ends of each front go.
    pub fronts: BTreeMap<u8, Sender<Ending>>,
    pub slots: usize,
    peers: BTreeMap<ReceiverId, Peer>,
    numbers: BTreeMap<String, ReceiverId>,
    /// Ends that wait for room in a front's mailbox.
    waiting: VecDeque<Ending>,
    quiet: Vec<Sender<()>>,
    hold: bool,
    /// Endpoints that no discovery lists.
    gateways: Vec<Entry>,
}

impl Module {
    pub fn new(
        shared: Rc<Shared>, desk: Desk, wal: Wal, follow: Sender<()>, fronts: BTreeMap<u8, Sender<Ending>>,
        slots: usize,
    ) -> Module {
        Module {
            shared,
            desk,
            wal,
            follow,
            fronts,
            slots,
            peers: BTreeMap::new(),
            numbers: BTreeMap::new(),
            waiting: VecDeque::new(),
            quiet: Vec::new(),
            hold: false,
            gateways: Vec::new(),
        }
    }

    /// Takes over what an earlier process owed.
    pub fn resume(&mut self, owed: impl IntoIterator<Item = Owed>) {
        for o in owed {
            self.shared.counters.resumed.up();
            let now = self.shared.clock.now();
            let (n, given) = (o.taken.n, o.given);
            if self.desk.resume(now, o)
                && let Some(end) = given
            {
                self.tell(n, end);
            }
        }
    }

    pub async fn run(mut self, inbox: Receiver<ToModule>) {
        loop {
            self.settle();
            let clock = self.shared.clock;
            let due = if self.hold { None } else { self.desk.due() };
            let letter = async { Some(inbox.recv().await) };
            let wake = async {
                clock.until(due).await;
                None
            };
            match futures_lite::future::or(letter, wake).await {
                None => {}
                Some(Ok(letter)) => {
                    self.take(letter);
                    while let Ok(letter) = inbox.try_recv() {
                        self.take(letter);
                    }
                }
                Some(Err(_)) => return,
            }
        }
    }

    /// Puts records in the log.
    fn keep(&mut self, records: &[Record]) -> bool {
        let (desk, before) = (&self.desk, self.wal.compactions);
        let kept = self.wal.append(records, || Box::new(desk.owed()));
        if self.wal.compactions != before {
            self.shared.counters.wal_compactions.up();
        }
        match kept {
            Ok(()) => self.shared.counters.wal_records.up(),
            Err(e) => {
                self.shared.counters.wal_refused.up();
                eprintln!("log: {e}");
                return false;
            }
        }
        true
    }

    fn take(&mut self, letter: ToModule) {
        let now = self.shared.clock.now();
        match letter {
            ToModule::HandIn(h) => self.hand_in(now, h),
            ToModule::Unheard(n) => {
                let record = self.desk.withdraw(now, n);
                self.keep(record.as_slice());
            }
            ToModule::Writing { n, to, reply } => {
                let _ = reply.try_send(self.writing(now, n, to));
            }
            ToModule::Answered(a) => self.answered(now, &a),
            ToModule::List(list) => self.list(now, list),
            ToModule::ListFailed => self.desk.list(now, Event::ListFailed),
            ToModule::Told(n) => {
                let record = self.desk.over(n);
                self.keep(record.as_slice());
            }
            ToModule::Hold => self.hold = true,
            ToModule::Quiet(reply) => self.quiet.push(reply),
        }
    }

    fn hand_in(&mut self, now: Micros, h: HandIn) {
        let HandIn { mut taken, reply } = h;
        let counters = &self.shared.counters;
        if !self.desk.known(&taken.class, &taken.tenant) {
            let _ = reply.try_send(Reply::Unknown);
            return;
        }
        if !self.desk.listed(taken.destination) {
            let _ = reply.try_send(Reply::Nowhere);
            return;
        }
        if !self.desk.fresh(now, &taken.id) {
            counters.ids_again.up();
            let _ = reply.try_send(Reply::Again);
            return;
        }
        taken.deadline = taken.deadline.min(self.desk.latest(now, &taken.class));
        let full = self.desk.full();
        if full || self.shared.stopping.get() || taken.deadline <= now {
            counters.fail_fast.up();
            let _ = reply.try_send(if full { Reply::Full } else { Reply::FailFast(None) });
            return;
        }
        taken.n = self.desk.number();
        let n = taken.n;
        // What is answered with "taken on" must be in the log by then.
        if !self.keep(&[Record::Taken(taken.clone())]) {
            self.shared.counters.fail_fast.up();
            let _ = reply.try_send(Reply::Full);
            return;
        }
        self.shared.counters.taken.up();
        self.desk.take(now, taken);
        let _ = reply.try_send(Reply::Taken(n));
    }

    /// The last look before a call is written. It may have waited for a connection meanwhile.
    fn writing(&mut self, now: Micros, n: u64, to: ReceiverId) -> bool {
        let Some(peer) = self.peers.get(&to).filter(|_| !self.hold) else { return false };
        if peer.drains.is_some_and(|t| now.since(t) > DRAIN_GRACE) {
            return false;
        }
        let Some(record) = self.desk.attempt(n, &peer.name, &peer.zone, now) else { return false };
        // An attempt that is not in the log could be made again after a restart.
        let kept = self.keep(std::slice::from_ref(&record));
        if !kept {
            self.desk.unsent(n);
        }
        kept
    }

    fn answered(&mut self, now: Micros, a: &Answered) {
        let c = &self.shared.counters;
        match a.verdict {
            Verdict::Delivered => &c.delivered,
            Verdict::Error => &c.error,
            Verdict::Full(_) => &c.full,
            Verdict::TimedOut => &c.timed_out,
            Verdict::ConnectFailed => &c.connect_failed,
            Verdict::Reset => &c.reset,
            Verdict::Cancelled => &c.cancelled,
            Verdict::Moot => &c.moot,
        }
        .up();
        let record = self.desk.answered(now, a);
        self.keep(record.as_slice());
    }

    /// A gateway is an endpoint of its destination, and stays one.
    pub fn gateway(&mut self, g: Gateway) {
        let receiver = ReceiverId(self.numbers.len() as u64 + 1);
        self.numbers.insert(format!("gateway {}", g.name), receiver);
        self.gateways.push(Entry {
            receiver,
            listing: Listing::Ready,
            destination: DestinationId(g.destination),
            kind: KindId(g.kind),
            zone: ZoneId(g.zone_at),
            weight: g.weight,
        });
        let peer = Peer {
            name: g.name.clone(),
            zone: g.zone.clone(),
            address: g.address,
            mailbox: gateway::start(&self.shared, g, self.slots * 2 + 16),
            drains: None,
        };
        self.peers.insert(receiver, peer);
    }

    fn list(&mut self, now: Micros, list: List) {
        let mut entries = Vec::new();
        if list.whole {
            entries.extend(self.gateways.iter().cloned());
            let mut named: Vec<_> = list.entries.iter().map(|l| l.name.as_str()).collect();
            named.sort_unstable();
            let fixed = |to: &ReceiverId| self.gateways.iter().any(|g| g.receiver == *to);
            let gone =
                |to: &ReceiverId, p: &Peer| !fixed(to) && named.binary_search(&p.name.as_str()).is_err();
            for (_, p) in self.peers.iter_mut().filter(|(to, p)| gone(to, p)) {
                p.drains.get_or_insert(now);
                let _ = p.mailbox.try_send(ToEndpoint::CloseIdle);
            }
        }
        for listed in list.entries {
            // Word that an endpoint is gone which was never here needs no actor.
            if listed.entry.listing == Listing::Gone && !self.numbers.contains_key(&listed.name) {
                continue;
            }
            let next = ReceiverId(self.numbers.len() as u64 + 1);
            let to = *self.numbers.entry(listed.name.clone()).or_insert(next);
            let mut entry = listed.entry;
            entry.receiver = to;
            let peer = self.peers.entry(to).or_insert_with(|| Peer {
                mailbox: endpoint::start(&self.shared, listed.address, self.slots * 2 + 16),
                name: listed.name,
                zone: listed.zone.clone(),
                address: listed.address,
                drains: None,
            });
            if peer.address != listed.address {
                peer.address = listed.address;
                let _ = peer.mailbox.try_send(ToEndpoint::Moved(listed.address));
            }
            match entry.listing {
                Listing::Ready => peer.drains = None,
                Listing::Draining => drop(peer.drains.get_or_insert(now)),
                Listing::Gone => {
                    peer.drains.get_or_insert(now);
                    let _ = peer.mailbox.try_send(ToEndpoint::CloseIdle);
                }
            }
            entries.push(entry);
        }
        let event = if list.whole { Event::FullList(entries) } else { Event::ListChanges(entries) };
        self.desk.list(now, event);
    }

    /// The list as it was last held.
    pub fn known(&mut self, list: List) {
        let now = self.shared.clock.now();
        self.list(now, List { whole: true, ..list });
    }

    fn settle(&mut self) {
        let now = self.shared.clock.now();
        if !self.hold && self.desk.due().is_some_and(|t| now.since(t) > Micros(50_000)) {
            self.shared.counters.late_decisions.up();
        }
        let mut steps = Vec::new();
        self.desk.decide(now, !self.hold, &mut steps);
        for step in steps {
            match step {
                Step::Call { n, attempt, to, patience } => self.call(now, n, attempt, to, patience),
                Step::End { n, end } => {
                    if end != End::Delivered {
                        self.keep(&[Record::Given { n, end }]);
                    }
                    self.tell(n, end);
                }
                Step::CloseIdle(to) => {
                    if let Some(p) = self.peers.get(&to) {
                        let _ = p.mailbox.try_send(ToEndpoint::CloseIdle);
                    }
                }
                Step::Follow => drop(self.follow.try_send(())),
                Step::Log(text) => eprintln!("module: {text}"),
            }
        }
        while let Some(ending) = self.waiting.pop_front() {
            if !self.pass(ending) {
                break;
            }
        }
        if self.desk.out() == 0 {
            self.quiet.drain(..).for_each(|q| q.try_send(()).unwrap_or_default());
        }
    }

    fn call(&mut self, now: Micros, n: u64, attempt: u32, to: ReceiverId, patience: Micros) {
        let (Some(o), Some(peer)) = (self.desk.get(n), self.peers.get(&to)) else { return };
        let t = &o.taken;
        let call = OutboundCall {
            n,
            attempt,
            to,
            id: t.id.clone(),
            key: t.key.clone(),
            note: t.note.clone(),
            body: t.body.clone(),
            started: now,
            patience,
        };
        let answered = call.answered(now, Verdict::Moot);
        if peer.mailbox.try_send(ToEndpoint::Call(Box::new(call))).is_err() {
            // Its mailbox is full: the module is owed an outcome all the same.
            self.answered(now, &answered);
        }
    }

    fn tell(&mut self, n: u64, end: End) {
        let Some(o) = self.desk.get(n) else { return };
        match end {
            End::Failed => self.shared.counters.failed.up(),
            End::Returned(_) => self.shared.counters.returned.up(),
            End::Delivered => {}
        }
        let t = &o.taken;
        let ending = Ending { n, id: t.id.clone(), note: t.note.clone(), deadline: t.deadline, end };
        self.pass(ending);
    }

    fn pass(&mut self, ending: Ending) -> bool {
        let front = self.desk.get(ending.n).map_or(0, |o| o.taken.front);
        match self.fronts.get(&front).map(|f| f.try_send(ending)) {
            Some(Err(TrySendError::Full(ending))) => {
                self.waiting.push_front(ending);
                false
            }
            _ => true,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::clock::Clock;
    use async_channel::bounded;
    use onyxrock::interface::{ClassSettings, Effect, KindSettings, Settings};
    use onyxrock_config::list::Listed;
    use std::cell::Cell;

    fn module(folder: &std::path::Path) -> Module {
        let (module, _) = bounded(8);
        let (_, closed) = bounded(1);
        let shared = Rc::new(Shared {
            clock: Clock::default(),
            counters: Default::default(),
            module,
            ending: closed.clone(),
            closing: closed,
            serials: Cell::new(0),
            crowd: Default::default(),
            stopping: Cell::new(false),
            discovery: Cell::new("127.0.0.1:1".parse().unwrap()),
            connect_timeout: Micros(1_000_000),
            idle_for: None,
            inbound_most: 10,
            outbound_most: 10,
            executor: Rc::new(async_executor::LocalExecutor::new()),
        });
        let class =
            ClassSettings { give_up: Micros(9_000_000), effect: Effect::Unsafe, ..Default::default() };
        let settings = Settings {
            classes: vec![class],
            kinds: vec![KindSettings { apart: false, batch: 1 }],
            slots: 4,
            max_held: 9,
            max_attempts: 3,
            ..Settings::default()
        };
        let classes = [("a".to_owned(), 0)].into_iter().collect();
        let names = onyxrock::core::Names { classes, ..Default::default() };
        let desk = Desk::new(settings, names, Default::default(), 1);
        let wal = Wal::open(folder, 1_000_000).unwrap().0;
        Module::new(shared, desk, wal, bounded(1).0, BTreeMap::new(), 4)
    }

    fn list(listing: Listing) -> List {
        let entry = Entry {
            receiver: ReceiverId(0),
            listing,
            destination: DestinationId(1),
            kind: KindId(0),
            zone: ZoneId(0),
            weight: 9.0,
        };
        let address = "127.0.0.1:1".parse().unwrap();
        let listed = Listed { name: "e".into(), address, zone: "z".into(), entry };
        List { generation: 1, whole: false, entries: vec![listed] }
    }

    #[test]
    fn an_endpoint_that_was_never_here_may_be_gone() {
        let folder = std::env::temp_dir().join(format!("onyxrock-gone-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let mut m = module(&folder);
        let now = m.shared.clock.now();
        m.list(now, list(Listing::Gone));
        assert!(m.peers.is_empty());
        m.list(now, list(Listing::Ready));
        m.list(now, list(Listing::Gone));
        assert_eq!(m.peers.values().map(|p| p.drains).collect::<Vec<_>>(), [Some(now)]);
        std::fs::remove_dir_all(&folder).unwrap();
    }

    /// A call may wait for its connection for longer than a drain leaves time to send.
    #[test]
    fn a_queued_call_is_not_written_once_its_endpoint_drains() {
        let folder = std::env::temp_dir().join(format!("onyxrock-module-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let mut m = module(&folder);
        let now = m.shared.clock.now();
        m.list(now, list(Listing::Ready));
        let taken = Taken {
            n: 1,
            class: "a".into(),
            destination: 1,
            deadline: now.after(Micros(5_000_000)),
            ..Taken::default()
        };
        m.desk.take(now, taken);
        let mut steps = Vec::new();
        m.desk.decide(now, true, &mut steps);
        assert!(matches!(steps[0], Step::Call { n: 1, .. }));
        m.list(now, list(Listing::Draining));
        let to = ReceiverId(1);
        assert!(!m.writing(now.after(Micros(900_000)), 1, to), "too late");
        assert!(m.writing(now.after(Micros(400_000)), 1, to), "there is time");
        assert!(!m.writing(now.after(Micros(400_000)), 1, to), "one attempt is out already");
        m.hold = true;
        assert!(!m.writing(now, 1, to), "the process ends");
        std::fs::remove_dir_all(&folder).unwrap();
    }
}
