//! Problems found in descriptions, with stable codes and a remedy for each.

use std::fmt;

use serde::Serialize;

use crate::refs::Place;

/// Severity of a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// The description is used nevertheless.
    Warning,
    /// The description is not used.
    Error,
}

/// Kind of a problem. A code never changes its meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Code {
    /// D001: the text cannot be parsed.
    Unreadable,
    /// D002: the version is neither OpenAPI 3.0 or 3.1 nor AsyncAPI 2.6 or 3.0.
    Version,
    /// D003: a reference is dangling, circular, or leads out of the folder.
    Reference,
    /// D004: a value has the wrong type or is missing.
    Shape,
    /// D010: an operation is declared safe, but has an unsafe method and a body.
    SafeWithBody,
    /// D011: an operation is declared safe, but responds with 201 or 202.
    SafeCreates,
    /// D012: an operation is declared safe, but its name or a related operation suggests that it charges, creates or cancels.
    SafeByName,
    /// D013: an operation is keyed, but its key is optional or not declared.
    KeyOptional,
    /// D014: an operation is keyed, but the description does not say how long keys are remembered.
    KeyWindow,
    /// D015: keys would have to be remembered longer than the nodes of the pool remember them.
    WindowTooLong,
    /// D016: an operation may take longer than callers wait.
    TooSlow,
    /// D017: the operations that an operation calls take longer than the operation itself.
    CallsLonger,
    /// D020: a request may match two operations.
    Overlap,
    /// D021: the path and the declared path parameters do not match.
    Parameters,
    /// D022: a path that cannot be a route.
    Path,
    /// D030: responses that the balancer itself may give are not described.
    Undescribed,
    /// D040: an unknown extension, or one with an invalid value.
    Extension,
    /// D041: a finding is accepted that does not exist, or without a reason.
    Accepted,
}

impl Code {
    /// The code as it is shown, such as `D001`.
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

    /// All codes, in order.
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

    /// Severity of a finding.
    pub fn severity(self) -> Severity {
        match self {
            Code::Undescribed | Code::Accepted => Severity::Warning,
            _ => Severity::Error,
        }
    }

    /// Whether a finding with this code can be accepted with a reason.
    pub fn acceptable(self) -> bool {
        matches!(self, Code::SafeWithBody | Code::SafeCreates | Code::SafeByName | Code::Undescribed)
    }

    /// How to fix the problem.
    pub fn remedy(self) -> &'static str {
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

/// A problem at a location of a description.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// Kind of the problem.
    pub code: Code,
    /// Path of the file, relative to the folder.
    pub file: String,
    /// Line number, from 1.
    pub line: usize,
    /// JSON pointer to the value.
    pub pointer: String,
    /// What was found and what was expected, in one line.
    pub what: String,
    /// The reason with which the finding was accepted, if it was.
    pub accepted: Option<String>,
}

impl Finding {
    /// Creates a finding at the location of a value.
    pub fn at(code: Code, place: &Place, what: impl Into<String>) -> Finding {
        let (file, line, pointer) = (place.file.to_string(), place.node.line, place.pointer.clone());
        Finding { code, file, line, pointer, what: what.into(), accepted: None }
    }

    /// The severity as it is shown: `accepted`, `error` or `warning`.
    pub fn severity(&self) -> &'static str {
        match (&self.accepted, self.code.severity()) {
            (Some(_), _) => "accepted",
            (None, Severity::Error) => "error",
            (None, Severity::Warning) => "warning",
        }
    }

    /// Whether the finding prevents the description from being used.
    pub fn is_blocking(&self) -> bool {
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
            None => write!(f, "; {}", self.code.remedy()),
        }
    }
}
