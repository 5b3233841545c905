//! The state of one sender, and the events that change it: list entries, messages, limits, retry-afters. No
//! receiver, retry, second copy or refusal is chosen here.

use super::*;

/// A receiver that left the list is forgotten once this time has passed since its last call.
const FORGET_AFTER: Micros = Micros(60_000_000);
const CLEAN_UP_INTERVAL: Micros = Micros(10_000_000);
/// Refusal hints of all senders together.
const REFUSAL_HINTS_PER_S: f64 = 25.0;
/// Least time between two refusal hints of one sender.
const MIN_REFUSAL_HINT_INTERVAL_S: f64 = 0.5;
/// Usual latency that a receiver is taken to have before its first delivery.
const INITIAL_LATENCY_S: f64 = 0.25;

/// The decisions of one sender.
#[derive(Clone, Debug)]
pub struct PolicyEngine {
    pub(super) settings: Settings,
    pub(super) tuning: ScaledTuning,
    pub(super) rng: Rng,
    pub(super) destinations: BTreeMap<DestinationId, Destination>,
    pub(super) receivers: BTreeMap<ReceiverId, Receiver>,
    pub(super) held: BTreeMap<MessageId, HeldMessage>,
    pub(super) key_queues: KeyQueues,
    pub(super) calls: CallsInFlight,
    /// When which destination is due for a decision. A decision covers only the destinations that are due.
    pub(super) schedule: DestinationSchedule,
    /// Moving share of the calls to any receiver that broke without an answer.
    pub(super) background_failures: f64,
    /// Destinations with messages that could be sent but for a free slot.
    pub(super) waiting_for_slot: BTreeSet<DestinationId>,
    /// What this sender has seen of the connection tables, for each kind of receiver.
    pub(super) connection_tables: BTreeMap<KindId, ConnectionTable>,
    /// Receivers whose idle connections get closed, unless the next decision uses them.
    pub(super) closing_idle: BTreeSet<ReceiverId>,
    pub(super) next_clean_up: Micros,
    /// No refusal hint is sent before this time.
    pub(super) next_refusal_hint: Micros,
    pub(super) tenant_buckets: Vec<LeakyBucket>,
    /// Number of second copies that may go.
    pub(super) second_copy_credit: f64,
    /// Attempts to cancel with the next decision.
    pub(super) cancellations: Vec<Action>,
    pub(super) list_refresh: ListRefresh,
    /// No attempt may be sent for now; see [`PolicyEngine::hold_sending`].
    pub(super) sending_held: bool,
    /// When the timer fires that was set last.
    pub(super) timer_at: Option<Micros>,
}

impl PolicyEngine {
    /// A sender that knows nothing but its settings. All random choices depend on `seed` alone.
    pub fn new(settings: Settings, seed: u64) -> PolicyEngine {
        PolicyEngine {
            tuning: ScaledTuning::new(&settings),
            rng: Rng(seed),
            destinations: BTreeMap::new(),
            receivers: BTreeMap::new(),
            held: BTreeMap::new(),
            key_queues: KeyQueues::default(),
            calls: CallsInFlight::default(),
            schedule: DestinationSchedule::default(),
            background_failures: 0.0,
            waiting_for_slot: BTreeSet::new(),
            connection_tables: BTreeMap::new(),
            closing_idle: BTreeSet::new(),
            next_clean_up: Micros(0),
            next_refusal_hint: Micros(0),
            tenant_buckets: vec![LeakyBucket::default(); settings.tenants.len()],
            second_copy_credit: 1.0, // the first copy may go before enough calls have been made
            cancellations: Vec::new(),
            list_refresh: ListRefresh::new(&settings),
            sending_held: false,
            timer_at: None,
            settings,
        }
    }

    /// Sets the classes of messages. They must begin with the present classes, since held messages refer to
    /// these.
    pub fn set_classes(&mut self, classes: &[ClassSettings]) {
        self.settings.classes = classes.to_vec();
    }

    /// Sets the only other settings that may change.
    pub fn set_bounds(&mut self, max_attempts: u32, max_held: u32) {
        (self.settings.max_attempts, self.settings.max_held) = (max_attempts, max_held);
    }

    /// Sends no attempt while `held`. Everything else goes on: messages end at their time, and the list is
    /// requested.
    pub fn hold_sending(&mut self, now: Micros, held: bool) {
        if std::mem::replace(&mut self.sending_held, held) && !held {
            let waiting = self.destinations.iter().filter(|(_, destination)| !destination.waiting.is_empty());
            waiting.for_each(|(id, _)| self.schedule.add(*id, now));
        }
    }

