//! Translates the platform's settings object into the settings of the core. An absent value means "does not
//! apply"; an invalid value is refused.

use onyxrock::core::NameIndex;
use onyxrock::interface::*;
use serde_json::Value;
use std::collections::BTreeMap;

/// Keys that the protocol defines and this reader ignores, each with the reason.
pub const UNUSED_KEYS: [(&str, &str); 19] = [
    ("classes.aimStretch", "messages carry no estimate of the work that they cause"),
    ("classes.streamed", "responses are not streamed"),
    ("clientHabits", "a message that a client submits again is treated like any other"),
    ("extra.notes", "text for human readers"),
    ("extra.refusedPrice", "refusals are kept rare whatever their price"),
    ("extra.reportX0", "text for human readers"),
    ("extra.reportX1", "text for human readers"),
    ("family", "there is only one"),
    ("goal", "messages are ordered by their value alone"),
    ("limits.cpuUsPerRequest", "processor use is far below this bound"),
    ("limits.cpuUsPerS", "processor use is far below this bound"),
    ("limits.multiplex", "each connection carries one call at a time"),
    ("limits.probes", "probes are sent only where [duties] configures them"),
    ("myZone", "no zone is preferred"),
    ("prices", "priced events are kept rare whatever their price"),
    ("rules.answerSlackUs", "the final status is reported before the deadline"),
    (
        "rules.stopSendingWithinUs",
        "no call is sent to a draining endpoint, except one that waits for its connection",
    ),
    ("tickUs", "each event carries its time"),
    ("worthBy", "value is counted by message"),
];

/// `give_up_after` of a class for which the settings state none: one day, so that only the deadline of a
/// message ends it.
const DEFAULT_GIVE_UP_AFTER: Micros = Micros(86_400_000_000);

/// Connect timeout if the settings state none: one second.
const DEFAULT_CONNECT_TIMEOUT: Micros = Micros(1_000_000);

/// Reads one value; `expected` describes it in the error. A value that is absent or null does not apply. Any
/// other value must be valid, because a limit that is misread leads to a broken rule.
fn value_at<T>(
    object: &Value, path: &str, expected: &str, read: impl Fn(&Value) -> Option<T>,
) -> Result<Option<T>, String> {
    let Some(found) = object.pointer(path).filter(|f| !f.is_null()) else { return Ok(None) };
    let key = path[1..].replace('/', ".");
    read(found).map(Some).ok_or_else(|| format!("settings: {key} is not {expected}"))
}

fn number(object: &Value, path: &str) -> Result<f64, String> {
    Ok(value_at(object, path, "a number, zero or more", |n| n.as_f64().filter(|n| *n >= 0.0))?.unwrap_or(0.0))
}

fn micros(object: &Value, path: &str) -> Result<Micros, String> {
    Ok(Micros(number(object, path)? as u64))
}

/// Returns `None` for a time that is absent or 0, which does not apply.
fn if_nonzero(time: Micros) -> Option<Micros> {
    Some(time).filter(|t| *t > Micros(0))
}

/// How long a connection may take to be established.
///
/// # Errors
/// One line that names the key.
pub fn connect_timeout(object: &Value) -> Result<Micros, String> {
    Ok(if_nonzero(micros(object, "/limits/connectTimeoutUs")?).unwrap_or(DEFAULT_CONNECT_TIMEOUT))
}

fn count(object: &Value, path: &str) -> Result<Option<u32>, String> {
    value_at(object, path, "a number, zero or more", |n| n.as_f64().filter(|n| *n >= 0.0).map(|n| n as u32))
}

fn flag(object: &Value, path: &str) -> Result<bool, String> {
    Ok(value_at(object, path, "true or false", Value::as_bool)?.unwrap_or(false))
}

fn text<'a>(object: &'a Value, path: &str) -> Result<Option<&'a str>, String> {
    let found = object.pointer(path).filter(|f| !f.is_null());
    let key = path[1..].replace('/', ".");
    found.map(|t| t.as_str().ok_or_else(|| format!("settings: {key} is not text"))).transpose()
}

