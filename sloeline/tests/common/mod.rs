//! The program between small fake peers on loopback. Every wait is for an event, within wide bounds.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

/// Nothing takes this long.
pub const LONG: Duration = Duration::from_secs(30);

/// A message as it stood on the socket.
#[derive(Clone, Debug)]
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    pub fn first_line(&self) -> &str {
        self.head.lines().next().unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first_line().split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let line = self
            .head
            .lines()
            .skip(1)
            .find(|l| l.split_once(':').is_some_and(|(n, _)| n.eq_ignore_ascii_case(name)));
        line.and_then(|l| l.split_once(':')).map(|(_, v)| v.trim())
    }
}

/// The next line of what is read a byte at a time, with its end.
pub fn line(stream: &mut TcpStream) -> Option<String> {
    let mut line = Vec::new();
    while !line.ends_with(b"\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        line.push(byte[0]);
    }
    String::from_utf8(line).ok()
}

/// A message with its body by `Content-Length` or in chunks; nothing if the peer closed first.
pub fn read(stream: &mut TcpStream) -> Option<Message> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return None,
        }
    }
    let mut message = Message { head: String::from_utf8(head).ok()?, body: Vec::new() };
    if message.header("transfer-encoding") == Some("chunked") {
        loop {
            let size = usize::from_str_radix(line(stream)?.trim(), 16).ok()?;
            let from = message.body.len();
            message.body.resize(from + size + 2, 0);
            stream.read_exact(&mut message.body[from..]).ok()?;
            message.body.truncate(from + size);
            if size == 0 {
                return Some(message);
            }
        }
    }
    let length = message.header("content-length").map_or(0, |l| l.parse().unwrap_or(0));
    message.body = vec![0; length];
    stream.read_exact(&mut message.body).ok()?;
    Some(message)
}

pub fn answer(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) {
    let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n", body.len());
    let _ = stream.write_all(&[head.as_bytes(), body].concat());
}

pub fn ok(stream: &mut TcpStream) {
    answer(stream, "200 OK", "", b"done");
}

/// A listening peer that hands over each connection.
pub struct Peer {
    pub address: SocketAddr,
    connections: Receiver<TcpStream>,
}

impl Peer {
    pub fn new() -> Peer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (sender, connections) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_read_timeout(Some(LONG));
                let _ = stream.set_nodelay(true);
                if sender.send(stream).is_err() {
                    return;
                }
            }
        });
        Peer { address, connections }
    }

    /// The next connection.
    pub fn accept(&self) -> TcpStream {
        self.connections.recv_timeout(LONG).expect("a connection")
    }

    /// Whether no connection has come that was not accepted.
    pub fn quiet(&self) -> bool {
        self.connections.try_recv().is_err()
    }

    /// Handles each request of each connection in threads; tells every request.
    pub fn serve(
        self,
        handle: impl Fn(&Message, &mut TcpStream) + Clone + Send + 'static,
    ) -> Receiver<Message> {
        let (sender, requests): (Sender<Message>, _) = channel();
        std::thread::spawn(move || {
            for mut stream in self.connections {
                let (handle, sender) = (handle.clone(), sender.clone());
                std::thread::spawn(move || {
                    while let Some(message) = read(&mut stream) {
                        let _ = sender.send(message.clone());
                        handle(&message, &mut stream);
                    }
                });
            }
        });
        requests
    }
}

/// An address on which nothing listens; a port just given back could become another test's.
pub fn nowhere() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// Whether the peer closed the connection with nothing more on it.
pub fn closed(stream: &mut TcpStream) -> bool {
    let mut byte = [0];
    match stream.read(&mut byte) {
        Ok(n) => n == 0,
        Err(e) => e.kind() == std::io::ErrorKind::ConnectionReset,
    }
}

pub fn entry(id: &str, address: SocketAddr, lifecycle: &str) -> String {
    format!(
        r#"{{"instanceId":"{id}","hostPort":"{address}","zone":"a","machineType":"k","cell":0,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#
    )
}

