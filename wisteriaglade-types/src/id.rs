//! Numbers that identify one thing each.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name($inner);

        impl $name {
            /// Wraps a raw number.
            #[must_use]
            pub const fn new(raw: $inner) -> Self {
                Self(raw)
            }

            /// The raw number.
            #[must_use]
            pub const fn get(self) -> $inner {
                self.0
            }

            /// The number after this one.
            ///
            /// # Panics
            ///
            /// Panics on overflow, which no run of the system reaches.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

id! {
    /// One start of a process. The control log assigns it and never reuses it,
    /// so a restarted process is a new node.
    Node(u64)
}
id! {
    /// The fencing token of a grant: the log index of the entry that made it.
    Epoch(u64)
}
id! {
    /// One of the parts into which the key space of a pool is divided.
    Shard(u32)
}
id! {
    /// A position in the control log. The first entry has index 1.
    Index(u64)
}
id! {
    /// A term of the consensus protocol.
    Term(u64)
}
id! {
    /// A version of the rules. Version 0 has no rules.
    Version(u64)
}
