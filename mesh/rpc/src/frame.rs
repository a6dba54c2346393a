//! Frames: four bytes of length, one of the format's version, one of the kind, eight of the call's number, and a body.

use anyhow::{Result, bail};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::{Serialize, de::DeserializeOwned};

/// The version of all messages. A process of another version is not understood and says so.
pub const VERSION: u8 = 3;
/// Most bytes of a frame.
pub const MOST_FRAME: usize = 32 << 20;
const HEAD: usize = 10;

/// What a frame is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// Wants an answer.
    Request,
    /// Is the answer.
    Response,
    /// Wants none.
    Notification,
}

/// A frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// What it is.
    pub kind: FrameKind,
    /// The number of the call.
    pub number: u64,
    /// The message.
    pub body: Bytes,
}

/// The bytes of a frame with a message.
pub fn encode<T: Serialize>(kind: FrameKind, number: u64, message: &T) -> Result<Bytes> {
    let body = rmp_serde::to_vec(message)?;
    if body.len() + HEAD > MOST_FRAME {
        bail!("frame: found {} bytes, expected at most {MOST_FRAME}", body.len());
    }
    let mut bytes = BytesMut::with_capacity(4 + HEAD + body.len());
    bytes.put_u32((HEAD + body.len()) as u32);
    bytes.put_u8(VERSION);
    bytes.put_u8(match kind {
        FrameKind::Request => 0,
        FrameKind::Response => 1,
        FrameKind::Notification => 2,
    });
    bytes.put_u64(number);
    bytes.put_slice(&body);
    Ok(bytes.freeze())
}

/// The message of a body. All of the body is it.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    let mut rest = body;
    let message = rmp_serde::from_read(&mut rest)?;
    if !rest.is_empty() {
        bail!("message: found {} bytes after its end", rest.len());
    }
    Ok(message)
}

/// The next frame of what has come, if it is here whole.
pub fn next(come: &mut BytesMut) -> Result<Option<Frame>> {
    let Some(length) = come.get(..4) else { return Ok(None) };
    let length = length.iter().fold(0, |all, byte| all << 8 | usize::from(*byte));
    if !(HEAD..=MOST_FRAME).contains(&length) {
        bail!("frame: found a length of {length}, expected {HEAD} to {MOST_FRAME}");
    }
    if let Some(version) = come.get(4)
        && *version != VERSION
    {
        bail!("frame: found version {version}, expected {VERSION}");
    }
    if come.len() < 4 + length {
        return Ok(None);
    }
    come.advance(5);
    let kind = match come.get_u8() {
        0 => FrameKind::Request,
        1 => FrameKind::Response,
        2 => FrameKind::Notification,
        other => bail!("frame: found kind {other}, expected 0 to 2"),
    };
    let number = come.get_u64();
    let body = come.split_to(length - HEAD).freeze();
    Ok(Some(Frame { kind, number, body }))
}
