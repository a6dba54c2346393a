//! Compares the responses of an operation with its description, without I/O; time is an argument.
//!
//! Every response is checked for evidence that repeats are less harmless than the description says. Status, content type and time
//! are compared for a share of the responses only. Evidence makes the operation unsafe at once, until the process ends. Nothing
//! here makes an operation safer.
//!
//! What can be detected:
//! - A safe operation that responds with 201 or 202 has created something. The first such response is evidence.
//! - A keyed operation that responds to two requests with the same key, within the window, with 201 and different `Location`s has
//!   created two things. The last [`MAX_KEYS`] such responses of an operation are remembered, so this is detected as long as
//!   fewer others come in between.
//! - Two 201 responses for one key without a `Location` may be a replay. They are counted but are no evidence.
//! - Nothing can be detected for an operation that always responds with 200.

use std::collections::hash_map::RandomState;
use std::collections::{HashMap, VecDeque};
use std::hash::BuildHasher;

use crate::effect::Effect;
use crate::openapi::{Operation, Response};

/// A duration or a point in time, in microseconds.
type Micros = u64;

/// Maximum number of responses with a key that are remembered per operation.
pub const MAX_KEYS: usize = 1024;

/// How a response deviates from the description. A code never changes its meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Deviation {
    /// B001: the status is not described.
    Status,
    /// B002: the content type is not described for the status.
    ContentType,
    /// B003: the response took longer than declared.
    Slow,
    /// B010: the operation is declared safe, but responded with 201 or 202.
    SafeMade,
    /// B011: the operation is keyed, but a repeat created a second thing.
    RepeatMade,
    /// B012: the operation is keyed, and a repeat got a second 201 without a `Location`: a replay or a second effect.
    RepeatUnclear,
}

/// All deviations.
pub const DEVIATIONS: [Deviation; 6] = [
    Deviation::Status,
    Deviation::ContentType,
    Deviation::Slow,
    Deviation::SafeMade,
    Deviation::RepeatMade,
    Deviation::RepeatUnclear,
];

impl Deviation {
    /// The code as it is shown, such as `B001`.
    pub fn number(self) -> &'static str {
        match self {
            Deviation::Status => "B001",
            Deviation::ContentType => "B002",
            Deviation::Slow => "B003",
            Deviation::SafeMade => "B010",
            Deviation::RepeatMade => "B011",
            Deviation::RepeatUnclear => "B012",
        }
    }

    /// Whether the deviation proves that repeats are not harmless.
    pub fn proves_unsafe(self) -> bool {
        matches!(self, Deviation::SafeMade | Deviation::RepeatMade)
    }

    /// Description of the deviation.
    pub fn what(self) -> &'static str {
        match self {
            Deviation::Status => "a status that is not described",
            Deviation::ContentType => "a content type that is not described",
            Deviation::Slow => "longer than it is said to take",
            Deviation::SafeMade => "said to be safe, and it made something",
            Deviation::RepeatMade => "a repeat under its key made another thing",
            Deviation::RepeatUnclear => {
                "a repeat under its key was answered 201 again, and where is not said"
            }
        }
    }

    /// Index in [`DEVIATIONS`].
    fn at(self) -> usize {
        DEVIATIONS.iter().position(|o| *o == self).unwrap_or(0)
    }
}

/// What a description declares about the responses of an operation.
#[derive(Clone, Debug, PartialEq)]
pub struct Declared {
    /// Effect of a repeated request.
    pub effect: Effect,
    /// The described responses.
    pub responses: Vec<Response>,
    /// Maximum processing time, if declared.
    pub time: Option<Micros>,
    /// Accepted codes, of this module or of the check.
    pub accepted: Vec<String>,
    /// Share of the responses whose status, content type and time are compared, from 0 to 1.
    pub compared: f64,
}

impl Declared {
    /// The declarations of an operation.
    pub fn of(operation: &Operation, compared: f64) -> Declared {
        Declared {
            effect: operation.effect.clone(),
            responses: operation.responses.clone(),
            time: operation.time,
            accepted: operation.accepted.iter().map(|(code, ..)| code.clone()).collect(),
            compared,
        }
    }

