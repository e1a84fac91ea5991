//! Errors in settings files.

use std::{fmt, io};

/// An error in a settings file, or in reading one.
#[derive(Debug)]
pub struct Error {
    file: String,
    /// The path of the field, or `None` when the error concerns the whole
    /// file.
    field: Option<String>,
    detail: String,
}

impl Error {
    /// An error in reading the file.
    pub(crate) fn unreadable(file: &str, error: &io::Error) -> Self {
        Self {
            file: file.to_owned(),
            field: None,
            detail: error.to_string(),
        }
    }

    /// An error in a field. A path of `.` stands for the whole file.
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
