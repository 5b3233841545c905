//! Seeded random scripts of odd but legal events; every decision is checked against the rules.

mod common;
use common::*;
use onyxrock::PolicyEngine;
use onyxrock::interface::*;
use std::collections::BTreeMap;

struct Dice(u64);

impl Dice {
    fn below(&mut self, n: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % n
    }
}

#[derive(Clone)]
struct Known {
    class: usize,
    key: Option<String>,
    destination: u64,
    deadline: Micros,
    attempts: u32,
    /// Those that were held back.
    held_back: u32,
    /// Attempts out: their numbers, receivers, when they went and when they end; and when the connection is up over
    /// which they will leave, until they have.
    out: Vec<(u32, u64, Micros, Micros, Option<Micros>)>,
    doubt: Option<(Micros, usize)>,
    ended: bool,
}

#[derive(Default)]
struct World {
    messages: BTreeMap<u64, Known>,
    order: BTreeMap<String, Vec<u64>>,
    rest: BTreeMap<String, (Micros, u64)>,
    waits: BTreeMap<u64, Micros>,
    told_off: BTreeMap<u64, Micros>,
    ends: usize,
    copies: usize,
    /// Calls that left, those that did within a wait, and those that the gate held back.
    left: usize,
    early: usize,
    held_back: usize,
    log: Vec<String>,
}

const RECEIVERS: u64 = 9; // three to a destination; destination 1 has routes apart

fn place(receiver: u64) -> ListEntry {
    let destination = receiver / 3;
    entry(receiver, destination, destination as usize, (receiver % 2) as usize)
}

fn wait_key(receiver: u64) -> u64 {
    if receiver / 3 == 1 { 100 + receiver } else { receiver / 3 }
}

impl World {
    fn check_send(
        &mut self, now: Micros, set: &Settings, id: u64, receiver: u64, patience: Micros, up: Micros,
    ) {
        let m = self.messages.get(&id).expect("a known message").clone();
        assert!(!m.ended, "rule 1: nothing is sent after the end");
        let copies = set.second_copies && set.classes[m.class].effect != Effect::Unsafe;
        assert!(m.out.len() < if copies { 2 } else { 1 }, "rule 2: no more attempts at once than may be");
        assert!(m.out.iter().all(|o| o.1 != receiver), "a copy goes to another receiver");
        assert!(m.attempts - m.held_back < set.max_attempts, "no attempt beyond the limit");
        assert_eq!(receiver / 3, m.destination, "only receivers of the destination");
        assert!(now.plus(patience) <= m.deadline, "rule 1: the call ends before the message does");
        let off = self.told_off.get(&receiver);
        assert!(off.is_none_or(|t| now.since(*t) <= ms(1000)), "rule 3: drains are kept");
        let wait = self.waits.get(&wait_key(receiver)).copied().unwrap_or_default();
        assert!(now >= wait, "rule 6: waits are heeded");
        let out = m.out.iter().map(|o| (o.2, (o.1 % 2) as usize));
        if let Some((sent, zone)) = m.doubt.into_iter().chain(out).min_by_key(|f| f.0) {
            match set.classes[m.class].effect {
                Effect::Safe => {}
                Effect::Unsafe => panic!("rule 2: an unsafe message that may have run went again"),
                Effect::Keyed { scope: group, window } => {
                    assert!(now.since(sent) <= window, "rule 2: inside the window");
                    assert!(
                        group == DedupScope::Destination || (receiver % 2) as usize == zone,
                        "rule 2: in the group"
                    );
                }
            }
        }
        if let Some(k) = &m.key {
            assert_eq!(self.order[k].first(), Some(&id), "rule 5: in turn");
            let (until, owner) = self.rest.get(k).copied().unwrap_or((Micros(0), id));
            assert!(owner == id || now >= until, "rule 5: the key rests");
        }
        let m = self.messages.get_mut(&id).expect("a known message");
        m.out.push((m.attempts, receiver, now, now.plus(patience), Some(up)));
        m.attempts += 1;
    }

