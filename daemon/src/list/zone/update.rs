//! Dynamic updates of a zone (RFC 2136). An update is applied completely or not at all, in time that grows with the
//! update and not with the zone, nor with the records that a name has.

use super::name_records::{NameRecords, PlacedRecord};
use super::{MAX_RECORDS, SUPPORTED_TYPES, Zone, is_supported};
use hickory_proto::op::{Message, ResponseCode};
use hickory_proto::rr::{DNSClass, Name, RData, Record, RecordType};
use std::collections::{BTreeMap, HashMap, HashSet};

/// What the records of one name were before an update, by their data; `None` for one that was not there.
type FormerRecords = HashMap<RData, Option<PlacedRecord>>;

/// What an update has changed.
#[derive(Debug, Default)]
pub struct ZoneChange {
    former: BTreeMap<Name, FormerRecords>,
}

impl Zone {
    /// Applies an update completely or not at all. Returns what has changed, if anything has.
    pub fn update(&mut self, message: &Message) -> (ResponseCode, Option<ZoneChange>) {
        let mut change = ZoneChange::default();
        match self.try_update(message, &mut change) {
            Ok(true) => (ResponseCode::NoError, Some(change)),
            Ok(false) => {
                self.revert(change);
                (ResponseCode::NoError, None)
            }
            Err(code) => {
                self.revert(change);
                (code, None)
            }
        }
    }

    /// Returns whether the zone differs from the one before.
    fn try_update(&mut self, message: &Message, change: &mut ZoneChange) -> Result<bool, ResponseCode> {
        let [zone] = message.queries.as_slice() else { return Err(ResponseCode::FormErr) };
        if zone.query_type() != RecordType::SOA {
            return Err(ResponseCode::FormErr);
        }
        if *zone.name() != self.origin || zone.query_class() != DNSClass::IN {
            return Err(ResponseCode::NotAuth);
        }
        let serial = self.serial();
        self.check_prerequisites(&message.answers)?;
        self.check_updates(&message.authorities)?;
        for update in &message.authorities {
            self.apply(update, change)?;
        }
        if !self.differs_from(change) {
            return Ok(false);
        }
        if self.serial() == serial {
            self.increment_serial(change)?;
        }
        if self.record_count > MAX_RECORDS { Err(ResponseCode::Refused) } else { Ok(true) }
    }

    /// Reverts an update, of which this is what it has changed.
    pub fn revert(&mut self, change: ZoneChange) {
        for (name, records) in change.former {
            let of_name = self.names.entry(name.clone()).or_default();
            for (data, former) in records {
                if let Some(current) = of_name.get(&data) {
                    of_name.remove(&data);
                    self.record_count -= 1;
                    self.stored_bytes -= current.stored_bytes();
                }
                if let Some(former) = former {
                    self.record_count += 1;
                    self.stored_bytes += former.stored_bytes();
                    of_name.insert(former);
                }
            }
            self.forget_if_empty(&name);
        }
    }

    fn differs_from(&self, change: &ZoneChange) -> bool {
        change.former.iter().any(|(name, records)| {
            let of_name = self.names.get(name);
            records.iter().any(|(data, former)| {
                let current = of_name.and_then(|of_name| of_name.get(data));
                current.map(|record| record.ttl()) != former.as_ref().map(PlacedRecord::ttl)
            })
        })
    }

    fn forget_if_empty(&mut self, name: &Name) {
        if self.names.get(name).is_some_and(NameRecords::is_empty) {
            self.names.remove(name);
        }
    }

    fn put(&mut self, record: Record, change: &mut ZoneChange) -> Result<(), ResponseCode> {
        let (name, data) = (record.name.clone(), record.data.clone());
        let of_name = self.names.entry(name.clone()).or_default();
        let former = of_name.get(&data);
        if let Err(e) = of_name.put(record) {
            tracing::error!("dns: a record cannot be stored, update refused: {e}");
            self.forget_if_empty(&name);
            return Err(ResponseCode::ServFail);
        }
        self.stored_bytes += of_name.get(&data).map_or(0, |current| current.stored_bytes());
        self.stored_bytes -= former.as_ref().map_or(0, PlacedRecord::stored_bytes);
        self.record_count += usize::from(former.is_none());
        change.former.entry(name).or_default().entry(data).or_insert(former);
        Ok(())
    }

    fn remove(&mut self, name: &Name, data: &RData, change: &mut ZoneChange) {
        let Some(of_name) = self.names.get_mut(name) else { return };
        let Some(former) = of_name.get(data) else { return };
        of_name.remove(data);
        self.record_count -= 1;
        self.stored_bytes -= former.stored_bytes();
        change.former.entry(name.clone()).or_default().entry(data.clone()).or_insert(Some(former));
        self.forget_if_empty(name);
    }

    fn increment_serial(&mut self, change: &mut ZoneChange) -> Result<(), ResponseCode> {
        let Some(mut record) = self.soa().cloned() else { return Ok(()) };
        if let RData::SOA(soa) = &mut record.data {
            soa.increment_serial();
        }
        self.replace_soa(record, change)
    }

    /// Replaces the SOA record, of which there is one.
    fn replace_soa(&mut self, record: Record, change: &mut ZoneChange) -> Result<(), ResponseCode> {
        if let Some(former) = self.soa().map(|former| former.data.clone()) {
            let origin = self.origin.clone();
            self.remove(&origin, &former, change);
        }
        self.put(record, change)
    }

