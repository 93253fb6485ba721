//! The memory and the descriptors of a process under test.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

/// The interval between samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// The largest amounts that a process has held.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Peak {
    /// Resident memory, and bytes that were received and not read, in bytes.
    pub memory_bytes: u64,
    /// The largest part of it that was received and not read, in bytes.
    pub unread_bytes: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

/// Samples the memory and the descriptors of a process until it is dropped.
#[derive(Debug)]
pub struct ResourceWatch {
    process: u32,
    peak: Arc<Mutex<Peak>>,
    stopped: Arc<AtomicBool>,
    sampling: Option<JoinHandle<()>>,
}

impl ResourceWatch {
    /// Watches a process with these listeners.
    pub fn start(process: u32, listeners: Vec<SocketAddr>) -> Self {
        let peak = Arc::new(Mutex::new(Peak::default()));
        let stopped = Arc::new(AtomicBool::new(false));
        let (seen, end) = (peak.clone(), stopped.clone());
        let sampling = std::thread::spawn(move || {
            while !end.load(Ordering::Relaxed) {
                let sample = sample(process, &listeners);
                let mut seen = seen.lock().unwrap();
                seen.memory_bytes = seen.memory_bytes.max(sample.memory_bytes);
                seen.unread_bytes = seen.unread_bytes.max(sample.unread_bytes);
                seen.descriptors = seen.descriptors.max(sample.descriptors);
                drop(seen);
                std::thread::sleep(SAMPLE_INTERVAL);
            }
        });
        Self { process, peak, stopped, sampling: Some(sampling) }
    }

    /// Returns the peak so far.
    pub fn peak(&self) -> Peak {
        let peak = *self.peak.lock().unwrap();
        let resident_bytes = status_bytes(self.process, "VmHWM:");
        Peak { memory_bytes: peak.memory_bytes.max(resident_bytes), ..peak }
    }
}

impl Drop for ResourceWatch {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        if let Some(sampling) = self.sampling.take() {
            let _ = sampling.join();
        }
    }
}

fn sample(process: u32, listeners: &[SocketAddr]) -> Peak {
    let resident_bytes = status_bytes(process, "VmRSS:");
    let descriptors = std::fs::read_dir(format!("/proc/{process}/fd"));
    let unread_bytes = unread_bytes(listeners);
    Peak {
        memory_bytes: resident_bytes + unread_bytes,
        unread_bytes,
        descriptors: descriptors.map_or(0, Iterator::count),
    }
}

/// Returns a line of the status of a process that is given in kB.
fn status_bytes(process: u32, name: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"));
    let status = status.unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
    kilobytes.and_then(|text| text.trim().parse::<u64>().ok()).unwrap_or(0) * 1_024
}

/// Returns the bytes that were received on connections to the listeners and not read.
fn unread_bytes(listeners: &[SocketAddr]) -> u64 {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let own: Vec<_> = listeners.iter().filter_map(|it| kernel_text(*it)).collect();
    let unread = table.lines().filter_map(|line| {
        let mut fields = line.split_whitespace();
        let local = fields.nth(1)?;
        let is_listening = fields.nth(1)? == "0A";
        let (_, received) = fields.next()?.split_once(':')?;
        let is_own = !is_listening && own.iter().any(|address| address == local);
        is_own.then(|| u64::from_str_radix(received, 16).ok()).flatten()
    });
    unread.sum()
}

/// Returns an address as the kernel's table of connections shows it.
fn kernel_text(address: SocketAddr) -> Option<String> {
    match address {
        SocketAddr::V4(address) => {
            let ip = u32::from_ne_bytes(address.ip().octets());
            Some(format!("{ip:08X}:{:04X}", address.port()))
        }
        SocketAddr::V6(_) => None,
    }
}
