//! The side that promises.

use crate::{Boot, Duty, Member, Message, Terms};
use onyxrock::interface::Micros;
use std::collections::BTreeMap;

/// Promises that are kept at once; beyond it nothing new is promised.
const PROMISES_MOST: usize = 100_000;

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct Promise {
    to: Member,
    /// A member that has started anew is another one here: what its earlier life began may not be over.
    boot: Boot,
    /// When the latest question left that this promise answers, on the holder's clock.
    sent: u64,
    /// It binds until then, on the voter's clock.
    until: Micros,
}

/// Promises each duty to one life of one member at a time.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct Voter {
    terms: Terms,
    /// Nothing is promised before: an earlier process may have promised it elsewhere.
    quiet: Micros,
    promises: BTreeMap<Duty, Promise>,
}

impl Voter {
    /// A voter of a process that starts now.
    #[must_use]
    pub fn new(terms: Terms, now: Micros) -> Voter {
        Voter { terms, quiet: now.after(terms.span()), promises: BTreeMap::new() }
    }

    /// The answer to a question, if the message is one; a release has none.
    pub fn receive(&mut self, now: Micros, from: Member, message: &Message) -> Option<Message> {
        match message {
            Message::Ask { boot, sent, duties } => {
                let granted = duties.iter().copied();
                let granted = granted.filter(|d| self.ask(now, from, *boot, *sent, *d)).collect();
                Some(Message::Answer { boot: *boot, sent: *sent, granted })
            }
            Message::Release { boot, sent, duties } => {
                for duty in duties {
                    let theirs = |p: &Promise| (p.to, p.boot) == (from, *boot);
                    // A release that comes late must not undo what was asked for after it.
                    if self.promises.get(duty).is_some_and(|p| theirs(p) && p.sent <= *sent) {
                        self.promises.remove(duty);
                    }
                }
                None
            }
            Message::Answer { .. } | Message::Want { .. } => None,
        }
    }

    fn ask(&mut self, now: Micros, from: Member, boot: Boot, sent: u64, duty: Duty) -> bool {
        if now < self.quiet {
            return false;
        }
        let until = now.after(self.terms.span());
        let new = Promise { to: from, boot, sent, until };
        match self.promises.get_mut(&duty) {
            Some(p) if p.until > now && (p.to, p.boot) != (from, boot) => return false,
            // Questions may come out of order: a promise only ever grows.
            Some(p) if p.until > now => (p.sent, p.until) = (p.sent.max(sent), p.until.max(until)),
            Some(p) => *p = new,
            None => {
                if self.promises.len() >= PROMISES_MOST {
                    self.promises.retain(|_, p| p.until > now);
                    if self.promises.len() >= PROMISES_MOST {
                        return false;
                    }
                }
                self.promises.insert(duty, new);
            }
        }
        true
    }

    /// Forgets promises that are over.
    pub fn tidy(&mut self, now: Micros) {
        self.promises.retain(|_, p| p.until > now);
    }
}
