//! The default settings of a daemon in an experiment.

use serde_json::{Value, json};

/// Returns the settings object of one of `senders` instances: one class with a repeatable effect, one
/// endpoint kind.
pub fn settings(senders: usize) -> Value {
    json!({
        "azs": ["floor-2"],
        "classes": [{"name": "status", "effect": "repeatable", "group": "all", "giveUpUs": 5_000_000,
            "targetUs": 800_000, "windowUs": 5_000_000, "lateShare": 0.1, "worth": 1.0}],
        "hostTypes": ["club"],
        "discovery": "subscribe",
        "extra": {"fades": "line", "feeByZone": [0], "kindApart": [false], "perCall": [1], "slots": 24},
        "limits": {"connIdleUs": 60_000_000, "connectTimeoutUs": 1_000_000, "maxAttempts": 12, "maxOpen": 450,
            "maxRetryAfterUs": 3_000_000, "peerMessages": false, "probes": true, "retryAfter": false},
        "overShareWorth": 0.05,
        "replicasOfMe": senders,
        "rules": {"askEveryUs": 10_000_000, "coldFrom": 0.17, "fallMultiple": 2.0, "fallUs": 3_000_000,
            "stopSendingWithinUs": 1_000_000, "warmWithinUs": 12_000_000},
        "tenants": [],
        "weightSource": "rough",
    })
}
