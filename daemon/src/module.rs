//! The actor round the module: one letter after the other, then one decision, then its steps.

use crate::counters::Count;
use crate::folder::Left;
use crate::list::{Part, SWEEP, endpoint as listed_endpoint};
use crate::net::http::endpoint;
use crate::net::smpp::gateway;
use crate::net::{Held, OutboundCall, Shared, ToEndpoint};
use crate::wal::Wal;
use async_channel::{Receiver, Sender, TrySendError, bounded};
use onyxrock::core::{Answered, Desk, End, Found, Owed, Record, Step, Taken, recover};
use onyxrock::interface::{Event, Leave, Listing, Micros, ReceiverId, Verdict};
use onyxrock_config::list::List;
use onyxrock_config::smpp::Gateway;
use onyxrock_roster::{Directory, Endpoint, Follows, Memory, Order, Refused, Standing, Whose};
use onyxrock_sharing::{FromPeers, Probing, ToPeers};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

/// Nothing may go out later than a second after the list told of a drain; a queued call stops well before.
const DRAIN_GRACE: Micros = Micros(500_000);
/// What is remembered is kept so often at most.
const KEEP_EVERY: Micros = Micros(15_000_000);
/// When to come back for a destination that is not in the list just now, or while there is no list.
const LIST_WAIT: Micros = Micros(1_000_000);

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
    /// A client that may be gone: it is owed no more if nothing of it has begun, as the answer says.
    TakeBack(u64, Sender<bool>),
    /// A call is about to be written: may it go?
    Writing {
        n: u64,
        attempt: u32,
        to: ReceiverId,
        /// Where its connection leads.
        at: SocketAddr,
        /// Some of it has been written; the rest waited.
        begun: bool,
        reply: Sender<Gate>,
    },
    /// An endpoint has told a wait, and its answer has not ended yet.
    Wait {
        to: ReceiverId,
        until: Micros,
    },
    Answered(Answered),
    List(List),
    /// One part of a list that is too long for one letter.
    Part(Part),
    ListFailed(String),
    /// A client has been told of an end.
    Told(u64),
    /// From other instances.
    Peers(FromPeers),
    /// Shows the duties, as JSON.
    Duties(Sender<serde_json::Value>),
    /// What another process of this forwarder owed, which is gone.
    Adopt(Left),
    /// Hold all further sends.
    Hold,
    /// Says when no call is out any more.
    Quiet(Sender<()>),
}

/// What the gate says of a call whose first byte is about to leave: the epoch that a probe carries, zero for a message;
/// or how the call ends that must not go.
pub type Gate = Result<u64, Verdict>;

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

/// A message as another process of this forwarder knows it.
type Name = (u8, String, Micros);

pub fn whose(t: &Taken) -> Name {
    (t.front, t.id.clone(), t.deadline)
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
    /// Calls a second that a woken destination takes where nothing says it; none where what was used stays awake.
    pub assumed: Option<f64>,
    pub directory: Directory,
    /// Where what is remembered goes, to be kept for the next process.
    pub keep: Option<Sender<Vec<(Whose, Memory)>>>,
    /// When that is due, and the changes that the last one had.
    keep_at: (Micros, u64),
    /// Those of the endpoints in use.
    mailboxes: BTreeMap<ReceiverId, Sender<ToEndpoint>>,
    /// Ends that wait for room in a front's mailbox.
    waiting: VecDeque<Ending>,
    quiet: Vec<Sender<()>>,
    /// Calls out that may be called off, each of which ends early when its sender here is dropped.
    out: BTreeMap<(u64, u32), Sender<()>>,
    hold: bool,
    /// Lists are pushed, and a start has not asked yet for what it counts as told: nothing goes out before that, or this.
    pub first_list: Option<Micros>,
    /// Messages that were taken on here while another's log is there that may name them, too; they may be over by now.
    pub seen: BTreeSet<Name>,
    found: Found,
}

