//! Values of a deployment file, with the words to complain about them.

use ::toml::Table;
use onyxrock::interface::Micros;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A table, and where it stands.
pub struct At<'a>(pub &'a Table, pub String);

impl At<'_> {
    pub fn wrong(&self, key: &str, wanted: &str) -> String {
        format!("{}: {key} is not {wanted}", self.1)
    }
    pub fn text(&self, key: &str) -> Result<Option<&str>, String> {
        self.0.get(key).map(|v| v.as_str().ok_or_else(|| self.wrong(key, "text"))).transpose()
    }
    pub fn must(&self, key: &str) -> Result<&str, String> {
        self.text(key)?.ok_or_else(|| format!("{}: no {key}", self.1))
    }
    pub fn address(&self, key: &str) -> Result<SocketAddr, String> {
        self.must(key)?.parse().map_err(|_| self.wrong(key, "an address with a port"))
    }
    pub fn whole(&self, key: &str, or: u64) -> Result<u64, String> {
        let Some(v) = self.0.get(key) else { return Ok(or) };
        let n = v.as_integer().and_then(|n| u64::try_from(n).ok());
        n.ok_or_else(|| self.wrong(key, "a whole number"))
    }
    pub fn secs(&self, key: &str, or: f64) -> Result<Micros, String> {
        let Some(v) = self.0.get(key) else { return Ok(Micros::from_secs(or)) };
        let n = v.as_float().or(v.as_integer().map(|n| n as f64)).filter(|n| *n > 0.0);
        n.map(Micros::from_secs).ok_or_else(|| self.wrong(key, "a number of seconds"))
    }
    pub fn known(&self, key: &str, names: &BTreeMap<String, usize>) -> Result<usize, String> {
        let name = self.must(key)?;
        names.get(name).copied().ok_or_else(|| self.wrong(key, "named in the settings"))
    }
    pub fn all(&self, key: &str) -> Result<Vec<At<'_>>, String> {
        let Some(v) = self.0.get(key) else { return Ok(Vec::new()) };
        let items = v.as_array().ok_or_else(|| self.wrong(key, "a list of tables"))?;
        let place = |i: usize| format!("{}: {key} {}", self.1, i + 1);
        let mut all = Vec::new();
        for (i, item) in items.iter().enumerate() {
            all.push(At(item.as_table().ok_or_else(|| format!("{} is not a table", place(i)))?, place(i)));
        }
        Ok(all)
    }
}
