//! The layer round a service that answers as it is told to.

use futures_lite::future::{self, block_on};
use onyxrock::interface::*;
use onyxrock_tower::{Call, Ended, PaceLayer, Route};
use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tower_layer::Layer;
use tower_service::Service;

#[derive(Clone)]
struct Ask {
    class: usize,
    left: Duration,
}

impl Route for Ask {
    fn destination(&self) -> DestinationId {
        DestinationId(1)
    }
    fn class(&self) -> ClassId {
        ClassId(self.class)
    }
    fn left(&self) -> Option<Duration> {
        Some(self.left)
    }
}

/// Gives out these answers in turn, then hangs. Notes where each call went.
#[derive(Clone, Default)]
struct Server {
    answers: Arc<Mutex<VecDeque<u16>>>,
    calls: Arc<Mutex<Vec<u64>>>,
}

impl Service<Call<Ask>> for Server {
    type Response = u16;
    type Error = ();
    type Future = Pin<Box<dyn Future<Output = Result<u16, ()>> + Send>>;
    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), ()>> {
        Poll::Ready(Ok(()))
    }
    fn call(&mut self, call: Call<Ask>) -> Self::Future {
        self.calls.lock().unwrap().push(call.receiver.0);
        match self.answers.lock().unwrap().pop_front() {
            Some(status) => Box::pin(async move { Ok(status) }),
            None => Box::pin(future::pending()),
        }
    }
}

const SAFE: usize = 0;
const UNSAFE: usize = 1;

fn verdict(result: &Result<u16, ()>) -> Verdict {
    match result {
        Ok(200) => Verdict::Delivered,
        Ok(503) => Verdict::Full(None),
        Ok(429) => Verdict::Full(Some(Micros(700_000))),
        _ => Verdict::Error,
    }
}

fn settings() -> Settings {
    let class_of = |effect| ClassSettings {
        target_latency: Micros(1_000_000),
        give_up_after: Micros(20_000_000),
        effect,
        value: 1.0,
        ..ClassSettings::default()
    };
    Settings {
        classes: vec![class_of(Effect::Safe), class_of(Effect::Unsafe)],
        kinds: vec![KindSettings { separate_routes: false, messages_per_call: 1 }],
        slots: 4,
        max_held: 10,
        max_attempts: 3,
        sender_count: 1,
        ..Settings::default()
    }
}

fn entry() -> ListEntry {
    ListEntry {
        receiver: ReceiverId(7),
        state: EntryState::Ready,
        destination: DestinationId(1),
        kind: KindId(0),
        zone: ZoneId(0),
        weight: 0.0,
    }
}

fn run(answers: &[u16], class: usize, left_ms: u64) -> (Result<u16, Ended<u16, ()>>, Vec<u64>) {
    let server = Server::default();
    server.answers.lock().unwrap().extend(answers);
    let layer = PaceLayer::new(settings(), vec![entry()], 3, verdict);
    let ask = Ask { class, left: Duration::from_millis(left_ms) };
    let got = block_on(layer.layer(server.clone()).call(ask));
    let calls = server.calls.lock().unwrap().clone();
    (got, calls)
}

#[test]
fn a_refused_call_goes_again_and_is_delivered() {
    let (got, calls) = run(&[503, 200], SAFE, 5000);
    assert_eq!((got.unwrap(), calls), (200, vec![7, 7]));
}

#[test]
fn what_may_have_run_is_not_repeated_where_that_does_harm() {
    let (got, calls) = run(&[500, 200], UNSAFE, 5000);
    assert!(matches!(got, Err(Ended::Failed(Some(Ok(500))))));
    assert_eq!(calls, [7]);
}

#[test]
fn a_call_that_hangs_ends_in_time() {
    let (got, calls) = run(&[], UNSAFE, 300);
    assert!(matches!(got, Err(Ended::Failed(None))));
    assert_eq!(calls, [7]);
}

#[test]
fn what_never_ran_is_refused_when_its_time_is_up() {
    let (got, calls) = run(&[503; 3], SAFE, 10_000);
    assert!(matches!(got, Err(Ended::Refused(_))));
    assert_eq!(calls, [7, 7, 7]);
}

/// Ready only once what stands before it has answered, as a pool with one place is.
#[derive(Clone)]
struct OnePlace(Server, Arc<Mutex<Option<Instant>>>, Arc<Mutex<Vec<Instant>>>);

impl Service<Call<Ask>> for OnePlace {
    type Response = u16;
    type Error = ();
    type Future = Pin<Box<dyn Future<Output = Result<u16, ()>> + Send>>;
    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), ()>> {
        let answered = self.1.lock().unwrap().is_some();
        let second = !self.0.calls.lock().unwrap().is_empty();
        if second && !answered {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(Ok(()))
    }
    fn call(&mut self, call: Call<Ask>) -> Self::Future {
        let (done, answer) = (self.1.clone(), self.0.call(call));
        let first = done.lock().unwrap().is_none();
        self.2.lock().unwrap().push(Instant::now());
        Box::pin(async move {
            if first {
                async_io::Timer::after(Duration::from_millis(100)).await;
                done.lock().unwrap().get_or_insert_with(Instant::now);
            }
            answer.await
        })
    }
}

/// Both are sent at once; the second waits in the inner service while the first is told a wait.
#[test]
fn a_call_that_the_inner_service_kept_does_not_leave_within_a_wait() {
    let server = OnePlace(Server::default(), Arc::default(), Arc::default());
    server.0.answers.lock().unwrap().extend([429, 200, 200]);
    // Room for two calls at an endpoint that has proven nothing yet.
    let layer = PaceLayer::new(Settings { slots: 16, ..settings() }, vec![entry()], 3, verdict);
    let ask = || layer.layer(server.clone()).call(Ask { class: SAFE, left: Duration::from_secs(10) });
    let (first, second) = block_on(future::zip(ask(), ask()));
    assert_eq!((first.unwrap(), second.unwrap()), (200, 200));
    let told = server.1.lock().unwrap().expect("it was told");
    let after: Vec<_> = server.2.lock().unwrap().iter().skip(1).map(|t| t.duration_since(told)).collect();
    assert!(after.len() == 2 && after.iter().all(|t| *t >= Duration::from_millis(690)), "{after:?}");
}
