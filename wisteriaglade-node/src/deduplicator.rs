//! Deduplication of the requests that other nodes forward to this one.

use std::{
    collections::{HashMap, VecDeque},
    sync::Mutex,
    time::Duration,
};

use wisteriaglade_types::Request;

use crate::{lock, message::RequestState};

/// How long a request is remembered after it was received or rejected. It
/// exceeds the time for which a sender repeats its query.
const RETENTION: Duration = Duration::from_secs(30);

/// The largest number of remembered requests. It bounds the memory to about 10
/// MB.
const MAX_REQUESTS: usize = 100_000;

/// The forwarded requests that this node has received recently.
///
/// A sender whose connection went silent asks for the state of its request
/// over a new one. A request that has not been received is rejected from then
/// on, so that the sender can send it again without running it twice.
#[derive(Debug, Default)]
pub(crate) struct Deduplicator {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    states: HashMap<Request, State>,
    /// The requests in the order in which they expire, with the time from
    /// which that counts.
    order: VecDeque<(Duration, Request)>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Running,
    Finished,
    /// Not received when its sender asked, so it must not start any more.
    Rejected,
}

impl Deduplicator {
    /// Records that a request was received. Returns false when it was received
    /// before or is rejected.
    pub(crate) fn start(&self, now: Duration, request: Request) -> bool {
        let mut inner = lock(&self.inner);
        inner.expire(now);
        if inner.states.contains_key(&request) {
            return false;
        }
        inner.insert(now, request, State::Running);
        true
    }

    /// Records that a request has ended.
    pub(crate) fn finish(&self, request: Request) {
        if let Some(state) = lock(&self.inner).states.get_mut(&request) {
            *state = State::Finished;
        }
    }

    /// Returns the state of a request, and rejects from now on one that was
    /// not received.
    pub(crate) fn query(&self, now: Duration, request: Request) -> RequestState {
        let mut inner = lock(&self.inner);
        inner.expire(now);
        match inner.states.get(&request) {
            Some(State::Running) => RequestState::Running,
            Some(State::Finished) => RequestState::Finished,
            Some(State::Rejected) => RequestState::NotReceived,
            None => {
                inner.insert(now, request, State::Rejected);
                RequestState::NotReceived
            }
        }
    }
}

impl Inner {
    fn insert(&mut self, now: Duration, request: Request, state: State) {
        self.states.insert(request, state);
        self.order.push_back((now, request));
    }

    /// Drops requests whose retention has ended or that exceed the largest
    /// number.
    fn expire(&mut self, now: Duration) {
        while let Some(&(at, request)) = self.order.front() {
            if now < at + RETENTION && self.order.len() <= MAX_REQUESTS {
                break;
            }
            self.order.pop_front();
            // A running request is kept until it ends.
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
