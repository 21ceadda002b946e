//! Links of the documentation: every relative link or image of a Markdown page leads to a file of the repository, every
//! page of `docs/` that a source, schema or settings file names exists, and so does every type that the glossary and the
//! architecture page name, and every test by which a design note or an operators' page backs what it says.
//!
//! Neither network nor programs are used. The journal of the benches and build directories are left out.

use std::fs;
use std::path::{Path, PathBuf};

/// Directories whose files aren't documentation: the benches' records, build results, version control.
const SKIPPED_DIRECTORIES: [&str; 3] = ["journal", "target", ".git"];
/// File extensions in which a page may be named by its path from the repository's root.
const NAMING_EXTENSIONS: [&str; 5] = ["rs", "proto", "toml", "txtpb", "md"];

#[test]
fn every_relative_link_of_a_page_leads_to_a_file() {
    let pages = files_with_extension(&repository_root(), &["md"]);
    assert!(
        pages.iter().any(|page| page.ends_with("README.md")),
        "README.md was not found"
    );

    let broken: Vec<String> = pages.iter().flat_map(|page| broken_links(page)).collect();

    assert_eq!(
        broken,
        Vec::<String>::new(),
        "links whose target doesn't exist"
    );
}

#[test]
fn every_page_named_by_its_path_exists() {
    let root = repository_root();
    let files = files_with_extension(&root, &NAMING_EXTENSIONS);

    let missing: Vec<String> = files
        .iter()
        .flat_map(|file| missing_pages(&root, file))
        .collect();

    assert_eq!(
        missing,
        Vec::<String>::new(),
        "files that name a page which doesn't exist"
    );
}

#[yare::parameterized(glossary = { "docs/glossary.md" }, architecture = { "docs/architecture.md" })]
fn every_type_that_a_page_names_exists(page: &str) {
    let root = repository_root();
    let sources = sources(&root);
    let text = fs::read_to_string(root.join(page)).expect("a page is UTF-8");
    let names = named_types(&text);
    assert!(!names.is_empty(), "{page} names no type");

    let unknown: Vec<String> = names
        .into_iter()
        .filter(|name| !sources.iter().any(|source| has_word(source, name)))
        .collect();

    assert_eq!(
        unknown,
        Vec::<String>::new(),
        "types that {page} names and no source has"
    );
}

#[yare::parameterized(design = { "docs/design" }, operators = { "docs/operators" })]
fn every_test_that_a_page_names_exists(folder: &str) {
    let root = repository_root();
    let sources = sources(&root);
    let pages = files_with_extension(&root.join(folder), &["md"]);
    let names: Vec<String> = pages
        .iter()
        .flat_map(|page| named_tests(&fs::read_to_string(page).expect("a page is UTF-8")))
        .collect();
    assert!(!names.is_empty(), "no page of {folder} names a test");

    // A name may be shortened at its end, or be a metric whose prefix the page gives once.
    let unknown: Vec<String> = names
        .into_iter()
        .filter(|name| !sources.iter().any(|source| source.contains(name)))
        .collect();

    assert_eq!(
        unknown,
        Vec::<String>::new(),
        "tests that pages of {folder} name and no source has"
    );
}

#[yare::parameterized(
    link = { "see [the design](design/http2.md).", &["design/http2.md"] },
    image = { "![a drawing](drawing.svg)", &["drawing.svg"] },
    two_of_a_line = { "[a](a.md), [b](b.md)", &["a.md", "b.md"] },
    fragment_is_left_out = { "[a](a.md#title)", &["a.md"] },
    title_is_left_out = { "[a](a.md \"a title\")", &["a.md"] },
    reference_definition = { "[a]: a.md", &["a.md"] },
    own_page = { "[above](#title)", &[] },
    address = { "[site](https://example.org/a.md)", &[] },
    code_in_a_line = { "`[a](a.md)` is a link", &[] },
    indented_code = { "    [a](a.md)", &[] },
    continued_list_item = { "- first\n  [a](a.md)", &["a.md"] },
    fenced_code = { "```\n[a](a.md)\n```\n[b](b.md)", &["b.md"] },
)]
fn relative_links_are_recognized(text: &str, expected: &[&str]) {
    assert_eq!(relative_links(text), expected);
}

#[yare::parameterized(
    in_a_comment = { "//! (`docs/design/storage.md`).", &["docs/design/storage.md"] },
    in_a_link = { "[x](docs/system.md)", &["docs/system.md"] },
    folder = { "docs/incidents/", &[] },
    of_another_root = { "mydocs/system.md", &[] },
)]
fn named_pages_are_recognized(text: &str, expected: &[&str]) {
    assert_eq!(named_pages(text), expected);
}

#[yare::parameterized(
    types = { "`Publisher` and `SharedPublisher`", &["Publisher", "SharedPublisher"] },
    variant = { "`InstanceState::Ready`", &["InstanceState", "Ready"] },
    key_of_settings = { "`cloud.ratePerS` and `coldRemainingMs`", &[] },
    module_and_function = { "`list_selection`, `Director::admit`", &["Director"] },
    method_of_http = { "`PUT /api/configuration`", &[] },
    plain_word = { "Publisher", &[] },
)]
fn named_types_are_recognized(text: &str, expected: &[&str]) {
    assert_eq!(named_types(text), expected);
}

#[yare::parameterized(
    test_of_a_file = { "`disk::a_reset_is_carried_through`", &["a_reset_is_carried_through"] },
    shortened = { "`a_crash_is_known...`", &["a_crash_is_known"] },
    module = { "`stage_assignment_lease`", &[] },
    plain_words = { "a_reset_is_carried_through", &[] },
)]
fn named_tests_are_recognized(text: &str, expected: &[&str]) {
    assert_eq!(named_tests(text), expected);
}

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .canonicalize()
        .expect("the package stands in the repository")
}

