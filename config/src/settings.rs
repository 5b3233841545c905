//! From the wire's settings object to the library's settings. Absent values mean "does not apply".

use onyxrock::core::Names;
use onyxrock::interface::*;
use serde_json::Value;
use std::collections::BTreeMap;

fn number(v: &Value, path: &str) -> f64 {
    v.pointer(path).and_then(Value::as_f64).unwrap_or(0.0)
}

fn micros(v: &Value, path: &str) -> Micros {
    Micros(v.pointer(path).and_then(Value::as_f64).unwrap_or(0.0).max(0.0) as u64)
}

fn count(v: &Value, path: &str) -> Option<u32> {
    v.pointer(path).and_then(Value::as_f64).map(|n| n.max(0.0) as u32)
}

fn flag(v: &Value, path: &str) -> bool {
    v.pointer(path).and_then(Value::as_bool).unwrap_or(false)
}

fn list<'a>(v: &'a Value, path: &str) -> &'a [Value] {
    v.pointer(path).and_then(Value::as_array).map_or(&[], Vec::as_slice)
}

fn names(items: &[Value], pointer: &str) -> BTreeMap<String, usize> {
    let name = |v: &Value| v.pointer(pointer).and_then(Value::as_str).map(str::to_owned);
    items.iter().enumerate().filter_map(|(i, v)| Some((name(v)?, i))).collect()
}

fn class(v: &Value) -> ClassSettings {
    let effect = match v.pointer("/effect").and_then(Value::as_str) {
        Some("repeatable") => Effect::Safe,
        Some("by_key") => Effect::Keyed {
            group: match v.pointer("/group").and_then(Value::as_str) {
                Some("all") => Group::All,
                _ => Group::Zone,
            },
            window: micros(v, "/windowUs"),
        },
        _ => Effect::Unsafe,
    };
    ClassSettings {
        aim: micros(v, "/targetUs"),
        give_up: micros(v, "/giveUpUs"),
        effect,
        in_order: flag(v, "/oneAtATime"),
        worth: number(v, "/worth"),
        late_share: number(v, "/lateShare"),
    }
}

/// Reads the settings object of a new instance.
pub fn read(v: &Value) -> Result<(Settings, Names), String> {
    if !v.is_object() {
        return Err("settings are not an object".into());
    }
    let kinds = list(v, "/hostTypes");
    let at = |path: &str, i: usize| list(v, path).get(i).cloned().unwrap_or(Value::Null);
    let settings = Settings {
        classes: list(v, "/classes").iter().map(class).collect(),
        tenants: list(v, "/tenants")
            .iter()
            .map(|t| TenantSettings { allowance_per_s: number(t, "/allowancePerS") })
            .collect(),
        kinds: (0..kinds.len())
            .map(|i| KindSettings {
                apart: at("/extra/kindApart", i).as_bool().unwrap_or(false),
                batch: at("/extra/perCall", i).as_f64().map_or(1, |n| n as u32).max(1),
            })
            .collect(),
        zone_fees: list(v, "/extra/feeByZone").iter().map(|f| f.as_f64().unwrap_or(0.0)).collect(),
        fade: match v.pointer("/extra/fades").and_then(Value::as_str) {
            Some("halves") => Fade::Halves,
            _ => Fade::Line,
        },
        over_share_worth: v.pointer("/overShareWorth").and_then(Value::as_f64).unwrap_or(1.0),
        slots: count(v, "/extra/slots").unwrap_or(u32::MAX),
        max_held: count(v, "/limits/maxOpen").unwrap_or(u32::MAX),
        max_attempts: count(v, "/limits/maxAttempts").unwrap_or(u32::MAX),
        second_copies: flag(v, "/limits/secondCopies"),
        cancel: flag(v, "/limits/cancel"),
        senders: count(v, "/replicasOfMe").unwrap_or(1).max(1),
        number: count(v, "/slotNo").unwrap_or(0),
        retry_after: flag(v, "/limits/retryAfter"),
        max_retry_after: micros(v, "/limits/maxRetryAfterUs"),
        subscribe: v.pointer("/discovery").and_then(Value::as_str) == Some("subscribe"),
        weights: match v.pointer("/weightSource").and_then(Value::as_str) {
            Some("nominal") => Weights::Nominal,
            Some("rough") => Weights::Rough,
            _ => Weights::Off,
        },
        key_rest: micros(v, "/rules/settleAfterDoubtUs"),
        fall_multiple: number(v, "/rules/fallMultiple"),
        fall_window: micros(v, "/rules/fallUs"),
        cold_from: number(v, "/rules/coldFrom"),
        warm_within: micros(v, "/rules/warmWithinUs"),
        connection_idle: micros(v, "/limits/connIdleUs"),
        notes: flag(v, "/limits/peerMessages"),
        probe_class: None,
        hold_back: Micros(0),
        ask_every: micros(v, "/rules/askEveryUs"),
    };
    let names = Names {
        classes: names(list(v, "/classes"), "/name"),
        tenants: names(list(v, "/tenants"), "/name"),
        kinds: names(kinds, ""),
        zones: names(list(v, "/azs"), ""),
    };
    Ok((settings, names))
}
