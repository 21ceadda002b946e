//! [`FileSystem`] over a directory of the operating system's file system.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use crate::error::{FileError, FileOperation};
use crate::file_system::FileSystem;

/// Files of one directory. Caches the handle of the file that was written last, and no other.
#[derive(Debug)]
pub struct DiskFileSystem {
    directory: PathBuf,
    cached: Option<CachedHandle>,
}

#[derive(Debug)]
struct CachedHandle {
    name: String,
    file: File,
}

impl DiskFileSystem {
    /// Uses `directory`, which is created together with its first file if it doesn't exist.
    pub fn new(directory: PathBuf) -> DiskFileSystem {
        DiskFileSystem {
            directory,
            cached: None,
        }
    }

    fn path(&self, name: &str) -> PathBuf {
        self.directory.join(name)
    }

    fn open_for_writing(&mut self, name: &str) -> io::Result<&mut File> {
        let is_cached = self
            .cached
            .as_ref()
            .is_some_and(|cached| cached.name == name);
        if !is_cached {
            let file = OpenOptions::new().write(true).open(self.path(name))?;
            return Ok(self.cache_handle(name, file));
        }
        Ok(&mut self.cached.as_mut().expect("a handle is cached").file)
    }

    fn cache_handle(&mut self, name: &str, file: File) -> &mut File {
        let handle = CachedHandle {
            name: name.to_owned(),
            file,
        };
        &mut self.cached.insert(handle).file
    }

    fn drop_handle(&mut self, name: &str) {
        if self
            .cached
            .as_ref()
            .is_some_and(|cached| cached.name == name)
        {
            self.cached = None;
        }
    }

    /// Adds the operation and the path of the file to an error.
    fn with_context<T>(
        &self,
        operation: FileOperation,
        name: &str,
        result: io::Result<T>,
    ) -> Result<T, FileError> {
        result.map_err(|error| file_error(operation, &self.path(name), error))
    }

    fn create_file(&mut self, name: &str) -> io::Result<()> {
        if !self.directory.exists() {
            fs::create_dir_all(&self.directory)?;
        }
        let file = OpenOptions::new()
            .write(true)
            .create(true)
            .truncate(true)
            .open(self.path(name))?;
        self.cache_handle(name, file);
        Ok(())
    }

    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let file = self.open_for_writing(name)?;
        file.seek(SeekFrom::Start(offset))?;
        file.write_all(bytes)
    }
}

impl FileSystem for DiskFileSystem {
    fn list(&mut self) -> Result<Vec<String>, FileError> {
        list_names(&self.directory)
            .map_err(|error| file_error(FileOperation::List, &self.directory, error))
    }

    fn length(&mut self, name: &str) -> Result<u64, FileError> {
        let metadata = fs::metadata(self.path(name));
        Ok(self
            .with_context(FileOperation::Length, name, metadata)?
            .len())
    }

    fn read(&mut self, name: &str) -> Result<Vec<u8>, FileError> {
        self.with_context(FileOperation::Read, name, fs::read(self.path(name)))
    }

    fn create(&mut self, name: &str) -> Result<(), FileError> {
        let created = self.create_file(name);
        self.with_context(FileOperation::Create, name, created)
    }

    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> Result<(), FileError> {
        let written = self.write_at(name, offset, bytes);
        self.with_context(FileOperation::Write, name, written)
    }

    fn truncate(&mut self, name: &str, length: u64) -> Result<(), FileError> {
        let truncated = self
            .open_for_writing(name)
            .and_then(|file| file.set_len(length));
        self.with_context(FileOperation::Truncate, name, truncated)
    }

    fn remove(&mut self, name: &str) -> Result<(), FileError> {
        self.drop_handle(name);
        match fs::remove_file(self.path(name)) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
            removed => self.with_context(FileOperation::Remove, name, removed),
        }
    }

    fn sync_file(&mut self, name: &str) -> Result<(), FileError> {
        let synced = self
            .open_for_writing(name)
            .and_then(|file| file.sync_data());
        self.with_context(FileOperation::SyncFile, name, synced)
    }

    fn sync_directory(&mut self) -> Result<(), FileError> {
        File::open(&self.directory)
            .and_then(|directory| directory.sync_all())
            .map_err(|error| file_error(FileOperation::SyncDirectory, &self.directory, error))
    }
}

/// Names of the entries of a directory; empty if the directory doesn't exist.
fn list_names(directory: &Path) -> io::Result<Vec<String>> {
    let entries = match fs::read_dir(directory) {
        Ok(entries) => entries,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(error) => return Err(error),
    };
    let mut names = Vec::new();
    for entry in entries {
        // The store's own file names are ASCII: a name that isn't valid UTF-8 is foreign and skipped.
        if let Ok(name) = entry?.file_name().into_string() {
            names.push(name);
        }
    }
    Ok(names)
}

fn file_error(operation: FileOperation, path: &Path, error: io::Error) -> FileError {
    FileError {
        operation,
        path: path.to_owned(),
        cause: error.into(),
    }
}
