//! The settings that the daemons of a run have.

use serde_json::{Value, json};

/// A repeat of a keyed message is dropped for so long.
pub const WINDOW_S: f64 = 1.0;

/// The settings object of an instance: a class of each effect, and one kind of destination.
pub fn settings(daemons: usize, number: usize) -> Value {
    let class = |name: &str, effect: &str, give_up_s: u64| {
        json!({"name": name, "effect": effect, "group": "all", "giveUpUs": give_up_s * 1_000_000,
            "targetUs": 800_000, "windowUs": (WINDOW_S * 1e6) as u64, "lateShare": 0.1, "worth": 1.0})
    };
    json!({
        "azs": ["floor-2"],
        "classes": [class("status", "repeatable", 3), class("booking", "by_key", 5), class("payment", "once", 5)],
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
