//! Subcommands for operators: `status` shows the state of a running core machine, and `restore` rebuilds a core that has lost
//! a majority of its disks.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde_json::Value;
use sloeline_admin_http::program::Subcommand;
use sloeline_chain_replication::{Rows, Write};
use sloeline_process_settings::Settings;
use sloeline_rpc::link::Link;
use sloeline_rpc::{RpcRequest, RpcResponse};
use sloeline_storage::Store;
use tokio::task::LocalSet;

/// Maximum time for a machine to answer the status request.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
/// Exit code of `status` if the machine answers but is out of contact with a majority.
const EXIT_OUT_OF_CONTACT: u8 = 2;

/// Returns the subcommands of this program.
pub fn subcommands() -> Vec<Subcommand> {
    let address =
        Arg::new("at").long("at").value_name("ADDRESS").value_parser(value_parser!(SocketAddr)).help(
            "Address at which other machines reach this one: its IP address and the first port of port_range",
        );
    let json =
        Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print the status as one line of JSON");
    let status = Command::new("status")
        .about("Voters, learners, view and lease of a core machine; exit code 2 when it is out of contact")
        .arg(address)
        .arg(json);
    let confirm = Arg::new("give-up-the-others")
        .long("give-up-the-others")
        .action(ArgAction::SetTrue)
        .required(true)
        .help("Confirms that data only on the other disks is lost; no other voter may be running");
    let restore = Command::new("restore")
        .about("Makes this machine's disk the only one of the core, after a majority of disks is lost for good")
        .long_about(
            "Makes this machine's disk the only one of the core, after a majority of disks is lost for good. Run it on the \
             machine whose `status` showed the highest position, while its process is stopped. Then start the process, \
             and start the other machines with empty disks. Data that was acknowledged but is only on the other disks \
             is lost.",
        )
        .arg(confirm);
    vec![
        Subcommand { command: status, execute: print_status },
        Subcommand { command: restore, execute: |settings, _| restore_from_disk(settings) },
    ]
}

/// Prints the status of the machine that is named by `--at`, or else by the settings file.
fn print_status(path: &Path, matches: &ArgMatches) -> Result<ExitCode> {
    let address = match matches.get_one::<SocketAddr>("at") {
        Some(address) => *address,
        None => Settings::read(path)?.mesh_address(),
    };
    let status = request_status(address)?;
    if matches.get_flag("json") {
        println!("{status}");
    } else {
        print!("{}", format_status(&status));
    }
    let in_contact = status["in_contact"].as_bool().unwrap_or(false);
    Ok(if in_contact { ExitCode::SUCCESS } else { ExitCode::from(EXIT_OUT_OF_CONTACT) })
}

/// Requests the status of a core machine over RPC.
fn request_status(address: SocketAddr) -> Result<Value> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().context("start the runtime")?;
    LocalSet::new().block_on(&runtime, async move {
        match Link::new(address).call(&RpcRequest::Status, STATUS_TIMEOUT).await? {
            RpcResponse::Status(status) => serde_json::from_slice(&status).context("read the status"),
            _ => bail!("status of {address}: found a response of another kind"),
        }
    })
}

/// Formats a JSON status as lines of text for operators.
pub fn format_status(status: &Value) -> String {
    let plain = |value: &Value| match value {
        Value::String(text) => text.clone(),
        Value::Null => "none".to_owned(),
        other => other.to_string(),
    };
    let names = |replicas: &Value| {
        let addresses = replicas.as_array().into_iter().flatten().map(|replica| plain(&replica["address"]));
        addresses.collect::<Vec<_>>().join(" ")
    };
    let mut lines = vec![
        format!("machine        {}", plain(&status["replica"]["address"])),
        format!("in contact     {}", plain(&status["in_contact"])),
        format!("view           {}, established {}", plain(&status["view"]), plain(&status["established"])),
        format!("chain          {}", names(&status["chain"])),
        format!(
            "voters         set {}: {}",
            plain(&status["voter_set"]["number"]),
            names(&status["voter_set"]["replicas"])
        ),
        format!("position       {}, committed {}", plain(&status["position"]), plain(&status["committed"])),
        format!("configuration  {}", plain(&status["configuration"])),
        format!("keys           {}", plain(&status["keys"])),
    ];
    if !status["outgoing_voter_set"].is_null() {
        lines.push(format!("outgoing       {}", names(&status["outgoing_voter_set"]["replicas"])));
    }
    for (role, list) in [("voter", &status["voters_heard"]), ("learner", &status["learners_heard"])] {
        for machine in list.as_array().into_iter().flatten() {
            lines.push(format!(
                "{role:<8}{:>22}  lacks {}, caught up {}, in contact {}, leaving {}",
                plain(&machine["replica"]["address"]),
                plain(&machine["lacks"]),
                plain(&machine["caught_up"]),
                plain(&machine["in_contact"]),
                plain(&machine["leaving"])
            ));
        }
    }
    for balancer in status["balancers"].as_array().into_iter().flatten() {
        lines.push(format!(
            "balancer{:>22}  configuration {}",
            plain(&balancer["name"]),
            plain(&balancer["configuration"])
        ));
    }
    lines.join("\n") + "\n"
}

/// Makes the disk named by the settings the only voter of the core. Fails if there is no store or it does not open.
pub fn restore_from_disk(path: &Path) -> Result<ExitCode> {
    let settings = Settings::read(path)?;
    let folder = settings.data_path.as_deref().context("data_path: found nothing, expected a folder")?;
    if !sloeline_storage::exists(folder)? {
        bail!("restore: found no store in {}, expected this machine's disk", folder.display());
    }
    let (store, durable, rows) = Store::open(folder)?;
    let rows: Rows = rows.into_iter().collect();
    if rows.digest() != durable.digest {
        bail!("restore: the rows in {} are not those that were written", folder.display());
    }
    let disk_id = crate::program::random_disk_id()?;
    let restored = durable.restored(settings.mesh_address(), disk_id);
    store.write(&[Write { token: 0, durable: restored, rows: Vec::new(), replace_all: false }])?;
    let position = durable.position.sequence;
    println!("restored: {} is the whole core, at position {position}", settings.mesh_address());
    println!("start this machine, then the others with empty disks");
    Ok(ExitCode::SUCCESS)
}
