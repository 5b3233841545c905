//! The ledger: requests that are outstanding, and the policy engine that decides on them.

use super::classes::Classes;
use super::record::{AcceptedMessage, AttemptStatus, FinalStatus, Record, RecordedClass};
use super::recovery::OpenMessage;
use super::step::{AttemptDenied, AttemptOutcome, LedgerAction, RecoveryStats};
use super::{Ids, NameIndex};
use crate::PolicyEngine;
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet};

/// Adds the class of probes to the settings, which no client can name. One is worth more than any message: nothing is
/// lost with it, so it is the better trial of what may be out of order. A probe that has not gone after `left` ends. Where
/// one sender probes for all, messages hold back for a while from what it is trying.
pub fn add_probe_class(settings: &mut Settings, left: Micros, hold_back: Micros) -> ClassId {
    let class = ClassId(settings.classes.len());
    settings.classes.push(ClassSettings {
        target_latency: left,
        give_up_after: left,
        effect: Effect::Safe,
        value: 1e6,
        ..ClassSettings::default()
    });
    (settings.probe_class, settings.message_probe_delay) = (Some(class), hold_back);
    class
}

/// What ends so shortly before its deadline has used its time.
const TIME_UP: Micros = Micros(100_000);
/// An attempt may run on for so long after its request is over.
const ID_REST: Micros = Micros(2_000_000);

/// All requests between being taken on and being over. One clock serves it: wall-clock microseconds that never
/// run backwards while it lives.
#[derive(Debug)]
pub struct Ledger {
    policy: PolicyEngine,
    names: NameIndex,
    classes: Classes,
    /// The class that each request was taken on under.
    class_of: BTreeMap<u64, ClassId>,
    owed: BTreeMap<u64, OpenMessage>,
    /// Attempts that each request had, as the module counts them.
    attempts: BTreeMap<u64, u32>,
    next: u64,
    most: usize,
    /// Attempts of one request that may be out at once.
    most_out: usize,
    cancel: bool,
    /// Ids of hand-ins.
    ids: Ids,
    given: usize,
    /// Messages of an earlier process that have had no call yet, and what became of all of them.
    untried: BTreeSet<u64>,
    found: RecoveryStats,
    wakes: BTreeSet<Micros>,
    receipts: Vec<u64>,
    /// Probes that the module has: the destination.
    probes: BTreeMap<u64, DestinationId>,
    actions: Vec<Action>,
}

impl Ledger {
    /// A ledger with nothing in it.
    ///
    /// The `plain` destinations drop no repeat of a keyed message: there it is treated as an unsafe one.
    pub fn new(
        mut settings: Settings, names: NameIndex, plain: BTreeSet<DestinationId>, seed: u64,
    ) -> Ledger {
        let classes = Classes::new(settings.classes, names.classes.clone(), plain);
        settings.classes = classes.all().to_vec();
        Ledger {
            most: settings.max_held as usize,
            cancel: settings.allow_cancel,
            most_out: if settings.second_copies { 2 } else { 1 },
            ids: Ids::new(classes.longest().plus(ID_REST)),
            classes,
            class_of: BTreeMap::new(),
            policy: PolicyEngine::new(settings, seed),
            names,
            owed: BTreeMap::new(),
            attempts: BTreeMap::new(),
            next: 1,
            given: 0,
            untried: BTreeSet::new(),
            found: RecoveryStats::default(),
            wakes: BTreeSet::new(),
            receipts: Vec::new(),
            probes: BTreeMap::new(),
            actions: Vec::new(),
        }
    }

    /// Destinations that the module doubts.
    pub fn unconfirmed_destinations(&self) -> impl Iterator<Item = DestinationId> {
        self.policy.unconfirmed_destinations()
    }

    /// An endpoint of a destination in use is back in the list; see [`PolicyEngine::recall`].
    pub fn restore_receiver(&mut self, now: Micros, to: ReceiverId, repute: RetainedHealth) {
        self.policy.restore_receiver(now, to, repute);
    }

    /// An endpoint was restarted; see [`PolicyEngine::restarted`].
    pub fn on_receiver_restart(&mut self, now: Micros, to: ReceiverId) {
        self.policy.on_receiver_restart(now, to);
    }

