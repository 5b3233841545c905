//! Fetches the state of a running instance, and formats it for people.

use crate::clock::Clock;
use crate::net::http::client::Conn;
use onyxrock::interface::Micros;
use serde_json::Value;
use std::fmt::Write;
use std::net::SocketAddr;

/// How long an instance may take to answer.
const RESPONSE_TIMEOUT: Micros = Micros(2_000_000);
/// Longest answer that is read.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Fetches a path from the instance with this client address.
pub fn fetch(address: SocketAddr, path: &str) -> Result<Value, String> {
    let clock = Clock::default();
    let deadline = clock.now().plus(RESPONSE_TIMEOUT);
    let exchange = async {
        let mut conn = Conn::open(address, MAX_RESPONSE_BYTES).await?;
        let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
        conn.write(request.as_bytes()).await?;
        let answer = conn.read_head(&clock, deadline).await?;
        let (mut text, mut body) = (Vec::new(), conn.begin_body(&answer, MAX_RESPONSE_BYTES)?);
        while let Some(part) = conn.read_part(&mut body).await? {
            text.extend_from_slice(part);
        }
        Ok::<_, std::io::Error>((answer.status, text))
    };
    match async_io::block_on(clock.timeout_at(deadline, exchange)) {
        Some(Ok((200, body))) => {
            serde_json::from_slice(&body).map_err(|e| format!("{address}: {path} is not JSON: {e}"))
        }
        Some(Ok((404, _))) => Err(format!("{address}: there is no {path}; it runs without [duties]")),
        Some(Ok((code, _))) => Err(format!("{address}: {path}: answer {code}")),
        Some(Err(e)) => Err(format!("{address}: {e}")),
        None => Err(format!("{address}: no answer in time")),
    }
}

/// Formats a JSON value as a table cell.
fn cell(value: &Value) -> String {
    match value {
        Value::String(s) => s.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}

/// Formats rows under a heading, with columns as wide as their content.
fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let width =
        |i: usize| rows.iter().map(|row| row[i].chars().count()).chain([head[i].len()]).max().unwrap_or(0);
    let widths: Vec<_> = (0..head.len()).map(width).collect();
    let line = |cells: &mut dyn Iterator<Item = &str>| {
        let cells: Vec<_> = cells.zip(&widths).map(|(c, w)| format!("{c:<w$}")).collect();
        format!("{}\n", cells.join("  ").trim_end())
    };
    let mut out = line(&mut head.iter().copied());
    rows.iter().for_each(|row| out += &line(&mut row.iter().map(String::as_str)));
    out
}

/// Takes these keys of each object in a list.
fn rows(value: &Value, list: &str, keys: &[&str]) -> Vec<Vec<String>> {
    let all = value[list].as_array().map_or(&[][..], Vec::as_slice);
    all.iter().map(|row| keys.iter().map(|key| cell(&row[*key])).collect()).collect()
}

/// Formats `/members`.
pub fn members(value: &Value) -> String {
    let mut out =
        table(&["MEMBER", "ADDRESS", "ALIVE"], &rows(value, "members", &["name", "address", "alive"]));
    let pair = |key: &str| {
        format!("{} datagrams, {} bytes", cell(&value[key]["datagrams"]), cell(&value[key]["bytes"]))
    };
    let _ =
        writeln!(out, "seen by {}; sent {}; believed {}", cell(&value["me"]), pair("sent"), pair("believed"));
    if let Some(refused) = value["refused"].as_object().filter(|row| !row.is_empty()) {
        let all: Vec<_> = refused.iter().map(|(why, n)| format!("{why} {n}")).collect();
        let _ = writeln!(out, "dropped: {}", all.join(", "));
    }
    out
}

/// Formats the part of `/duties` that tells which member is the coordinator.
pub fn status(value: &Value) -> String {
    let coordinator = match (&value["coordinator"], &value["coordinator_epoch"]) {
        (Value::String(who), epoch) => format!("{who} leads, epoch {}", cell(epoch)),
        _ => "nobody is known to lead".to_owned(),
    };
    let votes = match &value["votes"] {
        Value::Bool(true) => "votes",
        Value::Bool(false) => "does not vote before the others have told their epochs",
        _ => "has no vote",
    };
    let (me, refused) = (cell(&value["me"]), cell(&value["fence_refused"]));
    let held_leases = value["owned"].as_array().map_or(0, Vec::len);
    format!(
        "{coordinator}\n{me} {votes}, holds {held_leases} leases, has kept epochs up to {}, refused {refused} of leases that were over\n",
        cell(&value["epoch_kept"])
    )
}

/// Formats `/duties`.
pub fn duties(value: &Value) -> String {
    let owned = rows(value, "owned", &["duty", "of", "held_for_ms", "ends_in_ms"]);
    let wanted: Vec<Vec<String>> = rows(value, "wanted", &["duty", "of", "first"])
        .into_iter()
        .map(|mut row| {
            let lease = owned.iter().find(|o| o[..2] == row[..2]);
            let text = lease.map_or(["-".to_owned(), "-".to_owned()], |o| [o[2].clone(), o[3].clone()]);
            row.extend(text);
            row
        })
        .collect();
    let mut out = table(&["DUTY", "OF", "WHOSE", "HELD FOR MS", "ENDS IN MS"], &wanted);
    let how = if value["alone"] == true { ", each instance on its own account" } else { "" };
    let _ = writeln!(
        out,
        "{}: {} of {} leases held here, {} won since the start; lease {} ms, gap {} ms{how}",
        cell(&value["me"]),
        owned.len(),
        wanted.len(),
        cell(&value["won"]),
        cell(&value["lease_ms"]),
        cell(&value["gap_ms"])
    );
    out
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn status_pages_are_formatted_as_aligned_columns() {
        let value = json!({"me": "n1", "members": [{"name": "n1", "address": "127.0.0.1:7946", "alive": true},
            {"name": "long-name", "address": "127.0.0.1:1", "alive": false}], "refused": {"forged": 3},
            "sent": {"datagrams": 5, "bytes": 500}, "believed": {"datagrams": 4, "bytes": 400}});
        let text = members(&value);
        let columns: Vec<_> = text.lines().take(3).map(|l| l.find("127").or(l.find("ADDRESS"))).collect();
        assert!(
            columns.iter().all(|column| *column == columns[0]) && text.contains("dropped: forged 3"),
            "{text}"
        );
        let coordinator = json!({"coordinator": "n2", "coordinator_epoch": 7, "me": "n1", "votes": true, "owned": [],
            "epoch_kept": 1006, "fence_refused": 3});
        let text = status(&coordinator);
        assert!(text.starts_with("n2 leads, epoch 7\nn1 votes, holds 0 leases"), "{text}");
        assert!(status(&json!({"me": "n1", "votes": false})).contains("lead\nn1 does not vote"));
        assert!(status(&json!({"me": "n4", "votes": null})).contains("lead\nn4 has no vote"));
        let value = json!({"me": "n1", "alone": false, "won": 2, "lease_ms": 3000, "gap_ms": 1100,
            "owned": [{"duty": "probe", "of": 7, "held_for_ms": 90, "ends_in_ms": 2500}],
            "wanted": [{"duty": "probe", "of": 7, "first": "n1"}, {"duty": "probe", "of": 8, "first": "n2"}]});
        let text = duties(&value);
        assert!(text.lines().nth(1).unwrap().ends_with("2500") && text.contains("1 of 2 leases"), "{text}");
    }
}
