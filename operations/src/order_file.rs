//! The file that stores the orders in force for the next process.

use std::io;
use std::path::{Path, PathBuf};

use crate::orders::Orders;

/// Maximum size of the file in bytes: [`crate::orders::MAX_IN_MAINTENANCE`] upstream ids of maximum length.
const MAX_FILE_BYTES: u64 = 2 << 20;

/// A file with orders, as JSON (the fields of [`Orders`]).
pub struct OrderFile {
    path: PathBuf,
}

impl OrderFile {
    /// The file in `folder` for the balancer with this name.
    pub fn new(folder: &Path, name: &str) -> OrderFile {
        OrderFile { path: folder.join(format!("sloeline-{name}.orders.json")) }
    }

    /// Reads the orders. A missing file means that there are none. The error names the file.
    pub fn read(&self) -> Result<Orders, String> {
        let fail = |why: String| format!("{}: {why}", self.path.display());
        match std::fs::metadata(&self.path) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(Orders::default()),
            Ok(file) if file.len() > MAX_FILE_BYTES => {
                return Err(fail(format!("found {} bytes, expected {MAX_FILE_BYTES} at most", file.len())));
            }
            _ => {}
        }
        let text = std::fs::read(&self.path).map_err(|e| fail(e.to_string()))?;
        serde_json::from_slice(&text).map_err(|e| fail(e.to_string()))
    }

    /// Writes the orders to a temporary file and renames it, so that no reader finds an incomplete file.
    pub fn write(&self, orders: &Orders) -> Result<(), String> {
        let temporary = self.path.with_extension(format!("{}.new", std::process::id()));
        let write = || {
            std::fs::write(&temporary, serde_json::to_vec(orders)?)?;
            std::fs::rename(&temporary, &self.path)
        };
        write().map_err(|e| format!("{}: {e}", self.path.display()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::orders::Order;

    #[test]
    fn written_orders_are_read_back_and_a_truncated_file_is_an_error() {
        let folder = std::env::temp_dir().join(format!("sloeline-keep-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let file = OrderFile::new(&folder, "n3");
        assert_eq!(file.read(), Ok(Orders::default()));
        let mut orders = Orders::default();
        orders.apply(&Order::EnterMaintenance("s-1".to_owned())).expect("one");
        orders.apply(&Order::Standby).expect("one");
        file.write(&orders).expect("it is written");
        assert_eq!(file.read(), Ok(orders));
        let path = folder.join("sloeline-n3.orders.json");
        let text = std::fs::read(&path).expect("the file");
        for cut in 0..text.len() {
            std::fs::write(&path, &text[..cut]).expect("a file");
            let why = file.read().expect_err("it is not whole");
            assert!(why.contains("sloeline-n3.orders.json"), "{why}");
        }
        assert_eq!(std::fs::read_dir(&folder).expect("a folder").count(), 1, "something is left beside it");
        std::fs::remove_dir_all(&folder).expect("it goes");
    }
}
