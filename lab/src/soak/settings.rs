//! The settings that the daemons of a run have.

use super::clients::ADDED_CLASS;
use serde_json::{Value, json};

/// Time within which a repeat of a keyed message is dropped by the server.
pub const DEDUP_WINDOW_S: f64 = 1.0;

/// The settings of one class.
fn class(name: &str, effect: &str, give_up_s: f64) -> Value {
    json!({"name": name, "effect": effect, "group": "all", "giveUpUs": (give_up_s * 1e6) as u64,
        "targetUs": 800_000, "windowUs": (DEDUP_WINDOW_S * 1e6) as u64, "lateShare": 0.1, "worth": 1.0})
}

/// Adds the class that the run may add to the settings, or removes it.
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

/// The settings of one daemon: a class of each effect, and one kind of destination.
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
