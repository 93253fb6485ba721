//! Child processes of tests.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;

use crate::ResourceWatch;
use crate::WAIT_TIMEOUT;

/// First port of the range that tests allocate from.
const FIRST_PORT: u32 = 10_000;

/// Number of ports in the range that tests allocate from.
const PORT_COUNT: u32 = 20_000;

/// A child process of a test, killed on drop.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
    log: PathBuf,
    program: &'static str,
    arguments: Vec<String>,
    addresses: BTreeMap<String, SocketAddr>,
}

impl ChildProcess {
    /// Starts a workspace binary and waits until it prints its listening addresses.
    pub fn start(program: &'static str, arguments: Vec<String>) -> Self {
        let log = log_path(program);
        let (child, addresses) = spawn(program, &arguments, &log);
        Self { child, log, program, arguments, addresses }
    }

    /// Starts the program again with the same arguments.
    pub fn restart(&mut self) {
        let (child, addresses) = spawn(self.program, &self.arguments, &self.log);
        self.child = child;
        self.addresses = addresses;
    }

    /// Returns the address of the listener named `what`.
    pub fn address(&self, what: &str) -> SocketAddr {
        self.addresses[what]
    }

    /// Watches the memory and the descriptors of the process.
    pub fn watch_resources(&self) -> ResourceWatch {
        let listeners = self.addresses.values().copied().collect();
        ResourceWatch::start(self.child.id(), listeners)
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Kills the process with `SIGKILL` and reaps it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Suspends the process with `SIGSTOP`.
    pub fn suspend(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes a suspended process with `SIGCONT`.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Requests a graceful shutdown with `SIGTERM`.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Waits for the process to exit.
    pub async fn wait_exit(&mut self) -> ExitStatus {
        let until = tokio::time::Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status;
            }
            assert!(tokio::time::Instant::now() < until, "the process did not end");
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
    }

    fn signal(&self, signal: Signal) {
        let _ = kill(Pid::from_raw(self.child.id() as i32), signal);
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
        if std::thread::panicking() {
            eprintln!(
                "the log of {} {:?}:\n{}",
                self.program,
                self.arguments,
                read_log(&self.log)
            );
        }
        let _ = std::fs::remove_file(&self.log);
    }
}

/// Returns a free loopback address that stays free until it is bound.
///
/// Ephemeral ports are also assigned to outgoing connections, so the port of a
/// killed process could be taken before the process restarts. Only these tests
/// allocate ports below the ephemeral range, and each test process uses its own
/// loopback address, so two test processes never pick the same address.
pub(crate) fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    loop {
        let count = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + count % PORT_COUNT;
        let address =
            SocketAddr::from(([127, 128 | high & 0x3f, middle, low], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Returns the path of a workspace binary in the target directory of the test.
pub fn program_path(program: &str) -> PathBuf {
    let test = std::env::current_exe().expect("the path of the test binary is known");
    let built = test.ancestors().nth(2).expect("test binaries are in `deps`");
    let path = built.join(program);
    assert!(
        path.exists(),
        "{program} is not built; run `cargo test --workspace` or `cargo build --workspace`"
    );
    path
}

/// Returns the log path of a process; the log is printed if its test fails.
fn log_path(program: &str) -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let count = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("{program}-{}-{count}.log", std::process::id());
    std::env::temp_dir().join(name)
}

fn read_log(log: &Path) -> String {
    std::fs::read_to_string(log).unwrap_or_else(|error| format!("(none: {error})"))
}

fn spawn(
    program: &'static str,
    arguments: &[String],
    log: &Path,
) -> (Child, BTreeMap<String, SocketAddr>) {
    let errors = match std::env::var_os("BILBERRY_TEST_LOG") {
        Some(_) => Stdio::inherit(),
        None => log_file(log),
    };
    let mut child = Command::new(program_path(program))
        .args(arguments)
        .stdout(Stdio::piped())
        .stderr(errors)
        .spawn()
        .unwrap_or_else(|error| panic!("{program} can't be started: {error}"));
    let output = child.stdout.take().expect("stdout is piped");
    let mut line = String::new();
    let _ = BufReader::new(output).read_line(&mut line);
    let pairs = line.split_whitespace().filter_map(|pair| pair.split_once('='));
    let addresses: BTreeMap<_, _> = pairs
        .filter_map(|(name, address)| Some((name.to_string(), address.parse().ok()?)))
        .collect();
    let log = || read_log(log);
    assert!(!addresses.is_empty(), "{program} {arguments:?} did not start: {}", log());
    (child, addresses)
}

fn log_file(log: &Path) -> Stdio {
    let file = File::options().create(true).append(true).open(log);
    Stdio::from(file.expect("the log file can be opened"))
}
