//! The file in which a daemon's orders stand, so that the process after it finds them.
//!
//! ```text
//! sloeline-orders 1 LENGTH BLAKE3\n        the format's version, the body's bytes, and their BLAKE3 hash in hex
//! JSON                                     `Written`
//! ```
//!
//! It is written whole beside itself, synced, and put in place; what stood before stays beside it as `FILE.before` and is
//! read where the file is missing or spoilt. A file of a later version is left as it is, and nothing is written over it.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use crate::book::Written;

/// The format that is written; an older one would be read too.
const VERSION: u32 = 1;
const NAME: &str = "sloeline-orders";
/// Longest file that is read: as many orders as may stand or are kept, each of the longest form, in bytes.
const MOST: u64 = 32 << 20;

/// What was found in the place of a ledger.
#[derive(Debug, PartialEq)]
pub struct Found {
    /// The orders; none where there was no file.
    pub written: Written,
    /// What was wrong with a file, if it was: orders since the last good one are lost.
    pub spoilt: Option<String>,
}

/// A file of orders.
#[derive(Clone, Debug)]
pub struct Ledger {
    path: PathBuf,
}

/// Why a file is no ledger.
#[derive(Debug)]
enum Bad {
    /// It isn't there.
    Missing,
    /// It is not whole, or not what it says.
    Spoilt(String),
    /// Another version has written it.
    Later(String),
}

impl Ledger {
    /// The file at a path.
    pub fn new(path: PathBuf) -> Ledger {
        Ledger { path }
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    fn beside(&self, ending: &str) -> PathBuf {
        let mut name = self.path.as_os_str().to_owned();
        name.push(ending);
        PathBuf::from(name)
    }

    /// What stands there. The error is one line, for a file that can't be read or is of a later version: a daemon must not
    /// start as if nothing were ordered.
    pub fn read(&self) -> Result<Found, String> {
        let before = self.beside(".before");
        let spoilt = match read(&self.path) {
            Ok(written) => return Ok(Found { written, spoilt: None }),
            Err(Bad::Later(why)) => return Err(why),
            Err(Bad::Spoilt(why)) => Some(why),
            Err(Bad::Missing) => None,
        };
        match (read(&before), spoilt) {
            // A crash between the two renames, or the latest file is of no use.
            (Ok(written), spoilt) => Ok(Found { written, spoilt }),
            (Err(Bad::Missing), None) => Ok(Found { written: Written::default(), spoilt: None }),
            (Err(Bad::Missing), Some(why)) => Err(why),
            (Err(Bad::Spoilt(why) | Bad::Later(why)), None) => Err(why),
            (Err(Bad::Spoilt(also) | Bad::Later(also)), Some(why)) => Err(format!("{why}; {also}")),
        }
    }

    /// Writes the orders; when it returns they survive a crash of the process and of the machine.
    pub fn write(&self, written: &Written) -> Result<(), String> {
        let named = |e: io::Error| format!("{}: {e}", self.path.display());
        let body = serde_json::to_vec(written).map_err(|e| named(e.into()))?;
        let head = format!("{NAME} {VERSION} {} {}\n", body.len(), blake3::hash(&body).to_hex());
        let beside = self.beside(&format!(".{}.new", std::process::id()));
        let write = || {
            let mut options = OpenOptions::new();
            let mut file = options.write(true).create(true).truncate(true).mode(0o600).open(&beside)?;
            file.write_all(head.as_bytes())?;
            file.write_all(&body)?;
            // A failed sync is believed: the file is left, and the one in place is the one before.
            file.sync_all()?;
            // One that is spoilt takes no good one's place.
            if read(&self.path).is_ok() {
                std::fs::rename(&self.path, self.beside(".before"))?;
            }
            std::fs::rename(&beside, &self.path)?;
            let folder = self.path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
            File::open(folder)?.sync_all()
        };
        write().map_err(|e| {
            let _ = std::fs::remove_file(&beside);
            named(e)
        })
    }
}

fn read(path: &Path) -> Result<Written, Bad> {
    let named = |why: String| format!("{}: {why}", path.display());
    let size = match std::fs::metadata(path) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Err(Bad::Missing),
        Err(e) => return Err(Bad::Spoilt(named(e.to_string()))),
        Ok(found) => found.len(),
    };
    if size > MOST {
        return Err(Bad::Spoilt(named(format!("found {size} bytes, expected at most {MOST}"))));
    }
    let text = std::fs::read(path).map_err(|e| Bad::Spoilt(named(e.to_string())))?;
    parse(&text).map_err(|bad| match bad {
        Bad::Missing => Bad::Missing,
        Bad::Spoilt(why) => Bad::Spoilt(named(why)),
        Bad::Later(why) => Bad::Later(named(why)),
    })
}

