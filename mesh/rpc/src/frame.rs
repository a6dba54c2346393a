//! The frame format: four bytes of length, one byte of protocol version, one byte of frame kind, eight bytes of call number,
//! and the body. The length counts everything after itself; all integers are big-endian.

use anyhow::{Result, bail};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::{Serialize, de::DeserializeOwned};

/// Protocol version of all messages. A process closes a connection that carries another version.
pub const PROTOCOL_VERSION: u8 = 3;
/// Maximum number of bytes in a frame, not counting the length field.
pub const MAX_FRAME_BYTES: usize = 32 << 20;
/// Bytes between the length field and the body: version, kind and call number.
const HEADER_BYTES: usize = 10;

/// The role of a frame in a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// A request; the receiver sends a response with the same call number.
    Request,
    /// The response to a request.
    Response,
    /// A one-way message; the receiver sends no response.
    Notification,
}

/// A decoded frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// The role of the frame in a call.
    pub kind: FrameKind,
    /// Number of the call, chosen by the caller; 0 in a notification.
    pub call_number: u64,
    /// The message, encoded as MessagePack.
    pub body: Bytes,
}

/// Encodes a message as a frame. Fails if the frame would be longer than [`MAX_FRAME_BYTES`].
pub fn encode<T: Serialize>(kind: FrameKind, call_number: u64, message: &T) -> Result<Bytes> {
    let body = rmp_serde::to_vec(message)?;
    if body.len() + HEADER_BYTES > MAX_FRAME_BYTES {
        bail!("frame: found {} bytes, expected at most {MAX_FRAME_BYTES}", body.len());
    }
    let mut bytes = BytesMut::with_capacity(4 + HEADER_BYTES + body.len());
    bytes.put_u32((HEADER_BYTES + body.len()) as u32);
    bytes.put_u8(PROTOCOL_VERSION);
    bytes.put_u8(match kind {
        FrameKind::Request => 0,
        FrameKind::Response => 1,
        FrameKind::Notification => 2,
    });
    bytes.put_u64(call_number);
    bytes.put_slice(&body);
    Ok(bytes.freeze())
}

/// Decodes the body of a frame as a message. Fails if bytes are left over.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    let mut rest = body;
    let message = rmp_serde::from_read(&mut rest)?;
    if !rest.is_empty() {
        bail!("message: found {} bytes after its end", rest.len());
    }
    Ok(message)
}

/// Removes the first frame from the received bytes. `Ok(None)` means that the frame is still incomplete. Fails on another
/// protocol version, an invalid length or an unknown kind, as soon as these fields have arrived.
pub fn take_frame(received: &mut BytesMut) -> Result<Option<Frame>> {
    let Some(length) = received.get(..4) else { return Ok(None) };
    let length = length.iter().fold(0, |all, byte| all << 8 | usize::from(*byte));
    if !(HEADER_BYTES..=MAX_FRAME_BYTES).contains(&length) {
        bail!("frame: found a length of {length}, expected {HEADER_BYTES} to {MAX_FRAME_BYTES}");
    }
    if let Some(version) = received.get(4)
        && *version != PROTOCOL_VERSION
    {
        bail!("frame: found version {version}, expected {PROTOCOL_VERSION}");
    }
    if received.len() < 4 + length {
        return Ok(None);
    }
    received.advance(5);
    let kind = match received.get_u8() {
        0 => FrameKind::Request,
        1 => FrameKind::Response,
        2 => FrameKind::Notification,
        other => bail!("frame: found kind {other}, expected 0 to 2"),
    };
    let call_number = received.get_u64();
    let body = received.split_to(length - HEADER_BYTES).freeze();
    Ok(Some(Frame { kind, call_number, body }))
}
