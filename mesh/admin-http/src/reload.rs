//! Follows the settings file of a running process: SIGHUP says that it has changed, and it may change without a signal.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use log::{info, warn};
use sloeline_process_settings::Settings;
use sloeline_process_settings::file::{SettingsFile, fields_for_next_start};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// How often the file is looked at without a signal.
const LOOK: Duration = Duration::from_secs(1);

/// The settings in force, and word of each change.
pub type SettingsWatch = watch::Receiver<Arc<Settings>>;

/// Settings that never change, for processes that are given theirs.
pub fn fixed_settings(settings: Settings) -> SettingsWatch {
    watch::Sender::new(Arc::new(settings)).subscribe()
}

/// Reads the file and follows it from then on. Must run inside a `LocalSet`. Fails if the file is not valid now; a later
/// content that is not valid is logged and changes nothing.
pub fn watch_settings(path: PathBuf) -> Result<SettingsWatch> {
    let file = SettingsFile::open(path)?;
    let hangup = signal(SignalKind::hangup()).context("wait for SIGHUP")?;
    let sender = watch::Sender::new(Arc::new(file.settings().clone()));
    let receiver = sender.subscribe();
    spawn_local(watch_file(file, hangup, sender));
    Ok(receiver)
}

async fn watch_file(mut file: SettingsFile, mut hangup: Signal, sender: watch::Sender<Arc<Settings>>) {
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(LOOK) => false,
        };
        let before = sender.borrow().clone();
        match file.reload(signalled) {
            Ok(Some(settings)) => {
                let fields = fields_for_next_start(&before, settings);
                info!(target: "settings", "The settings file has changed and is in force.");
                if !fields.is_empty() {
                    warn!(target: "settings", "Takes effect at the next start only: {}.", fields.join(", "));
                }
                sender.send_replace(Arc::new(settings.clone()));
            }
            Ok(None) if signalled => info!(target: "settings", "SIGHUP: the settings file is unchanged."),
            Ok(None) => {}
            Err(why) => warn!(target: "settings", "Not taken, the former settings hold: {why:#}."),
        }
    }
}
