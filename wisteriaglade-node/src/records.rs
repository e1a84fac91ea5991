//! Records of at-most-once requests: what this node holds for owners.

use wisteriaglade_once::holder;
use wisteriaglade_types::Node;

use crate::{context::Context, lock};

/// Handles a message of an owner. `None` when it is meant for an earlier id of
/// this process, whose records are gone.
pub(crate) fn handle(
    context: &Context,
    to: Node,
    message: holder::Message,
) -> Option<holder::Reply> {
    if context.node() != Some(to) {
        return None;
    }
    let now = context.clock.now();
    Some(lock(&context.holder).handle(now, message))
}
