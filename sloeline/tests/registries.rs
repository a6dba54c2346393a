//! The daemon between stand-ins for etcd, Consul and the DNS.

mod rig;

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use rig::*;
use sloeline::members::members;
use sloeline_membership::view::{MemberStatus, Node as Entry};
use sloeline_membership::xds::messages::{
    Address, ClusterLoadAssignment, Endpoint, LbEndpoint, LocalityLbEndpoints, SocketAddress,
};
use sloeline_standin::client::Client;
use sloeline_standin::consul::Consul;
use sloeline_standin::dns::{Data, Dns};
use sloeline_standin::etcd::Etcd;
use sloeline_standin::keys::{Store, Write};
use sloeline_standin::node::Node;
use sloeline_standin::record::Told;
use sloeline_standin::xds::Xds;
use tokio::time::sleep;

fn entry(node: &Node, status: MemberStatus) -> Vec<u8> {
    let entry = Entry {
        identity: node.name.to_string(),
        address: node.address,
        zone: "default".to_owned(),
        kind: String::new(),
        cell: 0,
        weight: 1.0,
        started: Some(1_000_000),
    };
    sloeline_membership::entry::write(&entry, status)
}

fn put(etcd: &Etcd, node: &Node) {
    etcd.change(|store| store.put(&format!("/p/nodes/{}", node.name), entry(node, MemberStatus::Serving), 0));
}

async fn until_ready(to: SocketAddr) {
    while raw(to, "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n").await.status != 200 {
        sleep(Duration::from_millis(1)).await;
    }
}

#[test]
fn etcd_is_followed_through_drains_breaks_compaction_and_its_own_end() {
    with(async |record| {
        let (a, b, c) =
            (Node::start("a", "g", &record), Node::start("b", "g", &record), Node::start("c", "g", &record));
        let etcd = Etcd::start(Store::new(7)).expect("a registry");
        let address = etcd.address;
        put(&etcd, &a);
        put(&etcd, &b);
        let source = format!(
            "[pool.p]\nsource = [{{ etcd = [\"{address}\"], prefix = \"/p/\", check = \"200ms\" }}]\n"
        );
        let mut daemon = start(&(HEAD.to_owned() + &source + &routes("p"))).await;
        let to = public(&daemon);
        until_ready(to).await;
        let mut client = Client::new(to, &record);
        until_used(&mut client, &record, "a").await;
        until_used(&mut client, &record, "b").await;

        // An order on the node, a broken watch, and the order taken back: all by the watch alone.
        etcd.change(|store| store.put("/p/drains/b", "", 0));
        record.close("b", Duration::from_secs(2));
        until_unused(&mut client, &record, "b").await;
        etcd.break_watches();
        // Several changes at once come in pieces.
        etcd.change(|store| {
            let each = [&a, &b, &c]
                .map(|n| Write::Put(format!("/p/nodes/{}", n.name), entry(n, MemberStatus::Serving), 0));
            store.write(each.into_iter().chain([Write::Delete("/p/drains/b".to_owned())]).collect());
        });
        record.reopen("b");
        until_used(&mut client, &record, "c").await;
        until_used(&mut client, &record, "b").await;

        // While it is down the last list holds. It comes back compacted, with a drain and one node less.
        let mut store = etcd.store();
        drop(etcd);
        assert_eq!(client.ask(&look("/files/a")).await.0, Told::Served);
        store.put("/p/drains/a", "", 0);
        store.delete("/p/nodes/c");
        store.compact(store.revision);
        let etcd = Etcd::start_at(address, store).expect("the registry again");
        until_unused(&mut client, &record, "a").await;
        until_unused(&mut client, &record, "c").await;
        until_used(&mut client, &record, "b").await;

        // What `members` says of it.
        let config = load(&(HEAD.to_owned() + &source + &routes("p")));
        let text = members(&config, std::path::Path::new(""), Some("p"), LONG).await.expect("members");
        let line = |name: &str| {
            text.lines().find(|l| l.trim_start().starts_with(name)).unwrap_or_default().to_owned()
        };
        assert!(line("a ").contains("out") && line("a ").ends_with("drains by order"), "{text}");
        assert!(line("b ").contains("in") && line("b ").ends_with("serves"), "{text}");
        assert!(line("source etcd").contains(&format!("revision {}", etcd.store().revision)), "{text}");
        // A pool that is moved to another source keeps serving.
        let other = Etcd::start(Store::new(8)).expect("another registry");
        put(&other, &c);
        let moved = source.replace(&address.to_string(), &other.address.to_string());
        daemon.reload(load(&(HEAD.to_owned() + &moved + &routes("p")))).await.expect("a reload");
        until_used(&mut client, &record, "c").await;
        until_unused(&mut client, &record, "b").await;
        assert!(record.account().closes(), "{:?}", record.violations());
        daemon.stop().await;
    });
}

