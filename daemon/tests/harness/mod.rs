//! Test harness: simulated clients, endpoints, platform and SMPP peers, and the daemon under test between
//! them.

pub mod crowd;
pub mod dns;
mod http;
pub mod memory;
mod operators;
pub mod pressure;
pub mod smpp;

use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Limits how long a failing test runs: every expected event takes far less time.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);
/// Gives each harness of this process a folder of its own.
static NEXT_FOLDER_INDEX: AtomicU64 = AtomicU64::new(0);

/// The result of one scenario step; the error text says why the step failed.
pub type StepResult = Result<(), String>;

/// The scenario's side of one simulated peer: the events that the peer recorded, in order, and its open
/// connections.
pub struct PeerHandle {
    events: Receiver<String>,
    /// Connections by name: the peer's own name, or the request that a response is due for.
    pub streams: Arc<Mutex<BTreeMap<String, TcpStream>>>,
    /// Requests whose response has to close the connection.
    pub closing: Arc<Mutex<BTreeSet<String>>>,
    /// The address where the peer listens; `None` for clients and SMPP gateways.
    pub address: Option<SocketAddr>,
}

/// The peer's side: passes its events and connections to the scenario.
#[derive(Clone)]
pub struct PeerRecorder {
    pub events: Sender<String>,
    pub streams: Arc<Mutex<BTreeMap<String, TcpStream>>>,
    pub closing: Arc<Mutex<BTreeSet<String>>>,
}

impl PeerRecorder {
    pub fn record_event(&self, event: impl Into<String>) {
        let _ = self.events.send(event.into());
    }
    pub fn keep_stream(&self, name: &str, stream: &TcpStream) {
        let stream = stream.try_clone().expect("a stream can be cloned");
        self.streams.lock().unwrap().insert(name.to_owned(), stream);
    }
}

/// The two sides of a new simulated peer.
pub fn peer_channel() -> (PeerHandle, PeerRecorder) {
    let (sender, events) = channel();
    let (streams, closing): (Arc<Mutex<_>>, Arc<Mutex<_>>) = Default::default();
    let handle = PeerHandle { events, streams: streams.clone(), closing: closing.clone(), address: None };
    (handle, PeerRecorder { events: sender, streams, closing })
}

impl PeerHandle {
    /// Checks that the next event starts with these words; a word that ends in `*` matches every word with
    /// that prefix. `nothing MILLISECONDS` checks that no event is recorded for that long.
    fn expect_event(&self, words: &[&str]) -> StepResult {
        if let ["nothing", milliseconds] = words {
            let span = Duration::from_millis(
                milliseconds.parse().map_err(|_| "`nothing` needs a number of milliseconds")?,
            );
            return match self.events.recv_timeout(span) {
                Ok(event) => Err(format!("expected no event, got: {event}")),
                Err(_) => Ok(()),
            };
        }
        let event = self.events.recv_timeout(EVENT_TIMEOUT).map_err(|_| "no event within the time limit")?;
        let actual_words: Vec<&str> = event.split_whitespace().collect();
        let word_matches = |(expected, actual): (&&str, &&str)| match expected.strip_suffix('*') {
            Some(prefix) => actual.starts_with(prefix),
            None => expected == actual,
        };
        let all_match =
            words.len() <= actual_words.len() && words.iter().zip(&actual_words).all(word_matches);
        if all_match { Ok(()) } else { Err(format!("unexpected event: {event}")) }
    }
    /// Takes the connection that is kept under this name.
    pub fn take_stream(&self, name: &str) -> Result<TcpStream, String> {
        self.streams.lock().unwrap().remove(name).ok_or_else(|| format!("no connection is kept for {name}"))
    }
}

/// The value of the first `key=value` word with this key.
pub fn option_value<'a>(words: &[&'a str], key: &str) -> Option<&'a str> {
    words.iter().find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
}

/// One endpoint in the list that discovery serves.
struct ListedEndpoint {
    name: String,
    address: SocketAddr,
    /// `key=value` words of the scenario line: `dest`, `zone` and `started`, in milliseconds since 1970.
    attributes: String,
    lifecycle: String,
}