impl Module {
    pub fn new(
        shared: Rc<Shared>, desk: Desk, wal: Wal, follow: Sender<()>, fronts: BTreeMap<u8, Sender<Ending>>,
        slots: usize, directory: Directory,
    ) -> Module {
        Module {
            shared,
            desk,
            wal,
            follow,
            fronts,
            slots,
            probing: None,
            assumed: None,
            directory,
            keep: None,
            keep_at: (Micros(0), 0),
            mailboxes: BTreeMap::new(),
            waiting: VecDeque::new(),
            quiet: Vec::new(),
            out: BTreeMap::new(),
            hold: false,
            first_list: None,
            seen: BTreeSet::new(),
            found: Found::default(),
        }
    }

    /// Takes note of what this forwarder's own log says of messages, those too that are over.
    pub fn knows(&mut self, records: &[Record]) {
        self.seen = records
            .iter()
            .filter_map(|r| if let Record::Taken(t) = r { Some(whose(t)) } else { None })
            .collect();
    }

    /// Takes over what an earlier process owed.
    pub fn resume(&mut self, owed: impl IntoIterator<Item = Owed>) {
        for o in owed {
            self.shared.counters.resumed.up();
            let now = self.shared.clock.now();
            let (n, given) = (o.taken.n, o.given);
            self.used(now, o.taken.destination);
            if self.desk.resume(now, o)
                && let Some(end) = given
            {
                self.tell(n, end);
            }
        }
    }

    /// Takes over what another process of this forwarder owed, under numbers of its own. One that died between the two
    /// logs has left it in both: who is owed already, or was taken over before and has ended since, is known by its id.
    fn copy(&mut self, left: &Left) -> std::io::Result<()> {
        let scan = left.scan()?;
        if scan.damaged > 0 {
            tracing::warn!("log: {} bytes of another process belong to no whole record", scan.damaged);
        }
        let known: BTreeSet<_> = self.desk.owed().map(|o| whose(&o.taken)).collect();
        let mut owed: Vec<_> = recover(scan.records).into_values().collect();
        owed.retain(|o| !known.contains(&whose(&o.taken)) && !self.seen.contains(&whose(&o.taken)));
        owed.iter_mut().for_each(|o| o.taken.n = self.desk.number());
        let records: Vec<_> = owed.iter().flat_map(Owed::records).collect();
        if !records.is_empty() && !self.keep(&records) {
            return Err(std::io::ErrorKind::StorageFull.into());
        }
        if !owed.is_empty() {
            tracing::info!("log: {} messages of another process are taken over", owed.len());
        }
        self.seen.extend(owed.iter().map(|o| whose(&o.taken)));
        self.resume(owed);
        Ok(())
    }

    fn take_over(&mut self, left: &Left) -> std::io::Result<()> {
        self.copy(left)?;
        left.clear()?;
        self.seen.clear();
        Ok(())
    }

    /// The same; what fails is tried again at the next look.
    pub fn adopt(&mut self, left: &Left) {
        if let Err(e) = self.take_over(left) {
            tracing::error!("log: what another process owed is not taken over yet: {e}");
        }
    }

