//! Watches the settings file of a running process. The file is read again on SIGHUP, and also when it changes without a
//! signal.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use log::{info, warn};
use sloeline_process_settings::Settings;
use sloeline_process_settings::file::{SettingsFile, fields_needing_restart};
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Interval at which the file is checked for changes without a signal.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Receives the settings in force and a notification of each change.
pub type SettingsWatch = watch::Receiver<Arc<Settings>>;

/// Installs the handler for SIGHUP. A program that follows its settings file calls this first: without a handler, a signal
/// during the start would end the process. It is ignored until [`watch_settings`] is called, which reads the file anyway.
pub fn install_hangup_handler() -> Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build().context("start the runtime")?;
    let _entered = runtime.enter();
    // The handler outlives this runtime and the receiver.
    let _receiver = signal(SignalKind::hangup()).context("wait for SIGHUP")?;
    Ok(())
}

/// Returns a watch over settings that never change, for processes that are started without a settings file.
pub fn fixed_settings(settings: Settings) -> SettingsWatch {
    watch::Sender::new(Arc::new(settings)).subscribe()
}

/// Reads the settings file and watches it from then on. Must run inside a `LocalSet`. Fails if the file is not valid. If it
/// becomes invalid later, a warning is logged and the former settings stay in force.
pub fn watch_settings(path: PathBuf) -> Result<SettingsWatch> {
    let file = SettingsFile::open(path)?;
    let hangup = signal(SignalKind::hangup()).context("wait for SIGHUP")?;
    let sender = watch::Sender::new(Arc::new(file.settings().clone()));
    let receiver = sender.subscribe();
    spawn_local(watch_file(file, hangup, sender));
    Ok(receiver)
}

/// Reloads the file after each SIGHUP and at each check, and sends valid new settings to `sender`. Never returns.
async fn watch_file(mut file: SettingsFile, mut hangup: Signal, sender: watch::Sender<Arc<Settings>>) {
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(CHECK_INTERVAL) => false,
        };
        let before = sender.borrow().clone();
        match file.reload(signalled) {
            Ok(Some(settings)) => {
                let fields = fields_needing_restart(&before, settings);
                info!(target: "settings", "The settings file has changed and is in force.");
                if !fields.is_empty() {
                    warn!(target: "settings", "Takes effect only after a restart: {}.", fields.join(", "));
                }
                sender.send_replace(Arc::new(settings.clone()));
            }
            Ok(None) if signalled => info!(target: "settings", "SIGHUP: the settings file is unchanged."),
            Ok(None) => {}
            Err(error) => {
                warn!(target: "settings", "The settings file is invalid, the former settings stay in force: {error:#}.")
            }
        }
    }
}
