//! What the cases 6 to 10 share: it starts the project's program by the deploy file, and has small stand-ins for
//! clients, endpoints and the platform. Standard library only; every address is a loopback address.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

/// A case that runs for longer could not run.
const LONGEST: Duration = Duration::from_secs(110);

static STARTED: OnceLock<Instant> = OnceLock::new();
static RECORD: Mutex<Option<File>> = Mutex::new(None);
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Seconds since the case began.
pub fn at() -> f64 {
    STARTED.get_or_init(Instant::now).elapsed().as_secs_f64()
}

/// Adds a line to record.txt.
pub fn note(text: impl AsRef<str>) {
    let line = format!("{:8.3} {}", at(), text.as_ref());
    println!("{line}");
    if let Some(file) = RECORD.lock().unwrap().as_mut() {
        let _ = writeln!(file, "{line}");
    }
}

pub fn pause(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Begins a case: the folder of the case is the first argument. Returns whether the disruption is wanted.
pub fn begin() -> bool {
    at();
    let folder = std::env::args().nth(1).expect("the folder of the case");
    *RECORD.lock().unwrap() = Some(File::create(Path::new(&folder).join("record.txt")).expect("record.txt"));
    std::panic::set_hook(Box::new(|info| {
        note(format!("the case could not run: {info}"));
        end_all();
        std::process::exit(2);
    }));
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST);
        note("the case took too long");
        end_all();
        std::process::exit(2);
    });
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    note(format!("the case begins, {} the disruption", if trouble { "with" } else { "without" }));
    trouble
}

/// Ends a case: with 1 if the rule was broken, otherwise with 0.
pub fn finish(broken: &[String]) -> ! {
    end_all();
    for line in broken {
        note(format!("BROKEN: {line}"));
    }
    if broken.is_empty() {
        note("the rule held");
    }
    std::process::exit(i32::from(!broken.is_empty()));
}

/// Ends a case that could not run.
pub fn cannot_run(reason: impl AsRef<str>) -> ! {
    note(format!("the case could not run: {}", reason.as_ref()));
    end_all();
    std::process::exit(2);
}

fn end_all() {
    let mut children = std::mem::take(&mut *CHILDREN.lock().unwrap_or_else(|e| e.into_inner()));
    for child in &mut children {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Waits until `done` returns something, for so many milliseconds at most.
pub fn wait_for<T>(ms: u64, mut done: impl FnMut() -> Option<T>) -> Option<T> {
    let end = Instant::now() + Duration::from_millis(ms);
    loop {
        if let Some(found) = done() {
            return Some(found);
        }
        if Instant::now() > end {
            return None;
        }
        pause(10);
    }
}

/// An address that nobody listens at, over TCP or UDP.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().unwrap();
    // The same port has to be free for UDP, too.
    if UdpSocket::bind(address).is_err() {
        return free_address();
    }
    address
}

/// The folder for the files of this run, below the one that run.sh made.
pub fn temporary(name: &str) -> PathBuf {
    let folder = PathBuf::from(std::env::var("CASE_TMP").expect("CASE_TMP")).join(name);
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    folder
}

/// The value of a key in the deploy file.
fn deploy_value(key: &str) -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml");
    let line = text.lines().find(|l| l.starts_with(&format!("{key} "))).expect("the key in the deploy file");
    line.split_once('"').unwrap().1.rsplit_once('"').unwrap().0.to_owned()
}

// ---------------------------------------------------------------------------------------------------------------
// The forwarder.

/// A forwarder as the platform starts it.
#[derive(Clone)]
pub struct Forwarder {
    pub name: String,
    /// The list for the next start, in discovery's form.
    pub known: Option<String>,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub mgmt: Option<SocketAddr>,
    pub state: PathBuf,
    pub config: PathBuf,
    pub product: Option<PathBuf>,
}

