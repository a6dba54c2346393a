//! The extensions of operations, which are the same in OpenAPI and AsyncAPI. They are specified in docs/DESCRIPTIONS.md.

use crate::effect::{Effect, EffectSource, KeyLocation, SAFE_METHODS};
use crate::findings::{Code, Finding};
use crate::openapi::{Operation, Parameter};
use crate::refs::{Documents, Place};
use crate::tree::Value;

/// Standard headers for idempotency keys: draft-ietf-httpapi-idempotency-key-header, and Standard Webhooks for deliveries of
/// messages.
pub(crate) const KEY_HEADERS: [&str; 2] = ["idempotency-key", "webhook-id"];
/// Names of all extensions.
pub const EXTENSIONS: [&str; 10] = [
    "x-sloeline-effect",
    "x-sloeline-key",
    "x-sloeline-window",
    "x-sloeline-time",
    "x-sloeline-body-limit",
    "x-sloeline-worth",
    "x-sloeline-tenant",
    "x-sloeline-calls",
    "x-sloeline-prefix",
    "x-sloeline-accept",
];

/// Reads one description and collects its findings.
pub(crate) struct Reader<'a, 'b> {
    /// The documents of the folder.
    pub(crate) documents: &'a Documents<'b>,
    /// The findings so far.
    pub(crate) findings: Vec<Finding>,
}

/// Parses a duration such as `250ms`. Returns microseconds.
fn span(text: &str) -> Option<u64> {
    let (number, unit) = text.split_at(text.find(|c: char| c.is_ascii_alphabetic())?);
    let factor = [("ms", 1e3), ("s", 1e6), ("min", 60e6), ("h", 3600e6)].iter().find(|(u, _)| *u == unit)?.1;
    let plain = !number.is_empty() && number.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let span = number.parse::<f64>().ok().filter(|_| plain)? * factor;
    (span > 0.0 && span < 1e15).then_some(span.round() as u64)
}

