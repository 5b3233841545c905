//! The rules, judged by what the stand-ins saw.

use super::ledger::{Call, Class, Drained, Heard, Message, Restart, Seen, Upgrade, Wait};
use std::collections::BTreeMap;

/// The stand-ins may see things late by this, beside what they measured of their own lateness.
const SLACK_S: f64 = 0.05;
/// Nothing new may reach a server so long after its drain was known.
const DRAIN_GRACE_S: f64 = 1.0;
/// A change counts as known so long after discovery had it and could be reached.
const KNOWN_WITHIN_S: f64 = 6.0;
/// An end may come so long after the message's time.
const END_GRACE_S: f64 = 0.3;
/// A daemon has room again so long after a crowd has left.
const CROWD_LEAVES_S: f64 = 0.5;
/// After a restart no end is overdue before.
const RESTART_GRACE_S: f64 = 1.5;
/// What discovery tells binds a second process from so long after it said that it is ready.
const UPGRADE_GRACE_S: f64 = 2.0;
/// Calls that cross the answer which tells a wait pass.
const WAIT_GRACE_S: f64 = 0.1;

/// What the settings of the run say.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// A repeat of a keyed message is dropped for so long.
    pub window_s: f64,
    /// How late the stand-ins have been at most.
    pub lateness_s: f64,
}

/// Violations of each rule, and a line for each.
#[derive(Debug, Default)]
pub struct Verdict {
    pub counts: BTreeMap<&'static str, u64>,
    pub lines: Vec<String>,
}

/// The rules that are judged.
pub const RULES: [&str; 9] =
    ["drain", "duplicate", "overlap", "lost", "unanswered", "wait", "maintenance", "operators", "settings"];

impl Verdict {
    fn add(&mut self, rule: &'static str, line: String) {
        *self.counts.entry(rule).or_default() += 1;
        self.lines.push(format!("{rule}: {line}"));
    }

    pub fn count(&self, rule: &str) -> u64 {
        self.counts.get(rule).copied().unwrap_or(0)
    }
}

/// Judges a run that has ended.
pub fn judge(seen: &Seen, terms: Terms) -> Verdict {
    let mut verdict = Verdict::default();
    drains(seen, terms, &mut verdict);
    repeats(seen, terms, &mut verdict);
    ends(seen, terms, &mut verdict);
    waits(seen, terms, &mut verdict);
    maintenance(seen, terms, &mut verdict);
    verdict
}

fn slack(terms: Terms) -> f64 {
    SLACK_S + terms.lateness_s
}

/// When a daemon was first told a version of the list.
fn told_at(seen: &Seen, daemon: usize, generation: u64) -> f64 {
    let told = seen.told.iter().filter(|(_, d, g)| *d == daemon && *g >= generation);
    told.map(|(t, ..)| *t).fold(f64::INFINITY, f64::min)
}

/// When a daemon's process of a time counts as knowing of a drain: once it was told, or some time after discovery had it and
/// could be reached. A process that starts anew has the list that the one before it was told last.
fn known_at(seen: &Seen, daemon: usize, drained: &Drained, process_start: f64) -> f64 {
    let told = told_at(seen, daemon, drained.generation).max(process_start);
    let known = told.min(due_at(seen, drained.at.max(process_start)));
    let upgrades = seen.upgrades.iter().filter(|u| u.daemon == daemon);
    let not_before = upgrades.filter_map(|u| {
        let binds = u.ready.map_or(f64::INFINITY, |ready| ready + UPGRADE_GRACE_S);
        // One that was given up tells nothing of the other.
        let over = if u.ready.is_none() { u.killed } else { None };
        let binds = over.unwrap_or(binds);
        (u.from <= known && known < binds).then_some(binds)
    });
    not_before.fold(known, f64::max)
}

/// So long after a time, counted anew whenever discovery can be reached again.
fn due_at(seen: &Seen, at: f64) -> f64 {
    let mut spans = seen.unreachable.clone();
    spans.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut due = at + KNOWN_WITHIN_S;
    for (from, until) in spans {
        if from < due && until > at {
            due = due.max(until + KNOWN_WITHIN_S);
        }
    }
    due
}

