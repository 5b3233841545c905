//! What waits: calls that further messages can join, destinations that are due for a decision, and messages
//! with an ordering key.

use super::*;

/// The calls in flight. Further messages can join a call of the present decision until it is full or sealed.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallsInFlight {
    /// For each call, the number of its messages without an outcome.
    without_outcome: BTreeMap<u64, u32>,
    last_id: u64,
    /// For each receiver, the call that can be joined and how many more messages it can carry.
    joinable: BTreeMap<ReceiverId, (u64, u32)>,
}

impl CallsInFlight {
    pub fn len(&self) -> usize {
        self.without_outcome.len()
    }
    pub fn can_join(&self, receiver: ReceiverId) -> bool {
        self.joinable.get(&receiver).is_some_and(|j| j.1 > 0)
    }
    /// Adds a message to the joinable call to this receiver, or to a new one. Returns the id of the call.
    pub fn add(&mut self, receiver: ReceiverId, messages_per_call: u32, join: bool) -> u64 {
        if !join {
            self.last_id += 1;
            self.joinable.insert(receiver, (self.last_id, messages_per_call));
        }
        let Some((call, free)) = self.joinable.get_mut(&receiver) else { return self.last_id };
        *free = free.saturating_sub(1);
        *self.without_outcome.entry(*call).or_insert(0) += 1;
        *call
    }
    /// No further message joins the calls added so far.
    pub fn seal(&mut self) {
        self.joinable.clear();
    }
    /// Notes the outcome of one message of a call. Returns whether it was the last one of the call.
    pub fn message_ended(&mut self, call: u64) -> bool {
        let left = self.without_outcome.get_mut(&call).map_or(0, |count| {
            *count = count.saturating_sub(1);
            *count
        });
        if left == 0 {
            self.without_outcome.remove(&call);
        }
        left == 0
    }
}

/// When which destination is due for a decision. Each destination is in it once at most.
#[derive(Clone, Debug, Default)]
pub(crate) struct DestinationSchedule {
    by_time: BTreeSet<(Micros, DestinationId)>,
    due_times: BTreeMap<DestinationId, Micros>,
}

impl DestinationSchedule {
    /// Schedules a destination for this time, unless it is due earlier already.
    pub fn add(&mut self, id: DestinationId, at: Micros) {
        if at == NEVER || self.due_times.get(&id).is_some_and(|t| *t <= at) {
            return;
        }
        if let Some(previous) = self.due_times.insert(id, at) {
            self.by_time.remove(&(previous, id));
        }
        self.by_time.insert((at, id));
    }
    pub fn next_due(&self) -> Option<Micros> {
        self.by_time.first().map(|d| d.0)
    }
    pub fn take_due(&mut self, now: Micros) -> BTreeSet<DestinationId> {
        let mut due = BTreeSet::new();
        while let Some((at, id)) = self.by_time.first().copied().filter(|d| d.0 <= now) {
            self.by_time.remove(&(at, id));
            self.due_times.remove(&id);
            due.insert(id);
        }
        due
    }
}

#[derive(Clone, Debug, Default)]
struct KeyQueue {
    messages: VecDeque<MessageId>,
    /// End of the cooldown after an attempt whose outcome is not known.
    cooldown_until: Micros,
    /// The message of that attempt, which need not wait for the end of the cooldown.
    cooldown_exempt: Option<MessageId>,
}

/// Messages with the same ordering key go one at a time, in order of arrival.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeyQueues(BTreeMap<String, KeyQueue>);

impl KeyQueues {
    pub fn push(&mut self, key: &str, id: MessageId) {
        self.0.entry(key.to_owned()).or_default().messages.push_back(id);
    }
    /// Removes a message. Returns the message that is then first with its key.
    pub fn remove(&mut self, key: &str, id: MessageId) -> Option<MessageId> {
        let queue = self.0.get_mut(key)?;
        queue.messages.retain(|q| *q != id);
        queue.messages.front().copied()
    }
    /// Starts the cooldown of a key after an attempt whose outcome is not known. It does not hold up the
    /// message of that attempt itself.
    pub fn start_cooldown(&mut self, key: &str, id: MessageId, until: Micros) {
        if let Some(queue) = self.0.get_mut(key) {
            (queue.cooldown_until, queue.cooldown_exempt) = (until, Some(id));
        }
    }
    /// Passes the first message with the key, once the cooldown is over.
    pub fn gate(&self, now: Micros, key: &str, id: MessageId) -> Gate<()> {
        let Some(queue) = self.0.get(key) else { return Ok(()) };
        require(queue.messages.front() == Some(&id))?;
        if queue.cooldown_exempt == Some(id) { Ok(()) } else { not_before(now, queue.cooldown_until) }
    }
    pub fn len(&self, key: &str) -> usize {
        self.0.get(key).map_or(0, |q| q.messages.len())
    }
    /// Removes empty queues whose cooldown is over.
    pub fn clean_up(&mut self, now: Micros) {
        self.0.retain(|_, q| !q.messages.is_empty() || now < q.cooldown_until);
    }
}
