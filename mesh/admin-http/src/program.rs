//! The command line that both programs have: `run` and `check`, over a settings file.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::Result;
use clap::{Arg, ArgMatches, Command, value_parser};
use sloeline_process_settings::Settings;

/// A program of the mesh.
pub struct Program {
    /// Its name.
    pub name: &'static str,
    /// What it is, in a line.
    pub about: &'static str,
    /// Serves by a settings file until it is told to stop.
    pub run: fn(&Path) -> Result<()>,
    /// What it can do besides.
    pub subcommands: Vec<Subcommand>,
}

/// A subcommand of one program alone. All of them take `--settings`.
pub struct Subcommand {
    /// Its name, help and arguments.
    pub command: Command,
    /// Does it, by the settings and its arguments.
    pub act: fn(&Path, &ArgMatches) -> Result<ExitCode>,
}

impl Program {
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
            .help("Which lines are written: error, warn, info, debug, or by part as in info,keys=debug");
        Command::new(self.name)
            .about(self.about)
            .version(clap::crate_version!())
            .subcommand_required(true)
            .subcommand(Command::new("run").about("Serves until SIGTERM").arg(settings.clone()).arg(log))
            .subcommand(Command::new("check").about("Checks a settings file").arg(settings.clone()))
            .subcommands(self.subcommands.iter().map(|more| more.command.clone().arg(settings.clone())))
    }

    fn act(&self, matches: &ArgMatches) -> Result<ExitCode> {
        let path = |matches: &ArgMatches| matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
        match matches.subcommand() {
            Some(("run", matches)) => {
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
                match self.subcommands.iter().find(|more| more.command.get_name() == name) {
                    Some(more) => (more.act)(&path(matches), matches),
                    None => Ok(ExitCode::FAILURE),
                }
            }
            None => Ok(ExitCode::SUCCESS),
        }
    }

    /// Does what the command line says; an error is one line on standard error.
    pub fn main(&self) -> ExitCode {
        match self.act(&self.command().get_matches()) {
            Ok(code) => code,
            Err(why) => {
                eprintln!("{}: {why:#}", self.name);
                ExitCode::FAILURE
            }
        }
    }
}
