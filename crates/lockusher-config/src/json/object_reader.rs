//! Typed access to the fields of one JSON object.
//!
//! A required field that is absent or invalid yields `None` and adds a fault; an optional one that is absent or `null`
//! yields the caller's default. Unknown fields are ignored.

use serde_json::{Map, Value};

use crate::duration::{rounded_up_ms, seconds_to_ms};
use crate::fault::Problem;
use crate::json::conversion::{
    integer, integer_u32, non_empty_text, number, positive_integer, positive_number, positive_u32,
    text, unexpected,
};
use crate::json::fault_collector::FaultCollector;
use crate::json::field_path::FieldPath;

/// One object of the document. Each method reads one field; the methods `*_or` have a default for an absent field.
#[derive(Clone, Copy, Debug)]
pub struct ObjectReader<'a> {
    fields: &'a Map<String, Value>,
    path: FieldPath<'a>,
    faults: &'a FaultCollector,
}

impl<'a> ObjectReader<'a> {
    /// Creates a reader of `value`; adds a fault if it isn't an object.
    pub fn new(value: &'a Value, path: FieldPath<'a>, faults: &'a FaultCollector) -> Option<Self> {
        let Some(fields) = value.as_object() else {
            faults.add(path, unexpected("an object", value));
            return None;
        };
        Some(Self {
            fields,
            path,
            faults,
        })
    }

    /// The collector of the document's faults.
    pub fn faults(&self) -> &'a FaultCollector {
        self.faults
    }

    /// The path of the object.
    pub fn path(&self) -> &FieldPath<'a> {
        &self.path
    }

    /// Adds a fault of the object itself.
    pub fn add_fault(&self, problem: Problem) {
        self.faults.add(self.path, problem);
    }

    /// Adds a fault of one field of the object.
    pub fn add_field_fault(&self, name: &str, problem: Problem) {
        self.faults.add(FieldPath::Field(&self.path, name), problem);
    }

    /// The field's value, unless it is absent or `null`.
    pub fn value(&self, name: &str) -> Option<&'a Value> {
        self.fields.get(name).filter(|value| !value.is_null())
    }

    /// The names of all fields, including those that are `null`.
    pub fn field_names(&self) -> impl Iterator<Item = &'a str> {
        self.fields.keys().map(String::as_str)
    }

    fn required<T>(&self, name: &str, convert: impl Fn(&Value) -> Result<T, Problem>) -> Option<T> {
        let Some(value) = self.value(name) else {
            self.add_field_fault(name, Problem::Missing);
            return None;
        };
        self.converted(name, value, convert)
    }

    fn optional<T>(
        &self,
        name: &str,
        default: T,
        convert: impl Fn(&Value) -> Result<T, Problem>,
    ) -> Option<T> {
        match self.value(name) {
            Some(value) => self.converted(name, value, convert),
            None => Some(default),
        }
    }

    fn converted<T>(
        &self,
        name: &str,
        value: &Value,
        convert: impl Fn(&Value) -> Result<T, Problem>,
    ) -> Option<T> {
        convert(value)
            .map_err(|problem| self.add_field_fault(name, problem))
            .ok()
    }

    /// A string that is not empty.
    pub fn text(&self, name: &str) -> Option<String> {
        self.required(name, non_empty_text)
    }

    /// A string, which may be empty.
    pub fn text_or(&self, name: &str, default: &str) -> Option<String> {
        self.optional(name, default.to_owned(), text)
    }

    /// An integer above 0.
    pub fn positive_integer(&self, name: &str) -> Option<u64> {
        self.required(name, positive_integer)
    }

    /// As [`positive_integer`](Self::positive_integer), with a default.
    pub fn positive_integer_or(&self, name: &str, default: u64) -> Option<u64> {
        self.optional(name, default, positive_integer)
    }

    /// An integer above 0 that fits into 32 bits.
    pub fn positive_u32_or(&self, name: &str, default: u32) -> Option<u32> {
        self.optional(name, default, positive_u32)
    }

    /// An integer of at least 0.
    pub fn integer_or(&self, name: &str, default: u64) -> Option<u64> {
        self.optional(name, default, integer)
    }

    /// An integer that fits into 32 bits.
    pub fn integer_u32(&self, name: &str) -> Option<u32> {
        self.required(name, integer_u32)
    }

    /// A duration in milliseconds, above 0; rounded up.
    pub fn positive_ms(&self, name: &str) -> Option<u64> {
        self.required(name, |value| positive_number(value).map(rounded_up_ms))
    }

    /// A duration in milliseconds; rounded up.
    pub fn ms_or(&self, name: &str, default: u64) -> Option<u64> {
        self.optional(name, default, |value| number(value).map(rounded_up_ms))
    }

    /// A duration that is given in seconds, converted to milliseconds.
    pub fn seconds_as_ms_or(&self, name: &str, default_ms: u64) -> Option<u64> {
        self.optional(name, default_ms, |value| number(value).map(seconds_to_ms))
    }

    /// A number above 0.
    pub fn positive_number_or(&self, name: &str, default: f64) -> Option<f64> {
        self.optional(name, default, positive_number)
    }

    /// `true` or `false`.
    pub fn flag_or(&self, name: &str, default: bool) -> Option<bool> {
        self.optional(name, default, |value| {
            value
                .as_bool()
                .ok_or_else(|| unexpected("true or false", value))
        })
    }

    /// Reads the object in a field, or returns the default if the field is absent.
    pub fn object_or<T>(
        &self,
        name: &str,
        default: T,
        read: impl FnOnce(&ObjectReader<'_>) -> Option<T>,
    ) -> Option<T> {
        match self.value(name) {
            Some(value) => {
                let reader =
                    ObjectReader::new(value, FieldPath::Field(&self.path, name), self.faults)?;
                read(&reader)
            }
            None => Some(default),
        }
    }

    /// Reads each item of the list in a field. Invalid items are skipped, and their faults collected.
    pub fn list<T>(
        &self,
        name: &str,
        read: impl FnMut(&Value, FieldPath<'_>) -> Option<T>,
    ) -> Option<Vec<T>> {
        let Some(value) = self.value(name) else {
            self.add_field_fault(name, Problem::Missing);
            return None;
        };
        self.items(name, value, read)
    }

    /// As [`list`](Self::list), but empty if the field is absent.
    pub fn list_or_empty<T>(
        &self,
        name: &str,
        read: impl FnMut(&Value, FieldPath<'_>) -> Option<T>,
    ) -> Option<Vec<T>> {
        match self.value(name) {
            Some(value) => self.items(name, value, read),
            None => Some(Vec::new()),
        }
    }

    /// As [`list`](Self::list), for objects.
    pub fn objects<T>(
        &self,
        name: &str,
        mut read: impl FnMut(&ObjectReader<'_>) -> Option<T>,
    ) -> Option<Vec<T>> {
        self.list(name, |value, path| {
            read(&ObjectReader::new(value, path, self.faults)?)
        })
    }

    fn items<T>(
        &self,
        name: &str,
        value: &Value,
        mut read: impl FnMut(&Value, FieldPath<'_>) -> Option<T>,
    ) -> Option<Vec<T>> {
        let Some(items) = value.as_array() else {
            self.add_field_fault(name, unexpected("a list", value));
            return None;
        };
        let path = FieldPath::Field(&self.path, name);
        let read_items = items.iter().enumerate();
        Some(
            read_items
                .filter_map(|(index, item)| read(item, FieldPath::Item(&path, index)))
                .collect(),
        )
    }
}
