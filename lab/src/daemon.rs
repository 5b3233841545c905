//! Control of real daemons as child processes: start, signals, faults, logs and resource usage.

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

/// File descriptors that a daemon may have. The same number stands as `sockets` in its configuration.
const MAX_DESCRIPTORS: u64 = 1024;
/// How long a process may take until it listens. A start takes far less.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// One daemon: its configuration, and its process while one runs.
pub struct Daemon {
    pub name: String,
    program: PathBuf,
    folder: PathBuf,
    discovery: SocketAddr,
    cached_list: Value,
    product_config: String,
    /// The settings object of the daemon's configuration.
    pub settings: Value,
    /// Faults of system calls inside the daemon's process; see `preload/`.
    pub preload: Option<Preload>,
    child: Option<Child>,
    /// During an upgrade, the process that was started before the newest one, until it exits.
    previous: Option<Process>,
    /// Whether the daemon listens for operators.
    pub operators_enabled: bool,
    /// Where the daemon listens for clients; `None` while it is down.
    pub client_address: Option<SocketAddr>,
    /// Where the newest process listens for operators.
    pub newest_operator_address: Option<SocketAddr>,
    /// Where the daemon listens for other members.
    pub member_address: Option<SocketAddr>,
    start_count: u32,
    paused: Cell<bool>,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
        self.kill_previous();
    }
}

/// A process, and where it listens for operators.
struct Process {
    child: Child,
    operator_address: Option<SocketAddr>,
}

/// The addresses at which a process reports to listen.
#[derive(Default)]
struct ListenAddresses {
    clients: Option<SocketAddr>,
    members: Option<SocketAddr>,
    operators: Option<SocketAddr>,
}

/// Selects one of a daemon's processes during an upgrade.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessChoice {
    Newest,
    /// The process that was started before the newest one.
    Previous,
}

/// Returns the path of the daemon's program in the folder of this program: one build puts both there.
pub fn default_program() -> Result<PathBuf, String> {
    let this_program = std::env::current_exe().map_err(|e| e.to_string())?;
    let path = this_program.with_file_name("onyxrock");
    if path.exists() {
        Ok(path)
    } else {
        Err(format!("no daemon at {}; name it with --daemon", path.display()))
    }
}

impl Daemon {
    /// Prepares a daemon in a folder of its own under `output_dir`, without starting it. `cached_list` is the
    /// list that a start finds from an earlier run, `product_config` the text of `product.toml`.
    pub fn new(
        name: &str, program: &Path, output_dir: &Path, discovery: SocketAddr, cached_list: Value,
        product_config: String, senders: usize,
    ) -> Result<Daemon, String> {
        let folder = output_dir.join(name);
        std::fs::create_dir_all(folder.join("state"))
            .map_err(|e| format!("cannot create {}: {e}", folder.display()))?;
        let (name, program) = (name.to_owned(), program.to_owned());
        let (child, client_address, member_address, start_count) = (None, None, None, 0);
        let paused = Cell::new(false);
        Ok(Daemon {
            name,
            program,
            folder,
            discovery,
            cached_list,
            product_config,
            settings: settings(senders),
            preload: None,
            child,
            previous: None,
            operators_enabled: false,
            client_address,
            newest_operator_address: None,
            member_address,
            start_count,
            paused,
        })
    }

    /// Starts the process and waits until it listens. The log goes to `daemon.log` in the daemon's folder.
    pub async fn start(&mut self) -> Result<(), String> {
        if let Some(preload) = &self.preload {
            preload.write_plan("")?;
        }
        (self.client_address, self.member_address, self.newest_operator_address) = (None, None, None);
        self.spawn("127.0.0.1:0").await
    }

    /// Begins an upgrade: starts a second process at the same client address, and waits until it listens.
    pub async fn start_sibling(&mut self) -> Result<(), String> {
        let address = self.client_address.ok_or("the daemon does not listen for clients")?;
        self.kill_previous();
        let child = self.child.take().ok_or("the daemon is not running")?;
        self.previous = Some(Process { child, operator_address: self.newest_operator_address });
        self.spawn(&address.to_string()).await
    }

