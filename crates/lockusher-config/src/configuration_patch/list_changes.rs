//! Changes to one list of named items.

use std::collections::{HashMap, HashSet};

use serde_json::Value;

/// An upserted item of a patch, with its name.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedItem {
    /// The item's `name`.
    pub name: String,
    /// The item as given in the patch, including unknown fields.
    pub value: Value,
}

/// Changes to one list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListChanges {
    /// Items that replace the item of the same name or are appended, in the order of the patch.
    pub upsert: Vec<NamedItem>,
    /// Names of the items to remove.
    pub remove: HashSet<String>,
}

/// Where an item of a changed list comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemOrigin {
    /// The list before the patch.
    Base,
    /// The upserted items of the patch.
    Upserted {
        /// Its index among the upserted items.
        index: usize,
    },
}

/// One item of a changed list.
pub struct ChangedItem {
    /// The item.
    pub value: Value,
    /// Origin of the item.
    pub origin: ItemOrigin,
}

impl ListChanges {
    /// Applies the changes to the items of `base`.
    pub fn apply(&self, base: Vec<Value>) -> Vec<ChangedItem> {
        let index_by_name = self.upserted_index_by_name();
        let mut is_placed = vec![false; self.upsert.len()];
        let mut changed = Vec::with_capacity(base.len() + self.upsert.len());
        for value in base {
            let name = value
                .get("name")
                .and_then(Value::as_str)
                .unwrap_or_default();
            if self.remove.contains(name) {
                continue;
            }
            match index_by_name.get(name) {
                None => changed.push(ChangedItem {
                    value,
                    origin: ItemOrigin::Base,
                }),
                Some(&index) if !is_placed[index] => {
                    is_placed[index] = true;
                    changed.push(self.upserted(index));
                }
                // The base list has the name twice; the upserted item replaces both.
                Some(_) => {}
            }
        }
        let appended = (0..self.upsert.len()).filter(|index| !is_placed[*index]);
        changed.extend(appended.map(|index| self.upserted(index)));
        changed
    }

    fn upserted_index_by_name(&self) -> HashMap<&str, usize> {
        self.upsert
            .iter()
            .enumerate()
            .map(|(index, item)| (item.name.as_str(), index))
            .collect()
    }

    fn upserted(&self, index: usize) -> ChangedItem {
        ChangedItem {
            value: self.upsert[index].value.clone(),
            origin: ItemOrigin::Upserted { index },
        }
    }
}
