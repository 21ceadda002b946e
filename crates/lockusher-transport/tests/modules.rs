//! The modules of this package have no import cycles.

#[path = "../../../tests/support/module_layers.rs"]
mod module_layers;

use module_layers::ModuleGraph;

#[test]
fn no_module_imports_from_one_that_imports_from_it() {
    let modules = ModuleGraph::of_package(env!("CARGO_MANIFEST_DIR"));

    assert!(
        modules.module_count() > 3,
        "the sources were found: {modules:?}"
    );
    assert_eq!(modules.cycles(), Vec::new());
}