/// Parses a size such as `64KiB`. Returns bytes.
fn size(text: &str) -> Option<u64> {
    let (number, unit) = text.split_at(text.find(|c: char| c.is_ascii_alphabetic())?);
    let factor = [("B", 1), ("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1_u64 << 30)]
        .iter()
        .find(|(u, _)| *u == unit)?
        .1;
    number.parse::<u64>().ok()?.checked_mul(factor)
}

impl Reader<'_, '_> {
    /// Adds a finding at the location of a value.
    pub(crate) fn add_finding(&mut self, code: Code, place: &Place, what: impl Into<String>) {
        self.findings.push(Finding::at(code, place, what));
    }

    /// Resolves references; a failure is added to the findings.
    pub(crate) fn resolve(&mut self, place: &Place) -> Option<Place> {
        match self.documents.resolve(place) {
            Ok(place) => Some(place),
            Err(why) => {
                self.add_finding(Code::Reference, place, why);
                None
            }
        }
    }

    /// Fills in the fields of an operation that its extensions define.
    pub(crate) fn finish(&mut self, operation: Operation) -> Operation {
        let place = &operation.place;
        for (key, extension) in place.entries().filter(|(key, _)| key.starts_with("x-sloeline-")) {
            if !EXTENSIONS.contains(&key) {
                let what = format!("found {key}, expected one of {}", EXTENSIONS.join(", "));
                self.add_finding(Code::Extension, &extension, what);
            }
        }
        let calls = place.get("x-sloeline-calls");
        let mut called = Vec::new();
        for call in calls.iter().flat_map(|list| list.items().collect::<Vec<_>>()) {
            match call.node.text() {
                Some(id) => called.push((id.to_owned(), call.clone())),
                None => {
                    let what = format!(
                        "found {} in x-sloeline-calls, expected an operationId",
                        call.node.describe()
                    );
                    self.add_finding(Code::Extension, &call, what);
                }
            }
        }
        Operation {
            time: self.extension(place, "x-sloeline-time", "a span such as \"250ms\"", span),
            body_limit: self.extension(place, "x-sloeline-body-limit", "a size such as \"64KiB\"", size),
            worth: self.worth(place),
            tenant: self.extension(place, "x-sloeline-tenant", "a text", |t| Some(t.to_owned())),
            calls: called,
            accepted: self.accepted(place),
            ..operation
        }
    }

    /// Reads an extension whose value is a text; an invalid value is added to the findings.
    fn extension<T>(
        &mut self,
        of: &Place,
        key: &str,
        expected: &str,
        read: fn(&str) -> Option<T>,
    ) -> Option<T> {
        let place = of.get(key)?;
        let value = place.node.text().and_then(read);
        if value.is_none() {
            let what = format!("found {key} {}, expected {expected}", place.node.describe());
            self.add_finding(Code::Extension, &place, what);
        }
        value
    }

    /// Reads `x-sloeline-worth`.
    fn worth(&mut self, of: &Place) -> Option<f64> {
        let place = of.get("x-sloeline-worth")?;
        match place.node.value {
            Value::Number(worth) if worth >= 0.0 => Some(worth),
            _ => {
                let what =
                    format!("found x-sloeline-worth {}, expected a number from 0", place.node.describe());
                self.add_finding(Code::Extension, &place, what);
                None
            }
        }
    }

    /// Reads `x-sloeline-accept`: codes with reasons and their locations.
    fn accepted(&mut self, of: &Place) -> Vec<(String, String, Place)> {
        let mut accepted = Vec::new();
        for place in of.get("x-sloeline-accept").iter().flat_map(|list| list.items().collect::<Vec<_>>()) {
            match (place.text("code"), place.text("reason").filter(|r| !r.trim().is_empty())) {
                (Some(code), Some(reason)) => {
                    accepted.push((code.to_owned(), reason.to_owned(), place.clone()))
                }
                _ => self.add_finding(Code::Accepted, &place, "found no code or no reason, expected both"),
            }
        }
        accepted
    }

    /// Where requests carry the key: as `x-sloeline-key` says, or in one of `key_headers` that is a declared parameter.
    fn key_location(
        &mut self,
        place: &Place,
        parameters: &[Parameter],
        key_headers: &[&str],
    ) -> Option<KeyLocation> {
        if let Some(place) = place.get("x-sloeline-key") {
            let text = place.node.text().unwrap_or_default();
            let key = match text.split_once(':') {
                Some(("header", name)) if !name.is_empty() => Some(KeyLocation::Header(name.to_lowercase())),
                Some(("query", name)) if !name.is_empty() => Some(KeyLocation::Query(name.to_owned())),
                Some(("path", name)) if !name.is_empty() => Some(KeyLocation::Path(name.to_owned())),
                _ => None,
            };
            if key.is_none() {
                let what = format!(
                    "found x-sloeline-key {}, expected header:, query: or path:NAME",
                    place.node.describe()
                );
                self.add_finding(Code::Extension, &place, what);
            }
            return key;
        }
        let declared = |name: &&&str| parameters.iter().any(|p| p.within == "header" && p.name == **name);
        key_headers.iter().find(declared).map(|name| KeyLocation::Header((*name).to_owned()))
    }

    /// The effect of a repeated request, derived from the extensions, the method, and declared `key_headers`.
    pub(crate) fn effect(
        &mut self,
        method: &str,
        has_body: bool,
        place: &Place,
        parameters: &[Parameter],
        key_headers: &[&str],
    ) -> (Effect, EffectSource) {
        let window = self.extension(place, "x-sloeline-window", "a span such as \"10s\"", span);
        let key = self.key_location(place, parameters, key_headers);
        let Some(said) = place.get("x-sloeline-effect") else {
            return match (key, window) {
                _ if SAFE_METHODS.contains(&method) && !has_body => (Effect::Safe, EffectSource::Method),
                // A key is only relied on if the description says how long it is remembered.
                (Some(key), Some(window)) => (Effect::Keyed { key, window }, EffectSource::Extension),
                _ => (Effect::Unsafe, EffectSource::Silence),
            };
        };
        match (said.node.text(), key, window) {
            (Some("safe"), ..) => (Effect::Safe, EffectSource::Extension),
            (Some("unsafe"), ..) => (Effect::Unsafe, EffectSource::Extension),
            (Some("keyed"), Some(key), Some(window)) => {
                (Effect::Keyed { key, window }, EffectSource::Extension)
            }
            (Some("keyed"), None, _) => {
                self.add_finding(
                    Code::KeyOptional,
                    &said,
                    "found keyed without a key, expected x-sloeline-key or Idempotency-Key",
                );
                (Effect::Unsafe, EffectSource::Extension)
            }
            (Some("keyed"), _, None) => {
                self.add_finding(
                    Code::KeyWindow,
                    &said,
                    "found keyed without x-sloeline-window, expected a span",
                );
                (Effect::Unsafe, EffectSource::Extension)
            }
            _ => {
                let what = format!(
                    "found x-sloeline-effect {}, expected safe, keyed or unsafe",
                    said.node.describe()
                );
                self.add_finding(Code::Extension, &said, what);
                (Effect::Unsafe, EffectSource::Silence)
            }
        }
    }
}
