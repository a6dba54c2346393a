//! The connection between two balancers breaks before, during and after the work: what may not be repeated is sent once, and
//! an answer reaches only the request that asked.

#[allow(dead_code)]
mod mesh;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use mesh::{Mesh, WITHIN, play, status, until};
use sloeline_discovery::{Condition, Record, Upstream, Version};
use sloeline_rpc::RpcRequest;
use sloeline_rpc::link::Link;
use sloeline_testbed::client::ask;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// What the far balancer does with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Break {
    /// It answers.
    Never,
    /// It closes the connection before it takes the request up.
    Before,
    /// It reads the request whole and closes a little later.
    During,
    /// It resets the connection while it works.
    Reset,
    /// It breaks off within its answer.
    After,
    /// It answers, and then once more.
    Surplus,
    /// It says nothing.
    Silent,
    /// It declines and says that another upstream is there.
    Replaced,
}

/// A far balancer with a mind of its own.
struct FarBalancer {
    breaks: Cell<Break>,
    /// `X-Try-Id` of each request that was read whole.
    read: RefCell<Vec<String>>,
    /// How long the last one had until its aim, in milliseconds.
    aim: Cell<u64>,
}

impl FarBalancer {
    async fn serve(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(self.clone().connection(stream));
        }
    }

    async fn connection(self: Rc<Self>, mut stream: TcpStream) {
        let mut bytes = Vec::new();
        loop {
            let Some(Read { id, attempt, aim }) = read_request(&mut stream, &mut bytes).await else { return };
            if self.breaks.get() == Break::Before {
                return;
            }
            self.read.borrow_mut().push(id.clone());
            self.aim.set(aim);
            let answer = format!(
                "HTTP/1.1 200 OK\r\nX-Try-Id: {id}\r\nX-Postmark: mark-{id}\r\nX-Mesh-Attempt: {attempt}\r\n\
                 Content-Length: 8\r\n\r\nanswered"
            );
            match self.breaks.get() {
                Break::Never => _ = stream.write_all(answer.as_bytes()).await,
                Break::Before => return,
                Break::During => {
                    sleep(Duration::from_millis(30)).await;
                    return;
                }
                Break::Reset => {
                    sleep(Duration::from_millis(30)).await;
                    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                    return;
                }
                Break::After => {
                    let _ = stream.write_all(&answer.as_bytes()[..answer.len() - 3]).await;
                    return;
                }
                Break::Surplus => {
                    let _ = stream.write_all(answer.as_bytes()).await;
                    let _ = stream.write_all(answer.as_bytes()).await;
                }
                Break::Silent => sleep(Duration::from_secs(30)).await,
                Break::Replaced => {
                    let declined = format!(
                        "HTTP/1.1 421 Misdirected Request\r\nX-Not-Run: 1\r\nX-Mesh-Instance: i-other\r\n\
                         X-Mesh-Attempt: {attempt}\r\nContent-Length: 0\r\n\r\n"
                    );
                    let _ = stream.write_all(declined.as_bytes()).await;
                }
            }
        }
    }
}

/// A request as the far balancer reads it.
struct Read {
    id: String,
    attempt: String,
    aim: u64,
}

/// The next request, once all of it is here.
async fn read_request(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<Read> {
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
            bytes.drain(..end + 4);
            let value = |name: &str| head.lines().find_map(|line| line.strip_prefix(name).map(str::to_owned));
            let aim = value("x-mesh-aim: ")?.parse().ok()?;
            return Some(Read { id: value("x-try-id: ")?, attempt: value("x-mesh-attempt: ")?, aim });
        }
        if stream.read_buf(bytes).await.ok()? == 0 {
            return None;
        }
    }
}

/// A far balancer that the mesh takes for one of its own, with the only upstream of service `one`.
async fn far_balancer(mesh: &Mesh, net: u8) -> Rc<FarBalancer> {
    far_balancer_at(mesh, net, 9).await
}

