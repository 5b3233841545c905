//! Judges the rules of the soak test from what the stand-ins observed.

use super::observations::{
    Call, Class, ClientResult, Drain, Message, Observations, Restart, RetryAfter, Upgrade,
};
use std::collections::BTreeMap;

/// Tolerance for late observations by the stand-ins, added to the lateness that they measured themselves.
const SLACK_S: f64 = 0.05;
/// Time after a drain became known to a daemon from which no new call of that daemon may reach the server.
const DRAIN_GRACE_S: f64 = 1.0;
/// A list change counts as known this long after discovery had it and could be reached.
const KNOWN_WITHIN_S: f64 = 6.0;
/// Time after its deadline within which the outcome of a message must be reported.
const OUTCOME_GRACE_S: f64 = 0.3;
/// Time after a connection flood within which a daemon may still lack room for new connections.
const FLOOD_RECOVERY_S: f64 = 0.5;
/// No outcome is overdue until this long after a restart.
const RESTART_GRACE_S: f64 = 1.5;
/// Answers of discovery bind the second process of an upgrade from this long after it reported that it is
/// ready.
const UPGRADE_GRACE_S: f64 = 2.0;
/// Calls that start within this time after a Retry-After was sent may have crossed it, and are allowed.
const RETRY_AFTER_GRACE_S: f64 = 0.1;

/// Values of the run that the judgement depends on.
#[derive(Clone, Copy, Debug)]
pub struct JudgeParameters {
    /// Time within which a repeat of a keyed message is dropped.
    pub dedup_window_s: f64,
    /// The greatest lateness that the stand-ins measured of themselves.
    pub lateness_s: f64,
}

/// Number of violations of each rule, and one line for each violation.
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

    /// Number of violations of a rule.
    pub fn count(&self, rule: &str) -> u64 {
        self.counts.get(rule).copied().unwrap_or(0)
    }
}

/// Judges a run that has ended.
pub fn judge(observations: &Observations, parameters: JudgeParameters) -> Verdict {
    let mut verdict = Verdict::default();
    judge_drains(observations, parameters, &mut verdict);
    judge_repeats(observations, parameters, &mut verdict);
    judge_outcomes(observations, parameters, &mut verdict);
    judge_retry_afters(observations, parameters, &mut verdict);
    judge_maintenance(observations, parameters, &mut verdict);
    verdict
}

/// Total tolerance of the judgement.
fn slack(parameters: JudgeParameters) -> f64 {
    SLACK_S + parameters.lateness_s
}

/// When a daemon first received a generation of the list or a newer one.
fn first_delivery_at(observations: &Observations, daemon: usize, generation: u64) -> f64 {
    let deliveries = observations.list_deliveries.iter().filter(|(_, d, g)| *d == daemon && *g >= generation);
    deliveries.map(|(t, ..)| *t).fold(f64::INFINITY, f64::min)
}

/// When the process that a daemon ran at a time counts as knowing of a drain: once it received the list, or
/// some time after discovery had the change and could be reached. A new process starts with the list that the
/// previous one received last.
fn drain_known_at(observations: &Observations, daemon: usize, drain: &Drain, process_start: f64) -> f64 {
    let delivered_at = first_delivery_at(observations, daemon, drain.generation).max(process_start);
    let known = delivered_at.min(known_latest_at(observations, drain.at.max(process_start)));
    let upgrades = observations.upgrades.iter().filter(|u| u.daemon == daemon);
    let not_before = upgrades.filter_map(|u| {
        let binds = u.ready_at.map_or(f64::INFINITY, |ready_at| ready_at + UPGRADE_GRACE_S);
        // A second process that was killed before it was ready does not affect what the first one knows.
        let aborted_at = if u.ready_at.is_none() { u.killed_at } else { None };
        let binds = aborted_at.unwrap_or(binds);
        (u.started_at <= known && known < binds).then_some(binds)
    });
    not_before.fold(known, f64::max)
}

/// When a list change counts as known at the latest; the time starts anew whenever discovery can be reached
/// again.
fn known_latest_at(observations: &Observations, changed_at: f64) -> f64 {
    let mut outages = observations.discovery_outages.clone();
    outages.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut latest = changed_at + KNOWN_WITHIN_S;
    for (from, until) in outages {
        if from < latest && until > changed_at {
            latest = latest.max(until + KNOWN_WITHIN_S);
        }
    }
    latest
}

/// The earliest time at which the process that a daemon ran at a time can have started.
fn earliest_process_start(observations: &Observations, daemon: usize, at: f64) -> f64 {
    let starts = observations.restarts.iter().filter(|r| r.daemon == daemon).filter_map(|r| r.exited_at);
    starts.filter(|exited_at| *exited_at <= at).fold(0.0, f64::max)
}

