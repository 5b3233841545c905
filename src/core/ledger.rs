//! The ledger: all open messages, and the policy engine that decides about them.

use super::actions::{AttemptDenied, AttemptOutcome, LedgerAction, RecoveryStats, Sending};
use super::classes::Classes;
use super::message_memory::MessageMemory;
use super::record::{AcceptedMessage, AttemptStatus, FinalStatus, Record, RecordedClass};
use super::recovery::OpenMessage;
use super::{NameIndex, RecentIds, RequestIdDigest};
use crate::PolicyEngine;
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet};

/// Adds the class of probes to the settings; no client can name it. A probe has a higher value than any
/// message: a failed probe loses nothing, so it is the better test of a receiver that may be unhealthy. A
/// probe that was not sent within `time_left` ends. Where one sender probes for all, ordinary messages wait
/// for `message_probe_delay` before they try a receiver that it may be probing.
pub fn add_probe_class(settings: &mut Settings, time_left: Micros, message_probe_delay: Micros) -> ClassId {
    let class = ClassId(settings.classes.len());
    settings.classes.push(ClassSettings {
        target_latency: time_left,
        give_up_after: time_left,
        effect: Effect::Safe,
        value: 1e6,
        ..ClassSettings::default()
    });
    (settings.probe_class, settings.message_probe_delay) = (Some(class), message_probe_delay);
    class
}

/// A message that ends less than this before its deadline counts as expired.
const EXPIRY_MARGIN: Micros = Micros(100_000);
/// How long an attempt may still run at an endpoint after its message has ended.
const RUN_AFTER_END: Micros = Micros(2_000_000);

/// All messages from acceptance until nothing more has to be done for them. All its times come from one
/// clock: wall-clock microseconds that never run backwards during the lifetime of the ledger.
#[derive(Debug)]
pub struct Ledger {
    policy: PolicyEngine,
    names: NameIndex,
    classes: Classes,
    /// The class under which each message was accepted.
    class_of: BTreeMap<u64, ClassId>,
    open: BTreeMap<u64, OpenMessage>,
    /// What the open messages take.
    memory: MessageMemory,
    /// Attempts made for each message, as the policy engine counts them.
    attempts: BTreeMap<u64, u32>,
    next_number: u64,
    max_held: usize,
    /// Maximum number of attempts in flight for one message.
    max_in_flight: usize,
    allow_cancel: bool,
    /// Request ids of recent submissions.
    request_ids: RecentIds,
    /// Number of open messages that have a final status.
    with_final_status: usize,
    /// How many of them wait for a client of each tenant to acknowledge their receipt.
    unacknowledged: BTreeMap<String, usize>,
    /// Messages of an earlier process that have had no attempt yet.
    untried: BTreeSet<u64>,
    recovery_stats: RecoveryStats,
    /// Times of the timers that the policy engine requested.
    timers: BTreeSet<Micros>,
    /// Messages that their last attempt has ended and whose client is to be sent a receipt.
    receipts: Vec<(u64, FinalStatus)>,
    /// Probes that the policy engine holds, with their destinations.
    probes: BTreeMap<u64, DestinationId>,
    actions: Vec<Action>,
}

/// The final status of a message that this attempt has ended: a delivery, or a response that nothing more is owed for a
/// message that has not run there. Another attempt may have run all the same.
fn final_status(message: &OpenMessage, ended: &AttemptOutcome) -> FinalStatus {
    let others_in_flight = message.in_flight.keys().any(|attempt| *attempt != ended.attempt);
    if ended.verdict == Verdict::Delivered {
        FinalStatus::Delivered
    } else if others_in_flight || message.first_possible_run.is_some() {
        FinalStatus::Failed
    } else {
        FinalStatus::Returned(None)
    }
}

