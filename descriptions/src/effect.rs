//! Whether a repeat of an operation is harmless, from what its description says. Silence means unsafe.

/// A key that makes repeats harmless, and where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyAt {
    /// A header, in lower case.
    Header(String),
    /// A parameter of the query.
    Query(String),
    /// A parameter of the path.
    Path(String),
}

/// What a repeat does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: it may be sent again anywhere.
    Safe,
    /// Nothing under the same key, within a window of microseconds.
    Keyed {
        /// Where the key stands.
        key: KeyAt,
        /// How long it is remembered.
        window: u64,
    },
    /// It must never run twice.
    Unsafe,
}

/// Why that is believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Because {
    /// The method changes nothing by its definition (RFC 9110 section 9.2.1).
    Method,
    /// An extension says so.
    Extension,
    /// Nothing says otherwise.
    Silence,
}

/// Methods that change nothing by their definition.
pub const SAFE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// Verbs for what can't be done twice for nothing. Words that are as often the name of a thing (`order`, `payment`) are not
/// among them.
const DOES: [&str; 14] = [
    "charge", "pay", "refund", "create", "cancel", "delete", "remove", "submit", "transfer", "withdraw",
    "approve", "reject", "revoke", "capture",
];

/// The words of a name: `createPaidCheck`, `create-paid-check` and `create_paid_check` have the same.
pub fn words(name: &str) -> Vec<String> {
    let mut words: Vec<String> = Vec::new();
    let mut before = ' ';
    for c in name.chars() {
        let begins = c.is_uppercase() && !before.is_uppercase() || !before.is_alphanumeric();
        if c.is_alphanumeric() {
            match words.last_mut() {
                Some(word) if !begins => word.extend(c.to_lowercase()),
                _ => words.push(c.to_lowercase().collect()),
            }
        }
        before = c;
    }
    words
}

/// The word of an operation's id by which it does something: its verb, which comes first.
pub fn verb(id: &str) -> Option<String> {
    words(id).into_iter().next().filter(|word| DOES.contains(&word.as_str()))
}

/// The word at the end of a path by which it does something: `/checks/{id}/cancel`. A collection's name in the middle of a
/// path, or at its end where things are only read (`/payments`), does nothing by itself.
pub fn ending(path: &str) -> Option<String> {
    let last = path.rsplit('/').next().filter(|last| !last.starts_with('{'))?;
    let word = words(last).into_iter().next().filter(|word| DOES.contains(&word.as_str()))?;
    // A verb stands behind something that it is done to.
    path.trim_end_matches(last).contains('{').then_some(word)
}
