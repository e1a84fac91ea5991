//! Immutable strings with shared storage.

use std::{borrow::Borrow, fmt, ops::Deref, sync::Arc};

use serde::{Deserialize, Serialize};

/// The name of a host, data centre, member, pool or operator.
///
/// Clones share the string, so cloning does not allocate.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Name(Arc<str>);

impl Name {
    /// Returns the name as a string slice.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for Name {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

impl From<String> for Name {
    fn from(text: String) -> Self {
        Self(text.into())
    }
}

impl Deref for Name {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

impl AsRef<str> for Name {
    fn as_ref(&self) -> &str {
        &self.0
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
