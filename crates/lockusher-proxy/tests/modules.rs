//! The modules of the decisions, and those that answer clients, lie in layers: none needs one that needs it.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::Path;

use yare::parameterized;

/// The modules that each source file of a directory names behind `prefix`.
fn dependencies(directory: &str, prefix: &str) -> BTreeMap<String, BTreeSet<String>> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join(directory);
    let files = fs::read_dir(directory).expect("the sources are there");
    let files = files.map(|entry| entry.expect("an entry").path());
    let sources = files.filter(|path| path.extension().is_some_and(|extension| extension == "rs"));
    sources.map(|path| (module_name(&path), modules_named(&path, prefix))).collect()
}

fn module_name(path: &Path) -> String {
    path.file_stem().and_then(|stem| stem.to_str()).expect("a name").to_owned()
}

fn modules_named(path: &Path, prefix: &str) -> BTreeSet<String> {
    let text = fs::read_to_string(path).expect("a source file");
    let named = text.match_indices(prefix).map(|(at, _)| &text[at + prefix.len()..]);
    named.map(|rest| rest.chars().take_while(|c| c.is_alphanumeric() || *c == '_').collect()).collect()
}

/// A module of a circle, if there is one: what is left once modules that need none of the rest are taken away.
fn circle(mut needs: BTreeMap<String, BTreeSet<String>>) -> BTreeMap<String, BTreeSet<String>> {
    loop {
        let left: BTreeSet<String> = needs.keys().cloned().collect();
        let before = needs.len();
        needs.retain(|_, needed| !needed.is_disjoint(&left));
        if needs.len() == before {
            return needs;
        }
    }
}

#[test]
fn the_decisions_lie_in_layers() {
    let mut needs = dependencies("src/decision", "super::");
    needs.remove("mod");
    assert!(needs.len() > 10, "the modules were found: {needs:?}");
    assert_eq!(circle(needs), BTreeMap::new());
}

#[test]
fn an_answer_needs_its_relay_and_not_the_other_way_round() {
    let needs = dependencies("src", "crate::");
    let of_both = ["answer", "relay"].map(|module| (module.to_owned(), needs[module].clone()));
    assert_eq!(circle(of_both.into()), BTreeMap::new());
}

#[parameterized(
    none = { &[("a", "b"), ("b", "c")], 0 },
    of_two = { &[("a", "b"), ("b", "a"), ("c", "d")], 2 },
)]
fn a_circle_is_found(needs: &[(&str, &str)], modules: usize) {
    let needs = needs.iter().map(|(from, to)| ((*from).to_owned(), BTreeSet::from([(*to).to_owned()])));
    assert_eq!(circle(needs.collect()).len(), modules);
}
