//! Which forwarded requests this node has seen.

use std::{
    collections::{HashMap, VecDeque},
    sync::Mutex,
    time::Duration,
};

use wisteriaglade_types::Request;

use crate::{lock, message::Known};

/// How long a request is remembered after its last change. It exceeds the time
/// that a sender goes on asking.
const KEPT: Duration = Duration::from_secs(30);

/// Requests that are remembered. It bounds the memory to about 10 MB.
const BOUND: usize = 100_000;

/// The forwarded requests of the recent past.
///
/// A sender whose connection fell silent asks over a new one. A request that
/// was not seen is refused from then on, so that the sender may send it again
/// without running it twice.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    states: HashMap<Request, State>,
    order: VecDeque<(Duration, Request)>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Running,
    Finished,
    Barred,
}

impl Seen {
    /// Notes that a request arrived. False when it was barred, or arrived
    /// before.
    pub(crate) fn start(&self, now: Duration, request: Request) -> bool {
        let mut inner = lock(&self.inner);
        inner.expire(now);
        if inner.states.contains_key(&request) {
            return false;
        }
        inner.insert(now, request, State::Running);
        true
    }

    /// Notes that a request ended.
    pub(crate) fn finish(&self, request: Request) {
        if let Some(state) = lock(&self.inner).states.get_mut(&request) {
            *state = State::Finished;
        }
    }

    /// Tells what became of a request, and bars one that was not seen.
    pub(crate) fn query(&self, now: Duration, request: Request) -> Known {
        let mut inner = lock(&self.inner);
        inner.expire(now);
        match inner.states.get(&request) {
            Some(State::Running) => Known::Running,
            Some(State::Finished) => Known::Finished,
            Some(State::Barred) => Known::NotSeen,
            None => {
                inner.insert(now, request, State::Barred);
                Known::NotSeen
            }
        }
    }
}

impl Inner {
    fn insert(&mut self, now: Duration, request: Request, state: State) {
        self.states.insert(request, state);
        self.order.push_back((now, request));
    }

    fn expire(&mut self, now: Duration) {
        while let Some(&(at, request)) = self.order.front() {
            if now < at + KEPT && self.order.len() <= BOUND {
                break;
            }
            self.order.pop_front();
            // A request that still runs is remembered until it ends.
            if self.states.get(&request) == Some(&State::Running) {
                self.order.push_back((now, request));
                break;
            }
            self.states.remove(&request);
        }
    }
}

#[cfg(test)]
mod tests;
