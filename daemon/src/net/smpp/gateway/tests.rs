//! Sessions with a gateway, with the test in the place of the gateway and of the core.

use super::*;
use crate::net::smpp::tests::{UNKNOWN_PDU, running_state};
use crate::net::tests::assert_others_get_turns;
use onyxrock::interface::ReceiverId;
use rusmpp::pdus::BindTransceiverResp;
use std::io::{Read, Write};
use std::net::TcpListener;

const PDU_COUNT: u64 = 50;

fn gateway(listener: &TcpListener) -> Gateway {
    Gateway {
        name: "g1".to_owned(),
        address: listener.local_addr().unwrap(),
        system_id: "f1".to_owned(),
        destination: 1,
        kind: 0,
        zone: "z".to_owned(),
        zone_id: 0,
        weight: 0.0,
        window: 4,
        enquire_link_interval: Micros(30_000_000),
        retry_after_tlv: None,
    }
}

fn call(shared: &SharedState) -> OutboundCall {
    OutboundCall {
        endpoint: "g1".into(),
        number: 1,
        attempt: 0,
        receiver: ReceiverId(1),
        request_id: "m1".into(),
        idempotency_key: String::new(),
        frontend_note: String::new(),
        body: (*b"hello").into(),
        started: shared.clock.now(),
        timeout: Micros(20_000_000),
        unsafe_to_repeat: false,
        probe_path: None,
        cancellation: None,
    }
}

/// Accepts the session, and sends PDUs that the forwarder does not expect.
fn bind_and_flood(listener: &TcpListener) -> TcpStream {
    let mut stream = listener.accept().unwrap().0;
    let _ = stream.read(&mut [0; 1024]).unwrap();
    let resp = BindTransceiverResp::new(c_octet_string("g1"), Some(InterfaceVersion::Smpp3_4));
    let mut bytes = encode_pdu(CommandStatus::EsmeRok, 1, resp);
    bytes.extend(UNKNOWN_PDU.repeat(PDU_COUNT as usize));
    stream.write_all(&bytes).unwrap();
    stream
}

/// Guards against a gateway that sends PDUs faster than they are answered: no other actor ran meanwhile, and
/// no further call went out on the session.
#[test]
fn other_actors_run_between_two_pdus_of_a_gateway() {
    let (core, messages) = bounded(8);
    let (shared, _keep_running) = running_state(core);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mailbox = start(&shared, gateway(&listener), 8);
    (0..2).for_each(|_| mailbox.try_send(ToEndpoint::Call(Box::new(call(&shared)))).unwrap());
    let flood = std::thread::spawn(move || bind_and_flood(&listener));
    let bad_pdus_at_second_request = shared.executor.spawn({
        let shared = shared.clone();
        async move {
            for _ in 0..2 {
                let CoreMessage::RequestPermit { reply, .. } = messages.recv().await.unwrap() else {
                    panic!("no permit request")
                };
                reply.try_send(Err(Verdict::HeldBack)).unwrap();
                let CoreMessage::AttemptEnded(_) = messages.recv().await.unwrap() else {
                    panic!("no outcome")
                };
            }
            shared.counters.smpp_bad_pdus.get()
        }
    });
    assert_others_get_turns(&shared, |shared| &shared.counters.smpp_bad_pdus, PDU_COUNT);
    let count = async_io::block_on(shared.executor.run(bad_pdus_at_second_request));
    assert!(count < PDU_COUNT, "the second call had to wait for all {count} PDUs");
    drop(flood.join().unwrap());
}