fn array<'a>(object: &'a Value, path: &str) -> &'a [Value] {
    object.pointer(path).and_then(Value::as_array).map_or(&[], Vec::as_slice)
}

/// The index of each item of an array by its name. Two items of the same name are refused.
fn index_by_name(object: &Value, path: &str, pointer: &str) -> Result<BTreeMap<String, usize>, String> {
    let mut index = BTreeMap::new();
    for (i, item) in array(object, path).iter().enumerate() {
        if let Some(name) = item.pointer(pointer).and_then(Value::as_str)
            && index.insert(name.to_owned(), i).is_some()
        {
            return Err(format!("settings: {} names {name:?} twice", &path[1..]));
        }
    }
    Ok(index)
}

fn class(object: &Value) -> Result<ClassSettings, String> {
    let effect = match text(object, "/effect")? {
        Some("repeatable") => Effect::Safe,
        Some("by_key") => {
            let scope = match text(object, "/group")? {
                Some("all") => DedupScope::Destination,
                // An absent scope counts as the narrower one, which is safe in either case.
                None | Some("zone" | "cell") => DedupScope::Zone,
                Some(other) => return Err(format!("settings: group is not all or zone: \"{other}\"")),
            };
            let window = micros(object, "/windowUs")?;
            if window == Micros(0) {
                return Err("settings: windowUs is missing or 0, where effect is by_key".into());
            }
            Effect::Keyed { scope, window }
        }
        None | Some("once") => Effect::Unsafe,
        Some(other) => return Err(format!("settings: effect is not known: \"{other}\"")),
    };
    Ok(ClassSettings {
        target_latency: micros(object, "/targetUs")?,
        give_up_after: if_nonzero(micros(object, "/giveUpUs")?).unwrap_or(DEFAULT_GIVE_UP_AFTER),
        effect,
        in_order: flag(object, "/oneAtATime")?,
        value: number(object, "/worth")?,
        late_value_share: number(object, "/lateShare")?,
    })
}

/// Whether responses carry load reports. A report needs both of its columns, the remaining share and the
/// limit.
fn load_reports(object: &Value) -> Result<bool, String> {
    let columns = array(object, "/feedback/columns");
    let has = |name: &str| columns.iter().any(|c| c.as_str() == Some(name));
    Ok(text(object, "/feedback/how")? == Some("inline") && has("x0") && has("x1"))
}

