//! Reads the operations of an AsyncAPI 2.6 or 3.0 description by which the described application receives messages over HTTP,
//! as webhooks and callbacks do. Operations over other protocols are ignored, because they have no route.
//!
//! The id of a message is the idempotency key of its delivery. It is where `x-sloeline-key` of the operation or its message says,
//! or in one of the standard headers if every message of the operation must have it.

use std::collections::BTreeMap;

use crate::extensions::{KEY_HEADERS, Reader};
use crate::findings::Code;
use crate::openapi::{Operation, Parameter, Response};
use crate::refs::Place;
use crate::tree::Value;

/// Maximum nesting of `allOf` in the schema of a message's headers.
const MAX_SCHEMA_DEPTH: usize = 16;
/// Maximum number of schemas that are read for the headers of one message. Limits the time for `allOf` lists that double at
/// each level.
const MAX_SCHEMAS: usize = 256;

/// A receive operation of either version.
struct ReceiveOperation<'a> {
    /// Id of the operation.
    id: Option<String>,
    /// The operation object.
    place: Place,
    /// Path templates of its routes.
    paths: Vec<String>,
    /// Its messages, unresolved.
    messages: Vec<Place>,
    /// Its channel.
    channel: &'a Place,
}

impl Reader<'_, '_> {
    /// Reads the receive operations of a description.
    pub(crate) fn receive_operations(&mut self, root: &Place) -> Vec<Operation> {
        let version = root.text("asyncapi").unwrap_or_default();
        if version.starts_with("2.6.") {
            self.version_2(root)
        } else if version.starts_with("3.0.") {
            self.version_3(root)
        } else {
            let found = root.node.get("asyncapi").map_or("nothing".to_owned(), |n| n.describe());
            self.add_finding(Code::Version, root, format!("found asyncapi {found}, expected 2.6.x or 3.0.x"));
            Vec::new()
        }
    }

    /// Base paths of the servers, by name; `None` for servers of other protocols.
    fn servers(&mut self, root: &Place) -> BTreeMap<String, Option<String>> {
        let mut servers = BTreeMap::new();
        for (name, server) in root.get("servers").iter().flat_map(|s| s.entries().collect::<Vec<_>>()) {
            let Some(server) = self.resolve(&server) else { continue };
            let protocol = server.text("protocol").unwrap_or_default().to_ascii_lowercase();
            let base = match (server.text("url"), server.text("pathname")) {
                // Version 2 has a URL, with or without a scheme.
                (Some(url), _) => {
                    let rest = url.split_once("://").map_or(url, |(_, rest)| rest);
                    rest.find('/').map_or("", |at| &rest[at..]).to_owned()
                }
                (None, path) => path.unwrap_or_default().to_owned(),
            };
            let http = ["http", "https"].contains(&protocol.as_str());
            if http && base.contains('{') {
                let what = format!("found base path {base:?}, expected one without variables");
                self.add_finding(Code::Path, &server, what);
                continue;
            }
            servers.insert(name.to_owned(), http.then(|| base.trim_end_matches('/').to_owned()));
        }
        servers
    }

    /// Paths of a channel's address under the base paths of its servers. Empty if none of them uses HTTP. `bound` tells
    /// whether the operation has an HTTP binding.
    fn paths(address: &str, bases: &[Option<String>], bound: bool) -> Vec<String> {
        let path = if address.starts_with('/') { address.to_owned() } else { format!("/{address}") };
        let mut paths: Vec<String> = bases.iter().flatten().map(|base| format!("{base}{path}")).collect();
        // An operation with an HTTP binding but no servers is at the root.
        if bases.is_empty() && bound {
            paths.push(path);
        }
        paths.sort_unstable();
        paths.dedup();
        paths
    }

