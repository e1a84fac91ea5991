use wisteriaglade_types::{Epoch, Name, Node, Request, Shard};

use super::Reason;
use crate::{Answer, holder::Message};

/// An action that the driver of an [`Owner`](super::Owner) has to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a message to a holder, which may be in the same process. Pass the reply as
    /// [`Event::Reply`](super::Event::Reply), or a failure as
    /// [`Event::Unreachable`](super::Event::Unreachable).
    Call {
        /// The node of the holder.
        to: Node,
        /// The number of the call, which its reply has to repeat.
        call: u64,
        /// The message to deliver.
        message: Message,
    },
    /// Dispatch the request now, if the lease is valid: a majority has its start. Exactly
    /// one [`Event::Finish`](super::Event::Finish) or
    /// [`Event::Abort`](super::Event::Abort) has to follow.
    Run {
        /// The request, as in its [`Event::Begin`](super::Event::Begin).
        request: Request,
    },
    /// Answer with the recorded response: an earlier request with the same key ran.
    Replay {
        /// The request, as in its [`Event::Begin`](super::Event::Begin).
        request: Request,
        /// The recorded response.
        answer: Answer,
    },
    /// Refuse the request: it did not run and will not.
    Refuse {
        /// The request, as in its [`Event::Begin`](super::Event::Begin).
        request: Request,
        /// The cause of the refusal.
        reason: Reason,
    },
    /// Answer that the outcome is unknown: the work may have run, and its outcome is not
    /// known or not recorded.
    Unknown {
        /// The request, as in its [`Event::Begin`](super::Event::Begin).
        request: Request,
    },
    /// Answer the caller with the response of its request: a majority has recorded it.
    Acknowledge {
        /// The request, as in its [`Event::Begin`](super::Event::Begin).
        request: Request,
        /// The response as recorded.
        answer: Answer,
    },
    /// Propose a new set of holders to the control log.
    ///
    /// The entry must take effect only while the shard has both this epoch and the
    /// holders `base`. Otherwise a delayed duplicate could restore a set that lacks the
    /// latest records. It must also have no effect if an added holder is known to be lost:
    /// together with an old one lost since, the shard would be left with one holder.
    Propose {
        /// The pool of the shard.
        pool: Name,
        /// The shard whose holders change.
        shard: Shard,
        /// The epoch of the current grant.
        epoch: Epoch,
        /// The holders that the proposal is based on.
        base: Vec<Node>,
        /// The proposed holders.
        holders: Vec<Node>,
    },
}
