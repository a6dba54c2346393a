//! One command that starts stand-in upstreams, the daemon and a generator of load on loopback, and prints one table.
//! Beside the daemon in the same run: a direct connection and a plain proxy, so that every figure is a ratio.
//!
//! `cargo build --release && cargo run --release -p sloeline-bench -- table`

mod load;
mod program;
mod proxy;
mod upstream;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::time::Duration;

use clap::{Parser, Subcommand};
use load::{Arrivals, Load, play};
use program::Program;
use upstream::{Takes, Upstreams};

/// How long callers wait, but in overload.
const PATIENCE: Duration = Duration::from_secs(6);
/// The pool in overload: its upstreams and the places of each.
const SERVERS: usize = 10;
const PLACES: usize = 4;
/// Connections of callers in overload.
const CALLERS: usize = 400;

#[derive(Parser)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
    /// For random numbers.
    #[arg(long, global = true, default_value_t = 7)]
    seed: u64,
    /// Seconds of each play.
    #[arg(long, global = true, default_value_t = 3.0)]
    seconds: f64,
}

#[derive(Subcommand)]
enum Command {
    /// Closed loops on the cases of the design note.
    Table,
    /// One case, closed or open.
    One {
        #[arg(long, default_value_t = 20)]
        upstreams: usize,
        #[arg(long, default_value_t = 16)]
        connections: usize,
        /// How long upstreams take, in milliseconds.
        #[arg(long, default_value_t = 0.0)]
        ms: f64,
        /// constant, exponential or slow-tail.
        #[arg(long, default_value = "constant")]
        shape: String,
        /// Arrivals a second; closed loops where it is left out.
        #[arg(long)]
        rate: Option<f64>,
    },
    /// A pool of ten upstreams with four places each, offered parts and multiples of what it can do.
    Overload {
        /// How long upstreams take, in milliseconds.
        #[arg(long, default_value_t = 10.0)]
        ms: f64,
        /// How long callers wait, in milliseconds.
        #[arg(long, default_value_t = 500)]
        patience: u64,
    },
    /// Sweeps over upstreams, connections and times.
    Sweep,
    /// The reference proxy, started by the other commands.
    #[command(hide = true)]
    Proxy { upstreams: Vec<SocketAddr> },
}

/// One line of a table.
struct Case {
    upstreams: usize,
    connections: usize,
    takes: Takes,
    arrivals: Arrivals,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let span = Duration::from_secs_f64(arguments.seconds.clamp(0.1, 600.0));
    let closed = |upstreams, connections, ms: f64| Case {
        upstreams,
        connections,
        takes: Takes::Constant(Duration::from_secs_f64(ms / 1e3)),
        arrivals: Arrivals::Closed,
    };
    let done = match arguments.command {
        Command::Proxy { upstreams } => proxy::run(upstreams),
        Command::Table => {
            let cases = [
                (20, 4, 0.0),
                (20, 16, 0.0),
                (20, 128, 0.0),
                (500, 16, 0.0),
                (20, 16, 2.0),
                (20, 64, 20.0),
                (20, 128, 50.0),
            ];
            print(cases.into_iter().map(|(u, c, ms)| closed(u, c, ms)), span, arguments.seed)
        }
        Command::Overload { ms, patience } => {
            overload(ms.max(0.1) / 1e3, Duration::from_millis(patience.max(1)), span, arguments.seed)
        }
        Command::Sweep => {
            let upstreams = [10, 100, 1_000, 10_000].map(|u| closed(u, 16, 1.0));
            let connections = [1, 10, 100, 1_000].map(|c| closed(20, c, 1.0));
            let times = [0.1, 1.0, 10.0, 500.0].into_iter().flat_map(|ms| {
                let span = Duration::from_secs_f64(ms / 1e3);
                [Takes::Constant(span), Takes::Exponential(span), Takes::SlowTail(span)]
                    .map(|takes| Case { takes, ..closed(20, 64, ms) })
            });
            print(upstreams.into_iter().chain(connections).chain(times), span, arguments.seed)
        }
        Command::One { upstreams, connections, ms, shape, rate } => {
            let mean = Duration::from_secs_f64(ms.max(0.0) / 1e3);
            let takes = match shape.as_str() {
                "exponential" => Takes::Exponential(mean),
                "slow-tail" => Takes::SlowTail(mean),
                _ => Takes::Constant(mean),
            };
            let arrivals = rate.map_or(Arrivals::Closed, Arrivals::Open);
            print([Case { upstreams, connections, takes, arrivals }], span, arguments.seed)
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("sloeline-bench: {why}");
            ExitCode::FAILURE
        }
    }
}

