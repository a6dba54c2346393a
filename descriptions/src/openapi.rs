//! Operations of an OpenAPI description, 3.0 and 3.1.

use crate::effect::{Because, Effect, KeyAt, SAFE_METHODS};
use crate::findings::{Code, Finding};
use crate::refs::{Documents, Place};
use crate::tree::Value;

/// Methods of a path item, as the specification spells them.
const METHODS: [&str; 8] = ["get", "put", "post", "delete", "options", "head", "patch", "trace"];
/// The header by which a request is known (draft-ietf-httpapi-idempotency-key-header).
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Extensions that are known.
const EXTENSIONS: [&str; 8] = [
    "x-sloeline-effect",
    "x-sloeline-key",
    "x-sloeline-window",
    "x-sloeline-time",
    "x-sloeline-body-limit",
    "x-sloeline-worth",
    "x-sloeline-tenant",
    "x-sloeline-accept",
];

/// A parameter of an operation.
#[derive(Clone, Debug)]
pub struct Parameter {
    /// Its name; headers in lower case.
    pub name: String,
    /// `path`, `query`, `header` or `cookie`.
    pub within: String,
    /// Requests without it are wrong.
    pub required: bool,
    /// Where it is declared.
    pub place: Place,
}

/// An operation.
#[derive(Clone, Debug)]
pub struct Operation {
    /// Its `operationId`.
    pub id: Option<String>,
    /// In capitals.
    pub method: String,
    /// The template under each server's base path.
    pub paths: Vec<String>,
    /// What a repeat does.
    pub effect: Effect,
    /// Why that is believed.
    pub because: Because,
    /// It carries a body.
    pub has_body: bool,
    /// Statuses of its responses: `200`, `4XX`, `default`.
    pub statuses: Vec<String>,
    /// Its parameters, those of the path item among them.
    pub parameters: Vec<Parameter>,
    /// How long it takes, in microseconds.
    pub time: Option<u64>,
    /// Most bytes of a body.
    pub body_limit: Option<u64>,
    /// What it is worth beside others.
    pub worth: Option<f64>,
    /// Whose requests they are.
    pub tenant: Option<String>,
    /// Findings that are accepted, with the reason.
    pub accepted: Vec<(String, String, Place)>,
    /// Where it stands.
    pub place: Place,
}

/// Reads a description; what is wrong on the way is found, and as much as can be read is.
pub fn read(documents: &Documents<'_>, file: &str) -> (Vec<Operation>, Vec<Finding>) {
    let mut reader = Reader { documents, findings: Vec::new() };
    let root = match documents.root(file) {
        Ok(root) => root,
        Err(why) => {
            // "FILE:LINE: what"
            let rest = why.strip_prefix(file).and_then(|r| r.strip_prefix(':'));
            let line = rest.and_then(|r| r.split(':').next()?.parse().ok()).unwrap_or(1);
            let (file, pointer) = (file.to_owned(), String::new());
            return (
                Vec::new(),
                vec![Finding { code: Code::Unreadable, file, line, pointer, what: why, accepted: None }],
            );
        }
    };
    let operations = reader.operations(&root);
    (operations, reader.findings)
}

struct Reader<'a, 'b> {
    documents: &'a Documents<'b>,
    findings: Vec<Finding>,
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
    fn find(&mut self, code: Code, place: &Place, what: impl Into<String>) {
        self.findings.push(Finding::at(code, place, what));
    }

    fn resolve(&mut self, place: &Place) -> Option<Place> {
        match self.documents.resolve(place) {
            Ok(place) => Some(place),
            Err(why) => {
                self.find(Code::Reference, place, why);
                None
            }
        }
    }

    fn operations(&mut self, root: &Place) -> Vec<Operation> {
        let version = root.text("openapi").unwrap_or_default();
        if !["3.0.", "3.1."].iter().any(|v| version.starts_with(v)) {
            let found = root.node.get("openapi").map_or("nothing".to_owned(), |n| n.shown());
            self.find(Code::Version, root, format!("found openapi {found}, expected 3.0.x or 3.1.x"));
            return Vec::new();
        }
        let bases = self.bases(root).unwrap_or_else(|| vec![String::new()]);
        let mut operations = Vec::new();
        let Some(paths) = root.get("paths") else {
            // 3.1 allows a description of webhooks or components only.
            if version.starts_with("3.0.") {
                self.find(Code::Shape, root, "found no paths, expected a table");
            }
            return operations;
        };
        for (path, item) in paths.entries() {
            if path.starts_with("x-") {
                continue;
            }
            if !path.starts_with('/') {
                self.find(
                    Code::Shape,
                    &item,
                    format!("found path {path:?}, expected one that begins with /"),
                );
                continue;
            }
            let Some(resolved) = self.resolve(&item) else { continue };
            // A path item may have a $ref and siblings: those of the item itself come first.
            let bases = self.bases(&resolved).unwrap_or_else(|| bases.clone());
            let common = self.parameters(&resolved);
            for method in METHODS {
                let Some(place) = resolved.get(method) else { continue };
                if !matches!(place.node.value, Value::Map(_)) {
                    let found = place.node.shown();
                    self.find(Code::Shape, &place, format!("found {found}, expected an operation"));
                    continue;
                }
                let bases = self.bases(&place).unwrap_or_else(|| bases.clone());
                let paths = bases.iter().map(|base| format!("{base}{path}")).collect();
                let operation = self.operation(method, paths, place, &common);
                operations.push(operation);
            }
        }
        operations
    }

