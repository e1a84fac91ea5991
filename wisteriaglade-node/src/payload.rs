//! The body of a request inside the router.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};

use crate::{
    body::Body,
    refusal::{Reason, Refusal},
};

/// A request body that is either kept, so that it can be sent again, or
/// streamed once.
#[derive(Debug)]
pub(crate) enum Payload {
    /// All of it is in memory.
    Kept(Bytes),
    /// It can be sent once only.
    Stream(Body),
    /// It was streamed and is gone.
    Spent,
}

impl Payload {
    /// Reads a body into memory up to `keep` bytes, or leaves it as a stream
    /// when it announces more.
    ///
    /// A body without a length is read up to `keep` bytes and streamed from
    /// there on when it is longer. One that turns out to be over `limit` then
    /// breaks off.
    pub(crate) async fn read(
        mut incoming: Incoming,
        keep: u64,
        limit: u64,
    ) -> Result<Self, Refusal> {
        let hint = incoming.size_hint();
        if hint.lower() > limit {
            return Err(Refusal::not_run(
                Reason::BodyTooLarge,
                format!("the body is over the limit of {limit} bytes"),
            ));
        }
        if hint.exact().is_some_and(|exact| exact > keep) {
            return Ok(Self::Stream(Body::Incoming(incoming)));
        }
        let mut bytes = BytesMut::new();
        while let Some(frame) = incoming.frame().await {
            let frame = frame.map_err(|error| {
                Refusal::not_run(
                    Reason::BadRequest,
                    format!("the body is incomplete: {error}"),
                )
            })?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            bytes.extend_from_slice(&data);
            let length = bytes.len() as u64;
            if length > keep {
                return Ok(Self::Stream(Body::Prefixed {
                    prefix: Some(bytes.freeze()),
                    rest: incoming,
                    remaining: limit.saturating_sub(length),
                }));
            }
        }
        Ok(Self::Kept(bytes.freeze()))
    }

    /// The body for one attempt, or `None` when it was streamed before.
    pub(crate) fn take(&mut self) -> Option<Body> {
        match std::mem::replace(self, Self::Spent) {
            Self::Kept(bytes) => {
                *self = Self::Kept(bytes.clone());
                Some(Body::full(bytes))
            }
            Self::Stream(body) => Some(body),
            Self::Spent => None,
        }
    }
}
