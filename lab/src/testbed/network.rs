//! The network between daemons: one relay for each ordered pair. What may go wrong on it, [`Faults`] says.

use super::faults::{Fate, Faults};
use super::{Runtime, sleep};
use async_io::Async;
use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::rc::Rc;

/// A datagram whose machine stands still: from whom, to whom, by which relay.
type Held = (usize, usize, Rc<Async<UdpSocket>>, Vec<u8>);

pub struct Net {
    /// Where the first sends what is for the second.
    pub relays: Vec<Vec<SocketAddr>>,
    /// Where each listens now; it may start anew elsewhere.
    pub targets: Vec<Cell<Option<SocketAddr>>>,
    pub faults: Faults,
    /// What waits for its sender to go on, and by which relay it goes.
    held: RefCell<Vec<Held>>,
    pub datagrams: Cell<u64>,
    pub bytes: Cell<u64>,
}

impl Net {
    pub fn start(world: &Runtime, members: usize, seed: u64) -> Result<Rc<Net>, String> {
        let mut sockets = Vec::new();
        let mut relays = vec![Vec::new(); members];
        for (from, row) in relays.iter_mut().enumerate() {
            for to in 0..members {
                let at = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
                let socket = Async::<UdpSocket>::bind(at).map_err(|e| e.to_string())?;
                row.push(socket.get_ref().local_addr().map_err(|e| e.to_string())?);
                sockets.push((from, to, socket));
            }
        }
        let targets = (0..members).map(|_| Cell::new(None)).collect();
        let (datagrams, bytes) = (Cell::new(0), Cell::new(0));
        let (faults, held) = (Faults::new(seed), RefCell::default());
        let net = Rc::new(Net { relays, targets, faults, held, datagrams, bytes });
        for (from, to, socket) in sockets {
            let (net, w, socket) = (net.clone(), world.clone(), Rc::new(socket));
            world.spawn(async move {
                let mut data = [0; 2048];
                while let Ok((n, _)) = socket.recv_from(&mut data).await {
                    match net.faults.fate(from, to) {
                        Fate::Lost => {}
                        Fate::Held => {
                            net.held.borrow_mut().push((from, to, socket.clone(), data[..n].to_vec()))
                        }
                        Fate::Arrives(after) => {
                            for after in after {
                                if after <= 0.0 {
                                    net.pass(&socket, to, &data[..n]).await;
                                    continue;
                                }
                                let (net, socket, data) = (net.clone(), socket.clone(), data[..n].to_vec());
                                w.spawn(async move {
                                    sleep(after).await;
                                    net.pass(&socket, to, &data).await;
                                });
                            }
                        }
                    }
                }
            });
        }
        Ok(net)
    }

    async fn pass(&self, socket: &Async<UdpSocket>, to: usize, data: &[u8]) {
        if let Some(target) = self.targets[to].get() {
            self.datagrams.set(self.datagrams.get() + 1);
            self.bytes.set(self.bytes.get() + data.len() as u64);
            let _ = socket.send_to(data, target).await;
        }
    }

    /// The machine of this one goes on: what it had still to send leaves now. How much that was.
    pub async fn thaw(&self, from: usize) -> usize {
        self.faults.thaw(from);
        let all = std::mem::take(&mut *self.held.borrow_mut());
        let (theirs, others): (Vec<_>, Vec<_>) = all.into_iter().partition(|h| h.0 == from);
        self.held.borrow_mut().extend(others);
        for (_, to, socket, data) in &theirs {
            self.pass(socket, *to, data).await;
        }
        theirs.len()
    }

    /// Cuts every way between the two sides.
    pub fn split(&self, side: impl Fn(usize) -> bool) {
        let n = self.targets.len();
        let pairs = (0..n).flat_map(|a| (0..n).map(move |b| (a, b)));
        self.faults.cut(pairs.filter(|(a, b)| side(*a) != side(*b)));
    }
    pub fn heal(&self) {
        self.faults.heal();
    }
}
