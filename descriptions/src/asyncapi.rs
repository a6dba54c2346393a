//! Operations of an AsyncAPI description, 2.6 and 3.0: those by which the described application receives messages over HTTP,
//! as webhooks and callbacks do. What it receives over other protocols has no route here and is passed over.
//!
//! A message's identity is the key of its delivery: where `x-sloeline-key` says, on the operation or its message, or the
//! headers that are made for it, if every message of the operation must carry one.

use std::collections::BTreeMap;

use crate::extensions::{KEYS, Reader};
use crate::findings::Code;
use crate::openapi::{Operation, Parameter, Response};
use crate::refs::Place;
use crate::tree::Value;

/// Deepest nesting of `allOf` in the headers of a message.
const MOST_DEPTH: usize = 16;
/// Most schemas that are looked at for the headers of one operation. Guards against `allOf` that doubles at each step.
const MOST_SCHEMAS: usize = 256;

/// What is the same in both versions.
struct Received<'a> {
    id: Option<String>,
    place: Place,
    paths: Vec<String>,
    messages: Vec<Place>,
    channel: &'a Place,
}

impl Reader<'_, '_> {
    /// All operations of the description.
    pub(crate) fn received(&mut self, root: &Place) -> Vec<Operation> {
        let version = root.text("asyncapi").unwrap_or_default();
        if version.starts_with("2.6.") {
            self.version_2(root)
        } else if version.starts_with("3.0.") {
            self.version_3(root)
        } else {
            let found = root.node.get("asyncapi").map_or("nothing".to_owned(), |n| n.shown());
            self.find(Code::Version, root, format!("found asyncapi {found}, expected 2.6.x or 3.0.x"));
            Vec::new()
        }
    }

    /// Base paths of servers by name; none for those of other protocols.
    fn servers(&mut self, root: &Place) -> BTreeMap<String, Option<String>> {
        let mut servers = BTreeMap::new();
        for (name, server) in root.get("servers").iter().flat_map(|s| s.entries().collect::<Vec<_>>()) {
            let Some(server) = self.resolve(&server) else { continue };
            let protocol = server.text("protocol").unwrap_or_default().to_ascii_lowercase();
            let base = match (server.text("url"), server.text("pathname")) {
                // Version 2 has a whole address, with or without a scheme.
                (Some(url), _) => {
                    let rest = url.split_once("://").map_or(url, |(_, rest)| rest);
                    rest.find('/').map_or("", |at| &rest[at..]).to_owned()
                }
                (None, path) => path.unwrap_or_default().to_owned(),
            };
            let http = ["http", "https"].contains(&protocol.as_str());
            if http && base.contains('{') {
                let what = format!("found base path {base:?}, expected one without variables");
                self.find(Code::Path, &server, what);
                continue;
            }
            servers.insert(name.to_owned(), http.then(|| base.trim_end_matches('/').to_owned()));
        }
        servers
    }

    /// The paths of an address under the servers it is at; none where HTTP is not among their protocols.
    fn paths(address: &str, bases: &[Option<String>], bound: bool) -> Vec<String> {
        let path = if address.starts_with('/') { address.to_owned() } else { format!("/{address}") };
        let mut paths: Vec<String> = bases.iter().flatten().map(|base| format!("{base}{path}")).collect();
        // One that is bound to HTTP at no server in particular is at the root.
        if bases.is_empty() && bound {
            paths.push(path);
        }
        paths.sort_unstable();
        paths.dedup();
        paths
    }

