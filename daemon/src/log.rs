//! The diagnostic log: `tracing` events as text lines or JSON objects on standard error.
//!
//! Every line names the instance. A peer must not be able to fill the disk by causing errors, so each call
//! site writes a limited number of lines per second, and further lines are only counted.

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

/// Lines omitted since the start.
static OMITTED_LINES: AtomicU64 = AtomicU64::new(0);
/// The limit applies to windows of this length.
const LIMIT_WINDOW: Duration = Duration::from_secs(1);

/// Lines omitted since the start.
pub fn omitted_lines() -> u64 {
    OMITTED_LINES.load(Ordering::Relaxed)
}

/// Limits the lines of each call site. There are only as many call sites as the program has, so the table
/// stays small.
struct RateLimit {
    max_lines: u32,
    windows: Mutex<HashMap<Identifier, (Instant, u32)>>,
}

impl RateLimit {
    fn new(max_lines: u32) -> RateLimit {
        RateLimit { max_lines, windows: Mutex::default() }
    }
    fn passes(&self, now: Instant, call_site: Identifier) -> bool {
        let Ok(mut windows) = self.windows.lock() else { return true };
        let (window_start, lines) = windows.entry(call_site).or_insert((now, 0));
        if now.duration_since(*window_start) >= LIMIT_WINDOW {
            (*window_start, *lines) = (now, 0);
        }
        *lines = lines.saturating_add(1);
        *lines <= self.max_lines
    }
}

impl<S: Subscriber> Layer<S> for RateLimit {
    fn event_enabled(&self, event: &Event<'_>, _: Context<'_, S>) -> bool {
        let passes = self.passes(Instant::now(), event.metadata().callsite());
        if !passes {
            OMITTED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        passes
    }
}

/// Starts the log of this process. Lines carry the instance's name on this thread for as long as the guard
/// lives.
pub fn start(log: &Log, instance: &str) -> EnteredSpan {
    let level = match log.level {
        Level::Error => LevelFilter::ERROR,
        Level::Warn => LevelFilter::WARN,
        Level::Info => LevelFilter::INFO,
        Level::Debug => LevelFilter::DEBUG,
        Level::Trace => LevelFilter::TRACE,
    };
    let lines = tracing_subscriber::fmt::layer().with_writer(std::io::stderr).with_target(false);
    let subscriber = tracing_subscriber::registry().with(level).with(RateLimit::new(log.lines_per_s));
    // If a log was started before in this process, that one stays.
    let _ = match log.format {
        Format::Text => subscriber.with(lines.with_ansi(false)).try_init(),
        Format::Json => subscriber.with(lines.json().flatten_event(true).with_span_list(false)).try_init(),
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

    /// A peer that causes the same error a thousand times must not fill the log, nor keep another call site
    /// from writing.
    #[test]
    fn one_call_site_cannot_fill_the_log() {
        let sink = Sink::default();
        let writer = sink.clone();
        let lines = tracing_subscriber::fmt::layer().with_writer(move || writer.clone());
        let subscriber = tracing_subscriber::registry().with(RateLimit::new(5)).with(lines);
        let before = omitted_lines();
        tracing::subscriber::with_default(subscriber, || {
            for i in 0..1000 {
                tracing::warn!(i, "a malformed response");
            }
            tracing::warn!("the list source has changed");
        });
        let text = String::from_utf8(sink.0.lock().unwrap().clone()).unwrap();
        // A new window may begin once while the test runs.
        let malformed = text.matches("a malformed response").count();
        assert!((5..=10).contains(&malformed) && text.contains("the list source has changed"), "{text}");
        assert!(omitted_lines() - before >= 990);
    }

    #[test]
    fn a_limited_call_site_writes_again_in_the_next_second() {
        let limit = RateLimit::new(1);
        let start = Instant::now();
        let call_site = tracing::callsite::Identifier(&CALL_SITE);
        assert!(limit.passes(start, call_site.clone()) && !limit.passes(start, call_site.clone()));
        assert!(limit.passes(start + LIMIT_WINDOW, call_site));
    }

    struct TestCallSite;
    static CALL_SITE: TestCallSite = TestCallSite;
    impl tracing::Callsite for TestCallSite {
        fn set_interest(&self, _: tracing::subscriber::Interest) {}
        fn metadata(&self) -> &tracing::Metadata<'_> {
            unreachable!("only the address of the call site is used")
        }
    }
}
