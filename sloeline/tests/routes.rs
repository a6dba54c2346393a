//! From what callers write to what upstreams get, by the daemon's routes.

mod rig;

use std::time::Duration;

use hyper::StatusCode;
use rig::*;
use sloeline_standin::client::Client;
use sloeline_standin::node::{Does, Node};
use sloeline_standin::record::Told;
use tokio::time::Instant;

/// A request with no body, word for word.
fn get(line: &str, headers: &str) -> String {
    format!("{line} HTTP/1.1\r\n{headers}\r\n")
}

#[test]
fn what_two_readers_understand_differently_reaches_no_upstream() {
    with(async |record| {
        let node = Node::start("n", "g", &record);
        let text = HEAD.to_owned() + &pool("p", &[&node]) + &routes("p");
        let daemon = start(&text).await;
        let to = public(&daemon);
        let host = "Host: api.example\r\n";
        for path in [
            "/files/%2e%2e/checks/7",
            "/files/..",
            "/files/%2e%2E",
            "/files/a%2Fb",
            "/files//a",
            "//files/a",
            "/files/a;x=y",
            "/files;x=y/a",
            "/files/a%3bx=y",
            "/files/a%5cb",
            "/files/a\\b",
            "/files/a%",
            "/files/%252e%252e",
            "/files/a?x=%zz",
        ] {
            assert_eq!(raw(to, &get(&format!("GET {path}"), host)).await.status, 400, "{path}");
            let post = format!("POST {path} HTTP/1.1\r\n{host}Content-Length: 2\r\n\r\nok");
            assert_eq!(raw(to, &post).await.status, 400, "{path}");
        }
        for (line, headers) in [
            ("GET http://other.example/files/a", host),
            ("GET https://api.example/files/a", host),
            ("GET http://u@api.example/files/a", host),
            ("GET /files/a", ""),
            ("GET /files/a", "Host: a\r\nHost: a\r\n"),
            ("GET /files/a", "Host: a/b\r\n"),
            ("GET /files/a", "Host: api.example\r\nX-HTTP-Method-Override: DELETE\r\n"),
            ("GET /files/a", "Host: api.example\r\nRequest-Timeout-Ms: soon\r\n"),
            ("GET /files/a", "Host: api.example\r\nConnection: close, host\r\n"),
            (
                "PUT /files/a",
                "Host: a\r\nContent-Length: 0\r\nIdempotency-Key: k\r\nConnection: idempotency-key\r\n",
            ),
        ] {
            assert_eq!(raw(to, &get(line, headers)).await.status, 400, "{line} {headers}");
        }
        assert_eq!(record.sends("n"), 0);
        daemon.stop().await;
    });
}

#[test]
fn what_is_matched_is_what_is_forwarded() {
    with(async |record| {
        let node = Node::start("n", "g", &record);
        let exact = route(
            "exact",
            "host = \"api.example\"\nmethod = \"GET\"\npath = \"/files/special\"\nclass = \"look\"\npool = \"p\"",
        );
        let text = HEAD.to_owned() + &pool("p", &[&node]) + &exact + &routes("p");
        let daemon = start(&text).await;
        let to = public(&daemon);
        for (line, host) in [
            ("GET /f%69les/speci%61l?q=%7E1", "API.Example."),
            ("GET http://api.EXAMPLE/files/special?q=%7E1", "api.example"),
            ("GET /files/special?q=%7E1", "api.example"),
        ] {
            let answer =
                raw(to, &get(line, &format!("Host: {host}\r\nConnection: x-hop\r\nX-Hop: 1\r\n"))).await;
            assert_eq!(answer.status, 200, "{line}");
            let head = node.last().expect("a request");
            assert_eq!(head.uri, "/files/special?q=%7E1", "{line}");
            assert_eq!(head.headers["host"], "api.example");
            assert_eq!(head.headers["x-forwarded-for"], "127.0.0.1");
            assert!(!head.headers.contains_key("x-hop"));
        }
        daemon.stop().await;
    });
}