    fn end(&mut self, now: Micros, set: &Settings, id: u64, refused: bool) {
        let m = self.messages.get_mut(&id).expect("a known message");
        assert!(!m.ended, "rule 1: one final answer");
        assert!(now <= m.deadline.plus(ms(20)), "rule 1: in time");
        if refused {
            let effect = set.classes[m.class].effect;
            let keyed_all = matches!(effect, Effect::Keyed { scope: DedupScope::Destination, .. });
            assert!(
                m.doubt.is_none() || effect == Effect::Safe || keyed_all,
                "rule 2: harmless refusals only"
            );
        }
        m.ended = true;
        self.ends += 1;
        self.settle(id);
    }

    /// A message that is over and has no call out leaves its key's turn.
    fn settle(&mut self, id: u64) {
        let m = &self.messages[&id];
        if m.ended
            && m.out.is_empty()
            && let Some(k) = m.key.clone()
        {
            self.order.entry(k).or_default().retain(|q| *q != id);
        }
    }

    fn told(&mut self, now: Micros, receiver: u64, wait: Micros) {
        let until = self.waits.entry(wait_key(receiver)).or_default();
        *until = (*until).max(now.plus(wait));
    }

    /// Asks the gate for the calls whose connections are up, or lets all go. What is held back has its outcome.
    fn leave(&mut self, now: Micros, set: &Settings, policy: &PolicyEngine, gate: bool) -> Vec<Event> {
        let up = |m: &Known| {
            m.out.iter().filter(|o| o.4.is_some_and(|up| up <= now)).map(|o| (o.0, o.1)).collect()
        };
        let all: Vec<(u64, Vec<(u32, u64)>)> = self.messages.iter().map(|(id, m)| (*id, up(m))).collect();
        let mut events = Vec::new();
        for (id, (attempt, receiver)) in
            all.into_iter().flat_map(|(id, up)| up.into_iter().map(move |u| (id, u)))
        {
            let says = policy.recheck_send(now, MessageId(id), attempt, ReceiverId(receiver));
            let m = self.messages.get_mut(&id).expect("a known message");
            if says == SendRecheck::Allowed || !gate {
                let call = m.out.iter_mut().find(|o| o.0 == attempt).expect("a call is out");
                call.4 = None;
                self.left += 1;
                self.early +=
                    usize::from(self.waits.get(&wait_key(receiver)).is_some_and(|until| now < *until));
                continue;
            }
            let over = says == SendRecheck::MessageEnded;
            m.held_back += u32::from(!over);
            self.held_back += usize::from(!over);
            let verdict = if over { Verdict::Moot } else { Verdict::HeldBack };
            events.push(self.outcome(now, set, id, attempt, verdict, 0.0));
        }
        events
    }

    fn outcome(
        &mut self, now: Micros, set: &Settings, id: u64, attempt: u32, verdict: Verdict, report: f64,
    ) -> Event {
        let m = self.messages.get_mut(&id).expect("a known message");
        let place = m.out.iter().position(|o| o.0 == attempt).expect("a call is out");
        let (_, receiver, sent, ..) = m.out.remove(place);
        if verdict == Verdict::Delivered {
            m.ended = true;
        }
        let unsure = matches!(verdict, Verdict::TimedOut | Verdict::Reset | Verdict::Cancelled);
        if unsure || verdict == Verdict::Error {
            let this = (sent, (receiver % 2) as usize);
            m.doubt = m.doubt.into_iter().chain([this]).min_by_key(|f| f.0);
        }
        if let (true, Some(k)) = (unsure, m.key.clone()) {
            self.rest.insert(k, (now.plus(set.key_cooldown), id));
        }
        let finished = m.ended;
        if let Verdict::Full(Some(w)) = verdict {
            self.told(now, receiver, w);
        }
        self.settle(id);
        let receiver = ReceiverId(receiver);
        let (id, elapsed) = (MessageId(id), now.since(sent));
        // Some tell of a limit, and of no share that could be left of one.
        let (limit, left) =
            if report < 0.5 { (None, None) } else { (Some(report * 9.0), Some(report * 1.2)) };
        Event::Outcome(Outcome {
            id,
            attempt,
            receiver,
            verdict,
            elapsed,
            finished,
            limit_per_s: limit,
            remaining_share: left,
        })
    }
}

