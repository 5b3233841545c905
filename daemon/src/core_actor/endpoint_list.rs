//! Applies endpoint lists, activates destinations when they are used, and deactivates those that are not.

use super::*;

impl CoreActor {
    /// Adds a gateway: a fixed endpoint of its destination, which no list removes.
    pub fn add_gateway(&mut self, gateway: Gateway) {
        let now = self.shared.clock.now();
        let (receiver, entry) = self.directory.add_fixed(
            now,
            &Endpoint {
                name: &gateway.name,
                address: gateway.address,
                zone: &gateway.zone,
                kind: u16::try_from(gateway.kind).unwrap_or(u16::MAX),
                destination: gateway.destination,
                weight: gateway.weight as f32,
                state: EntryState::Ready,
                started_ms: 0,
            },
        );
        self.ledger.on_list_event(now, Event::CachedEntries(vec![entry]));
        let mailbox = gateway::start(&self.shared, gateway, self.mailbox_capacity());
        self.mailboxes.insert(receiver, mailbox);
    }

    /// Capacity of an endpoint's mailbox: the calls that may be in flight to one destination, and some other
    /// messages.
    pub(super) fn mailbox_capacity(&self) -> usize {
        self.slots * 3 / 4 + 8
    }

    /// Marks a destination as used, and activates it if it was inactive.
    pub(super) fn activate_destination(&mut self, now: Micros, destination: u64) {
        let mut output = DirectoryOutput::default();
        let Some(activated) = self.directory.touch(now, destination, &mut output) else { return };
        self.shared.counters.wakes.increment();
        self.run_commands(output.commands);
        match self.assumed_rate_per_s {
            Some(assumed_rate) => {
                self.ledger.activate(now, destination, activated.health, activated.endpoints, assumed_rate)
            }
            None => {
                let (entries, retained): (Vec<_>, Vec<_>) = activated.endpoints.into_iter().unzip();
                let receivers: Vec<_> = entries.iter().map(|entry| entry.receiver).collect();
                self.ledger.on_list_event(now, Event::CachedEntries(entries));
                for (receiver, health) in receivers.into_iter().zip(retained) {
                    self.ledger.restore_receiver(now, receiver, health);
                }
            }
        }
    }

    /// Carries out the directory's commands.
    pub(super) fn run_commands(&mut self, commands: Vec<EndpointCommand>) {
        for command in commands {
            match command {
                EndpointCommand::Open(receiver, address) => {
                    let mailbox = endpoint::start(&self.shared, address, self.mailbox_capacity());
                    self.mailboxes.insert(receiver, mailbox);
                }
                // The actor ends when its mailbox closes and no call is in flight.
                EndpointCommand::Close(receiver) => drop(self.mailboxes.remove(&receiver)),
                EndpointCommand::CloseIdle(receiver) => {
                    self.send_to_endpoint(receiver, ToEndpoint::CloseIdle)
                }
                EndpointCommand::AddressChanged(receiver, address) => {
                    self.send_to_endpoint(receiver, ToEndpoint::AddressChanged(Box::new(address)))
                }
            }
        }
    }

    /// Sends a message to an endpoint's actor; it is dropped if the mailbox is full or gone.
    pub(super) fn send_to_endpoint(&self, receiver: ReceiverId, message: ToEndpoint) {
        if let Some(mailbox) = self.mailboxes.get(&receiver) {
            let _ = mailbox.try_send(message);
        }
    }

    /// Applies what a change of the directory means for endpoints and the ledger.
    pub(super) fn apply_directory_output(&mut self, now: Micros, output: DirectoryOutput) {
        self.run_commands(output.commands);
        output.entries.iter().for_each(|entry| self.shared.invariants.note_entry(now, entry));
        for entry in output.entries.iter().filter(|entry| entry.state != EntryState::Ready) {
            if let Some(endpoint) = self.directory.active_endpoint(entry.receiver) {
                let (endpoint, to) = (&endpoint.name, entry.receiver.0);
                tracing::info!(
                    endpoint,
                    to,
                    "list: endpoint is {:?}; no new calls are sent to it",
                    entry.state
                );
            }
        }
        if !output.entries.is_empty() {
            self.ledger.on_list_event(now, Event::CachedEntries(output.entries));
        }
        for (receiver, health) in output.restored_health {
            self.ledger.restore_receiver(now, receiver, health);
        }
        output.restarted.into_iter().for_each(|receiver| self.ledger.on_receiver_restart(now, receiver));
    }

