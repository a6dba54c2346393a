//! Parses a document into a tree of values with line numbers: YAML 1.2 with the core schema, which includes JSON.
//!
//! The size of the text, the number of values and the height of the tree are limited. An alias shares the value that it refers to,
//! so a document with nested aliases (an "alias bomb") takes no more memory than its text suggests. The height includes shared
//! values.

use std::collections::HashMap;
use std::rc::Rc;

use saphyr_parser::{Event, Parser, ScalarStyle};

/// Maximum size of a document in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 32 << 20;
/// Maximum number of values in a document.
const MAX_NODES: usize = 4_000_000;
/// Key whose value is merged into its table.
const MERGE_KEY: &str = "<<";
/// Maximum height of the tree.
const MAX_HEIGHT: usize = 128;

/// A value with its line number.
#[derive(Debug)]
pub struct Node {
    /// The value.
    pub value: Value,
    /// Line number, from 1.
    pub line: usize,
    /// Height of the subtree, 1 for a scalar.
    height: usize,
}

/// A value of a document.
#[derive(Debug)]
pub enum Value {
    /// No value.
    Null,
    /// A Boolean value.
    Bool(bool),
    /// A number.
    Number(f64),
    /// A text.
    Text(String),
    /// A list.
    List(Vec<Rc<Node>>),
    /// A table, in the order of the text. Keys are unique.
    Map(Vec<(String, Rc<Node>)>),
}

/// Why a text cannot be parsed.
#[derive(Clone, Debug, PartialEq)]
pub struct ParseError {
    /// Line number, from 1.
    pub line: usize,
    /// Description of the error, in one line.
    pub message: String,
}

impl Node {
    /// The value for a key of a table; `None` for any other value.
    pub fn get(&self, key: &str) -> Option<&Rc<Node>> {
        match &self.value {
            Value::Map(entries) => entries.iter().find(|(k, _)| k == key).map(|(_, node)| node),
            _ => None,
        }
    }

    /// The entries of a table; empty for any other value.
    pub fn entries(&self) -> &[(String, Rc<Node>)] {
        match &self.value {
            Value::Map(entries) => entries,
            _ => &[],
        }
    }

    /// The values of a list; empty for any other value.
    pub fn items(&self) -> &[Rc<Node>] {
        match &self.value {
            Value::List(items) => items,
            _ => &[],
        }
    }

    /// The text; `None` for any other value.
    pub fn text(&self) -> Option<&str> {
        match &self.value {
            Value::Text(text) => Some(text),
            _ => None,
        }
    }

    /// Description of the value for messages.
    pub fn describe(&self) -> String {
        match &self.value {
            Value::Null => "nothing".to_owned(),
            Value::Bool(b) => b.to_string(),
            Value::Number(n) => n.to_string(),
            Value::Text(text) => format!("{:?}", text.chars().take(80).collect::<String>()),
            Value::List(_) => "a list".to_owned(),
            Value::Map(_) => "a table".to_owned(),
        }
    }
}

/// A table or list whose end has not been parsed yet.
enum OpenCollection {
    List(Vec<Rc<Node>>),
    Map { entries: Vec<(String, Rc<Node>)>, known: HashMap<String, usize>, key: Option<String> },
}

/// A table or list that is being parsed.
struct Frame {
    open: OpenCollection,
    /// Number of its anchor; 0 if it has none.
    anchor: usize,
    line: usize,
    /// Height of the tree so far.
    height: usize,
}

/// Builds the tree from parser events.
struct Builder {
    /// The open tables and lists, outermost first.
    frames: Vec<Frame>,
    /// The values with anchors, by anchor number.
    anchors: HashMap<usize, Rc<Node>>,
    /// Number of values so far.
    nodes: usize,
    root: Option<Rc<Node>>,
}

fn parse_error(line: usize, message: impl Into<String>) -> ParseError {
    ParseError { line, message: message.into() }
}

/// Parses a plain scalar by the core schema (YAML 1.2.2, section 10.3.2). Unlike in YAML 1.1, `no` and `12:30` are texts and
/// `0777` is a decimal number.
fn parse_plain_scalar(text: &str) -> Value {
    match text {
        "" | "~" | "null" | "Null" | "NULL" => return Value::Null,
        "true" | "True" | "TRUE" => return Value::Bool(true),
        "false" | "False" | "FALSE" => return Value::Bool(false),
        _ => {}
    }
    let digits = |t: &str| !t.is_empty() && t.bytes().all(|b| b.is_ascii_digit());
    let unsigned = text.strip_prefix(['-', '+']).unwrap_or(text);
    let (mantissa, exponent) = unsigned.split_once(['e', 'E']).unwrap_or((unsigned, "0"));
    let (whole, part) = mantissa.split_once('.').unwrap_or((mantissa, ""));
    let good_mantissa =
        (digits(whole) || whole.is_empty() && digits(part)) && (part.is_empty() || digits(part));
    let good = good_mantissa && digits(exponent.strip_prefix(['-', '+']).unwrap_or(exponent));
    let radix = |prefix: &str, radix: u32| {
        let rest = text.strip_prefix(prefix).filter(|r| !r.starts_with(['+', '-']))?;
        u64::from_str_radix(rest, radix).ok()
    };
    match text.parse::<f64>() {
        Ok(number) if good && number.is_finite() => Value::Number(number),
        _ => match radix("0x", 16).or_else(|| radix("0o", 8)) {
            Some(number) => Value::Number(number as f64),
            None => Value::Text(text.to_owned()),
        },
    }
}

