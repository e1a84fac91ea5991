//! Header names, and the removal of headers that must not be passed on.

use http::{HeaderMap, HeaderName, header};

/// The outcome of the request: `not-run`, `done` or `unknown`. Set on responses
/// by the router, and by a target that sheds a request.
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("wg-outcome");
/// The caller address of the owner's node, to which the caller may send later
/// requests of the same key directly.
pub(crate) const OWNER: HeaderName = HeaderName::from_static("wg-owner");
/// The epoch of the grant, which targets use as a fencing token.
pub(crate) const EPOCH: HeaderName = HeaderName::from_static("wg-epoch");
/// Set to `true` on a recorded response that is sent for a repeat.
pub(crate) const REPLAYED: HeaderName = HeaderName::from_static("wg-replayed");
/// The id of the request; sent to the target, which copies it to its response.
pub(crate) const REQUEST: HeaderName = HeaderName::from_static("wg-request");
/// The shard of the key; sent to the target.
pub(crate) const SHARD: HeaderName = HeaderName::from_static("wg-shard");
/// The pool of the rule; sent to the target.
pub(crate) const POOL: HeaderName = HeaderName::from_static("wg-pool");
/// The member of the rule; sent to the target.
pub(crate) const MEMBER: HeaderName = HeaderName::from_static("wg-member");
/// The remaining time in milliseconds. Read from the caller, sent to the
/// target.
pub(crate) const DEADLINE: HeaderName = HeaderName::from_static("wg-deadline-ms");
/// The name of the caller, by which the callers of a member are scheduled
/// fairly.
pub(crate) const CALLER: HeaderName = HeaderName::from_static("wg-caller");
/// The requests per second that a target takes from all nodes together. Set on its
/// responses by the target, and on forwarded requests by the ingress node.
pub(crate) const LIMIT: HeaderName = HeaderName::from_static("wg-limit");
/// Has the value 1 on the responses of a target that is leaving.
pub(crate) const LEAVING: HeaderName = HeaderName::from_static("wg-leaving");
/// The idempotency key of a request of an at-most-once rule.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Headers that concern a single connection, which a proxy must not pass on
/// (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHORIZATION,
];

/// Headers that targets trust. They are removed from callers' requests, since
/// only the router may set them.
const INTERNAL: [HeaderName; 7] = [EPOCH, REQUEST, SHARD, POOL, MEMBER, OUTCOME, LIMIT];

/// Removes the hop-by-hop headers, and those that the `connection` header names.
pub(crate) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        headers.remove(name);
    }
}

/// Removes the headers that a caller must not set.
pub(crate) fn remove_internal(headers: &mut HeaderMap) {
    for name in &INTERNAL {
        headers.remove(name);
    }
}
