//! What the parts cost as they grow, for docs/CAPACITY.md: `cargo run --release -p sloeline-testbed --example slopes`. No
//! sockets; bytes are counted as they would be sent, times are this machine's.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use sloeline_chain_replication::{DurableState, Message, Node, Output, Rows, VoterSet};
use sloeline_config_transfer::encoding::{pack, unpack};
use sloeline_control_plane::tables::{Change, State};
use sloeline_data_plane::admission::{AdmissionQueue, Arrival, State as GateState};
use sloeline_discovery::{Condition, MeshState, Pull, Record, Upstream, Version};
use sloeline_idempotency::ClaimUpdate;
use sloeline_route_config::model::Config;
use sloeline_route_config::table::Table;
use sloeline_rpc::frame::{FrameKind, encode};
use sloeline_rpc::{RpcRequest, RpcResponse};

fn micros(start: Instant, times: u32) -> f64 {
    start.elapsed().as_secs_f64() * 1e6 / f64::from(times)
}

fn record(n: u32) -> Record {
    let address: SocketAddr = ([10, (n >> 16) as u8, (n >> 8) as u8, n as u8], 7620).into();
    Record {
        source: format!("branch-zone-{}-{n}", n % 13),
        version: Version { incarnation: 1_790_000_000_000_000 + u64::from(n), revision: 3 },
        mesh_address: address,
        zone: format!("zone-{}", n % 13),
        is_core: false,
        leaving: false,
        incoming_address: Some(address),
        upstream: Some(Upstream {
            id: format!("i-{n:010x}"),
            service: format!("service-{}", n % 2000),
            software_version: "v1".to_owned(),
            slots: 6,
            condition: Condition::Accepting,
            cold_until_micros: None,
        }),
    }
}

fn boards() {
    println!("sources   vector, bytes   one record, bytes   all, bytes   answer to a pull with one new, us");
    for count in [16, 256, 4096, 16_000] {
        let mut board = MeshState::default();
        board.merge((0..count).map(record).collect());
        let vector = board.vector();
        let pull = Pull {
            source: "asker".to_owned(),
            vector,
            config_version: Some(7),
            offered_version: None,
            core_round: None,
            pushed_records: Vec::new(),
            max_hold_ms: 2000,
        };
        let asked = encode(FrameKind::Request, 1, &RpcRequest::Pull(pull.clone())).map_or(0, |b| b.len());
        let all: Vec<Record> = board.records().values().map(|r| (**r).clone()).collect();
        let one = encode(FrameKind::Response, 1, &RpcResponse::Done).map_or(0, |b| b.len());
        let single = encode(FrameKind::Notification, 0, &RpcRequest::PushRecords(vec![record(1)]))
            .map_or(0, |b| b.len());
        let whole = encode(FrameKind::Notification, 0, &RpcRequest::PushRecords(all)).map_or(0, |b| b.len());
        let mut news = record(5);
        news.version.revision += 1;
        board.merge(vec![news]);
        let times = 2_000_000 / count.max(1_000);
        let start = Instant::now();
        for _ in 0..times {
            assert_eq!(black_box(board.response_to(black_box(&pull))).records.len(), 1);
        }
        println!(
            "{count:7}   {:13}   {:17}   {whole:10}   {:8.1}",
            asked,
            single.max(one),
            micros(start, times)
        );
    }
}

fn chain() {
    let peers: Vec<SocketAddr> = (1..=3).map(|i| ([10, 0, 0, i], 1).into()).collect();
    let mut nodes: Vec<Node<State>> = peers
        .iter()
        .map(|me| {
            let settings = sloeline_control_plane::core::chain_settings(*me, peers.clone(), 1);
            let durable = DurableState::founder(VoterSet::founders(&peers));
            Node::new(settings, durable, Rows::default(), State::new(60_000), 0)
        })
        .collect();
    let (mut now, mut bytes, mut messages) = (0, 0, 0);
    let run = |nodes: &mut Vec<Node<State>>, now: u64, bytes: &mut usize, messages: &mut usize| {
        let mut results = 0;
        loop {
            let mut quiet = true;
            for at in 0..nodes.len() {
                let outputs = nodes[at].take_outputs();
                quiet &= outputs.is_empty();
                for output in outputs {
                    match output {
                        Output::Send { to, message } => {
                            let from = peers[at];
                            let ask = RpcRequest::Chain { from, message: Box::new(message.clone()) };
                            if !matches!(message, Message::Heartbeat(_)) {
                                *bytes += encode(FrameKind::Notification, 0, &ask).map_or(0, |b| b.len());
                                *messages += 1;
                            }
                            if let Some(to) = peers.iter().position(|p| *p == to) {
                                nodes[to].receive(now, from, message);
                            }
                        }
                        Output::Write(write) => nodes[at].write_synced(now, write.token),
                        Output::Result { .. } => results += 1,
                    }
                }
            }
            if quiet {
                return results;
            }
        }
    };
    while !nodes.iter().all(|n| n.active() && n.committed() > 0) {
        now += 50;
        nodes.iter_mut().for_each(|n| n.tick(now));
        run(&mut nodes, now, &mut bytes, &mut messages);
    }
    println!("\nclaims together   all three machines, us a claim   bytes a claim   messages a claim");
    for together in [1, 8, 64] {
        (bytes, messages) = (0, 0);
        let (times, start) = (20_000 / together, Instant::now());
        let mut done = 0;
        for round in 0..times {
            now += 1;
            for n in 0..together {
                let number = u64::from(round * together + n) + 1 + (u64::from(together) << 40);
                let key = Bytes::from(number.to_be_bytes().to_vec());
                let claim = ClaimUpdate::Claim { key, run: number, holder: "branch-zone-1-1".to_owned() };
                nodes[1].submit(now, number, Change::Key(claim).encoded());
            }
            done += run(&mut nodes, now, &mut bytes, &mut messages);
        }
        let all = times * together;
        assert_eq!(done, all);
        println!(
            "{together:15}   {:30.1}   {:13.0}   {:16.2}",
            micros(start, all),
            bytes as f64 / f64::from(all),
            messages as f64 / f64::from(all)
        );
    }
    let rows = nodes[0].rows();
    let held: usize = rows.iter().map(|(key, value)| key.len() + value.len()).sum();
    println!("{} claims are {} bytes as rows", rows.len(), held);
}

