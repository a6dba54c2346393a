//! Reads the operations of an OpenAPI 3.0 or 3.1 description. `webhooks` and `callbacks` are ignored, because the described
//! service sends these requests.

use crate::effect::{Effect, EffectSource};
use crate::extensions::{KEY_HEADERS, Reader};
use crate::findings::{Code, Finding};
use crate::refs::{Documents, Place};
use crate::tree::Value;

/// Methods of a path item, as the specification spells them.
const METHODS: [&str; 8] = ["get", "put", "post", "delete", "options", "head", "patch", "trace"];

/// A parameter of an operation.
#[derive(Clone, Debug)]
pub struct Parameter {
    /// Name of the parameter; in lower case for a header.
    pub name: String,
    /// Where requests carry it: `path`, `query`, `header` or `cookie`.
    pub within: String,
    /// Whether every request must have it.
    pub required: bool,
    /// The declaration.
    pub place: Place,
}

/// A described response.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// Status code, range or default: `200`, `4XX` or `default`.
    pub status: String,
    /// Content types as written; empty if the body is not described.
    pub content_types: Vec<String>,
}

/// An operation of a description.
#[derive(Clone, Debug)]
pub struct Operation {
    /// The `operationId`.
    pub id: Option<String>,
    /// Method in capital letters.
    pub method: String,
    /// Path templates: the operation's path under the base path of each server.
    pub paths: Vec<String>,
    /// Effect of a repeated request.
    pub effect: Effect,
    /// What the effect was derived from.
    pub effect_source: EffectSource,
    /// Whether requests have a body.
    pub has_body: bool,
    /// The described responses, with unique statuses.
    pub responses: Vec<Response>,
    /// The parameters, including those of the path item.
    pub parameters: Vec<Parameter>,
    /// Maximum processing time in microseconds, if declared.
    pub time: Option<u64>,
    /// Maximum size of a request body in bytes, if declared.
    pub body_limit: Option<u64>,
    /// Value of a request relative to other operations, if declared.
    pub worth: Option<f64>,
    /// Tenant that the requests belong to, if declared.
    pub tenant: Option<String>,
    /// Operation ids of the operations that this one calls.
    pub calls: Vec<(String, Place)>,
    /// Codes of accepted findings, with the reason and its location.
    pub accepted: Vec<(String, String, Place)>,
    /// The operation object.
    pub place: Place,
}