    /// Starts a process that listens for clients at `listen`, and waits until it does.
    async fn spawn(&mut self, listen: &str) -> Result<(), String> {
        self.start_count += 1;
        let (config, product) = (self.folder.join("config.json"), self.folder.join("product.toml"));
        write_file(&config, &self.config().to_string())?;
        write_file(&product, &self.product_config)?;
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
        let (line_sender, lines) = unbounded();
        let stderr = child.stderr.take().ok_or("the daemon's stderr is not piped")?;
        // A thread drains the pipe: it must not fill up while the experiment waits for something else.
        std::thread::spawn(move || copy_log_lines(stderr, log, &line_sender));
        self.child = Some(child);
        let timeout = async {
            async_io::Timer::after(START_TIMEOUT).await;
            Err("the process did not listen in time".to_owned())
        };
        let started = futures_lite::future::or(read_listen_addresses(&lines), timeout).await;
        let addresses = started.map_err(|e| format!("{}: {e}", self.name))?;
        (self.client_address, self.member_address, self.newest_operator_address) =
            (addresses.clients, addresses.members, addresses.operators);
        Ok(())
    }

    /// Returns the content of `config.json`.
    fn config(&self) -> Value {
        json!({"name": self.name, "seed": format!("{:x}", self.start_count), "listen": "127.0.0.1:0",
            "discovery": self.discovery.to_string(), "known": self.cached_list, "settings": self.settings,
            "mgmt": self.operators_enabled.then_some("127.0.0.1:0"),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}})
    }

    /// Writes a configuration with another discovery address and sends SIGHUP.
    pub fn reload_with_discovery(&mut self, discovery: SocketAddr) -> Result<(), String> {
        self.discovery = discovery;
        write_file(&self.folder.join("config.json"), &self.config().to_string())?;
        self.signal(Signal::HUP);
        Ok(())
    }

    /// Writes a configuration with other settings and sends SIGHUP.
    pub fn reload_with_settings(&mut self, settings: Value) -> Result<(), String> {
        self.settings = settings;
        self.reload_with_discovery(self.discovery)
    }

    /// Writes a configuration that cannot be parsed and sends SIGHUP.
    pub fn reload_invalid_config(&self) -> Result<(), String> {
        write_file(&self.folder.join("config.json"), "{\"name\": ")?;
        self.signal(Signal::HUP);
        Ok(())
    }

    /// Sets the list that the next start finds from the run before.
    pub fn set_cached_list(&mut self, cached_list: Value) {
        self.cached_list = cached_list;
    }

    /// Limits the process to this many file descriptors from now on; open descriptors stay open. Returns
    /// whether the limit was set.
    pub fn limit_descriptors(&self, max: u64) -> bool {
        let pid = self.child.as_ref().map(Pid::from_child);
        let limit = Rlimit { current: Some(max), maximum: Some(MAX_DESCRIPTORS) };
        pid.is_some_and(|pid| prlimit(Some(pid), Resource::Nofile, limit).is_ok())
    }

    /// Restores the limit of file descriptors that the process has at its start.
    pub fn restore_descriptor_limit(&self) -> bool {
        self.limit_descriptors(MAX_DESCRIPTORS)
    }

    /// Sends SIGTERM; the process shuts down and exits by itself.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Whether the process has exited; clears its addresses if so.
    pub fn has_exited(&mut self) -> bool {
        let exited = self.child.as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)));
        if exited {
            (self.child, self.client_address, self.member_address) = (None, None, None);
        }
        exited
    }

    /// How often the daemon was started.
    pub fn start_count(&self) -> u32 {
        self.start_count
    }

    /// Deletes everything that the daemon persisted. The daemon must be down.
    pub fn wipe_state(&self) -> Result<(), String> {
        let state = self.folder.join("state");
        std::fs::remove_dir_all(&state).map_err(|e| e.to_string())?;
        std::fs::create_dir_all(&state).map_err(|e| e.to_string())
    }

    /// Returns the lines of the daemon's log that contain this text.
    pub fn log_lines_containing(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(self.folder.join("daemon.log")).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }

    /// Where one of the daemon's processes listens for operators.
    pub fn operator_address(&self, which: ProcessChoice) -> Option<SocketAddr> {
        let previous = || self.previous.as_ref().and_then(|process| process.operator_address);
        if which == ProcessChoice::Newest { self.newest_operator_address } else { previous() }
    }

    /// Rolls an upgrade back: kills the newest process; the previous one continues alone.
    pub fn kill_newest(&mut self) {
        let Some(previous) = self.previous.take() else { return };
        if let Some(mut newest) = self.child.replace(previous.child) {
            let _ = newest.kill();
            let _ = newest.wait();
        }
        self.newest_operator_address = previous.operator_address;
    }

    /// Sends SIGTERM to the previous process.
    pub fn terminate_previous(&self) {
        if let Some(previous) = &self.previous {
            let _ = kill_process(Pid::from_child(&previous.child), Signal::TERM);
        }
    }

    /// Whether the previous process has exited.
    pub fn previous_has_exited(&mut self) -> bool {
        let exited =
            self.previous.as_mut().is_none_or(|process| !matches!(process.child.try_wait(), Ok(None)));
        if exited {
            self.previous = None;
        }
        exited
    }

    /// Kills the previous process with SIGKILL.
    pub fn kill_previous(&mut self) {
        if let Some(mut previous) = self.previous.take() {
            let _ = previous.child.kill();
            let _ = previous.child.wait();
        }
    }

    /// Sends SIGHUP without a change of the configuration.
    pub fn send_sighup(&self) {
        self.signal(Signal::HUP);
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            self.paused.set(false);
            let _ = child.kill();
            let _ = child.wait();
        }
        (self.client_address, self.member_address) = (None, None);
    }

    /// Pauses the process with SIGSTOP until [`Daemon::resume`].
    pub fn pause(&self) {
        self.paused.set(true);
        self.signal(Signal::STOP);
    }
    /// Lets a paused process continue, with SIGCONT.
    pub fn resume(&self) {
        self.paused.set(false);
        self.signal(Signal::CONT);
    }
    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.child.as_ref().map(Pid::from_child) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Whether the process has exited without a call of [`Daemon::kill`] or [`Daemon::has_exited`].
    pub fn has_crashed(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Requests a path of the daemon's HTTP server and parses the response as JSON. `None` if the request
    /// failed.
    pub async fn get_json(&self, path: &str) -> Option<Value> {
        // A paused process would not respond, so its timeout is not waited for.
        if self.paused.get() {
            return None;
        }
        let request = format!("GET {path} HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n");
        let (status, body) = send_request(self.client_address?, &request, Duration::from_millis(500)).await?;
        serde_json::from_str(&body).ok().filter(|_| status == 200)
    }

    /// Voluntary context switches of all threads so far: how often a thread went to sleep by itself.
    pub fn voluntary_context_switches(&self) -> Option<u64> {
        let pid = self.child.as_ref()?.id();
        let mut sum = 0;
        for thread in std::fs::read_dir(format!("/proc/{pid}/task")).ok()?.flatten() {
            let status = std::fs::read_to_string(thread.path().join("status")).ok()?;
            let line = status.lines().find_map(|line| line.strip_prefix("voluntary_ctxt_switches:"))?;
            sum += line.trim().parse::<u64>().ok()?;
        }
        Some(sum)
    }

    /// Number of the process's threads.
    pub fn thread_count(&self) -> Option<usize> {
        let pid = self.child.as_ref()?.id();
        Some(std::fs::read_dir(format!("/proc/{pid}/task")).ok()?.count())
    }

    /// Resident memory in kilobytes, and CPU time used so far in seconds.
    pub fn memory_and_cpu(&self) -> Option<(u64, f64)> {
        let pid = self.child.as_ref()?.id();
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let rss = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let fields: Vec<_> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks: u64 = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        Some((rss.split_whitespace().next()?.parse().ok()?, ticks as f64 / 100.0))
    }
}

