//! The network between daemons: one relay for each ordered pair, which can be cut.

use super::World;
use async_io::Async;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::rc::Rc;

pub struct Net {
    /// Where the first sends what is for the second.
    pub relays: Vec<Vec<SocketAddr>>,
    /// Where each listens now; it may start anew elsewhere.
    pub targets: Vec<Cell<Option<SocketAddr>>>,
    /// What the first says does not reach the second.
    pub cut: RefCell<BTreeSet<(usize, usize)>>,
    pub datagrams: Cell<u64>,
    pub bytes: Cell<u64>,
}

impl Net {
    pub fn start(world: &World, members: usize) -> Result<Rc<Net>, String> {
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
        let (cut, datagrams, bytes) = (RefCell::default(), Cell::new(0), Cell::new(0));
        let net = Rc::new(Net { relays, targets, cut, datagrams, bytes });
        for (from, to, socket) in sockets {
            let net = net.clone();
            world.spawn(async move {
                let mut data = [0; 2048];
                while let Ok((n, _)) = socket.recv_from(&mut data).await {
                    let target = net.targets[to].get().filter(|_| !net.cut.borrow().contains(&(from, to)));
                    if let Some(target) = target {
                        net.datagrams.set(net.datagrams.get() + 1);
                        net.bytes.set(net.bytes.get() + n as u64);
                        let _ = socket.send_to(&data[..n], target).await;
                    }
                }
            });
        }
        Ok(net)
    }

    /// Cuts every way between the two sides.
    pub fn split(&self, side: impl Fn(usize) -> bool) {
        let n = self.targets.len();
        let pairs = (0..n).flat_map(|a| (0..n).map(move |b| (a, b)));
        self.cut.borrow_mut().extend(pairs.filter(|(a, b)| side(*a) != side(*b)));
    }
    pub fn heal(&self) {
        self.cut.borrow_mut().clear();
    }
}
