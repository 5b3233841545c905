//! Checks a new version of the configuration while the daemon runs. The new version must have every key of
//! the version before it. A file that lacks a key was truncated or written by mistake, and is refused as a
//! whole.

use serde_json::{Map, Value};

/// Top-level keys that a new version may omit, because they are read only at a start or come from an
/// environment variable.
const OPTIONAL_KEYS: [&str; 5] = ["known", "seed", "name", "listen", "mgmt"];

/// Keys of numbers that must stay positive once a version of the file has a positive one.
const POSITIVE_KEYS: [&str; 2] = ["giveUpUs", "maxAttempts"];

/// Compares a new version of the configuration with the current one.
///
/// # Errors
/// One line that names the key that is missing or invalid.
pub fn check(current: &Value, new: &Value) -> Result<(), String> {
    compare("", current, new)
}

/// The configuration without the keys that a new version may omit.
#[must_use]
pub fn without_optional_keys(config: &Value) -> Value {
    let mut required = config.clone();
    if let Some(object) = required.as_object_mut() {
        OPTIONAL_KEYS.iter().for_each(|key| drop(object.remove(*key)));
    }
    required
}

fn compare(path: &str, current: &Value, new: &Value) -> Result<(), String> {
    match (current, new) {
        (Value::Object(current), Value::Object(new)) => objects(path, current, new),
        (Value::Array(current), Value::Array(new)) => arrays(path, current, new),
        (Value::Null, _) => Ok(()),
        _ if kind(current) != kind(new) => Err(format!("{path} is no longer {}", kind(current))),
        (Value::Number(_), _) if POSITIVE_KEYS.iter().any(|key| path.ends_with(key)) => {
            check_positive(path, current, new)
        }
        _ => Ok(()),
    }
}

fn objects(path: &str, current: &Map<String, Value>, new: &Map<String, Value>) -> Result<(), String> {
    for (key, value) in current {
        let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        let found = new.get(key).ok_or_else(|| format!("{path} is missing"))?;
        compare(&path, value, found)?;
    }
    Ok(())
}

/// Entries may be added and removed; each new entry must have the keys that all current entries share.
fn arrays(path: &str, current: &[Value], new: &[Value]) -> Result<(), String> {
    if !current.is_empty() && new.is_empty() {
        return Err(format!("{path} is empty"));
    }
    let Some(common) = current.iter().cloned().reduce(|a, b| shared_keys(&a, &b)) else { return Ok(()) };
    new.iter().enumerate().try_for_each(|(i, entry)| compare(&format!("{path}[{i}]"), &common, entry))
}

/// The keys that two entries share. A value that differs in type between them imposes nothing.
fn shared_keys(a: &Value, b: &Value) -> Value {
    match (a, b) {
        (Value::Object(a), Value::Object(b)) => {
            let shared =
                a.iter().filter_map(|(key, value)| Some((key.clone(), shared_keys(value, b.get(key)?))));
            Value::Object(shared.collect())
        }
        _ if kind(a) != kind(b) => Value::Null,
        (Value::Number(_), Value::Number(b)) if b.as_f64() <= Some(0.0) => Value::from(0),
        _ => a.clone(),
    }
}

fn check_positive(path: &str, current: &Value, new: &Value) -> Result<(), String> {
    let is_positive = |value: &Value| value.as_f64().is_some_and(|n| n > 0.0);
    if is_positive(current) && !is_positive(new) {
        return Err(format!("{path} is not a positive number: {new}"));
    }
    Ok(())
}

fn kind(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "true or false",
        Value::Number(_) => "a number",
        Value::String(_) => "text",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}
