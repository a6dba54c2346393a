//! Upstreams, balancer and clients in one process, with an upstream that dies and one that drains on the way.

use std::cell::Cell;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use fastrand::Rng;
use sloeline_standin::client::{Client, Wording};
use sloeline_standin::node::{Does, Node};
use sloeline_standin::record::{Kind, Record};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

use crate::cli::block_on;
use crate::daemon::Daemon;

const NODES: usize = 6;
const CLIENTS: usize = 24;
/// How long a client waits before its next request, at the mean.
const PAUSE: Duration = Duration::from_millis(40);
const PATIENCE: Duration = Duration::from_secs(2);
/// Nothing new goes to the drained upstream this long after the balancer is told.
const GRACE: Duration = Duration::from_secs(2);

/// Runs the demonstration; the error says that the account does not close.
pub fn run(seconds: u64, seed: u64) -> Result<(), String> {
    block_on(demonstrate(Duration::from_secs(seconds.max(2)), seed))
}

/// The configuration of the demonstration; the node with this number drains.
fn configuration(nodes: &[Node], draining: Option<usize>) -> String {
    let entry = |(at, node): (usize, &Node)| {
        let drains = draining == Some(at);
        format!(
            "  {{ name = \"{}\", address = \"{}\", cell = {}, draining = {drains} }},\n",
            node.name,
            node.address,
            at / 2
        )
    };
    let nodes: String = nodes.iter().enumerate().map(entry).collect();
    format!(
        r#"[instance]
name = "demo"

[limits]
descriptors = 512

[listener.public]
address = "127.0.0.1:0"
deadline_header = "Request-Timeout-Ms"

[class.look]
effect = "safe"
aim = "500ms"
deadline = "2s"

[class.pull]
effect = "keyed"
group = "cell"
window = "10s"
aim = "500ms"
deadline = "2s"

[class.pay]
effect = "unsafe"
aim = "500ms"
deadline = "2s"
worth = 12.0

[pool.nodes]
declined = {{ header = "Srv-Declined", value = "1", status = [503] }}
nodes = [
{nodes}]

[[route]]
name = "look at a file"
method = "GET"
path = "/files/{{id}}"
class = "look"
pool = "nodes"

[[route]]
name = "pull a file"
method = "PUT"
path = "/files/{{id}}"
class = "pull"
key = "header:Idempotency-Key"
pool = "nodes"

[[route]]
name = "pay for a check"
method = "POST"
path = "/checks"
class = "pay"
pool = "nodes"
"#
    )
}

fn wording(rng: &mut Rng) -> Wording {
    let file = format!("/files/{}", rng.u32(..1000));
    let (method, path, kind, body) = match rng.u32(..4) {
        0 | 1 => ("GET", file, Kind::Safe, Bytes::new()),
        2 => ("PUT", file, Kind::Keyed, Bytes::from_static(b"a credit file")),
        _ => ("POST", "/checks".to_owned(), Kind::Unsafe, Bytes::from_static(b"a check")),
    };
    Wording { method, path, kind, patience: PATIENCE, body, headers: Vec::new() }
}

async fn demonstrate(length: Duration, seed: u64) -> Result<(), String> {
    println!("seed {seed}; {NODES} upstreams, {CLIENTS} clients, {} s", length.as_secs());
    let mut rng = Rng::with_seed(seed);
    let record = Record::default();
    let nodes: Vec<Node> =
        (0..NODES).map(|n| Node::start(&format!("node-{n}"), &format!("cell-{}", n / 2), &record)).collect();
    nodes.iter().for_each(|node| node.now(Does::Serve(Duration::from_millis(rng.u64(5..25)))));
    let load = |draining| {
        let loaded = sloeline_config::load(&configuration(&nodes, draining), 512);
        loaded.map(|(config, _)| config).map_err(|p| p.iter().map(|p| format!("{p}\n")).collect::<String>())
    };
    let mut daemon = Daemon::start(load(None)?, Path::new(""), rng.u64(..)).await?;
    let address = daemon.address("public").ok_or("no listener")?;

    let start = Instant::now();
    let ends = start + length;
    let going = Rc::new(Cell::new(true));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (record, going, mut rng) = (record.clone(), going.clone(), Rng::with_seed(rng.u64(..)));
            spawn_local(async move {
                let mut client = Client::new(address, &record);
                while going.get() {
                    client.ask(&wording(&mut rng)).await;
                    sleep(PAUSE.mul_f64(2.0 * rng.f64())).await;
                }
            })
        })
        .collect();

    // At a quarter one breaks what it has and dies, at a half it drains another.
    let (dies, drains) = (rng.usize(..NODES / 2), NODES / 2 + rng.usize(..NODES / 2));
    let (mut died, mut drained) = (false, false);
    let mut before = record.account();
    for second in 1.. {
        let tick = start + Duration::from_secs(second);
        if tick > ends {
            break;
        }
        sleep_until(tick).await;
        let now = record.account();
        println!(
            "{second:>3} s: asked {:>4}, served {:>4}, refused {}, failed {}; open {}",
            now.asked - before.asked,
            now.served - before.served,
            now.refused - before.refused,
            now.failed - before.failed,
            record.open()
        );
        before = now;
        if !died && start.elapsed() >= length / 4 {
            println!("       {} dies with what it has", nodes[dies].name);
            nodes[dies].die();
            died = true;
        } else if !drained && start.elapsed() >= length / 2 {
            println!("       {} drains", nodes[drains].name);
            daemon.reload(load(Some(drains))?).await?;
            record.close(&nodes[drains].name, GRACE);
            drained = true;
        }
    }
    going.set(false);
    for client in clients {
        client.await.map_err(|e| format!("a client fell over: {e}"))?;
    }
    daemon.stop().await;
    let account = record.account();
    println!("{account}");
    println!(
        "{} got {} in all, {} got {}",
        nodes[dies].name,
        record.sends(&nodes[dies].name),
        nodes[drains].name,
        record.sends(&nodes[drains].name)
    );
    if account.closes() && account.served > 0 {
        println!("the account closes: every request has one final answer, and none ran twice");
        return Ok(());
    }
    record.violations().iter().for_each(|line| println!("  {line}"));
    Err("the account does not close".to_owned())
}