    /// Has the module make one call to a destination, with nothing in it: it keeps every rule that a request's call
    /// keeps, and goes after them all. Nobody is owed its end, and no log has it. Its number.
    pub fn submit_probe(
        &mut self, now: Micros, class: ClassId, destination: DestinationId, left: Micros,
    ) -> u64 {
        let n = self.allocate_number();
        self.probes.insert(n, destination);
        let m = Message {
            id: MessageId(n),
            class,
            tenant: None,
            ordering_key: None,
            destination,
            time_left: left,
        };
        self.policy.on_event(now, Event::Submit(m), &mut self.actions);
        n
    }

    /// The probe by this number has not ended.
    pub fn probe_is_open(&self, n: u64) -> bool {
        self.probes.contains_key(&n)
    }

    /// A probe is not wanted any more; its call, if one is out, runs on.
    pub fn cancel_probe(&mut self, now: Micros, n: u64) {
        if self.probes.remove(&n).is_some() {
            self.policy.on_event(now, Event::Withdrawn(MessageId(n)), &mut self.actions);
        }
    }

    /// An endpoint told that nothing may go there before a time.
    pub fn on_retry_after(&mut self, now: Micros, to: ReceiverId, until: Micros) {
        self.policy.on_event(now, Event::RetryAfter(to, until.since(now)), &mut self.actions);
    }

    /// An attempt is about to leave; see [`PolicyEngine::leave`].
    pub fn recheck_send(&self, now: Micros, n: u64, attempt: u32, to: ReceiverId) -> SendRecheck {
        self.policy.recheck_send(now, MessageId(n), attempt, to)
    }

    /// What another sender was asked to tell of an endpoint that has this number here.
    pub fn on_peer_hint(&mut self, now: Micros, receiver: ReceiverId, news: &[u8]) {
        let id = &receiver.0.to_le_bytes()[..4];
        self.policy.on_event(now, Event::PeerHint([id, news].concat()), &mut self.actions);
    }

    /// Requests that the module has not ended.
    pub fn held_count(&self) -> usize {
        self.owed.len() - self.given
    }
    /// No further request may be taken on.
    pub fn is_full(&self) -> bool {
        self.held_count() >= self.most
    }
    /// An attempt may be called off.
    pub fn can_cancel_attempts(&self) -> bool {
        self.cancel
    }
    /// What became of the messages that a start found untried.
    pub fn recovery_stats(&self) -> RecoveryStats {
        self.found
    }
    /// Attempts that are out.
    pub fn attempts_in_flight(&self) -> usize {
        self.owed.values().map(|o| o.in_flight.len()).sum()
    }
    /// What is owed, for a new log.
    pub fn open_messages(&self) -> impl Iterator<Item = &OpenMessage> {
        self.owed.values()
    }
    /// One of them.
    pub fn get(&self, n: u64) -> Option<&OpenMessage> {
        self.owed.get(&n)
    }
    /// The class and tenant by these names; an empty tenant is none.
    pub fn knows_class_and_tenant(&self, class: &str, tenant: &str) -> bool {
        self.classes.is_named(class)
            && (tenant.is_empty() || self.names.tenants.is_empty() || self.names.tenants.contains_key(tenant))
    }
    /// The number of a zone; one that no settings name has none that anything else has.
    pub fn zone_id(&self, name: &str) -> ZoneId {
        ZoneId(self.names.zones.get(name).copied().unwrap_or(usize::MAX))
    }
    /// Takes note of the id of a hand-in. False if it came before and could still run, whoever sends it: a second
    /// request with it would be a second copy at an endpoint.
    pub fn remember_request_id(&mut self, now: Micros, id: &str) -> bool {
        self.ids.fresh(now, id)
    }
    /// When a request of this class is given up at the latest.
    pub fn latest_deadline(&self, now: Micros, class: &str) -> Micros {
        now.plus(self.classes.give_up(class).unwrap_or(Micros(u64::MAX)))
    }
    /// This request is lost once it may have run: it must not be repeated.
    pub fn unsafe_to_repeat(&self, n: u64) -> bool {
        self.effect(n) == Effect::Unsafe
    }
    /// The settings have changed. What is held keeps the class and the attempts that it was taken on under.
    pub fn reconfigure(&mut self, settings: &Settings, names: &NameIndex) {
        self.classes.replace(&settings.classes, &names.classes);
        self.ids.keep_for(self.classes.longest().plus(ID_REST));
        self.most = settings.max_held as usize;
        self.policy.set_classes(self.classes.all());
        self.policy.set_bounds(settings.max_attempts, settings.max_held);
    }
    /// A number for the next request.
    pub fn allocate_number(&mut self) -> u64 {
        self.next += 1;
        self.next - 1
    }

