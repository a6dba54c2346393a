//! Signals to a process that is still starting.

use std::path::Path;
use std::process::{Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// Time for the process to come to its settings file.
const START_TIME: Duration = Duration::from_millis(700);
/// Time in which it would end.
const END_TIME: Duration = Duration::from_millis(300);

/// The settings are a pipe without a writer, so that both programs wait for them.
#[test]
fn a_process_that_gets_sighup_before_it_has_read_its_settings_goes_on() {
    let folder = std::env::temp_dir().join(format!("sloeline-signals-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let settings = folder.join("settings.toml");
    let made = Command::new("mkfifo").arg(&settings).status().expect("mkfifo runs");
    assert!(made.success());
    for program in ["data-plane", "control-plane"] {
        let mut child = Command::new(Path::new(env!("CARGO_BIN_EXE_sloeline-testbed")))
            .args(["process", program, "--settings"])
            .arg(&settings)
            .stderr(Stdio::null())
            .spawn()
            .expect("it starts");
        sleep(START_TIME);
        kill_process(Pid::from_raw(child.id() as i32).expect("an id"), Signal::HUP).expect("it is there");
        let told_at = Instant::now();
        while told_at.elapsed() < END_TIME {
            let ended = child.try_wait().expect("a status");
            assert!(ended.is_none(), "{program}: {ended:?}");
            sleep(Duration::from_millis(10));
        }
        child.kill().expect("it runs");
        child.wait().expect("it ends");
    }
    let _ = std::fs::remove_dir_all(folder);
}