/// Reads the operations of a description. Problems are returned as findings, and reading continues where possible.
pub fn read(documents: &Documents<'_>, file: &str) -> (Vec<Operation>, Vec<Finding>) {
    let mut reader = Reader { documents, findings: Vec::new() };
    let root = match documents.root(file) {
        Ok(root) => root,
        Err(why) => {
            // The message has the form "FILE:LINE: message".
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
        Some(_) => reader.receive_operations(&root),
        None => reader.operations(&root),
    };
    (operations, reader.findings)
}

impl Reader<'_, '_> {
    /// Reads the operations of an OpenAPI description.
    fn operations(&mut self, root: &Place) -> Vec<Operation> {
        let version = root.text("openapi").unwrap_or_default();
        if !["3.0.", "3.1."].iter().any(|v| version.starts_with(v)) {
            let found = root.node.get("openapi").map_or("nothing".to_owned(), |n| n.describe());
            self.add_finding(Code::Version, root, format!("found openapi {found}, expected 3.0.x or 3.1.x"));
            return Vec::new();
        }
        let bases = self.bases(root).unwrap_or_else(|| vec![String::new()]);
        let mut operations = Vec::new();
        let Some(paths) = root.get("paths") else {
            // Version 3.1 allows descriptions of webhooks or components only.
            if version.starts_with("3.0.") {
                self.add_finding(Code::Shape, root, "found no paths, expected a table");
            }
            return operations;
        };
        for (path, item) in paths.entries() {
            if path.starts_with("x-") {
                continue;
            }
            if !path.starts_with('/') {
                self.add_finding(
                    Code::Shape,
                    &item,
                    format!("found path {path:?}, expected one that begins with /"),
                );
                continue;
            }
            let Some(resolved) = self.resolve(&item) else { continue };
            // A path item may have fields besides its $ref. They take precedence: otherwise an operation that is declared
            // unsafe here could be read as safe from the other item.
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
                    let found = place.node.describe();
                    self.add_finding(Code::Shape, &place, format!("found {found}, expected an operation"));
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

    /// Base paths of the servers listed here, without a trailing slash; `None` if there are none.
    fn bases(&mut self, place: &Place) -> Option<Vec<String>> {
        let servers = place.get("servers")?;
        let mut bases = Vec::new();
        for server in servers.items() {
            let Some(url) = server.text("url") else {
                self.add_finding(Code::Shape, &server, "found a server without url, expected one");
                continue;
            };
            let mut url = url.to_owned();
            if let Some(variables) = server.get("variables") {
                for (name, variable) in variables.entries() {
                    let value = variable.text("default").map(str::to_owned);
                    let shown = variable.node.get("default").map(|n| n.describe());
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
                self.add_finding(
                    Code::Path,
                    &server,
                    format!("found base path {path:?}, expected a variable with a default"),
                );
            } else if path.is_empty() || path.starts_with('/') {
                bases.push(path);
            } else {
                self.add_finding(
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

    /// Reads the parameters listed here.
    fn parameters(&mut self, place: &Place) -> Vec<Parameter> {
        let mut parameters = Vec::new();
        for item in place.get("parameters").iter().flat_map(|list| list.items().collect::<Vec<_>>()) {
            let Some(found) = self.resolve(&item) else { continue };
            let (Some(name), Some(within)) = (found.text("name"), found.text("in")) else {
                self.add_finding(Code::Shape, &found, "found a parameter without name or in, expected both");
                continue;
            };
            if !["path", "query", "header", "cookie"].contains(&within) {
                let what = format!("found in: {within:?}, expected path, query, header or cookie");
                self.add_finding(Code::Shape, &found, what);
                continue;
            }
            let name = if within == "header" { name.to_lowercase() } else { name.to_owned() };
            let required = matches!(found.node.get("required").map(|n| &n.value), Some(Value::Bool(true)));
            let within = within.to_owned();
            if parameters.iter().any(|p: &Parameter| p.name == name && p.within == within) {
                self.add_finding(
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

    /// Reads one operation. `common` are the parameters of its path item.
    fn operation(
        &mut self,
        method: &str,
        paths: Vec<String>,
        place: Place,
        common: &[Parameter],
    ) -> Operation {
        let mut parameters = self.parameters(&place);
        for parameter in common {
            // Parameters of the operation override those of the path item.
            if !parameters.iter().any(|p| p.name == parameter.name && p.within == parameter.within) {
                parameters.push(parameter.clone());
            }
        }
        let body = place.get("requestBody");
        let has_body = body.is_some_and(|body| self.resolve(&body).is_some());
        let responses = self.responses(&place);
        let method = method.to_ascii_uppercase();
        let (effect, effect_source) = self.effect(&method, has_body, &place, &parameters, &KEY_HEADERS[..1]);
        self.finish(Operation {
            id: place.text("operationId").map(str::to_owned),
            paths,
            effect,
            effect_source,
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

    /// Reads the responses of an operation.
    fn responses(&mut self, place: &Place) -> Vec<Response> {
        let mut responses = Vec::new();
        for (status, response) in place.get("responses").iter().flat_map(|r| r.entries().collect::<Vec<_>>())
        {
            if status.starts_with("x-") {
                continue;
            }
            let Some(found) = self.resolve(&response) else { continue };
            let status = status.to_ascii_uppercase().replace("DEFAULT", "default");
            let content_types = found
                .get("content")
                .iter()
                .flat_map(|c| c.entries().collect::<Vec<_>>())
                .map(|(name, _)| name.to_owned())
                .collect();
            responses.push(Response { status, content_types });
        }
        responses
    }
}