    /// Whether a deviation is accepted.
    fn accepts(&self, deviation: Deviation) -> bool {
        let same = |code: &String| {
            // Accepting D011, a described 201 or 202, accepts such responses as well.
            code == deviation.number() || deviation == Deviation::SafeMade && code == "D011"
        };
        self.accepted.iter().any(same)
    }
}

/// A response of an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct ObservedResponse<'a> {
    /// The key of the request if the operation is keyed.
    pub key: Option<&'a str>,
    /// Status code.
    pub status: u16,
    /// Value of `Content-Type`.
    pub content_type: Option<&'a str>,
    /// Value of `Location`.
    pub location: Option<&'a str>,
    /// Time until the response arrived.
    pub took: Micros,
}

/// The newest 201 responses of a keyed operation.
#[derive(Default)]
struct KeyedResponses {
    /// Hashes keys and locations.
    hasher: RandomState,
    /// Time of the response and hash of its `Location`, by hash of the key.
    of: HashMap<u64, (Micros, Option<u64>)>,
    /// Hashes of the keys with the times of their responses, oldest first.
    order: VecDeque<(u64, Micros)>,
}

impl KeyedResponses {
    /// Records a response. Returns the hash of the `Location` of an earlier response with the same key within the window.
    fn put(&mut self, now: Micros, window: Micros, key: &str, location: Option<&str>) -> Option<Option<u64>> {
        while self.order.front().is_some_and(|(_, at)| at + window < now || self.order.len() >= MAX_KEYS) {
            let Some((key, at)) = self.order.pop_front() else { break };
            if self.of.get(&key).is_some_and(|(recorded_at, _)| *recorded_at == at) {
                self.of.remove(&key);
            }
        }
        let (key, place) = (self.hasher.hash_one(key), location.map(|l| self.hasher.hash_one(l)));
        let before = self.of.insert(key, (now, place)).map(|(_, place)| place);
        self.order.push_back((key, now));
        before
    }

    /// Hash of a text.
    fn hash(&self, text: Option<&str>) -> Option<u64> {
        text.map(|t| self.hasher.hash_one(t))
    }
}

/// Observed responses of one operation.
pub struct Behaviour {
    /// What the responses are compared with.
    declared: Declared,
    /// Number of responses.
    answers: u64,
    /// Number of responses that were compared.
    compared: u64,
    /// Number of deviations, in the order of [`DEVIATIONS`].
    counts: [u64; DEVIATIONS.len()],
    keyed_responses: KeyedResponses,
    rng: fastrand::Rng,
}

impl Behaviour {
    /// Creates the state of an operation without observed responses. `seed` makes the selection of compared responses
    /// repeatable.
    pub fn new(declared: Declared, seed: u64) -> Behaviour {
        let rng = fastrand::Rng::with_seed(seed);
        Behaviour {
            declared,
            answers: 0,
            compared: 0,
            counts: Default::default(),
            keyed_responses: KeyedResponses::default(),
            rng,
        }
    }

    /// What the responses are compared with.
    pub fn declared(&self) -> &Declared {
        &self.declared
    }

    /// Number of responses, number of compared responses, and number of each deviation in the order of [`DEVIATIONS`].
    pub fn counts(&self) -> (u64, u64, [u64; DEVIATIONS.len()]) {
        (self.answers, self.compared, self.counts)
    }

