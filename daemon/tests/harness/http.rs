//! Simulated HTTP clients, endpoints and platform.

use super::{PeerHandle, PeerRecorder, PlatformState, StepResult, option_value, write_bytes};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;
use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// An HTTP request or response: first line, headers with their names in lower case, body.
type HttpMessage = (String, Vec<(String, String)>, Vec<u8>);

/// Reads one request or response; `None` once the connection has ended.
fn read_message(reader: &mut BufReader<TcpStream>) -> Option<HttpMessage> {
    let mut read_line = || {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0).map(|_| line.trim_end().to_owned())
    };
    let first_line = read_line()?;
    let mut headers = Vec::new();
    loop {
        let line = read_line()?;
        let Some((name, value)) = line.split_once(':') else { break };
        headers.push((name.to_lowercase(), value.trim().to_owned()));
    }
    let length = header_value(&headers, "content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((first_line, headers, body))
}

fn header_value<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    headers.iter().find(|h| h.0 == name).map_or("", |h| &h.1)
}

/// Starts a server that runs the handler in a thread of its own for each connection; returns its address.
fn start_server(handle_connection: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let handle_connection = Arc::new(handle_connection);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle_connection = handle_connection.clone();
            std::thread::spawn(move || handle_connection(stream));
        }
    });
    address
}

/// The time from the close of a silent client's connection until the client reconnects. The daemon closes the
/// oldest silent connection for each new one: a hundred clients that reconnect at once replace all 32
/// connections within a few milliseconds. A client under test may need as long between its connect and its
/// first write, so that the daemon may close its new connection unread.
const RECONNECT_DELAY: Duration = Duration::from_millis(250);

/// Keeps `count` silent connections open to an address, and reconnects those that are closed, until `stop` is
/// set.
pub fn keep_silent_connections(address: SocketAddr, count: usize, stop: Arc<AtomicBool>) {
    for _ in 0..count {
        let stop = stop.clone();
        std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let Ok(mut stream) = TcpStream::connect(address) else { return };
                // Returns when the other side closes the connection.
                let _ = stream.read(&mut [0]);
                std::thread::sleep(RECONNECT_DELAY);
            }
        });
    }
}

/// Starts an endpoint that records each call as `ID key=KEY body=BODY` (a probe has the id `probe`, and a key that is the id
/// is written as `the-id`), and keeps the connection under the id, and under the name `last`, for the scenario's response.
pub fn start_endpoint(recorder: PeerRecorder) -> SocketAddr {
    start_server(move |stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some((first_line, headers, body)) = read_message(&mut reader) {
            let is_probe = first_line.starts_with("GET ");
            let id = if is_probe { "probe" } else { header_value(&headers, "x-request-id") };
            for name in [id, "last"] {
                recorder.keep_stream(name, &stream);
                let mut closing = recorder.closing.lock().unwrap();
                closing.remove(name);
                if header_value(&headers, "connection") == "close" {
                    closing.insert(name.to_owned());
                }
            }
            let key = match header_value(&headers, "idempotency-key") {
                key if !key.is_empty() && key == id => "the-id",
                key => key,
            };
            recorder.record_event(format!("{id} key={key} body={}", String::from_utf8_lossy(&body)));
        }
    })
}

/// Starts an endpoint that responds to each call with 200 at once, and records when the call arrived.
pub fn start_accepting_endpoint(arrivals: Arc<Mutex<Vec<Instant>>>) -> SocketAddr {
    start_server(move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some((_, headers, _)) = read_message(&mut reader) {
            arrivals.lock().unwrap().push(Instant::now());
            let closes = header_value(&headers, "connection") == "close";
            let connection = if closes { "Connection: close\r\n" } else { "" };
            let response = format!("HTTP/1.1 200 OK\r\n{connection}Content-Length: 0\r\n\r\n");
            if write_bytes(&mut stream, response.as_bytes()).is_err() || closes {
                return;
            }
        }
    })
}

/// One call to an endpoint, as the endpoint saw it.
pub struct ObservedCall {
    pub id: String,
    pub arrived: Instant,
    /// When the response was written.
    pub answered: Option<Instant>,
    pub status: u16,
}

/// The calls to an endpoint in the order of their arrival.
pub type CallLog = Arc<Mutex<Vec<ObservedCall>>>;

/// What an endpoint does with one call.
struct Treatment {
    status: u16,
    service_time: Duration,
    /// A second copy of the response follows after this time.
    copy_after: Option<Duration>,
}

impl Treatment {
    fn draw(rng: &mut StdRng) -> Treatment {
        let status = if rng.random_bool(0.15) { 503 } else { 200 };
        let service_time = Duration::from_millis(rng.random_range(5..60));
        let copy_after = rng.random_bool(0.4).then(|| Duration::from_micros(rng.random_range(0..150_000)));
        Treatment { status, service_time, copy_after }
    }
}

