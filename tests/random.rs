//! Runs seeded random scripts of unusual but legal events and checks every decision against the six rules.

mod common;
use common::*;
use onyxrock::PolicyEngine;
use onyxrock::interface::*;
use std::collections::BTreeMap;

/// An xorshift generator of random numbers.
struct Generator(u64);

impl Generator {
    /// A random number below `bound`.
    fn next_below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound
    }
}

/// What the checker knows of a message.
#[derive(Clone)]
struct TrackedMessage {
    class: usize,
    ordering_key: Option<String>,
    destination: u64,
    deadline: Micros,
    attempts: u32,
    /// Attempts that were held back before their first byte.
    held_back: u32,
    /// Attempts in flight: number, receiver, when it was decided, when it times out, and when its connection
    /// is open; `None` once the call has left.
    in_flight: Vec<(u32, u64, Micros, Micros, Option<Micros>)>,
    /// Time and zone of the first attempt that may have run.
    first_possible_run: Option<(Micros, usize)>,
    ended: bool,
}

/// Follows the messages of a script and checks the decisions of the policy.
#[derive(Default)]
struct Checker {
    messages: BTreeMap<u64, TrackedMessage>,
    /// Messages of each ordering key in the order of their delivery.
    key_queues: BTreeMap<String, Vec<u64>>,
    /// End of the cooldown of each ordering key, and the message that caused it.
    key_cooldowns: BTreeMap<String, (Micros, u64)>,
    /// End of the retry-after by [`retry_after_scope`].
    retry_after_until: BTreeMap<u64, Micros>,
    /// When each receiver that is draining or gone became so.
    not_ready_since: BTreeMap<u64, Micros>,
    /// Messages that the policy ended or the client withdrew.
    ended_count: usize,
    /// Second copies that were sent.
    copy_count: usize,
    /// Calls that left.
    departed: usize,
    /// Calls that left within a retry-after.
    departed_within_retry_after: usize,
    /// Calls that the recheck before the first byte held back.
    held_back_count: usize,
    /// All actions, as text.
    log: Vec<String>,
}

/// Three receivers to a destination; destination 1 has separate routes.
const RECEIVERS: u64 = 9;

fn list_entry(receiver: u64) -> ListEntry {
    let destination = receiver / 3;
    entry(receiver, destination, destination as usize, (receiver % 2) as usize)
}

/// The receiver or destination to which a retry-after of a receiver applies: receivers with separate routes
/// have their own.
fn retry_after_scope(receiver: u64) -> u64 {
    if receiver / 3 == 1 { 100 + receiver } else { receiver / 3 }
}

impl Checker {
    /// Checks an attempt that the policy decided and records it; its connection opens at `connected_at`.
    fn check_send(
        &mut self, now: Micros, settings: &Settings, id: u64, receiver: u64, timeout: Micros,
        connected_at: Micros,
    ) {
        let message = self.messages.get(&id).expect("a known message").clone();
        assert!(!message.ended, "rule 1: nothing is sent after the end");
        let may_copy = settings.second_copies && settings.classes[message.class].effect != Effect::Unsafe;
        assert!(
            message.in_flight.len() < if may_copy { 2 } else { 1 },
            "rule 2: no more attempts at the same time than the class allows"
        );
        assert!(message.in_flight.iter().all(|o| o.1 != receiver), "a copy goes to another receiver");
        assert!(message.attempts - message.held_back < settings.max_attempts, "no attempt beyond the limit");
        assert_eq!(receiver / 3, message.destination, "only receivers of the destination");
        assert!(now.plus(timeout) <= message.deadline, "rule 1: the call ends before the message does");
        let not_ready_since = self.not_ready_since.get(&receiver);
        assert!(
            not_ready_since.is_none_or(|t| now.since(*t) <= ms(1000)),
            "rule 3: nothing is sent to a receiver that has been draining for over a second"
        );
        let wait_until =
            self.retry_after_until.get(&retry_after_scope(receiver)).copied().unwrap_or_default();
        assert!(now >= wait_until, "rule 6: nothing is sent within a retry-after");
        let in_flight = message.in_flight.iter().map(|o| (o.2, (o.1 % 2) as usize));
        if let Some((sent_at, zone)) =
            message.first_possible_run.into_iter().chain(in_flight).min_by_key(|f| f.0)
        {
            match settings.classes[message.class].effect {
                Effect::Safe => {}
                Effect::Unsafe => panic!("rule 2: an unsafe message that may have run was sent again"),
                Effect::Keyed { scope, window } => {
                    assert!(now.since(sent_at) <= window, "rule 2: inside the deduplication window");
                    assert!(
                        scope == DedupScope::Destination || (receiver % 2) as usize == zone,
                        "rule 2: inside the deduplication scope"
                    );
                }
            }
        }
        if let Some(key) = &message.ordering_key {
            assert_eq!(
                self.key_queues[key].first(),
                Some(&id),
                "rule 5: messages of a key are sent in order"
            );
            let (until, owner) = self.key_cooldowns.get(key).copied().unwrap_or((Micros(0), id));
            assert!(owner == id || now >= until, "rule 5: the cooldown of the key is kept");
        }
        let message = self.messages.get_mut(&id).expect("a known message");
        message.in_flight.push((message.attempts, receiver, now, now.plus(timeout), Some(connected_at)));
        message.attempts += 1;
    }