    /// The class by this name as it is now, for the record of a hand-in.
    pub fn current_class(&self, name: &str) -> Option<RecordedClass> {
        self.classes.now(name)
    }

    fn message(&mut self, now: Micros, t: &AcceptedMessage) -> Option<Message> {
        let known = self.classes.all().len();
        let class = self.classes.of(t)?;
        if self.classes.all().len() > known {
            self.policy.set_classes(self.classes.all());
        }
        Some(Message {
            id: MessageId(t.number),
            class,
            tenant: self.names.tenants.get(&t.tenant).map(|i| TenantId(*i)),
            ordering_key: None,
            destination: DestinationId(t.destination),
            time_left: t.deadline.since(now),
        })
    }

    /// Takes a request on. The caller has its record in the log.
    pub fn accept(&mut self, now: Micros, taken: AcceptedMessage) {
        let Some(m) = self.message(now, &taken) else { return };
        self.next = self.next.max(taken.number + 1);
        self.class_of.insert(taken.number, m.class);
        self.owed.insert(taken.number, OpenMessage { accepted: taken, ..OpenMessage::default() });
        self.policy.on_event(now, Event::Submit(m), &mut self.actions);
    }

    /// The times in the log are those of a wall clock, which may have been set back since: nothing has longer than its class
    /// gives from now on, and an attempt of the future was made at no known time, so that no window is open for it.
    fn bounded(&self, now: Micros, mut owed: OpenMessage) -> OpenMessage {
        let then =
            owed.accepted.recorded_class.map(|class| now.plus(ClassSettings::from(class).give_up_after));
        let latest = then.unwrap_or_else(|| self.latest_deadline(now, &owed.accepted.class));
        owed.accepted.deadline = owed.accepted.deadline.min(latest);
        if let Some((at, _)) = owed.first_possible_run.as_mut().filter(|(at, _)| *at > now) {
            *at = Micros(0);
        }
        owed
    }

    /// Takes over what an earlier process owed. True if its end was decided there and only needs telling.
    pub fn resume(&mut self, now: Micros, owed: OpenMessage) -> bool {
        let n = owed.accepted.number;
        self.next = self.next.max(n + 1);
        let owed = self.bounded(now, owed);
        let message = self.message(now, &owed.accepted);
        self.class_of.extend(message.as_ref().map(|m| (n, m.class)));
        self.ids.fresh(now, &owed.accepted.request_id);
        let maybe_ran = owed.first_possible_run.as_ref().map(|(at, z)| (*at, self.zone_id(z)));
        let past = AttemptHistory { attempts: owed.attempts, first_possible_run: maybe_ran };
        let given = owed.final_status.is_some();
        if !given && owed.attempts == 0 {
            self.found.untried += 1;
            if owed.accepted.deadline <= now.plus(TIME_UP) {
                self.found.expired_at_start += 1;
            } else {
                self.untried.insert(n);
            }
        }
        self.attempts.insert(n, owed.attempts);
        self.owed.insert(n, owed);
        self.given += usize::from(given);
        match message {
            _ if given => {}
            Some(m) => self.policy.on_event(now, Event::Resume(m, past), &mut self.actions),
            // Its class has left the settings: nothing can be decided on it any more.
            None => self.actions.push(Action::Fail(MessageId(n))),
        }
        given
    }

    /// The list, or word that it could not be had.
    pub fn on_list_event(&mut self, now: Micros, event: Event) {
        self.policy.on_event(now, event, &mut self.actions);
    }

    /// Has the module forget a destination for which nothing is held or out: what it was like, and what its endpoints
    /// were like. None if it cannot rest now.
    pub fn deactivate(
        &mut self, now: Micros, destination: u64,
    ) -> Option<(RetainedHealth, Vec<(ReceiverId, RetainedHealth)>)> {
        self.policy.deactivate(now, DestinationId(destination))
    }

    /// Takes a destination in that has rested; see [`PolicyEngine::wake`].
    pub fn activate(
        &mut self, now: Micros, destination: u64, whole: RetainedHealth,
        each: Vec<(ListEntry, RetainedHealth)>, assumed: f64,
    ) {
        self.policy.activate(now, DestinationId(destination), whole, each, assumed);
    }

