//! Starts what the command line asks for.

use std::process::ExitCode;

fn main() -> ExitCode {
    sloeline::cli::main()
}
