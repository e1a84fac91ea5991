//! The endpoints for operators. Those that change something require the token
//! of an operator.

use std::{sync::Arc, time::Duration};

use dropshot::{
    Body, HttpError, HttpResponseOk, HttpResponseUpdatedNoContent, Path, Query, RequestContext,
    TypedBody, endpoint,
};
use http::{Response, StatusCode, header};
use serde::Serialize;
use tracing::info;
use wisteriaglade_control::{Command, Reply, Status};
use wisteriaglade_router::Reason;
use wisteriaglade_rules::{Diff, Set};
use wisteriaglade_types::{Hash, Name, Node, Version};

use super::document;
use crate::{context::Context, read};

/// The time limit for a proposal, which covers an election of the control
/// leader.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(8);

type JsonResult<T> = Result<HttpResponseOk<T>, HttpError>;

/// Returns the state of this process and its view of the cluster.
#[endpoint { method = GET, path = "/v1/status" }]
pub(super) async fn status(request: RequestContext<Arc<Context>>) -> JsonResult<document::Status> {
    let context = request.context();
    let (lease, current) = (context.holds_lease(), context.current());
    let leader = context.known_leader();
    let view = read(&context.view);
    let nodes = view
        .state
        .nodes()
        .map(|process| document::Node {
            node: process.node().get(),
            host: process.host().to_string(),
            data_centre: process.data_centre().to_string(),
            status: status_name(process.status()).to_owned(),
            pool: process.pool().map(ToString::to_string).unwrap_or_default(),
            shards: process.shard_count(),
            caller: process.caller(),
            admin: process.admin(),
        })
        .collect();
    let pools = view
        .state
        .pools()
        .map(|(name, pool)| document::Pool {
            pool: name.to_string(),
            shards: pool.shards(),
            ownerless: pool.grants().filter(|grant| grant.owner.is_none()).count(),
            moving: pool
                .grants()
                .filter(|grant| grant.moving_to.is_some())
                .count(),
            hot_keys: pool.hot_keys().len(),
        })
        .collect();
    Ok(HttpResponseOk(document::Status {
        host: context.settings.host.to_string(),
        data_centre: context.settings.data_centre.to_string(),
        node: context.node().map(Node::get),
        lease,
        current,
        applied_index: view.applied.get(),
        rules_version: view.state.rules().0.get(),
        control_leader: leader,
        pending: context.admission.pending(),
        nodes,
        pools,
    }))
}

/// The name of a node's status in the document.
const fn status_name(node_status: Status) -> &'static str {
    match node_status {
        Status::Joined => "joined",
        Status::Ready => "ready",
        Status::Draining => "draining",
        Status::Fenced { .. } => "fenced",
    }
}

