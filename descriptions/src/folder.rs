//! A folder of descriptions on disk.

use std::path::{Path, PathBuf};

use crate::refs::Files;
use crate::tree::MOST_BYTES;

/// A folder; links that lead out of it are not followed.
pub struct Folder(PathBuf);

impl Folder {
    /// This folder; the error is one line.
    pub fn new(path: &Path) -> Result<Folder, String> {
        path.canonicalize().map(Folder).map_err(|e| format!("{}: {e}", path.display()))
    }
}

impl Files for Folder {
    fn read(&self, path: &str) -> Result<String, String> {
        let named = |why: String| format!("{path}: {why}");
        // Read by the name that was checked: a link that is exchanged in between is read as what it was.
        let real = self.0.join(path).canonicalize().map_err(|e| named(e.to_string()))?;
        if !real.starts_with(&self.0) {
            return Err(named("leads out of the folder, expected a file within it".to_owned()));
        }
        let size = std::fs::metadata(&real).map_err(|e| named(e.to_string()))?;
        if !size.is_file() || size.len() > MOST_BYTES as u64 {
            return Err(named(format!("found no file of at most {MOST_BYTES} bytes")));
        }
        std::fs::read_to_string(&real).map_err(|e| named(e.to_string()))
    }
}
