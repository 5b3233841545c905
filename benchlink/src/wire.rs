//! Translates the messages of the wire, which are JSON arrays, into events of the policy engine, and its
//! actions back.

use onyxrock::PolicyEngine;
use onyxrock::core::NameIndex;
use onyxrock::interface::*;
use onyxrock_config::settings;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// The fields of one message, with its name for error messages.
struct Fields<'a> {
    name: &'a str,
    values: &'a [Value],
}

impl<'a> Fields<'a> {
    fn error(&self, field: &str, expected: &str) -> String {
        format!("message \"{}\": {field} is not {expected}", self.name)
    }
    fn get(&self, index: usize) -> Option<&'a Value> {
        self.values.get(index).filter(|value| !value.is_null())
    }
    fn int(&self, index: usize, field: &str) -> Result<u64, String> {
        self.get(index).and_then(Value::as_u64).ok_or_else(|| self.error(field, "a whole number"))
    }
    fn text(&self, index: usize, field: &str) -> Result<&'a str, String> {
        self.get(index).and_then(Value::as_str).ok_or_else(|| self.error(field, "text"))
    }
    fn optional_text(&self, index: usize, field: &str) -> Result<Option<&'a str>, String> {
        self.get(index).map(|value| value.as_str().ok_or_else(|| self.error(field, "text"))).transpose()
    }
    /// Reads a span in microseconds; a negative one counts as zero.
    fn span(&self, index: usize, field: &str) -> Result<Micros, String> {
        let micros =
            self.get(index).and_then(Value::as_i64).ok_or_else(|| self.error(field, "a whole number"))?;
        Ok(Micros(u64::try_from(micros).unwrap_or(0)))
    }
}

struct Instance {
    policy: PolicyEngine,
    names: NameIndex,
    actions: Vec<Action>,
    /// The batch has events for this instance, so it must decide at the end of the batch.
    has_events: bool,
}

/// All policy engine instances of this process. They share only the numbered endpoint lists of the wire.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
    lists: BTreeMap<u64, Vec<Value>>,
}

impl Host {
    /// Handles one batch of messages and returns the reply.
    ///
    /// # Errors
    /// The batch is malformed; the text says where.
    pub fn reply(&mut self, line: &[u8]) -> Result<String, String> {
        let batch: Value = serde_json::from_slice(line).map_err(|error| format!("not JSON: {error}"))?;
        let now = batch.get("tUs").and_then(Value::as_u64).ok_or("batch has no clock \"tUs\"")?;
        let events = batch.get("msgs").and_then(Value::as_array).ok_or("batch has no array \"msgs\"")?;
        let mut output = Vec::new();
        for event in events {
            self.handle(Micros(now), event, &mut output)?;
        }
        for (id, instance) in self.instances.iter_mut().filter(|(_, instance)| instance.has_events) {
            instance.has_events = false;
            let Instance { policy, actions, .. } = instance;
            catch_panic(*id, &mut output, || policy.decide(Micros(now), actions));
            output.extend(actions.drain(..).map(|action| write_action(*id, action)));
        }
        Ok(json!({ "do": output }).to_string())
    }

    fn handle(&mut self, now: Micros, event: &Value, output: &mut Vec<Value>) -> Result<(), String> {
        let array = event.as_array().ok_or("a message is not an array")?;
        let name = array.first().and_then(Value::as_str).ok_or("a message has no name")?;
        let fields = Fields { name, values: &array[1..] };
        match name {
            "defineList" => {
                let list = fields.int(0, "sheet")?;
                let entries = fields
                    .get(1)
                    .and_then(Value::as_array)
                    .ok_or_else(|| fields.error("nodesList", "an array"))?;
                self.lists.insert(list, entries.clone());
                return Ok(());
            }
            "born" => return self.create_instance(&fields),
            "powerOff" => {
                self.instances.remove(&fields.int(0, "who")?);
                return Ok(());
            }
            "fleet" | "submit" | "underWay" | "answer" | "gone" | "tickDue" | "checked" | "noteFrom" => {}
            _ => return Err(format!("unknown message \"{name}\"")),
        }
        let id = fields.int(0, "who")?;
        let Some(instance) = self.instances.get_mut(&id) else {
            return Err(format!("message \"{name}\": no instance {id}"));
        };
        instance.has_events = true;
        if let Some(event) = read_event(&fields, &instance.names, &self.lists)? {
            let Instance { policy, actions, .. } = instance;
            catch_panic(id, output, || policy.on_event(now, event, actions));
        }
        Ok(())
    }

