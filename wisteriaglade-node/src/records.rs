//! Records of at-most-once requests.
//!
//! Feeds events to the two reducers of the package `wisteriaglade_once` and
//! carries out their effects: the [`Holder`] keeps records for owners, and the
//! [`Owner`] writes the records of the shards that this node owns.

mod guard;
mod owned;

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::sync::mpsc;
use tracing::{debug, warn};
use wisteriaglade_control::Command;
use wisteriaglade_once::{
    Answer,
    holder::{self, Holder, Message as HolderMessage, Reply},
    owner::{Config, Effect, Event, Owner, Reason},
};
use wisteriaglade_types::{Node, Request};

pub(crate) use self::guard::Guard;
use self::owned::Owned;
use crate::{context::Context, lock, message::Message, pool, read};

/// Interval of the ticks that drive the owner's timers.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Timeout of one call to a record holder. The owner repeats failed calls.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Time within which a change of holders must be committed.
const HOLDERS_TIMEOUT: Duration = Duration::from_secs(2);

/// The owner's decision on an at-most-once request.
#[derive(Debug, Clone)]
pub(crate) enum Decision {
    /// The start is recorded, and the request must be run.
    Run,
    /// The request is a repeat of one that ended with this response.
    Replay(Answer),
    /// The request didn't run.
    Refuse(Reason),
    /// The request may have run.
    Unknown,
    /// The outcome is recorded, and the caller may get the response.
    Acknowledge,
}

/// The record state of this process.
#[derive(Debug)]
pub(crate) struct Records {
    /// Records that this node holds for owners, itself included.
    holder: Mutex<Holder>,
    inner: Mutex<Inner>,
}

/// The state of this node as an owner.
#[derive(Debug)]
struct Inner {
    owner: Owner,
    /// The shards that the owner reducer has been told of.
    owned: Owned,
    /// Channels to the requests that wait for a decision.
    waiting: HashMap<Request, mpsc::UnboundedSender<Decision>>,
}

impl Records {
    pub(crate) fn new(config: holder::Config) -> Self {
        Self {
            holder: Mutex::new(Holder::new(config)),
            inner: Mutex::new(Inner {
                owner: Owner::new(Config::default()),
                owned: Owned::default(),
                waiting: HashMap::new(),
            }),
        }
    }

    /// Returns the size of the records that this node holds, in bytes.
    pub(crate) fn used_bytes(&self) -> usize {
        lock(&self.holder).memory_used()
    }

    /// Discards all records. Called when the process continues under a new id,
    /// since the control log counts the copies of the old id as lost.
    pub(crate) fn reset(&self, config: holder::Config) {
        *lock(&self.holder) = Holder::new(config);
        let mut inner = lock(&self.inner);
        inner.owner = Owner::new(Config::default());
        inner.owned = Owned::default();
        // Dropping the senders ends the waiting requests with an unknown outcome.
        inner.waiting.clear();
    }
}

/// Handles a message of an owner to this node as a holder. Returns `None` if it
/// is addressed to an earlier id of this process, whose records are discarded.
pub(crate) fn handle(context: &Context, to: Node, message: HolderMessage) -> Option<Reply> {
    if context.node() != Some(to) {
        return None;
    }
    let now = context.clock.now();
    Some(lock(&context.records.holder).handle(now, message))
}

/// Passes the shards that this node owns to the owner reducer. Called after
/// changes of the control state.
pub(crate) fn update_shards(context: &Arc<Context>, node: Node) {
    let events = {
        let view = read(&context.view);
        let owned = &mut lock(&context.records.inner).owned;
        let events = owned.update(&view.state, node);
        context.metrics.granted.inc_by(owned.take_granted());
        events
    };
    for event in events {
        if matches!(event, Event::Release { .. }) {
            context.metrics.given_up.inc();
        }
        step(context, event);
    }
}

