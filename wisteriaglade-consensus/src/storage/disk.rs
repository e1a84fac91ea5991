//! The disk operations that storage needs.
//!
//! [`Directory`](super::Directory) implements them for a file system. Tests use
//! an implementation in memory that injects faults.

use std::io;

/// A flat set of files, identified by name.
///
/// The content of a file is durable only after [`sync`](Self::sync), and the
/// creation, renaming or removal of a file only after
/// [`sync_directory`](Self::sync_directory).
///
/// # Errors
///
/// Every operation returns the error of the operating system.
pub trait Disk {
    /// Returns the names of all files, in any order.
    ///
    /// # Errors
    ///
    /// When the directory cannot be read.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Returns the content of a file.
    ///
    /// # Errors
    ///
    /// When the file is missing or cannot be read.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Writes at the end of a file, creating it when it is missing.
    ///
    /// # Errors
    ///
    /// When the file cannot be created or written completely.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes the content of a file durable.
    ///
    /// # Errors
    ///
    /// When the content may not be durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Truncates a file to a length in bytes.
    ///
    /// # Errors
    ///
    /// When the file is missing or cannot be truncated.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Renames a file, replacing any file that has the new name.
    ///
    /// # Errors
    ///
    /// When the file is missing or cannot be renamed.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// When the file is missing or cannot be removed.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes the creation, renaming and removal of files durable.
    ///
    /// # Errors
    ///
    /// When these changes may not be durable.
    fn sync_directory(&mut self) -> io::Result<()>;
}