/// Reads log lines until one reports the address for clients. Addresses for members and operators are logged
/// before it.
async fn read_listen_addresses(lines: &Receiver<String>) -> Result<ListenAddresses, String> {
    let mut last_line = String::new();
    let mut addresses = ListenAddresses::default();
    while addresses.clients.is_none() {
        let Ok(line) = lines.recv().await else {
            return Err(format!("the process exited; its last log line: {last_line}"));
        };
        if let Some((_, rest)) = line.split_once("listens on ") {
            let (rest, purpose) = rest.split_once(" for ").unwrap_or((rest, ""));
            let address = rest.split_whitespace().next().and_then(|word| word.parse().ok());
            match purpose {
                "members" => addresses.members = address,
                "operators" => addresses.operators = address,
                "" => addresses.clients = address,
                _ => {}
            }
        }
        last_line = line;
    }
    Ok(addresses)
}

/// Writes a text to a file; the error names the file.
pub(crate) fn write_file(file: &Path, text: &str) -> Result<(), String> {
    std::fs::write(file, text).map_err(|e| format!("cannot write {}: {e}", file.display()))
}

/// Appends each line of the process's stderr to the log file and passes it on.
fn copy_log_lines(stderr: impl std::io::Read, mut log: File, lines: &Sender<String>) {
    for line in BufReader::new(stderr).lines().map_while(Result::ok) {
        let _ = writeln!(log, "{line}");
        let _ = lines.send_blocking(line);
    }
}
