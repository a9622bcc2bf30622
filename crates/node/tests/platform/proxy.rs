//! A fault proxy between a dispatcher and one host: connections always come up, and bytes are always taken; whether they
//! are passed on depends on the fault that is set.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// What the proxy does with bytes that it has taken.
#[derive(Clone, Copy, Debug, PartialEq)]
#[repr(u8)]
pub enum Fault {
    None = 0,
    /// Nothing reaches the host, not even the end of a connection; nothing comes back.
    Silent = 1,
    /// Requests reach the host, its answers are lost.
    LosesAnswers = 2,
    /// As [`Fault::Silent`], and what was taken is passed on once the fault is over.
    Delays = 3,
}

#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    fault: Arc<AtomicU8>,
}

impl Proxy {
    /// Listens on an address of its own and connects to `host` once for each connection taken.
    pub fn start(host: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let proxy = Proxy { address: listener.local_addr().expect("an address"), fault: Arc::default() };
        let about = proxy.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let about = about.clone();
                thread::spawn(move || about.connect(stream, host));
            }
        });
        proxy
    }

    /// From now on, on open connections as on new ones.
    pub fn set(&self, fault: Fault) {
        self.fault.store(fault as u8, Ordering::SeqCst);
    }

    fn has(&self, faults: &[Fault]) -> bool {
        let fault = self.fault.load(Ordering::SeqCst);
        faults.iter().any(|one| *one as u8 == fault)
    }

    fn connect(&self, near: TcpStream, host: SocketAddr) {
        let Ok(far) = TcpStream::connect(host) else { return };
        let (Ok(from_near), Ok(from_far)) = (near.try_clone(), far.try_clone()) else { return };
        let about = self.clone();
        thread::spawn(move || about.pump(from_far, near, &[Fault::Silent, Fault::LosesAnswers]));
        self.pump(from_near, far, &[Fault::Silent]);
    }

    /// Passes on what comes, but for what comes under one of the faults that lose it.
    fn pump(&self, mut from: TcpStream, mut to: TcpStream, lost_by: &[Fault]) {
        let mut buffer = [0; 65_536];
        loop {
            let got = from.read(&mut buffer).unwrap_or(0);
            while self.has(&[Fault::Delays]) {
                thread::sleep(std::time::Duration::from_millis(2));
            }
            if self.has(lost_by) {
                if got == 0 {
                    return KEPT.lock().expect("no panic").push(to);
                }
                continue;
            }
            if got == 0 || to.write_all(&buffer[..got]).is_err() {
                let _ = to.shutdown(Shutdown::Both);
                let _ = from.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}

/// Connections whose end is not passed on.
static KEPT: Mutex<Vec<TcpStream>> = Mutex::new(Vec::new());
