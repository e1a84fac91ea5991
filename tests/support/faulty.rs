//! A test server that answers in ways that HTTP does not allow.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time::sleep,
};

use super::server::Observations;

/// The size of the pieces in which bytes without end are written.
const PIECE: usize = 64 * 1024;

/// How the server finds the fault that a request asks for, and what its answers
/// carry.
#[derive(Debug, Clone, Copy)]
pub enum Protocol {
    /// That of the platform. The id of a request names the fault.
    Platform,
    /// That of the daemon. The query of a request names the fault, and its token
    /// is its id. `echo` tells whether answers carry the number that the daemon
    /// gives to each request.
    Daemon { echo: bool },
}

/// A request as the server reads it.
struct Request {
    id: String,
    /// The header lines that its answer carries.
    headers: String,
    /// The line that makes its answer a refusal.
    not_run: &'static str,
    /// The fault that the request asks for, with a time in milliseconds where it
    /// needs one.
    fault: String,
    millis: u64,
    /// How the end of its answer is marked.
    framing: Framing,
}

/// How the end of a body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Length,
    Chunks,
    /// By the end of the connection.
    Close,
}

/// Accepts connections until the task is aborted. A request names the fault, as
/// in `book-copy-50-7` or `book-copy-50-chunks`; other requests are answered
/// correctly.
pub async fn serve(
    listener: TcpListener,
    protocol: Protocol,
    observations: Arc<Mutex<Observations>>,
) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            let observations = Arc::clone(&observations);
            observations.lock().unwrap().connections += 1;
            // An error means that the caller closed the connection.
            tokio::spawn(async move { answer_all(stream, protocol, &observations).await });
        }
    }
}

/// Answers the requests of a connection.
async fn answer_all(
    mut stream: TcpStream,
    protocol: Protocol,
    observations: &Mutex<Observations>,
) -> std::io::Result<()> {
    // The answer to send again after the next request, and the id that this request
    // must have, if it must have one.
    let mut copy: Option<(Vec<u8>, Option<String>)> = None;
    while let Some(request) = read_request(&mut stream, protocol).await? {
        let is_refused = match request.fault.as_str() {
            "shed" | "anonymous" => true,
            "busy" => count_offer(observations, &request.id) == 1,
            // The second copy of a request is refused.
            "twice" | "lost" => count_offer(observations, &request.id) > 1,
            _ => false,
        };
        let run = if is_refused {
            0
        } else {
            record_run(observations, &request.id)
        };
        if request.fault == "during" {
            sleep(Duration::from_millis(request.millis)).await;
        }
        if let Some((answer, id)) = copy.take()
            && id.is_none_or(|id| id == request.id)
        {
            stream.write_all(&answer).await?;
        }
        if is_refused {
            let refusal = refusal(&request);
            stream.write_all(&refusal).await?;
            copy = match request.fault.as_str() {
                "twice" | "lost" => None,
                "busy" => Some((refusal, Some(request.id))),
                _ => Some((refusal, None)),
            };
            continue;
        }
        let answer = whole_answer(&request, run);
        let head_end = answer.windows(4).position(|w| w == b"\r\n\r\n").unwrap() + 4;
        match request.fault.as_str() {
            "copy" if request.millis == 0 => {
                stream.write_all(&[answer.clone(), answer].concat()).await?;
            }
            "copy" => {
                stream.write_all(&answer).await?;
                sleep(Duration::from_millis(request.millis)).await;
                stream.write_all(&answer).await?;
            }
            "later" => {
                stream.write_all(&answer).await?;
                copy = Some((answer, None));
            }
            "work" | "twice" | "during" => {
                sleep(Duration::from_millis(request.millis)).await;
                stream.write_all(&answer).await?;
            }
            "lost" => {
                sleep(Duration::from_millis(request.millis)).await;
                return Ok(());
            }
            "cut" => {
                stream.write_all(&answer[..answer.len() - 3]).await?;
                return Ok(());
            }
            "reset" => {
                stream.write_all(&answer[..answer.len() - 3]).await?;
                sleep(Duration::from_millis(request.millis)).await;
                return stream.set_zero_linger();
            }
            // Stops in the head of its answer, after so many bytes.
            "stop" | "halt" => {
                let length = usize::try_from(request.millis).unwrap_or(usize::MAX);
                let length = length.min(head_end - 1);
                stream.write_all(&answer[..length]).await?;
                if request.fault == "halt" {
                    sleep(Duration::from_millis(20)).await;
                    return stream.set_zero_linger();
                }
                return Ok(());
            }
            "chunk" => {
                let head = head_of(&request, "transfer-encoding: chunked\r\n");
                stream.write_all(head.as_bytes()).await?;
                stream.write_all(b"5\r\nhello\r\n").await?;
                return Ok(());
            }
            "head" => {
                stream.write_all(&answer[..head_end - 2]).await?;
                write_without_end(&mut stream, b"x-more: more\r\n").await?;
            }
            "body" | "crumbs" => {
                let head = head_of(&request, "transfer-encoding: chunked\r\n");
                stream.write_all(head.as_bytes()).await?;
                let size = if request.fault == "body" { 8192 } else { 8 };
                let chunk = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
                write_without_end(&mut stream, chunk.as_bytes()).await?;
            }
            _ => stream.write_all(&answer).await?,
        }
        if request.framing == Framing::Close {
            return Ok(());
        }
    }
    Ok(())
}

