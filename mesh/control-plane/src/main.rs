//! Entry point of the program `sloeline-control-plane`.

use std::process::ExitCode;

use sloeline_admin_http::program::Program;

fn main() -> ExitCode {
    let about = "Control plane of a sloeline mesh: configuration, keyed operations, who exists";
    let subcommands = sloeline_control_plane::commands::subcommands();
    Program { name: "sloeline-control-plane", about, run: sloeline_control_plane::program::run, subcommands }
        .main()
}