/// Reads the settings object.
///
/// # Errors
/// One line that names the key.
pub fn read(object: &Value) -> Result<(Settings, NameIndex), String> {
    if !object.is_object() {
        return Err("settings are not an object".into());
    }
    let kinds = array(object, "/hostTypes");
    let item = |path: &str, i: usize| array(object, path).get(i).cloned().unwrap_or(Value::Null);
    let classes = array(object, "/classes").iter().map(|entry| {
        let name = entry.get("name").and_then(Value::as_str).unwrap_or("without a name");
        class(entry).map_err(|e| format!("{e} (class {name})"))
    });
    let tenants = array(object, "/tenants")
        .iter()
        .map(|tenant| Ok::<_, String>(TenantSettings { allowance_per_s: number(tenant, "/allowancePerS")? }));
    let settings = Settings {
        classes: classes.collect::<Result<_, _>>()?,
        tenants: tenants.collect::<Result<_, _>>()?,
        kinds: (0..kinds.len())
            .map(|i| KindSettings {
                separate_routes: item("/extra/kindApart", i).as_bool().unwrap_or(false),
                messages_per_call: item("/extra/perCall", i).as_f64().map_or(1, |n| n as u32).max(1),
            })
            .collect(),
        zone_fees: array(object, "/extra/feeByZone").iter().map(|fee| fee.as_f64().unwrap_or(0.0)).collect(),
        value_decay: match text(object, "/extra/fades")? {
            Some("halves") => ValueDecay::Halving,
            _ => ValueDecay::Linear,
        },
        over_share_value: value_at(object, "/overShareWorth", "a number", Value::as_f64)?.unwrap_or(1.0),
        slots: count(object, "/extra/slots")?.unwrap_or(u32::MAX),
        max_held: count(object, "/limits/maxOpen")?.unwrap_or(u32::MAX),
        max_attempts: count(object, "/limits/maxAttempts")?.unwrap_or(u32::MAX),
        second_copies: flag(object, "/limits/secondCopies")?,
        allow_cancel: flag(object, "/limits/cancel")?,
        load_reports: load_reports(object)?,
        sender_count: count(object, "/replicasOfMe")?.unwrap_or(1).max(1),
        sender_index: count(object, "/slotNo")?.unwrap_or(0),
        send_retry_after: flag(object, "/limits/retryAfter")?,
        max_retry_after: micros(object, "/limits/maxRetryAfterUs")?,
        subscribe_to_list: text(object, "/discovery")? == Some("subscribe"),
        weights: match text(object, "/weightSource")? {
            Some("nominal") => Weights::Nominal,
            Some("rough") => Weights::Rough,
            _ => Weights::Off,
        },
        key_cooldown: micros(object, "/rules/settleAfterDoubtUs")?,
        collapse_multiple: number(object, "/rules/fallMultiple")?,
        collapse_window: micros(object, "/rules/fallUs")?,
        cold_start_share: number(object, "/rules/coldFrom")?,
        warm_up_time: micros(object, "/rules/warmWithinUs")?,
        connection_idle_timeout: micros(object, "/limits/connIdleUs")?,
        peer_hints: flag(object, "/limits/peerMessages")?,
        probe_class: None,
        message_probe_delay: Micros(0),
        list_poll_interval: micros(object, "/rules/askEveryUs")?,
    };
    if settings.sender_index >= settings.sender_count {
        let (index, count) = (settings.sender_index, settings.sender_count);
        return Err(format!("settings: slotNo is {index}, but replicasOfMe is {count}"));
    }
    let names = NameIndex {
        classes: index_by_name(object, "/classes", "/name")?,
        tenants: index_by_name(object, "/tenants", "/name")?,
        kinds: index_by_name(object, "/hostTypes", "")?,
        zones: index_by_name(object, "/azs", "")?,
    };
    Ok((settings, names))
}

/// Describes for operators what the settings allow and forbid, in one line each.
pub fn describe(settings: &Settings, names: &NameIndex) -> Vec<String> {
    let either = |allowed: bool, yes: &str, no: &str| if allowed { yes.to_owned() } else { no.to_owned() };
    let mut lines: Vec<_> = names
        .classes
        .iter()
        .filter_map(|(name, i)| Some((name, settings.classes.get(*i)?)))
        .map(|(name, class)| {
            let (target, end) = (class.target_latency.secs(), class.give_up_after.secs());
            let repeat = match class.effect {
                Effect::Safe => "safe to repeat".to_owned(),
                Effect::Keyed { scope, window } => {
                    let by = if scope == DedupScope::Destination {
                        "any endpoint"
                    } else {
                        "endpoints of one zone only"
                    };
                    format!("a repeat is dropped for {} s by {by}", window.secs())
                }
                Effect::Unsafe => "never repeated once it may have run".to_owned(),
            };
            format!("class {name}: target latency {target} s, given up after {end} s; {repeat}")
        })
        .collect();
    let copies = "a second copy may go while the first is in flight, if the class may be repeated";
    let bound = |count: u32| if count == u32::MAX { "any number of".to_owned() } else { count.to_string() };
    lines.push(format!(
        "attempts: {} for a message; {}",
        bound(settings.max_attempts),
        either(settings.second_copies, copies, "never two at once")
    ));
    lines.push(either(settings.load_reports, "limits: told in answers", "limits: not told in answers"));
    lines.push(match settings.weights {
        Weights::Off => "list: states no limits".to_owned(),
        Weights::Nominal => "list: states the limit of each destination".to_owned(),
        Weights::Rough => "list: states a rough limit of each destination".to_owned(),
    });
    lines.push("retry-after: the wait that a refusal states applies to all messages".to_owned());
    lines.push(format!(
        "capacity: {} calls in flight, {} messages held; {} senders",
        bound(settings.slots),
        bound(settings.max_held),
        settings.sender_count
    ));
    lines.push(either(
        settings.peer_hints,
        "peer hints: may be sent to other senders",
        "peer hints: not sent",
    ));
    lines
}
