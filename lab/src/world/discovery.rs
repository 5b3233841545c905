//! The endpoint list, and the platform's end of notices.

use super::partner::Partner;
use super::{World, sleep};
use crate::http::Server;
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
    /// Questions for the list that came.
    pub asked: Cell<u64>,
}

impl Discovery {
    pub fn start(world: &World, partners: &[Rc<Partner>]) -> Result<Rc<Discovery>, String> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).map_err(|e| e.to_string())?;
        let address = listener.get_ref().local_addr().map_err(|e| e.to_string())?;
        let d = Discovery {
            address,
            partners: partners.to_vec(),
            generation: Cell::new(1),
            states: RefCell::default(),
            asked: Cell::new(0),
        };
        let d = Rc::new(d);
        let (this, w) = (d.clone(), world.clone());
        world.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                w.spawn(this.clone().serve(Server::new(stream)));
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

    async fn serve(self: Rc<Discovery>, mut conn: Server) {
        while let Ok(Some(request)) = conn.next().await {
            let done = if request.method == "POST" {
                conn.answer(204, "", "").await
            } else {
                let number = |key: &str| {
                    let at = request.path.split(['?', '&']).find_map(|p| p.strip_prefix(key));
                    at.and_then(|n| n.parse::<u64>().ok())
                };
                self.asked.set(self.asked.get() + 1);
                let mut left = number("timeout_ms=").unwrap_or(0) as f64 / 1000.0;
                let since = number("since=");
                while since.is_some_and(|s| s >= self.generation.get()) && left > 0.0 {
                    sleep(0.02).await;
                    left -= 0.02;
                }
                match since {
                    Some(since) if since >= self.generation.get() => {
                        let none =
                            json!({"generation": self.generation.get(), "reset": false, "instances": []});
                        conn.answer(200, "", &none.to_string()).await
                    }
                    _ => conn.answer(200, "", &self.list().to_string()).await,
                }
            };
            if done.is_err() {
                return;
            }
        }
    }
}