/// Starts an endpoint that refuses some calls, and sends some of its responses twice: the second copy comes at
/// any time, whatever else is out on the connection.
pub fn start_copying_endpoint(seed: u64, calls: CallLog) -> SocketAddr {
    let rng = Mutex::new(StdRng::seed_from_u64(seed));
    start_server(move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some((_, headers, _)) = read_message(&mut reader) {
            let Treatment { status, service_time, copy_after } = Treatment::draw(&mut rng.lock().unwrap());
            let id = header_value(&headers, "x-request-id").to_owned();
            let index = {
                let mut calls = calls.lock().unwrap();
                calls.push(ObservedCall { id, arrived: Instant::now(), answered: None, status });
                calls.len() - 1
            };
            std::thread::sleep(service_time);
            let closes = header_value(&headers, "connection") == "close";
            let connection = if closes { "Connection: close\r\n" } else { "" };
            let response = format!("HTTP/1.1 {status} X\r\n{connection}Content-Length: 0\r\n\r\n");
            calls.lock().unwrap()[index].answered = Some(Instant::now());
            if write_bytes(&mut stream, response.as_bytes()).is_err() || closes {
                return;
            }
            let Some(copy_after) = copy_after else { continue };
            let mut copy_stream = stream.try_clone().unwrap();
            std::thread::spawn(move || {
                std::thread::sleep(copy_after);
                let _ = write_bytes(&mut copy_stream, response.as_bytes());
            });
        }
    })
}

/// Submits messages to the daemon at this address, each over a connection of its own, and ignores the
/// responses.
pub struct Client(pub SocketAddr);

impl Client {
    /// Submits a message of class `status` for destination 1.
    pub fn submit(&self, id: &str) {
        let (handle, recorder) = super::peer_channel();
        start_client(recorder, self.0, id);
        let _ = send_request(&handle, id, &["status", &format!("id={id}"), "dest=1"]);
        let _ = handle.expect_event(&["202"]);
    }

    /// Submits messages for destination 1 one after the other over one connection, each as the words of its
    /// class and options; returns how many were accepted.
    pub fn submit_all(&self, messages: &[String]) -> usize {
        let (handle, recorder) = super::peer_channel();
        start_client(recorder, self.0, "client");
        let submit = |message: &&String| {
            let words: Vec<&str> = message.split(' ').collect();
            let _ = send_request(&handle, "client", &words);
            handle.expect_event(&["202"]).is_ok()
        };
        messages.iter().filter(submit).count()
    }

    /// Submits a message of class `status`; does nothing where the daemon refuses the connection.
    pub fn try_submit(&self, id: &str, destination: &str) {
        let Ok(stream) = TcpStream::connect(self.0) else { return };
        let (handle, recorder) = super::peer_channel();
        recorder.keep_stream(id, &stream);
        record_responses(recorder, stream);
        let _ = send_request(&handle, id, &["status", &format!("id={id}"), &format!("dest={destination}")]);
        let _ = handle.expect_event(&["202"]);
    }
}

/// Responds to a call: `ID STATUS [Header=value ...]`, `ID reset`, or `ID raw TEXT`, which leaves the
/// connection open. A response with a status closes the connection if the call asks for that.
pub fn send_response(endpoint: &PeerHandle, words: &[&str]) -> StepResult {
    let [id, status, headers @ ..] = words else { return Err("a response needs ID and STATUS".into()) };
    let mut stream = endpoint.take_stream(id)?;
    if *status == "reset" {
        return stream.shutdown(std::net::Shutdown::Both).map_err(|e| e.to_string());
    }
    if *status == "raw" {
        endpoint.streams.lock().unwrap().insert((*id).to_owned(), stream.try_clone().unwrap());
        return write_bytes(&mut stream, unescape(headers.first().unwrap_or(&"")).as_bytes());
    }
    let closes = endpoint.closing.lock().unwrap().remove(*id);
    let connection = if closes { "Connection: close\r\n" } else { "" };
    let headers: String = headers.iter().map(|h| h.replacen('=', ": ", 1) + "\r\n").collect();
    write_bytes(
        &mut stream,
        format!("HTTP/1.1 {status} X\r\n{connection}{headers}Content-Length: 2\r\n\r\nok").as_bytes(),
    )?;
    if closes { stream.shutdown(std::net::Shutdown::Both).map_err(|e| e.to_string()) } else { Ok(()) }
}

