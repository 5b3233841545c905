//! Real daemons, as processes.

mod operators;
mod preload;
mod settings;

pub use operators::send_operator_command;
pub use preload::Preload;

use crate::http::send_request;
use async_channel::{Receiver, Sender, unbounded};
use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};
use serde_json::{Value, json};
use settings::settings;
use std::cell::Cell;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Descriptors that a daemon may have, as its configuration says.
const DESCRIPTORS: u64 = 1024;
/// Far more than a start takes.
const START: Duration = Duration::from_secs(10);

/// One daemon: how it is started, and its process while there is one.
pub struct Daemon {
    pub name: String,
    program: PathBuf,
    folder: PathBuf,
    discovery: SocketAddr,
    known: Value,
    product: String,
    /// The settings object of its configuration.
    pub settings: Value,
    /// What fails inside its process; see `preload/`.
    pub preload: Option<Preload>,
    child: Option<Child>,
    /// The process that was there before the one beside it, while it ends.
    old: Option<Process>,
    /// It listens for operators.
    pub operators_enabled: bool,
    /// Where clients reach it.
    pub client_address: Option<SocketAddr>,
    /// Where operators reach its newest process.
    pub newest_operator_address: Option<SocketAddr>,
    /// Where members reach it.
    pub member_address: Option<SocketAddr>,
    starts: u32,
    stopped: Cell<bool>,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
        self.kill_previous();
    }
}

/// A process, and where operators reach it.
struct Process {
    child: Child,
    operators: Option<SocketAddr>,
}

/// Where a process says that it listens.
#[derive(Default)]
struct Listening {
    http: Option<SocketAddr>,
    members: Option<SocketAddr>,
    operators: Option<SocketAddr>,
}

/// Which of a daemon's processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessChoice {
    Newest,
    /// The one before it, while it ends.
    Previous,
}

/// The daemon beside this program, as one build makes both.
pub fn default_program() -> Result<PathBuf, String> {
    let me = std::env::current_exe().map_err(|e| e.to_string())?;
    let path = me.with_file_name("onyxrock");
    if path.exists() {
        Ok(path)
    } else {
        Err(format!("no daemon at {}; name it with --daemon", path.display()))
    }
}

impl Daemon {
    pub fn new(
        name: &str, program: &Path, out: &Path, discovery: SocketAddr, known: Value, product: String,
        senders: usize,
    ) -> Result<Daemon, String> {
        let folder = out.join(name);
        std::fs::create_dir_all(folder.join("state"))
            .map_err(|e| format!("cannot make {}: {e}", folder.display()))?;
        let (name, program) = (name.to_owned(), program.to_owned());
        let (child, http, members, starts) = (None, None, None, 0);
        let stopped = Cell::new(false);
        Ok(Daemon {
            name,
            program,
            folder,
            discovery,
            known,
            product,
            settings: settings(senders),
            preload: None,
            child,
            old: None,
            operators_enabled: false,
            client_address: http,
            newest_operator_address: None,
            member_address: members,
            starts,
            stopped,
        })
    }

    /// Starts the process and waits until it listens. Its log is `daemon.log` in its folder.
    pub async fn start(&mut self) -> Result<(), String> {
        if let Some(preload) = &self.preload {
            preload.write_plan("")?;
        }
        (self.client_address, self.member_address, self.newest_operator_address) = (None, None, None);
        self.spawn("127.0.0.1:0").await
    }

    /// Starts a second process beside the first, at the same address for clients, and waits until it listens.
    pub async fn start_sibling(&mut self) -> Result<(), String> {
        let at = self.client_address.ok_or("it does not listen")?;
        self.kill_previous();
        let child = self.child.take().ok_or("it is not there")?;
        self.old = Some(Process { child, operators: self.newest_operator_address });
        self.spawn(&at.to_string()).await
    }

