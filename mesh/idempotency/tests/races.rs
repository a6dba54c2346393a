//! Two attempts with the same key on two machines, in every order of their steps and with every possible loss of a claim's
//! response: the operation runs once. Two deliberately faulty protocols are shown to break this.

use bytes::Bytes;
use sloeline_idempotency::{ClaimOutcome, ClaimUpdate, Claims};

/// The protocol that a machine follows for an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Protocol {
    /// Claims the key, repeats the claim under the same run if the response is lost, and sends once the claim is granted.
    Correct,
    /// Like `Correct`, but repeats the claim under a new run if the response is lost.
    RepeatsUnderNewRun,
    /// Sends first and claims the key afterwards.
    ClaimsAfterSend,
}

/// The next step of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    /// Claim the key.
    Claim,
    /// Send the operation, which then runs.
    Send,
    /// Nothing is left to do.
    Done,
}

/// One of the two attempts.
struct Attempt {
    /// Identifier of the run that the attempt claims the key for.
    run: u64,
    /// What the attempt does on its next turn.
    step: Step,
    /// How many responses to the claim may still be lost.
    remaining_losses: u32,
}

/// Choices for one turn of a schedule: which of the two attempts takes a step, and whether the response is lost.
const CHOICES: u32 = 4;
/// Turns in a schedule, enough for each attempt to claim twice and send once, with turns to spare.
const TURNS: u32 = 8;

/// How often the operation runs in a schedule; `None` if the schedule leaves an attempt unfinished.
fn run_schedule(protocol: Protocol, mut schedule: u32) -> Option<u32> {
    let mut claims = Claims::new(60_000);
    let key = Bytes::from_static(b"k");
    let first = if protocol == Protocol::ClaimsAfterSend { Step::Send } else { Step::Claim };
    let mut attempts = [1, 2].map(|run| Attempt { run, step: first, remaining_losses: 1 });
    let mut runs = 0;
    for _ in 0..TURNS {
        let (at, lost) = ((schedule % 2) as usize, schedule / 2 % 2 == 1);
        schedule /= CHOICES;
        let current = &mut attempts[at];
        match current.step {
            Step::Done => {}
            Step::Send => {
                runs += 1;
                current.step = if protocol == Protocol::ClaimsAfterSend { Step::Claim } else { Step::Done };
            }
            Step::Claim => {
                let update =
                    ClaimUpdate::Claim { key: key.clone(), run: current.run, holder: format!("m-{at}") };
                let (outcome, _) = claims.apply(1, &update);
                if lost && current.remaining_losses > 0 {
                    current.remaining_losses -= 1;
                    current.run += if protocol == Protocol::RepeatsUnderNewRun { 10 } else { 0 };
                    continue;
                }
                let sends = outcome == ClaimOutcome::Granted && protocol != Protocol::ClaimsAfterSend;
                current.step = if sends { Step::Send } else { Step::Done };
            }
        }
    }
    attempts.iter().all(|current| current.step == Step::Done).then_some(runs)
}

/// The distinct numbers of runs over all schedules that finish both attempts, and the number of these schedules.
fn counts(protocol: Protocol) -> (Vec<u32>, usize) {
    let ended: Vec<u32> =
        (0..CHOICES.pow(TURNS)).filter_map(|schedule| run_schedule(protocol, schedule)).collect();
    let schedules = ended.len();
    let mut counts = ended;
    counts.sort_unstable();
    counts.dedup();
    (counts, schedules)
}

#[test]
fn an_operation_runs_once_in_every_order_of_two_attempts() {
    let (runs, schedules) = counts(Protocol::Correct);
    assert_eq!(runs, [1]);
    assert!(schedules > 10_000, "{schedules} of {} schedules finish", CHOICES.pow(TURNS));
}

#[test]
fn a_repeated_claim_under_a_new_run_and_a_claim_after_sending_are_detected() {
    let (runs, _) = counts(Protocol::RepeatsUnderNewRun);
    assert!(runs.contains(&0), "a repeat is rejected although nothing ran: {runs:?}");
    let (runs, _) = counts(Protocol::ClaimsAfterSend);
    assert_eq!(runs, [2], "both attempts run the operation");
}
