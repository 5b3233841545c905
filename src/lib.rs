//! The decisions of a sender that delivers notifications to outside receivers: what to send where and
//! when, what to retry, what to refuse, and how to treat a destination that fails, slows down or returns.
//!
//! The library does no I/O and owns no clock, thread or global. The sender hands [`Event`]s to a [`PolicyEngine`],
//! calls [`PolicyEngine::decide`] once all events of a moment are in, and carries out the [`Action`]s in order.
//!
//! The caller promises that
//! - its clock never runs backwards, and all times are microseconds on that one clock;
//! - each [`Action::Send`] gets exactly one [`Event::Outcome`], at the latest when its patience is over;
//! - a delivered message needs no further answer, and ids of messages are never used twice;
//! - each [`Action::WakeAfter`] is answered by an [`Event::Wake`] once the span has passed.
//!
//! In return each [`Event::Submit`] gets one final answer before its time is up: the delivery,
//! [`Action::Refuse`] or [`Action::Fail`]. One policy serves one sender process; brains share nothing.
//!
//! ```
//! use onyxrock::{PolicyEngine, interface::*};
//!
//! let settings = Settings {
//!     classes: vec![ClassSettings {
//!         aim: Micros(1_000_000),
//!         give_up: Micros(20_000_000),
//!         effect: Effect::Safe,
//!         worth: 1.0,
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
//! // The list names one receiver; a message for its destination is taken.
//! let entry = Entry {
//!     receiver: ReceiverId(7),
//!     listing: Listing::Ready,
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
//!     key: None,
//!     destination: DestinationId(1),
//!     left: Micros(20_000_000),
//! }), &mut actions);
//! policy.decide(now, &mut actions);
//! assert!(matches!(actions[0], Action::Send { receiver: ReceiverId(7), .. }));
//!
//! // The call is refused: a timer is asked for, and when it comes the message goes again.
//! actions.clear();
//! let elapsed = Micros(40_000);
//! let now = now.after(elapsed);
//! policy.on_event(now, Event::Outcome(Outcome {
//!     id: MessageId(1),
//!     attempt: 0,
//!     receiver: ReceiverId(7),
//!     verdict: Verdict::Full(None),
//!     elapsed,
//!     finished: false,
//!     limit: None,
//!     left: None,
//! }), &mut actions);
//! policy.decide(now, &mut actions);
//! let Action::WakeAfter(span) = actions[0] else { panic!("a timer is asked for") };
//! actions.clear();
//! let now = now.after(span);
//! policy.on_event(now, Event::Wake, &mut actions);
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
