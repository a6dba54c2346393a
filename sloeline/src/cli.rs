//! The command line.

use std::ffi::OsString;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{CommandFactory, Parser, Subcommand};
use sloeline_config::model::Config;
use sloeline_config::problem::Severity;
use tokio::task::LocalSet;

use crate::{ctl, daemon, demo, describe, descriptions, explain, members, platform};

/// A load balancer for services that call services.
///
/// Without a command it is the platform's program, told what to do by EDGE_CONFIG.
#[derive(Parser)]
#[command(version, subcommand_required = false)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Run the balancer. SIGHUP reads the file again, SIGTERM and SIGINT stop it.
    Run {
        /// The configuration.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Check a configuration: all problems at once; status 1 if there are errors.
    Check {
        /// The configuration.
        file: PathBuf,
    },
    /// Say which route a request takes, and why the others did not match.
    Route {
        /// The configuration.
        file: PathBuf,
        /// GET, POST, ...
        method: String,
        /// A path, or a whole http address.
        url: String,
        /// A header of the request, "Name: value".
        #[arg(short = 'H', value_name = "HEADER")]
        headers: Vec<String>,
    },
    /// Ask every source of membership and show each pool's members: state, source, revision, age, why a node is out;
    /// status 1 if a source told nothing in time.
    Members {
        /// The configuration.
        file: PathBuf,
        /// Only this pool.
        #[arg(long)]
        pool: Option<String>,
        /// How long sources have, in milliseconds.
        #[arg(long, default_value_t = 5000, value_parser = clap::value_parser!(u64).range(1..=600_000))]
        wait: u64,
    },
    /// Ask a daemon that runs, or give it an order, over its control socket.
    Ctl(ctl::Ctl),
    /// Look at what `ctl snapshot` has kept.
    Snapshot {
        #[command(subcommand)]
        what: Kept,
    },
    /// Write completions of these commands for a shell.
    Completions {
        /// Which.
        shell: clap_complete::Shell,
    },
    /// Write the manual pages, one for each command, into a folder.
    Man {
        /// The folder.
        folder: PathBuf,
    },
    /// Make a key for signed calls, in a new file that only its owner may read.
    Key {
        /// The file.
        file: PathBuf,
    },
    /// Read an OpenAPI or AsyncAPI description: what it says of repeats, and what contradicts itself; status 1 if there are errors.
    Operations {
        /// The description, OpenAPI 3.0 or 3.1 or AsyncAPI 2.6 or 3.0, YAML or JSON.
        file: PathBuf,
        /// How long callers wait, such as "4s".
        #[arg(long, value_parser = descriptions::span)]
        waits: Option<u64>,
        /// How long nodes remember a key.
        #[arg(long, value_parser = descriptions::span)]
        remembers: Option<u64>,
        /// How they are written.
        #[arg(long, value_enum, default_value = "text")]
        form: descriptions::Form,
        /// The same as `--form json`.
        #[arg(long, conflicts_with = "form")]
        json: bool,
    },
    /// Write the OpenAPI 3.1 description of what the balancer serves, its own refusals included.
    Describe {
        /// The configuration.
        file: PathBuf,
        /// The listener; the only one where there is one.
        #[arg(long)]
        listener: Option<String>,
    },
    /// What changes for clients and for repeats between two versions of an OpenAPI description; status 1 if something is
    /// dangerous.
    Diff {
        /// The old version.
        old: PathBuf,
        /// The new version.
        new: PathBuf,
    },
    /// Experiments on an emulated fleet: the arguments are those of `sloeline-lab`, which must stand beside this program.
    #[command(disable_help_flag = true)]
    Lab {
        /// Such as `list`, or `run zone-lost`.
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        arguments: Vec<OsString>,
    },
    /// Some ten seconds of upstreams, balancer and clients on this machine, with one upstream that dies and one
    /// that drains; status 1 if not every request has one answer.
    Demo {
        /// How long, in seconds.
        #[arg(long, default_value_t = 10)]
        seconds: u64,
        /// For random numbers; drawn where none is given.
        #[arg(long)]
        seed: Option<u64>,
    },
}

