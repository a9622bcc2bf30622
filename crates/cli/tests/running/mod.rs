//! Runs the program as the platform does: as a process with a configuration file, signals and an exit status.
#![allow(dead_code)] // each test file uses a part of this module

pub mod answer;
pub mod flood;
pub mod kept_client;
pub mod late;
pub mod limited;

use crate::platform::{Registry, config, exchange};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::{Duration, Instant};

pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A free port on a loopback address that no other test or program uses. A port that was free on 127.0.0.1 may be taken by
/// another program or connection before the process under test binds it; without this, its start fails at times.
fn unused_address() -> SocketAddr {
    static NEXT_ADDRESS: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, high.max(1), low, NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed));
    let listener = TcpListener::bind((ip, 0)).expect("a port");
    listener.local_addr().expect("an address")
}

/// A running `tulipstall node` process. It is killed and its files are removed on drop.
pub struct NodeProcess {
    child: Child,
    pub address: SocketAddr,
    pub file: PathBuf,
    log: PathBuf,
    /// The configuration text at start.
    pub config_text: String,
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
        let _ = std::fs::remove_file(&self.log);
    }
}

impl NodeProcess {
    /// Starts the process with a descriptor limit (`ulimit -n`) of `sockets`. It listens but may not be ready yet.
    pub fn start(name: &str, registry: &Registry, sockets: usize) -> NodeProcess {
        Self::start_with(name, registry, sockets, str::to_owned)
    }

    /// Like `start`, with the configuration text passed through `change`.
    pub fn start_with(
        name: &str,
        registry: &Registry,
        sockets: usize,
        change: impl Fn(&str) -> String,
    ) -> NodeProcess {
        let address = unused_address();
        let file = std::env::temp_dir().join(format!("tulipstall-{name}-{}.json", std::process::id()));
        let config_text =
            change(&config(registry, sockets, 1)).replacen("127.0.0.1:0", &address.to_string(), 1);
        std::fs::write(&file, &config_text).expect("a file");
        let program = env!("CARGO_BIN_EXE_tulipstall");
        let mut command = Command::new("sh");
        command
            .args(["-c", &format!("ulimit -n {sockets}; exec {program} --log-level debug node")])
            .env("EDGE_CONFIG", &file);
        let log = file.with_extension("log");
        let stderr = std::fs::File::create(&log).expect("a log");
        let child = command.stderr(Stdio::from(stderr)).spawn().expect("the program");
        let mut process = NodeProcess { child, address, file, log, config_text };
        process.wait_until("the process does not listen", ms(10_000), || TcpStream::connect(address).is_ok());
        process
    }

    /// Waits until the process is ready.
    pub fn wait_ready(mut self) -> NodeProcess {
        let request = "GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let address = self.address;
        self.wait_until("the process does not become ready", ms(10_000), || {
            exchange(address, request).starts_with("HTTP/1.1 200")
        });
        self
    }

    /// What the process has written to standard error.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    fn wait_until(&mut self, failure: &str, within: Duration, condition: impl Fn() -> bool) {
        let give_up_at = Instant::now() + within;
        while !condition() {
            let exit_status = self.child.try_wait().expect("a child");
            assert!(exit_status.is_none(), "{failure}: it has exited, {exit_status:?}: {}", self.log());
            assert!(Instant::now() < give_up_at, "{failure}");
            thread::sleep(ms(10));
        }
    }

    /// The memory of the process that is backed by no file, in KiB (`RssAnon`); 0 once it has exited.
    pub fn anonymous_memory_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
    }

    /// The configuration text with the address of registry `from` replaced by that of `to`.
    pub fn config_with_registry(&self, from: &Registry, to: &Registry) -> String {
        self.config_text.replace(&from.address.to_string(), &to.address.to_string())
    }

    /// Overwrites the configuration file.
    pub fn write(&self, text: &str) {
        std::fs::write(&self.file, text).expect("a file");
    }

    /// Sends the process a signal, such as `-HUP`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(status.is_ok_and(|status| status.success()), "{name}");
    }

    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the process to exit; returns its status and the time waited.
    pub fn wait_for_exit(&mut self, within: Duration) -> (ExitStatus, Duration) {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return (status, started.elapsed());
            }
            assert!(started.elapsed() < within, "the process does not exit");
            thread::sleep(ms(5));
        }
    }
}
