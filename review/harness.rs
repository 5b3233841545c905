//! Stand-ins and helpers that the cases share: the platform (discovery and notices), endpoints, clients, and
//! the forwarder as a separate process, started by the command of the deploy file. Standard library only.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// `prctl`: the signal that a process gets when the one that started it dies.
const PR_SET_PDEATHSIG: i32 = 1;

/// Exit codes of a script.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Writes `record.txt`: one line for each thing that was sent, answered or run.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn open(path: &Path) -> Arc<Record> {
        let file = File::create(path).expect("record.txt can be written");
        Arc::new(Record { start: Instant::now(), file: Mutex::new(file) })
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.start.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Seconds since the start of the case.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }
}

/// The folder of a case, its temporary folder, and whether the disruption takes place.
pub struct Case {
    pub record: Arc<Record>,
    pub folder: PathBuf,
    pub temporary: PathBuf,
    pub trouble: bool,
    root: PathBuf,
    pids: Arc<Mutex<Vec<i32>>>,
}

impl Case {
    /// `REVIEW_CASE` names the folder of the case; the current folder is the root of the repository.
    pub fn open() -> Case {
        let folder =
            PathBuf::from(std::env::var("REVIEW_CASE").expect("REVIEW_CASE names the case's folder"));
        let root = std::env::current_dir().expect("there is a current folder");
        let temporary = std::env::temp_dir().join(format!("onyxrock-review-{}", std::process::id()));
        fs::create_dir_all(&temporary).expect("a temporary folder can be made");
        let record = Record::open(&folder.join("record.txt"));
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        record.line(&format!("case starts, disruption {}", if trouble { "on" } else { "off" }));
        let pids = Arc::new(Mutex::new(Vec::new()));
        let case = Case { record, folder, temporary, trouble, root, pids };
        case.end_all_on_panic();
        case.watch_time();
        case
    }

    /// A case that fails by itself could not run, and leaves nothing behind.
    fn end_all_on_panic(&self) {
        let (pids, record) = (self.pids.clone(), self.record.clone());
        std::panic::set_hook(Box::new(move |panic| {
            record.line(&format!("the case failed by itself: {panic}"));
            let pids = pids.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
            pids.iter().for_each(|pid| signal(*pid, SIGKILL));
            std::process::exit(NOT_RUN);
        }));
    }

    /// Ends everything before the limit of 120 seconds.
    fn watch_time(&self) {
        let (pids, record, temporary) = (self.pids.clone(), self.record.clone(), self.temporary.clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(112));
            record.line("the case took too long and is ended");
            pids.lock().unwrap().iter().for_each(|pid| signal(*pid, SIGKILL));
            let _ = fs::remove_dir_all(temporary);
            std::process::exit(NOT_RUN);
        });
    }

    /// Ends all processes, removes the temporary folder and exits.
    pub fn finish(self, code: i32, text: &str) -> ! {
        let verdict = match code {
            HELD => "HELD",
            BROKEN => "BROKEN",
            _ => "NOT RUN",
        };
        self.record.line(&format!("{verdict}: {text}"));
        println!("{verdict}: {text}");
        self.pids.lock().unwrap().iter().for_each(|pid| signal(*pid, SIGKILL));
        thread::sleep(Duration::from_millis(100));
        let _ = fs::remove_dir_all(&self.temporary);
        std::process::exit(code)
    }
}

fn signal(pid: i32, number: i32) {
    // SAFETY: `kill` takes two integers and touches no memory of this process.
    unsafe {
        kill(pid, number);
    }
}

/// An address that was free a moment ago.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port")
}

// --- The forwarder ------------------------------------------------------------------------------------------

/// The seed differs from start to start.
static SEED: AtomicU64 = AtomicU64::new(1);

/// What a process of the forwarder is started with.
#[derive(Clone)]
pub struct Setup {
    pub name: String,
    pub listen: SocketAddr,
    pub mgmt: SocketAddr,
    pub discovery: SocketAddr,
    pub state: PathBuf,
    /// Text of the `limits` object.
    pub limits: String,
    /// Text of the `settings` object.
    pub settings: String,
    /// Text of the `known` list, in discovery's form.
    pub known: String,
    /// Text of the file of `--product`; empty for none.
    pub product: String,
    /// It starts beside the running process: `$TMPDIR` is shared with it and not emptied.
    pub beside: bool,
}

