//! What the daemon costs beside the platform's program and beside no balancer: processor time for a request, memory
//! for an idle pool, time of a reload. Run by hand: `cargo bench -p sloeline --bench cost`, or with `-- described` for
//! 5,000 operations by hand, described, and compared with what they do, or with `-- reloads` for requests while it reads a large configuration
//! again. Loopback only, with as many connections and
//! seconds as the constants say.

use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

const UPSTREAMS: usize = 4;
const CONNECTIONS: usize = 8;
const SPAN: Duration = Duration::from_secs(4);
/// Between two requests on a connection: at the same rate the same number of requests share a wake-up.
const PACE: Duration = Duration::from_micros(800);
const ROUNDS: usize = 5;
/// Ticks in a second of `/proc`.
const TICKS: f64 = 100.0;

/// Reads messages that have no body or a body by its length; answers each.
fn upstream() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut stream = BufReader::new(stream);
                while message(&mut stream).is_some() {
                    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
                    if stream.get_mut().write_all(answer).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Reads one message; its first line.
fn message(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let (mut first, mut line, mut length) = (String::new(), String::new(), 0);
    loop {
        line.clear();
        if stream.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if first.is_empty() {
            first.clone_from(&line);
        }
        let lower = line.to_ascii_lowercase();
        if let Some(value) = lower.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
        if line == "\r\n" {
            break;
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(first)
}

/// Closed loops on kept connections; requests answered 200, others, and the median and 99th percentile.
fn load(to: SocketAddr) -> (u64, u64, f64, f64) {
    let threads: Vec<_> = (0..CONNECTIONS)
        .map(|n| {
            std::thread::spawn(move || {
                let connect = || {
                    let stream = TcpStream::connect(to).expect("it listens");
                    let _ = stream.set_nodelay(true);
                    BufReader::new(stream)
                };
                let (mut stream, start) = (connect(), Instant::now());
                let (mut ok, mut other, mut took) = (0_u64, 0_u64, Vec::new());
                let mut due = start;
                while start.elapsed() < SPAN {
                    due += PACE;
                    std::thread::sleep(due.saturating_duration_since(Instant::now()));
                    let at = Instant::now();
                    let request = format!(
                        "GET /api?key=7f3a HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {n}-{ok}-{other}\r\nReq-Kind: look\r\nReq-Deadline-Ms: 6000\r\n\r\n"
                    );
                    let answered = stream.get_mut().write_all(request.as_bytes()).ok().and_then(|()| message(&mut stream));
                    match answered {
                        Some(first) if first.contains(" 200 ") => ok += 1,
                        Some(_) => other += 1,
                        None => stream = connect(),
                    }
                    took.push(at.elapsed().as_secs_f64() * 1e3);
                }
                (ok, other, took)
            })
        })
        .collect();
    let (mut ok, mut other, mut took) = (0, 0, Vec::new());
    for thread in threads {
        let (o, x, t) = thread.join().expect("a thread");
        (ok, other) = (ok + o, other + x);
        took.extend(t);
    }
    took.sort_by(f64::total_cmp);
    (ok, other, took[took.len() / 2], took[took.len() * 99 / 100])
}

/// Processor time of a process so far, in seconds.
fn cpu(process: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).expect("it lives");
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or("").split(' ').collect();
    (fields[11].parse::<f64>().expect("a number") + fields[12].parse::<f64>().expect("a number")) / TICKS
}

struct Program {
    child: Child,
    log: Receiver<String>,
    file: PathBuf,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

impl Program {
    fn start(text: &str, platform: bool) -> (Program, SocketAddr) {
        let file = std::env::temp_dir().join(format!("sloeline-cost-{}-{platform}", std::process::id()));
        std::fs::write(&file, text).expect("a file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_sloeline"));
        if platform {
            command.env("EDGE_CONFIG", &file);
        } else {
            command.env_remove("EDGE_CONFIG").arg("run").arg("--config").arg(&file);
        }
        let mut child = command.stderr(Stdio::piped()).spawn().expect("it starts");
        let lines = BufReader::new(child.stderr.take().expect("a pipe")).lines();
        let (sender, log) = channel();
        std::thread::spawn(move || lines.map_while(Result::ok).for_each(|l| drop(sender.send(l))));
        let program = Program { child, log, file };
        let line = program.logged("listens on");
        let address = line.rsplit(' ').next().and_then(|a| a.parse().ok()).expect("an address");
        (program, address)
    }

    fn logged(&self, text: &str) -> String {
        loop {
            let line = self.log.recv_timeout(Duration::from_secs(60)).expect("a line");
            if line.contains(text) {
                return line;
            }
        }
    }

    fn cpu(&self) -> f64 {
        cpu(self.child.id())
    }

    /// Resident memory, in KiB.
    fn memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("it lives");
        let line = status.lines().find(|l| l.starts_with("VmRSS:")).expect("a line");
        line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).expect("a number")
    }

    fn reload(&self, text: &str) -> String {
        std::fs::write(&self.file, text).expect("a file");
        kill_process(Pid::from_child(&self.child), Signal::HUP).expect("it lives");
        self.logged("configuration read again")
    }
}