/// One with an upstream of service `one` on this machine.
async fn far_balancer_at(mesh: &Mesh, net: u8, machine: u8) -> Rc<FarBalancer> {
    let incoming: SocketAddr = SocketAddr::from(([127, 1, net, machine], 8300));
    let listener = TcpListener::bind(incoming).await.expect("a listener");
    let far =
        Rc::new(FarBalancer { breaks: Cell::new(Break::Never), read: RefCell::default(), aim: Cell::new(0) });
    spawn_local(far.clone().serve(listener));
    let record = Record {
        source: format!("m-{machine}"),
        version: Version { incarnation: 1, revision: 1 },
        mesh_address: SocketAddr::from(([127, 1, net, machine], 7620)),
        zone: "a".to_owned(),
        is_core: false,
        leaving: false,
        incoming_address: Some(incoming),
        upstream: Some(Upstream {
            id: format!("i-far-{machine}"),
            service: "one".to_owned(),
            software_version: "v1".to_owned(),
            slots: 4,
            condition: Condition::Accepting,
            cold_until_micros: None,
        }),
    };
    let link = Link::new(mesh.plan.core_mesh(0));
    link.call(&RpcRequest::PushRecords(vec![record]), Duration::from_secs(1))
        .await
        .expect("the core takes it");
    far
}

#[test]
fn what_may_not_be_repeated_is_sent_once_whenever_the_connection_breaks() {
    play(async || {
        let mesh = Mesh::without_upstream(45, 1).await;
        let far = far_balancer(&mesh, 45).await;
        let well = until(|| mesh.request("/once/a", "well", None), |a| status(a) == 200).await;
        assert_eq!(status(&well), 200, "{well:?}");
        for breaks in [Break::Before, Break::During, Break::Reset, Break::After, Break::Silent] {
            far.breaks.set(Break::Never);
            let id = format!("trust-{breaks:?}").to_ascii_lowercase();
            let trusted = until(|| mesh.request("/once/a", &id, None), |a| status(a) == 200).await;
            assert_eq!(status(&trusted), 200, "{breaks:?} {trusted:?}");
            far.breaks.set(breaks);
            let id = format!("once-{breaks:?}").to_ascii_lowercase();
            let answer = mesh.request("/once/a", &id, None).await.expect("an answer");
            let sent = far.read.borrow().iter().filter(|read| **read == id).count();
            // Before anything was read it surely never ran; after that nobody can tell.
            let expected: &[u16] = if breaks == Break::Before { &[502, 503] } else { &[502, 504] };
            assert!(expected.contains(&answer.status), "{breaks:?} {answer:?}");
            assert_eq!(sent, usize::from(breaks != Break::Before), "{breaks:?}");
        }
    });
}

/// Guards against a request that two balancers hand to their upstreams, after the connection to the first one broke within
/// a long body: a balancer that has no memory for the body hands it on as it comes.
#[test]
fn a_request_whose_connection_breaks_within_its_body_is_not_sent_elsewhere() {
    /// More than the sockets between two balancers hold.
    const BODY_BYTES: usize = 8 << 20;
    play(async || {
        let mesh = Mesh::without_upstream(62, 1).await;
        let far = [far_balancer_at(&mesh, 62, 9).await, far_balancer_at(&mesh, 62, 10).await];
        let sent = |id: &str| -> usize {
            far.iter().map(|far| far.read.borrow().iter().filter(|read| *read == id).count()).sum()
        };
        for round in 0..8 {
            let id = format!("trust-{round}");
            let trusted = until(|| mesh.request("/once/a", &id, None), |a| status(a) == 200).await;
            assert_eq!(status(&trusted), 200, "{trusted:?}");
        }
        for breaks in [Break::During, Break::Reset] {
            far.iter().for_each(|far| far.breaks.set(breaks));
            let id = format!("long-{breaks:?}").to_ascii_lowercase();
            let headers = [("Host", "h.example"), ("X-Try-Id", id.as_str()), ("X-Time-Left", "1500")];
            let body = vec![b'b'; BODY_BYTES];
            let answer = ask(mesh.plan.outgoing(1), "POST", "/once/a", &headers, &body, WITHIN).await;
            assert_eq!(sent(&id), 1, "{breaks:?}: {answer:?}");
            assert!([502, 504].contains(&status(&answer)), "{breaks:?}: {answer:?}");
            far.iter().for_each(|far| far.breaks.set(Break::Never));
            for round in 0..8 {
                let id = format!("trust-again-{round}");
                let trusted = until(|| mesh.request("/once/a", &id, None), |a| status(a) == 200).await;
                assert_eq!(status(&trusted), 200, "{trusted:?}");
            }
        }
    });
}

