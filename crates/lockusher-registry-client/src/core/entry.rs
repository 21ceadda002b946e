//! An entry of the registry: a key under the prefix, and a searcher in the format of a discovery line.

use lockusher_multiget::list::{EntryDocument, LocatedSearcher};
use lockusher_multiget::settings::Names;

/// The version of the registry's state, increased by each change: etcd's revision, Consul's index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision(pub u64);

/// The id of the cluster; 0 if the protocol has none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClusterId(pub u64);

/// An entry: its key without the prefix, the revision of its last change, and its value.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub name: String,
    pub modified: Revision,
    pub value: Vec<u8>,
}

/// A change of one entry; a deletion has no value.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    pub name: String,
    pub modified: Revision,
    pub value: Option<Vec<u8>>,
}

/// Parses an entry. The searcher's id is the key without the prefix; a value with another name is rejected, so that no
/// two entries can define the same searcher.
pub fn parse(name: &str, value: &[u8], names: &Names) -> Result<LocatedSearcher, String> {
    let mut text: EntryDocument = serde_json::from_slice(value).map_err(|e| e.to_string())?;
    if text.name.is_empty() {
        name.clone_into(&mut text.name);
    }
    if text.name != name {
        return Err(format!("name {:?} is not its key", text.name));
    }
    Ok(text.read(names))
}
