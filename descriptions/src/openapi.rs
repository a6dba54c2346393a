//! Operations of an OpenAPI description, 3.0 and 3.1. Its `webhooks` and `callbacks` are requests that the described service
//! sends: none of them is a route to it.

use crate::effect::{Because, Effect};
use crate::extensions::{KEYS, Reader};
use crate::findings::{Code, Finding};
use crate::refs::{Documents, Place};
use crate::tree::Value;

/// Methods of a path item, as the specification spells them.
const METHODS: [&str; 8] = ["get", "put", "post", "delete", "options", "head", "patch", "trace"];
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

/// A described answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// `200`, `4XX` or `default`.
    pub status: String,
    /// Content types, as they stand; none where it says nothing of its body.
    pub types: Vec<String>,
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
    /// Its answers, each status once.
    pub responses: Vec<Response>,
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
    /// Operations that it calls while it runs, by their ids.
    pub calls: Vec<(String, Place)>,
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
    let operations = match root.get("asyncapi") {
        Some(_) => reader.received(&root),
        None => reader.operations(&root),
    };
    (operations, reader.findings)
}

impl Reader<'_, '_> {
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
            // A path item may stand beside its $ref: what it says itself comes first, or an effect that is denied there would
            // be read as the other item has it.
            let sides = if item.node.get("$ref").is_some() { vec![item, resolved] } else { vec![resolved] };
            let bases = sides.iter().find_map(|side| self.bases(side)).unwrap_or_else(|| bases.clone());
            let mut common: Vec<Parameter> = Vec::new();
            for side in &sides {
                for parameter in self.parameters(side) {
                    if !common.iter().any(|p| p.name == parameter.name && p.within == parameter.within) {
                        common.push(parameter);
                    }
                }
            }
            for method in METHODS {
                let Some(place) = sides.iter().find_map(|side| side.get(method)) else { continue };
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
        let responses = self.responses(&place);
        let method = method.to_ascii_uppercase();
        let (effect, because) = self.effect(&method, has_body, &place, &parameters, &KEYS[..1]);
        self.finish(Operation {
            id: place.text("operationId").map(str::to_owned),
            paths,
            effect,
            because,
            has_body,
            responses,
            parameters,
            time: None,
            body_limit: None,
            worth: None,
            tenant: None,
            calls: Vec::new(),
            accepted: Vec::new(),
            method,
            place,
        })
    }

    fn responses(&mut self, place: &Place) -> Vec<Response> {
        let mut responses = Vec::new();
        for (status, response) in place.get("responses").iter().flat_map(|r| r.entries().collect::<Vec<_>>())
        {
            if status.starts_with("x-") {
                continue;
            }
            let Some(found) = self.resolve(&response) else { continue };
            let status = status.to_ascii_uppercase().replace("DEFAULT", "default");
            let types = found
                .get("content")
                .iter()
                .flat_map(|c| c.entries().collect::<Vec<_>>())
                .map(|(name, _)| name.to_owned())
                .collect();
            responses.push(Response { status, types });
        }
        responses
    }
}
