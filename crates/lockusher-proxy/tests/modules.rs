//! The modules of the proxy form layers: there are no import cycles.

#[path = "../../../tests/support/module_layers.rs"]
mod module_layers;

use std::collections::BTreeSet;

use module_layers::{ModuleGraph, ModuleName};
use yare::parameterized;

fn proxy_cycles() -> Vec<BTreeSet<ModuleName>> {
    let modules = ModuleGraph::of_package(env!("CARGO_MANIFEST_DIR"));
    assert!(
        modules.module_count() > 40,
        "too few modules found: {modules:?}"
    );
    modules.cycles()
}

fn modules_of_cycles() -> BTreeSet<ModuleName> {
    proxy_cycles().into_iter().flatten().collect()
}

#[test]
fn modules_have_no_import_cycles() {
    assert_eq!(proxy_cycles(), Vec::new());
}

#[test]
fn decision_modules_have_no_import_cycles() {
    let modules = modules_of_cycles();

    assert!(
        !modules.iter().any(|module| module.starts_with("decision")),
        "{modules:?}"
    );
}

#[test]
fn response_and_relay_are_in_no_import_cycle() {
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
fn an_import_cycle_is_detected(imports: &[(&str, &str)], modules: usize) {
    let source =
        |(from, to): &(&str, &str)| (format!("{from}.rs"), format!("use crate::{to}::Item;"));

    let cycles = ModuleGraph::of_sources(imports.iter().map(source)).cycles();

    assert_eq!(cycles.iter().map(BTreeSet::len).sum::<usize>(), modules);
}