/// When the process that a daemon has at a time could have begun.
fn started_before(seen: &Seen, daemon: usize, at: f64) -> f64 {
    let starts = seen.restarts.iter().filter(|r| r.daemon == daemon).filter_map(|r| r.down);
    starts.filter(|down| *down <= at).fold(0.0, f64::max)
}

fn drains(seen: &Seen, terms: Terms, verdict: &mut Verdict) {
    for drained in &seen.drained {
        for call in seen.calls.iter().filter(|c| c.server == drained.server && c.began > drained.at) {
            let start = started_before(seen, call.daemon, call.began);
            let known = known_at(seen, call.daemon, drained, start);
            let late = call.began - known - DRAIN_GRACE_S;
            if late > slack(terms) {
                let (id, server) = (&call.id, &call.server);
                verdict.add("drain", format!("{id} went to {server} {late:.3} s after the grace period"));
            }
        }
    }
}

fn repeats(seen: &Seen, terms: Terms, verdict: &mut Verdict) {
    let mut by_id: BTreeMap<&str, Vec<&Call>> = BTreeMap::new();
    seen.calls.iter().for_each(|c| by_id.entry(&c.id).or_default().push(c));
    for (id, calls) in by_id {
        let class = seen.messages.get(id).map_or(Class::Unsafe, |m| m.class);
        let runs: Vec<&&Call> = calls.iter().filter(|c| c.ran).collect();
        let allowed = match class {
            Class::Safe => true,
            Class::Unsafe => runs.len() <= 1,
            Class::Keyed => runs.iter().all(|r| r.began - runs[0].began <= terms.window_s + slack(terms)),
        };
        if !allowed {
            let times: Vec<_> = runs.iter().map(|r| format!("{:.3}", r.began)).collect();
            verdict.add("duplicate", format!("{id} ({class:?}) ran at {}", times.join(", ")));
        }
        for pair in calls.windows(2) {
            let out = pair[0].over.is_none_or(|over| over > pair[1].began + slack(terms));
            if out && !restarted(seen, pair[0].daemon, pair[0].began, pair[1].began) {
                let (first, second) = (pair[0].began, pair[1].began);
                verdict.add(
                    "overlap",
                    format!("{id} was out from {first:.3} when it went again at {second:.3}"),
                );
            }
        }
    }
}

/// A daemon was started anew between two times.
fn restarted(seen: &Seen, daemon: usize, from: f64, until: f64) -> bool {
    seen.restarts.iter().any(|r| r.daemon == daemon && r.from < until && r.ready.is_none_or(|at| at > from))
}

fn maintenance(seen: &Seen, terms: Terms, verdict: &mut Verdict) {
    for out in &seen.maintenance {
        let from = out.from + DRAIN_GRACE_S + slack(terms);
        let calls = seen.calls.iter().filter(|c| c.daemon == out.daemon && c.server == out.server);
        for call in calls.filter(|c| c.began > from && c.began < out.until - slack(terms)) {
            let (id, server, after) = (&call.id, &call.server, call.began - out.from);
            verdict.add("maintenance", format!("{id} went to {server} {after:.3} s after it was taken out"));
        }
    }
    for wrong in &seen.operators_wrong {
        verdict.add("operators", wrong.clone());
    }
    for wrong in &seen.settings_wrong {
        verdict.add("settings", wrong.clone());
    }
}

fn ends(seen: &Seen, terms: Terms, verdict: &mut Verdict) {
    let mut delivered: BTreeMap<&str, f64> = BTreeMap::new();
    for call in seen.calls.iter().filter(|c| c.status == Some(200)) {
        let at = call.over.unwrap_or(f64::INFINITY);
        delivered.entry(&call.id).and_modify(|t| *t = t.min(at)).or_insert(at);
    }
    for (id, message) in &seen.messages {
        let restarts: Vec<_> = seen.restarts.iter().filter(|r| r.daemon == message.daemon).collect();
        let upgrades: Vec<_> = seen.upgrades.iter().filter(|u| u.daemon == message.daemon).collect();
        match message.heard {
            Some(Heard::Status(200 | 202)) => {
                let end = delivered.get(id.as_str()).copied().into_iter().chain(message.noticed);
                let end = end.fold(f64::INFINITY, f64::min);
                let due = due(message, &restarts, &upgrades) + slack(terms);
                if end > due {
                    let history = history(seen, id, message);
                    verdict.add("lost", format!("{id} ends at {end:.3} and not by {due:.3}; {history}"));
                }
            }
            Some(Heard::Closed) if may_be_closed(seen, message, &restarts) => {}
            Some(Heard::Closed) if !message.on_kept_connection => {
                verdict.add("unanswered", format!("{id}, handed in at {:.3}", message.handed_in));
            }
            _ => {}
        }
    }
}

