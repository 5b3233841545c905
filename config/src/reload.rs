//! What a new configuration may change while the daemon runs, and what a file must hold to be taken: all that the one before
//! it held. A file that lacks a key was cut short, or written by mistake, and nothing of it is taken.

use serde_json::{Map, Value};

/// Keys of the whole that a later file may leave out: they are read at a start alone, or a variable gives them.
const MAY_BE_LEFT_OUT: [&str; 5] = ["known", "seed", "name", "listen", "mgmt"];
/// Numbers that mean nothing unless they are positive, once a file has given one that is.
const POSITIVE: [&str; 2] = ["giveUpUs", "maxAttempts"];

/// Compares a new configuration with the one that holds.
///
/// # Errors
/// One line that names the key that is missing or wrong.
pub fn check(held: &Value, new: &Value) -> Result<(), String> {
    compare("", held, new)
}

/// The configuration without what a later file may leave out.
#[must_use]
pub fn without_optional_keys(config: &Value) -> Value {
    let mut lasting = config.clone();
    if let Some(object) = lasting.as_object_mut() {
        MAY_BE_LEFT_OUT.iter().for_each(|key| drop(object.remove(*key)));
    }
    lasting
}

fn compare(path: &str, held: &Value, new: &Value) -> Result<(), String> {
    match (held, new) {
        (Value::Object(held), Value::Object(new)) => objects(path, held, new),
        (Value::Array(held), Value::Array(new)) => arrays(path, held, new),
        (Value::Null, _) => Ok(()),
        _ if kind(held) != kind(new) => Err(format!("{path} is not {} any more", kind(held))),
        (Value::Number(_), _) if POSITIVE.iter().any(|key| path.ends_with(key)) => positive(path, held, new),
        _ => Ok(()),
    }
}

fn objects(path: &str, held: &Map<String, Value>, new: &Map<String, Value>) -> Result<(), String> {
    for (key, value) in held {
        let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        let found = new.get(key).ok_or_else(|| format!("{path} is missing"))?;
        compare(&path, value, found)?;
    }
    Ok(())
}

/// Entries come and go; each has the keys that all had before.
fn arrays(path: &str, held: &[Value], new: &[Value]) -> Result<(), String> {
    if !held.is_empty() && new.is_empty() {
        return Err(format!("{path} is empty"));
    }
    let Some(common) = held.iter().cloned().reduce(|a, b| in_common(&a, &b)) else { return Ok(()) };
    new.iter().enumerate().try_for_each(|(i, entry)| compare(&format!("{path}[{i}]"), &common, entry))
}

/// The keys that two entries share. What differs in kind binds nothing.
fn in_common(a: &Value, b: &Value) -> Value {
    match (a, b) {
        (Value::Object(a), Value::Object(b)) => {
            let shared =
                a.iter().filter_map(|(key, value)| Some((key.clone(), in_common(value, b.get(key)?))));
            Value::Object(shared.collect())
        }
        _ if kind(a) != kind(b) => Value::Null,
        (Value::Number(_), Value::Number(b)) if b.as_f64() <= Some(0.0) => Value::from(0),
        _ => a.clone(),
    }
}

fn positive(path: &str, held: &Value, new: &Value) -> Result<(), String> {
    let is_positive = |v: &Value| v.as_f64().is_some_and(|n| n > 0.0);
    if is_positive(held) && !is_positive(new) {
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