fn random_verdict(dice: &mut Dice) -> Verdict {
    match dice.below(12) {
        0 => Verdict::Error,
        1 => Verdict::Full(None),
        2 => Verdict::Full(Some(ms(dice.below(2500) + 1))),
        3 => Verdict::ConnectFailed,
        4 => Verdict::Reset,
        5 => Verdict::Moot,
        _ => Verdict::Delivered,
    }
}

fn random_list(dice: &mut Dice, now: Micros, world: &mut World) -> Event {
    let whole = dice.below(3) == 0;
    let mut entries = Vec::new();
    for r in 0..RECEIVERS {
        if !whole && dice.below(3) > 0 {
            continue;
        }
        let listing = [EntryState::Ready, EntryState::Ready, EntryState::Draining, EntryState::Gone]
            [dice.below(4) as usize];
        if listing == EntryState::Ready {
            world.told_off.remove(&r);
        } else {
            world.told_off.entry(r).or_insert(now);
        }
        if !(whole && listing == EntryState::Gone) {
            entries.push(ListEntry { state: listing, ..place(r) });
        }
    }
    if whole { Event::FullList(entries) } else { Event::ListChanges(entries) }
}

/// Some attempts hear nothing at all.
fn hangs(id: u64, attempt: u32) -> bool {
    (id + u64::from(attempt)).is_multiple_of(5)
}

/// What a deployment allows, as its settings say it.
fn deployments(dice: &mut Dice) -> Settings {
    let one =
        Settings { slots: 1 + dice.below(8) as u32, max_held: 30, subscribe_to_list: true, ..settings() };
    // Another: answers report limits, the list tells of none, and what is safe to repeat may go twice at once.
    let other = Settings { second_copies: true, peer_hints: false, weights: Weights::Off, ..one.clone() };
    if dice.below(2) == 0 { one } else { other }
}