impl Builder {
    /// Adds a value to the innermost open table or list.
    fn add(&mut self, node: Rc<Node>, anchor: usize) -> Result<(), ParseError> {
        let line = node.line;
        if node.height > MAX_HEIGHT {
            return Err(parse_error(
                line,
                format!("found values more than {MAX_HEIGHT} deep, expected fewer"),
            ));
        }
        if anchor > 0 {
            self.anchors.insert(anchor, node.clone());
        }
        let Some(frame) = self.frames.last_mut() else {
            self.root = Some(node);
            return Ok(());
        };
        frame.height = frame.height.max(node.height + 1);
        match &mut frame.open {
            OpenCollection::List(items) => items.push(node),
            OpenCollection::Map { entries, known, key } => match key.take() {
                Some(name) => entries.push((name, node)),
                None => {
                    // Keys are texts in JSON and OpenAPI, so the YAML keys `200` and `true` are converted.
                    let name = match &node.value {
                        Value::Text(text) => text.clone(),
                        Value::Number(n) => n.to_string(),
                        Value::Bool(b) => b.to_string(),
                        _ => {
                            return Err(parse_error(
                                line,
                                format!("found {} as a key, expected a text", node.describe()),
                            ));
                        }
                    };
                    if let Some(before) = known.insert(name.clone(), line) {
                        let why = format!("found key {name:?} again, expected it once (line {before})");
                        return Err(parse_error(line, why));
                    }
                    *key = Some(name);
                }
            },
        }
        Ok(())
    }

    /// Begins a table or list.
    fn open(&mut self, open: OpenCollection, anchor: usize, line: usize) -> Result<(), ParseError> {
        if self.frames.len() >= MAX_HEIGHT {
            return Err(parse_error(
                line,
                format!("found values more than {MAX_HEIGHT} deep, expected fewer"),
            ));
        }
        self.frames.push(Frame { open, anchor, line, height: 1 });
        Ok(())
    }

    /// Adds the entries of the tables under a merge key. Entries of the table itself take precedence, then those of earlier
    /// tables (yaml.org/type/merge.html, which is not part of YAML 1.2 but widely used).
    fn merge(
        &mut self,
        entries: &mut Vec<(String, Rc<Node>)>,
        mut known: HashMap<String, usize>,
    ) -> Result<(), ParseError> {
        let Some(at) = entries.iter().position(|(key, _)| key == MERGE_KEY) else { return Ok(()) };
        let merged = entries.remove(at).1;
        let tables = match &merged.value {
            Value::List(tables) => tables.as_slice(),
            _ => std::slice::from_ref(&merged),
        };
        for table in tables {
            let Value::Map(more) = &table.value else {
                let what =
                    format!("found {} under <<, expected a table or a list of tables", table.describe());
                return Err(parse_error(merged.line, what));
            };
            // Limits the size of tables that merge tables with merge keys of their own.
            self.nodes += more.len();
            for (key, node) in more {
                if known.insert(key.clone(), node.line).is_none() {
                    entries.push((key.clone(), node.clone()));
                }
            }
        }
        Ok(())
    }

    /// Ends the innermost table or list.
    fn close(&mut self) -> Result<(), ParseError> {
        let Some(Frame { open, anchor, line, height }) = self.frames.pop() else { return Ok(()) };
        let value = match open {
            OpenCollection::List(items) => Value::List(items),
            OpenCollection::Map { mut entries, known, .. } => {
                if known.contains_key(MERGE_KEY) {
                    self.merge(&mut entries, known)?;
                }
                Value::Map(entries)
            }
        };
        self.add(Rc::new(Node { value, line, height }), anchor)
    }
}

/// Parses a document. Stops at the first error.
pub fn read(text: &str) -> Result<Rc<Node>, ParseError> {
    if text.len() > MAX_DOCUMENT_BYTES {
        return Err(parse_error(
            1,
            format!("found {} bytes, expected at most {MAX_DOCUMENT_BYTES}", text.len()),
        ));
    }
    let mut builder = Builder { frames: Vec::new(), anchors: HashMap::new(), nodes: 0, root: None };
    let mut documents = 0;
    for event in Parser::new_from_str(text) {
        let (event, span) = event.map_err(|e| parse_error(e.marker().line(), e.info().to_owned()))?;
        let line = span.start.line();
        builder.nodes += 1;
        if builder.nodes > MAX_NODES {
            return Err(parse_error(line, format!("found more than {MAX_NODES} values, expected fewer")));
        }
        match event {
            Event::DocumentStart(_) => {
                documents += 1;
                if documents > 1 {
                    return Err(parse_error(line, "found a second document, expected one"));
                }
            }
            Event::Scalar(text, style, anchor, _) => {
                let value = match style {
                    ScalarStyle::Plain => parse_plain_scalar(&text),
                    _ => Value::Text(text.into_owned()),
                };
                builder.add(Rc::new(Node { value, line, height: 1 }), anchor)?;
            }
            Event::Alias(anchor) => {
                // An alias of a table or list that is still open would contain itself.
                let node = builder.anchors.get(&anchor).cloned();
                let node = node
                    .ok_or_else(|| parse_error(line, "found an alias of what holds it, expected another"))?;
                builder.add(node, 0)?;
            }
            Event::SequenceStart(anchor, _) => {
                builder.open(OpenCollection::List(Vec::new()), anchor, line)?
            }
            Event::MappingStart(anchor, _) => {
                let open = OpenCollection::Map { entries: Vec::new(), known: HashMap::new(), key: None };
                builder.open(open, anchor, line)?;
            }
            Event::SequenceEnd | Event::MappingEnd => builder.close()?,
            _ => {}
        }
    }
    builder.root.ok_or_else(|| parse_error(1, "found nothing, expected a table"))
}
