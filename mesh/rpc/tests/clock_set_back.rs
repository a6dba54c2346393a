//! A process that starts again with its clock set back: its new record replaces the old one everywhere.

#[allow(dead_code)]
mod network;

use std::rc::Rc;
use std::time::Duration;

use network::{listen, process, run_paused};
use sloeline_discovery::Version;
use sloeline_rpc::exchange::Exchange;
use sloeline_rpc::{RpcRequest, RpcResponse};
use tokio::time::sleep;

/// How long the peer holds a pull.
const HOLD: Duration = Duration::from_millis(1000);
/// Interval between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(700);
/// Time for a few pulls or polls.
const WITHIN: Duration = Duration::from_secs(5);

/// Answers the requests that balancers send to a core machine.
async fn answer(exchange: Rc<Exchange>, request: RpcRequest) -> Option<RpcResponse> {
    match request {
        RpcRequest::Pull(pull) => Some(RpcResponse::Updates(exchange.answer_pull(pull).await)),
        RpcRequest::PushRecords(records) => {
            exchange.apply_records(records);
            Some(RpcResponse::Done)
        }
        RpcRequest::CompareDigest { digest } => Some(exchange.compare_digest(digest)),
        _ => None,
    }
}

/// Guards against a process whose record is ignored because its peers know one of a later start.
#[test]
fn the_record_of_a_process_whose_clock_was_set_back_replaces_the_old_one() {
    for follows in [true, false] {
        run_paused(async || {
            let (core, balancer) = (process("core"), process("balancer"));
            let mut old = balancer.local_record();
            old.version = Version { incarnation: 9, revision: 4 };
            old.zone = "old".to_owned();
            core.apply_records(vec![old]);
            let address = listen(&core).await;
            let _sync = match follows {
                true => balancer.follow(address, HOLD),
                false => balancer.poll(address, POLL_INTERVAL),
            };
            sleep(WITHIN).await;
            balancer.update_local_record(|record| record.leaving = true);
            sleep(WITHIN).await;
            let known = core.view().records().get("balancer").map(|record| (**record).clone());
            assert_eq!(known, Some(balancer.local_record()), "follows: {follows}");
            assert_eq!(known.map(|record| (record.zone, record.leaving)), Some(("a".to_owned(), true)));
        });
    }
}
