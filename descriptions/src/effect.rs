//! Whether requests of an operation may be repeated, according to its description. The default is unsafe.

/// The part of a request that carries the idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyLocation {
    /// The header with this name, in lower case.
    Header(String),
    /// The query parameter with this name.
    Query(String),
    /// The path parameter with this name.
    Path(String),
}

/// The effect of a repeated request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// None: the request may be sent again to any upstream.
    Safe,
    /// None if the repeat has the same key and arrives within the window.
    Keyed {
        /// Where requests carry the key.
        key: KeyLocation,
        /// How long upstreams remember the key, in microseconds.
        window: u64,
    },
    /// A second effect: the request must not run twice.
    Unsafe,
}

/// What an operation's effect was derived from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EffectSource {
    /// The method, which is safe by definition (RFC 9110 section 9.2.1).
    Method,
    /// An extension of the description.
    Extension,
    /// The default, because the description does not say.
    Silence,
}

/// Methods that are safe by definition.
pub const SAFE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// Verbs of actions that have an effect each time. Words that are often nouns (`order`, `payment`) are left out.
const ACTION_VERBS: [&str; 14] = [
    "charge", "pay", "refund", "create", "cancel", "delete", "remove", "submit", "transfer", "withdraw",
    "approve", "reject", "revoke", "capture",
];

/// Splits a name into lower-case words: `createPaidCheck`, `create-paid-check` and `create_paid_check` give the same words.
pub fn split_words(name: &str) -> Vec<String> {
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

/// The first word of an operation id, if it is the verb of an action that has an effect each time.
pub fn leading_action(id: &str) -> Option<String> {
    split_words(id).into_iter().next().filter(|word| ACTION_VERBS.contains(&word.as_str()))
}

/// The verb of such an action at the end of a path, as in `/checks/{id}/cancel`. A path segment that is not preceded by a
/// parameter, as in `/payments`, names a collection and is no action.
pub fn trailing_action(path: &str) -> Option<String> {
    let last = path.rsplit('/').next().filter(|last| !last.starts_with('{'))?;
    let word = split_words(last).into_iter().next().filter(|word| ACTION_VERBS.contains(&word.as_str()))?;
    // An action follows the parameter that identifies its object.
    path.trim_end_matches(last).contains('{').then_some(word)
}
