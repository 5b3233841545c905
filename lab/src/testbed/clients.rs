//! Open-loop load: arrival times are drawn in advance, clients do not wait for responses, and each message
//! has its own connection.

use super::{Runtime, sleep};
use crate::http::send_request;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Clients that submit messages to the daemons of one experiment.
pub struct Clients {
    /// The client address of each daemon; `None` while the daemon is down.
    pub daemon_addresses: Vec<Cell<Option<SocketAddr>>>,
    /// Number of responses by HTTP status; status 0 counts requests without a response.
    pub status_counts: RefCell<BTreeMap<u16, u64>>,
}

impl Clients {
    /// Starts to submit `rate` messages a second to each daemon, spread evenly over the destinations. The
    /// intervals between messages are exponentially distributed.
    pub fn start(
        runtime: &Runtime, daemons: usize, destinations: &[u64], rate: f64, seed: u64,
    ) -> Rc<Clients> {
        let daemon_addresses = (0..daemons).map(|_| Cell::new(None)).collect();
        let clients = Rc::new(Clients { daemon_addresses, status_counts: RefCell::default() });
        for i in 0..daemons {
            let (clients, task_runtime, destinations) =
                (clients.clone(), runtime.clone(), destinations.to_vec());
            let mut rng = StdRng::seed_from_u64(seed.wrapping_add(i as u64));
            runtime.spawn(async move {
                let mut due = task_runtime.now();
                let mut number = 0u64;
                loop {
                    due += -rng.random_range(f64::MIN_POSITIVE..1.0f64).ln() / rate;
                    let destination = destinations[rng.random_range(0..destinations.len())];
                    sleep(due - task_runtime.now()).await;
                    number += 1;
                    let Some(daemon) = clients.daemon_addresses[i].get() else { continue };
                    let clients = clients.clone();
                    task_runtime.spawn(async move {
                        let status =
                            submit(daemon, &format!("m-{i}-{number}-{seed:x}"), destination, 4.0).await;
                        *clients.status_counts.borrow_mut().entry(status).or_default() += 1;
                    });
                }
            });
        }
        clients
    }
}

/// Submits one message whose deadline is in `left_s` seconds. Returns the HTTP status of the response,
/// or 0 if none arrived in time.
pub async fn submit(daemon: SocketAddr, id: &str, destination: u64, left_s: f64) -> u16 {
    let request = format!(
        "POST /status HTTP/1.1\r\nHost: app\r\nX-Request-Id: {id}\r\nX-Class: status\r\n\
         X-Deadline: {left_s:.3}\r\nX-Envelope: dest={destination}\r\nConnection: close\r\n\
         Content-Length: 2\r\n\r\nhi"
    );
    send_request(daemon, &request, Duration::from_millis(400)).await.map_or(0, |response| response.0)
}
