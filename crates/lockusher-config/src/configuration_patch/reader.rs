//! Reads and validates the document of a patch.

use std::collections::{HashMap, HashSet};

use serde_json::Value;

use crate::configuration_patch::item_list::{ItemList, PerList};
use crate::configuration_patch::list_changes::{ListChanges, NamedItem};
use crate::fault::Problem;
use crate::json::conversion::unexpected;
use crate::json::field_path::FieldPath;
use crate::json::object_reader::ObjectReader;

/// Fields of a complete configuration that a patch can't set. Ignoring them would silently drop a requested change.
const NOT_PATCHABLE: [&str; 3] = ["routes", "services", "limits"];

/// The content of a patch.
pub struct PatchDocument {
    /// The version that the changed configuration gets.
    pub version: u64,
    /// Changes to each list.
    pub changes: PerList<ListChanges>,
}

/// Reads a patch and validates it as far as possible without the configuration that it changes.
pub fn patch_document(reader: &ObjectReader<'_>) -> Option<PatchDocument> {
    let version = reader.positive_integer("version");
    for field in NOT_PATCHABLE
        .into_iter()
        .filter(|field| reader.value(field).is_some())
    {
        reader.add_field_fault(field, Problem::NotInPatch);
    }
    let upserts = reader.object_or("upsert", PerList::default(), |reader| {
        lists(reader, upserted_item)
    });
    let removals = reader.object_or("remove", PerList::default(), |reader| {
        lists(reader, removed_name)
    });
    let changes = upserts?.zip_with(removals?, |list, upsert, removed| {
        let remove: HashSet<String> = removed.into_iter().collect();
        check_names(reader, list, &upsert, &remove);
        ListChanges { upsert, remove }
    });
    Some(PatchDocument {
        version: version?,
        changes,
    })
}

/// Adds a fault for each name that is upserted twice, or both upserted and removed.
fn check_names(
    reader: &ObjectReader<'_>,
    list: ItemList,
    upsert: &[NamedItem],
    remove: &HashSet<String>,
) {
    let path = |index: usize| format!("upsert.{}[{index}]", list.field_name());
    let mut first_index: HashMap<&str, usize> = HashMap::new();
    for (index, NamedItem { name, .. }) in upsert.iter().enumerate() {
        if let Some(other) = first_index.get(name.as_str()) {
            reader.faults().add(
                path(index),
                Problem::DuplicateName {
                    other: path(*other),
                },
            );
        }
        first_index.entry(name).or_insert(index);
        if remove.contains(name) {
            reader
                .faults()
                .add(path(index), Problem::UpsertedAndRemoved(name.clone()));
        }
    }
}

/// Reads the lists in `upsert` or `remove`, and adds a fault for each field that isn't the name of a list.
fn lists<T>(
    reader: &ObjectReader<'_>,
    read_item: impl Fn(&Value, FieldPath<'_>, &ObjectReader<'_>) -> Option<T>,
) -> Option<PerList<Vec<T>>> {
    for name in reader
        .field_names()
        .filter(|name| !ItemList::is_field_name(name))
    {
        reader.add_field_fault(name, Problem::UnknownList);
    }
    let lists = PerList::from_fn(|list| {
        reader.list_or_empty(list.field_name(), |value, path| {
            read_item(value, path, reader)
        })
    });
    lists.all_present()
}

fn upserted_item(
    value: &Value,
    path: FieldPath<'_>,
    reader: &ObjectReader<'_>,
) -> Option<NamedItem> {
    let name = ObjectReader::new(value, path, reader.faults())?.text("name")?;
    Some(NamedItem {
        name,
        value: value.clone(),
    })
}

fn removed_name(value: &Value, path: FieldPath<'_>, reader: &ObjectReader<'_>) -> Option<String> {
    let name = value.as_str().filter(|name| !name.is_empty());
    if name.is_none() {
        reader
            .faults()
            .add(path, unexpected("a non-empty name", value));
    }
    name.map(str::to_owned)
}
