//! Where operators call: one line to a connection, one line back that begins with 200 or 400. It has connections of its
//! own, few of them, and waits for nobody else's queue.

use super::{Held, Shared};
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use onyxrock::interface::Micros;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

/// A call is a few words.
const LINE_MOST: usize = 512;
/// Who has not said it by then goes ...
const WHOLE: Micros = Micros(5_000_000);
/// ... and sooner, the oldest first, where so many are here.
const CALLERS: usize = 16;
const PAUSE: std::time::Duration = std::time::Duration::from_millis(20);

pub async fn listen(shared: Rc<Shared>, listener: Async<TcpListener>) {
    let mut callers: std::collections::VecDeque<async_executor::Task<()>> = Default::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                callers.retain(|c| !c.is_finished());
                if callers.len() >= CALLERS {
                    drop(callers.pop_front()); // its connection goes with it
                }
                let shared = shared.clone();
                let executor = shared.executor.clone();
                callers.push_back(executor.spawn(async move {
                    let clock = shared.clock;
                    let by = clock.now().after(WHOLE);
                    // Who goes before the answer has none.
                    let _ = clock.before(by, call(&shared, stream)).await;
                }));
            }
            Err(e) => {
                tracing::warn!("mgmt: accept: {e}");
                async_io::Timer::after(PAUSE).await;
            }
        }
    }
}

async fn call(shared: &Shared, mut stream: Async<TcpStream>) -> std::io::Result<()> {
    let (mut line, mut some) = (Vec::new(), [0; 128]);
    let answer = loop {
        let n = stream.read(&mut some).await?;
        line.extend_from_slice(&some[..n]);
        if let Some(end) = line.iter().position(|b| *b == b'\n') {
            break answer(shared, &line[..end]);
        }
        if n == 0 {
            return Ok(()); // half a call is none
        }
        if line.len() > LINE_MOST {
            break "400 the line is too long".to_owned();
        }
    };
    stream.write_all(format!("{answer}\n").as_bytes()).await
}

fn answer(shared: &Shared, line: &[u8]) -> String {
    let line = String::from_utf8_lossy(line);
    let words: Vec<&str> = line.split_whitespace().collect();
    match words[..] {
        ["status"] if shared.stopping.get() => "400 it ends".into(),
        ["status"] => match &*shared.list.borrow() {
            Held::None => "400 no list yet".into(),
            Held::Current => "200 ready".into(),
            Held::Old(why) => format!("200 ready, with an old list: {}", why.replace(['\r', '\n'], " ")),
        },
        ["maint-on" | "maint-off", ..] => "400 endpoints cannot be taken out by hand here".into(),
        [] => "400 an empty call".into(),
        [what, ..] => format!("400 no such call: {}", what.escape_debug()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::{Read, Write};
    use std::net::SocketAddr;

    fn start() -> (Rc<Shared>, SocketAddr) {
        let shared = Shared::alone(async_channel::bounded(1).0);
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
        let at = listener.get_ref().local_addr().unwrap();
        shared.executor.spawn(listen(shared.clone(), listener)).detach();
        (shared, at)
    }

    /// What is answered, and whether that was all.
    fn ask(shared: &Shared, at: SocketAddr, says: &[u8]) -> String {
        let says = says.to_vec();
        let caller = std::thread::spawn(move || {
            let mut stream = TcpStream::connect(at).unwrap();
            stream.write_all(&says).unwrap();
            let mut answer = String::new();
            // Bytes that were not read are a reset for whoever said them.
            let _ = stream.read_to_string(&mut answer);
            answer
        });
        let answered = async {
            while !caller.is_finished() {
                async_io::Timer::after(std::time::Duration::from_millis(1)).await;
            }
        };
        async_io::block_on(shared.executor.run(answered));
        caller.join().unwrap()
    }

    #[test]
    fn status_tells_the_truth_and_anything_else_is_a_plain_no() {
        let (shared, at) = start();
        assert_eq!(ask(&shared, at, b"status\n"), "400 no list yet\n");
        *shared.list.borrow_mut() = Held::Current;
        assert_eq!(ask(&shared, at, b"status\r\nstatus\n"), "200 ready\n", "one call to a connection");
        *shared.list.borrow_mut() = Held::Old("down\n200 x".into());
        assert_eq!(ask(&shared, at, b"status\n"), "200 ready, with an old list: down 200 x\n");
        shared.stopping.set(true);
        assert_eq!(ask(&shared, at, b"status\n"), "400 it ends\n");
        assert_eq!(ask(&shared, at, b"\n"), "400 an empty call\n");
        assert_eq!(ask(&shared, at, b"stat\xff\n"), "400 no such call: stat\u{fffd}\n");
        assert_eq!(ask(&shared, at, &[b'x'; 513]), "400 the line is too long\n");
    }

    #[test]
    fn a_crowd_that_says_nothing_or_half_a_call_keeps_nobody_out() {
        let (shared, at) = start();
        *shared.list.borrow_mut() = Held::Current;
        let crowd: Vec<_> = (0..3 * CALLERS)
            .map(|i| {
                let mut stream = TcpStream::connect(at).unwrap();
                stream.write_all(&b"status"[..i % 7]).unwrap();
                stream
            })
            .collect();
        assert_eq!(ask(&shared, at, b"status\n"), "200 ready\n");
        drop(crowd);
    }
}
