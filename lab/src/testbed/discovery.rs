//! The stand-in for discovery: it serves the endpoint list and accepts the platform's notices.

use super::partner::Partner;
use super::{Runtime, sleep};
use crate::http::ServerConnection;
use async_io::Async;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

/// A discovery server with long polling. It lists the partners, or a list that the experiment published.
pub struct Discovery {
    /// Where the server listens.
    pub address: SocketAddr,
    partners: Vec<Rc<Partner>>,
    generation: Cell<u64>,
    /// Lifecycle state by destination, for partners that are not `Ready`.
    lifecycles: RefCell<std::collections::BTreeMap<u64, &'static str>>,
    /// A list built in advance that replaces the list of partners: many destinations over few listeners.
    prepared_list: RefCell<Option<PreparedList>>,
    /// Number of requests for the list received so far.
    pub list_requests: Cell<u64>,
    /// The highest epoch under which any forwarder has requested the list.
    highest_epoch: Cell<u64>,
    /// Requests that came under a lower epoch than an earlier one: how many came, and how many of them were
    /// refused.
    pub stale_requests: Cell<(usize, usize)>,
}

/// Response bodies of a published list: the complete list, and the change since the previous generation if
/// one was given.
struct PreparedList {
    complete: Rc<str>,
    change: Option<Rc<str>>,
}

/// Returns the JSON of one entry of a list that is built in advance.
pub fn entry_json(name: &str, at: SocketAddr, destination: u64, state: &str, weight: f64) -> String {
    format!(
        "{{\"instanceId\":\"{name}\",\"hostPort\":\"{at}\",\"zone\":\"floor-2\",\"machineType\":\"club\",\
         \"cell\":{destination},\"lifecycle\":\"{state}\",\"weight\":{weight},\"startedAtMs\":0}}"
    )
}

impl Discovery {
    /// Starts a server on loopback that lists these partners.
    pub fn start(runtime: &Runtime, partners: &[Rc<Partner>]) -> Result<Rc<Discovery>, String> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).map_err(|e| e.to_string())?;
        let address = listener.get_ref().local_addr().map_err(|e| e.to_string())?;
        let discovery = Discovery {
            address,
            partners: partners.to_vec(),
            generation: Cell::new(1),
            lifecycles: RefCell::default(),
            prepared_list: RefCell::default(),
            list_requests: Cell::new(0),
            highest_epoch: Cell::new(0),
            stale_requests: Cell::default(),
        };
        let discovery = Rc::new(discovery);
        let (server, task_runtime) = (discovery.clone(), runtime.clone());
        runtime.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                task_runtime.spawn(server.clone().serve(ServerConnection::new(stream)));
            }
        });
        Ok(discovery)
    }

    /// Returns the complete list of the partners.
    pub fn list_json(&self) -> Value {
        let lifecycles = self.lifecycles.borrow();
        let lifecycle =
            |partner: &Rc<Partner>| lifecycles.get(&partner.destination).copied().unwrap_or("Ready");
        let entry = |partner: &Rc<Partner>| {
            json!({"instanceId": format!("e-{}", partner.destination),
                "hostPort": partner.address.to_string(), "zone": "floor-2", "machineType": "club",
                "cell": partner.destination, "lifecycle": lifecycle(partner),
                "weight": partner.capacity_model.calls_per_s, "startedAtMs": 0})
        };
        let entries: Vec<_> = self.partners.iter().map(entry).collect();
        json!({"generation": self.generation.get(), "reset": true, "instances": entries})
    }

    /// Sets the lifecycle state that the list gives for a partner, as a new generation.
    pub fn set_lifecycle(&self, destination: u64, lifecycle: &'static str) {
        self.lifecycles.borrow_mut().insert(destination, lifecycle);
        self.generation.set(self.generation.get() + 1);
    }

    /// Replaces the list with these entries, as a new generation. A client at the previous generation gets
    /// `change` instead, if one is given.
    pub fn publish(&self, complete: &[String], change: Option<&[String]>) {
        let generation = self.generation.get() + 1;
        let body = |reset: bool, entries: &[String]| -> Rc<str> {
            let entries = entries.join(",");
            format!("{{\"generation\":{generation},\"reset\":{reset},\"instances\":[{entries}]}}").into()
        };
        let prepared =
            PreparedList { complete: body(true, complete), change: change.map(|c| body(false, c)) };
        *self.prepared_list.borrow_mut() = Some(prepared);
        self.generation.set(generation);
    }

    /// Returns the response body for a client that has the generation `since`, or has no list.
    fn response_body(&self, since: Option<u64>) -> Rc<str> {
        let generation = self.generation.get();
        if since.is_some_and(|s| s >= generation) {
            return json!({"generation": generation, "reset": false, "instances": []}).to_string().into();
        }
        match &*self.prepared_list.borrow() {
            Some(PreparedList { change: Some(change), .. }) if since == Some(generation - 1) => {
                change.clone()
            }
            Some(prepared) => prepared.complete.clone(),
            None => self.list_json().to_string().into(),
        }
    }

    /// Handles one connection. A POST is a notice of the platform; every other request is for the list, and
    /// waits up to `timeout_ms` for a generation later than `since`.
    async fn serve(self: Rc<Discovery>, mut connection: ServerConnection) {
        while let Ok(Some(request)) = connection.next_request().await {
            let result = if request.method == "POST" {
                connection.respond(204, "", "").await
            } else {
                let parameter = |key: &str| {
                    let value = request.path.split(['?', '&']).find_map(|p| p.strip_prefix(key));
                    value.and_then(|v| v.parse::<u64>().ok())
                };
                self.list_requests.set(self.list_requests.get() + 1);
                if let Some(epoch) = request.epoch {
                    if epoch < self.highest_epoch.get() {
                        let (received, refused) = self.stale_requests.get();
                        self.stale_requests.set((received + 1, refused + 1));
                        if connection.respond(409, "", "").await.is_err() {
                            return;
                        }
                        continue;
                    }
                    self.highest_epoch.set(epoch);
                }
                let mut wait_left_s = parameter("timeout_ms=").unwrap_or(0) as f64 / 1000.0;
                let since = parameter("since=");
                while since.is_some_and(|s| s >= self.generation.get()) && wait_left_s > 0.0 {
                    sleep(0.02).await;
                    wait_left_s -= 0.02;
                }
                let body = self.response_body(since);
                connection.respond(200, "", &body).await
            };
            if result.is_err() {
                return;
            }
        }
    }
}
