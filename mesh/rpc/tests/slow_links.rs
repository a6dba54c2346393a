//! Configurations on links that are slow for their size: they arrive, and cost what they must.

mod network;

use std::rc::Rc;
use std::time::Duration;

use network::{Bandwidth, configuration, has, listen, play, process, relay};
use sloeline_rpc::exchange::Exchange;
use sloeline_rpc::{RpcRequest, RpcResponse};

/// As long as a core machine holds a pull.
const HOLD: Duration = Duration::from_millis(1000);
/// How often a second machine is looked at.
const LOOK: Duration = Duration::from_millis(700);
/// Routes of a large configuration.
const ROUTES: u32 = 1700;

async fn answer(exchange: Rc<Exchange>, ask: RpcRequest) -> Option<RpcResponse> {
    match ask {
        RpcRequest::Pull(pull) => Some(RpcResponse::Updates(exchange.answer_pull(pull).await)),
        RpcRequest::CompareDigest { digest } => Some(exchange.compare_digest(digest)),
        RpcRequest::ConfigPiece(request) => Some(RpcResponse::ConfigPiece(exchange.config_piece(&request))),
        _ => None,
    }
}

#[test]
fn a_large_configuration_arrives_over_a_slow_link() {
    play(async || {
        let (core, balancer) = (process("core"), process("balancer"));
        let config = configuration(7, ROUTES, 2500);
        // Packed it has some 11 KB: two seconds and more, longer than any one answer may take.
        let bandwidth = Bandwidth::new(5_000);
        let address = relay(listen(&core).await, bandwidth.clone()).await;
        let _following = balancer.follow(address, HOLD);
        core.take_config(config.clone());
        let arrived = has(&balancer, &config, Duration::from_secs(20)).await;
        assert!(arrived, "not here after 20 s, {} bytes of {}", bandwidth.carried(), config.body.len());
        assert!(bandwidth.carried() > 2 * 5_000, "it was to take longer than two seconds");
    });
}

#[test]
fn a_small_change_of_a_large_configuration_crosses_a_link_once_and_as_a_difference() {
    play(async || {
        let balancer = process("balancer");
        let bandwidth = Bandwidth::new(660_000);
        let mut cores = Vec::new();
        let mut following = Vec::new();
        for name in ["core-1", "core-2", "core-3"] {
            let core = process(name);
            let address = relay(listen(&core).await, bandwidth.clone()).await;
            following.push(match cores.is_empty() {
                true => balancer.follow(address, HOLD),
                false => balancer.poll(address, LOOK),
            });
            cores.push(core);
        }
        let first = configuration(7, ROUTES, 2500);
        cores.iter().for_each(|core| core.take_config(first.clone()));
        assert!(has(&balancer, &first, Duration::from_secs(20)).await, "the first is not here after 20 s");
        assert!(bandwidth.carried() < first.body.len() as u64, "{} bytes", bandwidth.carried());

        let before = bandwidth.carried();
        let second = configuration(8, ROUTES, 900);
        cores.iter().for_each(|core| core.take_config(second.clone()));
        assert!(has(&balancer, &second, Duration::from_secs(2)).await, "the second is not here after 2 s");
        let cost = bandwidth.carried() - before;
        assert!(cost < 8 << 10, "{cost} bytes for a change of one route");
    });
}
