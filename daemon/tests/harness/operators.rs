//! A client of the daemon's operator interface: each connection carries one command line and one response
//! line.

use super::StepResult;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The daemon responds to an operator within this time under any load.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The operator addresses of the daemon's processes, and the last response.
#[derive(Default)]
pub struct OperatorClient {
    /// The configuration contains an address for operators.
    pub enabled: bool,
    /// The operator address of the newest process.
    pub address: Option<SocketAddr>,
    /// The operator address of the process before the newest one.
    previous_address: Option<SocketAddr>,
    last_response: String,
}

impl OperatorClient {
    /// Must be called before a second process starts, which listens at an operator address of its own.
    pub fn on_sibling_start(&mut self) {
        self.previous_address = self.address.take();
    }

    /// Sends one command to the newest process or to the one before it, and reads the response.
    pub fn send_command(&mut self, newest: bool, line: &str) -> StepResult {
        let address = if newest { self.address } else { self.previous_address }
            .ok_or("the process does not listen for operators")?;
        let error = |e: std::io::Error| format!("operator command {line}: {e}");
        let mut stream = TcpStream::connect(address).map_err(error)?;
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).map_err(error)?;
        stream.write_all(format!("{line}\n").as_bytes()).map_err(error)?;
        self.last_response.clear();
        BufReader::new(stream).read_line(&mut self.last_response).map_err(error)?;
        Ok(())
    }

    /// Checks that the last response starts with these words.
    pub fn expect_response(&self, words: &str) -> StepResult {
        if self.last_response.starts_with(words) {
            Ok(())
        } else {
            Err(format!("unexpected operator response: {}", self.last_response))
        }
    }
}
