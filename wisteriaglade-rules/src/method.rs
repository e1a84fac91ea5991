//! HTTP request methods and sets of them.

use std::fmt;

use serde::{Serialize, Serializer};

/// An HTTP request method that a rule can name.
///
/// A rules file with any other method is invalid, so that the check finds a
/// misspelled method before a caller's request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// `GET`
    Get,
    /// `HEAD`
    Head,
    /// `POST`
    Post,
    /// `PUT`
    Put,
    /// `PATCH`
    Patch,
    /// `DELETE`
    Delete,
    /// `OPTIONS`
    Options,
}

impl Method {
    /// Every method, in the order in which [`Methods`] lists them.
    pub const ALL: [Self; 7] = [
        Self::Get,
        Self::Head,
        Self::Post,
        Self::Put,
        Self::Patch,
        Self::Delete,
        Self::Options,
    ];

    /// The method with this name, or `None` for another name. Names are
    /// case-sensitive.
    #[must_use]
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|method| method.as_str() == name)
    }

    /// The name as in a request line, in upper case.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Get => "GET",
            Self::Head => "HEAD",
            Self::Post => "POST",
            Self::Put => "PUT",
            Self::Patch => "PATCH",
            Self::Delete => "DELETE",
            Self::Options => "OPTIONS",
        }
    }
}

impl fmt::Display for Method {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A set of methods, printed and serialized as names with commas between them.
///
/// # Examples
///
/// ```
/// use wisteriaglade_rules::{Method, Methods};
///
/// let methods: Methods = [Method::Head, Method::Get].into_iter().collect();
/// assert_eq!(methods.to_string(), "GET,HEAD");
/// assert!(methods.contains(Method::Get));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Methods(
    /// One bit for each method, at the position of its discriminant.
    u8,
);

impl Methods {
    /// Whether the set contains the method.
    #[must_use]
    pub const fn contains(self, method: Method) -> bool {
        self.0 & (1 << method as u8) != 0
    }

    /// Whether the two sets have a method in common.
    #[must_use]
    pub const fn intersects(self, other: Self) -> bool {
        self.0 & other.0 != 0
    }

    /// The methods of the set, in the order of [`Method::ALL`].
    pub fn iter(self) -> impl Iterator<Item = Method> {
        Method::ALL
            .into_iter()
            .filter(move |method| self.contains(*method))
    }

    /// Adds a method. Returns whether the set did not contain it before.
    pub fn insert(&mut self, method: Method) -> bool {
        let new = !self.contains(method);
        self.0 |= 1 << method as u8;
        new
    }
}

impl FromIterator<Method> for Methods {
    fn from_iter<I: IntoIterator<Item = Method>>(methods: I) -> Self {
        let mut set = Self::default();
        for method in methods {
            set.insert(method);
        }
        set
    }
}

impl fmt::Display for Methods {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, method) in self.iter().enumerate() {
            if position > 0 {
                f.write_str(",")?;
            }
            method.fmt(f)?;
        }
        Ok(())
    }
}

impl Serialize for Methods {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}
