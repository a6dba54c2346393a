//! `footplate`: the data plane's program.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};

fn command() -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .env("SLOELINE_BOOT")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .required(true)
        .help("The settings file");
    let log = Arg::new("log")
        .long("log")
        .value_name("FILTER")
        .default_value("info")
        .help("Which lines are written: error, warn, info, debug");
    Command::new("footplate")
        .about("Data plane of a sloeline mesh: the balancer beside an application instance")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .subcommand(Command::new("run").about("Serves until SIGTERM").arg(settings.clone()).arg(log))
        .subcommand(Command::new("check").about("Checks a settings file").arg(settings))
}

fn path(matches: &ArgMatches) -> PathBuf {
    matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default()
}

fn act(matches: &ArgMatches) -> anyhow::Result<()> {
    match matches.subcommand() {
        Some(("run", matches)) => {
            let filter = matches.get_one::<String>("log").map_or("info", String::as_str);
            let _lamps = sloeline_lineside::lamps::light(filter)?;
            sloeline_footplate::program::run(&path(matches))
        }
        Some(("check", matches)) => {
            sloeline_rulebook::Settings::read(&path(matches))?;
            println!("fine");
            Ok(())
        }
        _ => Ok(()),
    }
}

fn main() -> ExitCode {
    match act(&command().get_matches()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("footplate: {why:#}");
            ExitCode::FAILURE
        }
    }
}
