//! What a sender keeps, taken in and let go: no receiver, repeat, copy or refusal is chosen here.

use super::*;

/// What nobody has used for so long is forgotten.
const FORGET: Micros = Micros(60_000_000);
const TIDY_EVERY: Micros = Micros(10_000_000);
const NOTES_PER_S: f64 = 25.0; // from all senders together
const NOTE_GAP_S: f64 = 0.5; // from one sender
/// Latency norm of a receiver never heard from.
const NORM_START_S: f64 = 0.25;

/// The decisions of one sender.
#[derive(Clone, Debug)]
pub struct PolicyEngine {
    pub(super) set: Settings,
    pub(super) scale: Scale,
    pub(super) rng: Rng,
    pub(super) destinations: BTreeMap<DestinationId, Destination>,
    pub(super) receivers: BTreeMap<ReceiverId, Receiver>,
    pub(super) held: BTreeMap<MessageId, Held>,
    pub(super) turns: Turns,
    pub(super) calls: Calls,
    /// When to look at which destination. Only these are looked at.
    pub(super) agenda: Agenda,
    /// The share of calls that broke without an answer lately, wherever they went.
    pub(super) broad: f64,
    /// Destinations with messages that only wait for a slot.
    pub(super) starved: BTreeSet<DestinationId>,
    /// What is seen of the connection tables of each kind.
    pub(super) tables: BTreeMap<KindId, ConnectionTable>,
    /// Receivers of which idle connections are given back, unless the next decision uses them.
    pub(super) giving_back: BTreeSet<ReceiverId>,
    pub(super) tidy_at: Micros,
    pub(super) tell_at: Micros,
    pub(super) shares: Vec<Bucket>,
    /// Second copies that may go.
    pub(super) copies: f64,
    /// Attempts to call off.
    pub(super) called_off: Vec<Action>,
    pub(super) list_refresh: ListRefresh,
    pub(super) wake_at: Option<Micros>,
}

impl PolicyEngine {
    /// A sender that knows nothing yet but its settings. All chance comes from `seed`.
    pub fn new(settings: Settings, seed: u64) -> PolicyEngine {
        PolicyEngine {
            scale: Scale::of(&settings),
            rng: Rng(seed),
            destinations: BTreeMap::new(),
            receivers: BTreeMap::new(),
            held: BTreeMap::new(),
            turns: Turns::default(),
            calls: Calls::default(),
            agenda: Agenda::default(),
            broad: 0.0,
            starved: BTreeSet::new(),
            tables: BTreeMap::new(),
            giving_back: BTreeSet::new(),
            tidy_at: Micros(0),
            tell_at: Micros(0),
            shares: vec![Bucket::default(); settings.tenants.len()],
            copies: 1.0, // one may go before its share has been earned
            called_off: Vec::new(),
            list_refresh: ListRefresh::new(&settings),
            wake_at: None,
            set: settings,
        }
    }

    /// All classes that a message may have from now on. They begin with those that there were: what is held keeps
    /// its own.
    pub fn set_classes(&mut self, classes: &[ClassSettings]) {
        self.set.classes = classes.to_vec();
    }

    /// What may change of the settings beside classes.
    pub fn set_bounds(&mut self, max_attempts: u32, max_held: u32) {
        (self.set.max_attempts, self.set.max_held) = (max_attempts, max_held);
    }

    /// Takes note of something that happened at `now`. Call [`PolicyEngine::decide`] after the last of a moment.
    pub fn on_event(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.list_refresh.heard(&event);
        match event {
            Event::PersistedList(entries) | Event::FullList(entries) => self.on_list(entries, true),
            Event::CachedEntries(entries) | Event::ListChanges(entries) => self.on_list(entries, false),
            Event::ListFailed => self.list_refresh.failed(now, &mut self.rng),
            Event::ListRefused => self.list_refresh.refused(now, &mut self.rng),
            Event::ListSourceChanged => self.list_refresh.moved(),
            Event::Submit(message) => self.on_submit(now, message),
            Event::Resume(message, past) => self.on_resume(now, message, past, actions),
            Event::Outcome(o) if self.set.load_reports => self.on_outcome(now, &o, actions),
            // Nobody has promised that such figures mean what a report would.
            Event::Outcome(o) => {
                self.on_outcome(now, &Outcome { limit_per_s: None, remaining_share: None, ..o }, actions)
            }
            Event::RetryAfter(receiver, wait) => self.note_wait(now, receiver, wait),
            Event::PeerHint(data) => self.on_note(now, &data),
            Event::Withdrawn(id) => self.close(id),
            Event::TimerFired => self.wake_at = self.wake_at.filter(|t| *t > now),
        }
    }

    /// The limit that an answer told. Where routes are not apart it is the whole destination's: an endpoint that has just
    /// been listed, or has said nothing yet, is not one of which nothing is known.
    pub(super) fn note_limit(&mut self, o: &Outcome) {
        let told = o.limit_per_s.filter(|l| *l > 0.0);
        let Some((r, told)) = self.receivers.get(&o.receiver).zip(told) else { return };
        let shared = self.destinations.get(&r.destination).filter(|_| !r.apart);
        let all = shared.map_or(vec![o.receiver], |d| d.receivers.clone());
        for id in all {
            if let Some(r) = self.receivers.get_mut(&id) {
                r.limit = Some(told);
            }
        }
    }

