//! `[dns]`: the endpoint list from a DNS zone file, instead of from discovery.

use crate::product::InvalidValue;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use toml::Spanned;

/// The checked section.
#[derive(Clone, Debug)]
pub struct DnsSettings {
    /// Address that receives dynamic updates.
    pub listen: SocketAddr,
    /// Origin of the zone.
    pub origin: String,
    /// The text of the zone file.
    pub zone_text: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Raw {
    listen: Spanned<SocketAddr>,
    origin: String,
    zone: Spanned<String>,
}

impl Raw {
    /// Checks the section and reads the zone file, whose path is relative to that of the settings.
    pub(crate) fn check(self, path: &Path) -> Result<DnsSettings, InvalidValue> {
        // Signatures of updates are not verified, so only this machine may send them.
        if !self.listen.get_ref().ip().is_loopback() {
            return Err(InvalidValue::new(
                &self.listen,
                "must be a loopback address, since only this machine may send updates",
            ));
        }
        let zone_path = path.parent().unwrap_or(Path::new("")).join(self.zone.get_ref());
        let zone_text = std::fs::read_to_string(&zone_path).map_err(|e| {
            InvalidValue::new(&self.zone, format!("cannot read {}: {e}", zone_path.display()))
        })?;
        Ok(DnsSettings { listen: self.listen.into_inner(), origin: self.origin, zone_text })
    }
}
