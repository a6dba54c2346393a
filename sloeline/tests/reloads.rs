//! A whole configuration replaced while requests are open.

mod rig;

use std::time::Duration;

use hyper::StatusCode;
use rig::*;
use sloeline_standin::client::Client;
use sloeline_standin::node::{Does, Node};
use sloeline_standin::record::Told;
use sloeline_work::schedule::{Job, Priority};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Asks in a task of its own.
fn ask(
    to: std::net::SocketAddr,
    record: &sloeline_standin::record::Record,
    wording: sloeline_standin::client::Wording,
) -> tokio::task::JoinHandle<(Told, Option<StatusCode>)> {
    let record = record.clone();
    spawn_local(async move { Client::new(to, &record).ask(&wording).await })
}

#[test]
fn a_keyed_request_gets_its_second_attempt_in_a_pool_that_is_removed_meanwhile() {
    with(async |record| {
        let (old, new) = (Node::start("old", "g", &record), Node::start("new", "g", &record));
        let before = HEAD.to_owned() + &pool("old", &[&old]) + &routes("old");
        let after = HEAD.to_owned() + &pool("new", &[&new]) + &routes("new");
        let mut daemon = start(&before).await;
        let to = public(&daemon);
        old.now(Does::Hang);
        let asked = ask(to, &record, pull("/files/7"));
        old.arrivals(1).await;
        daemon.reload(load(&after)).await.expect("a good configuration");
        // The first attempt breaks off only now; the next one is served.
        old.now(Does::Serve(Duration::ZERO));
        assert_eq!(asked.await.expect("a client").0, Told::Served);
        assert_eq!((record.sends("old"), record.sends("new")), (2, 0));
        // What comes later goes the new way.
        assert_eq!(ask(to, &record, pull("/files/7")).await.expect("a client").0, Told::Served);
        assert_eq!((record.sends("old"), record.sends("new")), (2, 1));
        assert!(record.account().closes(), "{:?}", record.violations());
        daemon.stop().await;
    });
}

#[test]
fn a_request_keeps_the_class_it_came_with() {
    let class = |effect: &str| {
        HEAD.replace("[class.look]\neffect = \"safe\"", &format!("[class.look]\neffect = \"{effect}\""))
    };
    with(async |record| {
        let node = Node::start("n", "g", &record);
        let text = |effect| class(effect) + &pool("p", &[&node]) + &routes("p");
        let mut daemon = start(&text("safe")).await;
        let to = public(&daemon);
        // Safe when it came, unsafe by the time its attempt breaks: it goes out again.
        node.now(Does::Hang);
        let asked = ask(to, &record, look("/files/7"));
        node.arrivals(1).await;
        daemon.reload(load(&text("unsafe"))).await.expect("a good configuration");
        node.now(Does::Serve(Duration::ZERO));
        assert_eq!(asked.await.expect("a client").0, Told::Served);
        assert_eq!(record.sends("n"), 2);
        // Unsafe when it came, safe by then: it does not.
        node.now(Does::Hang);
        let asked = ask(to, &record, look("/files/7"));
        node.arrivals(3).await;
        daemon.reload(load(&text("safe"))).await.expect("a good configuration");
        node.now(Does::Serve(Duration::ZERO));
        assert_eq!(asked.await.expect("a client").0, Told::Failed);
        assert_eq!(record.sends("n"), 3);
        daemon.stop().await;
    });
}

