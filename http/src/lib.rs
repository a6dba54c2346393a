//! HTTP/1.1 on both sides of the engine: callers' connections and requests, attempts on upstreams.

pub mod client_io;
mod framing;
pub mod frontend;
pub mod payload;
pub mod platform;
mod pool;
pub mod routed;
pub mod server;
pub mod upload;
pub mod upstream;

/// Most of a body on the platform, either way.
pub const PLATFORM_MAX_BODY_BYTES: usize = 32 << 20;
/// Answers up to here are read whole before they go on: until then another upstream may be asked. Longer ones pass
/// through as they come.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Most that is read ahead of a message; a head that does not end is given up there.
const MOST_HEAD: usize = 64 * 1024;
