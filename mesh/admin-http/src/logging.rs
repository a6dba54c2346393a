//! The log: one line each, short sentences, and a fixed prefix for each part.

use anyhow::{Context, Result};
use flexi_logger::{DeferredNow, Logger, LoggerHandle};
use log::Record;

/// Writes lines to standard error from now on, as long as the handle is kept. `level` is a filter as `flexi_logger` has
/// it, such as `info`.
pub fn start(level: &str) -> Result<LoggerHandle> {
    Logger::try_with_str(level)
        .context("read the filter of the log")?
        .format(line)
        .start()
        .context("start the log")
}

fn line(to: &mut dyn std::io::Write, _now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
    write!(to, "{} {}: {}", record.level().as_str().to_lowercase(), record.target(), record.args())
}
