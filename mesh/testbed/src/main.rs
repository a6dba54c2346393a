//! `sloeline-testbed demo`: a whole mesh on loopback for some seconds, with a core machine lost on the way, and an account at
//! the end. `sloeline-testbed soak`: real processes under troubles that overlap, for many seeds.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use clap::{Arg, ArgMatches, Command, value_parser};
use sloeline_testbed::client::ask;
use sloeline_testbed::machine::Plan;
use sloeline_testbed::process::{Builds, Program};
use sloeline_testbed::soak;
use sloeline_testbed::standin::Standin;
use tokio::task::{JoinSet, LocalSet};

fn command() -> Command {
    let seconds = Arg::new("seconds")
        .long("seconds")
        .value_name("N")
        .value_parser(value_parser!(u64).range(2..=600))
        .default_value("6")
        .help("How long clients call");
    Command::new("sloeline-testbed")
        .about("A whole sloeline mesh on this machine, with stand-in upstreams")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .subcommand(Command::new("demo").about("Plays and closes with an account").arg(seconds.clone()))
        .subcommand(soak_command(seconds))
        .subcommand(process_command())
}

fn soak_command(seconds: Arg) -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("N")
            .value_parser(value_parser!(u64))
            .default_value(default)
            .help(help)
    };
    let other = Arg::new("alternate-with")
        .long("alternate-with")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("The sloeline-testbed of another build: neighbouring processes begin with different builds, and each changes at every restart");
    Command::new("soak")
        .about("Real processes under kills, pauses, cuts and lost answers; exit code 1 if anything was wrong")
        .arg(number("first", "1", "The first seed"))
        .arg(number("seeds", "10", "How many seeds, one after the other"))
        .arg(
            number("balancers", "3", "How many balancers there are")
                .value_parser(value_parser!(u64).range(3..=u64::from(soak::fleet::MAX_BALANCERS))),
        )
        .arg(number("net", "90", "The net 127.1.N, 1 to 250; two soaks at a time want two"))
        .arg(seconds.default_value("20").help("How long troubles are made, for each seed"))
        .arg(other)
}

fn process_command() -> Command {
    let program = Arg::new("program").value_parser(["control-plane", "data-plane"]).required(true);
    let settings = Arg::new("settings").long("settings").value_parser(value_parser!(PathBuf)).required(true);
    Command::new("process").about("Runs either program of the mesh, for soaks").arg(program).arg(settings)
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let done = match matches.subcommand() {
        Some(("demo", matches)) => demo(Duration::from_secs(number(matches, "seconds"))),
        Some(("soak", matches)) => soak(matches),
        Some(("process", matches)) => process(matches),
        _ => Ok(()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("sloeline-testbed: {why:#}");
            ExitCode::FAILURE
        }
    }
}

fn number(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or_default()
}

fn process(matches: &ArgMatches) -> Result<()> {
    sloeline_admin_http::reload::install_hangup_handler()?;
    let program = matches.get_one::<String>("program").and_then(|name| Program::named(name));
    let settings =
        matches.get_one::<PathBuf>("settings").context("settings: found nothing, expected a file")?;
    let _logging = sloeline_admin_http::logging::start("info")?;
    match program.context("program: expected control-plane or data-plane")? {
        Program::ControlPlane => sloeline_control_plane::program::run(settings),
        Program::DataPlane => sloeline_data_plane::program::run(settings),
    }
}

fn soak(matches: &ArgMatches) -> Result<()> {
    let (first, seeds) = (number(matches, "first"), number(matches, "seeds"));
    let net = u8::try_from(number(matches, "net")).context("net: expected 1 to 250")?;
    let balancers = u8::try_from(number(matches, "balancers")).context("balancers: too many")?;
    let span = Duration::from_secs(number(matches, "seconds"));
    let testbed = std::env::current_exe().context("find this program's own file")?;
    let builds = match matches.get_one::<PathBuf>("alternate-with") {
        Some(other) => Builds::alternating(&testbed, other),
        None => Builds::single(&testbed),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let mut wrong = 0;
    for seed in first..first.saturating_add(seeds) {
        let folder = std::env::temp_dir().join(format!("sloeline-soak-{net}-{seed}"));
        let setup = soak::Setup { net, seed, span, balancers };
        let played = soak::play(setup, &builds, &folder);
        let report = LocalSet::new().block_on(&runtime, played)?;
        println!("seed {seed}: {} wrong; {:?}", report.violations.len(), report.counts);
        report.violations.iter().for_each(|violation| println!("  {violation}"));
        if report.violations.is_empty() {
            let _ = std::fs::remove_dir_all(&folder);
        } else {
            println!("  logs are kept in {}", folder.display());
            wrong += 1;
        }
    }
    println!("{seeds} seeds, {wrong} with something wrong");
    if wrong > 0 {
        bail!("{wrong} of {seeds} seeds found something wrong");
    }
    Ok(())
}

const CONFIG: &str = r#"{"edition":"00000001","gateways":[{"station":"shop.example","regulations":[
 {"name":"read","route_kind":"safe","target":"300ms","precedence":2,"sort_by":{"lane_prefix":"/read/"},
  "dispatch":{"line":"goods","timeout":"2s","tries":2}},
 {"name":"book","route_kind":"tracked","target":"400ms","precedence":1,"sort_by":{"lane_prefix":"/book/"},
  "dispatch":{"line":"goods","timeout":"2500ms","tries":2}}]}],"depots":[{"name":"goods"}]}"#;

