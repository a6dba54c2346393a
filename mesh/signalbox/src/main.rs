//! `signalbox`: the control plane's program.

use std::process::ExitCode;

use sloeline_lineside::program::Program;

fn main() -> ExitCode {
    let about = "Control plane of a sloeline mesh: configuration, keyed operations, who exists";
    Program { name: "signalbox", about, run: sloeline_signalbox::program::run }.main()
}
