//! The file in which orders stand, so that a process that starts after another finds them.

use std::io;
use std::path::{Path, PathBuf};

use crate::orders::Orders;

/// Longest file that is read, in bytes: [`crate::orders::MOST_OUT`] identities of the longest form.
const MOST: u64 = 2 << 20;

/// Orders on a disk, as JSON (the fields of [`Orders`]).
pub struct Keep {
    path: PathBuf,
}

impl Keep {
    /// The file of the balancer with this name in a folder.
    pub fn new(folder: &Path, name: &str) -> Keep {
        Keep { path: folder.join(format!("sloeline-{name}.orders.json")) }
    }

    /// What stands there; nothing ordered where there is no file. The error names the file.
    pub fn read(&self) -> Result<Orders, String> {
        let fail = |why: String| format!("{}: {why}", self.path.display());
        match std::fs::metadata(&self.path) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(Orders::default()),
            Ok(file) if file.len() > MOST => {
                return Err(fail(format!("found {} bytes, expected {MOST} at most", file.len())));
            }
            _ => {}
        }
        let text = std::fs::read(&self.path).map_err(|e| fail(e.to_string()))?;
        serde_json::from_slice(&text).map_err(|e| fail(e.to_string()))
    }

    /// Writes them: whole beside the file, then in its place, so that no reader finds a part.
    pub fn write(&self, orders: &Orders) -> Result<(), String> {
        let beside = self.path.with_extension(format!("{}.new", std::process::id()));
        let write = || {
            std::fs::write(&beside, serde_json::to_vec(orders)?)?;
            std::fs::rename(&beside, &self.path)
        };
        write().map_err(|e| format!("{}: {e}", self.path.display()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::orders::Order;

    #[test]
    fn what_is_written_is_read_and_what_is_no_file_of_ours_is_an_error() {
        let folder = std::env::temp_dir().join(format!("sloeline-keep-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let keep = Keep::new(&folder, "n3");
        assert_eq!(keep.read(), Ok(Orders::default()));
        let mut orders = Orders::default();
        orders.take(&Order::TakeOut("s-1".to_owned())).expect("one");
        orders.take(&Order::Standby).expect("one");
        keep.write(&orders).expect("it is written");
        assert_eq!(keep.read(), Ok(orders));
        let path = folder.join("sloeline-n3.orders.json");
        let text = std::fs::read(&path).expect("the file");
        for cut in 0..text.len() {
            std::fs::write(&path, &text[..cut]).expect("a file");
            let why = keep.read().expect_err("it is not whole");
            assert!(why.contains("sloeline-n3.orders.json"), "{why}");
        }
        assert_eq!(std::fs::read_dir(&folder).expect("a folder").count(), 1, "something is left beside it");
        std::fs::remove_dir_all(&folder).expect("it goes");
    }
}
