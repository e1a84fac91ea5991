//! A disk in memory that loses unsynced data in a crash and injects failures.

use std::{cell::RefCell, collections::BTreeMap, io, rc::Rc};

use rand::{RngExt as _, rngs::StdRng};
use wisteriaglade_consensus::storage::Disk;

/// A file with its current content and the content at its last sync.
#[derive(Debug, Clone, Default)]
struct File {
    bytes: Vec<u8>,
    synced: Vec<u8>,
}

#[derive(Debug, Default)]
struct State {
    files: Vec<File>,
    /// The position in `files` of each name.
    names: BTreeMap<String, usize>,
    /// The names at the last sync of the directory.
    synced_names: BTreeMap<String, usize>,
    /// The number of operations that may fail and were called.
    operations: usize,
    /// The number of operations after which the next one fails.
    fail_at: Option<usize>,
}

/// A handle to a disk in memory. Clones share the files.
#[derive(Debug, Clone, Default)]
pub struct MemoryDisk(Rc<RefCell<State>>);

impl MemoryDisk {
    /// Makes one operation fail after `operations` successful ones, counted
    /// from now. Later ones succeed again.
    pub fn fail_after(&self, operations: usize) {
        let mut state = self.0.borrow_mut();
        state.fail_at = Some(state.operations + operations);
    }

    /// Discards unsynced data and names, except for a random part of them.
    pub fn crash(&self, random: &mut StdRng) {
        let mut state = self.0.borrow_mut();
        state.fail_at = None;
        if random.random_bool(0.5) {
            state.names = state.synced_names.clone();
        }
        state.synced_names = state.names.clone();
        for file in &mut state.files {
            if file.bytes.starts_with(&file.synced) {
                let kept = random.random_range(file.synced.len()..=file.bytes.len());
                file.bytes.truncate(kept);
            } else {
                file.bytes = file.synced.clone();
            }
            file.synced = file.bytes.clone();
        }
    }

    /// Changes the content of a file, synced or not, without storage noticing.
    pub fn edit(&self, name: &str, edit: impl FnOnce(&mut Vec<u8>)) {
        let mut state = self.0.borrow_mut();
        let file = state.names[name];
        edit(&mut state.files[file].bytes);
    }

    /// Returns an independent copy of the files.
    pub fn copy(&self) -> Self {
        let state = self.0.borrow();
        Self(Rc::new(RefCell::new(State {
            files: state.files.clone(),
            names: state.names.clone(),
            synced_names: state.synced_names.clone(),
            ..State::default()
        })))
    }

    /// Counts an operation and returns the injected failure when it is due.
    fn count(&self) -> io::Result<std::cell::RefMut<'_, State>> {
        let mut state = self.0.borrow_mut();
        state.operations += 1;
        if state.fail_at.is_some_and(|at| state.operations > at) {
            state.fail_at = None;
            return Err(io::Error::other("injected failure"));
        }
        Ok(state)
    }
}

impl State {
    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let file = self.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(&mut self.files[*file])
    }
}

impl Disk for MemoryDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.0.borrow().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        Ok(self.0.borrow_mut().file(name)?.bytes.clone())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let half = self.count().map(drop);
        let mut state = self.0.borrow_mut();
        if !state.names.contains_key(name) {
            state.files.push(File::default());
            let file = state.files.len() - 1;
            state.names.insert(name.to_owned(), file);
        }
        let written = match half {
            Ok(()) => bytes,
            Err(_) => &bytes[..bytes.len() / 2],
        };
        state.file(name)?.bytes.extend_from_slice(written);
        half
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.count()?;
        let file = state.file(name)?;
        file.synced = file.bytes.clone();
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let length = usize::try_from(length).expect("a small file");
        self.count()?.file(name)?.bytes.truncate(length);
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.count()?;
        let file = state.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        state.names.insert(to.to_owned(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.count()?;
        state.names.remove(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(())
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        let mut state = self.count()?;
        state.synced_names = state.names.clone();
        Ok(())
    }
}