    /// An attempt is about to be made: its record.
    ///
    /// # Errors
    /// It must not be made. What the module has decided is looked at again here, by what the log knows of the request.
    pub fn begin_attempt(
        &mut self, n: u64, attempt: u32, endpoint: &str, zone: &str, at: Micros,
    ) -> Result<Record, AttemptDenied> {
        let open =
            self.owed.get(&n).filter(|o| o.in_flight.len() < self.most_out && o.final_status.is_none());
        if !self.may_run(open.ok_or(AttemptDenied::NotOpen)?, zone, at) {
            return Err(AttemptDenied::RepeatForbidden);
        }
        let o = self.owed.get_mut(&n).ok_or(AttemptDenied::NotOpen)?;
        let (endpoint, zone) = (endpoint.to_owned(), zone.to_owned());
        let record = Record::Attempt { number: n, attempt, endpoint, zone, at };
        o.apply(&record);
        self.found.attempted += usize::from(self.untried.remove(&n));
        Ok(record)
    }

    /// The effect, group and window of its class allow that a request runs at an endpoint of this zone.
    fn may_run(&self, o: &OpenMessage, zone: &str, at: Micros) -> bool {
        let Some((sent, first_zone)) = o.in_flight.values().chain(&o.first_possible_run).min_by_key(|a| a.0)
        else {
            return true;
        };
        match self.effect(o.accepted.number) {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed { scope: group, window } => {
                at < sent.plus(window) && (group == DedupScope::Destination || zone == first_zone)
            }
        }
    }

    /// What a repeat of this request does.
    fn effect(&self, n: u64) -> Effect {
        self.classes.effect(self.class_of.get(&n).copied())
    }

    /// Until when the rules let an attempt go that the module has decided on.
    pub fn send_deadline(&self, n: u64, attempt: u32) -> Option<Micros> {
        self.policy.send_deadline(MessageId(n), attempt)
    }

    /// The attempt could not be put in the log, and was not made.
    pub fn undo_attempt(&mut self, n: u64, attempt: u32) {
        if let Some(o) = self.owed.get_mut(&n) {
            o.attempts = o.attempts.saturating_sub(1);
            o.in_flight.remove(&attempt);
        }
    }

    /// An attempt has ended. The record to keep, if any.
    pub fn end_attempt(&mut self, now: Micros, a: &AttemptOutcome) -> Option<Record> {
        // One call is all that a probe is.
        let probe = self.probes.remove(&a.number).is_some();
        self.on_retry_after(now, a.receiver, a.wait_until);
        let over = a.finished || a.verdict == Verdict::Delivered || probe;
        let outcome = Outcome {
            id: MessageId(a.number),
            attempt: a.attempt,
            receiver: a.receiver,
            verdict: a.verdict,
            elapsed: a.elapsed,
            finished: over,
            limit_per_s: a.load_report.0,
            remaining_share: a.load_report.1,
        };
        self.policy.on_event(now, Event::Outcome(outcome), &mut self.actions);
        if over {
            if let Some(o) =
                self.owed.get_mut(&a.number).filter(|o| o.accepted.wants_receipt && o.final_status.is_none())
            {
                o.final_status = Some(FinalStatus::Delivered);
                o.in_flight.clear();
                self.given += 1;
                self.receipts.push(a.number);
                return Some(Record::FinalStatus { number: a.number, status: FinalStatus::Delivered });
            }
            return self.close(a.number);
        }
        let o = self.owed.get_mut(&a.number).filter(|o| o.in_flight.contains_key(&a.attempt))?;
        let record =
            Record::Outcome { number: a.number, attempt: a.attempt, status: AttemptStatus::from(a.verdict) };
        o.apply(&record);
        Some(record)
    }

    /// Nothing more is owed. The record to keep.
    pub fn close(&mut self, n: u64) -> Option<Record> {
        let o = self.owed.remove(&n)?;
        self.given -= usize::from(o.final_status.is_some());
        self.untried.remove(&n);
        self.attempts.remove(&n);
        self.class_of.remove(&n);
        Some(Record::Closed(n))
    }