fn parse(text: &[u8]) -> Result<Written, Bad> {
    let spoilt = |why: &str| Bad::Spoilt(why.to_owned());
    let end = text.iter().position(|b| *b == b'\n').ok_or_else(|| spoilt("found no first line"))?;
    let head = std::str::from_utf8(&text[..end]).map_err(|_| spoilt("found a first line that is no text"))?;
    let mut words = head.split(' ');
    if words.next() != Some(NAME) {
        return Err(Bad::Spoilt(format!(
            "found no file of orders, expected its first line to begin with {NAME}"
        )));
    }
    match words.next().and_then(|w| w.parse::<u32>().ok()) {
        Some(1..=VERSION) => {}
        Some(version) if version > VERSION => {
            return Err(Bad::Later(format!("found version {version}, expected at most {VERSION}")));
        }
        _ => return Err(spoilt("found no version")),
    }
    let body = &text[end + 1..];
    if words.next().and_then(|w| w.parse::<usize>().ok()) != Some(body.len()) {
        return Err(Bad::Spoilt(format!("found {} bytes, not as many as it says", body.len())));
    }
    if words.next() != Some(blake3::hash(body).to_hex().as_str()) || words.next().is_some() {
        return Err(spoilt("found bytes that are not those that were written"));
    }
    serde_json::from_slice(body).map_err(|e| Bad::Spoilt(e.to_string()))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::book::{Book, Given, Order};

    fn folder(name: &str) -> PathBuf {
        let folder = std::env::temp_dir().join(format!("sloeline-ledger-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        folder
    }

    fn books() -> (Written, Written) {
        let mut book = Book::default();
        let given = Given { who: "a".to_owned(), ..Given::default() };
        book.give(5, Order::Out { node: "n".to_owned(), pool: None }, &given).expect("taken");
        let first = book.written();
        book.give(6, Order::Standby, &given).expect("taken");
        (first, book.written())
    }

    #[test]
    fn a_file_cut_or_spoilt_anywhere_gives_way_to_the_one_before() {
        let folder = folder("cut");
        let ledger = Ledger::new(folder.join("orders"));
        assert_eq!(ledger.read(), Ok(Found { written: Written::default(), spoilt: None }));
        let (first, second) = books();
        ledger.write(&first).expect("written");
        ledger.write(&second).expect("written");
        assert_eq!(ledger.read().map(|f| f.written), Ok(second.clone()));
        let text = std::fs::read(ledger.path()).expect("a file");
        let bad = (0..text.len()).map(|at| text[..at].to_vec()).chain((0..text.len()).map(|at| {
            let mut text = text.clone();
            text[at] ^= 0x41;
            text
        }));
        for bad in bad {
            std::fs::write(ledger.path(), &bad).expect("a file");
            match ledger.read() {
                Ok(found) => assert!(found.written == first && found.spoilt.is_some(), "{found:?}"),
                // A digit of the version may have become a higher one.
                Err(why) => assert!(why.contains("expected at most 1"), "{why}"),
            }
        }
        // Written over one that is spoilt, the good one before stays.
        std::fs::write(ledger.path(), &text[..9]).expect("a file");
        ledger.write(&second).expect("written");
        std::fs::remove_file(ledger.path()).expect("it is there");
        assert_eq!(ledger.read(), Ok(Found { written: first, spoilt: None }));
        assert_eq!(std::fs::read_dir(&folder).expect("a folder").count(), 1, "something is left beside it");
        std::fs::remove_dir_all(&folder).expect("it goes");
    }

    #[test]
    fn one_that_cannot_be_written_or_is_of_a_later_version_stays_as_it_is() {
        let folder = folder("later");
        let ledger = Ledger::new(folder.join("orders"));
        let later = "sloeline-orders 2 0 x\n";
        std::fs::write(ledger.path(), later).expect("a file");
        assert!(ledger.read().is_err_and(|why| why.contains("found version 2, expected at most 1")));
        // Spoilt, with nothing before it: nobody may believe that nothing was ordered.
        std::fs::write(ledger.path(), "sloeline-orders 1 5 x\n{}").expect("a file");
        assert!(ledger.read().is_err_and(|why| why.contains("not as many as it says")));
        let nowhere = Ledger::new(folder.join("none").join("orders"));
        assert!(nowhere.write(&books().0).is_err_and(|why| why.contains("orders")));
        std::fs::remove_dir_all(&folder).expect("it goes");
    }
}
