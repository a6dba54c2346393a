//! References: `$ref` within a document and to other files of its folder (RFC 3986 fragments, RFC 6901 pointers).

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use crate::tree::{self, Node};

/// Maximum number of references in a chain.
const MAX_REFERENCE_CHAIN: usize = 32;
/// Maximum number of files that one description may refer to, itself included.
const MAX_FILES: usize = 256;

/// Reads the files of the configured folder and no others.
pub trait Files {
    /// Reads the file at a path relative to the folder, with `/` as separator. The error message has one line.
    fn read(&self, path: &str) -> Result<String, String>;
}

/// A value with its location.
#[derive(Clone, Debug)]
pub struct Place {
    /// Path of the file, relative to the folder.
    pub file: Rc<str>,
    /// JSON pointer to the value within the file.
    pub pointer: String,
    /// The value.
    pub node: Rc<Node>,
}

impl Place {
    /// The value for a key of a table.
    pub fn get(&self, key: &str) -> Option<Place> {
        let node = self.node.get(key)?.clone();
        Some(Place { file: self.file.clone(), pointer: format!("{}/{}", self.pointer, escape(key)), node })
    }

    /// The entries of a table.
    pub fn entries(&self) -> impl Iterator<Item = (&str, Place)> {
        self.node.entries().iter().map(|(key, node)| {
            let pointer = format!("{}/{}", self.pointer, escape(key));
            (key.as_str(), Place { file: self.file.clone(), pointer, node: node.clone() })
        })
    }

    /// The values of a list.
    pub fn items(&self) -> impl Iterator<Item = Place> {
        self.node.items().iter().enumerate().map(|(at, node)| Place {
            file: self.file.clone(),
            pointer: format!("{}/{at}", self.pointer),
            node: node.clone(),
        })
    }

    /// The text value for a key of a table.
    pub fn text(&self, key: &str) -> Option<&str> {
        self.node.get(key).and_then(|node| node.text())
    }
}

/// Escapes a key for use in a JSON pointer.
fn escape(key: &str) -> String {
    key.replace('~', "~0").replace('/', "~1")
}

/// Cache of the documents that were read.
pub struct Documents<'a> {
    /// Reads the files.
    files: &'a dyn Files,
    /// Root values of the documents, by path.
    read: RefCell<HashMap<Rc<str>, Rc<Node>>>,
}

/// Decodes percent-encoding. `None` if the encoding is invalid or the result is not UTF-8.
fn percent_decode(text: &str) -> Option<String> {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::with_capacity(bytes.len()), 0);
    while at < bytes.len() {
        if bytes[at] == b'%' {
            let hex = bytes.get(at + 1..at + 3).and_then(|h| std::str::from_utf8(h).ok())?;
            out.push(u8::from_str_radix(hex, 16).ok()?);
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8(out).ok()
}

/// Resolves a path relative to a file and removes `.` and `..`. `None` if the result lies outside the folder.
fn resolve_path(file: &str, path: &str) -> Option<String> {
    let mut names: Vec<&str> = file.split('/').collect();
    names.pop();
    for name in path.split('/') {
        match name {
            "" | "." => {}
            ".." => {
                names.pop()?;
            }
            name => names.push(name),
        }
    }
    (!names.is_empty()).then(|| names.join("/"))
}

impl<'a> Documents<'a> {
    /// Creates an empty cache.
    pub fn new(files: &'a dyn Files) -> Documents<'a> {
        Documents { files, read: RefCell::default() }
    }

    /// The root value of a file.
    pub fn root(&self, file: &str) -> Result<Place, String> {
        if let Some((file, node)) = self.read.borrow().get_key_value(file) {
            return Ok(Place { file: file.clone(), pointer: String::new(), node: node.clone() });
        }
        if self.read.borrow().len() >= MAX_FILES {
            return Err(format!("found more than {MAX_FILES} files, expected fewer"));
        }
        let text = self.files.read(file)?;
        let node = tree::read(&text).map_err(|e| format!("{file}:{}: {}", e.line, e.message))?;
        let file: Rc<str> = file.into();
        self.read.borrow_mut().insert(file.clone(), node.clone());
        Ok(Place { file, pointer: String::new(), node })
    }

    /// Follows `$ref` until a value without one is reached. The error says what was found.
    pub fn resolve(&self, place: &Place) -> Result<Place, String> {
        let mut place = place.clone();
        for _ in 0..MAX_REFERENCE_CHAIN {
            let Some(reference) = place.node.get("$ref") else { return Ok(place) };
            let text = reference
                .text()
                .ok_or_else(|| format!("found $ref {}, expected a text", reference.describe()))?;
            place = self.follow(&place.file, text)?;
        }
        Err(format!("found $ref that leads back to itself, or more than {MAX_REFERENCE_CHAIN} in a row"))
    }

    /// Resolves one reference in a file.
    fn follow(&self, file: &str, reference: &str) -> Result<Place, String> {
        let (path, fragment) = reference.split_once('#').unwrap_or((reference, ""));
        // References with a scheme or an authority (RFC 3986 section 4.1) are rejected; nothing is fetched.
        if path.contains(':') || path.starts_with('/') || path.contains('\\') {
            return Err(format!("found $ref {reference:?}, expected a file of the folder"));
        }
        let path = percent_decode(path)
            .ok_or_else(|| format!("found $ref {reference:?}, expected percent-encoding"))?;
        let target = if path.is_empty() { Some(file.to_owned()) } else { resolve_path(file, &path) };
        let target =
            target.ok_or_else(|| format!("found $ref {reference:?}, expected a file within the folder"))?;
        let mut place = self.root(&target).map_err(|why| format!("$ref {reference:?}: {why}"))?;
        let fragment = percent_decode(fragment)
            .ok_or_else(|| format!("found $ref {reference:?}, expected percent-encoding"))?;
        if !fragment.is_empty() && !fragment.starts_with('/') {
            return Err(format!("found $ref {reference:?}, expected a JSON pointer after #"));
        }
        for step in fragment.split('/').skip(1) {
            let key = step.replace("~1", "/").replace("~0", "~");
            let item = || key.parse::<usize>().ok().and_then(|at| place.items().nth(at));
            let next = place.get(&key).or_else(item);
            place = next.ok_or_else(|| format!("found $ref {reference:?}, expected something at {key:?}"))?;
        }
        Ok(place)
    }
}
