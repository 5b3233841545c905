//! The module as a layer for tower: it holds requests, sends each when and where its destination takes it,
//! tries again where that is harmless, and ends it in time.
//!
//! The inner service gets a [`Call`]: the request and the receiver that the module chose. A [`Judge`] says what
//! an answer means. Any runtime will do; timers are async-io's.

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

/// What the module needs to know of a request.
pub trait Route {
    /// Where it goes.
    fn destination(&self) -> DestinationId;
    /// Its class, by its place in the settings.
    fn class(&self) -> ClassId;
    /// Whose it is.
    fn tenant(&self) -> Option<TenantId> {
        None
    }
    /// How long it may still be delivered; none for as long as its class allows.
    fn left(&self) -> Option<Duration> {
        None
    }
}

/// Says what became of a call.
pub trait Judge<T, E> {
    /// [`Verdict::Delivered`] ends the request; what may have run is not repeated where that does harm.
    fn verdict(&self, result: &Result<T, E>) -> Verdict;
}

impl<T, E, F: Fn(&Result<T, E>) -> Verdict> Judge<T, E> for F {
    fn verdict(&self, result: &Result<T, E>) -> Verdict {
        self(result)
    }
}

/// A request, and where the module sends it.
#[derive(Clone, Debug)]
pub struct Call<R> {
    /// As it was handed in.
    pub request: R,
    /// The endpoint.
    pub receiver: ReceiverId,
}

/// A request that ended undelivered.
#[derive(Debug)]
pub enum Ended<T, E> {
    /// Handing it in again is harmless, best after the wait.
    Refused(Option<Duration>),
    /// Nothing is promised; what its last call came back with, if it came back.
    Failed(Option<Result<T, E>>),
}

enum Order {
    Call {
        receiver: ReceiverId,
        patience: Micros,
    },
    Refused(Option<Duration>),
    Failed,
    /// Something is due earlier than it was.
    Look,
}

struct Inner {
    policy: PolicyEngine,
    most: usize,
    next: u64,
    orders: BTreeMap<u64, Sender<Order>>,
    attempts: BTreeMap<u64, u32>,
    wakes: BTreeSet<Micros>,
}

struct Shared {
    started: Instant,
    /// How long each class may take.
    give_up: Vec<Micros>,
    inner: Mutex<Inner>,
}

impl Shared {
    fn now(&self) -> Micros {
        Micros(self.started.elapsed().as_micros() as u64)
    }
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
    /// Events of one moment, then a decision.
    fn tell(&self, events: impl IntoIterator<Item = Event>) {
        let now = self.now();
        let mut inner = self.lock();
        let before = inner.wakes.first().copied();
        let mut actions = Vec::new();
        while inner.wakes.first().is_some_and(|t| *t <= now) {
            inner.wakes.pop_first();
            inner.policy.on_event(now, Event::TimerFired, &mut actions);
        }
        for event in events {
            inner.policy.on_event(now, event, &mut actions);
        }
        inner.policy.decide(now, &mut actions);
        for action in actions {
            inner.carry_out(now, action);
        }
        if inner.wakes.first().is_some_and(|t| before.is_none_or(|b| *t < b)) {
            inner.orders.values().for_each(|o| drop(o.try_send(Order::Look)));
        }
    }
    async fn due(&self) {
        let due = self.lock().wakes.first().copied();
        match due {
            Some(at) => drop(Timer::after(Duration::from_micros(at.since(self.now()).0)).await),
            None => future::pending().await,
        }
    }
    /// Waits for the work, and meanwhile wakes the module when it asked for that.
    async fn drive<T>(&self, work: impl Future<Output = T>) -> T {
        let mut work = std::pin::pin!(work);
        loop {
            let due = async {
                self.due().await;
                None
            };
            if let Some(done) = future::or(async { Some(work.as_mut().await) }, due).await {
                return done;
            }
            self.tell([]);
        }
    }
}

impl Inner {
    fn carry_out(&mut self, now: Micros, action: Action) {
        let (id, order) = match action {
            Action::Send { id, receiver, timeout: patience } => {
                *self.attempts.entry(id.0).or_insert(0) += 1;
                (id, Order::Call { receiver, patience })
            }
            Action::Refuse { id, retry_after } => {
                (id, Order::Refused(retry_after.map(|w| Duration::from_micros(w.0))))
            }
            Action::Fail(id) => (id, Order::Failed),
            Action::SetTimer(span) => {
                self.wakes.insert(now.plus(span));
                return;
            }
            // The list is the caller's to give, connections are the inner service's, senders share nothing.
            Action::CancelAttempt { .. }
            | Action::RequestList
            | Action::CloseIdleConnections(_)
            | Action::SendPeerHint(_)
            | Action::LogUnhealthy { .. } => return,
        };
        if let Some(orders) = self.orders.get(&id.0) {
            let _ = orders.try_send(order);
        }
    }
}

/// Makes [`Pace`] services that decide together.
#[derive(Clone)]
pub struct PaceLayer<J> {
    shared: Arc<Shared>,
    judge: J,
}

impl<J> PaceLayer<J> {
    /// The list may be empty at first; see [`PaceLayer::list`].
    pub fn new(settings: Settings, list: Vec<ListEntry>, seed: u64, judge: J) -> PaceLayer<J> {
        let most = settings.max_held as usize;
        let give_up = settings.classes.iter().map(|c| c.give_up_after).collect();
        // A request is one future here, which makes one call at a time and ends it by itself.
        let settings =
            Settings { subscribe_to_list: false, second_copies: false, allow_cancel: false, ..settings };
        let inner = Inner {
            policy: PolicyEngine::new(settings, seed),
            most,
            next: 0,
            orders: BTreeMap::new(),
            attempts: BTreeMap::new(),
            wakes: BTreeSet::new(),
        };
        let shared = Shared { started: Instant::now(), give_up, inner: Mutex::new(inner) };
        let layer = PaceLayer { shared: Arc::new(shared), judge };
        layer.list(list);
        layer
    }
    /// The whole list, as it is now.
    pub fn list(&self, list: Vec<ListEntry>) {
        self.shared.tell([Event::FullList(list)]);
    }
}