fn files_with_extension(directory: &Path, extensions: &[&str]) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(directory).expect("a directory of the checkout can be read") {
        let path = entry.expect("an entry of the checkout can be read").path();
        if path.is_dir() {
            if !SKIPPED_DIRECTORIES
                .iter()
                .any(|skipped| path.ends_with(skipped))
            {
                files.extend(files_with_extension(&path, extensions));
            }
        } else if path
            .extension()
            .is_some_and(|found| extensions.iter().any(|wanted| found == *wanted))
        {
            files.push(path);
        }
    }
    files
}

/// All sources of the packages but this file, which names what doesn't exist as cases.
fn sources(root: &Path) -> Vec<String> {
    files_with_extension(&root.join("crates"), &["rs"])
        .iter()
        .filter(|source| !source.ends_with("tests/links.rs"))
        .map(|source| fs::read_to_string(source).expect("a source is UTF-8"))
        .collect()
}

fn broken_links(page: &Path) -> Vec<String> {
    let text = fs::read_to_string(page).expect("a page is UTF-8");
    let folder = page.parent().expect("a page stands in a folder");
    relative_links(&text)
        .into_iter()
        .filter(|target| !folder.join(target).exists())
        .map(|target| format!("{}: {target}", page.display()))
        .collect()
}

fn missing_pages(root: &Path, file: &Path) -> Vec<String> {
    // This file names pages that don't exist, as cases.
    if file.ends_with("tests/links.rs") {
        return Vec::new();
    }
    let text = fs::read_to_string(file).expect("a source or page is UTF-8");
    named_pages(&text)
        .into_iter()
        .filter(|page| !root.join(page).exists())
        .map(|page| format!("{}: {page}", file.display()))
        .collect()
}

/// Targets of the links, images and reference definitions of a page, without those of other sites and of the page
/// itself. Code blocks and code within a line are left out.
fn relative_links(text: &str) -> Vec<String> {
    let mut targets = Vec::new();
    let mut in_fenced_code = false;
    for line in text.lines() {
        if line.trim_start().starts_with("```") {
            in_fenced_code = !in_fenced_code;
        } else if !in_fenced_code && !line.starts_with("    ") {
            targets.extend(links_of_line(&without_code(line)));
        }
    }
    targets
        .iter()
        .filter_map(|target| relative_path(target))
        .collect()
}

fn links_of_line(line: &str) -> Vec<String> {
    let mut targets: Vec<String> = line
        .split("](")
        .skip(1)
        .filter_map(|rest| rest.split_once(')').map(|(target, _)| target.to_owned()))
        .collect();
    if line.starts_with('[')
        && let Some((_, target)) = line.split_once("]: ")
    {
        targets.push(target.to_owned());
    }
    targets
}

/// The line without what stands between pairs of back-ticks.
fn without_code(line: &str) -> String {
    line.split('`').step_by(2).collect::<Vec<_>>().join("`")
}

fn relative_path(target: &str) -> Option<String> {
    let without_title = target.split_whitespace().next()?;
    let path = without_title.split('#').next().unwrap_or_default();
    let is_address = path.contains("://") || path.starts_with("mailto:");
    (!path.is_empty() && !is_address).then(|| path.to_owned())
}

/// Paths of pages below `docs/` that a text names.
fn named_pages(text: &str) -> Vec<String> {
    let is_part_of_path = |c: char| c.is_ascii_alphanumeric() || "./_-".contains(c);
    text.split(|c: char| !is_part_of_path(c))
        .filter_map(|word| word.find(".md").map(|end| &word[..end + ".md".len()]))
        .filter(|word| word.starts_with("docs/"))
        .map(str::to_owned)
        .collect()
}

/// Names in camel case that stand between back-ticks, the parts of a path each by itself. HTTP methods and record
/// titles in capitals are none.
fn named_types(text: &str) -> Vec<String> {
    let is_type = |name: &&str| {
        name.starts_with(|first: char| first.is_ascii_uppercase())
            && name.chars().all(|c| c.is_ascii_alphanumeric())
            && name.contains(|c: char| c.is_ascii_lowercase())
    };
    text.lines()
        .flat_map(|line| line.split('`').skip(1).step_by(2))
        .filter(|code| !code.contains(' '))
        .flat_map(|code| code.split("::"))
        .filter(is_type)
        .map(str::to_owned)
        .collect()
}

/// Names of four words and more in snake case that stand between back-ticks: these are tests.
fn named_tests(text: &str) -> Vec<String> {
    const LEAST_UNDERSCORES: usize = 3;
    text.lines()
        .flat_map(|line| line.split('`').skip(1).step_by(2))
        .flat_map(|code| {
            code.split(|c: char| !c.is_ascii_lowercase() && !c.is_ascii_digit() && c != '_')
        })
        .filter(|name| name.matches('_').count() >= LEAST_UNDERSCORES)
        .map(|name| name.trim_matches('_').to_owned())
        .collect()
}

/// Whether a text has a name as a whole word.
fn has_word(text: &str, word: &str) -> bool {
    let is_part = |c: char| c.is_ascii_alphanumeric() || c == '_';
    text.match_indices(word).any(|(start, _)| {
        let before = text[..start].chars().next_back();
        let after = text[start + word.len()..].chars().next();
        !before.is_some_and(is_part) && !after.is_some_and(is_part)
    })
}
