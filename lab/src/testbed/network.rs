//! The network between daemons: one UDP relay for each ordered pair of members, subject to [`Faults`].

use super::faults::{DatagramAction, Faults};
use super::{Runtime, sleep};
use async_io::Async;
use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::rc::Rc;

/// A datagram that waits because its source is frozen: the source, the target, the relay's socket, and the
/// data.
type HeldDatagram = (usize, usize, Rc<Async<UdpSocket>>, Vec<u8>);

/// The relays between all members, and counts of what they forwarded.
pub struct Network {
    /// `relays[a][b]` is the address to which member `a` sends the datagrams for member `b`.
    pub relays: Vec<Vec<SocketAddr>>,
    /// Where each member listens now; a restart may change the address.
    pub targets: Vec<Cell<Option<SocketAddr>>>,
    /// The faults that apply to each datagram.
    pub faults: Faults,
    /// Datagrams of members that are frozen.
    held: RefCell<Vec<HeldDatagram>>,
    /// Number of datagrams forwarded.
    pub forwarded_datagrams: Cell<u64>,
    /// Sum of the sizes of the forwarded datagrams.
    pub forwarded_bytes: Cell<u64>,
}

impl Network {
    /// Starts the relays between this many members.
    pub fn start(runtime: &Runtime, members: usize, seed: u64) -> Result<Rc<Network>, String> {
        let mut sockets = Vec::new();
        let mut relays = vec![Vec::new(); members];
        for (from, source_relays) in relays.iter_mut().enumerate() {
            for to in 0..members {
                let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
                let socket = Async::<UdpSocket>::bind(address).map_err(|e| e.to_string())?;
                source_relays.push(socket.get_ref().local_addr().map_err(|e| e.to_string())?);
                sockets.push((from, to, socket));
            }
        }
        let targets = (0..members).map(|_| Cell::new(None)).collect();
        let (forwarded_datagrams, forwarded_bytes) = (Cell::new(0), Cell::new(0));
        let (faults, held) = (Faults::new(seed), RefCell::default());
        let network =
            Rc::new(Network { relays, targets, faults, held, forwarded_datagrams, forwarded_bytes });
        for (from, to, socket) in sockets {
            let (network, task_runtime, socket) = (network.clone(), runtime.clone(), Rc::new(socket));
            runtime.spawn(async move {
                let mut data = [0; 2048];
                while let Ok((length, _)) = socket.recv_from(&mut data).await {
                    match network.faults.decide(from, to) {
                        DatagramAction::Drop => {}
                        DatagramAction::Hold => network.held.borrow_mut().push((
                            from,
                            to,
                            socket.clone(),
                            data[..length].to_vec(),
                        )),
                        DatagramAction::Deliver(delays_s) => {
                            for delay_s in delays_s {
                                if delay_s <= 0.0 {
                                    network.forward(&socket, to, &data[..length]).await;
                                    continue;
                                }
                                let (network, socket, data) =
                                    (network.clone(), socket.clone(), data[..length].to_vec());
                                task_runtime.spawn(async move {
                                    sleep(delay_s).await;
                                    network.forward(&socket, to, &data).await;
                                });
                            }
                        }
                    }
                }
            });
        }
        Ok(network)
    }

    async fn forward(&self, socket: &Async<UdpSocket>, to: usize, data: &[u8]) {
        if let Some(target) = self.targets[to].get() {
            self.forwarded_datagrams.set(self.forwarded_datagrams.get() + 1);
            self.forwarded_bytes.set(self.forwarded_bytes.get() + data.len() as u64);
            let _ = socket.send_to(data, target).await;
        }
    }

    /// Unfreezes a member and forwards the datagrams that were held for it. Returns their number.
    pub async fn release_held(&self, from: usize) -> usize {
        self.faults.unfreeze(from);
        let all = std::mem::take(&mut *self.held.borrow_mut());
        let (released, others): (Vec<_>, Vec<_>) = all.into_iter().partition(|held| held.0 == from);
        self.held.borrow_mut().extend(others);
        for (_, to, socket, data) in &released {
            self.forward(socket, *to, data).await;
        }
        released.len()
    }

    /// Cuts every link between members of the two sides, in both directions.
    pub fn partition(&self, side: impl Fn(usize) -> bool) {
        let members = self.targets.len();
        let pairs = (0..members).flat_map(|a| (0..members).map(move |b| (a, b)));
        self.faults.cut(pairs.filter(|(a, b)| side(*a) != side(*b)));
    }
    /// Removes all faults of the links; frozen members stay frozen.
    pub fn heal(&self) {
        self.faults.heal();
    }
}