impl Forwarder {
    pub fn new(name: &str, discovery: SocketAddr) -> Forwarder {
        let folder = temporary(name);
        let state = temporary(&format!("{name}/state"));
        let config = folder.join("config.json");
        let forwarder = Forwarder {
            name: "n1".into(),
            known: None,
            listen: free_address(),
            discovery,
            mgmt: None,
            state,
            config,
            product: None,
        };
        forwarder.write_config(SETTINGS);
        forwarder
    }

    pub fn write_config(&self, settings: &str) {
        let known = self.known.as_ref().map_or(String::new(), |known| format!("\"known\":{known},"));
        let text = format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",\"discovery\":\"{}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3}},{known}\"settings\":{settings}}}",
            self.name, self.listen, self.discovery
        );
        let new = self.config.with_extension("new");
        std::fs::write(&new, text).unwrap();
        std::fs::rename(new, &self.config).unwrap();
    }

    pub fn write_product(&mut self, text: &str) {
        let path = self.config.with_file_name("product.toml");
        std::fs::write(&path, text).unwrap();
        self.product = Some(path);
    }

    /// Starts a process with the `run` command of the deploy file. Returns its id.
    pub fn start(&self, log: &str) -> u32 {
        let mut command = deploy_value("run");
        if let Some(product) = &self.product {
            command += &format!(" --product '{}'", product.display());
        }
        let log_file = File::create(self.config.with_file_name(log)).unwrap();
        let mut shell = Command::new("/bin/sh");
        shell
            .arg("-c")
            .arg(&command)
            .env("GW_NAME", &self.name)
            .env("GW_LISTEN", self.listen.to_string())
            .env("GW_DISCOVERY", self.discovery.to_string())
            .env("GW_STATE", &self.state)
            .env("GW_CONFIG", &self.config)
            .env("TMPDIR", self.config.parent().unwrap())
            .env_remove("GW_MGMT")
            .stdin(Stdio::null())
            .stdout(log_file.try_clone().unwrap())
            .stderr(log_file);
        if let Some(mgmt) = self.mgmt {
            shell.env("GW_MGMT", mgmt.to_string());
        }
        let child = shell.spawn().expect("the program starts");
        let id = child.id();
        CHILDREN.lock().unwrap().push(child);
        // For run.sh, where this program is cut off.
        let processes = PathBuf::from(std::env::var("CASE_TMP").unwrap()).join("processes");
        let _ = std::fs::OpenOptions::new()
            .append(true)
            .create(true)
            .open(processes)
            .map(|mut f| writeln!(f, "{id}"));
        note(format!("forwarder: process {log} started with: {command}"));
        id
    }

    /// The log of a process, for the record.
    pub fn copy_log(&self, log: &str) {
        let text = std::fs::read_to_string(self.config.with_file_name(log)).unwrap_or_default();
        for line in text.lines().take(60) {
            note(format!("  {log}: {line}"));
        }
    }

    /// Waits until the forwarder answers 200 to GET /ready.
    pub fn wait_ready(&self) {
        if !self.is_ready_within(20_000) {
            cannot_run("the forwarder did not become ready");
        }
        note("forwarder: ready");
    }

    pub fn is_ready_within(&self, ms: u64) -> bool {
        let ready = || {
            let answer = get(self.listen, "/ready")?;
            (answer.status == 200).then_some(())
        };
        wait_for(ms, ready).is_some()
    }
}

/// Sends a signal to a process that this case started.
pub fn signal(id: u32, name: &str) {
    note(format!("forwarder: SIG{name}"));
    let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {id}")).status();
}

/// Whether a process that this case started has ended, and its exit code.
pub fn ended(id: u32) -> Option<Option<i32>> {
    let mut children = CHILDREN.lock().unwrap();
    let child = children.iter_mut().find(|c| c.id() == id)?;
    child.try_wait().ok().flatten().map(|status| status.code())
}

// ---------------------------------------------------------------------------------------------------------------
// HTTP.

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Http {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub status: u16,
}

impl Http {
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|h| h.0.eq_ignore_ascii_case(name)).map_or("", |h| &h.1)
    }
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