/// Starts a platform that records each notice as `ID STATE [MILLISECONDS]` and serves the endpoint list. A
/// watch request waits for a new generation up to the timeout in the request.
pub fn start_platform(recorder: PeerRecorder, state: Arc<Mutex<PlatformState>>) -> SocketAddr {
    start_server(move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let own_address = stream.local_addr().ok();
        let own_process = state.lock().unwrap().process;
        let has_ended =
            |state: &PlatformState| state.current_address != own_address || state.process != own_process;
        while let Some((first_line, _, body)) = read_message(&mut reader) {
            if has_ended(&state.lock().unwrap()) {
                return;
            }
            if state.lock().unwrap().unavailable {
                let _ = write_bytes(&mut stream, b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            if first_line.starts_with("POST /v1/outcomes ") {
                for line in String::from_utf8_lossy(&body).lines() {
                    let notice: Value = serde_json::from_str(line).unwrap();
                    let text = |key: &str| notice[key].as_str().unwrap_or("").to_owned();
                    recorder.record_event(format!("{} {} {}", text("id"), text("state"), notice["after_ms"]));
                }
                let _ = write_bytes(&mut stream, b"HTTP/1.1 204 No Content\r\n\r\n");
                continue;
            }
            if state.lock().unwrap().takes_refusal() {
                let _ = write_bytes(&mut stream, b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            let number_after = |key: &str| {
                let rest = first_line.split_once(key)?.1;
                rest.split(|c: char| !c.is_ascii_digit()).next()?.parse::<u64>().ok()
            };
            let (since, timeout_ms) = (number_after("since="), number_after("timeout_ms=").unwrap_or(0));
            state.lock().unwrap().complete_list_requests += u64::from(since.is_none());
            let mut waited_ms = 0;
            while since.is_some_and(|s| s >= state.lock().unwrap().generation)
                && waited_ms < timeout_ms
                && !has_ended(&state.lock().unwrap())
            {
                std::thread::sleep(Duration::from_millis(10));
                waited_ms += 10;
            }
            // A replaced platform sends no more responses: one would race with the reload of the
            // configuration that contains the new platform's address.
            if has_ended(&state.lock().unwrap()) {
                return;
            }
            let body = {
                let mut state = state.lock().unwrap();
                state.last_served_generation = Some(state.generation);
                state.list_json().to_string()
            };
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            if write_bytes(&mut stream, (head + &body).as_bytes()).is_err() {
                return;
            }
        }
    })
}

/// Opens a client's connection without a thread that reads from it. A client with a request sends the request
/// before `record_responses` starts that thread: while many clients connect, the daemon may close a
/// connection that is silent even for the time between the two.
pub fn connect(recorder: &PeerRecorder, address: SocketAddr, name: &str) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    recorder.keep_stream(name, &stream);
    stream
}

/// Starts a client that connects and sends nothing yet.
pub fn start_client(recorder: PeerRecorder, address: SocketAddr, name: &str) {
    let stream = connect(&recorder, address, name);
    record_responses(recorder, stream);
}

/// Records each response as its status and its `Retry-After`, and the end of the connection as `closed`.
pub fn record_responses(recorder: PeerRecorder, stream: TcpStream) {
    std::thread::spawn(move || {
        let mut reader = BufReader::new(stream);
        while let Some((first_line, headers, _)) = read_message(&mut reader) {
            let retry_after = header_value(&headers, "retry-after");
            recorder.record_event(format!("{} {retry_after}", first_line.split(' ').nth(1).unwrap_or("")));
        }
        recorder.record_event("closed");
    });
}

/// Sends a client's request: `CLASS id=ID [dest=N deadline=S key=K body=TEXT size=N]` submits a message, and
/// `raw TEXT` sends the text, in which `\r` and `\n` are escapes and `_` is a blank.
pub fn send_request(client: &PeerHandle, name: &str, words: &[&str]) -> StepResult {
    let mut stream = client
        .streams
        .lock()
        .unwrap()
        .get(name)
        .ok_or("the client's connection is closed")?
        .try_clone()
        .unwrap();
    if let ["raw", text] = words {
        return write_bytes(&mut stream, unescape(text).as_bytes());
    }
    let class = words.first().ok_or("the step names no class")?;
    let option_or = |key: &str, default: &'static str| option_value(words, key).unwrap_or(default).to_owned();
    let body = match option_value(words, "size") {
        Some(size) => "x".repeat(size.parse().map_err(|_| "the size is not a number")?),
        None => option_or("body", "hello"),
    };
    let head = format!(
        "POST /{class} HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: {}\r\nX-Class: {class}\r\n\
        X-Tenant: khangai-clubs\r\nX-Deadline: {}\r\nIdempotency-Key: {}\r\nContent-Length: {}\r\n\
        X-Envelope: dest={}\r\n\r\n",
        option_or("id", ""),
        option_or("deadline", "4"),
        option_or("key", "k"),
        body.len(),
        option_or("dest", "1")
    );
    write_bytes(&mut stream, (head + &body).as_bytes())
}

/// Expands the escapes in one word of a scenario; `TEXT*N` repeats the text N times.
fn unescape(word: &str) -> String {
    let expand = |text: &str| text.replace("\\r", "\r").replace("\\n", "\n").replace('_', " ");
    match word.rsplit_once('*').and_then(|(text, count)| Some((text, count.parse().ok()?))) {
        Some((text, count)) => expand(text).repeat(count),
        None => expand(word),
    }
}

/// Requests the daemon's counters.
pub fn read_counters(address: SocketAddr) -> Result<Value, String> {
    let mut stream = TcpStream::connect(address).map_err(|e| e.to_string())?;
    write_bytes(&mut stream, b"GET /counters HTTP/1.1\r\n\r\n")?;
    let (_, _, body) = read_message(&mut BufReader::new(stream)).ok_or("no response with the counters")?;
    serde_json::from_slice(&body).map_err(|e| e.to_string())
}
