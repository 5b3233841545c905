//! The policy engine as a tower layer. It holds requests, sends each when and where its destination can take
//! it, retries it where that is safe, and ends it before its deadline.
//!
//! The inner service gets a [`Call`]: the request and the receiver that the policy engine chose. A
//! [`Classify`] gives the meaning of a result. The layer works with any async runtime; its timers are those
//! of async-io.

use async_channel::{Sender, bounded};
use async_io::Timer;
use futures_lite::future;
use onyxrock::PolicyEngine;
use onyxrock::interface::*;
use std::collections::{BTreeMap, BTreeSet};
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tower_layer::Layer;
use tower_service::Service;

/// What the policy engine needs to know about a request.
pub trait RequestInfo {
    /// The destination that the request must be delivered to.
    fn destination(&self) -> DestinationId;
    /// Its class: an index into [`Settings::classes`].
    ///
    /// A request of a keyed class must hold a key by which its receivers drop a repeat: the middleware sends the request as
    /// it is and does not look for one.
    fn class(&self) -> ClassId;
    /// Its tenant, if any.
    fn tenant(&self) -> Option<TenantId> {
        None
    }
    /// Time to its deadline; none for the time that its class allows.
    fn time_left(&self) -> Option<Duration> {
        None
    }
}

/// Decides how a call ended, from its result.
pub trait Classify<T, E> {
    /// How the call ended. [`Verdict::Delivered`] ends the request. A request that may have run is not
    /// repeated where a repeat could take effect again.
    fn verdict(&self, result: &Result<T, E>) -> Verdict;
}

impl<T, E, F: Fn(&Result<T, E>) -> Verdict> Classify<T, E> for F {
    fn verdict(&self, result: &Result<T, E>) -> Verdict {
        self(result)
    }
}

/// A request and the receiver to which the policy engine sends it.
#[derive(Clone, Debug)]
pub struct Call<R> {
    /// The request as it was submitted.
    pub request: R,
    /// The receiver to call.
    pub receiver: ReceiverId,
}

/// Why a request was not delivered.
#[derive(Debug)]
pub enum DeliveryError<T, E> {
    /// The request was not delivered; submitting it again is safe, best after this span.
    Refused(Option<Duration>),
    /// The request failed and may or may not have run. Holds the result of its last call, if there is one.
    Failed(Option<Result<T, E>>),
}

/// A message from the shared state to the future of a request.
enum Command {
    Call {
        receiver: ReceiverId,
        timeout: Micros,
    },
    Refused(Option<Duration>),
    Failed,
    /// The next timer is due earlier than before, so the wait for it must be restarted.
    TimerChanged,
}

struct State {
    policy: PolicyEngine,
    max_held: usize,
    last_id: u64,
    commands: BTreeMap<u64, Sender<Command>>,
    /// Attempts made for each request.
    attempts: BTreeMap<u64, u32>,
    /// Times of the timers that the policy engine requested.
    timers: BTreeSet<Micros>,
}

struct Shared {
    started: Instant,
    /// For each class, the span from submission to deadline.
    give_up_after: Vec<Micros>,
    state: Mutex<State>,
}

impl Shared {
    fn now(&self) -> Micros {
        Micros(self.started.elapsed().as_micros() as u64)
    }
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
    /// Passes events of the same moment to the policy engine, lets it decide, and carries out its actions.
    fn handle_events(&self, events: impl IntoIterator<Item = Event>) {
        let now = self.now();
        let mut state = self.lock();
        let earliest_before = state.timers.first().copied();
        let mut actions = Vec::new();
        while state.timers.first().is_some_and(|at| *at <= now) {
            state.timers.pop_first();
            state.policy.on_event(now, Event::TimerFired, &mut actions);
        }
        for event in events {
            state.policy.on_event(now, event, &mut actions);
        }
        state.policy.decide(now, &mut actions);
        for action in actions {
            state.carry_out(now, action);
        }
        if state.timers.first().is_some_and(|at| earliest_before.is_none_or(|earlier| *at < earlier)) {
            state.commands.values().for_each(|commands| drop(commands.try_send(Command::TimerChanged)));
        }
    }
    /// Returns when the next timer is due.
    async fn next_timer(&self) {
        let next = self.lock().timers.first().copied();
        match next {
            Some(at) => drop(Timer::after(Duration::from_micros(at.since(self.now()).0)).await),
            None => future::pending().await,
        }
    }
    /// Waits for `work` and meanwhile reports due timers to the policy engine.
    async fn run_with_timers<T>(&self, work: impl Future<Output = T>) -> T {
        let mut work = std::pin::pin!(work);
        loop {
            let timer = async {
                self.next_timer().await;
                None
            };
            if let Some(done) = future::or(async { Some(work.as_mut().await) }, timer).await {
                return done;
            }
            self.handle_events([]);
        }
    }
}

