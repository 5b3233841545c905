//! Follows the endpoint list of discovery: makes one call after another and handles each response and each
//! failure.

use super::fetch::{Call, FetchError, FetchedList};
use super::parts::{CoreStopped, pass_to_core};
use super::{ANSWER_GRACE, DiscoveryParams, UNWAITED_ANSWER_DELAY};
use crate::core_actor::CoreMessage;
use crate::net::SharedState;
use crate::net::http::client::Conn;
use crate::shared_waits::SharedDrain;
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::future;
use onyxrock::interface::{EntryState, Micros};
use onyxrock_config::list;
use onyxrock_sharing::{ListRole, ListUpdate, ToList, ToPeers};
use std::cell::Cell;
use std::rc::Rc;

/// A watch that is answered sooner than this was not held open by discovery.
const UNWAITED_ANSWER_TIME: Micros = Micros(20_000);
/// A call that fails later than this has waited in a queue, which more calls make longer, or was lost
/// together with calls of other forwarders.
const IMMEDIATE_FAILURE_TIME: Micros = Micros(300_000);

/// What to do after an event.
enum NextStep {
    /// Make another call at once.
    Call,
    /// Wait until the core requests the list.
    WaitForRequest,
}

/// What the actor waits for during a call.
enum Event {
    RoleChanged(ListRole),
    /// The holder of the list duty has told of a generation that this instance does not have.
    UpdateTold,
    Answer(Result<FetchedList, FetchError>),
    /// The address of discovery has changed.
    DiscoveryMoved,
}

/// Follows the list, beginning whenever the core sends a request over `requests`. A change of discovery's
/// address is followed at once. An instance that hears from the holder of the list duty calls discovery only
/// when that has told of a change: discovery may name the same endpoint to each instance by another address,
/// so only drains are taken from another instance's list.
pub async fn run(
    shared: Rc<SharedState>, discovery: DiscoveryParams, requests: Receiver<()>,
    address_changes: Receiver<()>, messages: Receiver<ToList>,
) {
    let answered_at = shared.clock.now();
    let follower = Follower {
        shared,
        discovery,
        requests,
        address_changes,
        messages,
        conn: None,
        role: ListRole::Standalone,
        told_generation: Cell::new(None),
        last_refusal: String::new(),
        silent_calls: 0,
        confirmed: false,
        answered_once: false,
        calls: 0,
        failures: 0,
        answered_at,
    };
    // Ends when the core stops.
    let _ = follower.run().await;
}

/// The actor that follows the list.
struct Follower {
    shared: Rc<SharedState>,
    discovery: DiscoveryParams,
    requests: Receiver<()>,
    address_changes: Receiver<()>,
    messages: Receiver<ToList>,
    conn: Option<Conn>,
    role: ListRole,
    /// The generation that the holder of the list duty has told of, until a list of this instance's own
    /// discovery has reached it.
    told_generation: Cell<Option<u64>>,
    /// The last reason for which a list was refused as too long; each is logged once.
    last_refusal: String,
    /// Consecutive calls that fell silent.
    silent_calls: u32,
    /// The last call was answered: the list in use was current then, and a watch may wait for changes.
    confirmed: bool,
    /// A call of this process has been answered.
    answered_once: bool,
    /// Calls made.
    calls: u64,
    /// Calls that failed since the last response.
    failures: u32,
    answered_at: Micros,
}

impl Follower {
    async fn run(mut self) -> Result<(), CoreStopped> {
        loop {
            self.wait_for_request().await?;
            while matches!(self.follow().await?, NextStep::Call) {}
        }
    }

    /// Waits until the core requests the list or discovery has moved.
    async fn wait_for_request(&mut self) -> Result<(), CoreStopped> {
        loop {
            let request = async { self.requests.recv().await.map(|()| None) };
            let address_change =
                async { self.address_changes.recv().await.map(|()| Some(Event::DiscoveryMoved)) };
            let message = async { Ok(Some(self.next_message(|_| false).await)) };
            match future::or(address_change, future::or(request, message)).await {
                Ok(Some(Event::RoleChanged(role))) => self.role = role,
                Ok(Some(Event::DiscoveryMoved)) => return self.on_address_change().await,
                Ok(_) => return Ok(()),
                Err(_) => return Err(CoreStopped),
            }
        }
    }

    /// Generations of the former discovery mean nothing to the new one, whether a call was in progress when
    /// the address changed or not.
    async fn on_address_change(&mut self) -> Result<(), CoreStopped> {
        self.shared.counters.list_moves.increment();
        (self.conn, self.discovery.generation, self.confirmed) = (None, None, false);
        self.told_generation.set(None);
        // Requests that the core made before were for calls to the former discovery.
        while self.requests.try_recv().is_ok() {}
        self.shared.core.send(CoreMessage::DiscoveryMoved).await.map_err(|_| CoreStopped)
    }