fn print(cases: impl IntoIterator<Item = Case>, span: Duration, seed: u64) -> Result<(), String> {
    println!(
        "seed {seed}, {span:?} a play; times in ms, processor time in us a request; in brackets: times the proxy's"
    );
    println!(
        "| upstreams | connections | takes | by | served | other | p50 | p99 | p99.9 | processor | memory KiB | attempts | connections |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for case in cases {
        line(&case, span, seed)?;
    }
    Ok(())
}

fn line(case: &Case, span: Duration, seed: u64) -> Result<(), String> {
    let Case { upstreams, connections, takes, arrivals } = case;
    let mut reference: Option<(f64, f64, f64, f64)> = None;
    for by in ["direct", "proxy", "sloeline"] {
        let up = Upstreams::start(*upstreams, *takes, None, seed);
        let program = match by {
            "direct" => None,
            "proxy" => Some(Program::proxy(&up.addresses)?),
            _ => Some(Program::daemon(&up.addresses, PATIENCE)?),
        };
        let to = program.as_ref().map_or(up.addresses[0], |p| p.address);
        let before = program.as_ref().map_or(0.0, Program::cpu);
        let load = Load { connections: *connections, arrivals: *arrivals, patience: PATIENCE };
        let outcome = play(to, load, span, seed);
        let asked = outcome.asked().max(1) as f64;
        let cpu = program.as_ref().map_or(0.0, |p| (p.cpu() - before) * 1e6 / asked);
        let figures = (outcome.ms(50.0), outcome.ms(99.0), outcome.ms(99.9), cpu);
        let ratio = |own: f64, of: fn(&(f64, f64, f64, f64)) -> f64| match &reference {
            Some(r) if of(r) > 0.0 => format!("{own:.2} ({:.1})", own / of(r)),
            _ => format!("{own:.2}"),
        };
        let other: Vec<String> =
            outcome.statuses.iter().filter(|(s, _)| **s != 200).map(|(s, n)| format!("{n} x {s}")).collect();
        println!(
            "| {upstreams} | {connections} | {takes:?} | {by} | {} | {} | {} | {} | {} | {} | {} | {:.3} | {:.3} |",
            outcome.served(),
            if other.is_empty() { "0".to_owned() } else { other.join(", ") },
            ratio(figures.0, |r| r.0),
            ratio(figures.1, |r| r.1),
            ratio(figures.2, |r| r.2),
            ratio(figures.3, |r| r.3),
            program.as_ref().map_or(0, Program::memory),
            up.counts.attempts.load(Ordering::Relaxed) as f64 / asked,
            up.counts.connections.load(Ordering::Relaxed) as f64 / asked,
        );
        if by == "proxy" {
            reference = Some(figures);
        }
    }
    Ok(())
}

/// Goodput, refusals and their cost as the load goes past what the pool can do.
fn overload(takes: f64, patience: Duration, span: Duration, seed: u64) -> Result<(), String> {
    let most = (SERVERS * PLACES) as f64 / takes;
    println!(
        "seed {seed}, {span:?} a play, {SERVERS} upstreams of {PLACES} places, {takes} s each: {most:.0} a second at most; callers wait {patience:?}"
    );
    println!(
        "| offered | by | served a second | of the most | refused | failed | refused after ms, p50 | p99 | served p50 | p99 | processor us a request | a refusal |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for by in ["proxy", "sloeline"] {
        let mut served_cost = 0.0;
        for factor in [0.5, 0.9, 1.5, 3.0] {
            let takes = Takes::Constant(Duration::from_secs_f64(takes));
            let up = Upstreams::start(SERVERS, takes, Some(PLACES), seed);
            let program = match by {
                "proxy" => Program::proxy(&up.addresses)?,
                _ => Program::daemon(&up.addresses, patience)?,
            };
            let load = Load { connections: CALLERS, arrivals: Arrivals::Open(factor * most), patience };
            let before = program.cpu();
            let outcome = play(program.address, load, span, seed);
            let cpu = (program.cpu() - before) * 1e6;
            let (served, refused) = (outcome.served() as f64, outcome.answered(503) as f64);
            let failed = outcome.asked() as f64 - served - refused;
            if factor < 1.0 {
                served_cost = cpu / served.max(1.0);
            }
            let rate = served / outcome.span.as_secs_f64();
            let refusal = (cpu - served * served_cost) / refused.max(1.0);
            let refused_ms = |p: f64| outcome.refusals.value_at_percentile(p) as f64 / 1e3;
            println!(
                "| {factor} | {by} | {rate:.0} | {:.2} | {refused} | {failed} | {:.2} | {:.2} | {:.1} | {:.1} | {:.1} | {} |",
                rate / most,
                refused_ms(50.0),
                refused_ms(99.0),
                outcome.ms(50.0),
                outcome.ms(99.0),
                cpu / outcome.asked().max(1) as f64,
                if refused >= 100.0 { format!("{refusal:.1}") } else { "-".to_owned() },
            );
        }
    }
    Ok(())
}
