//! How long the soak itself, and the disk that all processes share, stood still. While the soak stands still it sees no answer, and
//! while the disk does no core machine can store anything, so neither says anything about the mesh.

use std::cell::{Cell, RefCell};
use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use tokio::task::{AbortHandle, spawn_local};

/// How often the soak's own runtime and the disk are looked at.
const RUNTIME_INTERVAL: Duration = Duration::from_millis(20);
const DISK_INTERVAL: Duration = Duration::from_millis(50);
/// Shorter delays are no stalls.
const MIN_STALL: Duration = Duration::from_millis(100);
/// Bytes that are written and synced each time.
const PROBE_BYTES: usize = 4096;

/// Stalls that are over, each with its end.
type Ended = Vec<(Instant, Duration)>;

/// The total of the stalls that ended after a moment, as far as they lie after it.
fn total_since(ended: &Ended, moment: Instant) -> Duration {
    let after = ended.iter().filter(|(end, _)| *end > moment);
    after.map(|(end, stall)| (*stall).min(*end - moment)).sum()
}

/// Stalls of the disk, shared with the thread that looks for them.
#[derive(Default)]
struct Disk {
    ended: Ended,
    /// When the write that is under way began.
    writing_since: Option<Instant>,
}

/// Watches the soak's runtime and the disk until it is dropped.
pub struct Stalls {
    ended: RefCell<Ended>,
    last_tick: Cell<Instant>,
    disk: Arc<Mutex<Disk>>,
    over: Arc<AtomicBool>,
    task: RefCell<Option<AbortHandle>>,
}

impl Stalls {
    /// Begins to watch the current runtime, and the disk of a folder.
    pub fn watch(folder: &Path) -> Rc<Stalls> {
        let stalls = Rc::new(Stalls {
            ended: RefCell::default(),
            last_tick: Cell::new(Instant::now()),
            disk: Arc::default(),
            over: Arc::default(),
            task: RefCell::default(),
        });
        let (disk, over, file) = (stalls.disk.clone(), stalls.over.clone(), folder.join("disk-probe"));
        thread::spawn(move || watch_disk(&disk, &over, &file));
        let weak = Rc::downgrade(&stalls);
        let task = spawn_local(async move {
            while let Some(stalls) = weak.upgrade() {
                stalls.tick();
                drop(stalls);
                tokio::time::sleep(RUNTIME_INTERVAL).await;
            }
        });
        *stalls.task.borrow_mut() = Some(task.abort_handle());
        stalls
    }

    fn tick(&self) {
        let now = Instant::now();
        let late = (now - self.last_tick.replace(now)).saturating_sub(RUNTIME_INTERVAL);
        if late >= MIN_STALL {
            self.ended.borrow_mut().push((now, late));
        }
    }

    /// How long the soak's runtime stood still since a moment, the present stall among it.
    pub fn of_runtime_since(&self, moment: Instant) -> Duration {
        let present = self.last_tick.get().max(moment).elapsed().saturating_sub(RUNTIME_INTERVAL);
        let present = if present >= MIN_STALL { present } else { Duration::ZERO };
        total_since(&self.ended.borrow(), moment) + present
    }

    /// How long the disk stood still since a moment, the present stall among it.
    pub fn of_disk_since(&self, moment: Instant) -> Duration {
        let disk = lock(&self.disk);
        let present = disk.writing_since.map(|since| since.max(moment).elapsed());
        total_since(&disk.ended, moment) + present.filter(|present| *present >= MIN_STALL).unwrap_or_default()
    }
}

impl Drop for Stalls {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }
}

fn lock(disk: &Mutex<Disk>) -> MutexGuard<'_, Disk> {
    disk.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Writes and syncs a little again and again, and records how long that takes.
fn watch_disk(disk: &Mutex<Disk>, over: &AtomicBool, path: &PathBuf) {
    let Ok(mut file) = File::create(path) else { return };
    while !over.load(Ordering::Relaxed) {
        let began = Instant::now();
        lock(disk).writing_since = Some(began);
        let written = file.write_all(&[0; PROBE_BYTES]).and_then(|()| file.sync_data());
        let mut disk = lock(disk);
        disk.writing_since = None;
        if began.elapsed() >= MIN_STALL {
            disk.ended.push((Instant::now(), began.elapsed()));
        }
        drop(disk);
        if written.is_err() {
            return;
        }
        thread::sleep(DISK_INTERVAL);
    }
}