    /// Checks that the policy may end a message now, and records the end.
    fn check_end(&mut self, now: Micros, settings: &Settings, id: u64, refused: bool) {
        let message = self.messages.get_mut(&id).expect("a known message");
        assert!(!message.ended, "rule 1: a message ends once");
        assert!(now <= message.deadline.plus(ms(20)), "rule 1: a message ends by its deadline");
        if refused {
            let effect = settings.classes[message.class].effect;
            let keyed_by_destination = matches!(effect, Effect::Keyed { scope: DedupScope::Destination, .. });
            assert!(
                message.first_possible_run.is_none() || effect == Effect::Safe || keyed_by_destination,
                "rule 2: a message that may have run is refused only if its effect may be repeated"
            );
        }
        message.ended = true;
        self.ended_count += 1;
        self.release_key(id);
    }

    /// Removes a message that has ended and has no attempt in flight from the queue of its ordering key.
    fn release_key(&mut self, id: u64) {
        let message = &self.messages[&id];
        if message.ended
            && message.in_flight.is_empty()
            && let Some(key) = message.ordering_key.clone()
        {
            self.key_queues.entry(key).or_default().retain(|queued| *queued != id);
        }
    }

    /// Records a retry-after of a receiver.
    fn record_retry_after(&mut self, now: Micros, receiver: u64, wait: Micros) {
        let until = self.retry_after_until.entry(retry_after_scope(receiver)).or_default();
        *until = (*until).max(now.plus(wait));
    }

    /// Lets the calls leave whose connections are open, with `recheck` only those that the policy allows.
    /// Returns the outcomes of the others.
    fn recheck_sends(
        &mut self, now: Micros, settings: &Settings, policy: &PolicyEngine, recheck: bool,
    ) -> Vec<Event> {
        let connected = |message: &TrackedMessage| {
            message.in_flight.iter().filter(|o| o.4.is_some_and(|at| at <= now)).map(|o| (o.0, o.1)).collect()
        };
        let calls: Vec<(u64, Vec<(u32, u64)>)> =
            self.messages.iter().map(|(id, message)| (*id, connected(message))).collect();
        let mut events = Vec::new();
        for (id, (attempt, receiver)) in
            calls.into_iter().flat_map(|(id, calls)| calls.into_iter().map(move |call| (id, call)))
        {
            let decision = policy.recheck_send(now, MessageId(id), attempt, ReceiverId(receiver));
            let message = self.messages.get_mut(&id).expect("a known message");
            if decision == SendRecheck::Allowed || !recheck {
                let call =
                    message.in_flight.iter_mut().find(|o| o.0 == attempt).expect("an attempt in flight");
                call.4 = None;
                self.departed += 1;
                self.departed_within_retry_after += usize::from(
                    self.retry_after_until
                        .get(&retry_after_scope(receiver))
                        .is_some_and(|until| now < *until),
                );
                continue;
            }
            let ended = decision == SendRecheck::MessageEnded;
            message.held_back += u32::from(!ended);
            self.held_back_count += usize::from(!ended);
            let verdict = if ended { Verdict::Moot } else { Verdict::HeldBack };
            events.push(self.outcome(now, settings, id, attempt, verdict, 0.0));
        }
        events
    }

