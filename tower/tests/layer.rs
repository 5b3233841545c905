//! Tests the layer around a service whose responses are scripted.

use futures_lite::future::{self, block_on};
use onyxrock::interface::*;
use onyxrock_tower::{Call, DeliveryError, PaceLayer, RequestInfo};
use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tower_layer::Layer;
use tower_service::Service;

#[derive(Clone)]
struct TestRequest {
    class: usize,
    time_left: Duration,
}

impl RequestInfo for TestRequest {
    fn destination(&self) -> DestinationId {
        DestinationId(1)
    }
    fn class(&self) -> ClassId {
        ClassId(self.class)
    }
    fn time_left(&self) -> Option<Duration> {
        Some(self.time_left)
    }
}

/// Gives these responses in turn and never responds after the last one. Records the receiver of each call.
#[derive(Clone, Default)]
struct Server {
    responses: Arc<Mutex<VecDeque<u16>>>,
    calls: Arc<Mutex<Vec<u64>>>,
}

impl Service<Call<TestRequest>> for Server {
    type Response = u16;
    type Error = ();
    type Future = Pin<Box<dyn Future<Output = Result<u16, ()>> + Send>>;
    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), ()>> {
        Poll::Ready(Ok(()))
    }
    fn call(&mut self, call: Call<TestRequest>) -> Self::Future {
        self.calls.lock().unwrap().push(call.receiver.0);
        match self.responses.lock().unwrap().pop_front() {
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

fn run(
    responses: &[u16], class: usize, time_left_ms: u64,
) -> (Result<u16, DeliveryError<u16, ()>>, Vec<u64>) {
    let server = Server::default();
    server.responses.lock().unwrap().extend(responses);
    let layer = PaceLayer::new(settings(), vec![entry()], 3, verdict);
    let request = TestRequest { class, time_left: Duration::from_millis(time_left_ms) };
    let result = block_on(layer.layer(server.clone()).call(request));
    let calls = server.calls.lock().unwrap().clone();
    (result, calls)
}

#[test]
fn a_refused_call_is_retried_and_delivered() {
    let (result, calls) = run(&[503, 200], SAFE, 5000);
    assert_eq!((result.unwrap(), calls), (200, vec![7, 7]));
}

#[test]
fn an_unsafe_request_that_may_have_run_is_not_retried() {
    let (result, calls) = run(&[500, 200], UNSAFE, 5000);
    assert!(matches!(result, Err(DeliveryError::Failed(Some(Ok(500))))));
    assert_eq!(calls, [7]);
}

#[test]
fn a_call_without_a_response_fails_by_the_deadline() {
    let (result, calls) = run(&[], UNSAFE, 300);
    assert!(matches!(result, Err(DeliveryError::Failed(None))));
    assert_eq!(calls, [7]);
}

#[test]
fn a_request_that_never_ran_ends_as_refused() {
    let (result, calls) = run(&[503; 3], SAFE, 10_000);
    assert!(matches!(result, Err(DeliveryError::Refused(_))));
    assert_eq!(calls, [7, 7, 7]);
}

/// Accepts a second call only after the response to the first, like a pool with a single connection. Records
/// when it responded to the first call, and when each call began.
#[derive(Clone)]
struct OneSlotServer(Server, Arc<Mutex<Option<Instant>>>, Arc<Mutex<Vec<Instant>>>);

impl Service<Call<TestRequest>> for OneSlotServer {
    type Response = u16;
    type Error = ();
    type Future = Pin<Box<dyn Future<Output = Result<u16, ()>> + Send>>;
    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), ()>> {
        let has_responded = self.1.lock().unwrap().is_some();
        let is_second = !self.0.calls.lock().unwrap().is_empty();
        if is_second && !has_responded {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(Ok(()))
    }
    fn call(&mut self, call: Call<TestRequest>) -> Self::Future {
        let (first_response, response) = (self.1.clone(), self.0.call(call));
        let is_first = first_response.lock().unwrap().is_none();
        self.2.lock().unwrap().push(Instant::now());
        Box::pin(async move {
            if is_first {
                async_io::Timer::after(Duration::from_millis(100)).await;
                first_response.lock().unwrap().get_or_insert_with(Instant::now);
            }
            response.await
        })
    }
}

/// Two calls are sent at once. The second waits for the inner service to become ready, and meanwhile the
/// response to the first brings a retry-after: the second must not go out before that has passed.
#[test]
fn a_call_that_waits_for_the_inner_service_respects_a_retry_after() {
    let server = OneSlotServer(Server::default(), Arc::default(), Arc::default());
    server.0.responses.lock().unwrap().extend([429, 200, 200]);
    // With 16 slots, a receiver without any result so far gets two calls at once.
    let layer = PaceLayer::new(Settings { slots: 16, ..settings() }, vec![entry()], 3, verdict);
    let submit =
        || layer.layer(server.clone()).call(TestRequest { class: SAFE, time_left: Duration::from_secs(10) });
    let (first, second) = block_on(future::zip(submit(), submit()));
    assert_eq!((first.unwrap(), second.unwrap()), (200, 200));
    let responded = server.1.lock().unwrap().expect("the first call got its response");
    let delays: Vec<_> =
        server.2.lock().unwrap().iter().skip(1).map(|began| began.duration_since(responded)).collect();
    assert!(
        delays.len() == 2 && delays.iter().all(|delay| *delay >= Duration::from_millis(690)),
        "{delays:?}"
    );
}
