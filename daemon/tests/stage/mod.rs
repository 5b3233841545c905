//! Stand-ins for clients, endpoints, the platform and SMPP peers, and the program between them.

mod dns;
mod http;
mod operators;
mod smpp;

use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Far more than anything here takes: it only bounds a test that fails.
const BOUND: Duration = Duration::from_secs(20);
static FOLDERS: AtomicU64 = AtomicU64::new(0);

pub type Done = Result<(), String>;

/// What has come in at somebody, in order, and the connections to answer over.
pub struct Inbox {
    events: Receiver<String>,
    pub streams: Arc<Mutex<BTreeMap<String, TcpStream>>>,
    pub address: Option<SocketAddr>,
}

/// Hands events of one stand-in to the scenario.
#[derive(Clone)]
pub struct Post {
    pub events: Sender<String>,
    pub streams: Arc<Mutex<BTreeMap<String, TcpStream>>>,
}

impl Post {
    pub fn tell(&self, event: impl Into<String>) {
        let _ = self.events.send(event.into());
    }
    pub fn keep(&self, name: &str, stream: &TcpStream) {
        let stream = stream.try_clone().expect("a stream can be cloned");
        self.streams.lock().unwrap().insert(name.to_owned(), stream);
    }
}

pub fn inbox() -> (Inbox, Post) {
    let (tx, events) = channel();
    let streams = Arc::new(Mutex::new(BTreeMap::new()));
    (Inbox { events, streams: streams.clone(), address: None }, Post { events: tx, streams })
}

impl Inbox {
    /// The next event must be these words; a word that ends in `*` stands for all with that beginning.
    fn expect(&self, words: &[&str]) -> Done {
        if let ["nothing", ms] = words {
            let span = Duration::from_millis(ms.parse().map_err(|_| "nothing for how long?")?);
            return match self.events.recv_timeout(span) {
                Ok(event) => Err(format!("got: {event}")),
                Err(_) => Ok(()),
            };
        }
        let event = self.events.recv_timeout(BOUND).map_err(|_| "nothing came")?;
        let got: Vec<&str> = event.split_whitespace().collect();
        let fits = |(want, got): (&&str, &&str)| match want.strip_suffix('*') {
            Some(start) => got.starts_with(start),
            None => want == got,
        };
        let all = words.len() <= got.len() && words.iter().zip(&got).all(fits);
        if all { Ok(()) } else { Err(format!("got: {event}")) }
    }
    pub fn stream(&self, name: &str) -> Result<TcpStream, String> {
        self.streams.lock().unwrap().remove(name).ok_or_else(|| format!("no connection {name}"))
    }
}

/// `key=value` words.
pub fn value<'a>(words: &[&'a str], key: &str) -> Option<&'a str> {
    words.iter().find_map(|w| w.strip_prefix(key)?.strip_prefix('='))
}

struct Entry {
    name: String,
    address: SocketAddr,
    words: String,
    state: String,
}

/// What discovery lists now, and how often that has changed.
#[derive(Default)]
pub struct Listing {
    entries: Vec<Entry>,
    pub generation: u64,
    /// The platform answers no notice and no question about the list.
    pub mute: bool,
    /// So many calls for the list are still refused.
    pub refused: u32,
    /// The version that was last told to anybody.
    pub told: Option<u64>,
    /// How often the whole list was asked for.
    pub whole_calls: u64,
    /// Where the platform is; the stand-in at another address closes all it has.
    pub at: Option<SocketAddr>,
}

impl Listing {
    /// The next call for the list is refused.
    pub fn refuses(&mut self) -> bool {
        let refuses = self.refused > 0;
        if self.refused < u32::MAX {
            self.refused = self.refused.saturating_sub(1);
        }
        refuses
    }

    pub fn json(&self) -> Value {
        let entry = |e: &Entry| {
            let words: Vec<&str> = e.words.split(' ').collect();
            let cell: u64 = value(&words, "dest").unwrap_or("1").parse().unwrap();
            json!({"instanceId": e.name, "hostPort": e.address.to_string(), "cell": cell,
                "zone": value(&words, "zone").unwrap_or("floor-2"), "machineType": "club",
                "lifecycle": e.state, "weight": 50.0, "startedAtMs": 0})
        };
        json!({"generation": self.generation, "reset": true,
            "instances": self.entries.iter().map(entry).collect::<Vec<_>>()})
    }
}

