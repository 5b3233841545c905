//! From the wire's settings object to the library's settings. Absent values mean "does not apply"; wrong ones are refused.

use onyxrock::core::NameIndex;
use onyxrock::interface::*;
use serde_json::Value;
use std::collections::BTreeMap;

/// Keys that the protocol names and nothing here reads, each with the reason.
pub const UNUSED_KEYS: [(&str, &str); 19] = [
    ("classes.aimStretch", "no hint of a message's own work comes with it"),
    ("classes.streamed", "no answer is streamed"),
    ("clientHabits", "a message that came again is treated like any other"),
    ("extra.notes", "words for people"),
    ("extra.refusedPrice", "refusals are kept rare whether they cost or not"),
    ("extra.reportX0", "words for people"),
    ("extra.reportX1", "words for people"),
    ("family", "there is one"),
    ("goal", "the order in which messages go follows their worth alone"),
    ("limits.cpuUsPerRequest", "the bound on the processor is far off"),
    ("limits.cpuUsPerS", "the bound on the processor is far off"),
    ("limits.multiplex", "a connection carries one call at a time"),
    ("limits.probes", "probes are sent only where [duties] asks for them"),
    ("myZone", "nothing is nearer"),
    ("prices", "what costs is kept rare whatever its price"),
    ("rules.answerSlackUs", "ends come before the deadline"),
    ("rules.stopSendingWithinUs", "nothing goes to what drains, but a call that waits for its connection"),
    ("tickUs", "time comes with each event"),
    ("worthBy", "worth is counted by message"),
];

/// Where the settings give a class no end, its messages have that of their own.
const NO_END: Micros = Micros(86_400_000_000);
const CONNECT_TIMEOUT: Micros = Micros(1_000_000);

/// One value, and how to complain about it. What is absent or null does not apply; what is there must be what it
/// should be, since a limit that is misread is a rule that is broken.
fn at<T>(
    v: &Value, path: &str, wanted: &str, read: impl Fn(&Value) -> Option<T>,
) -> Result<Option<T>, String> {
    let Some(found) = v.pointer(path).filter(|f| !f.is_null()) else { return Ok(None) };
    let key = path[1..].replace('/', ".");
    read(found).map(Some).ok_or_else(|| format!("settings: {key} is not {wanted}"))
}

fn number(v: &Value, path: &str) -> Result<f64, String> {
    Ok(at(v, path, "a number, zero or more", |n| n.as_f64().filter(|n| *n >= 0.0))?.unwrap_or(0.0))
}

fn micros(v: &Value, path: &str) -> Result<Micros, String> {
    Ok(Micros(number(v, path)? as u64))
}

/// A time that is absent or 0 does not apply.
fn applies(time: Micros) -> Option<Micros> {
    Some(time).filter(|t| *t > Micros(0))
}

/// How long a connection may take to come up.
pub fn connect_timeout(v: &Value) -> Result<Micros, String> {
    Ok(applies(micros(v, "/limits/connectTimeoutUs")?).unwrap_or(CONNECT_TIMEOUT))
}

fn count(v: &Value, path: &str) -> Result<Option<u32>, String> {
    at(v, path, "a number, zero or more", |n| n.as_f64().filter(|n| *n >= 0.0).map(|n| n as u32))
}

fn flag(v: &Value, path: &str) -> Result<bool, String> {
    Ok(at(v, path, "true or false", Value::as_bool)?.unwrap_or(false))
}

fn text<'a>(v: &'a Value, path: &str) -> Result<Option<&'a str>, String> {
    let found = v.pointer(path).filter(|f| !f.is_null());
    let key = path[1..].replace('/', ".");
    found.map(|t| t.as_str().ok_or_else(|| format!("settings: {key} is not text"))).transpose()
}

fn list<'a>(v: &'a Value, path: &str) -> &'a [Value] {
    v.pointer(path).and_then(Value::as_array).map_or(&[], Vec::as_slice)
}