/// What the stand-ins saw of a message, for whoever traces it.
fn history(seen: &Seen, id: &str, message: &Message) -> String {
    let Message { class, handed_in, deadline, .. } = message;
    let mut text = format!("{class:?}, handed in at {handed_in:.3}, deadline {deadline:.3}");
    for call in seen.calls.iter().filter(|c| c.id == id) {
        let Call { server, began, over, status, .. } = call;
        text += &format!("; called {server} at {began:.3}, over {over:?}, status {status:?}");
    }
    for restart in seen.restarts.iter().filter(|r| r.daemon == message.daemon) {
        let Restart { from, down, ready, .. } = restart;
        text += &format!("; restart from {from:.3}, down {down:?}, ready {ready:?}");
    }
    for upgrade in seen.upgrades.iter().filter(|u| u.daemon == message.daemon) {
        let Upgrade { from, ready, killed, .. } = upgrade;
        text += &format!("; upgrade from {from:.3}, ready {ready:?}, killed {killed:?}");
    }
    text
}

/// Its process had ended, or a crowd had taken all places: its connection may have been shut unread.
fn may_be_closed(seen: &Seen, message: &Message, restarts: &[&Restart]) -> bool {
    let at = message.handed_in;
    let crowded = seen
        .crowds
        .iter()
        .any(|(d, from, until)| *d == message.daemon && (*from..*until + CROWD_LEAVES_S).contains(&at));
    let killed = seen.upgrades.iter().filter(|u| u.daemon == message.daemon).filter_map(|u| u.killed);
    let killed = killed.into_iter().any(|killed| at <= killed && killed < at + 1.0);
    crowded || killed || was_down(message, restarts)
}

/// When the end of a message is due at the latest.
fn due(message: &Message, restarts: &[&Restart], upgrades: &[&Upgrade]) -> f64 {
    let mut due = message.deadline + END_GRACE_S;
    for restart in restarts {
        let over = restart.ready.unwrap_or(f64::INFINITY) + RESTART_GRACE_S;
        if restart.from < due && over > message.handed_in {
            due = due.max(over);
        }
    }
    // What a process that was killed owed is another's from then on.
    for killed in upgrades.iter().filter_map(|u| u.killed) {
        if message.handed_in < killed && killed < due {
            due = due.max(killed + RESTART_GRACE_S);
        }
    }
    due
}

/// Its daemon had ended, by itself or not, while it waited for its answer.
fn was_down(message: &Message, restarts: &[&Restart]) -> bool {
    let until = message.handed_in + 1.0;
    let down = |r: &&Restart| r.down.is_some_and(|at| at < until);
    restarts.iter().copied().filter(down).any(|r| r.ready.is_none_or(|at| at > message.handed_in))
}

/// A process that is killed right behind an answer may not have read it.
fn told_to_the_dying(seen: &Seen, wait: &Wait) -> bool {
    let killed = seen.upgrades.iter().filter(|u| u.daemon == wait.daemon).filter_map(|u| u.killed);
    killed.into_iter().any(|killed| (killed - SLACK_S..=killed).contains(&wait.told))
}

fn waits(seen: &Seen, terms: Terms, verdict: &mut Verdict) {
    let destinations: BTreeMap<&str, u64> =
        seen.waits.iter().map(|w| (w.server.as_str(), w.destination)).collect();
    for wait in &seen.waits {
        let from = wait.told + WAIT_GRACE_S + slack(terms);
        let until = wait.until - slack(terms);
        let hit = seen.calls.iter().find(|c| {
            c.daemon == wait.daemon
                && destinations.get(c.server.as_str()) == Some(&wait.destination)
                && c.began > from
                && c.began < until
                && !restarted(seen, wait.daemon, wait.told, c.began)
                && !told_to_the_dying(seen, wait)
        });
        if let Some(call) = hit {
            let (id, after) = (&call.id, call.began - wait.told);
            verdict.add("wait", format!("{id} went to {} {after:.3} s after its wait was told", call.server));
        }
    }
}
