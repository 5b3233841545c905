//! Calls of operators.

use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Operators wait so long for an answer.
const OPERATORS_WAIT: Duration = Duration::from_secs(1);

/// One line to a connection, and one line back.
pub async fn send_operator_command(at: SocketAddr, line: &str) -> Option<String> {
    let call = async {
        let mut stream = Async::<TcpStream>::connect(at).await.ok()?;
        stream.write_all(format!("{line}\n").as_bytes()).await.ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.ok()?;
        Some(answer.trim_end().to_owned())
    };
    let late = async {
        Timer::after(OPERATORS_WAIT).await;
        None
    };
    future::or(call, late).await.filter(|answer| !answer.is_empty())
}
