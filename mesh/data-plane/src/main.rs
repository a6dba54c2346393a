//! `sloeline-data-plane`: the program of the data plane.

use std::process::ExitCode;

use sloeline_admin_http::program::Program;

fn main() -> ExitCode {
    let about = "Data plane of a sloeline mesh: the local balancer of an application instance";
    Program {
        name: "sloeline-data-plane",
        about,
        run: sloeline_data_plane::program::run,
        subcommands: Vec::new(),
    }
    .main()
}
