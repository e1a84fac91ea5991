//! Loopback addresses for hosts that listen on fixed ports.

use std::{
    net::{Ipv4Addr, TcpListener},
    sync::Mutex,
};

use super::client::Error;

/// The last byte of the address that marks a block as used. No host has it.
const GUARD: u8 = 254;

/// The port on which a block is marked as used.
const GUARD_PORT: u16 = 7946;

/// The last bytes of the addresses that are checked to be free. The first host of
/// every cluster has 1, and no cluster of the tests has more hosts.
const CHECKED: std::ops::RangeInclusive<u8> = 1..=32;

/// The ports on which hosts listen and which are checked to be free.
const CHECKED_PORTS: [u16; 10] = [7600, 7601, 7946, 8080, 8620, 8625, 8628, 8629, 8638, 9090];

/// The number of blocks that are tried.
const ATTEMPTS: usize = 64;

/// The marks of the blocks that this process has reserved. They are kept until
/// the process ends, because the listeners of a cluster are closed some time after
/// the cluster is dropped.
static GUARDS: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());

/// A block of 253 loopback addresses that is reserved for this process, and
/// within it for one cluster, until the process ends.
///
/// Free ports of 127.0.0.1 would not do, because another process could bind a
/// free port before a host does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Block {
    octets: [u8; 2],
}

impl Block {
    /// Reserves an unused block.
    ///
    /// # Errors
    ///
    /// When no unused block is found.
    pub fn reserve() -> Result<Self, Error> {
        let drawn = std::iter::repeat_with(|| {
            let [second, third]: [u8; 2] = rand::random();
            [64 | second & 127, third]
        });
        Self::reserve_first(drawn.take(ATTEMPTS))
    }

    /// Reserves the first unused block of those with these second and third bytes.
    ///
    /// # Errors
    ///
    /// When all of them are used.
    pub fn reserve_first(candidates: impl IntoIterator<Item = [u8; 2]>) -> Result<Self, Error> {
        for octets in candidates {
            let Ok(guard) = TcpListener::bind((address(octets, GUARD), GUARD_PORT)) else {
                continue;
            };
            // Kept also when the block is not free: whoever listens there may be a
            // host that was left by a process that ended without stopping it.
            GUARDS.lock().expect("not poisoned").push(guard);
            if is_free(octets) {
                return Ok(Self { octets });
            }
        }
        Err("no free block of loopback addresses".into())
    }

    /// Returns the address that ends with `last`, from 1 to 253.
    pub fn address(self, last: u8) -> Ipv4Addr {
        address(self.octets, last)
    }
}

/// Whether nothing listens where hosts of the block would.
fn is_free(octets: [u8; 2]) -> bool {
    CHECKED
        .flat_map(|last| CHECKED_PORTS.map(|port| (address(octets, last), port)))
        .all(|host| TcpListener::bind(host).is_ok())
}

fn address([second, third]: [u8; 2], last: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, second, third, last)
}