    /// Applies an event that happened at `now`. Call [`PolicyEngine::decide`] after the last event of a
    /// moment.
    pub fn on_event(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.list_refresh.on_event(&event);
        match event {
            Event::PersistedList(entries) | Event::FullList(entries) => self.on_list(entries, true),
            Event::CachedEntries(entries) | Event::ListChanges(entries) => self.on_list(entries, false),
            Event::ListFailed => self.list_refresh.failed(now, &mut self.rng),
            Event::ListRefused => self.list_refresh.refused(now, &mut self.rng),
            Event::ListSourceChanged => self.list_refresh.source_changed(),
            Event::Submit(message) => self.on_submit(now, message),
            Event::Resume(message, history) => self.on_resume(now, message, history, actions),
            Event::Outcome(outcome) if self.settings.load_reports => self.on_outcome(now, &outcome, actions),
            // Without load reports in the settings, nothing guarantees the meaning of such figures.
            Event::Outcome(outcome) => {
                self.on_outcome(
                    now,
                    &Outcome { limit_per_s: None, remaining_share: None, ..outcome },
                    actions,
                );
            }
            Event::RetryAfter(receiver, wait) => self.record_retry_after(now, receiver, wait),
            Event::PeerHint(data) => self.on_peer_hint(now, &data),
            Event::Withdrawn(id) => self.close(id),
            Event::TimerFired => self.timer_at = self.timer_at.filter(|t| *t > now),
        }
    }

    /// Records the limit that an answer reported. Without separate routes it is the limit of the whole
    /// destination, so that it is known for receivers as well that were just listed or have not answered yet.
    pub(super) fn record_limit(&mut self, outcome: &Outcome) {
        let limit = outcome.limit_per_s.filter(|l| *l > 0.0);
        let Some((receiver, limit)) = self.receivers.get(&outcome.receiver).zip(limit) else { return };
        let shared = self.destinations.get(&receiver.destination).filter(|_| !receiver.separate_route);
        let all = shared.map_or(vec![outcome.receiver], |d| d.receivers.clone());
        for id in all {
            if let Some(receiver) = self.receivers.get_mut(&id) {
                receiver.reported_limit = Some(limit);
            }
        }
    }

    /// Records a retry-after from a receiver. It never shortens one that still runs. Without separate routes
    /// it applies to the whole destination; the receiver keeps it as well, in case its destination later gets
    /// separate routes.
    pub(super) fn record_retry_after(&mut self, now: Micros, id: ReceiverId, wait: Micros) {
        let Some(receiver) = self.receivers.get_mut(&id).filter(|_| wait > Micros(0)) else { return };
        let until = now.plus(wait);
        receiver.pace.wait_until = receiver.pace.wait_until.max(until);
        if let Some(destination) =
            self.destinations.get_mut(&receiver.destination).filter(|_| !receiver.separate_route)
        {
            destination.pace.wait_until = destination.pace.wait_until.max(until);
        }
        self.schedule.add(receiver.destination, now); // messages whose deadline is earlier end at once
    }

    /// Applies list entries. In a `complete` list, a missing receiver is gone.
    pub(super) fn on_list(&mut self, entries: Vec<ListEntry>, complete: bool) {
        let mut changed = BTreeSet::new();
        if complete {
            self.receivers.values_mut().for_each(|r| r.list_state = EntryState::Gone);
        }
        for entry in entries {
            if entry.state == EntryState::Gone && !self.receivers.contains_key(&entry.receiver) {
                continue;
            }
            let kind = self.settings.kinds.get(entry.kind.0);
            let receiver = self
                .receivers
                .entry(entry.receiver)
                .or_insert_with(|| Receiver::new(&entry, kind, INITIAL_LATENCY_S));
            (receiver.list_state, receiver.weight) = (entry.state, entry.weight);
            let destination = self.destinations.entry(receiver.destination).or_default();
            // A destination that gets separate routes, or loses them, keeps the retry-afters received before.
            if entry.state != EntryState::Gone && receiver.kind != entry.kind {
                (receiver.kind, receiver.separate_route) =
                    (entry.kind, kind.is_some_and(|k| k.separate_routes));
                receiver.messages_per_call = kind.map_or(1, |k| k.messages_per_call.max(1));
                if !receiver.separate_route {
                    destination.pace.wait_until = receiver.wait_until(destination);
                }
            }
            if !destination.receivers.contains(&entry.receiver) {
                destination.receivers.push(entry.receiver);
            }
            changed.insert(entry.destination);
        }
        for id in changed {
            self.schedule.add(id, Micros(0));
        }
    }