pub fn read_http(reader: &mut BufReader<TcpStream>) -> Option<Http> {
    let mut line = || {
        let mut text = String::new();
        reader.read_line(&mut text).ok().filter(|n| *n > 0).map(|_| text.trim_end().to_owned())
    };
    let mut http = Http { first: line()?, ..Http::default() };
    loop {
        let text = line()?;
        let Some((name, value)) = text.split_once(':') else { break };
        http.headers.push((name.to_owned(), value.trim().to_owned()));
    }
    http.status = http.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    http.body = vec![0; http.header("content-length").parse().unwrap_or(0)];
    reader.read_exact(&mut http.body).ok()?;
    Some(http)
}

pub fn get(address: SocketAddr, path: &str) -> Option<Http> {
    exchange(
        address,
        &format!("GET {path} HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n"),
        &[],
        1000,
    )
}

/// One request on a connection of its own.
pub fn exchange(address: SocketAddr, head: &str, body: &[u8], patience_ms: u64) -> Option<Http> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(patience_ms)).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(Duration::from_millis(patience_ms))).ok()?;
    stream.write_all(&[head.as_bytes(), body].concat()).ok()?;
    read_http(&mut BufReader::new(stream))
}

/// A message that an HTTP client hands in.
#[derive(Clone)]
pub struct Message {
    pub id: String,
    pub class: &'static str,
    pub destination: u64,
    pub key: String,
    pub deadline_s: f64,
    pub body: String,
}

impl Message {
    pub fn head(&self) -> String {
        let key =
            if self.key.is_empty() { String::new() } else { format!("Idempotency-Key: {}\r\n", self.key) };
        format!(
            "POST /{0} HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: {1}\r\nX-Class: {0}\r\nX-Tenant: khangai-clubs\r\n\
             X-Deadline: {2:.3}\r\n{key}Content-Length: {3}\r\nX-Envelope: dest={4}\r\n\r\n",
            self.class,
            self.id,
            self.deadline_s,
            self.body.len(),
            self.destination
        )
    }

    /// Hands the message in on a connection of its own. Returns the status; `None` after 400 ms without one.
    pub fn hand_in(&self, to: SocketAddr) -> Option<u16> {
        let status = exchange(to, &self.head(), self.body.as_bytes(), 400).map(|answer| answer.status);
        note(format!(
            "client: {} {} to destination {}: answered {status:?}",
            self.class, self.id, self.destination
        ));
        status
    }
}

/// A call that reached an endpoint.
#[derive(Clone, Debug)]
pub struct Call {
    pub at: f64,
    pub endpoint: String,
    pub id: String,
    pub key: String,
    pub deadline_s: f64,
    pub body: String,
    /// How many calls with this body had come to any endpoint before.
    pub earlier: usize,
}

/// What an endpoint does with a call.
#[derive(Clone, Copy, Debug)]
pub enum Answer {
    /// Runs the call, waits so many milliseconds, and answers with the status.
    Run(u64, u16),
    /// Does not run the call and answers with the status.
    Refuse(u16),
    /// Runs the call, waits so many milliseconds, and resets or closes the connection without an answer.
    RunAndClose(u64),
    /// Never answers, and does not run the call.
    Silent,
    /// Runs the call, and then sends heads of interim (1xx) answers without end, a piece each so many milliseconds.
    Interim(u64),
}

/// All calls and runs, in order.
#[derive(Default)]
pub struct Log {
    pub calls: Vec<Call>,
    /// Endpoint and call of everything that took effect.
    pub runs: Vec<(String, Call)>,
    /// When each answer was written, to which call, with which status.
    pub answers: Vec<(f64, Call, u16)>,
}

pub type SharedLog = Arc<Mutex<Log>>;