fn platform(upstreams: &[SocketAddr]) -> String {
    let entry = |(n, a): (usize, &SocketAddr)| {
        format!(
            r#"{{"instanceId":"s-{n}","hostPort":"{a}","zone":"a","machineType":"k","cell":0,"lifecycle":"SERVING","weight":1.0,"startedAtMs":0}}"#
        )
    };
    let known: Vec<String> = upstreams.iter().enumerate().map(entry).collect();
    format!(
        r#"{{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"7","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{{"generation":1,"reset":true,"instances":[{}]}},"settings":{{"Areas":["a"],"Balancers":1,"Categories":[{{"Name":"look","Effect":"retryable","TargetMs":3000.0,"DeadlineMs":6000.0,"LateWorth":0.0,"Streaming":false,"Value":1.0}}],"Discovery":"automatic","GranularityMs":1.0,"Limits":{{"Cancel":true,"MostTries":4,"RetryAfter":true,"ConnectTimeoutMs":1000.0}},"Me":0,"Rules":{{"AskWithinMs":10000.0,"ColdFrom":0.5,"DrainGraceMs":2000.0,"OverloadFactor":3.0,"TipAfterMs":1000.0,"WarmAfterMs":5000.0}},"Stage":0,"Tiers":["t"],"Zone":"a"}}}}"#,
        known.join(",")
    )
}

fn daemon(upstreams: &[SocketAddr], more_pools: usize, more_routes: usize, aim: u32) -> String {
    let nodes: Vec<String> = upstreams.iter().map(|a| format!("{{ address = \"{a}\" }}")).collect();
    let mut text = format!(
        "[instance]\nzone = \"a\"\n[limits]\ndescriptors = 8192\nmemory = \"2GiB\"\n[listener.l]\naddress = \"127.0.0.1:0\"\ndeadline_header = \"Req-Deadline-Ms\"\n[class.look]\neffect = \"safe\"\naim = \"{aim}ms\"\ndeadline = \"6s\"\n[pool.p]\nnodes = [{}]\ndeadline_header = \"Req-Deadline-Ms\"\n[[route]]\nname = \"api\"\nmethod = [\"GET\"]\npath = \"/api\"\nclass = \"look\"\npool = \"p\"\n",
        nodes.join(", ")
    );
    for n in 0..more_pools {
        let _ = write!(text, "[pool.more-{n}]\nnodes = [{}]\n", nodes.join(", "));
    }
    for n in 0..more_routes.max(more_pools) {
        let pool = if n < more_pools { format!("more-{n}") } else { "p".to_owned() };
        let _ = write!(
            text,
            "[[route]]\nname = \"r-{n}\"\nmethod = \"GET\"\npath = \"/services/{n}/{{id}}\"\nclass = \"look\"\npool = \"{pool}\"\n"
        );
    }
    text
}

/// Operations that are described.
const OPERATIONS: usize = 5_000;

/// Routes of a description beside the one that is asked for; `compared` is the share of answers, none for routes by hand.
fn described(upstreams: &[SocketAddr], compared: Option<f64>) -> (String, PathBuf) {
    let file = std::env::temp_dir().join(format!("sloeline-cost-{}-api.yaml", std::process::id()));
    let mut api =
        "openapi: 3.1.0\npaths:\n  /api: {get: {responses: {'200': {description: d}, default: {}}}}\n"
            .to_owned();
    for n in 0..OPERATIONS - 1 {
        let _ = writeln!(
            api,
            "  /services/{n}/{{id}}: {{get: {{parameters: [{{name: id, in: path, required: true}}], responses: {{default: {{}}}}}}}}"
        );
    }
    std::fs::write(&file, api).expect("a file");
    let hand = daemon(upstreams, 0, OPERATIONS - 1, 3000);
    let text = match compared {
        None => hand,
        Some(compared) => {
            let head = hand.split("[[route]]").next().unwrap_or_default();
            let name = file.file_name().and_then(|n| n.to_str()).expect("a name");
            format!(
                "{head}[class.pay]\neffect = \"unsafe\"\naim = \"3s\"\ndeadline = \"6s\"\n[description.d]\nfile = \"{name}\"\npool = \"p\"\nsafe = \"look\"\nunsafe = \"pay\"\ncompared = {compared}\n"
            )
        }
    };
    (text, file)
}

