//! The reader of the endpoint list of discovery: JSON, read piece by piece as it arrives.

use onyxrock::core::NameIndex;
use onyxrock::interface::*;
use serde::Deserialize;
use serde_json::Value;
use std::borrow::Cow;
use std::net::SocketAddr;

/// One endpoint, as the list describes it.
#[derive(Clone, Debug)]
pub struct ListedEndpoint {
    /// Unique name of the endpoint.
    pub name: String,
    /// Address that calls are sent to.
    pub address: SocketAddr,
    /// Name of the zone; empty if the list states none.
    pub zone: String,
    /// When its process started, in milliseconds since 1970; 0 if that was long ago or is not known.
    pub started_ms: u64,
    /// The entry for the core. Its receiver id is not set: the caller assigns it.
    pub entry: ListEntry,
}

/// A complete list, or the entries that changed.
#[derive(Clone, Debug, Default)]
pub struct EndpointList {
    /// Generation of the list.
    pub generation: u64,
    /// Whether the list is complete. Otherwise it holds only changes.
    pub complete: bool,
    /// The entries, in the order of the list.
    pub entries: Vec<ListedEndpoint>,
}

#[derive(Deserialize)]
struct Instance<'a> {
    #[serde(borrow, rename = "instanceId")]
    name: Cow<'a, str>,
    #[serde(borrow, rename = "hostPort")]
    address: Cow<'a, str>,
    #[serde(borrow)]
    lifecycle: Cow<'a, str>,
    #[serde(borrow, default)]
    zone: Option<Cow<'a, str>>,
    #[serde(borrow, default, rename = "machineType")]
    kind: Option<Cow<'a, str>>,
    #[serde(default)]
    cell: Option<u64>,
    #[serde(default)]
    weight: Option<f64>,
    #[serde(default, rename = "startedAtMs")]
    started_ms: Option<f64>,
}

#[derive(Deserialize)]
struct Head {
    generation: u64,
    #[serde(default)]
    reset: Option<bool>,
    /// Always empty: the reader removes the entries before it parses the head.
    instances: Vec<()>,
}

/// Reads a list. An entry that cannot be read fails the list as a whole, because the endpoint of a skipped
/// entry would count as gone.
///
/// # Errors
/// One line that begins with `list:`.
pub fn read(list: &Value, names: &NameIndex) -> Result<EndpointList, String> {
    parse(list.to_string().as_bytes(), names)
}

/// Reads a list from its JSON text; see [`read`].
///
/// # Errors
/// One line that begins with `list:`.
pub fn parse(text: &[u8], names: &NameIndex) -> Result<EndpointList, String> {
    collect(std::iter::once(text), names)
}

fn collect<'t>(pieces: impl Iterator<Item = &'t [u8]>, names: &NameIndex) -> Result<EndpointList, String> {
    let mut reader = ListReader::new(names);
    let mut entries = Vec::new();
    for piece in pieces {
        reader.feed(piece, |entry| {
            entries.push(entry);
            Ok::<_, String>(())
        })?;
    }
    let (generation, complete) = reader.finish()?;
    Ok(EndpointList { generation, complete, entries })
}

fn parse_entry(bytes: &[u8], names: &NameIndex) -> Result<ListedEndpoint, String> {
    let instance: Instance =
        serde_json::from_slice(bytes).map_err(|e| format!("list: an entry cannot be read: {e}"))?;
    let index = |map: &std::collections::BTreeMap<String, usize>, name: &str| {
        map.get(name).copied().unwrap_or(usize::MAX)
    };
    let zone = instance.zone.as_deref().unwrap_or_default();
    let state = match &*instance.lifecycle {
        "Ready" => EntryState::Ready,
        "Terminating" => EntryState::Draining,
        "Gone" => EntryState::Gone,
        other => return Err(format!("list: unknown lifecycle {other:?}")),
    };
    Ok(ListedEndpoint {
        address: instance
            .address
            .parse()
            .map_err(|e| format!("list: hostPort {:?}: {e}", instance.address))?,
        zone: zone.to_owned(),
        started_ms: instance.started_ms.unwrap_or(0.0) as u64,
        entry: ListEntry {
            receiver: ReceiverId(0),
            state,
            destination: DestinationId(instance.cell.unwrap_or(0)),
            kind: KindId(index(&names.kinds, instance.kind.as_deref().unwrap_or_default())),
            zone: ZoneId(index(&names.zones, zone)),
            weight: instance.weight.unwrap_or(0.0),
        },
        name: instance.name.into_owned(),
    })
}