#[test]
fn what_may_be_repeated_is_repeated_and_a_surplus_answer_reaches_nobody() {
    play(async || {
        let mesh = Mesh::without_upstream(46, 1).await;
        let far = far_balancer(&mesh, 46).await;
        let well = until(|| mesh.request("/safe/a", "well", None), |a| status(a) == 200).await;
        assert_eq!(status(&well), 200, "{well:?}");
        far.breaks.set(Break::Surplus);
        for n in 0..20 {
            let id = format!("t-{n}");
            let answer = mesh.request("/safe/a", &id, None).await.expect("an answer");
            if answer.status == 200 {
                assert_eq!(answer.header("x-try-id"), Some(id.as_str()), "{answer:?}");
                assert_eq!(answer.header("x-postmark"), Some(format!("mark-{id}").as_str()), "{answer:?}");
            }
        }
    });
}

/// Guards against upstreams of crashed machines that are tried again and again at addresses that others have by now.
#[test]
fn an_upstream_whose_address_another_one_has_is_not_tried_again() {
    play(async || {
        let mesh = Mesh::without_upstream(59, 1).await;
        let far = far_balancer(&mesh, 59).await;
        let well = until(|| mesh.request("/safe/a", "well", None), |a| status(a) == 200).await;
        assert_eq!(status(&well), 200, "{well:?}");
        far.breaks.set(Break::Replaced);
        for number in 0..20 {
            let answer = mesh.request("/safe/a", &format!("replaced-{number}"), None).await;
            assert_eq!(status(&answer), 503, "{answer:?}");
        }
        let tried = far.read.borrow().iter().filter(|id| id.starts_with("replaced")).count();
        assert_eq!(tried, 1);
    });
}

/// The aim counts from a client's first try; only the time that it still waits tells a later one from that.
#[test]
fn the_aim_of_a_later_try_counts_from_the_first() {
    play(async || {
        let mesh = Mesh::without_upstream(48, 1).await;
        let far = far_balancer(&mesh, 48).await;
        let well = until(|| mesh.request("/safe/a", "well", None), |a| status(a) == 200).await;
        assert_eq!(status(&well), 200, "{well:?}");
        for n in 0..40 {
            let first = mesh.request("/safe/a", &format!("first-{n}"), None).await;
            assert_eq!(status(&first), 200, "{first:?}");
        }
        // The route's target is 300 ms, and clients wait for 1500.
        assert!((200..=300).contains(&far.aim.get()), "{} ms left of the first try's aim", far.aim.get());
        let second = mesh.request_with("/safe/a", "second", None, 1350).await;
        assert_eq!(status(&second), 200, "{second:?}");
        assert!((50..=150).contains(&far.aim.get()), "{} ms left 150 ms later", far.aim.get());
        let third = mesh.request_with("/safe/a", "third", None, 1000).await;
        assert_eq!(status(&third), 200, "{third:?}");
        assert_eq!(far.aim.get(), 0, "ms left 500 ms later");
    });
}

