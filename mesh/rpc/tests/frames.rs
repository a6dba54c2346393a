//! Tests that received bytes, split in any way, decode to the sent frames or to an error, and that a false length does not
//! cause a large allocation.

use bytes::BytesMut;
use quickcheck::quickcheck;
use sloeline_rpc::frame::{FrameKind, MAX_FRAME_BYTES, PROTOCOL_VERSION, decode, encode, take_frame};
use sloeline_rpc::{RpcRequest, RpcResponse};

quickcheck! {
    fn frames_decode_to_what_was_encoded_however_the_bytes_are_split(messages: Vec<(u64, String)>, cuts: Vec<u8>) -> bool {
        let sent: Vec<(u64, RpcResponse)> =
            messages.into_iter().map(|(number, text)| (number, RpcResponse::Unavailable(text))).collect();
        let bytes: Vec<u8> = sent.iter()
            .flat_map(|(number, response)| encode(FrameKind::Response, *number, response).expect("small").to_vec()).collect();
        let (mut received, mut decoded, mut at) = (BytesMut::new(), Vec::new(), 0);
        let mut cuts = cuts.into_iter().map(|cut| usize::from(cut) + 1).chain(std::iter::repeat(17));
        while at < bytes.len() {
            let to = (at + cuts.next().unwrap_or(1)).min(bytes.len());
            received.extend_from_slice(&bytes[at..to]);
            at = to;
            while let Some(frame) = take_frame(&mut received).expect("valid frames") {
                decoded.push((frame.call_number, decode::<RpcResponse>(&frame.body).expect("a message")));
            }
        }
        received.is_empty() && decoded == sent
    }

    fn arbitrary_bytes_are_a_frame_incomplete_or_an_error(bytes: Vec<u8>) -> bool {
        let mut received = BytesMut::from(&bytes[..]);
        // Each iteration must consume bytes, or end the loop.
        loop {
            let before = received.len();
            match take_frame(&mut received) {
                Ok(Some(frame)) => {
                    let _ = decode::<RpcRequest>(&frame.body);
                    assert!(received.len() < before);
                }
                Ok(None) | Err(_) => return true,
            }
        }
    }

    fn a_message_with_a_changed_byte_decodes_or_fails_without_a_panic(at: usize, value: u8) -> bool {
        let valid = encode(FrameKind::Request, 7, &RpcRequest::PushRecords(Vec::new())).expect("small");
        let mut bytes = valid.to_vec();
        let at = at % bytes.len();
        bytes[at] = value;
        if let Ok(Some(frame)) = take_frame(&mut BytesMut::from(&bytes[..])) {
            let _ = decode::<RpcRequest>(&frame.body);
        }
        true
    }
}

#[test]
fn an_invalid_length_or_version_is_an_error_before_the_frame_is_complete() {
    let header = |length: u32, version: u8| {
        let mut bytes = BytesMut::from(&length.to_be_bytes()[..]);
        bytes.extend_from_slice(&[version]);
        bytes
    };
    for (length, version, field) in [
        (MAX_FRAME_BYTES as u32 + 1, PROTOCOL_VERSION, "length"),
        (9, PROTOCOL_VERSION, "length"),
        (64, PROTOCOL_VERSION + 1, "version"),
    ] {
        let error = take_frame(&mut header(length, version)).expect_err(field).to_string();
        assert!(error.contains(field) && error.contains("expected"), "{error}");
    }
    // A list header that claims four billion elements must fail without allocating memory for them.
    assert!(decode::<RpcRequest>(&[0xdd, 0xff, 0xff, 0xff, 0xff]).is_err());
}
