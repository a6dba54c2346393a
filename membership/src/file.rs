//! A list of members in a file, which is read again whenever the file changes. The format is the platform's list.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;

use finchshift::ListKind;
use notify::{RecommendedWatcher, RecursiveMode, Watcher};
use sloeline_engine::types::DiscoveryEntry;
use sloeline_events::emit;
use tokio::sync::Notify;
use tokio::task::{AbortHandle, spawn_local};

use crate::platform::List;

/// Maximum size of a list in bytes.
const MAX_LIST_BYTES: u64 = 8 << 20;

/// Reads a list. The error is one line that names the file.
pub fn read(path: &Path) -> Result<Vec<DiscoveryEntry>, String> {
    let named = |why: String| format!("{}: {why}", path.display());
    let size = std::fs::metadata(path).map_err(|e| named(e.to_string()))?.len();
    if size > MAX_LIST_BYTES {
        return Err(named(format!("found {size} bytes, expected at most {MAX_LIST_BYTES}")));
    }
    let text = std::fs::read_to_string(path).map_err(|e| named(e.to_string()))?;
    let list: List = serde_json::from_str(&text).map_err(|e| named(e.to_string()))?;
    Ok(list.entries())
}

/// Watches a file until it is dropped.
pub struct FileWatch {
    task: AbortHandle,
    _watcher: RecommendedWatcher,
}

impl Drop for FileWatch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Passes the list to `tell` whenever the file changes. A file that cannot be read is logged, and the last list remains. The
/// folder is watched, because a file may be replaced by renaming another one.
pub fn watch(
    path: &Path,
    tell: impl Fn(ListKind, Vec<DiscoveryEntry>) + 'static,
) -> Result<FileWatch, String> {
    let named = |why: String| format!("{}: {why}", path.display());
    let path: PathBuf = std::path::absolute(path).map_err(|e| named(e.to_string()))?;
    let folder = path.parent().ok_or_else(|| named("has no folder".to_owned()))?.to_owned();
    let (changed, name) = (Arc::new(Notify::new()), path.file_name().map(ToOwned::to_owned));
    let file_changed = changed.clone();
    let mut watcher = notify::recommended_watcher(move |event: notify::Result<notify::Event>| {
        // The file is also read again if events were lost.
        let ours = event.as_ref().map_or(true, |event| {
            !event.kind.is_access() && event.paths.iter().any(|p| p.file_name() == name.as_deref())
                || event.need_rescan()
        });
        if ours {
            file_changed.notify_one();
        }
    })
    .map_err(|e| e.to_string())?;
    watcher.watch(&folder, RecursiveMode::NonRecursive).map_err(|e| named(e.to_string()))?;
    let tell = Rc::new(tell);
    let task = spawn_local(async move {
        loop {
            changed.notified().await;
            match read(&path) {
                Ok(list) => tell(ListKind::Complete, list),
                Err(why) => emit!(NODE_FILE_UNREADABLE, why = %why; "membership: the last list holds: {why}"),
            }
        }
    });
    Ok(FileWatch { task: task.abort_handle(), _watcher: watcher })
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;
    use tokio::sync::mpsc;
    use tokio::task::LocalSet;
    use tokio::time::timeout;

    fn list(names: &[&str]) -> String {
        let entry = |n: &&str| {
            format!(r#"{{"instanceId":"{n}","hostPort":"127.0.0.1:1","zone":"a","lifecycle":"SERVING"}}"#)
        };
        let entries: Vec<String> = names.iter().map(entry).collect();
        format!(r#"{{"generation":1,"instances":[{}]}}"#, entries.join(","))
    }

    #[test]
    fn a_list_is_passed_on_however_its_file_is_replaced_unless_it_is_invalid() {
        let folder = std::env::temp_dir().join(format!("sloeline-watched-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let path = folder.join("nodes.json");
        std::fs::write(&path, list(&["a"])).expect("a file");
        assert_eq!(read(&path).expect("a list").len(), 1);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, async {
            let (sender, mut told) = mpsc::unbounded_channel();
            let watched = watch(&path, move |kind, list| {
                let names: Vec<String> = list.into_iter().map(|l| l.instance).collect();
                let _ = sender.send((kind, names));
            });
            let _watched = watched.expect("a watch");
            // A write may be observed half-way, so only the last list counts.
            let mut until = async |names: &[&str]| {
                let whole = async {
                    while told.recv().await.expect("a list")
                        != (ListKind::Complete, names.iter().map(|n| n.to_string()).collect())
                    {
                    }
                };
                timeout(Duration::from_secs(30), whole).await.expect("the list in time");
            };
            std::fs::write(&path, list(&["a", "b"])).expect("a file");
            until(&["a", "b"]).await;
            let other = folder.join("nodes.new");
            std::fs::write(&other, list(&["c"])).expect("a file");
            std::fs::rename(&other, &path).expect("renamed");
            until(&["c"]).await;
            std::fs::write(&path, "{").expect("a file");
            std::fs::remove_file(&path).expect("removed");
            std::fs::write(&path, list(&["d"])).expect("a file");
            until(&["d"]).await;
        });
        let _ = std::fs::remove_dir_all(folder);
    }
}
