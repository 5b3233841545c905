//! The records of one name. Each is found by its data, so that an update costs what it changes, however many records
//! the name has.

use super::stored_zone;
use hickory_proto::rr::{RData, Record, RecordType};
use std::borrow::Borrow;
use std::collections::{BTreeMap, HashMap};
use std::hash::{Hash, Hasher};
use std::rc::Rc;

/// Order of a name's records: by type, and within a type the earliest first.
type Position = (RecordType, u64);

/// A record in memory, with its stored form.
#[derive(Clone, Debug)]
struct StoredRecord {
    record: Rc<Record>,
    /// The record as [`stored_zone`] writes it.
    stored: Rc<[u8]>,
}

/// A record that is found by its data. A name has no two records with the same data.
#[derive(Clone, Debug)]
struct ByData(Rc<Record>);

impl PartialEq for ByData {
    fn eq(&self, other: &ByData) -> bool {
        self.0.data == other.0.data
    }
}

impl Eq for ByData {}

impl Hash for ByData {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.data.hash(state);
    }
}

impl Borrow<RData> for ByData {
    fn borrow(&self) -> &RData {
        &self.0.data
    }
}

/// A record and its place among those of its name, so that it can be put back there.
#[derive(Clone, Debug)]
pub struct PlacedRecord {
    place: u64,
    content: StoredRecord,
}

impl PlacedRecord {
    /// Time to live of the record.
    pub fn ttl(&self) -> u32 {
        self.content.record.ttl
    }

    /// Bytes of the record's stored form.
    pub fn stored_bytes(&self) -> usize {
        self.content.stored.len()
    }
}

/// The records of one name.
#[derive(Clone, Debug, Default)]
pub struct NameRecords {
    in_order: BTreeMap<Position, StoredRecord>,
    places: HashMap<ByData, u64>,
    next_place: u64,
}

impl NameRecords {
    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.in_order.is_empty()
    }

    /// All records.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.in_order.values().map(|content| &*content.record)
    }

    /// The records of one type.
    pub fn of_type(&self, record_type: RecordType) -> impl Iterator<Item = &Record> + use<'_> {
        self.in_order.range((record_type, 0)..=(record_type, u64::MAX)).map(|(_, content)| &*content.record)
    }

    /// The record of one of these types that was added first.
    pub fn earliest(&self, record_types: &[RecordType]) -> Option<&Record> {
        let first_of = |record_type: &RecordType| {
            self.in_order.range((*record_type, 0)..=(*record_type, u64::MAX)).next()
        };
        let earliest = record_types.iter().filter_map(first_of).min_by_key(|((_, place), _)| *place);
        earliest.map(|(_, content)| &*content.record)
    }

    /// The stored form of each record.
    pub fn stored(&self) -> impl Iterator<Item = &[u8]> {
        self.in_order.values().map(|content| &*content.stored)
    }

    /// The record with this data.
    pub fn get(&self, data: &RData) -> Option<PlacedRecord> {
        let place = *self.places.get(data)?;
        let content = self.in_order.get(&(data.record_type(), place))?.clone();
        Some(PlacedRecord { place, content })
    }

    /// Adds a record, or replaces the one with the same data in its place.
    ///
    /// # Errors
    /// The record cannot be stored; nothing has changed.
    pub fn put(&mut self, record: Record) -> Result<(), String> {
        let stored = stored_zone::encode_record(&record)?.into();
        let place = self.places.get(&record.data).copied().unwrap_or(self.next_place);
        self.insert(PlacedRecord { place, content: StoredRecord { record: Rc::new(record), stored } });
        Ok(())
    }

    /// Puts a record back in its place.
    pub fn insert(&mut self, placed: PlacedRecord) {
        let PlacedRecord { place, content } = placed;
        self.next_place = self.next_place.max(place + 1);
        self.places.insert(ByData(content.record.clone()), place);
        self.in_order.insert((content.record.record_type(), place), content);
    }

    /// Removes the record with this data.
    pub fn remove(&mut self, data: &RData) {
        if let Some(place) = self.places.remove(data) {
            self.in_order.remove(&(data.record_type(), place));
        }
    }
}
