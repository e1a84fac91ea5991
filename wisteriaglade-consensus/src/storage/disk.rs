//! The operations that storage needs from a disk.

use std::io;

/// A flat set of files, identified by name.
///
/// Data counts as durable only after [`sync`](Self::sync), and the name of a
/// new, renamed or removed file only after
/// [`sync_directory`](Self::sync_directory).
///
/// # Errors
///
/// Every operation returns the error of the operating system.
pub trait Disk {
    /// The names of all files, in any order.
    ///
    /// # Errors
    ///
    /// When the directory cannot be read.
    fn list(&self) -> io::Result<Vec<String>>;

    /// The content of a file.
    ///
    /// # Errors
    ///
    /// When the file is missing or cannot be read.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Writes at the end of a file, which is created when it is missing.
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

    /// Cuts a file to a length in bytes.
    ///
    /// # Errors
    ///
    /// When the file is missing or cannot be cut.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Renames a file and replaces the one that has the new name.
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

    /// Makes the names of files durable.
    ///
    /// # Errors
    ///
    /// When the names may not be durable.
    fn sync_directory(&mut self) -> io::Result<()>;
}