/// Rule "drain": no call to a server after the grace period that follows its drain.
fn judge_drains(observations: &Observations, parameters: JudgeParameters, verdict: &mut Verdict) {
    for drain in &observations.drains {
        for call in observations.calls.iter().filter(|c| c.server == drain.server && c.started_at > drain.at)
        {
            let start = earliest_process_start(observations, call.daemon, call.started_at);
            let known = drain_known_at(observations, call.daemon, drain, start);
            let late = call.started_at - known - DRAIN_GRACE_S;
            if late > slack(parameters) {
                let (id, server) = (&call.id, &call.server);
                verdict.add("drain", format!("{id} went to {server} {late:.3} s after the grace period"));
            }
        }
    }
}

/// Rules "duplicate" and "overlap": a message takes effect as often as its class allows, and has one open
/// call at a time.
fn judge_repeats(observations: &Observations, parameters: JudgeParameters, verdict: &mut Verdict) {
    let mut by_id: BTreeMap<&str, Vec<&Call>> = BTreeMap::new();
    observations.calls.iter().for_each(|c| by_id.entry(&c.id).or_default().push(c));
    for (id, calls) in by_id {
        let class = observations.messages.get(id).map_or(Class::Unsafe, |m| m.class);
        let runs: Vec<&&Call> = calls.iter().filter(|c| c.took_effect).collect();
        let allowed = match class {
            Class::Safe => true,
            Class::Unsafe => runs.len() <= 1,
            Class::Keyed => runs
                .iter()
                .all(|r| r.started_at - runs[0].started_at <= parameters.dedup_window_s + slack(parameters)),
        };
        if !allowed {
            let times: Vec<_> = runs.iter().map(|r| format!("{:.3}", r.started_at)).collect();
            verdict.add("duplicate", format!("{id} ({class:?}) ran at {}", times.join(", ")));
        }
        for pair in calls.windows(2) {
            let still_open =
                pair[0].ended_at.is_none_or(|ended_at| ended_at > pair[1].started_at + slack(parameters));
            if still_open
                && !was_restarted(observations, pair[0].daemon, pair[0].started_at, pair[1].started_at)
            {
                let (first, second) = (pair[0].started_at, pair[1].started_at);
                verdict.add(
                    "overlap",
                    format!("{id} was out from {first:.3} when it went again at {second:.3}"),
                );
            }
        }
    }
}

/// Whether a restart of a daemon was under way between two times.
fn was_restarted(observations: &Observations, daemon: usize, from: f64, until: f64) -> bool {
    observations.restarts.iter().any(|r| {
        r.daemon == daemon && r.signalled_at < until && r.ready_at.is_none_or(|ready_at| ready_at > from)
    })
}

/// Rules "maintenance", "operators" and "settings": no call to a server in maintenance, and no errors of
/// operators' commands or of settings.
fn judge_maintenance(observations: &Observations, parameters: JudgeParameters, verdict: &mut Verdict) {
    for maintenance in &observations.maintenance {
        let from = maintenance.from + DRAIN_GRACE_S + slack(parameters);
        let calls = observations
            .calls
            .iter()
            .filter(|c| c.daemon == maintenance.daemon && c.server == maintenance.server);
        for call in
            calls.filter(|c| c.started_at > from && c.started_at < maintenance.until - slack(parameters))
        {
            let (id, server, after) = (&call.id, &call.server, call.started_at - maintenance.from);
            verdict.add("maintenance", format!("{id} went to {server} {after:.3} s after it was taken out"));
        }
    }
    for error in &observations.operator_errors {
        verdict.add("operators", error.clone());
    }
    for error in &observations.settings_errors {
        verdict.add("settings", error.clone());
    }
}

/// Rules "lost" and "unanswered": each accepted message has an outcome in time, and each request is answered.
fn judge_outcomes(observations: &Observations, parameters: JudgeParameters, verdict: &mut Verdict) {
    let mut delivered: BTreeMap<&str, f64> = BTreeMap::new();
    for call in observations.calls.iter().filter(|c| c.status == Some(200)) {
        let at = call.ended_at.unwrap_or(f64::INFINITY);
        delivered.entry(&call.id).and_modify(|t| *t = t.min(at)).or_insert(at);
    }
    for (id, message) in &observations.messages {
        let restarts: Vec<_> = observations.restarts.iter().filter(|r| r.daemon == message.daemon).collect();
        let upgrades: Vec<_> = observations.upgrades.iter().filter(|u| u.daemon == message.daemon).collect();
        match message.client_result {
            Some(ClientResult::Status(200 | 202)) => {
                let end = delivered.get(id.as_str()).copied().into_iter().chain(message.notice_received_at);
                let end = end.fold(f64::INFINITY, f64::min);
                let due = outcome_due_at(message, &restarts, &upgrades) + slack(parameters);
                if end > due {
                    let history = history(observations, id, message);
                    verdict.add("lost", format!("{id} ends at {end:.3} and not by {due:.3}; {history}"));
                }
            }
            Some(ClientResult::Closed) if may_be_closed(observations, message, &restarts) => {}
            Some(ClientResult::Closed) if !message.on_reused_connection => {
                verdict.add("unanswered", format!("{id}, handed in at {:.3}", message.submitted_at));
            }
            _ => {}
        }
    }
}

