//! Request methods and sets of them.

use std::fmt;

use serde::{Serialize, Serializer};

/// A request method that a rule can name.
///
/// Other methods are rejected in a rules file, so that a misspelled one is
/// found by the check and not by a caller.
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
    /// Every method, in the order in which a list of methods is printed.
    pub const ALL: [Self; 7] = [
        Self::Get,
        Self::Head,
        Self::Post,
        Self::Put,
        Self::Patch,
        Self::Delete,
        Self::Options,
    ];

    /// The method with this name. Names are case-sensitive.
    #[must_use]
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|method| method.as_str() == name)
    }

    /// The name in a request line.
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

/// A set of methods.
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
pub struct Methods(u8);

impl Methods {
    /// Whether the set has the method.
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

    /// Adds a method and says whether it was new.
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
