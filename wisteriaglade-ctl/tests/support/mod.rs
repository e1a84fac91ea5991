//! A mock of the operator API of one node, and functions that run commands against
//! it.

#![allow(dead_code, reason = "each test file uses a part")]

use std::{
    collections::VecDeque,
    fs, io,
    path::PathBuf,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU32, Ordering},
    },
    thread,
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::sync::Notify;
use wisteriaglade_ctl::{Exit, run};

/// The fault to inject into one request.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// The request is executed, and the connection is closed without a response.
    DropResponse,
    /// The request is executed, the connection is closed without a response, and the
    /// node stops listening.
    Stop,
    /// The request is not executed, and the connection stays open without a response.
    NoResponse,
    /// The request is not executed, and the response has this status.
    Refuse(u16),
}

/// The rules of the mock, the faults that it still injects, one for each request, and
/// the requests that it received.
#[derive(Debug, Default)]
pub struct State {
    pub version: u64,
    pub text: String,
    pub history: Vec<Value>,
    pub faults: VecDeque<Fault>,
    pub stop: Arc<Notify>,
    /// Method, path with query, and token of each request.
    pub requests: Vec<(String, String, Option<String>)>,
}

/// A mock node, which listens on a port of the loopback interface.
#[derive(Debug)]
pub struct MockNode {
    pub address: String,
    state: Arc<Mutex<State>>,
}

impl MockNode {
    /// Starts a mock that injects these faults into its first requests.
    pub fn start(faults: &[Fault]) -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let state = Arc::new(Mutex::new(State {
            faults: faults.iter().copied().collect(),
            ..State::default()
        }));
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap()
                .block_on(serve(listener, shared));
        });
        Self { address, state }
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }
}

async fn serve(listener: std::net::TcpListener, state: Arc<Mutex<State>>) {
    let listener = tokio::net::TcpListener::from_std(listener).unwrap();
    let stop = Arc::clone(&state.lock().unwrap().stop);
    loop {
        let (stream, _) = tokio::select! {
            accepted = listener.accept() => accepted.unwrap(),
            () = stop.notified() => return,
        };
        let state = Arc::clone(&state);
        let service = service_fn(move |request| answer(request, Arc::clone(&state)));
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

async fn answer(
    request: Request<Incoming>,
    state: Arc<Mutex<State>>,
) -> io::Result<Response<Full<Bytes>>> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let fault = {
        let mut state = state.lock().unwrap();
        let token = head
            .headers
            .get("authorization")
            .map(|value| value.to_str().unwrap().into());
        state
            .requests
            .push((head.method.to_string(), head.uri.to_string(), token));
        state.faults.pop_front()
    };
    match fault {
        Some(Fault::NoResponse) => std::future::pending().await,
        Some(Fault::Refuse(status)) => Ok(respond(status, &json!({"message": "not now"}))),
        fault => {
            let (status, body) = handle(
                &mut state.lock().unwrap(),
                head.uri.path(),
                &head.method,
                &body,
            );
            match fault {
                Some(Fault::DropResponse) => Err(io::Error::other("the answer is lost")),
                Some(Fault::Stop) => {
                    state.lock().unwrap().stop.notify_one();
                    Err(io::Error::other("the node ends"))
                }
                _ => Ok(respond(status, &body)),
            }
        }
    }
}

fn respond(status: u16, body: &Value) -> Response<Full<Bytes>> {
    Response::builder()
        .status(status)
        .body(Full::new(body.to_string().into()))
        .unwrap()
}

fn handle(state: &mut State, path: &str, method: &http::Method, body: &[u8]) -> (u16, Value) {
    match (method.as_str(), path) {
        ("GET", "/v1/rules") => (200, json!({"version": state.version, "text": state.text})),
        ("PUT", "/v1/rules") => change(state, &serde_json::from_slice(body).unwrap()),
        ("GET", "/v1/rules/history") => (200, json!(state.history)),
        ("GET", "/v1/health") => (200, json!({"healthy": true})),
        ("GET", "/v1/status") => (
            200,
            json!({"leader": 7, "lease": {"valid": true}, "pools": [
                {"targets": 12, "pool": "lookup"},
                {"targets": 4, "pool": "\u{1b}[2J", "slots": [6, 12]},
            ]}),
        ),
        ("GET", "/v1/members") => (200, json!([])),
        ("GET", "/v1/explain") => (200, json!({"pool": "lookup"})),
        ("POST", "/v1/nodes/9/drain" | "/v1/nodes/9/lost") => (200, Value::Null),
        _ => (404, json!({"message": "no such\u{7} resource"})),
    }
}

/// Applies a change if its base is the current version. A repeated id returns the
/// first outcome.
fn change(state: &mut State, change: &Value) -> (u16, Value) {
    let repeated = state
        .history
        .iter()
        .find(|entry| entry["id"] == change["id"]);
    if let Some(entry) = repeated {
        return (200, json!({"version": entry["version"]}));
    }
    if change["base"] != state.version {
        let winner = state.history.last();
        return (409, json!({"version": state.version, "winner": winner}));
    }
    state.version += 1;
    state.text = change["text"].as_str().unwrap().into();
    let entry = json!({"id": change["id"], "operator": "nia", "version": state.version});
    state.history.push(entry);
    (200, json!({"version": state.version}))
}

/// A valid rules file with one rule.
pub const RULE: &str =
    "ribeira lookup GET /t/{key} repeat deadline=2s length=short weight=1 # Rui\n";

/// The result of a command.
pub struct Output {
    pub exit: Exit,
    pub out: String,
    pub err: String,
}

impl Output {
    /// Asserts that standard error contains the text.
    pub fn assert_stderr_contains(&self, text: &str) {
        assert!(self.err.contains(text), "{}", self.err);
    }

    /// Standard output as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|error| panic!("{error}: {}", self.out))
    }
}

/// Runs a command line, whose arguments are split at whitespace.
pub fn wisteriactl(line: &str) -> Output {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let args = line.split_whitespace().map(String::from);
    let exit = run(args, &mut out, &mut err);
    Output {
        exit,
        out: String::from_utf8(out).unwrap(),
        err: String::from_utf8(err).unwrap(),
    }
}

/// Runs a command line with a `--node` for each of the nodes before it.
pub fn wisteriactl_with_nodes(nodes: &[&MockNode], line: &str) -> Output {
    let nodes = nodes.iter().map(|node| format!("--node {} ", node.address));
    wisteriactl(&(nodes.collect::<String>() + line))
}

/// Writes a file with a unique name, because tests run in parallel, and returns its
/// path.
pub fn temp_file(text: &str) -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("{}-{number}", env!("CARGO_CRATE_NAME"));
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path.display().to_string()
}
