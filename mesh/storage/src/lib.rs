//! Persistent storage of a control-plane machine: one `redb` file with the rows of the state and the durable
//! replication state (promises and views). Each [`Store::write`] is one transaction: after a power loss
//! either all of it or nothing is in the file.
//!
//! Format 2: table `meta` holds the number 2 under the key `format` and a [`DurableState`] as MessagePack
//! under the key `durable`; table `rows` holds the rows of the state unchanged. A new file is created under a
//! temporary name, synced and renamed, and then its folder is synced, so that a file with the final name is
//! always complete.

use std::fmt;
use std::fs::{self, File};
use std::io::ErrorKind;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};

use anyhow::{Context, Result};
use bytes::Bytes;
use redb::{
    Builder, Database, DatabaseError, Durability, ReadableDatabase, ReadableTable, StorageBackend,
    StorageError, TableDefinition, TableError,
};
use sloeline_chain_replication::{DurableState, Write};

/// The table with the format number and the durable state.
const META_TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
/// The table with the rows of the state.
const ROWS_TABLE: TableDefinition<&[u8], &[u8]> = TableDefinition::new("rows");
/// The format number of the files that this version reads and writes.
const FORMAT_VERSION: &[u8] = &[2];
/// Name of the store file within its folder.
const FILE: &str = "signals.redb";
/// Temporary name of a store file while it is created.
const NEW_FILE: &str = "signals.new";
/// Name to which a corrupt store file is moved.
const QUARANTINED_FILE: &str = "signals.doubtful";
/// Size of the page cache in bytes.
const CACHE_BYTES: usize = 8 << 20;

/// An open store file.
pub struct Store {
    /// The open `redb` database.
    database: Database,
}

/// Rows of the state as pairs of key and value.
pub type Rows = Vec<(Bytes, Bytes)>;

/// Whether a store file exists in the folder. A machine whose disk was lost has none.
pub fn exists(folder: &Path) -> Result<bool> {
    folder.join(FILE).try_exists().with_context(|| format!("check for {}", folder.join(FILE).display()))
}

/// Database options that are common to all ways of opening a store.
fn builder() -> Builder {
    let mut builder = Database::builder();
    builder.set_cache_size(CACHE_BYTES);
    builder
}

/// Error: the file exists but holds no valid store, so opening it again cannot succeed. Other errors may be
/// temporary.
#[derive(Debug)]
pub struct StoreCorrupt;

impl fmt::Display for StoreCorrupt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the store file is corrupt")
    }
}

impl std::error::Error for StoreCorrupt {}

/// Error: the store has a different format, written by another release; the field is that format's number.
#[derive(Debug)]
pub struct FormatMismatch(u8);

impl fmt::Display for FormatMismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "format: found {}, expected {}: move the file away to start as a new machine",
            self.0, FORMAT_VERSION[0]
        )
    }
}

impl std::error::Error for FormatMismatch {}

/// Whether an error was caused by a store of a different format.
pub fn is_format_mismatch(error: &anyhow::Error) -> bool {
    error.chain().any(|cause| cause.is::<FormatMismatch>())
}

/// Whether an error was caused by a corrupt store file.
pub fn is_corrupt(error: &anyhow::Error) -> bool {
    let is_corrupted = |e: &StorageError| match e {
        StorageError::Corrupted(_) => true,
        StorageError::Io(e) => matches!(e.kind(), ErrorKind::InvalidData | ErrorKind::UnexpectedEof),
        _ => false,
    };
    error.chain().any(|cause| {
        let storage = cause.downcast_ref::<StorageError>().is_some_and(is_corrupted);
        let opening =
            matches!(cause.downcast_ref::<DatabaseError>(), Some(DatabaseError::Storage(e)) if is_corrupted(e));
        let table =
            matches!(cause.downcast_ref::<TableError>(), Some(e) if !matches!(e, TableError::Storage(_)));
        cause.is::<StoreCorrupt>() || storage || opening || table
    })
}

/// Runs `open` and turns a panic into an error, because `redb` may panic on a corrupt file.
fn catch_panics<T>(open: impl FnOnce() -> Result<T>) -> Result<T> {
    catch_unwind(AssertUnwindSafe(open)).unwrap_or_else(|_| Err(StoreCorrupt.into()))
}

/// Opens or creates the database file at `path`.
fn open(path: &Path) -> Result<Database> {
    catch_panics(|| builder().create(path).with_context(|| format!("open {}", path.display())))
}

/// Renames a corrupt store file so that the next start finds no store. The machine then counts as having lost
/// its disk.
pub fn quarantine(folder: &Path) -> Result<()> {
    fs::rename(folder.join(FILE), folder.join(QUARANTINED_FILE)).context("rename the corrupt store file")?;
    File::open(folder).and_then(|f| f.sync_all()).context("sync the folder")
}

