//! A program under measurement, as a process of its own.

use std::fmt::Write as _;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Ticks in a second of `/proc`.
const TICKS: f64 = 100.0;

/// A running program; killed when dropped.
pub struct Program {
    child: Child,
    /// Where it listens.
    pub address: SocketAddr,
    file: Option<PathBuf>,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Some(file) = &self.file {
            let _ = std::fs::remove_file(file);
        }
    }
}

impl Program {
    fn start(mut command: Command, file: Option<PathBuf>) -> Result<Program, String> {
        let mut child = command.stderr(Stdio::piped()).spawn().map_err(|e| format!("{command:?}: {e}"))?;
        let mut lines = BufReader::new(child.stderr.take().ok_or("no pipe")?).lines();
        let address = lines.find_map(|line| {
            let line = line.ok()?;
            if line.contains("listens on") { line.rsplit(' ').next()?.parse().ok() } else { None }
        });
        // What it says later is read, or it would stand still.
        std::thread::spawn(move || lines.map_while(Result::ok).for_each(drop));
        let address = address.ok_or_else(|| format!("{command:?} ended before it listened"))?;
        Ok(Program { child, address, file })
    }

    /// The reference proxy: this program again.
    pub fn proxy(upstreams: &[SocketAddr]) -> Result<Program, String> {
        let own = std::env::current_exe().map_err(|e| e.to_string())?;
        let mut command = Command::new(own);
        command.arg("proxy").args(upstreams.iter().map(ToString::to_string));
        Program::start(command, None)
    }

    /// The daemon, from the same folder as this program, with a class of this aim.
    pub fn daemon(upstreams: &[SocketAddr], aim: Duration) -> Result<Program, String> {
        let own = std::env::current_exe().map_err(|e| e.to_string())?;
        let program = own.with_file_name("sloeline");
        let mut nodes = String::new();
        for (n, address) in upstreams.iter().enumerate() {
            let _ = writeln!(nodes, "  {{ name = \"n{n}\", address = \"{address}\" }},");
        }
        let aim = aim.as_millis();
        let text = format!(
            "[limits]\nmemory = \"1GiB\"\n[listener.l]\naddress = \"127.0.0.1:0\"\ndeadline_header = \"Request-Timeout-Ms\"\n[class.pull]\neffect = \"keyed\"\ngroup = \"all\"\nwindow = \"10s\"\naim = \"{aim}ms\"\ndeadline = \"{aim}ms\"\n[pool.p]\nnodes = [\n{nodes}]\n[[route]]\nname = \"files\"\nmethod = \"PUT\"\npath = \"/files/{{id}}\"\nclass = \"pull\"\nkey = \"header:Idempotency-Key\"\npool = \"p\"\n"
        );
        let file = std::env::temp_dir().join(format!("sloeline-bench-{}.toml", std::process::id()));
        std::fs::write(&file, text).map_err(|e| e.to_string())?;
        let mut command = Command::new(program);
        command.env_remove("EDGE_CONFIG").arg("run").arg("--config").arg(&file);
        Program::start(command, Some(file))
    }

    /// Processor time so far, in seconds.
    pub fn cpu(&self) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or("").split(' ').collect();
        let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
        (ticks(11) + ticks(12)) / TICKS
    }

    /// Resident memory, in KiB.
    pub fn memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find(|l| l.starts_with("VmRSS:"));
        line.and_then(|l| l.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
    }
}
