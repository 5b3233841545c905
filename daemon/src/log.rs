//! The log: `tracing`, as lines for people or JSON objects, on standard error.
//!
//! Every line has the instance. What a peer can cause as often as it likes must not fill a disk: each place in the
//! program writes so many lines a second at most, and what is over that is only counted.

use onyxrock_config::product::{Format, Level, Log};
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tracing::callsite::Identifier;
use tracing::span::EnteredSpan;
use tracing::{Event, Subscriber};
use tracing_subscriber::filter::LevelFilter;
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;

/// Lines that were not written since the start.
static LEFT_OUT: AtomicU64 = AtomicU64::new(0);
const WINDOW: Duration = Duration::from_secs(1);

/// Lines that were not written since the start.
pub fn left_out() -> u64 {
    LEFT_OUT.load(Ordering::Relaxed)
}

/// Bounds the lines of each place. Places are as many as the program has, so the table stays small.
struct Bound {
    most: u32,
    seen: Mutex<HashMap<Identifier, (Instant, u32)>>,
}

impl Bound {
    fn new(most: u32) -> Bound {
        Bound { most, seen: Mutex::default() }
    }
    fn passes(&self, now: Instant, place: Identifier) -> bool {
        let Ok(mut seen) = self.seen.lock() else { return true };
        let (since, lines) = seen.entry(place).or_insert((now, 0));
        if now.duration_since(*since) >= WINDOW {
            (*since, *lines) = (now, 0);
        }
        *lines = lines.saturating_add(1);
        *lines <= self.most
    }
}

impl<S: Subscriber> Layer<S> for Bound {
    fn event_enabled(&self, event: &Event<'_>, _: Context<'_, S>) -> bool {
        let passes = self.passes(Instant::now(), event.metadata().callsite());
        if !passes {
            LEFT_OUT.fetch_add(1, Ordering::Relaxed);
        }
        passes
    }
}

/// Starts the log of this process. Lines carry the instance for as long as the guard lives, on its thread.
pub fn start(log: &Log, instance: &str) -> EnteredSpan {
    let level = match log.level {
        Level::Error => LevelFilter::ERROR,
        Level::Warn => LevelFilter::WARN,
        Level::Info => LevelFilter::INFO,
        Level::Debug => LevelFilter::DEBUG,
        Level::Trace => LevelFilter::TRACE,
    };
    let lines = tracing_subscriber::fmt::layer().with_writer(std::io::stderr).with_target(false);
    let all = tracing_subscriber::registry().with(level).with(Bound::new(log.lines_per_s));
    // A second start in one process keeps the first log.
    let _ = match log.format {
        Format::Text => all.with(lines.with_ansi(false)).try_init(),
        Format::Json => all.with(lines.json().flatten_event(true).with_span_list(false)).try_init(),
    };
    tracing::error_span!("forwarder", instance).entered()
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io;
    use std::sync::Arc;

    #[derive(Clone, Default)]
    struct Sink(Arc<Mutex<Vec<u8>>>);

    impl io::Write for Sink {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            self.0.lock().unwrap().extend(bytes);
            Ok(bytes.len())
        }
        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    /// A peer that misbehaves a thousand times costs a few lines, and another place still writes its own.
    #[test]
    fn one_place_cannot_fill_the_log() {
        let sink = Sink::default();
        let writer = sink.clone();
        let lines = tracing_subscriber::fmt::layer().with_writer(move || writer.clone());
        let all = tracing_subscriber::registry().with(Bound::new(5)).with(lines);
        let before = left_out();
        tracing::subscriber::with_default(all, || {
            for i in 0..1000 {
                tracing::warn!(i, "a spoilt answer");
            }
            tracing::warn!("the list has moved");
        });
        let text = String::from_utf8(sink.0.lock().unwrap().clone()).unwrap();
        // The window may turn over once while the test runs.
        let spoilt = text.matches("a spoilt answer").count();
        assert!((5..=10).contains(&spoilt) && text.contains("the list has moved"), "{text}");
        assert!(left_out() - before >= 990);
    }

    #[test]
    fn a_place_writes_again_in_the_next_second() {
        let bound = Bound::new(1);
        let start = Instant::now();
        let place = tracing::callsite::Identifier(&PLACE);
        assert!(bound.passes(start, place.clone()) && !bound.passes(start, place.clone()));
        assert!(bound.passes(start + WINDOW, place));
    }

    struct Place;
    static PLACE: Place = Place;
    impl tracing::Callsite for Place {
        fn set_interest(&self, _: tracing::subscriber::Interest) {}
        fn metadata(&self) -> &tracing::Metadata<'_> {
            unreachable!("only its address is looked at")
        }
    }
}