#[test]
fn sources_are_merged_and_an_order_of_either_holds() {
    with(async |record| {
        let (a, b) = (Node::start("host/a", "g", &record), Node::start("host/b", "g", &record));
        let consul = Consul::start().expect("a registry");
        let etcd = Etcd::start(Store::new(7)).expect("a registry");
        consul.set("a", Some((a.address, "passing", false)));
        consul.set("b", Some((b.address, "passing", false)));
        let text = format!(
            "{HEAD}[pool.p]\nsource = [{{ consul = [\"{}\"], service = \"checks\" }}, {{ etcd = [\"{}\"], prefix = \"/p/\" }}]\n{}",
            consul.address,
            etcd.address,
            routes("p")
        );
        let mut daemon = start(&text).await;
        let to = public(&daemon);
        until_ready(to).await;
        let mut client = Client::new(to, &record);
        until_used(&mut client, &record, "host/a").await;
        until_used(&mut client, &record, "host/b").await;
        // Ordered out by the second source, which then loses the node: that takes nothing back.
        put(&etcd, &b);
        etcd.change(|store| store.put("/p/drains/host/b", "", 0));
        until_unused(&mut client, &record, "host/b").await;
        etcd.change(|store| store.delete("/p/nodes/host/b"));
        until_unused(&mut client, &record, "host/b").await;
        put(&etcd, &b);
        etcd.change(|store| store.delete("/p/drains/host/b"));
        until_used(&mut client, &record, "host/b").await;
        // Maintenance in the first.
        consul.set("a", Some((a.address, "critical", true)));
        until_unused(&mut client, &record, "host/a").await;
        consul.set("a", Some((a.address, "passing", false)));
        until_used(&mut client, &record, "host/a").await;
        // Both lists empty: held, until an operator says that they are right.
        etcd.change(|store| store.delete("/p/nodes/host/b"));
        consul.set("b", None);
        consul.set("a", None);
        until_used(&mut client, &record, "host/a").await;
        let calls = consul.calls();
        let accept = text.replacen("[[route]]", "[pool.p.doubt]\naccept = true\n[[route]]", 1);
        daemon.reload(load(&accept)).await.expect("a reload");
        while client.ask(&look("/files/a")).await.0 == Told::Served {}
        assert!(consul.calls() <= calls + 2, "other rules are no reason to ask anew");
        assert!(record.account().closes(), "{:?}", record.violations());
        daemon.stop().await;
    });
}

#[test]
fn a_cluster_at_an_xds_server_is_followed_in_both_ways() {
    for delta in [false, true] {
        with(async |record| {
            let (a, b) = (Node::start("a", "g", &record), Node::start("b", "g", &record));
            let xds = Xds::start("checks").expect("a server");
            let set = |states: &[(&Node, i32)]| {
                let endpoint = |(node, health_status): &(&Node, i32)| {
                    let (address, port_value) =
                        (node.address.ip().to_string(), u32::from(node.address.port()));
                    let address = Address { socket_address: Some(SocketAddress { address, port_value }) };
                    let endpoint = Some(Endpoint { address: Some(address) });
                    LbEndpoint { endpoint, health_status: *health_status, load_balancing_weight: None }
                };
                let group = LocalityLbEndpoints {
                    locality: None,
                    lb_endpoints: states.iter().map(endpoint).collect(),
                    priority: 0,
                };
                xds.set(&ClusterLoadAssignment { cluster_name: "checks".to_owned(), endpoints: vec![group] });
            };
            set(&[(&a, 1), (&b, 0)]);
            let text = format!(
                "{HEAD}[pool.p]\nsource = [{{ xds = [\"{}\"], cluster = \"checks\", delta = {delta} }}]\n{}",
                xds.address,
                routes("p")
            );
            let daemon = start(&text).await;
            let to = public(&daemon);
            until_ready(to).await;
            let mut client = Client::new(to, &record);
            until_used(&mut client, &record, "a").await;
            until_used(&mut client, &record, "b").await;
            set(&[(&a, 3), (&b, 1)]);
            until_unused(&mut client, &record, "a").await;
            // What can't be read is refused, and what was known holds.
            let taken = xds.taken();
            xds.set_raw(vec![0xff; 9]);
            while xds.refused().is_empty() {
                sleep(Duration::from_millis(1)).await;
            }
            until_unused(&mut client, &record, "a").await;
            assert_eq!((xds.refused().len(), xds.taken()), (1, taken));
            set(&[(&a, 1), (&b, 3)]);
            until_unused(&mut client, &record, "b").await;
            daemon.stop().await;
        });
    }
}

