//! Two hundred reloads in twenty seconds under load, some of them of broken files, then a planned stop with another
//! reload in it: every request is accounted for at clients and upstreams. `SLOELINE_SEED` sets the seed.

mod rig;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use fastrand::Rng;
use rig::*;
use rustix::process::{Pid, Signal, kill_process};
use sloeline_standin::client::{Client, Wording};
use sloeline_standin::node::{Does, Node};
use sloeline_standin::record::Record;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};

const RELOADS: u32 = 200;
const TICK: Duration = Duration::from_millis(100);
/// Nothing new goes to a drained node this long after the news.
const GRACE: Duration = Duration::from_secs(2);
/// The longest deadline that any configuration here has.
const LONGEST: Duration = Duration::from_secs(4);

/// The program; killed when dropped.
struct Running {
    child: Child,
    log: UnboundedReceiver<String>,
    file: PathBuf,
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

impl Running {
    fn start(text: &str) -> Running {
        let file = std::env::temp_dir().join(format!("sloeline-storm-{}.toml", std::process::id()));
        std::fs::write(&file, text).expect("a file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_sloeline"));
        command.arg("run").arg("--config").arg(&file).stderr(Stdio::piped());
        let mut child = command.spawn().expect("it starts");
        let lines = BufReader::new(child.stderr.take().expect("a pipe")).lines();
        let (sender, log) = unbounded_channel();
        std::thread::spawn(move || lines.map_while(Result::ok).for_each(|l| drop(sender.send(l))));
        Running { child, log, file }
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("it lives");
    }

    /// The next line of the log that holds one of these.
    async fn logged(&mut self, texts: &[&str]) -> String {
        loop {
            let line = timeout(LONG, self.log.recv()).await.expect("a line in time").expect("it lives");
            assert!(!line.starts_with("defect:"), "{line}");
            if texts.iter().any(|t| line.contains(t)) {
                return line;
            }
        }
    }
}

/// What one configuration is made of.
struct Setup {
    drained: Option<usize>,
    with_b: bool,
    with_c: bool,
    extra: bool,
    effect: &'static str,
    deadline: u32,
}

fn text(setup: &Setup, a: &[Node], b: &[Node], c: &Node) -> String {
    let mut text = HEAD
        .replace("[class.look]\neffect = \"safe\"", &format!("[class.look]\neffect = \"{}\"", setup.effect))
        .replace("aim = \"3s\"", "aim = \"1s\"")
        .replace("deadline = \"4s\"", &format!("deadline = \"{}ms\"", setup.deadline));
    if setup.extra {
        text = text.replace("[class.look]", "[listener.extra]\naddress = \"127.0.0.1:0\"\n[class.look]");
    }
    let all: Vec<&Node> = a.iter().collect();
    let mut pools = pool("a", &all);
    if let Some(at) = setup.drained {
        let mark = format!("address = \"{}\"", a[at].address);
        pools = pools.replace(&mark, &format!("{mark}, draining = true"));
    }
    let mut names = vec!["a"];
    if setup.with_b {
        let b: Vec<&Node> = b.iter().collect();
        pools += &pool("b", &b);
        names.push("b");
    }
    if setup.with_c {
        pools += &pool("c", &[c]);
        names.push("c");
    }
    text += &pools;
    for name in names {
        let route = |what: &str, more: &str| {
            route(&format!("{what} {name}"), &format!("prefix = \"/{name}\"\npool = \"{name}\"\n{more}"))
        };
        text += &route("look", "method = \"GET\"\nclass = \"look\"");
        text += &route("pull", "method = \"PUT\"\nclass = \"pull\"\nkey = \"header:Idempotency-Key\"");
        text += &route("pay", "method = \"POST\"\nclass = \"pay\"");
    }
    text
}

/// Text that must not be taken.
fn broken(good: &str, rng: &mut Rng) -> String {
    match rng.u32(..4) {
        0 => good[..good.len() / 2].to_owned() + "\n[[[",
        1 => String::new(),
        2 => good.replace("class = \"pay\"", "class = \"none\""),
        _ => good.replace("[pool.a]", "[pool.a]\ncolour = \"red\""),
    }
}

fn wording(rng: &mut Rng) -> Wording {
    let path = format!("/{}/{}", ["a", "a", "b", "c"][rng.usize(..4)], rng.u32(..100));
    match rng.u32(..3) {
        0 => look(&path),
        1 => pull(&path),
        _ => pay(&path),
    }
}

async fn client(to: SocketAddr, record: Record, mut rng: Rng, until: Instant) {
    let mut client = Client::new(to, &record);
    while Instant::now() < until {
        client.ask(&wording(&mut rng)).await;
        sleep(Duration::from_millis(rng.u64(..20))).await;
    }
}

