//! Endpoints and destinations: what the list says of them, and those that come into use or rest.

use super::*;

impl CoreActor {
    /// A gateway is an endpoint of its destination, and stays one.
    pub fn gateway(&mut self, g: Gateway) {
        let now = self.shared.clock.now();
        let (to, entry) = self.directory.add_fixed(
            now,
            &Endpoint {
                name: &g.name,
                address: g.address,
                zone: &g.zone,
                kind: u16::try_from(g.kind).unwrap_or(u16::MAX),
                destination: g.destination,
                weight: g.weight as f32,
                state: EntryState::Ready,
            },
        );
        self.ledger.on_list_event(now, Event::CachedEntries(vec![entry]));
        let mailbox = gateway::start(&self.shared, g, self.room());
        self.mailboxes.insert(to, mailbox);
    }

    /// As many calls as may be out to one destination, and messages of other kinds.
    pub(super) fn room(&self) -> usize {
        self.slots * 3 / 4 + 8
    }

    /// A destination is used: it wakes, if it was at rest.
    pub(super) fn used(&mut self, now: Micros, destination: u64) {
        let mut follows = DirectoryOutput::default();
        let Some(woken) = self.directory.touch(now, destination, &mut follows) else { return };
        self.shared.counters.wakes.increment();
        self.order(follows.commands);
        match self.assumed {
            Some(assumed) => self.ledger.activate(now, destination, woken.health, woken.endpoints, assumed),
            None => {
                let (entries, known): (Vec<_>, Vec<_>) = woken.endpoints.into_iter().unzip();
                let numbers: Vec<_> = entries.iter().map(|e| e.receiver).collect();
                self.ledger.on_list_event(now, Event::CachedEntries(entries));
                for (to, repute) in numbers.into_iter().zip(known) {
                    self.ledger.restore_receiver(now, to, repute);
                }
            }
        }
    }

    /// Carries out what is to be done at endpoints.
    pub(super) fn order(&mut self, orders: Vec<EndpointCommand>) {
        for order in orders {
            match order {
                EndpointCommand::Open(to, address) => {
                    let mailbox = endpoint::start(&self.shared, address, self.room());
                    self.mailboxes.insert(to, mailbox);
                }
                // Its actor ends with its mailbox, once nothing is out there.
                EndpointCommand::Close(to) => drop(self.mailboxes.remove(&to)),
                EndpointCommand::CloseIdle(to) => self.send_to_endpoint(to, ToEndpoint::CloseIdle),
                EndpointCommand::AddressChanged(to, address) => {
                    self.send_to_endpoint(to, ToEndpoint::AddressChanged(Box::new(address)))
                }
            }
        }
    }

    pub(super) fn send_to_endpoint(&self, to: ReceiverId, message: ToEndpoint) {
        if let Some(mailbox) = self.mailboxes.get(&to) {
            let _ = mailbox.try_send(message);
        }
    }

    pub(super) fn follow_up(&mut self, now: Micros, follows: DirectoryOutput) {
        self.order(follows.commands);
        follows.entries.iter().for_each(|e| self.shared.invariants.listed(now, e));
        for entry in follows.entries.iter().filter(|e| e.state != EntryState::Ready) {
            if let Some(peer) = self.directory.active_endpoint(entry.receiver) {
                let (endpoint, to) = (&peer.name, entry.receiver.0);
                tracing::info!(endpoint, to, "list: nothing more goes there: {:?}", entry.state);
            }
        }
        if !follows.entries.is_empty() {
            self.ledger.on_list_event(now, Event::CachedEntries(follows.entries));
        }
        for (to, repute) in follows.restored_health {
            self.ledger.restore_receiver(now, to, repute);
        }
        follows.restarted.into_iter().for_each(|to| self.ledger.on_receiver_restart(now, to));
    }

    pub(super) fn put(&mut self, now: Micros, e: Endpoint<'_>, follows: &mut DirectoryOutput) {
        if let Err(why) = self.directory.put(now, e.clone(), follows) {
            self.shared.counters.list_refused.increment();
            let why = match why {
                EntryError::Full => "there is no place for it",
                EntryError::OutOfBounds => "its name or zone is out of bounds",
            };
            tracing::error!("list: {} is left out: {why}", e.name);
        }
    }

    /// A list in one message.
    pub(super) fn list(&mut self, now: Micros, list: EndpointList) {
        let mut follows = DirectoryOutput::default();
        if list.complete {
            self.directory.begin_complete_list();
        }
        for l in &list.entries {
            self.put(now, listed_endpoint(l), &mut follows);
        }
        self.directory.sweep(now, usize::MAX, &mut follows);
        self.follow_up(now, follows);
        self.has_list(now, list.generation);
    }

    pub(super) fn part(&mut self, now: Micros, part: ListPart) {
        let mut follows = DirectoryOutput::default();
        match part {
            ListPart::Begin => self.directory.begin_complete_list(),
            ListPart::Entries(block) => {
                for e in block.iter() {
                    self.put(now, e, &mut follows);
                }
            }
            ListPart::Sweep(reply) => {
                let done = self.directory.sweep(now, SWEEP_BATCH_RECORDS, &mut follows);
                let _ = reply.try_send(done);
            }
            ListPart::End(generation) => self.has_list(now, generation),
        }
        self.follow_up(now, follows);
    }

    /// A list has been taken.
    pub(super) fn has_list(&mut self, now: Micros, generation: u64) {
        self.directory.finish_list();
        self.first_list = None;
        if let Some(p) = &mut self.probing {
            p.set_list_generation(Some(generation));
        }
        self.shared.counters.list_old.set(0);
        self.shared.counters.listed.set(self.directory.listed_endpoint_count());
        *self.shared.list_state.borrow_mut() = ListState::Current;
        self.ledger.on_list_event(now, Event::ListChanges(Vec::new()));
        self.list_of(now, Some(generation));
    }

    /// Lets endpoints go that are gone, and destinations rest that nobody uses.
    pub(super) fn tidy(&mut self, now: Micros) {
        let mut follows = DirectoryOutput::default();
        self.directory.release_gone_endpoints(now, &mut follows);
        while let Some(destination) = self.directory.next_idle(now) {
            let Some((whole, each)) = self.ledger.deactivate(now, destination) else { continue };
            self.shared.counters.rests.increment();
            self.directory.deactivate(now, destination, whole, &each, &mut follows);
        }
        self.order(follows.commands);
        self.shared.counters.awake.set(self.directory.active_destination_count());
        self.shared.counters.remembered.set(self.directory.health_store().len());
        self.keep_memories(now);
    }

    /// The list as it was last held.
    pub fn known(&mut self, list: EndpointList) {
        let now = self.shared.clock.now();
        self.list(now, EndpointList { complete: true, ..list });
        // Its version may be that of another discovery.
        self.generation = None;
    }

    /// Has what is remembered kept, if that is another thing than was kept last.
    pub(super) fn keep_memories(&mut self, now: Micros) {
        let changes = self.directory.health_store().change_count();
        let Some(keep) = self.keep.as_ref().filter(|_| now >= self.keep_at.0 && changes != self.keep_at.1)
        else {
            return;
        };
        let all = self.directory.health_store().iter().map(|(w, m)| (w.clone(), *m)).collect();
        // While one is still being written the next waits.
        if keep.try_send(all).is_ok() {
            self.keep_at = (now.plus(KEEP_EVERY), changes);
        }
    }
}