fn tables() {
    println!("\nroutes   body, bytes   read and checked, ms   table, ms   found, us");
    for count in [10, 100, 1_000, 10_000] {
        let routes: Vec<String> = (0..count)
            .map(|n| {
                format!(
                    r#"{{"name":"r-{n}","route_kind":"safe","target":"300ms","precedence":2,
                    "sort_by":{{"lane_prefix":"/p{n}/"}},"dispatch":{{"line":"s-{}","timeout":"2000ms","tries":2}}}}"#,
                    n % 100
                )
            })
            .collect();
        let depots: Vec<String> = (0..100).map(|n| format!(r#"{{"name":"s-{n}"}}"#)).collect();
        let body = format!(
            r#"{{"edition":"00000001","gateways":[{{"station":"h","regulations":[{}]}}],"depots":[{}]}}"#,
            routes.join(","),
            depots.join(",")
        );
        let times = 20_000 / count.max(20);
        let start = Instant::now();
        let mut parsed = None;
        for _ in 0..times {
            parsed = Config::parse(black_box(body.as_bytes())).ok();
        }
        let read = micros(start, times) / 1e3;
        let Some(parsed) = parsed else { continue };
        let start = Instant::now();
        let mut table = Table::new(&parsed);
        for _ in 1..times {
            table = Table::new(black_box(&parsed));
        }
        let made = micros(start, times) / 1e3;
        let start = Instant::now();
        for n in 0..100_000 {
            black_box(table.find("h", if n % 2 == 0 { "/p7/x" } else { "/none/x" }));
        }
        println!("{count:6}   {:11}   {read:20.2}   {made:9.2}   {:9.2}", body.len(), micros(start, 100_000));
    }
}

/// A body whose names are as random as an operator's; the time-out of one route is given.
fn random_body(routes: u32, timeout: u32) -> String {
    let route = |number: u32| {
        let name = number.wrapping_mul(2_654_435_761) ^ 0x5bd1_e995;
        let timeout = if number == routes / 2 { timeout } else { 2500 };
        format!(
            r#"{{"name":"r-{name:08x}","route_kind":"safe","target":"600ms","precedence":2,"sort_by":{{"lane_prefix":"/{name:x}/"}},"dispatch":{{"line":"huvo11a","timeout":"{timeout}ms","tries":2}}}}"#
        )
    };
    (0..routes).map(route).collect::<Vec<_>>().join(",")
}

fn transfers() {
    println!("\nroutes   body, bytes   packed   one route changed   difference packed, ms   unpacked, ms");
    for routes in [100, 1_000, 1_700, 10_000] {
        let (base, body) = (random_body(routes, 2500), random_body(routes, 900));
        let whole = pack(&[], base.as_bytes()).map_or(0, |packed| packed.len());
        let times = 20;
        let start = Instant::now();
        let mut packed = Bytes::new();
        for _ in 0..times {
            packed = pack(black_box(base.as_bytes()), body.as_bytes()).unwrap_or_default();
        }
        let packing = micros(start, times) / 1e3;
        let start = Instant::now();
        for _ in 0..times {
            black_box(unpack(base.as_bytes(), &packed, body.len()).is_ok());
        }
        let unpacking = micros(start, times) / 1e3;
        println!(
            "{routes:6}   {:11}   {whole:6}   {:17}   {packing:21.2}   {unpacking:12.2}",
            body.len(),
            packed.len()
        );
    }
}

fn gate() {
    let mut gate = AdmissionQueue::default();
    gate.set_upstream(GateState::Open, 6);
    println!("\nrequests that wait at a gate   arrive and leave, us");
    for waiting in [0, 16, 90] {
        let arrival = Arrival {
            kind: 1,
            priority: 1,
            time_to_target: 900_000_000,
            time_left: 3_000_000_000,
            max_wait: 1_400_000_000,
            link_wait: 0,
            link_time: 0,
        };
        while gate.queued() < waiting || gate.in_flight() < 6 {
            gate.arrive(0, arrival);
        }
        let start = Instant::now();
        for n in 0..100_000 {
            gate.arrive(n, arrival);
            black_box(gate.complete(n, 1, Some(90_000)));
        }
        println!("{waiting:28}   {:20.2}", micros(start, 100_000));
    }
}

fn main() {
    boards();
    chain();
    tables();
    transfers();
    gate();
}
