//! Looks whether another process of this forwarder is beside this one: what it tells of waits, and what it owes once it is
//! gone.

use crate::core_actor::CoreMessage;
use crate::net::SharedState;
use crate::shared_waits::WaitReader;
use crate::state_folder::{Claim, Left, Other, remove};
use async_io::Timer;
use std::rc::Rc;
use std::time::Duration;

/// How often a process looks whether another one is there, where no upgrade is to be expected ...
const LOOK: Duration = Duration::from_secs(2);
/// ... and where one is: the newcomer waits for what is known here.
const LOOK_FOR_UPGRADE: Duration = Duration::from_millis(50);
/// Calls that cross the answer which tells a wait pass for a tenth of a second: the other process knows it well before.
const LOOK_BESIDE: Duration = Duration::from_millis(20);

/// Runs for as long as the process: its place is its own until then.
pub async fn follow(shared: Rc<SharedState>, claim: Claim, other_is_there: bool, upgrades: bool) {
    let follower = Follower { shared, claim, waits: None };
    follower.run(other_is_there, upgrades).await;
}

struct Follower {
    shared: Rc<SharedState>,
    claim: Claim,
    /// While another process is there.
    waits: Option<WaitReader>,
}

impl Follower {
    async fn run(mut self, other_is_there: bool, upgrades: bool) {
        if other_is_there {
            self.waits = Some(self.reader());
        }
        loop {
            Timer::after(self.pause(upgrades)).await;
            match self.claim.other() {
                Ok(Other::Held) => self.is_there().await,
                Ok(Other::Free(left)) => self.is_gone(left).await,
                Err(e) => tracing::warn!("log: cannot look at another process's: {e}"),
            }
        }
    }

    fn pause(&self, upgrades: bool) -> Duration {
        match (&self.waits, upgrades) {
            (Some(_), _) => LOOK_BESIDE,
            (None, true) => LOOK_FOR_UPGRADE,
            (None, false) => LOOK,
        }
    }

    fn reader(&self) -> WaitReader {
        let [_, others] = self.claim.waits();
        WaitReader::at(others)
    }

    async fn is_there(&mut self) {
        if self.waits.is_none() {
            let [own, _] = self.claim.waits();
            self.waits = Some(self.reader());
            tracing::info!("another process of this forwarder is there");
            let _ = self.shared.core.send(CoreMessage::SiblingChanged(Some(own))).await;
        }
        self.hear().await;
    }

    /// Passes on what the other process has told since the last look.
    async fn hear(&mut self) {
        let Some(reader) = &mut self.waits else { return };
        match reader.read(&self.shared.clock) {
            Ok(told) => {
                for one in told {
                    let _ = self.shared.core.send(CoreMessage::FromSibling(one)).await;
                }
            }
            Err(e) => tracing::warn!("waits: the other process's cannot be read: {e}"),
        }
    }

    /// A process that ends itself leaves what the other one owed to the next.
    async fn is_gone(&mut self, left: Left) {
        // What it told before it was killed still binds.
        self.hear().await;
        if self.waits.take().is_some() {
            let [_, others] = self.claim.waits();
            let _ = remove(&others);
            let _ = self.shared.core.send(CoreMessage::SiblingChanged(None)).await;
        }
        if left.is_there() && !self.shared.stopping.get() {
            let _ = self.shared.core.send(CoreMessage::TakeOverLog(left)).await;
        }
    }
}
