//! `[dns]`: the list out of a zone file, where it is not at discovery.

use crate::product::Wrong;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use toml::Spanned;

#[derive(Clone, Debug)]
pub struct Dns {
    /// Where dynamic updates come to.
    pub listen: SocketAddr,
    pub origin: String,
    /// The text of the zone file.
    pub zone: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Raw {
    listen: Spanned<SocketAddr>,
    origin: String,
    zone: Spanned<String>,
}

impl Raw {
    /// Reads the zone file, which stands beside the settings.
    pub(crate) fn check(self, path: &Path) -> Result<Dns, Wrong> {
        // Updates carry no signature that is looked at: only this machine may send them.
        if !self.listen.get_ref().ip().is_loopback() {
            return Err(Wrong::new(&self.listen, "not an address of this machine alone"));
        }
        let file = path.parent().unwrap_or(Path::new("")).join(self.zone.get_ref());
        let zone = std::fs::read_to_string(&file)
            .map_err(|e| Wrong::new(&self.zone, format!("cannot read {}: {e}", file.display())))?;
        Ok(Dns { listen: self.listen.into_inner(), origin: self.origin, zone })
    }
}
