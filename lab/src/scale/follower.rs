//! Follows discovery's endpoint list: the decisions of the daemon's list actor, without its connection.

use super::discovery::{CallId, ListRequest};
use onyxrock::interface::Micros;
use onyxrock_config::list::{self, EndpointList};
use onyxrock_duties::{Epoch, Member};
use onyxrock_sharing::{ListRole, ListUpdate, MAX_LIST_UPDATE_BYTES, ToList};

/// Time that a call may take beyond the wait that it requests, as in the daemon.
const CALL_GRACE: Micros = Micros(1_500_000);
/// Delay before the next call after an immediate answer, as in the daemon.
const REPEAT_DELAY: Micros = Micros(50_000);
/// An answer within this time counts as immediate.
const IMMEDIATE_ANSWER_TIME: Micros = Micros(20_000);

/// An action that the forwarder must carry out.
#[derive(Debug)]
pub enum Action {
    /// Send a request to discovery.
    Request(CallId, ListRequest),
    /// Close a call.
    CloseCall(CallId),
    /// Bring this list into force.
    Adopt(EndpointList),
    /// Send this update to all other forwarders.
    Broadcast(ListUpdate),
    /// Report to the core that discovery could not be reached, or that its answer was invalid.
    Failed,
}

#[derive(Clone, Copy, Debug)]
struct OpenCall {
    call: CallId,
    sent_at: Micros,
    timeout_at: Micros,
}

/// The state in which one forwarder follows the list.
#[derive(Debug)]
pub struct Follower {
    member: Member,
    watch_time: Micros,
    generation: Option<u64>,
    role: ListRole,
    /// The generation that the owner of the list duty has told of, until a list of this forwarder's own
    /// discovery has reached it.
    told_generation: Option<u64>,
    last_call_timed_out: bool,
    is_following: bool,
    open_call: Option<OpenCall>,
    next_call_at: Option<Micros>,
    call_count: u64,
}

impl Follower {
    /// Creates a follower that holds a generation from before its start. `watch_time` is how long a call
    /// waits for changes.
    #[must_use]
    pub fn new(member: Member, watch_time: Micros, generation: u64) -> Follower {
        Follower {
            member,
            watch_time,
            generation: Some(generation),
            role: ListRole::Standalone,
            told_generation: None,
            last_call_timed_out: false,
            is_following: false,
            open_call: None,
            next_call_at: None,
            call_count: 0,
        }
    }

    /// The generation that is held.
    #[must_use]
    pub fn generation(&self) -> Option<u64> {
        self.generation
    }

    /// The role of this forwarder in the list duty.
    #[must_use]
    pub fn role(&self) -> ListRole {
        self.role
    }

    /// Starts to follow the list, as the core requested.
    pub fn follow(&mut self) {
        self.is_following = true;
    }

    /// Whether messages about the list are read, which happens only while the list is followed.
    #[must_use]
    pub fn reads_messages(&self) -> bool {
        self.is_following
    }

    /// When [`Follower::advance`] is due.
    #[must_use]
    pub fn due(&self) -> Option<Micros> {
        self.next_call_at.into_iter().chain(self.open_call.map(|open| open.timeout_at)).min()
    }

    /// Whether the forwarder receives the list from the owner of the list duty, and need not call discovery.
    fn relies_on_owner(&self) -> bool {
        self.role == ListRole::Follower && self.generation.is_some() && self.told_generation.is_none()
    }

    /// Calls discovery if that is due, and closes a call that takes too long.
    pub fn advance(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if let Some(open_call) = self.open_call.filter(|open| open.timeout_at <= now) {
            actions.push(Action::CloseCall(open_call.call));
            self.open_call = None;
            self.on_call_timeout(actions);
        }
        self.next_call_at = self.next_call_at.filter(|call_at| *call_at > now);
        if !self.is_following
            || self.open_call.is_some()
            || self.next_call_at.is_some()
            || self.relies_on_owner()
        {
            return;
        }
        self.call_count += 1;
        let call = CallId { member: self.member, number: self.call_count };
        let watches = self.role != ListRole::Follower || self.told_generation > self.generation;
        let wait = if watches { self.watch_time } else { Micros(0) };
        self.open_call =
            Some(OpenCall { call, sent_at: now, timeout_at: now.plus(self.watch_time).plus(CALL_GRACE) });
        actions.push(Action::Request(call, ListRequest { since: self.generation, wait }));
    }

    /// Handles a call without answer: it is repeated at once the first time; after the second time the core
    /// decides when to follow the list again.
    fn on_call_timeout(&mut self, actions: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.last_call_timed_out, true) {
            return;
        }
        self.is_following = false;
        actions.push(Action::Failed);
    }

    /// Handles a list update from the owner of the list duty, or a change of this forwarder's role, for which
    /// the open call is closed, as in the daemon.
    pub fn on_list_message(&mut self, message: ToList, actions: &mut Vec<Action>) {
        match message {
            ToList::Role(role) => {
                if let Some(open_call) = self.open_call.take() {
                    actions.push(Action::CloseCall(open_call.call));
                }
                self.role = role;
            }
            ToList::Update(_) if self.role != ListRole::Follower => {}
            ToList::Update(update) if self.generation == Some(update.generation) => {}
            ToList::Update(update) => self.told_generation = Some(update.generation),
        }
    }

    /// Handles discovery's answer to a call.
    pub fn on_answer(
        &mut self, now: Micros, call: CallId, body: &[u8], names: &onyxrock::core::NameIndex,
        actions: &mut Vec<Action>,
    ) {
        let Some(open_call) = self.open_call.filter(|open| open.call == call) else { return };
        self.open_call = None;
        let Ok(list) = list::parse(body, names) else {
            self.is_following = false;
            actions.push(Action::Failed);
            return;
        };
        self.last_call_timed_out = false;
        self.told_generation = self.told_generation.filter(|told| *told > list.generation);
        if let ListRole::Owner(epoch) = self.role {
            actions.push(Action::Broadcast(self.list_update(epoch, &list, body)));
        }
        self.generation = Some(list.generation);
        if now.since(open_call.sent_at) < IMMEDIATE_ANSWER_TIME {
            self.next_call_at = Some(now.plus(REPEAT_DELAY));
        }
        actions.push(Action::Adopt(list));
    }

    /// The update that is sent to the other forwarders. A body that is too large is left out, so that they
    /// request the list.
    fn list_update(&self, epoch: Epoch, list: &EndpointList, body: &[u8]) -> ListUpdate {
        let previous_generation = self.generation.unwrap_or(list.generation);
        let body = if body.len() <= MAX_LIST_UPDATE_BYTES { body.to_vec() } else { Vec::new() };
        ListUpdate { epoch, previous_generation, generation: list.generation, body }
    }
}
