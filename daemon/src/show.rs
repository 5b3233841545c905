//! What a running instance shows of itself, for people and for programs.

use crate::clock::Clock;
use crate::net::http::client::Conn;
use onyxrock::interface::Micros;
use serde_json::Value;
use std::fmt::Write;
use std::net::SocketAddr;

const PATIENCE: Micros = Micros(2_000_000);
const MOST: usize = 16 << 20;

/// Asks the instance whose clients' address this is.
pub fn fetch(at: SocketAddr, path: &str) -> Result<Value, String> {
    let clock = Clock::default();
    let by = clock.now().plus(PATIENCE);
    let asked = async {
        let mut conn = Conn::open(at, MOST).await?;
        let request = format!("GET {path} HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\n\r\n");
        conn.write(request.as_bytes()).await?;
        let answer = conn.read_head(&clock, by).await?;
        let (mut text, mut body) = (Vec::new(), conn.begin_body(&answer, MOST)?);
        while let Some(part) = conn.read_part(&mut body).await? {
            text.extend_from_slice(part);
        }
        Ok::<_, std::io::Error>((answer.status, text))
    };
    match async_io::block_on(clock.timeout_at(by, asked)) {
        Some(Ok((200, begin_body))) => {
            serde_json::from_slice(&begin_body).map_err(|e| format!("{at}: {path} is not JSON: {e}"))
        }
        Some(Ok((404, _))) => Err(format!("{at}: there is no {path}; it runs without [duties]")),
        Some(Ok((code, _))) => Err(format!("{at}: {path}: answer {code}")),
        Some(Err(e)) => Err(format!("{at}: {e}")),
        None => Err(format!("{at}: no answer in time")),
    }
}

fn cell(v: &Value) -> String {
    match v {
        Value::String(s) => s.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}

/// Rows under a heading, in columns as wide as what is in them.
fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let width =
        |i: usize| rows.iter().map(|r| r[i].chars().count()).chain([head[i].len()]).max().unwrap_or(0);
    let widths: Vec<_> = (0..head.len()).map(width).collect();
    let line = |cells: &mut dyn Iterator<Item = &str>| {
        let cells: Vec<_> = cells.zip(&widths).map(|(c, w)| format!("{c:<w$}")).collect();
        format!("{}\n", cells.join("  ").trim_end())
    };
    let mut out = line(&mut head.iter().copied());
    rows.iter().for_each(|r| out += &line(&mut r.iter().map(String::as_str)));
    out
}

fn rows(v: &Value, list: &str, keys: &[&str]) -> Vec<Vec<String>> {
    let all = v[list].as_array().map_or(&[][..], Vec::as_slice);
    all.iter().map(|r| keys.iter().map(|k| cell(&r[*k])).collect()).collect()
}

/// `/members` for people.
pub fn members(v: &Value) -> String {
    let mut out = table(&["MEMBER", "ADDRESS", "ALIVE"], &rows(v, "members", &["name", "address", "alive"]));
    let pair = |k: &str| format!("{} datagrams, {} bytes", cell(&v[k]["datagrams"]), cell(&v[k]["bytes"]));
    let _ = writeln!(out, "seen by {}; sent {}; believed {}", cell(&v["me"]), pair("sent"), pair("believed"));
    if let Some(refused) = v["refused"].as_object().filter(|r| !r.is_empty()) {
        let all: Vec<_> = refused.iter().map(|(why, n)| format!("{why} {n}")).collect();
        let _ = writeln!(out, "dropped: {}", all.join(", "));
    }
    out
}

/// What of `/duties` tells how the fleet is led, for people.
pub fn status(v: &Value) -> String {
    let led = match (&v["coordinator"], &v["coordinator_epoch"]) {
        (Value::String(who), epoch) => format!("{who} leads, epoch {}", cell(epoch)),
        _ => "nobody is known to lead".to_owned(),
    };
    let votes = match &v["votes"] {
        Value::Bool(true) => "votes",
        Value::Bool(false) => "does not vote before the others have told their epochs",
        _ => "has no vote",
    };
    let (me, refused) = (cell(&v["me"]), cell(&v["fence_refused"]));
    let held = v["owned"].as_array().map_or(0, Vec::len);
    format!(
        "{led}\n{me} {votes}, holds {held} leases, has kept epochs up to {}, refused {refused} of leases that were over\n",
        cell(&v["epoch_kept"])
    )
}

/// `/duties` for people.
pub fn duties(v: &Value) -> String {
    let owned = rows(v, "owned", &["duty", "of", "held_for_ms", "ends_in_ms"]);
    let wanted: Vec<Vec<String>> = rows(v, "wanted", &["duty", "of", "first"])
        .into_iter()
        .map(|mut r| {
            let lease = owned.iter().find(|o| o[..2] == r[..2]);
            let shown = lease.map_or(["-".to_owned(), "-".to_owned()], |o| [o[2].clone(), o[3].clone()]);
            r.extend(shown);
            r
        })
        .collect();
    let mut out = table(&["DUTY", "OF", "WHOSE", "HELD FOR MS", "ENDS IN MS"], &wanted);
    let how = if v["alone"] == true { ", each instance on its own account" } else { "" };
    let _ = writeln!(
        out,
        "{}: {} of {} leases held here, {} won since the start; lease {} ms, gap {} ms{how}",
        cell(&v["me"]),
        owned.len(),
        wanted.len(),
        cell(&v["won"]),
        cell(&v["lease_ms"]),
        cell(&v["gap_ms"])
    );
    out
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn tables_have_columns() {
        let v = json!({"me": "n1", "members": [{"name": "n1", "address": "127.0.0.1:7946", "alive": true},
            {"name": "long-name", "address": "127.0.0.1:1", "alive": false}], "refused": {"forged": 3},
            "sent": {"datagrams": 5, "bytes": 500}, "believed": {"datagrams": 4, "bytes": 400}});
        let shown = members(&v);
        let at: Vec<_> = shown.lines().take(3).map(|l| l.find("127").or(l.find("ADDRESS"))).collect();
        assert!(at.iter().all(|a| *a == at[0]) && shown.contains("dropped: forged 3"), "{shown}");
        let led = json!({"coordinator": "n2", "coordinator_epoch": 7, "me": "n1", "votes": true, "owned": [],
            "epoch_kept": 1006, "fence_refused": 3});
        let shown = status(&led);
        assert!(shown.starts_with("n2 leads, epoch 7\nn1 votes, holds 0 leases"), "{shown}");
        assert!(status(&json!({"me": "n1", "votes": false})).contains("lead\nn1 does not vote"));
        assert!(status(&json!({"me": "n4", "votes": null})).contains("lead\nn4 has no vote"));
        let v = json!({"me": "n1", "alone": false, "won": 2, "lease_ms": 3000, "gap_ms": 1100,
            "owned": [{"duty": "probe", "of": 7, "held_for_ms": 90, "ends_in_ms": 2500}],
            "wanted": [{"duty": "probe", "of": 7, "first": "n1"}, {"duty": "probe", "of": 8, "first": "n2"}]});
        let shown = duties(&v);
        assert!(
            shown.lines().nth(1).unwrap().ends_with("2500") && shown.contains("1 of 2 leases"),
            "{shown}"
        );
    }
}