impl<S, J: Clone> Layer<S> for PaceLayer<J> {
    type Service = Pace<S, J>;
    fn layer(&self, inner: S) -> Pace<S, J> {
        Pace { inner, judge: self.judge.clone(), shared: self.shared.clone() }
    }
}

/// A service whose calls the module paces.
#[derive(Clone)]
pub struct Pace<S, J> {
    inner: S,
    judge: J,
    shared: Arc<Shared>,
}

/// A future that is dropped takes its request back; a call that was out counts as called off.
struct Held {
    shared: Arc<Shared>,
    id: u64,
    out: Option<(ReceiverId, Micros)>,
}

impl Held {
    fn outcome(&mut self, verdict: Verdict) -> Option<Event> {
        let (receiver, sent) = self.out.take()?;
        let attempt = self.shared.lock().attempts.get(&self.id).map_or(0, |n| n - 1);
        let elapsed = self.shared.now().since(sent);
        let (id, finished) = (MessageId(self.id), verdict == Verdict::Delivered);
        let (limit, left) = (None, None);
        Some(Event::Outcome(Outcome {
            id,
            attempt,
            receiver,
            verdict,
            elapsed,
            finished,
            limit_per_s: limit,
            remaining_share: left,
        }))
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let cancelled = self.outcome(Verdict::Cancelled);
        {
            let mut inner = self.shared.lock();
            inner.orders.remove(&self.id);
            inner.attempts.remove(&self.id);
        }
        self.shared.tell([Event::Withdrawn(MessageId(self.id))].into_iter().chain(cancelled));
    }
}

impl<S, R, J> Service<R> for Pace<S, J>
where
    S: Service<Call<R>> + Clone + Send + 'static,
    S::Future: Send,
    S::Response: Send + 'static,
    S::Error: Send + 'static,
    R: Route + Clone + Send + 'static,
    J: Judge<S::Response, S::Error> + Clone + Send + 'static,
{
    type Response = S::Response;
    type Error = Ended<S::Response, S::Error>;
    type Future = Pin<Box<dyn Future<Output = Result<S::Response, Self::Error>> + Send>>;

    /// Always: what cannot go now is held, or refused, by its own future.
    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: R) -> Self::Future {
        Box::pin(run(self.inner.clone(), self.judge.clone(), self.shared.clone(), request))
    }
}

async fn run<S, R, J>(
    inner: S, judge: J, shared: Arc<Shared>, request: R,
) -> Result<S::Response, Ended<S::Response, S::Error>>
where
    S: Service<Call<R>> + Clone,
    R: Route + Clone,
    J: Judge<S::Response, S::Error>,
{
    let (orders, mailbox) = bounded(8);
    let id = {
        let mut inner = shared.lock();
        if inner.orders.len() >= inner.most {
            return Err(Ended::Refused(None));
        }
        inner.next += 1;
        let id = inner.next;
        inner.orders.insert(id, orders);
        id
    };
    let mut held = Held { shared: shared.clone(), id, out: None };
    let most = shared.give_up.get(request.class().0).copied().unwrap_or_default();
    let left = request.left().map_or(most, |d| Micros(d.as_micros() as u64).min(most));
    shared.tell([Event::Submit(Message {
        id: MessageId(id),
        class: request.class(),
        tenant: request.tenant(),
        ordering_key: None,
        destination: request.destination(),
        time_left: left,
    })]);
    let mut last = None;
    loop {
        match shared.drive(mailbox.recv()).await {
            Ok(Order::Call { receiver, patience }) => {
                held.out = Some((receiver, shared.now()));
                let mut service = inner.clone();
                let call = Call { request: request.clone(), receiver };
                let attempt = shared.lock().attempts.get(&id).map_or(0, |n| n - 1);
                let work = async {
                    if let Err(e) = poll_fn(|cx| service.poll_ready(cx)).await {
                        return Some(Err(e));
                    }
                    // The inner service may have made it wait: a wait may have been told meanwhile, a time be up.
                    match shared.lock().policy.recheck_send(shared.now(), MessageId(id), attempt, receiver) {
                        SendRecheck::Allowed => {}
                        SendRecheck::WithinRetryAfter
                        | SendRecheck::NoLongerAllowed
                        | SendRecheck::MessageEnded => return None,
                    }
                    Some(service.call(call).await)
                };
                let in_time = async {
                    Timer::after(Duration::from_micros(patience.0)).await;
                    Err(Verdict::TimedOut)
                };
                let work = async { work.await.ok_or(Verdict::HeldBack) };
                let (verdict, result) = match shared.drive(future::or(work, in_time)).await {
                    Ok(result) => (judge.verdict(&result), Some(result)),
                    Err(verdict) => (verdict, None),
                };
                let outcome = held.outcome(verdict);
                shared.tell(outcome);
                match (verdict, result) {
                    (Verdict::Delivered, Some(Ok(answer))) => return Ok(answer),
                    (Verdict::Delivered, other) => return Err(Ended::Failed(other)),
                    (Verdict::HeldBack, None) => {}
                    (_, other) => last = other,
                }
            }
            Ok(Order::Refused(wait)) => return Err(Ended::Refused(wait)),
            Ok(Order::Failed) | Err(_) => return Err(Ended::Failed(last)),
            Ok(Order::Look) => {}
        }
    }
}
