//! Serde functions for `Arc<[u8]>`, used with `#[serde(with = ...)]`.
//!
//! The derived implementation visits a slice byte by byte; these functions copy
//! it as a whole. The postcard encoding is the same.

use std::{fmt, sync::Arc};

use serde::{
    Deserializer, Serializer,
    de::{SeqAccess, Visitor},
};

/// Builds an `Arc<[u8]>` from bytes or from a sequence of `u8`.
struct Bytes;

impl<'de> Visitor<'de> for Bytes {
    type Value = Arc<[u8]>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes")
    }

    fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Self::Value, E> {
        Ok(bytes.into())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        let mut bytes = Vec::new();
        while let Some(byte) = seq.next_element::<u8>()? {
            bytes.push(byte);
        }
        Ok(bytes.into())
    }
}

pub(crate) fn serialize<S: Serializer>(bytes: &Arc<[u8]>, to: S) -> Result<S::Ok, S::Error> {
    to.serialize_bytes(bytes)
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Arc<[u8]>, D::Error> {
    from.deserialize_bytes(Bytes)
}
