//! Loopback addresses for hosts that listen on fixed ports.

use std::{
    net::{Ipv4Addr, TcpListener},
    sync::Arc,
};

use super::client::Error;

/// The last byte of the address that marks a block as used. No host has it.
const GUARD: u8 = 254;

/// The port on which a block is marked as used.
const GUARD_PORT: u16 = 7946;

/// A block of 253 loopback addresses which no other process and no other block of
/// this process uses while a copy of it exists.
///
/// Free ports of 127.0.0.1 would not do, because another process could bind a
/// free port before a host does.
#[derive(Debug, Clone)]
pub struct Block {
    octets: [u8; 2],
    _guard: Arc<TcpListener>,
}

impl Block {
    /// Reserves an unused block.
    ///
    /// # Errors
    ///
    /// When no unused block is found.
    pub fn reserve() -> Result<Self, Error> {
        for _ in 0..64 {
            let [second, third]: [u8; 2] = rand::random();
            let octets = [64 | second & 127, third];
            if let Ok(guard) = TcpListener::bind((address(octets, GUARD), GUARD_PORT)) {
                return Ok(Self {
                    octets,
                    _guard: Arc::new(guard),
                });
            }
        }
        Err("no free block of loopback addresses".into())
    }

    /// Returns the address that ends with `last`, from 1 to 253.
    pub fn address(&self, last: u8) -> Ipv4Addr {
        address(self.octets, last)
    }
}

fn address([second, third]: [u8; 2], last: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, second, third, last)
}
