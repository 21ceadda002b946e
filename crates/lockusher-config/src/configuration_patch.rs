//! Reads the body of `PATCH /api/configuration` and applies it to a whole configuration.
//!
//! A patch names items by `name` in the lists `routes` and `services`. An upserted item replaces the one of its name
//! whole and keeps its position, or goes to the end of its list. Removing a name that isn't there changes nothing, so that a
//! removal may be repeated. A name that is both upserted and removed is a fault, as is a list that doesn't exist: what
//! the operator wanted can't be told. What the patch doesn't name stays as it is, fields unknown here included.

use std::collections::{HashMap, HashSet};

use serde_json::{Map, Value};

use crate::configuration::Configuration;
use crate::fault::{Faults, Problem};
use crate::json::conversion::unexpected;
use crate::json::document::read_document;
use crate::json::field_path::FieldPath;
use crate::json::object_reader::ObjectReader;
use crate::json::unique_keys::parse_unique;

/// The lists of a configuration whose items have names.
const LISTS: [&str; 2] = ["routes", "services"];

/// Fields of a whole configuration that a patch can't set; ignoring them would lose what the operator asks for.
const NOT_PATCHABLE: [&str; 3] = ["routes", "services", "limits"];

/// Changes to named items of a configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigurationPatch {
    /// The version that the changed configuration gets.
    pub version: u64,
    /// In the order of [`LISTS`].
    changes: [ListChanges; LISTS.len()],
}

/// Changes to one list.
#[derive(Clone, Debug, Default, PartialEq)]
struct ListChanges {
    /// Items with their names, in the order of the patch.
    upsert: Vec<(String, Value)>,
    remove: HashSet<String>,
}

/// One item of a changed list, with its index among the upserted ones if it is one.
struct ChangedItem {
    value: Value,
    upserted: Option<usize>,
}

impl ConfigurationPatch {
    /// Reads a patch and finds all faults that show without the configuration it builds on.
    pub fn parse(body: &[u8]) -> Result<Self, Faults> {
        read_document(body, patch)
    }

    /// The whole configuration that comes of this one, checked; faults are reported at their paths in the patch.
    pub fn apply(&self, base: &[u8]) -> Result<Vec<u8>, Faults> {
        let mut fields = match parse_unique(base) {
            Ok(Value::Object(fields)) => fields,
            Ok(_) => return Err(Faults::unreadable("the configuration in place isn't an object")),
            Err(error) => return Err(Faults::unreadable(format!("the configuration in place: {error}"))),
        };
        let sources = self.change_lists(&mut fields);
        fields.insert("version".to_owned(), Value::from(self.version));
        let body = Value::Object(fields).to_string().into_bytes();
        match Configuration::parse(&body) {
            Ok(_) => Ok(body),
            Err(faults) => Err(faults.relocated(|path| path_in_patch(path, &sources))),
        }
    }

    /// Changes the lists; returns for each the upserted index of each item.
    fn change_lists(&self, fields: &mut Map<String, Value>) -> [Vec<Option<usize>>; LISTS.len()] {
        std::array::from_fn(|list| {
            let items = match fields.remove(LISTS[list]) {
                Some(Value::Array(items)) => items,
                _ => Vec::new(),
            };
            let changed = self.changes[list].apply(items);
            let sources = changed.iter().map(|item| item.upserted).collect();
            let values = changed.into_iter().map(|item| item.value).collect();
            fields.insert(LISTS[list].to_owned(), Value::Array(values));
            sources
        })
    }
}

impl ListChanges {
    fn apply(&self, items: Vec<Value>) -> Vec<ChangedItem> {
        let indexes: HashMap<&str, usize> =
            self.upsert.iter().enumerate().map(|(index, (name, _))| (name.as_str(), index)).collect();
        let mut placed = vec![false; self.upsert.len()];
        let mut changed = Vec::with_capacity(items.len() + self.upsert.len());
        for value in items {
            let name = value.get("name").and_then(Value::as_str).unwrap_or_default();
            if self.remove.contains(name) {
                continue;
            }
            match indexes.get(name) {
                None => changed.push(ChangedItem { value, upserted: None }),
                Some(&index) if !placed[index] => {
                    placed[index] = true;
                    changed.push(self.upserted(index));
                }
                Some(_) => {}
            }
        }
        let rest = (0..self.upsert.len()).filter(|index| !placed[*index]);
        changed.extend(rest.map(|index| self.upserted(index)));
        changed
    }