/// Bound on the length of one entry, and of the head without the entries (16 KiB). Those of existing lists
/// are far shorter.
const MAX_PART_BYTES: usize = 16 * 1024;

/// Position of the reader relative to the array of entries.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Position {
    /// Outside the array, before or after it.
    Head,
    /// After the opening bracket: the first entry or the closing bracket follows.
    ArrayStart,
    /// After an entry: a comma or the closing bracket follows.
    AfterEntry,
    /// After a comma: an entry follows.
    AfterComma,
    /// Inside an entry, at this depth of brackets.
    Entry(u32),
}

/// Reads a list of any length in the pieces in which it arrives, and holds one entry at a time. The reader
/// only finds where entries begin and end; `serde_json` parses the entries and the head.
pub struct ListReader<'n> {
    names: &'n NameIndex,
    position: Position,
    /// Depth of brackets in the head.
    depth: u32,
    in_text: bool,
    /// The next character of a text is escaped.
    escaped: bool,
    /// The array of entries has been found.
    found_instances: bool,
    /// The list without its entries.
    head: Vec<u8>,
    /// The entry that is being read.
    entry: Vec<u8>,
}

impl<'n> ListReader<'n> {
    /// Creates a reader; `names` gives the kinds and zones that entries may name.
    pub fn new(names: &'n NameIndex) -> ListReader<'n> {
        let (position, depth, in_text, escaped, found_instances) = (Position::Head, 0, false, false, false);
        ListReader {
            names,
            position,
            depth,
            in_text,
            escaped,
            found_instances,
            head: Vec::new(),
            entry: Vec::new(),
        }
    }

    /// Reads the next piece of the list, and passes each entry that ends in it to `on_entry`.
    ///
    /// # Errors
    /// One line that begins with `list:`, or an error of `on_entry`.
    pub fn feed<E: From<String>>(
        &mut self, bytes: &[u8], mut on_entry: impl FnMut(ListedEndpoint) -> Result<(), E>,
    ) -> Result<(), E> {
        for byte in bytes {
            let in_text = self.in_text;
            if in_text {
                (self.in_text, self.escaped) =
                    (self.escaped || *byte != b'"', !self.escaped && *byte == b'\\');
            } else if byte.is_ascii_whitespace()
                && !matches!(self.position, Position::Head | Position::Entry(_))
            {
                continue;
            } else {
                self.in_text = *byte == b'"';
            }
            match self.position {
                Position::Head => self.read_head(*byte, in_text)?,
                Position::Entry(depth) => {
                    push_bounded(&mut self.entry, *byte)?;
                    self.position = match byte {
                        _ if in_text => Position::Entry(depth),
                        b'{' | b'[' => Position::Entry(depth + 1),
                        b'}' | b']' if depth == 1 => {
                            on_entry(parse_entry(&self.entry, self.names)?)?;
                            self.entry.clear();
                            Position::AfterEntry
                        }
                        b'}' | b']' => Position::Entry(depth - 1),
                        _ => Position::Entry(depth),
                    };
                }
                Position::ArrayStart | Position::AfterEntry if *byte == b']' => {
                    self.head.push(b']');
                    self.position = Position::Head;
                }
                Position::AfterEntry if *byte == b',' => self.position = Position::AfterComma,
                Position::ArrayStart | Position::AfterComma if *byte == b'{' => {
                    self.entry.push(b'{');
                    self.position = Position::Entry(1);
                }
                _ => {
                    return Err(format!(
                        "list: unexpected character {:?} between entries",
                        char::from(*byte)
                    )
                    .into());
                }
            }
        }
        Ok(())
    }

    fn read_head(&mut self, byte: u8, in_text: bool) -> Result<(), String> {
        push_bounded(&mut self.head, byte)?;
        match byte {
            _ if in_text => {}
            b'[' if self.depth == 1 && opens_entries(&self.head) => {
                if std::mem::replace(&mut self.found_instances, true) {
                    return Err("list: \"instances\" is given twice".into());
                }
                self.position = Position::ArrayStart;
            }
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
        Ok(())
    }

    /// Ends the list. Returns its generation, and whether it is complete.
    ///
    /// # Errors
    /// One line that begins with `list:`.
    pub fn finish(self) -> Result<(u64, bool), String> {
        if self.position != Position::Head {
            return Err("list: truncated inside the array of entries".into());
        }
        let head: Head = serde_json::from_slice(&self.head).map_err(|e| format!("list: {e}"))?;
        if !self.found_instances || !head.instances.is_empty() {
            return Err("list: \"instances\" is missing".into());
        }
        Ok((head.generation, head.reset.unwrap_or(true)))
    }
}

/// Whether the bracket at the end of the head is the one after `"instances":`.
fn opens_entries(head: &[u8]) -> bool {
    let key = head.strip_suffix(b"[").and_then(|rest| rest.trim_ascii_end().strip_suffix(b":"));
    key.is_some_and(|key| key.trim_ascii_end().ends_with(b"\"instances\""))
}

fn push_bounded(part: &mut Vec<u8>, byte: u8) -> Result<(), String> {
    if part.len() >= MAX_PART_BYTES {
        return Err(format!("list: an entry, or the head, is over {MAX_PART_BYTES} bytes"));
    }
    part.push(byte);
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    const LIST: &str = r#" { "reset" : false, "note": {"instances": [1, "]"]}, "instances" : [
        {"instanceId": "a\"}]\\", "hostPort": "127.0.0.1:7", "zone": "z", "machineType": "m", "cell": 3,
         "lifecycle": "Ready", "weight": 1.5, "extra": [{"x": []}]} ,
        {"instanceId": "b", "hostPort": "[::1]:8", "lifecycle": "Gone", "zone": null} ], "generation": 41 }"#;