/// It comes when its class has a new definition already, under a number that was free, and nothing of it is in force.
#[test]
fn a_request_that_comes_while_a_configuration_is_made_ready_keeps_its_class() {
    with(async |record| {
        let node = Node::start("n", "g", &record);
        let text = |effect: &str| {
            let class = format!("[class.look]\neffect = \"{effect}\"");
            let head = HEAD.replace("[class.look]\neffect = \"safe\"", &class);
            head + "[work]\nslice = \"1us\"\n" + &pool("p", &[&node]) + &routes("p")
        };
        let mut daemon = start(&text("safe")).await;
        let (to, work) = (public(&daemon), daemon.work());
        node.now(Does::Hang);
        let turns =
            || work.with_schedule(|schedule, _| schedule.kinds().get("reload").map_or(0, |kind| kind.turns));
        let before = turns();
        let mut asked = None;
        let meanwhile = async {
            // Its first turns, in which its only pool is planned.
            let hold = loop {
                let turn = work.acquire_turn(Job::new("test", 1, Priority::Normal)).await.expect("a place");
                if turns() >= before + 2 {
                    break turn;
                }
                drop(turn);
                tokio::task::yield_now().await;
            };
            asked = Some(ask(to, &record, look("/files/7")));
            node.arrivals(1).await;
            drop(hold);
        };
        let (reloaded, ()) = tokio::join!(daemon.reload(load(&text("unsafe"))), meanwhile);
        reloaded.expect("a good configuration");
        node.now(Does::Serve(Duration::ZERO));
        let asked = asked.expect("it was asked meanwhile");
        assert_eq!(asked.await.expect("a client").0, Told::Served);
        assert_eq!(record.sends("n"), 2);
        // One that is left in a turn has changed nothing: what comes now is unsafe still.
        let hold = work.acquire_turn(Job::new("test", 1, Priority::Normal)).await.expect("a place");
        let turns_before = turns();
        let left = tokio::time::timeout(Duration::from_millis(20), daemon.reload(load(&text("safe")))).await;
        assert!(left.is_err());
        drop(hold);
        node.now(Does::Break);
        assert_eq!(ask(to, &record, look("/files/7")).await.expect("a client").0, Told::Failed);
        assert_eq!((record.sends("n"), turns()), (3, turns_before));
        daemon.stop().await;
    });
}

#[test]
fn a_request_whose_body_is_on_its_way_keeps_its_class_too() {
    with(async |record| {
        let nodes = [Node::start("n", "g", &record), Node::start("m", "g", &record)];
        let text = HEAD.to_owned() + &pool("p", &[&nodes[0], &nodes[1]]) + &routes("p");
        let safe = text
            .replace("[class.pay]\neffect = \"unsafe\"", "[class.pay]\neffect = \"safe\"")
            .replace("prefix = \"/checks\"", "prefix = \"/checks\"\nassert = \"write-method-is-safe\"");
        let mut daemon = start(&text).await;
        let mut stream = TcpStream::connect(public(&daemon)).await.expect("it listens");
        let head = "POST /checks HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n";
        stream.write_all(head.as_bytes()).await.expect("it reads");
        // It asks for the body, so it has looked at the head.
        let mut seen = [0; 25];
        stream.read_exact(&mut seen).await.expect("it asks for the body");
        assert_eq!(&seen[..12], b"HTTP/1.1 100");
        daemon.reload(load(&safe)).await.expect("a good configuration");
        nodes.iter().for_each(|node| node.now(Does::Break));
        let sends = || record.sends("n") + record.sends("m");
        stream.write_all(b"body").await.expect("it reads");
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).await.expect("an answer");
        assert_eq!((&answer, sends()), (b"HTTP/1.1 502", 1));
        // And what comes now has the new one.
        let mut client = Client::new(public(&daemon), &record);
        client.ask(&pay("/checks")).await;
        assert!(sends() > 2, "{}", sends());
        daemon.stop().await;
    });
}

#[test]
fn a_stop_that_is_shorter_than_the_deadlines_still_answers_everything() {
    with(async |record| {
        let node = Node::start("n", "g", &record);
        let text = HEAD.replace("[limits]", "[limits]\nstop_within = \"700ms\"");
        let daemon = start(&(text + &pool("p", &[&node]) + &routes("p"))).await;
        node.now(Does::Hang);
        let asked = ask(public(&daemon), &record, pay("/checks"));
        node.arrivals(1).await;
        let start = tokio::time::Instant::now();
        daemon.stop().await;
        assert_eq!(asked.await.expect("a client").0, Told::Failed);
        assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
    });
}