    /// Base paths of the servers that are named here, without a slash at the end; none where none are.
    fn bases(&mut self, place: &Place) -> Option<Vec<String>> {
        let servers = place.get("servers")?;
        let mut bases = Vec::new();
        for server in servers.items() {
            let Some(url) = server.text("url") else {
                self.find(Code::Shape, &server, "found a server without url, expected one");
                continue;
            };
            let mut url = url.to_owned();
            if let Some(variables) = server.get("variables") {
                for (name, variable) in variables.entries() {
                    let value = variable.text("default").map(str::to_owned);
                    let shown = variable.node.get("default").map(|n| n.shown());
                    let value = value.or(shown.filter(|s| !s.starts_with('a'))).unwrap_or_default();
                    url = url.replace(&format!("{{{name}}}"), &value);
                }
            }
            let path = match url.split_once("://") {
                Some((_, rest)) => rest.find('/').map_or("", |at| &rest[at..]),
                None => url.as_str(),
            };
            let path = path.split(['?', '#']).next().unwrap_or_default().trim_end_matches('/').to_owned();
            if path.contains('{') {
                self.find(
                    Code::Path,
                    &server,
                    format!("found base path {path:?}, expected a variable with a default"),
                );
            } else if path.is_empty() || path.starts_with('/') {
                bases.push(path);
            } else {
                self.find(
                    Code::Path,
                    &server,
                    format!("found server {url:?}, expected an address or a path from /"),
                );
            }
        }
        bases.sort_unstable();
        bases.dedup();
        (!bases.is_empty()).then_some(bases)
    }

    fn parameters(&mut self, place: &Place) -> Vec<Parameter> {
        let mut parameters = Vec::new();
        for item in place.get("parameters").iter().flat_map(|list| list.items().collect::<Vec<_>>()) {
            let Some(found) = self.resolve(&item) else { continue };
            let (Some(name), Some(within)) = (found.text("name"), found.text("in")) else {
                self.find(Code::Shape, &found, "found a parameter without name or in, expected both");
                continue;
            };
            if !["path", "query", "header", "cookie"].contains(&within) {
                let what = format!("found in: {within:?}, expected path, query, header or cookie");
                self.find(Code::Shape, &found, what);
                continue;
            }
            let name = if within == "header" { name.to_lowercase() } else { name.to_owned() };
            let required = matches!(found.node.get("required").map(|n| &n.value), Some(Value::Bool(true)));
            let within = within.to_owned();
            if parameters.iter().any(|p: &Parameter| p.name == name && p.within == within) {
                self.find(
                    Code::Parameters,
                    &found,
                    format!("found parameter {name:?} in {within} twice, expected once"),
                );
                continue;
            }
            parameters.push(Parameter { name, within, required, place: found });
        }
        parameters
    }

    fn operation(
        &mut self,
        method: &str,
        paths: Vec<String>,
        place: Place,
        common: &[Parameter],
    ) -> Operation {
        let mut parameters = self.parameters(&place);
        for parameter in common {
            // The operation's own word comes first.
            if !parameters.iter().any(|p| p.name == parameter.name && p.within == parameter.within) {
                parameters.push(parameter.clone());
            }
        }
        let body = place.get("requestBody");
        let has_body = body.is_some_and(|body| self.resolve(&body).is_some());
        let mut statuses = Vec::new();
        for (status, response) in place.get("responses").iter().flat_map(|r| r.entries().collect::<Vec<_>>())
        {
            if !status.starts_with("x-") && self.resolve(&response).is_some() {
                statuses.push(status.to_ascii_uppercase().replace("DEFAULT", "default"));
            }
        }
        for (key, extension) in place.entries().filter(|(key, _)| key.starts_with("x-sloeline-")) {
            if !EXTENSIONS.contains(&key) {
                let what = format!("found {key}, expected one of {}", EXTENSIONS.join(", "));
                self.find(Code::Extension, &extension, what);
            }
        }
        let method = method.to_ascii_uppercase();
        let window = self.extension(&place, "x-sloeline-window", "a span such as \"10s\"", span);
        let (effect, because) = self.effect(&method, has_body, window, &place, &parameters);
        Operation {
            id: place.text("operationId").map(str::to_owned),
            paths,
            effect,
            because,
            has_body,
            statuses,
            parameters,
            time: self.extension(&place, "x-sloeline-time", "a span such as \"250ms\"", span),
            body_limit: self.extension(&place, "x-sloeline-body-limit", "a size such as \"64KiB\"", size),
            worth: self.worth(&place),
            tenant: self.extension(&place, "x-sloeline-tenant", "a text", |t| Some(t.to_owned())),
            accepted: self.accepted(&place),
            method,
            place,
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
    fn key(&mut self, place: &Place, parameters: &[Parameter]) -> Option<KeyAt> {
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
        let declared = parameters.iter().any(|p| p.within == "header" && p.name == IDEMPOTENCY_KEY);
        declared.then(|| KeyAt::Header(IDEMPOTENCY_KEY.to_owned()))
    }

    fn effect(
        &mut self,
        method: &str,
        has_body: bool,
        window: Option<u64>,
        place: &Place,
        parameters: &[Parameter],
    ) -> (Effect, Because) {
        let key = self.key(place, parameters);
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