impl Ledger {
    /// An empty ledger.
    ///
    /// `without_dedup` are the destinations that do not drop the repeat of a keyed message: a keyed message
    /// for one of them is treated as unsafe to repeat.
    pub fn new(
        mut settings: Settings, names: NameIndex, without_dedup: BTreeSet<DestinationId>, seed: u64,
    ) -> Ledger {
        let classes = Classes::new(settings.classes, names.classes.clone(), without_dedup);
        settings.classes = classes.all().to_vec();
        Ledger {
            max_held: settings.max_held as usize,
            allow_cancel: settings.allow_cancel,
            max_in_flight: if settings.second_copies { 2 } else { 1 },
            request_ids: RecentIds::new(classes.max_give_up_after().plus(RUN_AFTER_END)),
            classes,
            class_of: BTreeMap::new(),
            policy: PolicyEngine::new(settings, seed),
            names,
            open: BTreeMap::new(),
            memory: MessageMemory::new(usize::MAX),
            attempts: BTreeMap::new(),
            next_number: 1,
            with_final_status: 0,
            unacknowledged: BTreeMap::new(),
            untried: BTreeSet::new(),
            recovery_stats: RecoveryStats::default(),
            timers: BTreeSet::new(),
            receipts: Vec::new(),
            probes: BTreeMap::new(),
            actions: Vec::new(),
        }
    }

    /// Destinations that the policy engine does not know to be healthy.
    pub fn unconfirmed_destinations(&self) -> impl Iterator<Item = DestinationId> {
        self.policy.unconfirmed_destinations()
    }

    /// An endpoint of an active destination is back in the list; see [`PolicyEngine::restore_receiver`].
    pub fn restore_receiver(&mut self, now: Micros, receiver: ReceiverId, retained: RetainedHealth) {
        self.policy.restore_receiver(now, receiver, retained);
    }

    /// An endpoint was restarted; see [`PolicyEngine::on_receiver_restart`].
    pub fn on_receiver_restart(&mut self, now: Micros, receiver: ReceiverId) {
        self.policy.on_receiver_restart(now, receiver);
    }

    /// Submits a probe, one empty call to a destination, and returns its number. The probe obeys every rule
    /// that the attempts of messages obey. It has no client that waits for its end, and no record in the log.
    pub fn submit_probe(
        &mut self, now: Micros, class: ClassId, destination: DestinationId, time_left: Micros,
    ) -> u64 {
        let number = self.allocate_number();
        self.probes.insert(number, destination);
        let message = Message {
            id: MessageId(number),
            class,
            tenant: None,
            ordering_key: None,
            destination,
            time_left,
        };
        self.policy.on_event(now, Event::Submit(message), &mut self.actions);
        number
    }

    /// Whether the probe with this number has not ended.
    pub fn probe_is_open(&self, number: u64) -> bool {
        self.probes.contains_key(&number)
    }

    /// Withdraws a probe; its call, if one is in flight, is not cancelled.
    pub fn cancel_probe(&mut self, now: Micros, number: u64) {
        if self.probes.remove(&number).is_some() {
            self.policy.on_event(now, Event::Withdrawn(MessageId(number)), &mut self.actions);
        }
    }

    /// An endpoint sent a retry-after: no call may be sent to it before `wait_until`.
    pub fn on_retry_after(&mut self, now: Micros, receiver: ReceiverId, wait_until: Micros) {
        self.policy.on_event(now, Event::RetryAfter(receiver, wait_until.since(now)), &mut self.actions);
    }

    /// Whether an attempt may still be sent, right before that; see [`PolicyEngine::recheck_send`].
    pub fn recheck_send(&self, now: Micros, number: u64, attempt: u32, receiver: ReceiverId) -> SendRecheck {
        self.policy.recheck_send(now, MessageId(number), attempt, receiver)
    }

    /// The hint of another sender about an endpoint, which is `receiver` here.
    pub fn on_peer_hint(&mut self, now: Micros, receiver: ReceiverId, hint: &[u8]) {
        let id = &receiver.0.to_le_bytes()[..4];
        self.policy.on_event(now, Event::PeerHint([id, hint].concat()), &mut self.actions);
    }

