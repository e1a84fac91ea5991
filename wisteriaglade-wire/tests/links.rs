//! Tests of links and datagrams with peers that violate the protocol.

use std::time::Duration;

use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use wisteriaglade_wire::{Datagram, Frame, Key, Kind, Link, VERSION};

fn key(secret: &str) -> Key {
    Key::new(secret).unwrap()
}

fn cluster_key() -> Key {
    key("a cluster key for tests")
}

/// The error of the accepting side for these bytes from a connecting peer.
async fn accept_error(bytes: &[u8]) -> Kind {
    let (mut peer, own) = duplex(4096);
    peer.write_all(bytes).await.unwrap();
    peer.shutdown().await.unwrap();
    let key = cluster_key();
    let accept = tokio::time::timeout(Duration::from_secs(5), Link::accept(own, &key));
    accept.await.unwrap().unwrap_err().kind()
}

fn hello(version: u8) -> Vec<u8> {
    [b"wgl".as_slice(), &[version], &[7; 16]].concat()
}

/// Guards against a peer without the cluster key that completes the handshake.
#[rstest]
#[case::nothing(vec![], Kind::Closed)]
#[case::another_protocol(b"GET / HTTP/1.1\r\n\r\nxx".to_vec(), Kind::Malformed)]
#[case::half_a_hello(hello(VERSION)[..9].to_vec(), Kind::Closed)]
#[case::a_later_version(hello(VERSION + 1), Kind::Version(VERSION + 1))]
#[case::no_proof([hello(VERSION), vec![0; 9]].concat(), Kind::Closed)]
#[tokio::test]
async fn a_peer_without_the_key_is_refused(#[case] bytes: Vec<u8>, #[case] expected: Kind) {
    assert_eq!(accept_error(&bytes).await, expected);
}

/// Guards against a link between processes of different clusters.
#[tokio::test]
async fn a_peer_with_another_key_is_refused_and_receives_no_proof() {
    let (near, far) = duplex(4096);
    let other = key("the key of another cluster");
    let accepting = cluster_key();

    let accept = Link::accept(far, &accepting);
    let connect = Link::connect(near, &other);
    let (accepted, connected) = tokio::join!(accept, connect);

    assert_eq!(accepted.unwrap_err().kind(), Kind::Unauthenticated);
    assert!(connected.is_err());
}

/// Guards against a recorded proof that is accepted on a new connection.
#[tokio::test]
async fn a_replayed_handshake_is_refused() {
    let (near, mut wire) = duplex(4096);
    let (mut relay, far) = duplex(4096);
    let key = cluster_key();
    let mut sent = vec![0; 20 + 32];
    let record = async {
        let (mut own, mut other) = ([0; 20], [0; 20]);
        wire.read_exact(&mut own).await.unwrap();
        relay.write_all(&own).await.unwrap();
        relay.read_exact(&mut other).await.unwrap();
        wire.write_all(&other).await.unwrap();
        wire.read_exact(&mut sent[20..]).await.unwrap();
        relay.write_all(&sent[20..]).await.unwrap();
        sent[..20].copy_from_slice(&own);
        let mut proof = [0; 32];
        relay.read_exact(&mut proof).await.unwrap();
        wire.write_all(&proof).await.unwrap();
    };
    let (connected, accepted, ()) =
        tokio::join!(Link::connect(near, &key), Link::accept(far, &key), record);
    assert!(connected.is_ok() && accepted.is_ok());

    assert_eq!(accept_error(&sent).await, Kind::Unauthenticated);
}

async fn pair() -> (Link<DuplexStream>, Link<DuplexStream>) {
    let (near, far) = duplex(1 << 16);
    let key = cluster_key();
    let (near, far) = tokio::join!(Link::connect(near, &key), Link::accept(far, &key));
    (near.unwrap(), far.unwrap())
}

/// Guards against messages that are lost, reordered or changed on a link.
#[tokio::test]
async fn messages_arrive_as_they_were_sent() {
    let (mut near, mut far) = pair().await;
    let messages = [("", 0_u64), ("renew", 7), ("a longer word", u64::MAX)];

    for message in &messages {
        near.send(message).await.unwrap();
    }

    for expected in messages {
        let (word, number): (String, u64) = far.recv().await.unwrap();
        assert_eq!((word.as_str(), number), expected);
    }
}

