//! A partner: one endpoint with limited capacity that can fail on demand and comes back cold after an outage.

use super::{Runtime, sleep};
use crate::http::ServerConnection;
use async_io::Async;
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

/// How a partner responds to calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// Serves calls up to its full capacity.
    Healthy,
    /// Responds with 500 after this many seconds.
    Failing(f64),
    /// Accepts every call and never responds.
    Hanging,
    /// Responds to every call with 429 and this retry-after, in seconds.
    RetryAfter(f64),
    /// Came back at this time, and serves calls up to the capacity that it has warmed up to.
    WarmingUp(f64),
    /// Received too many calls while it was cold, and stays down.
    Collapsed,
}

/// A call that the partner received: a probe, or a call with a message.
#[derive(Clone, Debug)]
pub struct ReceivedCall {
    pub received_at: f64,
    /// When the partner responded or the connection closed; infinite while the call runs.
    pub ended_at: f64,
    pub is_probe: bool,
    /// The lease's epoch of a probe; 0 if the call has none.
    pub epoch: u64,
    /// HTTP status of the response; 0 if there was none.
    pub status: u16,
}

/// How many calls a partner can serve, and how its capacity returns after an outage.
#[derive(Clone, Copy, Debug)]
pub struct CapacityModel {
    /// Full capacity in calls a second.
    pub calls_per_s: f64,
    /// Share of the full capacity that is available right after the partner comes back.
    pub cold_start_share: f64,
    /// Time from the return to full capacity.
    pub warm_up_s: f64,
    /// The partner collapses if it receives more than this multiple of its capacity over `collapse_window_s`.
    pub collapse_multiple: f64,
    pub collapse_window_s: f64,
    /// How long a served call takes.
    pub service_time_s: f64,
}

impl Default for CapacityModel {
    fn default() -> CapacityModel {
        CapacityModel {
            calls_per_s: 20.0,
            cold_start_share: 0.17,
            warm_up_s: 12.0,
            collapse_multiple: 2.0,
            collapse_window_s: 3.0,
            service_time_s: 0.02,
        }
    }
}

/// An endpoint that records every call it receives.
pub struct Partner {
    pub destination: u64,
    /// Where the partner listens.
    pub address: SocketAddr,
    pub capacity_model: CapacityModel,
    pub mode: Cell<Mode>,
    /// All calls received so far, in the order of their arrival.
    pub calls: RefCell<Vec<ReceivedCall>>,
    runtime: Runtime,
}

impl Partner {
    /// Starts a healthy partner on loopback.
    pub fn start(
        runtime: &Runtime, destination: u64, capacity_model: CapacityModel,
    ) -> Result<Rc<Partner>, String> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).map_err(|e| e.to_string())?;
        let address = listener.get_ref().local_addr().map_err(|e| e.to_string())?;
        let (mode, calls) = (Cell::new(Mode::Healthy), RefCell::default());
        let partner =
            Rc::new(Partner { destination, address, capacity_model, mode, calls, runtime: runtime.clone() });
        let server = partner.clone();
        runtime.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                server.runtime.spawn(server.clone().serve(ServerConnection::new(stream)));
            }
        });
        Ok(partner)
    }

    /// Calls a second that the partner can serve at this time.
    pub fn capacity_at(&self, at: f64) -> f64 {
        let model = &self.capacity_model;
        match self.mode.get() {
            Mode::WarmingUp(since) => {
                let warm_share = ((at - since) / model.warm_up_s).clamp(0.0, 1.0);
                model.calls_per_s * (model.cold_start_share + (1.0 - model.cold_start_share) * warm_share)
            }
            Mode::Healthy => model.calls_per_s,
            _ => 0.0,
        }
    }

    /// Handles one connection.
    async fn serve(self: Rc<Partner>, mut connection: ServerConnection) {
        while let Ok(Some(request)) = connection.next_request().await {
            let received_at = self.runtime.now();
            let is_probe = request.method == "GET";
            let stale;
            let index = {
                let mut calls = self.calls.borrow_mut();
                // The partner keeps the highest epoch that it has seen, and refuses probes of an earlier
                // lease.
                let highest_epoch = calls.iter().map(|call| call.epoch).max().unwrap_or(0);
                let epoch = request.epoch.unwrap_or(0);
                stale = is_probe && epoch < highest_epoch;
                calls.push(ReceivedCall { received_at, ended_at: f64::INFINITY, is_probe, epoch, status: 0 });
                calls.len() - 1
            };
            let (status, headers, delay_s) =
                if stale { (409, String::new(), 0.0) } else { self.plan_response(received_at) };
            // A call ends when its connection closes, whatever the partner is doing at that moment.
            let closed = if status == 0 {
                connection.wait_for_close().await;
                true
            } else {
                let delay = async {
                    sleep(delay_s).await;
                    false
                };
                future::or(delay, async {
                    // A pipelined request would be lost here; the daemons send one request at a time.
                    connection.wait_for_close().await;
                    true
                })
                .await
            };
            {
                let mut calls = self.calls.borrow_mut();
                (calls[index].ended_at, calls[index].status) =
                    (self.runtime.now(), if closed { 0 } else { status });
            }
            if closed || connection.respond(status, &headers, "").await.is_err() {
                return;
            }
        }
    }

    /// Returns the status, the headers and the delay in seconds of the response to a call; status 0 means no
    /// response.
    fn plan_response(&self, at: f64) -> (u16, String, f64) {
        let model = &self.capacity_model;
        match self.mode.get() {
            Mode::Healthy | Mode::WarmingUp(_) => {
                let recent_calls = |span_s: f64| {
                    self.calls.borrow().iter().rev().take_while(|call| at - call.received_at < span_s).count()
                };
                if let Mode::WarmingUp(since) = self.mode.get() {
                    let max_calls = model.collapse_multiple * self.capacity_at(at) * model.collapse_window_s;
                    if at - since >= model.collapse_window_s
                        && recent_calls(model.collapse_window_s) as f64 > max_calls
                    {
                        self.mode.set(Mode::Collapsed);
                    }
                }
                // Capacity is enforced over spans of one second; calls above it are refused, also while
                // warming up.
                if recent_calls(1.0) as f64 > self.capacity_at(at).max(1.0) {
                    return (503, String::new(), 0.002);
                }
                (200, String::new(), model.service_time_s)
            }
            Mode::Failing(delay_s) => (500, String::new(), delay_s),
            Mode::RetryAfter(retry_after_s) => (429, format!("Retry-After: {retry_after_s:.3}\r\n"), 0.002),
            Mode::Hanging | Mode::Collapsed => (0, String::new(), 0.0),
        }
    }

    /// Arrival times of the probes from `from` up to, but not including, `to`.
    pub fn probe_times(&self, from: f64, to: f64) -> Vec<f64> {
        let calls = self.calls.borrow();
        calls
            .iter()
            .filter(|call| call.is_probe && call.received_at >= from && call.received_at < to)
            .map(|call| call.received_at)
            .collect()
    }

    /// Number of pairs of probes that ran at the same moment.
    pub fn overlapping_probes(&self) -> usize {
        let calls = self.calls.borrow();
        let probes: Vec<_> = calls.iter().filter(|call| call.is_probe).collect();
        (1..probes.len())
            .map(|i| probes[..i].iter().filter(|earlier| earlier.ended_at > probes[i].received_at).count())
            .sum()
    }
}