    /// Checks the prerequisites of an update (RFC 2136, section 3.2).
    fn check_prerequisites(&self, conditions: &[Record]) -> Result<(), ResponseCode> {
        let mut required: HashMap<(&Name, RecordType), HashSet<&RData>> = HashMap::new();
        for condition in conditions {
            let (record_type, any) = (condition.record_type(), condition.record_type() == RecordType::ANY);
            if condition.ttl != 0 {
                return Err(ResponseCode::FormErr);
            }
            if !self.origin.zone_of(&condition.name) {
                return Err(ResponseCode::NotZone);
            }
            let present = || {
                if any {
                    self.names.contains_key(&condition.name)
                } else {
                    self.record_set(&condition.name, record_type).next().is_some()
                }
            };
            match condition.dns_class {
                DNSClass::ANY | DNSClass::NONE if !has_no_data(condition) => {
                    return Err(ResponseCode::FormErr);
                }
                DNSClass::ANY if !present() => {
                    return Err(if any { ResponseCode::NXDomain } else { ResponseCode::NXRRSet });
                }
                DNSClass::NONE if present() => {
                    return Err(if any { ResponseCode::YXDomain } else { ResponseCode::YXRRSet });
                }
                DNSClass::ANY | DNSClass::NONE => {}
                DNSClass::IN => {
                    required.entry((&condition.name, record_type)).or_default().insert(&condition.data);
                }
                _ => return Err(ResponseCode::FormErr),
            }
        }
        let is_met = |((name, record_type), wanted): (&(&Name, RecordType), &HashSet<&RData>)| {
            let mut present = 0;
            let all_wanted = self.record_set(name, *record_type).all(|record| {
                present += 1;
                wanted.contains(&record.data)
            });
            all_wanted && present == wanted.len()
        };
        if required.iter().all(is_met) { Ok(()) } else { Err(ResponseCode::NXRRSet) }
    }

    /// Checks the changes of an update (RFC 2136, section 3.4.1).
    fn check_updates(&self, updates: &[Record]) -> Result<(), ResponseCode> {
        for update in updates {
            let record_type = update.record_type();
            if !self.origin.zone_of(&update.name) {
                return Err(ResponseCode::NotZone);
            }
            match update.dns_class {
                DNSClass::IN if record_type == RecordType::ANY || has_no_data(update) => {
                    return Err(ResponseCode::FormErr);
                }
                DNSClass::IN if !is_supported(record_type) => return Err(ResponseCode::Refused),
                DNSClass::ANY if update.ttl != 0 || !has_no_data(update) => {
                    return Err(ResponseCode::FormErr);
                }
                DNSClass::NONE if update.ttl != 0 || record_type == RecordType::ANY => {
                    return Err(ResponseCode::FormErr);
                }
                DNSClass::IN | DNSClass::ANY | DNSClass::NONE => {}
                _ => return Err(ResponseCode::FormErr),
            }
        }
        Ok(())
    }

    /// Applies a change of an update (RFC 2136, section 3.4.2).
    fn apply(&mut self, update: &Record, change: &mut ZoneChange) -> Result<(), ResponseCode> {
        match update.dns_class {
            DNSClass::ANY => self.delete_sets(&update.name, update.record_type(), change),
            DNSClass::NONE => self.delete_record(update, change),
            _ => return self.add(update, change),
        }
        Ok(())
    }

    /// Deletes the record set of a type, or all of them. Those that every zone has stay.
    fn delete_sets(&mut self, name: &Name, record_type: RecordType, change: &mut ZoneChange) {
        let apex = *name == self.origin;
        for of_type in SUPPORTED_TYPES {
            let is_protected = apex && matches!(of_type, RecordType::SOA | RecordType::NS);
            if is_protected || record_type != RecordType::ANY && record_type != of_type {
                continue;
            }
            let set: Vec<RData> = self.record_set(name, of_type).map(|record| record.data.clone()).collect();
            set.iter().for_each(|data| self.remove(name, data, change));
        }
    }

    /// Deletes one record; the SOA record and the last NS record of the zone stay.
    fn delete_record(&mut self, update: &Record, change: &mut ZoneChange) {
        let record_type = update.record_type();
        let is_last = record_type == RecordType::NS
            && update.name == self.origin
            && self.record_set(&update.name, record_type).nth(1).is_none();
        if record_type != RecordType::SOA && !is_last {
            self.remove(&update.name, &update.data, change);
        }
    }

    /// Adds a record, or replaces the SOA record by a later one.
    fn add(&mut self, update: &Record, change: &mut ZoneChange) -> Result<(), ResponseCode> {
        let RData::SOA(new) = &update.data else { return self.put(update.clone(), change) };
        // Serial numbers wrap around: a later one lies less than half the number range ahead.
        let ahead = new.serial.wrapping_sub(self.serial());
        if update.name == self.origin && ahead != 0 && ahead < 1 << 31 {
            return self.replace_soa(update.clone(), change);
        }
        Ok(())
    }
}

/// Whether a record of an update names a record set only, without data.
fn has_no_data(r: &Record) -> bool {
    matches!(r.data, RData::Update0(_))
}
