//! The result of a command, as text and as JSON.

use serde_json::Value;

use crate::{Exit, table};

/// The output of a command that was executed.
#[derive(Debug)]
pub(crate) struct Report {
    /// The value that is printed with `--json`.
    pub(crate) json: Value,
    /// The text that is printed without `--json`. It ends with a line break unless it
    /// is empty.
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

    /// A report that prints a value as tables.
    pub(crate) fn table(json: Value) -> Self {
        let text = table::render(&json);
        Self::new(json, text)
    }
}
