//! Real processes of the mesh: started, killed, paused, and started again over the same settings.

use std::fs::{File, OpenOptions};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use anyhow::{Context, Result};
use rustix::process::{Pid, Signal, kill_process};

/// Which program a process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Program {
    /// The control plane.
    ControlPlane,
    /// The data plane.
    DataPlane,
}

impl Program {
    /// As the command line has it.
    pub fn name(self) -> &'static str {
        match self {
            Program::ControlPlane => "control-plane",
            Program::DataPlane => "data-plane",
        }
    }

    /// By its name on the command line.
    pub fn named(name: &str) -> Option<Program> {
        [Program::ControlPlane, Program::DataPlane].into_iter().find(|program| program.name() == name)
    }
}

/// The `sloeline-testbed` files that a process is started from; each runs either program under `process`.
#[derive(Clone, Debug)]
pub struct Builds {
    testbeds: Vec<PathBuf>,
    starts: usize,
}

impl Builds {
    /// Starts every process from one build.
    pub fn single(testbed: &Path) -> Builds {
        Builds { testbeds: vec![testbed.to_owned()], starts: 0 }
    }

    /// Changes the build at each start of a process, for tests of upgrades and downgrades.
    pub fn alternating(testbed: &Path, other: &Path) -> Builds {
        Builds { testbeds: vec![testbed.to_owned(), other.to_owned()], starts: 0 }
    }

    /// The same builds for the process with this index, so that neighbouring processes begin with different ones.
    pub fn for_process(&self, index: usize) -> Builds {
        Builds { testbeds: self.testbeds.clone(), starts: index }
    }

    fn next(&mut self) -> &Path {
        let index = self.starts % self.testbeds.len();
        self.starts += 1;
        &self.testbeds[index]
    }
}

/// A process, and what it takes to start it again.
pub struct Process {
    program: Program,
    builds: Builds,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// How it ended each time that nobody had ended it.
    own_ends: Vec<ExitStatus>,
    told_to_stop: bool,
}

impl Process {
    /// Writes the settings into the folder and starts the process; its log goes there too.
    pub fn start(
        program: Program,
        builds: Builds,
        folder: &Path,
        name: &str,
        settings: &str,
    ) -> Result<Process> {
        let mut process = Process {
            program,
            builds,
            settings: folder.join(format!("{name}.toml")),
            log: folder.join(format!("{name}.log")),
            child: None,
            own_ends: Vec::new(),
            told_to_stop: false,
        };
        process.set_settings(settings)?;
        process.restart()?;
        Ok(process)
    }

    /// Writes other settings, for the next start or as the process notices.
    pub fn set_settings(&self, settings: &str) -> Result<()> {
        std::fs::write(&self.settings, settings).with_context(|| format!("write {}", self.settings.display()))
    }

    /// Starts it, where it does not run.
    pub fn restart(&mut self) -> Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let log = open_log(&self.log)?;
        let testbed = self.builds.next();
        let child = Command::new(testbed)
            .args(["process", self.program.name(), "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .with_context(|| format!("start {}", testbed.display()))?;
        self.child = Some(child);
        self.told_to_stop = false;
        Ok(())
    }

    /// Whether it runs, paused or not.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// How it had ended by itself, each time that it was to be killed and was gone.
    pub fn own_ends(&self) -> &[ExitStatus] {
        &self.own_ends
    }

    /// Ends it at once, as a loss of power does but for what the kernel has of its files.
    pub fn kill(&mut self) {
        let by_itself = !self.is_running() && !self.told_to_stop;
        let Some(mut child) = self.child.take() else { return };
        let _ = child.kill();
        if let (true, Ok(status)) = (by_itself, child.wait()) {
            self.own_ends.push(status);
        }
        let _ = child.wait();
    }

    /// Tells it to stop.
    pub fn stop(&mut self) {
        self.told_to_stop = true;
        self.signal(Signal::TERM);
    }

    /// Tells it that its settings have changed, once it listens for that: before its first instruction the signal ends any
    /// process.
    pub fn tell_settings(&self) {
        if self.catches(Signal::HUP) {
            self.signal(Signal::HUP);
        }
    }

    /// Whether the process has a handler for a signal, by proc(5), `SigCgt`.
    fn catches(&self, signal: Signal) -> bool {
        let caught = self.status_field("SigCgt:").and_then(|mask| u64::from_str_radix(&mask, 16).ok());
        let caught = caught.unwrap_or_default();
        caught & (1 << (signal.as_raw() - 1)) != 0
    }

    /// Stops its clockwork until [`Process::resume`].
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets it go on.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    fn signal(&self, signal: Signal) {
        let pid = self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// The most memory that it has had, in MiB, by proc(5), `VmHWM`.
    pub fn peak_memory_mib(&self) -> Option<u64> {
        let peak = self.status_field("VmHWM:")?;
        let kib: u64 = peak.split_whitespace().next()?.parse().ok()?;
        Some(kib.div_ceil(1024))
    }

    /// A field of proc(5), `/proc/PID/status`.
    fn status_field(&self, name: &str) -> Option<String> {
        let path = format!("/proc/{}/status", self.child.as_ref()?.id());
        let status = std::fs::read_to_string(path).ok()?;
        status.lines().find_map(|line| line.strip_prefix(name)).map(|value| value.trim().to_owned())
    }

    /// What it has logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn open_log(path: &Path) -> Result<File> {
    let opened = OpenOptions::new().create(true).append(true).open(path);
    opened.with_context(|| format!("open {}", path.display()))
}
