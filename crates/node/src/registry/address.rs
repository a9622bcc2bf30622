//! The registry's address as the configuration names it, and the connection to the registry.

use crate::lock;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};
use tulipstall_net::{Link, Notify};

/// Which registry the configuration names.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    pub address: SocketAddr,
    /// How often the address has changed.
    pub moves: u64,
    /// How often a configuration was read after the start.
    pub reloads: u64,
    /// When the last of these was announced, since the start of the process.
    pub reloaded_at: Duration,
}

struct State {
    target: Target,
    /// The connection to the registry, if there is one.
    link: Option<Link>,
}

/// The registry's address, which a new configuration may change at any time.
pub struct RegistryAddress {
    state: Mutex<State>,
    reloaded: Notify,
}

impl RegistryAddress {
    pub fn new(address: SocketAddr) -> Self {
        let target = Target { address, moves: 0, reloads: 0, reloaded_at: Duration::ZERO };
        RegistryAddress { state: Mutex::new(State { target, link: None }), reloaded: Notify::default() }
    }

    pub fn target(&self) -> Target {
        lock(&self.state).target
    }

    /// Sets the address from a configuration that was announced at `reloaded_at`, closes the connection to a
    /// previous one, and ends a pause.
    pub fn set(&self, address: SocketAddr, reloaded_at: Duration) {
        {
            let mut state = lock(&self.state);
            let previous = state.target;
            let moved = address != previous.address;
            let (moves, reloads) = (previous.moves + u64::from(moved), previous.reloads + 1);
            state.target = Target { address, moves, reloads, reloaded_at };
            if moved && let Some(link) = state.link.take() {
                link.shut();
            }
        }
        self.reloaded.notify();
    }

    /// Sets the connection to the registry, to be closed when the registry moves. Returns false if it has moved
    /// since `target` was current.
    pub fn set_link(&self, link: &Link, target: &Target) -> bool {
        let mut state = lock(&self.state);
        let is_current = state.target.moves == target.moves;
        if is_current {
            state.link = Some(link.clone());
        }
        is_current
    }

    /// Releases the connection to the registry.
    pub fn clear_link(&self) {
        lock(&self.state).link = None;
    }

    /// Waits for a configuration later than `target`, at most for `timeout`.
    pub fn wait_for_reload(&self, target: &Target, timeout: Duration) {
        let until = Instant::now() + timeout;
        while self.target().reloads == target.reloads {
            // Notifications of configurations up to `target` end this wait, but not the loop.
            if !self.reloaded.wait_timeout(until.saturating_duration_since(Instant::now())) {
                return;
            }
        }
    }
}
