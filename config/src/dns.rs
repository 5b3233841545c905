//! The file that says where the list is, if it is in a zone file and not at discovery.

use crate::toml::At;
use std::net::SocketAddr;
use std::path::Path;

#[derive(Clone, Debug)]
pub struct Dns {
    /// Where dynamic updates come to.
    pub listen: SocketAddr,
    pub origin: String,
    /// The text of the zone file.
    pub zone: String,
}

/// Reads the file, and the zone file that it names beside itself.
pub fn read(path: &Path) -> Result<Dns, String> {
    let shown = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| format!("cannot read {shown}: {e}"))?;
    let table: ::toml::Table =
        text.parse().map_err(|e: ::toml::de::Error| format!("{shown}: {}", e.message()))?;
    let at = At(&table, shown.clone());
    let listen = at.address("listen")?;
    // Updates carry no signature that is looked at: only this machine may send them.
    if !listen.ip().is_loopback() {
        return Err(at.wrong("listen", "an address of this machine alone"));
    }
    let file = path.parent().unwrap_or(Path::new("")).join(at.must("zone")?);
    let zone = std::fs::read_to_string(&file).map_err(|e| format!("cannot read {}: {e}", file.display()))?;
    Ok(Dns { listen, origin: at.must("origin")?.to_owned(), zone })
}
