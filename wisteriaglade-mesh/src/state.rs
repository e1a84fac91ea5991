//! The replicated state machine of the control log.
//!
//! Every control replica owns one [`State`] and applies the committed
//! [`Command`]s to it in log order.

use std::{collections::BTreeMap, net::SocketAddr};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use wisteriaglade_types::Name;

use crate::{Command, Keyspace, Plan, Reply};

/// How many accepted plans are remembered to recognise a plan that is sent
/// again. Operators retry within seconds, and plans change 2,700 times a day.
const MAX_ACCEPTED_PLANS: usize = 4_096;

/// The addresses of a control replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The address for hosts and other control replicas.
    pub peer_address: SocketAddr,
    /// The address for operators.
    pub admin_address: SocketAddr,
}

/// The state that every control replica holds: the plan in force, the
/// addresses of the control replicas and the owners of the key ranges.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// The plan in force.
    plan: Plan,
    /// The plan in force as the operator sent it.
    plan_text: Bytes,
    /// The version, base and checksum of the last accepted plans, oldest
    /// first. A plan that is sent again is acknowledged again.
    accepted: Vec<(u64, u64, u128)>,
    /// The addresses of the control replicas, by replica id.
    members: BTreeMap<u64, Member>,
    /// The key ranges of each sharded pool.
    keyspaces: BTreeMap<Name, Keyspace>,
    /// The index of the last log entry that changed a key range.
    keyspaces_index: u64,
}

impl State {
    /// Returns the plan in force. Its version is 0 until one was accepted.
    #[must_use]
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Returns the plan in force as the bytes that the operator sent.
    #[must_use]
    pub fn plan_text(&self) -> &Bytes {
        &self.plan_text
    }

    /// Returns the addresses of the known control replicas, by replica id.
    #[must_use]
    pub fn members(&self) -> &BTreeMap<u64, Member> {
        &self.members
    }

    /// Returns the key ranges of each sharded pool.
    #[must_use]
    pub fn keyspaces(&self) -> &BTreeMap<Name, Keyspace> {
        &self.keyspaces
    }

    /// Returns the index of the last log entry that changed a key range.
    #[must_use]
    pub fn keyspaces_index(&self) -> u64 {
        self.keyspaces_index
    }

    /// Returns the reply that a plan would get if it were applied now.
    ///
    /// `base` is the version that the plan builds on, and `text` the plan as
    /// the operator sent it.
    #[must_use]
    pub fn evaluate(&self, base: u64, plan: &Plan, text: &[u8]) -> Reply {
        let current = self.plan.version;
        let candidate = (plan.version, base, checksum(text));
        if self.accepted.contains(&candidate) {
            Reply::Done
        } else if base != current {
            Reply::Conflict { current }
        } else if plan.version <= current {
            Reply::StaleVersion { current }
        } else {
            Reply::Done
        }
    }

    /// Applies a committed command.
    ///
    /// `index` is the position of the command in the log. It rises with each
    /// command, so it also serves as the fencing token of the grants that the
    /// command makes.
    pub fn apply(&mut self, index: u64, command: Command) -> Reply {
        if !matches!(
            command,
            Command::Configure { .. } | Command::Register { .. }
        ) {
            self.keyspaces_index = index;
        }
        match command {
            Command::Configure { base, plan, text } => return self.configure(base, plan, text),
            Command::Register {
                replica,
                peer_address,
                admin_address,
            } => {
                self.members
                    .retain(|_, member| member.peer_address != peer_address);
                self.members.insert(
                    replica,
                    Member {
                        peer_address,
                        admin_address,
                    },
                );
            }
            Command::Grant { pool, grants } => {
                self.keyspaces
                    .entry(pool)
                    .or_default()
                    .grant(index, &grants);
            }
            Command::Move { pool, moves } => {
                self.keyspaces
                    .entry(pool)
                    .or_default()
                    .request_moves(index, &moves);
            }
            Command::Release {
                pool,
                owner,
                released,
            } => {
                self.keyspaces
                    .entry(pool)
                    .or_default()
                    .release(index, &owner, &released);
            }
            Command::Revoke { owner } => {
                for keyspace in self.keyspaces.values_mut() {
                    keyspace.revoke(index, &owner);
                }
            }
        }
        Reply::Done
    }

    fn configure(&mut self, base: u64, plan: Plan, text: Bytes) -> Reply {
        let reply = self.evaluate(base, &plan, &text);
        if reply == Reply::Done && plan.version > self.plan.version {
            let excess = (self.accepted.len() + 1).saturating_sub(MAX_ACCEPTED_PLANS);
            self.accepted.drain(..excess);
            self.accepted.push((plan.version, base, checksum(&text)));
            self.plan = plan;
            self.plan_text = text;
        }
        reply
    }

    /// Encodes the state for a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if the encoder rejects a value. No value of this type
    /// causes one.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Decodes the state from a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not an encoded state.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

/// Returns the 128-bit FNV-1a hash. It only has to tell an operator's own
/// plans apart, so it need not be cryptographic.
fn checksum(bytes: &[u8]) -> u128 {
    const BASIS: u128 = 0x6c62_272e_07bb_0142_62b8_2175_6295_c58d;
    const PRIME: u128 = 0x0000_0000_0100_0000_0000_0000_0000_013b;
    bytes.iter().fold(BASIS, |hash, byte| {
        (hash ^ u128::from(*byte)).wrapping_mul(PRIME)
    })
}