impl State {
    fn carry_out(&mut self, now: Micros, action: Action) {
        let (id, command) = match action {
            Action::Send { id, receiver, timeout } => {
                *self.attempts.entry(id.0).or_insert(0) += 1;
                (id, Command::Call { receiver, timeout })
            }
            Action::Refuse { id, retry_after } => {
                (id, Command::Refused(retry_after.map(|span| Duration::from_micros(span.0))))
            }
            Action::Fail(id) => (id, Command::Failed),
            Action::SetTimer(span) => {
                self.timers.insert(now.plus(span));
                return;
            }
            // The caller provides the list, the inner service manages connections, and senders exchange no
            // hints here.
            Action::CancelAttempt { .. }
            | Action::RequestList
            | Action::CloseIdleConnections(_)
            | Action::SendPeerHint(_)
            | Action::LogUnhealthy { .. } => return,
        };
        if let Some(commands) = self.commands.get(&id.0) {
            let _ = commands.try_send(command);
        }
    }
}

/// Makes [`Pace`] services that share one policy engine.
#[derive(Clone)]
pub struct PaceLayer<C> {
    shared: Arc<Shared>,
    classify: C,
}

impl<C> PaceLayer<C> {
    /// A layer with its own policy engine. The list may be empty at first; see [`PaceLayer::set_list`].
    pub fn new(settings: Settings, list: Vec<ListEntry>, seed: u64, classify: C) -> PaceLayer<C> {
        let max_held = settings.max_held as usize;
        let give_up_after = settings.classes.iter().map(|class| class.give_up_after).collect();
        // Each request is a single future here, which makes one call at a time and ends that call itself.
        let settings =
            Settings { subscribe_to_list: false, second_copies: false, allow_cancel: false, ..settings };
        let state = State {
            policy: PolicyEngine::new(settings, seed),
            max_held,
            last_id: 0,
            commands: BTreeMap::new(),
            attempts: BTreeMap::new(),
            timers: BTreeSet::new(),
        };
        let shared = Shared { started: Instant::now(), give_up_after, state: Mutex::new(state) };
        let layer = PaceLayer { shared: Arc::new(shared), classify };
        layer.set_list(list);
        layer
    }
    /// Replaces the complete list of receivers.
    pub fn set_list(&self, list: Vec<ListEntry>) {
        self.shared.handle_events([Event::FullList(list)]);
    }
}

impl<S, C: Clone> Layer<S> for PaceLayer<C> {
    type Service = Pace<S, C>;
    fn layer(&self, inner: S) -> Pace<S, C> {
        Pace { inner, classify: self.classify.clone(), shared: self.shared.clone() }
    }
}

/// A service whose calls the policy engine paces.
#[derive(Clone)]
pub struct Pace<S, C> {
    inner: S,
    classify: C,
    shared: Arc<Shared>,
}

/// Withdraws the request when its future is dropped; a call in flight then counts as cancelled.
struct PendingRequest {
    shared: Arc<Shared>,
    id: u64,
    /// Receiver and send time of the call in flight.
    in_flight: Option<(ReceiverId, Micros)>,
}

impl PendingRequest {
    /// Ends the call in flight, if there is one, and returns the event for the policy engine.
    fn end_call(&mut self, verdict: Verdict) -> Option<Event> {
        let (receiver, sent) = self.in_flight.take()?;
        let attempt = self.shared.lock().attempts.get(&self.id).map_or(0, |made| made - 1);
        let elapsed = self.shared.now().since(sent);
        let (id, finished) = (MessageId(self.id), verdict == Verdict::Delivered);
        let (limit_per_s, remaining_share) = (None, None);
        Some(Event::Outcome(Outcome {
            id,
            attempt,
            receiver,
            verdict,
            elapsed,
            finished,
            limit_per_s,
            remaining_share,
        }))
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        let cancelled = self.end_call(Verdict::Cancelled);
        {
            let mut state = self.shared.lock();
            state.commands.remove(&self.id);
            state.attempts.remove(&self.id);
        }
        self.shared.handle_events([Event::Withdrawn(MessageId(self.id))].into_iter().chain(cancelled));
    }
}