    /// Adds an endpoint of the list, or logs why it cannot be added.
    pub(super) fn put_endpoint(&mut self, now: Micros, entry: Endpoint<'_>, output: &mut DirectoryOutput) {
        if let Err(reason) = self.directory.put(now, entry.clone(), output) {
            self.shared.counters.list_refused.increment();
            let reason = match reason {
                EntryError::Full => "the endpoint table is full",
                EntryError::OutOfBounds => "its name or zone is out of bounds",
            };
            tracing::error!("list: {} is left out: {reason}", entry.name);
        }
    }

    /// Applies a list as a whole.
    pub(super) fn on_list(&mut self, now: Micros, list: EndpointList) {
        let mut output = DirectoryOutput::default();
        if list.complete {
            self.directory.begin_complete_list();
        }
        for listed in &list.entries {
            self.put_endpoint(now, listed_endpoint(listed), &mut output);
        }
        self.directory.sweep(now, usize::MAX, &mut output);
        self.apply_directory_output(now, output);
        self.list_finished(now, list.generation);
    }

    /// Applies one part of a long list.
    pub(super) fn on_list_part(&mut self, now: Micros, part: ListPart) {
        let mut output = DirectoryOutput::default();
        match part {
            ListPart::Begin => self.directory.begin_complete_list(),
            ListPart::Entries(block) => {
                for entry in block.iter() {
                    self.put_endpoint(now, entry, &mut output);
                }
            }
            ListPart::Sweep(reply) => {
                let done = self.directory.sweep(now, SWEEP_BATCH_RECORDS, &mut output);
                let _ = reply.try_send(done);
            }
            ListPart::End(generation) => self.list_finished(now, generation),
        }
        self.apply_directory_output(now, output);
    }

    /// Finishes a list: the directory now holds this generation.
    pub(super) fn list_finished(&mut self, now: Micros, generation: u64) {
        self.directory.finish_list();
        self.first_list = None;
        if let Some(duty_runner) = &mut self.duty_runner {
            duty_runner.set_list_generation(Some(generation));
        }
        self.shared.counters.list_old.set(0);
        self.shared.counters.listed.set(self.directory.listed_endpoint_count());
        *self.shared.list_state.borrow_mut() =
            self.shared.list_fault.borrow().clone().map_or(ListState::Current, ListState::Outdated);
        self.ledger.on_list_event(now, Event::ListChanges(Vec::new()));
        self.set_list_generation(now, Some(generation));
    }

    /// Releases endpoints that are gone, and deactivates idle destinations.
    pub(super) fn release_unused(&mut self, now: Micros) {
        let mut output = DirectoryOutput::default();
        self.directory.release_gone_endpoints(now, &mut output);
        while let Some(destination) = self.directory.next_idle(now) {
            let Some((destination_health, endpoint_health)) = self.ledger.deactivate(now, destination) else {
                continue;
            };
            self.shared.counters.rests.increment();
            self.directory.deactivate(now, destination, destination_health, &endpoint_health, &mut output);
        }
        self.run_commands(output.commands);
        self.shared.counters.awake.set(self.directory.active_destination_count());
        self.shared.counters.remembered.set(self.directory.health_store().len());
        self.save_health(now);
    }

    /// Loads the cached list of an earlier process.
    pub fn load_cached_list(&mut self, list: EndpointList) {
        let now = self.shared.clock.now();
        self.on_list(now, EndpointList { complete: true, ..list });
        // The generation may be that of another discovery server.
        self.list_generation = None;
    }

    /// Saves the retained health if a save is due and something has changed.
    pub(super) fn save_health(&mut self, now: Micros) {
        let changes = self.directory.health_store().change_count();
        let Some(saver) = self
            .health_saver
            .as_ref()
            .filter(|_| now >= self.next_health_save.0 && changes != self.next_health_save.1)
        else {
            return;
        };
        let snapshot =
            self.directory.health_store().iter().map(|(key, health)| (key.clone(), *health)).collect();
        // If the previous snapshot is still being written, this one is skipped until the next call.
        if saver.try_send(snapshot).is_ok() {
            self.next_health_save = (now.plus(HEALTH_SAVE_INTERVAL), changes);
        }
    }
}
