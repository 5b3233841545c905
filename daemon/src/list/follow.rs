//! Follows discovery: one call after the other, and what becomes of each answer and each failure.

use super::fetch::{Call, Failed, Fetched};
use super::{DiscoveryParams, GRACE, ListPart, PAUSE};
use crate::core_actor::CoreMessage;
use crate::net::SharedState;
use crate::net::http::client::Conn;
use async_channel::{Receiver, bounded};
use async_io::Timer;
use futures_lite::future;
use onyxrock::interface::Micros;
use onyxrock_config::list;
use onyxrock_roster::StagedList;
use onyxrock_sharing::{ListRole, ListUpdate, ToList, ToPeers};
use std::rc::Rc;

/// An answer that comes sooner was not waited for.
const ANSWERED_AT_ONCE: Micros = Micros(20_000);
/// A call that fails later has waited in a queue, which more calls make longer, or was lost with those of others.
const FAILED_AT_ONCE: Micros = Micros(300_000);

/// The module has gone: there is nobody to follow the list for.
struct ModuleGone;

/// What comes next after something was heard.
enum Next {
    /// Another call at once.
    Call,
    /// The module says when.
    WaitForModule,
}

enum Heard {
    Message(ToList),
    Answer(Result<Fetched, Failed>),
    /// There is another discovery now.
    Moved,
}

/// Each wish is the module's, to follow the list. Where discovery has moved it is followed there at once. An instance
/// that is told the list by another asks for itself only what it was not told.
pub async fn run(
    shared: Rc<SharedState>, discovery: DiscoveryParams, wishes: Receiver<()>, moves: Receiver<()>,
    messages: Receiver<ToList>,
) {
    let answered_at = shared.clock.now();
    let follower = Follower {
        shared,
        discovery,
        wishes,
        moves,
        messages,
        conn: None,
        role: ListRole::Standalone,
        behind: false,
        complaint: String::new(),
        silences: 0,
        confirmed: false,
        answered_once: false,
        calls: 0,
        failures: 0,
        answered_at,
    };
    // It ends with the module.
    let _ = follower.run().await;
}

struct Follower {
    shared: Rc<SharedState>,
    discovery: DiscoveryParams,
    wishes: Receiver<()>,
    moves: Receiver<()>,
    messages: Receiver<ToList>,
    conn: Option<Conn>,
    role: ListRole,
    /// What was told does not follow from what is held: ask once.
    behind: bool,
    /// The last complaint about a list that is too long, which one line tells of.
    complaint: String,
    /// Calls in a row that fell silent.
    silences: u32,
    /// The last call was answered: what is held is the list as it was then, and a watch may wait for changes.
    confirmed: bool,
    /// A call of this process was answered.
    answered_once: bool,
    /// Calls made, and those of them that failed since the last answer.
    calls: u64,
    failures: u32,
    answered_at: Micros,
}

impl Follower {
    async fn run(mut self) -> Result<(), ModuleGone> {
        loop {
            self.turn().await?;
            while matches!(self.follow().await?, Next::Call) {}
        }
    }

    /// Waits until the module wants the list, or discovery has moved.
    async fn turn(&mut self) -> Result<(), ModuleGone> {
        let wish = async { self.wishes.recv().await.is_ok().then_some(false) };
        let moved = async { self.moves.recv().await.is_ok().then_some(true) };
        match future::or(moved, wish).await {
            Some(false) => {}
            Some(true) => self.moved().await?,
            None => return Err(ModuleGone),
        }
        Ok(())
    }

    /// Versions of the old discovery mean nothing to the new one, whether a call was out when it moved or not.
    async fn moved(&mut self) -> Result<(), ModuleGone> {
        self.shared.counters.list_moves.increment();
        (self.conn, self.discovery.generation, self.confirmed) = (None, None, false);
        // What the module wished for was a call to the old one.
        while self.wishes.try_recv().is_ok() {}
        self.shared.core.send(CoreMessage::DiscoveryMoved).await.map_err(|_| ModuleGone)
    }