/// What is named, by its name: two of one name could not be told apart.
fn names(v: &Value, path: &str, pointer: &str) -> Result<BTreeMap<String, usize>, String> {
    let mut all = BTreeMap::new();
    for (i, item) in list(v, path).iter().enumerate() {
        if let Some(name) = item.pointer(pointer).and_then(Value::as_str)
            && all.insert(name.to_owned(), i).is_some()
        {
            return Err(format!("settings: {} names {name:?} twice", &path[1..]));
        }
    }
    Ok(all)
}

fn class(v: &Value) -> Result<ClassSettings, String> {
    let effect = match text(v, "/effect")? {
        Some("repeatable") => Effect::Safe,
        Some("by_key") => {
            let group = match text(v, "/group")? {
                Some("all") => DedupScope::Destination,
                // The narrower of both: what is not named binds no less.
                None | Some("zone" | "cell") => DedupScope::Zone,
                Some(other) => return Err(format!("settings: group is not all or zone: \"{other}\"")),
            };
            let window = micros(v, "/windowUs")?;
            if window == Micros(0) {
                return Err("settings: windowUs is missing or 0, where effect is by_key".into());
            }
            Effect::Keyed { scope: group, window }
        }
        None | Some("once") => Effect::Unsafe,
        Some(other) => return Err(format!("settings: effect is not known: \"{other}\"")),
    };
    Ok(ClassSettings {
        target_latency: micros(v, "/targetUs")?,
        give_up_after: applies(micros(v, "/giveUpUs")?).unwrap_or(NO_END),
        effect,
        in_order: flag(v, "/oneAtATime")?,
        value: number(v, "/worth")?,
        late_value_share: number(v, "/lateShare")?,
    })
}

/// Answers hold reports, and both the share that is left and the limit are among their fields: half of it is nothing.
fn reports(v: &Value) -> Result<bool, String> {
    let columns = list(v, "/feedback/columns");
    let has = |name: &str| columns.iter().any(|c| c.as_str() == Some(name));
    Ok(text(v, "/feedback/how")? == Some("inline") && has("x0") && has("x1"))
}

/// Reads the settings object of a new instance. An error is one line that names the key.
pub fn read(v: &Value) -> Result<(Settings, NameIndex), String> {
    if !v.is_object() {
        return Err("settings are not an object".into());
    }
    let kinds = list(v, "/hostTypes");
    let nth = |path: &str, i: usize| list(v, path).get(i).cloned().unwrap_or(Value::Null);
    let classes = list(v, "/classes").iter().map(|c| {
        let name = c.get("name").and_then(Value::as_str).unwrap_or("without a name");
        class(c).map_err(|e| format!("{e} (class {name})"))
    });
    let tenants = list(v, "/tenants")
        .iter()
        .map(|t| Ok::<_, String>(TenantSettings { allowance_per_s: number(t, "/allowancePerS")? }));
    let settings = Settings {
        classes: classes.collect::<Result<_, _>>()?,
        tenants: tenants.collect::<Result<_, _>>()?,
        kinds: (0..kinds.len())
            .map(|i| KindSettings {
                separate_routes: nth("/extra/kindApart", i).as_bool().unwrap_or(false),
                messages_per_call: nth("/extra/perCall", i).as_f64().map_or(1, |n| n as u32).max(1),
            })
            .collect(),
        zone_fees: list(v, "/extra/feeByZone").iter().map(|f| f.as_f64().unwrap_or(0.0)).collect(),
        value_decay: match text(v, "/extra/fades")? {
            Some("halves") => ValueDecay::Halving,
            _ => ValueDecay::Linear,
        },
        over_share_value: at(v, "/overShareWorth", "a number", Value::as_f64)?.unwrap_or(1.0),
        slots: count(v, "/extra/slots")?.unwrap_or(u32::MAX),
        max_held: count(v, "/limits/maxOpen")?.unwrap_or(u32::MAX),
        max_attempts: count(v, "/limits/maxAttempts")?.unwrap_or(u32::MAX),
        second_copies: flag(v, "/limits/secondCopies")?,
        allow_cancel: flag(v, "/limits/cancel")?,
        load_reports: reports(v)?,
        sender_count: count(v, "/replicasOfMe")?.unwrap_or(1).max(1),
        sender_index: count(v, "/slotNo")?.unwrap_or(0),
        send_retry_after: flag(v, "/limits/retryAfter")?,
        max_retry_after: micros(v, "/limits/maxRetryAfterUs")?,
        subscribe_to_list: text(v, "/discovery")? == Some("subscribe"),
        weights: match text(v, "/weightSource")? {
            Some("nominal") => Weights::Nominal,
            Some("rough") => Weights::Rough,
            _ => Weights::Off,
        },
        key_cooldown: micros(v, "/rules/settleAfterDoubtUs")?,
        collapse_multiple: number(v, "/rules/fallMultiple")?,
        collapse_window: micros(v, "/rules/fallUs")?,
        cold_start_share: number(v, "/rules/coldFrom")?,
        warm_up_time: micros(v, "/rules/warmWithinUs")?,
        connection_idle_timeout: micros(v, "/limits/connIdleUs")?,
        peer_hints: flag(v, "/limits/peerMessages")?,
        probe_class: None,
        message_probe_delay: Micros(0),
        list_poll_interval: micros(v, "/rules/askEveryUs")?,
    };
    if settings.sender_index >= settings.sender_count {
        let (number, senders) = (settings.sender_index, settings.sender_count);
        return Err(format!("settings: slotNo is {number}, but replicasOfMe is {senders}"));
    }
    let names = NameIndex {
        classes: names(v, "/classes", "/name")?,
        tenants: names(v, "/tenants", "/name")?,
        kinds: names(v, "/hostTypes", "")?,
        zones: names(v, "/azs", "")?,
    };
    Ok((settings, names))
}

