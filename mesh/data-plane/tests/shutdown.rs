//! The schedule of a shutdown keeps the promises to upstreams and clients for any grace period.

use std::time::Duration;

use quickcheck::quickcheck;
use sloeline_data_plane::shutdown::ShutdownSchedule;

quickcheck! {
    fn open_requests_are_answered_after_five_sixths_of_the_grace_period_and_before_the_process_ends(
        grace_ms: u32
    ) -> bool {
        let grace = Duration::from_millis(u64::from(grace_ms % 600_000).max(1));
        let ShutdownSchedule { accept_end, requests_end, process_end } = ShutdownSchedule::new(grace);
        accept_end <= requests_end
            && requests_end > grace.mul_f64(5.0 / 6.0)
            && requests_end < process_end
            && process_end < grace
    }
}