/// With `gate`, calls leave only where it lets them.
fn play(seed: u64, gate: bool) -> World {
    let mut dice = Dice(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let set = deployments(&mut dice);
    let mut world = World::default();
    let mut policy = PolicyEngine::new(set.clone(), seed);
    let mut now = Micros(dice.below(1 << 50));
    let mut next = 1;
    let mut called_off = Vec::new();
    let mut events = vec![Event::PersistedList((0..RECEIVERS).map(place).collect())];
    for step in 0..3000 {
        events.extend(world.leave(now, &set, &policy, gate));
        if step < 2000 && dice.below(3) == 0 {
            let class = dice.below(4) as usize;
            let key = (class == ORDERED).then(|| format!("k{}", dice.below(3)));
            let left = ms(100 + dice.below(20_000));
            let destination = dice.below(3);
            let deadline = now.plus(left);
            if let Some(k) = &key {
                world.order.entry(k.clone()).or_default().push(next);
            }
            let known = Known {
                class,
                key: key.clone(),
                destination,
                deadline,
                attempts: 0,
                held_back: 0,
                out: Vec::new(),
                doubt: None,
                ended: false,
            };
            world.messages.insert(next, known);
            events.push(Event::Submit(Message {
                id: MessageId(next),
                class: ClassId(class),
                tenant: None,
                ordering_key: key,
                destination: DestinationId(destination),
                time_left: left,
            }));
            next += 1;
        }
        if dice.below(60) == 0 {
            events.push(random_list(&mut dice, now, &mut world));
        }
        if dice.below(80) == 0 {
            events.push(Event::ListFailed);
        }
        // Before the outcomes: one of them may end the message in the same breath.
        if dice.below(40) == 0 && next > 1 {
            let id = 1 + dice.below(next - 1);
            let live = world.messages.get_mut(&id).is_some_and(|m| !std::mem::replace(&mut m.ended, true));
            world.settle(id);
            world.ends += usize::from(live);
            events.push(Event::Withdrawn(MessageId(id)));
        }
        let out: Vec<_> = world.messages.iter().flat_map(|(id, m)| m.out.iter().map(|o| (*id, *o))).collect();
        for (id, (attempt, receiver, _, due, up)) in out {
            let report = if set.second_copies { dice.below(100) as f64 / 100.0 } else { 0.0 };
            if let Some(off) = called_off.iter().position(|c| *c == (id, attempt)) {
                called_off.swap_remove(off);
                events.push(world.outcome(now, &set, id, attempt, Verdict::Cancelled, report));
            } else if now >= due {
                let verdict = if up.is_some() { Verdict::ConnectFailed } else { Verdict::TimedOut };
                events.push(world.outcome(now, &set, id, attempt, verdict, report));
            } else if up.is_some() {
                continue;
            } else if !(set.second_copies && hangs(id, attempt)) && dice.below(6) == 0 {
                let verdict = random_verdict(&mut dice);
                // A head that was whole has told a wait, and its body was spoilt: the call may have run.
                if verdict == Verdict::Error && dice.below(2) == 0 {
                    let wait = ms(dice.below(1500) + 1);
                    world.told(now, receiver, wait);
                    events.push(Event::RetryAfter(ReceiverId(receiver), wait));
                }
                events.push(world.outcome(now, &set, id, attempt, verdict, report));
            }
        }
        // What nobody knows must be ignored.
        events.push(Event::Withdrawn(MessageId(1 << 40)));
        events.push(Event::TimerFired);
        let mut actions = Vec::new();
        for event in events.drain(..) {
            policy.on_event(now, event, &mut actions);
        }
        policy.decide(now, &mut actions);
        for action in actions {
            world.log.push(format!("{action:?}"));
            match action {
                Action::Send { id, receiver, timeout: patience } => {
                    let late = if dice.below(4) == 0 { ms(dice.below(1000)) } else { Micros(0) };
                    world.check_send(now, &set, id.0, receiver.0, patience, now.plus(late));
                    world.copies += usize::from(world.messages[&id.0].out.len() == 2);
                    let out = world.messages.values().map(|m| m.out.len()).sum::<usize>();
                    assert!(out <= set.slots as usize * 4, "calls carry four messages at most");
                }
                Action::Refuse { id, .. } => world.end(now, &set, id.0, true),
                Action::Fail(id) => world.end(now, &set, id.0, false),
                Action::CancelAttempt { id, attempt } => {
                    let m = &world.messages[&id.0];
                    assert!(set.allow_cancel && attempt < m.attempts, "only what went");
                    let again = set.classes[m.class].effect != Effect::Unsafe && attempt < 2;
                    assert!(m.ended || again, "only what nobody wants, or may go again");
                    called_off.push((id.0, attempt));
                }
                _ => {}
            }
        }
        now = now.plus(ms(10));
        for (id, m) in &world.messages {
            assert!(m.ended || now <= m.deadline.plus(ms(30)), "rule 1: {id} was forgotten");
        }
    }
    world
}

#[test]
fn random_days_keep_the_rules() {
    let (mut sends, mut copies, mut held_back) = (0, 0, 0);
    for seed in 1..24 {
        let world = play(seed, true);
        assert_eq!(world.early, 0, "of {} calls none leaves within a wait", world.left);
        held_back += world.held_back;
        sends += world.log.iter().filter(|l| l.starts_with("Send")).count();
        assert!(world.messages.values().any(|m| m.ended));
        copies += world.copies;
    }
    assert!(copies >= 4, "second copies go: {copies}");
    assert!(sends > 2_000, "the scripts send: {sends}");
    assert!(held_back > 50, "the gate holds back: {held_back}");
    assert!(play(1, false).early > 0, "without it some would leave within a wait");
}

#[test]
fn same_events_give_the_same_actions() {
    assert_eq!(play(77, true).log, play(77, true).log);
}

#[test]
fn absurd_settings_do_not_break_the_brain() {
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
    for set in [empty, huge] {
        let mut rig = Rig::new(set, vec![ListEntry { weight: -3.0, ..entry(1, 1, 77, 99) }]);
        for id in 1..50 {
            rig.submit(id, SAFE, 1);
        }
        for _ in 0..300 {
            rig.pass(ms(100));
            for open in rig.out.clone() {
                rig.answer(open.id, Verdict::Error);
            }
        }
        let answered = rig.refused.len() + rig.failed.len();
        assert_eq!(answered, 49, "each message has its end");
    }
}
