//! What a core machine keeps on disk: one `redb` file with the rows of the state and what must not be forgotten of
//! promises and views. Each [`Store::write`] is one transaction: all of it is there after a loss of power, or nothing.
//!
//! Format 2: table `meta` holds under `format` the number 2 and under `durable` a [`DurableState`] as MessagePack; table `rows` holds
//! the state's rows as they are. A file is made under another name, synced, renamed and its folder synced, so that a file
//! of this name is never half made.

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

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const ROWS: TableDefinition<&[u8], &[u8]> = TableDefinition::new("rows");
const FORMAT: &[u8] = &[2];
const FILE: &str = "signals.redb";
const NEW: &str = "signals.new";
const DOUBTFUL: &str = "signals.doubtful";
/// Memory for pages of the file.
const CACHE: usize = 8 << 20;

/// An open file.
pub struct Store {
    database: Database,
}

/// Rows of the state: keys and values.
pub type Rows = Vec<(Bytes, Bytes)>;

/// Whether a store is there. A disk that was lost has none.
pub fn exists(folder: &Path) -> Result<bool> {
    folder.join(FILE).try_exists().with_context(|| format!("look for {}", folder.join(FILE).display()))
}

fn builder() -> Builder {
    let mut builder = Database::builder();
    builder.set_cache_size(CACHE);
    builder
}

/// The file is there and holds no store: to open it again will not help. Everything else that goes wrong may pass.
#[derive(Debug)]
pub struct StoreCorrupt;

impl fmt::Display for StoreCorrupt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the file is spoilt")
    }
}

impl std::error::Error for StoreCorrupt {}

/// The file is a store of another format, made by another release.
#[derive(Debug)]
pub struct FormatMismatch(u8);

impl fmt::Display for FormatMismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "format: found {}, expected {}: move the file away to start as a new machine",
            self.0, FORMAT[0]
        )
    }
}

impl std::error::Error for FormatMismatch {}

/// Whether an error says that the store is of another format.
pub fn is_format_mismatch(why: &anyhow::Error) -> bool {
    why.chain().any(|cause| cause.is::<FormatMismatch>())
}

/// Whether an error says that the file is spoilt.
pub fn is_corrupt(why: &anyhow::Error) -> bool {
    let corrupted = |e: &StorageError| match e {
        StorageError::Corrupted(_) => true,
        StorageError::Io(e) => matches!(e.kind(), ErrorKind::InvalidData | ErrorKind::UnexpectedEof),
        _ => false,
    };
    why.chain().any(|cause| {
        let storage = cause.downcast_ref::<StorageError>().is_some_and(corrupted);
        let opening =
            matches!(cause.downcast_ref::<DatabaseError>(), Some(DatabaseError::Storage(e)) if corrupted(e));
        let table =
            matches!(cause.downcast_ref::<TableError>(), Some(e) if !matches!(e, TableError::Storage(_)));
        cause.is::<StoreCorrupt>() || storage || opening || table
    })
}

/// What a spoilt file makes of the library is an error here as well, be it a panic.
fn guarded<T>(open: impl FnOnce() -> Result<T>) -> Result<T> {
    catch_unwind(AssertUnwindSafe(open)).unwrap_or_else(|_| Err(StoreCorrupt.into()))
}

fn open(path: &Path) -> Result<Database> {
    guarded(|| builder().create(path).with_context(|| format!("open {}", path.display())))
}

/// Sets a file aside that does not open: this disk is as good as lost, and the next start finds none.
pub fn quarantine(folder: &Path) -> Result<()> {
    fs::rename(folder.join(FILE), folder.join(DOUBTFUL)).context("set the spoilt file aside")?;
    File::open(folder).and_then(|f| f.sync_all()).context("sync the folder")
}