    /// Reads the receive operations of version 2.6.
    fn version_2(&mut self, root: &Place) -> Vec<Operation> {
        let servers = self.servers(root);
        let mut operations = Vec::new();
        for (address, channel) in root.get("channels").iter().flat_map(|c| c.entries().collect::<Vec<_>>()) {
            let Some(channel) = self.resolve(&channel) else { continue };
            // Version 2 names operations from the client's point of view: clients publish what the application receives.
            let Some(place) = channel.get("publish") else { continue };
            let mut bases: Vec<Option<String>> = Vec::new();
            let named = channel.get("servers");
            for name in named.iter().flat_map(|list| list.items().collect::<Vec<_>>()) {
                match name.node.text().and_then(|name| servers.get(name)) {
                    Some(base) => bases.push(base.clone()),
                    None => {
                        let what = format!("found server {}, expected one of servers", name.node.describe());
                        self.add_finding(Code::Reference, &name, what);
                    }
                }
            }
            if named.is_none() {
                bases.extend(servers.values().cloned());
            }
            let bound = place.get("bindings").is_some_and(|b| b.get("http").is_some());
            let paths = Self::paths(address, &bases, bound);
            if paths.is_empty() {
                continue;
            }
            let id = place.text("operationId").map(str::to_owned);
            let messages: Vec<Place> = place.get("message").into_iter().collect();
            let received = ReceiveOperation { id, place, paths, messages, channel: &channel };
            operations.push(self.receive(received));
        }
        operations
    }

    /// Reads the receive operations of version 3.0.
    fn version_3(&mut self, root: &Place) -> Vec<Operation> {
        let servers = self.servers(root);
        let mut operations = Vec::new();
        for (name, place) in root.get("operations").iter().flat_map(|o| o.entries().collect::<Vec<_>>()) {
            let Some(place) = self.resolve(&place) else { continue };
            match place.text("action") {
                Some("receive") => {}
                Some("send") => continue,
                _ => {
                    let found = place.node.get("action").map_or("nothing".to_owned(), |n| n.describe());
                    self.add_finding(
                        Code::Shape,
                        &place,
                        format!("found action {found}, expected send or receive"),
                    );
                    continue;
                }
            }
            let Some(channel) = place.get("channel") else {
                self.add_finding(Code::Shape, &place, "found no channel, expected a $ref to one");
                continue;
            };
            let Some(channel) = self.resolve(&channel) else { continue };
            // A channel whose address is only known at run time has no route.
            let Some(address) = channel.text("address").map(str::to_owned) else { continue };
            let named = channel.get("servers");
            let mut bases: Vec<Option<String>> = Vec::new();
            for server in named.iter().flat_map(|list| list.items().collect::<Vec<_>>()) {
                let reference =
                    server.text("$ref").and_then(|r| r.strip_prefix("#/servers/")).map(str::to_owned);
                match reference.and_then(|name| servers.get(&name)) {
                    Some(base) => bases.push(base.clone()),
                    None => {
                        let what = "found another server than one of #/servers, expected a $ref to one";
                        self.add_finding(Code::Reference, &server, what);
                    }
                }
            }
            if named.is_none() {
                bases.extend(servers.values().cloned());
            }
            let bound = place.get("bindings").is_some_and(|b| b.get("http").is_some());
            let paths = Self::paths(&address, &bases, bound);
            if paths.is_empty() {
                continue;
            }
            let own = place.get("messages").map(|list| list.items().collect::<Vec<_>>());
            // An operation that lists no messages receives all messages of its channel.
            let all = || {
                channel
                    .get("messages")
                    .iter()
                    .flat_map(|m| m.entries().map(|(_, p)| p).collect::<Vec<_>>())
                    .collect()
            };
            let messages = own.unwrap_or_else(all);
            let received =
                ReceiveOperation { id: Some(name.to_owned()), place, paths, messages, channel: &channel };
            operations.push(self.receive(received));
        }
        operations
    }

