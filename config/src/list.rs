//! Discovery's list, as JSON.

use onyxrock::core::Names;
use onyxrock::interface::*;
use serde_json::Value;
use std::net::SocketAddr;

/// One endpoint as the list states it.
#[derive(Clone, Debug)]
pub struct Listed {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    /// All but the receiver's number, which is the reader's to give.
    pub entry: Entry,
}

/// A whole list or the entries that changed.
#[derive(Clone, Debug, Default)]
pub struct List {
    pub generation: u64,
    pub whole: bool,
    pub entries: Vec<Listed>,
}

/// Reads a list. An entry that cannot be read fails it as a whole: a list with holes would look like endpoints
/// that are gone.
pub fn read(v: &Value, names: &Names) -> Result<List, String> {
    let generation = v.get("generation").and_then(Value::as_u64).ok_or("list: no generation")?;
    let whole = v.get("reset").and_then(Value::as_bool).unwrap_or(true);
    let entries = v.get("instances").and_then(Value::as_array).ok_or("list: no instances")?;
    let entries = entries.iter().map(|e| entry(e, names)).collect::<Result<_, _>>()?;
    Ok(List { generation, whole, entries })
}

fn entry(v: &Value, names: &Names) -> Result<Listed, String> {
    let text = |k: &str| v.get(k).and_then(Value::as_str).ok_or_else(|| format!("list: an entry has no {k}"));
    let place = |map: &std::collections::BTreeMap<String, usize>, name: &str| {
        map.get(name).copied().unwrap_or(usize::MAX)
    };
    let zone = text("zone").unwrap_or_default();
    let listing = match text("lifecycle")? {
        "Ready" => Listing::Ready,
        "Terminating" => Listing::Draining,
        "Gone" => Listing::Gone,
        other => return Err(format!("list: unknown lifecycle \"{other}\"")),
    };
    Ok(Listed {
        name: text("instanceId")?.to_owned(),
        address: text("hostPort")?.parse().map_err(|e| format!("list: hostPort: {e}"))?,
        zone: zone.to_owned(),
        entry: Entry {
            receiver: ReceiverId(0),
            listing,
            destination: DestinationId(v.get("cell").and_then(Value::as_u64).unwrap_or(0)),
            kind: KindId(place(&names.kinds, text("machineType").unwrap_or_default())),
            zone: ZoneId(place(&names.zones, zone)),
            weight: v.get("weight").and_then(Value::as_f64).unwrap_or(0.0),
        },
    })
}
