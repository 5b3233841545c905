//! A partner: one endpoint with a capacity, trouble on demand, and a cold return.

use super::{Runtime, sleep};
use crate::http::ServerConnection;
use async_io::Async;
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

/// How it treats what comes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    Well,
    /// 500 after so many seconds.
    Failing(f64),
    /// Takes everything and answers nothing.
    Hanging,
    /// 429 with this wait, in seconds, to everything.
    Full(f64),
    /// Came back at this time, and takes as much as it has warmed up to.
    Cold(f64),
    /// Was sent too much while cold, and stays down.
    Fallen,
}

/// What came: a probe, or a call with a message.
#[derive(Clone, Debug)]
pub struct Hit {
    pub at: f64,
    /// When it was answered, or its connection closed.
    pub until: f64,
    pub probe: bool,
    /// Of a probe.
    pub epoch: u64,
    pub status: u16,
}

/// Calls a second that it takes, and how it comes back.
#[derive(Clone, Copy, Debug)]
pub struct Strength {
    pub per_s: f64,
    pub cold_from: f64,
    pub warm_within: f64,
    pub fall_multiple: f64,
    pub fall_window: f64,
    /// How long a call takes, in seconds.
    pub service: f64,
}

impl Default for Strength {
    fn default() -> Strength {
        Strength {
            per_s: 20.0,
            cold_from: 0.17,
            warm_within: 12.0,
            fall_multiple: 2.0,
            fall_window: 3.0,
            service: 0.02,
        }
    }
}

pub struct Partner {
    pub destination: u64,
    pub address: SocketAddr,
    pub strength: Strength,
    pub mode: Cell<Mode>,
    pub hits: RefCell<Vec<Hit>>,
    world: Runtime,
}

impl Partner {
    pub fn start(world: &Runtime, destination: u64, strength: Strength) -> Result<Rc<Partner>, String> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).map_err(|e| e.to_string())?;
        let address = listener.get_ref().local_addr().map_err(|e| e.to_string())?;
        let (mode, hits) = (Cell::new(Mode::Well), RefCell::default());
        let partner = Rc::new(Partner { destination, address, strength, mode, hits, world: world.clone() });
        let this = partner.clone();
        world.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                this.world.spawn(this.clone().serve(ServerConnection::new(stream)));
            }
        });
        Ok(partner)
    }

    /// Calls a second that it can do at a time.
    pub fn capacity(&self, at: f64) -> f64 {
        let s = &self.strength;
        match self.mode.get() {
            Mode::Cold(since) => {
                let warm = ((at - since) / s.warm_within).clamp(0.0, 1.0);
                s.per_s * (s.cold_from + (1.0 - s.cold_from) * warm)
            }
            Mode::Well => s.per_s,
            _ => 0.0,
        }
    }

    async fn serve(self: Rc<Partner>, mut conn: ServerConnection) {
        while let Ok(Some(request)) = conn.next_request().await {
            let at = self.world.now();
            let probe = request.method == "GET";
            let stale;
            let n = {
                let mut hits = self.hits.borrow_mut();
                // It keeps the highest epoch that it has seen, and refuses what comes from an earlier lease.
                let seen = hits.iter().map(|h| h.epoch).max().unwrap_or(0);
                let epoch = request.epoch.unwrap_or(0);
                stale = probe && epoch < seen;
                hits.push(Hit { at, until: f64::INFINITY, probe, epoch, status: 0 });
                hits.len() - 1
            };
            let (status, headers, after) = if stale { (409, String::new(), 0.0) } else { self.judge(at) };
            // Whatever it does meanwhile, a call is over when its connection closes.
            let gone = if status == 0 {
                conn.wait_for_close().await;
                true
            } else {
                let waits = async {
                    sleep(after).await;
                    false
                };
                future::or(waits, async {
                    // A request that comes too early would be lost here; our daemons send one at a time.
                    conn.wait_for_close().await;
                    true
                })
                .await
            };
            {
                let mut hits = self.hits.borrow_mut();
                (hits[n].until, hits[n].status) = (self.world.now(), if gone { 0 } else { status });
            }
            if gone || conn.respond(status, &headers, "").await.is_err() {
                return;
            }
        }
    }

    fn judge(&self, at: f64) -> (u16, String, f64) {
        let s = &self.strength;
        match self.mode.get() {
            Mode::Well | Mode::Cold(_) => {
                let recent =
                    |span: f64| self.hits.borrow().iter().rev().take_while(|h| at - h.at < span).count();
                if let Mode::Cold(since) = self.mode.get() {
                    let most = s.fall_multiple * self.capacity(at) * s.fall_window;
                    if at - since >= s.fall_window && recent(s.fall_window) as f64 > most {
                        self.mode.set(Mode::Fallen);
                    }
                }
                // It counts in spans of a second; a cold one turns away what it is not warm for.
                if recent(1.0) as f64 > self.capacity(at).max(1.0) {
                    return (503, String::new(), 0.002);
                }
                (200, String::new(), s.service)
            }
            Mode::Failing(after) => (500, String::new(), after),
            Mode::Full(wait) => (429, format!("Retry-After: {wait:.3}\r\n"), 0.002),
            Mode::Hanging | Mode::Fallen => (0, String::new(), 0.0),
        }
    }

    /// When probes came, from one time to another.
    pub fn probes(&self, from: f64, to: f64) -> Vec<f64> {
        let hits = self.hits.borrow();
        hits.iter().filter(|h| h.probe && h.at >= from && h.at < to).map(|h| h.at).collect()
    }

    /// Pairs of probes that were out at the same moment.
    pub fn overlaps(&self) -> usize {
        let hits = self.hits.borrow();
        let probes: Vec<_> = hits.iter().filter(|h| h.probe).collect();
        (1..probes.len()).map(|i| probes[..i].iter().filter(|p| p.until > probes[i].at).count()).sum()
    }
}
