//! Processes of the system under test.

use std::fs::File;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

pub use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;

/// A process that is killed on drop, with a temporary settings file and log.
pub struct Process {
    child: Child,
    files: [PathBuf; 2],
}

impl Process {
    /// Starts `target/release/bilberryd`, the command of both roles in the deploy file.
    ///
    /// The current folder is the root of the repository.
    pub fn start(role: &str, ip: Ipv4Addr, settings: &str) -> std::io::Result<Self> {
        let name = format!("review-{}-{role}-{ip}", std::process::id());
        let temporary = std::env::temp_dir();
        let files = [
            temporary.join(format!("{name}.conf")),
            temporary.join(format!("{name}.log")),
        ];
        let text = format!("NodeName={role}-{ip}\nRole={role}\nBindIp={ip}\n{settings}");
        std::fs::write(&files[0], text)?;
        let log = File::create(&files[1])?;
        let child = Command::new("target/release/bilberryd")
            .env_clear()
            .env("BILBERRYPADDLE_NODE_FILE", &files[0])
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self { child, files })
    }

    /// Sends the process a signal.
    pub fn signal(&self, signal: Signal) {
        let _ = kill(Pid::from_raw(self.child.id() as i32), signal);
    }

    /// Reports whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        for file in &self.files {
            let _ = std::fs::remove_file(file);
        }
    }
}

/// Returns a loopback address of its own for a machine.
pub fn next_ip() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let machine = NEXT.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    Ipv4Addr::new(127, 130 + (process >> 8 & 0x3f) as u8, process as u8, machine as u8)
}