#[test]
fn no_unsafe_operation_is_reached_under_a_class_that_may_be_repeated() {
    with(async |record| {
        let nodes = [Node::start("a", "g", &record), Node::start("b", "g", &record)];
        let any = route("rest", "method = \"GET\"\nprefix = \"/\"\nclass = \"look\"\npool = \"p\"");
        let text = HEAD.to_owned() + &pool("p", &[&nodes[0], &nodes[1]]) + &any + &routes("p");
        let daemon = start(&text).await;
        let mut client = Client::new(public(&daemon), &record);
        nodes.iter().for_each(|n| n.now(Does::Break));
        for path in ["/checks", "/checks/", "/checks/7", "/checks/7/", "/%63hecks/7", "/checks?x=1"] {
            let before = record.sends("a") + record.sends("b");
            let (told, status) = client.ask(&pay(path)).await;
            assert_eq!((told, status), (Told::Failed, Some(StatusCode::BAD_GATEWAY)), "{path}");
            assert_eq!(record.sends("a") + record.sends("b") - before, 1, "{path} was sent again");
        }
        // What may be repeated is.
        let before = record.sends("a") + record.sends("b");
        client.ask(&look("/checks/7")).await;
        assert!(record.sends("a") + record.sends("b") - before > 1);
        assert!(record.account().closes(), "{:?}", record.violations());
        daemon.stop().await;
    });
}

#[test]
fn answers_keep_their_status_and_refusals_are_the_balancers_own() {
    with(async |record| {
        let node = Node::start("n", "g", &record);
        let text = HEAD.to_owned() + &pool("p", &[&node]) + &routes("p");
        let daemon = start(&text).await;
        let to = public(&daemon);
        let mut client = Client::new(to, &record);
        for status in [200, 201, 204, 301, 304, 400, 404, 409] {
            let status = StatusCode::from_u16(status).expect("a status");
            node.now(Does::Say(status));
            assert_eq!(client.ask(&pay("/checks")).await.1, Some(status));
        }
        let head = raw(to, &get("GET /files/a", "Host: a\r\n")).await.head;
        assert!(head.contains("location: /elsewhere"), "{head}");
        // These may have run: passed on they would promise that nothing has.
        for status in [429, 500, 503] {
            // Failures in a row would eject the only upstream.
            node.now(Does::Serve(Duration::ZERO));
            assert_eq!(client.ask(&pay("/checks")).await.0, Told::Served);
            node.now(Does::Say(StatusCode::from_u16(status).expect("a status")));
            assert_eq!(
                client.ask(&pay("/checks")).await,
                (Told::Failed, Some(StatusCode::BAD_GATEWAY)),
                "{status}"
            );
        }
        // This never ran: refused, and the client is told when to come back.
        node.now(Does::Decline);
        let answer = raw(to, "POST /checks HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n").await;
        assert!(answer.status == 503 && answer.head.contains("retry-after: 1\r\n"), "{}", answer.head);
        // The length of the body that is not there.
        node.now(Does::Serve(Duration::ZERO));
        let answer = raw(to, &get("HEAD /files/a", "Host: a\r\n")).await;
        assert!(answer.status == 200 && answer.head.contains("content-length: 8\r\n"), "{}", answer.head);
        daemon.stop().await;
    });
}

