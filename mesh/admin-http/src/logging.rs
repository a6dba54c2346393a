//! Log output: one line for each record, with the level and the log target as a prefix.

use anyhow::{Context, Result};
use flexi_logger::{DeferredNow, Logger, LoggerHandle};
use log::Record;

/// Starts logging to standard error, until the returned handle is dropped. `filter` is a `flexi_logger` specification such as
/// `info` or `info,keys=debug`.
pub fn start(filter: &str) -> Result<LoggerHandle> {
    Logger::try_with_str(filter)
        .context("parse the log filter")?
        .format(format_line)
        .start()
        .context("start the log")
}

/// Writes a log record as `level target: message`.
fn format_line(
    to: &mut dyn std::io::Write,
    _now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    write!(to, "{} {}: {}", record.level().as_str().to_lowercase(), record.target(), record.args())
}
