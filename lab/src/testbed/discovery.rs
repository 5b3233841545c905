//! The endpoint list, and the platform's end of notices.

use super::partner::Partner;
use super::{Runtime, sleep};
use crate::http::ServerConnection;
use async_io::Async;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

pub struct Discovery {
    pub address: SocketAddr,
    partners: Vec<Rc<Partner>>,
    generation: Cell<u64>,
    /// What is not `Ready`, by destination.
    states: RefCell<std::collections::BTreeMap<u64, &'static str>>,
    /// A list made ahead, in place of the partners': many destinations over few listeners.
    told: RefCell<Option<Told>>,
    /// Questions for the list that came.
    pub asked: Cell<u64>,
    /// The highest epoch under which it was asked for all, how often it came under a lower one, and how often that was
    /// refused.
    epoch: Cell<u64>,
    pub stale: Cell<(usize, usize)>,
}

/// The whole list, and what has changed since the version before, if that can be told.
struct Told {
    whole: Rc<str>,
    change: Option<Rc<str>>,
}

/// One entry of a list made ahead.
pub fn entry_json(name: &str, at: SocketAddr, destination: u64, state: &str, weight: f64) -> String {
    format!(
        "{{\"instanceId\":\"{name}\",\"hostPort\":\"{at}\",\"zone\":\"floor-2\",\"machineType\":\"club\",\
         \"cell\":{destination},\"lifecycle\":\"{state}\",\"weight\":{weight},\"startedAtMs\":0}}"
    )
}

impl Discovery {
    pub fn start(world: &Runtime, partners: &[Rc<Partner>]) -> Result<Rc<Discovery>, String> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).map_err(|e| e.to_string())?;
        let address = listener.get_ref().local_addr().map_err(|e| e.to_string())?;
        let d = Discovery {
            address,
            partners: partners.to_vec(),
            generation: Cell::new(1),
            states: RefCell::default(),
            told: RefCell::default(),
            asked: Cell::new(0),
            epoch: Cell::new(0),
            stale: Cell::default(),
        };
        let d = Rc::new(d);
        let (this, w) = (d.clone(), world.clone());
        world.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                w.spawn(this.clone().serve(ServerConnection::new(stream)));
            }
        });
        Ok(d)
    }

    pub fn list(&self) -> Value {
        let states = self.states.borrow();
        let state = |p: &Rc<Partner>| states.get(&p.destination).copied().unwrap_or("Ready");
        let one = |p: &Rc<Partner>| {
            json!({"instanceId": format!("e-{}", p.destination), "hostPort": p.address.to_string(),
                "zone": "floor-2", "machineType": "club", "cell": p.destination, "lifecycle": state(p),
                "weight": p.strength.per_s, "startedAtMs": 0})
        };
        let all: Vec<_> = self.partners.iter().map(one).collect();
        json!({"generation": self.generation.get(), "reset": true, "instances": all})
    }

    /// From now on the list says this of a partner.
    pub fn tell(&self, destination: u64, state: &'static str) {
        self.states.borrow_mut().insert(destination, state);
        self.generation.set(self.generation.get() + 1);
    }

    /// From now on the list is this one, told as a whole or, to who has the version before, as these changes.
    pub fn publish(&self, whole: &[String], change: Option<&[String]>) {
        let generation = self.generation.get() + 1;
        let body = |reset: bool, lines: &[String]| -> Rc<str> {
            let lines = lines.join(",");
            format!("{{\"generation\":{generation},\"reset\":{reset},\"instances\":[{lines}]}}").into()
        };
        let told = Told { whole: body(true, whole), change: change.map(|c| body(false, c)) };
        *self.told.borrow_mut() = Some(told);
        self.generation.set(generation);
    }

    /// The answer to one who holds a version, or none.
    fn answer(&self, since: Option<u64>) -> Rc<str> {
        let generation = self.generation.get();
        if since.is_some_and(|s| s >= generation) {
            return json!({"generation": generation, "reset": false, "instances": []}).to_string().into();
        }
        match &*self.told.borrow() {
            Some(Told { change: Some(change), .. }) if since == Some(generation - 1) => change.clone(),
            Some(told) => told.whole.clone(),
            None => self.list().to_string().into(),
        }
    }

    async fn serve(self: Rc<Discovery>, mut conn: ServerConnection) {
        while let Ok(Some(request)) = conn.next_request().await {
            let done = if request.method == "POST" {
                conn.respond(204, "", "").await
            } else {
                let number = |key: &str| {
                    let at = request.path.split(['?', '&']).find_map(|p| p.strip_prefix(key));
                    at.and_then(|n| n.parse::<u64>().ok())
                };
                self.asked.set(self.asked.get() + 1);
                if let Some(epoch) = request.epoch {
                    if epoch < self.epoch.get() {
                        let (tried, refused) = self.stale.get();
                        self.stale.set((tried + 1, refused + 1));
                        if conn.respond(409, "", "").await.is_err() {
                            return;
                        }
                        continue;
                    }
                    self.epoch.set(epoch);
                }
                let mut left = number("timeout_ms=").unwrap_or(0) as f64 / 1000.0;
                let since = number("since=");
                while since.is_some_and(|s| s >= self.generation.get()) && left > 0.0 {
                    sleep(0.02).await;
                    left -= 0.02;
                }
                let body = self.answer(since);
                conn.respond(200, "", &body).await
            };
            if done.is_err() {
                return;
            }
        }
    }
}