/// Everything observed of a message and its daemon, for the analysis of a violation.
fn history(observations: &Observations, id: &str, message: &Message) -> String {
    let Message { class, submitted_at, deadline, .. } = message;
    let mut text = format!("{class:?}, handed in at {submitted_at:.3}, deadline {deadline:.3}");
    for call in observations.calls.iter().filter(|c| c.id == id) {
        let Call { server, started_at, ended_at, status, .. } = call;
        text += &format!("; called {server} at {started_at:.3}, over {ended_at:?}, status {status:?}");
    }
    for restart in observations.restarts.iter().filter(|r| r.daemon == message.daemon) {
        let Restart { signalled_at, exited_at, ready_at, .. } = restart;
        text += &format!("; restart from {signalled_at:.3}, down {exited_at:?}, ready {ready_at:?}");
    }
    for upgrade in observations.upgrades.iter().filter(|u| u.daemon == message.daemon) {
        let Upgrade { started_at, ready_at, killed_at, .. } = upgrade;
        text += &format!("; upgrade from {started_at:.3}, ready {ready_at:?}, killed {killed_at:?}");
    }
    text
}

/// Whether the daemon may have closed the connection of a message unread: its process had ended, or a
/// connection flood had taken all of its connection places.
fn may_be_closed(observations: &Observations, message: &Message, restarts: &[&Restart]) -> bool {
    let at = message.submitted_at;
    let flooded = observations
        .connection_floods
        .iter()
        .any(|(d, from, until)| *d == message.daemon && (*from..*until + FLOOD_RECOVERY_S).contains(&at));
    let kills =
        observations.upgrades.iter().filter(|u| u.daemon == message.daemon).filter_map(|u| u.killed_at);
    let killed = kills.into_iter().any(|killed_at| at <= killed_at && killed_at < at + 1.0);
    flooded || killed || was_down(message, restarts)
}

/// When the outcome of a message is due at the latest.
fn outcome_due_at(message: &Message, restarts: &[&Restart], upgrades: &[&Upgrade]) -> f64 {
    let mut due = message.deadline + OUTCOME_GRACE_S;
    for restart in restarts {
        let over = restart.ready_at.unwrap_or(f64::INFINITY) + RESTART_GRACE_S;
        if restart.signalled_at < due && over > message.submitted_at {
            due = due.max(over);
        }
    }
    // The other process takes over the open messages of a process that was killed.
    for killed_at in upgrades.iter().filter_map(|u| u.killed_at) {
        if message.submitted_at < killed_at && killed_at < due {
            due = due.max(killed_at + RESTART_GRACE_S);
        }
    }
    due
}

/// Whether the daemon's process had ended, by itself or not, while the client waited for its answer.
fn was_down(message: &Message, restarts: &[&Restart]) -> bool {
    let until = message.submitted_at + 1.0;
    let exited = |r: &&Restart| r.exited_at.is_some_and(|at| at < until);
    restarts
        .iter()
        .copied()
        .filter(exited)
        .any(|r| r.ready_at.is_none_or(|ready_at| ready_at > message.submitted_at))
}

/// Whether a Retry-After was sent to a process that was killed right afterwards and may not have read it.
fn sent_to_killed_process(observations: &Observations, retry_after: &RetryAfter) -> bool {
    let kills =
        observations.upgrades.iter().filter(|u| u.daemon == retry_after.daemon).filter_map(|u| u.killed_at);
    kills.into_iter().any(|killed_at| (killed_at - SLACK_S..=killed_at).contains(&retry_after.sent_at))
}

/// Rule "wait": no call to a destination within a Retry-After of one of its servers.
fn judge_retry_afters(observations: &Observations, parameters: JudgeParameters, verdict: &mut Verdict) {
    let destinations: BTreeMap<&str, u64> =
        observations.retry_afters.iter().map(|w| (w.server.as_str(), w.destination)).collect();
    for retry_after in &observations.retry_afters {
        let from = retry_after.sent_at + RETRY_AFTER_GRACE_S + slack(parameters);
        let until = retry_after.until - slack(parameters);
        let violation = observations.calls.iter().find(|c| {
            c.daemon == retry_after.daemon
                && destinations.get(c.server.as_str()) == Some(&retry_after.destination)
                && c.started_at > from
                && c.started_at < until
                && !was_restarted(observations, retry_after.daemon, retry_after.sent_at, c.started_at)
                && !sent_to_killed_process(observations, retry_after)
        });
        if let Some(call) = violation {
            let (id, after) = (&call.id, call.started_at - retry_after.sent_at);
            verdict.add("wait", format!("{id} went to {} {after:.3} s after its wait was told", call.server));
        }
    }
}