    async fn follow(&mut self) -> Result<NextStep, CoreStopped> {
        let called_at = self.shared.clock.now();
        let over_kept_connection = self.conn.is_some();
        match self.next_event(called_at).await {
            Event::RoleChanged(role) => {
                self.role = role;
                Ok(NextStep::Call)
            }
            Event::UpdateTold => Ok(NextStep::Call),
            Event::DiscoveryMoved => {
                self.on_address_change().await?;
                Ok(NextStep::Call)
            }
            // The copy of an earlier response may come over the connection that carried it. The first response
            // on a new connection cannot be one, so discovery is asked there.
            Event::Answer(Ok(list)) if over_kept_connection && self.is_older_complete_list(&list) => {
                self.conn = None;
                Ok(NextStep::Call)
            }
            Event::Answer(Ok(list)) => self.on_answer(called_at, list).await,
            Event::Answer(Err(failed)) => self.on_failure(called_at, failed).await,
        }
    }

    /// Makes a call, unless the holder of the list duty tells of changes. The call is dropped when the role
    /// of this instance or the address of discovery changes.
    async fn next_event(&mut self, called_at: Micros) -> Event {
        let makes_call = !self.relies_on_holder();
        self.calls += u64::from(makes_call);
        let mut conn = self.conn.take();
        let follower = &*self;
        let address_change = async {
            match follower.address_changes.recv().await {
                Ok(()) => Event::DiscoveryMoved,
                Err(_) => future::pending().await,
            }
        };
        // A call in progress is not dropped for an update: updates may come faster than discovery answers.
        let message = follower.next_message(|_| !makes_call);
        let answer = async {
            if !makes_call {
                return future::pending().await;
            }
            Event::Answer(follower.call(called_at, &mut conn).await)
        };
        let event = future::or(address_change, future::or(answer, message)).await;
        self.conn = conn;
        event
    }

    /// Whether the holder of the list duty tells this instance of changes, and has told of none that its list
    /// does not have.
    fn relies_on_holder(&self) -> bool {
        let told = self.told_generation.get();
        self.role == ListRole::Follower && self.discovery.generation.is_some() && told.is_none()
    }

    async fn call(&self, called_at: Micros, conn: &mut Option<Conn>) -> Result<FetchedList, FetchError> {
        let wait = self.watch_time();
        let answer_by = called_at.plus(wait).plus(self.grace());
        let call = Call {
            wait,
            clock: &self.shared.clock,
            discovery: &self.discovery,
            connect_by: called_at.plus(self.shared.connect_timeout).min(answer_by),
            answer_by,
            address: self.shared.discovery.get(),
            role: self.role,
        };
        call.fetch(conn).await
    }

    /// Receives messages about the list from other instances until one changes the role, or is an update with
    /// a new generation for which `ends_wait` is true.
    async fn next_message(&self, ends_wait: impl Fn(&ListUpdate) -> bool) -> Event {
        loop {
            match self.messages.recv().await {
                Ok(ToList::Role(role)) => return Event::RoleChanged(role),
                Ok(ToList::Update(update)) => {
                    if self.on_update(&update).await && ends_wait(&update) {
                        return Event::UpdateTold;
                    }
                }
                Err(_) => return future::pending().await,
            }
        }
    }

    /// How long the next call waits for changes. The first one after a start, a failure or an address
    /// change does not wait: whether it is answered shows soon, while a silent watch looks like one without
    /// changes until its wait is over. Where many forwarders share discovery, that is one more call from
    /// each at the moment in which all of them call, so there a watch has to fall silent twice before.
    /// Where lists are pushed, a start sends no messages until it has received the first list, so that call
    /// never waits.
    fn watch_time(&self) -> Micros {
        let sends_nothing_yet = self.discovery.lists_pushed && !self.answered_once;
        let may_wait =
            self.confirmed || self.discovery.large_fleet && self.silent_calls < 2 && !sends_nothing_yet;
        let told_later = self.told_generation.get() > self.discovery.generation;
        let watches = may_wait
            && (self.role != ListRole::Follower || told_later)
            && self.discovery.generation.is_some();
        if watches { self.discovery.watch_wait } else { Micros(0) }
    }

    /// Time that a call may take beyond its wait: twice as long after a silent call, since discovery may be
    /// slow, but no more than one or two further calls need.
    fn grace(&self) -> Micros {
        if self.silent_calls > 0 { Micros(ANSWER_GRACE.0 * 2) } else { ANSWER_GRACE }
    }

    /// Notes an update of the holder of the list duty, and passes on the drains that it tells of. Returns
    /// whether the update has another generation than the list in use.
    async fn on_update(&self, update: &ListUpdate) -> bool {
        if self.role != ListRole::Follower || self.discovery.generation == Some(update.generation) {
            return false;
        }
        self.told_generation.set(Some(update.generation));
        let Ok(list) = list::parse(&update.body, &self.discovery.names) else { return true };
        self.shared.counters.list_told.increment();
        let drains: Vec<_> = list
            .entries
            .into_iter()
            .filter(|listed| listed.entry.state != EntryState::Ready)
            .map(|listed| SharedDrain { endpoint: listed.name, generation: update.generation })
            .collect();
        if !drains.is_empty() {
            // If the core has stopped, the next message to it shows that.
            let _ = self.shared.core.send(CoreMessage::DrainsTold(drains)).await;
        }
        true
    }

