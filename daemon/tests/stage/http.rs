//! Clients, endpoints and the platform over HTTP.

use super::{Done, Inbox, Listing, Post, value, write};
use serde_json::Value;
use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// First line, headers in small letters, body.
type Message = (String, Vec<(String, String)>, Vec<u8>);

fn message(from: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut line = || {
        let mut l = String::new();
        from.read_line(&mut l).ok().filter(|n| *n > 0).map(|_| l.trim_end().to_owned())
    };
    let first = line()?;
    let mut headers = Vec::new();
    loop {
        let l = line()?;
        let Some((k, v)) = l.split_once(':') else { break };
        headers.push((k.to_lowercase(), v.trim().to_owned()));
    }
    let length = header(&headers, "content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    Some((first, headers, body))
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    headers.iter().find(|h| h.0 == name).map_or("", |h| &h.1)
}

fn serve(each: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let each = Arc::new(each);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let each = each.clone();
            std::thread::spawn(move || each(stream));
        }
    });
    address
}

/// So soon a silent client comes again that was sent off. The oldest silent one goes for each that comes: of those that
/// came at once, a hundred sent off all 32 in a few milliseconds, which a client that is looked at may need between its
/// connect and its first write. New connections may be shut unread then.
const COMES_AGAIN: Duration = Duration::from_millis(250);

/// Keeps so many silent connections open to an address until it is over.
pub fn besiege(to: SocketAddr, count: usize, over: Arc<AtomicBool>) {
    for _ in 0..count {
        let over = over.clone();
        std::thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                let Ok(mut stream) = TcpStream::connect(to) else { return };
                // Until it is closed by the other side.
                let _ = stream.read(&mut [0]);
                std::thread::sleep(COMES_AGAIN);
            }
        });
    }
}

/// Tells of each call as `ID key=KEY body=BODY`, and keeps its connection for the answer.
pub fn endpoint(post: Post) -> SocketAddr {
    serve(move |stream| {
        let mut from = BufReader::new(stream.try_clone().unwrap());
        while let Some((first, headers, body)) = message(&mut from) {
            let probe = first.starts_with("GET ");
            let id = if probe { "probe" } else { header(&headers, "x-request-id") };
            post.keep(id, &stream);
            let key = header(&headers, "idempotency-key");
            post.tell(format!("{id} key={key} body={}", String::from_utf8_lossy(&body)));
        }
    })
}

/// Answers each call with 200 at once, and notes when it came.
pub fn server(arrivals: Arc<Mutex<Vec<Instant>>>) -> SocketAddr {
    serve(move |mut stream| {
        let mut from = BufReader::new(stream.try_clone().unwrap());
        while message(&mut from).is_some() {
            arrivals.lock().unwrap().push(Instant::now());
            if write(&mut stream, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").is_err() {
                return;
            }
        }
    })
}

/// Hands messages in over a connection of its own for each, and does not care for the answer.
pub struct Client(pub SocketAddr);

impl Client {
    pub fn hand_in(&self, id: &str) {
        let (inbox, post) = super::inbox();
        client(post, self.0, id);
        let _ = send(&inbox, id, &["status", &format!("id={id}"), "dest=1"]);
        let _ = inbox.expect(&["202"]);
    }

    /// The same, where there may be nobody just now.
    pub fn try_hand_in(&self, id: &str, destination: &str) {
        let Ok(stream) = TcpStream::connect(self.0) else { return };
        let (inbox, post) = super::inbox();
        post.keep(id, &stream);
        listen(post, stream);
        let _ = send(&inbox, id, &["status", &format!("id={id}"), &format!("dest={destination}")]);
        let _ = inbox.expect(&["202"]);
    }
}