/// Feeds ticks to the owner reducer until shutdown.
pub(crate) async fn tick(context: Arc<Context>) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = context.shutdown.cancelled() => return,
            _ = ticks.tick() => step(&context, Event::Tick),
        }
    }
}

/// Feeds an event to the owner reducer and carries out the effects. Calls to
/// other processes are made by tasks of their own, outside the lock.
fn step(context: &Arc<Context>, event: Event) {
    let now = context.clock.now();
    let mut effects = Vec::new();
    let mut inner = lock(&context.records.inner);
    inner.owner.step(now, event, &mut effects);
    let mut calls = Vec::new();
    for effect in effects {
        inner.execute(effect, &mut calls);
    }
    drop(inner);
    for effect in calls {
        let context = Arc::clone(context);
        match effect {
            Effect::Call { to, call, message } => {
                tokio::spawn(async move { self::call(&context, to, call, message).await });
            }
            Effect::Propose { .. } => {
                tokio::spawn(async move { propose_holders(&context, effect).await });
            }
            _ => {}
        }
    }
}

impl Inner {
    /// Passes decisions to the waiting requests, and appends effects that need
    /// other processes to `calls`.
    fn execute(&mut self, effect: Effect, calls: &mut Vec<Effect>) {
        let (request, decision, last) = match effect {
            Effect::Call { .. } | Effect::Propose { .. } => {
                calls.push(effect);
                return;
            }
            Effect::Run { request } => (request, Decision::Run, false),
            Effect::Replay { request, answer } => (request, Decision::Replay(answer), true),
            Effect::Refuse { request, reason } => (request, Decision::Refuse(reason), true),
            Effect::Unknown { request } => (request, Decision::Unknown, true),
            Effect::Acknowledge { request, .. } => (request, Decision::Acknowledge, true),
        };
        if let Some(waiting) = self.waiting.get(&request) {
            // Fails if the request's task has ended, which is harmless.
            let _ = waiting.send(decision);
        }
        if last {
            self.waiting.remove(&request);
        }
    }
}

/// Sends one message to a holder and feeds the reply to the owner reducer.
async fn call(context: &Arc<Context>, to: Node, call: u64, message: HolderMessage) {
    if context.node() == Some(to) {
        if let Some(reply) = handle(context, to, message) {
            step(
                context,
                Event::Reply {
                    from: to,
                    call,
                    reply,
                },
            );
        }
        return;
    }
    let peer = read(&context.view)
        .state
        .node(to)
        .map(wisteriaglade_control::Process::peer);
    let Some(peer) = peer else {
        step(context, Event::Unreachable { node: to });
        return;
    };
    let message = Message::Record {
        to,
        message: Box::new(message),
    };
    match context.pool.call(peer, &message, CALL_TIMEOUT).await {
        Ok(Message::Recorded(Some(reply))) => {
            let reply = *reply;
            step(
                context,
                Event::Reply {
                    from: to,
                    call,
                    reply,
                },
            );
        }
        Ok(_) => step(context, Event::Unreachable { node: to }),
        Err(pool::Error::Connect(error)) => {
            debug!(event = "holder-unreachable", node = to.get(), error);
            step(context, Event::Unreachable { node: to });
        }
        // The holder may have received the call. The owner repeats it.
        Err(error) => debug!(event = "holder-silent", node = to.get(), error = %error),
    }
}

/// Proposes a new set of record holders of a shard to the control leader.
async fn propose_holders(context: &Context, effect: Effect) {
    let Effect::Propose {
        pool,
        shard,
        epoch,
        base,
        holders,
    } = effect
    else {
        return;
    };
    let Some(node) = context.node() else {
        return;
    };
    let command = Command::SetHolders {
        node,
        pool,
        shard,
        epoch,
        base,
        holders,
    };
    let reply = context.propose(command, HOLDERS_TIMEOUT).await;
    if !matches!(reply, Some(wisteriaglade_control::Reply::Accepted)) {
        warn!(event = "holders-unchanged", shard = shard.get(), reply = ?reply);
    }
}
