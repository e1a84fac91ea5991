//! The result of a command in both forms.

use serde_json::Value;

use crate::{Exit, table};

/// What a command prints.
#[derive(Debug)]
pub(crate) struct Report {
    /// One JSON value, for `--json`.
    pub(crate) json: Value,
    /// Text with a final line break, otherwise.
    pub(crate) text: String,
    pub(crate) exit: Exit,
}

impl Report {
    pub(crate) fn new(json: Value, text: String) -> Self {
        Self {
            json,
            text,
            exit: Exit::Done,
        }
    }

    /// A report that prints a value as a table of its fields.
    pub(crate) fn table(json: Value) -> Self {
        let text = table::render(&json);
        Self::new(json, text)
    }
}
