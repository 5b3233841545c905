//! The settings that the daemons of a run have.

use super::clients::ADDED_CLASS;
use serde_json::{Value, json};

/// A repeat of a keyed message is dropped for so long.
pub const WINDOW_S: f64 = 1.0;

fn class(name: &str, effect: &str, give_up_s: f64) -> Value {
    json!({"name": name, "effect": effect, "group": "all", "giveUpUs": (give_up_s * 1e6) as u64,
        "targetUs": 800_000, "windowUs": (WINDOW_S * 1e6) as u64, "lateShare": 0.1, "worth": 1.0})
}

/// The same settings, with the class that may be added or without it.
pub fn with_added_class(mut settings: Value, added: bool) -> Value {
    let (name, left) = ADDED_CLASS;
    if let Some(classes) = settings["classes"].as_array_mut() {
        classes.retain(|class| class["name"] != name);
        if added {
            classes.push(class(name, "repeatable", left));
        }
    }
    settings
}

/// The settings object of an instance: a class of each effect, and one kind of destination.
pub fn settings(daemons: usize, number: usize) -> Value {
    json!({
        "azs": ["floor-2"],
        "classes": [class("status", "repeatable", 3.0), class("booking", "by_key", 5.0), class("payment", "once", 5.0)],
        "hostTypes": ["club"],
        "discovery": "subscribe",
        "extra": {"fades": "line", "feeByZone": [0], "kindApart": [false], "perCall": [1], "slots": 24},
        "limits": {"cancel": true, "connIdleUs": 5_000_000, "connectTimeoutUs": 1_000_000, "maxAttempts": 12,
            "maxOpen": 450, "maxRetryAfterUs": 3_000_000, "peerMessages": false, "probes": false,
            "retryAfter": false, "secondCopies": false},
        "overShareWorth": 0.05,
        "replicasOfMe": daemons,
        "slotNo": number,
        "rules": {"askEveryUs": 10_000_000, "coldFrom": 0.17, "fallMultiple": 2.0, "fallUs": 3_000_000,
            "stopSendingWithinUs": 1_000_000, "warmWithinUs": 12_000_000},
        "tenants": [],
        "weightSource": "rough",
    })
}
