//! Constructors for the values that several tests use.

use std::time::Duration;

use wisteriaglade_once::{Answer, Fingerprint, Key, Keyspace, owner::Event};
use wisteriaglade_types::{Epoch, Hash, Name, Node, Request, Shard};

pub fn pool() -> Name {
    "ledger".into()
}

pub fn key(hash: Hash, id: u64) -> Key {
    let (pool, id) = (pool(), id.to_string().into());
    Key { pool, hash, id }
}

pub fn partition(shards: u32, excluded: &[Hash]) -> Keyspace {
    let excluded = excluded.to_vec();
    Keyspace::Partition { shards, excluded }
}

pub fn answer(body: &[u8]) -> Answer {
    let headers = vec![("date".into(), b"today".as_slice().into())];
    let (status, body) = (201, Some(body.into()));
    Answer {
        status,
        headers,
        body,
    }
}

pub fn own(shard: Shard, epoch: Epoch, keyspace: Keyspace, holders: Vec<Node>) -> Event {
    let pool = pool();
    Event::Grant {
        pool,
        shard,
        epoch,
        keyspace,
        holders,
    }
}

pub fn begin(shard: Shard, key: Key, path: u64, request: Request, deadline: Duration) -> Event {
    let fingerprint = Fingerprint::new(path);
    Event::Begin {
        shard,
        key,
        fingerprint,
        request,
        deadline,
    }
}
