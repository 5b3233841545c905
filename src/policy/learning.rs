//! What outcomes, notes of other senders and time alone teach: pace, health, tables of connections.

use super::*;

impl PolicyEngine {
    /// What another found up was no colder than if it came back that moment. A late note only makes slower.
    pub(super) fn on_note(&mut self, now: Micros, data: &[u8]) {
        let Some((id, news)) = PeerHint::decode(data) else { return };
        self.note_wait(now, id, if let PeerHint::RetryAfter(wait) = news { wait } else { Micros(0) });
        let Some(r) = self.receivers.get_mut(&id) else { return };
        let Some(d) = self.destinations.get_mut(&r.destination) else { return };
        let out_of_order = r.out_of_order(d);
        let pace = if r.apart { &mut r.pace } else { &mut d.pace };
        match news {
            PeerHint::Refused => pace.note_refusal(now, self.scale),
            PeerHint::Recovered if out_of_order => {
                pace.doubt = Doubt { from: now, phase: self.rng.roll(), ..pace.doubt };
                r.health = Health::Recovering { since: now };
                self.agenda.look(r.destination, now);
            }
            PeerHint::RetryAfter(wait) => {
                pace.note_refusal(now, self.scale);
                if wait >= LONG_WAIT && matches!(r.health, Health::Well | Health::Suspect { .. }) {
                    let phase = self.rng.roll() + 0.5;
                    pace.doubt = Doubt { from: now.plus(wait), phase, proven: r.last_proof };
                    r.sicken(now, wait);
                    d.trouble_at = now;
                }
            }
            PeerHint::Recovered => {}
        }
    }

    /// What time alone changes at a destination: its pace, and calls that hang.
    pub(super) fn refresh(&mut self, now: Micros, id: DestinationId) {
        let scale = self.scale;
        let Some(d) = self.destinations.get_mut(&id) else { return };
        let offered = d.offered.get(now, scale.rate_memory);
        d.pace.update(now, offered, scale);
        for receiver in &d.receivers {
            let Some(r) = self.receivers.get_mut(receiver) else { continue };
            r.pace.update(now, offered, scale);
            if r.silent_at() <= now && matches!(r.health, Health::Well | Health::Suspect { .. }) {
                let doubt = Doubt { from: now, phase: self.rng.roll(), proven: r.last_proof };
                *(if r.apart { &mut r.pace.doubt } else { &mut d.pace.doubt }) = doubt;
                r.sicken(now, TRIAL_FIRST);
                d.trouble_at = now;
            }
        }
    }

    pub(super) fn on_outcome(&mut self, now: Micros, o: &Outcome, actions: &mut Vec<Action>) {
        self.note_wait(now, o.receiver, o.retry_after()); // whoever the call belonged to
        let Some(m) = self.held.get_mut(&o.id) else { return };
        let of = |a: &Attempt| a.number == o.attempt && a.receiver == o.receiver;
        let Some(place) = m.out.iter().position(of) else { return };
        let attempt = m.out.remove(place);
        let may_have_run = o.verdict.may_have_run();
        if let Some(k) = m.key.as_ref().filter(|_| may_have_run && o.verdict != Verdict::Error) {
            self.turns.rest(k, o.id, now.plus(self.set.key_cooldown));
        }
        if may_have_run {
            m.maybe_ran = m.maybe_ran.into_iter().chain([(attempt.sent, attempt.zone)]).min_by_key(|f| f.0);
        }
        m.attempts -= u32::from(o.verdict == Verdict::HeldBack).min(m.attempts);
        m.untried &= matches!(
            o.verdict,
            Verdict::HeldBack | Verdict::Moot | Verdict::ConnectFailed | Verdict::ConnectionLimit
        );
        let lost = may_have_run && self.set.classes[m.class.0].effect == Effect::Unsafe;
        let spent = m.attempts >= m.max_attempts;
        let over = m.ended || o.finished || o.verdict == Verdict::Delivered;
        let alone = m.out.is_empty();
        if let Some(pause) = self.pause_after(now, o) {
            self.held.entry(o.id).and_modify(|m| m.not_before = now.plus(pause));
        }
        let full_before = self.table_full(o.receiver);
        self.learn(now, o, &attempt, actions);
        if over {
            self.close(o.id);
        } else if alone && (lost || spent) {
            self.end(now, o.id, None, actions);
        } else if let Some(m) = self.held.get(&o.id) {
            self.destinations.entry(m.destination).or_default().waiting.insert(o.id);
        }
        if let Some(to) = self.receivers.get(&o.receiver).map(|r| r.destination) {
            self.agenda.look(to, now);
        }
        self.give_back(now, o.receiver, full_before);
        std::mem::take(&mut self.starved).into_iter().for_each(|id| self.agenda.look(id, now));
    }

