//! The command line of both programs: the subcommands `run` and `check`, which take a settings file, and further subcommands
//! of one program.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::Result;
use clap::{Arg, ArgMatches, Command, value_parser};
use sloeline_process_settings::Settings;

/// A mesh program and its command line.
pub struct Program {
    /// Name of the program.
    pub name: &'static str,
    /// Description of the program in one line.
    pub about: &'static str,
    /// Runs the process with the given settings file until it receives SIGTERM.
    pub run: fn(&Path) -> Result<()>,
    /// Subcommands besides `run` and `check`.
    pub subcommands: Vec<Subcommand>,
}

/// A subcommand that only one program has. Each subcommand takes `--settings`.
pub struct Subcommand {
    /// Name, help text and arguments of the subcommand.
    pub command: Command,
    /// Executes the subcommand with the path of the settings file and the parsed arguments.
    pub execute: fn(&Path, &ArgMatches) -> Result<ExitCode>,
}

impl Program {
    /// Builds the command line parser.
    fn command(&self) -> Command {
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
            .help("Log filter: error, warn, info or debug, also by log target as in info,keys=debug");
        Command::new(self.name)
            .about(self.about)
            .version(clap::crate_version!())
            .subcommand_required(true)
            .subcommand(Command::new("run").about("Serves until SIGTERM").arg(settings.clone()).arg(log))
            .subcommand(Command::new("check").about("Checks a settings file").arg(settings.clone()))
            .subcommands(
                self.subcommands.iter().map(|subcommand| subcommand.command.clone().arg(settings.clone())),
            )
    }

    /// Executes the subcommand that was given on the command line.
    fn execute(&self, matches: &ArgMatches) -> Result<ExitCode> {
        let path = |matches: &ArgMatches| matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
        match matches.subcommand() {
            Some(("run", matches)) => {
                crate::reload::install_hangup_handler()?;
                let filter = matches.get_one::<String>("log").map_or("info", String::as_str);
                let _logging = crate::logging::start(filter)?;
                (self.run)(&path(matches))?;
                Ok(ExitCode::SUCCESS)
            }
            Some(("check", matches)) => {
                Settings::read(&path(matches))?;
                println!("fine");
                Ok(ExitCode::SUCCESS)
            }
            Some((name, matches)) => {
                match self.subcommands.iter().find(|subcommand| subcommand.command.get_name() == name) {
                    Some(subcommand) => (subcommand.execute)(&path(matches), matches),
                    None => Ok(ExitCode::FAILURE),
                }
            }
            None => Ok(ExitCode::SUCCESS),
        }
    }

    /// Executes the command line of the process. An error is printed as one line to standard error.
    pub fn main(&self) -> ExitCode {
        match self.execute(&self.command().get_matches()) {
            Ok(code) => code,
            Err(error) => {
                eprintln!("{}: {error:#}", self.name);
                ExitCode::FAILURE
            }
        }
    }
}