    fn create_instance(&mut self, fields: &Fields) -> Result<(), String> {
        let id = fields.int(0, "who")?;
        let seed = fields.int(1, "prng")?;
        let setup = fields.get(2).ok_or_else(|| fields.error("setup", "an object"))?;
        let (settings, names) = settings::read(setup)?;
        let policy = PolicyEngine::new(settings, seed);
        self.instances.insert(id, Instance { policy, names, actions: Vec::new(), has_events: true });
        Ok(())
    }
}

/// Runs a call into the library. A panic there is reported on the wire as the crash of the instance.
fn catch_panic(instance: u64, output: &mut Vec<Value>, call: impl FnOnce()) {
    if let Err(cause) = catch_unwind(AssertUnwindSafe(call)) {
        let text = cause.downcast_ref::<String>().map(String::as_str);
        let text = text.or_else(|| cause.downcast_ref::<&str>().copied()).unwrap_or("internal failure");
        output.push(json!(["crash", instance, text]));
    }
}

fn read_event(
    fields: &Fields, names: &NameIndex, lists: &BTreeMap<u64, Vec<Value>>,
) -> Result<Option<Event>, String> {
    Ok(Some(match fields.name {
        "fleet" => return read_list_event(fields, names, lists).map(Some),
        "submit" => Event::Submit(read_message(fields, names)?),
        "answer" => Event::Outcome(read_outcome(fields)?),
        "gone" => Event::Withdrawn(MessageId(fields.int(1, "xid")?)),
        "tickDue" => Event::TimerFired,
        "noteFrom" => Event::PeerHint(
            from_hex(fields.text(2, "data")?).ok_or_else(|| fields.error("data", "hex digits"))?,
        ),
        _ => return Ok(None),
    }))
}

fn read_list_event(
    fields: &Fields, names: &NameIndex, lists: &BTreeMap<u64, Vec<Value>>,
) -> Result<Event, String> {
    let kind = fields.text(1, "kind")?;
    if kind == "error" {
        return Ok(Event::ListFailed);
    }
    let list = fields.int(3, "sheet")?;
    let nodes = lists.get(&list).ok_or_else(|| format!("message \"fleet\": list {list} is not defined"))?;
    let entries = nodes.iter().map(|node| read_entry(node, names)).collect::<Result<Vec<_>, _>>()?;
    match kind {
        "disk" => Ok(Event::PersistedList(entries)),
        "snapshot" => Ok(Event::FullList(entries)),
        "diff" => Ok(Event::ListChanges(entries)),
        _ => Err(fields.error("kind", "disk, snapshot, diff or error")),
    }
}

fn read_entry(node: &Value, names: &NameIndex) -> Result<ListEntry, String> {
    let values = node.as_array().ok_or("a list entry is not an array")?;
    let fields = Fields { name: "defineList", values };
    let state = match fields.text(1, "status")? {
        "ready" => EntryState::Ready,
        "draining" => EntryState::Draining,
        "gone" => EntryState::Gone,
        _ => return Err(fields.error("status", "ready, draining or gone")),
    };
    // A name that the settings do not have gets an index that no known name has.
    let index_of = |map: &BTreeMap<String, usize>, index, field| -> Result<usize, String> {
        Ok(fields.optional_text(index, field)?.and_then(|name| map.get(name).copied()).unwrap_or(usize::MAX))
    };
    Ok(ListEntry {
        receiver: ReceiverId(fields.int(0, "receiver")?),
        state,
        zone: ZoneId(index_of(&names.zones, 3, "hall")?),
        destination: DestinationId(fields.get(4).map_or(Ok(0), |_| fields.int(4, "dest"))?),
        kind: KindId(index_of(&names.kinds, 5, "machine")?),
        weight: fields.get(6).and_then(Value::as_f64).unwrap_or(0.0),
    })
}

