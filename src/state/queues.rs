//! What waits for its turn: calls that can still be joined, destinations to look at, and messages of one key.

use super::*;

/// Calls out. One started in a decision can be joined until it is full or sealed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Calls {
    /// Messages still without their outcome.
    out: BTreeMap<u64, u32>,
    last: u64,
    /// Number of the call, and messages that it can still carry.
    open: BTreeMap<ReceiverId, (u64, u32)>,
}

impl Calls {
    pub fn len(&self) -> usize {
        self.out.len()
    }
    pub fn joinable(&self, to: ReceiverId) -> bool {
        self.open.get(&to).is_some_and(|o| o.1 > 0)
    }
    /// Puts a message on the open call there, or on a new one. The number of the call.
    pub fn add(&mut self, to: ReceiverId, batch: u32, joins: bool) -> u64 {
        if !joins {
            self.last += 1;
            self.open.insert(to, (self.last, batch));
        }
        let Some((call, left)) = self.open.get_mut(&to) else { return self.last };
        *left = left.saturating_sub(1);
        *self.out.entry(*call).or_insert(0) += 1;
        *call
    }
    pub fn seal(&mut self) {
        self.open.clear();
    }
    /// A message of it has its outcome. True if that was the last one.
    pub fn answered(&mut self, call: u64) -> bool {
        let left = self.out.get_mut(&call).map_or(0, |c| {
            *c = c.saturating_sub(1);
            *c
        });
        if left == 0 {
            self.out.remove(&call);
        }
        left == 0
    }
}

/// When to look at which destination; each stands in it once at most.
#[derive(Clone, Debug, Default)]
pub(crate) struct Agenda {
    order: BTreeSet<(Micros, DestinationId)>,
    places: BTreeMap<DestinationId, Micros>,
}

impl Agenda {
    /// At the earlier of this time and the one it has.
    pub fn look(&mut self, id: DestinationId, at: Micros) {
        if at == NEVER || self.places.get(&id).is_some_and(|t| *t <= at) {
            return;
        }
        if let Some(t) = self.places.insert(id, at) {
            self.order.remove(&(t, id));
        }
        self.order.insert((at, id));
    }
    pub fn next(&self) -> Option<Micros> {
        self.order.first().map(|o| o.0)
    }
    pub fn take_due(&mut self, now: Micros) -> BTreeSet<DestinationId> {
        let mut due = BTreeSet::new();
        while let Some((at, id)) = self.order.first().copied().filter(|o| o.0 <= now) {
            self.order.remove(&(at, id));
            self.places.remove(&id);
            due.insert(id);
        }
        due
    }
}

#[derive(Clone, Debug, Default)]
struct Turn {
    queue: VecDeque<MessageId>,
    rest_until: Micros,
    rest_for: Option<MessageId>,
}

/// Messages of one key go one at a time, in order of arrival.
#[derive(Clone, Debug, Default)]
pub(crate) struct Turns(BTreeMap<String, Turn>);

impl Turns {
    pub fn join(&mut self, key: &str, id: MessageId) {
        self.0.entry(key.to_owned()).or_default().queue.push_back(id);
    }
    /// Takes a message out; the one whose turn it is then.
    pub fn leave(&mut self, key: &str, id: MessageId) -> Option<MessageId> {
        let turn = self.0.get_mut(key)?;
        turn.queue.retain(|q| *q != id);
        turn.queue.front().copied()
    }
    /// After an attempt with an unsure end the key rests, but for the message itself.
    pub fn rest(&mut self, key: &str, id: MessageId, until: Micros) {
        if let Some(turn) = self.0.get_mut(key) {
            (turn.rest_until, turn.rest_for) = (until, Some(id));
        }
    }
    pub fn gate(&self, now: Micros, key: &str, id: MessageId) -> Gate<()> {
        let Some(turn) = self.0.get(key) else { return Ok(()) };
        room(turn.queue.front() == Some(&id))?;
        if turn.rest_for == Some(id) { Ok(()) } else { not_before(now, turn.rest_until) }
    }
    pub fn length(&self, key: &str) -> usize {
        self.0.get(key).map_or(0, |t| t.queue.len())
    }
    pub fn tidy(&mut self, now: Micros) {
        self.0.retain(|_, t| !t.queue.is_empty() || now < t.rest_until);
    }
}
