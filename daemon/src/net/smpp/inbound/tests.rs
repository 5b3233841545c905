//! SMPP sessions of clients, with the test in the place of the client.

use super::*;
use crate::net::smpp::tests::{UNKNOWN_PDU, running_state};
use crate::net::tests::assert_others_get_turns;
use std::io::Write;

fn frontend(shared: &Rc<SharedState>) -> Rc<Frontend> {
    let smpp = SmppSettings {
        listen: ([127, 0, 0, 1], 0).into(),
        system_id: "f1".to_owned(),
        window: 4,
        enquire_link_interval: Micros(30_000_000),
        tenant_by_system_id: BTreeMap::new(),
        class_by_service_type: BTreeMap::new(),
        destination_by_prefix: BTreeMap::new(),
        gateways: Vec::new(),
    };
    let (shared, receipts) = (shared.clone(), bounded(1).0);
    Rc::new(Frontend { shared, smpp, give_up_after: BTreeMap::new(), receipts })
}

/// Guards against a client that sends PDUs faster than they are answered: no other actor ran meanwhile.
#[test]
fn other_actors_run_between_two_pdus_of_a_client() {
    const PDU_COUNT: u64 = 50;
    let (shared, _keep_running) = running_state(bounded(1).0);
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let mut client = TcpStream::connect(listener.get_ref().local_addr().unwrap()).unwrap();
    client.write_all(&UNKNOWN_PDU.repeat(PDU_COUNT as usize)).unwrap();
    let (_keep_open, stop) = bounded(1);
    shared.executor.spawn(listen(frontend(&shared), listener, stop)).detach();
    assert_others_get_turns(&shared, |shared| &shared.counters.smpp_bad_pdus, PDU_COUNT);
}

/// Guards against clients that connect faster than they are turned away: no other actor ran meanwhile.
#[test]
fn other_actors_run_between_two_connections() {
    const CONNECTION_COUNT: u64 = 50;
    let (shared, _keep_running) = running_state(bounded(1).0);
    shared.counters.inbound_open.set(shared.connection_limits.max_inbound() as usize);
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    let _clients: Vec<_> = (0..CONNECTION_COUNT).map(|_| TcpStream::connect(address).unwrap()).collect();
    let (_keep_open, stop) = bounded(1);
    shared.executor.spawn(listen(frontend(&shared), listener, stop)).detach();
    assert_others_get_turns(&shared, |shared| &shared.counters.inbound_turned_away, CONNECTION_COUNT);
}
