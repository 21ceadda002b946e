//! The modules of the proxy lie in layers: none imports from one that imports from it.

#[path = "../../../tests/support/module_layers.rs"]
mod module_layers;

use std::collections::BTreeSet;

use module_layers::{ModuleGraph, ModuleName};
use yare::parameterized;

fn proxy_cycles() -> Vec<BTreeSet<ModuleName>> {
    let modules = ModuleGraph::of_package(env!("CARGO_MANIFEST_DIR"));
    assert!(
        modules.module_count() > 40,
        "the sources were found: {modules:?}"
    );
    modules.cycles()
}

fn modules_of_cycles() -> BTreeSet<ModuleName> {
    proxy_cycles().into_iter().flatten().collect()
}

#[test]
fn no_module_imports_from_one_that_imports_from_it() {
    assert_eq!(proxy_cycles(), Vec::new());
}

#[test]
fn the_decisions_lie_in_layers() {
    let modules = modules_of_cycles();

    assert!(
        !modules.iter().any(|module| module.starts_with("decision")),
        "{modules:?}"
    );
}

#[test]
fn an_answer_needs_its_relay_and_not_the_other_way_round() {
    let modules = modules_of_cycles();

    assert!(
        !modules.contains("response") && !modules.contains("relay"),
        "{modules:?}"
    );
}

#[parameterized(
    none = { &[("a", "b"), ("b", "c")], 0 },
    of_two = { &[("a", "b"), ("b", "a"), ("c", "d")], 2 },
)]
fn a_circle_is_found(needs: &[(&str, &str)], modules: usize) {
    let source =
        |(from, to): &(&str, &str)| (format!("{from}.rs"), format!("use crate::{to}::Item;"));

    let cycles = ModuleGraph::of_sources(needs.iter().map(source)).cycles();

    assert_eq!(cycles.iter().map(BTreeSet::len).sum::<usize>(), modules);
}
