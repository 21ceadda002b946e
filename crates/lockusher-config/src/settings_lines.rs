//! The lines of a settings file, with typed access to their values.
//!
//! A fault is collected with its line and reading continues, so that all faults are reported at once.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use derive_more::Display;

use crate::duration::{rounded_up_ms, seconds_to_ms};
use crate::fault::{Faults, Problem, truncated_for_message};
use crate::internal_ports::PortRange;

/// A line that starts with this is ignored.
const COMMENT_MARKER: char = '#';

/// The value of a key, and its line.
#[derive(Clone, Copy, Debug)]
struct Entry<'a> {
    value: &'a str,
    line: usize,
    /// The first of the later lines with the same key.
    repeated_on: Option<usize>,
}

/// Location of a fault in a settings file.
#[derive(Clone, Copy, Debug, Display)]
#[display("line {line}, {key}")]
struct LineAndKey<'a> {
    line: usize,
    key: &'a str,
}

/// The lines of a settings file by key.
#[derive(Debug)]
pub struct SettingsLines<'a> {
    entries: BTreeMap<&'a str, Entry<'a>>,
    faults: Faults,
}

impl<'a> SettingsLines<'a> {
    /// Parses the text into lines. Collects a fault for each line that is not of the form `key=value`.
    pub fn parse(text: &'a str) -> Self {
        let mut lines = Self {
            entries: BTreeMap::new(),
            faults: Faults::default(),
        };
        for (index, line) in text.lines().enumerate() {
            lines.add(index + 1, line.trim());
        }
        lines
    }

    fn add(&mut self, number: usize, line: &'a str) {
        if line.is_empty() || line.starts_with(COMMENT_MARKER) {
            return;
        }
        let Some((key, value)) = line.split_once('=') else {
            let problem = Problem::Unexpected {
                expected: "key=value",
                found: truncated_for_message(line),
            };
            self.faults.add(format_args!("line {number}"), problem);
            return;
        };
        let entry = Entry {
            value: value.trim(),
            line: number,
            repeated_on: None,
        };
        self.entries
            .entry(key.trim())
            .and_modify(|first| first.repeated_on = first.repeated_on.or(Some(number)))
            .or_insert(entry);
    }

    /// Returns all faults that were found.
    pub fn into_faults(self) -> Faults {
        self.faults
    }

