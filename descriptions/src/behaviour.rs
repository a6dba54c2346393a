//! What an operation does, held against what its description says. No I/O, time as an argument.
//!
//! Every answer is looked at for evidence that a repeat is not as harmless as the description says; the rest, whether status,
//! content type and time are described, only at a share of them. Evidence narrows an operation to unsafe at once, for as
//! long as the process lives; nothing here ever widens one.
//!
//! What can be told, and what not:
//! - a safe operation that answers 201 or 202 made something: its first such answer narrows it;
//! - a keyed operation that answers two requests under one key, within the window, with 201 and different `Location`s made two
//!   things. Of the same operation the last [`MOST_KEYS`] such answers are remembered, so a repeat is told apart from a
//!   replay as long as fewer others came in between;
//! - two answers 201 to one key without a `Location` may be a replay: counted, not evidence;
//! - an operation that answers 200 whatever it does gives nothing away, here or in its description.

use std::collections::hash_map::RandomState;
use std::collections::{HashMap, VecDeque};
use std::hash::BuildHasher;

use crate::effect::Effect;
use crate::openapi::{Operation, Response};

/// Microseconds.
type Micros = u64;

/// Answers under a key that are remembered of each operation.
pub const MOST_KEYS: usize = 1024;

/// What an answer may say against a description. The codes never change their meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Oddity {
    /// B001: a status that is not described.
    Status,
    /// B002: a content type that is not described for its status.
    ContentType,
    /// B003: it took longer than is declared.
    Slow,
    /// B010: safe, and yet it answered 201 or 202.
    SafeMade,
    /// B011: keyed, and a repeat made another thing.
    RepeatMade,
    /// B012: keyed, and a repeat was answered 201 again without a `Location`: a replay or a second effect.
    RepeatUnclear,
}

/// All of them.
pub const ODDITIES: [Oddity; 6] = [
    Oddity::Status,
    Oddity::ContentType,
    Oddity::Slow,
    Oddity::SafeMade,
    Oddity::RepeatMade,
    Oddity::RepeatUnclear,
];

impl Oddity {
    /// Its number.
    pub fn number(self) -> &'static str {
        match self {
            Oddity::Status => "B001",
            Oddity::ContentType => "B002",
            Oddity::Slow => "B003",
            Oddity::SafeMade => "B010",
            Oddity::RepeatMade => "B011",
            Oddity::RepeatUnclear => "B012",
        }
    }

    /// It proves that a repeat is not harmless.
    pub fn narrows(self) -> bool {
        matches!(self, Oddity::SafeMade | Oddity::RepeatMade)
    }

    /// In words.
    pub fn what(self) -> &'static str {
        match self {
            Oddity::Status => "a status that is not described",
            Oddity::ContentType => "a content type that is not described",
            Oddity::Slow => "longer than it is said to take",
            Oddity::SafeMade => "said to be safe, and it made something",
            Oddity::RepeatMade => "a repeat under its key made another thing",
            Oddity::RepeatUnclear => "a repeat under its key was answered 201 again, and where is not said",
        }
    }

    fn at(self) -> usize {
        ODDITIES.iter().position(|o| *o == self).unwrap_or(0)
    }
}

/// What a description says of an operation's answers.
#[derive(Clone, Debug, PartialEq)]
pub struct Declared {
    /// What a repeat does.
    pub effect: Effect,
    /// Its answers.
    pub responses: Vec<Response>,
    /// How long it takes.
    pub time: Option<Micros>,
    /// Codes that are accepted, of this module or of the check.
    pub accepted: Vec<String>,
    /// The share of answers that are compared beyond evidence.
    pub compared: f64,
}

impl Declared {
    /// What an operation's description says.
    pub fn of(operation: &Operation, compared: f64) -> Declared {
        Declared {
            effect: operation.effect.clone(),
            responses: operation.responses.clone(),
            time: operation.time,
            accepted: operation.accepted.iter().map(|(code, ..)| code.clone()).collect(),
            compared,
        }
    }

