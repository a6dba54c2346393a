//! A document as a tree, each value with its line. YAML 1.2 with its core schema; JSON is a part of it.
//!
//! Bounded in bytes, nodes and height. An alias shares what it names and copies nothing, so an alias bomb is as small here
//! as it is in its text; the height counts what is shared.

use std::collections::HashMap;
use std::rc::Rc;

use saphyr_parser::{Event, Parser, ScalarStyle};

/// Most bytes of a document.
pub const MOST_BYTES: usize = 32 << 20;
/// Most values in a document.
const MOST_NODES: usize = 4_000_000;
/// Stands for the entries of another table.
const MERGE: &str = "<<";
/// Most values within one another.
const MOST_HEIGHT: usize = 128;

/// A value and where it stands.
#[derive(Debug)]
pub struct Node {
    /// The value.
    pub value: Value,
    /// Its line, from 1.
    pub line: usize,
    height: usize,
}

/// A value.
#[derive(Debug)]
pub enum Value {
    /// Nothing.
    Null,
    /// True or false.
    Bool(bool),
    /// A number.
    Number(f64),
    /// A text.
    Text(String),
    /// A list.
    List(Vec<Rc<Node>>),
    /// A table in the order of the text; keys stand once.
    Map(Vec<(String, Rc<Node>)>),
}

/// What is wrong with a text, and where.
#[derive(Clone, Debug, PartialEq)]
pub struct Unreadable {
    /// Its line, from 1.
    pub line: usize,
    /// In one line.
    pub why: String,
}

impl Node {
    /// The value under a key of a table.
    pub fn get(&self, key: &str) -> Option<&Rc<Node>> {
        match &self.value {
            Value::Map(entries) => entries.iter().find(|(k, _)| k == key).map(|(_, node)| node),
            _ => None,
        }
    }

    /// The entries of a table; none for anything else.
    pub fn entries(&self) -> &[(String, Rc<Node>)] {
        match &self.value {
            Value::Map(entries) => entries,
            _ => &[],
        }
    }

    /// The values of a list; none for anything else.
    pub fn items(&self) -> &[Rc<Node>] {
        match &self.value {
            Value::List(items) => items,
            _ => &[],
        }
    }

    /// A text.
    pub fn text(&self) -> Option<&str> {
        match &self.value {
            Value::Text(text) => Some(text),
            _ => None,
        }
    }