    /// How long a message waits for its next attempt where this one proves that it never ran: at once the table or the
    /// limit would be as full.
    fn pause_after(&self, now: Micros, o: &Outcome) -> Option<Micros> {
        let m = self.held.get(&o.id)?;
        if !matches!(o.verdict, Verdict::Full(_) | Verdict::ConnectFailed | Verdict::ConnectionLimit) {
            return None;
        }
        let table_full = o.verdict == Verdict::ConnectionLimit;
        let leads = m.key.as_ref().is_some_and(|k| self.turns.length(k) > 1);
        let soon = leads || o.odd() || table_full; // its receiver waits, others need not
        let pause = if soon { LEADER_PAUSE_S } else { self.scale.refused_pause };
        let doubled = Micros::from_secs(pause * f64::from(1u32 << (m.attempts.clamp(1, 6) - 1)));
        let left = m.max_attempts.saturating_sub(m.attempts);
        if !table_full || left > m.max_attempts / 2 {
            return Some(doubled);
        }
        // Soon the table would be as full: the second half of the attempts is spread over the time that is left.
        Some(doubled.max(Micros(m.deadline.since(now).0 / 2)))
    }

    /// What an outcome says of its receiver.
    pub(super) fn learn(&mut self, now: Micros, o: &Outcome, attempt: &Attempt, actions: &mut Vec<Action>) {
        let last = self.calls.answered(attempt.call);
        let scale = self.scale;
        let knew = self.doubted(o.receiver);
        self.note_limit(o);
        let Some(r) = self.receivers.get_mut(&o.receiver) else { return };
        if last {
            r.calls.remove(&attempt.call);
        }
        let Some(d) = self.destinations.get_mut(&r.destination) else { return };
        let trouble = if r.apart { Micros(0) } else { d.trouble_at };
        let told = told_share(&self.set, r);
        let was_doubted = r.out_of_order(d);
        let was_sick = r.sick();
        let overtaken = r.overtaken(attempt.sent, o.elapsed.secs());
        let pace = if r.apart { &mut r.pace } else { &mut d.pace };
        if let Some(left) = o.remaining_share().filter(|_| told > 0.0) {
            pace.spacing = Micros::from_secs((SPACING - SPACING_LEFT * left) / told).min(SPACING_MOST);
            pace.wary_until = NEVER;
            if matches!(o.verdict, Verdict::Full(_)) {
                pace.breath = now.plus(pace.spacing);
            }
        }
        let mut tell = None;
        if attempt.new_connection {
            self.tables.entry(r.kind).or_default().note(o.verdict);
        }
        if last {
            r.connections.put_back(now, o.verdict);
        }
        let (well, failed) = (o.verdict == Verdict::Delivered, o.verdict == Verdict::Reset);
        if (well || failed) && last && !was_sick {
            self.broad += BROAD * (f64::from(u8::from(failed)) - self.broad);
        }
        let unseen = now.since(r.last_proof) > self.set.collapse_window;
        match o.verdict {
            Verdict::TimedOut if overtaken => {}
            _ if !last => {} // messages of one call share its fate
            Verdict::Delivered => {
                if r.health == Health::Well {
                    pace.usual += USUAL_STEP * (pace.served.get(now, scale.served_memory) - pace.usual);
                }
                pace.served.add(now, scale.served_memory);
                pace.refused_run = 0;
                r.connections.refused_run = 0;
                r.on_delivery(now, attempt.sent, o.elapsed.secs(), trouble, &self.set);
                tell = was_doubted.then_some(PeerHint::Recovered);
            }
            Verdict::Full(wait) => {
                let roll = Rng(self.rng.0 ^ now.0).roll(); // no draw: other chances stay as they were
                let shut = pace.on_refusal(now, scale, told, o, roll);
                tell = Some(wait.map_or(PeerHint::Refused, PeerHint::RetryAfter));
                r.on_refusal(now, attempt.sent, o, shut, o.odd() && unseen);
            }
            Verdict::ConnectionLimit => {
                r.on_connection_limit(now, attempt.sent, Rng(self.rng.0 ^ now.0).roll());
            }
            Verdict::Error | Verdict::TimedOut | Verdict::Reset | Verdict::ConnectFailed => {
                r.on_failure(now, attempt.sent, self.broad);
            }
            Verdict::Stale | Verdict::Cancelled | Verdict::Moot | Verdict::HeldBack => {}
        }
        if !was_sick && r.sick() {
            d.trouble_at = now;
            let (receiver, destination) = (o.receiver, r.destination);
            actions.push(Action::LogUnhealthy { receiver, destination, verdict: o.verdict });
        }
        // All that were told the same opening would meet there: each falls into a gap of its own after it.
        if r.doubted(d) && (o.retry_after() > Micros(0) || !knew) {
            let proof = r.last_proof;
            let pace = if r.apart { &mut r.pace } else { &mut d.pace };
            let proven = if knew { pace.doubt.proven } else { proof };
            let phase = self.rng.roll() + if knew { 0.5 } else { 0.0 };
            pace.doubt = Doubt { from: now.max(pace.wait_until), phase, proven };
        }
        if let Some(news) = tell.filter(|_| self.set.peer_hints) {
            self.tell(now, o.receiver, news, actions);
        }
    }
}
