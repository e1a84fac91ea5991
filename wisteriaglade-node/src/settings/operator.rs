//! Operators and their tokens.

use serde::Deserialize;
use wisteriaglade_types::Name;

/// A person or program that may change rules, drain nodes and assert that a
/// host is lost.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The name of the operator in the history of changes.
    pub name: Name,
    /// The BLAKE3 hash of the bearer token in hexadecimal, so that the
    /// settings file does not contain the token.
    pub token_hash: String,
}

impl Operator {
    /// Whether `token` is the token of this operator. Compares hashes in
    /// constant time.
    pub(crate) fn accepts(&self, token: &str) -> bool {
        blake3::Hash::from_hex(&self.token_hash)
            .is_ok_and(|expected| expected == blake3::hash(token.as_bytes()))
    }
}