/// Starts an endpoint as the protocol page describes it. A repeat with the same idempotency key is dropped for
/// `drop_ms` after the first run by the endpoints that share `dropped`, and answered like the first.
pub fn endpoint(
    name: &str, log: &SharedLog, dropped: &Arc<Mutex<BTreeMap<String, Instant>>>, drop_ms: u64,
    answer: impl Fn(&Call) -> Answer + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (name, log, dropped, answer) = (name.to_owned(), log.clone(), dropped.clone(), Arc::new(answer));
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, log, dropped, answer) = (name.clone(), log.clone(), dropped.clone(), answer.clone());
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                let mut stream = stream;
                while let Some(http) = read_http(&mut reader) {
                    let closes = http.header("connection").eq_ignore_ascii_case("close");
                    let call = {
                        let mut log = log.lock().unwrap();
                        let call = Call {
                            at: at(),
                            endpoint: name.clone(),
                            id: http.header("x-request-id").to_owned(),
                            key: http.header("idempotency-key").to_owned(),
                            deadline_s: http.header("x-deadline").parse().unwrap_or(0.0),
                            body: http.text(),
                            earlier: log.calls.iter().filter(|c| c.body == http.text()).count(),
                        };
                        log.calls.push(call.clone());
                        call
                    };
                    let todo = answer(&call);
                    let run = |log: &SharedLog| {
                        let mut seen = dropped.lock().unwrap();
                        let repeat = !call.key.is_empty()
                            && seen
                                .get(&call.key)
                                .is_some_and(|t| t.elapsed() < Duration::from_millis(drop_ms));
                        if repeat {
                            note(format!(
                                "endpoint {name}: call {} key '{}' dropped as a repeat",
                                call.id, call.key
                            ));
                            return;
                        }
                        seen.insert(call.key.clone(), Instant::now());
                        drop(seen);
                        log.lock().unwrap().runs.push((name.clone(), call.clone()));
                        note(format!(
                            "endpoint {name}: call {} key '{}' body '{}' RUNS; then {todo:?}",
                            call.id, call.key, call.body
                        ));
                    };
                    let (wait, status) = match todo {
                        Answer::Run(wait, status) => {
                            run(&log);
                            (wait, status)
                        }
                        Answer::Refuse(status) => {
                            note(format!(
                                "endpoint {name}: call {} X-Deadline {} not run, answered {status}",
                                call.id, call.deadline_s
                            ));
                            (0, status)
                        }
                        Answer::RunAndClose(wait) => {
                            run(&log);
                            pause(wait);
                            note(format!(
                                "endpoint {name}: call {}: connection closed without an answer",
                                call.id
                            ));
                            return;
                        }
                        Answer::Interim(ms) => {
                            run(&log);
                            let mut piece = &b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 100 Con"[..];
                            while stream.write_all(piece).is_ok() {
                                piece = b"tinue\r\n\r\nHTTP/1.1 100 Con";
                                pause(ms);
                            }
                            note(format!("endpoint {name}: call {}: its connection has ended", call.id));
                            return;
                        }
                        Answer::Silent => {
                            note(format!("endpoint {name}: call {} gets no answer", call.id));
                            loop {
                                pause(1000);
                            }
                        }
                    };
                    pause(wait);
                    let close = if closes { "Connection: close\r\n" } else { "" };
                    let text = format!("HTTP/1.1 {status} X\r\n{close}Content-Length: 0\r\n\r\n");
                    if stream.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                    log.lock().unwrap().answers.push((at(), call.clone(), status));
                    if closes {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Discovery, and where notices go.
#[derive(Default)]
pub struct Platform {
    pub entries: Vec<String>,
    pub generation: u64,
    /// Discovery is down: it answers 503, and notices are taken all the same.
    pub down: bool,
    /// Id, state and time of each notice.
    pub notices: Vec<(String, String, f64)>,
}

pub fn entry(id: &str, address: SocketAddr, zone: &str, kind: &str, destination: u64, weight: f64) -> String {
    format!(
        "{{\"instanceId\":\"{id}\",\"hostPort\":\"{address}\",\"zone\":\"{zone}\",\"machineType\":\"{kind}\",\
         \"cell\":{destination},\"lifecycle\":\"Ready\",\"weight\":{weight:.1},\"startedAtMs\":0}}"
    )
}

/// Starts discovery.
pub fn platform(entries: Vec<String>) -> (SocketAddr, Arc<Mutex<Platform>>) {
    let state = Arc::new(Mutex::new(Platform { entries, generation: 41, down: false, notices: Vec::new() }));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let shared = state.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let shared = shared.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                let mut stream = stream;
                while let Some(http) = read_http(&mut reader) {
                    let text = if http.first.starts_with("POST") {
                        for line in http.text().lines() {
                            let field = |name: &str| {
                                let rest = line.split_once(&format!("\"{name}\":\"")).map_or("", |r| r.1);
                                rest.split('"').next().unwrap_or("").to_owned()
                            };
                            note(format!("platform: notice {line}"));
                            shared.lock().unwrap().notices.push((field("id"), field("state"), at()));
                        }
                        "HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n".to_owned()
                    } else if shared.lock().unwrap().down {
                        "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n".to_owned()
                    } else {
                        let number = |name: &str| {
                            let rest = http.first.split_once(&format!("{name}=")).map_or("", |r| r.1);
                            let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
                            digits.parse::<u64>().ok()
                        };
                        let since = number("since");
                        let wait = number("timeout_ms").unwrap_or(0);
                        if since.is_some() {
                            wait_for(wait, || {
                                (Some(shared.lock().unwrap().generation) != since).then_some(())
                            });
                        }
                        let state = shared.lock().unwrap();
                        let same = Some(state.generation) == since;
                        let entries = if same { String::new() } else { state.entries.join(",") };
                        let body = format!(
                            "{{\"generation\":{},\"reset\":{},\"instances\":[{entries}]}}",
                            state.generation, !same
                        );
                        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
                    };
                    if stream.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, state)
}

// ---------------------------------------------------------------------------------------------------------------
// SMPP v3.4, byte by byte.

/// A client's session.
pub struct Esme {
    pub name: String,
    stream: TcpStream,
    received: Arc<Mutex<Vec<Pdu>>>,
    sequence: u32,
    /// From now on the client neither reads nor answers: its machine has vanished.
    pub vanished: Arc<Mutex<bool>>,
}

#[derive(Clone, Debug)]
pub struct Pdu {
    pub at: f64,
    pub command: u32,
    pub status: u32,
    pub sequence: u32,
    pub body: Vec<u8>,
}

impl Pdu {
    pub fn text(&self) -> String {
        self.body
            .iter()
            .map(|b| if b.is_ascii_graphic() || *b == b' ' { char::from(*b) } else { '.' })
            .collect()
    }
}

fn pdu(command: u32, status: u32, sequence: u32, body: &[u8]) -> Vec<u8> {
    let head = [16 + body.len() as u32, command, status, sequence];
    head.iter().flat_map(|n| n.to_be_bytes()).chain(body.iter().copied()).collect()
}

impl Esme {
    /// Connects and binds as a transceiver.
    pub fn bind(name: &str, to: SocketAddr, system_id: &str) -> Esme {
        let stream = wait_for(5000, || TcpStream::connect(to).ok()).expect("the SMPP address");
        let _ = stream.set_nodelay(true);
        let received: Arc<Mutex<Vec<Pdu>>> = Arc::default();
        let vanished = Arc::new(Mutex::new(false));
        let mut esme = Esme { name: name.into(), stream, received, sequence: 0, vanished };
        let (mut reader, mut writer) = (esme.stream.try_clone().unwrap(), esme.stream.try_clone().unwrap());
        let (received, vanished, own) = (esme.received.clone(), esme.vanished.clone(), esme.name.clone());
        std::thread::spawn(move || {
            loop {
                let mut head = [0; 16];
                if reader.read_exact(&mut head).is_err() {
                    return note(format!("{own}: the connection has ended"));
                }
                let field = |i: usize| u32::from_be_bytes(head[i..i + 4].try_into().unwrap());
                let mut body = vec![0; field(0) as usize - 16];
                if reader.read_exact(&mut body).is_err() {
                    return;
                }
                if *vanished.lock().unwrap() {
                    loop {
                        pause(1000);
                    }
                }
                let got = Pdu { at: at(), command: field(4), status: field(8), sequence: field(12), body };
                match got.command {
                    0x05 => {
                        note(format!("{own}: receipt {}", got.text()));
                        let _ = writer.write_all(&pdu(0x8000_0005, 0, got.sequence, &[0]));
                    }
                    0x15 => drop(writer.write_all(&pdu(0x8000_0015, 0, got.sequence, &[]))),
                    0x06 => drop(writer.write_all(&pdu(0x8000_0006, 0, got.sequence, &[]))),
                    _ => {}
                }
                received.lock().unwrap().push(got);
            }
        });
        let sequence = esme.send(0x09, &[system_id.as_bytes(), b"\0\0\0\x34\0\0\0"].concat());
        match esme.response(sequence, 3000) {
            Some(resp) if resp.status == 0 => note(format!("{name}: bound as {system_id}")),
            other => cannot_run(format!("{name}: the bind failed: {other:?}")),
        }
        esme
    }

    fn send(&mut self, command: u32, body: &[u8]) -> u32 {
        self.sequence += 1;
        let _ = self.stream.write_all(&pdu(command, 0, self.sequence, body));
        self.sequence
    }

    fn response(&self, sequence: u32, ms: u64) -> Option<Pdu> {
        wait_for(ms, || {
            let received = self.received.lock().unwrap();
            received.iter().find(|p| p.command >= 0x8000_0000 && p.sequence == sequence).cloned()
        })
    }

    /// Submits a message. Returns its id if it was taken on.
    pub fn submit(&mut self, service: &str, to: &str, text: &str, validity: &str) -> Option<String> {
        let mut body =
            [service.as_bytes(), b"\0\x01\x01", b"7700\0", b"\x01\x01", to.as_bytes(), b"\0"].concat();
        body.extend([0, 0, 0, 0]); // esm_class, protocol_id, priority, schedule_delivery_time
        body.extend([validity.as_bytes(), b"\0"].concat());
        body.extend([1, 0, 0, 0, text.len() as u8]);
        body.extend(text.as_bytes());
        let sequence = self.send(0x04, &body);
        let resp = self.response(sequence, 3000);
        let id = resp.as_ref().filter(|r| r.status == 0).map(|r| r.text().trim_end_matches('.').to_owned());
        note(format!(
            "{}: submit_sm '{text}' service '{service}' to {to}: status {:?}, id {id:?}",
            self.name,
            resp.map(|r| r.status)
        ));
        id
    }

    /// The receipts of a message: when each came, and its `stat`.
    pub fn receipts(&self, id: &str) -> Vec<(f64, String)> {
        let received = self.received.lock().unwrap();
        let all = received.iter().filter(|p| p.command == 0x05 && p.text().contains(&format!("id:{id} ")));
        all.map(|p| {
            let text = p.text();
            let stat =
                text.split_once("stat:").map_or("", |t| t.1).split(' ').next().unwrap_or("").to_owned();
            (p.at, stat)
        })
        .collect()
    }

    /// The machine of this client vanishes: its connection stays open and silent.
    pub fn vanish(&self) {
        *self.vanished.lock().unwrap() = true;
        note(format!("{}: its machine vanishes; the connection stays open and silent", self.name));
    }
}

// ---------------------------------------------------------------------------------------------------------------
// DNS updates (RFC 2136).

/// One change of a dynamic update: name (without the origin), type, class, time to live, data.
pub type Change<'a> = (&'a str, u16, u16, u32, Vec<u8>);

pub fn dns_name(name: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    for label in name.split('.').filter(|l| !l.is_empty()) {
        bytes.push(label.len() as u8);
        bytes.extend(label.as_bytes());
    }
    bytes.push(0);
    bytes
}

/// Sends an update and returns the response code.
pub fn dns_update(to: SocketAddr, origin: &str, id: u16, changes: &[Change]) -> Option<u8> {
    let mut bytes = Vec::new();
    for word in [id, 5 << 11, 1, 0, changes.len() as u16, 0] {
        bytes.extend(word.to_be_bytes());
    }
    bytes.extend(dns_name(origin));
    bytes.extend([0, 6, 0, 1]); // SOA, IN
    for (name, rtype, class, ttl, data) in changes {
        bytes.extend(dns_name(&format!("{name}.{origin}")));
        bytes.extend(rtype.to_be_bytes());
        bytes.extend(class.to_be_bytes());
        bytes.extend(ttl.to_be_bytes());
        bytes.extend((data.len() as u16).to_be_bytes());
        bytes.extend(data);
    }
    let socket = UdpSocket::bind("127.0.0.1:0").ok()?;
    socket.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    socket.send_to(&bytes, to).ok()?;
    let mut answer = [0; 512];
    let n = socket.recv(&mut answer).ok()?;
    (n >= 12 && answer[..2] == id.to_be_bytes()).then(|| answer[3] & 15)
}

pub fn txt(texts: &[&str]) -> Vec<u8> {
    texts.iter().flat_map(|t| [&[t.len() as u8], t.as_bytes()].concat()).collect()
}

/// Settings like those of a small deployment: the names and figures of `ub-head-office`.
pub const SETTINGS: &str = r#"{"azs":["floor-2","floor-4"],
 "classes":[
  {"effect":"repeatable","giveUpUs":5000000,"group":"all","lateShare":0.1,"name":"status","streamed":false,"targetUs":800000,"windowUs":5000000,"worth":1.0},
  {"effect":"by_key","giveUpUs":16000000,"group":"zone","lateShare":0.5,"name":"booking","streamed":false,"targetUs":4000000,"windowUs":6000000,"worth":1.0},
  {"effect":"once","giveUpUs":28000000,"group":"all","lateShare":0.4,"name":"payment","streamed":false,"targetUs":2500000,"windowUs":5000000,"worth":3.0}],
 "clientHabits":{"marksRetry":true},"discovery":"subscribe",
 "extra":{"fades":"line","feeByZone":[0.06,0.0],"kindApart":[true,false],"notes":"","perCall":[1,1],"refusedPrice":0.05,"reportX0":"","reportX1":"","slots":24},
 "family":"deliver","feedback":{"columns":[],"how":"off"},
 "goal":{"whole":0.5,"worstClass":0.2,"worstTenant":0.1,"worstWindow":0.2},"hostTypes":["bank","club"],
 "limits":{"cancel":true,"connIdleUs":5000000,"connectTimeoutUs":1000000,"cpuUsPerRequest":0.0,"cpuUsPerS":507692,"maxAttempts":12,"maxOpen":450,"maxRetryAfterUs":3000000,"multiplex":1,"peerMessages":false,"probes":true,"retryAfter":false,"secondCopies":false},
 "myZone":"floor-2","overShareWorth":0.05,
 "prices":{"connection":0.0,"crossZone":0.0,"discovery":0.0,"handshake":0.02,"lateFail":0.02,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.01,"waste":0.05},
 "replicasOfMe":2,
 "rules":{"answerSlackUs":20000,"askEveryUs":10000000,"coldFrom":0.17,"fallMultiple":2.0,"fallUs":3000000,"stopSendingWithinUs":1000000,"warmWithinUs":12000000},
 "slotNo":0,
 "tenants":[{"allowancePerS":41.0,"fraction":0.51,"name":"khangai-clubs"},{"allowancePerS":24.0,"fraction":0.3,"name":"selenge-fit"},{"allowancePerS":15.0,"fraction":0.19,"name":"orkhon-gym"}],
 "tickUs":5000,"tier":0,"tiers":["partner-systems"],"weightSource":"rough","worthBy":"request"}"#;
