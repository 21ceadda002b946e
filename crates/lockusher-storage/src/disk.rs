//! The file system of the machine.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::PathBuf;

use crate::{FileError, FileSystem};

/// Files of one folder on the disk. Holds at most one of them open.
#[derive(Debug)]
pub struct DiskFileSystem {
    directory: PathBuf,
    open: Option<CachedHandle>,
}

/// The file that was written last.
#[derive(Debug)]
struct CachedHandle {
    name: String,
    file: File,
}

impl DiskFileSystem {
    /// Uses this folder; it is made at the first creation of a file if it doesn't exist.
    pub fn new(directory: PathBuf) -> DiskFileSystem {
        DiskFileSystem { directory, open: None }
    }

    fn path(&self, name: &str) -> PathBuf {
        self.directory.join(name)
    }

    fn open_for_writing(&mut self, name: &str) -> io::Result<&mut File> {
        let reuse = self.open.as_ref().is_some_and(|open| open.name == name);
        if !reuse {
            let file = OpenOptions::new().write(true).open(self.path(name))?;
            return Ok(self.cache_handle(name, file));
        }
        Ok(&mut self.open.as_mut().expect("checked above").file)
    }

    fn cache_handle(&mut self, name: &str, file: File) -> &mut File {
        let open = CachedHandle { name: name.to_owned(), file };
        &mut self.open.insert(open).file
    }

    fn drop_handle(&mut self, name: &str) {
        if self.open.as_ref().is_some_and(|open| open.name == name) {
            self.open = None;
        }
    }
}

impl FileSystem for DiskFileSystem {
    fn list(&mut self) -> Result<Vec<String>, FileError> {
        let entries = match fs::read_dir(&self.directory) {
            Ok(entries) => entries,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
            Err(error) => return Err(error.into()),
        };
        let mut names = Vec::new();
        for entry in entries {
            // Names that aren't text can't be the store's.
            if let Ok(name) = entry?.file_name().into_string() {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn length(&mut self, name: &str) -> Result<u64, FileError> {
        Ok(fs::metadata(self.path(name))?.len())
    }

    fn read(&mut self, name: &str) -> Result<Vec<u8>, FileError> {
        Ok(fs::read(self.path(name))?)
    }

    fn create(&mut self, name: &str) -> Result<(), FileError> {
        if !self.directory.exists() {
            fs::create_dir_all(&self.directory)?;
        }
        let file = OpenOptions::new().write(true).create(true).truncate(true).open(self.path(name))?;
        self.cache_handle(name, file);
        Ok(())
    }

    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> Result<(), FileError> {
        let file = self.open_for_writing(name)?;
        file.seek(SeekFrom::Start(offset))?;
        file.write_all(bytes)?;
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> Result<(), FileError> {
        self.open_for_writing(name)?.set_len(length)?;
        Ok(())
    }

    fn remove(&mut self, name: &str) -> Result<(), FileError> {
        self.drop_handle(name);
        match fs::remove_file(self.path(name)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error.into()),
            _ => Ok(()),
        }
    }

    fn sync_file(&mut self, name: &str) -> Result<(), FileError> {
        self.open_for_writing(name)?.sync_data()?;
        Ok(())
    }

    fn sync_directory(&mut self) -> Result<(), FileError> {
        File::open(&self.directory)?.sync_all()?;
        Ok(())
    }
}