pub struct Forwarder {
    child: Child,
    pub pid: i32,
    pub listen: SocketAddr,
    pub mgmt: SocketAddr,
    label: String,
    record: Arc<Record>,
    /// The processes that run; one that has been waited for is none of them any more.
    pids: Arc<Mutex<Vec<i32>>>,
}

/// The command that starts one forwarder, out of `deploy/balancer.toml`.
fn run_command(root: &Path) -> String {
    let text =
        fs::read_to_string(root.join("deploy/balancer.toml")).expect("deploy/balancer.toml can be read");
    let line = text.lines().find(|l| l.trim_start().starts_with("run")).expect("the deploy file has `run`");
    line.split('"').nth(1).expect("`run` is a text").to_owned()
}

impl Forwarder {
    pub fn start(case: &Case, label: &str, setup: &Setup) -> Forwarder {
        let folder = case.temporary.join(label);
        fs::create_dir_all(&folder).expect("a folder for the configuration");
        let private = case.temporary.join("tmp");
        if !setup.beside {
            let _ = fs::remove_dir_all(&private);
        }
        fs::create_dir_all(&private).expect("a private folder");
        fs::create_dir_all(&setup.state).expect("a state folder");
        let config = folder.join("config.json");
        let text = format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",\"mgmt\":\"{}\",\"discovery\":\"{}\",\"seed\":\"{:016x}\",\
             \"limits\":{},\"known\":{},\"settings\":{}}}",
            setup.name,
            setup.listen,
            setup.mgmt,
            setup.discovery,
            0x8c1f30d27a5b0000 + SEED.fetch_add(1, Ordering::SeqCst),
            setup.limits,
            setup.known,
            setup.settings
        );
        fs::write(&config, text).expect("a configuration");
        let log = File::create(folder.join("log.txt")).expect("a log");
        let mut command = run_command(&case.root);
        if !setup.product.is_empty() {
            let product = folder.join("product.toml");
            fs::write(&product, &setup.product).expect("a product file");
            command = format!("{command} --product '{}'", product.display());
        }
        let mut shell = Command::new("/bin/sh");
        // SAFETY: the call between fork and exec is one system call with two integers. A case that is killed
        // from outside leaves no forwarder behind.
        unsafe {
            shell.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = shell
            .arg("-c")
            .arg(command)
            .current_dir(&case.root)
            .env("GW_NAME", &setup.name)
            .env("GW_LISTEN", setup.listen.to_string())
            .env("GW_MGMT", setup.mgmt.to_string())
            .env("GW_DISCOVERY", setup.discovery.to_string())
            .env("GW_STATE", &setup.state)
            .env("GW_CONFIG", &config)
            .env("TMPDIR", &private)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the forwarder starts");
        let pid = child.id() as i32;
        case.pids.lock().unwrap().push(pid);
        case.record.line(&format!("forwarder {label} started"));
        let (listen, mgmt, label) = (setup.listen, setup.mgmt, label.to_owned());
        Forwarder { child, pid, listen, mgmt, label, record: case.record.clone(), pids: case.pids.clone() }
    }

