//! `[smpp]`: how the SMPP front listens, which gateways there are, and what fields mean.

use crate::product::{InvalidValue, Seconds};
use onyxrock::core::NameIndex;
use onyxrock::interface::Micros;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::{NonZeroU16, NonZeroU32};
use toml::Spanned;

#[derive(Clone, Debug)]
pub struct SmppSettings {
    pub listen: SocketAddr,
    /// Our name, on both sides.
    pub system_id: String,
    /// Submissions of one session that may be unanswered at once.
    pub window: usize,
    /// Silence after which a peer is asked whether it is there.
    pub enquire_link_interval: Micros,
    /// Who may bind, and whose messages those are.
    pub tenant_by_system_id: BTreeMap<String, String>,
    /// Class by service_type; the empty one stands for all others.
    pub class_by_service_type: BTreeMap<String, String>,
    /// Destination by the longest prefix of the destination address.
    pub destination_by_prefix: BTreeMap<String, u64>,
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
    pub zone_id: usize,
    pub weight: f64,
    pub window: usize,
    pub enquire_link_interval: Micros,
    /// The parameter in which it names a wait, and its unit.
    pub retry_after_tlv: Option<(u16, Micros)>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Raw {
    listen: SocketAddr,
    system_id: String,
    #[serde(default = "window")]
    window: NonZeroU32,
    #[serde(default = "enquire")]
    enquire_link_s: Seconds,
    #[serde(default)]
    client: Vec<RawClient>,
    #[serde(default)]
    class: Vec<RawClass>,
    #[serde(default)]
    route: Vec<RawRoute>,
    #[serde(default)]
    gateway: Vec<RawGateway>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawClient {
    system_id: String,
    tenant: Option<Spanned<String>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawClass {
    #[serde(default)]
    service_type: String,
    class: Spanned<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawRoute {
    #[serde(default)]
    prefix: String,
    destination: u64,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Unit {
    Ms,
    S,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawGateway {
    name: String,
    address: SocketAddr,
    system_id: Option<String>,
    destination: u64,
    kind: Spanned<String>,
    zone: Spanned<String>,
    #[serde(default)]
    rate: u32,
    #[serde(default = "gateway_window")]
    window: NonZeroU32,
    #[serde(default = "gateway_enquire")]
    enquire_link_s: Seconds,
    wait_tlv: Option<NonZeroU16>,
    #[serde(default = "ms")]
    wait_unit: Unit,
}

fn window() -> NonZeroU32 {
    const { NonZeroU32::new(32).unwrap() }
}
fn gateway_window() -> NonZeroU32 {
    const { NonZeroU32::new(16).unwrap() }
}
fn enquire() -> Seconds {
    Seconds(Micros(30_000_000))
}
fn gateway_enquire() -> Seconds {
    Seconds(Micros(15_000_000))
}
fn ms() -> Unit {
    Unit::Ms
}

/// Its place among names that the platform's settings state.
fn known(name: &Spanned<String>, names: &BTreeMap<String, usize>) -> Result<usize, InvalidValue> {
    let at = names.get(name.get_ref()).copied();
    at.ok_or_else(|| InvalidValue::new(name, format!("\"{}\" is not named in the settings", name.get_ref())))
}

impl Raw {
    pub(crate) fn check(self, names: &NameIndex) -> Result<SmppSettings, InvalidValue> {
        let mut clients = BTreeMap::new();
        for c in self.client {
            let tenant = c.tenant.filter(|t| !t.get_ref().is_empty());
            tenant.as_ref().map(|t| known(t, &names.tenants)).transpose()?;
            clients.insert(c.system_id, tenant.map(Spanned::into_inner).unwrap_or_default());
        }
        let mut classes = BTreeMap::new();
        for c in self.class {
            known(&c.class, &names.classes)?;
            classes.insert(c.service_type, c.class.into_inner());
        }
        let mut gateways = Vec::new();
        for g in self.gateway {
            let unit = match g.wait_unit {
                Unit::Ms => Micros(1000),
                Unit::S => Micros(1_000_000),
            };
            gateways.push(Gateway {
                name: g.name,
                address: g.address,
                system_id: g.system_id.unwrap_or_else(|| self.system_id.clone()),
                destination: g.destination,
                kind: known(&g.kind, &names.kinds)?,
                zone_id: known(&g.zone, &names.zones)?,
                zone: g.zone.into_inner(),
                weight: f64::from(g.rate),
                window: g.window.get() as usize,
                enquire_link_interval: g.enquire_link_s.0,
                retry_after_tlv: g.wait_tlv.map(|tag| (tag.get(), unit)),
            });
        }
        Ok(SmppSettings {
            listen: self.listen,
            system_id: self.system_id,
            window: self.window.get() as usize,
            enquire_link_interval: self.enquire_link_s.0,
            tenant_by_system_id: clients,
            class_by_service_type: classes,
            destination_by_prefix: self.route.into_iter().map(|r| (r.prefix, r.destination)).collect(),
            gateways,
        })
    }
}

impl SmppSettings {
    pub fn class_for(&self, service_type: &str) -> Option<&str> {
        self.class_by_service_type
            .get(service_type)
            .or_else(|| self.class_by_service_type.get(""))
            .map(String::as_str)
    }
    pub fn destination_for(&self, address: &str) -> Option<u64> {
        let fits =
            self.destination_by_prefix.iter().filter(|(prefix, _)| address.starts_with(prefix.as_str()));
        fits.max_by_key(|(prefix, _)| prefix.len()).map(|(_, d)| *d)
    }
}
