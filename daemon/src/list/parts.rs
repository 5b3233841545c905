//! Passes a list to the core in parts.

use super::ListPart;
use crate::core_actor::CoreMessage;
use async_channel::{Sender, bounded};
use futures_lite::future;
use onyxrock_roster::StagedList;

/// The core has stopped, so nobody needs the list any more.
pub struct CoreStopped;

/// Passes a list to the core in parts, so that none of them keeps the core busy for long.
///
/// # Errors
/// The core has stopped.
pub async fn pass_to_core(
    core: &Sender<CoreMessage>, generation: u64, complete: bool, entries: StagedList,
) -> Result<(), CoreStopped> {
    let send = async |part| core.send(CoreMessage::EndpointListPart(part)).await.map_err(|_| CoreStopped);
    if complete {
        send(ListPart::Begin).await?;
    }
    for block in entries.into_blocks() {
        send(ListPart::Entries(block)).await?;
        future::yield_now().await;
    }
    let mut sweep_done = !complete;
    while !sweep_done {
        let (reply, done) = bounded(1);
        send(ListPart::Sweep(reply)).await?;
        sweep_done = done.recv().await.map_err(|_| CoreStopped)?;
    }
    send(ListPart::End(generation)).await
}