#[test]
fn names_are_followed_as_their_records_live() {
    with(async |record| {
        let (a, b) = (Node::start("a.internal:1", "g", &record), Node::start("b.internal:1", "g", &record));
        let dns = Dns::start().await.expect("a server");
        let ip = |node: &Node| match node.address.ip() {
            IpAddr::V4(ip) => ip,
            IpAddr::V6(_) => unreachable!("nodes listen on IPv4"),
        };
        let srv = |node: &Node, target: &str| Data::Srv(1, 1, node.address.port(), target.to_owned());
        dns.set("a.internal", 1, vec![Data::A(ip(&a))]);
        dns.set("b.internal", 1, vec![Data::A(ip(&b))]);
        dns.set("_p._tcp.internal", 1, vec![srv(&a, "a.internal")]);
        let text = format!(
            "{HEAD}[pool.p]\nsource = [{{ srv = \"_p._tcp.internal\", servers = [\"{}\"], least_ttl = \"20ms\", most_ttl = \"20ms\" }}]\n{}",
            dns.address,
            routes("p")
        );
        let daemon = start(&text).await;
        let to = public(&daemon);
        until_ready(to).await;
        let mut client = Client::new(to, &record);
        until_used(&mut client, &record, "a.internal:1").await;
        dns.set("_p._tcp.internal", 1, vec![srv(&a, "a.internal"), srv(&b, "b.internal")]);
        until_used(&mut client, &record, "b.internal:1").await;
        dns.set("_p._tcp.internal", 1, vec![srv(&b, "b.internal")]);
        until_unused(&mut client, &record, "a.internal:1").await;
        // No such name: the last one stays.
        dns.set("_p._tcp.internal", 1, Vec::new());
        for _ in 0..20 {
            until_used(&mut client, &record, "b.internal:1").await;
        }
        daemon.stop().await;
    });
}

#[test]
fn the_daemon_announces_itself_and_withdraws_before_it_stops() {
    with(async |record| {
        let node = Node::start("n", "g", &record);
        let etcd = Etcd::start(Store::new(7)).expect("a registry");
        let announce = format!(
            "[announce]\netcd = [\"{}\"]\nprefix = \"/edge/\"\naddress = \"10.1.2.3:80\"\nidentity = \"edge-1\"\n",
            etcd.address
        );
        let pools = format!("[pool.p]\nsource = [{{ etcd = [\"{}\"], prefix = \"/p/\" }}]\n", etcd.address);
        let text = HEAD.to_owned() + &announce + &pools + &routes("p");
        let mut daemon = start(&text).await;
        let status = |store: &Store| {
            let all = store.range(b"/edge/nodes/", b"/edge/nodes0", 0).unwrap_or_default();
            all.first()
                .map(|(_, p)| sloeline_membership::entry::read("e", &p.value, 0).expect("an entry").status)
        };
        until_ready(public(&daemon)).await;
        while status(&etcd.store()).is_none() {
            sleep(Duration::from_millis(1)).await;
        }
        assert_eq!(status(&etcd.store()), Some(MemberStatus::Serving));
        put(&etcd, &node);
        // A reload in the same words writes nothing.
        let revision = etcd.store().revision;
        daemon.reload(load(&text)).await.expect("a reload");
        let mut client = Client::new(public(&daemon), &record);
        until_used(&mut client, &record, "n").await;
        assert_eq!(etcd.store().revision, revision);
        // It is still taking requests when it is written that it drains, and gone from the registry at the end.
        daemon.stop().await;
        let store = etcd.store();
        let told: Vec<Option<MemberStatus>> = store
            .log
            .iter()
            .filter(|c| c.key.starts_with(b"/edge/"))
            .map(|c| {
                let entry = c.now.as_ref().map(|p| sloeline_membership::entry::read("e", &p.value, 0));
                entry.map(|e| e.expect("an entry").status)
            })
            .collect();
        assert_eq!(told, [Some(MemberStatus::Serving), Some(MemberStatus::Draining), None]);
    });
}
