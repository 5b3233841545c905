//! The wire's events and actions, as arrays in JSON, to the library's and back.

use onyxrock::PolicyEngine;
use onyxrock::core::NameIndex;
use onyxrock::interface::*;
use onyxrock_config::settings;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// One value of a message, with the words to complain about it.
struct Fields<'a> {
    name: &'a str,
    values: &'a [Value],
}

impl<'a> Fields<'a> {
    fn wrong(&self, field: &str, wanted: &str) -> String {
        format!("message \"{}\": {field} is not {wanted}", self.name)
    }
    fn get(&self, at: usize) -> Option<&'a Value> {
        self.values.get(at).filter(|v| !v.is_null())
    }
    fn int(&self, at: usize, field: &str) -> Result<u64, String> {
        self.get(at).and_then(Value::as_u64).ok_or_else(|| self.wrong(field, "a whole number"))
    }
    fn text(&self, at: usize, field: &str) -> Result<&'a str, String> {
        self.get(at).and_then(Value::as_str).ok_or_else(|| self.wrong(field, "text"))
    }
    fn optional_text(&self, at: usize, field: &str) -> Result<Option<&'a str>, String> {
        self.get(at).map(|v| v.as_str().ok_or_else(|| self.wrong(field, "text"))).transpose()
    }
    fn span(&self, at: usize, field: &str) -> Result<Micros, String> {
        let n = self.get(at).and_then(Value::as_i64).ok_or_else(|| self.wrong(field, "a whole number"))?;
        Ok(Micros(u64::try_from(n).unwrap_or(0)))
    }
}

struct Instance {
    policy: PolicyEngine,
    names: NameIndex,
    actions: Vec<Action>,
    touched: bool,
}

/// All instances of this process. They share nothing but the numbered lists, which are the wire's.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
    sheets: BTreeMap<u64, Vec<Value>>,
}

impl Host {
    /// Answers one batch.
    pub fn reply(&mut self, line: &[u8]) -> Result<String, String> {
        let batch: Value = serde_json::from_slice(line).map_err(|e| format!("not JSON: {e}"))?;
        let now = batch.get("tUs").and_then(Value::as_u64).ok_or("batch has no clock \"tUs\"")?;
        let events = batch.get("msgs").and_then(Value::as_array).ok_or("batch has no array \"msgs\"")?;
        let mut out = Vec::new();
        for event in events {
            self.take(Micros(now), event, &mut out)?;
        }
        for (who, instance) in self.instances.iter_mut().filter(|(_, i)| i.touched) {
            instance.touched = false;
            let Instance { policy, actions, .. } = instance;
            guarded(*who, &mut out, || policy.decide(Micros(now), actions));
            out.extend(actions.drain(..).map(|a| action(*who, a)));
        }
        Ok(json!({ "do": out }).to_string())
    }

    fn take(&mut self, now: Micros, event: &Value, out: &mut Vec<Value>) -> Result<(), String> {
        let array = event.as_array().ok_or("a message is not an array")?;
        let name = array.first().and_then(Value::as_str).ok_or("a message has no name")?;
        let fields = Fields { name, values: &array[1..] };
        match name {
            "defineList" => {
                let sheet = fields.int(0, "sheet")?;
                let nodes = fields
                    .get(1)
                    .and_then(Value::as_array)
                    .ok_or_else(|| fields.wrong("nodesList", "an array"))?;
                self.sheets.insert(sheet, nodes.clone());
                return Ok(());
            }
            "born" => return self.born(&fields),
            "powerOff" => {
                self.instances.remove(&fields.int(0, "who")?);
                return Ok(());
            }
            "fleet" | "submit" | "underWay" | "answer" | "gone" | "tickDue" | "checked" | "noteFrom" => {}
            _ => return Err(format!("unknown message \"{name}\"")),
        }
        let who = fields.int(0, "who")?;
        let Some(instance) = self.instances.get_mut(&who) else {
            return Err(format!("message \"{name}\": no instance {who}"));
        };
        instance.touched = true;
        if let Some(event) = read_event(&fields, &instance.names, &self.sheets)? {
            let Instance { policy, actions, .. } = instance;
            guarded(who, out, || policy.on_event(now, event, actions));
        }
        Ok(())
    }

    fn born(&mut self, fields: &Fields) -> Result<(), String> {
        let who = fields.int(0, "who")?;
        let seed = fields.int(1, "prng")?;
        let setup = fields.get(2).ok_or_else(|| fields.wrong("setup", "an object"))?;
        let (settings, names) = settings::read(setup)?;
        let policy = PolicyEngine::new(settings, seed);
        self.instances.insert(who, Instance { policy, names, actions: Vec::new(), touched: true });
        Ok(())
    }
}

/// Runs a call into the library; a panic there becomes the wire's report of a failed instance.
fn guarded(who: u64, out: &mut Vec<Value>, call: impl FnOnce()) {
    if let Err(cause) = catch_unwind(AssertUnwindSafe(call)) {
        let text = cause.downcast_ref::<String>().map(String::as_str);
        let text = text.or_else(|| cause.downcast_ref::<&str>().copied()).unwrap_or("internal failure");
        out.push(json!(["crash", who, text]));
    }
}

fn read_event(
    f: &Fields, names: &NameIndex, sheets: &BTreeMap<u64, Vec<Value>>,
) -> Result<Option<Event>, String> {
    Ok(Some(match f.name {
        "fleet" => return fleet(f, names, sheets).map(Some),
        "submit" => Event::Submit(submit(f, names)?),
        "answer" => Event::Outcome(answer(f)?),
        "gone" => Event::Withdrawn(MessageId(f.int(1, "xid")?)),
        "tickDue" => Event::TimerFired,
        "noteFrom" => {
            Event::PeerHint(from_hex(f.text(2, "data")?).ok_or_else(|| f.wrong("data", "hex digits"))?)
        }
        _ => return Ok(None),
    }))
}