#[derive(Subcommand)]
enum Kept {
    /// All of it, or a part.
    Show {
        /// The snapshot.
        file: PathBuf,
        /// Such as `orders.standing`.
        part: Option<String>,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// What differs between two.
    Diff {
        /// The earlier one.
        was: PathBuf,
        /// The later one.
        is: PathBuf,
    },
}

/// Where the laboratory's program is: beside this one, so that what balances does not carry it.
const LAB: &str = "sloeline-lab";

/// Becomes the laboratory; returns only why not.
fn lab(arguments: &[OsString]) -> Result<(), String> {
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    let path = own.with_file_name(LAB);
    let why = std::process::Command::new(&path).args(arguments).exec();
    Err(format!("{}: {why} (`cargo build --release -p {LAB}` builds it)", path.display()))
}

/// Reads the arguments and does what they ask for.
pub fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let done = match arguments.command {
        None if std::env::var_os("EDGE_CONFIG").is_some() => {
            // The platform's settings say nothing of logs.
            let text = std::env::var("SLOELINE_LOG").unwrap_or_default();
            let levels = sloeline_events::filter::Levels::parse(&text).unwrap_or_else(|why| {
                eprintln!("sloeline: SLOELINE_LOG: {why}; the usual levels hold");
                Default::default()
            });
            sloeline_events::hub::install(sloeline_events::hub::Settings { levels, ..Default::default() });
            block_on(platform::run())
        }
        None => {
            let _ = Arguments::command().print_long_help();
            return ExitCode::from(2);
        }
        Some(Command::Run { config }) => {
            sloeline_events::hub::install(Default::default());
            block_on(daemon::run(config))
        }
        Some(Command::Check { file }) => match load(&file) {
            Ok(_) => {
                println!("{}: no errors", file.display());
                Ok(())
            }
            Err(why) => Err(why),
        },
        Some(Command::Route { file, method, url, headers }) => load(&file)
            .and_then(|config| explain::explain(&config, &method, &url, &headers))
            .map(|text| print!("{text}")),
        Some(Command::Members { file, pool, wait }) => load(&file).and_then(|config| {
            let folder = file.parent().unwrap_or(std::path::Path::new("")).to_owned();
            block_on(async move {
                let wait = std::time::Duration::from_millis(wait);
                print!("{}", members::members(&config, &folder, pool.as_deref(), wait).await?);
                Ok(())
            })
        }),
        Some(Command::Ctl(ctl)) => block_on(async move {
            print!("{}", ctl::run(ctl).await?);
            Ok(())
        }),
        Some(Command::Snapshot { what: Kept::Show { file, part, json } }) => {
            ctl::show_kept(&file, part.as_deref(), json).map(|text| print!("{text}"))
        }
        Some(Command::Snapshot { what: Kept::Diff { was, is } }) => {
            ctl::compare_kept(&was, &is).map(|text| print!("{text}"))
        }
        Some(Command::Completions { shell }) => {
            let mut command = Arguments::command();
            let name = command.get_name().to_owned();
            clap_complete::generate(shell, &mut command, name, &mut std::io::stdout());
            Ok(())
        }
        Some(Command::Man { folder }) => clap_mangen::generate_to(Arguments::command(), &folder)
            .map_err(|e| format!("{}: {e}", folder.display())),
        Some(Command::Key { file }) => ctl::make_key(&file).map(|text| print!("{text}")),
        Some(Command::Describe { file, listener }) => load(&file)
            .and_then(|config| describe::describe(&config, listener.as_deref()))
            .map(|text| print!("{text}")),
        Some(Command::Operations { file, waits, remembers, form, json }) => {
            let form = if json { descriptions::Form::Json } else { form };
            let promises =
                sloeline_descriptions::check::Promises { key_memory: remembers, caller_timeout: waits };
            descriptions::operations(&file, promises, form).and_then(|(text, errors)| {
                print!("{text}");
                if errors == 0 { Ok(()) } else { Err(format!("{}: {errors} errors", file.display())) }
            })
        }
        Some(Command::Diff { old, new }) => {
            descriptions::changes(&old, &new).and_then(|(text, dangerous)| {
                print!("{text}");
                if dangerous == 0 {
                    Ok(())
                } else {
                    Err(format!("{}: {dangerous} dangerous changes", new.display()))
                }
            })
        }
        Some(Command::Lab { arguments }) => lab(&arguments),
        Some(Command::Demo { seconds, seed }) => {
            demo::run(seconds, seed.unwrap_or_else(|| fastrand::u64(..)))
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("sloeline: {why}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a future on a runtime of one thread.
pub fn block_on(future: impl Future<Output = Result<(), String>>) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    LocalSet::new().block_on(&runtime, future)
}

/// Reads a configuration; problems go to standard error, each with the file's name.
fn load(file: &std::path::Path) -> Result<Config, String> {
    let (loaded, problems) = daemon::load(file)?;
    for problem in &problems {
        eprintln!("{}:{problem}", file.display());
    }
    let errors = problems.iter().filter(|p| p.severity == Severity::Error).count();
    loaded.ok_or_else(|| format!("{}: {errors} errors", file.display()))
}