/// What the settings allow and forbid, in plain words: a line each.
pub fn describe(set: &Settings, names: &NameIndex) -> Vec<String> {
    let may = |allowed: bool, yes: &str, no: &str| if allowed { yes.to_owned() } else { no.to_owned() };
    let mut lines: Vec<_> = names
        .classes
        .iter()
        .filter_map(|(name, i)| Some((name, set.classes.get(*i)?)))
        .map(|(name, c)| {
            let (aim, end) = (c.target_latency.secs(), c.give_up_after.secs());
            let repeat = match c.effect {
                Effect::Safe => "safe to repeat".to_owned(),
                Effect::Keyed { scope: group, window } => {
                    let by = if group == DedupScope::Destination {
                        "any endpoint"
                    } else {
                        "endpoints of one zone only"
                    };
                    format!("a repeat is dropped for {} s by {by}", window.secs())
                }
                Effect::Unsafe => "never repeated once it may have run".to_owned(),
            };
            format!("class {name}: wanted within {aim} s, given up after {end} s; {repeat}")
        })
        .collect();
    let copies = "a second copy may go while the first is out, where the class may be repeated";
    let bound = |n: u32| if n == u32::MAX { "any number of".to_owned() } else { n.to_string() };
    lines.push(format!(
        "attempts: {} for a message; {}",
        bound(set.max_attempts),
        may(set.second_copies, copies, "never two at once")
    ));
    lines.push(may(set.load_reports, "limits: told in answers", "limits: answers tell nothing of them"));
    lines.push(match set.weights {
        Weights::Off => "the list: tells no limits".to_owned(),
        Weights::Nominal => "the list: tells the limit of each destination".to_owned(),
        Weights::Rough => "the list: tells a rough limit of each destination".to_owned(),
    });
    lines.push("waits: one that a refusal tells is heeded by all messages".to_owned());
    lines.push(format!(
        "room: {} calls out, {} messages held; {} senders",
        bound(set.slots),
        bound(set.max_held),
        set.sender_count
    ));
    lines.push(may(set.peer_hints, "other senders: may be told", "other senders: are told nothing"));
    lines
}