#[test]
fn two_hundred_reloads_under_load_lose_nothing_and_run_nothing_twice() {
    let seed =
        std::env::var("SLOELINE_SEED").ok().and_then(|s| s.parse().ok()).unwrap_or_else(|| fastrand::u64(..));
    println!("seed {seed}");
    let mut rng = Rng::with_seed(seed);
    with(async |record| {
        let nodes =
            |names: &[&str]| -> Vec<Node> { names.iter().map(|n| Node::start(n, "g", &record)).collect() };
        let (a, b, c) = (nodes(&["a1", "a2", "a3"]), nodes(&["b1", "b2"]), nodes(&["c1"]));
        let mut setup =
            Setup { drained: None, with_b: true, with_c: true, extra: false, effect: "safe", deadline: 3000 };
        let mut program = Running::start(&text(&setup, &a, &b, &c[0]));
        let line = program.logged(&["public listens on"]).await;
        let to: SocketAddr = line.rsplit(' ').next().and_then(|a| a.parse().ok()).expect("an address");
        let start = Instant::now();
        let ends = start + TICK * RELOADS;
        let clients: Vec<_> = (0..16)
            .map(|_| spawn_local(client(to, record.clone(), Rng::with_seed(rng.u64(..)), ends)))
            .collect();
        let (mut taken, mut kept) = (0, 0);
        for round in 0..RELOADS {
            sleep_until(start + TICK * round).await;
            // Upstreams fail in all ways meanwhile, one at a time.
            a.iter().chain(&b).for_each(|n| n.now(Does::Serve(Duration::from_millis(rng.u64(..10)))));
            let troubled = &a[rng.usize(..a.len())];
            troubled.now(match rng.u32(..5) {
                0 => Does::Hang,
                1 => Does::Break,
                2 => Does::Error,
                3 => Does::Decline,
                _ => Does::Serve(Duration::from_millis(30)),
            });
            if rng.u32(..5) == 0 {
                let good = text(&setup, &a, &b, &c[0]);
                std::fs::write(&program.file, broken(&good, &mut rng)).expect("a file");
                program.signal(Signal::HUP);
                program.logged(&["the running configuration is kept"]).await;
                kept += 1;
                continue;
            }
            let drained =
                if rng.bool() { setup.drained } else { Some(rng.usize(..a.len())).filter(|_| rng.bool()) };
            let extra = rng.bool();
            let effect = if rng.bool() { "safe" } else { "unsafe" };
            let with_c = round < RELOADS / 2;
            let c_goes = setup.with_c && !with_c;
            let before = setup.drained;
            setup =
                Setup { drained, with_b: rng.bool(), with_c, extra, effect, deadline: rng.u32(2000..4000) };
            if before != drained {
                drained.into_iter().chain(before).for_each(|at| record.reopen(&a[at].name));
            }
            std::fs::write(&program.file, text(&setup, &a, &b, &c[0])).expect("a file");
            program.signal(Signal::HUP);
            if let Some(at) = drained.filter(|_| before != drained) {
                record.close(&a[at].name, GRACE);
            }
            if c_goes {
                record.close("c1", LONGEST);
            }
            program.logged(&["configuration read again"]).await;
            taken += 1;
        }
        for client in clients {
            client.await.expect("a client");
        }
        let account = record.account();
        println!("{taken} taken, {kept} kept; {account}");
        assert!(account.closes(), "{:#?}", record.violations());
        assert!(taken > 100 && kept > 10 && account.served > 2000, "too little happened");

        // A reload during a planned stop changes nothing, and what is open is answered.
        a.iter().for_each(|n| n.now(Does::Serve(Duration::from_millis(300))));
        let last = loop {
            let arrived: Vec<u64> = a.iter().map(|n| record.sends(&n.name)).collect();
            let mut late = Client::new(to, &record);
            let mut last = spawn_local(async move { late.ask(&pay("/a/last")).await.0 });
            tokio::select! {
                () = a[0].arrivals(arrived[0] + 1) => break last,
                () = a[1].arrivals(arrived[1] + 1) => break last,
                () = a[2].arrivals(arrived[2] + 1) => break last,
                // Turned away unseen, for what upstreams did in the last rounds.
                told = &mut last => drop(told.expect("a client")),
            }
            sleep(TICK).await;
        };
        program.signal(Signal::TERM);
        program.logged(&["told to stop"]).await;
        program.signal(Signal::HUP);
        program.logged(&["it is stopping"]).await;
        let told = last.await.expect("a client");
        while program.log.recv().await.is_some() {}
        assert!(program.child.wait().expect("it ends").success());
        assert!(record.account().closes(), "{told:?} {:#?}", record.violations());
    });
}
