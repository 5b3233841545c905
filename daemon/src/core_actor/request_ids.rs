//! Request ids during an upgrade: a message is accepted by one of the two processes of this forwarder.

use super::{CoreActor, SubmitReply};
use onyxrock::core::RequestIdDigest;
use onyxrock::interface::Micros;

impl CoreActor {
    /// Claims a request id where a sibling process may have accepted it.
    ///
    /// # Errors
    /// The reply for the submission: the sibling has accepted this id, or nothing can be claimed now.
    pub(super) fn claim_request_id(&mut self, now: Micros, id: RequestIdDigest) -> Result<(), SubmitReply> {
        let Some(shared_ids) = &mut self.shared_ids else { return Ok(()) };
        let (ledger, room) = (&self.ledger, self.wal.free_bytes());
        let foreign = shared_ids.claim(id, || ledger.request_ids(), room).map_err(|e| {
            tracing::warn!("ids: a request id could not be shared with the other process: {e}");
            self.shared.counters.refused_log.increment();
            self.shared.counters.fail_fast.increment();
            SubmitReply::Full
        })?;
        self.remember_request_ids(now, &foreign);
        if foreign.contains(&id) {
            self.shared.counters.ids_again.increment();
            return Err(SubmitReply::DuplicateId);
        }
        Ok(())
    }

    /// Shares the known ids with the sibling, and learns those that it has shared. Returns whether the sibling
    /// has shared all that it knew.
    pub(super) fn learn_request_ids(&mut self, now: Micros) -> bool {
        let Some(shared_ids) = &mut self.shared_ids else { return true };
        match shared_ids.join(self.ledger.request_ids(), self.wal.free_bytes()) {
            Ok(foreign) => self.remember_request_ids(now, &foreign),
            Err(e) => tracing::warn!("ids: the request ids could not be shared, will be retried: {e}"),
        }
        self.shared_ids.as_ref().is_none_or(|shared_ids| shared_ids.other_joined())
    }

    /// Learns what a sibling that is gone has shared last. If that is not possible now, ids go on being
    /// claimed.
    pub(super) fn stop_sharing_request_ids(&mut self, now: Micros) {
        let Some(shared_ids) = &mut self.shared_ids else { return };
        match shared_ids.leave() {
            Ok(foreign) => {
                self.remember_request_ids(now, &foreign);
                self.shared_ids = None;
            }
            Err(e) => tracing::warn!("ids: the file of shared request ids stays in use: {e}"),
        }
    }

    /// Remembers request ids that the sibling has accepted.
    pub(super) fn remember_request_ids(&mut self, now: Micros, ids: &[RequestIdDigest]) {
        for id in ids {
            self.ledger.remember_request_id(now, *id);
        }
    }
}
