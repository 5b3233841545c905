//! Operators of a daemon: they take a server out, restart it, and put it back, and now and then call wrongly.

use super::ledger::Maintenance;
use super::run::Run;
use super::server;
use crate::daemon::{ProcessChoice, send_operator_command};
use crate::testbed::sleep;
use async_io::Async;
use futures_lite::AsyncWriteExt;
use std::net::TcpStream;

/// Between two tries of a call that nobody answers: its daemon is down, or being started.
const AGAIN_S: f64 = 0.1;
/// What the server is out for before its operators restart it, and how long that takes.
const RESTART_AFTER_S: f64 = 1.2;
const RESTART_S: f64 = 0.5;
const HALF_A_CALL_STAYS_S: f64 = 4.0;

impl Run {
    pub(super) async fn maintenance(&self, i: usize, server: usize, lasts: f64) {
        let server_name = self.servers.borrow()[server].name.clone();
        // What the daemon was not told yet is unknown there.
        if !self.discovery.told(i, &server_name) {
            return;
        }
        let out = &self.nodes[i].out;
        if !out.borrow_mut().insert(server_name.clone()) {
            return;
        }
        self.take_out_and_back(i, server, &server_name, lasts).await;
        out.borrow_mut().remove(&server_name);
    }

    async fn take_out_and_back(&self, i: usize, server: usize, server_name: &str, lasts: f64) {
        if !self.operators_say(i, "maint-on nobody", "400").await {
            return;
        }
        let out = format!("maint-on {server_name}");
        if !self.operators_say(i, &out, "200").await {
            return;
        }
        self.ledger.met("operators_called");
        let from = self.world.now();
        // The call may come twice, and half of one is none.
        self.operators_say(i, &out, "200").await;
        self.half_a_call(i).await;
        sleep(RESTART_AFTER_S).await;
        self.trouble_server(server, server::Mode::Refusing, RESTART_S).await;
        sleep(lasts).await;
        let until = self.put_back(i, server_name).await;
        let (daemon, server) = (i, server_name.to_owned());
        self.ledger.with(|seen| seen.maintenance.push(Maintenance { daemon, server, from, until }));
    }

    /// Calls until somebody answers. When the call was made that was answered.
    async fn put_back(&self, i: usize, server: &str) -> f64 {
        loop {
            let called = self.world.now();
            if self.operators_say(i, &format!("maint-off {server}"), "200").await || self.is_over() {
                return called;
            }
            sleep(AGAIN_S).await;
        }
    }

    /// One call, of either process where there are two. Whether it was answered; another answer than this is noted.
    async fn operators_say(&self, i: usize, line: &str, wanted: &str) -> bool {
        let addresses = self.with(i, |d| {
            [d.operator_address(ProcessChoice::Previous), d.operator_address(ProcessChoice::Newest)]
        });
        let Some(at) = addresses.and_then(|[old, newest]| old.or(newest)) else { return false };
        let Some(answer) = send_operator_command(at, line).await else {
            // One that has ended meanwhile owes nothing.
            let lives = self.with(i, |d| d.operator_address(ProcessChoice::Newest) == Some(at)) == Some(true);
            if lives && !self.nodes[i].changing.get() {
                self.wrong(format!("n{i}: {line}: no answer in time"));
            }
            return false;
        };
        if !answer.starts_with(wanted) {
            self.wrong(format!("n{i}: {line}: {answer}"));
        }
        answer.starts_with(wanted)
    }

    async fn half_a_call(&self, i: usize) {
        if let Some(at) = self.with(i, |d| d.operator_address(ProcessChoice::Newest)).flatten() {
            self.world.spawn(async move {
                let Ok(mut stream) = Async::<TcpStream>::connect(at).await else { return };
                let _ = stream.write_all(b"maint-o").await;
                sleep(HALF_A_CALL_STAYS_S).await;
            });
        }
    }

    fn wrong(&self, what: String) {
        self.ledger.with(|seen| seen.operators_wrong.push(what));
    }
}
