//! A fleet of senders at full load, each killed with calls out and started again from its log, then a burst of 2.4 times
//! the load: what was taken ends once, in time, and no receiver sees an effect more often than its class allows. Both
//! deployments' settings, on a clock that the test moves; calls that the dead sender no longer hears run on.

mod common;
use common::*;
use onyxrock::core::*;
use onyxrock::interface::*;
use std::collections::{BTreeMap, BTreeSet};

const SENDERS: usize = 3;
const DESTINATIONS: u64 = 4; // two endpoints each, in zones 0 and 1
const TICK: u64 = 10;

struct Fixture {
    settings: Settings,
    names: NameIndex,
    /// Class name, its share of traffic in hundredths and the time a receiver takes for it.
    mix: Vec<(&'static str, u64, u64)>,
    /// Calls that each destination takes in one span, and the span.
    limit: (usize, u64),
}

/// Classes by their place in the mix; endpoints of even number are in zone "a", the others in "b".
fn names(mix: &[(&'static str, u64, u64)]) -> NameIndex {
    let named = |all: Vec<&str>| all.into_iter().enumerate().map(|(i, n)| (n.to_owned(), i)).collect();
    NameIndex {
        classes: named(mix.iter().map(|c| c.0).collect()),
        zones: named(vec!["a", "b"]),
        ..NameIndex::default()
    }
}

/// The first deployment: no second copies; safe, keyed in any zone, unsafe and keyed to a zone.
fn first() -> Fixture {
    let mix = vec![("safe", 40, 120), ("keyed", 20, 120), ("unsafe", 20, 120), ("zoned", 20, 120)];
    let names = names(&mix);
    let settings = Settings { sender_count: SENDERS as u32, slots: 12, max_held: 80, ..settings() };
    Fixture { settings, names, mix, limit: (6, 1000) }
}

/// The second: reports, no notes, second copies; keyed events of worth 1 and heavier status that is safe to repeat.
fn second() -> Fixture {
    let mix = vec![("order-event", 80, 100), ("tile-status", 20, 250)];
    let keyed = Effect::Keyed { scope: DedupScope::Destination, window: ms(5000) };
    let class = |effect, aim, give_up, worth| ClassSettings {
        target_latency: ms(aim),
        give_up_after: ms(give_up),
        effect,
        in_order: false,
        value: worth,
        late_value_share: 0.3,
    };
    let settings = Settings {
        classes: vec![class(keyed, 2000, 20_000, 1.0), class(Effect::Safe, 1000, 8000, 2.0)],
        sender_count: SENDERS as u32,
        slots: 8,
        max_held: 60,
        max_attempts: 8,
        second_copies: true,
        peer_hints: false,
        weights: Weights::Off,
        ..settings()
    };
    let names = names(&mix);
    Fixture { settings, names, mix, limit: (10, 2000) }
}

impl Fixture {
    /// The same with another window for repeats.
    fn with_window(mut self, span: u64) -> Fixture {
        for class in &mut self.settings.classes {
            if let Effect::Keyed { window, .. } = &mut class.effect {
                *window = ms(span);
            }
        }
        self
    }
}

struct Sender {
    ledger: Option<Ledger>,
    log: Vec<Record>,
    /// Calls out: their answer, when it comes, and the verdict.
    out: BTreeMap<(u64, u32), (Micros, ReceiverId, Verdict, Micros)>,
    /// When its process last started: what fell due while it was dead ends then.
    started: Micros,
}

#[derive(Default)]
struct Receivers {
    /// Calls taken in the current span, by destination.
    used: BTreeMap<u64, (Micros, usize)>,
    /// Effects by message: when and in which zone each took effect.
    effects: BTreeMap<u64, Vec<(Micros, u64)>>,
    twice: Vec<String>,
}

/// A message as the fleet knows it: sender, class, deadline, and the ends told.
type Held = (usize, usize, Micros, Vec<(Micros, &'static str)>);

struct Fleet {
    fix: Fixture,
    now: Micros,
    senders: Vec<Sender>,
    world: Receivers,
    /// Every message taken: sender, class, deadline, ends told.
    taken: BTreeMap<u64, Held>,
    next: u64,
    cut_off: usize,
    resumed: usize,
}

fn list() -> Event {
    Event::FullList((0..DESTINATIONS * 2).map(|r| entry(r, r / 2, 0, (r % 2) as usize)).collect())
}

impl Fleet {
    fn new(fix: Fixture) -> Fleet {
        let senders = (0..SENDERS).map(|_| Sender {
            ledger: None,
            log: vec![],
            out: BTreeMap::new(),
            started: Micros(0),
        });
        let mut fleet = Fleet {
            fix,
            now: ms(1_000_000),
            senders: senders.collect(),
            world: Receivers::default(),
            taken: BTreeMap::new(),
            next: 0,
            cut_off: 0,
            resumed: 0,
        };
        (0..SENDERS).for_each(|s| fleet.start(s));
        fleet
    }

    /// A new process of sender `s`, from what its log holds.
    fn start(&mut self, s: usize) {
        let f = &self.fix;
        let mut ledger = Ledger::new(f.settings.clone(), f.names.clone(), BTreeSet::new(), 11 + s as u64);
        ledger.on_list_event(self.now, list());
        let mut bytes = Vec::new();
        self.senders[s].log.iter().for_each(|r| r.write(&mut bytes));
        for owed in recover(scan_log(&bytes).records).into_values() {
            self.resumed += 1;
            assert!(!ledger.resume(self.now, owed), "ends are told in the breath they are given");
        }
        let sender = &mut self.senders[s];
        (sender.ledger, sender.started) = (Some(ledger), self.now);
    }

    /// SIGKILL: what it had out runs on at the receivers, unheard.
    fn kill(&mut self, s: usize) {
        let sender = &mut self.senders[s];
        self.cut_off += sender.out.len();
        sender.ledger = None;
        sender.out.clear();
    }

    fn hand_in(&mut self, i: u64) {
        let live: Vec<usize> = (0..SENDERS).filter(|s| self.senders[*s].ledger.is_some()).collect();
        let Some(&s) = live.get(i as usize % live.len().max(1)) else { return };
        let pick = i * 37 % 100;
        let mut share = 0;
        let class = self.fix.mix.iter().position(|c| {
            share += c.1;
            pick < share
        });
        let (class, name) = (class.unwrap_or(0), self.fix.mix[class.unwrap_or(0)].0);
        let give_up = self.fix.settings.classes[class].give_up_after;
        let sender = &mut self.senders[s];
        let ledger = sender.ledger.as_mut().expect("live");
        if ledger.is_full() {
            return;
        }
        // Numbers are the fleet's here, so that the receivers can tell a repeat from another message.
        let n = self.next;
        self.next += 1;
        let deadline = self.now.plus(give_up);
        let destination = i * 7 % 10 % DESTINATIONS;
        let t = AcceptedMessage {
            number: n,
            request_id: format!("m{n}"),
            class: name.into(),
            destination,
            deadline,
            ..AcceptedMessage::default()
        };
        sender.log.push(Record::Accepted(t.clone()));
        ledger.accept(self.now, t);
        self.taken.insert(n, (s, class, deadline, vec![]));
    }

    /// What a receiver does with a call: a limit counted in spans, a time to answer, and an effect once taken.
    fn receive(&mut self, n: u64, to: ReceiverId, patience: Micros) -> (Micros, Verdict) {
        let (class, destination, zone) = (self.taken[&n].1, to.0 / 2, to.0 % 2);
        let (most, span) = self.fix.limit;
        let start = self.now.0 / (span * 1000) * span * 1000;
        let used = self.world.used.entry(destination).or_insert((Micros(start), 0));
        if used.0 != Micros(start) {
            *used = (Micros(start), 0);
        }
        if used.1 >= most {
            let wait = Micros(start + span * 1000 - self.now.0);
            return (self.now.plus(ms(5)), Verdict::Full(Some(wait)));
        }
        used.1 += 1;
        let effect = self.fix.settings.classes[class].effect;
        let seen = self.world.effects.entry(n).or_default();
        let dropped = match effect {
            Effect::Keyed { scope: group, window } => seen.iter().any(|(at, z)| {
                self.now.since(*at) <= window && (group == DedupScope::Destination || *z == zone)
            }),
            Effect::Safe | Effect::Unsafe => false,
        };
        if !dropped {
            seen.push((self.now, zone));
            if seen.len() > 1 && effect != Effect::Safe {
                self.world.twice.push(format!("m{n} took effect {} times: {seen:?}", seen.len()));
            }
        }
        let takes = ms(self.fix.mix[class].2 + n % 5 * 20);
        if takes > patience {
            (self.now.plus(patience), Verdict::TimedOut)
        } else {
            (self.now.plus(takes), Verdict::Delivered)
        }
    }

    fn end(&mut self, s: usize, n: u64, how: &'static str) {
        let (owner, class, deadline, ends) = self.taken.get_mut(&n).expect("a taken message");
        assert_eq!(*owner, s, "m{n} is ended by the sender that took it");
        ends.push((self.now, how));
        // A client hands a returned message in again: harmless only where what ran may run again.
        let effect = self.fix.settings.classes[*class].effect;
        let harmless = matches!(effect, Effect::Safe | Effect::Keyed { scope: DedupScope::Destination, .. });
        let ran = self.world.effects.get(&n).map_or(0, Vec::len);
        assert!(how != "returned" || harmless || ran == 0, "m{n} was returned after it took effect");
        let late = self.now.since((*deadline).max(self.senders[s].started));
        assert!(late <= ms(TICK), "m{n} ended {late:?} after its deadline or the restart ({how})");
    }

    fn step(&mut self, s: usize) {
        let now = self.now;
        let due: Vec<_> =
            self.senders[s].out.iter().filter(|(_, c)| c.0 <= now).map(|(k, c)| (*k, *c)).collect();
        for ((n, attempt), (_, to, verdict, sent)) in due {
            self.senders[s].out.remove(&(n, attempt));
            let a = AttemptOutcome {
                number: n,
                attempt,
                receiver: to,
                verdict,
                elapsed: now.since(sent),
                finished: false,
                load_report: (None, None),
                wait_until: Micros(0),
            };
            let record = self.senders[s].ledger.as_mut().expect("live").end_attempt(now, &a);
            if let Some(record) = record {
                let over = matches!(record, Record::Closed(_));
                self.senders[s].log.push(record);
                if over && verdict == Verdict::Delivered {
                    self.end(s, n, "delivered");
                }
            }
        }
        let mut steps = Vec::new();
        self.senders[s].ledger.as_mut().expect("live").decide(now, true, &mut steps);
        for step in steps {
            match step {
                LedgerAction::Call { number: n, attempt, receiver: to, timeout: patience } => {
                    let zone = if to.0 % 2 == 0 { "a" } else { "b" };
                    let ledger = self.senders[s].ledger.as_mut().expect("live");
                    let Ok(record) = ledger.begin_attempt(n, attempt, &format!("e{}", to.0), zone, now)
                    else {
                        continue;
                    };
                    self.senders[s].log.push(record);
                    let (at, verdict) = self.receive(n, to, patience);
                    self.senders[s].out.insert((n, attempt), (at, to, verdict, now));
                }
                LedgerAction::CancelAttempt { number: n, attempt } => {
                    drop(self.senders[s].out.remove(&(n, attempt)))
                }
                LedgerAction::ReportFinalStatus { number: n, status: end } => {
                    let sender = &mut self.senders[s];
                    sender.log.push(Record::FinalStatus { number: n, status: end });
                    let over = sender.ledger.as_mut().expect("live").close(n);
                    sender.log.extend(over);
                    self.end(s, n, if end == FinalStatus::Failed { "failed" } else { "returned" });
                }
                _ => {}
            }
        }
    }

    /// Moves the clock by `span`, with `rate` hand-ins a second, and kills or starts senders as `plan` says.
    fn run(&mut self, span: u64, rate: u64, plan: &[(u64, usize, bool)], from: u64) -> u64 {
        let mut handed = from;
        for t in (0..span).step_by(TICK as usize) {
            for &(_, s, kill) in plan.iter().filter(|p| p.0 == t) {
                if kill { self.kill(s) } else { self.start(s) }
            }
            while handed < from + (t + TICK) * rate / 1000 {
                self.hand_in(handed);
                handed += 1;
            }
            for s in 0..SENDERS {
                if self.senders[s].ledger.is_some() {
                    self.step(s);
                }
            }
            self.now = self.now.plus(ms(TICK));
        }
        handed
    }
}

fn play(fix: Fixture) -> Fleet {
    // Full load is what the receivers take in all: their limit over the span.
    let full = fix.limit.0 as u64 * DESTINATIONS * 1000 / fix.limit.1;
    let mut fleet = Fleet::new(fix);
    let mut handed = fleet.run(4000, full, &[], 0);
    // Each is killed in turn, and two at once; back after 400 to 900 ms with nothing but their logs and the list.
    let plan =
        [(60, 0, true), (460, 0, false), (2060, 1, true), (2960, 1, false), (3060, 2, true), (3080, 0, true)];
    handed = fleet.run(3600, full, &plan, handed);
    handed = fleet.run(1000, full, &[(0, 2, false), (500, 0, false)], handed);
    handed = fleet.run(6000, full * 24 / 10, &[], handed);
    fleet.run(25_000, 0, &[], handed);
    fleet
}

#[test]
fn all_senders_restart_at_full_load_then_a_burst_and_each_message_ends_once() {
    each_message_ends_once([("first", first()), ("second", second())]);
}

/// Such a window passes while a sender is down.
#[test]
fn all_senders_restart_where_repeats_are_dropped_for_a_second_alone() {
    each_message_ends_once([("first", first().with_window(1000)), ("second", second().with_window(1000))]);
}

fn each_message_ends_once(fixtures: [(&str, Fixture); 2]) {
    for (name, fix) in fixtures {
        let fleet = play(fix);
        assert!(
            fleet.world.twice.is_empty(),
            "{name}: {:?}",
            &fleet.world.twice[..fleet.world.twice.len().min(5)]
        );
        let mut delivered = 0;
        for (n, (_, _, _, ends)) in &fleet.taken {
            assert_eq!(ends.len(), 1, "{name}: m{n} has one end: {ends:?}");
            delivered += usize::from(ends[0].1 == "delivered");
        }
        for sender in &fleet.senders {
            assert_eq!(
                sender.ledger.as_ref().map(Ledger::held_count),
                Some(0),
                "{name}: nothing is held at the end"
            );
        }
        // The play did what it says: calls were cut off by the kills, taken over, and most messages got through.
        let taken = fleet.taken.len();
        assert!(
            fleet.cut_off >= 5 && fleet.resumed >= 10,
            "{name}: {} cut off, {} resumed",
            fleet.cut_off,
            fleet.resumed
        );
        assert!(delivered * 10 >= taken * 7 && taken > 400, "{name}: {delivered} of {taken} delivered");
    }
}