/// The simulated platform: the endpoint list that its discovery serves, and how it treats requests.
#[derive(Default)]
pub struct PlatformState {
    endpoints: Vec<ListedEndpoint>,
    /// Counts the changes of the list.
    pub generation: u64,
    /// The platform refuses every notice and every list request with 503.
    pub unavailable: bool,
    /// The number of list requests that are still refused; `u32::MAX` refuses all of them.
    pub refusals_left: u32,
    /// The generation in the last list response, to any process.
    pub last_served_generation: Option<u64>,
    /// The number of requests for the complete list.
    pub complete_list_requests: u64,
    /// Counts the processes that have served this platform's address; a connection ends with the process that accepted it.
    pub process: u64,
    /// The platform's current address; a simulated platform at another address closes its connections.
    pub current_address: Option<SocketAddr>,
}

impl PlatformState {
    /// Whether the next list request is refused; counts the refusal.
    pub fn takes_refusal(&mut self) -> bool {
        let refuses = self.refusals_left > 0;
        if self.refusals_left < u32::MAX {
            self.refusals_left = self.refusals_left.saturating_sub(1);
        }
        refuses
    }

    /// The complete list in discovery's JSON format.
    pub fn list_json(&self) -> Value {
        let entry_json = |endpoint: &ListedEndpoint| {
            let attributes: Vec<&str> = endpoint.attributes.split(' ').collect();
            let cell: u64 = option_value(&attributes, "dest").unwrap_or("1").parse().unwrap();
            json!({"instanceId": endpoint.name, "hostPort": endpoint.address.to_string(), "cell": cell,
                "zone": option_value(&attributes, "zone").unwrap_or("floor-2"), "machineType": "club",
                "lifecycle": endpoint.lifecycle, "weight": 50.0,
                "startedAtMs": option_value(&attributes, "started").map_or(0u64, |ms| ms.parse().unwrap())})
        };
        let listed = self.endpoints.iter().filter(|endpoint| endpoint.lifecycle != "Unlisted");
        json!({"generation": self.generation, "reset": true,
            "instances": listed.map(entry_json).collect::<Vec<_>>()})
    }
}

/// The addresses at which a daemon listens.
#[derive(Clone, Copy, Debug)]
pub struct ListenAddresses {
    pub http: SocketAddr,
    pub smpp: Option<SocketAddr>,
    pub operators: Option<SocketAddr>,
    pub dns: Option<SocketAddr>,
    pub members: Option<SocketAddr>,
}

/// One daemon under test with its configuration, and the simulated peers around it.
pub struct Harness {
    /// Holds the configuration, the product file, the zone file and the daemon's state; deleted at the end.
    folder: PathBuf,
    peers: BTreeMap<String, PeerHandle>,
    /// SMPP gateways: name, address, and the further `key=value` lines of their section.
    gateways: Vec<(String, SocketAddr, String)>,
    /// The daemon reads the endpoint list from a DNS zone file.
    dns_enabled: bool,
    /// Further lines of that file.
    zone_lines: String,
    /// Further lines of the product file's `[duties]` section; empty where duties are off.
    duty_lines: String,
    /// Further sections of the product file, as the scenario writes them.
    extra_sections: String,
    /// The configuration contains no cached endpoint list.
    omit_cached_list: bool,
    /// The product file has no SMPP section, which would need certain classes and a tenant in the settings.
    http_only: bool,
    /// Overrides of `settings.json`: JSON pointer without its first slash, and value.
    setting_overrides: Vec<(String, Value)>,
    dns_address: Option<SocketAddr>,
    members_address: Option<SocketAddr>,
    platform: Arc<Mutex<PlatformState>>,
    daemon: Option<Child>,
    /// The process that ran before `daemon` was started as its sibling.
    previous_daemon: Option<Child>,
    limits: Value,
    /// Stops the clients that reconnect whenever the daemon closes their connection.
    stop_reconnecting: Arc<AtomicBool>,
    /// The limit on the daemon's open file descriptors.
    descriptor_limit: Option<u32>,
    http_address: Option<SocketAddr>,
    smpp_address: Option<SocketAddr>,
    operators: operators::OperatorClient,
    log_text: Arc<Mutex<String>>,
}

