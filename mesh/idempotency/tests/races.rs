//! Two tries with one key on two machines, in every order of their steps and with every loss of a claim's answer: the
//! operation runs once. Two doctored machines are seen to break that.

use bytes::Bytes;
use sloeline_idempotency::{ClaimOutcome, ClaimUpdate, Claims};

/// How a machine goes about a try.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Machine {
    /// Claims, again under the same run when the answer is lost, and sends once it is granted.
    Sound,
    /// Claims again under a new run when the answer is lost.
    RepeatsUnderNewNumber,
    /// Sends, and claims afterwards.
    ClaimsAfterSend,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Claims,
    Sends,
    Over,
}

struct Try {
    run: u64,
    step: Step,
    /// Answers of the claim that may still be lost.
    losses: u32,
}

/// One turn of a schedule: which of two tries goes on, and whether its answer is lost.
const CHOICES: u32 = 4;
/// Two claims of each try with one lost, and two sends.
const TURNS: u32 = 8;

/// How often the operation ran; nothing where the schedule leaves a try unfinished.
fn play(machine: Machine, mut schedule: u32) -> Option<u32> {
    let mut claims = Claims::new(60_000);
    let key = Bytes::from_static(b"k");
    let first = if machine == Machine::ClaimsAfterSend { Step::Sends } else { Step::Claims };
    let mut tries = [1, 2].map(|run| Try { run, step: first, losses: 1 });
    let mut runs = 0;
    for _ in 0..TURNS {
        let (at, lost) = ((schedule % 2) as usize, schedule / 2 % 2 == 1);
        schedule /= CHOICES;
        let current = &mut tries[at];
        match current.step {
            Step::Over => {}
            Step::Sends => {
                runs += 1;
                current.step = if machine == Machine::ClaimsAfterSend { Step::Claims } else { Step::Over };
            }
            Step::Claims => {
                let update =
                    ClaimUpdate::Claim { key: key.clone(), run: current.run, holder: format!("m-{at}") };
                let (outcome, _) = claims.apply(1, &update);
                if lost && current.losses > 0 {
                    current.losses -= 1;
                    current.run += if machine == Machine::RepeatsUnderNewNumber { 10 } else { 0 };
                    continue;
                }
                let goes = outcome == ClaimOutcome::Granted && machine != Machine::ClaimsAfterSend;
                current.step = if goes { Step::Sends } else { Step::Over };
            }
        }
    }
    tries.iter().all(|current| current.step == Step::Over).then_some(runs)
}

/// All counts of runs that some schedule ends with, and how many schedules ended.
fn counts(machine: Machine) -> (Vec<u32>, usize) {
    let ended: Vec<u32> = (0..CHOICES.pow(TURNS)).filter_map(|schedule| play(machine, schedule)).collect();
    let schedules = ended.len();
    let mut counts = ended;
    counts.sort_unstable();
    counts.dedup();
    (counts, schedules)
}

#[test]
fn an_operation_runs_once_in_every_order_of_two_tries() {
    let (runs, schedules) = counts(Machine::Sound);
    assert_eq!(runs, [1]);
    assert!(schedules > 10_000, "{schedules} of {} schedules end", CHOICES.pow(TURNS));
}

#[test]
fn a_repeat_under_a_new_number_and_a_claim_after_the_send_are_caught() {
    let (runs, _) = counts(Machine::RepeatsUnderNewNumber);
    assert!(runs.contains(&0), "a repeat is refused though nothing ran: {runs:?}");
    let (runs, _) = counts(Machine::ClaimsAfterSend);
    assert_eq!(runs, [2], "both tries run");
}
