//! Replicated records that keep a request from running twice.
//!
//! A request that changes something (an invoice, a booking) must not run again
//! when its caller sends it again because the response was lost. The owner of its
//! shard therefore records the start at a majority of the shard's *holders* before
//! the work is dispatched, and the outcome before the caller is answered. A resend
//! gets the recorded outcome.
//!
//! The package has no I/O, clock or randomness. It consists of two reducers:
//!
//! - [`holder::Holder`] runs on every node and keeps records for owners.
//! - [`owner::Owner`] runs once in each process and decides for all shards of the
//!   process which requests may run.
//!
//! A driver passes messages between them and the time as a `Duration` since process
//! start. Messages may be lost, delayed, repeated and reordered.
//!
//! # Usage
//!
//! The driver feeds [`owner::Event::Own`] when the control log grants a shard, and
//! [`owner::Event::Begin`] for each request. It executes the effects:
//!
//! | effect | what the driver does |
//! |---|---|
//! | `Call` | delivers the message to the holder; feeds back `Reply` or `Lost` |
//! | `Run` | dispatches the request, then feeds `Finish` or `Abort` |
//! | `Acknowledge`, `Replay` | answers the caller with the recorded response |
//! | `Refuse` | answers `not-run` |
//! | `Unknown` | answers `unknown` |
//! | `Hold` | proposes the new holders to the control log |
//!
//! Each `Begin` gets exactly one of `Replay`, `Refuse`, `Unknown` and `Run`; a `Run`
//! is followed by one of `Acknowledge`, `Unknown` and, after `Abort`, `Refuse`.
//!
//! # Examples
//!
//! One request runs, and its resend gets the same answer:
//!
//! ```
//! use std::time::Duration;
//!
//! use wisteriaglade_once::{
//!     Answer, Cover, Fingerprint, Key,
//!     holder::{self, Holder},
//!     owner::{self, Effect, Event, Owner},
//! };
//! use wisteriaglade_types::{Epoch, Hash, Node, Request, Shard};
//!
//! let now = Duration::from_secs(1);
//! let mut owner = Owner::new(owner::Config::default());
//! let mut holders: Vec<_> = (0..3).map(|_| Holder::new(holder::Config::default())).collect();
//!
//! // Delivers every message at once and returns the other effects.
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
//! step(Event::Own {
//!     pool: "ledger".into(),
//!     shard: hash.shard(256),
//!     epoch: Epoch::new(40),
//!     cover: Cover::Part { shards: 256, except: vec![] },
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
//! A new owner sends [`holder::Message::Fence`] with its epoch. A holder that has
//! seen it refuses every write under a lower epoch. When a majority has replied, no
//! start of an earlier owner can reach a majority any more, and every start and
//! every acknowledged outcome that did is among the records read. A start without an
//! end becomes [`State::Unknown`] and never runs again. The owner writes the merged
//! records back to a majority under its own epoch before it runs anything, so that a
//! further change of owner reads the same, also when it reads other holders.
//!
//! # Change of holders
//!
//! After [`owner::Event::Replace`] each write needs a majority of the old and of the
//! new set, and the new holders get copies of all records. [`owner::Effect::Hold`]
//! follows once every new holder, and so a majority of the new set, has them. The
//! `Own` event with the new set ends the joint phase. A proposal names the set that
//! it is based on. The control log has to compare it, because a repeated proposal
//! could otherwise bring back an old set that lacks later records.
//!
//! # Dedicated shards
//!
//! A hot key can get a shard of its own, and lose it again. Records are found by pool
//! and key hash, not by the shard under which they were written. The fence of a
//! dedicated shard ([`Cover::Single`]) reads all records of its hash and refuses
//! writes for that hash under a lower epoch of any shard. The fence of a part
//! ([`Cover::Part`]) does the same for all its hashes but those listed as `except`,
//! so after a merge the parent reads what the dedicated shard wrote. Both rely on
//! equal holders at the moment of the change: a dedicated shard starts with the
//! holders of its parent, and a key is merged back while both have the same.
//!
//! # Withdrawn starts
//!
//! When the owner gives up on a start before its dispatch (deadline, holders lost or
//! full, shard given up), it writes [`holder::Message::Abort`] and refuses the request
//! once a majority has the withdrawal, or after [`owner::Config::grace`]. Without it a
//! later owner could find the start and report the key as unknown for the whole
//! retention. The withdrawal is repeated until every holder has it.
//!
//! # Memory
//!
//! A holder counts [`Record::size`] bytes for a record. The room for the largest
//! answer ([`Answer::RESERVE`]) is part of it from the start on and is freed when the
//! outcome is known, so an outcome never fails for lack of room. A full holder
//! refuses starts and removes nothing before its retention has ended.

pub mod holder;
pub mod owner;

mod answer;
mod cover;
mod fingerprint;
mod key;
mod record;
mod state;

pub use crate::{
    answer::Answer, cover::Cover, fingerprint::Fingerprint, key::Key, record::Record, state::State,
};
