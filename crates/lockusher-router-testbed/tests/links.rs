//! Links of the documentation: every relative link or image of a Markdown page leads to a file of the repository, and
//! every page of `docs/` that a source, schema or settings file names exists.
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
    assert!(pages.iter().any(|page| page.ends_with("README.md")), "README.md was not found");

    let broken: Vec<String> = pages.iter().flat_map(|page| broken_links(page)).collect();

    assert_eq!(broken, Vec::<String>::new(), "links whose target doesn't exist");
}

#[test]
fn every_page_named_by_its_path_exists() {
    let root = repository_root();
    let files = files_with_extension(&root, &NAMING_EXTENSIONS);

    let missing: Vec<String> = files.iter().flat_map(|file| missing_pages(&root, file)).collect();

    assert_eq!(missing, Vec::<String>::new(), "files that name a page which doesn't exist");
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
            if !SKIPPED_DIRECTORIES.iter().any(|skipped| path.ends_with(skipped)) {
                files.extend(files_with_extension(&path, extensions));
            }
        } else if path.extension().is_some_and(|found| extensions.iter().any(|wanted| found == *wanted)) {
            files.push(path);
        }
    }
    files
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
    targets.iter().filter_map(|target| relative_path(target)).collect()
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