impl<S, R, C> Service<R> for Pace<S, C>
where
    S: Service<Call<R>> + Clone + Send + 'static,
    S::Future: Send,
    S::Response: Send + 'static,
    S::Error: Send + 'static,
    R: RequestInfo + Clone + Send + 'static,
    C: Classify<S::Response, S::Error> + Clone + Send + 'static,
{
    type Response = S::Response;
    type Error = DeliveryError<S::Response, S::Error>;
    type Future = Pin<Box<dyn Future<Output = Result<S::Response, Self::Error>> + Send>>;

    /// Always ready: the future of a request that cannot be sent yet holds it, or ends it as refused.
    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: R) -> Self::Future {
        Box::pin(run(self.inner.clone(), self.classify.clone(), self.shared.clone(), request))
    }
}

async fn run<S, R, C>(
    inner: S, classify: C, shared: Arc<Shared>, request: R,
) -> Result<S::Response, DeliveryError<S::Response, S::Error>>
where
    S: Service<Call<R>> + Clone,
    R: RequestInfo + Clone,
    C: Classify<S::Response, S::Error>,
{
    let (sender, commands) = bounded(8);
    let id = {
        let mut state = shared.lock();
        if state.commands.len() >= state.max_held {
            return Err(DeliveryError::Refused(None));
        }
        state.last_id += 1;
        let id = state.last_id;
        state.commands.insert(id, sender);
        id
    };
    let mut pending = PendingRequest { shared: shared.clone(), id, in_flight: None };
    let give_up_after = shared.give_up_after.get(request.class().0).copied().unwrap_or_default();
    let time_left =
        request.time_left().map_or(give_up_after, |left| Micros(left.as_micros() as u64).min(give_up_after));
    shared.handle_events([Event::Submit(Message {
        id: MessageId(id),
        class: request.class(),
        tenant: request.tenant(),
        ordering_key: None,
        destination: request.destination(),
        time_left,
    })]);
    let mut last_result = None;
    loop {
        match shared.run_with_timers(commands.recv()).await {
            Ok(Command::Call { receiver, timeout }) => {
                pending.in_flight = Some((receiver, shared.now()));
                let mut service = inner.clone();
                let call = Call { request: request.clone(), receiver };
                let attempt = shared.lock().attempts.get(&id).map_or(0, |made| made - 1);
                let work = async {
                    if let Err(error) = poll_fn(|cx| service.poll_ready(cx)).await {
                        return Some(Err(error));
                    }
                    // The call may have waited for the inner service, and meanwhile a retry-after may have
                    // come in or the time to send may have passed.
                    match shared.lock().policy.recheck_send(shared.now(), MessageId(id), attempt, receiver) {
                        SendRecheck::Allowed => {}
                        SendRecheck::WithinRetryAfter
                        | SendRecheck::NoLongerAllowed
                        | SendRecheck::MessageEnded => return None,
                    }
                    Some(service.call(call).await)
                };
                let time_out = async {
                    Timer::after(Duration::from_micros(timeout.0)).await;
                    Err(Verdict::TimedOut)
                };
                let work = async { work.await.ok_or(Verdict::HeldBack) };
                let (verdict, result) = match shared.run_with_timers(future::or(work, time_out)).await {
                    Ok(result) => (classify.verdict(&result), Some(result)),
                    Err(verdict) => (verdict, None),
                };
                let outcome = pending.end_call(verdict);
                shared.handle_events(outcome);
                match (verdict, result) {
                    (Verdict::Delivered, Some(Ok(response))) => return Ok(response),
                    (Verdict::Delivered, other) => return Err(DeliveryError::Failed(other)),
                    (Verdict::HeldBack, None) => {}
                    (_, other) => last_result = other,
                }
            }
            Ok(Command::Refused(retry_after)) => return Err(DeliveryError::Refused(retry_after)),
            Ok(Command::Failed) | Err(_) => return Err(DeliveryError::Failed(last_result)),
            Ok(Command::TimerChanged) => {}
        }
    }
}
