//! Operators and their tokens.

use serde::Deserialize;
use wisteriaglade_types::Name;

/// Somebody who may change rules and drain nodes.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The name that the history of changes shows.
    pub name: Name,
    /// The BLAKE3 hash of the token in hexadecimal, so that the settings file
    /// does not hold the token itself.
    pub token_hash: String,
}

impl Operator {
    /// Whether the token is this operator's. The comparison is constant time.
    pub(crate) fn accepts(&self, token: &str) -> bool {
        blake3::Hash::from_hex(&self.token_hash)
            .is_ok_and(|expected| expected == blake3::hash(token.as_bytes()))
    }
}