    fn upserted(&self, index: usize) -> ChangedItem {
        ChangedItem { value: self.upsert[index].1.clone(), upserted: Some(index) }
    }
}

fn patch(reader: &ObjectReader<'_>) -> Option<ConfigurationPatch> {
    let version = reader.positive_integer("version");
    for field in NOT_PATCHABLE.into_iter().filter(|field| reader.value(field).is_some()) {
        reader.add_field_fault(field, Problem::NotInPatch);
    }
    let upserts = reader.object_or("upsert", Default::default(), |reader| named_lists(reader, upserted));
    let removals = reader.object_or("remove", Default::default(), |reader| named_lists(reader, removed));
    let (mut upserts, mut removals) = (upserts?, removals?);
    let changes = std::array::from_fn(|list| {
        let upsert = std::mem::take(&mut upserts[list]);
        let remove: HashSet<String> = std::mem::take(&mut removals[list]).into_iter().collect();
        check_names(reader, LISTS[list], &upsert, &remove);
        ListChanges { upsert, remove }
    });
    Some(ConfigurationPatch { version: version?, changes })
}

/// Adds a fault for each name that is upserted twice, or removed as well.
fn check_names(reader: &ObjectReader<'_>, list: &str, upsert: &[(String, Value)], remove: &HashSet<String>) {
    let path = |index: usize| format!("upsert.{list}[{index}]");
    let mut first: HashMap<&str, usize> = HashMap::new();
    for (index, (name, _)) in upsert.iter().enumerate() {
        if let Some(other) = first.get(name.as_str()) {
            reader.faults().add(path(index), Problem::DuplicateName { other: path(*other) });
        }
        first.entry(name).or_insert(index);
        if remove.contains(name) {
            reader.faults().add(path(index), Problem::UpsertedAndRemoved(name.clone()));
        }
    }
}

/// Reads the known lists below a field, and adds a fault for each that doesn't exist.
fn named_lists<T>(
    reader: &ObjectReader<'_>,
    read: impl Fn(&Value, FieldPath<'_>, &ObjectReader<'_>) -> Option<T>,
) -> Option<[Vec<T>; LISTS.len()]> {
    for name in reader.field_names().filter(|name| !LISTS.contains(name)) {
        reader.add_field_fault(name, Problem::UnknownList);
    }
    let mut lists: [Option<Vec<T>>; LISTS.len()] =
        LISTS.map(|name| reader.list_or_empty(name, |value, path| read(value, path, reader)));
    let all_read = lists.iter().all(Option::is_some);
    all_read.then(|| std::array::from_fn(|list| lists[list].take().unwrap_or_default()))
}

fn upserted(value: &Value, path: FieldPath<'_>, reader: &ObjectReader<'_>) -> Option<(String, Value)> {
    let name = ObjectReader::of(value, path, reader.faults())?.text("name")?;
    Some((name, value.clone()))
}

fn removed(value: &Value, path: FieldPath<'_>, reader: &ObjectReader<'_>) -> Option<String> {
    let name = value.as_str().filter(|name| !name.is_empty());
    if name.is_none() {
        reader.faults().add(path, unexpected("a non-empty name", value));
    }
    name.map(str::to_owned)
}

/// A path in the changed configuration, such as `routes[7].kind`, as a path in the patch if it was upserted.
fn path_in_patch(path: &str, sources: &[Vec<Option<usize>>; LISTS.len()]) -> String {
    let relocated = LISTS.iter().zip(sources).find_map(|(list, sources)| {
        let (index, rest) = path.strip_prefix(list)?.strip_prefix('[')?.split_once(']')?;
        let index = (*sources.get(index.parse::<usize>().ok()?)?)?;
        Some(format!("upsert.{list}[{index}]{rest}"))
    });
    relocated.unwrap_or_else(|| format!("{path} of the configuration in place, as changed"))
}
