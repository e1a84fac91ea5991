//! The replicated state.

use std::{collections::BTreeMap, net::SocketAddr};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use wisteriaglade_types::Name;

use crate::{Command, Keyspace, Plan, Reply};

/// Accepted plans that are remembered. An order is sent again within seconds,
/// and plans change 2,700 times a day.
const ACCEPTED: usize = 4_096;

/// The addresses of a control replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Where the other processes reach it.
    pub link: SocketAddr,
    /// Where operators reach it.
    pub control: SocketAddr,
}

/// What every control replica holds.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    plan: Plan,
    text: Bytes,
    /// Version, base and checksum of the last accepted plans, so that an order
    /// that is sent again is acknowledged again.
    accepted: Vec<(u64, u64, u128)>,
    members: BTreeMap<u64, Member>,
    keyspaces: BTreeMap<Name, Keyspace>,
    /// The last entry that changed a key range.
    keys_index: u64,
}

impl State {
    /// The plan in force; version 0 when there is none.
    #[must_use]
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// The plan in force as the operator sent it.
    #[must_use]
    pub fn text(&self) -> &Bytes {
        &self.text
    }

    /// The known control replicas.
    #[must_use]
    pub fn members(&self) -> &BTreeMap<u64, Member> {
        &self.members
    }

    /// The key ranges of each pool that is divided by key.
    #[must_use]
    pub fn keyspaces(&self) -> &BTreeMap<Name, Keyspace> {
        &self.keyspaces
    }

    /// The last log entry that changed a key range.
    #[must_use]
    pub fn keys_index(&self) -> u64 {
        self.keys_index
    }

    /// What a plan would lead to now.
    #[must_use]
    pub fn judge(&self, base: u64, plan: &Plan, text: &[u8]) -> Reply {
        let current = self.plan.version;
        let known = (plan.version, base, checksum(text));
        if self.accepted.contains(&known) {
            Reply::Done
        } else if base != current {
            Reply::Conflict { current }
        } else if plan.version <= current {
            Reply::Old { current }
        } else {
            Reply::Done
        }
    }

    /// Applies a command of the log.
    ///
    /// `index` is its position. It rises with each command, so it serves as
    /// the fencing token of the grants.
    pub fn apply(&mut self, index: u64, command: Command) -> Reply {
        if !matches!(
            command,
            Command::Configure { .. } | Command::Register { .. }
        ) {
            self.keys_index = index;
        }
        match command {
            Command::Configure { base, plan, text } => return self.configure(base, plan, text),
            Command::Register {
                replica,
                link,
                control,
            } => {
                self.members.retain(|_, member| member.link != link);
                self.members.insert(replica, Member { link, control });
            }
            Command::Grant { pool, grants } => {
                self.keyspaces
                    .entry(pool)
                    .or_default()
                    .grant(index, &grants);
            }
            Command::Shift { pool, moves } => {
                self.keyspaces.entry(pool).or_default().shift(index, &moves);
            }
            Command::Free { pool, owner, rows } => {
                self.keyspaces
                    .entry(pool)
                    .or_default()
                    .free(index, &owner, &rows);
            }
            Command::Forget { owner } => {
                for keyspace in self.keyspaces.values_mut() {
                    keyspace.forget(index, &owner);
                }
            }
        }
        Reply::Done
    }

    fn configure(&mut self, base: u64, plan: Plan, text: Bytes) -> Reply {
        let reply = self.judge(base, &plan, &text);
        if reply == Reply::Done && plan.version > self.plan.version {
            let excess = (self.accepted.len() + 1).saturating_sub(ACCEPTED);
            self.accepted.drain(..excess);
            self.accepted.push((plan.version, base, checksum(&text)));
            self.plan = plan;
            self.text = text;
        }
        reply
    }

    /// The state as bytes, for a snapshot.
    ///
    /// # Errors
    ///
    /// When the encoder refuses a value, which no value of this type causes.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// The state of a snapshot.
    ///
    /// # Errors
    ///
    /// When the bytes are not a state.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

/// FNV-1a with 128 bits; collisions between an operator's own versions are the
/// only concern.
fn checksum(bytes: &[u8]) -> u128 {
    const BASIS: u128 = 0x6c62_272e_07bb_0142_62b8_2175_6295_c58d;
    const PRIME: u128 = 0x0000_0000_0100_0000_0000_0000_0000_013b;
    bytes.iter().fold(BASIS, |hash, byte| {
        (hash ^ u128::from(*byte)).wrapping_mul(PRIME)
    })
}