    pub async fn run(mut self, inbox: Receiver<ToModule>) {
        loop {
            self.settle();
            let clock = self.shared.clock;
            let duties = self.probing.as_ref().map(Probing::due);
            let due = self.desk.due().into_iter().chain(duties).chain(self.first_list).min();
            let due = due.filter(|_| !self.hold);
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
            ToModule::TakeBack(n, reply) => {
                let untouched = self.desk.get(n).is_some_and(|o| o.attempts == 0 && o.given.is_none());
                let back = untouched && self.keep(&[Record::Over(n)]);
                if back {
                    self.desk.withdraw(now, n);
                }
                let _ = reply.try_send(back);
            }
            ToModule::Writing { n, attempt, to, at, begun, reply } => {
                // It was queued for the address of then. Another may be there by now.
                let moved = self.directory.peer(to).is_some_and(|p| p.address != at);
                let _ = reply.try_send(if moved {
                    self.shared.counters.held_back_moved.up();
                    Err(Verdict::HeldBack)
                } else {
                    self.writing(now, n, attempt, to, begun)
                });
            }
            ToModule::Wait { to, until } => {
                self.desk.wait(now, to, until);
                self.directory.told(to, until);
            }
            ToModule::Answered(a) => self.answered(now, &a),
            ToModule::List(list) => self.list(now, list),
            ToModule::Part(part) => self.part(now, part),
            ToModule::ListFailed(why) => {
                if self.directory.had_list() {
                    self.shared.counters.list_old.set(1);
                    *self.shared.list.borrow_mut() = Held::Old(why);
                }
                if let Some(p) = &mut self.probing {
                    p.listed(None);
                }
                self.first_list = None;
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
            ToModule::Adopt(left) => self.adopt(&left),
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
        match self.directory.standing(now, taken.destination) {
            Standing::Here => {}
            Standing::Unknown => {
                let _ = reply.try_send(Reply::Nowhere);
                return;
            }
            // What cannot be delivered now is not taken on.
            Standing::NoList | Standing::Left => {
                counters.fail_fast.up();
                let _ = reply.try_send(Reply::FailFast(Some(LIST_WAIT)));
                return;
            }
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
        self.used(now, taken.destination);
        self.desk.take(now, taken);
        let _ = reply.try_send(Reply::Taken(n));
    }

    /// The last look before a call is written: whatever was asked when it was queued, for it may have waited for a
    /// connection meanwhile. One that has begun asks for what runs against its last byte alone.
    fn writing(&mut self, now: Micros, n: u64, attempt: u32, to: ReceiverId, begun: bool) -> Gate {
        let c = &self.shared.counters;
        let held_back = |why: &Count| {
            why.up();
            Err(Verdict::HeldBack)
        };
        let Some(peer) = self.directory.peer(to) else { return Err(Verdict::Moot) };
        if self.hold && !begun {
            return held_back(&c.held_back_ending);
        }
        if peer.drains.is_some_and(|t| now.since(t) > DRAIN_GRACE) && !begun {
            return held_back(&c.held_back_drain);
        }
        match self.desk.leave(now, n, attempt, to) {
            Leave::Wait => return held_back(&c.held_back_wait),
            Leave::Late => return held_back(&c.held_back_late),
            Leave::Over => return Err(Verdict::Moot),
            Leave::Go if begun => return Ok(0),
            Leave::Go => {}
        }
        if let Some(p) = self.probing.as_mut().filter(|_| self.desk.probing(n)) {
            let may = p.writing(now, n);
            let c = &self.shared.counters;
            if may.is_some() { &c.probes } else { &c.probes_refused }.up();
            return may.ok_or(Verdict::Moot);
        }
        let record = self.desk.attempt(n, attempt, &peer.name, &peer.zone, now).ok_or(Verdict::Moot)?;
        // An attempt that is not in the log could be made again after a restart.
        let kept = self.keep(std::slice::from_ref(&record));
        if !kept {
            self.desk.unsent(n, attempt);
        }
        kept.then_some(0).ok_or(Verdict::Moot)
    }

    fn answered(&mut self, now: Micros, a: &Answered) {
        if let Some(p) = &mut self.probing {
            p.ended(a.n);
        }
        self.out.remove(&(a.n, a.attempt));
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
            Verdict::HeldBack => &c.held_back,
        }
        .up();
        if a.told > Micros(0) {
            c.waits_told.up();
        }
        self.directory.told(a.to, a.told);
        self.directory.ended(a.to);
        let record = self.desk.answered(now, a);
        self.keep(record.as_slice());
    }

    /// A gateway is an endpoint of its destination, and stays one.
    pub fn gateway(&mut self, g: Gateway) {
        let now = self.shared.clock.now();
        let (to, entry) = self.directory.fix(
            now,
            &Endpoint {
                name: &g.name,
                address: g.address,
                zone: &g.zone,
                kind: u16::try_from(g.kind).unwrap_or(u16::MAX),
                destination: g.destination,
                weight: g.weight as f32,
                listing: Listing::Ready,
            },
        );
        self.desk.list(now, Event::Known(vec![entry]));
        let mailbox = gateway::start(&self.shared, g, self.room());
        self.mailboxes.insert(to, mailbox);
    }

    /// As many calls as may be out to one destination, and letters of other kinds.
    fn room(&self) -> usize {
        self.slots * 3 / 4 + 8
    }

    /// A destination is used: it wakes, if it was at rest.
    fn used(&mut self, now: Micros, destination: u64) {
        let mut follows = Follows::default();
        let Some(woken) = self.directory.touch(now, destination, &mut follows) else { return };
        self.shared.counters.wakes.up();
        self.order(follows.orders);
        match self.assumed {
            Some(assumed) => self.desk.wake(now, destination, woken.whole, woken.each, assumed),
            None => {
                let (entries, known): (Vec<_>, Vec<_>) = woken.each.into_iter().unzip();
                let numbers: Vec<_> = entries.iter().map(|e| e.receiver).collect();
                self.desk.list(now, Event::Known(entries));
                for (to, repute) in numbers.into_iter().zip(known) {
                    self.desk.recall(now, to, repute);
                }
            }
        }
    }

    /// Carries out what is to be done at endpoints.
    fn order(&mut self, orders: Vec<Order>) {
        for order in orders {
            match order {
                Order::Open(to, address) => {
                    let mailbox = endpoint::start(&self.shared, address, self.room());
                    self.mailboxes.insert(to, mailbox);
                }
                // Its actor ends with its mailbox, once nothing is out there.
                Order::Close(to) => drop(self.mailboxes.remove(&to)),
                Order::CloseIdle(to) => self.letter(to, ToEndpoint::CloseIdle),
                Order::Moved(to, address) => self.letter(to, ToEndpoint::Moved(Box::new(address))),
            }
        }
    }

    fn letter(&self, to: ReceiverId, letter: ToEndpoint) {
        if let Some(mailbox) = self.mailboxes.get(&to) {
            let _ = mailbox.try_send(letter);
        }
    }

    fn follow_up(&mut self, now: Micros, follows: Follows) {
        self.order(follows.orders);
        if !follows.entries.is_empty() {
            self.desk.list(now, Event::Known(follows.entries));
        }
        for (to, repute) in follows.recalled {
            self.desk.recall(now, to, repute);
        }
    }

    fn put(&mut self, now: Micros, e: Endpoint<'_>, follows: &mut Follows) {
        if let Err(why) = self.directory.put(now, e.clone(), follows) {
            self.shared.counters.list_refused.up();
            let why = match why {
                Refused::Full => "there is no place for it",
                Refused::Shape => "its name or zone is out of bounds",
            };
            tracing::error!("list: {} is left out: {why}", e.name);
        }
    }

    /// A list in one letter.
    fn list(&mut self, now: Micros, list: List) {
        let mut follows = Follows::default();
        if list.whole {
            self.directory.begin();
        }
        for l in &list.entries {
            self.put(now, listed_endpoint(l), &mut follows);
        }
        self.directory.sweep(now, usize::MAX, &mut follows);
        self.follow_up(now, follows);
        self.has_list(now, list.generation);
    }

    fn part(&mut self, now: Micros, part: Part) {
        let mut follows = Follows::default();
        match part {
            Part::Begin => self.directory.begin(),
            Part::Entries(block) => {
                for e in block.iter() {
                    self.put(now, e, &mut follows);
                }
            }
            Part::Sweep(reply) => {
                let done = self.directory.sweep(now, SWEEP, &mut follows);
                let _ = reply.try_send(done);
            }
            Part::End(generation) => self.has_list(now, generation),
        }
        self.follow_up(now, follows);
    }

    /// A list has been taken.
    fn has_list(&mut self, now: Micros, generation: u64) {
        self.directory.taken();
        self.first_list = None;
        if let Some(p) = &mut self.probing {
            p.listed(Some(generation));
        }
        self.shared.counters.list_old.set(0);
        self.shared.counters.listed.set(self.directory.listed());
        *self.shared.list.borrow_mut() = Held::Current;
        self.desk.list(now, Event::ListChanges(Vec::new()));
    }

    /// Lets endpoints go that are gone, and destinations rest that nobody uses.
    fn tidy(&mut self, now: Micros) {
        let mut follows = Follows::default();
        self.directory.tidy(now, &mut follows);
        while let Some(destination) = self.directory.tired(now) {
            let Some((whole, each)) = self.desk.rest(now, destination) else { continue };
            self.shared.counters.rests.up();
            self.directory.rested(now, destination, whole, &each, &mut follows);
        }
        self.order(follows.orders);
        self.shared.counters.awake.set(self.directory.awake());
        self.shared.counters.remembered.set(self.directory.memories().len());
        self.keep_memories(now);
    }

    /// The list as it was last held.
    pub fn known(&mut self, list: List) {
        let now = self.shared.clock.now();
        self.list(now, List { whole: true, ..list });
    }

    /// Has what is remembered kept, if that is another thing than was kept last.
    fn keep_memories(&mut self, now: Micros) {
        let changes = self.directory.memories().changes();
        let Some(keep) = self.keep.as_ref().filter(|_| now >= self.keep_at.0 && changes != self.keep_at.1)
        else {
            return;
        };
        let all = self.directory.memories().iter().map(|(w, m)| (w.clone(), *m)).collect();
        // While one is still being written the next waits.
        if keep.try_send(all).is_ok() {
            self.keep_at = (now.after(KEEP_EVERY), changes);
        }
    }

    fn settle(&mut self) {
        let now = self.shared.clock.now();
        if !self.hold && self.desk.due().is_some_and(|t| now.since(t) > Micros(50_000)) {
            self.shared.counters.late_decisions.up();
        }
        self.tidy(now);
        if let Some(p) = self.probing.as_mut().filter(|_| !self.hold) {
            let c = &self.shared.counters;
            (0..p.settle(now, &mut self.desk)).for_each(|_| c.leases_won.up());
            c.lead_epoch.set(p.lead_epoch() as usize);
            c.fence_refused.set(p.fenced() as usize);
        }
        let mut steps = Vec::new();
        self.first_list = self.first_list.filter(|until| now < *until);
        self.desk.decide(now, !self.hold && self.first_list.is_none(), &mut steps);
        for step in steps {
            match step {
                Step::Call { n, attempt, to, patience } => self.call(now, n, attempt, to, patience),
                Step::Probe { n, to, patience } => self.probe(now, n, to, patience),
                Step::Tell(to, news) => {
                    if let (Some(peer), Some(others)) = (self.directory.peer(to), &self.shared.peers)
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
                Step::CallOff { n, attempt } => drop(self.out.remove(&(n, attempt))),
                Step::CloseIdle(to) => self.letter(to, ToEndpoint::CloseIdle),
                Step::Follow => drop(self.follow.try_send(())),
                Step::Log(text) => tracing::info!("module: {text}"),
            }
        }
        let (c, found) = (&self.shared.counters, self.desk.found());
        // How a restart went, said once.
        if found.settled() && found != self.found && !self.hold {
            let Found { untried, over, tried, late, early } = found;
            tracing::info!(
                "resumed: {untried} untried; {tried} tried, {over} over at the start, {late} later, {early} ended early"
            );
        }
        self.found = found;
        c.resumed_untried.set(found.untried);
        c.resumed_over.set(found.over);
        c.resumed_tried.set(found.tried);
        c.resumed_late.set(found.late);
        c.resumed_early.set(found.early);
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
        let called_off = self.desk.calls_off().then(|| {
            let (wanted, called_off) = bounded(1);
            self.out.insert((n, attempt), wanted);
            called_off
        });
        self.hand(OutboundCall {
            called_off,
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
            called_off: None,
        });
    }

    /// Hands a call to its endpoint's actor. The module is owed an outcome wherever it sends: to an endpoint that is
    /// not here any more, to one whose mailbox is full, to a gateway that knows no probes.
    fn hand(&mut self, call: OutboundCall) {
        let (now, moot) = (call.started, call.answered(call.started, Verdict::Moot));
        let odd = call.probe.is_some() && self.directory.is_fixed(call.to);
        self.directory.goes(call.to);
        let mailbox = self.mailboxes.get(&call.to).filter(|_| !odd);
        if mailbox.is_none_or(|m| m.try_send(ToEndpoint::Call(Box::new(call))).is_err()) {
            self.answered(now, &moot);
        }
    }

    /// Takes what came from the other instances.
    fn heard(&mut self, now: Micros, news: FromPeers) {
        if let FromPeers::Note { endpoint, news } = &news {
            // A wait that another was told holds for what rests here, too.
            if let Some(destination) = self.directory.destination_of(endpoint) {
                self.used(now, destination);
            }
            match self.directory.number_of(endpoint) {
                Some(to) => {
                    self.shared.counters.notes_heard.up();
                    self.desk.note(now, to, news);
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
    use onyxrock::interface::{ClassSettings, Effect, KindSettings, Settings};
    use onyxrock::interface::{DestinationId, Entry, KindId, ZoneId};
    use onyxrock_config::list::Listed;
    use onyxrock_roster::{Rules, Terms};
    use rstest::rstest;

    fn module(folder: &std::path::Path) -> Module {
        let shared = Shared::alone(bounded(8).0);
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
        let rules = Rules { most: 100, rest: None, terms: Terms::default(), zones: BTreeMap::new() };
        Module::new(shared, desk, wal, bounded(1).0, BTreeMap::new(), 4, Directory::new(rules))
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

    /// A call may wait for its connection for longer than a drain leaves time to send.
    #[test]
    fn a_queued_call_is_not_written_once_its_endpoint_drains() {
        let folder = std::env::temp_dir().join(format!("onyxrock-module-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let mut m = module(&folder);
        let now = m.shared.clock.now();
        m.list(now, list(Listing::Ready));
        m.used(now, 1);
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
        assert_eq!(
            m.writing(now.after(Micros(900_000)), 1, 0, to, false),
            Err(Verdict::HeldBack),
            "too late"
        );
        assert_eq!(m.writing(now.after(Micros(400_000)), 1, 0, to, false), Ok(0), "there is time");
        assert_eq!(
            m.writing(now.after(Micros(400_000)), 1, 1, to, false),
            Err(Verdict::Moot),
            "no such attempt"
        );
        m.hold = true;
        assert_eq!(m.writing(now, 1, 0, to, false), Err(Verdict::HeldBack), "the process ends");
        std::fs::remove_dir_all(&folder).unwrap();
    }

    /// Its client may be gone. Until the module's yes to a call it can be taken back; then it cannot, and says so.
    #[rstest]
    fn what_has_begun_is_not_taken_back(#[values(false, true)] begun: bool) {
        let folder =
            std::env::temp_dir().join(format!("onyxrock-module-back-{begun}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let mut m = module(&folder);
        let now = m.shared.clock.now();
        m.list(now, list(Listing::Ready));
        m.used(now, 1);
        let deadline = now.after(Micros(5_000_000));
        let taken = Taken { n: 1, class: "a".into(), destination: 1, deadline, ..Taken::default() };
        assert!(m.keep(&[Record::Taken(taken.clone())]));
        m.desk.take(now, taken);
        m.desk.decide(now, true, &mut Vec::new());
        if begun {
            assert_eq!(m.writing(now, 1, 0, ReceiverId(1), false), Ok(0));
        }
        let (reply, back) = bounded(1);
        m.take(ToModule::TakeBack(1, reply));
        assert_eq!((back.try_recv(), m.desk.get(1).is_some()), (Ok(!begun), begun));
        let logged = recover(Wal::open(&folder, 1_000_000).unwrap().1.records);
        assert_eq!(logged.contains_key(&1), begun, "the next process knows it, too");
        if !begun {
            assert_eq!(m.writing(now, 1, 0, ReceiverId(1), false), Err(Verdict::Moot), "its call was queued");
        }
        std::fs::remove_dir_all(&folder).unwrap();
    }

    /// Where lists are pushed, the list that a start has from before may be old: nothing goes out on it for a moment.
    #[rstest]
    #[case::it_drains(Some(Listing::Draining), 0)]
    #[case::it_is_there(Some(Listing::Ready), 1)]
    #[case::no_list_comes(None, 1)]
    fn nothing_goes_out_before_the_first_list(#[case] told: Option<Listing>, #[case] calls: usize) {
        let folder = std::env::temp_dir().join(format!("onyxrock-module-first-{}", std::process::id()));
        let folder = folder.join(format!("{told:?}-{calls}"));
        std::fs::create_dir_all(&folder).unwrap();
        let mut m = module(&folder);
        let now = m.shared.clock.now();
        m.known(list(Listing::Ready));
        m.first_list = Some(now.after(Micros(60_000_000)));
        m.used(now, 1);
        let deadline = now.after(Micros(5_000_000));
        m.desk.take(now, Taken { n: 1, class: "a".into(), destination: 1, deadline, ..Taken::default() });
        m.settle();
        let queued = |m: &Module| m.mailboxes.values().map(Sender::len).sum::<usize>();
        assert_eq!(queued(&m), 0);
        match told {
            Some(listing) => m.list(m.shared.clock.now(), list(listing)),
            None => m.first_list = Some(now),
        }
        m.settle();
        let called = m.mailboxes.values().filter(|b| !b.is_empty()).count();
        assert_eq!(called, calls);
        std::fs::remove_dir_all(&folder).unwrap();
    }

    /// An endpoint moves while a connection to where it was comes up: whoever is there now is another.
    #[test]
    fn a_call_is_not_written_to_where_its_endpoint_was() {
        let folder = std::env::temp_dir().join(format!("onyxrock-module-moved-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let mut m = module(&folder);
        let now = m.shared.clock.now();
        let before = list(Listing::Ready);
        let at = before.entries[0].address;
        m.list(now, before);
        m.used(now, 1);
        let deadline = now.after(Micros(5_000_000));
        m.desk.take(now, Taken { n: 1, class: "a".into(), destination: 1, deadline, ..Taken::default() });
        m.desk.decide(now, true, &mut Vec::new());
        let mut moved = list(Listing::Ready);
        moved.entries[0].address = "127.0.0.1:2".parse().unwrap();
        let there = moved.entries[0].address;
        m.list(now, moved);
        let mut asks = |at| {
            let (reply, says) = bounded(1);
            m.take(ToModule::Writing { n: 1, attempt: 0, to: ReceiverId(1), at, begun: false, reply });
            says.try_recv().unwrap()
        };
        assert_eq!((asks(at), asks(there)), (Err(Verdict::HeldBack), Ok(0)));
        std::fs::remove_dir_all(&folder).unwrap();
    }

    /// The operators' case: one call is decided on and its connection is late; another is told a wait meanwhile. As soon
    /// as the head of that answer is read, the first must not leave, and it is none of its message's attempts.
    #[test]
    fn a_call_that_was_decided_before_a_wait_was_told_is_not_written_within_it() {
        let folder = std::env::temp_dir().join(format!("onyxrock-module-wait-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let mut m = module(&folder);
        let now = m.shared.clock.now();
        m.list(now, list(Listing::Ready));
        m.used(now, 1);
        let deadline = now.after(Micros(5_000_000));
        let taken = Taken { n: 1, class: "a".into(), destination: 1, deadline, ..Taken::default() };
        m.desk.take(now, taken);
        let mut steps = Vec::new();
        m.desk.decide(now, true, &mut steps);
        let to = ReceiverId(1);
        let (told, late) = (now.after(Micros(300_000)), now.after(Micros(900_000)));
        assert_eq!(m.writing(told, 1, 0, to, false), Ok(0), "nothing was told yet");
        m.take(ToModule::Wait { to, until: told.after(Micros(2_000_000)) });
        assert_eq!(
            m.writing(late, 1, 0, to, true),
            Err(Verdict::HeldBack),
            "its last byte would come too late"
        );
        assert_eq!(m.shared.counters.held_back_wait.get(), 1);
        let (elapsed, verdict) = (late.since(now), Verdict::HeldBack);
        let (finished, limit) = (false, (None, None));
        let held_back = Answered { n: 1, attempt: 0, to, verdict, elapsed, finished, limit, told: Micros(0) };
        m.answered(late, &held_back);
        assert_eq!(m.desk.get(1).map(|o| (o.attempts, o.out.len())), Some((0, 0)));
        m.desk.decide(late, true, &mut steps);
        assert_eq!(steps.len(), 1, "nor is it decided on again");
        let over = told.after(Micros(2_000_000));
        m.desk.decide(over, true, &mut steps);
        assert!(matches!(steps[1..], [Step::Call { n: 1, attempt: 1, .. }]), "{steps:?}");
        assert_eq!(m.writing(over, 1, 1, to, false), Ok(0));
        assert_eq!(m.desk.get(1).map(|o| o.attempts), Some(1));
        std::fs::remove_dir_all(&folder).unwrap();
    }

    /// The other log could not be cleared, and what came out of it has ended here meanwhile: it is not sent again. Nor by
    /// the process after this one.
    #[test]
    fn what_was_taken_over_and_has_ended_is_not_taken_over_again() {
        let folder = std::env::temp_dir().join(format!("onyxrock-module-again-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let claim = crate::folder::Claim::take(&folder).unwrap();
        let mut m = module(&folder);
        let now = m.shared.clock.now();
        let deadline = now.after(Micros(5_000_000));
        let mut log = Vec::new();
        let id = "id-1".to_owned();
        Record::Taken(Taken { n: 1, id, class: "a".into(), destination: 1, deadline, ..Taken::default() })
            .write(&mut log);
        std::fs::write(&claim.beside()[0], &log).unwrap();
        let Ok(crate::folder::Other::Free(left)) = claim.other() else { panic!("nobody is there") };
        m.copy(&left).unwrap();
        let n = m.desk.owed().next().expect("it is taken over").taken.n;
        m.take(ToModule::Told(n));
        m.copy(&left).unwrap();
        assert_eq!(m.desk.owed().count(), 0, "its log is still there");
        let scan = Wal::open(&folder, 1_000_000).unwrap().1;
        let mut next = module(&folder);
        next.knows(&scan.records);
        next.copy(&left).unwrap();
        assert_eq!(next.desk.owed().count(), 0, "killed before it could be cleared");
        next.take_over(&left).unwrap();
        assert!(!left.is_there() && next.seen.is_empty());
        std::fs::remove_dir_all(&folder).unwrap();
    }

    /// Killed between the two logs, a process leaves a message in both; what may have run there is not forgotten.
    #[test]
    fn what_another_process_owed_is_taken_over_once() {
        let folder = std::env::temp_dir().join(format!("onyxrock-module-adopt-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let claim = crate::folder::Claim::take(&folder).unwrap();
        let mut m = module(&folder);
        let now = m.shared.clock.now();
        m.list(now, list(Listing::Ready));
        let deadline = now.after(Micros(5_000_000));
        let taken = |n: u64| Taken {
            n,
            id: format!("id-{n}"),
            class: "a".into(),
            destination: 1,
            deadline,
            ..Taken::default()
        };
        let (endpoint, zone) = ("e".to_owned(), "z".to_owned());
        let mut log = Vec::new();
        Record::Taken(taken(1)).write(&mut log);
        Record::Taken(taken(2)).write(&mut log);
        Record::Attempt { n: 2, attempt: 0, endpoint, zone, at: now }.write(&mut log);
        m.desk.take(now, Taken { n: 1, id: "ours".into(), ..taken(1) });
        for _ in 0..2 {
            std::fs::write(&claim.beside()[0], &log).unwrap();
            let Ok(crate::folder::Other::Free(left)) = claim.other() else { panic!("nobody is there") };
            m.adopt(&left);
            assert!(!left.is_there());
        }
        let owed: Vec<_> =
            m.desk.owed().map(|o| (o.taken.n, o.taken.id.as_str(), o.maybe_ran.is_some())).collect();
        assert_eq!(owed, [(1, "ours", false), (2, "id-1", false), (3, "id-2", true)]);
        let mut steps = Vec::new();
        m.desk.decide(now, true, &mut steps);
        let ended = |s: &Step| matches!(s, Step::End { n: 3, end: End::Failed });
        assert_eq!(steps.iter().filter(|s| ended(s)).count(), 1, "unsafe: not repeated");
        std::fs::remove_dir_all(&folder).unwrap();
    }
}
