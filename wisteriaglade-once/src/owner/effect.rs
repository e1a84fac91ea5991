use wisteriaglade_types::{Epoch, Name, Node, Request, Shard};

use super::Reason;
use crate::{Answer, holder::Message};

/// What the driver of the owner's side has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a message to a holder, which may be this process itself.
    Call {
        /// The holder.
        to: Node,
        /// Identifies the reply.
        call: u64,
        /// The message.
        message: Message,
    },
    /// The start is held by a majority: dispatch the request now, if the lease is
    /// valid. Exactly one [`Event::Finish`](super::Event::Finish) or
    /// [`Event::Abort`](super::Event::Abort) has to follow.
    Run {
        /// The request.
        request: Request,
    },
    /// The work ended before: answer with its recorded response.
    Replay {
        /// The request.
        request: Request,
        /// The recorded response.
        answer: Answer,
    },
    /// The request did not run and will not.
    Refuse {
        /// The request.
        request: Request,
        /// Why.
        reason: Reason,
    },
    /// The work may have run, and its outcome is not known or not recorded.
    Unknown {
        /// The request.
        request: Request,
    },
    /// The outcome is held by a majority: answer the caller now.
    Acknowledge {
        /// The request.
        request: Request,
        /// The response as recorded.
        answer: Answer,
    },
    /// Propose a new set of holders to the control log.
    ///
    /// The entry must take effect only while the shard has both this epoch and
    /// the holders `base`. A late repetition could otherwise bring back a set that
    /// lacks the latest records.
    /// It must also have no effect when a new holder is known to be lost: together
    /// with an old one lost since, the shard would be left with one holder.
    Hold {
        /// The pool.
        pool: Name,
        /// The shard.
        shard: Shard,
        /// The epoch of the grant.
        epoch: Epoch,
        /// The present holders.
        base: Vec<Node>,
        /// The new holders.
        holders: Vec<Node>,
    },
}
