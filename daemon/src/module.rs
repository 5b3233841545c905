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
use onyxrock_sharing::{FromPeers, Probing, ToPeers};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Nothing may go out later than a second after the list told of a drain; a queued call stops well before.
const DRAIN_GRACE: Micros = Micros(500_000);
/// An endpoint that is gone is kept so long for calls that come late.
const PEER_REST: Micros = Micros(3_000_000);
/// The module forgets an endpoint a minute after it was last used.
const FORGET: Micros = Micros(75_000_000);

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
    /// From other instances.
    Peers(FromPeers),
    /// Shows the duties, as JSON.
    Duties(Sender<serde_json::Value>),
    /// Hold all further sends.
    Hold,
    /// Says when no call is out any more.
    Quiet(Sender<()>),
}

impl From<FromPeers> for ToModule {
    fn from(news: FromPeers) -> ToModule {
        ToModule::Peers(news)
    }
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
    /// The list does not name it any more, or as gone.
    gone: bool,
    /// Calls that its actor has, and has not told the end of.
    out: usize,
}

pub struct Module {
    pub shared: Rc<Shared>,
    pub desk: Desk,
    pub wal: Wal,
    pub follow: Sender<()>,
    /// Where the ends of each front go.
    pub fronts: BTreeMap<u8, Sender<Ending>>,
    pub slots: usize,
    /// Duties shared with other instances; none where that is off.
    pub probing: Option<Probing>,
    peers: BTreeMap<ReceiverId, Peer>,
    /// Numbers by name. One that is gone keeps its number for a while: the module still knows of waits there.
    numbers: BTreeMap<String, ReceiverId>,
    last_number: u64,
    forget: VecDeque<(Micros, String)>,
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
            probing: None,
            peers: BTreeMap::new(),
            numbers: BTreeMap::new(),
            last_number: 0,
            forget: VecDeque::new(),
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
            let duties = self.probing.as_ref().map(Probing::due);
            let due = if self.hold { None } else { self.desk.due().into_iter().chain(duties).min() };
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
                tracing::error!("log: {e}");
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
            ToModule::ListFailed => {
                if let Some(p) = &mut self.probing {
                    p.listed(None);
                }
                self.desk.list(now, Event::ListFailed);
            }
            ToModule::Told(n) => {
                let record = self.desk.over(n);
                self.keep(record.as_slice());
            }
            ToModule::Peers(news) => self.heard(now, news),
            ToModule::Duties(reply) => {
                drop(reply.try_send(self.probing.as_ref().map(|p| p.json(now)).unwrap_or_default()));
            }
            ToModule::Hold => {
                self.hold = true;
                if let Some(p) = &mut self.probing {
                    p.stop(now);
                }
            }
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
        if let Some(p) = self.probing.as_mut().filter(|_| self.desk.probing(n)) {
            let may = p.writing(now, n);
            let c = &self.shared.counters;
            if may { &c.probes } else { &c.probes_refused }.up();
            return may;
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
        if let Some(p) = &mut self.probing {
            p.ended(a.n);
        }
        let c = &self.shared.counters;
        if a.verdict == Verdict::Stale {
            c.stale.up();
        }
        match a.verdict {
            Verdict::Delivered => &c.delivered,
            Verdict::Error => &c.error,
            Verdict::Full(_) => &c.full,
            Verdict::TimedOut => &c.timed_out,
            Verdict::ConnectFailed => &c.connect_failed,
            Verdict::Reset | Verdict::Stale => &c.reset,
            Verdict::Cancelled => &c.cancelled,
            Verdict::Moot => &c.moot,
        }
        .up();
        if let Some(p) = self.peers.get_mut(&a.to) {
            p.out = p.out.saturating_sub(1);
        }
        let record = self.desk.answered(now, a);
        self.keep(record.as_slice());
    }