    async fn follow(&mut self) -> Result<Next, ModuleGone> {
        let asked = self.shared.clock.now();
        match self.hear(asked).await {
            Heard::Message(message) => self.message(message).await,
            Heard::Moved => {
                self.moved().await?;
                Ok(Next::Call)
            }
            Heard::Answer(Ok(list)) => self.answered(asked, list).await,
            Heard::Answer(Err(failed)) => self.failed(asked, failed).await,
        }
    }

    /// Makes a call, and drops it for a message or a move.
    async fn hear(&mut self, asked: Micros) -> Heard {
        let moves = self.moves.clone();
        let moved = async {
            match moves.recv().await {
                Ok(()) => Heard::Moved,
                Err(_) => future::pending().await,
            }
        };
        let messages = self.messages.clone();
        let message = async {
            match messages.recv().await {
                Ok(message) => Heard::Message(message),
                Err(_) => future::pending().await,
            }
        };
        let answer = async { Heard::Answer(self.call(asked).await) };
        future::or(moved, future::or(answer, message)).await
    }

    async fn call(&mut self, asked: Micros) -> Result<Fetched, Failed> {
        let stands_by =
            self.role == ListRole::Follower && self.discovery.generation.is_some() && !self.behind;
        if stands_by {
            return future::pending().await;
        }
        self.calls += 1;
        let wait = self.wait();
        let answer_by = asked.plus(wait).plus(self.patience());
        let call = Call {
            wait,
            clock: &self.shared.clock,
            discovery: &self.discovery,
            connect_by: asked.plus(self.shared.connect_timeout).min(answer_by),
            answer_by,
            address: self.shared.discovery.get(),
            role: self.role,
        };
        call.fetch(&mut self.conn).await
    }

    /// How long the next call waits for news. After a start, a failure or a move the first one does not: whether it was
    /// answered shows soon, while a watch that falls silent looks like one without news until its wait is over. Where many
    /// share discovery that is one call more from each at the moment in which all of them come, so a watch has to fall
    /// silent twice before. A start where lists are pushed sends nothing until it is told the first one: that call never
    /// waits.
    fn wait(&self) -> Micros {
        let holds_calls = self.discovery.lists_pushed && !self.answered_once;
        let trusts = self.confirmed || self.discovery.large_fleet && self.silences < 2 && !holds_calls;
        let waits = trusts && self.role != ListRole::Follower && self.discovery.generation.is_some();
        if waits { self.discovery.watch_wait } else { Micros(0) }
    }

    /// What a call may take beyond its wait: longer for a discovery that may be slow, and no longer than a call or two need
    /// that come behind it.
    fn patience(&self) -> Micros {
        if self.silences > 0 { Micros(GRACE.0 * 2) } else { GRACE }
    }

    /// What another instance has to say of the list.
    async fn message(&mut self, message: ToList) -> Result<Next, ModuleGone> {
        let news = match message {
            ToList::Role(role) => {
                self.role = role;
                return Ok(Next::Call);
            }
            ToList::Update(news) => news,
        };
        let held = self.discovery.generation;
        if self.role != ListRole::Follower || held == Some(news.generation) {
            return Ok(Next::Call);
        }
        let follows = held == Some(news.previous_generation) && !news.body.is_empty();
        let list = follows.then(|| list::parse(&news.body, &self.discovery.names).ok()).flatten();
        let Some(list) = list.filter(|l| l.generation == news.generation) else {
            self.behind = true;
            return Ok(Next::Call);
        };
        self.shared.counters.list_told.increment();
        self.discovery.generation = Some(list.generation);
        self.shared.core.send(CoreMessage::EndpointList(list)).await.map_err(|_| ModuleGone)?;
        Ok(Next::Call)
    }