    /// Records a response. Returns its deviations, each with whether it is the first of its kind.
    pub fn record_response(
        &mut self,
        now: Micros,
        observed: &ObservedResponse<'_>,
    ) -> Vec<(Deviation, bool)> {
        self.answers += 1;
        let mut deviations = Vec::new();
        match &self.declared.effect {
            Effect::Safe if [201, 202].contains(&observed.status) => deviations.push(Deviation::SafeMade),
            Effect::Keyed { window, .. } if observed.status == 201 => {
                if let Some(before) = observed
                    .key
                    .and_then(|key| self.keyed_responses.put(now, *window, key, observed.location))
                {
                    match (before, self.keyed_responses.hash(observed.location)) {
                        (Some(a), Some(b)) if a != b => deviations.push(Deviation::RepeatMade),
                        (Some(_), Some(_)) => {}
                        _ => deviations.push(Deviation::RepeatUnclear),
                    }
                }
            }
            _ => {}
        }
        if self.rng.f64() < self.declared.compared {
            self.compared += 1;
            self.compare(observed, &mut deviations);
        }
        deviations.retain(|deviation| !self.declared.accepts(*deviation));
        deviations
            .into_iter()
            .map(|deviation| {
                let count = &mut self.counts[deviation.at()];
                *count += 1;
                (deviation, *count == 1)
            })
            .collect()
    }

    /// Adds the deviations of status, content type and time.
    fn compare(&self, observed: &ObservedResponse<'_>, deviations: &mut Vec<Deviation>) {
        if self.declared.time.is_some_and(|time| observed.took > time) {
            deviations.push(Deviation::Slow);
        }
        match described(&self.declared.responses, observed.status) {
            None => deviations.push(Deviation::Status),
            Some(response) => {
                let found = observed.content_type.map(essence);
                // Nothing to compare if the description or the response has no content type.
                let is_described =
                    |found: &str| response.content_types.iter().any(|described| range(described, found));
                if !response.content_types.is_empty() && found.is_some_and(|found| !is_described(&found)) {
                    deviations.push(Deviation::ContentType);
                }
            }
        }
    }
}

/// The described response for a status: the exact status, then its range, then `default` (OpenAPI 3.1, Responses Object).
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

