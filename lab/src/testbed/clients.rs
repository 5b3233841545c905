//! Load that does not wait for answers: arrivals are drawn ahead, and each message has a connection of its own.

use super::{Runtime, sleep};
use crate::http::send_request;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

pub struct Clients {
    /// Where each daemon is; none while it is down.
    pub at: Vec<Cell<Option<SocketAddr>>>,
    /// Answers by status; 0 for none.
    pub answers: RefCell<BTreeMap<u16, u64>>,
}

impl Clients {
    /// `rate` messages a second at each daemon, spread over the destinations; intervals are exponential.
    pub fn start(world: &Runtime, daemons: usize, destinations: &[u64], rate: f64, seed: u64) -> Rc<Clients> {
        let at = (0..daemons).map(|_| Cell::new(None)).collect();
        let clients = Rc::new(Clients { at, answers: RefCell::default() });
        for i in 0..daemons {
            let (this, w, destinations) = (clients.clone(), world.clone(), destinations.to_vec());
            let mut dice = StdRng::seed_from_u64(seed.wrapping_add(i as u64));
            world.spawn(async move {
                let mut due = w.now();
                let mut n = 0u64;
                loop {
                    due += -dice.random_range(f64::MIN_POSITIVE..1.0f64).ln() / rate;
                    let to = destinations[dice.random_range(0..destinations.len())];
                    sleep(due - w.now()).await;
                    n += 1;
                    let Some(daemon) = this.at[i].get() else { continue };
                    let this = this.clone();
                    w.spawn(async move {
                        let status = hand_in(daemon, &format!("m-{i}-{n}-{seed:x}"), to, 4.0).await;
                        *this.answers.borrow_mut().entry(status).or_default() += 1;
                    });
                }
            });
        }
        clients
    }
}

/// Hands one message in that may be delivered for so many seconds: the status of its answer, 0 where none came in time.
pub async fn hand_in(daemon: SocketAddr, id: &str, destination: u64, left: f64) -> u16 {
    let request = format!(
        "POST /status HTTP/1.1\r\nHost: app\r\nX-Request-Id: {id}\r\nX-Class: status\r\nX-Deadline: {left:.3}\r\n\
         X-Envelope: dest={destination}\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi"
    );
    send_request(daemon, &request, Duration::from_millis(400)).await.map_or(0, |a| a.0)
}
