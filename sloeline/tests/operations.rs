//! What operators do while it runs: upstreams out and back, clients sent away, settings changed, a process replaced.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use common::*;

#[test]
fn calls_are_answered_yes_or_no() {
    let balancer = operated(Setup::knowing(&[nowhere()])).start();
    for (method, path, status) in [
        ("GET", "/status", 200),
        ("PUT", "/maintenance/enter/s-0", 200),
        ("PUT", "/maintenance/enter/s-0", 200),
        ("PUT", "/maintenance/exit/s-0", 200),
        ("PUT", "/maintenance/exit/s-0", 200),
        ("PUT", "/maintenance/enter/s-9", 409),
        ("PUT", "/maintenance/exit/s-9", 409),
        ("PUT", "/maintenance/enter/", 400),
        ("POST", "/standby", 405),
        ("PUT", "/nothing", 404),
    ] {
        assert_eq!(balancer.call(method, path), status, "{method} {path}");
    }
    // Callers have no such calls, and operators no others.
    assert_eq!(balancer.ask("GET /status HTTP/1.1\r\nHost: b\r\n\r\n").status(), 404);
    assert_eq!(balancer.call("GET", "/api"), 404);
}

#[test]
fn callers_that_say_nothing_hold_up_no_call() {
    let balancer = operated(Setup::knowing(&[nowhere()])).start();
    let control = balancer.control.expect("operated");
    let mut silent: Vec<TcpStream> = Vec::new();
    for n in 0..40 {
        let mut stream = TcpStream::connect(control).expect("it listens");
        if n % 2 == 0 {
            let _ = stream.write_all(b"PUT /standby HTTP/1.1\r\nHost:");
        }
        silent.push(stream);
        assert_eq!(balancer.call("GET", "/status"), 200, "beside {n} that say nothing");
    }
    // Half a call is none.
    assert_eq!(balancer.ask(READY).status(), 200);
}

#[test]
fn one_that_is_out_gets_nothing_whatever_the_list_says_until_it_is_put_back() {
    let (discovery, a, b) = (Peer::new(), Peer::new(), Peer::new());
    let (at_a, at_b) = (a.address, b.address);
    let setup = Setup { discovery: Some(discovery.address), ..Setup::knowing(&[at_a, at_b]) };
    let balancer = operated(setup).start();
    let (from_a, from_b) = (naming(a, "a"), naming(b, "b"));
    let mut watch = discovery.accept();
    read(&mut watch).expect("a call");
    assert_eq!(balancer.call("PUT", "/maintenance/enter/s-0"), 200);
    for n in 0..40 {
        assert_eq!(served_by(&balancer, &format!("r-{n}")), "b");
    }
    // A whole list and a change that say it serves.
    let both = [entry("s-0", at_a, "SERVING"), entry("s-1", at_b, "SERVING")];
    for (generation, reset) in [(50, true), (51, false)] {
        answer(&mut watch, "200 OK", "", list(generation, reset, &both).as_bytes());
        read(&mut watch).expect("the next call");
        for n in 0..40 {
            assert_eq!(served_by(&balancer, &format!("r-{generation}-{n}")), "b");
        }
    }
    assert!(from_a.try_recv().is_err(), "it got a request while it was out");
    assert_eq!(balancer.call("PUT", "/maintenance/exit/s-0"), 200);
    assert_eq!(balancer.call("PUT", "/maintenance/enter/s-1"), 200);
    // Cold, as it counts now: requests may have to wait for it, and all get an answer.
    assert_eq!(served_by(&balancer, "back"), "a");
    let at_b: Vec<_> = from_b.try_iter().map(|m| m.header("req-id").map(str::to_owned)).collect();
    assert!(at_b.len() >= 120 && !at_b.contains(&Some("back".to_owned())), "{at_b:?}");
}

