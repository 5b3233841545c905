//! Discovery's list, as JSON, read in pieces as it comes.

use onyxrock::core::NameIndex;
use onyxrock::interface::*;
use serde::Deserialize;
use serde_json::Value;
use std::borrow::Cow;
use std::net::SocketAddr;

/// One endpoint as the list states it.
#[derive(Clone, Debug)]
pub struct ListedEndpoint {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    /// All but the receiver's number, which is the reader's to give.
    pub entry: ListEntry,
}

/// A whole list or the entries that changed.
#[derive(Clone, Debug, Default)]
pub struct EndpointList {
    pub generation: u64,
    pub complete: bool,
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
}

#[derive(Deserialize)]
struct Head {
    generation: u64,
    #[serde(default)]
    reset: Option<bool>,
    /// Empty: the entries have been taken out.
    instances: Vec<()>,
}

/// Reads a list. An entry that cannot be read fails it as a whole: a list with holes would look like endpoints
/// that are gone.
pub fn read(v: &Value, names: &NameIndex) -> Result<EndpointList, String> {
    parse(v.to_string().as_bytes(), names)
}

/// The same, of its text.
pub fn parse(text: &[u8], names: &NameIndex) -> Result<EndpointList, String> {
    collect(std::iter::once(text), names)
}

fn collect<'t>(pieces: impl Iterator<Item = &'t [u8]>, names: &NameIndex) -> Result<EndpointList, String> {
    let mut reader = ListReader::new(names);
    let mut entries = Vec::new();
    for piece in pieces {
        reader.feed(piece, |e| {
            entries.push(e);
            Ok::<_, String>(())
        })?;
    }
    let (generation, whole) = reader.finish()?;
    Ok(EndpointList { generation, complete: whole, entries })
}

fn listed(bytes: &[u8], names: &NameIndex) -> Result<ListedEndpoint, String> {
    let i: Instance = serde_json::from_slice(bytes).map_err(|e| format!("list: an entry: {e}"))?;
    let place = |map: &std::collections::BTreeMap<String, usize>, name: &str| {
        map.get(name).copied().unwrap_or(usize::MAX)
    };
    let zone = i.zone.as_deref().unwrap_or_default();
    let listing = match &*i.lifecycle {
        "Ready" => EntryState::Ready,
        "Terminating" => EntryState::Draining,
        "Gone" => EntryState::Gone,
        other => return Err(format!("list: unknown lifecycle {other:?}")),
    };
    Ok(ListedEndpoint {
        address: i.address.parse().map_err(|e| format!("list: hostPort {:?}: {e}", i.address))?,
        zone: zone.to_owned(),
        entry: ListEntry {
            receiver: ReceiverId(0),
            state: listing,
            destination: DestinationId(i.cell.unwrap_or(0)),
            kind: KindId(place(&names.kinds, i.kind.as_deref().unwrap_or_default())),
            zone: ZoneId(place(&names.zones, zone)),
            weight: i.weight.unwrap_or(0.0),
        },
        name: i.name.into_owned(),
    })
}

/// The longest entry, and the longest head without its entries; nobody's is near it.
const PIECE_MOST: usize = 16 * 1024;

/// Where the reader stands in the list's array.
#[derive(Clone, Copy, PartialEq, Debug)]
enum At {
    /// Not in it: before, or behind.
    Head,
    /// Before the first entry, or its end.
    First,
    /// Behind an entry: a comma, or its end.
    Behind,
    /// Behind a comma: an entry.
    Next,
    /// In an entry, so deep.
    Entry(u32),
}

/// Reads a list of any length in the pieces in which it comes, and holds one entry at a time. It finds where entries
/// begin and end; what they and the head say is read by `serde_json`.
pub struct ListReader<'n> {
    names: &'n NameIndex,
    at: At,
    depth: u32,
    text: bool,
    escaped: bool,
    seen: bool,
    head: Vec<u8>,
    entry: Vec<u8>,
}

