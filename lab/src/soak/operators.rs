//! Operators of a daemon: they put a server into maintenance, restart it, and end the maintenance. They also
//! send invalid, repeated and incomplete commands.

use super::observations::Maintenance;
use super::run::Run;
use super::server;
use crate::daemon::{ProcessChoice, send_operator_command};
use crate::testbed::sleep;
use async_io::Async;
use futures_lite::AsyncWriteExt;
use std::net::TcpStream;

/// Interval between two tries of a command that gets no answer because the daemon is down or being started.
const RETRY_INTERVAL_S: f64 = 0.1;
/// Time from the begin of the maintenance until the server is restarted.
const SERVER_RESTART_DELAY_S: f64 = 1.2;
/// Time that the server's restart takes.
const SERVER_RESTART_S: f64 = 0.5;
/// A connection with an incomplete command is kept open for this long.
const PARTIAL_COMMAND_OPEN_S: f64 = 4.0;

impl Run {
    /// Puts a server into maintenance at a daemon, unless the server is in maintenance there already.
    pub(super) async fn maintenance(&self, index: usize, server: usize, duration_s: f64) {
        let server_name = self.servers.borrow()[server].name.clone();
        // The daemon rejects the name of a server that is not on the last list it received.
        if !self.discovery.last_list_names(index, &server_name) {
            return;
        }
        let in_maintenance = &self.nodes[index].in_maintenance;
        if !in_maintenance.borrow_mut().insert(server_name.clone()) {
            return;
        }
        self.run_maintenance(index, server, &server_name, duration_s).await;
        in_maintenance.borrow_mut().remove(&server_name);
    }

    /// Begins the maintenance, restarts the server, and ends the maintenance.
    async fn run_maintenance(&self, index: usize, server: usize, server_name: &str, duration_s: f64) {
        if !self.send_command(index, "maint-on nobody", "400").await {
            return;
        }
        let begin_command = format!("maint-on {server_name}");
        if !self.send_command(index, &begin_command, "200").await {
            return;
        }
        self.log.record_fault_hit("operators_called");
        let from = self.runtime.now();
        // A repeated command must be accepted, and an incomplete one must have no effect.
        self.send_command(index, &begin_command, "200").await;
        self.send_partial_command(index).await;
        sleep(SERVER_RESTART_DELAY_S).await;
        self.impair_server(server, server::Mode::ResetOnAccept, SERVER_RESTART_S).await;
        sleep(duration_s).await;
        let until = self.end_maintenance(index, server_name).await;
        let (daemon, server) = (index, server_name.to_owned());
        self.log.with(|observations| {
            observations.maintenance.push(Maintenance { daemon, server, from, until });
        });
    }

    /// Ends the maintenance of a server, with retries until the daemon answers. Returns when the answered
    /// command was sent.
    async fn end_maintenance(&self, index: usize, server: &str) -> f64 {
        loop {
            let called_at = self.runtime.now();
            if self.send_command(index, &format!("maint-off {server}"), "200").await
                || self.submissions_stopped()
            {
                return called_at;
            }
            sleep(RETRY_INTERVAL_S).await;
        }
    }

    /// Sends one command, to the older process if there are two. Returns whether it was answered with the
    /// expected status; any other answer is recorded as an error.
    async fn send_command(&self, index: usize, command: &str, expected_status: &str) -> bool {
        let addresses = self.with_running(index, |d| {
            [d.operator_address(ProcessChoice::Previous), d.operator_address(ProcessChoice::Newest)]
        });
        let Some(address) = addresses.and_then(|[old, newest]| old.or(newest)) else { return false };
        let Some(answer) = send_operator_command(address, command).await else {
            // A missing answer is an error only if the process that was called is still running.
            let is_running = self
                .with_running(index, |d| d.operator_address(ProcessChoice::Newest) == Some(address))
                == Some(true);
            if is_running && !self.nodes[index].process_change_active.get() {
                self.record_error(format!("n{index}: {command}: no answer in time"));
            }
            return false;
        };
        if !answer.starts_with(expected_status) {
            self.record_error(format!("n{index}: {command}: {answer}"));
        }
        answer.starts_with(expected_status)
    }

    /// Sends the begin of a command, and leaves the connection open for a while.
    async fn send_partial_command(&self, index: usize) {
        if let Some(address) =
            self.with_running(index, |d| d.operator_address(ProcessChoice::Newest)).flatten()
        {
            self.runtime.spawn(async move {
                let Ok(mut stream) = Async::<TcpStream>::connect(address).await else { return };
                let _ = stream.write_all(b"maint-o").await;
                sleep(PARTIAL_COMMAND_OPEN_S).await;
            });
        }
    }

    /// Records a wrong or missing answer to a command.
    fn record_error(&self, error: String) {
        self.log.with(|observations| observations.operator_errors.push(error));
    }
}
