//! An SMSC and its clients, written from SMPP v3.4 byte by byte, so that they share no codec with the program.

use super::{Done, Inbox, Post, value, write};
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};

const NAMES: [(u32, &str); 9] = [
    (0x01, "bind_receiver"),
    (0x02, "bind_transmitter"),
    (0x04, "submit"),
    (0x05, "deliver"),
    (0x06, "unbind"),
    (0x09, "bind"),
    (0x15, "enquire_link"),
    (0x8000_0000, "generic_nack"),
    (0x8000_0005, "deliver_resp"),
];
const STATUSES: [(u32, &str); 8] = [
    (0, "ok"),
    (0x03, "invalid_command"),
    (0x02, "invalid_length"),
    (0x04, "not_bound"),
    (0x0b, "bad_destination"),
    (0x0f, "unknown_system"),
    (0x14, "queue_full"),
    (0x58, "throttled"),
];

fn name(table: &[(u32, &str)], n: u32) -> String {
    table.iter().find(|t| t.0 == n).map_or(format!("{n:x}"), |t| t.1.to_owned())
}

fn pdu(id: u32, status: u32, sequence: u32, body: &[u8]) -> Vec<u8> {
    let length = 16 + body.len() as u32;
    let head = [length, id, status, sequence];
    head.iter().flat_map(|n| n.to_be_bytes()).chain(body.iter().copied()).collect()
}

fn read(from: &mut TcpStream) -> Option<(u32, u32, u32, Vec<u8>)> {
    let mut head = [0; 16];
    from.read_exact(&mut head).ok()?;
    let n = |at: usize| u32::from_be_bytes(head[at..at + 4].try_into().unwrap());
    let mut body = vec![0; n(0) as usize - 16];
    from.read_exact(&mut body).ok()?;
    Some((n(4), n(8), n(12), body))
}

/// The texts of a submit_sm or deliver_sm: service type, source, destination, message.
fn texts(body: &[u8]) -> [String; 4] {
    let text = |at: &mut usize| {
        let end = body[*at..].iter().position(|b| *b == 0).unwrap();
        let t = String::from_utf8_lossy(&body[*at..*at + end]).into_owned();
        *at += end + 1;
        t
    };
    let mut at = 0;
    let service = text(&mut at);
    at += 2;
    let source = text(&mut at);
    at += 2;
    let destination = text(&mut at);
    at += 3;
    text(&mut at);
    text(&mut at);
    at += 4;
    let length = body[at] as usize;
    [service, source, destination, String::from_utf8_lossy(&body[at + 1..at + 1 + length]).into_owned()]
}

/// A gateway. It answers binds and enquiries by itself unless it is told to be mute, and tells of submissions
/// as `submit TEXT`; the scenario answers those by their text. Keeps each connection under that text.
pub fn gateway(post: Post) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let post = post.clone();
            std::thread::spawn(move || peer(post, stream, "session"));
        }
    });
    address
}

pub fn client(post: Post, to: SocketAddr, who: &str) {
    let stream = TcpStream::connect(to).unwrap();
    post.keep(who, &stream);
    let who = who.to_owned();
    std::thread::spawn(move || peer(post, stream, &who));
}

fn peer(post: Post, mut stream: TcpStream, who: &str) {
    post.keep(who, &stream);
    while let Some((id, status, sequence, body)) = read(&mut stream) {
        match id {
            0x09 => {
                post.tell("bind");
                let _ = write(&mut stream, &pdu(0x8000_0009, 0, sequence, b"smsc\0"));
            }
            0x15 => drop(write(&mut stream, &pdu(0x8000_0015, 0, sequence, b""))),
            0x06 => {
                post.tell("unbind");
                let _ = write(&mut stream, &pdu(0x8000_0006, 0, sequence, b""));
            }
            0x04 => {
                let [_, source, destination, text] = texts(&body);
                post.keep(&format!("{text}#{sequence}"), &stream);
                post.tell(format!("submit {text} from={source} to={destination}"));
            }
            0x05 => {
                let [_, source, destination, text] = texts(&body);
                let stat = text.split_once("stat:").map_or("", |t| t.1);
                post.keep(&format!("receipt#{sequence}"), &stream);
                post.tell(format!("receipt {stat} from={source} to={destination}"));
            }
            _ if id >= 0x8000_0000 => {
                let what = name(&NAMES, if id == 0x8000_0000 { id } else { id & 0xff });
                post.tell(format!("{what} {}", name(&STATUSES, status)));
            }
            _ => post.tell(format!("command {id:x}")),
        }
    }
    post.tell("closed");
}

