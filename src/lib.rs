//! A policy engine for a sender that delivers notifications to external receivers. It decides what to send
//! where and when, what to retry, what to refuse, and how to treat a destination that fails, slows down or
//! recovers.
//!
//! The library does no I/O and has no clock, threads or global state. The sender passes [`Event`]s to a
//! [`PolicyEngine`], calls [`PolicyEngine::decide`] after all events of the same moment, and carries out the
//! returned [`Action`]s in order.
//!
//! The caller guarantees that
//! - its clock never runs backwards, and all times are microseconds on that one clock;
//! - each [`Action::Send`] gets exactly one [`Event::Outcome`], at the latest when its timeout has passed;
//! - a delivered message needs no further final status, and message ids are never used twice;
//! - each [`Action::SetTimer`] is followed by an [`Event::TimerFired`] once the span has passed.
//!
//! In return, each message of an [`Event::Submit`] gets exactly one final status before its deadline: its
//! delivery, [`Action::Refuse`] or [`Action::Fail`]. One engine serves one sender process; engines share no
//! state.
//!
//! ```
//! use onyxrock::{PolicyEngine, interface::*};
//!
//! let settings = Settings {
//!     classes: vec![ClassSettings {
//!         target_latency: Micros(1_000_000),
//!         give_up_after: Micros(20_000_000),
//!         effect: Effect::Safe,
//!         value: 1.0,
//!         ..ClassSettings::default()
//!     }],
//!     slots: 8,
//!     max_held: 100,
//!     max_attempts: 6,
//!     ..Settings::default()
//! };
//! let mut policy = PolicyEngine::new(settings, 42);
//! let mut actions = Vec::new();
//!
//! // The list has one receiver; a message for its destination is accepted.
//! let entry = ListEntry {
//!     receiver: ReceiverId(7),
//!     state: EntryState::Ready,
//!     destination: DestinationId(1),
//!     kind: KindId(0),
//!     zone: ZoneId(0),
//!     weight: 0.0,
//! };
//! let now = Micros(1_000);
//! policy.on_event(now, Event::FullList(vec![entry]), &mut actions);
//! policy.on_event(now, Event::Submit(Message {
//!     id: MessageId(1),
//!     class: ClassId(0),
//!     tenant: None,
//!     ordering_key: None,
//!     destination: DestinationId(1),
//!     time_left: Micros(20_000_000),
//! }), &mut actions);
//! policy.decide(now, &mut actions);
//! assert!(matches!(actions[0], Action::Send { receiver: ReceiverId(7), .. }));
//!
//! // The call is refused: the engine requests a timer, and when that fires it sends the message again.
//! actions.clear();
//! let elapsed = Micros(40_000);
//! let now = now.plus(elapsed);
//! policy.on_event(now, Event::Outcome(Outcome {
//!     id: MessageId(1),
//!     attempt: 0,
//!     receiver: ReceiverId(7),
//!     verdict: Verdict::Full(None),
//!     elapsed,
//!     finished: false,
//!     limit_per_s: None,
//!     remaining_share: None,
//! }), &mut actions);
//! policy.decide(now, &mut actions);
//! let Action::SetTimer(span) = actions[0] else { panic!("no timer was requested") };
//! actions.clear();
//! let now = now.plus(span);
//! policy.on_event(now, Event::TimerFired, &mut actions);
//! policy.decide(now, &mut actions);
//! assert!(matches!(actions[0], Action::Send { id: MessageId(1), .. }));
//! ```

mod connections;
pub mod core;
pub mod interface;
mod list_refresh;
mod peer_hint;
pub mod policy;
mod state;

pub use interface::{Action, Event, Settings};
pub use policy::PolicyEngine;
