//! `footplate`: the data plane's program.

use std::process::ExitCode;

use sloeline_lineside::program::Program;

fn main() -> ExitCode {
    let about = "Data plane of a sloeline mesh: the balancer beside an application instance";
    Program { name: "footplate", about, run: sloeline_footplate::program::run }.main()
}