#[test]
fn what_has_no_route_no_key_or_no_upstream_is_answered_at_once() {
    with(async |record| {
        let node = Node::start("n", "g", &record);
        let empty = "[pool.empty]\nnodes = [{ address = \"127.0.0.1:1\", draining = true }]\n".to_owned()
            + &route("empty", "method = \"GET\"\npath = \"/empty\"\nclass = \"look\"\npool = \"empty\"");
        let by_header = route(
            "by header",
            "method = \"POST\"\npath = \"/any\"\nclass_header = \"Req-Kind\"\nclasses = [\"pay\", \"pull\"]\nkey = \"query:k\"\npool = \"p\"",
        );
        let text = HEAD.to_owned() + &pool("p", &[&node]) + &empty + &by_header + &routes("p");
        let daemon = start(&text).await;
        let to = public(&daemon);
        let start = Instant::now();
        assert_eq!(raw(to, &get("GET /nowhere", "Host: a\r\n")).await.status, 404);
        let wrong = raw(to, &get("DELETE /files/a", "Host: a\r\n")).await;
        assert!(wrong.status == 405 && wrong.head.contains("allow: get, head, put\r\n"), "{}", wrong.head);
        let put = "PUT /files/a HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n";
        assert_eq!(raw(to, &format!("{put}\r\n")).await.status, 400);
        assert_eq!(
            raw(to, &format!("{put}Idempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n")).await.status,
            400
        );
        assert_eq!(raw(to, &format!("{put}Idempotency-Key: a\r\n\r\n")).await.status, 200);
        let post = |target: &str, kind: &str| {
            format!("POST {target} HTTP/1.1\r\nHost: a\r\n{kind}Content-Length: 0\r\n\r\n")
        };
        assert_eq!(raw(to, &post("/any", "")).await.status, 400);
        assert_eq!(raw(to, &post("/any", "Req-Kind: look\r\n")).await.status, 400);
        assert_eq!(raw(to, &post("/any", "Req-Kind: pay\r\n")).await.status, 200);
        assert_eq!(raw(to, &post("/any", "Req-Kind: pull\r\n")).await.status, 400);
        assert_eq!(raw(to, &post("/any?k=1", "Req-Kind: pull\r\n")).await.status, 200);
        let large = "POST /checks HTTP/1.1\r\nHost: a\r\nContent-Length: 65537\r\n\r\n";
        assert_eq!(raw(to, large).await.status, 413);
        let refused = raw(to, &get("GET /empty", "Host: a\r\n")).await;
        assert!(refused.status == 503 && refused.head.contains("retry-after: 1\r\n"), "{}", refused.head);
        assert!(start.elapsed() < Duration::from_secs(4), "something waited for its time");
        daemon.stop().await;
    });
}

#[test]
fn the_shorter_time_counts_and_the_answer_comes_within_it() {
    with(async |record| {
        let node = Node::start("n", "g", &record);
        let short = route(
            "short",
            "method = \"POST\"\npath = \"/short\"\nclass = \"pay\"\npool = \"p\"\ndeadline = \"300ms\"\nassert = \"deadline-under-aim\"",
        );
        let text = HEAD.to_owned() + &pool("p", &[&node]) + &short + &routes("p");
        let daemon = start(&text).await;
        node.now(Does::Hang);
        let mut client = Client::new(public(&daemon), &record);
        for (path, patience) in [("/short", 4000), ("/checks", 300)] {
            let mut wording = pay(path);
            wording.patience = Duration::from_millis(patience);
            let start = Instant::now();
            let told = client.ask(&wording).await;
            assert_eq!(told, (Told::Failed, Some(StatusCode::GATEWAY_TIMEOUT)), "{path}");
            assert!(start.elapsed() < Duration::from_secs(2), "{path}: {:?}", start.elapsed());
        }
        daemon.stop().await;
    });
}

#[test]
fn a_split_keeps_a_client_on_its_side() {
    with(async |record| {
        let (old, new) = (Node::start("old", "g", &record), Node::start("new", "g", &record));
        let split = route(
            "split",
            "method = \"GET\"\nprefix = \"/\"\nclass = \"look\"\nsticky = \"header:X-Client\"\nsplit = [{ pool = \"old\", weight = 70 }, { pool = \"new\", weight = 30 }]",
        );
        let text = HEAD.to_owned() + &pool("old", &[&old]) + &pool("new", &[&new]) + &split;
        let daemon = start(&text).await;
        let mut client = Client::new(public(&daemon), &record);
        let mut new_side = 0;
        for name in 0..200 {
            let mut wording = look("/a");
            wording.headers.push(("x-client", name.to_string()));
            let before = (record.sends("old"), record.sends("new"));
            for _ in 0..3 {
                client.ask(&wording).await;
            }
            // By whether it was asked, not how often: on a busy machine an attempt is given up and made again.
            let asked = (record.sends("old") > before.0, record.sends("new") > before.1);
            assert!(asked.0 != asked.1, "client {name} was at (old, new) {asked:?}");
            new_side += u32::from(asked.1);
        }
        let share = f64::from(new_side) / 200.0;
        assert!((0.2..0.4).contains(&share), "{share}");
        daemon.stop().await;
    });
}
