//! Conversions of a JSON value to the type of a field. The error holds what was expected and what was found.

use serde_json::Value;

use crate::fault::{Problem, truncated_for_message};

/// Every integer up to this (2^53) is exactly representable as a 64-bit float.
const MAX_EXACT_FLOAT: f64 = 9_007_199_254_740_992.0;

/// The problem of a value of the wrong type or outside its range.
pub fn unexpected(expected: &'static str, value: &Value) -> Problem {
    Problem::Unexpected {
        expected,
        found: truncated_for_message(&value.to_string()),
    }
}

/// A string.
pub fn text(value: &Value) -> Result<String, Problem> {
    value
        .as_str()
        .map(str::to_owned)
        .ok_or_else(|| unexpected("a string", value))
}

/// A string that is not empty.
pub fn non_empty_text(value: &Value) -> Result<String, Problem> {
    text(value)
        .ok()
        .filter(|text| !text.is_empty())
        .ok_or_else(|| unexpected("a non-empty string", value))
}

/// A number of at least 0; the operator may send any number as a float.
pub fn number(value: &Value) -> Result<f64, Problem> {
    value
        .as_f64()
        .filter(|number| *number >= 0.0)
        .ok_or_else(|| unexpected("a number of at least 0", value))
}

/// A number above 0.
pub fn positive_number(value: &Value) -> Result<f64, Problem> {
    number(value)
        .ok()
        .filter(|number| *number > 0.0)
        .ok_or_else(|| unexpected("a positive number", value))
}

/// The value as an integer of at least 0, also if it was sent as a float.
fn exact_integer(value: &Value) -> Option<u64> {
    if let Some(integer) = value.as_u64() {
        return Some(integer);
    }
    let float = value.as_f64()?;
    let exact = float.fract() == 0.0 && (0.0..=MAX_EXACT_FLOAT).contains(&float);
    exact.then_some(float as u64)
}

/// An integer of at least 0.
pub fn integer(value: &Value) -> Result<u64, Problem> {
    exact_integer(value).ok_or_else(|| unexpected("a whole number", value))
}

/// An integer above 0.
pub fn positive_integer(value: &Value) -> Result<u64, Problem> {
    exact_integer(value)
        .filter(|integer| *integer > 0)
        .ok_or_else(|| unexpected("a positive whole number", value))
}

/// An integer of at least 0 that fits into 32 bits.
pub fn integer_u32(value: &Value) -> Result<u32, Problem> {
    let integer = exact_integer(value).and_then(|integer| u32::try_from(integer).ok());
    integer.ok_or_else(|| unexpected("a whole number below 2^32", value))
}

/// An integer above 0 that fits into 32 bits.
pub fn positive_u32(value: &Value) -> Result<u32, Problem> {
    let integer = integer_u32(value).ok().filter(|integer| *integer > 0);
    integer.ok_or_else(|| unexpected("a positive whole number below 2^32", value))
}