impl Default for Harness {
    fn default() -> Harness {
        let index = NEXT_FOLDER_INDEX.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("onyxrock-{}-{index}", std::process::id()));
        std::fs::create_dir_all(folder.join("state")).unwrap();
        let (mut platform_peer, recorder) = peer_channel();
        let platform = Arc::new(Mutex::new(PlatformState::default()));
        platform_peer.address = Some(http::start_platform(recorder, platform.clone()));
        platform.lock().unwrap().current_address = platform_peer.address;
        let limits = json!({"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3});
        let (daemon, http_address, smpp_address, log_text, dns_enabled, dns_address) = Default::default();
        let peers = BTreeMap::from([("platform".to_owned(), platform_peer)]);
        Harness {
            folder,
            peers,
            gateways: Vec::new(),
            dns_enabled,
            zone_lines: String::new(),
            duty_lines: String::new(),
            extra_sections: String::new(),
            omit_cached_list: false,
            http_only: false,
            setting_overrides: Vec::new(),
            dns_address,
            members_address: None,
            platform,
            daemon,
            previous_daemon: None,
            limits,
            stop_reconnecting: Arc::default(),
            descriptor_limit: None,
            http_address,
            smpp_address,
            operators: operators::OperatorClient::default(),
            log_text,
        }
    }
}

impl Drop for Harness {
    fn drop(&mut self) {
        self.stop_reconnecting.store(true, Ordering::Relaxed);
        for child in self.daemon.iter_mut().chain(&mut self.previous_daemon) {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Harness {
    /// Adds lines to the DNS zone file that the daemon reads.
    pub fn add_zone_lines(&mut self, lines: &str) {
        self.zone_lines += lines;
    }

    /// Lists a new endpoint at the address of one that is listed.
    pub fn list_at_address_of(&self, listed: &str, name: &str, attributes: &str) {
        let mut platform = self.platform.lock().unwrap();
        let address = platform.endpoints.iter().find(|e| e.name == listed).unwrap().address;
        platform.generation += 1;
        platform.endpoints.push(ListedEndpoint {
            name: name.to_owned(),
            address,
            attributes: attributes.to_owned(),
            lifecycle: "Ready".to_owned(),
        });
    }

    /// Another discovery comes up at the address of the one that has gone: it lists these endpoints alone, at this
    /// generation. Connections to the former one are closed.
    pub fn replace_discovery(&self, listed: &[&str], generation: u64) {
        let mut platform = self.platform.lock().unwrap();
        platform.endpoints.iter_mut().for_each(|endpoint| {
            let is_listed = listed.contains(&endpoint.name.as_str());
            endpoint.lifecycle = if is_listed { "Ready" } else { "Unlisted" }.to_owned();
        });
        platform.generation = generation;
        platform.process += 1;
    }

    /// Bytes of the files in the daemon's state folder.
    pub fn state_bytes(&self) -> u64 {
        let files = std::fs::read_dir(self.folder.join("state")).unwrap();
        files.map(|file| file.unwrap().metadata().map_or(0, |metadata| metadata.len())).sum()
    }

    /// The id of the daemon's process.
    pub fn daemon_id(&self) -> u32 {
        self.daemon.as_ref().expect("a daemon runs").id()
    }

    /// The ids of the daemon's processes: the newest, and the one before during an upgrade.
    pub fn process_ids(&self) -> Vec<u32> {
        self.daemon.iter().chain(&self.previous_daemon).map(Child::id).collect()
    }

    /// The daemon's state folder.
    pub fn state_folder(&self) -> PathBuf {
        self.folder.join("state")
    }

    /// Kills the newest process and starts another one with the same address for HTTP clients.
    pub fn kill_and_restart(&mut self) -> StepResult {
        send_signal(self.process("daemon")?, "KILL")?;
        self.restart()
    }

    /// Starts another process with the same address for HTTP clients, once the newest one has ended.
    pub fn restart(&mut self) -> StepResult {
        let address = self.http_address.ok_or("no daemon ran")?.to_string();
        self.start_daemon(&address)
    }

    /// Waits until a process has exited, and kills it after this time. Returns its status.
    pub fn wait_or_kill(&mut self, name: &str, timeout: Duration) -> Result<ExitStatus, String> {
        let until = Instant::now() + timeout;
        let child = self.process(name)?;
        loop {
            if let Some(status) = child.try_wait().map_err(|e| e.to_string())? {
                return Ok(status);
            }
            if Instant::now() > until {
                child.kill().map_err(|e| e.to_string())?;
                return child.wait().map_err(|e| e.to_string());
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// The status of a process that has ended, although nobody told it to.
    pub fn ended_by_itself(&mut self) -> Option<ExitStatus> {
        let children = self.daemon.iter_mut().chain(&mut self.previous_daemon);
        children.filter_map(|child| child.try_wait().ok()?).next()
    }

    /// Forgets the process that ran before the newest one, which has ended.
    pub fn forget_previous(&mut self) {
        self.previous_daemon = None;
    }

    /// Rolls an upgrade back: kills the newest process, and the one before it goes on.
    pub fn roll_back(&mut self) -> StepResult {
        send_signal(self.process("daemon")?, "KILL")?;
        self.daemon = self.previous_daemon.take();
        Ok(())
    }

    /// The addresses at which the daemon listens.
    pub fn addresses(&self) -> ListenAddresses {
        ListenAddresses {
            http: self.http_address.expect("a daemon runs"),
            smpp: self.smpp_address,
            operators: self.operators.address,
            dns: self.dns_address,
            members: self.members_address,
        }
    }

    /// All log lines of the daemon's processes so far.
    pub fn log(&self) -> String {
        self.log_text.lock().unwrap().clone()
    }

    /// Adds an endpoint of this destination that accepts each call at once and records when the call arrived.
    pub fn add_accepting_endpoint(
        &mut self, name: &str, destination: &str, arrivals: Arc<Mutex<Vec<Instant>>>,
    ) {
        let address = http::start_accepting_endpoint(arrivals);
        self.add_endpoint(name, destination, address);
    }

    /// Adds an endpoint that refuses some calls and sends some of its responses twice; returns its calls.
    pub fn add_copying_endpoint(&mut self, name: &str, destination: &str, seed: u64) -> http::CallLog {
        let calls = http::CallLog::default();
        let address = http::start_copying_endpoint(seed, calls.clone());
        self.add_endpoint(name, destination, address);
        calls
    }

    fn add_endpoint(&mut self, name: &str, destination: &str, address: SocketAddr) {
        let attributes = format!("dest={destination}");
        let endpoint =
            ListedEndpoint { name: name.to_owned(), address, attributes, lifecycle: "Ready".into() };
        self.platform.lock().unwrap().endpoints.push(endpoint);
    }

    /// The daemon's counters.
    pub fn counters(&self) -> Value {
        http::read_counters(self.http_address.expect("the daemon listens for HTTP")).expect("counters")
    }

    /// An HTTP client of the newest daemon process.
    pub fn http_client(&self) -> http::Client {
        http::Client(self.http_address.expect("the daemon listens for HTTP"))
    }

    /// Makes discovery refuse the next `count` list requests, or all of them where `count` is `u32::MAX`.
    pub fn refuse_list_requests(&self, count: u32) {
        self.platform.lock().unwrap().refusals_left = count;
    }

    /// Whether discovery has served the current generation of the list.
    pub fn current_list_was_served(&self) -> bool {
        let platform = self.platform.lock().unwrap();
        platform.last_served_generation == Some(platform.generation)
    }

    /// Overrides the setting at this JSON pointer from the next written configuration on.
    pub fn override_setting(&mut self, path: &str, value: Value) {
        self.setting_overrides.push((path.trim_start_matches('/').to_owned(), value));
    }

    /// Writes the configuration file with the overrides so far.
    pub fn write_configuration(&self) {
        self.write_config_file();
    }

    /// Runs one line of a scenario, split into words; an empty line does nothing.
    pub fn run_step(&mut self, words: &[&str]) -> StepResult {
        match words {
            [] => Ok(()),
            ["given", "endpoint", name, rest @ ..] => {
                let (mut handle, recorder) = peer_channel();
                let address = http::start_endpoint(recorder);
                handle.address = Some(address);
                self.peers.insert((*name).to_owned(), handle);
                let (attributes, lifecycle) = (rest.join(" "), "Ready".to_owned());
                let endpoint = ListedEndpoint { name: (*name).to_owned(), address, attributes, lifecycle };
                self.platform.lock().unwrap().endpoints.push(endpoint);
                Ok(())
            }
            // An endpoint whose port has no listener: connections to it are refused.
            ["given", "nobody", name, rest @ ..] => {
                let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
                let (attributes, lifecycle) = (rest.join(" "), "Ready".to_owned());
                let endpoint = ListedEndpoint { name: (*name).to_owned(), address, attributes, lifecycle };
                self.platform.lock().unwrap().endpoints.push(endpoint);
                Ok(())
            }
            ["given", "gateway", name, rest @ ..] => {
                let (handle, recorder) = peer_channel();
                self.gateways.push(((*name).to_owned(), smpp::start_gateway(recorder), rest.join(" ")));
                self.peers.insert((*name).to_owned(), handle);
                Ok(())
            }
            ["given", "limit", limit] => {
                let (key, number) = limit.split_once('=').ok_or("a limit is written as limit=number")?;
                self.limits[key] = json!(number.parse::<f64>().map_err(|e| e.to_string())?);
                Ok(())
            }
            ["given", "descriptors", count] => {
                self.descriptor_limit =
                    Some(count.parse().map_err(|_| "the number of descriptors is not a number")?);
                Ok(())
            }
            ["given", "setting", setting] => {
                let (key, value) = setting.split_once('=').ok_or("a setting is written as setting=value")?;
                let value = serde_json::from_str(value).map_err(|e| e.to_string())?;
                self.setting_overrides.push((key.replace('.', "/"), value));
                Ok(())
            }
            ["given", "duties", rest @ ..] => {
                self.duty_lines = rest.join("\n");
                Ok(())
            }
            ["given", "section", name, rest @ ..] => {
                self.extra_sections += &format!("[{name}]\n{}\n", rest.join("\n"));
                Ok(())
            }
            ["given", "operators"] => {
                self.operators.enabled = true;
                Ok(())
            }
            ["send", name @ ("operator" | "old-operator"), command @ ..] => {
                self.operators.send_command(*name == "operator", &command.join(" "))
            }
            ["expect", "operator", words @ ..] => self.operators.expect_response(&words.join(" ")),
            ["given", "list", "unknown"] => {
                self.omit_cached_list = true;
                Ok(())
            }
            ["given", "http", "alone"] => {
                self.http_only = true;
                Ok(())
            }
            ["given", "dns"] => {
                self.dns_enabled = true;
                Ok(())
            }
            ["given", "zone", "line", words @ ..] => {
                self.add_zone_lines(&(words.join(" ") + "\n"));
                Ok(())
            }
            // Clients that connect and send nothing.
            ["given", "silent", count] => {
                for index in 0..count.parse().map_err(|_| "the number of clients is not a number")? {
                    let name = format!("silent{index}");
                    let (handle, recorder) = peer_channel();
                    http::start_client(recorder, self.http_address.ok_or("no daemon runs")?, &name);
                    self.peers.insert(name, handle);
                }
                Ok(())
            }
            // Silent clients that reconnect whenever the daemon closes their connection.
            ["given", "siege", count] => {
                let count = count.parse().map_err(|_| "the number of clients is not a number")?;
                http::keep_silent_connections(
                    self.http_address.ok_or("no daemon runs")?,
                    count,
                    self.stop_reconnecting.clone(),
                );
                Ok(())
            }
            // Clients that connect, send one complete request, and keep the connection open.
            ["given", "clients", count] => {
                let until = std::time::Instant::now() + EVENT_TIMEOUT;
                for index in 0..count.parse().map_err(|_| "the number of clients is not a number")? {
                    let name = format!("crowd{index}");
                    let (handle, recorder) = peer_channel();
                    http::start_client(recorder, self.http_address.ok_or("no daemon runs")?, &name);
                    http::send_request(&handle, &name, &["raw", "GET_/ready_HTTP/1.1\\r\\n\\r\\n"])?;
                    handle.expect_event(&["200"])?;
                    self.peers.insert(name, handle);
                    if std::time::Instant::now() > until {
                        return Err(format!("client {index} got its response after the time limit"));
                    }
                }
                Ok(())
            }
            ["send", "dns", rest @ ..] => {
                let code =
                    dns::send_update(self.dns_address.ok_or("the daemon does not listen for DNS")?, rest)?;
                self.peers.entry("dns".to_owned()).or_insert_with(|| peer_channel().0).events = {
                    let (sender, receiver) = channel();
                    let _ = sender.send(code);
                    receiver
                };
                Ok(())
            }
            ["given", "log", "damaged"] => {
                let path = self.folder.join("state/onyxrock.log");
                let mut bytes = std::fs::read(&path).map_err(|e| e.to_string())?;
                bytes.splice(0..0, *b"no record \xa7\x1e at all");
                bytes.extend([0xa7, 0x1e, 200, 0, 0, 0, 1, 2, 3]);
                std::fs::write(path, bytes).map_err(|e| e.to_string())
            }
            ["given", "idle", "damaged"] => {
                let path = self.folder.join("state/onyxrock.idle");
                let mut bytes = std::fs::read(&path).map_err(|e| e.to_string())?;
                let last = bytes.len() - 1;
                bytes[last] ^= 1;
                std::fs::write(path, bytes).map_err(|e| e.to_string())
            }
            ["wait", milliseconds] => {
                std::thread::sleep(Duration::from_millis(
                    milliseconds.parse().map_err(|_| "`wait` needs a number of milliseconds")?,
                ));
                Ok(())
            }
            ["send", "platform", mode @ ("mute" | "speak")] => {
                self.platform.lock().unwrap().unavailable = *mode == "mute";
                Ok(())
            }
            // Another platform replaces the current one: its address is new, and its generations start at 0
            // again.
            ["send", "platform", "move"] => {
                let (mut handle, recorder) = peer_channel();
                handle.address = Some(http::start_platform(recorder, self.platform.clone()));
                let mut platform = self.platform.lock().unwrap();
                (platform.current_address, platform.generation, platform.last_served_generation) =
                    (handle.address, 0, None);
                drop(platform);
                self.peers.insert("platform".to_owned(), handle);
                self.write_config_file();
                Ok(())
            }
            ["given", "file", "broken"] => {
                std::fs::write(self.folder.join("config.json"), "{\"name\": ").map_err(|e| e.to_string())
            }
            ["expect", "log", words @ ..] => self.wait_for_log(&words.join(" ")),
            ["send", "daemon", "start"] => self.start_daemon("127.0.0.1:0"),
            // A second process with the same state folder and the same address for clients. The scenario
            // calls the first process `old` from here on.
            ["send", "daemon", "beside"] => {
                self.previous_daemon = self.daemon.take();
                self.operators.on_sibling_start();
                let listen_address = self.http_address.ok_or("no daemon runs")?.to_string();
                self.start_daemon(&listen_address)
            }
            ["send", name @ ("daemon" | "old"), signal] => send_signal(self.process(name)?, signal),
            ["expect", name @ ("daemon" | "old"), "exit", code] => {
                let status = self.process(name)?.wait().map_err(|e| e.to_string())?;
                let actual = status.code().map_or("signal".to_owned(), |c| c.to_string());
                if actual == *code { Ok(()) } else { Err(format!("the process ended with {actual}")) }
            }
            ["expect", "counter", count] => self.wait_for_counter(count),
            ["expect", "whole", "lists", count] => {
                let requests = self.platform.lock().unwrap().complete_list_requests.to_string();
                if requests == *count {
                    Ok(())
                } else {
                    Err(format!("the complete list was requested {requests} times"))
                }
            }
            ["send", "list", name, lifecycle] => {
                let mut platform = self.platform.lock().unwrap();
                platform.generation += 1;
                let endpoint =
                    platform.endpoints.iter_mut().find(|e| e.name == *name).ok_or("no such endpoint")?;
                endpoint.lifecycle = (*lifecycle).to_owned();
                Ok(())
            }
            ["send", name, rest @ ..] if rest.first() == Some(&"bind") && !self.peers.contains_key(*name) => {
                let (handle, recorder) = peer_channel();
                smpp::start_client(
                    recorder,
                    self.smpp_address.ok_or("the daemon does not listen for SMPP")?,
                    name,
                );
                self.peers.insert((*name).to_owned(), handle);
                smpp::send_pdu(&self.peers[*name], name, rest)
            }
            ["send", name, rest @ ..] if self.is_smpp_peer(name) => {
                smpp::send_pdu(&self.peers[*name], name, rest)
            }
            ["send", name, rest @ ..] if self.peers.get(*name).is_some_and(|peer| peer.address.is_some()) => {
                http::send_response(&self.peers[*name], rest)
            }
            ["send", name, rest @ ..] => {
                if self.peers.contains_key(*name) {
                    return http::send_request(&self.peers[*name], name, rest);
                }
                let (handle, recorder) = peer_channel();
                let stream = http::connect(&recorder, self.http_address.ok_or("no daemon runs")?, name);
                let sent = http::send_request(&handle, name, rest);
                http::record_responses(recorder, stream);
                self.peers.insert((*name).to_owned(), handle);
                sent
            }
            ["expect", name, rest @ ..] => {
                self.peers.get(*name).ok_or_else(|| format!("no peer is named {name}"))?.expect_event(rest)
            }
            // Closes the peer's connections and removes a client: a later line with its name starts a new
            // client.
            ["close", name] => {
                let handle = self.peers.get(*name).ok_or_else(|| format!("no peer is named {name}"))?;
                for (_, stream) in std::mem::take(&mut *handle.streams.lock().unwrap()) {
                    let _ = stream.shutdown(std::net::Shutdown::Both);
                }
                if handle.address.is_none() && !self.gateways.iter().any(|g| g.0 == *name) {
                    self.peers.remove(*name);
                }
                Ok(())
            }
            _ => Err("unknown scenario step".to_owned()),
        }
    }

    /// SMPP clients have names that start with `esme`.
    fn is_smpp_peer(&self, name: &str) -> bool {
        name.starts_with("esme") || self.gateways.iter().any(|g| g.0 == name)
    }

    /// Waits until a counter has the value in `NAME=NUMBER`.
    fn wait_for_counter(&self, count: &str) -> StepResult {
        let until = std::time::Instant::now() + EVENT_TIMEOUT;
        let (name, expected) = count.split_once('=').ok_or("a counter is written as counter=number")?;
        loop {
            let counters = http::read_counters(self.http_address.ok_or("no daemon runs")?)?;
            let actual = counters[name].to_string();
            if actual == expected {
                return Ok(());
            }
            if std::time::Instant::now() > until {
                return Err(format!("{name} is {actual}"));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Waits until the daemon's log contains this text.
    fn wait_for_log(&self, text: &str) -> StepResult {
        let until = std::time::Instant::now() + EVENT_TIMEOUT;
        while !self.log().contains(text) {
            if std::time::Instant::now() > until {
                return Err("no log line contains this text".to_owned());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    fn process(&mut self, name: &str) -> Result<&mut Child, String> {
        let child = if name == "old" { &mut self.previous_daemon } else { &mut self.daemon };
        child.as_mut().ok_or_else(|| format!("no process {name} runs"))
    }

    fn write_config_file(&self) -> PathBuf {
        let mut settings: Value = serde_json::from_str(include_str!("settings.json")).unwrap();
        for (path, value) in &self.setting_overrides {
            *settings.pointer_mut(&format!("/{path}")).expect("settings.json has a value at this path") =
                value.clone();
        }
        let platform_address = self.peers["platform"].address.unwrap().to_string();
        let cached_list =
            if self.omit_cached_list { Value::Null } else { self.platform.lock().unwrap().list_json() };
        let config = json!({"name": "n1", "seed": "1f", "limits": self.limits, "discovery": platform_address,
            "known": cached_list, "settings": settings,
            "mgmt": self.operators.enabled.then_some("127.0.0.1:0")});
        let file = self.folder.join("config.json");
        std::fs::write(&file, config.to_string()).unwrap();
        file
    }

    /// The daemon's program; started through a shell that limits its open file descriptors where a limit is
    /// set.
    fn daemon_command(&self) -> Command {
        let program = env!("CARGO_BIN_EXE_onyxrock");
        let Some(limit) = self.descriptor_limit else { return Command::new(program) };
        let mut shell = Command::new("sh");
        shell.args(["-c", &format!("ulimit -n {limit} && exec \"$0\" \"$@\""), program]);
        shell
    }

    /// Starts the daemon with this address for HTTP clients, and waits until it listens everywhere.
    fn start_daemon(&mut self, listen_address: &str) -> StepResult {
        let config_file = self.write_config_file();
        let mut toml = "[smpp]\nlisten = \"127.0.0.1:0\"\nsystem_id = \"onyxrock\"\nenquire_link_s = 1\nwindow = 4\n\
            [[smpp.client]]\nsystem_id = \"office\"\ntenant = \"khangai-clubs\"\n\
            [[smpp.class]]\nclass = \"status\"\n[[smpp.class]]\nservice_type = \"BOOK\"\nclass = \"booking\"\n\
            [[smpp.class]]\nservice_type = \"PAY\"\nclass = \"payment\"\n\
            [[smpp.route]]\nprefix = \"97\"\ndestination = 90\n[[smpp.route]]\nprefix = \"1\"\ndestination = 1\n"
            .to_owned();
        if self.http_only {
            toml.clear();
        }
        for (name, address, attributes) in &self.gateways {
            toml += &format!(
                "[[smpp.gateway]]\nname = \"{name}\"\naddress = \"{address}\"\ndestination = 90\nkind = \"club\"\n\
                zone = \"floor-2\"\nwait_tlv = 0x1403\n{}\n",
                attributes.replace(' ', "\n")
            );
        }
        if self.dns_enabled {
            let zone =
                dns::zone_file(self.platform.lock().unwrap().endpoints.iter().map(|e| (&e.name, e.address)));
            std::fs::write(self.folder.join("zone"), zone + &self.zone_lines).unwrap();
            toml += "[dns]\nlisten = \"127.0.0.1:0\"\norigin = \"p.example.\"\nzone = \"zone\"\n";
        }
        if !self.duty_lines.is_empty() {
            toml += &format!(
                "[duties]\nlisten = \"127.0.0.1:0\"\nlease_s = 0.6\nsign = 1\n\
                 member = [{{ name = \"n1\", address = \"127.0.0.1:9\" }}]\n\
                 key = [{{ id = 1, secret = \"{}\" }}]\n[duties.probe]\npatience_s = 0.25\n{}\n",
                "7".repeat(64),
                self.duty_lines
            );
        }
        toml += &self.extra_sections;
        let product_file = self.folder.join("product.toml");
        std::fs::write(&product_file, toml).unwrap();
        let mut child = self
            .daemon_command()
            .args(["serve", "--config", config_file.to_str().unwrap()])
            .args(["--product", product_file.to_str().unwrap()])
            .env("GW_LISTEN", listen_address)
            // The address in the configuration file takes precedence: the variable keeps its value for the
            // whole life of the process, so it may be outdated.
            .env("GW_DISCOVERY", "127.0.0.1:9")
            .env("GW_STATE", self.folder.join("state"))
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|e| e.to_string())?;
        let (line_sender, lines) = channel();
        let (stderr, log_text) = (child.stderr.take().unwrap(), self.log_text.clone());
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                *log_text.lock().unwrap() += &format!("{line}\n");
                let _ = line_sender.send(line);
            }
        });
        self.daemon = Some(child);
        (self.http_address, self.smpp_address) = (None, None);
        self.dns_address = None;
        while self.http_address.is_none()
            || self.smpp_address.is_none() && !self.http_only
            || self.dns_enabled && self.dns_address.is_none()
        {
            let line = lines
                .recv_timeout(EVENT_TIMEOUT)
                .map_err(|_| "the daemon does not listen within the time limit")?;
            if let Some(address) = line.split_once("listens on ").map(|l| l.1) {
                let (address, protocol) = address.split_once(" for ").unwrap_or((address, "HTTP"));
                *match protocol {
                    "SMPP" => &mut self.smpp_address,
                    "members" => &mut self.members_address,
                    "operators" => &mut self.operators.address,
                    "DNS" => &mut self.dns_address,
                    _ => &mut self.http_address,
                } = address.parse().ok();
            }
        }
        Ok(())
    }
}

/// Sends a signal to a process; after `KILL` it waits until the process has ended.
fn send_signal(child: &mut Child, signal: &str) -> StepResult {
    if signal == "KILL" {
        child.kill().map_err(|e| e.to_string())?;
        return child.wait().map(drop).map_err(|e| e.to_string());
    }
    let process_id = child.id().to_string();
    let status = Command::new("kill").args([&format!("-{signal}"), &process_id]).status();
    status.map(drop).map_err(|e| e.to_string())
}

pub fn write_bytes(stream: &mut TcpStream, bytes: &[u8]) -> StepResult {
    stream.write_all(bytes).map_err(|e| e.to_string())
}