    fn version_2(&mut self, root: &Place) -> Vec<Operation> {
        let servers = self.servers(root);
        let mut operations = Vec::new();
        for (address, channel) in root.get("channels").iter().flat_map(|c| c.entries().collect::<Vec<_>>()) {
            let Some(channel) = self.resolve(&channel) else { continue };
            // Named from the others' side: they publish, and the application receives.
            let Some(place) = channel.get("publish") else { continue };
            let mut bases: Vec<Option<String>> = Vec::new();
            let named = channel.get("servers");
            for name in named.iter().flat_map(|list| list.items().collect::<Vec<_>>()) {
                match name.node.text().and_then(|name| servers.get(name)) {
                    Some(base) => bases.push(base.clone()),
                    None => {
                        let what = format!("found server {}, expected one of servers", name.node.shown());
                        self.find(Code::Reference, &name, what);
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
            let received = Received { id, place, paths, messages, channel: &channel };
            operations.push(self.receive(received));
        }
        operations
    }

    fn version_3(&mut self, root: &Place) -> Vec<Operation> {
        let servers = self.servers(root);
        let mut operations = Vec::new();
        for (name, place) in root.get("operations").iter().flat_map(|o| o.entries().collect::<Vec<_>>()) {
            let Some(place) = self.resolve(&place) else { continue };
            match place.text("action") {
                Some("receive") => {}
                Some("send") => continue,
                _ => {
                    let found = place.node.get("action").map_or("nothing".to_owned(), |n| n.shown());
                    self.find(Code::Shape, &place, format!("found action {found}, expected send or receive"));
                    continue;
                }
            }
            let Some(channel) = place.get("channel") else {
                self.find(Code::Shape, &place, "found no channel, expected a $ref to one");
                continue;
            };
            let Some(channel) = self.resolve(&channel) else { continue };
            // An address that is not known before the application runs has no route.
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
                        self.find(Code::Reference, &server, what);
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
            // Where it names none it takes all of its channel.
            let all = || {
                channel
                    .get("messages")
                    .iter()
                    .flat_map(|m| m.entries().map(|(_, p)| p).collect::<Vec<_>>())
                    .collect()
            };
            let messages = own.unwrap_or_else(all);
            let received = Received { id: Some(name.to_owned()), place, paths, messages, channel: &channel };
            operations.push(self.receive(received));
        }
        operations
    }

    fn receive(&mut self, received: Received<'_>) -> Operation {
        let Received { id, place, paths, messages, channel } = received;
        let binding = place.get("bindings").and_then(|b| b.get("http")).and_then(|b| self.resolve(&b));
        let method = binding.as_ref().and_then(|b| b.text("method")).unwrap_or("POST").to_ascii_uppercase();
        let mut parameters: Vec<Parameter> = Vec::new();
        for (name, parameter) in
            channel.get("parameters").iter().flat_map(|p| p.entries().collect::<Vec<_>>())
        {
            if let Some(place) = self.resolve(&parameter) {
                // A channel's parameters are parts of its address, and none may be left out.
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
            // Each message must carry it, or some delivery has none.
            let required = headers.iter().all(|h| h.required.contains(name));
            let (name, within) = (name.clone(), "header".to_owned());
            parameters.push(Parameter { name, within, required, place: place.clone() });
        }
        // What a message says of its identity holds for its delivery, unless the operation says otherwise.
        let own = ["x-sloeline-key", "x-sloeline-window", "x-sloeline-effect"];
        let speaks = own.iter().any(|key| place.get(key).is_some());
        let said = if speaks || messages.len() != 1 { place.clone() } else { messages[0].clone() };
        let (effect, because) = self.effect(&method, !messages.is_empty(), &said, &parameters, &KEYS);
        let responses = vec![Response { status: "default".to_owned(), types: Vec::new() }];
        self.finish(Operation {
            id,
            method,
            paths,
            effect,
            because,
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

    /// The messages themselves, those of a choice each.
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

    fn headers(&mut self, message: &Place) -> Headers {
        let mut headers = Headers::default();
        if let Some(schema) = message.get("headers") {
            let mut left = MOST_SCHEMAS;
            self.fields(&schema, 0, &mut left, &mut headers);
        }
        headers
    }

    /// The properties of an object, those of all that it consists of among them.
    fn fields(&mut self, schema: &Place, depth: usize, left: &mut usize, headers: &mut Headers) {
        if depth > MOST_DEPTH || *left == 0 {
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
            self.fields(&part, depth + 1, left, headers);
        }
    }
}

/// The headers of a message, in lower case.
#[derive(Default)]
struct Headers {
    properties: Vec<(String, Place)>,
    required: Vec<String>,
}
