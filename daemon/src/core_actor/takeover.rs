//! What an earlier process owed, or another one of this forwarder that is gone.

use super::*;

impl CoreActor {
    /// Takes note of what this forwarder's own log says of messages, those too that are over.
    pub fn knows(&mut self, records: &[Record]) {
        self.seen = records
            .iter()
            .filter_map(|r| if let Record::Accepted(t) = r { Some(whose(t)) } else { None })
            .collect();
    }

    /// Takes over what an earlier process owed.
    pub fn resume(&mut self, owed: impl IntoIterator<Item = OpenMessage>) {
        for o in owed {
            self.shared.counters.resumed.increment();
            let now = self.shared.clock.now();
            let (n, given) = (o.accepted.number, o.final_status);
            self.used(now, o.accepted.destination);
            if o.accepted.deadline < now {
                self.shared.invariants.found_overdue(&o.accepted.request_id);
            }
            if self.ledger.resume(now, o)
                && let Some(end) = given
            {
                self.tell(n, end);
            }
        }
    }

    /// Takes over what another process of this forwarder owed, under numbers of its own. One that died between the two
    /// logs has left it in both: who is owed already, or was taken over before and has ended since, is known by its id.
    pub(super) fn copy(&mut self, left: &Left) -> std::io::Result<()> {
        let scan = left.scan()?;
        if scan.damaged_bytes > 0 {
            tracing::warn!("log: {} bytes of another process belong to no whole record", scan.damaged_bytes);
        }
        let known: BTreeSet<_> = self.ledger.open_messages().map(|o| whose(&o.accepted)).collect();
        let mut owed: Vec<_> = recover(scan.records).into_values().collect();
        owed.retain(|o| !known.contains(&whose(&o.accepted)) && !self.seen.contains(&whose(&o.accepted)));
        owed.iter_mut().for_each(|o| o.accepted.number = self.ledger.allocate_number());
        let records: Vec<_> = owed.iter().flat_map(OpenMessage::records).collect();
        if !records.is_empty() && !self.keep_now(&records) {
            return Err(std::io::ErrorKind::StorageFull.into());
        }
        if !owed.is_empty() {
            tracing::info!("log: {} messages of another process are taken over", owed.len());
        }
        self.seen.extend(owed.iter().map(|o| whose(&o.accepted)));
        self.resume(owed);
        Ok(())
    }

    pub(super) fn take_over(&mut self, left: &Left) -> std::io::Result<()> {
        self.copy(left)?;
        left.clear()?;
        self.seen.clear();
        Ok(())
    }

    /// The same; what fails is tried again at the next look.
    pub fn adopt(&mut self, left: &Left) {
        if let Err(e) = self.take_over(left) {
            tracing::error!("log: what another process owed is not taken over yet: {e}");
        }
    }
}