/// Plays the three in turn; processor time for a request, the median of the rounds.
fn descriptions(upstreams: &[SocketAddr]) {
    let plays = [
        ("by hand", None),
        ("described", Some(0.0)),
        ("compared", Some(1.0 / 16.0)),
        ("all compared", Some(1.0)),
    ];
    let mut costs = [const { Vec::new() }; 4];
    for round in 1..=ROUNDS {
        for (at, (name, compared)) in plays.iter().enumerate() {
            let (text, file) = described(upstreams, *compared);
            let start = Instant::now();
            let (program, address) = Program::start(&text, false);
            let started = start.elapsed();
            let before = program.cpu();
            let (ok, other, p50, p99) = load(address);
            let cost = (program.cpu() - before) * 1e6 / (ok + other) as f64;
            println!(
                "{round} {name:<13}{ok:>7} served {other} other  p50 {p50:.3} ms  p99 {p99:.3} ms  {cost:.1} us  {} KiB  up in {} ms",
                program.memory(),
                started.as_millis()
            );
            costs[at].push(cost);
            if round == ROUNDS {
                println!("  {}", program.reload(&text.replace("6s", "5s")));
            }
            let _ = std::fs::remove_file(file);
        }
    }
    for ((name, _), costs) in plays.iter().zip(&mut costs) {
        costs.sort_by(f64::total_cmp);
        println!("{name}: {:.2} us (median of {ROUNDS})", costs[ROUNDS / 2]);
    }
}

