//! Tests of the end of listeners and streams: nothing that the kernel had accepted
//! is reset.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    time::{Instant, timeout},
};
use wisteriaglade_wire::{Lingering, Listener};

/// The number of connections that wait in the queue of a listener.
const QUEUED: usize = 100;

/// The time limit of a step that should take no time.
const STEP_BOUND: Duration = Duration::from_secs(5);

fn listener() -> (Listener, SocketAddr) {
    let listener = Listener::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Opens a connection and sends a request of one byte.
async fn caller(address: SocketAddr, request: u8) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(&[request]).await.unwrap();
    stream
}

/// Two connected streams, of which the first is the accepting side's.
async fn pair() -> (TcpStream, TcpStream) {
    let (listener, address) = listener();
    let far = TcpStream::connect(address).await.unwrap();
    (listener.accept().await.unwrap().0, far)
}

/// Reads until the end of the stream, which must not be a reset.
async fn read_rest(stream: &mut TcpStream) -> Vec<u8> {
    let mut rest = Vec::new();
    let read = timeout(STEP_BOUND, stream.read_to_end(&mut rest)).await;
    read.unwrap().unwrap();
    rest
}

/// Guards against a close of the listener that resets the connections in its
/// queue, on which requests may have been sent.
#[tokio::test]
async fn connections_in_the_queue_outlive_the_listener() {
    let (listener, address) = listener();
    let mut callers = Vec::new();
    for number in 0..QUEUED {
        callers.push(caller(address, u8::try_from(number).unwrap()).await);
    }

    listener.refuse().unwrap();
    let queued = listener.drain().await;

    assert_eq!(queued.len(), QUEUED);
    for (mut stream, _) in queued {
        let request = stream.read_u8().await.unwrap();
        stream.write_all(&[request]).await.unwrap();
    }
    for (number, mut caller) in callers.into_iter().enumerate() {
        assert_eq!(
            read_rest(&mut caller).await,
            [u8::try_from(number).unwrap()]
        );
    }
}

/// Guards against connections that enter the queue between its last look and the
/// close of the listener, which would reset them.
#[tokio::test]
async fn nothing_is_accepted_after_a_refusal() {
    let (listener, address) = listener();

    listener.refuse().unwrap();
    let attempt = tokio::spawn(TcpStream::connect(address));
    tokio::time::sleep(Listener::HANDSHAKE * 4).await;

    assert!(!attempt.is_finished());
    assert!(listener.drain().await.is_empty());
    let attempt = timeout(STEP_BOUND, attempt).await.unwrap().unwrap();
    let error = attempt.unwrap_err();
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionRefused);
}

/// Guards against a refusal that stops the connections that are open.
#[tokio::test]
async fn a_refusal_leaves_open_connections_alone() {
    let (listener, address) = listener();
    let mut open = caller(address, 1).await;
    let (mut accepted, _) = listener.accept().await.unwrap();

    listener.refuse().unwrap();
    accepted.write_all(b"answer").await.unwrap();
    let mut answer = [0; 6];
    open.read_exact(&mut answer).await.unwrap();
    open.write_all(&[2]).await.unwrap();

    assert_eq!(&answer, b"answer");
    assert_eq!(accepted.read_u16().await.unwrap(), 0x0102);
}

/// Guards against a close with unread bytes, whose reset takes the answer from the
/// other side.
#[tokio::test]
async fn an_answer_before_the_end_of_the_request_arrives() {
    let (near, mut far) = pair().await;
    far.write_all(&vec![1; 100_000]).await.unwrap();

    let closing = tokio::spawn(async move {
        let mut near = Lingering::new(near);
        near.write_all(b"answer").await.unwrap();
        near.shutdown().await.unwrap();
    });
    far.write_all(&vec![1; 100_000]).await.unwrap();
    let answer = read_rest(&mut far).await;

    assert_eq!(answer, b"answer");
    drop(far);
    timeout(STEP_BOUND, closing).await.unwrap().unwrap();
}

/// Guards against a shutdown that never ends because the other side does not close
/// its half.
#[tokio::test]
async fn a_shutdown_ends_without_the_other_side() {
    let (near, _far) = pair().await;
    let mut near = Lingering::new(near);

    let start = Instant::now();
    timeout(STEP_BOUND, near.shutdown()).await.unwrap().unwrap();

    assert!(start.elapsed() >= Lingering::<TcpStream>::LIMIT);
}
