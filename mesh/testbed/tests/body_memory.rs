//! Memory of a balancer that receives many or long request bodies at once for its upstream.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use sloeline_testbed::machine::Plan;
use sloeline_testbed::process::{Builds, Process, Program};
use sloeline_testbed::standin::Standin;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

/// The machine of the balancer.
const MACHINE: u8 = 2;
/// Requests that the upstream works on at once.
const SLOTS: u32 = 4;
/// How long a request may take. Its sender waits this long.
const WITHIN: Duration = Duration::from_secs(30);
/// Bytes that are written at once.
const CHUNK_BYTES: usize = 64 << 10;

/// Requests that come at once.
#[derive(Clone, Copy, Debug)]
struct Burst {
    /// How many.
    requests: usize,
    /// Bytes of the body of each.
    body_bytes: usize,
    /// Whether the bodies come in chunks, without their lengths.
    chunked: bool,
    /// Whether each request has an operation key of its own.
    keyed: bool,
    /// Bytes of the body of each answer.
    answer_bytes: usize,
    /// Whether the sender breaks off after half of the body.
    breaks_off: bool,
}

/// One request with one byte in its body and its answer's.
const SMALL: Burst =
    Burst { requests: 1, body_bytes: 1, chunked: false, keyed: false, answer_bytes: 1, breaks_off: false };

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// The upstream's answer.
    Served,
    /// An answer that says that it didn't run.
    NotRun,
    /// Anything else.
    Other(u16),
}

