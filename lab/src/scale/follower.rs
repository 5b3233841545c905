//! Follows discovery's list: the decisions of the daemon's list actor, without its connection.

use super::discovery::{Ask, Call};
use onyxrock::interface::Micros;
use onyxrock_config::list::{self, EndpointList};
use onyxrock_duties::{Epoch, Member};
use onyxrock_sharing::{ListRole, ListUpdate, MAX_LIST_UPDATE_BYTES, ToList};

/// What a call may take beyond the wait that it asks for, as in the daemon.
const GRACE: Micros = Micros(1_500_000);
/// After an answer that came at once, as in the daemon.
const PAUSE: Micros = Micros(50_000);
/// An answer in less time came at once.
const AT_ONCE: Micros = Micros(20_000);

/// Something for the forwarder to carry out.
#[derive(Debug)]
pub enum Action {
    /// Call discovery.
    Ask(Call, Ask),
    /// Close a call.
    Close(Call),
    /// Take this list.
    Take(EndpointList),
    /// Tell the others.
    Tell(ListUpdate),
    /// Discovery could not be asked.
    Failed,
}

#[derive(Clone, Copy, Debug)]
struct Open {
    call: Call,
    since: Micros,
    until: Micros,
}

/// One forwarder's end of the list.
#[derive(Debug)]
pub struct Follower {
    member: Member,
    wait: Micros,
    generation: Option<u64>,
    role: ListRole,
    /// What was told does not follow from what is held.
    behind: bool,
    silent: bool,
    following: bool,
    open: Option<Open>,
    pause: Option<Micros>,
    calls: u64,
}

impl Follower {
    /// One that holds a version from before its start. `wait` is how long a call waits for news.
    #[must_use]
    pub fn new(member: Member, wait: Micros, generation: u64) -> Follower {
        Follower {
            member,
            wait,
            generation: Some(generation),
            role: ListRole::Standalone,
            behind: false,
            silent: false,
            following: false,
            open: None,
            pause: None,
            calls: 0,
        }
    }

    /// The version that is held.
    #[must_use]
    pub fn generation(&self) -> Option<u64> {
        self.generation
    }

    /// Who asks for the list, as seen here.
    #[must_use]
    pub fn role(&self) -> ListRole {
        self.role
    }

    /// The core wants the list followed.
    pub fn follow(&mut self) {
        self.following = true;
    }

    /// Messages are read only while the list is followed.
    #[must_use]
    pub fn listens(&self) -> bool {
        self.following
    }

    /// When [`Follower::advance`] is due.
    #[must_use]
    pub fn due(&self) -> Option<Micros> {
        self.pause.into_iter().chain(self.open.map(|open| open.until)).min()
    }

    fn stands_by(&self) -> bool {
        self.role == ListRole::Follower && self.generation.is_some() && !self.behind
    }

    /// Calls discovery where that is due, and gives up a call that takes too long.
    pub fn advance(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if let Some(open) = self.open.filter(|open| open.until <= now) {
            actions.push(Action::Close(open.call));
            self.open = None;
            self.fell_silent(actions);
        }
        self.pause = self.pause.filter(|until| *until > now);
        if !self.following || self.open.is_some() || self.pause.is_some() || self.stands_by() {
            return;
        }
        self.calls += 1;
        let call = Call { member: self.member, number: self.calls };
        let wait = if self.role == ListRole::Follower { Micros(0) } else { self.wait };
        self.open = Some(Open { call, since: now, until: now.plus(self.wait).plus(GRACE) });
        actions.push(Action::Ask(call, Ask { since: self.generation, wait }));
    }

    /// A watch that has fallen silent is opened anew at once; the second time the core says when.
    fn fell_silent(&mut self, actions: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.silent, true) {
            return;
        }
        self.following = false;
        actions.push(Action::Failed);
    }

    /// What the instance that asks for the list has told, or who that is.
    pub fn take(&mut self, message: ToList, names: &onyxrock::core::NameIndex, actions: &mut Vec<Action>) {
        // Whatever comes, the actor begins its turn anew, and with it its call.
        if let Some(open) = self.open.take() {
            actions.push(Action::Close(open.call));
        }
        match message {
            ToList::Role(role) => self.role = role,
            ToList::Update(_) if self.role != ListRole::Follower => {}
            ToList::Update(news) if self.generation == Some(news.generation) => {}
            ToList::Update(news) => {
                let follows = self.generation == Some(news.previous_generation) && !news.body.is_empty();
                let list = follows.then(|| list::parse(&news.body, names).ok()).flatten();
                match list.filter(|list| list.generation == news.generation) {
                    Some(list) => {
                        self.generation = Some(list.generation);
                        actions.push(Action::Take(list));
                    }
                    None => self.behind = true,
                }
            }
        }
    }

    /// Discovery has answered a call.
    pub fn answered(
        &mut self, now: Micros, call: Call, body: &[u8], names: &onyxrock::core::NameIndex,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.open.filter(|open| open.call == call) else { return };
        self.open = None;
        let Ok(list) = list::parse(body, names) else {
            self.following = false;
            actions.push(Action::Failed);
            return;
        };
        (self.behind, self.silent) = (false, false);
        if let ListRole::Owner(epoch) = self.role {
            actions.push(Action::Tell(self.news(epoch, &list, body)));
        }
        self.generation = Some(list.generation);
        if now.since(open.since) < AT_ONCE {
            self.pause = Some(now.plus(PAUSE));
        }
        actions.push(Action::Take(list));
    }

    fn news(&self, epoch: Epoch, list: &EndpointList, body: &[u8]) -> ListUpdate {
        let from = self.generation.unwrap_or(list.generation);
        let body = if body.len() <= MAX_LIST_UPDATE_BYTES { body.to_vec() } else { Vec::new() };
        ListUpdate { epoch, previous_generation: from, generation: list.generation, body }
    }
}