impl Store {
    /// Makes the file, which must not be there.
    pub fn create(folder: &Path, durable: &DurableState) -> Result<Store> {
        fs::create_dir_all(folder).with_context(|| format!("make {}", folder.display()))?;
        let (new, path): (PathBuf, PathBuf) = (folder.join(NEW), folder.join(FILE));
        match fs::remove_file(&new) {
            Err(e) if e.kind() != ErrorKind::NotFound => return Err(e).context("remove what was half made"),
            _ => {}
        }
        let store = Store { database: open(&new)? };
        store.begin(durable)?;
        drop(store);
        fs::rename(&new, &path).with_context(|| format!("rename to {}", path.display()))?;
        File::open(folder).and_then(|f| f.sync_all()).context("sync the folder")?;
        Ok(Store { database: open(&path)? })
    }

    fn begin(&self, durable: &DurableState) -> Result<()> {
        let transaction = self.database.begin_write().context("begin the first write")?;
        {
            let mut meta = transaction.open_table(META)?;
            meta.insert("format", FORMAT)?;
            meta.insert("durable", rmp_serde::to_vec(durable)?.as_slice())?;
            transaction.open_table(ROWS)?;
        }
        transaction.commit().context("commit the first write")
    }

    /// A new store on something else than a file.
    pub fn create_with_backend(backend: impl StorageBackend, durable: &DurableState) -> Result<Store> {
        let store = Store { database: builder().create_with_backend(backend).context("open the backend")? };
        store.begin(durable)?;
        Ok(store)
    }

    /// Opens what [`create_with_backend`](Store::create_with_backend) made and reads all of it.
    pub fn open_with_backend(backend: impl StorageBackend) -> Result<(Store, DurableState, Rows)> {
        guarded(|| Store::read(builder().create_with_backend(backend).context("open the backend")?))
    }

    /// Opens the file and reads all of it.
    pub fn open(folder: &Path) -> Result<(Store, DurableState, Rows)> {
        let path = folder.join(FILE);
        guarded(|| Store::read(builder().create(&path).with_context(|| format!("open {}", path.display()))?))
    }

    fn read(database: Database) -> Result<(Store, DurableState, Rows)> {
        let store = Store { database };
        let transaction = store.database.begin_read().context("begin to read")?;
        let meta = transaction.open_table(META).context("read the table meta")?;
        let format = meta.get("format")?.map(|v| v.value().to_vec());
        match format.as_deref() {
            Some(format) if format == FORMAT => {}
            // It may hold what was acknowledged: it is neither read nor set aside.
            Some(&[other]) => return Err(FormatMismatch(other).into()),
            _ => {
                return Err(StoreCorrupt)
                    .with_context(|| format!("format: found {format:?}, expected {FORMAT:?}"));
            }
        }
        let durable = meta
            .get("durable")?
            .context("durable: found nothing, expected what this machine has promised")?;
        let durable: DurableState =
            rmp_serde::from_slice(durable.value()).context("read the durable state")?;
        let mut rows = Rows::new();
        for row in transaction.open_table(ROWS).context("read the table rows")?.iter()? {
            let (key, value) = row?;
            rows.push((Bytes::copy_from_slice(key.value()), Bytes::copy_from_slice(value.value())));
        }
        drop(transaction);
        Ok((store, durable, rows))
    }

    /// Writes all of these, in order, and syncs once. With an error nothing of them counts as kept, and the store is to be
    /// opened anew.
    pub fn write(&self, writes: &[Write]) -> Result<()> {
        let Some(last) = writes.last() else { return Ok(()) };
        let mut transaction = self.database.begin_write().context("begin to write")?;
        transaction.set_durability(Durability::Immediate).context("set durability")?;
        {
            let mut meta = transaction.open_table(META)?;
            meta.insert("durable", rmp_serde::to_vec(&last.durable)?.as_slice())?;
            let from = writes.iter().rposition(|w| w.replace_all);
            if from.is_some() {
                transaction.delete_table(ROWS)?;
            }
            let mut rows = transaction.open_table(ROWS)?;
            for (key, value) in writes[from.unwrap_or(0)..].iter().flat_map(|w| &w.rows) {
                match value {
                    Some(value) => rows.insert(key.as_ref(), value.as_ref())?,
                    None => rows.remove(key.as_ref())?,
                };
            }
        }
        transaction.commit().context("commit")
    }
}
