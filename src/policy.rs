//! Every decision, table and tuned value of onyxrock. Settings, events and actions are in `src/interface.rs`.
//!
//! Each destination (each route where a kind has separate routes) has a `Pace` with the three processes of
//! NICC: detect refusals, update the rate, restrict the calls. The health of receivers, the ramp of a cold
//! destination, the order by value and the early end of late messages go beyond NICC; README.md says where
//! they are.

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
use receiver_gates::limit_share;
use tuning::*;

impl PolicyEngine {
    /// Decides what to do now, after all events of this moment.
    pub fn decide(&mut self, now: Micros, actions: &mut Vec<Action>) {
        actions.append(&mut self.cancellations);
        actions.extend(self.list_refresh.take_due(now).then_some(Action::RequestList));
        let due = self.schedule.take_due(now);
        due.iter().for_each(|id| self.update_destination(now, *id));
        let next_checks = self.send_waiting(now, &due, actions);
        self.cancel_overtaken(now, actions);
        self.close_idle_connections(actions);
        for (id, at) in next_checks {
            self.schedule.add(id, at.min(self.next_hung_call(id)));
        }
        self.shed(now, actions);
        self.clean_up(now);
        let timer = self.list_refresh.due().into_iter().chain(self.schedule.next_due()).min();
        if let Some(at) = timer.filter(|at| self.timer_at.is_none_or(|t| *at < t)) {
            self.timer_at = Some(at);
            actions.push(Action::SetTimer(at.since(now).max(Micros(1))));
        }
    }

    /// Charges a message to its tenant's share at this sender, a bucket that holds two seconds of the
    /// allowance. Returns whether the message is beyond the share.
    pub(super) fn exceeds_tenant_share(&mut self, now: Micros, tenant: TenantId) -> bool {
        let Some(limits) = self.settings.tenants.get(tenant.0) else { return false };
        let rate = limits.allowance_per_s / self.tuning.sender_count;
        rate > 0.0
            && !self.tenant_buckets[tenant.0].try_take(
                now,
                rate,
                (rate * TENANT_BURST_S).max(MIN_TENANT_BURST),
            )
    }

    /// Ends a message that was not delivered; no other code does. The answer is a refusal where a repeat is
    /// harmless, otherwise a failure.
    pub(super) fn end_undelivered(
        &mut self, now: Micros, id: MessageId, wait: Option<Micros>, actions: &mut Vec<Action>,
    ) {
        let Some(message) = self.held.get(&id).filter(|m| !m.ended && m.in_flight.is_empty()) else { return };
        actions.push(if message.may_refuse(&self.settings, now) {
            let retry_after =
                wait.filter(|_| self.settings.send_retry_after).map(|w| w.min(self.settings.max_retry_after));
            Action::Refuse { id, retry_after }
        } else {
            Action::Fail(id)
        });
        self.close(id);
    }

    /// Close to the limit of held messages, ends those of least value, so that new messages are not refused
    /// whatever their value is.
    fn shed(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let surplus =
            self.held.len().saturating_sub((f64::from(self.settings.max_held) * SHED_THRESHOLD) as usize);
        let held = if surplus > 0 { &self.held } else { return };
        let not_in_flight = held.iter().filter(|(_, m)| m.in_flight.is_empty() && !m.ended);
        let mut by_value: Vec<_> = not_in_flight.map(|(id, m)| (m.value(&self.settings, now), *id)).collect();
        by_value.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, id) in by_value.into_iter().take(surplus) {
            self.end_undelivered(now, id, Some(self.settings.max_retry_after), actions);
        }
    }

    /// While messages wait for a slot, cancels calls that hang although later ones were delivered, where the
    /// message may be repeated.
    fn cancel_overtaken(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let held = if self.settings.allow_cancel && !self.waiting_for_slot.is_empty() {
            &mut self.held
        } else {
            return;
        };
        for (id, message) in held.iter_mut().filter(|(_, m)| m.attempts <= MAX_CANCELLABLE_ATTEMPTS) {
            let repeatable = self.settings.classes[message.class.0].effect != Effect::Unsafe;
            for attempt in message.in_flight.iter_mut().filter(|a| repeatable && !a.cancelled) {
                let receiver = self.receivers.get(&attempt.receiver);
                attempt.cancelled =
                    receiver.is_some_and(|r| r.overtaken(attempt.sent_at, now.since(attempt.sent_at).secs()));
                actions.extend(
                    attempt.cancelled.then_some(Action::CancelAttempt { id: *id, attempt: attempt.number }),
                );
            }
        }
    }
}
