//! A simulation of many policy engines on a virtual clock, without a network. Each engine on its own behaves
//! well; the simulation counts what all of them do together. Half a minute of a hundred senders takes less
//! than a second to simulate, and a seed always gives the same result.

use onyxrock::PolicyEngine;
use onyxrock::interface::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Step of the virtual clock.
const STEP: Micros = Micros(20_000);
const STEPS_PER_S: usize = 50;
/// Duration of a call.
const CALL_TIME: Micros = Micros(100_000);
/// Time from the submission of a message to its deadline.
const TIME_LEFT: Micros = Micros(5_000_000);
/// Burst that the destination accepts, in seconds of its rate limit.
const LIMIT_BURST_S: f64 = 0.2;
/// The destination's only receiver.
const RECEIVER: ReceiverId = ReceiverId(1);

/// Returns the settings of one of `senders` senders that share the load of one destination and exchange no
/// hints.
fn settings(senders: u32, number: u32) -> Settings {
    Settings {
        classes: vec![ClassSettings {
            target_latency: Micros(800_000),
            give_up_after: TIME_LEFT,
            effect: Effect::Safe,
            value: 1.0,
            late_value_share: 0.1,
            ..ClassSettings::default()
        }],
        kinds: vec![KindSettings { separate_routes: false, messages_per_call: 1 }],
        over_share_value: 1.0,
        slots: (24 / senders).max(6),
        max_held: (1200 / senders).max(60),
        max_attempts: 12,
        sender_count: senders,
        sender_index: number,
        subscribe_to_list: true,
        weights: Weights::Rough,
        collapse_multiple: 2.0,
        collapse_window: Micros(3_000_000),
        cold_start_share: 0.17,
        warm_up_time: Micros(12_000_000),
        list_poll_interval: Micros(10_000_000),
        ..Settings::default()
    }
}

/// Returns the event with a persisted list of the one receiver.
fn persisted_list(weight: f64) -> Event {
    let (destination, kind, zone) = (DestinationId(1), KindId(0), ZoneId(0));
    Event::PersistedList(vec![ListEntry {
        receiver: RECEIVER,
        state: EntryState::Ready,
        destination,
        kind,
        zone,
        weight,
    }])
}

/// One policy engine, and its calls in flight.
struct Sender {
    policy: PolicyEngine,
    /// The message, the attempt and the start of each call in flight.
    in_flight: Vec<(MessageId, u32, Micros)>,
    /// Number of attempts made so far, by message.
    attempts: std::collections::BTreeMap<MessageId, u32>,
    /// Requests for the list that have not been counted yet.
    list_requests: u32,
}

impl Sender {
    fn new(senders: u32, number: u32) -> Sender {
        let policy = PolicyEngine::new(settings(senders, number), u64::from(number));
        Sender { policy, in_flight: Vec::new(), attempts: Default::default(), list_requests: 0 }
    }

    /// Passes an event to the engine and starts what it decides.
    fn handle_event(&mut self, now: Micros, event: Event) {
        let mut actions = Vec::new();
        self.policy.on_event(now, event, &mut actions);
        self.policy.decide(now, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, .. } => {
                    let attempt = self.attempts.entry(id).or_default();
                    self.in_flight.push((id, *attempt, now));
                    *attempt += 1;
                }
                Action::RequestList => self.list_requests += 1,
                _ => {}
            }
        }
    }

    /// Removes and returns the calls that have finished by now.
    fn take_finished(&mut self, now: Micros) -> Vec<(MessageId, u32, Micros)> {
        self.in_flight.extract_if(.., |call| now.since(call.2) >= CALL_TIME).collect()
    }
}

/// A destination's rate limit. Refused calls count against it just as delivered ones do.
struct RateLimit {
    per_s: f64,
    tokens: f64,
}

impl RateLimit {
    /// Adds the tokens of an elapsed time.
    fn refill(&mut self, elapsed: Micros) {
        self.tokens = (self.tokens + self.per_s * elapsed.secs()).min(self.per_s * LIMIT_BURST_S);
    }
    /// Takes the token of one call and returns the call's verdict.
    fn take(&mut self) -> Verdict {
        self.tokens -= 1.0;
        if self.tokens >= 0.0 { Verdict::Delivered } else { Verdict::Full(None) }
    }
}

/// Calls that ended in one second of the simulation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SecondCounts {
    pub delivered: u32,
    pub refused: u32,
    /// Delivered calls of each sender.
    pub delivered_by_sender: Vec<u32>,
}

/// Senders that share one destination with a rate limit.
pub struct Simulation {
    pub senders: u32,
    /// The destination's limit in calls a second.
    pub limit_per_s: f64,
    /// The limit that the endpoint list gives as the weight.
    pub listed_weight: f64,
    /// Duration of the simulation.
    pub seconds: usize,
    pub seed: u64,
}

impl Simulation {
    /// Runs the simulation with `offered(second)` messages a second over all senders. Returns the counts of
    /// each second.
    pub fn run(&self, offered: impl Fn(usize) -> f64) -> Vec<SecondCounts> {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let mut senders: Vec<_> = (0..self.senders).map(|n| Sender::new(self.senders, n)).collect();
        let mut now = Micros(5_000_000_000);
        senders.iter_mut().for_each(|s| s.handle_event(now, persisted_list(self.listed_weight)));
        let mut limit = RateLimit { per_s: self.limit_per_s, tokens: 0.0 };
        let mut last_id = 0;
        let mut counts =
            vec![
                SecondCounts { delivered_by_sender: vec![0; senders.len()], ..SecondCounts::default() };
                self.seconds
            ];
        for (index, second) in counts.iter_mut().enumerate() {
            let submit_probability = (offered(index) * STEP.secs() / f64::from(self.senders)).min(1.0);
            for _ in 0..STEPS_PER_S {
                now = now.plus(STEP);
                limit.refill(STEP);
                for (sender, delivered) in senders.iter_mut().zip(&mut second.delivered_by_sender) {
                    sender.handle_event(now, Event::TimerFired);
                    if rng.random_bool(submit_probability) {
                        last_id += 1;
                        sender.handle_event(now, Event::Submit(message(last_id)));
                    }
                    for (id, attempt, started) in sender.take_finished(now) {
                        let verdict = limit.take();
                        let is_delivered = verdict == Verdict::Delivered;
                        *delivered += u32::from(is_delivered);
                        *(if is_delivered { &mut second.delivered } else { &mut second.refused }) += 1;
                        let elapsed = now.since(started);
                        sender.handle_event(now, outcome(id, attempt, verdict, elapsed));
                    }
                }
            }
        }
        counts
    }
}