    fn read_pieces(pieces: impl Iterator<Item = Vec<u8>>) -> Result<EndpointList, String> {
        let pieces: Vec<_> = pieces.collect();
        collect(pieces.iter().map(Vec::as_slice), &NameIndex::default())
    }

    #[test]
    fn a_list_reads_the_same_however_it_is_split_into_pieces() {
        let unsplit = format!("{:?}", read_pieces([LIST.as_bytes().to_vec()].into_iter()).unwrap());
        for size in 1..40 {
            let pieces = LIST.as_bytes().chunks(size).map(<[u8]>::to_vec);
            assert_eq!(format!("{:?}", read_pieces(pieces).unwrap()), unsplit, "{size}");
        }
        let list = read_pieces([LIST.as_bytes().to_vec()].into_iter()).unwrap();
        assert_eq!((list.generation, list.complete, list.entries.len()), (41, false, 2));
        assert_eq!((list.entries[0].name.as_str(), list.entries[0].entry.weight), ("a\"}]\\", 1.5));
        assert_eq!((list.entries[1].entry.state, list.entries[1].zone.as_str()), (EntryState::Gone, ""));
        let empty = read_pieces([br#"{"generation":1,"instances":[]}"#.to_vec()].into_iter()).unwrap();
        assert!(empty.complete && empty.entries.is_empty());
    }

    /// Endpoints that a damaged list does not name would count as gone.
    #[test]
    fn a_truncated_or_malformed_list_is_refused() {
        for cut in 0..LIST.len() - 1 {
            assert!(read_pieces([LIST.as_bytes()[..cut].to_vec()].into_iter()).is_err(), "{cut}");
        }
        let one = r#"{"instanceId":"a","hostPort":"127.0.0.1:7","lifecycle":"Ready"}"#;
        for text in [
            format!("{{\"generation\":1,\"instances\":[{one}{one}]}}"),
            format!("{{\"generation\":1,\"instances\":[{one},]}}"),
            format!("{{\"generation\":1,\"instances\":[,{one}]}}"),
            format!("{{\"generation\":1,\"instances\":[{one}],\"instances\":[]}}"),
            format!("{{\"instances\":[{one}]}}"),
            "{\"generation\":1 2,\"instances\":[]}".into(),
            format!(
                "{{\"generation\":1,\"instances\":[{}]}}",
                one.replace("Ready\"", "Ready\",\"cell\":1 2")
            ),
            "{\"generation\":1}".into(),
            "{\"generation\":1,\"instances\":[1]}".into(),
            "{\"generation\":1,\"instances\":{}}".into(),
            "{\"generation\":1,\"instances\":[]}]".into(),
            format!("{{\"generation\":1,\"instances\":[{}]}}", one.replace("Ready", "Asleep")),
            format!("{{\"generation\":1,\"instances\":[{}]}}", one.replace("127.0.0.1:7", "club")),
            format!("{{\"generation\":1,\"instances\":[{}]}}", one.replace('a', &"a".repeat(20_000))),
        ] {
            assert!(
                read_pieces([text.clone().into_bytes()].into_iter()).is_err(),
                "{}",
                &text[..80.min(text.len())]
            );
        }
    }
}
