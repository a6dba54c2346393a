//! A short soak: real processes and real sockets under troubles that overlap, with all invariants on. The long form is
//! `sloeline-testbed soak`.

use std::path::Path;
use std::time::Duration;

use sloeline_testbed::process::Builds;
use sloeline_testbed::soak;
use tokio::task::LocalSet;

/// How long troubles are made, for each seed.
const SPAN: Duration = Duration::from_secs(12);

#[test]
fn real_processes_keep_their_promises_under_troubles_that_overlap() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    for seed in 1..=4 {
        let folder = std::env::temp_dir().join(format!("sloeline-soak-test-{}-{seed}", std::process::id()));
        let testbed = Path::new(env!("CARGO_BIN_EXE_sloeline-testbed"));
        let builds = Builds::single(testbed);
        let setup = soak::Setup { net: 91, seed, span: SPAN, balancers: 3 };
        let played = soak::play(setup, &builds, &folder);
        let report = LocalSet::new().block_on(&runtime, played).expect("it begins");
        assert!(
            report.violations.is_empty(),
            "seed {seed}: {:#?}, logs in {}",
            report.violations,
            folder.display()
        );
        assert!(report.counts.get("acknowledged").is_some_and(|count| *count > 2), "{:?}", report.counts);
        let _ = std::fs::remove_dir_all(&folder);
    }
}