    /// Its client never heard that it was taken on.
    pub fn withdraw(&mut self, now: Micros, n: u64) -> Option<Record> {
        self.policy.on_event(now, Event::Withdrawn(MessageId(n)), &mut self.actions);
        self.close(n)
    }

    /// When [`Ledger::decide`] is due at the latest.
    pub fn decide_due(&self) -> Option<Micros> {
        self.wakes.first().copied()
    }

    /// Decides, after all that happened at one moment. With `send` false nothing new goes out.
    pub fn decide(&mut self, now: Micros, send: bool, steps: &mut Vec<LedgerAction>) {
        while self.wakes.first().is_some_and(|t| *t <= now) {
            self.wakes.pop_first();
            self.policy.on_event(now, Event::TimerFired, &mut self.actions);
        }
        if send {
            self.policy.decide(now, &mut self.actions);
        }
        steps.extend(
            self.receipts
                .drain(..)
                .map(|n| LedgerAction::ReportFinalStatus { number: n, status: FinalStatus::Delivered }),
        );
        for action in std::mem::take(&mut self.actions) {
            steps.extend(self.step(now, action));
        }
    }

    /// When the time of a request is over that waits for nothing but that: it has no attempt out.
    pub fn expiry_due(&self) -> Option<Micros> {
        self.waiting().map(|o| o.accepted.deadline).min()
    }

    /// Ends the requests whose time is over, where nothing more is decided: a process that ends sends nothing new, and owes
    /// its ends in time all the same.
    pub fn expire(&mut self, now: Micros, steps: &mut Vec<LedgerAction>) {
        let over: Vec<_> =
            self.waiting().filter(|o| o.accepted.deadline <= now).map(|o| o.accepted.number).collect();
        for n in over {
            let may_have_run = self.owed.get(&n).is_some_and(|o| o.first_possible_run.is_some());
            let end = if may_have_run { FinalStatus::Failed } else { FinalStatus::Returned(None) };
            steps.extend(self.end(now, n, end));
        }
    }

    fn waiting(&self) -> impl Iterator<Item = &OpenMessage> {
        self.owed.values().filter(|o| o.final_status.is_none() && o.in_flight.is_empty())
    }

    fn step(&mut self, now: Micros, action: Action) -> Option<LedgerAction> {
        Some(match action {
            Action::Send { id, receiver, timeout: patience } if self.probes.contains_key(&id.0) => {
                LedgerAction::Probe { number: id.0, receiver: receiver, timeout: patience }
            }
            Action::Refuse { id, .. } | Action::Fail(id) if self.probes.remove(&id.0).is_some() => {
                return None;
            }
            Action::Send { id, receiver, timeout: patience } => {
                let made = self.attempts.entry(id.0).or_insert(0);
                *made += 1;
                LedgerAction::Call { number: id.0, attempt: *made - 1, receiver: receiver, timeout: patience }
            }
            Action::Refuse { id, retry_after } => self.end(now, id.0, FinalStatus::Returned(retry_after))?,
            Action::Fail(id) => self.end(now, id.0, FinalStatus::Failed)?,
            Action::CancelAttempt { id, attempt } => LedgerAction::CancelAttempt { number: id.0, attempt },
            Action::CloseIdleConnections(to) => LedgerAction::CloseIdleConnections(to),
            Action::RequestList => LedgerAction::RequestList,
            Action::SetTimer(span) => {
                self.wakes.insert(now.plus(span));
                return None;
            }
            Action::LogUnhealthy { receiver, destination, verdict } => {
                LedgerAction::LogUnhealthy { receiver, destination, verdict }
            }
            Action::SendPeerHint(bytes) => {
                let (id, news) = bytes.split_first_chunk::<4>()?;
                LedgerAction::SendPeerHint(ReceiverId(u32::from_le_bytes(*id).into()), news.to_vec())
            }
        })
    }

    fn end(&mut self, now: Micros, n: u64, end: FinalStatus) -> Option<LedgerAction> {
        let o = self.owed.get_mut(&n).filter(|o| o.final_status.is_none())?;
        o.final_status = Some(end);
        self.given += 1;
        if self.untried.remove(&n) {
            let late = now.plus(TIME_UP) >= o.accepted.deadline;
            *(if late { &mut self.found.expired_unattempted } else { &mut self.found.ended_early }) += 1;
        }
        Some(LedgerAction::ReportFinalStatus { number: n, status: end })
    }
}
