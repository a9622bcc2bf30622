//! A fault proxy between a dispatcher and one host. It always accepts connections and always reads; whether it forwards
//! the bytes depends on the fault that is set.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// What the proxy does with the bytes that it has read.
#[derive(Clone, Copy, Debug, PartialEq)]
#[repr(u8)]
pub enum Fault {
    None = 0,
    /// Forwards nothing in either direction, not even the end of a connection.
    Silent = 1,
    /// Forwards requests and drops the host's answers.
    DropsAnswers = 2,
    /// As [`Fault::Silent`], but forwards what was read once the fault is over.
    Delays = 3,
}

#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    fault: Arc<AtomicU8>,
}

impl Proxy {
    /// Listens on a new address and opens one connection to `host` for each accepted connection.
    pub fn start(host: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let proxy = Proxy { address: listener.local_addr().expect("an address"), fault: Arc::default() };
        let proxy_clone = proxy.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let proxy_clone = proxy_clone.clone();
                thread::spawn(move || proxy_clone.connect(stream, host));
            }
        });
        proxy
    }

    /// Sets the fault for open and new connections.
    pub fn set(&self, fault: Fault) {
        self.fault.store(fault as u8, Ordering::SeqCst);
    }

    fn is_set_to_any(&self, faults: &[Fault]) -> bool {
        let fault = self.fault.load(Ordering::SeqCst);
        faults.iter().any(|candidate| *candidate as u8 == fault)
    }

    fn connect(&self, client: TcpStream, host: SocketAddr) {
        let Ok(server) = TcpStream::connect(host) else { return };
        let (Ok(from_client), Ok(from_server)) = (client.try_clone(), server.try_clone()) else { return };
        let proxy_clone = self.clone();
        thread::spawn(move || proxy_clone.pump(from_server, client, &[Fault::Silent, Fault::DropsAnswers]));
        self.pump(from_client, server, &[Fault::Silent]);
    }

    /// Forwards bytes, except those that arrive under one of the faults `dropped_under`.
    fn pump(&self, mut from: TcpStream, mut to: TcpStream, dropped_under: &[Fault]) {
        let mut buffer = [0; 65_536];
        loop {
            let received = from.read(&mut buffer).unwrap_or(0);
            while self.is_set_to_any(&[Fault::Delays]) {
                thread::sleep(std::time::Duration::from_millis(2));
            }
            if self.is_set_to_any(dropped_under) {
                if received == 0 {
                    return HELD_CONNECTIONS.lock().expect("no panic").push(to);
                }
                continue;
            }
            if received == 0 || to.write_all(&buffer[..received]).is_err() {
                let _ = to.shutdown(Shutdown::Both);
                let _ = from.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}

/// Connections that stay open because the end of their counterpart must not be forwarded.
static HELD_CONNECTIONS: Mutex<Vec<TcpStream>> = Mutex::new(Vec::new());
