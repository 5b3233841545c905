//! The configuration that the platform gives a forwarder: environment variables, and a file with one JSON
//! object.

use crate::{list, reload, settings};
use onyxrock::core::NameIndex;
use onyxrock::interface::{Micros, Settings};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Bound on the memory where the file has none, in MB.
const DEFAULT_MEMORY_MB: f64 = 192.0;

/// The checked configuration of one forwarder.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of this forwarder.
    pub name: String,
    /// Address for clients.
    pub listen: SocketAddr,
    /// Address for operators. `None`: the forwarder takes no calls from operators.
    pub mgmt: Option<SocketAddr>,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Folder for state that outlives the process.
    pub state_folder: PathBuf,
    /// Seed of the pseudo-random number generator.
    pub seed: u64,
    /// Bound on open sockets.
    pub max_sockets: usize,
    /// Bound on the bytes of memory.
    pub max_memory_bytes: u64,
    /// Bound on the bytes on disk.
    pub max_disk_bytes: u64,
    /// How long a connection may take to be established.
    pub connect_timeout: Micros,
    /// The settings object, as the core takes it.
    pub settings: Settings,
    /// Discovery pushes lists: a list counts as received here once discovery has it, whether this forwarder
    /// has requested it or not.
    pub lists_pushed: bool,
    /// Indices of classes, tenants, kinds and zones by name.
    pub names: NameIndex,
    /// The list that this forwarder last received before the start.
    pub cached_list: Option<list::EndpointList>,
    /// The configuration file without the keys that a later version of the file may omit. A later version
    /// must have all other keys.
    pub required_values: Value,
}

impl Config {
    /// Checks that a new version of the file may replace this one.
    ///
    /// # Errors
    /// One line that names the key that is missing or invalid in the new version.
    pub fn check_reload(&self, next: &Config) -> Result<(), String> {
        reload::check(&self.required_values, &next.required_values)
    }

    /// The parts in which a new version of the file differs and that take effect only at the next start.
    pub fn restart_only_differences(&self, new: &Config) -> Vec<&'static str> {
        let limits = |config: &Config| (config.max_sockets, config.max_memory_bytes, config.max_disk_bytes);
        let differences = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("mgmt", self.mgmt != new.mgmt),
            ("limits", limits(self) != limits(new)),
            ("settings", self.restart_only_settings_differ(new)),
        ];
        differences.into_iter().filter(|difference| difference.1).map(|difference| difference.0).collect()
    }
}

impl Config {
    /// Whether the settings differ in a value that does not take effect while the daemon runs.
    fn restart_only_settings_differ(&self, new: &Config) -> bool {
        // Classes and the bounds on attempts and held messages do take effect.
        let with_live_values = Settings {
            classes: self.settings.classes.clone(),
            max_attempts: self.settings.max_attempts,
            max_held: self.settings.max_held,
            ..new.settings.clone()
        };
        self.settings != with_live_values || self.connect_timeout != new.connect_timeout
    }
}

/// Why a configuration cannot be read. Each message is one line.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum ReadError {
    /// The operating system refused to read the file. This may be temporary.
    Unreadable(String),
    /// The contents of the file are invalid.
    Invalid(String),
}

impl From<String> for ReadError {
    fn from(message: String) -> ReadError {
        ReadError::Invalid(message)
    }
}

impl From<&str> for ReadError {
    fn from(message: &str) -> ReadError {
        ReadError::Invalid(message.to_owned())
    }
}

impl From<ReadError> for String {
    fn from(error: ReadError) -> String {
        match error {
            ReadError::Unreadable(message) | ReadError::Invalid(message) => message,
        }
    }
}

/// Reads the file. `var` returns an environment variable of the platform. Variables take precedence over the
/// file, except for the address of discovery: the file may be replaced while the process runs, and its
/// variables cannot.
///
/// # Errors
/// One line, see [`ReadError`].
pub fn read(path: &Path, var: impl Fn(&str) -> Option<String>) -> Result<Config, ReadError> {
    let shown = path.display();
    let unreadable = |e| ReadError::Unreadable(format!("cannot read {shown}: {e}"));
    let bytes = std::fs::read(path).map_err(unreadable)?;
    let file: Value = serde_json::from_slice(&bytes).map_err(|e| format!("{shown} is not JSON: {e}"))?;
    let text = |variable: &str, key: &str| {
        var(variable)
            .or_else(|| file.get(key).and_then(Value::as_str).map(str::to_owned))
            .ok_or_else(|| format!("{shown}: \"{key}\" is missing, and ${variable} is not set"))
    };
    let parse = |key: &str, address: String| -> Result<SocketAddr, String> {
        address.parse().map_err(|_| format!("{key} is not an address with a port: \"{address}\""))
    };
    let raw_settings = file.get("settings").ok_or_else(|| format!("{shown}: \"settings\" is missing"))?;
    let (mut settings, names) = settings::read(raw_settings).map_err(|e| format!("{shown}: {e}"))?;
    // A final status that is sent over a socket may always carry a retry-after: a client that ignores it
    // loses nothing.
    settings.send_retry_after = true;
    // The daemon takes no pushed lists: it always requests the list by a watch.
    let lists_pushed = !std::mem::replace(&mut settings.subscribe_to_list, true);
    if settings.classes.is_empty() {
        return Err(format!("{shown}: the settings have no class").into());
    }
    let seed = file.get("seed").and_then(|value| match value {
        Value::String(hex) => u64::from_str_radix(hex, 16).ok(),
        other => other.as_u64(),
    });
    let limit = |key: &str, default: f64| file.pointer(key).and_then(Value::as_f64).unwrap_or(default);
    let cached_list = match file.get("known").filter(|known| !known.is_null()) {
        Some(known) => Some(list::read(known, &names)?),
        None => None,
    };
    Ok(Config {
        name: text("GW_NAME", "name")?,
        listen: parse("listen", text("GW_LISTEN", "listen")?)?,
        mgmt: match (var("GW_MGMT"), file.get("mgmt").filter(|mgmt| !mgmt.is_null())) {
            (None, None) => None,
            _ => Some(parse("mgmt", text("GW_MGMT", "mgmt")?)?),
        },
        discovery: match file.get("discovery").and_then(Value::as_str) {
            Some(address) => parse("discovery", address.to_owned())?,
            None => parse("discovery", text("GW_DISCOVERY", "discovery")?)?,
        },
        state_folder: PathBuf::from(
            var("GW_STATE").ok_or("$GW_STATE, the folder for the state of the forwarder, is not set")?,
        ),
        seed: seed.unwrap_or(0),
        max_sockets: limit("/limits/sockets", 1024.0) as usize,
        max_memory_bytes: (limit("/limits/memory_mb", DEFAULT_MEMORY_MB) * 1e6) as u64,
        max_disk_bytes: (limit("/limits/disk_mb", 3.0) * 1e6) as u64,
        connect_timeout: settings::connect_timeout(raw_settings).map_err(|e| format!("{shown}: {e}"))?,
        settings,
        lists_pushed,
        names,
        cached_list,
        required_values: reload::without_optional_keys(&file),
    })
}