    fn accepts(&self, oddity: Oddity) -> bool {
        let same = |code: &String| {
            // Who accepts that it says 201 accepts that it does.
            code == oddity.number() || oddity == Oddity::SafeMade && code == "D011"
        };
        self.accepted.iter().any(same)
    }
}

/// An upstream's answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen<'a> {
    /// The key of the request, where the operation is keyed.
    pub key: Option<&'a str>,
    /// The status.
    pub status: u16,
    /// `Content-Type`, as it stands.
    pub content_type: Option<&'a str>,
    /// `Location`, as it stands.
    pub location: Option<&'a str>,
    /// How long the answer took.
    pub took: Micros,
}

/// Answers that made something under a key, the newest.
#[derive(Default)]
struct Made {
    hasher: RandomState,
    /// By the key's hash: when, and the hash of where.
    of: HashMap<u64, (Micros, Option<u64>)>,
    order: VecDeque<(u64, Micros)>,
}

impl Made {
    /// Notes one; tells what was there under its key within the window.
    fn put(&mut self, now: Micros, window: Micros, key: &str, location: Option<&str>) -> Option<Option<u64>> {
        while self.order.front().is_some_and(|(_, at)| at + window < now || self.order.len() >= MOST_KEYS) {
            let Some((key, at)) = self.order.pop_front() else { break };
            if self.of.get(&key).is_some_and(|(newest, _)| *newest == at) {
                self.of.remove(&key);
            }
        }
        let (key, place) = (self.hasher.hash_one(key), location.map(|l| self.hasher.hash_one(l)));
        let before = self.of.insert(key, (now, place)).map(|(_, place)| place);
        self.order.push_back((key, now));
        before
    }

    fn hash(&self, text: Option<&str>) -> Option<u64> {
        text.map(|t| self.hasher.hash_one(t))
    }
}

/// What was seen of one operation.
pub struct Behaviour {
    declared: Declared,
    answers: u64,
    compared: u64,
    counts: [u64; ODDITIES.len()],
    made: Made,
    rng: fastrand::Rng,
}

impl Behaviour {
    /// Nothing was seen yet.
    pub fn new(declared: Declared, seed: u64) -> Behaviour {
        let rng = fastrand::Rng::with_seed(seed);
        Behaviour {
            declared,
            answers: 0,
            compared: 0,
            counts: Default::default(),
            made: Made::default(),
            rng,
        }
    }

    /// What it is held against.
    pub fn declared(&self) -> &Declared {
        &self.declared
    }

    /// Answers seen, answers compared, and how often each oddity was found, in the order of [`ODDITIES`].
    pub fn counts(&self) -> (u64, u64, [u64; ODDITIES.len()]) {
        (self.answers, self.compared, self.counts)
    }

    /// Takes an answer, and says what is odd about it; `true` where it is the first of its kind.
    pub fn answered(&mut self, now: Micros, seen: &Seen<'_>) -> Vec<(Oddity, bool)> {
        self.answers += 1;
        let mut odd = Vec::new();
        match &self.declared.effect {
            Effect::Safe if [201, 202].contains(&seen.status) => odd.push(Oddity::SafeMade),
            Effect::Keyed { window, .. } if seen.status == 201 => {
                if let Some(before) = seen.key.and_then(|key| self.made.put(now, *window, key, seen.location))
                {
                    match (before, self.made.hash(seen.location)) {
                        (Some(a), Some(b)) if a != b => odd.push(Oddity::RepeatMade),
                        (Some(_), Some(_)) => {}
                        _ => odd.push(Oddity::RepeatUnclear),
                    }
                }
            }
            _ => {}
        }
        if self.rng.f64() < self.declared.compared {
            self.compared += 1;
            self.compare(seen, &mut odd);
        }
        odd.retain(|oddity| !self.declared.accepts(*oddity));
        odd.into_iter()
            .map(|oddity| {
                let count = &mut self.counts[oddity.at()];
                *count += 1;
                (oddity, *count == 1)
            })
            .collect()
    }

