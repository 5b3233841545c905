//! The layer round a service that answers as it is told to.

use futures_lite::future::{self, block_on};
use onyxrock::interface::*;
use onyxrock_tower::{Call, Ended, PaceLayer, Route};
use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;
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
        _ => Verdict::Error,
    }
}

fn run(answers: &[u16], class: usize, left_ms: u64) -> (Result<u16, Ended<u16, ()>>, Vec<u64>) {
    let class_of = |effect| ClassSettings {
        aim: Micros(1_000_000),
        give_up: Micros(20_000_000),
        effect,
        worth: 1.0,
        ..ClassSettings::default()
    };
    let settings = Settings {
        classes: vec![class_of(Effect::Safe), class_of(Effect::Unsafe)],
        kinds: vec![KindSettings { apart: false, batch: 1 }],
        slots: 4,
        max_held: 10,
        max_attempts: 3,
        senders: 1,
        ..Settings::default()
    };
    let entry = Entry {
        receiver: ReceiverId(7),
        listing: Listing::Ready,
        destination: DestinationId(1),
        kind: KindId(0),
        zone: ZoneId(0),
        weight: 0.0,
    };
    let server = Server::default();
    server.answers.lock().unwrap().extend(answers);
    let layer = PaceLayer::new(settings, vec![entry], 3, verdict);
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
