//! The disk in a thread of its own: what waits while it syncs goes into the next transaction together.

use std::path::PathBuf;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

use anyhow::{Context, Result};
use sloeline_chain_replication::{DurableState, Rows, Write};
use sloeline_storage::Store;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Most writes of one transaction.
const MOST_TOGETHER: usize = 1024;
/// Pause between tries to open a disk that takes no writes.
const PAUSE: Duration = Duration::from_millis(250);

/// What the disk tells.
pub enum DiskEvent {
    /// All up to this write is synced.
    Written(u64),
    /// It takes no writes. What was not told as written may be there or not.
    Failed(String),
    /// It takes writes again; this is what it holds.
    Reopened(Box<DurableState>, Rows),
}

/// A write for the store as it was opened for the how-manieth time: what was meant for an earlier one is dropped.
pub struct Order {
    /// Counts from 0.
    pub opened: u64,
    /// The write.
    pub write: Write,
}

/// The near end of the thread.
pub struct Disk {
    writes: Sender<Order>,
    events: UnboundedReceiver<DiskEvent>,
}

impl Disk {
    /// Starts the thread with an open store.
    pub fn start(store: Store, folder: PathBuf) -> Result<Disk> {
        let (writes, come) = channel();
        let (tell, events) = unbounded_channel();
        thread::Builder::new()
            .name("disk".to_owned())
            .stack_size(512 << 10)
            .spawn(move || work(store, &folder, &come, &tell))
            .context("start the thread of the disk")?;
        Ok(Disk { writes, events })
    }

    /// The two ends apart.
    pub fn split(self) -> (Sender<Order>, UnboundedReceiver<DiskEvent>) {
        (self.writes, self.events)
    }
}

fn work(
    mut store: Store,
    folder: &std::path::Path,
    come: &Receiver<Order>,
    tell: &UnboundedSender<DiskEvent>,
) {
    let mut opened = 0;
    while let Ok(first) = come.recv() {
        let orders = std::iter::once(first).chain(come.try_iter().take(MOST_TOGETHER - 1));
        let together: Vec<Write> = orders.filter(|o| o.opened == opened).map(|o| o.write).collect();
        let Some(last) = together.last().map(|w| w.token) else { continue };
        let sent = match store.write(&together) {
            Ok(()) => tell.send(DiskEvent::Written(last)),
            Err(why) => {
                let _ = tell.send(DiskEvent::Failed(format!("{why:#}")));
                // A store that has failed once is not to be trusted: open another, and tell what is really there.
                drop(store);
                let (again, durable, rows) = loop {
                    thread::sleep(PAUSE);
                    if let Ok((again, durable, rows)) = Store::open(folder)
                        && again.write(&[empty(&durable)]).is_ok()
                    {
                        break (again, durable, rows);
                    }
                };
                store = again;
                opened += 1;
                tell.send(DiskEvent::Reopened(Box::new(durable), rows.into_iter().collect()))
            }
        };
        if sent.is_err() {
            return;
        }
    }
}

/// A write that changes nothing: it shows that the disk takes writes.
fn empty(durable: &DurableState) -> Write {
    Write { token: 0, durable: durable.clone(), rows: Vec::new(), replace_all: false }
}
