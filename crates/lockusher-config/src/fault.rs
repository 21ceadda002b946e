//! Faults found while reading a document: each with its location, all of them in one run.

use std::fmt;

use derive_more::{Display, Error};

/// At most this many faults are kept of one document, so that a hostile one takes no memory.
pub const MAX_FAULTS: usize = 1_000;

/// At most this many characters of a wrong value are shown.
const MAX_VALUE_CHARACTERS: usize = 40;

/// One fault of a document.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[display("{location}: {problem}")]
pub struct Fault {
    /// Where it is: a path such as `routes[3].timeoutMs`, or a line and key of a settings file.
    pub location: String,
    pub problem: Problem,
}

/// What is wrong at a location.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Problem {
    /// The document could not be read at all; the reader's message names line and column.
    #[display("unreadable: {_0}")]
    Unreadable(String),
    #[display("missing")]
    Missing,
    /// A value of the wrong type or outside its range.
    #[display("expected {expected}, found {found}")]
    Unexpected { expected: &'static str, found: String },
    /// A settings key that stands on an earlier line as well.
    #[display("given twice, first on line {first_line}")]
    DuplicateKey { first_line: usize },
    /// A name that another entry of the same list has.
    #[display("has the same name as {other}")]
    DuplicateName { other: String },
    /// A route with the host and prefix of another.
    #[display("has the same host and prefix as {other}")]
    DuplicateHostAndPrefix { other: String },
    #[display("names the unknown service {_0:?}")]
    UnknownService(String),
    /// A route whose weights sum to 0.
    #[display("weights sum to 0")]
    ZeroWeights,
    /// A route with both `service` and `trafficSplit`, or with neither.
    #[display("expected either service or trafficSplit")]
    ServiceOrSplit,
    /// A field of a whole configuration in a patch.
    #[display(
        "can't be set by a patch; items go under upsert and remove, all else needs the whole configuration"
    )]
    NotInPatch,
    /// A list in a patch that a configuration doesn't have.
    #[display("unknown list, expected routes or services")]
    UnknownList,
    /// An item that a patch both sets and removes.
    #[display("{_0:?} is removed as well")]
    UpsertedAndRemoved(String),
    /// A range whose first port is above its last.
    #[display("first port {first} is above the last, {last}")]
    PortOrder { first: u16, last: u16 },
}

/// All faults of a document, in the order in which they were found.
#[derive(Clone, Debug, Default, PartialEq, Eq, Error)]
pub struct Faults {
    faults: Vec<Fault>,
    omitted: usize,
}

impl Faults {
    /// The faults of a document that could not be read at all.
    pub fn unreadable(message: impl fmt::Display) -> Self {
        let mut faults = Self::default();
        faults.add("document", Problem::Unreadable(message.to_string()));
        faults
    }

    /// Adds a fault; it is only counted once there are [`MAX_FAULTS`].
    pub fn add(&mut self, location: impl fmt::Display, problem: Problem) {
        if self.faults.len() < MAX_FAULTS {
            self.faults.push(Fault { location: location.to_string(), problem });
        } else {
            self.omitted += 1;
        }
    }

    /// The same faults at other locations, those that a problem names included.
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

    pub fn is_empty(&self) -> bool {
        self.faults.is_empty()
    }

    /// How many faults were found, also those that are not kept.
    pub fn count(&self) -> usize {
        self.faults.len() + self.omitted
    }

    pub fn iter(&self) -> impl Iterator<Item = &Fault> {
        self.faults.iter()
    }
}

impl fmt::Display for Faults {
    /// One fault a line.
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

/// The beginning of a wrong value, for an error message.
pub(crate) fn truncated_for_message(value: &str) -> String {
    if value.chars().count() <= MAX_VALUE_CHARACTERS {
        return value.to_owned();
    }
    let beginning: String = value.chars().take(MAX_VALUE_CHARACTERS).collect();
    format!("{beginning}…")
}