    /// What it is, for messages.
    pub fn shown(&self) -> String {
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

/// A table or list whose end has not come.
enum Open {
    List(Vec<Rc<Node>>),
    Map { entries: Vec<(String, Rc<Node>)>, known: HashMap<String, usize>, key: Option<String> },
}

struct Frame {
    open: Open,
    anchor: usize,
    line: usize,
    height: usize,
}

struct Builder {
    frames: Vec<Frame>,
    anchors: HashMap<usize, Rc<Node>>,
    nodes: usize,
    root: Option<Rc<Node>>,
}

fn unreadable(line: usize, why: impl Into<String>) -> Unreadable {
    Unreadable { line, why: why.into() }
}

/// A plain scalar by the core schema (YAML 1.2.2, section 10.3.2): `no`, `0777` and `12:30` are what they look like.
fn plain(text: &str) -> Value {
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
    fn add(&mut self, node: Rc<Node>, anchor: usize) -> Result<(), Unreadable> {
        let line = node.line;
        if node.height > MOST_HEIGHT {
            return Err(unreadable(
                line,
                format!("found values more than {MOST_HEIGHT} deep, expected fewer"),
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
            Open::List(items) => items.push(node),
            Open::Map { entries, known, key } => match key.take() {
                Some(name) => entries.push((name, node)),
                None => {
                    // JSON and OpenAPI know no other keys than texts; YAML's 200 and true are texts there.
                    let name = match &node.value {
                        Value::Text(text) => text.clone(),
                        Value::Number(n) => n.to_string(),
                        Value::Bool(b) => b.to_string(),
                        _ => {
                            return Err(unreadable(
                                line,
                                format!("found {} as a key, expected a text", node.shown()),
                            ));
                        }
                    };
                    if let Some(before) = known.insert(name.clone(), line) {
                        let why = format!("found key {name:?} again, expected it once (line {before})");
                        return Err(unreadable(line, why));
                    }
                    *key = Some(name);
                }
            },
        }
        Ok(())
    }

    fn open(&mut self, open: Open, anchor: usize, line: usize) -> Result<(), Unreadable> {
        if self.frames.len() >= MOST_HEIGHT {
            return Err(unreadable(
                line,
                format!("found values more than {MOST_HEIGHT} deep, expected fewer"),
            ));
        }
        self.frames.push(Frame { open, anchor, line, height: 1 });
        Ok(())
    }

    /// Puts in what a merge key stands for: entries that the table does not have itself, those of the first first
    /// (yaml.org/type/merge.html; no part of YAML 1.2, and in wide use).
    fn merge(
        &mut self,
        entries: &mut Vec<(String, Rc<Node>)>,
        mut known: HashMap<String, usize>,
    ) -> Result<(), Unreadable> {
        let Some(at) = entries.iter().position(|(key, _)| key == MERGE) else { return Ok(()) };
        let merged = entries.remove(at).1;
        let tables = match &merged.value {
            Value::List(tables) => tables.as_slice(),
            _ => std::slice::from_ref(&merged),
        };
        for table in tables {
            let Value::Map(more) = &table.value else {
                let what = format!("found {} under <<, expected a table or a list of tables", table.shown());
                return Err(unreadable(merged.line, what));
            };
            // Guards against tables that merge each other's merges.
            self.nodes += more.len();
            for (key, node) in more {
                if known.insert(key.clone(), node.line).is_none() {
                    entries.push((key.clone(), node.clone()));
                }
            }
        }
        Ok(())
    }

    fn close(&mut self) -> Result<(), Unreadable> {
        let Some(Frame { open, anchor, line, height }) = self.frames.pop() else { return Ok(()) };
        let value = match open {
            Open::List(items) => Value::List(items),
            Open::Map { mut entries, known, .. } => {
                if known.contains_key(MERGE) {
                    self.merge(&mut entries, known)?;
                }
                Value::Map(entries)
            }
        };
        self.add(Rc::new(Node { value, line, height }), anchor)
    }
}

/// Reads a document; the first thing that is wrong ends it.
pub fn read(text: &str) -> Result<Rc<Node>, Unreadable> {
    if text.len() > MOST_BYTES {
        return Err(unreadable(1, format!("found {} bytes, expected at most {MOST_BYTES}", text.len())));
    }
    let mut builder = Builder { frames: Vec::new(), anchors: HashMap::new(), nodes: 0, root: None };
    let mut documents = 0;
    for event in Parser::new_from_str(text) {
        let (event, span) = event.map_err(|e| unreadable(e.marker().line(), e.info().to_owned()))?;
        let line = span.start.line();
        builder.nodes += 1;
        if builder.nodes > MOST_NODES {
            return Err(unreadable(line, format!("found more than {MOST_NODES} values, expected fewer")));
        }
        match event {
            Event::DocumentStart(_) => {
                documents += 1;
                if documents > 1 {
                    return Err(unreadable(line, "found a second document, expected one"));
                }
            }
            Event::Scalar(text, style, anchor, _) => {
                let value = match style {
                    ScalarStyle::Plain => plain(&text),
                    _ => Value::Text(text.into_owned()),
                };
                builder.add(Rc::new(Node { value, line, height: 1 }), anchor)?;
            }
            Event::Alias(anchor) => {
                // One that is still open would hold itself.
                let node = builder.anchors.get(&anchor).cloned();
                let node = node
                    .ok_or_else(|| unreadable(line, "found an alias of what holds it, expected another"))?;
                builder.add(node, 0)?;
            }
            Event::SequenceStart(anchor, _) => builder.open(Open::List(Vec::new()), anchor, line)?,
            Event::MappingStart(anchor, _) => {
                let open = Open::Map { entries: Vec::new(), known: HashMap::new(), key: None };
                builder.open(open, anchor, line)?;
            }
            Event::SequenceEnd | Event::MappingEnd => builder.close()?,
            _ => {}
        }
    }
    builder.root.ok_or_else(|| unreadable(1, "found nothing, expected a table"))
}
