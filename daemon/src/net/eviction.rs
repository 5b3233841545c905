//! Connections of clients that wait for a request, in the order in which nobody would miss them.

use async_channel::Sender;
use onyxrock::interface::Micros;
use std::cell::RefCell;
use std::collections::BTreeMap;

/// Place in the order: who has been answered comes behind who never asked, the newer behind the older.
pub type Place = (bool, Micros, u64);

#[derive(Default)]
pub struct Crowd(RefCell<BTreeMap<Place, Sender<()>>>);

impl Crowd {
    pub fn join(&self, place: Place, go: Sender<()>) {
        self.0.borrow_mut().insert(place, go);
    }
    pub fn leave(&self, place: Place) {
        self.0.borrow_mut().remove(&place);
    }
    /// Tells the first in the order to go. False if there is none: one that was answered stays until `spare`
    /// after that.
    pub fn make_room(&self, now: Micros, spare: Micros) -> bool {
        let mut all = self.0.borrow_mut();
        let first = all.first_entry().filter(|e| !e.key().0 || now.since(e.key().1) >= spare);
        first.map(|e| e.remove().try_send(())).is_some()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use async_channel::bounded;

    /// By hundreds and silent, they would otherwise shut out those who ask.
    #[test]
    fn the_oldest_silent_one_goes_first_and_who_was_just_answered_stays() {
        let (crowd, spare) = (Crowd::default(), Micros(2_000_000));
        let places = [(true, Micros(1), 1), (false, Micros(20), 2), (false, Micros(10), 3)];
        let told = places.map(|place| {
            let (go, told) = bounded(1);
            crowd.join(place, go);
            told
        });
        let now = Micros(1_000_000);
        assert!(crowd.make_room(now, spare) && told[2].try_recv().is_ok());
        assert!(crowd.make_room(now, spare) && told[1].try_recv().is_ok());
        assert!(!crowd.make_room(now, spare));
        assert!(crowd.make_room(Micros(2_000_001), spare) && told[0].try_recv().is_ok());
        assert!(!crowd.make_room(Micros(9_000_000), spare));
    }
}