/// Sends a request as another balancer does; `None` if it ends without a whole head of an answer.
async fn send(to: SocketAddr, upstream: &str, number: usize, burst: Burst) -> Option<End> {
    let mut stream = TcpStream::connect(to).await.ok()?;
    let framing = match burst.chunked {
        true => "Transfer-Encoding: chunked".to_owned(),
        false => format!("Content-Length: {}", burst.body_bytes),
    };
    let key = match burst.keyed {
        true => format!("X-Mesh-Keyed: 1\r\nX-Operation-Key: k-{number}\r\n"),
        false => String::new(),
    };
    let head = format!(
        "POST /key/large HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nX-Try-Id: t-{number}\r\nX-Time-Left: {}\r\n\
         X-Addressee: {upstream}\r\n{key}{framing}\r\n\r\n",
        WITHIN.as_millis()
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    let (mut reader, mut writer) = stream.into_split();
    let writing = spawn_local(async move {
        let mut left = burst.body_bytes;
        while left > 0 {
            if burst.breaks_off && left <= burst.body_bytes / 2 {
                return Err(std::io::ErrorKind::BrokenPipe.into());
            }
            let part = left.min(CHUNK_BYTES);
            if burst.chunked {
                writer.write_all(format!("{part:x}\r\n").as_bytes()).await?;
            }
            writer.write_all(&vec![b'b'; part]).await?;
            if burst.chunked {
                writer.write_all(b"\r\n").await?;
            }
            left -= part;
        }
        if burst.chunked {
            writer.write_all(b"0\r\n\r\n").await?;
        }
        // The connection stays open for the answer.
        Ok::<_, std::io::Error>(writer)
    });
    let mut answer = Vec::new();
    let read = timeout(WITHIN * 2, reader.read_to_end(&mut answer)).await;
    drop(writing.await);
    read.ok()?.ok()?;
    let answer = String::from_utf8_lossy(&answer).to_ascii_lowercase();
    let status = answer.split(' ').nth(1)?.parse().ok()?;
    Some(match status {
        200 => End::Served,
        _ if answer.contains("x-not-run: 1") => End::NotRun,
        _ => End::Other(status),
    })
}

/// Plays a burst at a balancer with this much memory. Returns the most memory that it had, in MiB.
fn peak_memory(net: u8, memory_mb: u64, burst: Burst) -> u64 {
    let folder = std::env::temp_dir().join(format!("sloeline-bodies-{}-{net}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    let plan = Plan::new(net, 1, folder.clone());
    let _core = plan.core(0, true).expect("a core machine");
    let settings =
        plan.balancer_settings(MACHINE, "one").replace("memory_mb = 64", &format!("memory_mb = {memory_mb}"));
    let builds = Builds::single(Path::new(env!("CARGO_BIN_EXE_sloeline-testbed")));
    let mut balancer =
        Process::start(Program::DataPlane, builds, &folder, "m-2", &settings).expect("a balancer");
    let standin = Standin::default();
    {
        let mut book = standin.book();
        (book.works, book.large) = (Duration::from_millis(20), burst.answer_bytes);
    }
    let _upstream = plan.standin(MACHINE, "one", &standin, SLOTS).expect("an upstream");
    let (incoming, upstream) = (plan.incoming(MACHINE), plan.upstream(MACHINE, "one", SLOTS).id);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let ends = LocalSet::new().block_on(&runtime, async {
        let start = Instant::now();
        while send(incoming, &upstream, usize::MAX, SMALL).await != Some(End::Served) {
            assert!(start.elapsed() < WITHIN, "the balancer doesn't begin to serve");
            sleep(Duration::from_millis(50)).await;
        }
        let upstream = &upstream;
        let requests: Vec<_> = (0..burst.requests)
            .map(|number| {
                let upstream = upstream.clone();
                spawn_local(async move { send(incoming, &upstream, number, burst).await })
            })
            .collect();
        let mut ends = Vec::new();
        for request in requests {
            ends.push(request.await.expect("no panic"));
        }
        if burst.breaks_off {
            // Nothing is held against the upstream, and its slots are free.
            let after = send(incoming, upstream, usize::MAX, SMALL).await;
            assert_eq!(after, Some(End::Served), "after bodies that broke off");
            return Vec::new();
        }
        ends
    });
    assert!(balancer.is_running(), "{}", balancer.log());
    let peak = balancer.peak_memory_mib().expect("the process is there");
    let count = |end: End| ends.iter().filter(|one| **one == Some(end)).count();
    let (served, not_run) = (count(End::Served), count(End::NotRun));
    println!("{burst:?}, {memory_mb} MB: {served} served, {not_run} not run, at most {peak} MiB");
    let others: Vec<_> = ends.iter().filter(|end| !matches!(end, Some(End::Served | End::NotRun))).collect();
    let requests = if burst.breaks_off { 0 } else { burst.requests };
    assert_eq!(served + not_run, requests, "{burst:?}");
    assert_eq!(others.len(), 0, "{burst:?}: {:?}", &others[..others.len().min(8)]);
    assert!(served > 0 || burst.breaks_off, "{burst:?}");
    let ran = standin.book().runs.keys().filter(|id| *id != &format!("t-{}", usize::MAX)).count();
    assert_eq!(ran, served, "{burst:?}: what the upstream ran");
    let _ = std::fs::remove_dir_all(&folder);
    peak
}

/// Guards against long bodies that are all read into memory before anything else is asked.
#[test]
fn a_balancer_keeps_within_its_memory_however_many_long_bodies_come_at_once() {
    const MIB: usize = 1 << 20;
    let bursts = [
        (81, 64, Burst { requests: 8, body_bytes: 60 * MIB, ..SMALL }),
        (82, 64, Burst { requests: 8, body_bytes: 24 * MIB, chunked: true, ..SMALL }),
        (83, 64, Burst { requests: 8, body_bytes: 24 * MIB, keyed: true, ..SMALL }),
        (84, 64, Burst { requests: 400, body_bytes: 1 << 10, ..SMALL }),
        (85, 260, Burst { requests: 1, body_bytes: 60 * MIB, ..SMALL }),
        (86, 260, Burst { requests: 64, body_bytes: 60 * MIB, ..SMALL }),
    ];
    for (net, memory_mb, burst) in bursts {
        let peak = peak_memory(net, memory_mb, burst);
        assert!(peak <= memory_mb, "{burst:?}: {peak} MiB, allowed are {memory_mb}");
    }
}

/// Guards against answers to keyed requests that are read whole whatever their length, although long ones are not stored.
#[test]
fn a_balancer_keeps_within_its_memory_however_many_long_answers_come_at_once() {
    let long = Burst { requests: 8, answer_bytes: 24 << 20, ..SMALL };
    for (net, burst) in [(87, long), (88, Burst { keyed: true, ..long })] {
        let peak = peak_memory(net, 64, burst);
        assert!(peak <= 64, "{burst:?}: {peak} MiB, allowed are 64");
    }
}

/// Guards against upstreams that are taken for unreachable, or slots that stay taken, because a sender broke off.
#[test]
fn a_body_that_breaks_off_says_nothing_about_the_upstream() {
    let broken = Burst { requests: 8, body_bytes: 60 << 20, breaks_off: true, ..SMALL };
    for (net, burst) in [(89, broken), (90, Burst { chunked: true, keyed: true, ..broken })] {
        let peak = peak_memory(net, 64, burst);
        assert!(peak <= 64, "{burst:?}: {peak} MiB, allowed are 64");
    }
}
