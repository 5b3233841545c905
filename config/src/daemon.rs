//! What the platform tells one forwarder: variables, and one JSON object.

use crate::{list, reload, settings};
use onyxrock::core::NameIndex;
use onyxrock::interface::{Micros, Settings};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

#[derive(Clone, Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    /// Where operators call, if anywhere.
    pub mgmt: Option<SocketAddr>,
    pub discovery: SocketAddr,
    pub state_folder: PathBuf,
    pub seed: u64,
    pub max_sockets: usize,
    pub max_disk_bytes: u64,
    pub connect_timeout: Micros,
    pub settings: Settings,
    /// Lists are pushed: what is known where they come from counts as told here, whatever has been asked.
    pub lists_pushed: bool,
    pub names: NameIndex,
    /// The list as this forwarder last had it.
    pub cached_list: Option<list::EndpointList>,
    /// The file, but for what a later one may leave out: that has to hold all that is here.
    pub required_values: Value,
}

impl Config {
    /// Another reading of the file may take the place of this one.
    ///
    /// # Errors
    /// One line that names the key that it lacks, or that is wrong.
    pub fn check_reload(&self, next: &Config) -> Result<(), String> {
        reload::check(&self.required_values, &next.required_values)
    }

    /// What another reading of the file says otherwise and only a new start can take over.
    pub fn restart_only_differences(&self, new: &Config) -> Vec<&'static str> {
        let limits = |c: &Config| (c.max_sockets, c.max_disk_bytes);
        let all = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("mgmt", self.mgmt != new.mgmt),
            ("limits", limits(self) != limits(new)),
            ("settings", self.other_settings(new)),
        ];
        all.into_iter().filter(|d| d.1).map(|d| d.0).collect()
    }
}

impl Config {
    /// The settings differ in what is not taken over while the daemon runs.
    fn other_settings(&self, new: &Config) -> bool {
        // Classes, attempts and room are.
        let alike = Settings {
            classes: self.settings.classes.clone(),
            max_attempts: self.settings.max_attempts,
            max_held: self.settings.max_held,
            ..new.settings.clone()
        };
        self.settings != alike || self.connect_timeout != new.connect_timeout
    }
}

/// Why a configuration cannot be had. Each is one line.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum ReadError {
    /// The system does not let the file be read, which may pass.
    Unreadable(String),
    /// What it says is wrong.
    Invalid(String),
}

impl From<String> for ReadError {
    fn from(why: String) -> ReadError {
        ReadError::Invalid(why)
    }
}

impl From<&str> for ReadError {
    fn from(why: &str) -> ReadError {
        ReadError::Invalid(why.to_owned())
    }
}

impl From<ReadError> for String {
    fn from(error: ReadError) -> String {
        match error {
            ReadError::Unreadable(why) | ReadError::Invalid(why) => why,
        }
    }
}

/// Reads the file; `var` gives the platform's variables, which stand above it. Only discovery's address stands in
/// the file first: the file may be replaced while the variables stay.
pub fn read(path: &Path, var: impl Fn(&str) -> Option<String>) -> Result<Config, ReadError> {
    let shown = path.display();
    let unreadable = |e| ReadError::Unreadable(format!("cannot read {shown}: {e}"));
    let text = std::fs::read(path).map_err(unreadable)?;
    let v: Value = serde_json::from_slice(&text).map_err(|e| format!("{shown} is not JSON: {e}"))?;
    let text = |name: &str, key: &str| {
        var(name)
            .or_else(|| v.get(key).and_then(Value::as_str).map(str::to_owned))
            .ok_or_else(|| format!("{shown}: no \"{key}\" and no ${name}"))
    };
    let parse = |key: &str, t: String| -> Result<SocketAddr, String> {
        t.parse().map_err(|_| format!("{key} is not an address with a port: \"{t}\""))
    };
    let setup = v.get("settings").ok_or_else(|| format!("{shown}: no \"settings\""))?;
    let (mut settings, names) = settings::read(setup).map_err(|e| format!("{shown}: {e}"))?;
    // On sockets an end may always say when to come back: who does not follow it loses nothing.
    settings.send_retry_after = true;
    // Nobody comes here with the list: where it is pushed, too, it is had by a watch.
    let pushed = !std::mem::replace(&mut settings.subscribe_to_list, true);
    if settings.classes.is_empty() {
        return Err(format!("{shown}: the settings name no class").into());
    }
    let seed = v.get("seed").and_then(|s| match s {
        Value::String(s) => u64::from_str_radix(s, 16).ok(),
        other => other.as_u64(),
    });
    let limit = |key: &str, or: f64| v.pointer(key).and_then(Value::as_f64).unwrap_or(or);
    let known = match v.get("known").filter(|k| !k.is_null()) {
        Some(k) => Some(list::read(k, &names)?),
        None => None,
    };
    Ok(Config {
        name: text("GW_NAME", "name")?,
        listen: parse("listen", text("GW_LISTEN", "listen")?)?,
        mgmt: match (var("GW_MGMT"), v.get("mgmt").filter(|m| !m.is_null())) {
            (None, None) => None,
            _ => Some(parse("mgmt", text("GW_MGMT", "mgmt")?)?),
        },
        discovery: match v.get("discovery").and_then(Value::as_str) {
            Some(t) => parse("discovery", t.to_owned())?,
            None => parse("discovery", text("GW_DISCOVERY", "discovery")?)?,
        },
        state_folder: PathBuf::from(var("GW_STATE").ok_or("no $GW_STATE, the folder that lasts")?),
        seed: seed.unwrap_or(0),
        max_sockets: limit("/limits/sockets", 1024.0) as usize,
        max_disk_bytes: (limit("/limits/disk_mb", 3.0) * 1e6) as u64,
        connect_timeout: settings::connect_timeout(setup).map_err(|e| format!("{shown}: {e}"))?,
        settings,
        lists_pushed: pushed,
        names,
        cached_list: known,
        required_values: reload::without_optional_keys(&v),
    })
}
