//! Snapshots of a daemon's state in files, and the differences between two snapshots.
//!
//! ```text
//! sloeline-snapshot 1 LENGTH BLAKE3\n      the format's version, the body's bytes, and their BLAKE3 hash in hex
//! zstd                                     JSON, compressed
//! ```

use std::collections::BTreeMap;
use std::fmt;
use std::io::Read;

use serde_json::{Map, Value};

/// Version of the file format.
const VERSION: u32 = 1;
const FORMAT_NAME: &str = "sloeline-snapshot";
/// Maximum size of an unpacked snapshot in bytes, against a small file that unpacks to a huge one.
const MAX_UNPACKED_BYTES: u64 = 256 << 20;
/// Compression level of zstd. Higher levels would delay the caller.
const COMPRESSION_LEVEL: i32 = 3;
/// Maximum nesting depth of values that are compared.
const MAX_DEPTH: usize = 64;
/// Fields that identify a row of a list in two snapshots; the first one that the row has is used.
const ROW_NAME_FIELDS: [&str; 7] = ["id", "request", "route", "name", "node", "pool", "source"];

/// Encodes a snapshot in the file format.
pub fn pack(snapshot: &Value) -> Result<Vec<u8>, String> {
    let text = serde_json::to_vec(snapshot).map_err(|e| e.to_string())?;
    let body = zstd::encode_all(&text[..], COMPRESSION_LEVEL).map_err(|e| e.to_string())?;
    let mut file =
        format!("{FORMAT_NAME} {VERSION} {} {}\n", body.len(), blake3::hash(&body).to_hex()).into_bytes();
    file.extend(body);
    Ok(file)
}

/// Decodes a snapshot file. The error says what was found and what was expected.
pub fn unpack(file: &[u8]) -> Result<Value, String> {
    let end = file.iter().take(256).position(|b| *b == b'\n').ok_or("found no first line")?;
    let head = std::str::from_utf8(&file[..end]).map_err(|_| "found a first line that is no text")?;
    let words: Vec<&str> = head.split(' ').collect();
    let [FORMAT_NAME, version, length, hash] = words[..] else {
        return Err(format!("found no snapshot, expected its first line to begin with {FORMAT_NAME}"));
    };
    if version.parse() != Ok(VERSION) {
        return Err(format!("found version {version:?}, expected {VERSION}"));
    }
    let body = &file[end + 1..];
    if length.parse() != Ok(body.len()) {
        return Err(format!("found {} bytes, expected {length}", body.len()));
    }
    if blake3::hash(body).to_hex().as_str() != hash {
        return Err("found bytes that are not those that were written".to_owned());
    }
    let mut text = Vec::new();
    let unpacked = zstd::Decoder::new(body).map_err(|e| e.to_string())?;
    unpacked.take(MAX_UNPACKED_BYTES + 1).read_to_end(&mut text).map_err(|e| e.to_string())?;
    if text.len() as u64 > MAX_UNPACKED_BYTES {
        return Err(format!("found more than {MAX_UNPACKED_BYTES} bytes"));
    }
    serde_json::from_slice(&text).map_err(|e| e.to_string())
}

/// A difference between two snapshots.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// Path of the value, such as `pools.portal.open_requests`.
    pub at: String,
    /// The earlier value; `None` if it was added.
    pub was: Option<Value>,
    /// The later value; `None` if it was removed.
    pub is: Option<Value>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.was, &self.is) {
            (Some(was), Some(is)) => match (was.as_f64(), is.as_f64()) {
                (Some(a), Some(b)) => write!(f, "{}: {was} -> {is} ({:+})", self.at, b - a),
                _ => write!(f, "{}: {was} -> {is}", self.at),
            },
            (Some(was), None) => write!(f, "{}: gone, was {was}", self.at),
            (None, Some(is)) => write!(f, "{}: come, {is}", self.at),
            (None, None) => write!(f, "{}", self.at),
        }
    }
}

/// Compares two snapshots. The differences are sorted by path. Rows of a list are matched by their names, whatever their order,
/// and rows without names by their positions.
pub fn differences(was: &Value, is: &Value) -> Vec<Difference> {
    let mut found = Vec::new();
    compare("", was, is, 0, &mut found);
    found
}