/// Requests on a daemon with 1,000 pools and 10,000 routes, while nothing else happens and while it reads another
/// configuration again and again.
fn reloads(upstreams: &[SocketAddr]) {
    let (program, address) = Program::start(&daemon(upstreams, 1000, 10_000, 3000), false);
    std::thread::sleep(Duration::from_secs(2));
    let on = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(true));
    let threads: Vec<_> = (0..CONNECTIONS)
        .map(|n| {
            let on = on.clone();
            std::thread::spawn(move || {
                let mut stream = BufReader::new(TcpStream::connect(address).expect("it listens"));
                let mut took = Vec::new();
                while on.load(std::sync::atomic::Ordering::Relaxed) {
                    std::thread::sleep(PACE);
                    let at = Instant::now();
                    let request =
                        format!("GET /api HTTP/1.1\r\nHost: b\r\nReq-Id: {n}-{}\r\n\r\n", took.len());
                    stream.get_mut().write_all(request.as_bytes()).expect("it reads");
                    let first = message(&mut stream).expect("an answer");
                    assert!(first.contains(" 200 "), "{first}");
                    took.push((at, at.elapsed()));
                }
                took
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(3));
    let mut spans = Vec::new();
    for n in 1..=5 {
        let start = Instant::now();
        let line = program.reload(&daemon(upstreams, 1000, 10_000, 3000 + n));
        spans.push((start, Instant::now()));
        println!("  {line}");
        std::thread::sleep(Duration::from_secs(1));
    }
    on.store(false, std::sync::atomic::Ordering::Relaxed);
    let took: Vec<(Instant, Duration)> =
        threads.into_iter().flat_map(|t| t.join().expect("a thread")).collect();
    let figures = |what: &str, within: &dyn Fn(Instant, Duration) -> bool| {
        let mut list: Vec<f64> =
            took.iter().filter(|(at, d)| within(*at, *d)).map(|(_, d)| d.as_secs_f64() * 1e3).collect();
        list.sort_by(f64::total_cmp);
        let at = |part: f64| list[((list.len() - 1) as f64 * part) as usize];
        println!(
            "{what}: {} requests, p50 {:.2} ms, p99 {:.2} ms, p99.9 {:.2} ms, longest {:.2} ms",
            list.len(),
            at(0.5),
            at(0.99),
            at(0.999),
            at(1.0)
        );
    };
    let first = spans[0].0;
    figures("quiet", &|at, took| at + took < first);
    figures("while it reads", &|at, took| spans.iter().any(|(from, to)| at < *to && at + took > *from));
}

fn main() {
    if std::env::args().any(|a| a == "reloads") {
        let upstreams: Vec<SocketAddr> = (0..UPSTREAMS).map(|_| upstream()).collect();
        return reloads(&upstreams);
    }
    if std::env::args().any(|a| a == "described") {
        let upstreams: Vec<SocketAddr> = (0..UPSTREAMS).map(|_| upstream()).collect();
        return descriptions(&upstreams);
    }
    let upstreams: Vec<SocketAddr> = (0..UPSTREAMS).map(|_| upstream()).collect();
    println!(
        "{UPSTREAMS} upstreams that answer at once, {CONNECTIONS} connections, a request on each every {PACE:?}, {SPAN:?} a play, {ROUNDS} rounds"
    );
    let mut costs = [Vec::new(), Vec::new(), Vec::new()];
    // Of callers, upstreams and what is between them: a direct connection has nothing there.
    let mut whole = [Vec::new(), Vec::new(), Vec::new(), Vec::new()];
    let own = std::process::id();
    for round in 1..=ROUNDS {
        let before = cpu(own);
        let (ok, other, p50, p99) = load(upstreams[0]);
        let all = (cpu(own) - before) * 1e6 / (ok + other) as f64;
        println!(
            "{round} direct    {ok:>7} served {other} other  p50 {p50:.3} ms  p99 {p99:.3} ms  {all:.1} us in all"
        );
        whole[0].push(all);
        let texts =
            [platform(&upstreams), daemon(&upstreams, 0, 0, 3000), daemon(&upstreams, 0, 10_000, 3000)];
        for (at, (name, text)) in ["platform", "daemon", "10k routes"].into_iter().zip(texts).enumerate() {
            let (program, address) = Program::start(&text, at == 0);
            let (before, before_own) = (program.cpu(), cpu(own));
            let (ok, other, p50, p99) = load(address);
            let cost = (program.cpu() - before) * 1e6 / (ok + other) as f64;
            let all = cost + (cpu(own) - before_own) * 1e6 / (ok + other) as f64;
            println!(
                "{round} {name:<10}{ok:>7} served {other} other  p50 {p50:.3} ms  p99 {p99:.3} ms  {all:.1} us in all, {cost:.1} of them its own  {} KiB",
                program.memory()
            );
            costs[at].push(cost);
            whole[at + 1].push(all);
        }
    }
    let median = |costs: &mut Vec<f64>| {
        costs.sort_by(f64::total_cmp);
        costs[costs.len() / 2]
    };
    let [platform, plain, routes] = costs.each_mut().map(median);
    println!(
        "medians: platform {platform:.1} us, daemon {plain:.1} us ({:.2}), with 10,000 routes {routes:.1} us ({:.2})",
        plain / platform,
        routes / platform
    );
    let [direct, platform, plain, routes] = whole.each_mut().map(median);
    println!(
        "medians with callers and upstreams: direct {direct:.1} us, platform {platform:.1} us ({:.2}), daemon {plain:.1} us ({:.2}), with 10,000 routes {routes:.1} us ({:.2})",
        platform / direct,
        plain / direct,
        routes / direct
    );

    for pools in [0, 100, 1000] {
        let (program, _) = Program::start(&daemon(&upstreams, pools, 0, 3000), false);
        // Housekeeping has begun everywhere.
        std::thread::sleep(Duration::from_secs(1));
        let (cpu, memory) = (program.cpu(), program.memory());
        std::thread::sleep(Duration::from_secs(5));
        let idle = (program.cpu() - cpu) / 5.0 * 100.0;
        let reloads: Vec<String> =
            (0..5).map(|n| program.reload(&daemon(&upstreams, pools, 0, 3000 + n))).collect();
        println!("{pools} more pools: {memory} KiB, {idle:.1}% of a core when idle");
        for line in reloads {
            println!("  every class changed: {line}");
        }
        println!("  after: {} KiB", program.memory());
        // Grows with each reload, or not.
        (0..30).for_each(|n| drop(program.reload(&daemon(&upstreams, pools, 0, 3100 + n))));
        println!("  after 30 more: {} KiB", program.memory());
    }
}
