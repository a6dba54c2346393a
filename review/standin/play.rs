//! Plays one case of the review: `play CASE ROOT RECORD`. Exit code 1: the rule was broken, 0: it held, 2: it couldn't run.
//! With `TROUBLE=0` in the environment it plays the same without the disruption.

mod cases;
mod mesh;
mod net;
mod upstream;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, record_file] = &arguments[..] else {
        eprintln!("play CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = mesh::Record::new();
    let (root, record_file) = (PathBuf::from(root), PathBuf::from(record_file));
    record.say(format!("case {case}, trouble {}", u8::from(trouble)));
    let played = cases::play(case, &root, &record, trouble);
    let code = match &played {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(why) => {
            record.say(format!("could not run: {why}"));
            2
        }
    };
    record.say(format!("exit code {code}"));
    record.write(&record_file);
    ExitCode::from(code)
}
