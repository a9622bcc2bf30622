//! Accepts client connections, within the limits of how many there may be, in all and from one address.

use crate::Shared;
use crate::front::serve_connection;
use crate::reply::{self, ResponseOptions};
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tulipstall_messages::{ApiError, ErrorKind};
use tulipstall_net::{Link, Listener, spawn};

/// Pause after a connection was refused: clients that connect again at once must not take all the time of a worker.
const REFUSED_CONNECTION_PAUSE: Duration = Duration::from_millis(1);

/// Pause after an error of the listener, most likely for want of file descriptors: some may be closed meanwhile.
const ERROR_PAUSE: Duration = Duration::from_millis(10);

/// Open connections by client address.
type AddressCounts = Mutex<BTreeMap<IpAddr, usize>>;

/// Accepts client connections and starts their coroutines.
pub fn start(shared: Arc<Shared>, listener: Listener) {
    let address_counts: Arc<AddressCounts> = Arc::default();
    spawn(move || {
        loop {
            let Ok((link, peer)) = listener.accept() else {
                tulipstall_net::sleep(ERROR_PAUSE);
                continue;
            };
            let (shared, address_counts, ip) = (shared.clone(), address_counts.clone(), peer.ip());
            let limits = &shared.settings.limits;
            let open_connections = shared.connections.fetch_add(1, Ordering::SeqCst);
            let connections_from_address = address_counts.lock().map_or(0, |mut address_counts| {
                let count = address_counts.entry(ip).or_insert(0);
                *count += 1;
                *count
            });
            if open_connections >= limits.connections
                || connections_from_address > limits.connections_per_address
            {
                refuse_connection(&shared, &link);
                release_connection(&shared, &address_counts, ip);
                tulipstall_net::sleep(REFUSED_CONNECTION_PAUSE);
                continue;
            }
            spawn(move || {
                // The guard also counts the connection out if its coroutine panics.
                let _guard = ConnectionGuard { shared: shared.clone(), address_counts, ip };
                serve_connection(&shared, link);
            });
        }
    });
}

/// Answers a connection beyond the limits with an overload error.
fn refuse_connection(shared: &Shared, link: &Link) {
    let error = ApiError::new(ErrorKind::Overloaded, "too many connections");
    let retry_after = Some(Duration::from_millis(500));
    let options = ResponseOptions { should_retry: Some(true), retry_after, ..ResponseOptions::default() };
    shared.metrics.refused.with_label_values(&["529"]).inc();
    // The accept loop must not wait for a slow client: what the socket does not take at once is dropped.
    let _ = link.write(&reply::error(&error, options), Instant::now() + Duration::from_millis(2));
    link.shut();
}

/// Subtracts a closed connection from the counts.
fn release_connection(shared: &Shared, address_counts: &AddressCounts, ip: IpAddr) {
    shared.connections.fetch_sub(1, Ordering::SeqCst);
    if let Ok(mut address_counts) = address_counts.lock()
        && let Some(count) = address_counts.get_mut(&ip)
    {
        *count -= 1;
        if *count == 0 {
            address_counts.remove(&ip);
        }
    }
}

/// Counts a connection out when dropped.
struct ConnectionGuard {
    shared: Arc<Shared>,
    address_counts: Arc<AddressCounts>,
    ip: IpAddr,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        release_connection(&self.shared, &self.address_counts, self.ip);
    }
}
