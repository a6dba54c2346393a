//! The scripts of the second review. Exit code 1: the rule was broken, 0: it held, 2: the case could not run.

mod early_runs;
mod late_beat;
mod mesh;

use std::path::PathBuf;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, programs, folder] = arguments.as_slice() else {
        eprintln!("usage: case NAME PROGRAMS FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = mesh::Record::new(&PathBuf::from(folder).join("record.txt"));
    record.both(&format!("case {case}, trouble: {trouble}"));
    let programs = PathBuf::from(programs);
    let result = match case.as_str() {
        "early-runs" => early_runs::play(&programs, &record, trouble),
        "late-beat" => late_beat::play(&programs, &record, trouble),
        other => Err(format!("no case {other}")),
    };
    let code = match result {
        Ok(broken) => {
            record.both(if broken { "the rule was broken" } else { "the rule held" });
            i32::from(broken)
        }
        Err(why) => {
            record.both(&format!("could not run: {why}"));
            2
        }
    };
    std::process::exit(code);
}
