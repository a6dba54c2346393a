//! Reads descriptions from a folder on disk.

use std::path::{Path, PathBuf};

use crate::refs::Files;
use crate::tree::MAX_DOCUMENT_BYTES;

/// A folder. Symbolic links that lead out of it are not followed.
pub struct Folder(PathBuf);

impl Folder {
    /// Opens a folder. The error message has one line.
    pub fn new(path: &Path) -> Result<Folder, String> {
        path.canonicalize().map(Folder).map_err(|e| format!("{}: {e}", path.display()))
    }
}

impl Files for Folder {
    fn read(&self, path: &str) -> Result<String, String> {
        let named = |why: String| format!("{path}: {why}");
        // The resolved path is read, so that a link that is replaced after the check has no effect.
        let real = self.0.join(path).canonicalize().map_err(|e| named(e.to_string()))?;
        if !real.starts_with(&self.0) {
            return Err(named("leads out of the folder, expected a file within it".to_owned()));
        }
        let size = std::fs::metadata(&real).map_err(|e| named(e.to_string()))?;
        if !size.is_file() || size.len() > MAX_DOCUMENT_BYTES as u64 {
            return Err(named(format!("found no file of at most {MAX_DOCUMENT_BYTES} bytes")));
        }
        std::fs::read_to_string(&real).map_err(|e| named(e.to_string()))
    }
}
