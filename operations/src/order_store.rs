//! The file that stores a daemon's orders for the next process.
//!
//! ```text
//! sloeline-orders 1 LENGTH BLAKE3\n        the format's version, the body's bytes, and their BLAKE3 hash in hex
//! JSON                                     `StoredOrders`
//! ```
//!
//! The file is written under a temporary name, synced and renamed. The previous file is kept as `FILE.before`, and is read if
//! the file is missing or corrupt. A file of a later version is never overwritten.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use crate::order_book::StoredOrders;

/// Version of the format that is written. Earlier versions could be read as well.
const VERSION: u32 = 1;
const NAME: &str = "sloeline-orders";
/// Maximum size of the file in bytes: the maximum number of orders, each of maximum length.
const MAX_FILE_BYTES: u64 = 32 << 20;

/// The contents of the store.
#[derive(Debug, PartialEq)]
pub struct StoreContents {
    /// The orders; empty if there is no file.
    pub orders: StoredOrders,
    /// The error in the latest file, if it is corrupt: orders given since the previous file are lost.
    pub corruption: Option<String>,
}

/// A file that stores orders.
#[derive(Clone, Debug)]
pub struct OrderStore {
    path: PathBuf,
}

/// Why a file cannot be read.
#[derive(Debug)]
enum ReadError {
    /// The file does not exist.
    Missing,
    /// The file is incomplete or damaged.
    Corrupt(String),
    /// The file has a later version.
    LaterVersion(String),
}

impl OrderStore {
    /// A store in the file at this path.
    pub fn new(path: PathBuf) -> OrderStore {
        OrderStore { path }
    }

    /// Path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    fn sibling_path(&self, ending: &str) -> PathBuf {
        let mut name = self.path.as_os_str().to_owned();
        name.push(ending);
        PathBuf::from(name)
    }

    /// Reads the orders. Fails, with one line, if no file can be read or the file has a later version: a daemon must not start
    /// without the orders in force.
    pub fn read(&self) -> Result<StoreContents, String> {
        let before = self.sibling_path(".before");
        let corruption = match read(&self.path) {
            Ok(orders) => return Ok(StoreContents { orders, corruption: None }),
            Err(ReadError::LaterVersion(why)) => return Err(why),
            Err(ReadError::Corrupt(why)) => Some(why),
            Err(ReadError::Missing) => None,
        };
        match (read(&before), corruption) {
            // A crash between the two renames, or the latest file is corrupt.
            (Ok(orders), corruption) => Ok(StoreContents { orders, corruption }),
            (Err(ReadError::Missing), None) => {
                Ok(StoreContents { orders: StoredOrders::default(), corruption: None })
            }
            (Err(ReadError::Missing), Some(why)) => Err(why),
            (Err(ReadError::Corrupt(why) | ReadError::LaterVersion(why)), None) => Err(why),
            (Err(ReadError::Corrupt(also) | ReadError::LaterVersion(also)), Some(why)) => {
                Err(format!("{why}; {also}"))
            }
        }
    }

    /// Writes the orders. Once this returns, they survive a crash of the process or the machine.
    pub fn write(&self, written: &StoredOrders) -> Result<(), String> {
        let named = |e: io::Error| format!("{}: {e}", self.path.display());
        let body = serde_json::to_vec(written).map_err(|e| named(e.into()))?;
        let head = format!("{NAME} {VERSION} {} {}\n", body.len(), blake3::hash(&body).to_hex());
        let sibling_path = self.sibling_path(&format!(".{}.new", std::process::id()));
        let write = || {
            let mut options = OpenOptions::new();
            let mut file = options.write(true).create(true).truncate(true).mode(0o600).open(&sibling_path)?;
            file.write_all(head.as_bytes())?;
            file.write_all(&body)?;
            // After a failed sync, the previous file stays in place.
            file.sync_all()?;
            // A corrupt file must not replace a good previous one.
            if read(&self.path).is_ok() {
                std::fs::rename(&self.path, self.sibling_path(".before"))?;
            }
            std::fs::rename(&sibling_path, &self.path)?;
            let folder = self.path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
            File::open(folder)?.sync_all()
        };
        write().map_err(|e| {
            let _ = std::fs::remove_file(&sibling_path);
            named(e)
        })
    }
}

fn read(path: &Path) -> Result<StoredOrders, ReadError> {
    let named = |why: String| format!("{}: {why}", path.display());
    let size = match std::fs::metadata(path) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Err(ReadError::Missing),
        Err(e) => return Err(ReadError::Corrupt(named(e.to_string()))),
        Ok(found) => found.len(),
    };
    if size > MAX_FILE_BYTES {
        return Err(ReadError::Corrupt(named(format!(
            "found {size} bytes, expected at most {MAX_FILE_BYTES}"
        ))));
    }
    let text = std::fs::read(path).map_err(|e| ReadError::Corrupt(named(e.to_string())))?;
    parse(&text).map_err(|bad| match bad {
        ReadError::Missing => ReadError::Missing,
        ReadError::Corrupt(why) => ReadError::Corrupt(named(why)),
        ReadError::LaterVersion(why) => ReadError::LaterVersion(named(why)),
    })
}

