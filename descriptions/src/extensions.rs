//! The extensions that an operation may have, in descriptions of either kind; docs/DESCRIPTIONS.md specifies them.

use crate::effect::{Because, Effect, KeyAt, SAFE_METHODS};
use crate::findings::{Code, Finding};
use crate::openapi::{Operation, Parameter};
use crate::refs::{Documents, Place};
use crate::tree::Value;

/// The headers by which a request is known: draft-ietf-httpapi-idempotency-key-header, and for deliveries of messages
/// Standard Webhooks.
pub(crate) const KEYS: [&str; 2] = ["idempotency-key", "webhook-id"];
/// Extensions that are known.
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

pub(crate) struct Reader<'a, 'b> {
    pub(crate) documents: &'a Documents<'b>,
    pub(crate) findings: Vec<Finding>,
}

/// A span such as `250ms`, in microseconds.
fn span(text: &str) -> Option<u64> {
    let (number, unit) = text.split_at(text.find(|c: char| c.is_ascii_alphabetic())?);
    let factor = [("ms", 1e3), ("s", 1e6), ("min", 60e6), ("h", 3600e6)].iter().find(|(u, _)| *u == unit)?.1;
    let plain = !number.is_empty() && number.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let span = number.parse::<f64>().ok().filter(|_| plain)? * factor;
    (span > 0.0 && span < 1e15).then_some(span.round() as u64)
}

/// A size such as `64KiB`, in bytes.
fn size(text: &str) -> Option<u64> {
    let (number, unit) = text.split_at(text.find(|c: char| c.is_ascii_alphabetic())?);
    let factor = [("B", 1), ("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1_u64 << 30)]
        .iter()
        .find(|(u, _)| *u == unit)?
        .1;
    number.parse::<u64>().ok()?.checked_mul(factor)
}

impl Reader<'_, '_> {
    pub(crate) fn find(&mut self, code: Code, place: &Place, what: impl Into<String>) {
        self.findings.push(Finding::at(code, place, what));
    }

    pub(crate) fn resolve(&mut self, place: &Place) -> Option<Place> {
        match self.documents.resolve(place) {
            Ok(place) => Some(place),
            Err(why) => {
                self.find(Code::Reference, place, why);
                None
            }
        }
    }

    /// Puts what the extensions at an operation's place say into it.
    pub(crate) fn finish(&mut self, operation: Operation) -> Operation {
        let place = &operation.place;
        for (key, extension) in place.entries().filter(|(key, _)| key.starts_with("x-sloeline-")) {
            if !EXTENSIONS.contains(&key) {
                let what = format!("found {key}, expected one of {}", EXTENSIONS.join(", "));
                self.find(Code::Extension, &extension, what);
            }
        }
        let calls = place.get("x-sloeline-calls");
        let mut called = Vec::new();
        for call in calls.iter().flat_map(|list| list.items().collect::<Vec<_>>()) {
            match call.node.text() {
                Some(id) => called.push((id.to_owned(), call.clone())),
                None => {
                    let what =
                        format!("found {} in x-sloeline-calls, expected an operationId", call.node.shown());
                    self.find(Code::Extension, &call, what);
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
            let what = format!("found {key} {}, expected {expected}", place.node.shown());
            self.find(Code::Extension, &place, what);
        }
        value
    }

    fn worth(&mut self, of: &Place) -> Option<f64> {
        let place = of.get("x-sloeline-worth")?;
        match place.node.value {
            Value::Number(worth) if worth >= 0.0 => Some(worth),
            _ => {
                let what = format!("found x-sloeline-worth {}, expected a number from 0", place.node.shown());
                self.find(Code::Extension, &place, what);
                None
            }
        }
    }

    fn accepted(&mut self, of: &Place) -> Vec<(String, String, Place)> {
        let mut accepted = Vec::new();
        for place in of.get("x-sloeline-accept").iter().flat_map(|list| list.items().collect::<Vec<_>>()) {
            match (place.text("code"), place.text("reason").filter(|r| !r.trim().is_empty())) {
                (Some(code), Some(reason)) => {
                    accepted.push((code.to_owned(), reason.to_owned(), place.clone()))
                }
                _ => self.find(Code::Accepted, &place, "found no code or no reason, expected both"),
            }
        }
        accepted
    }

    /// Where the key stands: as the extension says, or in the header that is made for it, if that is declared.
    fn key(&mut self, place: &Place, parameters: &[Parameter], made_for_it: &[&str]) -> Option<KeyAt> {
        if let Some(place) = place.get("x-sloeline-key") {
            let text = place.node.text().unwrap_or_default();
            let key = match text.split_once(':') {
                Some(("header", name)) if !name.is_empty() => Some(KeyAt::Header(name.to_lowercase())),
                Some(("query", name)) if !name.is_empty() => Some(KeyAt::Query(name.to_owned())),
                Some(("path", name)) if !name.is_empty() => Some(KeyAt::Path(name.to_owned())),
                _ => None,
            };
            if key.is_none() {
                let what = format!(
                    "found x-sloeline-key {}, expected header:, query: or path:NAME",
                    place.node.shown()
                );
                self.find(Code::Extension, &place, what);
            }
            return key;
        }
        let declared = |name: &&&str| parameters.iter().any(|p| p.within == "header" && p.name == **name);
        made_for_it.iter().find(declared).map(|name| KeyAt::Header((*name).to_owned()))
    }

    /// What a repeat does, by the extensions at a place, the method, and keys in headers that are made for it.
    pub(crate) fn effect(
        &mut self,
        method: &str,
        has_body: bool,
        place: &Place,
        parameters: &[Parameter],
        made_for_it: &[&str],
    ) -> (Effect, Because) {
        let window = self.extension(place, "x-sloeline-window", "a span such as \"10s\"", span);
        let key = self.key(place, parameters, made_for_it);
        let Some(said) = place.get("x-sloeline-effect") else {
            return match (key, window) {
                _ if SAFE_METHODS.contains(&method) && !has_body => (Effect::Safe, Because::Method),
                // A declared key alone does not say for how long it is remembered.
                (Some(key), Some(window)) => (Effect::Keyed { key, window }, Because::Extension),
                _ => (Effect::Unsafe, Because::Silence),
            };
        };
        match (said.node.text(), key, window) {
            (Some("safe"), ..) => (Effect::Safe, Because::Extension),
            (Some("unsafe"), ..) => (Effect::Unsafe, Because::Extension),
            (Some("keyed"), Some(key), Some(window)) => (Effect::Keyed { key, window }, Because::Extension),
            (Some("keyed"), None, _) => {
                self.find(
                    Code::KeyOptional,
                    &said,
                    "found keyed without a key, expected x-sloeline-key or Idempotency-Key",
                );
                (Effect::Unsafe, Because::Extension)
            }
            (Some("keyed"), _, None) => {
                self.find(Code::KeyWindow, &said, "found keyed without x-sloeline-window, expected a span");
                (Effect::Unsafe, Because::Extension)
            }
            _ => {
                let what =
                    format!("found x-sloeline-effect {}, expected safe, keyed or unsafe", said.node.shown());
                self.find(Code::Extension, &said, what);
                (Effect::Unsafe, Because::Silence)
            }
        }
    }
}
