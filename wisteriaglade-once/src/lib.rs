//! Replicated idempotency records, which guarantee that a request runs at most once.
//!
//! A request with a side effect (an invoice, a booking) must not run a second time when
//! its caller resends it because the response was lost. The owner of the request's shard
//! therefore writes a record of the start to a majority of the shard's *holders* before
//! it dispatches the request, and the response before it answers the caller. A resend is
//! answered with the recorded response.
//!
//! This package does no I/O and reads no clock or random numbers. It provides two state
//! machines:
//!
//! - [`holder::Holder`] runs on every node and stores records for owners.
//! - [`owner::Owner`] runs once in each process and decides, for all shards that the
//!   process owns, which requests may run.
//!
//! A driver delivers messages between them and passes the time as a `Duration` since
//! process start. Messages may be lost, delayed, repeated and reordered.
//!
//! # Usage
//!
//! The driver passes [`owner::Event::Grant`] when the control log grants a shard, and
//! [`owner::Event::Begin`] for each request. It executes the resulting effects:
//!
//! | effect | action of the driver |
//! |---|---|
//! | `Call` | sends the message to the holder, then passes `Reply` or `Unreachable` |
//! | `Run` | dispatches the request, then passes `Finish` or `Abort` |
//! | `Acknowledge`, `Replay` | answers the caller with the recorded response |
//! | `Refuse` | answers the caller with the outcome `not-run` |
//! | `Unknown` | answers the caller with the outcome `unknown` |
//! | `Propose` | proposes the new holders to the control log |
//!
//! Each `Begin` leads to exactly one of `Replay`, `Refuse`, `Unknown` and `Run`. A `Run`
//! is followed by exactly one of `Acknowledge`, `Unknown` and, after `Abort`, `Refuse`.
//!
//! # Examples
//!
//! A request runs, and its resend is answered with the same response:
//!
//! ```
//! use std::time::Duration;
//!
//! use wisteriaglade_once::{
//!     Answer, Fingerprint, Key, Keyspace,
//!     holder::{self, Holder},
//!     owner::{self, Effect, Event, Owner},
//! };
//! use wisteriaglade_types::{Epoch, Hash, Node, Request, Shard};
//!
//! let now = Duration::from_secs(1);
//! let mut owner = Owner::new(owner::Config::default());
//! let mut holders: Vec<_> = (0..3).map(|_| Holder::new(holder::Config::default())).collect();
//!
//! // Delivers every message immediately and returns all other effects.
//! let mut step = |event| {
//!     let (mut events, mut seen) = (vec![event], vec![]);
//!     while let Some(event) = events.pop() {
//!         let mut effects = vec![];
//!         owner.step(now, event, &mut effects);
//!         for effect in effects {
//!             match effect {
//!                 Effect::Call { to, call, message } => {
//!                     let reply = holders[to.get() as usize].handle(now, message);
//!                     events.push(Event::Reply { from: to, call, reply });
//!                 }
//!                 other => seen.push(other),
//!             }
//!         }
//!     }
//!     seen
//! };
//!
//! let hash = Hash::of("invoice-9");
//! let begin = |request| Event::Begin {
//!     shard: hash.shard(256),
//!     key: Key { pool: "ledger".into(), hash, id: "4f1c".into() },
//!     fingerprint: Fingerprint::new(11),
//!     request: Request::new(request),
//!     deadline: now + Duration::from_secs(2),
//! };
//! let answer = Answer { status: 201, headers: vec![], body: Some(b"paid".as_slice().into()) };
//!
//! step(Event::Grant {
//!     pool: "ledger".into(),
//!     shard: hash.shard(256),
//!     epoch: Epoch::new(40),
//!     keyspace: Keyspace::Partition { shards: 256, excluded: vec![] },
//!     holders: vec![Node::new(0), Node::new(1), Node::new(2)],
//! });
//! assert_eq!(step(begin(1)), [Effect::Run { request: Request::new(1) }]);
//! assert_eq!(
//!     step(Event::Finish { request: Request::new(1), answer: Some(answer.clone()) }),
//!     [Effect::Acknowledge { request: Request::new(1), answer: answer.clone() }],
//! );
//! assert_eq!(step(begin(2)), [Effect::Replay { request: Request::new(2), answer }]);
//! ```
//!
//! # Change of owner
//!
//! A new owner sends [`holder::Message::Fence`] with its epoch to all holders. A fenced
//! holder rejects every write under a lower epoch. Once a majority has replied, no start
//! of an earlier owner can reach a majority any more, and every start and every
//! acknowledged outcome that did reach one is among the records read. A start without an
//! outcome becomes [`State::Unknown`] and never runs again. The owner writes the merged
//! records back to a majority under its own epoch before it runs any request, so that
//! the next owner reads the same records, whichever majority it reads.
//!
//! # Change of holders
//!
//! The set of holders changes by joint consensus, as in Raft. After
//! [`owner::Event::Replace`] each write needs a majority of the old set and a majority of
//! the new set, and the new holders receive copies of all records.
//! [`owner::Effect::Propose`] follows once every added holder and a majority of the new set
//! have all records. The `Grant` event with the new set ends the joint phase. A proposal
//! names the set that it is based on. The control log has to compare that set with the
//! current one, because a delayed duplicate of a proposal could otherwise restore an old
//! set that lacks later records.
//!
//! # Dedicated shards
//!
//! A hot key can be moved to a dedicated shard and merged back into its parent shard
//! later. Records are found by pool and key hash, not by the shard under which they were
//! written. The fence of a dedicated shard ([`Keyspace::Dedicated`]) reads all records of
//! its hash and makes holders reject writes for that hash under a lower epoch of any
//! shard. The fence of any other shard ([`Keyspace::Partition`]) does the same for all its
//! hashes but those listed in `excluded`, so that after a merge the parent reads what the
//! dedicated shard wrote. Both steps require that the two shards have equal holders at
//! that moment: a dedicated shard starts with the holders of its parent, and a key is
//! merged back only while both shards have the same holders.
//!
//! # Withdrawn starts
//!
//! The owner may abandon a start before it dispatches the request: its deadline passed,
//! holders are unreachable or full, or the shard was given up. It then writes
//! [`holder::Message::Abort`] and refuses the request once a majority has the withdrawal,
//! or after [`owner::Config::abort_timeout`]. Without the withdrawal a later owner could find the
//! start and report the key as unknown for the whole retention. The withdrawal is
//! repeated until every holder has it.
//!
//! # Memory
//!
//! A holder counts [`Record::size`] bytes for a record. For a started request this
//! includes the memory for the largest response ([`Answer::RESERVED_BYTES`]). What the response
//! doesn't need is freed when the outcome is recorded, so that an outcome is never
//! rejected for lack of memory. A full holder rejects starts; it evicts no record before
//! the end of its retention.

pub mod holder;
pub mod owner;

mod answer;
mod fingerprint;
mod key;
mod keyspace;
mod record;
mod state;

pub use crate::{
    answer::Answer, fingerprint::Fingerprint, key::Key, keyspace::Keyspace, record::Record,
    state::State,
};
