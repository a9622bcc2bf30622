//! The program as the platform starts it: a process with its configuration in a file, signals, its end.
#![allow(dead_code)] // each test file uses its part

use crate::platform::{Registry, ask, config};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub struct Running {
    child: Child,
    pub address: SocketAddr,
    pub file: PathBuf,
    /// What the file says.
    pub told: String,
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

impl Running {
    /// Under the system's own bound on descriptors; not ready yet.
    pub fn start(name: &str, registry: &Registry, sockets: usize) -> Running {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        drop(listener);
        let file = std::env::temp_dir().join(format!("tulipstall-{name}-{}.json", std::process::id()));
        let told = config(registry, sockets, 1).replacen("127.0.0.1:0", &address.to_string(), 1);
        std::fs::write(&file, &told).expect("a file");
        let program = env!("CARGO_BIN_EXE_tulipstall");
        let mut command = Command::new("sh");
        command.args(["-c", &format!("ulimit -n {sockets}; exec {program} node")]).env("EDGE_CONFIG", &file);
        let child = command.stderr(Stdio::null()).spawn().expect("the program");
        let running = Running { child, address, file, told };
        running.until("it does not listen", ms(10_000), || TcpStream::connect(address).is_ok());
        running
    }

    pub fn ready(self) -> Running {
        let ready = "GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let is = || ask(self.address, ready).starts_with("HTTP/1.1 200");
        self.until("never ready", ms(10_000), is);
        self
    }

    fn until(&self, otherwise: &str, within: Duration, is: impl Fn() -> bool) {
        let until = Instant::now() + within;
        while !is() {
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