    /// Waits until `GET /ready` is answered with 200.
    pub fn wait_ready(&self, within: Duration) -> bool {
        let end = Instant::now() + within;
        while Instant::now() < end {
            if get_status(self.listen, "/ready") == Some(200) {
                self.record.line(&format!("forwarder {} is ready", self.label));
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Waits until the operators' call `status` is answered with 200.
    pub fn wait_status(&self, within: Duration) -> bool {
        let end = Instant::now() + within;
        while Instant::now() < end {
            if operator_call(self.mgmt, "status").is_some_and(|answer| answer.starts_with("200")) {
                self.record.line(&format!("forwarder {} says that it is ready", self.label));
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Sends a signal, unless the process has ended.
    pub fn signal(&mut self, number: i32) {
        if self.runs() {
            self.record.line(&format!("signal {number} to forwarder {}", self.label));
            signal(self.pid, number);
        }
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&mut self) {
        self.signal(SIGKILL);
        let mut pids = self.pids.lock().unwrap();
        let _ = self.child.wait();
        pids.retain(|pid| *pid != self.pid);
    }

    /// Waits for the end of the process.
    pub fn wait_end(&mut self, within: Duration) -> bool {
        let end = Instant::now() + within;
        while Instant::now() < end {
            if !self.runs() {
                self.record.line(&format!("forwarder {} has ended", self.label));
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }

    pub fn runs(&mut self) -> bool {
        // The list is held meanwhile, so that nobody signals the number of a process that was waited for.
        let mut pids = self.pids.lock().unwrap();
        let runs = matches!(self.child.try_wait(), Ok(None));
        if !runs {
            pids.retain(|pid| *pid != self.pid);
        }
        runs
    }

    /// Copies the lines of the forwarder's log that contain one of the words into the record.
    pub fn log_to_record(&self, case: &Case, words: &[&str]) {
        let text = fs::read_to_string(case.temporary.join(&self.label).join("log.txt")).unwrap_or_default();
        let lines: Vec<_> = text.lines().filter(|l| words.iter().any(|w| l.contains(w))).collect();
        lines.iter().take(6).for_each(|l| self.record.line(&format!("log of {}: {l}", self.label)));
        if lines.len() > 6 {
            self.record.line(&format!("log of {}: {} more such lines", self.label, lines.len() - 6));
        }
    }
}

pub fn operator_call(address: SocketAddr, call: &str) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(1000))).ok()?;
    stream.write_all(format!("{call}\n").as_bytes()).ok()?;
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    Some(answer)
}

// --- HTTP ---------------------------------------------------------------------------------------------------

/// A request or an answer as it came over a connection.
#[derive(Clone, Debug)]
pub struct Message {
    pub first_line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads one message; `kept` holds what was read beyond the message before.
pub fn read_message(stream: &mut TcpStream, kept: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut block = [0; 16 * 1024];
    loop {
        if let Some(end) = kept.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&kept[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let first_line = lines.next().unwrap_or("").to_owned();
            let headers: BTreeMap<String, String> = lines
                .filter_map(|l| l.split_once(':'))
                .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
                .collect();
            let length: usize = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
            while kept.len() < end + 4 + length {
                let n = stream.read(&mut block)?;
                if n == 0 {
                    return Ok(None);
                }
                kept.extend_from_slice(&block[..n]);
            }
            let body = kept[end + 4..end + 4 + length].to_vec();
            kept.drain(..end + 4 + length);
            return Ok(Some(Message { first_line, headers, body }));
        }
        let n = stream.read(&mut block)?;
        if n == 0 {
            return Ok(None);
        }
        kept.extend_from_slice(&block[..n]);
    }
}

fn status_of(answer: &Message) -> Option<u16> {
    answer.first_line.split(' ').nth(1)?.parse().ok()
}

pub fn get_status(address: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(300)).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: app.svc\r\n\r\n").as_bytes()).ok()?;
    status_of(&read_message(&mut stream, &mut Vec::new()).ok()??)
}

// --- Clients ------------------------------------------------------------------------------------------------

/// A message to hand in.
#[derive(Clone, Debug)]
pub struct HandIn {
    pub id: String,
    pub class: String,
    pub tenant: String,
    pub destination: u64,
    pub deadline: f64,
    pub key: Option<String>,
    pub body: Vec<u8>,
}

/// A client with one kept connection.
pub struct Client {
    address: SocketAddr,
    record: Arc<Record>,
    stream: Option<TcpStream>,
}

impl Client {
    pub fn new(case: &Case, address: SocketAddr) -> Client {
        Client { address, record: case.record.clone(), stream: None }
    }

    /// Hands in a message and waits 400 ms for the answer, as clients do. Returns the moment of sending and
    /// the status.
    pub fn hand_in(&mut self, message: &HandIn) -> (Instant, Option<u16>) {
        let sent = Instant::now();
        let status = self.exchange(message);
        if status.is_none() {
            self.stream = None;
        }
        let shown = status.map_or("no answer".to_owned(), |s| s.to_string());
        self.record.line(&format!(
            "client hands in {} class {} dest {} deadline {:.3} body {} bytes: {shown}",
            message.id,
            message.class,
            message.destination,
            message.deadline,
            message.body.len()
        ));
        (sent, status)
    }

    fn exchange(&mut self, message: &HandIn) -> Option<u16> {
        if self.stream.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, Duration::from_millis(400)).ok()?;
            stream.set_nodelay(true).ok()?;
            stream.set_read_timeout(Some(Duration::from_millis(400))).ok()?;
            self.stream = Some(stream);
        }
        let key = message.key.as_ref().map_or(String::new(), |k| format!("Idempotency-Key: {k}\r\n"));
        let mut bytes = format!(
            "POST /{} HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: {}\r\nX-Class: {}\r\nX-Tenant: {}\r\n\
             X-Deadline: {:.3}\r\n{key}Content-Length: {}\r\nX-Envelope: dest={}\r\n\r\n",
            message.class,
            message.id,
            message.class,
            message.tenant,
            message.deadline,
            message.body.len(),
            message.destination
        )
        .into_bytes();
        bytes.extend_from_slice(&message.body);
        let stream = self.stream.as_mut()?;
        stream.write_all(&bytes).ok()?;
        let answer = read_message(stream, &mut Vec::new()).ok()??;
        let status = status_of(&answer);
        if answer.header("connection").eq_ignore_ascii_case("close") {
            self.stream = None;
        }
        status
    }
}

// --- The platform -------------------------------------------------------------------------------------------

/// One endpoint in discovery's list.
#[derive(Clone, Debug)]
pub struct Listed {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub cell: u64,
    pub lifecycle: String,
    pub weight: f64,
}

impl Listed {
    fn json(&self) -> String {
        format!(
            "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"{}\",\"machineType\":\"{}\",\"cell\":{},\
             \"lifecycle\":\"{}\",\"weight\":{:.1},\"startedAtMs\":0}}",
            self.name, self.address, self.zone, self.kind, self.cell, self.lifecycle, self.weight
        )
    }
}

#[derive(Default)]
struct PlatformState {
    generation: u64,
    /// Each entry with the generation in which it changed last.
    entries: Vec<(Listed, u64)>,
    /// Discovery is down: list calls end with 503. Notices are answered all the same.
    down: bool,
    notices: Vec<(Instant, String, String)>,
}

/// Discovery and the receiver of notices, at one address.
#[derive(Clone)]
pub struct Platform {
    pub address: SocketAddr,
    state: Arc<(Mutex<PlatformState>, Condvar)>,
    record: Arc<Record>,
}

impl Platform {
    pub fn start(case: &Case, entries: Vec<Listed>) -> Platform {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the platform");
        let address = listener.local_addr().expect("an address");
        let generation = 41;
        let entries = entries.into_iter().map(|entry| (entry, generation)).collect();
        let state = PlatformState { generation, entries, ..PlatformState::default() };
        let platform = Platform {
            address,
            state: Arc::new((Mutex::new(state), Condvar::new())),
            record: case.record.clone(),
        };
        let acceptor = platform.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let platform = acceptor.clone();
                thread::spawn(move || {
                    let _ = platform.serve(stream);
                });
            }
        });
        platform
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut kept = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut kept)? {
            let mut words = request.first_line.split(' ');
            let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or("").to_owned());
            if method == "POST" && target == "/v1/outcomes" {
                self.take_notices(&request.body);
                stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n")?;
                continue;
            }
            match self.list(&target) {
                Some(body) => {
                    self.record.line("discovery: list call answered");
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                    stream.write_all(head.as_bytes())?;
                    stream.write_all(body.as_bytes())?;
                }
                None => {
                    self.record.line("discovery is down: list call answered 503");
                    stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")?;
                }
            }
        }
        Ok(())
    }

    fn take_notices(&self, body: &[u8]) {
        let text = String::from_utf8_lossy(body).into_owned();
        let field = |line: &str, name: &str| {
            let rest = line.split_once(&format!("\"{name}\":\""))?.1;
            Some(rest.split('"').next()?.to_owned())
        };
        let mut state = self.state.0.lock().unwrap();
        for line in text.lines().filter(|l| !l.trim().is_empty()) {
            if let (Some(id), Some(what)) = (field(line, "id"), field(line, "state")) {
                self.record.line(&format!("notice: {id} {what}"));
                state.notices.push((Instant::now(), id, what));
            }
        }
    }

    /// The answer to a list call; none while discovery is down.
    fn list(&self, target: &str) -> Option<String> {
        let parameter = |name: &str| -> Option<u64> {
            let query = target.split_once('?')?.1;
            query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='))?.parse().ok()
        };
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        let since = parameter("since");
        if let Some(since) = since {
            let end =
                Instant::now() + Duration::from_millis(parameter("timeout_ms").unwrap_or(0).min(60_000));
            while state.generation <= since && !state.down {
                let left = end.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    break;
                }
                state = changed.wait_timeout(state, left).unwrap().0;
            }
        }
        if state.down {
            return None;
        }
        let named = |entry: &&(Listed, u64)| match since {
            Some(since) => entry.1 > since,
            None => entry.0.lifecycle != "Gone",
        };
        let entries: Vec<_> = state.entries.iter().filter(named).map(|(entry, _)| entry.json()).collect();
        Some(format!(
            "{{\"generation\":{},\"reset\":{},\"instances\":[{}]}}",
            state.generation,
            since.is_none(),
            entries.join(",")
        ))
    }

    /// The list in the form in which the configuration names it as `known`.
    pub fn known(&self) -> String {
        self.list("/v1/endpoints").unwrap_or_else(|| "null".to_owned())
    }

    pub fn set_down(&self, down: bool) {
        self.record.line(if down { "discovery goes down" } else { "discovery is back" });
        self.state.0.lock().unwrap().down = down;
        self.state.1.notify_all();
    }

    /// All notices for a message.
    pub fn notices(&self, id: &str) -> Vec<(Instant, String)> {
        let state = self.state.0.lock().unwrap();
        state.notices.iter().filter(|n| n.1 == id).map(|n| (n.0, n.2.clone())).collect()
    }
}

