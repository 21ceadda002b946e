//! The modules of this package have no import cycles, and import cycles are detected.

#[path = "../../../tests/support/module_layers.rs"]
mod module_layers;

use module_layers::ModuleGraph;
use yare::parameterized;

#[test]
fn no_module_imports_from_one_that_imports_from_it() {
    let modules = ModuleGraph::of_package(env!("CARGO_MANIFEST_DIR"));

    assert!(
        modules.module_count() > 10,
        "the sources were found: {modules:?}"
    );
    assert_eq!(modules.cycles(), Vec::new());
}

#[parameterized(
    none = { &[("a.rs", "use crate::b::B;"), ("b.rs", "use crate::c;"), ("c.rs", "")], &[] },
    of_two = { &[("a.rs", "use crate::b::B;"), ("b.rs", "use crate::a::{A, B};"), ("c.rs", "use crate::a;")], &["a", "b"] },
    of_three = {
        &[("a.rs", "fn f() -> crate::b::B {}"), ("b.rs", "use super::c::C;"), ("c.rs", "use super::{a::A, d};")],
        &["a", "b", "c"]
    },
    by_a_group = { &[("a.rs", "use crate::{c, d::{D, E}};"), ("d.rs", "use super::a;"), ("c.rs", "")], &["a", "d"] },
    by_an_item_of_the_root = { &[("lib.rs", "mod a; pub use a::A;"), ("a.rs", "use crate::B;")], &["a", "crate"] },
    by_a_module_of_the_directory = { &[("a/mod.rs", "mod b; use b::B;"), ("a/b.rs", "use super::A;")], &["a", "a::b"] },
    by_all_items = { &[("a/mod.rs", "use self::b::B;"), ("a/b.rs", "use super::*;")], &["a", "a::b"] },
    by_the_parent_of_the_parent = { &[("a.rs", "use crate::b::c::C;"), ("b/c.rs", "use super::super::a::A;")], &["a", "b::c"] },
    not_by_a_comment = { &[("a.rs", "use crate::b::B;"), ("b.rs", "//! See [`crate::a`].\n/* crate::a */")], &[] },
    not_by_a_literal = { &[("a.rs", "use crate::b::B;"), ("b.rs", r##"["crate::a", r#""crate::a"#]"##)], &[] },
    not_behind_a_quote = { &[("a.rs", "use crate::b;"), ("b.rs", "['\"', '\\'', '\\\\']; fn f<'a>() {} // \"")], &[] },
    behind_a_quote = { &[("a.rs", "use crate::b;"), ("b.rs", "['\"', '\\'']; fn f<'a>() { crate::a::g() }")], &["a", "b"] },
    not_by_a_visibility = { &[("a.rs", "use crate::a::b::B;"), ("a/b.rs", "pub(in crate::a) struct B;")], &[] },
    not_by_a_module_inside_the_file = { &[("a.rs", "mod b; use crate::b;"), ("b.rs", "mod c { use super::B; }")], &[] },
)]
fn import_cycles_are_found(sources: &[(&str, &str)], cycle: &[&str]) {
    let sources = sources
        .iter()
        .map(|(path, text)| ((*path).to_owned(), (*text).to_owned()));

    let cycles = ModuleGraph::of_sources(sources).cycles();

    let found: Vec<String> = cycles.into_iter().flatten().collect();
    assert_eq!(found, cycle);
}
