//! Tests that large configurations arrive over slow links, and how many bytes they take.

mod network;

use std::rc::Rc;
use std::time::Duration;

use network::{Bandwidth, configuration, has_config, listen, process, relay, run_paused};
use sloeline_rpc::exchange::Exchange;
use sloeline_rpc::{RpcRequest, RpcResponse};

/// How long the peer holds a pull.
const HOLD: Duration = Duration::from_millis(1000);
/// Interval at which the other core machines are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(700);
/// Number of routes in a large configuration.
const ROUTES: u32 = 1700;

/// Answers the requests that balancers send to a core machine.
async fn answer(exchange: Rc<Exchange>, request: RpcRequest) -> Option<RpcResponse> {
    match request {
        RpcRequest::Pull(pull) => Some(RpcResponse::Updates(exchange.answer_pull(pull).await)),
        RpcRequest::CompareDigest { digest } => Some(exchange.compare_digest(digest)),
        RpcRequest::ConfigPiece(piece) => Some(RpcResponse::ConfigPiece(exchange.config_piece(&piece))),
        _ => None,
    }
}

#[test]
fn a_large_configuration_arrives_over_a_slow_link() {
    run_paused(async || {
        let (core, balancer) = (process("core"), process("balancer"));
        let config = configuration(7, ROUTES, 2500);
        // The compressed configuration has about 11 KB, so it takes more than two seconds, longer than any single response may
        // take.
        let bandwidth = Bandwidth::new(5_000);
        let address = relay(listen(&core).await, bandwidth.clone()).await;
        let _sync = balancer.follow(address, HOLD);
        core.apply_config(config.clone());
        let arrived = has_config(&balancer, &config, Duration::from_secs(20)).await;
        assert!(arrived, "not arrived after 20 s, {} bytes of {}", bandwidth.carried(), config.body.len());
        assert!(bandwidth.carried() > 2 * 5_000, "the transfer must take longer than two seconds");
    });
}

#[test]
fn a_small_change_to_a_large_configuration_is_sent_once_and_as_a_difference() {
    run_paused(async || {
        let balancer = process("balancer");
        let bandwidth = Bandwidth::new(660_000);
        let mut cores = Vec::new();
        let mut syncs = Vec::new();
        for name in ["core-1", "core-2", "core-3"] {
            let core = process(name);
            let address = relay(listen(&core).await, bandwidth.clone()).await;
            syncs.push(match cores.is_empty() {
                true => balancer.follow(address, HOLD),
                false => balancer.poll(address, POLL_INTERVAL),
            });
            cores.push(core);
        }
        let first = configuration(7, ROUTES, 2500);
        cores.iter().for_each(|core| core.apply_config(first.clone()));
        assert!(
            has_config(&balancer, &first, Duration::from_secs(20)).await,
            "the first configuration has not arrived after 20 s"
        );
        assert!(bandwidth.carried() < first.body.len() as u64, "{} bytes", bandwidth.carried());

        let before = bandwidth.carried();
        let second = configuration(8, ROUTES, 900);
        cores.iter().for_each(|core| core.apply_config(second.clone()));
        assert!(
            has_config(&balancer, &second, Duration::from_secs(2)).await,
            "the second configuration has not arrived after 2 s"
        );
        let sent = bandwidth.carried() - before;
        assert!(sent < 8 << 10, "{sent} bytes for a change of one route");
    });
}