    async fn answered(&mut self, asked: Micros, list: Fetched) -> Result<Next, ModuleGone> {
        // A version below the one that was asked from is another service's: what was held is not a part of it.
        if !list.whole && self.discovery.generation.is_some_and(|held| list.generation < held) {
            self.discovery.generation = None;
            return Ok(Next::Call);
        }
        self.shared.counters.list_answers.increment();
        // It has what it wished for.
        while self.wishes.try_recv().is_ok() {}
        self.log_answer(&list);
        let waited = self.wait() > Micros(0);
        (self.behind, self.complaint, self.failures) = (false, String::new(), 0);
        (self.confirmed, self.answered_once, self.silences) = (true, true, 0);
        self.answered_at = self.shared.clock.now();
        self.shared.list_answered_at.set(self.answered_at);
        let at_once = self.answered_at.since(asked) < ANSWERED_AT_ONCE && waited;
        if let (ListRole::Owner(epoch), Some(peers)) = (self.role, &self.shared.peers) {
            let from = self.discovery.generation.unwrap_or(list.generation);
            let news =
                ListUpdate { epoch, previous_generation: from, generation: list.generation, body: list.text };
            let _ = peers.try_send(ToPeers::ListUpdate(news));
        }
        self.discovery.generation = Some(list.generation);
        self.pass(list.generation, list.whole, list.entries).await?;
        // Whatever makes it answer at once, all forwarders share it.
        if at_once {
            Timer::after(PAUSE).await;
        }
        Ok(Next::Call)
    }

    fn log_answer(&self, list: &Fetched) {
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

    async fn failed(&mut self, asked: Micros, failed: Failed) -> Result<Next, ModuleGone> {
        let counters = &self.shared.counters;
        counters.list_failures.increment();
        (self.conn, self.confirmed) = (None, false);
        self.failures += 1;
        let unanswered_ms = self.shared.clock.now().since(self.answered_at).0 / 1000;
        let longest = counters.list_unanswered_most_ms.get().max(unanswered_ms);
        counters.list_unanswered_most_ms.set(longest as usize);
        // What a watch that has fallen silent misses counts as told in half a second: it is opened anew at once. Those
        // of a fleet were not all opened at one moment, so neither are these. One that is silent again is taken for a
        // service in trouble.
        let silent = matches!(failed, Failed::Silent(_));
        let again = silent && self.silences == 0;
        self.silences = if silent { self.silences + 1 } else { 0 };
        let at_once = self.shared.clock.now().since(asked) < FAILED_AT_ONCE;
        let why = self.log_failure(failed, unanswered_ms);
        if again {
            return Ok(Next::Call);
        }
        self.shared
            .core
            .send(CoreMessage::ListFailed { reason: why, immediate: at_once })
            .await
            .map_err(|_| ModuleGone)?;
        Ok(Next::WaitForModule)
    }

    fn log_failure(&mut self, failed: Failed, unanswered_ms: u64) -> String {
        let (call, failures, discovery) = (self.calls, self.failures, self.shared.discovery.get());
        match failed {
            Failed::Lost(why) | Failed::Silent(why) => {
                tracing::warn!(call, %discovery, failures, unanswered_ms, "list: {why}");
                why
            }
            // A list that is too long stays so for a while: one line tells.
            Failed::TooLong(why) => {
                self.shared.counters.list_refused.increment();
                if self.complaint != why {
                    tracing::error!("list: {why}; the list that was held stays");
                }
                self.complaint.clone_from(&why);
                why
            }
        }
    }

    /// Hands a list to the module in parts, so that no turn of it takes long.
    async fn pass(&self, generation: u64, whole: bool, entries: StagedList) -> Result<(), ModuleGone> {
        let send = async |part| {
            self.shared.core.send(CoreMessage::EndpointListPart(part)).await.map_err(|_| ModuleGone)
        };
        if whole {
            send(ListPart::Begin).await?;
        }
        for block in entries.into_blocks() {
            send(ListPart::Entries(block)).await?;
            future::yield_now().await;
        }
        let mut swept = !whole;
        while !swept {
            let (reply, done) = bounded(1);
            send(ListPart::Sweep(reply)).await?;
            swept = done.recv().await.map_err(|_| ModuleGone)?;
        }
        send(ListPart::End(generation)).await
    }
}
