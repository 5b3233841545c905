//! Every decision, table and tuned value of onyxrock. Settings, events, actions: `src/interface.rs`.
//!
//! Each destination (each route where routes are apart) has a `Pace`: Detect its refusals, Update, Restrict.
//! Departures: health of receivers, the cold ramp, worth order, giving up. README.md says where they stand.

use crate::connections::ConnectionTable;
use crate::interface::*;
use crate::list_refresh::ListRefresh;
use crate::peer_hint::PeerHint;
use crate::state::*;
use std::collections::{BTreeMap, BTreeSet};

mod connections;
mod health;
mod idle;
mod intake;
mod learning;
mod pace;
mod receiver_gates;
mod sending;
mod tuning;

pub use intake::PolicyEngine;
use receiver_gates::told_share;
use tuning::*;

impl PolicyEngine {
    /// Decides what to do now, after all events of this moment.
    pub fn decide(&mut self, now: Micros, actions: &mut Vec<Action>) {
        actions.append(&mut self.called_off);
        actions.extend(self.list_refresh.take_due(now).then_some(Action::RequestList));
        let due = self.agenda.take_due(now);
        due.iter().for_each(|id| self.refresh(now, *id));
        let looks = self.send_best(now, &due, actions);
        self.give_way(now, actions);
        self.close_given_back(actions);
        for (id, at) in looks {
            self.agenda.look(id, at.min(self.silence_due(id)));
        }
        self.shed(now, actions);
        self.tidy(now);
        let wake = self.list_refresh.due().into_iter().chain(self.agenda.next()).min();
        if let Some(at) = wake.filter(|at| self.wake_at.is_none_or(|t| *at < t)) {
            self.wake_at = Some(at);
            actions.push(Action::SetTimer(at.since(now).max(Micros(1))));
        }
    }

    /// Beyond its tenant's share at this sender: a bucket of two seconds' worth.
    pub(super) fn over_share(&mut self, now: Micros, tenant: TenantId) -> bool {
        let Some(t) = self.set.tenants.get(tenant.0) else { return false };
        let rate = t.allowance_per_s / self.scale.senders;
        rate > 0.0 && !self.shares[tenant.0].take(now, rate, (rate * SHARE_SPAN_S).max(SHARE_LEAST))
    }

    /// The single place that ends a message undelivered: refused where a repeat is harmless, else failed.
    pub(super) fn end(
        &mut self, now: Micros, id: MessageId, wait: Option<Micros>, actions: &mut Vec<Action>,
    ) {
        let Some(m) = self.held.get(&id).filter(|m| !m.ended && m.out.is_empty()) else { return };
        actions.push(if m.may_refuse(&self.set, now) {
            let retry_after =
                wait.filter(|_| self.set.send_retry_after).map(|w| w.min(self.set.max_retry_after));
            Action::Refuse { id, retry_after }
        } else {
            Action::Fail(id)
        });
        self.close(id);
    }

    /// Near the end of the holding room the least worth goes, before newcomers are turned away unseen.
    fn shed(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let surplus = self.held.len().saturating_sub((f64::from(self.set.max_held) * HELD_HIGH) as usize);
        let held = if surplus > 0 { &self.held } else { return };
        let idle = held.iter().filter(|(_, m)| m.out.is_empty() && !m.ended);
        let mut waiting: Vec<_> = idle.map(|(id, m)| (m.worth(&self.set, now), *id)).collect();
        waiting.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, id) in waiting.into_iter().take(surplus) {
            self.end(now, id, Some(self.set.max_retry_after), actions);
        }
    }

    /// All slots are taken and messages wait: calls that were overtaken give way, where the message may be repeated.
    fn give_way(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let held = if self.set.allow_cancel && !self.starved.is_empty() { &mut self.held } else { return };
        for (id, m) in held.iter_mut().filter(|(_, m)| m.attempts <= GIVES_WAY) {
            let safe = self.set.classes[m.class.0].effect != Effect::Unsafe;
            for a in m.out.iter_mut().filter(|a| safe && !a.called_off) {
                let r = self.receivers.get(&a.receiver);
                a.called_off = r.is_some_and(|r| r.overtaken(a.sent, now.since(a.sent).secs()));
                actions.extend(a.called_off.then_some(Action::CancelAttempt { id: *id, attempt: a.number }));
            }
        }
    }
}
