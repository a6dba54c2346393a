//! The four rules, checked over all that happens as it happens. The first breach of each is kept with what went on around
//! it, so that it can be told; the seed of the run gives it again.

use std::collections::VecDeque;
use std::fmt;

use finchshift::Micros;

/// Steps that are remembered.
const TRAIL: usize = 4096;
/// Most of them that a breach keeps.
const AROUND: usize = 24;

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// What is accepted gets one final answer in time, and nothing is sent for it afterwards.
    Lost,
    /// Nothing unsafe takes effect twice, or after a refusal; one attempt at a time, and no more than are allowed.
    Twice,
    /// Nothing new to a draining or gone node after the grace.
    Drain,
    /// Cold nodes are not pushed over by all together.
    Cold,
}

/// All four.
pub const RULES: [Rule; 4] = [Rule::Lost, Rule::Twice, Rule::Drain, Rule::Cold];

impl Rule {
    /// Its name in results.
    pub fn name(self) -> &'static str {
        match self {
            Rule::Lost => "lost",
            Rule::Twice => "twice",
            Rule::Drain => "drain",
            Rule::Cold => "cold",
        }
    }
}

/// Something that happened, for the surroundings of a breach.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// When.
    pub at: Micros,
    /// What.
    pub what: &'static str,
    /// The number of the request, or `u64::MAX`.
    pub call: u64,
    /// The balancer, or `u32::MAX`.
    pub balancer: u32,
    /// The node, or `u32::MAX`.
    pub node: u32,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.6} s {}", self.at as f64 / 1e6, self.what)?;
        if self.call != u64::MAX {
            write!(f, ", request {}", self.call)?;
        }
        if self.balancer != u32::MAX {
            write!(f, ", balancer {}", self.balancer)?;
        }
        if self.node != u32::MAX {
            write!(f, ", node {}", self.node)?;
        }
        Ok(())
    }
}

/// The first breach of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    /// The rule.
    pub rule: Rule,
    /// What broke it.
    pub step: Step,
    /// Why that is a breach.
    pub why: String,
    /// What went on before, with the same request or node.
    pub around: Vec<Step>,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}: {} ({})", self.rule.name(), self.why, self.step)?;
        self.around.iter().try_for_each(|step| writeln!(f, "    {step}"))
    }
}

/// Keeps count of breaches.
#[derive(Debug, Default)]
pub struct Checker {
    counts: [u64; 4],
    first: Vec<Breach>,
    trail: VecDeque<Step>,
}

impl Checker {
    /// Remembers a step.
    pub fn step(&mut self, step: Step) {
        if self.trail.len() == TRAIL {
            self.trail.pop_front();
        }
        self.trail.push_back(step);
    }

    /// A rule is broken by a step.
    pub fn breach(&mut self, rule: Rule, step: Step, why: impl FnOnce() -> String) {
        self.counts[rule as usize] += 1;
        if self.counts[rule as usize] > 1 {
            return;
        }
        let of_node = rule == Rule::Drain || rule == Rule::Cold;
        let near = |s: &&Step| match of_node {
            true => s.node == step.node,
            false => s.call == step.call,
        };
        let mut around: Vec<Step> = self.trail.iter().rev().filter(near).take(AROUND).copied().collect();
        around.reverse();
        self.first.push(Breach { rule, step, why: why(), around });
    }

    /// How often each rule was broken, in the order of [`RULES`].
    pub fn counts(&self) -> [u64; 4] {
        self.counts
    }

    /// The first breach of each rule that was broken, in the order in which they came.
    pub fn first(&self) -> &[Breach] {
        &self.first
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_first_breach_of_a_rule_is_kept_with_its_surroundings() {
        let mut checker = Checker::default();
        let step = |at, call, node| Step { at, what: "sent", call, balancer: 1, node };
        for at in 0..5000 {
            checker.step(step(at, at % 7, at as u32 % 5));
        }
        checker.breach(Rule::Twice, step(6000, 3, 1), || "once more".to_owned());
        checker.breach(Rule::Twice, step(6001, 4, 1), || "never kept".to_owned());
        checker.breach(Rule::Drain, step(6002, 4, 2), || "it drains".to_owned());
        assert_eq!(checker.counts(), [0, 2, 1, 0]);
        let [twice, drain] = checker.first() else { panic!("two rules were broken") };
        assert!(twice.around.len() == AROUND && twice.around.iter().all(|s| s.call == 3));
        assert!(drain.around.iter().all(|s| s.node == 2));
        assert!(twice.to_string().contains("once more (0.006000 s sent, request 3, balancer 1, node 1)"));
    }
}
