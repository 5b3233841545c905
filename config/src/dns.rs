//! `[dns]`: the list out of a zone file, where it is not at discovery.

use crate::product::InvalidValue;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use toml::Spanned;

#[derive(Clone, Debug)]
pub struct DnsSettings {
    /// Where dynamic updates come to.
    pub listen: SocketAddr,
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
    /// Reads the zone file, which stands beside the settings.
    pub(crate) fn check(self, path: &Path) -> Result<DnsSettings, InvalidValue> {
        // Updates carry no signature that is looked at: only this machine may send them.
        if !self.listen.get_ref().ip().is_loopback() {
            return Err(InvalidValue::new(&self.listen, "not an address of this machine alone"));
        }
        let file = path.parent().unwrap_or(Path::new("")).join(self.zone.get_ref());
        let zone = std::fs::read_to_string(&file)
            .map_err(|e| InvalidValue::new(&self.zone, format!("cannot read {}: {e}", file.display())))?;
        Ok(DnsSettings { listen: self.listen.into_inner(), origin: self.origin, zone_text: zone })
    }
}
