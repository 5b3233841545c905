//! Commands to a daemon's operator interface.

use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long a command waits for its response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends one command line over its own connection. Returns the response, or `None` if there is none in time.
pub async fn send_operator_command(address: SocketAddr, line: &str) -> Option<String> {
    let call = async {
        let mut stream = Async::<TcpStream>::connect(address).await.ok()?;
        stream.write_all(format!("{line}\n").as_bytes()).await.ok()?;
        let mut response = String::new();
        stream.read_to_string(&mut response).await.ok()?;
        Some(response.trim_end().to_owned())
    };
    let timeout = async {
        Timer::after(RESPONSE_TIMEOUT).await;
        None
    };
    future::or(call, timeout).await.filter(|response| !response.is_empty())
}
