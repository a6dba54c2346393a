//! Requests through two balancers on loopback sockets, with upstreams that break off before, during and after their work,
//! and with core machines that are lost.

#[allow(dead_code)]
mod mesh;

use std::time::Duration;

use mesh::{Mesh, WITHIN, config, play, status, until};
use sloeline_testbed::client::ask;
use sloeline_testbed::standin::Manner;

#[test]
fn a_request_passes_two_balancers_and_what_breaks_off_is_told_as_it_is() {
    play(async || {
        let mesh = Mesh::start(31, 1).await;
        let good = mesh.request("/safe/a?b=1", "t-1", None).await.expect("an answer");
        assert_eq!((good.status, good.body.as_slice()), (200, &b"GET /safe/a?b=1 ran "[..]), "{good:?}");
        assert_eq!((good.header("x-try-id"), good.header("x-postmark")), (Some("t-1"), Some("t-1.1")));
        assert_eq!(mesh.standin.book().senders.keys().collect::<Vec<_>>(), ["front"]);
        assert_eq!(status(&mesh.request("/none/", "t-2", None).await), 404);
        // Never run: said so, and the client may come again.
        for manner in [Manner::Sheds, Manner::CutBefore] {
            mesh.set(manner);
            let (id, before) = (format!("{manner:?}"), mesh.standin.ran());
            let answer = mesh.request("/once/a", &id, None).await.expect("an answer");
            assert_eq!(mesh.standin.ran(), before, "{manner:?}");
            // A connection that is cut after the request was written may have run, as far as anybody can tell.
            let expected = if manner == Manner::Sheds { 503 } else { 502 };
            assert_eq!(answer.status, expected, "{manner:?} {answer:?}");
            assert_eq!(answer.header("retry-after").is_some(), expected == 503);
        }
        // Run, or perhaps run: no promise, and never twice.
        for manner in [Manner::CutDuring, Manner::CutAfter, Manner::Mixes] {
            // After one that broke off the near balancer first tries with care: until it trusts the upstream again.
            mesh.set(Manner::Well);
            let well = until(|| mesh.request("/once/a", "well", None), |a| status(a) == 200).await;
            assert_eq!(status(&well), 200, "{well:?}");
            mesh.set(manner);
            let id = format!("{manner:?}");
            let answer = mesh.request("/once/a", &id, None).await.expect("an answer");
            assert_eq!(answer.status, 502, "{manner:?} {answer:?}");
            assert_eq!(mesh.standin.book().runs.get(&id), Some(&1), "{manner:?}");
        }
        mesh.set(Manner::Well);
        let back = until(|| mesh.request("/once/a", "t-9", None), |a| status(a) == 200).await;
        assert_eq!(status(&back), 200, "{back:?}");
    });
}

#[test]
fn an_operation_runs_once_whatever_becomes_of_its_answers() {
    play(async || {
        let mesh = Mesh::start(32, 1).await;
        let first = mesh.request("/key/a", "t-1", Some("k-1")).await.expect("an answer");
        let again = mesh.request("/key/a", "t-2", Some("k-1")).await.expect("an answer");
        assert_eq!((first.status, again.status), (200, 200));
        assert_eq!((&first.body, first.header("x-postmark")), (&again.body, again.header("x-postmark")));
        assert_eq!(again.header("x-try-id"), Some("t-2"));
        // Two at the same moment: one runs, the other hears so.
        mesh.standin.book().works = Duration::from_millis(150);
        let (one, other) = tokio::join!(
            mesh.request("/key/a", "t-3", Some("k-2")),
            mesh.request("/key/a", "t-4", Some("k-2"))
        );
        let mut both = [status(&one), status(&other)];
        both.sort_unstable();
        assert_eq!(both, [200, 409]);
        // The answer is lost: nobody is told that it did not run, and nobody runs it again.
        mesh.standin.book().works = Duration::ZERO;
        mesh.set(Manner::CutDuring);
        assert_eq!(status(&mesh.request("/key/a", "t-5", Some("k-3")).await), 502);
        mesh.set(Manner::Well);
        assert_eq!(status(&mesh.request("/key/a", "t-6", Some("k-3")).await), 502);
        // It was turned away unseen: the next try may run.
        mesh.set(Manner::Sheds);
        assert_eq!(status(&mesh.request("/key/a", "t-7", Some("k-4")).await), 503);
        mesh.set(Manner::Well);
        let run = until(|| mesh.request("/key/a", "t-8", Some("k-4")), |a| status(a) == 200).await;
        assert_eq!(status(&run), 200, "{run:?}");
        let keys = mesh.standin.book().keys.clone();
        assert!(keys.values().all(|n| *n == 1) && keys.len() == 4, "{keys:?}");
        // Its own failure is the first one's answer as well.
        mesh.set(Manner::Fails);
        let first = mesh.request("/key/a", "t-10", Some("k-5")).await.expect("an answer");
        mesh.set(Manner::Well);
        let again = mesh.request("/key/a", "t-11", Some("k-5")).await.expect("an answer");
        assert_eq!((first.status, again.status), (500, 500));
        assert_eq!((&first.body, first.header("x-postmark")), (&again.body, again.header("x-postmark")));
        assert_eq!(mesh.standin.book().keys.get("k-5"), Some(&1));
        assert_eq!(status(&mesh.request("/key/a", "t-9", None).await), 400);
    });
}