    /// Builds an operation of either version.
    fn receive(&mut self, received: ReceiveOperation<'_>) -> Operation {
        let ReceiveOperation { id, place, paths, messages, channel } = received;
        let binding = place.get("bindings").and_then(|b| b.get("http")).and_then(|b| self.resolve(&b));
        let method = binding.as_ref().and_then(|b| b.text("method")).unwrap_or("POST").to_ascii_uppercase();
        let mut parameters: Vec<Parameter> = Vec::new();
        for (name, parameter) in
            channel.get("parameters").iter().flat_map(|p| p.entries().collect::<Vec<_>>())
        {
            if let Some(place) = self.resolve(&parameter) {
                // The parameters of a channel are part of its address, so they are required.
                let (name, within) = (name.to_owned(), "path".to_owned());
                parameters.push(Parameter { name, within, required: true, place });
            }
        }
        let messages = self.messages(messages);
        let headers: Vec<Headers> = messages.iter().map(|m| self.headers(m)).collect();
        for (name, place) in headers.iter().flat_map(|h| &h.properties) {
            if parameters.iter().any(|p| p.within == "header" && p.name == *name) {
                continue;
            }
            // The header is only required if every message requires it.
            let required = headers.iter().all(|h| h.required.contains(name));
            let (name, within) = (name.clone(), "header".to_owned());
            parameters.push(Parameter { name, within, required, place: place.clone() });
        }
        // The extensions of a single message apply unless the operation has its own.
        let own = ["x-sloeline-key", "x-sloeline-window", "x-sloeline-effect"];
        let speaks = own.iter().any(|key| place.get(key).is_some());
        let said = if speaks || messages.len() != 1 { place.clone() } else { messages[0].clone() };
        let (effect, effect_source) =
            self.effect(&method, !messages.is_empty(), &said, &parameters, &KEY_HEADERS);
        let responses = vec![Response { status: "default".to_owned(), content_types: Vec::new() }];
        self.finish(Operation {
            id,
            method,
            paths,
            effect,
            effect_source,
            has_body: !messages.is_empty(),
            responses,
            parameters,
            time: None,
            body_limit: None,
            worth: None,
            tenant: None,
            calls: Vec::new(),
            accepted: Vec::new(),
            place,
        })
    }

    /// Resolves messages, and replaces a `oneOf` by its alternatives.
    fn messages(&mut self, places: Vec<Place>) -> Vec<Place> {
        let mut messages = Vec::new();
        for place in places {
            let Some(message) = self.resolve(&place) else { continue };
            match message.get("oneOf") {
                Some(choice) => {
                    let each: Vec<Place> = choice.items().collect();
                    messages.extend(each.iter().filter_map(|one| self.resolve(one)));
                }
                None => messages.push(message),
            }
        }
        messages
    }

    /// Reads the schema of a message's headers.
    fn headers(&mut self, message: &Place) -> Headers {
        let mut headers = Headers::default();
        if let Some(schema) = message.get("headers") {
            let mut left = MAX_SCHEMAS;
            self.collect_properties(&schema, 0, &mut left, &mut headers);
        }
        headers
    }

    /// Collects the properties of a schema, including those of its `allOf` parts. `left` is the number of schemas that may
    /// still be read.
    fn collect_properties(&mut self, schema: &Place, depth: usize, left: &mut usize, headers: &mut Headers) {
        if depth > MAX_SCHEMA_DEPTH || *left == 0 {
            return;
        }
        *left -= 1;
        let Some(schema) = self.resolve(schema) else { return };
        for (name, property) in schema.get("properties").iter().flat_map(|p| p.entries().collect::<Vec<_>>())
        {
            headers.properties.push((name.to_ascii_lowercase(), property));
        }
        for name in schema.get("required").iter().flat_map(|r| r.items().collect::<Vec<_>>()) {
            if let Value::Text(name) = &name.node.value {
                headers.required.push(name.to_ascii_lowercase());
            }
        }
        for part in schema.get("allOf").iter().flat_map(|a| a.items().collect::<Vec<_>>()) {
            self.collect_properties(&part, depth + 1, left, headers);
        }
    }
}

/// The headers of a message, in lower case.
#[derive(Default)]
struct Headers {
    /// Names with their schemas.
    properties: Vec<(String, Place)>,
    /// Names of the required headers.
    required: Vec<String>,
}
