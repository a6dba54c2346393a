//! Many pools and many routes in one configuration.

mod rig;

use std::fmt::Write;

use rig::*;
use sloeline_standin::client::Client;
use sloeline_standin::node::Node;
use sloeline_standin::record::Told;

#[test]
fn a_thousand_pools_and_ten_thousand_routes_start_serve_and_reload() {
    with(async |record| {
        let node = Node::start("n", "g", &record);
        let mut text = HEAD.replace("512", "8192").replace("[limits]", "[limits]\nmemory = \"1GiB\"");
        text += &pool("p", &[&node]);
        for n in 0..1000 {
            let _ = write!(text, "[pool.more-{n}]\nnodes = [{{ address = \"{}\" }}]\n", node.address);
        }
        for n in 0..10_000 {
            let more = format!(
                "method = \"GET\"\npath = \"/services/{n}/{{id}}\"\nclass = \"look\"\npool = \"more-{}\"",
                n % 1000
            );
            text += &route(&format!("r{n}"), &more);
        }
        text += &routes("p");
        let read = |text: &str| match sloeline_config::load(text, 8192) {
            Ok((config, _)) => config,
            Err(problems) => panic!("{problems:?}"),
        };
        let few = HEAD.to_owned() + &pool("p", &[&node]) + &routes("p");
        let mut daemon = start(&few).await;
        let mut client = Client::new(public(&daemon), &record);
        for round in 0..3 {
            daemon.reload(read(&text)).await.expect("a good configuration");
            for n in [0, 77, 4711, 9999] {
                assert_eq!(client.ask(&look(&format!("/services/{n}/{round}"))).await.0, Told::Served, "{n}");
            }
            daemon.reload(load(&few)).await.expect("a good configuration");
            assert_eq!(client.ask(&look("/services/77/1")).await.0, Told::Failed);
            assert_eq!(client.ask(&look("/files/1")).await.0, Told::Served);
        }
        daemon.stop().await;
    });
}
