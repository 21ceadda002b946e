//! The faults of a document or a settings file, each with its location.
//!
//! [`Faults`] is the error type of all readers of this package. Its text is shown to operators, with one fault per
//! line. The same input always has the same faults, so that a retry is of no use. The number of retained faults is
//! bounded.

use std::fmt;

use derive_more::{Display, Error};

/// Maximum number of retained faults of one document, so that a malicious document can't exhaust memory; further faults
/// are only counted.
pub const MAX_FAULTS: usize = 1_000;

/// Maximum number of characters of an invalid value in a message.
const MAX_VALUE_CHARACTERS: usize = 40;

/// One fault of a document.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[display("{location}: {problem}")]
pub struct Fault {
    /// Location: a path such as `routes[3].timeoutMs`, or a line and key of a settings file.
    pub location: String,
    /// The problem at this location.
    pub problem: Problem,
}

/// The problem at a location.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Problem {
    /// The document could not be parsed; the parser's message has line and column.
    #[display("unreadable: {_0}")]
    Unreadable(String),
    /// A required field or key is absent.
    #[display("missing")]
    Missing,
    /// A value of the wrong type or outside its range.
    #[display("expected {expected}, found {found}")]
    Unexpected {
        /// Description of the valid values.
        expected: &'static str,
        /// The beginning of the invalid value.
        found: String,
    },
    /// A settings key that occurs on several lines.
    #[display("given twice, first on line {first_line}")]
    DuplicateKey {
        /// The first of these lines, numbered from 1.
        first_line: usize,
    },
    /// A name that another entry of the same list already has.
    #[display("has the same name as {other}")]
    DuplicateName {
        /// The path of the other entry.
        other: String,
    },
    /// A route with the same host and prefix as another.
    #[display("has the same host and prefix as {other}")]
    DuplicateHostAndPrefix {
        /// The path of the other route.
        other: String,
    },
    /// A route refers to a service that the configuration doesn't have.
    #[display("names the unknown service {_0:?}")]
    UnknownService(String),
    /// A route whose weights sum to 0.
    #[display("weights sum to 0")]
    ZeroWeights,
    /// A route with both `service` and `trafficSplit`, or with neither.
    #[display("expected either service or trafficSplit")]
    ServiceOrSplit,
    /// A field in a patch that only a complete configuration can have.
    #[display(
        "can't be set by a patch; items go under upsert and remove, all else needs the whole configuration"
    )]
    NotInPatch,
    /// A list in a patch that a configuration doesn't have.
    #[display("unknown list, expected routes or services")]
    UnknownList,
    /// An item that a patch both upserts and removes.
    #[display("{_0:?} is removed as well")]
    UpsertedAndRemoved(String),
    /// A range whose first port is above its last.
    #[display("first port {first} is above the last, {last}")]
    PortOrder {
        /// The given first port.
        first: u16,
        /// The given last port.
        last: u16,
    },
}

/// All faults of a document, in the order in which they were found.
#[derive(Clone, Debug, Default, PartialEq, Eq, Error)]
pub struct Faults {
    faults: Vec<Fault>,
    omitted: usize,
}

impl Faults {
    /// The single fault of a document that could not be parsed.
    pub fn unreadable(message: impl fmt::Display) -> Self {
        let mut faults = Self::default();
        faults.add("document", Problem::Unreadable(message.to_string()));
        faults
    }

    /// Adds a fault; it is only counted if [`MAX_FAULTS`] are retained already.
    pub fn add(&mut self, location: impl fmt::Display, problem: Problem) {
        if self.faults.len() < MAX_FAULTS {
            self.faults.push(Fault {
                location: location.to_string(),
                problem,
            });
        } else {
            self.omitted += 1;
        }
    }

    /// Translates all locations with `relocate`, including those within problems.
    pub fn relocated(mut self, relocate: impl Fn(&str) -> String) -> Self {
        for fault in &mut self.faults {
            fault.location = relocate(&fault.location);
            if let Problem::DuplicateName { other } | Problem::DuplicateHostAndPrefix { other } =
                &mut fault.problem
            {
                *other = relocate(other);
            }
        }
        self
    }

    /// Whether no fault was found.
    pub fn is_empty(&self) -> bool {
        self.faults.is_empty()
    }

    /// The number of faults that were found, including those that are not retained.
    pub fn count(&self) -> usize {
        self.faults.len() + self.omitted
    }

    /// The retained faults, in the order in which they were found.
    pub fn iter(&self) -> impl Iterator<Item = &Fault> {
        self.faults.iter()
    }
}

impl fmt::Display for Faults {
    /// One fault per line.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            write!(formatter, "{fault}")?;
        }
        if self.omitted > 0 {
            write!(formatter, "\nand {} more", self.omitted)?;
        }
        Ok(())
    }
}

/// The beginning of an invalid value, for an error message.
pub(crate) fn truncated_for_message(value: &str) -> String {
    if value.chars().count() <= MAX_VALUE_CHARACTERS {
        return value.to_owned();
    }
    let beginning: String = value.chars().take(MAX_VALUE_CHARACTERS).collect();
    format!("{beginning}…")
}