/// Whether a content type matches a described one, which may be `*/*` or `text/*`.
fn range(described: &str, found: &str) -> bool {
    let described = essence(described);
    match described.split_once('/') {
        Some(("*", "*")) => true,
        Some((main, "*")) => found.split('/').next() == Some(main),
        _ => described == found,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::effect::KeyLocation;

    const SECOND: Micros = 1_000_000;

    fn declared(effect: Effect, responses: &[(&str, &[&str])]) -> Declared {
        let response = |(status, types): &(&str, &[&str])| Response {
            status: (*status).to_owned(),
            content_types: types.iter().map(|t| (*t).to_owned()).collect(),
        };
        let responses = responses.iter().map(response).collect();
        Declared { effect, responses, time: Some(SECOND), accepted: Vec::new(), compared: 1.0 }
    }

    fn keyed() -> Effect {
        Effect::Keyed { key: KeyLocation::Header("k".to_owned()), window: 30 * SECOND }
    }

    fn answer<'a>(status: u16, key: &'a str, location: &'a str) -> ObservedResponse<'a> {
        let some = |text: &'a str| (!text.is_empty()).then_some(text);
        ObservedResponse { key: some(key), status, location: some(location), ..ObservedResponse::default() }
    }

    #[test]
    fn what_is_not_described_is_told_by_its_code() {
        let rows: &[(ObservedResponse<'_>, &[Deviation])] = &[
            (
                ObservedResponse {
                    status: 200,
                    content_type: Some("Application/JSON; charset=utf-8"),
                    ..ObservedResponse::default()
                },
                &[],
            ),
            (
                ObservedResponse {
                    status: 200,
                    content_type: Some("text/html"),
                    ..ObservedResponse::default()
                },
                &[Deviation::ContentType],
            ),
            (ObservedResponse { status: 200, ..ObservedResponse::default() }, &[]),
            (
                ObservedResponse {
                    status: 404,
                    content_type: Some("text/html"),
                    ..ObservedResponse::default()
                },
                &[],
            ),
            (
                ObservedResponse {
                    status: 404,
                    content_type: Some("image/png"),
                    ..ObservedResponse::default()
                },
                &[Deviation::ContentType],
            ),
            (ObservedResponse { status: 302, ..ObservedResponse::default() }, &[Deviation::Status]),
            (ObservedResponse { status: 503, content_type: Some("x/y"), ..ObservedResponse::default() }, &[]),
            (
                ObservedResponse { status: 200, took: SECOND + 1, ..ObservedResponse::default() },
                &[Deviation::Slow],
            ),
            (
                ObservedResponse { status: 302, took: 2 * SECOND, ..ObservedResponse::default() },
                &[Deviation::Slow, Deviation::Status],
            ),
        ];
        let said = declared(
            Effect::Unsafe,
            &[("200", &["application/json"]), ("4XX", &["text/*"]), ("503", &["*/*"])],
        );
        for (observed, expected) in rows {
            let deviations = Behaviour::new(said.clone(), 1).record_response(0, observed);
            assert_eq!(deviations.iter().map(|(o, _)| *o).collect::<Vec<_>>(), *expected, "{observed:?}");
        }
    }

    #[test]
    fn evidence_is_told_from_replays_and_from_what_is_unclear() {
        use Deviation::{RepeatMade, RepeatUnclear, SafeMade};
        let any: &[(&str, &[&str])] = &[("default", &[])];
        // Responses a second apart, with the expected deviation of each.
        type Row<'a> = (Effect, &'a [(u16, &'a str, &'a str, Option<Deviation>)]);
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
                let deviations =
                    behaviour.record_response(at as u64 * SECOND, &answer(*status, key, location));
                assert_eq!(
                    deviations.first().map(|(o, _)| *o),
                    *expected,
                    "{effect:?}: answer {at} of {answers:?}"
                );
            }
        }
        // After the window, the same key belongs to another request.
        let mut behaviour = Behaviour::new(declared(keyed(), any), 1);
        assert_eq!(behaviour.record_response(0, &answer(201, "a", "/1")), []);
        assert_eq!(behaviour.record_response(31 * SECOND, &answer(201, "a", "/2")), []);
        // An accepted deviation is no evidence.
        let accepted = Declared { accepted: vec!["D011".to_owned()], ..declared(Effect::Safe, any) };
        assert_eq!(Behaviour::new(accepted, 1).record_response(0, &answer(201, "", "")), []);
    }

    #[test]
    fn memory_is_bounded_and_a_repeat_is_known_behind_as_many_others_as_it_holds() {
        let any: &[(&str, &[&str])] = &[("default", &[])];
        let mut behaviour = Behaviour::new(declared(keyed(), any), 1);
        assert_eq!(behaviour.record_response(0, &answer(201, "first", "/first")), []);
        for n in 0..MAX_KEYS - 2 {
            assert_eq!(behaviour.record_response(1, &answer(201, &n.to_string(), "/x")), []);
        }
        assert_eq!(
            behaviour.record_response(2, &answer(201, "first", "/second")),
            [(Deviation::RepeatMade, true)]
        );
        for n in 0..10 * MAX_KEYS {
            behaviour.record_response(3, &answer(201, &format!("k{n}"), "/x"));
        }
        assert!(
            behaviour.keyed_responses.of.len() <= MAX_KEYS
                && behaviour.keyed_responses.order.len() <= MAX_KEYS
        );
        assert_eq!(behaviour.counts().2[Deviation::RepeatMade.at()], 1);
    }

    #[test]
    fn only_a_share_is_compared_and_evidence_never_waits_for_it() {
        let said = Declared { compared: 0.1, ..declared(Effect::Safe, &[("200", &[])]) };
        let mut behaviour = Behaviour::new(said, 7);
        for _ in 0..10_000 {
            behaviour.record_response(0, &answer(302, "", ""));
        }
        let (answers, compared, counts) = behaviour.counts();
        assert!(answers == 10_000 && (800..1200).contains(&compared), "{compared}");
        assert_eq!(counts[Deviation::Status.at()], compared);
        assert_eq!(
            behaviour.record_response(0, &answer(201, "", "")).first(),
            Some(&(Deviation::SafeMade, true))
        );
    }
}
