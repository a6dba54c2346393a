//! A daemon that runs as a process of its own, and `sloeline ctl` on it. Every wait is for a line of its log.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use serde_json::Value;

pub const LONG: Duration = Duration::from_secs(60);

/// A daemon in a folder of its own.
pub struct Daemon {
    pub child: Child,
    pub log: Receiver<String>,
    pub folder: PathBuf,
    /// What was logged until it could be called.
    pub begun: Vec<String>,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub const TEXT: &str = r#"[control]
socket = "control"
[listener.public]
address = "127.0.0.1:0"
[class.look]
effect = "safe"
aim = "1s"
deadline = "2s"
[pool.p]
nodes = [{ name = "n", address = "127.0.0.1:9" }, { name = "m", address = "127.0.0.1:9" }]
[pool.q]
nodes = [{ name = "n", address = "127.0.0.1:9" }]
[[route]]
name = "looks"
method = "GET"
prefix = "/"
class = "look"
pool = "p"
[[route]]
name = "others"
method = "GET"
path = "/other"
class = "look"
pool = "q"
"#;

pub fn start(folder: &Path) -> (Child, Receiver<String>) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sloeline"));
    command.env_remove("EDGE_CONFIG").args(["run", "--config"]).arg(folder.join("sloeline.toml"));
    let mut child = command.stderr(Stdio::piped()).spawn().expect("it starts");
    let lines = BufReader::new(child.stderr.take().expect("a pipe")).lines();
    let (sender, log) = channel();
    std::thread::spawn(move || lines.map_while(Result::ok).for_each(|l| drop(sender.send(l))));
    (child, log)
}

impl Daemon {
    pub fn new(name: &str) -> Daemon {
        Daemon::with(name, TEXT)
    }

    /// With another configuration, and files beside it.
    pub fn with(name: &str, text: &str) -> Daemon {
        let folder = std::env::temp_dir().join(format!("sloeline-ctl-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        std::fs::write(folder.join("sloeline.toml"), text).expect("a file");
        let (child, log) = start(&folder);
        let mut daemon = Daemon { child, log, folder, begun: Vec::new() };
        daemon.begun = daemon.logged("operators' calls on");
        daemon
    }

    /// Waits for a line; returns it and those before it.
    pub fn logged(&self, text: &str) -> Vec<String> {
        let mut lines = Vec::new();
        while !lines.last().is_some_and(|line: &String| line.contains(text)) {
            lines.push(self.log.recv_timeout(LONG).expect("a line"));
        }
        lines
    }

    pub fn socket(&self) -> PathBuf {
        self.folder.join("control")
    }

    pub fn ctl(&self, arguments: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_sloeline"));
        command.env_remove("EDGE_CONFIG").arg("ctl").arg("--socket").arg(self.socket());
        command.args(arguments).output().expect("it runs")
    }

    pub fn json(&self, arguments: &[&str]) -> Value {
        let arguments = [&["--json"], arguments].concat();
        let output = self.ctl(&arguments);
        assert!(output.status.success(), "{arguments:?}: {}", String::from_utf8_lossy(&output.stderr));
        serde_json::from_slice(&output.stdout).expect("JSON")
    }

    /// A call without a program of its own for it: forty at once would be busy with those alone.
    pub fn call(&self, verb: &str) -> Value {
        let mut stream = std::os::unix::net::UnixStream::connect(self.socket()).expect("it listens");
        stream.set_read_timeout(Some(LONG)).expect("a socket");
        writeln!(stream, "{{\"version\":1,\"verb\":\"{verb}\"}}").expect("it reads");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer");
        let answer: Value = serde_json::from_str(&answer).expect("JSON");
        answer["done"].clone()
    }

    pub fn refused(&self, arguments: &[&str]) -> String {
        let output = self.ctl(arguments);
        assert!(!output.status.success(), "{arguments:?}");
        String::from_utf8_lossy(&output.stderr).into_owned()
    }

    /// Kills it as a crash would, and starts the next; what was logged until it can be called is returned.
    pub fn again(&mut self) -> Vec<String> {
        let _ = self.child.kill();
        let _ = self.child.wait();
        (self.child, self.log) = start(&self.folder);
        self.logged("operators' calls on")
    }

    /// SIGHUP.
    pub fn signal(&self) {
        let id = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(id, rustix::process::Signal::HUP).expect("it runs");
    }

    /// Reads its configuration again, and waits until it has or has not taken it.
    pub fn hangup(&self) -> String {
        self.signal();
        loop {
            let line = self.log.recv_timeout(LONG).expect("a line");
            if line.contains("configuration read again") || line.contains("configuration is kept") {
                return line;
            }
        }
    }

    pub fn change(&self, text: &str) {
        std::fs::write(self.folder.join("sloeline.toml"), text).expect("a file");
    }

    /// Where callers connect.
    pub fn public(&self) -> SocketAddr {
        let status = self.json(&["status"]);
        status["listeners"][0]["address"].as_str().and_then(|at| at.parse().ok()).expect("an address")
    }

    /// The head of the answer to a GET.
    pub fn get(&self, path: &str) -> String {
        let mut stream = TcpStream::connect(self.public()).expect("it listens");
        stream.set_read_timeout(Some(LONG)).expect("a socket");
        write!(stream, "GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").expect("it reads");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer");
        answer
    }
}

/// Answers everything at once.
pub fn upstream() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut stream = BufReader::new(stream);
                let mut line = String::new();
                while stream.read_line(&mut line).is_ok_and(|n| n > 0) {
                    let end = line == "\r\n";
                    line.clear();
                    if end
                        && stream
                            .get_mut()
                            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                            .is_err()
                    {
                        return;
                    }
                }
            });
        }
    });
    at
}

/// How many requests are served, in as long, by one daemon that is asked as fast as it answers.
pub fn load(at: SocketAddr, on: Arc<AtomicBool>) -> std::thread::JoinHandle<usize> {
    std::thread::spawn(move || {
        let mut stream = BufReader::new(TcpStream::connect(at).expect("it listens"));
        let mut served = 0;
        while on.load(Ordering::Relaxed) {
            stream.get_mut().write_all(b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n").expect("it reads");
            let (mut first, mut line, mut length) = (String::new(), String::new(), 0);
            loop {
                line.clear();
                assert!(stream.read_line(&mut line).expect("an answer") > 0);
                if first.is_empty() {
                    first.clone_from(&line);
                }
                if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
                    length = value.trim().parse().expect("a number");
                }
                if line == "\r\n" {
                    break;
                }
            }
            stream.read_exact(&mut vec![0; length]).expect("a body");
            if first.contains(" 200 ") {
                served += 1;
            } else {
                assert!(first.contains(" 503 "), "{first}");
                // Comes back sooner than it was told to.
                std::thread::sleep(Duration::from_millis(1));
            }
        }
        served
    })
}
