//! Clients that close their connection while the daemon has not read all that they sent.

#[allow(dead_code)] // this test uses a part of the harness; the scenarios use the rest
mod harness;

use harness::Harness;
use harness::pressure::submission;
use harness::smpp::encode_pdu;
use rstest::rstest;
use rustix::net::sockopt::set_socket_linger;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Requests that a client sends before it closes.
const REQUESTS: usize = 40;
/// A client's answers after it has closed, or the calls of its messages, would come within this time.
const QUIET_TIME: Duration = Duration::from_millis(500);

type Arrivals = Arc<Mutex<Vec<Instant>>>;

fn run_step(harness: &mut Harness, line: &str) {
    let words: Vec<&str> = line.split(' ').collect();
    harness.run_step(&words).unwrap_or_else(|e| panic!("{line}: {e}\n{}", harness.log()));
}

fn started_daemon() -> (Harness, Arrivals) {
    let mut harness = Harness::default();
    let arrivals = Arrivals::default();
    harness.add_accepting_endpoint("e1", "1", arrivals.clone());
    run_step(&mut harness, "send daemon start");
    run_step(&mut harness, "expect counter list_answers=1");
    // Calls go at once over a connection that is there.
    assert_eq!(harness.http_client().submit_all(&["status id=first dest=1".to_owned()]), 1);
    run_step(&mut harness, "expect counter delivered=1");
    (harness, arrivals)
}

/// submit_sm of class `status` to destination 1.
fn submit_sm(sequence: u32) -> Vec<u8> {
    let (addresses, rest) = (b"\0\0\0\0\x01\x011234\0", b"\0\0\0\0\0\0\0\0\0\x02ok");
    encode_pdu(0x04, 0, sequence, &[&addresses[..], rest].concat())
}

fn connected_http_client(harness: &Harness) -> TcpStream {
    TcpStream::connect(harness.addresses().http).unwrap()
}

fn bound_smpp_client(harness: &Harness) -> TcpStream {
    let mut client = TcpStream::connect(harness.addresses().smpp.unwrap()).unwrap();
    client.write_all(&encode_pdu(0x09, 0, 1, b"office\0\0\0\x34\0\0\0")).unwrap();
    let mut response = [0; 16];
    client.read_exact(&mut response).unwrap();
    assert_eq!(response[4..12], [0x80, 0, 0, 0x09, 0, 0, 0, 0], "bound");
    client
}

fn http_requests() -> Vec<u8> {
    (0..REQUESTS).flat_map(|n| submission(&format!("left{n}"), 10)).collect()
}

fn smpp_requests() -> Vec<u8> {
    (0..REQUESTS as u32).flat_map(|n| submit_sm(n + 2)).collect()
}

/// Guards against requests of a client that has left and that are sent on all the same: it was never told that they
/// were accepted, and may have handed them in elsewhere.
#[rstest]
#[case::http(connected_http_client, http_requests())]
#[case::smpp(bound_smpp_client, smpp_requests())]
fn requests_that_were_unread_when_their_client_closed_are_not_sent_on(
    #[case] connect: fn(&Harness) -> TcpStream, #[case] requests: Vec<u8>,
    #[values(false, true)] resets: bool,
) {
    let (mut harness, arrivals) = started_daemon();
    let mut client = connect(&harness);
    // The daemon stands still, so that all is unread when the client closes.
    run_step(&mut harness, "send daemon STOP");
    client.write_all(&requests).unwrap();
    if resets {
        set_socket_linger(&client, Some(Duration::ZERO)).unwrap();
    }
    drop(client);
    run_step(&mut harness, "send daemon CONT");
    std::thread::sleep(QUIET_TIME);
    assert_eq!(arrivals.lock().unwrap().len(), 1, "{}", harness.counters());
    assert_eq!(harness.counters()["taken"], 1);
}

/// Guards against a message that runs twice, as its id comes again after its client has left.
#[test]
fn an_id_that_comes_again_after_its_client_has_left_runs_once_at_most() {
    let (mut harness, arrivals) = started_daemon();
    for round in 0..REQUESTS {
        let mut client = connected_http_client(&harness);
        client.write_all(&submission(&format!("again{round}"), 10)).unwrap();
        // Some are gone before the daemon has read the request, some once it has been accepted.
        if round % 2 == 0 {
            let _ = client.read(&mut [0]);
        }
        drop(client);
        let _ = harness.http_client().submit_all(&[format!("status id=again{round} dest=1")]);
    }
    run_step(&mut harness, "send daemon TERM");
    run_step(&mut harness, "expect daemon exit 0");
    let calls = arrivals.lock().unwrap().len();
    assert!((1 + REQUESTS / 2..=1 + REQUESTS).contains(&calls), "{calls} calls");
}

/// A call of operators counts from the moment it was made, whether its caller stays for the answer or not.
#[test]
fn a_call_of_operators_is_carried_out_after_its_caller_has_left() {
    let mut harness = Harness::default();
    run_step(&mut harness, "given operators");
    run_step(&mut harness, "given endpoint e1 dest=1");
    run_step(&mut harness, "send daemon start");
    run_step(&mut harness, "expect counter list_answers=1");
    run_step(&mut harness, "send daemon STOP");
    let mut caller = TcpStream::connect(harness.addresses().operators.unwrap()).unwrap();
    caller.write_all(b"maint-on e1\n").unwrap();
    drop(caller);
    run_step(&mut harness, "send daemon CONT");
    run_step(&mut harness, "expect counter maintenance=1");
    run_step(&mut harness, "send c1 status id=m1 dest=1");
    run_step(&mut harness, "expect e1 nothing 500");
}