fn demo(span: Duration) -> Result<()> {
    let folder = std::env::temp_dir().join(format!("sloeline-testbed-{}", std::process::id()));
    let plan = Plan::new(77, 3, folder.clone());
    println!("starting three core machines, three balancers and their upstreams on 127.1.77.x");
    let mut cores = (0..3).map(|c| plan.core(c, true)).collect::<Result<Vec<_>>>()?;
    let standins: Vec<Standin> = (0..3).map(|_| Standin::default()).collect();
    let mut machines = Vec::new();
    for (at, standin) in (1..).zip(&standins) {
        standin.book().works = Duration::from_millis(20);
        machines.push(plan.balancer(at, "goods")?);
        machines.push(plan.standin(at, "goods", standin, 6)?);
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let ended = LocalSet::new().block_on(&runtime, async {
        let configured = put(&plan).await?;
        println!("configuration taken after {} ms", configured.as_millis());
        wait_ready(&plan).await?;
        println!(
            "all balancers are ready; clients call for {} s, and core machine 0 is lost half way",
            span.as_secs()
        );
        let start = Instant::now();
        let mut calls = JoinSet::new();
        let (mut number, mut ends, mut lost) = (0_u32, BTreeMap::<u16, u32>::new(), false);
        while start.elapsed() < span {
            number += 1;
            let to = plan.outgoing((number % 3 + 1) as u8);
            calls.spawn_local(async move {
                let (id, keyed) = (format!("try-{number}"), number.is_multiple_of(4));
                let (method, target) = if keyed { ("POST", "/book/1") } else { ("GET", "/read/1") };
                let key = format!("key-{}", number / 8);
                let headers = [
                    ("Host", "shop.example"),
                    ("X-Try-Id", &id),
                    ("X-Time-Left", "2000"),
                    ("X-Operation-Key", &key),
                ];
                let headers = &headers[..if keyed { 4 } else { 3 }];
                let answer = ask(to, method, target, headers, b"", Duration::from_secs(3)).await;
                answer.map_or(0, |a| a.status)
            });
            if !lost && start.elapsed() > span / 2 {
                lost = true;
                println!("core machine 0 is lost");
                cores.remove(0).stop();
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        while let Some(status) = calls.join_next().await {
            *ends.entry(status.unwrap_or(0)).or_default() += 1;
        }
        println!("{number} requests; by status (0: no whole answer): {ends:?}");
        let doubled = standins.iter().flat_map(|s| s.book().keys.clone()).fold(
            BTreeMap::<String, u32>::new(),
            |mut all, (key, n)| {
                *all.entry(key).or_default() += n;
                all
            },
        );
        let more = doubled.values().filter(|n| **n > 1).count();
        println!("{} keys ran, {more} of them more than once", doubled.len());
        for (at, standin) in (1..).zip(&standins) {
            let book = standin.book();
            println!(
                "upstream {at}: {} runs, {} at once at the most",
                book.runs.values().sum::<u32>(),
                book.working.1
            );
        }
        if more > 0 || ends.contains_key(&0) {
            bail!("the account does not close");
        }
        println!("the account closes");
        Ok(())
    });
    drop((machines, cores));
    let _ = std::fs::remove_dir_all(folder);
    ended
}

async fn put(plan: &Plan) -> Result<Duration> {
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(15) {
        let to = plan.operator(1);
        let target = "/-/rpc?call=config.replace";
        let answer = ask(to, "POST", target, &[], CONFIG.as_bytes(), Duration::from_secs(4)).await;
        if answer.is_ok_and(|a| a.status == 200) {
            return Ok(start.elapsed());
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    bail!("the configuration is not taken")
}

async fn wait_ready(plan: &Plan) -> Result<()> {
    let start = Instant::now();
    for balancer in 1..=3 {
        loop {
            let to = plan.readiness(balancer);
            let answer = ask(to, "GET", "/-/ready", &[], b"", Duration::from_secs(1)).await;
            if answer.is_ok_and(|a| a.status == 200) {
                break;
            }
            (start.elapsed() < Duration::from_secs(15))
                .then_some(())
                .context("a balancer does not become ready")?;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}
