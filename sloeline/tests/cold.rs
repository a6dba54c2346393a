//! Many processes of the platform's program hear at once of an upstream that has just started, alone in its zone.

mod common;

use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use common::*;

const BALANCERS: u32 = 24;
/// Warm upstreams, in the balancers' zone.
const WARM: usize = 4;
/// How long an upstream takes, and the span of the rule in the settings of these tests.
const SPAN: Duration = Duration::from_secs(1);
/// The rule's factor, and the share at which one starts.
const FACTOR: f64 = 3.0;
const SHARE: f64 = 0.5;

fn slow(stream: &mut std::net::TcpStream) {
    std::thread::sleep(SPAN);
    ok(stream);
}

/// What warm ones answer bounds what a cold one is sent by all processes together. Without the mend each let two held
/// requests go on the news: 48 at once, where 18 were allowed.
#[test]
fn all_processes_together_spare_one_that_has_just_started() {
    let warm: Vec<Peer> = (0..WARM).map(|_| Peer::new()).collect();
    let addresses: Vec<_> = warm.iter().map(|peer| peer.address).collect();
    let (cold, discovery) = (Peer::new(), Peer::new());
    let (cold_address, discovery_address) = (cold.address, discovery.address);
    let served = Arc::new(AtomicUsize::new(0));
    let _warm: Vec<_> = warm
        .into_iter()
        .map(|peer| {
            let served = served.clone();
            peer.serve(move |_, stream| {
                slow(stream);
                served.fetch_add(1, Ordering::SeqCst);
            })
        })
        .collect();
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let _cold = cold.serve({
        let arrivals = arrivals.clone();
        move |_, stream| {
            arrivals.lock().expect("whole").push(Instant::now());
            slow(stream);
        }
    });
    // The list changes once, for all at one moment.
    let news = Arc::new((Mutex::new(None::<String>), Condvar::new()));
    let _discovery = discovery.serve({
        let news = news.clone();
        move |call, stream| {
            let heard = call.first_line().contains("index=42&");
            let mut text = news.0.lock().expect("whole");
            while text.is_none() || heard {
                text = news.1.wait(text).expect("whole");
            }
            let _ = stream.write_all(text.as_deref().unwrap_or_default().as_bytes());
        }
    });
    let start = |me| {
        let setup = Setup::knowing(&addresses);
        let balancers = (BALANCERS, r#""a","b""#);
        Setup { discovery: Some(discovery_address), balancers, me, ..setup }.start()
    };
    let balancers: Vec<Balancer> = (0..BALANCERS).map(start).collect();

    let done = AtomicBool::new(false);
    let until = |most: usize| {
        let began = Instant::now();
        while served.load(Ordering::SeqCst) < most {
            assert!(began.elapsed() < LONG, "{} of {most} served", served.load(Ordering::SeqCst));
            std::thread::sleep(Duration::from_millis(5));
        }
    };
    let began = Instant::now();
    let (rate, worst) = std::thread::scope(|scope| {
        // Two of each are out, and more are held.
        for (b, balancer) in balancers.iter().enumerate() {
            for line in 0..12 {
                let (mut client, done) = (balancer.connect(), &done);
                scope.spawn(move || {
                    for turn in 0.. {
                        if done.load(Ordering::SeqCst) {
                            return;
                        }
                        exchange(&mut client, &request("look", &format!("r-{b}-{line}-{turn}"), ""));
                    }
                });
            }
        }
        // The first two of each are answered: as much as warm ones were seen to do when the news come.
        until(2 * BALANCERS as usize);
        let before = served.load(Ordering::SeqCst);
        let rate = before as f64 / began.elapsed().as_secs_f64() / WARM as f64;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis();
        let started = entry("s-cold", cold_address, "SERVING")
            .replace(r#""zone":"a""#, r#""zone":"b""#)
            .replace(r#""startedAtMs":0"#, &format!(r#""startedAtMs":{now}"#));
        let body = list(42, false, &[started]);
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        *news.0.lock().expect("whole") = Some(answer);
        news.1.notify_all();
        until(before + 8 * BALANCERS as usize);
        let arrived = arrivals.lock().expect("whole").clone();
        let within =
            |from: &Instant| arrived.iter().filter(|at| **at >= *from && **at < *from + SPAN).count();
        let worst = arrived.iter().map(within).max().unwrap_or(0);
        // It is sent something in the end: at the latest when it is warm.
        let began = Instant::now();
        while arrivals.lock().expect("whole").is_empty() {
            assert!(began.elapsed() < LONG, "it was sent nothing");
            std::thread::sleep(Duration::from_millis(5));
        }
        done.store(true, Ordering::SeqCst);
        (rate, worst)
    });
    println!("warm ones answered {rate:.1} a second each; the cold one was sent {worst} in its worst second");
    // The least that it may be sent is asked for, when it has just started, and two for chance.
    assert!(
        worst as f64 <= FACTOR * SHARE * rate * SPAN.as_secs_f64() + 2.0,
        "{worst}, at {rate:.1} a second"
    );
}