    /// Accepts a message. It waits for its destination until a decision sends or ends it.
    pub(super) fn on_submit(&mut self, now: Micros, message: Message) {
        let known = self.held.contains_key(&message.id);
        let Some(class) = self.settings.classes.get(message.class.0).filter(|_| !known) else { return };
        let deadline = now.plus(message.time_left);
        let ordering_key = message.ordering_key.filter(|_| class.in_order);
        let target_time = now.plus(class.target_latency.since(class.give_up_after.since(message.time_left)));
        ordering_key.iter().for_each(|k| self.key_queues.push(k, message.id));
        let over_share = message.tenant.is_some_and(|t| self.exceeds_tenant_share(now, t));
        let destination = self.destinations.entry(message.destination).or_default();
        destination.offered_rate.add(now, self.tuning.offered_memory);
        destination.waiting.insert(message.id);
        self.schedule.add(message.destination, now);
        let (class, destination) = (message.class, message.destination);
        let max_attempts = self.settings.max_attempts;
        let held = HeldMessage {
            class,
            ordering_key,
            destination,
            over_share,
            deadline,
            target_time,
            max_attempts,
            ..HeldMessage::default()
        };
        self.held.insert(message.id, held);
    }

    /// Takes over a message of an earlier process. The attempts made there bind this process as its own do.
    pub(super) fn on_resume(
        &mut self, now: Micros, message: Message, history: AttemptHistory, actions: &mut Vec<Action>,
    ) {
        let id = message.id;
        // The message was charged to its tenant's share when it was submitted.
        self.on_submit(now, Message { tenant: None, ..message });
        let Some(held) = self.held.get_mut(&id) else { return };
        (held.attempts, held.next_attempt, held.first_possible_run) =
            (history.attempts, history.attempts, history.first_possible_run);
        held.untried = history.attempts == 0;
        let lost = history.first_possible_run.is_some()
            && self.settings.classes[held.class.0].effect == Effect::Unsafe;
        if lost || history.attempts >= held.max_attempts {
            self.end_undelivered(now, id, None, actions);
        }
    }

    /// Starts an attempt at the chosen receiver, in a call that it `joins` or in a new one, and charges
    /// slots, pace and budgets.
    pub(super) fn start_attempt(&mut self, now: Micros, id: MessageId, target: ReceiverId, joins: bool) {
        let (Some(message), Some(receiver)) = (self.held.get_mut(&id), self.receivers.get_mut(&target))
        else {
            return;
        };
        let call = self.calls.add(target, receiver.messages_per_call, joins);
        let second_copy = !message.in_flight.is_empty();
        message.in_flight.push(Attempt::new(message.next_attempt, target, receiver.zone, now, call));
        (message.attempts, message.next_attempt) = (message.attempts + 1, message.next_attempt + 1);
        // A second copy may follow once this attempt is late.
        let copy_allowed =
            self.settings.second_copies && self.settings.classes[message.class.0].effect != Effect::Unsafe;
        if second_copy || !copy_allowed {
            self.destinations.entry(message.destination).or_default().waiting.remove(&id);
        } else {
            self.schedule.add(
                message.destination,
                now.plus(Micros::from_secs(SECOND_COPY_DELAY_FACTOR * receiver.slow_threshold())),
            );
        }
        // At most 3 second copies can go at once.
        self.second_copy_credit =
            (self.second_copy_credit + if second_copy { -1.0 } else { SECOND_COPY_SHARE }).min(3.0);
        if joins {
            return receiver.recent_sends.back_mut().into_iter().for_each(|s| s.1 += EXTRA_MESSAGE_WEIGHT);
        }
        receiver.note_send(now, call, self.settings.collapse_window);
        let new_connection = receiver.connections.take(now, self.settings.connection_idle_timeout);
        message
            .in_flight
            .iter_mut()
            .filter(|a| a.call == call)
            .for_each(|a| a.new_connection = new_connection);
        if receiver.separate_route {
            receiver.pace.on_send(now);
        } else if let Some(destination) = self.destinations.get_mut(&receiver.destination) {
            destination.pace.on_send(now);
        }
    }

    /// Ends a message and forgets it. While an attempt is in flight, it is only marked as ended, so that the
    /// next message with its ordering key keeps waiting.
    pub(super) fn close(&mut self, id: MessageId) {
        let Some(message) = self.held.get_mut(&id) else { return };
        message.ended = true;
        if !message.in_flight.is_empty() {
            // The second of two copies is of no use any more and only takes a slot.
            let copies = message
                .in_flight
                .iter()
                .filter(|_| self.settings.allow_cancel && self.settings.second_copies);
            self.cancellations.extend(copies.map(|a| Action::CancelAttempt { id, attempt: a.number }));
            return;
        }
        let next = message.ordering_key.as_ref().and_then(|k| self.key_queues.remove(k, id));
        if let Some(destination) = self.destinations.get_mut(&message.destination) {
            destination.waiting.remove(&id);
        }
        self.held.remove(&id);
        if let Some(destination) = next.and_then(|n| self.held.get(&n)).map(|m| m.destination) {
            self.schedule.add(destination, Micros(0)); // the next message with the key may go
        }
    }