// --- Endpoints ----------------------------------------------------------------------------------------------

/// A call as it reached an endpoint.
#[derive(Clone, Debug)]
pub struct Call {
    pub at: Instant,
    pub id: String,
    pub key: String,
    pub body: Vec<u8>,
}

/// Writes the answer to a call; returns false to close the connection.
pub type Answer = Arc<dyn Fn(&Call, &mut TcpStream) -> bool + Send + Sync>;

#[derive(Clone)]
pub struct Endpoint {
    pub address: SocketAddr,
    calls: Arc<Mutex<Vec<Call>>>,
    answered: Arc<Mutex<BTreeMap<String, Instant>>>,
}

impl Endpoint {
    pub fn start(
        case: &Case, name: &str, answer: impl Fn(&Call, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> Endpoint {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for an endpoint");
        let address = listener.local_addr().expect("an address");
        let endpoint = Endpoint { address, calls: Arc::default(), answered: Arc::default() };
        let (acceptor, record, name) = (endpoint.clone(), case.record.clone(), name.to_owned());
        let answer: Answer = Arc::new(answer);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (endpoint, record, name, answer) =
                    (acceptor.clone(), record.clone(), name.clone(), answer.clone());
                thread::spawn(move || {
                    let _ = endpoint.serve(stream, &record, &name, &answer);
                });
            }
        });
        endpoint
    }

    fn serve(&self, mut stream: TcpStream, record: &Record, name: &str, answer: &Answer) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut kept = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut kept)? {
            if !request.first_line.starts_with("POST /inbox") {
                stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            }
            let call = Call {
                at: Instant::now(),
                id: request.header("x-request-id").to_owned(),
                key: request.header("idempotency-key").to_owned(),
                body: request.body.clone(),
            };
            record.line(&format!(
                "endpoint {name}: call {} ({} bytes), forwarder waits {}",
                call.id,
                call.body.len(),
                request.header("x-deadline")
            ));
            self.calls.lock().unwrap().push(call.clone());
            if !answer(&call, &mut stream) {
                break;
            }
            self.answered.lock().unwrap().entry(call.id).or_insert(Instant::now());
        }
        let _ = stream.shutdown(Shutdown::Both);
        Ok(())
    }

    /// The calls whose answer was written to the end, by id, with the moment of the first.
    pub fn answered(&self) -> BTreeMap<String, Instant> {
        self.answered.lock().unwrap().clone()
    }

    pub fn calls(&self) -> Vec<Call> {
        self.calls.lock().unwrap().clone()
    }
}