/// Returns whether this process can serve requests, with status 503 when it
/// cannot.
#[endpoint { method = GET, path = "/v1/health" }]
pub(super) async fn health(
    request: RequestContext<Arc<Context>>,
) -> Result<Response<Body>, HttpError> {
    let context = request.context();
    let storage_failed = context
        .replica
        .as_ref()
        .is_some_and(|replica| read(&replica.status).storage_failed);
    let joined = context.node().is_some();
    let (lease, current) = (context.holds_lease(), context.current());
    let target_suspect = context.admission.suspect();
    let healthy = joined && lease && current && !target_suspect && !storage_failed;
    let document = document::Health {
        healthy,
        joined,
        lease,
        current,
        target_suspect,
        storage_failed,
    };
    let code = if healthy {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    json_response(code, &document)
}

/// Returns the rules in force.
#[endpoint { method = GET, path = "/v1/rules" }]
pub(super) async fn rules(request: RequestContext<Arc<Context>>) -> JsonResult<document::Rules> {
    let view = read(&request.context().view);
    let (version, text) = view.state.rules();
    Ok(HttpResponseOk(document::Rules {
        version: version.get(),
        text: text.to_owned(),
    }))
}

/// Returns the accepted changes of the rules, oldest first.
#[endpoint { method = GET, path = "/v1/rules/history" }]
pub(super) async fn history(
    request: RequestContext<Arc<Context>>,
) -> JsonResult<Vec<document::Revision>> {
    let view = read(&request.context().view);
    let history = view
        .state
        .history()
        .map(|revision| document::Revision {
            version: revision.version.get(),
            id: format!("{:032x}", revision.id),
            operator: revision.operator.to_string(),
        })
        .collect();
    Ok(HttpResponseOk(history))
}

/// Checks a rules file without applying it.
#[endpoint { method = POST, path = "/v1/rules/check" }]
pub(super) async fn check(
    _request: RequestContext<Arc<Context>>,
    body: TypedBody<document::Text>,
) -> JsonResult<document::Checked> {
    let checked = match Set::parse(&body.into_inner().text) {
        Ok(set) => document::Checked {
            valid: true,
            rules: set.rules().len(),
            problems: Vec::new(),
        },
        Err(error) => document::Checked {
            valid: false,
            rules: 0,
            problems: error.problems().iter().map(ToString::to_string).collect(),
        },
    };
    Ok(HttpResponseOk(checked))
}

/// Compares a rules file with the rules in force.
#[endpoint { method = POST, path = "/v1/rules/diff" }]
pub(super) async fn diff(
    request: RequestContext<Arc<Context>>,
    body: TypedBody<document::Text>,
) -> JsonResult<document::Difference> {
    let set = parse_rules(&body.into_inner().text)?;
    let view = read(&request.context().view);
    let Diff {
        added,
        removed,
        changed,
        ..
    } = view.rules.diff(&set);
    Ok(HttpResponseOk(document::Difference {
        version: view.state.rules().0.get(),
        added: added.iter().map(ToString::to_string).collect(),
        removed: removed.iter().map(ToString::to_string).collect(),
        changed: changed
            .iter()
            .map(|both| format!("{} -> {}", both.before, both.after))
            .collect(),
    }))
}

/// Parses a rules file, and answers with status 400 when it is not valid.
fn parse_rules(text: &str) -> Result<Set, HttpError> {
    Set::parse(text).map_err(|error| {
        HttpError::for_bad_request(Some("InvalidRules".to_owned()), error.to_string())
    })
}

/// Replaces the rules, unless their version is not the base of the change.
#[endpoint { method = PUT, path = "/v1/rules" }]
pub(super) async fn change(
    request: RequestContext<Arc<Context>>,
    body: TypedBody<document::Change>,
) -> Result<Response<Body>, HttpError> {
    let context = request.context();
    let operator = authenticate(&request)?;
    let change = body.into_inner();
    let id = parse_change_id(&change.id)?;
    let set = parse_rules(&change.text)?;
    let pools: std::collections::BTreeSet<Name> =
        set.rules().iter().map(|rule| rule.pool.clone()).collect();
    let longest_deadlines = pools
        .into_iter()
        .map(|pool| {
            let longest = set.longest_deadline(&pool);
            (pool, longest)
        })
        .collect();
    let command = Command::ChangeRules {
        id,
        base: Version::new(change.base),
        operator: operator.clone(),
        text: change.text.as_str().into(),
        longest_deadlines,
    };
    let reply = context
        .propose(command, PROPOSAL_TIMEOUT)
        .await
        .or_else(|| accepted(context, id));
    info!(
        event = "rules-change",
        id = change.id,
        operator = %operator,
        accepted = matches!(reply, Some(Reply::Version(_)))
    );
    match reply {
        Some(Reply::Version(version)) => json_response(
            StatusCode::OK,
            &document::Accepted {
                version: version.get(),
            },
        ),
        Some(Reply::Conflict {
            version,
            id,
            operator,
        }) => json_response(
            StatusCode::CONFLICT,
            &document::Conflict {
                version: version.get(),
                winner: document::Revision {
                    version: version.get(),
                    id: format!("{id:032x}"),
                    operator: operator.to_string(),
                },
            },
        ),
        other => Err(proposal_error(other)),
    }
}

/// Returns the reply to a change that this process knows as accepted although no
/// replica has confirmed it in time.
fn accepted(context: &Context, id: u128) -> Option<Reply> {
    let view = read(&context.view);
    let mut revisions = view.state.history();
    let revision = revisions.find(|revision| revision.id == id)?;
    Some(Reply::Version(revision.version))
}

/// Parses a change id. An id of up to 128 bits in hexadecimal is used as a
/// number, and any other text is hashed.
fn parse_change_id(id: &str) -> Result<u128, HttpError> {
    if id.is_empty() || id.len() > 200 {
        return Err(HttpError::for_bad_request(
            None,
            "id: expected 1 to 200 bytes".to_owned(),
        ));
    }
    let plain: String = id.chars().filter(|&c| c != '-').collect();
    Ok(u128::from_str_radix(&plain, 16).unwrap_or_else(|_| {
        let hash = blake3::hash(id.as_bytes());
        let mut half = [0; 16];
        half.copy_from_slice(&hash.as_bytes()[..16]);
        u128::from_be_bytes(half)
    }))
}

/// Returns the rule that matches a request, and the shard and owner of its
/// key.
#[endpoint { method = GET, path = "/v1/explain" }]
pub(super) async fn explain(
    request: RequestContext<Arc<Context>>,
    query: Query<document::ExplainQuery>,
) -> JsonResult<document::Explanation> {
    let parameters = query.into_inner();
    let view = read(&request.context().view);
    let found = view
        .rules
        .find(&parameters.method, &parameters.path)
        .ok_or_else(|| {
            HttpError::for_not_found(None, "no rule matches the method and the path".to_owned())
        })?;
    let hash = Hash::of(&found.key);
    let grant = view.state.locate(&found.rule.pool, hash);
    let owner = grant
        .and_then(|grant| grant.owner)
        .and_then(|owner| view.state.node(owner));
    let holders = grant
        .map(|grant| view.state.holders(&found.rule.pool, grant.shard))
        .unwrap_or_default();
    Ok(HttpResponseOk(document::Explanation {
        rule: found.rule.to_string(),
        line: found.rule.line,
        asked_by: found.rule.asked_by.to_string(),
        member: found.rule.member.to_string(),
        pool: found.rule.pool.to_string(),
        key: found.key.to_string(),
        hash: hash.to_string(),
        shard: grant.map(|grant| grant.shard.get()),
        epoch: grant.map(|grant| grant.epoch.get()),
        owner: owner.map(|process| process.node().get()),
        owner_host: owner.map(|process| process.host().to_string()),
        owner_caller: owner.map(wisteriaglade_control::Process::caller),
        moving_to: grant.and_then(|grant| grant.moving_to).map(Node::get),
        holders: holders.iter().copied().map(Node::get).collect(),
    }))
}

/// Returns the figures of each member's requests at the target beside this
/// process.
#[endpoint { method = GET, path = "/v1/members" }]
pub(super) async fn members(
    request: RequestContext<Arc<Context>>,
) -> JsonResult<Vec<document::Member>> {
    let members = request.context().admission.inspect(|router| {
        router
            .members()
            .iter()
            .map(|(member, usage)| {
                let dispatched = u32::try_from(usage.dispatched.max(1)).unwrap_or(u32::MAX);
                document::Member {
                    member: member.to_string(),
                    arrivals: usage.arrivals,
                    completions: usage.served,
                    busy_ms: saturate(usage.busy.as_millis()),
                    mean_wait_us: saturate((usage.wait / dispatched).as_micros()),
                    longest_wait_us: saturate(usage.longest_wait.as_micros()),
                    refused: Reason::ALL
                        .iter()
                        .zip(usage.refused)
                        .map(|(reason, count)| (reason.to_string(), count))
                        .collect(),
                }
            })
            .collect()
    });
    Ok(HttpResponseOk(members))
}

/// Converts to 64 bits, and returns the largest value when the number does not
/// fit.
fn saturate(number: u128) -> u64 {
    u64::try_from(number).unwrap_or(u64::MAX)
}

/// Starts to move every shard away from a node.
#[endpoint { method = POST, path = "/v1/nodes/{node}/drain" }]
pub(super) async fn drain_node(
    request: RequestContext<Arc<Context>>,
    path: Path<document::Path>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    let operator = authenticate(&request)?;
    let node = Node::new(path.into_inner().node);
    info!(event = "drain", node = node.get(), operator = %operator);
    match request
        .context()
        .propose(Command::Drain { node }, PROPOSAL_TIMEOUT)
        .await
    {
        Some(Reply::Accepted) => Ok(HttpResponseUpdatedNoContent()),
        other => Err(proposal_error(other)),
    }
}

/// Asserts that the host of a node is off, so that no work of that node still
/// runs.
#[endpoint { method = POST, path = "/v1/nodes/{node}/lost" }]
pub(super) async fn lost_node(
    request: RequestContext<Arc<Context>>,
    path: Path<document::Path>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    let operator = authenticate(&request)?;
    let node = Node::new(path.into_inner().node);
    info!(event = "lost", node = node.get(), operator = %operator);
    request.context().report_host_off(node).await;
    Ok(HttpResponseUpdatedNoContent())
}

/// Returns the metrics in the `OpenMetrics` text format.
#[endpoint { method = GET, path = "/metrics" }]
pub(super) async fn metrics(
    request: RequestContext<Arc<Context>>,
) -> Result<Response<Body>, HttpError> {
    let context = request.context();
    context.update_gauges();
    Response::builder()
        .header(
            header::CONTENT_TYPE,
            "application/openmetrics-text; version=1.0.0; charset=utf-8",
        )
        .body(context.metrics.text().into())
        .map_err(|error| HttpError::for_internal_error(error.to_string()))
}

/// Finds the operator whose bearer token the request carries, and answers with
/// status 401 when there is none.
fn authenticate(request: &RequestContext<Arc<Context>>) -> Result<Name, HttpError> {
    request
        .request
        .headers()
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok()?.strip_prefix("Bearer "))
        .and_then(|token| {
            let operators = &request.context().settings.operators;
            operators.iter().find(|operator| operator.accepts(token))
        })
        .map(|operator| operator.name.clone())
        .ok_or_else(|| {
            HttpError::for_client_error(
                None,
                dropshot::ClientErrorStatusCode::UNAUTHORIZED,
                "a token of an operator is required".to_owned(),
            )
        })
}

/// The error for a change that was rejected, or that has no known outcome.
fn proposal_error(reply: Option<Reply>) -> HttpError {
    match reply {
        Some(Reply::Refused(reason)) => HttpError::for_bad_request(None, reason.to_string()),
        Some(other) => HttpError::for_internal_error(format!("unexpected reply {other:?}")),
        None => HttpError::for_unavail(
            None,
            "the change was not confirmed by a majority of the control replicas; \
             send it again with the same id"
                .to_owned(),
        ),
    }
}

/// Builds a response with a JSON document.
fn json_response<T: Serialize>(
    code: StatusCode,
    document: &T,
) -> Result<Response<Body>, HttpError> {
    let text = serde_json::to_string(document)
        .map_err(|error| HttpError::for_internal_error(error.to_string()))?;
    Response::builder()
        .status(code)
        .header(header::CONTENT_TYPE, "application/json")
        .body(text.into())
        .map_err(|error| HttpError::for_internal_error(error.to_string()))
}