    /// Destinations with a listed receiver that is not known to be up and warm, for probes.
    pub fn unconfirmed_destinations(&self) -> impl Iterator<Item = DestinationId> {
        let unconfirmed = |destination: &Destination| {
            let mut receivers = destination.receivers.iter().filter_map(|r| self.receivers.get(r));
            receivers.any(|r| r.list_state == EntryState::Ready && r.unconfirmed(destination))
        };
        self.destinations.iter().filter(move |(_, d)| unconfirmed(d)).map(|(id, _)| *id)
    }

    /// Whether this receiver, or one whose health is judged together with its own, is unconfirmed.
    pub(super) fn any_unconfirmed(&self, id: ReceiverId) -> bool {
        let Some(receiver) = self.receivers.get(&id) else { return false };
        self.destinations
            .get(&receiver.destination)
            .is_some_and(|d| self.unconfirmed_siblings(receiver, d).next().is_some())
    }

    /// Number of receivers that a destination has at present; removed ones show nothing about the others.
    pub(super) fn receiver_count(&self, destination: &Destination) -> usize {
        let receivers = destination.receivers.iter().filter_map(|r| self.receivers.get(r));
        receivers.filter(|r| r.listed_or_busy()).count().max(1)
    }

    /// The unconfirmed ones among the receivers whose health is judged together with this receiver's, itself
    /// included: all receivers of the destination, unless this one is a separate route.
    pub(super) fn unconfirmed_siblings<'a>(
        &'a self, receiver: &'a Receiver, destination: &'a Destination,
    ) -> impl Iterator<Item = &'a Receiver> {
        let receivers = destination.receivers.iter().filter_map(|r| self.receivers.get(r));
        receivers.filter(move |sibling| {
            sibling.listed_or_busy()
                && (!receiver.separate_route || std::ptr::eq(*sibling, receiver))
                && sibling.unconfirmed(destination)
        })
    }

    /// When calls in flight at a destination will have hung for so long that a receiver becomes unhealthy.
    pub(super) fn next_hung_call(&self, id: DestinationId) -> Micros {
        let ids = self.destinations.get(&id).into_iter().flat_map(|d| &d.receivers);
        let not_yet_unhealthy = |r: &&Receiver| matches!(r.health, Health::Healthy | Health::Suspect { .. });
        let receivers = ids.filter_map(|r| self.receivers.get(r)).filter(not_yet_unhealthy);
        receivers.map(Receiver::hung_at).min().unwrap_or(NEVER)
    }

    /// Forgets what no rule and no message needs any more.
    pub(super) fn clean_up(&mut self, now: Micros) {
        if now < self.next_clean_up {
            return;
        }
        self.next_clean_up = now.plus(CLEAN_UP_INTERVAL);
        self.key_queues.clean_up(now);
        // A receiver that leaves the list may come back, so its retry-after and health are kept for a while.
        let unused = |receiver: &Receiver| {
            receiver.recent_sends.back().is_none_or(|s| now.since(s.0) > FORGET_AFTER)
                && receiver.calls.is_empty()
        };
        self.receivers
            .retain(|_, r| r.list_state != EntryState::Gone || r.pace.wait_until > now || !unused(r));
        for destination in self.destinations.values_mut() {
            destination.receivers.retain(|r| self.receivers.contains_key(r));
        }
        self.destinations
            .retain(|_, d| !d.receivers.is_empty() || !d.waiting.is_empty() || d.pace.wait_until > now);
    }

    /// Sends a hint to the other senders, so that refusals at all of them count as one burst. A lost hint
    /// only delays the start of rate control.
    pub(super) fn send_peer_hint(
        &mut self, now: Micros, receiver: ReceiverId, hint: PeerHint, actions: &mut Vec<Action>,
    ) {
        if hint == PeerHint::Refused && now < self.next_refusal_hint {
            return;
        }
        if hint == PeerHint::Refused {
            let interval = self.tuning.sender_count / REFUSAL_HINTS_PER_S;
            self.next_refusal_hint = now.plus(Micros::from_secs(interval.max(MIN_REFUSAL_HINT_INTERVAL_S)));
        }
        actions.push(Action::SendPeerHint(hint.encode(receiver)));
    }
}