fn fleet(f: &Fields, names: &NameIndex, sheets: &BTreeMap<u64, Vec<Value>>) -> Result<Event, String> {
    let kind = f.text(1, "kind")?;
    if kind == "error" {
        return Ok(Event::ListFailed);
    }
    let sheet = f.int(3, "sheet")?;
    let nodes =
        sheets.get(&sheet).ok_or_else(|| format!("message \"fleet\": list {sheet} is not defined"))?;
    let entries = nodes.iter().map(|n| entry(n, names)).collect::<Result<Vec<_>, _>>()?;
    match kind {
        "disk" => Ok(Event::PersistedList(entries)),
        "snapshot" => Ok(Event::FullList(entries)),
        "diff" => Ok(Event::ListChanges(entries)),
        _ => Err(f.wrong("kind", "disk, snapshot, diff or error")),
    }
}

fn entry(node: &Value, names: &NameIndex) -> Result<ListEntry, String> {
    let values = node.as_array().ok_or("a list entry is not an array")?;
    let f = Fields { name: "defineList", values };
    let listing = match f.text(1, "status")? {
        "ready" => EntryState::Ready,
        "draining" => EntryState::Draining,
        "gone" => EntryState::Gone,
        _ => return Err(f.wrong("status", "ready, draining or gone")),
    };
    let place = |map: &BTreeMap<String, usize>, at, field| -> Result<usize, String> {
        Ok(f.optional_text(at, field)?.and_then(|n| map.get(n).copied()).unwrap_or(usize::MAX))
    };
    Ok(ListEntry {
        receiver: ReceiverId(f.int(0, "receiver")?),
        state: listing,
        zone: ZoneId(place(&names.zones, 3, "hall")?),
        destination: DestinationId(f.get(4).map_or(Ok(0), |_| f.int(4, "dest"))?),
        kind: KindId(place(&names.kinds, 5, "machine")?),
        weight: f.get(6).and_then(Value::as_f64).unwrap_or(0.0),
    })
}

fn submit(f: &Fields, names: &NameIndex) -> Result<Message, String> {
    let class = f.text(2, "tierClass")?;
    let class =
        names.classes.get(class).ok_or_else(|| format!("message \"submit\": unknown class \"{class}\""))?;
    let tenant = f.optional_text(3, "billing")?.and_then(|t| names.tenants.get(t)).map(|t| TenantId(*t));
    Ok(Message {
        id: MessageId(f.int(1, "xid")?),
        class: ClassId(*class),
        tenant,
        ordering_key: f.optional_text(4, "entity")?.map(str::to_owned),
        time_left: f.span(5, "graceUs")?,
        destination: DestinationId(f.int(7, "terminatesAt")?),
    })
}

fn answer(f: &Fields) -> Result<Outcome, String> {
    let wait = f.get(7).map(|_| f.int(7, "detail")).transpose()?.filter(|ms| *ms > 0);
    let wait = wait.map(|ms| Micros(ms.saturating_mul(1000)));
    let column = |name: &str| f.get(8).and_then(|l| l.get(name)).and_then(Value::as_f64);
    let (limit, left) = load_report(column("x1"), column("x0"));
    Ok(Outcome {
        id: MessageId(f.int(1, "xid")?),
        attempt: u32::try_from(f.int(2, "roundNo")?).unwrap_or(u32::MAX),
        receiver: ReceiverId(f.int(3, "receiver")?),
        verdict: verdict(f, f.int(4, "verdict")?, wait)?,
        elapsed: f.span(5, "costTimeUs")?,
        finished: f.get(6).and_then(Value::as_bool).unwrap_or(false),
        limit_per_s: limit,
        remaining_share: left,
    })
}

fn verdict(f: &Fields, code: u64, wait: Option<Micros>) -> Result<Verdict, String> {
    Ok(match code {
        10 => Verdict::Delivered,
        20 => Verdict::Error,
        30 => Verdict::Full(wait),
        40 => Verdict::TimedOut,
        50 => Verdict::ConnectFailed,
        60 => Verdict::Reset,
        70 => Verdict::Cancelled,
        80 => Verdict::Moot,
        _ => return Err(f.wrong("verdict", "a known outcome code")),
    })
}

fn action(who: u64, a: Action) -> Value {
    match a {
        Action::Send { id, receiver, timeout: patience } => {
            json!(["relay", who, id.0, receiver.0, patience.0])
        }
        Action::Refuse { id, retry_after } => json!(["turnAway", who, id.0, retry_after.map_or(0, |w| w.0)]),
        Action::Fail(id) => json!(["endFailed", who, id.0]),
        Action::CancelAttempt { id, attempt } => json!(["cancel", who, id.0, attempt]),
        Action::CloseIdleConnections(id) => json!(["closeIdle", who, id.0]),
        Action::SendPeerHint(data) => json!(["tell", who, "all", to_hex(&data)]),
        Action::RequestList => json!(["follow", who, true]),
        Action::SetTimer(span) => json!(["after", who, span.0, "wake"]),
        Action::LogUnhealthy { receiver, destination, verdict } => {
            let text = format!("receiver {} of {} sick: {verdict:?}", receiver.0, destination.0);
            json!(["writeLog", who, text])
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
