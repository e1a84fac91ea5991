//! Names of headers, and which of them pass from hop to hop.

use http::{HeaderMap, HeaderName, header};

/// Whether the work ran: `not-run`, `done` or `unknown`.
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("wg-outcome");
/// The caller address of the owner's node, so that a caller may go there.
pub(crate) const OWNER: HeaderName = HeaderName::from_static("wg-owner");
/// The fencing token.
pub(crate) const EPOCH: HeaderName = HeaderName::from_static("wg-epoch");
/// Marks a recorded response that is sent again.
pub(crate) const REPLAYED: HeaderName = HeaderName::from_static("wg-replayed");
/// The shard of the key.
pub(crate) const SHARD: HeaderName = HeaderName::from_static("wg-shard");
/// The pool of the rule.
pub(crate) const POOL: HeaderName = HeaderName::from_static("wg-pool");
/// The member of the rule.
pub(crate) const MEMBER: HeaderName = HeaderName::from_static("wg-member");
/// The remaining time in milliseconds.
pub(crate) const DEADLINE: HeaderName = HeaderName::from_static("wg-deadline-ms");
/// Who calls, for fairness among the callers of a member.
pub(crate) const CALLER: HeaderName = HeaderName::from_static("wg-caller");
/// The key under which a request runs at most once.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Headers of one connection, which a proxy must not pass on (RFC 9110,
/// section 7.6.1).
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

/// Headers that targets trust, so that only the router may set them.
const INTERNAL: [HeaderName; 5] = [EPOCH, SHARD, POOL, MEMBER, OUTCOME];

/// Removes the headers of the connection and those that it names.
pub(crate) fn strip_hop(headers: &mut HeaderMap) {
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

/// Removes what a caller must not set.
pub(crate) fn strip_internal(headers: &mut HeaderMap) {
    for name in &INTERNAL {
        headers.remove(name);
    }
}
