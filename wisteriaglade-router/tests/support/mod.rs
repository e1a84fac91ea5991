//! Helper functions that the test binaries share.

#![allow(dead_code, reason = "each test binary uses a part")]

use std::time::Duration;

use wisteriaglade_router::{Arrival, Capacity, Event, Finish, Length};
use wisteriaglade_types::{Hash, Name, Request};

pub const MS: Duration = Duration::from_millis(1);

pub fn capacity(slots: u32) -> Capacity {
    Capacity {
        slots,
        connections: 110,
        cold_start: Duration::ZERO,
    }
}

/// Returns the arrival of a short request with a deadline at 1 s.
pub fn arrival(id: u128) -> Arrival {
    Arrival {
        request: Request::new(id),
        member: Name::from("a"),
        caller: Name::from("x"),
        route: 1,
        key: Hash::new(7),
        weight: 1,
        length: Length::Short,
        deadline: 1000 * MS,
    }
}

pub fn finish(id: u128, result: Finish) -> Event {
    let request = Request::new(id);
    Event::Finish { request, result }
}
