//! Newtypes for numeric identifiers.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Defines a newtype for a number, which is displayed like the number.
macro_rules! id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name($inner);

        impl $name {
            /// Wraps a number.
            #[must_use]
            pub const fn new(raw: $inner) -> Self {
                Self(raw)
            }

            /// Returns the wrapped number.
            #[must_use]
            pub const fn get(self) -> $inner {
                self.0
            }

            /// Returns the identifier with the next number.
            ///
            /// # Panics
            ///
            /// Panics on overflow if overflow checks are enabled. Numbers count
            /// up from small values, so no run of the system reaches it.
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
    /// One run of a node process, from its start to its end. The control log
    /// assigns the number and never reuses it, so a restarted process is a new
    /// node.
    Node(u64)
}
id! {
    /// The fencing token of a grant: the index of the log entry that made it.
    Epoch(u64)
}
id! {
    /// A shard: one of the parts into which the keys of a pool are divided.
    Shard(u32)
}
id! {
    /// A position in the control log. The first entry has index 1.
    Index(u64)
}
id! {
    /// A term of the consensus protocol, as in Raft. A term has at most one
    /// leader.
    Term(u64)
}
id! {
    /// A version of the routing rules. Version 0 stands for no rules.
    Version(u64)
}