    /// Ends an attempt and builds the event of its outcome. `report` below 0.5 stands for a response without
    /// a load report.
    fn outcome(
        &mut self, now: Micros, settings: &Settings, id: u64, attempt: u32, verdict: Verdict, report: f64,
    ) -> Event {
        let message = self.messages.get_mut(&id).expect("a known message");
        let index = message.in_flight.iter().position(|o| o.0 == attempt).expect("an attempt in flight");
        let (_, receiver, sent_at, ..) = message.in_flight.remove(index);
        if verdict == Verdict::Delivered {
            message.ended = true;
        }
        let may_have_run = matches!(verdict, Verdict::TimedOut | Verdict::Reset | Verdict::Cancelled);
        if may_have_run || verdict == Verdict::Error {
            let this = (sent_at, (receiver % 2) as usize);
            message.first_possible_run =
                message.first_possible_run.into_iter().chain([this]).min_by_key(|f| f.0);
        }
        if let (true, Some(key)) = (may_have_run, message.ordering_key.clone()) {
            self.key_cooldowns.insert(key, (now.plus(settings.key_cooldown), id));
        }
        let finished = message.ended;
        if let Verdict::Full(Some(retry_after)) = verdict {
            self.record_retry_after(now, receiver, retry_after);
        }
        self.release_key(id);
        let receiver = ReceiverId(receiver);
        let (id, elapsed) = (MessageId(id), now.since(sent_at));
        // Some responses report a limit; the remaining share may be up to 1.2, more than a limit can have.
        let (limit_per_s, remaining_share) =
            if report < 0.5 { (None, None) } else { (Some(report * 9.0), Some(report * 1.2)) };
        Event::Outcome(Outcome {
            id,
            attempt,
            receiver,
            verdict,
            elapsed,
            finished,
            limit_per_s,
            remaining_share,
        })
    }
}

fn random_verdict(generator: &mut Generator) -> Verdict {
    match generator.next_below(12) {
        0 => Verdict::Error,
        1 => Verdict::Full(None),
        2 => Verdict::Full(Some(ms(generator.next_below(2500) + 1))),
        3 => Verdict::ConnectFailed,
        4 => Verdict::Reset,
        5 => Verdict::Moot,
        _ => Verdict::Delivered,
    }
}

/// A full list or changes, with random states of the receivers.
fn random_list_event(generator: &mut Generator, now: Micros, checker: &mut Checker) -> Event {
    let full = generator.next_below(3) == 0;
    let mut entries = Vec::new();
    for receiver in 0..RECEIVERS {
        if !full && generator.next_below(3) > 0 {
            continue;
        }
        let state = [EntryState::Ready, EntryState::Ready, EntryState::Draining, EntryState::Gone]
            [generator.next_below(4) as usize];
        if state == EntryState::Ready {
            checker.not_ready_since.remove(&receiver);
        } else {
            checker.not_ready_since.entry(receiver).or_insert(now);
        }
        if !(full && state == EntryState::Gone) {
            entries.push(ListEntry { state, ..list_entry(receiver) });
        }
    }
    if full { Event::FullList(entries) } else { Event::ListChanges(entries) }
}

/// Whether an attempt never gets a response.
fn gets_no_response(id: u64, attempt: u32) -> bool {
    (id + u64::from(attempt)).is_multiple_of(5)
}

/// The settings of one of two deployments.
fn random_settings(generator: &mut Generator) -> Settings {
    let first = Settings {
        slots: 1 + generator.next_below(8) as u32,
        max_held: 30,
        subscribe_to_list: true,
        ..settings()
    };
    // The second deployment: responses report limits, the list has no weights, and messages that are safe to
    // repeat may have two attempts at the same time.
    let second = Settings { second_copies: true, peer_hints: false, weights: Weights::Off, ..first.clone() };
    if generator.next_below(2) == 0 { first } else { second }
}

