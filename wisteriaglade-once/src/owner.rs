//! The owner side: decides which requests may run and writes their records to holders.
//!
//! The driver passes each [`Event`] to the [`Owner`] of the process and executes the
//! resulting [`Effect`]s.

mod calls;
mod config;
mod context;
mod effect;
mod entry;
mod event;
mod grant;
mod pending;
mod progress;
mod quorum;
mod reason;
mod shard_id;

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use wisteriaglade_types::{Epoch, Node, Request};

use self::{calls::Calls, context::Context, grant::Grant, pending::Pending, shard_id::ShardId};
pub use self::{config::Config, effect::Effect, event::Event, reason::Reason};
use crate::{Answer, Key, Keyspace, holder::Reply};

/// The state machine that handles all shards that a process owns.
#[derive(Debug)]
pub struct Owner {
    config: Config,
    grants: BTreeMap<ShardId, Grant>,
    calls: Calls,
    requests: HashMap<Request, (ShardId, Key)>,
}

impl Owner {
    /// Creates an owner without shards.
    #[must_use]
    pub fn new(config: Config) -> Self {
        Self {
            config,
            grants: BTreeMap::new(),
            calls: Calls::default(),
            requests: HashMap::new(),
        }
    }

    /// Handles one event and appends the effects that the driver has to execute to
    /// `effects`. `now` is the time since process start; it must not decrease from call to
    /// call.
    pub fn step(&mut self, now: Duration, event: Event, effects: &mut Vec<Effect>) {
        let mut cx = Context {
            now,
            config: &self.config,
            calls: &mut self.calls,
            requests: &mut self.requests,
            effects,
        };
        let grants = &mut self.grants;
        match event {
            Event::Grant {
                pool,
                shard,
                epoch,
                keyspace,
                holders,
            } => apply_grant(
                grants,
                &mut cx,
                ShardId { pool, shard },
                epoch,
                keyspace,
                holders,
            ),
            Event::Release { pool, shard } => {
                if let Some(grant) = grants.get_mut(&ShardId { pool, shard }) {
                    grant.give_up(&mut cx);
                }
            }
            Event::Replace {
                pool,
                shard,
                holders,
            } => {
                if let Some(grant) = grants.get_mut(&ShardId { pool, shard }) {
                    grant.replace(&mut cx, holders);
                }
            }
            Event::Begin {
                shard,
                key,
                fingerprint,
                request,
                deadline,
            } => {
                let pool = key.pool.clone();
                let pending = Pending {
                    key,
                    fingerprint,
                    request,
                    deadline,
                };
                admit(grants, &mut cx, ShardId { pool, shard }, pending);
            }
            Event::Finish { request, answer } => finish(grants, &mut cx, request, answer),
            Event::Abort { request } => {
                if let Some((shard_id, key)) = cx.requests.get(&request).cloned()
                    && let Some(grant) = grants.get_mut(&shard_id)
                {
                    grant.abort(&mut cx, &key, request);
                }
            }
            Event::Reply { from, call, reply } => handle_reply(grants, &mut cx, from, call, reply),
            Event::Unreachable { node } => {
                for call in cx.calls.take_to(node) {
                    if let Some(grant) = grants.get_mut(&call.shard_id) {
                        grant.handle_failure(&mut cx, call, true);
                    }
                }
                for grant in grants.values_mut() {
                    grant.fail_starts(&mut cx, node);
                }
            }
            Event::Tick => tick(grants, &mut cx),
        }
        self.grants.retain(|_, grant| !grant.is_finished());
    }

    /// The number of requests without a final effect so far, that is without
    /// [`Effect::Replay`], [`Effect::Refuse`], [`Effect::Unknown`] or
    /// [`Effect::Acknowledge`].
    #[must_use]
    pub fn pending_requests(&self) -> usize {
        self.requests.len()
    }
}

type Grants = BTreeMap<ShardId, Grant>;

/// Applies a grant. A new grant also takes over the entries and queued requests of its
/// keys from older grants of the same pool in this process.
fn apply_grant(
    grants: &mut Grants,
    cx: &mut Context<'_>,
    shard_id: ShardId,
    epoch: Epoch,
    keyspace: Keyspace,
    holders: Vec<Node>,
) {
    let mut inherited = (Vec::new(), Vec::new());
    let known = grants.get(&shard_id).map(Grant::epoch);
    if known.is_none_or(|known| known < epoch) {
        let older = grants.iter_mut().filter(|(other, grant)| {
            other.pool == shard_id.pool && **other != shard_id && grant.epoch() < epoch
        });
        for (_, grant) in older {
            let (entries, queue) = grant.extract(&shard_id, &keyspace);
            inherited.0.extend(entries);
            inherited.1.extend(queue);
        }
    }
    let grant = grants
        .entry(shard_id.clone())
        .or_insert_with(|| Grant::new(shard_id));
    grant.apply(cx, epoch, keyspace, holders, inherited);
}

fn admit(grants: &mut Grants, cx: &mut Context<'_>, shard_id: ShardId, pending: Pending) {
    if cx.requests.contains_key(&pending.request) {
        return;
    }
    match grants.get_mut(&shard_id) {
        Some(grant) => {
            cx.requests
                .insert(pending.request, (shard_id, pending.key.clone()));
            grant.admit(cx, pending);
        }
        None => cx.refuse(pending.request, Reason::NotOwner),
    }
}

fn finish(grants: &mut Grants, cx: &mut Context<'_>, request: Request, answer: Option<Answer>) {
    if let Some((shard_id, key)) = cx.requests.get(&request).cloned()
        && let Some(grant) = grants.get_mut(&shard_id)
    {
        grant.finish(cx, &key, request, answer);
    }
}

fn handle_reply(grants: &mut Grants, cx: &mut Context<'_>, from: Node, call: u64, reply: Reply) {
    if let Some(call) = cx.calls.close(from, call)
        && let Some(grant) = grants.get_mut(&call.shard_id)
    {
        grant.handle_reply(cx, call, reply);
    }
}

fn tick(grants: &mut Grants, cx: &mut Context<'_>) {
    if let Some(until) = cx.now.checked_sub(cx.config.call_timeout) {
        for call in cx.calls.take_sent_until(until) {
            if let Some(grant) = grants.get_mut(&call.shard_id) {
                grant.handle_failure(cx, call, false);
            }
        }
    }
    for grant in grants.values_mut() {
        grant.tick(cx);
    }
}
