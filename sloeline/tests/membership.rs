//! Pools whose lists come from a registry or a file.

mod rig;

use std::time::Duration;

use rig::*;
use sloeline::daemon::Daemon;
use sloeline_standin::client::Client;
use sloeline_standin::node::Node;
use sloeline_standin::record::Told;
use sloeline_standin::registry::{Entry, Registry};
use tokio::time::sleep;

fn serving(node: &Node) -> Option<Entry> {
    Some(Entry { address: node.address, zone: "default".to_owned(), draining: false })
}

fn draining(node: &Node) -> Option<Entry> {
    serving(node).map(|e| Entry { draining: true, ..e })
}

async fn ready(daemon: &Daemon) -> bool {
    raw(public(daemon), "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n").await.status == 200
}

#[test]
fn a_registry_is_followed_through_drains_and_outages() {
    with(async |record| {
        let (a, b, c) =
            (Node::start("a", "g", &record), Node::start("b", "g", &record), Node::start("c", "g", &record));
        let registry = Registry::start();
        let address = registry.address;
        let text = HEAD.to_owned() + &format!("[pool.p]\nregistry = \"{address}\"\n") + &routes("p");
        registry.set("a", serving(&a));
        registry.set("b", serving(&b));
        let daemon = start(&text).await;
        while !ready(&daemon).await {
            sleep(Duration::from_millis(1)).await;
        }
        let mut client = Client::new(public(&daemon), &record);
        until_used(&mut client, &record, "a").await;
        until_used(&mut client, &record, "b").await;
        registry.set("b", draining(&b));
        record.close("b", Duration::from_secs(2));
        until_unused(&mut client, &record, "b").await;

        // While it is down the last list holds; then it comes back with other versions and one node more.
        registry.down();
        assert_eq!(client.ask(&look("/files/a")).await.0, Told::Served);
        let registry = Registry::start_at(address);
        registry.set("c", serving(&c));
        until_used(&mut client, &record, "c").await;
        until_unused(&mut client, &record, "a").await;
        registry.set("a", serving(&a));
        until_used(&mut client, &record, "a").await;
        registry.set("a", None);
        until_unused(&mut client, &record, "a").await;
        assert!(record.account().closes(), "{:?}", record.violations());
        daemon.stop().await;
    });
}

#[test]
fn a_registry_that_is_not_there_keeps_the_pool_unready_and_others_go_on() {
    with(async |record| {
        let node = Node::start("n", "g", &record);
        let nowhere = "[pool.q]\nregistry = \"127.0.0.1:1\"\n".to_owned()
            + &route("q", "method = \"GET\"\npath = \"/q\"\nclass = \"look\"\npool = \"q\"");
        let text = HEAD.to_owned() + &pool("p", &[&node]) + &nowhere + &routes("p");
        let daemon = start(&text).await;
        assert!(!ready(&daemon).await);
        let to = public(&daemon);
        assert_eq!(raw(to, "GET /q HTTP/1.1\r\nHost: a\r\n\r\n").await.status, 503);
        assert_eq!(raw(to, "GET /files/a HTTP/1.1\r\nHost: a\r\n\r\n").await.status, 200);
        daemon.stop().await;
    });
}

#[test]
fn a_file_of_nodes_is_followed_and_a_source_can_be_exchanged() {
    with(async |record| {
        let (a, b) = (Node::start("a", "g", &record), Node::start("b", "g", &record));
        let file = std::env::temp_dir().join(format!("sloeline-nodes-{}.json", std::process::id()));
        let list = |node: &Node| {
            let entry = format!(
                r#"{{"instanceId":"{}","hostPort":"{}","zone":"default","lifecycle":"SERVING"}}"#,
                node.name, node.address
            );
            std::fs::write(&file, format!(r#"{{"generation":1,"instances":[{entry}]}}"#)).expect("a file");
        };
        list(&a);
        let text = HEAD.to_owned() + &format!("[pool.p]\nnodes_file = {file:?}\n") + &routes("p");
        let mut daemon = start(&text).await;
        assert!(ready(&daemon).await);
        let mut client = Client::new(public(&daemon), &record);
        until_used(&mut client, &record, "a").await;
        list(&b);
        until_used(&mut client, &record, "b").await;
        until_unused(&mut client, &record, "a").await;
        // From the file to a list in the configuration: what the file says then is no news.
        let fixed = HEAD.to_owned() + &pool("p", &[&a]) + &routes("p");
        daemon.reload(load(&fixed)).await.expect("a good configuration");
        until_unused(&mut client, &record, "b").await;
        list(&b);
        until_unused(&mut client, &record, "b").await;
        // A file that cannot be read changes nothing.
        std::fs::write(&file, "{").expect("a file");
        let why = daemon.reload(load(&text)).await.expect_err("no list");
        assert!(why.contains("pool.p") && why.contains("nodes"), "{why}");
        until_used(&mut client, &record, "a").await;
        let _ = std::fs::remove_file(&file);
        daemon.stop().await;
    });
}