    fn is_older_complete_list(&self, list: &FetchedList) -> bool {
        list.complete && self.discovery.generation.is_some_and(|current| list.generation < current)
    }

    async fn on_answer(&mut self, called_at: Micros, list: FetchedList) -> Result<NextStep, CoreStopped> {
        // A generation below the one in use comes from another service: these changes do not apply to the
        // list in use.
        if !list.complete && self.discovery.generation.is_some_and(|current| list.generation < current) {
            self.discovery.generation = None;
            return Ok(NextStep::Call);
        }
        self.shared.counters.list_answers.increment();
        // The response serves all requests that the core has made so far.
        while self.requests.try_recv().is_ok() {}
        self.log_answer(&list);
        let was_watch = self.watch_time() > Micros(0);
        (self.last_refusal, self.failures) = (String::new(), 0);
        // Its own discovery may be behind that of the holder of the list duty: then it is watched.
        self.told_generation.set(self.told_generation.get().filter(|told| *told > list.generation));
        (self.confirmed, self.answered_once, self.silent_calls) = (true, true, 0);
        self.answered_at = self.shared.clock.now();
        self.shared.list_answered_at.set(self.answered_at);
        let unwaited = self.answered_at.since(called_at) < UNWAITED_ANSWER_TIME && was_watch;
        if let (ListRole::Owner(epoch), Some(peers)) = (self.role, &self.shared.peers) {
            let previous_generation = self.discovery.generation.unwrap_or(list.generation);
            let update =
                ListUpdate { epoch, previous_generation, generation: list.generation, body: list.text };
            let _ = peers.try_send(ToPeers::ListUpdate(update));
        }
        self.discovery.generation = Some(list.generation);
        pass_to_core(&self.shared.core, list.generation, list.complete, list.entries).await?;
        // Whatever makes discovery answer at once affects all forwarders: slow down.
        if unwaited {
            Timer::after(UNWAITED_ANSWER_DELAY).await;
        }
        Ok(NextStep::Call)
    }

    fn log_answer(&self, list: &FetchedList) {
        let (call, generation, held) = (self.calls, list.generation, self.discovery.generation);
        let (failures, discovery) = (self.failures, self.shared.discovery.get());
        let unanswered_ms = self.shared.clock.now().since(self.answered_at).0 / 1000;
        if self.failures > 0 || held.is_none() {
            tracing::info!(
                call,
                %discovery,
                generation,
                held,
                failures,
                unanswered_ms,
                "list: answered"
            );
        } else {
            tracing::debug!(call, generation, held, unanswered_ms, "list: answered");
        }
    }

    async fn on_failure(&mut self, called_at: Micros, failed: FetchError) -> Result<NextStep, CoreStopped> {
        let counters = &self.shared.counters;
        counters.list_failures.increment();
        (self.conn, self.confirmed) = (None, false);
        self.failures += 1;
        let unanswered_ms = self.shared.clock.now().since(self.answered_at).0 / 1000;
        let longest_ms = counters.list_unanswered_most_ms.get().max(unanswered_ms);
        counters.list_unanswered_most_ms.set(longest_ms as usize);
        // Changes that a silent watch misses count as known half a second later, so it is opened again at
        // once. The watches of a fleet were not all opened at the same moment, so the new ones are not
        // either. A second silence is taken for a service in trouble.
        let fell_silent = matches!(failed, FetchError::Silent(_));
        let retry_now = fell_silent && self.silent_calls == 0;
        self.silent_calls = if fell_silent { self.silent_calls + 1 } else { 0 };
        let immediate = self.shared.clock.now().since(called_at) < IMMEDIATE_FAILURE_TIME;
        let reason = self.log_failure(failed, unanswered_ms);
        if retry_now {
            return Ok(NextStep::Call);
        }
        self.shared
            .core
            .send(CoreMessage::ListFailed { reason, immediate })
            .await
            .map_err(|_| CoreStopped)?;
        Ok(NextStep::WaitForRequest)
    }

    fn log_failure(&mut self, failed: FetchError, unanswered_ms: u64) -> String {
        let (call, failures, discovery) = (self.calls, self.failures, self.shared.discovery.get());
        match failed {
            FetchError::Unavailable(reason) | FetchError::Silent(reason) => {
                tracing::warn!(
                    call,
                    %discovery,
                    failures,
                    unanswered_ms,
                    "list: cannot fetch the endpoint list: {reason}"
                );
                reason
            }
            // A list that is too long stays so for a while: its reason is logged once.
            FetchError::TooLong(reason) => {
                self.shared.counters.list_refused.increment();
                if self.last_refusal != reason {
                    tracing::error!("list: {reason}; the current list stays in use");
                }
                self.last_refusal.clone_from(&reason);
                reason
            }
        }
    }
}
