//! The file system implementation of [`Disk`].

use std::{
    fs::{self, File, OpenOptions},
    io::{self, Write as _},
    path::{Path, PathBuf},
};

use fs4::fs_std::FileExt as _;

use super::{Disk, Error, Kind, Result};

/// The name of the file whose lock excludes a second process.
const LOCK_FILE: &str = "lock";

/// A directory of the file system, locked against other processes.
#[derive(Debug)]
pub struct Directory {
    path: PathBuf,
    /// The name and the handle of the file that was last written to.
    open: Option<(String, File)>,
    /// Holds the lock until the directory is dropped.
    _lock: File,
}

impl Directory {
    /// Opens and locks a directory, creating it when it is missing.
    ///
    /// # Errors
    ///
    /// [`Kind::Locked`] when another process uses the directory, and
    /// [`Kind::Io`] when the directory cannot be created, opened or locked.
    pub fn open(path: impl Into<PathBuf>) -> Result<Self> {
        let path = path.into();
        let failed = |error| Error::io(LOCK_FILE, "open the data directory", error);
        create(&path).map_err(failed)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK_FILE))
            .map_err(failed)?;
        if !lock.try_lock_exclusive().map_err(failed)? {
            let detail = format!("another process has locked {}", path.display());
            return Err(Error::new(Kind::Locked, LOCK_FILE, detail));
        }
        Ok(Self {
            path,
            open: None,
            _lock: lock,
        })
    }

    /// Returns a file to append to, creating it when it is missing. It stays
    /// open until another file is written to.
    fn open_file(&mut self, name: &str) -> io::Result<&mut File> {
        let file = match self.open.take() {
            Some((open, file)) if open == name => file,
            _ => OpenOptions::new()
                .create(true)
                .append(true)
                .open(self.path.join(name))?,
        };
        Ok(&mut self.open.insert((name.to_owned(), file)).1)
    }
}

impl Disk for Directory {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            if let Ok(name) = entry?.file_name().into_string()
                && name != LOCK_FILE
            {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.open_file(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.open_file(name)?.sync_data()
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.open_file(name)?.set_len(length)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open = None;
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        if self.open.as_ref().is_some_and(|(open, _)| open == name) {
            self.open = None;
        }
        fs::remove_file(self.path.join(name))
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

/// Creates a directory when it is missing and syncs its parent.
fn create(path: &Path) -> io::Result<()> {
    if path.is_dir() {
        return Ok(());
    }
    fs::create_dir_all(path)?;
    match path.parent() {
        Some(parent) if !parent.as_os_str().is_empty() => File::open(parent)?.sync_all(),
        _ => Ok(()),
    }
}