impl Store {
    /// Creates the store file, which must not exist yet.
    pub fn create(folder: &Path, durable: &DurableState) -> Result<Store> {
        fs::create_dir_all(folder).with_context(|| format!("create {}", folder.display()))?;
        let (new, path): (PathBuf, PathBuf) = (folder.join(NEW_FILE), folder.join(FILE));
        match fs::remove_file(&new) {
            Err(e) if e.kind() != ErrorKind::NotFound => {
                return Err(e).context("remove the incomplete store file");
            }
            _ => {}
        }
        let store = Store { database: open(&new)? };
        store.initialize(durable)?;
        drop(store);
        fs::rename(&new, &path).with_context(|| format!("rename to {}", path.display()))?;
        File::open(folder).and_then(|f| f.sync_all()).context("sync the folder")?;
        Ok(Store { database: open(&path)? })
    }

    /// Writes the format number and the first durable state, and creates the tables.
    fn initialize(&self, durable: &DurableState) -> Result<()> {
        let transaction = self.database.begin_write().context("begin the first write transaction")?;
        {
            let mut meta = transaction.open_table(META_TABLE)?;
            meta.insert("format", FORMAT_VERSION)?;
            meta.insert("durable", rmp_serde::to_vec(durable)?.as_slice())?;
            transaction.open_table(ROWS_TABLE)?;
        }
        transaction.commit().context("commit the first write transaction")
    }

    /// Creates a store on a custom storage backend.
    pub fn create_with_backend(backend: impl StorageBackend, durable: &DurableState) -> Result<Store> {
        let store = Store { database: builder().create_with_backend(backend).context("open the backend")? };
        store.initialize(durable)?;
        Ok(store)
    }

    /// Opens a store made by [`create_with_backend`](Store::create_with_backend) and reads its durable state
    /// and all rows.
    pub fn open_with_backend(backend: impl StorageBackend) -> Result<(Store, DurableState, Rows)> {
        catch_panics(|| Store::read(builder().create_with_backend(backend).context("open the backend")?))
    }

    /// Opens the store file and reads its durable state and all rows.
    pub fn open(folder: &Path) -> Result<(Store, DurableState, Rows)> {
        let path = folder.join(FILE);
        catch_panics(|| {
            Store::read(builder().create(&path).with_context(|| format!("open {}", path.display()))?)
        })
    }

    /// Checks the format of an open database and reads its durable state and all rows.
    fn read(database: Database) -> Result<(Store, DurableState, Rows)> {
        let store = Store { database };
        let transaction = store.database.begin_read().context("begin a read transaction")?;
        let meta = transaction.open_table(META_TABLE).context("read the table meta")?;
        let format = meta.get("format")?.map(|v| v.value().to_vec());
        match format.as_deref() {
            Some(format) if format == FORMAT_VERSION => {}
            // The store may hold acknowledged updates, so it is neither read nor moved away.
            Some(&[other]) => return Err(FormatMismatch(other).into()),
            _ => {
                return Err(StoreCorrupt)
                    .with_context(|| format!("format: found {format:?}, expected {FORMAT_VERSION:?}"));
            }
        }
        let durable = meta.get("durable")?.context("durable: found nothing, expected the durable state")?;
        let durable: DurableState =
            rmp_serde::from_slice(durable.value()).context("read the durable state")?;
        let mut rows = Rows::new();
        for row in transaction.open_table(ROWS_TABLE).context("read the table rows")?.iter()? {
            let (key, value) = row?;
            rows.push((Bytes::copy_from_slice(key.value()), Bytes::copy_from_slice(value.value())));
        }
        drop(transaction);
        Ok((store, durable, rows))
    }

    /// Writes all of these in order, as one transaction with one sync. After an error none of them counts as
    /// stored, and the store must be opened again.
    pub fn write(&self, writes: &[Write]) -> Result<()> {
        let Some(last) = writes.last() else { return Ok(()) };
        let mut transaction = self.database.begin_write().context("begin a write transaction")?;
        transaction.set_durability(Durability::Immediate).context("set durability")?;
        {
            let mut meta = transaction.open_table(META_TABLE)?;
            meta.insert("durable", rmp_serde::to_vec(&last.durable)?.as_slice())?;
            let last_replacement = writes.iter().rposition(|w| w.replace_all);
            if last_replacement.is_some() {
                transaction.delete_table(ROWS_TABLE)?;
            }
            let mut rows = transaction.open_table(ROWS_TABLE)?;
            for (key, value) in writes[last_replacement.unwrap_or(0)..].iter().flat_map(|w| &w.rows) {
                match value {
                    Some(value) => rows.insert(key.as_ref(), value.as_ref())?,
                    None => rows.remove(key.as_ref())?,
                };
            }
        }
        transaction.commit().context("commit the write transaction")
    }
}
