//! Compression of a configuration body, on its own or against the body of an older version.

use std::io::{Read, Write};

use anyhow::{Context, Result, bail};
use bytes::Bytes;
use zstd::stream::{read, write};

/// Compression level of zstd. The lowest levels need some milliseconds for a body of one megabyte.
const COMPRESSION_LEVEL: i32 = 3;
/// Smallest compression window, as a power of two in bytes.
const MIN_WINDOW_LOG: u32 = 10;
/// Largest compression window, as a power of two in bytes; decompression refuses a larger one.
const MAX_WINDOW_LOG: u32 = 26;

/// Returns the window size as a power of two. The window spans both bodies, because the compressed body may refer to any
/// part of its base.
fn window_log(base: &[u8], body_length: usize) -> u32 {
    let span = (base.len() + body_length).max(1).next_power_of_two();
    span.ilog2().clamp(MIN_WINDOW_LOG, MAX_WINDOW_LOG)
}

/// Compresses `body` against `base`; with an empty `base` the body is compressed on its own. The same input always gives
/// the same bytes.
pub fn pack(base: &[u8], body: &[u8]) -> Result<Bytes> {
    let mut encoder = write::Encoder::with_ref_prefix(Vec::new(), COMPRESSION_LEVEL, base)
        .context("pack: begin with the base")?;
    encoder.window_log(window_log(base, body.len())).context("pack: set the window")?;
    encoder.long_distance_matching(!base.is_empty()).context("pack: set the matching")?;
    encoder.set_pledged_src_size(Some(body.len() as u64)).context("pack: set the length")?;
    encoder.write_all(body).context("pack: write the body")?;
    Ok(encoder.finish().context("pack: finish")?.into())
}

/// Decompresses a body that [`pack`] compressed against `base`. Fails unless the result has exactly `body_length` bytes;
/// at most one byte more is ever decompressed.
pub fn unpack(base: &[u8], packed: &[u8], body_length: usize) -> Result<Bytes> {
    let mut decoder = read::Decoder::with_ref_prefix(packed, base).context("unpack: begin with the base")?;
    decoder.window_log_max(MAX_WINDOW_LOG).context("unpack: set the window")?;
    let mut body = Vec::new();
    let bound = body_length as u64 + 1;
    decoder.take(bound).read_to_end(&mut body).context("unpack: read the body")?;
    if body.len() != body_length {
        bail!("unpack: found {} bytes, expected {body_length}", body.len());
    }
    Ok(body.into())
}