fn parse(text: &[u8]) -> Result<StoredOrders, ReadError> {
    let corrupt = |why: &str| ReadError::Corrupt(why.to_owned());
    let end = text.iter().position(|b| *b == b'\n').ok_or_else(|| corrupt("found no first line"))?;
    let head =
        std::str::from_utf8(&text[..end]).map_err(|_| corrupt("found a first line that is no text"))?;
    let mut words = head.split(' ');
    if words.next() != Some(NAME) {
        return Err(ReadError::Corrupt(format!(
            "found no file of orders, expected its first line to begin with {NAME}"
        )));
    }
    match words.next().and_then(|w| w.parse::<u32>().ok()) {
        Some(1..=VERSION) => {}
        Some(version) if version > VERSION => {
            return Err(ReadError::LaterVersion(format!(
                "found version {version}, expected at most {VERSION}"
            )));
        }
        _ => return Err(corrupt("found no version")),
    }
    let body = &text[end + 1..];
    if words.next().and_then(|w| w.parse::<usize>().ok()) != Some(body.len()) {
        return Err(ReadError::Corrupt(format!("found {} bytes, not as many as it says", body.len())));
    }
    if words.next() != Some(blake3::hash(body).to_hex().as_str()) || words.next().is_some() {
        return Err(corrupt("found bytes that are not those that were written"));
    }
    serde_json::from_slice(body).map_err(|e| ReadError::Corrupt(e.to_string()))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::order_book::{Order, OrderBook, OrderDetails};

    fn folder(name: &str) -> PathBuf {
        let folder = std::env::temp_dir().join(format!("sloeline-ledger-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        folder
    }

    fn books() -> (StoredOrders, StoredOrders) {
        let mut book = OrderBook::default();
        let given = OrderDetails { who: "a".to_owned(), ..OrderDetails::default() };
        book.add(5, Order::Out { node: "n".to_owned(), pool: None }, &given).expect("taken");
        let first = book.to_stored();
        book.add(6, Order::Standby, &given).expect("taken");
        (first, book.to_stored())
    }

    #[test]
    fn a_truncated_or_corrupt_file_is_replaced_by_the_previous_one() {
        let folder = folder("cut");
        let store = OrderStore::new(folder.join("orders"));
        assert_eq!(store.read(), Ok(StoreContents { orders: StoredOrders::default(), corruption: None }));
        let (first, second) = books();
        store.write(&first).expect("written");
        store.write(&second).expect("written");
        assert_eq!(store.read().map(|f| f.orders), Ok(second.clone()));
        let text = std::fs::read(store.path()).expect("a file");
        let bad = (0..text.len()).map(|at| text[..at].to_vec()).chain((0..text.len()).map(|at| {
            let mut text = text.clone();
            text[at] ^= 0x41;
            text
        }));
        for bad in bad {
            std::fs::write(store.path(), &bad).expect("a file");
            match store.read() {
                Ok(found) => assert!(found.orders == first && found.corruption.is_some(), "{found:?}"),
                // A digit of the version may have become a higher one.
                Err(why) => assert!(why.contains("expected at most 1"), "{why}"),
            }
        }
        // A write over a corrupt file keeps the good previous one.
        std::fs::write(store.path(), &text[..9]).expect("a file");
        store.write(&second).expect("written");
        std::fs::remove_file(store.path()).expect("it is there");
        assert_eq!(store.read(), Ok(StoreContents { orders: first, corruption: None }));
        assert_eq!(std::fs::read_dir(&folder).expect("a folder").count(), 1, "something is left beside it");
        std::fs::remove_dir_all(&folder).expect("it goes");
    }

    #[test]
    fn a_file_of_a_later_version_or_that_cannot_be_written_is_left_unchanged() {
        let folder = folder("later");
        let store = OrderStore::new(folder.join("orders"));
        let later = "sloeline-orders 2 0 x\n";
        std::fs::write(store.path(), later).expect("a file");
        assert!(store.read().is_err_and(|why| why.contains("found version 2, expected at most 1")));
        // A corrupt file without a previous one is an error: it must not count as having no orders.
        std::fs::write(store.path(), "sloeline-orders 1 5 x\n{}").expect("a file");
        assert!(store.read().is_err_and(|why| why.contains("not as many as it says")));
        let nowhere = OrderStore::new(folder.join("none").join("orders"));
        assert!(nowhere.write(&books().0).is_err_and(|why| why.contains("orders")));
        std::fs::remove_dir_all(&folder).expect("it goes");
    }
}
