//! Operators, who call the program at an address of its own: one line to a connection, and one line back.

use super::Done;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// An answer is due within this, whatever the load.
const DUE_WITHIN: Duration = Duration::from_secs(1);

/// Where the processes listen for operators, and what was answered last.
#[derive(Default)]
pub struct Operators {
    /// The configuration names an address for them.
    pub wanted: bool,
    pub at: Option<SocketAddr>,
    /// That of the process which was there before the one beside it.
    old: Option<SocketAddr>,
    answer: String,
}

impl Operators {
    /// A second process is started, with an address of its own.
    pub fn second_process(&mut self) {
        self.old = self.at.take();
    }

    /// Makes one call, of the newest process or of the one before it.
    pub fn call(&mut self, newest: bool, line: &str) -> Done {
        let at = if newest { self.at } else { self.old }.ok_or("it does not listen for operators")?;
        let error = |e: std::io::Error| format!("operators' call {line}: {e}");
        let mut stream = TcpStream::connect(at).map_err(error)?;
        stream.set_read_timeout(Some(DUE_WITHIN)).map_err(error)?;
        stream.write_all(format!("{line}\n").as_bytes()).map_err(error)?;
        self.answer.clear();
        BufReader::new(stream).read_line(&mut self.answer).map_err(error)?;
        Ok(())
    }

    /// The last answer began like this.
    pub fn expect(&self, words: &str) -> Done {
        if self.answer.starts_with(words) { Ok(()) } else { Err(format!("got: {}", self.answer)) }
    }
}