/// Clients: `bind SYSTEM`, `bind_transmitter SYSTEM`, `submit TEXT to=ADDRESS [service=S validity=V]`, `ack`,
/// `unbind`, `enquire_link`, `raw HEX`. Gateways: `TEXT STATUS [wait=MS]`; `split` before either writes it in
/// two pieces.
pub fn send(who: &Inbox, name: &str, words: &[&str]) -> Done {
    let (split, words) = match words {
        ["split", rest @ ..] => (true, rest),
        all => (false, all),
    };
    let own = || who.streams.lock().unwrap().get(name).map(|s| s.try_clone().unwrap()).ok_or("closed");
    let text = |t: &str| [t.as_bytes(), &[0]].concat();
    let (mut stream, bytes) = match words {
        ["bind", system] => (own()?, pdu(0x09, 0, 1, &bind(system))),
        ["bind_transmitter", system] => (own()?, pdu(0x02, 0, 1, &bind(system))),
        ["enquire_link"] => (own()?, pdu(0x15, 0, 7, b"")),
        ["unbind"] => (own()?, pdu(0x06, 0, 8, b"")),
        ["raw", hex] => {
            let byte = |i: usize| u8::from_str_radix(&hex[i..i + 2], 16).unwrap();
            (own()?, (0..hex.len()).step_by(2).map(byte).collect())
        }
        ["submit", message, rest @ ..] => {
            let mut body = text(value(rest, "service").unwrap_or(""));
            body.extend([1, 1]);
            body.extend(text("7700"));
            body.extend([1, 1]);
            body.extend(text(value(rest, "to").ok_or("to whom?")?));
            body.extend([0, 0, 0, 0]);
            body.extend(text(value(rest, "validity").unwrap_or("")));
            body.extend([1, 0, 0, 0, message.len() as u8]);
            body.extend(message.as_bytes());
            (own()?, pdu(0x04, 0, 9, &body))
        }
        ["ack"] => {
            let (key, stream) = take(who, "receipt")?;
            (stream, pdu(0x8000_0005, 0, key, &[0]))
        }
        [message, status, rest @ ..] => {
            let (sequence, stream) = take(who, message)?;
            if *status == "drop" {
                return stream.shutdown(std::net::Shutdown::Both).map_err(|e| e.to_string());
            }
            let code = STATUSES.iter().find(|s| s.1 == *status).ok_or("which status?")?.0;
            let mut body = if code == 0 { b"id7\0".to_vec() } else { vec![0] };
            if let Some(ms) = value(rest, "wait") {
                let ms: u32 = ms.parse().map_err(|_| "wait how long?")?;
                body.extend([0x14, 0x03, 0, 4]);
                body.extend(ms.to_be_bytes());
            }
            (stream, pdu(0x8000_0004, code, sequence, &body))
        }
        _ => return Err("send what?".into()),
    };
    if split {
        let half = bytes.len() / 2;
        write(&mut stream, &bytes[..half])?;
        std::thread::sleep(std::time::Duration::from_millis(30)); // else both halves travel as one
        return write(&mut stream, &bytes[half..]);
    }
    write(&mut stream, &bytes)
}

fn bind(system: &str) -> Vec<u8> {
    [system.as_bytes(), b"\0\0\0\x34\0\0\0"].concat()
}

/// The oldest connection kept for this text, and the sequence number there.
fn take(who: &Inbox, text: &str) -> Result<(u32, TcpStream), String> {
    let mut streams = who.streams.lock().unwrap();
    let key = streams.keys().filter(|k| k.starts_with(&format!("{text}#"))).min().cloned();
    let key = key.ok_or_else(|| format!("no {text} is out"))?;
    let sequence = key.rsplit('#').next().and_then(|s| s.parse().ok()).unwrap();
    Ok((sequence, streams.remove(&key).unwrap()))
}