#[test]
fn orders_outlive_a_process_that_is_killed() {
    let (folder, a, b) = (Folder::new(), Peer::new(), Peer::new());
    let known = [a.address, b.address];
    let start = || operated(Setup { folder: Some(folder.0.clone()), ..Setup::knowing(&known) }).start();
    let mut balancer = start();
    assert_eq!(balancer.call("PUT", "/maintenance/enter/s-0"), 200);
    assert_eq!(balancer.call("PUT", "/standby"), 200);
    balancer.child.kill().expect("it is killed");
    balancer.child.wait().expect("it ends");
    let (from_a, _from_b) = (naming(a, "a"), naming(b, "b"));
    let again = start();
    assert_eq!(again.ask(READY).status(), 503);
    for n in 0..20 {
        assert_eq!(served_by(&again, &format!("r-{n}")), "b");
    }
    assert!(from_a.try_recv().is_err(), "it got a request while it was out");
    assert_eq!((again.call("PUT", "/active"), again.ask(READY).status()), (200, 200));
}

#[test]
fn clients_are_sent_away_and_taken_back_by_the_same_process() {
    let upstream = Peer::new();
    let mut balancer = operated(Setup::knowing(&[upstream.address])).start();
    let mut idle = balancer.connect();
    assert_eq!(exchange(&mut idle, READY).status(), 200);
    let never_used = balancer.connect();
    let mut held = balancer.connect();
    held.write_all(request("pay", "r-1", "").as_bytes()).expect("it reads");
    let mut stream = upstream.accept();
    read(&mut stream).expect("an attempt");

    let order = Instant::now();
    assert_eq!(balancer.call("PUT", "/standby"), 200);
    assert_eq!(balancer.ask(READY).status(), 503);
    assert_eq!(balancer.call("GET", "/status"), 200);
    // Idle connections go before the 4 s after which none may be left; what is open stays.
    for mut connection in [idle, never_used] {
        assert!(closed(&mut connection), "it stays");
    }
    assert!(order.elapsed() < Duration::from_secs(4), "{:?}", order.elapsed());
    ok(&mut stream);
    let served = read(&mut held).expect("an answer");
    assert_eq!((served.status(), served.header("connection")), (200, Some("close")));
    // It still listens, for the front's question and for whoever comes all the same.
    assert_eq!(balancer.ask(READY).status(), 503);
    assert_eq!(balancer.call("PUT", "/active"), 200);
    let mut back = balancer.connect();
    for _ in 0..3 {
        let ready = exchange(&mut back, READY);
        assert_eq!((ready.status(), ready.header("connection")), (200, None));
    }
    assert!(balancer.child.try_wait().expect("a state").is_none());
}

