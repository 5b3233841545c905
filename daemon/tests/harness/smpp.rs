//! Simulated SMPP gateways (SMSCs) and clients (ESMEs). They encode SMPP v3.4 PDUs byte by byte, so that they
//! share no codec with the daemon under test.

use super::{PeerHandle, PeerRecorder, StepResult, option_value, write_bytes};
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};

/// SMPP command ids, and their names in scenarios.
const COMMAND_NAMES: [(u32, &str); 9] = [
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
/// SMPP command statuses, and their names in scenarios.
const STATUS_NAMES: [(u32, &str); 8] = [
    (0, "ok"),
    (0x03, "invalid_command"),
    (0x02, "invalid_length"),
    (0x04, "not_bound"),
    (0x0b, "bad_destination"),
    (0x0f, "unknown_system"),
    (0x14, "queue_full"),
    (0x58, "throttled"),
];

/// The name of a code, or its hexadecimal digits where the table has no name for it.
fn name_or_hex(table: &[(u32, &str)], code: u32) -> String {
    table.iter().find(|entry| entry.0 == code).map_or(format!("{code:x}"), |entry| entry.1.to_owned())
}

/// A PDU, encoded byte by byte.
pub fn encode_pdu(command_id: u32, status: u32, sequence: u32, body: &[u8]) -> Vec<u8> {
    let length = 16 + body.len() as u32;
    let header = [length, command_id, status, sequence];
    header.iter().flat_map(|n| n.to_be_bytes()).chain(body.iter().copied()).collect()
}

/// Reads one PDU: command id, status, sequence number and body; `None` once the connection has ended.
fn read_pdu(stream: &mut TcpStream) -> Option<(u32, u32, u32, Vec<u8>)> {
    let mut header = [0; 16];
    stream.read_exact(&mut header).ok()?;
    let field = |offset: usize| u32::from_be_bytes(header[offset..offset + 4].try_into().unwrap());
    let mut body = vec![0; field(0) as usize - 16];
    stream.read_exact(&mut body).ok()?;
    Some((field(4), field(8), field(12), body))
}

/// The text fields in the body of a submit_sm or deliver_sm: service type, source, destination, message.
fn text_fields(body: &[u8]) -> [String; 4] {
    let read_c_string = |offset: &mut usize| {
        let length = body[*offset..].iter().position(|b| *b == 0).unwrap();
        let text = String::from_utf8_lossy(&body[*offset..*offset + length]).into_owned();
        *offset += length + 1;
        text
    };
    let mut offset = 0;
    let service = read_c_string(&mut offset);
    offset += 2;
    let source = read_c_string(&mut offset);
    offset += 2;
    let destination = read_c_string(&mut offset);
    offset += 3;
    read_c_string(&mut offset);
    read_c_string(&mut offset);
    offset += 4;
    let length = body[offset] as usize;
    [
        service,
        source,
        destination,
        String::from_utf8_lossy(&body[offset + 1..offset + 1 + length]).into_owned(),
    ]
}

/// Starts a gateway. It responds to bind, enquire_link and unbind by itself. It records each submission as
/// `submit TEXT` and keeps the connection under that text, by which the scenario responds. Sessions are served one
/// after the other, so that the end of one is recorded before the begin of the next.
pub fn start_gateway(recorder: PeerRecorder) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            run_session(recorder.clone(), stream, "session");
        }
    });
    address
}

/// Starts a client that connects and sends nothing yet.
pub fn start_client(recorder: PeerRecorder, address: SocketAddr, name: &str) {
    let stream = TcpStream::connect(address).unwrap();
    recorder.keep_stream(name, &stream);
    let name = name.to_owned();
    std::thread::spawn(move || run_session(recorder, stream, &name));
}

/// Records the PDUs of one session, of a gateway or a client, until the connection ends.
fn run_session(recorder: PeerRecorder, mut stream: TcpStream, name: &str) {
    recorder.keep_stream(name, &stream);
    while let Some((command_id, status, sequence, body)) = read_pdu(&mut stream) {
        match command_id {
            0x09 => {
                recorder.record_event("bind");
                let _ = write_bytes(&mut stream, &encode_pdu(0x8000_0009, 0, sequence, b"smsc\0"));
            }
            0x15 => drop(write_bytes(&mut stream, &encode_pdu(0x8000_0015, 0, sequence, b""))),
            0x06 => {
                recorder.record_event("unbind");
                let _ = write_bytes(&mut stream, &encode_pdu(0x8000_0006, 0, sequence, b""));
            }
            0x04 => {
                let [_, source, destination, text] = text_fields(&body);
                recorder.keep_stream(&format!("{text}#{sequence}"), &stream);
                recorder.record_event(format!("submit {text} from={source} to={destination}"));
            }
            0x05 => {
                let [_, source, destination, text] = text_fields(&body);
                let receipt_status = text.split_once("stat:").map_or("", |t| t.1);
                recorder.keep_stream(&format!("receipt#{sequence}"), &stream);
                recorder.record_event(format!("receipt {receipt_status} from={source} to={destination}"));
            }
            _ if command_id >= 0x8000_0000 => {
                let command = name_or_hex(
                    &COMMAND_NAMES,
                    if command_id == 0x8000_0000 { command_id } else { command_id & 0xff },
                );
                recorder.record_event(format!("{command} {}", name_or_hex(&STATUS_NAMES, status)));
            }
            _ => recorder.record_event(format!("command {command_id:x}")),
        }
    }
    recorder.record_event("closed");
}