    /// Number of messages that the policy engine has not ended.
    pub fn held_count(&self) -> usize {
        self.open.len() - self.with_final_status
    }
    /// Whether no further message may be accepted.
    pub fn is_full(&self) -> bool {
        self.held_count() >= self.max_held
    }
    /// Whether no further message with a receipt may be accepted for this tenant: its clients have as many receipts to
    /// acknowledge as messages may be held, and those take the room of others.
    pub fn is_full_of_receipts(&self, tenant: &str) -> bool {
        let most = self.max_held.min(self.memory.max_finished_of_tenant());
        self.unacknowledged.get(tenant).is_some_and(|count| *count >= most)
    }
    /// Bounds the memory of open messages. Messages of an earlier process are owed their end and may exceed it.
    pub fn set_max_message_bytes(&mut self, max_bytes: usize) {
        self.memory.set_bound(max_bytes);
    }
    /// Whether there is memory for one more message.
    pub fn has_memory_for(&self, message: &AcceptedMessage) -> bool {
        self.memory.has_room_for(message)
    }
    /// Bytes of memory that the open messages take.
    pub fn message_bytes(&self) -> usize {
        self.memory.used_bytes()
    }
    /// Bounds the number of request ids of ended messages that are remembered.
    pub fn set_max_request_ids(&mut self, max_ids: usize) {
        self.request_ids.set_max_ids(max_ids);
    }
    /// Whether an attempt in flight may be cancelled.
    pub fn can_cancel_attempts(&self) -> bool {
        self.allow_cancel
    }
    /// How the messages ended that an earlier process left untried.
    pub fn recovery_stats(&self) -> RecoveryStats {
        self.recovery_stats
    }
    /// Number of attempts in flight, over all messages.
    pub fn attempts_in_flight(&self) -> usize {
        self.open.values().map(|message| message.in_flight.len()).sum()
    }
    /// All open messages, for the records of a new log.
    pub fn open_messages(&self) -> impl Iterator<Item = &OpenMessage> {
        self.open.values()
    }
    /// The open message with this number.
    pub fn get(&self, number: u64) -> Option<&OpenMessage> {
        self.open.get(&number)
    }
    /// Whether the settings have this class and tenant. An empty tenant stands for none and is always known.
    pub fn knows_class_and_tenant(&self, class: &str, tenant: &str) -> bool {
        self.classes.is_named(class)
            && (tenant.is_empty() || self.names.tenants.is_empty() || self.names.tenants.contains_key(tenant))
    }
    /// The id of a zone. A zone that the settings do not name gets an id that no named zone has.
    pub fn zone_id(&self, name: &str) -> ZoneId {
        ZoneId(self.names.zones.get(name).copied().unwrap_or(usize::MAX))
    }
    /// Whether an earlier submission with this request id, of whichever client, was accepted and could still
    /// run: a second message with it would be a second copy at an endpoint.
    pub fn knows_request_id(&mut self, now: Micros, id: RequestIdDigest) -> bool {
        self.request_ids.contains(now, id)
    }
    /// Records the request id of an accepted submission. Returns false if it was known.
    pub fn remember_request_id(&mut self, now: Micros, id: RequestIdDigest) -> bool {
        self.request_ids.insert(now, id)
    }
    /// The request ids that are known; those that matter most come first.
    pub fn request_ids(&self) -> impl Iterator<Item = RequestIdDigest> {
        self.request_ids.iter()
    }
    /// The latest deadline that a message of this class may have if it is accepted now.
    pub fn latest_deadline(&self, now: Micros, class: &str) -> Micros {
        now.plus(self.classes.give_up_after(class).unwrap_or(Micros(u64::MAX)))
    }
    /// Whether a message must not be attempted again once it may have run.
    pub fn unsafe_to_repeat(&self, number: u64) -> bool {
        self.effect(number) == Effect::Unsafe
    }
    /// Applies changed settings. Open messages keep the class and the maximum number of attempts under which
    /// they were accepted.
    pub fn reconfigure(&mut self, settings: &Settings, names: &NameIndex) {
        self.classes.replace(&settings.classes, &names.classes);
        self.request_ids.extend_retention(self.classes.max_give_up_after().plus(RUN_AFTER_END));
        self.max_held = settings.max_held as usize;
        self.policy.set_classes(self.classes.all());
        self.policy.set_bounds(settings.max_attempts, settings.max_held);
    }
    /// Returns an unused number for a message or probe.
    pub fn allocate_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number - 1
    }

    /// Whether receivers drop the repeat of a message of this class by its key.
    pub fn is_keyed(&self, class: &str) -> bool {
        self.classes.is_keyed(class)
    }

    /// The current settings of the class with this name, for the record of a submission.
    pub fn current_class(&self, name: &str) -> Option<RecordedClass> {
        self.classes.current(name)
    }

    /// The message as the policy engine needs it; none if its class has left the settings.
    fn message(&mut self, now: Micros, accepted: &AcceptedMessage) -> Option<Message> {
        let known_classes = self.classes.all().len();
        let class = self.classes.resolve(accepted)?;
        if self.classes.all().len() > known_classes {
            self.policy.set_classes(self.classes.all());
        }
        Some(Message {
            id: MessageId(accepted.number),
            class,
            tenant: self.names.tenants.get(&accepted.tenant).map(|index| TenantId(*index)),
            ordering_key: None,
            destination: DestinationId(accepted.destination),
            time_left: accepted.deadline.since(now),
        })
    }

    /// Accepts a message. The caller has already written its record to the log.
    pub fn accept(&mut self, now: Micros, accepted: AcceptedMessage) {
        let Some(message) = self.message(now, &accepted) else { return };
        self.next_number = self.next_number.max(accepted.number + 1);
        self.class_of.insert(accepted.number, message.class);
        self.request_ids.message_opened(RequestIdDigest::of(&accepted.request_id));
        self.memory.add(accepted.memory_bytes());
        self.open.insert(accepted.number, OpenMessage { accepted, ..OpenMessage::default() });
        self.policy.on_event(now, Event::Submit(message), &mut self.actions);
    }

    /// Limits the times of a recovered message. They come from a wall clock that may have been set back
    /// since: no message gets more time than its class gives from now on, and an attempt with a time in the
    /// future counts as sent at an unknown time, so that its deduplication window has passed.
    fn bounded(&self, now: Micros, mut message: OpenMessage) -> OpenMessage {
        let by_recorded_class =
            message.accepted.recorded_class.map(|class| now.plus(ClassSettings::from(class).give_up_after));
        let latest = by_recorded_class.unwrap_or_else(|| self.latest_deadline(now, &message.accepted.class));
        message.accepted.deadline = message.accepted.deadline.min(latest);
        if let Some((at, _)) = message.first_possible_run.as_mut().filter(|(at, _)| *at > now) {
            *at = Micros(0);
        }
        message
    }

    /// Takes over an open message of an earlier process. Returns true if that process had already decided its
    /// final status, which only has to be reported.
    pub fn resume(&mut self, now: Micros, message: OpenMessage) -> bool {
        let number = message.accepted.number;
        self.next_number = self.next_number.max(number + 1);
        let open = self.bounded(now, message);
        let message = self.message(now, &open.accepted);
        self.class_of.extend(message.as_ref().map(|message| (number, message.class)));
        let id = RequestIdDigest::of(&open.accepted.request_id);
        self.request_ids.insert(now, id);
        self.request_ids.message_opened(id);
        let first_possible_run = open.first_possible_run.as_ref().map(|(at, zone)| (*at, self.zone_id(zone)));
        let history = AttemptHistory { attempts: open.attempts, first_possible_run };
        let has_final_status = open.final_status.is_some();
        if !has_final_status && open.attempts == 0 {
            self.recovery_stats.untried += 1;
            if open.accepted.deadline <= now.plus(EXPIRY_MARGIN) {
                self.recovery_stats.expired_at_start += 1;
            } else {
                self.untried.insert(number);
            }
        }
        self.attempts.insert(number, open.attempts);
        let status = open.final_status;
        self.memory.add(open.memory_bytes());
        self.open.insert(number, open);
        if let Some(status) = status {
            self.note_final_status(number, status);
        }
        match message {
            _ if has_final_status => {}
            Some(message) => {
                self.policy.on_event(now, Event::Resume(message, history), &mut self.actions);
            }
            // Its class has left the settings, so the policy engine cannot decide about it any more.
            None => self.actions.push(Action::Fail(MessageId(number))),
        }
        has_final_status
    }

    /// Passes on an event about the endpoint list: its content, or the failure of a list call.
    pub fn on_list_event(&mut self, now: Micros, event: Event) {
        self.policy.on_event(now, event, &mut self.actions);
    }

    /// Removes a destination without messages and calls from the policy engine. Returns its retained health
    /// and that of its endpoints; none if the destination cannot be deactivated now.
    pub fn deactivate(
        &mut self, now: Micros, destination: u64,
    ) -> Option<(RetainedHealth, Vec<(ReceiverId, RetainedHealth)>)> {
        self.policy.deactivate(now, DestinationId(destination))
    }

    /// Activates an inactive destination; see [`PolicyEngine::activate`].
    pub fn activate(
        &mut self, now: Micros, destination: u64, retained: RetainedHealth,
        receivers: Vec<(ListEntry, RetainedHealth)>, assumed_per_s: f64,
    ) {
        self.policy.activate(now, DestinationId(destination), retained, receivers, assumed_per_s);
    }

    /// Begins an attempt and returns its record.
    ///
    /// # Errors
    /// The attempt must not be made. This checks the decision of the policy engine again, by what the log
    /// knows about the message.
    pub fn begin_attempt(
        &mut self, number: u64, attempt: u32, endpoint: &str, zone: &str, at: Micros,
    ) -> Result<Record, AttemptDenied> {
        let open = self
            .open
            .get(&number)
            .filter(|message| message.in_flight.len() < self.max_in_flight && message.final_status.is_none());
        if !self.may_run(open.ok_or(AttemptDenied::NotOpen)?, zone, at) {
            return Err(AttemptDenied::RepeatForbidden);
        }
        let message = self.open.get_mut(&number).ok_or(AttemptDenied::NotOpen)?;
        let (endpoint, zone) = (endpoint.to_owned(), zone.to_owned());
        let record = Record::Attempt { number, attempt, endpoint, zone, at };
        message.apply(&record);
        self.recovery_stats.attempted += usize::from(self.untried.remove(&number));
        Ok(record)
    }

    /// Whether the effect of its class, with scope and window, allows that a message runs at an endpoint of
    /// this zone.
    fn may_run(&self, message: &OpenMessage, zone: &str, at: Micros) -> bool {
        let Some((first_sent, first_zone)) =
            message.in_flight.values().chain(&message.first_possible_run).min_by_key(|attempt| attempt.0)
        else {
            return true;
        };
        match self.effect(message.accepted.number) {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed { scope, window } => {
                at < first_sent.plus(window) && (scope == DedupScope::Destination || zone == first_zone)
            }
        }
    }

    /// What happens when this message runs a second time.
    fn effect(&self, number: u64) -> Effect {
        self.classes.effect(self.class_of.get(&number).copied())
    }

    /// Until when the rules allow that an attempt which the policy engine decided is sent.
    pub fn send_deadline(&self, number: u64, attempt: u32) -> Option<Micros> {
        self.policy.send_deadline(MessageId(number), attempt)
    }

    /// Reverts [`Ledger::begin_attempt`]: its record could not be written to the log, and the attempt was not
    /// made.
    pub fn undo_attempt(&mut self, number: u64, attempt: u32) {
        if let Some(message) = self.open.get_mut(&number) {
            message.attempts = message.attempts.saturating_sub(1);
            message.in_flight.remove(&attempt);
        }
    }

    /// Ends an attempt. Returns the record to keep, if any.
    pub fn end_attempt(&mut self, now: Micros, ended: &AttemptOutcome) -> Option<Record> {
        // A probe makes only one call.
        let is_probe = self.probes.remove(&ended.number).is_some();
        self.on_retry_after(now, ended.receiver, ended.wait_until);
        let finished = ended.finished || ended.verdict == Verdict::Delivered || is_probe;
        let outcome = Outcome {
            id: MessageId(ended.number),
            attempt: ended.attempt,
            receiver: ended.receiver,
            verdict: ended.verdict,
            elapsed: ended.elapsed,
            finished,
            limit_per_s: ended.load_report.0,
            remaining_share: ended.load_report.1,
        };
        self.policy.on_event(now, Event::Outcome(outcome), &mut self.actions);
        if finished {
            if let Some(message) = self
                .open
                .get_mut(&ended.number)
                .filter(|message| message.accepted.wants_receipt && message.final_status.is_none())
            {
                let status = final_status(message, ended);
                message.in_flight.clear();
                self.note_final_status(ended.number, status);
                self.receipts.push((ended.number, status));
                return Some(Record::FinalStatus { number: ended.number, status });
            }
            return self.close(ended.number);
        }
        let message = self
            .open
            .get_mut(&ended.number)
            .filter(|message| message.in_flight.contains_key(&ended.attempt))?;
        let record = Record::Outcome {
            number: ended.number,
            attempt: ended.attempt,
            status: AttemptStatus::from(ended.verdict),
        };
        message.apply(&record);
        Some(record)
    }

    /// Removes a message for which nothing more has to be done. Returns the record to keep.
    pub fn close(&mut self, number: u64) -> Option<Record> {
        let message = self.open.remove(&number)?;
        self.memory.remove(message.memory_bytes());
        self.request_ids.message_closed(RequestIdDigest::of(&message.accepted.request_id));
        self.forget_final_status(&message);
        self.untried.remove(&number);
        self.attempts.remove(&number);
        self.class_of.remove(&number);
        Some(Record::Closed(number))
    }

    /// Withdraws a message whose client never learned that it was accepted. Returns the record to keep.
    pub fn withdraw(&mut self, now: Micros, number: u64) -> Option<Record> {
        self.policy.on_event(now, Event::Withdrawn(MessageId(number)), &mut self.actions);
        self.close(number)
    }

    /// The latest time at which [`Ledger::decide`] must be called.
    pub fn decide_due(&self) -> Option<Micros> {
        self.timers.first().copied()
    }

    /// Decides, after all events of the same moment.
    pub fn decide(&mut self, now: Micros, sending: Sending, actions: &mut Vec<LedgerAction>) {
        while self.timers.first().is_some_and(|at| *at <= now) {
            self.timers.pop_first();
            self.policy.on_event(now, Event::TimerFired, &mut self.actions);
        }
        if sending != Sending::Stopped {
            self.policy.hold_sending(now, sending == Sending::Held);
            self.policy.decide(now, &mut self.actions);
        }
        actions.extend(
            self.receipts
                .drain(..)
                .map(|(number, status)| LedgerAction::ReportFinalStatus { number, status }),
        );
        for action in std::mem::take(&mut self.actions) {
            actions.extend(self.ledger_action(now, action));
        }
    }

    /// The earliest deadline of the messages that have no attempt in flight and no final status; see
    /// [`Ledger::expire`].
    pub fn expiry_due(&self) -> Option<Micros> {
        self.waiting_messages().map(|message| message.accepted.deadline).min()
    }

    /// Ends the messages whose deadline has passed while sending is stopped: a process that shuts down sends
    /// nothing new, but must still end its messages in time.
    pub fn expire(&mut self, now: Micros, actions: &mut Vec<LedgerAction>) {
        let expired: Vec<_> = self
            .waiting_messages()
            .filter(|message| message.accepted.deadline <= now)
            .map(|message| message.accepted.number)
            .collect();
        for number in expired {
            let may_have_run =
                self.open.get(&number).is_some_and(|message| message.first_possible_run.is_some());
            let status = if may_have_run { FinalStatus::Failed } else { FinalStatus::Returned(None) };
            actions.extend(self.set_final_status(now, number, status));
        }
    }

    /// Messages without a final status that have no attempt in flight.
    fn waiting_messages(&self) -> impl Iterator<Item = &OpenMessage> {
        self.open.values().filter(|message| message.final_status.is_none() && message.in_flight.is_empty())
    }

    fn ledger_action(&mut self, now: Micros, action: Action) -> Option<LedgerAction> {
        Some(match action {
            Action::Send { id, receiver, timeout } if self.probes.contains_key(&id.0) => {
                LedgerAction::Probe { number: id.0, receiver, timeout }
            }
            Action::Refuse { id, .. } | Action::Fail(id) if self.probes.remove(&id.0).is_some() => {
                return None;
            }
            Action::Send { id, receiver, timeout } => {
                let attempts = self.attempts.entry(id.0).or_insert(0);
                *attempts += 1;
                LedgerAction::Call { number: id.0, attempt: *attempts - 1, receiver, timeout }
            }
            Action::Refuse { id, retry_after } => {
                self.set_final_status(now, id.0, FinalStatus::Returned(retry_after))?
            }
            Action::Fail(id) => self.set_final_status(now, id.0, FinalStatus::Failed)?,
            Action::CancelAttempt { id, attempt } => LedgerAction::CancelAttempt { number: id.0, attempt },
            Action::CloseIdleConnections(receiver) => LedgerAction::CloseIdleConnections(receiver),
            Action::RequestList => LedgerAction::RequestList,
            Action::SetTimer(span) => {
                self.timers.insert(now.plus(span));
                return None;
            }
            Action::LogUnhealthy { receiver, destination, verdict } => {
                LedgerAction::LogUnhealthy { receiver, destination, verdict }
            }
            Action::SendPeerHint(bytes) => {
                let (id, hint) = bytes.split_first_chunk::<4>()?;
                LedgerAction::SendPeerHint(ReceiverId(u32::from_le_bytes(*id).into()), hint.to_vec())
            }
        })
    }

    fn set_final_status(&mut self, now: Micros, number: u64, status: FinalStatus) -> Option<LedgerAction> {
        let message = self.open.get(&number).filter(|message| message.final_status.is_none())?;
        let expired = now.plus(EXPIRY_MARGIN) >= message.accepted.deadline;
        self.note_final_status(number, status);
        if self.untried.remove(&number) {
            *(if expired {
                &mut self.recovery_stats.expired_unattempted
            } else {
                &mut self.recovery_stats.ended_early
            }) += 1;
        }
        Some(LedgerAction::ReportFinalStatus { number, status })
    }

    /// Notes the final status of an open message, which had none here.
    fn note_final_status(&mut self, number: u64, status: FinalStatus) {
        let Some(message) = self.open.get_mut(&number) else { return };
        self.memory.remove(message.memory_bytes());
        message.finish(status);
        self.memory.add(message.memory_bytes());
        self.with_final_status += 1;
        if message.accepted.wants_receipt {
            *self.unacknowledged.entry(message.accepted.tenant.clone()).or_default() += 1;
        }
    }

    /// A message is not open any more.
    fn forget_final_status(&mut self, message: &OpenMessage) {
        if message.final_status.is_none() {
            return;
        }
        self.with_final_status -= 1;
        let tenant = &message.accepted.tenant;
        if let Some(count) = self.unacknowledged.get_mut(tenant).filter(|_| message.accepted.wants_receipt) {
            *count -= 1;
            if *count == 0 {
                self.unacknowledged.remove(tenant);
            }
        }
    }
}