/// Counts the start of a run and returns its number, from 1.
fn record_run(observations: &Mutex<Observations>, id: &str) -> u32 {
    let mut observations = observations.lock().unwrap();
    increment(&mut observations.runs, id)
}

/// Counts a request as it arrives and returns its number, from 1.
fn count_offer(observations: &Mutex<Observations>, id: &str) -> u32 {
    let mut observations = observations.lock().unwrap();
    increment(&mut observations.offers, id)
}

fn increment(counts: &mut HashMap<String, u32>, id: &str) -> u32 {
    let count = counts.entry(id.to_owned()).or_default();
    *count += 1;
    *count
}

/// Writes text again and again until the connection is closed.
async fn write_without_end(stream: &mut TcpStream, text: &[u8]) -> std::io::Result<()> {
    let piece = text.repeat(PIECE / text.len());
    loop {
        stream.write_all(&piece).await?;
    }
}

fn head_of(request: &Request, framing: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{}{framing}\r\n", request.headers)
}

/// An answer which says that the request was not run. It names no request if the
/// fault is `anonymous`.
fn refusal(request: &Request) -> Vec<u8> {
    let headers = match request.fault.as_str() {
        "anonymous" => "",
        _ => &request.headers,
    };
    let head = format!(
        "HTTP/1.1 503 Service Unavailable\r\n{headers}{}content-length: 0\r\n\r\n",
        request.not_run
    );
    head.into_bytes()
}

fn whole_answer(request: &Request, run: u32) -> Vec<u8> {
    let body = format!("{} by faulty, run {run}", request.id);
    let length = body.len();
    let text = match request.framing {
        Framing::Length => head_of(request, &format!("content-length: {length}\r\n")) + &body,
        Framing::Chunks => {
            let head = head_of(request, "transfer-encoding: chunked\r\n");
            format!("{head}{length:x}\r\n{body}\r\n0\r\n\r\n")
        }
        Framing::Close => head_of(request, "") + &body,
    };
    text.into_bytes()
}

/// Reads a request with its body. Returns `None` at the end of the connection.
async fn read_request(
    stream: &mut TcpStream,
    protocol: Protocol,
) -> std::io::Result<Option<Request>> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => head.push(byte),
            Err(_) => return Ok(None),
        }
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let length = header_of(&head, "content-length").and_then(|length| length.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).await?;
    Ok(Some(protocol.parse(&head)))
}

/// Returns the value of a header, in lower case like the head.
fn header_of(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    lines
        .find(|(known, _)| *known == name)
        .map(|(_, value)| value.to_owned())
}

impl Protocol {
    /// Parses the head of a request, which is in lower case.
    fn parse(self, head: &str) -> Request {
        match self {
            Self::Platform => {
                let id = header_of(head, "x-wisteriaglade-request-id").unwrap_or_default();
                let headers = format!(
                    "x-wisteriaglade-request-id: {id}\r\n\
                     x-wisteriaglade-response-seal: seal-{id}\r\n"
                );
                let not_run = "x-wisteriaglade-not-executed: 1\r\n";
                Request::new(id.clone(), &id, headers, not_run)
            }
            Self::Daemon { echo } => {
                let id = header_of(head, "token").unwrap_or_default();
                let number = header_of(head, "wg-request").filter(|_| echo);
                let echoed = number.map(|number| format!("wg-request: {number}\r\n"));
                let headers = format!("token: {id}\r\n{}", echoed.unwrap_or_default());
                let uri = head.split(' ').nth(1).unwrap_or_default();
                let (_, query) = uri.split_once('?').unwrap_or_default();
                Request::new(id, query, headers, "wg-outcome: not-run\r\n")
            }
        }
    }
}

impl Request {
    /// Creates a request that asks for the fault named by `wish`.
    fn new(id: String, wish: &str, headers: String, not_run: &'static str) -> Self {
        let mut parts = wish.split('-').skip(1);
        let fault = parts.next().unwrap_or_default().to_owned();
        let millis = parts.next().and_then(|millis| millis.parse().ok());
        let framing = match parts.next() {
            Some("chunks") => Framing::Chunks,
            Some("close") => Framing::Close,
            _ => Framing::Length,
        };
        Self {
            id,
            headers,
            not_run,
            fault,
            millis: millis.unwrap_or(0),
            framing,
        }
    }
}
