//! Parses JSON and rejects objects with duplicate names. `serde_json::Value` alone keeps the last of two fields with
//! the same name: part of the document would be dropped silently.

use std::fmt;

use serde::Deserialize;
use serde::de::{Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};

/// Parses the body as one JSON value; fails on trailing data and on duplicate names.
///
/// # Errors
///
/// The parser's error, with line and column.
pub fn parse_unique(body: &[u8]) -> Result<Value, serde_json::Error> {
    serde_json::from_slice::<UniqueKeys>(body).map(|document| document.0)
}

/// A JSON value whose objects have unique names.
struct UniqueKeys(Value);

impl<'de> Deserialize<'de> for UniqueKeys {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer
            .deserialize_any(UniqueKeysVisitor)
            .map(UniqueKeys)
    }
}

struct UniqueKeysVisitor;

impl<'de> Visitor<'de> for UniqueKeysVisitor {
    type Value = Value;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a JSON value")
    }

    fn visit_bool<E>(self, flag: bool) -> Result<Value, E> {
        Ok(Value::Bool(flag))
    }

    fn visit_i64<E>(self, number: i64) -> Result<Value, E> {
        Ok(Value::from(number))
    }

    fn visit_u64<E>(self, number: u64) -> Result<Value, E> {
        Ok(Value::from(number))
    }

    fn visit_f64<E>(self, number: f64) -> Result<Value, E> {
        Ok(Number::from_f64(number).map_or(Value::Null, Value::Number))
    }

    fn visit_str<E>(self, text: &str) -> Result<Value, E> {
        Ok(Value::String(text.to_owned()))
    }

    fn visit_string<E>(self, text: String) -> Result<Value, E> {
        Ok(Value::String(text))
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<Value, A::Error> {
        let mut items = Vec::new();
        while let Some(UniqueKeys(item)) = access.next_element()? {
            items.push(item);
        }
        Ok(Value::Array(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Value, A::Error> {
        let mut fields = Map::new();
        while let Some(name) = access.next_key::<String>()? {
            if fields.contains_key(&name) {
                return Err(A::Error::custom(format_args!(
                    "field {name:?} is given twice"
                )));
            }
            let UniqueKeys(value) = access.next_value()?;
            fields.insert(name, value);
        }
        Ok(Value::Object(fields))
    }
}
