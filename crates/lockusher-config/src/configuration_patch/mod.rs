//! Parses and applies the body of `PATCH /api/configuration`: changes to named items of a configuration.
//!
//! A patch refers to items of the lists `routes` and `services` by `name`. An upserted item replaces the complete item
//! of the same name at its position, or is appended to its list. Removing a name that doesn't exist changes nothing, so
//! that removals are idempotent. A name that is both upserted and removed is a fault, as is an unknown list: the
//! operator's intent is ambiguous. Everything that the patch doesn't name stays unchanged, including unknown fields.
//!
//! Called by the control node that serves the operator's request. [`ConfigurationPatch::apply`] returns a valid
//! configuration: it was validated by [`Configuration::parse`].

mod item_list;
mod list_changes;
mod reader;

use serde_json::{Map, Value};

use crate::configuration::Configuration;
use crate::fault::Faults;
use crate::json::document::read_document;
use crate::json::unique_keys::parse_unique;

use item_list::{ItemList, PerList};
use list_changes::{ItemOrigin, ListChanges};
use reader::patch_document;

/// Changes to named items of a configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigurationPatch {
    /// The version that the changed configuration gets; the field `version`.
    pub version: u64,
    changes: PerList<ListChanges>,
}

impl ConfigurationPatch {
    /// Parses a patch.
    ///
    /// # Errors
    ///
    /// All faults that can be detected without the configuration that the patch changes.
    pub fn parse(body: &[u8]) -> Result<Self, Faults> {
        let document = read_document(body, patch_document)?;
        Ok(Self {
            version: document.version,
            changes: document.changes,
        })
    }

    /// Applies the patch to `base`; returns the complete changed configuration.
    ///
    /// # Errors
    ///
    /// If `base` can't be parsed, or if the changed configuration is invalid: then all of its faults, with their paths
    /// in the patch for items that the patch upserts.
    pub fn apply(&self, base: &[u8]) -> Result<Vec<u8>, Faults> {
        let mut fields = base_fields(base)?;
        let origins = self.change_lists(&mut fields);
        fields.insert("version".to_owned(), Value::from(self.version));
        let body = Value::Object(fields).to_string().into_bytes();
        match Configuration::parse(&body) {
            Ok(_) => Ok(body),
            Err(faults) => Err(faults.relocated(|path| path_in_patch(path, &origins))),
        }
    }

    /// Applies the changes to the lists in `fields`; returns the origin of each item.
    fn change_lists(&self, fields: &mut Map<String, Value>) -> PerList<Vec<ItemOrigin>> {
        PerList::from_fn(|list| {
            let items = match fields.remove(list.field_name()) {
                Some(Value::Array(items)) => items,
                _ => Vec::new(),
            };
            let changed = self.changes.get(list).apply(items);
            let origins = changed.iter().map(|item| item.origin).collect();
            let values = changed.into_iter().map(|item| item.value).collect();
            fields.insert(list.field_name().to_owned(), Value::Array(values));
            origins
        })
    }
}

/// Parses the configuration that is to be changed.
fn base_fields(base: &[u8]) -> Result<Map<String, Value>, Faults> {
    match parse_unique(base) {
        Ok(Value::Object(fields)) => Ok(fields),
        Ok(_) => Err(Faults::unreadable(
            "the configuration in place isn't an object",
        )),
        Err(error) => Err(Faults::unreadable(format!(
            "the configuration in place: {error}"
        ))),
    }
}

/// Translates a path in the changed configuration, such as `routes[7].kind`, to a path in the patch if the item was
/// upserted.
fn path_in_patch(path: &str, origins: &PerList<Vec<ItemOrigin>>) -> String {
    let relocated = ItemList::ALL
        .into_iter()
        .find_map(|list| upserted_path(path, list, origins.get(list)));
    relocated.unwrap_or_else(|| format!("{path} of the configuration in place, as changed"))
}

/// The path in the patch, if `path` is within an upserted item of this list.
fn upserted_path(path: &str, list: ItemList, origins: &[ItemOrigin]) -> Option<String> {
    let field_name = list.field_name();
    let (index, rest) = path
        .strip_prefix(field_name)?
        .strip_prefix('[')?
        .split_once(']')?;
    match origins.get(index.parse::<usize>().ok()?)? {
        ItemOrigin::Base => None,
        ItemOrigin::Upserted { index } => Some(format!("upsert.{field_name}[{index}]{rest}")),
    }
}