fn read_message(fields: &Fields, names: &NameIndex) -> Result<Message, String> {
    let class = fields.text(2, "tierClass")?;
    let class =
        names.classes.get(class).ok_or_else(|| format!("message \"submit\": unknown class \"{class}\""))?;
    let tenant = fields
        .optional_text(3, "billing")?
        .and_then(|name| names.tenants.get(name))
        .map(|index| TenantId(*index));
    Ok(Message {
        id: MessageId(fields.int(1, "xid")?),
        class: ClassId(*class),
        tenant,
        ordering_key: fields.optional_text(4, "entity")?.map(str::to_owned),
        time_left: fields.span(5, "graceUs")?,
        destination: DestinationId(fields.int(7, "terminatesAt")?),
    })
}

fn read_outcome(fields: &Fields) -> Result<Outcome, String> {
    let retry_after = fields.get(7).map(|_| fields.int(7, "detail")).transpose()?.filter(|ms| *ms > 0);
    let retry_after = retry_after.map(|ms| Micros(ms.saturating_mul(1000)));
    let column = |name: &str| fields.get(8).and_then(|columns| columns.get(name)).and_then(Value::as_f64);
    let (limit_per_s, remaining_share) = load_report(column("x1"), column("x0"));
    Ok(Outcome {
        id: MessageId(fields.int(1, "xid")?),
        attempt: u32::try_from(fields.int(2, "roundNo")?).unwrap_or(u32::MAX),
        receiver: ReceiverId(fields.int(3, "receiver")?),
        verdict: read_verdict(fields, fields.int(4, "verdict")?, retry_after)?,
        elapsed: fields.span(5, "costTimeUs")?,
        finished: fields.get(6).and_then(Value::as_bool).unwrap_or(false),
        limit_per_s,
        remaining_share,
    })
}

fn read_verdict(fields: &Fields, code: u64, retry_after: Option<Micros>) -> Result<Verdict, String> {
    Ok(match code {
        10 => Verdict::Delivered,
        20 => Verdict::Error,
        30 => Verdict::Full(retry_after),
        40 => Verdict::TimedOut,
        50 => Verdict::ConnectFailed,
        60 => Verdict::Reset,
        70 => Verdict::Cancelled,
        80 => Verdict::Moot,
        _ => return Err(fields.error("verdict", "a known outcome code")),
    })
}

fn write_action(instance: u64, action: Action) -> Value {
    match action {
        Action::Send { id, receiver, timeout } => {
            json!(["relay", instance, id.0, receiver.0, timeout.0])
        }
        Action::Refuse { id, retry_after } => {
            json!(["turnAway", instance, id.0, retry_after.map_or(0, |span| span.0)])
        }
        Action::Fail(id) => json!(["endFailed", instance, id.0]),
        Action::CancelAttempt { id, attempt } => json!(["cancel", instance, id.0, attempt]),
        Action::CloseIdleConnections(id) => json!(["closeIdle", instance, id.0]),
        Action::SendPeerHint(data) => json!(["tell", instance, "all", to_hex(&data)]),
        Action::RequestList => json!(["follow", instance, true]),
        Action::SetTimer(span) => json!(["after", instance, span.0, "wake"]),
        Action::LogUnhealthy { receiver, destination, verdict } => {
            let text = format!("receiver {} of {} sick: {verdict:?}", receiver.0, destination.0);
            json!(["writeLog", instance, text])
        }
    }
}

fn to_hex(data: &[u8]) -> String {
    data.iter().map(|b| format!("{b:02x}")).collect()
}

fn from_hex(text: &str) -> Option<Vec<u8>> {
    let digits: Option<Vec<u8>> = text.chars().map(|c| c.to_digit(16).map(|d| d as u8)).collect();
    let digits = digits.filter(|d| d.len() % 2 == 0)?;
    Some(digits.chunks(2).map(|pair| pair[0] << 4 | pair[1]).collect())
}
