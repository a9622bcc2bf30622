use super::*;
use std::net::{TcpListener, TcpStream};

fn client() -> (Arc<Client>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let peer = TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    let link = Link::new(listener.accept().expect("a connection").0).expect("a link");
    (Client::new(link), peer)
}

/// A request that is read crosses the end of its connection as idle: exactly one of the two takes effect,
/// whichever came first.
#[test]
fn a_request_and_an_idle_close_that_cross_exclude_each_other() {
    #[derive(Clone, Copy, Debug, PartialEq)]
    enum Action {
        BeginRequest(bool),
        EndRequest,
        EndIfIdle(bool),
    }
    use Action::*;
    for steps in [
        &[EndIfIdle(true), BeginRequest(false), EndIfIdle(false)][..],
        &[BeginRequest(true), EndIfIdle(false), EndRequest, EndIfIdle(true), BeginRequest(false)],
        &[BeginRequest(true), BeginRequest(true), EndRequest, EndIfIdle(false), EndRequest, EndIfIdle(true)],
    ] {
        let (client, _peer) = client();
        for step in steps {
            match step {
                BeginRequest(accepted) => {
                    assert_eq!(client.begin_request().is_some(), *accepted, "{steps:?}")
                }
                EndRequest => {
                    client.busy.fetch_sub(1, Ordering::SeqCst);
                }
                EndIfIdle(ended) => assert_eq!(client.end_if_idle(), *ended, "{steps:?}"),
            }
        }
        // Ended once, the connection is closed.
        assert!(client.has_left() && client.is_gone(), "{steps:?}");
    }
}