    async fn spawn(&mut self, listen: &str) -> Result<(), String> {
        self.starts += 1;
        let (config, product) = (self.folder.join("config.json"), self.folder.join("product.toml"));
        write(&config, &self.config().to_string())?;
        write(&product, &self.product)?;
        let mut command = Command::new(&self.program);
        if let Some(preload) = &self.preload {
            command
                .env("LD_PRELOAD", &preload.library)
                .env("ONYXROCK_FAULT_PLAN", &preload.plan)
                .env("ONYXROCK_CLOCK_STEP_S", preload.clock_step_s.to_string());
        }
        let mut child = command
            .args(["serve", "--config"])
            .arg(&config)
            .arg("--product")
            .arg(&product)
            .env("GW_STATE", self.folder.join("state"))
            .env("GW_LISTEN", listen)
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|e| format!("cannot start {}: {e}", self.program.display()))?;
        let log = File::options().append(true).create(true).open(self.folder.join("daemon.log"));
        let log = log.map_err(|e| e.to_string())?;
        let (tx, lines) = unbounded();
        let err = child.stderr.take().ok_or("no log")?;
        // The pipe must not fill, whatever the experiment is waiting for.
        std::thread::spawn(move || follow(err, log, &tx));
        self.child = Some(child);
        let late = async {
            async_io::Timer::after(START).await;
            Err("it does not listen in time".to_owned())
        };
        let started = futures_lite::future::or(listens(&lines), late).await;
        let listening = started.map_err(|e| format!("{}: {e}", self.name))?;
        (self.client_address, self.member_address, self.newest_operator_address) =
            (listening.http, listening.members, listening.operators);
        Ok(())
    }

    fn config(&self) -> Value {
        json!({"name": self.name, "seed": format!("{:x}", self.starts), "listen": "127.0.0.1:0",
            "discovery": self.discovery.to_string(), "known": self.known, "settings": self.settings,
            "mgmt": self.operators_enabled.then_some("127.0.0.1:0"),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}})
    }

    /// A new configuration that names another discovery, and SIGHUP.
    pub fn reload_with_discovery(&mut self, discovery: SocketAddr) -> Result<(), String> {
        self.discovery = discovery;
        write(&self.folder.join("config.json"), &self.config().to_string())?;
        self.signal(Signal::HUP);
        Ok(())
    }

    /// A new configuration with other settings, and SIGHUP.
    pub fn reload_with_settings(&mut self, settings: Value) -> Result<(), String> {
        self.settings = settings;
        self.reload_with_discovery(self.discovery)
    }

    /// A configuration that cannot be read, and SIGHUP.
    pub fn reload_invalid_config(&self) -> Result<(), String> {
        write(&self.folder.join("config.json"), "{\"name\": ")?;
        self.signal(Signal::HUP);
        Ok(())
    }

    /// What a start finds as the list that it last had.
    pub fn set_cached_list(&mut self, known: Value) {
        self.known = known;
    }

    /// From now on the system gives it no descriptor beyond this number; what it has stays open.
    pub fn limit_descriptors(&self, most: u64) -> bool {
        let pid = self.child.as_ref().map(Pid::from_child);
        let limit = Rlimit { current: Some(most), maximum: Some(DESCRIPTORS) };
        pid.is_some_and(|pid| prlimit(Some(pid), Resource::Nofile, limit).is_ok())
    }

    /// The limit that it has at its start.
    pub fn restore_descriptor_limit(&self) -> bool {
        self.limit_descriptors(DESCRIPTORS)
    }

    /// SIGTERM. It ends by itself.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// It has ended; its process is not there any more.
    pub fn has_exited(&mut self) -> bool {
        let ended = self.child.as_mut().is_none_or(|c| !matches!(c.try_wait(), Ok(None)));
        if ended {
            (self.child, self.client_address, self.member_address) = (None, None, None);
        }
        ended
    }

    /// How often it was started.
    pub fn start_count(&self) -> u32 {
        self.starts
    }

    /// What it kept is gone. Only while it is down.
    pub fn wipe_state(&self) -> Result<(), String> {
        let state = self.folder.join("state");
        std::fs::remove_dir_all(&state).map_err(|e| e.to_string())?;
        std::fs::create_dir_all(&state).map_err(|e| e.to_string())
    }

    /// The lines of its log that hold this.
    pub fn log_lines_containing(&self, what: &str) -> Vec<String> {
        let text = std::fs::read_to_string(self.folder.join("daemon.log")).unwrap_or_default();
        text.lines().filter(|l| l.contains(what)).map(str::to_owned).collect()
    }

    /// Where operators reach one of its processes.
    pub fn operator_address(&self, which: ProcessChoice) -> Option<SocketAddr> {
        let old = || self.old.as_ref().and_then(|old| old.operators);
        if which == ProcessChoice::Newest { self.newest_operator_address } else { old() }
    }

    /// The newest process is killed, and the one before it goes on alone.
    pub fn kill_newest(&mut self) {
        let Some(old) = self.old.take() else { return };
        if let Some(mut newest) = self.child.replace(old.child) {
            let _ = newest.kill();
            let _ = newest.wait();
        }
        self.newest_operator_address = old.operators;
    }

    /// SIGTERM to the process before the newest one.
    pub fn terminate_previous(&self) {
        if let Some(old) = &self.old {
            let _ = kill_process(Pid::from_child(&old.child), Signal::TERM);
        }
    }

    /// That process is not there any more.
    pub fn previous_has_exited(&mut self) -> bool {
        let ended = self.old.as_mut().is_none_or(|old| !matches!(old.child.try_wait(), Ok(None)));
        if ended {
            self.old = None;
        }
        ended
    }

    /// SIGKILL to that process.
    pub fn kill_previous(&mut self) {
        if let Some(mut old) = self.old.take() {
            let _ = old.child.kill();
            let _ = old.child.wait();
        }
    }

    /// SIGHUP, with the configuration as it stands.
    pub fn send_sighup(&self) {
        self.signal(Signal::HUP);
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            self.stopped.set(false);
            let _ = child.kill();
            let _ = child.wait();
        }
        (self.client_address, self.member_address) = (None, None);
    }

    /// It stands still until [`Daemon::go`].
    pub fn pause(&self) {
        self.stopped.set(true);
        self.signal(Signal::STOP);
    }
    pub fn resume(&self) {
        self.stopped.set(false);
        self.signal(Signal::CONT);
    }
    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.child.as_ref().map(Pid::from_child) {
            let _ = kill_process(pid, signal);
        }
    }

    /// It has ended although nobody ended it.
    pub fn has_crashed(&mut self) -> bool {
        self.child.as_mut().is_some_and(|c| !matches!(c.try_wait(), Ok(None)))
    }

    /// What it shows at a path, as JSON.
    pub async fn get_json(&self, path: &str) -> Option<Value> {
        // One that stands still answers nothing: it is not waited for.
        if self.stopped.get() {
            return None;
        }
        let request = format!("GET {path} HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n");
        let (status, body) = send_request(self.client_address?, &request, Duration::from_millis(500)).await?;
        serde_json::from_str(&body).ok().filter(|_| status == 200)
    }

    /// Times that its threads have gone to sleep by themselves.
    pub fn voluntary_context_switches(&self) -> Option<u64> {
        let pid = self.child.as_ref()?.id();
        let mut sum = 0;
        for thread in std::fs::read_dir(format!("/proc/{pid}/task")).ok()?.flatten() {
            let status = std::fs::read_to_string(thread.path().join("status")).ok()?;
            let line = status.lines().find_map(|l| l.strip_prefix("voluntary_ctxt_switches:"))?;
            sum += line.trim().parse::<u64>().ok()?;
        }
        Some(sum)
    }

    /// Threads that it has.
    pub fn thread_count(&self) -> Option<usize> {
        let pid = self.child.as_ref()?.id();
        Some(std::fs::read_dir(format!("/proc/{pid}/task")).ok()?.count())
    }

    /// Kilobytes of memory, and seconds of the processor.
    pub fn memory_and_cpu(&self) -> Option<(u64, f64)> {
        let pid = self.child.as_ref()?.id();
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let rss = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let fields: Vec<_> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks: u64 = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        Some((rss.split_whitespace().next()?.parse().ok()?, ticks as f64 / 100.0))
    }
}

async fn listens(lines: &Receiver<String>) -> Result<Listening, String> {
    let mut last = String::new();
    let mut listening = Listening::default();
    while listening.http.is_none() {
        let Ok(line) = lines.recv().await else { return Err(format!("it ended: {last}")) };
        if let Some((_, at)) = line.split_once("listens on ") {
            let (at, what) = at.split_once(" for ").unwrap_or((at, ""));
            let at = at.split_whitespace().next().and_then(|a| a.parse().ok());
            match what {
                "members" => listening.members = at,
                "operators" => listening.operators = at,
                "" => listening.http = at,
                _ => {}
            }
        }
        last = line;
    }
    Ok(listening)
}

pub(crate) fn write(file: &Path, text: &str) -> Result<(), String> {
    std::fs::write(file, text).map_err(|e| format!("cannot write {}: {e}", file.display()))
}

fn follow(err: impl std::io::Read, mut log: File, tx: &Sender<String>) {
    for line in BufReader::new(err).lines().map_while(Result::ok) {
        let _ = writeln!(log, "{line}");
        let _ = tx.send_blocking(line);
    }
}
