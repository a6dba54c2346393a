//! A settings file that may change while the process runs, and what takes effect without a restart.

use std::fs;
use std::path::PathBuf;
use std::time::SystemTime;

use anyhow::{Context, Result};

use crate::Settings;

/// Modification time and length of a file; a change of either means that the content may have changed.
type Fingerprint = (Option<SystemTime>, u64);

/// A settings file and the last valid settings read from it.
pub struct SettingsFile {
    path: PathBuf,
    /// Fingerprint of the file when it was last read; `None` if it could not be determined.
    fingerprint: Option<Fingerprint>,
    /// Text from which `settings` were parsed.
    text: String,
    /// The settings in force.
    settings: Settings,
}

impl SettingsFile {
    /// Reads and validates the file. Fails if it cannot be read or is not valid.
    pub fn open(path: PathBuf) -> Result<SettingsFile> {
        let fingerprint = fingerprint(&path).ok();
        let text = read(&path)?;
        let settings = Settings::parse(&text).with_context(|| format!("check {}", path.display()))?;
        Ok(SettingsFile { path, fingerprint, text, settings })
    }

    /// The settings in force.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Reads the file again if its modification time or length has changed, or if `forced`. Returns the new settings if they
    /// are valid and the text has changed. On an error the settings in force stay; an unchanged invalid file is reported only
    /// once.
    pub fn reload(&mut self, forced: bool) -> Result<Option<&Settings>> {
        let current = fingerprint(&self.path)?;
        if !forced && self.fingerprint == Some(current) {
            return Ok(None);
        }
        let text = read(&self.path)?;
        self.fingerprint = Some(current);
        if text == self.text {
            return Ok(None);
        }
        let settings = Settings::parse(&text).with_context(|| format!("check {}", self.path.display()))?;
        self.text = text;
        self.settings = settings;
        Ok(Some(&self.settings))
    }
}

/// Reads a file as text. An error names the path.
fn read(path: &std::path::Path) -> Result<String> {
    fs::read_to_string(path).with_context(|| format!("read {}", path.display()))
}

/// Returns the current fingerprint of a file.
fn fingerprint(path: &std::path::Path) -> Result<Fingerprint> {
    let metadata = fs::metadata(path).with_context(|| format!("read metadata of {}", path.display()))?;
    Ok((metadata.modified().ok(), metadata.len()))
}

/// Returns the keys whose values differ between two settings but take effect only when the process is restarted.
pub fn fields_needing_restart(before: &Settings, after: &Settings) -> Vec<&'static str> {
    let mut fields = Vec::new();
    let mut compare = |name, equal: bool| {
        if !equal {
            fields.push(name);
        }
    };
    compare("node_name", before.node_name == after.node_name);
    compare("ip_addr", before.ip_addr == after.ip_addr);
    compare("zone_name", before.zone_name == after.zone_name);
    compare("port_range", before.port_range == after.port_range);
    compare("data_path", before.data_path == after.data_path);
    compare("guarantees", before.guarantees == after.guarantees);
    compare("line", before.service == after.service);
    compare("app_addr", before.upstream_addr == after.upstream_addr);
    compare("docks", before.listen_addrs == after.listen_addrs);
    fields
}
