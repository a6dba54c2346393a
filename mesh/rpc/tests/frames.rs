//! Frames: whatever comes is a frame or an error, in pieces of any size, and never more memory than a frame may have.

use bytes::BytesMut;
use quickcheck::quickcheck;
use sloeline_rpc::frame::{FrameKind, MOST_FRAME, VERSION, decode, encode, next};
use sloeline_rpc::{RpcRequest, RpcResponse};

quickcheck! {
    fn frames_come_out_as_they_went_in_however_they_are_cut(messages: Vec<(u64, String)>, cuts: Vec<u8>) -> bool {
        let sent: Vec<(u64, RpcResponse)> =
            messages.into_iter().map(|(number, why)| (number, RpcResponse::Unavailable(why))).collect();
        let bytes: Vec<u8> = sent.iter()
            .flat_map(|(number, told)| encode(FrameKind::Response, *number, told).expect("small").to_vec()).collect();
        let (mut come, mut got, mut at) = (BytesMut::new(), Vec::new(), 0);
        let mut cuts = cuts.into_iter().map(|c| usize::from(c) + 1).chain(std::iter::repeat(17));
        while at < bytes.len() {
            let to = (at + cuts.next().unwrap_or(1)).min(bytes.len());
            come.extend_from_slice(&bytes[at..to]);
            at = to;
            while let Some(frame) = next(&mut come).expect("good frames") {
                got.push((frame.number, decode::<RpcResponse>(&frame.body).expect("a message")));
            }
        }
        come.is_empty() && got == sent
    }

    fn whatever_comes_is_a_frame_or_an_error(bytes: Vec<u8>) -> bool {
        let mut come = BytesMut::from(&bytes[..]);
        // Each turn ends, takes bytes away, or waits for more.
        loop {
            let before = come.len();
            match next(&mut come) {
                Ok(Some(frame)) => {
                    let _ = decode::<RpcRequest>(&frame.body);
                    assert!(come.len() < before);
                }
                Ok(None) | Err(_) => return true,
            }
        }
    }

    fn a_message_with_changed_bytes_is_another_or_an_error(at: usize, to: u8) -> bool {
        let good = encode(FrameKind::Request, 7, &RpcRequest::PushRecords(Vec::new())).expect("small");
        let mut bytes = good.to_vec();
        let at = at % bytes.len();
        bytes[at] = to;
        if let Ok(Some(frame)) = next(&mut BytesMut::from(&bytes[..])) {
            let _ = decode::<RpcRequest>(&frame.body);
        }
        true
    }
}

#[test]
fn what_is_too_long_or_of_another_version_is_an_error_at_once() {
    let head = |length: u32, version: u8| {
        let mut bytes = BytesMut::from(&length.to_be_bytes()[..]);
        bytes.extend_from_slice(&[version]);
        bytes
    };
    for (length, version, told) in
        [(MOST_FRAME as u32 + 1, VERSION, "length"), (9, VERSION, "length"), (64, VERSION + 1, "version")]
    {
        let why = next(&mut head(length, version)).expect_err(told).to_string();
        assert!(why.contains(told) && why.contains("expected"), "{why}");
    }
    // Ten claims of a huge list cost no memory: they are no message.
    assert!(decode::<RpcRequest>(&[0xdd, 0xff, 0xff, 0xff, 0xff]).is_err());
}