    /// A receiver told a wait. Waits only grow while they run. Where routes are not apart it is the whole destination's;
    /// the receiver keeps it as well, for the time when routes become apart.
    pub(super) fn note_wait(&mut self, now: Micros, id: ReceiverId, wait: Micros) {
        let Some(r) = self.receivers.get_mut(&id).filter(|_| wait > Micros(0)) else { return };
        let until = now.plus(wait);
        r.pace.wait_until = r.pace.wait_until.max(until);
        if let Some(d) = self.destinations.get_mut(&r.destination).filter(|_| !r.apart) {
            d.pace.wait_until = d.pace.wait_until.max(until);
        }
        self.agenda.look(r.destination, now); // what cannot outlast it ends at once
    }

    pub(super) fn on_list(&mut self, entries: Vec<ListEntry>, whole: bool) {
        let mut touched = BTreeSet::new();
        if whole {
            self.receivers.values_mut().for_each(|r| r.listing = EntryState::Gone);
        }
        for e in entries {
            if e.state == EntryState::Gone && !self.receivers.contains_key(&e.receiver) {
                continue;
            }
            let kind = self.set.kinds.get(e.kind.0);
            let r = self.receivers.entry(e.receiver).or_insert_with(|| Receiver::new(&e, kind, NORM_START_S));
            (r.listing, r.weight) = (e.state, e.weight);
            let d = self.destinations.entry(r.destination).or_default();
            // Routes that become apart, or one pace, keep the waits that were told before.
            if e.state != EntryState::Gone && r.kind != e.kind {
                (r.kind, r.apart) = (e.kind, kind.is_some_and(|k| k.separate_routes));
                r.batch = kind.map_or(1, |k| k.messages_per_call.max(1));
                if !r.apart {
                    d.pace.wait_until = r.told_until(d);
                }
            }
            if !d.receivers.contains(&e.receiver) {
                d.receivers.push(e.receiver);
            }
            touched.insert(e.destination);
        }
        for id in touched {
            self.agenda.look(id, Micros(0));
        }
    }

    pub(super) fn on_submit(&mut self, now: Micros, m: Message) {
        let known = self.held.contains_key(&m.id);
        let Some(class) = self.set.classes.get(m.class.0).filter(|_| !known) else { return };
        let deadline = now.plus(m.time_left);
        let key = m.ordering_key.filter(|_| class.in_order);
        let aim_at = now.plus(class.target_latency.since(class.give_up_after.since(m.time_left)));
        key.iter().for_each(|k| self.turns.join(k, m.id));
        let over_share = m.tenant.is_some_and(|t| self.over_share(now, t));
        let d = self.destinations.entry(m.destination).or_default();
        d.offered.add(now, self.scale.rate_memory);
        d.waiting.insert(m.id);
        self.agenda.look(m.destination, now);
        let (class, destination) = (m.class, m.destination);
        let max_attempts = self.set.max_attempts;
        let held =
            Held { class, key, destination, over_share, deadline, aim_at, max_attempts, ..Held::default() };
        self.held.insert(m.id, held);
    }

    /// A message of an earlier process: what it may have done there binds as if it were done here.
    pub(super) fn on_resume(
        &mut self, now: Micros, m: Message, past: AttemptHistory, actions: &mut Vec<Action>,
    ) {
        let id = m.id;
        self.on_submit(now, Message { tenant: None, ..m }); // its share was charged when it came
        let Some(held) = self.held.get_mut(&id) else { return };
        (held.attempts, held.number, held.maybe_ran) =
            (past.attempts, past.attempts, past.first_possible_run);
        held.untried = past.attempts == 0;
        let lost =
            past.first_possible_run.is_some() && self.set.classes[held.class.0].effect == Effect::Unsafe;
        if lost || past.attempts >= held.max_attempts {
            self.end(now, id, None, actions);
        }
    }

    /// A call was chosen: what it takes of slots, pace and budgets.
    pub(super) fn commit(&mut self, now: Micros, id: MessageId, target: ReceiverId, joins: bool) {
        let (Some(m), Some(r)) = (self.held.get_mut(&id), self.receivers.get_mut(&target)) else { return };
        let call = self.calls.add(target, r.batch, joins);
        let copy = !m.out.is_empty();
        m.out.push(Attempt::new(m.number, target, r.zone, now, call));
        (m.attempts, m.number) = (m.attempts + 1, m.number + 1);
        // A copy may follow, once this one is late.
        let may = self.set.second_copies && self.set.classes[m.class.0].effect != Effect::Unsafe;
        if copy || !may {
            self.destinations.entry(m.destination).or_default().waiting.remove(&id);
        } else {
            self.agenda.look(m.destination, now.plus(Micros::from_secs(COPY_AFTER * r.slow_bar())));
        }
        self.copies = (self.copies + if copy { -1.0 } else { COPY_SHARE }).min(3.0); // so many at once
        if joins {
            return r.sends.back_mut().into_iter().for_each(|s| s.1 += EXTRA_WEIGHT);
        }
        r.note_send(now, call, self.set.collapse_window);
        let new_connection = r.connections.take(now, self.set.connection_idle_timeout);
        m.out.iter_mut().filter(|a| a.call == call).for_each(|a| a.new_connection = new_connection);
        if r.apart {
            r.pace.on_send(now);
        } else if let Some(d) = self.destinations.get_mut(&r.destination) {
            d.pace.on_send(now);
        }
    }

