use super::*;
use crate::spawn;
use std::thread;

/// Messages of each sender arrive in their order, whether the receiver waits or not, and whether it is a coroutine or a
/// thread.
#[test]
fn messages_arrive_in_order() {
    const SENDERS: usize = 4;
    const MESSAGES: usize = 2000;
    let (sender, receiver) = channel();
    let senders: Vec<_> = (0..SENDERS)
        .map(|number| {
            let sender = sender.clone();
            thread::spawn(move || (0..MESSAGES).for_each(|i| sender.send((number, i)).expect("a receiver")))
        })
        .collect();
    let receive = move || {
        let mut next = [0; SENDERS];
        for _ in 0..SENDERS * MESSAGES {
            let (number, i): (usize, usize) = receiver.recv();
            assert_eq!(i, next[number]);
            next[number] += 1;
        }
        receiver
    };
    let receiver = spawn(receive).join().expect("no panic");
    senders.into_iter().for_each(|thread| thread.join().expect("no panic"));
    assert_eq!(receiver.try_recv(), None);
    let waiting = thread::spawn(move || receiver.recv());
    sender.send((0, 7)).expect("a receiver");
    assert_eq!(waiting.join().expect("no panic"), (0, 7));
    assert_eq!(sender.send((0, 8)), Err(Closed((0, 8))));
}

/// What was sent and not received is dropped with the receiver, even if it owns a sender of the same channel.
#[test]
fn unread_messages_are_dropped_with_the_receiver() {
    struct Message(#[allow(dead_code)] Sender<Message>, #[allow(dead_code)] Arc<()>);
    let (sender, receiver) = channel();
    let counted = Arc::new(());
    sender.send(Message(sender.clone(), counted.clone())).ok().expect("a receiver");
    drop(receiver);
    assert_eq!(Arc::strong_count(&counted), 1);
}
