//! The body of a request on its way from a caller to a target.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};

use crate::{
    body::Body,
    refusal::{Reason, Refusal},
};

/// A request body. A body in memory can be sent again on a retry; a streamed
/// one cannot.
#[derive(Debug)]
pub(crate) enum Payload {
    /// The whole body is in memory.
    Buffered(Bytes),
    /// The body is read from the caller while it is sent.
    Stream(Body),
    /// The stream was taken by an earlier attempt.
    Consumed,
}

impl Payload {
    /// Reads a body of up to `max_buffered` bytes into memory and returns a
    /// longer one as a stream.
    ///
    /// A body with a declared length over `max_buffered` is streamed from the
    /// start. One without a declared length is buffered until it exceeds
    /// `max_buffered` bytes, and the rest is streamed; the stream fails once
    /// the body exceeds `limit` bytes.
    ///
    /// # Errors
    ///
    /// Refuses a request whose declared length exceeds `limit`, or whose body
    /// ends early.
    pub(crate) async fn read(
        mut incoming: Incoming,
        max_buffered: u64,
        limit: u64,
    ) -> Result<Self, Refusal> {
        let hint = incoming.size_hint();
        if hint.lower() > limit {
            return Err(Refusal::not_run(
                Reason::BodyTooLarge,
                format!("the body is over the limit of {limit} bytes"),
            ));
        }
        if hint.exact().is_some_and(|exact| exact > max_buffered) {
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
            if length > max_buffered {
                return Ok(Self::Stream(Body::Prefixed {
                    prefix: Some(bytes.freeze()),
                    rest: incoming,
                    remaining: limit.saturating_sub(length),
                }));
            }
        }
        Ok(Self::Buffered(bytes.freeze()))
    }

    /// Returns the body for one attempt, or `None` when an earlier attempt
    /// took the stream.
    pub(crate) fn take(&mut self) -> Option<Body> {
        match std::mem::replace(self, Self::Consumed) {
            Self::Buffered(bytes) => {
                *self = Self::Buffered(bytes.clone());
                Some(Body::full(bytes))
            }
            Self::Stream(body) => Some(body),
            Self::Consumed => None,
        }
    }
}