#[test]
fn settings_change_under_load_and_a_broken_file_changes_nothing() {
    let upstream = Peer::new();
    let setup = operated(Setup::knowing(&[upstream.address]));
    let config = setup.config();
    let balancer = setup.start();
    let mut held = balancer.connect();
    held.write_all(request("look", "r-1", "").as_bytes()).expect("it reads");
    let mut stream = upstream.accept();
    read(&mut stream).expect("an attempt");
    let requests = upstream.serve(|_, stream| ok(stream));

    // `look` goes, `see` comes; `pull` becomes unsafe.
    let pull = r#"{"Name":"pull","Effect":"dedup""#;
    let changed = config
        .replace(r#"{"Name":"look""#, r#"{"Name":"see""#)
        .replace(pull, r#"{"Name":"pull","Effect":"fragile""#)
        .replace(r#""MostTries":4"#, r#""MostTries":1"#);
    assert_eq!(changed.matches("fragile").count(), 2);
    balancer.reload(&changed);
    balancer.logged("configuration read again");
    assert_eq!(balancer.ask(&request("look", "r-2", "")).status(), 400);
    let see = request("look", "r-3", "").replace("Req-Kind: look", "Req-Kind: see");
    assert_eq!(balancer.ask(&see).status(), 200);
    assert_eq!(balancer.ask(&request("pull", "r-4", "")).status(), 400, "it has a key, the class has none");
    assert_eq!(balancer.ask(&request("pay", "r-5", "")).status(), 200);
    assert_eq!(requests.iter().take(2).count(), 2);

    for (broken, why) in [
        (String::new(), "EDGE_CONFIG"),
        (config[..config.len() / 2].to_owned(), "EDGE_CONFIG"),
        (config.replace(r#""seed":"8c1f30d27a5be964","#, ""), "/seed is missing"),
        (config.replacen(r#""Value":1.0"#, r#""Other":1.0"#, 1), "Value is missing"),
        (config.replacen(r#""DeadlineMs":20000.0"#, r#""DeadlineMs":0.0"#, 1), "deadline"),
        (config.replacen(r#""DeadlineMs":20000.0"#, r#""DeadlineMs":-1.0"#, 1), "deadline"),
        (config.replace(r#""MostTries":4"#, r#""MostTries":0"#), "attempts"),
        (config.replace(r#""Zone":"a""#, r#""Zone":"b""#), "settings.Zone"),
    ] {
        balancer.reload(&broken);
        let line = loop {
            let line = balancer.log.recv_timeout(LONG).expect("a line");
            if line.contains("the running configuration is kept") {
                break line;
            }
        };
        assert!(line.contains(why), "expected {why:?}: {line}");
        assert_eq!(balancer.ask(&see.replace("r-3", &format!("r-{}", why.len()))).status(), 200, "{why}");
    }
    // It was admitted as `look` and is answered.
    ok(&mut stream);
    assert_eq!(read(&mut held).expect("an answer").status(), 200);
}

#[test]
fn a_new_process_takes_over_with_its_orders_and_no_request_is_turned_back() {
    let (folder, a, b, c) = (Folder::new(), Peer::new(), Peer::new(), Peer::new());
    let known = [a.address, b.address, c.address];
    let setup =
        |listen: String| operated(Setup { listen, folder: Some(folder.0.clone()), ..Setup::knowing(&known) });
    let mut old = setup("127.0.0.21:0".to_owned()).start();
    let (from_a, from_b, _from_c) = (naming(a, "a"), naming(b, "b"), naming(c, "c"));
    let clients = Clients::start(old.address, 6);
    clients.go_on(50);
    assert_eq!(old.call("PUT", "/maintenance/enter/s-0"), 200);
    let a_out = clients.mark();
    clients.go_on(50);

    let new = setup(old.address.to_string()).start();
    old.logged("another process has come");
    assert_eq!((new.call("GET", "/status"), old.call("GET", "/status")), (200, 200));
    clients.go_on(100);
    // An order to either holds in both.
    assert_eq!(new.call("PUT", "/maintenance/enter/s-1"), 200);
    old.logged("taken over from the other process");
    let b_out = clients.mark();
    clients.go_on(100);
    old.terminate();
    clients.go_on(100);
    assert!(old.child.wait().expect("it ends").success());
    new.logged("the process before has gone");
    clients.go_on(100);
    assert_eq!(begun_after(&from_a, &a_out), Vec::<String>::new());
    assert_eq!(begun_after(&from_b, &b_out), Vec::<String>::new());
    assert_eq!(new.call("PUT", "/maintenance/exit/s-0"), 200);
    from_a.recv_timeout(LONG).expect("it is back");
    assert_eq!(clients.end(), Vec::<String>::new());
}

#[test]
fn one_that_fails_to_follow_leaves_the_old_one_serving() {
    let (folder, a) = (Folder::new(), Peer::new());
    let known = [a.address];
    let setup =
        |listen: String| operated(Setup { listen, folder: Some(folder.0.clone()), ..Setup::knowing(&known) });
    let old = setup("127.0.0.22:0".to_owned()).start();
    let _requests = naming(a, "a");
    let clients = Clients::start(old.address, 4);
    for _ in 0..2 {
        let mut new = setup(old.address.to_string()).start();
        old.logged("another process has come");
        clients.go_on(20);
        // What it had taken dies with it, which is its clients' loss; the address must live.
        new.child.kill().expect("it is killed");
        new.child.wait().expect("it ends");
        old.logged("the other process has gone");
        clients.go_on(50);
    }
    assert_eq!((old.call("GET", "/status"), old.ask(READY).status()), (200, 200));
    let failed = clients.end();
    // One for each client and kill at the most.
    assert!(failed.len() <= 8, "{failed:?}");
}

#[test]
fn three_processes_at_once_hold_one_set_of_orders_and_turn_nobody_back() {
    let (folder, a, b, c) = (Folder::new(), Peer::new(), Peer::new(), Peer::new());
    let known = [a.address, b.address, c.address];
    let setup =
        |listen: String| operated(Setup { listen, folder: Some(folder.0.clone()), ..Setup::knowing(&known) });
    let mut row = vec![setup("127.0.0.25:0".to_owned()).start()];
    let address = row[0].address;
    let (from_a, from_b, _from_c) = (naming(a, "a"), naming(b, "b"), naming(c, "c"));
    let clients = Clients::start(address, 6);
    clients.go_on(50);
    for before in 0..2 {
        row.push(setup(address.to_string()).start());
        row[before].logged("another process has come");
    }
    // By an order to either end, and to the middle.
    assert_eq!(row[0].call("PUT", "/maintenance/enter/s-0"), 200);
    row[2].logged("taken over from the other process: TakeOut");
    let a_out = clients.mark();
    assert_eq!(row[2].call("PUT", "/maintenance/enter/s-1"), 200);
    row[0].logged("taken over from the other process: TakeOut");
    let b_out = clients.mark();
    clients.go_on(50);
    assert_eq!(row[1].call("PUT", "/standby"), 200);
    [0, 2].iter().for_each(|at: &usize| row[*at].logged("taken over from the other process: Standby"));
    assert!(row.iter().all(|p| p.ask(READY).status() == 503));
    assert_eq!(row[1].call("PUT", "/active"), 200);
    row[2].logged("taken over from the other process: Active");
    clients.go_on(50);
    for _ in 0..2 {
        let mut oldest = row.remove(0);
        oldest.terminate();
        assert!(oldest.child.wait().expect("it ends").success());
        row[0].logged("the process before has gone");
        clients.go_on(50);
    }
    // And one more follows the last.
    row.push(setup(address.to_string()).start());
    row[0].logged("another process has come");
    clients.go_on(50);
    assert_eq!(begun_after(&from_a, &a_out), Vec::<String>::new());
    assert_eq!(begun_after(&from_b, &b_out), Vec::<String>::new());
    assert_eq!(clients.end(), Vec::<String>::new());
}

#[test]
fn where_nothing_can_be_written_orders_hold_and_pass_to_the_next_process() {
    let (folder, a, b) = (Folder::new(), Peer::new(), Peer::new());
    let known = [a.address, b.address];
    let setup = |listen: String| {
        operated(Setup { listen, full: true, folder: Some(folder.0.clone()), ..Setup::knowing(&known) })
    };
    let mut old = setup("127.0.0.26:0".to_owned()).start();
    let (from_a, _from_b) = (naming(a, "a"), naming(b, "b"));
    assert_eq!(old.call("PUT", "/maintenance/enter/s-0"), 200);
    old.logged("orders would be lost with this process");
    let new = setup(old.address.to_string()).start();
    old.logged("another process has come");
    old.terminate();
    assert!(old.child.wait().expect("it ends").success());
    for n in 0..20 {
        assert_eq!(served_by(&new, &format!("r-{n}")), "b");
    }
    assert!(from_a.try_recv().is_err(), "it got a request while it was out");
}

#[test]
fn a_process_that_is_stuck_does_not_keep_the_next_from_starting() {
    let (folder, a) = (Folder::new(), Peer::new());
    let known = [a.address];
    let setup =
        |listen: String| operated(Setup { listen, folder: Some(folder.0.clone()), ..Setup::knowing(&known) });
    let mut old = setup("127.0.0.23:0".to_owned()).start();
    assert_eq!(old.call("PUT", "/maintenance/enter/s-0"), 200);
    old.signal("-STOP");
    // Beside it by SO_REUSEPORT, with the orders of the file.
    let new = setup(old.address.to_string()).start();
    assert_eq!(new.call("GET", "/status"), 200);
    assert_eq!(new.address, old.address);
    // Until it has ended, its socket has its part of the connections.
    old.child.kill().expect("it is killed");
    old.child.wait().expect("it ends");
    let answer = new.ask(&request("look", "r-1", "Req-Deadline-Ms: 300\r\n"));
    assert!(answer.status() >= 500, "the only upstream is out");
    let _requests = naming(a, "a");
    assert_eq!(new.call("PUT", "/maintenance/exit/s-0"), 200);
    assert_eq!(served_by(&new, "r-2"), "a");
}

#[test]
fn a_chain_of_successors_keeps_orders_and_sends_clients_away_together() {
    let (folder, a, b) = (Folder::new(), Peer::new(), Peer::new());
    let known = [a.address, b.address];
    let setup =
        |listen: String| operated(Setup { listen, folder: Some(folder.0.clone()), ..Setup::knowing(&known) });
    let mut old = setup("127.0.0.24:0".to_owned()).start();
    let (from_a, _from_b) = (naming(a, "a"), naming(b, "b"));
    assert_eq!(old.call("PUT", "/maintenance/enter/s-0"), 200);
    assert_eq!(old.call("PUT", "/standby"), 200);
    for _ in 0..3 {
        let new = setup(old.address.to_string()).start();
        old.logged("another process has come");
        // Neither says that it is ready, whichever is asked.
        assert_eq!((new.call("GET", "/status"), new.ask(READY).status()), (200, 503));
        old.terminate();
        assert!(old.child.wait().expect("it ends").success());
        new.logged("the process before has gone");
        assert_eq!(new.ask(READY).status(), 503);
        for n in 0..10 {
            assert_eq!(served_by(&new, &format!("r-{n}")), "b");
        }
        old = new;
    }
    assert!(from_a.try_recv().is_err(), "it got a request while it was out");
    assert_eq!((old.call("PUT", "/active"), old.ask(READY).status()), (200, 200));
    assert_eq!(old.call("PUT", "/maintenance/exit/s-0"), 200);
    assert_eq!(old.call("PUT", "/maintenance/enter/s-1"), 200);
    assert_eq!(served_by(&old, "back"), "a");
}

#[test]
fn clients_are_sent_away_from_both_processes_by_an_order_to_the_new_one() {
    let (folder, a) = (Folder::new(), Peer::new());
    let known = [a.address];
    let setup =
        |listen: String| operated(Setup { listen, folder: Some(folder.0.clone()), ..Setup::knowing(&known) });
    let old = setup("127.0.0.25:0".to_owned()).start();
    let _requests = naming(a, "a");
    let mut kept = old.connect();
    assert_eq!(exchange(&mut kept, READY).status(), 200);
    let new = setup(old.address.to_string()).start();
    old.logged("another process has come");
    assert_eq!(new.call("PUT", "/standby"), 200);
    old.logged("taken over from the other process");
    // The old one's: unready, and closed when it has carried nothing for a while.
    match kept.write_all(READY.as_bytes()).ok().and_then(|()| read(&mut kept)) {
        Some(answer) => assert_eq!(answer.status(), 503),
        None => return,
    }
    assert!(closed(&mut kept), "it stays");
}

#[test]
fn a_reload_while_clients_are_sent_away_and_a_stop_then() {
    let upstream = Peer::new();
    let setup = operated(Setup::knowing(&[upstream.address]));
    let config = setup.config();
    let mut balancer = setup.start();
    let mut held = balancer.connect();
    held.write_all(request("look", "r-1", "").as_bytes()).expect("it reads");
    let mut stream = upstream.accept();
    read(&mut stream).expect("an attempt");
    assert_eq!(balancer.call("PUT", "/standby"), 200);
    balancer.reload(&config.replace(r#"{"Name":"look""#, r#"{"Name":"see""#));
    balancer.logged("configuration read again");
    assert_eq!(balancer.ask(READY).status(), 503);
    balancer.terminate();
    balancer.logged("told to stop");
    assert_eq!(balancer.call("GET", "/status"), 409);
    ok(&mut stream);
    assert_eq!(read(&mut held).expect("an answer").status(), 200);
    assert!(balancer.child.wait().expect("it ends").success());
}

#[test]
fn one_at_another_address_leaves_the_old_one_its_own() {
    let (folder, a) = (Folder::new(), Peer::new());
    let known = [a.address];
    let setup = |listen: &str| {
        let listen = listen.to_owned();
        operated(Setup { listen, folder: Some(folder.0.clone()), ..Setup::knowing(&known) })
    };
    let old = setup("127.0.0.26:0").start();
    let _requests = naming(a, "a");
    let other = format!("127.0.0.27:{}", old.address.port());
    let new = setup(&other).start();
    old.logged("another process has come");
    assert_eq!(new.address.to_string(), other);
    // An order shows that all that the new one had to say before has been heard.
    assert_eq!(new.call("PUT", "/standby"), 200);
    old.logged("taken over from the other process");
    assert_eq!(old.call("PUT", "/active"), 200);
    assert_eq!((served_by(&old, "r-1"), served_by(&new, "r-2")), ("a".to_owned(), "a".to_owned()));
}