#[test]
fn a_pool_that_is_not_changed_keeps_its_connections() {
    with(async |record| {
        let (node, other) = (Node::start("n", "g", &record), Node::start("o", "g", &record));
        let plain = HEAD.to_owned() + &pool("p", &[&node]) + &routes("p");
        let more = plain.clone()
            + &pool("q", &[&other])
            + &route("more", "method = \"GET\"\npath = \"/more\"\nclass = \"look\"\npool = \"q\"");
        let mut daemon = start(&plain).await;
        let mut client = Client::new(public(&daemon), &record);
        for round in 0..10 {
            assert_eq!(client.ask(&look("/files/7")).await.0, Told::Served);
            let text = if round % 2 == 0 { &more } else { &plain };
            daemon.reload(load(text)).await.expect("a good configuration");
        }
        assert_eq!(node.connections(), 1);
        // The caller's connection is the same one too.
        assert!(client.connected());
        daemon.stop().await;
    });
}

#[test]
fn drained_by_a_reload_it_gets_nothing_new_and_keeps_what_it_has() {
    with(async |record| {
        let (a, b) = (Node::start("a", "g", &record), Node::start("b", "g", &record));
        let text = HEAD.to_owned() + &pool("p", &[&a, &b]) + &routes("p");
        let mark = format!("address = \"{}\"", a.address);
        let drained = text.replace(&mark, &format!("{mark}, draining = true"));
        let mut daemon = start(&text).await;
        let to = public(&daemon);
        a.now(Does::Hang);
        b.now(Does::Hang);
        let asked: Vec<_> = (0..2).map(|_| ask(to, &record, pay("/checks"))).collect();
        a.arrivals(1).await;
        b.arrivals(1).await;
        daemon.reload(load(&drained)).await.expect("a good configuration");
        record.close("a", Duration::ZERO);
        b.now(Does::Serve(Duration::ZERO));
        let mut client = Client::new(to, &record);
        for _ in 0..20 {
            assert_eq!(client.ask(&pay("/checks")).await.0, Told::Served);
        }
        a.now(Does::Break);
        for asked in asked {
            assert_eq!(asked.await.expect("a client").0, Told::Failed);
        }
        assert!(record.account().closes(), "{:?}", record.violations());
        daemon.stop().await;
    });
}

#[test]
fn a_node_that_a_reload_adds_is_spared_wherever_it_stands() {
    with(async |record| {
        let start_one = |name: &str| Node::start(name, "g", &record);
        let (a, b, c) = (start_one("a"), start_one("b"), start_one("c"));
        let (cold, colder) = (start_one("cold"), start_one("colder"));
        let before = HEAD.to_owned() + &pool("p", &[&a, &b]) + &pool("o", &[&c]) + &routes("p");
        // One joins a pool that is there; the other stands in a new one, beside nodes that have moved there.
        let after = HEAD.to_owned()
            + &pool("p", &[&a, &b, &cold])
            + &pool("q", &[&c, &colder])
            + &routes("p")
            + &route("new", "method = \"GET\"\npath = \"/new/{id}\"\nclass = \"look\"\npool = \"q\"");
        let mut daemon = start(&before).await;
        let mut client = Client::new(public(&daemon), &record);
        for _ in 0..60 {
            assert_eq!(client.ask(&look("/files/7")).await.0, Told::Served);
        }
        let sends = |names: &[&str]| names.iter().map(|n| record.sends(n)).sum::<u64>();
        let warm = sends(&["a", "b"]);
        daemon.reload(load(&after)).await.expect("a good configuration");
        for _ in 0..90 {
            assert_eq!(client.ask(&look("/files/7")).await.0, Told::Served);
            assert_eq!(client.ask(&look("/new/7")).await.0, Told::Served);
        }
        // A warm one would have thirty, and forty-five.
        assert!(record.sends("cold") < 15, "{}", record.sends("cold"));
        assert!(record.sends("colder") < 20, "{}", record.sends("colder"));
        assert!(sends(&["a", "b"]) - warm > 75 && record.sends("c") > 70, "the warm ones bear the rest");
        daemon.stop().await;
    });
}