    fn compare(&self, seen: &Seen<'_>, odd: &mut Vec<Oddity>) {
        if self.declared.time.is_some_and(|time| seen.took > time) {
            odd.push(Oddity::Slow);
        }
        match described(&self.declared.responses, seen.status) {
            None => odd.push(Oddity::Status),
            Some(response) => {
                let came = seen.content_type.map(essence);
                // A response without content says nothing of its type, and a body that is not there has none.
                let good = |came: &str| response.types.iter().any(|described| range(described, came));
                if !response.types.is_empty() && came.is_some_and(|came| !good(&came)) {
                    odd.push(Oddity::ContentType);
                }
            }
        }
    }
}

/// The response that describes a status: by its number, then its range, then `default` (OpenAPI 3.1, Responses Object).
fn described(responses: &[Response], status: u16) -> Option<&Response> {
    let (exact, range) = (status.to_string(), format!("{}XX", status / 100));
    [exact.as_str(), range.as_str(), "default"]
        .iter()
        .find_map(|name| responses.iter().find(|response| response.status == *name))
}

/// A content type without its parameters (RFC 9110 section 8.3.1), in lower case.
fn essence(text: &str) -> String {
    text.split(';').next().unwrap_or_default().trim().to_ascii_lowercase()
}

/// Whether a type is of a described one, which may be `*/*` or `text/*`.
fn range(described: &str, came: &str) -> bool {
    let described = essence(described);
    match described.split_once('/') {
        Some(("*", "*")) => true,
        Some((main, "*")) => came.split('/').next() == Some(main),
        _ => described == came,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::effect::KeyAt;

    const SECOND: Micros = 1_000_000;

    fn declared(effect: Effect, responses: &[(&str, &[&str])]) -> Declared {
        let response = |(status, types): &(&str, &[&str])| Response {
            status: (*status).to_owned(),
            types: types.iter().map(|t| (*t).to_owned()).collect(),
        };
        let responses = responses.iter().map(response).collect();
        Declared { effect, responses, time: Some(SECOND), accepted: Vec::new(), compared: 1.0 }
    }

    fn keyed() -> Effect {
        Effect::Keyed { key: KeyAt::Header("k".to_owned()), window: 30 * SECOND }
    }

    fn answer<'a>(status: u16, key: &'a str, location: &'a str) -> Seen<'a> {
        let some = |text: &'a str| (!text.is_empty()).then_some(text);
        Seen { key: some(key), status, location: some(location), ..Seen::default() }
    }

    #[test]
    fn what_is_not_described_is_told_by_its_code() {
        let rows: &[(Seen<'_>, &[Oddity])] = &[
            (
                Seen {
                    status: 200,
                    content_type: Some("Application/JSON; charset=utf-8"),
                    ..Seen::default()
                },
                &[],
            ),
            (
                Seen { status: 200, content_type: Some("text/html"), ..Seen::default() },
                &[Oddity::ContentType],
            ),
            (Seen { status: 200, ..Seen::default() }, &[]),
            (Seen { status: 404, content_type: Some("text/html"), ..Seen::default() }, &[]),
            (
                Seen { status: 404, content_type: Some("image/png"), ..Seen::default() },
                &[Oddity::ContentType],
            ),
            (Seen { status: 302, ..Seen::default() }, &[Oddity::Status]),
            (Seen { status: 503, content_type: Some("x/y"), ..Seen::default() }, &[]),
            (Seen { status: 200, took: SECOND + 1, ..Seen::default() }, &[Oddity::Slow]),
            (Seen { status: 302, took: 2 * SECOND, ..Seen::default() }, &[Oddity::Slow, Oddity::Status]),
        ];
        let said = declared(
            Effect::Unsafe,
            &[("200", &["application/json"]), ("4XX", &["text/*"]), ("503", &["*/*"])],
        );
        for (seen, expected) in rows {
            let odd = Behaviour::new(said.clone(), 1).answered(0, seen);
            assert_eq!(odd.iter().map(|(o, _)| *o).collect::<Vec<_>>(), *expected, "{seen:?}");
        }
    }

    #[test]
    fn evidence_is_told_from_replays_and_from_what_is_unclear() {
        use Oddity::{RepeatMade, RepeatUnclear, SafeMade};
        let any: &[(&str, &[&str])] = &[("default", &[])];
        // Answers one after the other, a second apart, and what each is taken for.
        type Row<'a> = (Effect, &'a [(u16, &'a str, &'a str, Option<Oddity>)]);
        let rows: &[Row<'_>] = &[
            (
                Effect::Safe,
                &[(200, "", "", None), (201, "", "/1", Some(SafeMade)), (202, "", "", Some(SafeMade))],
            ),
            (Effect::Unsafe, &[(201, "", "/1", None), (201, "", "/2", None)]),
            (keyed(), &[(201, "a", "/1", None), (201, "a", "/1", None), (201, "a", "/2", Some(RepeatMade))]),
            (keyed(), &[(201, "a", "/1", None), (201, "b", "/2", None), (200, "a", "/3", None)]),
            (keyed(), &[(201, "a", "", None), (201, "a", "", Some(RepeatUnclear))]),
            (keyed(), &[(201, "a", "/1", None), (201, "a", "", Some(RepeatUnclear))]),
        ];
        for (effect, answers) in rows {
            let mut behaviour = Behaviour::new(declared(effect.clone(), any), 1);
            for (at, (status, key, location, expected)) in answers.iter().enumerate() {
                let odd = behaviour.answered(at as u64 * SECOND, &answer(*status, key, location));
                assert_eq!(odd.first().map(|(o, _)| *o), *expected, "{effect:?}: answer {at} of {answers:?}");
            }
        }
        // Past its window a key is another request's.
        let mut behaviour = Behaviour::new(declared(keyed(), any), 1);
        assert_eq!(behaviour.answered(0, &answer(201, "a", "/1")), []);
        assert_eq!(behaviour.answered(31 * SECOND, &answer(201, "a", "/2")), []);
        // With a reason, it is no evidence.
        let accepted = Declared { accepted: vec!["D011".to_owned()], ..declared(Effect::Safe, any) };
        assert_eq!(Behaviour::new(accepted, 1).answered(0, &answer(201, "", "")), []);
    }

    #[test]
    fn memory_is_bounded_and_a_repeat_is_known_behind_as_many_others_as_it_holds() {
        let any: &[(&str, &[&str])] = &[("default", &[])];
        let mut behaviour = Behaviour::new(declared(keyed(), any), 1);
        assert_eq!(behaviour.answered(0, &answer(201, "first", "/first")), []);
        for n in 0..MOST_KEYS - 2 {
            assert_eq!(behaviour.answered(1, &answer(201, &n.to_string(), "/x")), []);
        }
        assert_eq!(behaviour.answered(2, &answer(201, "first", "/second")), [(Oddity::RepeatMade, true)]);
        for n in 0..10 * MOST_KEYS {
            behaviour.answered(3, &answer(201, &format!("k{n}"), "/x"));
        }
        assert!(behaviour.made.of.len() <= MOST_KEYS && behaviour.made.order.len() <= MOST_KEYS);
        assert_eq!(behaviour.counts().2[Oddity::RepeatMade.at()], 1);
    }

    #[test]
    fn only_a_share_is_compared_and_evidence_never_waits_for_it() {
        let said = Declared { compared: 0.1, ..declared(Effect::Safe, &[("200", &[])]) };
        let mut behaviour = Behaviour::new(said, 7);
        for _ in 0..10_000 {
            behaviour.answered(0, &answer(302, "", ""));
        }
        let (answers, compared, counts) = behaviour.counts();
        assert!(answers == 10_000 && (800..1200).contains(&compared), "{compared}");
        assert_eq!(counts[Oddity::Status.at()], compared);
        assert_eq!(behaviour.answered(0, &answer(201, "", "")).first(), Some(&(Oddity::SafeMade, true)));
    }
}
