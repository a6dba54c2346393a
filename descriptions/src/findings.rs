//! What is wrong with a description: stable codes, and how to mend each.

use std::fmt;

use serde::Serialize;

use crate::refs::Place;

/// How bad it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// It is used all the same.
    Warning,
    /// It is not used.
    Error,
}

/// What is wrong. The codes never change their meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Code {
    /// D001: the text can't be read.
    Unreadable,
    /// D002: neither OpenAPI 3.0 or 3.1 nor AsyncAPI 2.6 or 3.0.
    Version,
    /// D003: a reference leads nowhere, in a circle, or out of the folder.
    Reference,
    /// D004: something is of another kind than it must be.
    Shape,
    /// D010: safe, and yet it carries a body by a method that changes things.
    SafeWithBody,
    /// D011: safe, and yet it answers 201 or 202.
    SafeCreates,
    /// D012: safe, and yet its name or its neighbours' say that it charges, creates or cancels.
    SafeByName,
    /// D013: keyed, and the key may be left out, or is not declared.
    KeyOptional,
    /// D014: keyed, and nothing says how long a key is remembered.
    KeyWindow,
    /// D015: a key is to be remembered longer than the pool's nodes do.
    WindowTooLong,
    /// D016: it may take longer than callers wait.
    TooSlow,
    /// D017: the operations that it calls take longer than it does.
    CallsLonger,
    /// D020: two operations that one request may match.
    Overlap,
    /// D021: the path and its parameters do not fit.
    Parameters,
    /// D022: a path that has no route here.
    Path,
    /// D030: answers that the balancer itself may give are not described.
    Undescribed,
    /// D040: an extension with a value that it can't have.
    Extension,
    /// D041: an accepted finding that is not there, or without a reason.
    Accepted,
}

impl Code {
    /// Its number.
    pub fn number(self) -> &'static str {
        match self {
            Code::Unreadable => "D001",
            Code::Version => "D002",
            Code::Reference => "D003",
            Code::Shape => "D004",
            Code::SafeWithBody => "D010",
            Code::SafeCreates => "D011",
            Code::SafeByName => "D012",
            Code::KeyOptional => "D013",
            Code::KeyWindow => "D014",
            Code::WindowTooLong => "D015",
            Code::TooSlow => "D016",
            Code::CallsLonger => "D017",
            Code::Overlap => "D020",
            Code::Parameters => "D021",
            Code::Path => "D022",
            Code::Undescribed => "D030",
            Code::Extension => "D040",
            Code::Accepted => "D041",
        }
    }

    /// All of them, in the order of their numbers.
    pub const ALL: [Code; 18] = [
        Code::Unreadable,
        Code::Version,
        Code::Reference,
        Code::Shape,
        Code::SafeWithBody,
        Code::SafeCreates,
        Code::SafeByName,
        Code::KeyOptional,
        Code::KeyWindow,
        Code::WindowTooLong,
        Code::TooSlow,
        Code::CallsLonger,
        Code::Overlap,
        Code::Parameters,
        Code::Path,
        Code::Undescribed,
        Code::Extension,
        Code::Accepted,
    ];

    /// How bad it is.
    pub fn severity(self) -> Severity {
        match self {
            Code::Undescribed | Code::Accepted => Severity::Warning,
            _ => Severity::Error,
        }
    }

    /// Whether a reason may stand against it.
    pub fn acceptable(self) -> bool {
        matches!(self, Code::SafeWithBody | Code::SafeCreates | Code::SafeByName | Code::Undescribed)
    }

    /// How to mend it.
    pub fn mend(self) -> &'static str {
        match self {
            Code::Unreadable => "correct the text at that line",
            Code::Version => "write openapi: 3.0.x or 3.1.x, or asyncapi: 2.6.x or 3.0.x",
            Code::Reference => "name something that is there, within the folder",
            Code::Shape => "write what the specification asks for there",
            Code::SafeWithBody | Code::SafeCreates | Code::SafeByName => {
                "leave out x-sloeline-effect, or accept it with a reason in x-sloeline-accept"
            }
            Code::KeyOptional => "declare the key as a parameter with required: true",
            Code::KeyWindow => "say how long nodes remember a key in x-sloeline-window",
            Code::WindowTooLong => "shorten x-sloeline-window to what the nodes remember",
            Code::TooSlow => "shorten x-sloeline-time, or let callers wait longer",
            Code::CallsLonger => "lengthen x-sloeline-time, or shorten that of what it calls",
            Code::Overlap => "make one of the two more concrete, or remove it",
            Code::Parameters => "declare each parameter of the path once, in: path, required: true",
            Code::Path => "let each parameter be a whole segment",
            Code::Undescribed => "describe 429, 502, 503 and 504, or default",
            Code::Extension => "give it a value as docs/DESCRIPTIONS.md says",
            Code::Accepted => "take it out, or say why",
        }
    }
}

/// One thing that is wrong, and where.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// What it is.
    pub code: Code,
    /// The file, from the folder.
    pub file: String,
    /// Its line, from 1.
    pub line: usize,
    /// The JSON pointer.
    pub pointer: String,
    /// What was found and what was expected, in one line.
    pub what: String,
    /// The reason for which it is accepted.
    pub accepted: Option<String>,
}

impl Finding {
    /// At a place.
    pub fn at(code: Code, place: &Place, what: impl Into<String>) -> Finding {
        let (file, line, pointer) = (place.file.to_string(), place.node.line, place.pointer.clone());
        Finding { code, file, line, pointer, what: what.into(), accepted: None }
    }

    /// How bad it is, as accepted or not.
    pub fn severity(&self) -> &'static str {
        match (&self.accepted, self.code.severity()) {
            (Some(_), _) => "accepted",
            (None, Severity::Error) => "error",
            (None, Severity::Warning) => "warning",
        }
    }

    /// It keeps the description from being used.
    pub fn stops(&self) -> bool {
        self.code.severity() == Severity::Error && self.accepted.is_none()
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let severity = self.severity();
        write!(
            f,
            "{}:{}: {severity} {}: {} (at {})",
            self.file,
            self.line,
            self.code.number(),
            self.what,
            self.pointer
        )?;
        match &self.accepted {
            Some(reason) => write!(f, ": {reason}"),
            None => write!(f, "; {}", self.code.mend()),
        }
    }
}
