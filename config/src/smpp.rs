//! `[smpp]`: the SMPP frontend, the SMPP gateways, and the mapping of SMPP fields to tenants, classes and
//! destinations.

use crate::product::{InvalidValue, Seconds};
use onyxrock::core::NameIndex;
use onyxrock::interface::Micros;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::{NonZeroU16, NonZeroU32};
use toml::Spanned;

/// The checked section.
#[derive(Clone, Debug)]
pub struct SmppSettings {
    /// Address for SMPP clients.
    pub listen: SocketAddr,
    /// `system_id` of this forwarder, towards clients and gateways.
    pub system_id: String,
    /// Bound on the unanswered submissions of one session.
    pub window: usize,
    /// Silence after which an `enquire_link` is sent to a client.
    pub enquire_link_interval: Micros,
    /// Clients that may bind, each with the tenant of its messages (empty: none).
    pub tenant_by_system_id: BTreeMap<String, String>,
    /// Class by `service_type`; the empty one stands for all others.
    pub class_by_service_type: BTreeMap<String, String>,
    /// Destination by the longest prefix of the destination address.
    pub destination_by_prefix: BTreeMap<String, u64>,
    /// Gateways that messages are delivered to.
    pub gateways: Vec<Gateway>,
}

/// An SMPP gateway: an endpoint that no list names.
#[derive(Clone, Debug)]
pub struct Gateway {
    /// Unique name of the gateway.
    pub name: String,
    /// Address that sessions are opened to.
    pub address: SocketAddr,
    /// `system_id` that this forwarder binds with.
    pub system_id: String,
    /// Destination that the gateway serves.
    pub destination: u64,
    /// Index of its kind.
    pub kind: usize,
    /// Name of its zone.
    pub zone: String,
    /// Index of its zone.
    pub zone_id: usize,
    /// Rate that the gateway takes, in messages per second; 0: not stated.
    pub weight: f64,
    /// Bound on the unanswered submissions of one session.
    pub window: usize,
    /// Silence after which an `enquire_link` is sent to the gateway.
    pub enquire_link_interval: Micros,
    /// Tag of the optional parameter that carries a retry-after, and the unit of its value.
    pub retry_after_tlv: Option<(u16, Micros)>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Raw {
    listen: SocketAddr,
    system_id: String,
    #[serde(default = "default_window")]
    window: NonZeroU32,
    #[serde(default = "default_enquire_link")]
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
    #[serde(default = "default_gateway_window")]
    window: NonZeroU32,
    #[serde(default = "default_gateway_enquire_link")]
    enquire_link_s: Seconds,
    wait_tlv: Option<NonZeroU16>,
    #[serde(default = "default_wait_unit")]
    wait_unit: Unit,
}

fn default_window() -> NonZeroU32 {
    const { NonZeroU32::new(32).unwrap() }
}
fn default_gateway_window() -> NonZeroU32 {
    const { NonZeroU32::new(16).unwrap() }
}
fn default_enquire_link() -> Seconds {
    Seconds(Micros(30_000_000))
}
fn default_gateway_enquire_link() -> Seconds {
    Seconds(Micros(15_000_000))
}
fn default_wait_unit() -> Unit {
    Unit::Ms
}

/// The index of a name that the platform's settings define.
fn index_of(name: &Spanned<String>, names: &BTreeMap<String, usize>) -> Result<usize, InvalidValue> {
    let index = names.get(name.get_ref()).copied();
    index.ok_or_else(|| {
        InvalidValue::new(name, format!("\"{}\" is not named in the settings", name.get_ref()))
    })
}

impl Raw {
    pub(crate) fn check(self, names: &NameIndex) -> Result<SmppSettings, InvalidValue> {
        let mut tenant_by_system_id = BTreeMap::new();
        for client in self.client {
            let tenant = client.tenant.filter(|tenant| !tenant.get_ref().is_empty());
            tenant.as_ref().map(|tenant| index_of(tenant, &names.tenants)).transpose()?;
            tenant_by_system_id.insert(client.system_id, tenant.map(Spanned::into_inner).unwrap_or_default());
        }
        let mut class_by_service_type = BTreeMap::new();
        for mapping in self.class {
            index_of(&mapping.class, &names.classes)?;
            class_by_service_type.insert(mapping.service_type, mapping.class.into_inner());
        }
        let mut gateways = Vec::new();
        for gateway in self.gateway {
            let unit = match gateway.wait_unit {
                Unit::Ms => Micros(1000),
                Unit::S => Micros(1_000_000),
            };
            gateways.push(Gateway {
                name: gateway.name,
                address: gateway.address,
                system_id: gateway.system_id.unwrap_or_else(|| self.system_id.clone()),
                destination: gateway.destination,
                kind: index_of(&gateway.kind, &names.kinds)?,
                zone_id: index_of(&gateway.zone, &names.zones)?,
                zone: gateway.zone.into_inner(),
                weight: f64::from(gateway.rate),
                window: gateway.window.get() as usize,
                enquire_link_interval: gateway.enquire_link_s.0,
                retry_after_tlv: gateway.wait_tlv.map(|tag| (tag.get(), unit)),
            });
        }
        Ok(SmppSettings {
            listen: self.listen,
            system_id: self.system_id,
            window: self.window.get() as usize,
            enquire_link_interval: self.enquire_link_s.0,
            tenant_by_system_id,
            class_by_service_type,
            destination_by_prefix: self
                .route
                .into_iter()
                .map(|route| (route.prefix, route.destination))
                .collect(),
            gateways,
        })
    }
}

impl SmppSettings {
    /// The class for a `service_type`.
    pub fn class_for(&self, service_type: &str) -> Option<&str> {
        self.class_by_service_type
            .get(service_type)
            .or_else(|| self.class_by_service_type.get(""))
            .map(String::as_str)
    }
    /// The destination for a destination address, by its longest prefix.
    pub fn destination_for(&self, address: &str) -> Option<u64> {
        let matches =
            self.destination_by_prefix.iter().filter(|(prefix, _)| address.starts_with(prefix.as_str()));
        matches.max_by_key(|(prefix, _)| prefix.len()).map(|(_, destination)| *destination)
    }
}