#[test]
fn a_new_pool_of_new_nodes_serves_at_once() {
    with(async |record| {
        let (old, new) = (Node::start("old", "g", &record), Node::start("new", "g", &record));
        let mut daemon = start(&(HEAD.to_owned() + &pool("p", &[&old]) + &routes("p"))).await;
        daemon.reload(load(&(HEAD.to_owned() + &pool("q", &[&new]) + &routes("q")))).await.expect("good");
        let mut client = Client::new(public(&daemon), &record);
        for _ in 0..50 {
            assert_eq!(client.ask(&pay("/checks")).await.0, Told::Served);
        }
        assert_eq!(record.sends("new"), 50);
        daemon.stop().await;
    });
}

#[test]
fn a_port_that_is_taken_leaves_the_old_configuration_whole() {
    with(async |record| {
        let (node, other) = (Node::start("n", "g", &record), Node::start("o", "g", &record));
        let taken = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = taken.local_addr().expect("an address");
        let text = HEAD.to_owned() + &pool("p", &[&node]) + &routes("p");
        let more = text
            .replace("[class.look]", &format!("[listener.more]\naddress = \"{address}\"\n[class.look]"))
            + &pool("q", &[&other])
            + &route("more", "method = \"GET\"\npath = \"/more\"\nclass = \"look\"\npool = \"q\"");
        let mut daemon = start(&text).await;
        let to = public(&daemon);
        let why = daemon.reload(load(&more)).await.expect_err("the port is taken");
        assert!(why.contains("listener.more") && why.contains(&address.to_string()), "{why}");
        assert_eq!(raw(to, "GET /more HTTP/1.1\r\nHost: a\r\n\r\n").await.status, 404);
        assert_eq!(raw(to, "GET /files/a HTTP/1.1\r\nHost: a\r\n\r\n").await.status, 200);
        // Free, it is taken; then given back; then taken again.
        drop(taken);
        for _ in 0..3 {
            daemon.reload(load(&more)).await.expect("the port is free");
            assert_eq!(raw(address, "GET /more HTTP/1.1\r\nHost: a\r\n\r\n").await.status, 200);
            daemon.reload(load(&text)).await.expect("a good configuration");
        }
        daemon.reload(load(&text)).await.expect("a good configuration");
        assert!(TcpStream::connect(address).await.is_err(), "it still listens");
        assert_eq!(raw(to, "GET /files/a HTTP/1.1\r\nHost: a\r\n\r\n").await.status, 200);
        daemon.stop().await;
    });
}

#[test]
fn requests_on_a_listener_that_is_removed_have_their_answers() {
    with(async |record| {
        let node = Node::start("n", "g", &record);
        let text = HEAD.to_owned() + &pool("p", &[&node]) + &routes("p");
        let more = text.replace("[class.look]", "[listener.more]\naddress = \"127.0.0.1:0\"\n[class.look]");
        let mut daemon = start(&more).await;
        let address = daemon.address("more").expect("a listener");
        node.now(Does::Hang);
        let asked = ask(address, &record, look("/files/a"));
        node.arrivals(1).await;
        daemon.reload(load(&text)).await.expect("a good configuration");
        node.now(Does::Serve(Duration::ZERO));
        assert_eq!(asked.await.expect("a client").0, Told::Served);
        daemon.stop().await;
    });
}

#[test]
fn the_zone_does_not_change_under_way() {
    with(async |record| {
        let node = Node::start("n", "g", &record);
        let text = HEAD.to_owned() + &pool("p", &[&node]) + &routes("p");
        let mut daemon = start(&text).await;
        let moved = "[instance]\nzone = \"b\"\n".to_owned() + &text;
        assert!(daemon.reload(load(&moved)).await.is_err_and(|why| why.contains("instance.zone")));
        assert_eq!(raw(public(&daemon), "GET /files/a HTTP/1.1\r\nHost: a\r\n\r\n").await.status, 200);
        daemon.stop().await;
    });
}