/// Sends one PDU. Clients: `bind SYSTEM`, `bind_transmitter SYSTEM`, `submit TEXT to=ADDRESS [service=S
/// validity=V]`, `ack`, `unbind`, `enquire_link`, `raw HEX`. Gateways: `TEXT STATUS [wait=MS]` responds to
/// the submission with this text. `split` before any of these writes the PDU in two pieces.
pub fn send_pdu(peer: &PeerHandle, name: &str, words: &[&str]) -> StepResult {
    let (split, words) = match words {
        ["split", rest @ ..] => (true, rest),
        all => (false, all),
    };
    let own_stream = || {
        peer.streams
            .lock()
            .unwrap()
            .get(name)
            .map(|s| s.try_clone().unwrap())
            .ok_or("the peer's connection is closed")
    };
    let c_string = |text: &str| [text.as_bytes(), &[0]].concat();
    let (mut stream, bytes) = match words {
        ["bind", system] => (own_stream()?, encode_pdu(0x09, 0, 1, &bind_body(system))),
        ["bind_transmitter", system] => (own_stream()?, encode_pdu(0x02, 0, 1, &bind_body(system))),
        ["enquire_link"] => (own_stream()?, encode_pdu(0x15, 0, 7, b"")),
        ["unbind"] => (own_stream()?, encode_pdu(0x06, 0, 8, b"")),
        ["raw", hex] => {
            let byte_at = |index: usize| u8::from_str_radix(&hex[index..index + 2], 16).unwrap();
            (own_stream()?, (0..hex.len()).step_by(2).map(byte_at).collect())
        }
        ["submit", message, rest @ ..] => {
            let mut body = c_string(option_value(rest, "service").unwrap_or(""));
            body.extend([1, 1]);
            body.extend(c_string("7700"));
            body.extend([1, 1]);
            body.extend(c_string(option_value(rest, "to").ok_or("a submission needs to=ADDRESS")?));
            body.extend([0, 0, 0, 0]);
            body.extend(c_string(option_value(rest, "validity").unwrap_or("")));
            body.extend([1, 0, 0, 0, message.len() as u8]);
            body.extend(message.as_bytes());
            (own_stream()?, encode_pdu(0x04, 0, 9, &body))
        }
        ["ack"] => {
            let (sequence, stream) = take_pending(peer, "receipt")?;
            (stream, encode_pdu(0x8000_0005, 0, sequence, &[0]))
        }
        [message, status, rest @ ..] => {
            let (sequence, stream) = take_pending(peer, message)?;
            if *status == "drop" {
                return stream.shutdown(std::net::Shutdown::Both).map_err(|e| e.to_string());
            }
            let code = STATUS_NAMES.iter().find(|entry| entry.1 == *status).ok_or("unknown SMPP status")?.0;
            let mut body = if code == 0 { b"id7\0".to_vec() } else { vec![0] };
            if let Some(wait_ms) = option_value(rest, "wait") {
                let wait_ms: u32 = wait_ms.parse().map_err(|_| "`wait` needs a number of milliseconds")?;
                body.extend([0x14, 0x03, 0, 4]);
                body.extend(wait_ms.to_be_bytes());
            }
            (stream, encode_pdu(0x8000_0004, code, sequence, &body))
        }
        _ => return Err("the step names no PDU".into()),
    };
    if split {
        let half = bytes.len() / 2;
        write_bytes(&mut stream, &bytes[..half])?;
        // Without a pause both halves may travel in one segment.
        std::thread::sleep(std::time::Duration::from_millis(30));
        return write_bytes(&mut stream, &bytes[half..]);
    }
    write_bytes(&mut stream, &bytes)
}

/// The body of a bind request with this system id and an empty password.
fn bind_body(system: &str) -> Vec<u8> {
    [system.as_bytes(), b"\0\0\0\x34\0\0\0"].concat()
}

/// Takes the first connection, by its key, with a PDU of this text that has no response yet, and the PDU's
/// sequence number.
fn take_pending(peer: &PeerHandle, text: &str) -> Result<(u32, TcpStream), String> {
    let mut streams = peer.streams.lock().unwrap();
    let key = streams.keys().filter(|k| k.starts_with(&format!("{text}#"))).min().cloned();
    let key = key.ok_or_else(|| format!("no PDU {text} waits for a response"))?;
    let sequence = key.rsplit('#').next().and_then(|s| s.parse().ok()).unwrap();
    Ok((sequence, streams.remove(&key).unwrap()))
}
