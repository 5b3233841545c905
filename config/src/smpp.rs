//! The file that says how the SMPP front listens, which gateways there are, and what fields mean.

use crate::toml::At;
use ::toml::Table;
use onyxrock::core::Names;
use onyxrock::interface::Micros;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

#[derive(Clone, Debug)]
pub struct Smpp {
    pub listen: SocketAddr,
    /// Our name, on both sides.
    pub system_id: String,
    /// Submissions of one session that may be unanswered at once.
    pub window: usize,
    /// Silence after which a peer is asked whether it is there.
    pub enquire: Micros,
    /// Who may bind, and whose messages those are.
    pub clients: BTreeMap<String, String>,
    /// Class by service_type; the empty one stands for all others.
    pub classes: BTreeMap<String, String>,
    /// Destination by the longest prefix of the destination address.
    pub routes: BTreeMap<String, u64>,
    pub gateways: Vec<Gateway>,
}

#[derive(Clone, Debug)]
pub struct Gateway {
    pub name: String,
    pub address: SocketAddr,
    pub system_id: String,
    pub destination: u64,
    pub kind: usize,
    pub zone: String,
    pub zone_at: usize,
    pub weight: f64,
    pub window: usize,
    pub enquire: Micros,
    /// The parameter in which it names a wait, and its unit.
    pub wait: Option<(u16, Micros)>,
}

/// Reads the file.
pub fn read(path: &Path, names: &Names) -> Result<Smpp, String> {
    let shown = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| format!("cannot read {shown}: {e}"))?;
    parse(&text, shown, names)
}

/// Reads the text of a file.
pub fn parse(text: &str, shown: String, names: &Names) -> Result<Smpp, String> {
    let table: Table = text.parse().map_err(|e: ::toml::de::Error| format!("{shown}: {}", e.message()))?;
    let at = At(&table, shown);
    let mut clients = BTreeMap::new();
    for c in at.all("client")? {
        let tenant = c.text("tenant")?.unwrap_or("");
        if !tenant.is_empty() && !names.tenants.contains_key(tenant) {
            return Err(c.wrong("tenant", "named in the settings"));
        }
        clients.insert(c.must("system_id")?.to_owned(), tenant.to_owned());
    }
    let mut classes = BTreeMap::new();
    for c in at.all("class")? {
        c.known("class", &names.classes)?;
        classes.insert(c.text("service_type")?.unwrap_or("").to_owned(), c.must("class")?.to_owned());
    }
    let mut routes = BTreeMap::new();
    for r in at.all("route")? {
        routes.insert(r.text("prefix")?.unwrap_or("").to_owned(), r.whole("destination", 0)?);
    }
    let system_id = at.must("system_id")?.to_owned();
    let mut gateways = Vec::new();
    for g in at.all("gateway")? {
        let unit = match g.text("wait_unit")?.unwrap_or("ms") {
            "ms" => Micros(1000),
            "s" => Micros(1_000_000),
            _ => return Err(g.wrong("wait_unit", "\"ms\" or \"s\"")),
        };
        let tag = g.whole("wait_tlv", 0)?;
        let tag = u16::try_from(tag).map_err(|_| g.wrong("wait_tlv", "a tag"))?;
        gateways.push(Gateway {
            name: g.must("name")?.to_owned(),
            address: g.address("address")?,
            system_id: g.text("system_id")?.unwrap_or(&system_id).to_owned(),
            destination: g.whole("destination", 0)?,
            kind: g.known("kind", &names.kinds)?,
            zone: g.must("zone")?.to_owned(),
            zone_at: g.known("zone", &names.zones)?,
            weight: g.whole("rate", 0)? as f64,
            window: g.whole("window", 16)?.max(1) as usize,
            enquire: g.secs("enquire_link_s", 15.0)?,
            wait: (tag > 0).then_some((tag, unit)),
        });
    }
    Ok(Smpp {
        listen: at.address("listen")?,
        system_id,
        window: at.whole("window", 32)?.max(1) as usize,
        enquire: at.secs("enquire_link_s", 30.0)?,
        clients,
        classes,
        routes,
        gateways,
    })
}

impl Smpp {
    pub fn class(&self, service_type: &str) -> Option<&str> {
        self.classes.get(service_type).or_else(|| self.classes.get("")).map(String::as_str)
    }
    pub fn destination(&self, address: &str) -> Option<u64> {
        let fits = self.routes.iter().filter(|(prefix, _)| address.starts_with(prefix.as_str()));
        fits.max_by_key(|(prefix, _)| prefix.len()).map(|(_, d)| *d)
    }
}
