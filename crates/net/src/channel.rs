//! An unbounded channel with many senders and one receiver, between coroutines and threads. An empty one takes some dozens
//! of bytes: a channel of `may` takes two blocks of 64 messages from its start, which the allocator has to align and
//! therefore cannot put where it freed others like them.

use crate::waiter::Waiter;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The state that senders and the receiver share. Locked only for moments, never over a wait.
struct Channel<T> {
    state: Mutex<State<T>>,
}

struct State<T> {
    messages: VecDeque<T>,
    /// The receiver, while it waits.
    waiting: Option<Waiter>,
    is_closed: bool,
}

impl<T> Channel<T> {
    fn lock(&self) -> MutexGuard<'_, State<T>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Makes a channel.
pub fn channel<T>() -> (Sender<T>, Receiver<T>) {
    let state = State { messages: VecDeque::new(), waiting: None, is_closed: false };
    let channel = Arc::new(Channel { state: Mutex::new(state) });
    (Sender { channel: channel.clone() }, Receiver { channel })
}

/// The receiver is gone; contains the message that could not be sent.
#[derive(Debug, PartialEq, Eq)]
pub struct Closed<T>(pub T);

/// Sends messages to the receiver, which need not exist any more.
pub struct Sender<T> {
    channel: Arc<Channel<T>>,
}

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Self {
        Sender { channel: self.channel.clone() }
    }
}

impl<T> Sender<T> {
    pub fn send(&self, message: T) -> Result<(), Closed<T>> {
        let waiting = {
            let mut state = self.channel.lock();
            if state.is_closed {
                return Err(Closed(message));
            }
            state.messages.push_back(message);
            state.waiting.take()
        };
        if let Some(receiver) = waiting {
            receiver.resume();
        }
        Ok(())
    }
}

/// Receives messages in the order in which they were sent.
pub struct Receiver<T> {
    channel: Arc<Channel<T>>,
}

impl<T> Receiver<T> {
    /// Waits for the next message, for as long as it takes. Senders need not exist.
    pub fn recv(&self) -> T {
        loop {
            if let Some(message) = self.try_recv() {
                return message;
            }
            let waiter = Waiter::current();
            {
                let mut state = self.channel.lock();
                if !state.messages.is_empty() {
                    continue;
                }
                state.waiting = Some(waiter.clone());
            }
            waiter.wait();
        }
    }

    /// The next message, if one has been sent.
    pub fn try_recv(&self) -> Option<T> {
        self.channel.lock().messages.pop_front()
    }
}

impl<T> Drop for Receiver<T> {
    fn drop(&mut self) {
        let unread = {
            let mut state = self.channel.lock();
            state.is_closed = true;
            std::mem::take(&mut state.messages)
        };
        // With no lock held: a message may own a sender of this channel.
        drop(unread);
    }
}

#[cfg(test)]
mod tests;