impl<'n> ListReader<'n> {
    pub fn new(names: &'n NameIndex) -> ListReader<'n> {
        let (at, depth, text, escaped, seen) = (At::Head, 0, false, false, false);
        ListReader { names, at, depth, text, escaped, seen, head: Vec::new(), entry: Vec::new() }
    }

    /// Takes the next piece, and gives each entry that ends in it.
    pub fn feed<E: From<String>>(
        &mut self, bytes: &[u8], mut each: impl FnMut(ListedEndpoint) -> Result<(), E>,
    ) -> Result<(), E> {
        for b in bytes {
            let in_text = self.text;
            if in_text {
                (self.text, self.escaped) = (self.escaped || *b != b'"', !self.escaped && *b == b'\\');
            } else if b.is_ascii_whitespace() && !matches!(self.at, At::Head | At::Entry(_)) {
                continue;
            } else {
                self.text = *b == b'"';
            }
            match self.at {
                At::Head => self.in_head(*b, in_text)?,
                At::Entry(deep) => {
                    push(&mut self.entry, *b)?;
                    self.at = match b {
                        _ if in_text => At::Entry(deep),
                        b'{' | b'[' => At::Entry(deep + 1),
                        b'}' | b']' if deep == 1 => {
                            each(listed(&self.entry, self.names)?)?;
                            self.entry.clear();
                            At::Behind
                        }
                        b'}' | b']' => At::Entry(deep - 1),
                        _ => At::Entry(deep),
                    };
                }
                At::First | At::Behind if *b == b']' => {
                    self.head.push(b']');
                    self.at = At::Head;
                }
                At::Behind if *b == b',' => self.at = At::Next,
                At::First | At::Next if *b == b'{' => {
                    self.entry.push(b'{');
                    self.at = At::Entry(1);
                }
                _ => return Err(format!("list: {:?} between its entries", char::from(*b)).into()),
            }
        }
        Ok(())
    }

    fn in_head(&mut self, b: u8, in_text: bool) -> Result<(), String> {
        push(&mut self.head, b)?;
        match b {
            _ if in_text => {}
            b'[' if self.depth == 1 && opens_instances(&self.head) => {
                if std::mem::replace(&mut self.seen, true) {
                    return Err("list: instances twice".into());
                }
                self.at = At::First;
            }
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
        Ok(())
    }

    /// The list has ended: its version, and whether it was a whole one.
    pub fn finish(self) -> Result<(u64, bool), String> {
        if self.at != At::Head {
            return Err("list: it ends among its entries".into());
        }
        let head: Head = serde_json::from_slice(&self.head).map_err(|e| format!("list: {e}"))?;
        if !self.seen || !head.instances.is_empty() {
            return Err("list: no instances".into());
        }
        Ok((head.generation, head.reset.unwrap_or(true)))
    }
}

/// The bracket at the end of the head is the one behind `"instances":`.
fn opens_instances(head: &[u8]) -> bool {
    let key = head.strip_suffix(b"[").and_then(|h| h.trim_ascii_end().strip_suffix(b":"));
    key.is_some_and(|k| k.trim_ascii_end().ends_with(b"\"instances\""))
}

fn push(piece: &mut Vec<u8>, b: u8) -> Result<(), String> {
    if piece.len() >= PIECE_MOST {
        return Err(format!("list: one part of it is over {PIECE_MOST} bytes"));
    }
    piece.push(b);
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    const LIST: &str = r#" { "reset" : false, "note": {"instances": [1, "]"]}, "instances" : [
        {"instanceId": "a\"}]\\", "hostPort": "127.0.0.1:7", "zone": "z", "machineType": "m", "cell": 3,
         "lifecycle": "Ready", "weight": 1.5, "extra": [{"x": []}]} ,
        {"instanceId": "b", "hostPort": "[::1]:8", "lifecycle": "Gone", "zone": null} ], "generation": 41 }"#;

    fn read_in(pieces: impl Iterator<Item = Vec<u8>>) -> Result<EndpointList, String> {
        let pieces: Vec<_> = pieces.collect();
        collect(pieces.iter().map(Vec::as_slice), &NameIndex::default())
    }

    #[test]
    fn a_list_reads_the_same_in_whatever_pieces_it_comes() {
        let whole = format!("{:?}", read_in([LIST.as_bytes().to_vec()].into_iter()).unwrap());
        for size in 1..40 {
            let pieces = LIST.as_bytes().chunks(size).map(<[u8]>::to_vec);
            assert_eq!(format!("{:?}", read_in(pieces).unwrap()), whole, "{size}");
        }
        let l = read_in([LIST.as_bytes().to_vec()].into_iter()).unwrap();
        assert_eq!((l.generation, l.complete, l.entries.len()), (41, false, 2));
        assert_eq!((l.entries[0].name.as_str(), l.entries[0].entry.weight), ("a\"}]\\", 1.5));
        assert_eq!((l.entries[1].entry.state, l.entries[1].zone.as_str()), (EntryState::Gone, ""));
        let empty = read_in([br#"{"generation":1,"instances":[]}"#.to_vec()].into_iter()).unwrap();
        assert!(empty.complete && empty.entries.is_empty());
    }

    /// A list with a hole would look like endpoints that are gone.
    #[test]
    fn what_is_no_whole_list_is_refused() {
        for cut in 0..LIST.len() - 1 {
            assert!(read_in([LIST.as_bytes()[..cut].to_vec()].into_iter()).is_err(), "{cut}");
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
                read_in([text.clone().into_bytes()].into_iter()).is_err(),
                "{}",
                &text[..80.min(text.len())]
            );
        }
    }
}
