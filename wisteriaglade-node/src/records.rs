//! Drives the records of at-most-once requests: what this node holds for
//! owners, and what it records as an owner.

mod owned;
mod ticket;

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

use self::owned::Owned;
pub(crate) use self::ticket::Ticket;
use crate::{context::Context, lock, message::Message, pool, read};

/// The interval of the owner's timers.
const TICK: Duration = Duration::from_millis(25);

/// The wait for a holder's reply. The owner repeats a call by itself.
const CALL: Duration = Duration::from_millis(500);

/// The patience for a change of holders.
const HOLD: Duration = Duration::from_secs(2);

/// What was decided for a request that runs at most once.
#[derive(Debug, Clone)]
pub(crate) enum Verdict {
    /// The start is recorded: run it.
    Run,
    /// It ended before with this response.
    Replay(Answer),
    /// It did not run.
    Refuse(Reason),
    /// It may have run.
    Unknown,
    /// The outcome is recorded: answer the caller.
    Acknowledge,
}

/// The records of this process.
#[derive(Debug)]
pub(crate) struct Records {
    holder: Mutex<Holder>,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    owner: Owner,
    owned: Owned,
    waiting: HashMap<Request, mpsc::UnboundedSender<Verdict>>,
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

    /// Memory for the records that this node holds, in bytes.
    pub(crate) fn used(&self) -> usize {
        lock(&self.holder).memory_used()
    }

    /// Forgets everything, for a process that goes on under a new id: the
    /// control log counts the old id's copies as lost.
    pub(crate) fn clear(&self, config: holder::Config) {
        *lock(&self.holder) = Holder::new(config);
        let mut inner = lock(&self.inner);
        inner.owner = Owner::new(Config::default());
        inner.owned = Owned::default();
        // Dropping the senders tells the waiting requests.
        inner.waiting.clear();
    }
}

/// Handles a message of an owner. `None` when it is meant for an earlier id of
/// this process, whose records are gone.
pub(crate) fn handle(context: &Context, to: Node, message: HolderMessage) -> Option<Reply> {
    if context.node() != Some(to) {
        return None;
    }
    let now = context.clock.now();
    Some(lock(&context.records.holder).handle(now, message))
}

/// Tells the owner's side which shards this node owns now.
pub(crate) fn follow(context: &Arc<Context>, node: Node) {
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

/// Runs the owner's timers until the process ends.
pub(crate) async fn tick(context: Arc<Context>) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = context.shutdown.cancelled() => return,
            _ = ticks.tick() => step(&context, Event::Tick),
        }
    }
}

/// Feeds an event to the owner's side and carries out the effects.
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
                tokio::spawn(async move { hold(&context, effect).await });
            }
            _ => {}
        }
    }
}

impl Inner {
    /// Answers waiting requests; what needs other processes is added to
    /// `calls`.
    fn execute(&mut self, effect: Effect, calls: &mut Vec<Effect>) {
        let (request, verdict, last) = match effect {
            Effect::Call { .. } | Effect::Propose { .. } => {
                calls.push(effect);
                return;
            }
            Effect::Run { request } => (request, Verdict::Run, false),
            Effect::Replay { request, answer } => (request, Verdict::Replay(answer), true),
            Effect::Refuse { request, reason } => (request, Verdict::Refuse(reason), true),
            Effect::Unknown { request } => (request, Verdict::Unknown, true),
            Effect::Acknowledge { request, .. } => (request, Verdict::Acknowledge, true),
        };
        if let Some(waiting) = self.waiting.get(&request) {
            // The request's task may have ended; nothing waits then.
            let _ = waiting.send(verdict);
        }
        if last {
            self.waiting.remove(&request);
        }
    }
}

/// Sends one message to a holder and feeds its reply back.
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
    match context.pool.call(peer, &message, CALL).await {
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
        // The call may have arrived; the owner repeats it.
        Err(error) => debug!(event = "holder-silent", node = to.get(), error = %error),
    }
}

/// Proposes a new set of holders.
async fn hold(context: &Context, effect: Effect) {
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
    let command = Command::Hold {
        node,
        pool,
        shard,
        epoch,
        base,
        holders,
    };
    let reply = context.propose(command, HOLD).await;
    if !matches!(reply, Some(wisteriaglade_control::Reply::Accepted)) {
        warn!(event = "holders-unchanged", shard = shard.get(), reply = ?reply);
    }
}
