//! Packs a body: by itself, or as the difference to another body.

use std::io::{Read, Write};

use anyhow::{Context, Result, bail};
use bytes::Bytes;
use zstd::stream::{read, write};

/// Effort of packing: the lowest levels take some milliseconds for a body of a megabyte.
const LEVEL: i32 = 3;
/// Bounds of the window, as powers of two. A difference refers back over all of its base, so the window spans both bodies.
const LEAST_WINDOW_LOG: u32 = 10;
const MOST_WINDOW_LOG: u32 = 26;

fn window_log(base: &[u8], body_length: usize) -> u32 {
    let span = (base.len() + body_length).max(1).next_power_of_two();
    span.ilog2().clamp(LEAST_WINDOW_LOG, MOST_WINDOW_LOG)
}

/// The body as a difference to `base`; an empty base packs it by itself. The same input gives the same bytes.
pub fn pack(base: &[u8], body: &[u8]) -> Result<Bytes> {
    let mut encoder =
        write::Encoder::with_ref_prefix(Vec::new(), LEVEL, base).context("pack: begin with the base")?;
    encoder.window_log(window_log(base, body.len())).context("pack: set the window")?;
    encoder.long_distance_matching(!base.is_empty()).context("pack: set the matching")?;
    encoder.set_pledged_src_size(Some(body.len() as u64)).context("pack: set the length")?;
    encoder.write_all(body).context("pack: write the body")?;
    Ok(encoder.finish().context("pack: finish")?.into())
}

/// The body that was packed against `base`. It must have `body_length` bytes: no more are ever unpacked.
pub fn unpack(base: &[u8], packed: &[u8], body_length: usize) -> Result<Bytes> {
    let mut decoder = read::Decoder::with_ref_prefix(packed, base).context("unpack: begin with the base")?;
    decoder.window_log_max(MOST_WINDOW_LOG).context("unpack: set the window")?;
    let mut body = Vec::new();
    let bound = body_length as u64 + 1;
    decoder.take(bound).read_to_end(&mut body).context("unpack: read the body")?;
    if body.len() != body_length {
        bail!("unpack: found {} bytes, expected {body_length}", body.len());
    }
    Ok(body.into())
}