    /// A gateway is an endpoint of its destination, and stays one.
    pub fn gateway(&mut self, g: Gateway) {
        let receiver = self.number();
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
            gone: false,
            out: 0,
        };
        self.peers.insert(receiver, peer);
    }

    fn list(&mut self, now: Micros, list: List) {
        if let Some(p) = &mut self.probing {
            p.listed(Some(list.generation));
        }
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
                p.gone = true;
                let _ = p.mailbox.try_send(ToEndpoint::CloseIdle);
            }
        }
        for listed in list.entries {
            // Word that an endpoint is gone which was never here needs no actor.
            let known = self.numbers.get(&listed.name).copied();
            if listed.entry.listing == Listing::Gone && known.is_none_or(|to| !self.peers.contains_key(&to)) {
                continue;
            }
            let to = known.unwrap_or_else(|| self.number());
            if known.is_none() {
                self.numbers.insert(listed.name.clone(), to);
            }
            let mut entry = listed.entry;
            entry.receiver = to;
            let peer = self.peers.entry(to).or_insert_with(|| Peer {
                mailbox: endpoint::start(&self.shared, listed.address, self.slots * 2 + 16),
                name: listed.name,
                zone: listed.zone.clone(),
                address: listed.address,
                drains: None,
                gone: false,
                out: 0,
            });
            peer.gone = entry.listing == Listing::Gone;
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

    fn number(&mut self) -> ReceiverId {
        self.last_number += 1;
        ReceiverId(self.last_number)
    }

    /// Lets go of endpoints that are gone: of the actor once nothing is out there and no call may still ask whether
    /// it may be written, of the number once the module has forgotten it too.
    fn tidy(&mut self, now: Micros) {
        let past = |p: &Peer| p.gone && p.out == 0 && p.drains.is_some_and(|t| now.since(t) > PEER_REST);
        let forget = &mut self.forget;
        self.peers.retain(|_, p| {
            let past = past(p);
            if past {
                forget.push_back((now.after(FORGET), p.name.clone()));
            }
            !past
        });
        while self.forget.front().is_some_and(|(t, _)| *t <= now) {
            let Some((_, name)) = self.forget.pop_front() else { return };
            // It may be back meanwhile.
            if self.numbers.get(&name).is_some_and(|to| !self.peers.contains_key(to)) {
                self.numbers.remove(&name);
            }
        }
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
        self.tidy(now);
        if let Some(p) = self.probing.as_mut().filter(|_| !self.hold) {
            (0..p.settle(now, &mut self.desk)).for_each(|_| self.shared.counters.leases_won.up());
        }
        let mut steps = Vec::new();
        self.desk.decide(now, !self.hold, &mut steps);
        for step in steps {
            match step {
                Step::Call { n, attempt, to, patience } => self.call(now, n, attempt, to, patience),
                Step::Probe { n, to, patience } => self.probe(now, n, to, patience),
                Step::Tell(to, news) => {
                    if let (Some(peer), Some(others)) = (self.peers.get(&to), &self.shared.peers)
                        && others.try_send(ToPeers::Note { endpoint: peer.name.clone(), news }).is_ok()
                    {
                        self.shared.counters.notes_told.up();
                    }
                }
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
                Step::Log(text) => tracing::info!("module: {text}"),
            }
        }
        while let Some(ending) = self.waiting.pop_front() {
            if !self.pass(ending) {
                break;
            }
        }
        if !self.quiet.is_empty() && self.desk.out() == 0 {
            self.quiet.drain(..).for_each(|q| q.try_send(()).unwrap_or_default());
        }
    }

    fn call(&mut self, now: Micros, n: u64, attempt: u32, to: ReceiverId, patience: Micros) {
        let Some(o) = self.desk.get(n) else { return };
        let t = &o.taken;
        self.hand(OutboundCall {
            harmful: self.desk.harmful(&t.class),
            n,
            attempt,
            to,
            id: t.id.clone(),
            key: t.key.clone(),
            note: t.note.clone(),
            body: t.body.clone(),
            started: now,
            patience,
            probe: None,
        });
    }

    /// The call of a probe: as any other, but nothing of it is logged or owed.
    fn probe(&mut self, now: Micros, n: u64, to: ReceiverId, patience: Micros) {
        let Some(probing) = &self.probing else { return };
        self.hand(OutboundCall {
            harmful: false,
            n,
            attempt: 0,
            to,
            id: String::new(),
            key: String::new(),
            note: String::new(),
            body: Vec::new(),
            started: now,
            patience: patience.min(probing.patience()),
            probe: Some(probing.path.clone()),
        });
    }

    /// Hands a call to its endpoint's actor. The module is owed an outcome wherever it sends: to an endpoint that is
    /// not here any more, to one whose mailbox is full, to a gateway that knows no probes.
    fn hand(&mut self, call: OutboundCall) {
        let (now, moot) = (call.started, call.answered(call.started, Verdict::Moot));
        let odd = call.probe.is_some() && self.gateways.iter().any(|g| g.receiver == call.to);
        let Some(peer) = self.peers.get_mut(&call.to) else { return self.answered(now, &moot) };
        peer.out += 1;
        if odd || peer.mailbox.try_send(ToEndpoint::Call(Box::new(call))).is_err() {
            self.answered(now, &moot);
        }
    }

    /// Takes what came from the other instances.
    fn heard(&mut self, now: Micros, news: FromPeers) {
        if let FromPeers::Note { endpoint, news } = &news {
            match self.numbers.get(endpoint) {
                Some(to) => {
                    self.shared.counters.notes_heard.up();
                    self.desk.note(now, *to, news);
                }
                None => self.shared.counters.notes_unknown.up(),
            }
        }
        if let Some(p) = &mut self.probing {
            p.take(now, news);
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
            reuse: Default::default(),
            stopping: Cell::new(false),
            discovery: Cell::new("127.0.0.1:1".parse().unwrap()),
            connect_timeout: Micros(1_000_000),
            idle_for: None,
            peers: None,
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

    /// On a long day endpoints come and go without end: whatever is kept for each that was ever here is a leak.
    #[test]
    fn an_endpoint_that_is_gone_is_let_go_and_its_address_serves_another() {
        let folder = std::env::temp_dir().join(format!("onyxrock-tidy-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let mut m = module(&folder);
        let mut now = m.shared.clock.now();
        for i in 0..100 {
            for state in [Listing::Ready, Listing::Draining, Listing::Gone] {
                let mut one = list(state);
                one.entries[0].name = format!("e{i}");
                m.list(now, one);
                now = now.after(Micros(1_000_000));
                m.tidy(now);
            }
        }
        let rest = FORGET.after(PEER_REST).0 / 3_000_000 + 2;
        assert!(
            m.peers.len() <= 3 && m.numbers.len() as u64 <= rest,
            "{} {}",
            m.peers.len(),
            m.numbers.len()
        );
        assert_eq!(m.last_number, 100, "each has a number of its own, however its address was used before");
        // With a call out it stays until that has ended.
        m.peers.values_mut().for_each(|p| p.out = 1);
        m.tidy(now.after(FORGET));
        assert!(!m.peers.is_empty());
        m.peers.values_mut().for_each(|p| p.out = 0);
        m.tidy(now.after(FORGET));
        m.tidy(now.after(FORGET).after(FORGET));
        assert_eq!((m.peers.len(), m.numbers.len()), (0, 0));
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
