//! Why settings were refused.

use std::{fmt, io};

/// One problem in a settings file.
#[derive(Debug)]
pub struct Error {
    file: String,
    field: Option<String>,
    detail: String,
}

impl Error {
    pub(crate) fn unreadable(file: &str, error: &io::Error) -> Self {
        Self {
            file: file.to_owned(),
            field: None,
            detail: error.to_string(),
        }
    }

    pub(crate) fn field(file: &str, field: &str, detail: &str) -> Self {
        Self {
            file: file.to_owned(),
            field: Some(field.to_owned()).filter(|field| field != "."),
            detail: detail.to_owned(),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.field {
            Some(field) => write!(f, "{}: field `{field}`: {}", self.file, self.detail),
            None => write!(f, "{}: {}", self.file, self.detail),
        }
    }
}

impl std::error::Error for Error {}
