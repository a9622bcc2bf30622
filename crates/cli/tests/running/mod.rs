//! The program as the platform starts it: a process with its configuration in a file, signals, its end.
#![allow(dead_code)] // each test file uses its part

use crate::platform::{Registry, config, exchange};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::{Duration, Instant};

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A port on a loopback address that nothing else has: a port that was free on the common address a moment ago may be
/// another program's or a connection's by now, and one of the two then fails to listen.
fn own_address() -> SocketAddr {
    static TAKEN: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, high.max(1), low, TAKEN.fetch_add(1, Ordering::Relaxed));
    let listener = TcpListener::bind((ip, 0)).expect("a port");
    listener.local_addr().expect("an address")
}

pub struct Running {
    child: Child,
    pub address: SocketAddr,
    pub file: PathBuf,
    log: PathBuf,
    /// What the file says.
    pub told: String,
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
        let _ = std::fs::remove_file(&self.log);
    }
}

impl Running {
    /// Under the system's own bound on descriptors; not ready yet.
    pub fn start(name: &str, registry: &Registry, sockets: usize) -> Running {
        Self::start_with(name, registry, sockets, str::to_owned)
    }

    /// With its configuration changed before.
    pub fn start_with(
        name: &str,
        registry: &Registry,
        sockets: usize,
        change: impl Fn(&str) -> String,
    ) -> Running {
        let address = own_address();
        let file = std::env::temp_dir().join(format!("tulipstall-{name}-{}.json", std::process::id()));
        let told = change(&config(registry, sockets, 1)).replacen("127.0.0.1:0", &address.to_string(), 1);
        std::fs::write(&file, &told).expect("a file");
        let program = env!("CARGO_BIN_EXE_tulipstall");
        let mut command = Command::new("sh");
        command
            .args(["-c", &format!("ulimit -n {sockets}; exec {program} --log-level debug node")])
            .env("EDGE_CONFIG", &file);
        let log = file.with_extension("log");
        let stderr = std::fs::File::create(&log).expect("a log");
        let child = command.stderr(Stdio::from(stderr)).spawn().expect("the program");
        let mut running = Running { child, address, file, log, told };
        running.until("it does not listen", ms(10_000), || TcpStream::connect(address).is_ok());
        running
    }

    pub fn ready(mut self) -> Running {
        let ready = "GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let address = self.address;
        self.until("never ready", ms(10_000), || exchange(address, ready).starts_with("HTTP/1.1 200"));
        self
    }

    /// What it has written to standard error.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    fn until(&mut self, otherwise: &str, within: Duration, is: impl Fn() -> bool) {
        let until = Instant::now() + within;
        while !is() {
            let ended = self.child.try_wait().expect("a child");
            assert!(ended.is_none(), "{otherwise}: it has ended, {ended:?}: {}", self.log());
            assert!(Instant::now() < until, "{otherwise}");
            thread::sleep(ms(10));
        }
    }

    /// What it is told once the registry is elsewhere.
    pub fn told_of(&self, from: &Registry, to: &Registry) -> String {
        self.told.replace(&from.address.to_string(), &to.address.to_string())
    }

    pub fn write(&self, text: &str) {
        std::fs::write(&self.file, text).expect("a file");
    }

    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(status.is_ok_and(|status| status.success()), "{name}");
    }

    /// How it ends, and after how long.
    pub fn ends(&mut self, within: Duration) -> (ExitStatus, Duration) {
        let from = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return (status, from.elapsed());
            }
            assert!(from.elapsed() < within, "it does not end");
            thread::sleep(ms(5));
        }
    }
}
