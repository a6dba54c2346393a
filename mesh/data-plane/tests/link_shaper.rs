//! Tests of the order and rate of responses on the link, in paused time.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use quickcheck::quickcheck;
use sloeline_data_plane::link_shaper::{CHUNK_BYTES, LinkShaper, Schedule};
use sloeline_data_plane::shaped_body::ShapedBody;
use sloeline_http::payload::Payload;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::Instant;

/// Capacity of the link under test, in megabits per second.
const MBPS: f64 = 8.0;
/// Size of a long response in bytes.
const LONG_BYTES: usize = 20 * CHUNK_BYTES;

/// Runs a test with an idle link on a single-threaded runtime with paused time.
fn with_link(test: impl AsyncFnOnce(Rc<LinkShaper>)) {
    let builder = &mut tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().start_paused(true).build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let link = LinkShaper::new(MBPS);
        spawn_local(link.clone().run());
        test(link).await;
    });
}

/// A response body of this size that is sent over the link.
fn body(link: &Rc<LinkShaper>, bytes: usize) -> ShapedBody {
    ShapedBody::new(Payload::Buffered(Full::new(Bytes::from(vec![1; bytes]))), link.clone())
}

/// Transmission time of a long response while nothing else uses the link.
fn transmit_time() -> Duration {
    Duration::from_micros(Schedule::new(MBPS).transmit_time(LONG_BYTES as u64))
}

#[test]
fn long_responses_are_sent_one_after_the_other_and_short_ones_at_once() {
    with_link(async |link| {
        let start = Instant::now();
        let bodies = [(); 3].map(|()| body(&link, LONG_BYTES));
        let tasks = bodies.map(|body| {
            spawn_local(async move {
                let collected = body.collect().await.expect("all of it").to_bytes();
                (collected.len(), start.elapsed())
            })
        });
        assert_eq!(
            body(&link, CHUNK_BYTES).collect().await.expect("all of it").to_bytes().len(),
            CHUNK_BYTES
        );
        assert_eq!(start.elapsed(), Duration::ZERO, "a short response does not wait");
        for (number, task) in (1..).zip(tasks) {
            let (length, at) = task.await.expect("the task ends");
            assert_eq!(length, LONG_BYTES);
            let (min, max) = (transmit_time() * number, transmit_time() * number + Duration::from_millis(60));
            assert!((min.mul_f64(0.9)..max).contains(&at), "{number}: {at:?}, expected {min:?}");
        }
        assert_eq!(link.estimate(0).0, 0, "nothing is left to send");
    });
}

#[test]
fn an_unread_or_dropped_response_does_not_delay_others() {
    with_link(async |link| {
        let start = Instant::now();
        let unread = body(&link, LONG_BYTES);
        let mut dropped = body(&link, LONG_BYTES);
        let first_frame = dropped.frame().await.expect("a frame").expect("no error");
        assert_eq!(first_frame.data_ref().map(Bytes::len), Some(CHUNK_BYTES));
        drop(dropped);
        let read = body(&link, LONG_BYTES).collect().await.expect("all of it").to_bytes();
        assert_eq!(read.len(), LONG_BYTES);
        assert!(start.elapsed() < transmit_time() * 2, "{:?}", start.elapsed());
        assert!(link.estimate(0).0 > 0, "the unread response still counts towards the backlog");
        drop(unread);
        assert_eq!(link.estimate(0).0, 0);
    });
}

#[test]
fn dropping_an_expected_response_removes_it_from_the_backlog() {
    with_link(async |link| {
        let expected = link.expect_response(1 << 20);
        assert!(link.estimate(1).0 >= 1_000_000, "a megabyte takes more than a second");
        drop(expected);
        assert_eq!(link.estimate(1).0, 0);
    });
}

quickcheck! {
    /// A sender that only sends while the link is free never exceeds the link's capacity by more than one turn and the burst
    /// allowance.
    fn the_link_capacity_is_not_exceeded(sends: Vec<(u16, u16)>) -> bool {
        let mut schedule = Schedule::new(MBPS);
        let (mut now, mut sent) = (1_000_000_u64, 0.0);
        let start = now;
        sends.iter().all(|(pause, bytes)| {
            now += u64::from(*pause);
            if schedule.free_at() <= now {
                schedule.record_sent(now, usize::from(*bytes));
                sent += f64::from(*bytes);
            }
            let carried = (now - start) as f64 * MBPS / 8.0;
            sent <= carried + 10_000.0 * MBPS / 8.0 + f64::from(u16::MAX)
        })
    }
}