    /// The entry of a key, if it has a value. Collects a fault if several lines have this key.
    fn entry(&mut self, key: &str) -> Option<Entry<'a>> {
        let entry = *self.entries.get(key)?;
        if let Some(line) = entry.repeated_on {
            self.faults.add(
                LineAndKey { line, key },
                Problem::DuplicateKey {
                    first_line: entry.line,
                },
            );
        }
        (!entry.value.is_empty()).then_some(entry)
    }

    fn unexpected(&mut self, line: usize, key: &str, expected: &'static str, found: &str) {
        self.faults.add(
            LineAndKey { line, key },
            Problem::Unexpected {
                expected,
                found: truncated_for_message(found),
            },
        );
    }

    fn missing(&mut self, key: impl fmt::Display) {
        self.faults.add(key, Problem::Missing);
    }

    fn parsed<T: FromStr>(
        &mut self,
        key: &str,
        entry: Entry<'_>,
        expected: &'static str,
    ) -> Option<T> {
        let parsed = entry.value.parse().ok();
        if parsed.is_none() {
            self.unexpected(entry.line, key, expected, entry.value);
        }
        parsed
    }

    /// The value of a required key.
    pub fn required<T: FromStr>(&mut self, key: &str, expected: &'static str) -> Option<T> {
        let Some(entry) = self.entry(key) else {
            self.missing(key);
            return None;
        };
        self.parsed(key, entry, expected)
    }

    /// The value of an optional key: `Some(None)` if it is absent, `None` if its value is invalid.
    pub fn optional<T: FromStr>(&mut self, key: &str, expected: &'static str) -> Option<Option<T>> {
        match self.entry(key) {
            Some(entry) => self.parsed(key, entry, expected).map(Some),
            None => Some(None),
        }
    }

    /// The value of a key, or the default if it is absent.
    pub fn value_or<T: FromStr>(
        &mut self,
        key: &str,
        expected: &'static str,
        default: T,
    ) -> Option<T> {
        self.optional(key, expected)
            .map(|value| value.unwrap_or(default))
    }

    /// A number of at least 0.
    pub fn number(&mut self, key: &str, default: f64) -> Option<f64> {
        self.number_where(key, "a number of at least 0", default, |number| {
            number >= 0.0
        })
    }

    /// A number above 0.
    pub fn positive_number(&mut self, key: &str, default: f64) -> Option<f64> {
        self.number_where(key, "a positive number", default, |number| number > 0.0)
    }

    fn number_where(
        &mut self,
        key: &str,
        expected: &'static str,
        default: f64,
        accept: impl Fn(f64) -> bool,
    ) -> Option<f64> {
        let Some(entry) = self.entry(key) else {
            return Some(default);
        };
        let number: f64 = self.parsed(key, entry, expected)?;
        if number.is_finite() && accept(number) {
            return Some(number);
        }
        self.unexpected(entry.line, key, expected, entry.value);
        None
    }

    /// A duration in milliseconds; rounded up.
    pub fn ms(&mut self, key: &str, default: u64) -> Option<u64> {
        self.number(key, default as f64).map(rounded_up_ms)
    }

    /// A duration in milliseconds, above 0.
    pub fn positive_ms(&mut self, key: &str, default: u64) -> Option<u64> {
        self.positive_number(key, default as f64).map(rounded_up_ms)
    }

    /// A duration that is given in seconds, converted to milliseconds.
    pub fn seconds_as_ms(&mut self, key: &str, default_ms: u64) -> Option<u64> {
        self.number(key, default_ms as f64 / 1_000.0)
            .map(seconds_to_ms)
    }

    /// A comma-separated list; empty if the key is absent. Each invalid item is a fault.
    pub fn list<T: FromStr>(&mut self, key: &str, expected: &'static str) -> Option<Vec<T>> {
        let Some(entry) = self.entry(key) else {
            return Some(Vec::new());
        };
        let items = entry
            .value
            .split(',')
            .map(str::trim)
            .filter(|item| !item.is_empty());
        let parsed: Vec<Option<T>> = items
            .map(|item| {
                let parsed = item.parse().ok();
                if parsed.is_none() {
                    self.unexpected(entry.line, key, expected, item);
                }
                parsed
            })
            .collect();
        parsed.into_iter().collect()
    }

    /// A required range of ports, `FIRST,LAST`.
    pub fn port_range(&mut self, key: &str) -> Option<PortRange> {
        const EXPECTED: &str = "FIRST,LAST port";
        let Some(entry) = self.entry(key) else {
            self.missing(key);
            return None;
        };
        let ports = entry.value.split_once(',').and_then(|(first, last)| {
            Some((
                first.trim().parse::<u16>().ok()?,
                last.trim().parse::<u16>().ok()?,
            ))
        });
        let Some((first, last)) = ports else {
            self.unexpected(entry.line, key, EXPECTED, entry.value);
            return None;
        };
        if first > last {
            self.faults.add(
                LineAndKey {
                    line: entry.line,
                    key,
                },
                Problem::PortOrder { first, last },
            );
            return None;
        }
        Some(PortRange { first, last })
    }

    /// The values of all keys that begin with `prefix`, by the rest of the key.
    pub fn with_prefix(&mut self, prefix: &str) -> BTreeMap<String, String> {
        let keys: Vec<&str> = self
            .entries
            .keys()
            .copied()
            .filter(|key| key.starts_with(prefix))
            .collect();
        let mut values = BTreeMap::new();
        for key in keys {
            if let Some(entry) = self.entry(key) {
                values.insert(key[prefix.len()..].to_owned(), entry.value.to_owned());
            }
        }
        values
    }
}
