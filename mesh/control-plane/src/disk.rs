//! Disk writes in a separate thread. All writes that arrive while a transaction is synced are combined in the next
//! transaction.

use std::path::PathBuf;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

use anyhow::{Context, Result};
use sloeline_chain_replication::{DurableState, Rows, Write};
use sloeline_storage::Store;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Maximum number of writes in one transaction.
const MAX_BATCH_WRITES: usize = 1024;
/// Pause between attempts to reopen a store whose writes fail.
const REOPEN_PAUSE: Duration = Duration::from_millis(250);

/// An event that the disk thread reports.
pub enum DiskEvent {
    /// All writes up to the one with this token are synced.
    Synced(u64),
    /// Writing fails, for the given reason. Writes not reported as synced may or may not be on disk.
    Failed(String),
    /// The store was opened again and accepts writes. Contains the state read from it.
    Reopened(Box<DurableState>, Rows),
}

/// A write for one opening of the store. Writes for an earlier opening are dropped.
pub struct DiskWrite {
    /// How often the store was reopened before this write, counted from 0.
    pub generation: u64,
    /// The write to execute.
    pub write: Write,
}

/// Handle to the disk thread.
pub struct Disk {
    /// Sends writes to the disk thread.
    writes: Sender<DiskWrite>,
    /// Receives the events of the disk thread.
    events: UnboundedReceiver<DiskEvent>,
}

impl Disk {
    /// Starts the disk thread with an open store in `folder`.
    pub fn start(store: Store, folder: PathBuf) -> Result<Disk> {
        let (writes, write_receiver) = channel();
        let (event_sender, events) = unbounded_channel();
        thread::Builder::new()
            .name("disk".to_owned())
            .stack_size(512 << 10)
            .spawn(move || run_disk_thread(store, &folder, &write_receiver, &event_sender))
            .context("start the disk thread")?;
        Ok(Disk { writes, events })
    }

    /// Returns the sender of writes and the receiver of events.
    pub fn split(self) -> (Sender<DiskWrite>, UnboundedReceiver<DiskEvent>) {
        (self.writes, self.events)
    }
}

/// Executes writes until the sender of writes or the receiver of events is dropped.
fn run_disk_thread(
    mut store: Store,
    folder: &std::path::Path,
    writes: &Receiver<DiskWrite>,
    events: &UnboundedSender<DiskEvent>,
) {
    let mut generation = 0;
    while let Ok(first) = writes.recv() {
        let received = std::iter::once(first).chain(writes.try_iter().take(MAX_BATCH_WRITES - 1));
        let batch: Vec<Write> = received
            .filter(|disk_write| disk_write.generation == generation)
            .map(|disk_write| disk_write.write)
            .collect();
        let Some(last) = batch.last().map(|write| write.token) else { continue };
        let sent = match store.write(&batch) {
            Ok(()) => events.send(DiskEvent::Synced(last)),
            Err(error) => {
                let _ = events.send(DiskEvent::Failed(format!("{error:#}")));
                // After a failed write the state of the store is unknown. Reopen it and report what is on disk.
                drop(store);
                let (reopened, durable, rows) = loop {
                    thread::sleep(REOPEN_PAUSE);
                    if let Ok((reopened, durable, rows)) = Store::open(folder)
                        && reopened.write(&[empty_write(&durable)]).is_ok()
                    {
                        break (reopened, durable, rows);
                    }
                };
                store = reopened;
                generation += 1;
                events.send(DiskEvent::Reopened(Box::new(durable), rows.into_iter().collect()))
            }
        };
        if sent.is_err() {
            return;
        }
    }
}

/// Returns a write that changes nothing, to test whether the disk accepts writes.
fn empty_write(durable: &DurableState) -> Write {
    Write { token: 0, durable: durable.clone(), rows: Vec::new(), replace_all: false }
}
