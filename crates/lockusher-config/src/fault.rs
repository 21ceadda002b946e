//! The faults of a document or a settings file: each with its location, all of them in one run.
//!
//! [`Faults`] is the error of every reader of this package. An operator reads its text, one fault a line; a caller that
//! tries the same input again gets the same faults. The number of faults that are retained is bounded.

use std::fmt;

use derive_more::{Display, Error};

/// At most this many faults of one document are retained, so that a hostile one takes no memory; more are counted.
pub const MAX_FAULTS: usize = 1_000;

/// At most this many characters of a wrong value stand in a message.
const MAX_VALUE_CHARACTERS: usize = 40;

/// One fault of a document.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[display("{location}: {problem}")]
pub struct Fault {
    /// Where it is: a path such as `routes[3].timeoutMs`, or a line and key of a settings file.
    pub location: String,
    /// What is wrong there.
    pub problem: Problem,
}

/// What is wrong at a location.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Problem {
    /// The document could not be read at all; the reader's message names line and column.
    #[display("unreadable: {_0}")]
    Unreadable(String),
    /// A required field or key is absent.
    #[display("missing")]
    Missing,
    /// A value of the wrong type or outside its range.
    #[display("expected {expected}, found {found}")]
    Unexpected {
        /// What is valid here.
        expected: &'static str,
        /// The beginning of the wrong value.
        found: String,
    },
    /// A settings key that stands on several lines.
    #[display("given twice, first on line {first_line}")]
    DuplicateKey {
        /// The number of the first of these lines, from 1.
        first_line: usize,
    },
    /// A name that another entry of the same list has.
    #[display("has the same name as {other}")]
    DuplicateName {
        /// The path of the other entry.
        other: String,
    },
    /// A route with the host and prefix of another.
    #[display("has the same host and prefix as {other}")]
    DuplicateHostAndPrefix {
        /// The path of the other route.
        other: String,
    },
    /// A route to a service that the configuration doesn't have.
    #[display("names the unknown service {_0:?}")]
    UnknownService(String),
    /// A route whose weights sum to 0.
    #[display("weights sum to 0")]
    ZeroWeights,
    /// A route with both `service` and `trafficSplit`, or with neither.
    #[display("expected either service or trafficSplit")]
    ServiceOrSplit,
    /// A field that stands in a complete configuration only, in a patch.
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
    PortOrder {
        /// The first port as given.
        first: u16,
        /// The last port as given.
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
    /// The faults of a document that could not be read at all.
    pub fn unreadable(message: impl fmt::Display) -> Self {
        let mut faults = Self::default();
        faults.add("document", Problem::Unreadable(message.to_string()));
        faults
    }

    /// Adds a fault; it is only counted once there are [`MAX_FAULTS`].
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

    /// Whether no fault was found.
    pub fn is_empty(&self) -> bool {
        self.faults.is_empty()
    }

    /// How many faults were found, also those that are not retained.
    pub fn count(&self) -> usize {
        self.faults.len() + self.omitted
    }

    /// The retained faults, in the order in which they were found.
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