/// A configuration with safe routes of one and of three tries. Routes of `others` further classes come before them.
fn config_of_tries(edition: u32, others: u32) -> String {
    let route = |name: &str, target_ms: u32, tries: u32| {
        format!(
            r#"{{"name":"{name}","route_kind":"safe","target":"{target_ms}ms","precedence":2,"sort_by":{{"lane_prefix":"/{name}/"}},"dispatch":{{"line":"one","timeout":"2s","tries":{tries}}}}}"#
        )
    };
    let mut routes: Vec<String> =
        (0..others).map(|other| route(&format!("other{other}"), 400 + other, 2)).collect();
    routes.extend([route("one-try", 300, 1), route("three-tries", 300, 3)]);
    format!(
        r#"{{"edition":"{edition:08x}","gateways":[{{"station":"h.example","regulations":[{}]}}],"depots":[{{"name":"one"}}]}}"#,
        routes.join(",")
    )
}

#[test]
fn a_try_reaches_no_more_upstreams_than_its_route_allows() {
    /// More classes than a service has engines of its own for.
    const MANY_CLASSES: u32 = 40;
    const REQUESTS: u32 = 12;
    play(async || {
        let mesh = Mesh::without_upstream(52, 1).await;
        let far = [far_balancer_at(&mesh, 52, 9).await, far_balancer_at(&mesh, 52, 10).await];
        for (edition, others) in [(2, 0), (3, MANY_CLASSES)] {
            assert_eq!(status(&mesh.put(0, &config_of_tries(edition, others)).await), 200);
            far.iter().for_each(|far| far.breaks.set(Break::Never));
            if let Some(last) = others.checked_sub(1) {
                let path = format!("/other{last}/a");
                let applied = until(|| mesh.request(&path, "applied", None), |a| status(a) == 200).await;
                assert_eq!(status(&applied), 200, "{applied:?}");
            }
            let mut repeated = 0;
            for number in 0..REQUESTS {
                for (path, tries) in [("/one-try/a", 1), ("/three-tries/a", 3)] {
                    far.iter().for_each(|far| far.breaks.set(Break::Never));
                    let id = format!("trust-{others}-{tries}-{number}");
                    let trusted = until(|| mesh.request(path, &id, None), |a| status(a) == 200).await;
                    assert_eq!(status(&trusted), 200, "{id}: {trusted:?}");
                    far.iter().for_each(|far| far.breaks.set(Break::During));
                    let id = format!("broken-{others}-{tries}-{number}");
                    let _ = mesh.request(path, &id, None).await;
                    let sent: usize = far
                        .iter()
                        .map(|far| far.read.borrow().iter().filter(|read| **read == id).count())
                        .sum();
                    assert!((1..=tries).contains(&sent), "{path}, {others} other classes: {sent} attempts");
                    repeated += usize::from(sent > 1);
                }
            }
            assert!(repeated > 0, "{others} other classes: no try was repeated");
        }
    });
}

#[test]
fn a_request_is_answered_in_time_after_a_change_of_its_routes_timeout() {
    /// The route's timeout when the request arrives.
    const TIMEOUT: Duration = Duration::from_secs(2);
    /// How much later than that it may be answered.
    const LATE: Duration = Duration::from_millis(500);
    play(async || {
        let mesh = Mesh::without_upstream(58, 1).await;
        let far = far_balancer(&mesh, 58).await;
        let well = until(|| mesh.request("/safe/a", "well", None), |a| status(a) == 200).await;
        assert_eq!(status(&well), 200, "{well:?}");
        far.breaks.set(Break::Silent);
        let sent_at = Instant::now();
        let pending = mesh.request_with("/safe/a", "silent", None, 9000);
        let changed = async {
            sleep(Duration::from_millis(200)).await;
            mesh.put(0, &mesh::config(2, "3s")).await
        };
        let (answer, changed) = tokio::join!(pending, changed);
        let took = sent_at.elapsed();
        assert_eq!(status(&changed), 200, "{changed:?}");
        assert_eq!(status(&answer), 504, "after {took:?}: {answer:?}");
        assert!(took < TIMEOUT + LATE, "after {took:?}");
    });
}