pub struct Stage {
    folder: PathBuf,
    who: BTreeMap<String, Inbox>,
    gateways: Vec<(String, SocketAddr, String)>,
    /// The list comes out of a zone file.
    dns: bool,
    /// The section of duties; empty where they are off.
    duties: String,
    /// Sections of our own file, as they are.
    sections: String,
    /// The file names no list.
    unknown: bool,
    /// There is no SMPP: its section names classes and a tenant.
    http_alone: bool,
    /// Settings that differ from the file.
    settings: Vec<(String, Value)>,
    dns_at: Option<SocketAddr>,
    listing: Arc<Mutex<Listing>>,
    child: Option<Child>,
    /// The process that was there before the one beside it.
    old: Option<Child>,
    limits: Value,
    /// Crowds that come again whenever they are sent off, until this is set.
    over: Arc<AtomicBool>,
    /// Descriptors that the system lets the program have.
    descriptors: Option<u32>,
    http: Option<SocketAddr>,
    smpp: Option<SocketAddr>,
    operators: operators::Operators,
    seen: Arc<Mutex<String>>,
}

impl Default for Stage {
    fn default() -> Stage {
        let n = FOLDERS.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("onyxrock-{}-{n}", std::process::id()));
        std::fs::create_dir_all(folder.join("state")).unwrap();
        let (mut platform, post) = inbox();
        let listing = Arc::new(Mutex::new(Listing::default()));
        platform.address = Some(http::platform(post, listing.clone()));
        listing.lock().unwrap().at = platform.address;
        let limits = json!({"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3});
        let (child, http, smpp, seen, dns, dns_at) = Default::default();
        let who = BTreeMap::from([("platform".to_owned(), platform)]);
        Stage {
            folder,
            who,
            gateways: Vec::new(),
            dns,
            duties: String::new(),
            sections: String::new(),
            unknown: false,
            http_alone: false,
            settings: Vec::new(),
            dns_at,
            listing,
            child,
            old: None,
            limits,
            over: Arc::default(),
            descriptors: None,
            http,
            smpp,
            operators: operators::Operators::default(),
            seen,
        }
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        for child in self.child.iter_mut().chain(&mut self.old) {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Stage {
    pub fn log(&self) -> String {
        self.seen.lock().unwrap().clone()
    }

    /// An endpoint of destination 1 that answers at once and notes when calls come.
    pub fn ready_server(&mut self, name: &str, destination: &str, arrivals: Arc<Mutex<Vec<Instant>>>) {
        let address = http::server(arrivals);
        let words = format!("dest={destination}");
        let entry = Entry { name: name.to_owned(), address, words, state: "Ready".into() };
        self.listing.lock().unwrap().entries.push(entry);
    }

    /// A client of the daemon.
    pub fn client(&self) -> http::Client {
        http::Client(self.http.expect("a daemon"))
    }

    /// Discovery refuses so many calls for the list; all, if it is the largest number.
    pub fn refuse_list_calls(&self, count: u32) {
        self.listing.lock().unwrap().refused = count;
    }

    /// The list as it is now has been told.
    pub fn list_was_told(&self) -> bool {
        let listing = self.listing.lock().unwrap();
        listing.told == Some(listing.generation)
    }

    /// The settings say this, from the next configuration on.
    pub fn set(&mut self, path: &str, value: Value) {
        self.settings.push((path.trim_start_matches('/').to_owned(), value));
    }

    /// Writes the configuration as it is now.
    pub fn write_configuration(&self) {
        self.configure();
    }

    pub fn play(&mut self, words: &[&str]) -> Done {
        match words {
            [] => Ok(()),
            ["given", "endpoint", name, rest @ ..] => {
                let (mut inbox, post) = inbox();
                let address = http::endpoint(post);
                inbox.address = Some(address);
                self.who.insert((*name).to_owned(), inbox);
                let (words, state) = (rest.join(" "), "Ready".to_owned());
                let entry = Entry { name: (*name).to_owned(), address, words, state };
                self.listing.lock().unwrap().entries.push(entry);
                Ok(())
            }
            // A port where nobody listens.
            ["given", "nobody", name, rest @ ..] => {
                let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
                let (words, state) = (rest.join(" "), "Ready".to_owned());
                let entry = Entry { name: (*name).to_owned(), address, words, state };
                self.listing.lock().unwrap().entries.push(entry);
                Ok(())
            }
            ["given", "gateway", name, rest @ ..] => {
                let (inbox, post) = inbox();
                self.gateways.push(((*name).to_owned(), smpp::gateway(post), rest.join(" ")));
                self.who.insert((*name).to_owned(), inbox);
                Ok(())
            }
            ["given", "limit", limit] => {
                let (key, n) = limit.split_once('=').ok_or("limit=number")?;
                self.limits[key] = json!(n.parse::<f64>().map_err(|e| e.to_string())?);
                Ok(())
            }
            ["given", "descriptors", n] => {
                self.descriptors = Some(n.parse().map_err(|_| "how many?")?);
                Ok(())
            }
            ["given", "setting", setting] => {
                let (key, value) = setting.split_once('=').ok_or("setting=value")?;
                let value = serde_json::from_str(value).map_err(|e| e.to_string())?;
                self.settings.push((key.replace('.', "/"), value));
                Ok(())
            }
            ["given", "duties", rest @ ..] => {
                self.duties = rest.join("\n");
                Ok(())
            }
            ["given", "section", name, rest @ ..] => {
                self.sections += &format!("[{name}]\n{}\n", rest.join("\n"));
                Ok(())
            }
            ["given", "operators"] => {
                self.operators.wanted = true;
                Ok(())
            }
            ["send", who @ ("operator" | "old-operator"), call @ ..] => {
                self.operators.call(*who == "operator", &call.join(" "))
            }
            ["expect", "operator", words @ ..] => self.operators.expect(&words.join(" ")),
            ["given", "list", "unknown"] => {
                self.unknown = true;
                Ok(())
            }
            ["given", "http", "alone"] => {
                self.http_alone = true;
                Ok(())
            }
            ["given", "dns"] => {
                self.dns = true;
                Ok(())
            }
            // Crowds of clients that connect, say one whole thing, and stay.
            ["given", "silent", n] => {
                for i in 0..n.parse().map_err(|_| "how many?")? {
                    let who = format!("silent{i}");
                    let (inbox, post) = inbox();
                    http::client(post, self.http.ok_or("no daemon")?, &who);
                    self.who.insert(who, inbox);
                }
                Ok(())
            }
            // Silent clients that come again whenever they are sent off.
            ["given", "siege", n] => {
                let count = n.parse().map_err(|_| "how many?")?;
                http::besiege(self.http.ok_or("no daemon")?, count, self.over.clone());
                Ok(())
            }
            ["given", "clients", n] => {
                let until = std::time::Instant::now() + BOUND;
                for i in 0..n.parse().map_err(|_| "how many?")? {
                    let who = format!("crowd{i}");
                    let (inbox, post) = inbox();
                    http::client(post, self.http.ok_or("no daemon")?, &who);
                    http::send(&inbox, &who, &["raw", "GET_/ready_HTTP/1.1\\r\\n\\r\\n"])?;
                    inbox.expect(&["200"])?;
                    self.who.insert(who, inbox);
                    if std::time::Instant::now() > until {
                        return Err(format!("client {i} was kept waiting"));
                    }
                }
                Ok(())
            }
            ["send", "dns", rest @ ..] => {
                let code = dns::update(self.dns_at.ok_or("no DNS")?, rest)?;
                self.who.entry("dns".to_owned()).or_insert_with(|| inbox().0).events = {
                    let (tx, rx) = channel();
                    let _ = tx.send(code);
                    rx
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
            ["wait", ms] => {
                std::thread::sleep(Duration::from_millis(ms.parse().map_err(|_| "wait how long?")?));
                Ok(())
            }
            ["send", "platform", what @ ("mute" | "speak")] => {
                self.listing.lock().unwrap().mute = *what == "mute";
                Ok(())
            }
            // Another platform takes its place: its address, and its count of versions, are new.
            ["send", "platform", "move"] => {
                let (mut platform, post) = inbox();
                platform.address = Some(http::platform(post, self.listing.clone()));
                let mut l = self.listing.lock().unwrap();
                (l.at, l.generation, l.told) = (platform.address, 0, None);
                drop(l);
                self.who.insert("platform".to_owned(), platform);
                self.configure();
                Ok(())
            }
            ["given", "file", "broken"] => {
                std::fs::write(self.folder.join("config.json"), "{\"name\": ").map_err(|e| e.to_string())
            }
            ["expect", "log", words @ ..] => self.logged(&words.join(" ")),
            ["send", "daemon", "start"] => self.start("127.0.0.1:0"),
            // A second process over the same folder, at the same address for clients. The first one is `old` then.
            ["send", "daemon", "beside"] => {
                self.old = self.child.take();
                self.operators.second_process();
                let at = self.http.ok_or("no daemon")?.to_string();
                self.start(&at)
            }
            ["send", who @ ("daemon" | "old"), sign] => signal(self.process(who)?, sign),
            ["expect", who @ ("daemon" | "old"), "exit", code] => {
                let status = self.process(who)?.wait().map_err(|e| e.to_string())?;
                let got = status.code().map_or("signal".to_owned(), |c| c.to_string());
                if got == *code { Ok(()) } else { Err(format!("it ended with {got}")) }
            }
            ["expect", "counter", count] => self.counter(count),
            ["expect", "whole", "lists", count] => {
                let calls = self.listing.lock().unwrap().whole_calls.to_string();
                if calls == *count {
                    Ok(())
                } else {
                    Err(format!("the whole list was asked for {calls} times"))
                }
            }
            ["send", "list", name, state] => {
                let mut l = self.listing.lock().unwrap();
                l.generation += 1;
                let entry = l.entries.iter_mut().find(|e| e.name == *name).ok_or("no such endpoint")?;
                entry.state = (*state).to_owned();
                Ok(())
            }
            ["send", who, rest @ ..] if rest.first() == Some(&"bind") && !self.who.contains_key(*who) => {
                let (inbox, post) = inbox();
                smpp::client(post, self.smpp.ok_or("no SMPP")?, who);
                self.who.insert((*who).to_owned(), inbox);
                smpp::send(&self.who[*who], who, rest)
            }
            ["send", who, rest @ ..] if self.is_smpp(who) => smpp::send(&self.who[*who], who, rest),
            ["send", who, rest @ ..] if self.who.get(*who).is_some_and(|w| w.address.is_some()) => {
                http::answer(&self.who[*who], rest)
            }
            ["send", who, rest @ ..] => {
                if self.who.contains_key(*who) {
                    return http::send(&self.who[*who], who, rest);
                }
                let (inbox, post) = inbox();
                let stream = http::connect(&post, self.http.ok_or("no daemon")?, who);
                let sent = http::send(&inbox, who, rest);
                http::listen(post, stream);
                self.who.insert((*who).to_owned(), inbox);
                sent
            }
            ["expect", who, rest @ ..] => {
                self.who.get(*who).ok_or_else(|| format!("who is {who}?"))?.expect(rest)
            }
            // Forgets the peer; a stand-in that is closed is a new one when it is named again.
            ["close", who] => {
                let inbox = self.who.get(*who).ok_or_else(|| format!("who is {who}?"))?;
                for (_, s) in std::mem::take(&mut *inbox.streams.lock().unwrap()) {
                    let _ = s.shutdown(std::net::Shutdown::Both);
                }
                if inbox.address.is_none() && !self.gateways.iter().any(|g| g.0 == *who) {
                    self.who.remove(*who);
                }
                Ok(())
            }
            _ => Err("not a line of this language".to_owned()),
        }
    }

    fn is_smpp(&self, who: &str) -> bool {
        who.starts_with("esme") || self.gateways.iter().any(|g| g.0 == who)
    }

    fn counter(&self, count: &str) -> Done {
        let until = std::time::Instant::now() + BOUND;
        let (name, want) = count.split_once('=').ok_or("counter=number")?;
        loop {
            let got = http::counters(self.http.ok_or("no daemon")?)?;
            let now = got[name].to_string();
            if now == want {
                return Ok(());
            }
            if std::time::Instant::now() > until {
                return Err(format!("{name} is {now}"));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn logged(&self, words: &str) -> Done {
        let until = std::time::Instant::now() + BOUND;
        while !self.log().contains(words) {
            if std::time::Instant::now() > until {
                return Err("no such line".to_owned());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    fn process(&mut self, who: &str) -> Result<&mut Child, String> {
        let child = if who == "old" { &mut self.old } else { &mut self.child };
        child.as_mut().ok_or_else(|| format!("no {who}"))
    }

    fn configure(&self) -> PathBuf {
        let mut settings: Value = serde_json::from_str(include_str!("settings.json")).unwrap();
        for (key, value) in &self.settings {
            *settings.pointer_mut(&format!("/{key}")).expect("a key of the settings") = value.clone();
        }
        let platform = self.who["platform"].address.unwrap().to_string();
        let known = if self.unknown { Value::Null } else { self.listing.lock().unwrap().json() };
        let config = json!({"name": "n1", "seed": "1f", "limits": self.limits, "discovery": platform,
            "known": known, "settings": settings, "mgmt": self.operators.wanted.then_some("127.0.0.1:0")});
        let file = self.folder.join("config.json");
        std::fs::write(&file, config.to_string()).unwrap();
        file
    }

    /// The program; behind a shell that bounds its descriptors, where they are bounded.
    fn command(&self) -> Command {
        let program = env!("CARGO_BIN_EXE_onyxrock");
        let Some(most) = self.descriptors else { return Command::new(program) };
        let mut shell = Command::new("sh");
        shell.args(["-c", &format!("ulimit -n {most} && exec \"$0\" \"$@\""), program]);
        shell
    }

    fn start(&mut self, listen: &str) -> Done {
        let file = self.configure();
        let mut toml = "[smpp]\nlisten = \"127.0.0.1:0\"\nsystem_id = \"onyxrock\"\nenquire_link_s = 1\nwindow = 4\n\
            [[smpp.client]]\nsystem_id = \"office\"\ntenant = \"khangai-clubs\"\n\
            [[smpp.class]]\nclass = \"status\"\n[[smpp.class]]\nservice_type = \"BOOK\"\nclass = \"booking\"\n\
            [[smpp.class]]\nservice_type = \"PAY\"\nclass = \"payment\"\n\
            [[smpp.route]]\nprefix = \"97\"\ndestination = 90\n[[smpp.route]]\nprefix = \"1\"\ndestination = 1\n"
            .to_owned();
        if self.http_alone {
            toml.clear();
        }
        for (name, address, words) in &self.gateways {
            toml += &format!(
                "[[smpp.gateway]]\nname = \"{name}\"\naddress = \"{address}\"\ndestination = 90\nkind = \"club\"\n\
                zone = \"floor-2\"\nwait_tlv = 0x1403\n{}\n",
                words.replace(' ', "\n")
            );
        }
        if self.dns {
            let zone = dns::zone(self.listing.lock().unwrap().entries.iter().map(|e| (&e.name, e.address)));
            std::fs::write(self.folder.join("zone"), zone).unwrap();
            toml += "[dns]\nlisten = \"127.0.0.1:0\"\norigin = \"p.example.\"\nzone = \"zone\"\n";
        }
        if !self.duties.is_empty() {
            toml += &format!(
                "[duties]\nlisten = \"127.0.0.1:0\"\nlease_s = 0.6\nsign = 1\n\
                 member = [{{ name = \"n1\", address = \"127.0.0.1:9\" }}]\n\
                 key = [{{ id = 1, secret = \"{}\" }}]\n[duties.probe]\npatience_s = 0.25\n{}\n",
                "7".repeat(64),
                self.duties
            );
        }
        toml += &self.sections;
        let product = self.folder.join("product.toml");
        std::fs::write(&product, toml).unwrap();
        let mut child = self
            .command()
            .args(["serve", "--config", file.to_str().unwrap()])
            .args(["--product", product.to_str().unwrap()])
            .env("GW_LISTEN", listen)
            // The file names the address that holds; the variable may be as old as the process.
            .env("GW_DISCOVERY", "127.0.0.1:9")
            .env("GW_STATE", self.folder.join("state"))
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|e| e.to_string())?;
        let (tx, lines) = channel();
        let (err, seen) = (child.stderr.take().unwrap(), self.seen.clone());
        std::thread::spawn(move || {
            for line in BufReader::new(err).lines().map_while(Result::ok) {
                *seen.lock().unwrap() += &format!("{line}\n");
                let _ = tx.send(line);
            }
        });
        self.child = Some(child);
        (self.http, self.smpp) = (None, None);
        self.dns_at = None;
        while self.http.is_none()
            || self.smpp.is_none() && !self.http_alone
            || self.dns && self.dns_at.is_none()
        {
            let line = lines.recv_timeout(BOUND).map_err(|_| "it does not start")?;
            if let Some(at) = line.split_once("listens on ").map(|l| l.1) {
                let (at, of) = at.split_once(" for ").unwrap_or((at, "HTTP"));
                *match of {
                    "SMPP" => &mut self.smpp,
                    "members" => continue,
                    "operators" => &mut self.operators.at,
                    "DNS" => &mut self.dns_at,
                    _ => &mut self.http,
                } = at.parse().ok();
            }
        }
        Ok(())
    }
}

fn signal(child: &mut Child, signal: &str) -> Done {
    if signal == "KILL" {
        child.kill().map_err(|e| e.to_string())?;
        return child.wait().map(drop).map_err(|e| e.to_string());
    }
    let id = child.id().to_string();
    let done = Command::new("kill").args([&format!("-{signal}"), &id]).status();
    done.map(drop).map_err(|e| e.to_string())
}

/// Writes all bytes, or says why not.
pub fn write(stream: &mut TcpStream, bytes: &[u8]) -> Done {
    stream.write_all(bytes).map_err(|e| e.to_string())
}