pub fn list(generation: u64, reset: bool, entries: &[String]) -> String {
    format!(r#"{{"generation":{generation},"reset":{reset},"instances":[{}]}}"#, entries.join(","))
}

/// A class of each effect; `limits` goes into the settings' limits.
fn settings(discovery: &str, limits: &str, tiers: &str, (balancers, areas): (u32, &str), me: u32) -> String {
    let class = |name: &str, effect: &str| {
        format!(
            r#"{{"Name":"{name}","Effect":"{effect}","Group":"all","DedupWindowMs":60000.0,"TargetMs":20000.0,"DeadlineMs":20000.0,"LateWorth":0.0,"Streaming":false,"Value":1.0}}"#
        )
    };
    let classes = [class("look", "retryable"), class("pull", "dedup"), class("pay", "fragile")].join(",");
    format!(
        r#"{{"Areas":[{areas}],"Balancers":{balancers},"Categories":[{classes}],"Discovery":"{discovery}","GranularityMs":1.0,"Limits":{{"Cancel":true,"MostTries":4,"RetryAfter":true,"ConnectTimeoutMs":1000.0{limits}}},"Me":{me},"Rules":{{"AskWithinMs":40.0,"ColdFrom":0.5,"DrainGraceMs":500.0,"OverloadFactor":3.0,"TipAfterMs":1000.0,"WarmAfterMs":5000.0}},"Stage":0,"Tiers":[{tiers}],"Zone":"a"}}"#
    )
}

/// How a balancer is started.
pub struct Setup {
    pub known: Vec<String>,
    pub discovery: Option<SocketAddr>,
    pub limits: &'static str,
    /// The names of the tiers; the balancer sends to the first.
    pub tiers: &'static str,
    /// How many balancers there are in all, and in which zones; this one is in `a`.
    pub balancers: (u32, &'static str),
    /// Its number among them; its random numbers follow from it.
    pub me: u32,
    pub sockets: usize,
    pub memory: usize,
    pub listen: String,
    pub descriptors: Option<u32>,
    /// Operators may call.
    pub operated: bool,
    /// `$TMPDIR`.
    pub folder: Option<PathBuf>,
    /// No file can be written to: it fails with `EFBIG`, as a full disk would with `ENOSPC`.
    pub full: bool,
}

/// A folder that goes with the test.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("sloeline-folder-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

impl Setup {
    /// A balancer that knows upstreams at these addresses and asks nobody.
    pub fn knowing(upstreams: &[SocketAddr]) -> Setup {
        let entries = upstreams.iter().enumerate().map(|(i, a)| entry(&format!("s-{i}"), *a, "SERVING"));
        Setup {
            known: entries.collect(),
            discovery: None,
            limits: "",
            tiers: r#""t""#,
            balancers: (1, r#""a""#),
            me: 0,
            sockets: 1024,
            memory: 192,
            listen: "127.0.0.1:0".to_owned(),
            descriptors: None,
            operated: false,
            folder: None,
            full: false,
        }
    }

    pub fn config(&self) -> String {
        let known = match &self.known[..] {
            [] => String::new(),
            entries => format!(r#""known":{},"#, list(41, true, entries)),
        };
        let (mode, discovery) = match self.discovery {
            Some(address) => ("subscribe", address),
            None => ("automatic", nowhere()),
        };
        let control = if self.operated { r#""control":"127.0.0.1:0","# } else { "" };
        format!(
            r#"{{"name":"n3",{control}"listen":"{}","discovery":"{discovery}","seed":"8c1f30d27a5b{:04x}","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},{known}"settings":{}}}"#,
            self.listen,
            0xe964 - self.me,
            self.memory,
            self.sockets,
            settings(mode, self.limits, self.tiers, self.balancers, self.me)
        )
    }

    pub fn start(self) -> Balancer {
        let file = file(&self.config());
        let program = env!("CARGO_BIN_EXE_sloeline");
        let limits = self.descriptors.map(|most| format!("ulimit -n {most}"));
        let limits = limits.or(self.full.then(|| "trap '' XFSZ; ulimit -f 0".to_owned()));
        let mut command = match limits {
            Some(limits) => {
                let mut shell = Command::new("/bin/sh");
                shell.arg("-c").arg(format!("{limits}; exec {program}"));
                shell
            }
            None => Command::new(program),
        };
        // As the platform does: the variable stays what it was when the process started.
        let discovery = self.discovery.unwrap_or_else(nowhere).to_string();
        command.env("EDGE_DISCOVERY", discovery).env("EDGE_CONFIG", &file).stderr(Stdio::piped());
        if let Some(folder) = &self.folder {
            command.env("TMPDIR", folder);
        }
        let mut child = forked(|| command.spawn().expect("it starts"));
        let mut log = BufReader::new(child.stderr.take().expect("a pipe"));
        let mut told = |text: &str| -> SocketAddr {
            loop {
                let mut line = String::new();
                assert!(log.read_line(&mut line).expect("a line") > 0, "no line with {text:?}");
                if line.contains(text) {
                    let address = line.trim().rsplit(' ').next().and_then(|a| a.parse().ok());
                    return address.unwrap_or_else(|| panic!("no address in {line:?}"));
                }
            }
        };
        let address = told(" listens on ");
        let control = self.operated.then(|| told("operators' calls on "));
        let (sender, lines) = channel();
        std::thread::spawn(move || {
            log.lines().map_while(Result::ok).for_each(|l| {
                let _ = sender.send(l);
            });
        });
        Balancer { child, address, control, log: lines, file }
    }
}

fn file(text: &str) -> PathBuf {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("sloeline-test-{}-{number}.json", std::process::id()));
    std::fs::write(&path, text).expect("a file");
    path
}

/// Runs the program on a configuration that it should not take.
pub fn start_on(config: Option<&str>, variables: &[(&str, &str)]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sloeline"));
    command.env_remove("EDGE_CONFIG").envs(variables.iter().copied());
    if let Some(text) = config {
        command.env("EDGE_CONFIG", file(text));
    }
    command.output().expect("it runs")
}

pub fn good_config() -> String {
    Setup::knowing(&[nowhere()]).config()
}

/// A running program; ended when dropped.
pub struct Balancer {
    pub child: Child,
    pub address: SocketAddr,
    pub control: Option<SocketAddr>,
    pub log: Receiver<String>,
    pub file: PathBuf,
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

impl Balancer {
    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("it listens");
        let _ = stream.set_read_timeout(Some(LONG));
        let _ = stream.set_nodelay(true);
        stream
    }

    /// One request on a connection of its own.
    pub fn ask(&self, request: &str) -> Message {
        exchange(&mut self.connect(), request)
    }

    /// An operator's call; its status.
    pub fn call(&self, method: &str, path: &str) -> u16 {
        let mut stream = TcpStream::connect(self.control.expect("operated")).expect("it listens");
        let _ = stream.set_read_timeout(Some(LONG));
        exchange(&mut stream, &format!("{method} {path} HTTP/1.1\r\nHost: c\r\n\r\n")).status()
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration and tells the program.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.file, config).expect("a file");
        self.signal("-HUP");
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let mut kill = forked(|| Command::new("kill").args([name, &id]).spawn().expect("kill runs"));
        let sent = kill.wait().expect("kill ends");
        assert!(sent.success());
    }

    /// Waits for a line of the log that holds a text.
    pub fn logged(&self, text: &str) {
        while !self.log.recv_timeout(LONG).expect("a line").contains(text) {}
    }
}

/// Starts programs one at a time. Until it has become its program, a child holds all that this process has open, also a
/// listener that is closed here meanwhile: connections to the address would still go to it, and end with the child.
pub fn forked<T>(start: impl FnOnce() -> T) -> T {
    static ONE: std::sync::Mutex<()> = std::sync::Mutex::new(());
    let _one = ONE.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    start()
}

pub fn exchange(stream: &mut TcpStream, request: &str) -> Message {
    stream.write_all(request.as_bytes()).expect("it reads");
    read(stream).expect("an answer")
}

/// A request of a class, whose id is `id`.
pub fn request(class: &str, id: &str, headers: &str) -> String {
    let common = format!("Host: backend.local\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\n{headers}");
    match class {
        "look" => format!("GET /api?key=7f3a HTTP/1.1\r\n{common}\r\n"),
        "pull" => format!(
            "POST /api?key=7f3a HTTP/1.1\r\n{common}Idempotency-Key: k-{id}\r\nContent-Length: 4\r\n\r\nbody"
        ),
        _ => format!("POST /api?key=7f3a HTTP/1.1\r\n{common}Content-Length: 4\r\n\r\nbody"),
    }
}

pub const READY: &str = "GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n";

/// With an address for operators' calls.
pub fn operated(setup: Setup) -> Setup {
    Setup { operated: true, ..setup }
}

/// Which upstream served, where each answers with its name.
pub fn served_by(balancer: &Balancer, id: &str) -> String {
    let answer = balancer.ask(&request("look", id, ""));
    assert_eq!(answer.status(), 200);
    String::from_utf8(answer.body).expect("text")
}

pub fn naming(peer: Peer, name: &'static str) -> std::sync::mpsc::Receiver<Message> {
    peer.serve(move |_, stream| answer(stream, "200 OK", "", name.as_bytes()))
}

/// Those of the clients' requests here that were begun after a mark. What was under way at the mark may still go out
/// within the grace, and a busy machine may show it late.
pub fn begun_after(messages: &std::sync::mpsc::Receiver<Message>, mark: &[usize]) -> Vec<String> {
    let later = |id: &str| {
        let (client, at) = id.strip_prefix("c-")?.split_once('-')?;
        Some(at.parse::<usize>().ok()? > mark[client.parse::<usize>().ok()?])
    };
    let ids = messages.try_iter().map(|m| m.header("req-id").expect("an id").to_owned());
    ids.filter(|id| later(id).expect("a client's id")).collect()
}

/// Clients that ask without pause, each second one on a connection of its own each time; what failed.
pub struct Clients {
    stop: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
    /// How many requests each client has begun.
    begun: Vec<Arc<AtomicUsize>>,
    threads: Vec<std::thread::JoinHandle<Vec<String>>>,
}

impl Clients {
    pub fn start(address: std::net::SocketAddr, number: usize) -> Clients {
        let (stop, served) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let begun: Vec<Arc<AtomicUsize>> = (0..number).map(|_| Arc::default()).collect();
        let client = |n: usize| {
            let (stop, served, begun) = (stop.clone(), served.clone(), begun[n].clone());
            std::thread::spawn(move || {
                let (mut kept, mut failed) = (None, Vec::new());
                while !stop.load(Ordering::SeqCst) {
                    let at = begun.fetch_add(1, Ordering::SeqCst) + 1;
                    let request = request("pay", &format!("c-{n}-{at}"), "");
                    // A connection that closes between requests sends its client to a new one, once.
                    let old: Option<TcpStream> = kept.take().filter(|_| n.is_multiple_of(2));
                    let reused = old.is_some();
                    let ask = |old: Option<TcpStream>| -> Option<(TcpStream, Message)> {
                        let mut stream = match old {
                            Some(stream) => stream,
                            None => TcpStream::connect(address).ok()?,
                        };
                        let _ = stream.set_read_timeout(Some(LONG));
                        stream.write_all(request.as_bytes()).ok()?;
                        let answer = read(&mut stream)?;
                        Some((stream, answer))
                    };
                    let asked = match ask(old) {
                        None if reused => ask(None),
                        other => other,
                    };
                    match asked {
                        Some((stream, answer)) if answer.status() == 200 => {
                            served.fetch_add(1, Ordering::SeqCst);
                            kept = (answer.header("connection") != Some("close")).then_some(stream);
                        }
                        Some((_, answer)) => failed.push(format!("c-{n}-{at}: {}", answer.first_line())),
                        None => failed.push(format!("c-{n}-{at}: turned back")),
                    }
                }
                failed
            })
        };
        let threads = (0..number).map(client).collect();
        Clients { stop, served, begun, threads }
    }

    /// This point in time: what each client has begun.
    pub fn mark(&self) -> Vec<usize> {
        self.begun.iter().map(|begun| begun.load(Ordering::SeqCst)).collect()
    }

    /// Waits until so many more were served.
    pub fn go_on(&self, more: usize) {
        let until = self.served.load(Ordering::SeqCst) + more;
        let start = Instant::now();
        while self.served.load(Ordering::SeqCst) < until {
            assert!(start.elapsed() < LONG, "they are stuck");
            std::thread::yield_now();
        }
    }

    pub fn end(self) -> Vec<String> {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().flat_map(|t| t.join().expect("a client")).collect()
    }
}