/// Runs the script of a seed. With `recheck`, calls leave only if the policy allows them again when their
/// connection is open.
fn run_script(seed: u64, recheck: bool) -> Checker {
    let mut generator = Generator(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let settings = random_settings(&mut generator);
    let mut checker = Checker::default();
    let mut policy = PolicyEngine::new(settings.clone(), seed);
    let mut now = Micros(generator.next_below(1 << 50));
    let mut next_id = 1;
    let mut cancelled = Vec::new();
    let mut events = vec![Event::PersistedList((0..RECEIVERS).map(list_entry).collect())];
    for step in 0..3000 {
        events.extend(checker.recheck_sends(now, &settings, &policy, recheck));
        if step < 2000 && generator.next_below(3) == 0 {
            let class = generator.next_below(4) as usize;
            let ordering_key = (class == ORDERED).then(|| format!("k{}", generator.next_below(3)));
            let time_left = ms(100 + generator.next_below(20_000));
            let destination = generator.next_below(3);
            let deadline = now.plus(time_left);
            if let Some(key) = &ordering_key {
                checker.key_queues.entry(key.clone()).or_default().push(next_id);
            }
            let message = TrackedMessage {
                class,
                ordering_key: ordering_key.clone(),
                destination,
                deadline,
                attempts: 0,
                held_back: 0,
                in_flight: Vec::new(),
                first_possible_run: None,
                ended: false,
            };
            checker.messages.insert(next_id, message);
            events.push(Event::Submit(Message {
                id: MessageId(next_id),
                class: ClassId(class),
                tenant: None,
                ordering_key,
                destination: DestinationId(destination),
                time_left,
            }));
            next_id += 1;
        }
        if generator.next_below(60) == 0 {
            events.push(random_list_event(&mut generator, now, &mut checker));
        }
        if generator.next_below(80) == 0 {
            events.push(Event::ListFailed);
        }
        // The withdrawal precedes the outcomes, since an outcome may end the message at the same time.
        if generator.next_below(40) == 0 && next_id > 1 {
            let id = 1 + generator.next_below(next_id - 1);
            let live = checker.messages.get_mut(&id).is_some_and(|m| !std::mem::replace(&mut m.ended, true));
            checker.release_key(id);
            checker.ended_count += usize::from(live);
            events.push(Event::Withdrawn(MessageId(id)));
        }
        let calls: Vec<_> =
            checker.messages.iter().flat_map(|(id, m)| m.in_flight.iter().map(|o| (*id, *o))).collect();
        for (id, (attempt, receiver, _, due, connected_at)) in calls {
            let report = if settings.second_copies { generator.next_below(100) as f64 / 100.0 } else { 0.0 };
            if let Some(index) = cancelled.iter().position(|c| *c == (id, attempt)) {
                cancelled.swap_remove(index);
                events.push(checker.outcome(now, &settings, id, attempt, Verdict::Cancelled, report));
            } else if now >= due {
                let verdict = if connected_at.is_some() { Verdict::ConnectFailed } else { Verdict::TimedOut };
                events.push(checker.outcome(now, &settings, id, attempt, verdict, report));
            } else if connected_at.is_some() {
                continue;
            } else if !(settings.second_copies && gets_no_response(id, attempt))
                && generator.next_below(6) == 0
            {
                let verdict = random_verdict(&mut generator);
                // The head of the response was complete and carried a retry-after, but the body was damaged:
                // the call may have run.
                if verdict == Verdict::Error && generator.next_below(2) == 0 {
                    let retry_after = ms(generator.next_below(1500) + 1);
                    checker.record_retry_after(now, receiver, retry_after);
                    events.push(Event::RetryAfter(ReceiverId(receiver), retry_after));
                }
                events.push(checker.outcome(now, &settings, id, attempt, verdict, report));
            }
        }
        // An event of an unknown message must be ignored.
        events.push(Event::Withdrawn(MessageId(1 << 40)));
        events.push(Event::TimerFired);
        let mut actions = Vec::new();
        for event in events.drain(..) {
            policy.on_event(now, event, &mut actions);
        }
        policy.decide(now, &mut actions);
        for action in actions {
            checker.log.push(format!("{action:?}"));
            match action {
                Action::Send { id, receiver, timeout } => {
                    let handshake =
                        if generator.next_below(4) == 0 { ms(generator.next_below(1000)) } else { Micros(0) };
                    checker.check_send(now, &settings, id.0, receiver.0, timeout, now.plus(handshake));
                    checker.copy_count += usize::from(checker.messages[&id.0].in_flight.len() == 2);
                    let in_flight = checker.messages.values().map(|m| m.in_flight.len()).sum::<usize>();
                    assert!(in_flight <= settings.slots as usize * 4, "a call carries at most four messages");
                }
                Action::Refuse { id, .. } => checker.check_end(now, &settings, id.0, true),
                Action::Fail(id) => checker.check_end(now, &settings, id.0, false),
                Action::CancelAttempt { id, attempt } => {
                    let message = &checker.messages[&id.0];
                    assert!(
                        settings.allow_cancel && attempt < message.attempts,
                        "only an attempt that was sent is cancelled"
                    );
                    let repeatable = settings.classes[message.class].effect != Effect::Unsafe && attempt < 2;
                    assert!(
                        message.ended || repeatable,
                        "only the attempt of an ended or repeatable message is cancelled"
                    );
                    cancelled.push((id.0, attempt));
                }
                _ => {}
            }
        }
        now = now.plus(ms(10));
        for (id, message) in &checker.messages {
            assert!(
                message.ended || now <= message.deadline.plus(ms(30)),
                "rule 1: message {id} did not end by its deadline"
            );
        }
    }
    checker
}

#[test]
fn random_scripts_break_no_rule() {
    let (mut sends, mut copies, mut held_back) = (0, 0, 0);
    for seed in 1..24 {
        let checker = run_script(seed, true);
        assert_eq!(
            checker.departed_within_retry_after, 0,
            "none of {} calls leaves within a retry-after",
            checker.departed
        );
        held_back += checker.held_back_count;
        sends += checker.log.iter().filter(|l| l.starts_with("Send")).count();
        assert!(checker.messages.values().any(|m| m.ended));
        copies += checker.copy_count;
    }
    assert!(copies >= 4, "second copies are sent: {copies}");
    assert!(sends > 2_000, "the scripts send: {sends}");
    assert!(held_back > 50, "the recheck holds calls back: {held_back}");
    assert!(
        run_script(1, false).departed_within_retry_after > 0,
        "without the recheck some calls leave within a retry-after"
    );
}

#[test]
fn same_events_give_the_same_actions() {
    assert_eq!(run_script(77, true).log, run_script(77, true).log);
}

#[test]
fn invalid_settings_lose_no_message() {
    let empty = Settings {
        slots: 0,
        max_held: 0,
        max_attempts: 0,
        sender_count: 0,
        collapse_multiple: f64::NAN,
        collapse_window: Micros(0),
        cold_start_share: -1.0,
        warm_up_time: Micros(0),
        list_poll_interval: Micros(0),
        ..settings()
    };
    let huge = Settings {
        slots: u32::MAX,
        collapse_multiple: f64::INFINITY,
        collapse_window: Micros(u64::MAX),
        ..settings()
    };
    for invalid in [empty, huge] {
        let mut harness = Harness::new(invalid, vec![ListEntry { weight: -3.0, ..entry(1, 1, 77, 99) }]);
        for id in 1..50 {
            harness.submit(id, SAFE, 1);
        }
        for _ in 0..300 {
            harness.advance(ms(100));
            for call in harness.in_flight.clone() {
                harness.end_attempt(call.id, Verdict::Error);
            }
        }
        let ended = harness.refused.len() + harness.failed.len();
        assert_eq!(ended, 49, "each message ends");
    }
}