/// `ID STATUS [Header=value ...]`, `ID reset`, or `ID raw TEXT`, which leaves the connection open.
pub fn answer(to: &Inbox, words: &[&str]) -> Done {
    let [id, status, headers @ ..] = words else { return Err("ID STATUS".into()) };
    let mut stream = to.stream(id)?;
    if *status == "reset" {
        return stream.shutdown(std::net::Shutdown::Both).map_err(|e| e.to_string());
    }
    if *status == "raw" {
        to.streams.lock().unwrap().insert((*id).to_owned(), stream.try_clone().unwrap());
        return write(&mut stream, plain(headers.first().unwrap_or(&"")).as_bytes());
    }
    let headers: String = headers.iter().map(|h| h.replacen('=', ": ", 1) + "\r\n").collect();
    write(&mut stream, format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: 2\r\n\r\nok").as_bytes())
}

/// Tells of each notice as `ID STATE [MILLISECONDS]`. A watch waits for news for as long as it asks to.
pub fn platform(post: Post, listing: Arc<Mutex<Listing>>) -> SocketAddr {
    serve(move |mut stream| {
        let mut from = BufReader::new(stream.try_clone().unwrap());
        let here = stream.local_addr().ok();
        while let Some((first, _, body)) = message(&mut from) {
            if listing.lock().unwrap().at != here {
                return;
            }
            if listing.lock().unwrap().mute {
                let _ = write(&mut stream, b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            if first.starts_with("POST /v1/outcomes ") {
                for line in String::from_utf8_lossy(&body).lines() {
                    let v: Value = serde_json::from_str(line).unwrap();
                    let text = |k: &str| v[k].as_str().unwrap_or("").to_owned();
                    post.tell(format!("{} {} {}", text("id"), text("state"), v["after_ms"]));
                }
                let _ = write(&mut stream, b"HTTP/1.1 204 No Content\r\n\r\n");
                continue;
            }
            if listing.lock().unwrap().refuses() {
                let _ = write(&mut stream, b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            let number = |key: &str| {
                let rest = first.split_once(key)?.1;
                rest.split(|c: char| !c.is_ascii_digit()).next()?.parse::<u64>().ok()
            };
            let (since, ms) = (number("since="), number("timeout_ms=").unwrap_or(0));
            listing.lock().unwrap().whole_calls += u64::from(since.is_none());
            let mut waited = 0;
            while since.is_some_and(|s| s >= listing.lock().unwrap().generation) && waited < ms {
                std::thread::sleep(Duration::from_millis(10));
                waited += 10;
            }
            // Who has moved away says nothing more: an answer here would race with the reload that names the new place.
            if listing.lock().unwrap().at != here {
                return;
            }
            let body = {
                let mut listing = listing.lock().unwrap();
                listing.told = Some(listing.generation);
                listing.json().to_string()
            };
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            if write(&mut stream, (head + &body).as_bytes()).is_err() {
                return;
            }
        }
    })
}

/// A client's connection. Who has something to say says it before it listens: a crowd leaves no time between the two.
pub fn connect(post: &Post, to: SocketAddr, who: &str) -> TcpStream {
    let stream = TcpStream::connect(to).unwrap();
    post.keep(who, &stream);
    stream
}

/// A client that says nothing yet.
pub fn client(post: Post, to: SocketAddr, who: &str) {
    let stream = connect(&post, to, who);
    listen(post, stream);
}

/// Tells of each answer as its status, and of the connection's end as `closed`.
pub fn listen(post: Post, stream: TcpStream) {
    std::thread::spawn(move || {
        let mut from = BufReader::new(stream);
        while let Some((first, headers, _)) = message(&mut from) {
            let wait = header(&headers, "retry-after");
            post.tell(format!("{} {wait}", first.split(' ').nth(1).unwrap_or("")));
        }
        post.tell("closed");
    });
}

/// `CLASS id=ID [dest=N deadline=S key=K body=TEXT size=N]`, or `raw TEXT` with `\r`, `\n` and `_` for a blank.
pub fn send(from: &Inbox, who: &str, words: &[&str]) -> Done {
    let mut stream = from.streams.lock().unwrap().get(who).ok_or("closed")?.try_clone().unwrap();
    if let ["raw", text] = words {
        return write(&mut stream, plain(text).as_bytes());
    }
    let class = words.first().ok_or("which class?")?;
    let or = |key: &str, or: &'static str| value(words, key).unwrap_or(or).to_owned();
    let body = match value(words, "size") {
        Some(n) => "x".repeat(n.parse().map_err(|_| "what size?")?),
        None => or("body", "hello"),
    };
    let head = format!(
        "POST /{class} HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: {}\r\nX-Class: {class}\r\n\
        X-Tenant: khangai-clubs\r\nX-Deadline: {}\r\nIdempotency-Key: {}\r\nContent-Length: {}\r\n\
        X-Envelope: dest={}\r\n\r\n",
        or("id", ""),
        or("deadline", "4"),
        or("key", "k"),
        body.len(),
        or("dest", "1")
    );
    write(&mut stream, (head + &body).as_bytes())
}

/// One word of a scenario as the bytes that it stands for; `TEXT*N` is so many of it.
fn plain(word: &str) -> String {
    let text = |t: &str| t.replace("\\r", "\r").replace("\\n", "\n").replace('_', " ");
    match word.rsplit_once('*').and_then(|(t, n)| Some((t, n.parse().ok()?))) {
        Some((t, n)) => text(t).repeat(n),
        None => text(word),
    }
}

pub fn counters(at: SocketAddr) -> Result<Value, String> {
    let mut stream = TcpStream::connect(at).map_err(|e| e.to_string())?;
    write(&mut stream, b"GET /counters HTTP/1.1\r\n\r\n")?;
    let (_, _, body) = message(&mut BufReader::new(stream)).ok_or("no counters")?;
    serde_json::from_slice(&body).map_err(|e| e.to_string())
}
