//! Which endpoints are really at an address. The list may name an endpoint for a while after its process has gone,
//! when a new one has started at its address: calls would reach the new one.
//!
//! Of several endpoints at one address the one whose process started last is there. Endpoints that started at the same
//! moment are one process under several names.

use std::collections::HashMap;
use std::net::SocketAddr;

/// An endpoint whose start is known.
#[derive(Debug)]
struct Started {
    name: String,
    started_ms: u64,
}

/// The endpoints at each address, as far as their starts are known; the others started earlier than these.
#[derive(Debug, Default)]
pub(crate) struct AddressOwners {
    at_address: HashMap<SocketAddr, Vec<Started>>,
    /// The addresses of the names in `at_address`.
    addresses: HashMap<String, SocketAddr>,
}

impl AddressOwners {
    /// Notes an endpoint of the list. Returns the addresses of which the endpoints have changed.
    pub fn note(&mut self, name: &str, address: SocketAddr, started_ms: u64) -> Vec<SocketAddr> {
        if started_ms == 0 && self.addresses.is_empty() {
            return Vec::new();
        }
        if self.addresses.get(name) == Some(&address) && self.started_ms(name, address) == started_ms {
            return Vec::new();
        }
        let mut changed: Vec<_> = self.forget(name).into_iter().collect();
        if started_ms > 0 {
            let started = Started { name: name.to_owned(), started_ms };
            self.at_address.entry(address).or_default().push(started);
            self.addresses.insert(name.to_owned(), address);
            changed.push(address);
        }
        changed
    }

    /// Forgets an endpoint that has left the list. Returns its address if its start was known.
    pub fn forget(&mut self, name: &str) -> Option<SocketAddr> {
        let address = self.addresses.remove(name)?;
        if let Some(all) = self.at_address.get_mut(&address) {
            all.retain(|started| started.name != name);
            if all.is_empty() {
                self.at_address.remove(&address);
            }
        }
        Some(address)
    }

    /// Whether another endpoint's process has started at the address since this endpoint's did.
    pub fn is_superseded(&self, name: &str, address: SocketAddr) -> bool {
        let Some(all) = self.at_address.get(&address) else { return false };
        let own = self.started_ms(name, address);
        all.iter().any(|other| other.started_ms > own)
    }

    /// When the endpoint started at this address; 0 if that is not known.
    fn started_ms(&self, name: &str, address: SocketAddr) -> u64 {
        let all = self.at_address.get(&address).into_iter().flatten();
        all.filter(|started| started.name == name).map(|started| started.started_ms).next().unwrap_or(0)
    }
}