    /// Forgets a message, or marks it ended while an attempt is out, so that its key keeps waiting.
    pub(super) fn close(&mut self, id: MessageId) {
        let Some(m) = self.held.get_mut(&id) else { return };
        m.ended = true;
        if !m.out.is_empty() {
            // Of two copies the one that is still out holds a slot for nothing.
            let copies = m.out.iter().filter(|_| self.set.allow_cancel && self.set.second_copies);
            self.called_off.extend(copies.map(|a| Action::CancelAttempt { id, attempt: a.number }));
            return;
        }
        let next = m.key.as_ref().and_then(|k| self.turns.leave(k, id));
        if let Some(d) = self.destinations.get_mut(&m.destination) {
            d.waiting.remove(&id);
        }
        self.held.remove(&id);
        if let Some(to) = next.and_then(|n| self.held.get(&n)).map(|m| m.destination) {
            self.agenda.look(to, Micros(0)); // the next of the key has its turn
        }
    }

    /// Destinations with a receiver that is doubted: worth a look.
    pub fn unconfirmed_destinations(&self) -> impl Iterator<Item = DestinationId> {
        let doubted = |d: &Destination| {
            let mut known = d.receivers.iter().filter_map(|r| self.receivers.get(r));
            known.any(|r| r.listing == EntryState::Ready && r.doubted(d))
        };
        self.destinations.iter().filter(move |(_, d)| doubted(d)).map(|(id, _)| *id)
    }

    /// Any receiver that shares a fate with this one is doubted.
    pub(super) fn doubted(&self, id: ReceiverId) -> bool {
        let Some(r) = self.receivers.get(&id) else { return false };
        self.destinations.get(&r.destination).is_some_and(|d| self.in_doubt(r, d).next().is_some())
    }

    /// Receivers that a destination has now: those that have come and gone say nothing of the others.
    pub(super) fn routes(&self, d: &Destination) -> usize {
        let known = d.receivers.iter().filter_map(|r| self.receivers.get(r));
        known.filter(|r| r.here()).count().max(1)
    }

    /// The doubted receivers among those that share a fate with this one.
    pub(super) fn in_doubt<'a>(
        &'a self, r: &'a Receiver, d: &'a Destination,
    ) -> impl Iterator<Item = &'a Receiver> {
        let siblings = d.receivers.iter().filter_map(|s| self.receivers.get(s));
        siblings.filter(move |s| s.here() && (!r.apart || std::ptr::eq(*s, r)) && s.doubted(d))
    }

    /// When the calls out at a destination will have hung for too long.
    pub(super) fn silence_due(&self, id: DestinationId) -> Micros {
        let receivers = self.destinations.get(&id).into_iter().flat_map(|d| &d.receivers);
        let may_sicken = |r: &&Receiver| matches!(r.health, Health::Well | Health::Suspect { .. });
        let known = receivers.filter_map(|r| self.receivers.get(r)).filter(may_sicken);
        known.map(Receiver::silent_at).min().unwrap_or(NEVER)
    }

    /// Forgets what no rule and no message needs any more.
    pub(super) fn tidy(&mut self, now: Micros) {
        if now < self.tidy_at {
            return;
        }
        self.tidy_at = now.plus(TIDY_EVERY);
        self.turns.tidy(now);
        // A receiver that leaves the list may come again: its told wait and health stay for a while.
        let idle =
            |r: &Receiver| r.sends.back().is_none_or(|s| now.since(s.0) > FORGET) && r.calls.is_empty();
        self.receivers.retain(|_, r| r.listing != EntryState::Gone || r.pace.wait_until > now || !idle(r));
        for d in self.destinations.values_mut() {
            d.receivers.retain(|r| self.receivers.contains_key(r));
        }
        self.destinations
            .retain(|_, d| !d.receivers.is_empty() || !d.waiting.is_empty() || d.pace.wait_until > now);
    }

    /// Tells the other senders, so that a burst of them all counts as one; what is lost only makes it longer.
    pub(super) fn tell(
        &mut self, now: Micros, receiver: ReceiverId, news: PeerHint, actions: &mut Vec<Action>,
    ) {
        if news == PeerHint::Refused && now < self.tell_at {
            return;
        }
        if news == PeerHint::Refused {
            let every = self.scale.senders / NOTES_PER_S;
            self.tell_at = now.plus(Micros::from_secs(every.max(NOTE_GAP_S)));
        }
        actions.push(Action::SendPeerHint(news.encode(receiver)));
    }
}