pub fn respond(stream: &mut TcpStream, status: &str) -> bool {
    stream.write_all(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").as_bytes()).is_ok()
}

/// A flag that threads share.
#[derive(Clone, Default)]
pub struct Flag(Arc<AtomicBool>);

impl Flag {
    pub fn set(&self, value: bool) {
        self.0.store(value, Ordering::SeqCst);
    }
    pub fn get(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// A counter that threads share.
#[derive(Clone, Default)]
pub struct Count(Arc<AtomicU64>);

impl Count {
    pub fn add(&self) -> u64 {
        self.0.fetch_add(1, Ordering::SeqCst) + 1
    }
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::SeqCst)
    }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// The tenants of the site, as the wire page has them.
pub const TENANTS: &str = "[{\"allowancePerS\":41.0,\"fraction\":0.51,\"name\":\"khangai-clubs\"},{\"allowancePerS\":24.0,\"fraction\":0.3,\"name\":\"selenge-fit\"},{\"allowancePerS\":15.0,\"fraction\":0.19,\"name\":\"orkhon-gym\"}]";

/// The settings object of a small deployment, in the words of the wire page.
pub struct Settings {
    pub zones: &'static str,
    pub classes: String,
    pub discovery: &'static str,
    pub max_attempts: u32,
    pub max_open: u32,
    pub slots: u32,
    pub second_copies: bool,
    pub tenants: &'static str,
}

impl Settings {
    pub fn text(&self) -> String {
        format!(
            "{{\"azs\":{},\"classes\":[{}],\"clientHabits\":{{\"marksRetry\":true}},\"discovery\":\"{}\",\
             \"extra\":{{\"fades\":\"line\",\"feeByZone\":[0.06,0.0],\"kindApart\":[true,false],\"notes\":\"-\",\
             \"perCall\":[1,1],\"refusedPrice\":0.05,\"slots\":{}}},\
             \"family\":\"deliver\",\"feedback\":{{\"columns\":[],\"how\":\"off\"}},\
             \"goal\":{{\"whole\":0.5,\"worstClass\":0.2,\"worstTenant\":0.1,\"worstWindow\":0.2}},\
             \"hostTypes\":[\"bank\",\"club\"],\
             \"limits\":{{\"cancel\":true,\"connIdleUs\":5000000,\"connectTimeoutUs\":1000000,\
             \"cpuUsPerRequest\":0.0,\"cpuUsPerS\":507692,\"maxAttempts\":{},\"maxOpen\":{},\
             \"maxRetryAfterUs\":3000000,\"multiplex\":1,\"peerMessages\":false,\"probes\":true,\
             \"retryAfter\":false,\"secondCopies\":{}}},\
             \"myZone\":\"floor-2\",\"overShareWorth\":0.05,\
             \"prices\":{{\"connection\":0.0,\"crossZone\":0.0,\"discovery\":0.0,\"handshake\":0.02,\
             \"lateFail\":0.02,\"moves\":0.0,\"origin\":0.0,\"peer\":0.0,\"probe\":0.01,\"waste\":0.05}},\
             \"replicasOfMe\":2,\
             \"rules\":{{\"answerSlackUs\":20000,\"askEveryUs\":10000000,\"coldFrom\":0.17,\"fallMultiple\":2.0,\
             \"fallUs\":3000000,\"stopSendingWithinUs\":1000000,\"warmWithinUs\":12000000}},\
             \"slotNo\":0,\"tenants\":{},\"tickUs\":5000,\"tier\":0,\"tiers\":[\"partner-systems\"],\
             \"weightSource\":\"rough\",\"worthBy\":\"request\"}}",
            self.zones,
            self.classes,
            self.discovery,
            self.slots,
            self.max_attempts,
            self.max_open,
            self.second_copies,
            self.tenants
        )
    }
}

pub fn class(
    name: &str, effect: &str, group: &str, target_s: f64, give_up_s: f64, window_s: f64, worth: f64,
) -> String {
    format!(
        "{{\"effect\":\"{effect}\",\"giveUpUs\":{},\"group\":\"{group}\",\"lateShare\":0.1,\"name\":\"{name}\",\
         \"streamed\":false,\"targetUs\":{},\"windowUs\":{},\"worth\":{worth:.1}}}",
        (give_up_s * 1e6) as u64,
        (target_s * 1e6) as u64,
        (window_s * 1e6) as u64
    )
}
