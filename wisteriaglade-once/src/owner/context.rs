use std::{collections::HashMap, time::Duration};

use wisteriaglade_types::Request;

use super::{
    Config, Effect, Reason, ShardId,
    calls::{Call, Calls},
};
use crate::{Answer, Key, holder::Message};

/// The state that all grants of an owner share, for the duration of one
/// [`Owner::step`](super::Owner::step).
#[derive(Debug)]
pub(super) struct Context<'a> {
    pub(super) now: Duration,
    pub(super) config: &'a Config,
    pub(super) calls: &'a mut Calls,
    /// The requests without a final effect, with their shard and key.
    pub(super) requests: &'a mut HashMap<Request, (ShardId, Key)>,
    pub(super) effects: &'a mut Vec<Effect>,
}

impl Context<'_> {
    pub(super) fn call(&mut self, call: Call, message: Message) {
        let to = call.to;
        let call = self.calls.open(self.now, call);
        self.effects.push(Effect::Call { to, call, message });
    }

    pub(super) fn run(&mut self, request: Request) {
        self.effects.push(Effect::Run { request });
    }

    pub(super) fn refuse(&mut self, request: Request, reason: Reason) {
        self.requests.remove(&request);
        self.effects.push(Effect::Refuse { request, reason });
    }

    pub(super) fn unknown(&mut self, request: Request) {
        self.requests.remove(&request);
        self.effects.push(Effect::Unknown { request });
    }

    pub(super) fn replay(&mut self, request: Request, answer: Answer) {
        self.requests.remove(&request);
        self.effects.push(Effect::Replay { request, answer });
    }

    pub(super) fn acknowledge(&mut self, request: Request, answer: Answer) {
        self.requests.remove(&request);
        self.effects.push(Effect::Acknowledge { request, answer });
    }
}