fn message(id: u64) -> Message {
    let (class, destination) = (ClassId(0), DestinationId(1));
    Message { id: MessageId(id), class, tenant: None, ordering_key: None, destination, time_left: TIME_LEFT }
}

fn outcome(id: MessageId, attempt: u32, verdict: Verdict, elapsed: Micros) -> Event {
    let finished = verdict == Verdict::Delivered;
    let (limit_per_s, remaining_share) = (None, None);
    Event::Outcome(Outcome {
        id,
        attempt,
        receiver: RECEIVER,
        verdict,
        elapsed,
        finished,
        limit_per_s,
        remaining_share,
    })
}

/// Counts the requests for the list that all senders make in each of the ten seconds after they start at
/// once, if every request fails. With `has_list`, each sender starts with a persisted list.
pub fn count_list_requests(senders: u32, has_list: bool) -> [u32; 10] {
    let mut requests = [0; 10];
    for number in 0..senders {
        let mut sender = Sender::new(senders, number);
        let start = Micros(5_000_000_000);
        sender.handle_event(start, if has_list { persisted_list(1.0) } else { Event::TimerFired });
        for step in 0..10 * STEPS_PER_S {
            let now = start.plus(Micros(STEP.0 * step as u64));
            sender.handle_event(now, Event::TimerFired);
            // The sender may request the list again some time after the failure.
            while sender.list_requests > 0 {
                sender.list_requests -= 1;
                requests[step / STEPS_PER_S] += 1;
                sender.handle_event(now, Event::ListFailed);
            }
        }
    }
    requests
}

#[cfg(test)]
mod tests {
    use super::*;

    const LIMIT: f64 = 80.0;

    fn simulate(seconds: usize, offered: impl Fn(usize) -> f64) -> Vec<SecondCounts> {
        Simulation { senders: 100, limit_per_s: LIMIT, listed_weight: LIMIT, seconds, seed: 1 }.run(offered)
    }

    /// Guards against a collapse seen on the bench with a fleet: with a load a tenth over the limit, all
    /// calls were refused for seconds, because refused calls used up the limit and each sender waited for
    /// three refusals of its own. After that the senders took the destination for one that was down and came
    /// back cold.
    #[test]
    fn delivery_recovers_within_seconds_after_all_senders_exceed_the_limit() {
        let counts = simulate(30, |s| if s < 5 { 60.0 } else { 110.0 });
        let (delivered, refused) =
            counts[5..].iter().fold((0, 0), |sum, s| (sum.0 + s.delivered, sum.1 + s.refused));
        assert!(f64::from(delivered) > 0.75 * LIMIT * 25.0, "{delivered} delivered");
        assert!(f64::from(refused) < 0.15 * f64::from(delivered + refused), "{refused} refused");
    }

    /// A burst of two seconds must not reduce the delivery for many seconds more.
    #[test]
    fn a_short_burst_does_not_restrict_later_delivery() {
        let counts = simulate(25, |s| if (5..7).contains(&s) { 160.0 } else { 55.0 });
        let delivered: u32 = counts[15..].iter().map(|s| s.delivered).sum();
        assert!(f64::from(delivered) > 0.9 * 55.0 * 10.0, "{delivered} delivered");
    }

    /// Mean time between two requests for the list of one sender if they fail. A change must be known 6 s
    /// after discovery has it, whatever requests fail. Several requests in a row have to fit into that time,
    /// so a sender repeats a failed request after 1 to 3.5 s.
    const MEAN_RETRY_DELAY_S: f64 = 2.25;

    /// All forwarders share one discovery, so their first requests must not arrive at the same moment. They
    /// can be spread over 4.2 s at most, because one that is refused has to be repeated within 6 s.
    #[test]
    fn a_large_fleet_that_starts_at_once_spreads_its_list_requests() {
        for senders in [50, 100, 200] {
            let requests = count_list_requests(senders, true);
            let first_requests = (f64::from(senders) / 4.2).max(1.0 / 0.06) * 1.4;
            let repeated_requests = f64::from(senders) / MEAN_RETRY_DELAY_S;
            assert!(f64::from(requests[0]) <= first_requests, "{senders}: {requests:?}");
            let max = first_requests.max(repeated_requests * 1.4);
            assert!(requests.iter().all(|c| f64::from(*c) <= max), "{senders}: {requests:?}");
        }
    }

    /// A sender without a list cannot deliver: it requests the list at once, and repeats a failed request
    /// within the time in which a change must be known. The repeated requests of all senders must be spread.
    #[test]
    fn senders_without_a_list_request_it_at_once_and_spread_their_retries() {
        let requests = count_list_requests(100, false);
        let max = 100.0 / MEAN_RETRY_DELAY_S * 1.4;
        assert!(requests[0] == 100 && requests[1..].iter().all(|c| f64::from(*c) <= max), "{requests:?}");
    }
}