#[test]
fn an_upstream_that_closes_gets_nothing_new_and_finishes_what_it_has() {
    play(async || {
        let mesh = Mesh::start(33, 1).await;
        mesh.standin.book().works = Duration::from_millis(600);
        let long = mesh.request("/once/a", "t-1", None);
        let closes = async {
            until(async || mesh.standin.ran(), |ran| *ran == 1).await;
            mesh.standin.book().closing = true;
            until(|| mesh.request("/once/a", "t-2", None), |a| status(a) == 503).await
        };
        let (long, refused) = tokio::join!(long, closes);
        assert_eq!((status(&long), status(&refused)), (200, 503));
        let ran = mesh.standin.ran();
        assert_eq!(status(&mesh.request("/once/a", "t-3", None).await), 503);
        assert_eq!(mesh.standin.ran(), ran);
    });
}

#[test]
fn configurations_outlive_the_loss_of_a_core_machine_and_of_its_disk() {
    play(async || {
        let mut mesh = Mesh::start(34, 3).await;
        assert_eq!(status(&mesh.put(1, &config(2, "2s")).await), 200);
        // Refused ones change nothing.
        assert_eq!(status(&mesh.put(2, &config(3, "0ms")).await), 400);
        // The head goes, and its disk with it.
        drop(mesh.cores[0].take());
        let fourth = config(4, "1s");
        let put = until(|| mesh.put(1, &fourth), |a| status(a) == 200).await;
        assert_eq!(status(&put), 200, "{put:?}");
        std::fs::remove_dir_all(mesh.folder.0.join("core-0")).expect("its disk");
        mesh.cores[0] = Some(mesh.plan.core(0, false).expect("a core machine"));
        // It is taken in again, and answers what was acknowledged without it.
        let read = until(|| mesh.read(0), |a| status(a) == 200).await.expect("an answer");
        assert_eq!(String::from_utf8_lossy(&read.body), config(4, "1s"));
        // All at once, disks kept.
        mesh.cores.iter_mut().for_each(|core| drop(core.take()));
        for core in 0..3 {
            mesh.cores[usize::from(core)] = Some(mesh.plan.core(core, false).expect("a core machine"));
        }
        let read = until(|| mesh.read(2), |a| status(a) == 200).await.expect("an answer");
        assert_eq!(String::from_utf8_lossy(&read.body), config(4, "1s"));
        let served = until(|| mesh.request("/key/a", "t-1", Some("k-1")), |a| status(a) == 200).await;
        assert_eq!(status(&served), 200, "{served:?}");
    });
}

/// Sends bytes to an address and waits until the other end closes; what came back.
async fn stranger(to: std::net::SocketAddr, bytes: &[u8]) -> Vec<u8> {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut stream = tokio::net::TcpStream::connect(to).await.expect("a connection");
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    let mut come = Vec::new();
    let _ =
        tokio::time::timeout(Duration::from_secs(5), stream.read_to_end(&mut come)).await.expect("an end");
    come
}

#[test]
fn what_strangers_send_is_refused_with_a_reason_and_harms_nobody() {
    play(async || {
        let mesh = Mesh::start(35, 1).await;
        let mesh_ports = [mesh.plan.operator(0), mesh.plan.outgoing(1)].map(|mut a| {
            a.set_port(7620);
            a
        });
        let long = [&0x7fff_ffff_u32.to_be_bytes()[..], &[1, 0]].concat();
        let foreign = [&64_u32.to_be_bytes()[..], &[99, 0], &[0; 62]].concat();
        // A frame whose message is a list of four thousand million entries, and one that is nested without end.
        let huge = [&15_u32.to_be_bytes()[..], &[1, 0], &[0; 8], &[0xdd, 0xff, 0xff, 0xff, 0xff]].concat();
        let nested = [&4106_u32.to_be_bytes()[..], &[1, 0], &[0; 8], &[0x91; 4096]].concat();
        for port in mesh_ports {
            for bytes in [&b"GET / HTTP/1.1\r\n\r\n"[..], &long, &foreign, &huge, &nested, &[]] {
                assert_eq!(stranger(port, bytes).await, b"", "{bytes:?}");
            }
        }
        // Core machines take no word of the chain from one that is no founder.
        let whole = "x".repeat(20 << 20);
        let cases: [(&str, &str, u16, &str); 5] = [
            ("/-/rpc?call=config.replace", "{", 400, "configuration"),
            ("/-/rpc?call=config.replace", &whole, 413, "body"),
            ("/-/rpc?call=nothing", "", 404, "config.replace"),
            ("/-/rpc", "", 404, "nothing"),
            ("/elsewhere", "", 404, "/-/rpc"),
        ];
        for (target, body, status, told) in cases {
            let answer = ask(mesh.plan.operator(0), "POST", target, &[], body.as_bytes(), WITHIN).await;
            // Whoever sends twenty megabytes may find the connection closed before it has the answer.
            let Ok(answer) = answer else {
                assert_eq!(status, 413, "{target}");
                continue;
            };
            let why = String::from_utf8_lossy(&answer.body).into_owned();
            assert!(answer.status == status && why.contains(told), "{target}: {answer:?}");
        }
        for (headers, status) in [
            (&[("Host", "h.example"), ("Host", "g.example")][..], 400),
            (&[("Host", "h.example"), ("X-Time-Left", "-5")], 400),
            (&[("Host", "h.example"), ("X-Time-Left", "soon")], 400),
            (&[("Host", "h.example"), ("X-Try-Id", "a"), ("X-Try-Id", "b")], 400),
            (&[("Host", "other.example")], 404),
        ] {
            let answer = ask(mesh.plan.outgoing(1), "GET", "/safe/a", headers, b"", WITHIN).await;
            assert_eq!(answer.as_ref().map_or(0, |a| a.status), status, "{headers:?} {answer:?}");
        }
        assert_eq!(mesh.standin.ran(), 0);
        let good = mesh.request("/safe/a", "t-1", None).await.expect("an answer");
        assert_eq!(good.status, 200, "{good:?}");
    });
}
