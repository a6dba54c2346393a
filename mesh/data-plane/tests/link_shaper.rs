//! Turns on the link, in paused time.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use quickcheck::quickcheck;
use sloeline_data_plane::link_shaper::{CHUNK, LinkShaper, Schedule};
use sloeline_data_plane::shaped_body::ShapedBody;
use sloeline_http::payload::Payload;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::Instant;

const MBPS: f64 = 8.0;
const LONG: usize = 20 * CHUNK;

fn play(test: impl AsyncFnOnce(Rc<LinkShaper>)) {
    let builder = &mut tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().start_paused(true).build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let link = LinkShaper::new(MBPS);
        spawn_local(link.clone().tend());
        test(link).await;
    });
}

fn body(link: &Rc<LinkShaper>, bytes: usize) -> ShapedBody {
    ShapedBody::new(Payload::Buffered(Full::new(Bytes::from(vec![1; bytes]))), link.clone())
}

/// How long a long answer takes that has the link to itself.
fn alone() -> Duration {
    Duration::from_micros(Schedule::new(MBPS).time_of(LONG as u64))
}

#[test]
fn long_answers_leave_one_after_the_other_and_short_ones_at_once() {
    play(async |link| {
        let start = Instant::now();
        let bodies = [(); 3].map(|()| body(&link, LONG));
        let ends = bodies.map(|body| {
            spawn_local(async move {
                let collected = body.collect().await.expect("all of it").to_bytes();
                (collected.len(), start.elapsed())
            })
        });
        assert_eq!(body(&link, CHUNK).collect().await.expect("all of it").to_bytes().len(), CHUNK);
        assert_eq!(start.elapsed(), Duration::ZERO, "a short one waits for nobody");
        for (number, end) in (1..).zip(ends) {
            let (length, at) = end.await.expect("it ends");
            assert_eq!(length, LONG);
            let (least, most) = (alone() * number, alone() * number + Duration::from_millis(60));
            assert!((least.mul_f64(0.9)..most).contains(&at), "{number}: {at:?}, expected {least:?}");
        }
        assert_eq!(link.outlook(0).0, 0, "nothing is left to send");
    });
}

#[test]
fn one_that_nobody_reads_or_wants_holds_up_no_other() {
    play(async |link| {
        let start = Instant::now();
        let unread = body(&link, LONG);
        let mut left = body(&link, LONG);
        let begun = left.frame().await.expect("a frame").expect("a good one");
        assert_eq!(begun.data_ref().map(Bytes::len), Some(CHUNK));
        drop(left);
        let read = body(&link, LONG).collect().await.expect("all of it").to_bytes();
        assert_eq!(read.len(), LONG);
        assert!(start.elapsed() < alone() * 2, "{:?}", start.elapsed());
        assert!(link.outlook(0).0 > 0, "the unread one is still expected");
        drop(unread);
        assert_eq!(link.outlook(0).0, 0);
    });
}

#[test]
fn what_does_not_come_after_all_is_not_waited_for() {
    play(async |link| {
        let expected = link.expect(1 << 20);
        assert!(link.outlook(1).0 >= 1_000_000, "a megabyte takes more than a second");
        drop(expected);
        assert_eq!(link.outlook(1).0, 0);
    });
}

quickcheck! {
    /// Whoever sends only when the link is free never has more under way than the link carries, but for one turn and the burst.
    fn the_link_is_never_given_more_than_it_carries(sends: Vec<(u16, u16)>) -> bool {
        let mut schedule = Schedule::new(MBPS);
        let (mut now, mut sent) = (1_000_000_u64, 0.0);
        let start = now;
        sends.iter().all(|(pause, bytes)| {
            now += u64::from(*pause);
            if schedule.free_at() <= now {
                schedule.sent(now, usize::from(*bytes));
                sent += f64::from(*bytes);
            }
            let carried = (now - start) as f64 * MBPS / 8.0;
            sent <= carried + 10_000.0 * MBPS / 8.0 + f64::from(u16::MAX)
        })
    }
}
