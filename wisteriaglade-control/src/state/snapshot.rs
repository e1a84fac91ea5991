//! Encoding of the state as a snapshot, and decoding.

use wisteriaglade_types::Node;

use super::{Row, State};
use crate::{Error, Kind, Result};

/// The version of the encoding, stored in the first byte of a snapshot.
const FORMAT_VERSION: u8 = 1;

impl State {
    /// Encodes the state as a snapshot.
    ///
    /// # Panics
    ///
    /// Does not panic: the encoding cannot fail for any type of the state.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_extend(self, vec![FORMAT_VERSION]).expect("the state can be encoded")
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Format`] when the snapshot has another format version,
    /// and [`Kind::Malformed`] when the bytes are not a snapshot or their parts
    /// contradict each other.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let malformed = || Error::new(Kind::Malformed);
        let (format, body) = bytes.split_first().ok_or_else(malformed)?;
        if *format != FORMAT_VERSION {
            return Err(Error::new(Kind::Format));
        }
        let (state, rest): (Self, _) = postcard::take_from_bytes(body).map_err(|_| malformed())?;
        (rest.is_empty() && state.is_consistent())
            .then_some(state)
            .ok_or_else(malformed)
    }

    /// Returns whether the tables of a decoded state agree with each other.
    /// [`State::apply`] relies on it: for example, every owner must be a known
    /// node.
    fn is_consistent(&self) -> bool {
        let is_valid = |node: Node| node == Row::NONE || self.nodes.contains_key(&node);
        let mut shard_counts = std::collections::BTreeMap::<Node, u32>::new();
        for grant in self.pools.values().flat_map(super::Pool::grants) {
            let owner = grant.owner.unwrap_or(Row::NONE);
            if !is_valid(owner) || !is_valid(grant.moving_to.unwrap_or(Row::NONE)) {
                return false;
            }
            *shard_counts.entry(owner).or_default() += 1;
        }
        self.pools.values().all(super::Pool::is_consistent)
            && self.nodes.iter().all(|(node, process)| {
                *node == process.node
                    && *node <= Node::new(self.index.get())
                    && process.shard_count == shard_counts.get(node).copied().unwrap_or(0)
            })
    }
}
