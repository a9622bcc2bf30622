use super::*;
use std::net::{TcpListener, TcpStream};

fn client() -> (Arc<Client>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let there = TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    let link = Link::new(listener.accept().expect("a connection").0).expect("a link");
    (Client::new(link), there)
}

/// A request that is read crosses the end of its connection as idle: exactly one of the two takes effect,
/// whichever came first.
#[test]
fn of_a_request_and_an_end_that_cross_one_holds() {
    #[derive(Clone, Copy, Debug, PartialEq)]
    enum Does {
        Takes(bool),
        Answers,
        Ends(bool),
    }
    use Does::*;
    for steps in [
        &[Ends(true), Takes(false), Ends(false)][..],
        &[Takes(true), Ends(false), Answers, Ends(true), Takes(false)],
        &[Takes(true), Takes(true), Answers, Ends(false), Answers, Ends(true)],
    ] {
        let (client, _there) = client();
        for step in steps {
            match step {
                Takes(taken) => assert_eq!(client.takes().is_some(), *taken, "{steps:?}"),
                Answers => {
                    client.busy.fetch_sub(1, Ordering::SeqCst);
                }
                Ends(ended) => assert_eq!(client.end_if_idle(), *ended, "{steps:?}"),
            }
        }
        // Ended once, the connection is closed.
        assert!(client.left() && client.gone(), "{steps:?}");
    }
}