fn compare(at: &str, was: &Value, is: &Value, depth: usize, found: &mut Vec<Difference>) {
    if was == is {
        return;
    }
    let below = |name: &str| if at.is_empty() { name.to_owned() } else { format!("{at}.{name}") };
    let parts = match (was, is) {
        // Values nested deeper than any snapshot has are compared as a whole.
        _ if depth == MAX_DEPTH => None,
        (Value::Object(was), Value::Object(is)) => Some((parts_of(was), parts_of(is))),
        (Value::Array(was), Value::Array(is)) => rows_of(was).zip(rows_of(is)),
        _ => None,
    };
    let Some((was_parts, is_parts)) = parts else {
        found.push(Difference { at: at.to_owned(), was: Some(was.clone()), is: Some(is.clone()) });
        return;
    };
    for (name, was) in &was_parts {
        match is_parts.get(name) {
            Some(is) => compare(&below(name), was, is, depth + 1, found),
            None => found.push(Difference { at: below(name), was: Some((*was).clone()), is: None }),
        }
    }
    for (name, is) in is_parts.iter().filter(|(name, _)| !was_parts.contains_key(*name)) {
        found.push(Difference { at: below(name), was: None, is: Some((*is).clone()) });
    }
}

type Parts<'a> = BTreeMap<String, &'a Value>;

fn parts_of(of: &Map<String, Value>) -> Parts<'_> {
    of.iter().map(|(name, value)| (name.clone(), value)).collect()
}

/// The rows of a list by their names; `None` for a list of plain values.
fn rows_of(list: &[Value]) -> Option<Parts<'_>> {
    if !list.iter().all(Value::is_object) {
        return None;
    }
    let name = |(place, row): (usize, &Value)| {
        let named = ROW_NAME_FIELDS.iter().find_map(|name| row.get(name).filter(|value| !value.is_null()));
        named.map_or_else(
            || place.to_string(),
            |name| name.as_str().map_or_else(|| name.to_string(), str::to_owned),
        )
    };
    let mut rows = Parts::new();
    for (place, row) in list.iter().enumerate() {
        let mut key = name((place, row));
        // Rows of the same name are numbered in their order.
        let mut more = 2;
        while rows.contains_key(&key) {
            key = format!("{}#{more}", name((place, row)));
            more += 1;
        }
        rows.insert(key, row);
    }
    Some(rows)
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn a_packed_snapshot_is_unpacked_and_a_truncated_or_changed_one_is_rejected() {
        let snapshot = json!({"status": {"open": 3}, "pools": [{"pool": "p", "nodes": ["a", "b"]}]});
        let file = pack(&snapshot).expect("it is packed");
        assert_eq!(unpack(&file), Ok(snapshot));
        for at in 0..file.len() {
            assert!(unpack(&file[..at]).is_err(), "cut at {at}");
            let mut file = file.clone();
            file[at] ^= 1 << (at % 8);
            assert!(unpack(&file).is_err(), "changed at {at}");
        }
        // A file that unpacks to too many bytes, and one of another version.
        let body = zstd::encode_all(&vec![b' '; MAX_UNPACKED_BYTES as usize + 1][..], COMPRESSION_LEVEL)
            .expect("it packs");
        let large =
            [format!("{FORMAT_NAME} 1 {} {}\n", body.len(), blake3::hash(&body).to_hex()).into_bytes(), body];
        assert!(unpack(&large.concat()).is_err_and(|why| why.contains("found more than")));
        let later = b"sloeline-snapshot 2 0 x\n".to_vec();
        assert!(unpack(&later).is_err_and(|why| why.contains("found version \"2\", expected 1")));
    }

    #[test]
    fn differences_are_found_by_name_and_displayed() {
        let was = json!({
            "pools": [{"pool": "p", "open": 3}, {"pool": "q", "open": 1}, {"pool": "q", "open": 2}],
            "ready": true, "classes": ["a"], "deep": {"x": {"y": null}}, "old": 1,
        });
        let is = json!({
            "pools": [{"pool": "q", "open": 1}, {"pool": "q", "open": 5}, {"pool": "p", "open": 3}, {"pool": "r"}],
            "ready": false, "classes": ["a", "b"], "deep": {"x": {"y": 1}}, "new": 1,
        });
        let told: Vec<String> = differences(&was, &is).iter().map(ToString::to_string).collect();
        assert_eq!(
            told,
            [
                r#"classes: ["a"] -> ["a","b"]"#,
                "deep.x.y: null -> 1",
                "old: gone, was 1",
                "pools.q#2.open: 2 -> 5 (+3)",
                r#"pools.r: come, {"pool":"r"}"#,
                "ready: true -> false",
                "new: come, 1",
            ]
        );
        assert_eq!(differences(&was, &was), []);
    }
}
