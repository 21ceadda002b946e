//! Checks that the modules of this package have no cyclic imports.

#[path = "../../../tests/support/module_layers.rs"]
mod module_layers;

use module_layers::ModuleGraph;

#[test]
fn modules_have_no_import_cycles() {
    let modules = ModuleGraph::of_package(env!("CARGO_MANIFEST_DIR"));

    assert!(
        modules.module_count() > 3,
        "the sources were found: {modules:?}"
    );
    assert_eq!(modules.cycles(), Vec::new());
}