/// Guards against a frame that is incomplete, malformed or over the limit and makes
/// the receiver allocate memory or accept a message.
#[rstest]
#[case::too_long(u32::MAX.to_be_bytes().to_vec(), Kind::TooLong(u32::MAX as usize))]
#[case::one_over_the_limit(
    (u32::try_from(Frame::MAX_BODY_BYTES).unwrap() + 1).to_be_bytes().to_vec(), Kind::TooLong(Frame::MAX_BODY_BYTES + 1))]
#[case::half_a_prefix(vec![0, 0], Kind::Closed)]
#[case::half_a_body(vec![0, 0, 0, 9, 1], Kind::Io)]
#[case::garbage(vec![0, 0, 0, 2, 0xff, 0xff], Kind::Malformed)]
#[case::left_over_bytes(vec![0, 0, 0, 3, 1, 1, 1], Kind::Malformed)]
#[tokio::test]
async fn an_invalid_frame_fails_the_link(#[case] bytes: Vec<u8>, #[case] expected: Kind) {
    let (near, far) = duplex(4096);
    let key = cluster_key();
    // This side completes the handshake first, then writes the bytes to the same
    // stream.
    let raw = async {
        let (mut raw, inner) = duplex(4096);
        let mut near = near;
        let connect = Link::connect(inner, &key);
        let relay = async {
            let mut hello = [0; 20];
            raw.read_exact(&mut hello).await.unwrap();
            near.write_all(&hello).await.unwrap();
            near.read_exact(&mut hello).await.unwrap();
            raw.write_all(&hello).await.unwrap();
            let mut proof = [0; 32];
            raw.read_exact(&mut proof).await.unwrap();
            near.write_all(&proof).await.unwrap();
            near.read_exact(&mut proof).await.unwrap();
            raw.write_all(&proof).await.unwrap();
        };
        let (connected, ()) = tokio::join!(connect, relay);
        connected.unwrap();
        near.write_all(&bytes).await.unwrap();
    };
    let receive = async {
        let mut link = Link::accept(far, &key).await.unwrap();
        link.recv::<(bool, bool)>().await.unwrap_err().kind()
    };

    let (kind, ()) = tokio::join!(receive, raw);

    assert_eq!(kind, expected);
}

/// The bytes with the lowest bit of one byte inverted.
fn with_flipped_bit(mut bytes: Vec<u8>, position: usize) -> Vec<u8> {
    bytes[position] ^= 1;
    bytes
}

/// Guards against accepting a datagram that was modified or truncated, or comes from
/// another cluster.
#[test]
fn a_changed_datagram_is_refused() {
    let sealed = Datagram::seal(&cluster_key(), &("renew", 9_u32)).unwrap();
    for position in 0..sealed.len() {
        let opened = Datagram::open::<(String, u32)>(
            &cluster_key(),
            &with_flipped_bit(sealed.clone(), position),
        );
        assert!(opened.is_err(), "byte {position}");
    }
    for length in 0..sealed.len() {
        let opened = Datagram::open::<(String, u32)>(&cluster_key(), &sealed[..length]);
        assert!(opened.is_err(), "length {length}");
    }
    let other = Datagram::open::<(String, u32)>(&key("the key of another cluster"), &sealed);
    assert_eq!(other.unwrap_err().kind(), Kind::Unauthenticated);
    assert!(Datagram::open::<(String, u32)>(&cluster_key(), &sealed).is_ok());
}

/// Guards against sending a message that the other side would refuse as too long.
#[test]
fn a_message_over_the_limit_is_not_sent() {
    let frame = Frame::encode(&vec![0_u8; Frame::MAX_BODY_BYTES + 1]).unwrap_err();
    let datagram = Datagram::seal(&cluster_key(), &vec![0_u8; Datagram::MAX_BYTES]).unwrap_err();

    assert!(matches!(frame.kind(), Kind::Oversize(_)));
    assert!(matches!(datagram.kind(), Kind::Oversize(_)));
    assert_eq!(Key::new("short").unwrap_err().kind(), Kind::WeakKey(5));
}
