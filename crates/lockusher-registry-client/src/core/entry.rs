//! An entry of the registry: a key under the prefix, and a searcher's line as discovery writes it.

use lockusher_multiget::list::{EntryDocument, LocatedSearcher};
use lockusher_multiget::settings::Names;

/// The number of a registry's state, which grows with each change: etcd's revision, Consul's index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision(pub u64);

/// Which cluster answers; 0 where the protocol does not tell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClusterId(pub u64);

/// An entry as it is held: its key less the prefix, the revision that changed it last, and its text.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub name: String,
    pub modified: Revision,
    pub value: Vec<u8>,
}

/// A change of one entry; without a value it was deleted.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    pub name: String,
    pub modified: Revision,
    pub value: Option<Vec<u8>>,
}

/// Reads an entry. The searcher's id is the key less the prefix; a text that names another is refused, so that no
/// two entries can claim one searcher.
pub fn read(name: &str, value: &[u8], names: &Names) -> Result<LocatedSearcher, String> {
    let mut text: EntryDocument = serde_json::from_slice(value).map_err(|e| e.to_string())?;
    if text.name.is_empty() {
        name.clone_into(&mut text.name);
    }
    if text.name != name {
        return Err(format!("it names {:?}, which is not its key", text.name));
    }
    Ok(text.read(names))
}
