//! Which modules of a package import which, and the import cycles among them.
//!
//! For tests that keep the modules of a package in layers. Each package includes this file by `#[path]`, see
//! `crates/lockusher-config/tests/modules.rs`. The sources are read as text, one node a file: a path that begins with
//! `crate`, `self` or `super`, or with a module that the file declares, is a dependency on the file in which it ends.
//! Comments and string literals don't count, nor do visibilities such as `pub(in crate::module)`.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

/// Name of a file's module in the graph: `crate` for the root, `parent::child` below it.
pub type ModuleName = String;

/// The modules of a package, each with those that it imports from.
#[derive(Debug)]
pub struct ModuleGraph {
    dependencies: BTreeMap<ModuleName, BTreeSet<ModuleName>>,
}

impl ModuleGraph {
    /// The modules below `src` of the package in this directory (`env!("CARGO_MANIFEST_DIR")`).
    pub fn of_package(directory: &str) -> Self {
        let root = Path::new(directory).join("src");
        let sources = source_files(&root).into_iter().map(|path| {
            let text = fs::read_to_string(&path).expect("a source file is readable text");
            let relative = path
                .strip_prefix(&root)
                .expect("source files lie below their root");
            (
                relative
                    .to_str()
                    .expect("paths of sources are UTF-8")
                    .to_owned(),
                text,
            )
        });
        Self::of_sources(sources)
    }

    /// The modules of these files, each given with its path below `src`.
    pub fn of_sources(sources: impl IntoIterator<Item = (String, String)>) -> Self {
        let texts: BTreeMap<Vec<String>, String> = sources
            .into_iter()
            .map(|(path, text)| (module_path(&path), text))
            .collect();
        let modules: BTreeSet<Vec<String>> = texts.keys().cloned().collect();
        let dependencies = texts
            .iter()
            .map(|(module, text)| {
                let mut imports = FileImports::new(module, &modules);
                imports.scan(&tokens(text));
                (module_name(module), imports.found)
            })
            .collect();
        Self { dependencies }
    }

    /// The number of modules.
    pub fn module_count(&self) -> usize {
        self.dependencies.len()
    }

    /// The import cycles: each a set of modules of which every one reaches every other.
    pub fn cycles(&self) -> Vec<BTreeSet<ModuleName>> {
        let reached: BTreeMap<&ModuleName, BTreeSet<ModuleName>> = self
            .dependencies
            .keys()
            .map(|module| (module, self.reached_from(module)))
            .collect();
        let mut cycles = BTreeSet::new();
        for (module, reached_from_module) in &reached {
            let reaches_back = |other: &&ModuleName| reached[other].contains(*module);
            let cycle: BTreeSet<ModuleName> = reached_from_module
                .iter()
                .filter(reaches_back)
                .cloned()
                .collect();
            if !cycle.is_empty() {
                cycles.insert(cycle);
            }
        }
        cycles.into_iter().collect()
    }

    /// All modules that a module imports from, directly or by way of others.
    fn reached_from(&self, module: &ModuleName) -> BTreeSet<ModuleName> {
        let mut reached = BTreeSet::new();
        let mut pending = vec![module];
        while let Some(next) = pending.pop() {
            for dependency in &self.dependencies[next] {
                if reached.insert(dependency.clone()) {
                    pending.push(dependency);
                }
            }
        }
        reached
    }
}

/// All files with the extension `rs` in a directory and below.
fn source_files(directory: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(directory).expect("the directory of the sources exists") {
        let path = entry.expect("the directory can be listed").path();
        if path.is_dir() {
            files.extend(source_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files
}

/// The module of a file: `a/b.rs` and `a/b/mod.rs` hold `a::b`, `lib.rs` and `main.rs` the root.
fn module_path(file: &str) -> Vec<String> {
    let mut segments: Vec<String> = file
        .trim_end_matches(".rs")
        .split('/')
        .map(str::to_owned)
        .collect();
    let names_parent = match segments.as_slice() {
        [root] => root == "lib" || root == "main",
        [.., last] => last == "mod",
        [] => false,
    };
    if names_parent {
        segments.pop();
    }
    segments
}

fn module_name(module: &[String]) -> ModuleName {
    if module.is_empty() {
        "crate".to_owned()
    } else {
        module.join("::")
    }
}

/// The words and signs of a source text, without comments, literals and white space.
fn tokens(text: &str) -> Vec<String> {
    let mut tokens = Vec::new();
    let mut rest = text;
    while let Some(next) = rest.chars().next() {
        let length = if rest.starts_with("//") {
            rest.find('\n').unwrap_or(rest.len())
        } else if rest.starts_with("/*") {
            rest.find("*/").map_or(rest.len(), |end| end + 2)
        } else if let Some(length) = raw_string_length(rest) {
            length
        } else if next == '"' {
            string_length(rest)
        } else if next == '\'' {
            quote_length(rest)
        } else if is_word(next) {
            rest.find(|c| !is_word(c)).unwrap_or(rest.len())
        } else if rest.starts_with("::") {
            2
        } else {
            next.len_utf8()
        };
        let (token, after) = rest.split_at(length);
        if is_word(next) && !token.contains('"') || token.len() <= 2 && next.is_ascii_punctuation()
        {
            tokens.push(token.to_owned());
        }
        rest = after;
    }
    tokens
}

fn is_word(c: char) -> bool {
    c.is_alphanumeric() || c == '_'
}

/// Length of the string literal at the start of the text.
fn string_length(text: &str) -> usize {
    let mut escaped = false;
    for (at, c) in text.char_indices().skip(1) {
        match c {
            _ if escaped => escaped = false,
            '\\' => escaped = true,
            '"' => return at + 1,
            _ => {}
        }
    }
    text.len()
}

/// Length of the raw string literal at the start of the text, if there is one.
fn raw_string_length(text: &str) -> Option<usize> {
    let prefix = ["br", "r"]
        .into_iter()
        .find(|prefix| text.starts_with(prefix))?;
    let hashes = text[prefix.len()..]
        .chars()
        .take_while(|c| *c == '#')
        .count();
    let content = text[prefix.len() + hashes..].strip_prefix('"')?;
    let end = format!("\"{}", "#".repeat(hashes));
    let length = content
        .find(&end)
        .map_or(content.len(), |at| at + end.len());
    Some(prefix.len() + hashes + 1 + length)
}

/// Length of the character literal at the start of the text, or 1 for the quote of a lifetime.
fn quote_length(text: &str) -> usize {
    let content = &text[1..];
    if let Some(escape) = content.strip_prefix('\\') {
        return escape[1..].find('\'').map_or(1, |end| end + 4);
    }
    let character = content.chars().next().map_or(0, char::len_utf8);
    if content[character..].starts_with('\'') {
        character + 2
    } else {
        1
    }
}

/// Finds the modules that one file imports from.
struct FileImports<'a> {
    file: &'a [String],
    modules: &'a BTreeSet<Vec<String>>,
    /// The module at the current token: that of the file, or one written inside of it.
    module: Vec<String>,
    /// For each open brace, whether it opened a module.
    braces: Vec<bool>,
    found: BTreeSet<ModuleName>,
}

impl<'a> FileImports<'a> {
    fn new(file: &'a [String], modules: &'a BTreeSet<Vec<String>>) -> Self {
        Self {
            file,
            modules,
            module: file.to_vec(),
            braces: Vec::new(),
            found: BTreeSet::new(),
        }
    }

    fn scan(&mut self, tokens: &[String]) {
        let mut at = 0;
        while at < tokens.len() {
            let before = &tokens[..at];
            let is_path_start = before.last().is_none_or(|token| token != "::")
                && tokens.get(at + 1).is_some_and(|token| token == "::");
            if is_path_start && !before.ends_with(&["(".to_owned(), "in".to_owned()]) {
                let root = self.root_of(&tokens[at], before);
                at += 1;
                at += root.map_or(0, |root| self.tree(&tokens[at..], root));
            } else {
                self.track_module(&tokens[at], before);
                at += 1;
            }
        }
    }

    /// The module that a path begins with, if this word names one; `None` for other packages and local names.
    fn root_of(&self, word: &str, before: &[String]) -> Option<Vec<String>> {
        match word {
            "crate" => Some(Vec::new()),
            "self" => Some(self.module.clone()),
            "super" => Some(self.module[..self.module.len().saturating_sub(1)].to_vec()),
            child => {
                let starts_import = before.last().is_some_and(|token| token == "use");
                let path = [self.module.as_slice(), &[child.to_owned()]].concat();
                (starts_import && self.modules.contains(&path)).then_some(path)
            }
        }
    }

    /// Keeps up with modules that are written inside of the file.
    fn track_module(&mut self, token: &str, before: &[String]) {
        match token {
            "{" => {
                let opened = match before {
                    [.., keyword, name] if keyword == "mod" => Some(name.clone()),
                    _ => None,
                };
                self.braces.push(opened.is_some());
                self.module.extend(opened);
            }
            "}" if self.braces.pop() == Some(true) => {
                self.module.pop();
            }
            _ => {}
        }
    }

    /// Follows a path, and each of the paths in its braces; returns how many tokens it took.
    fn tree(&mut self, tokens: &[String], mut path: Vec<String>) -> usize {
        let mut at = 0;
        while tokens.get(at).is_some_and(|token| token == "::") {
            at += 1;
            match tokens.get(at).map(String::as_str) {
                Some("{") => return at + self.group(&tokens[at..], &path),
                Some("super") => {
                    path.pop();
                }
                Some(word) if word.starts_with(is_word) => path.push(word.to_owned()),
                _ => break,
            }
            at += 1;
        }
        self.add(&path);
        at
    }

    /// Follows the paths between braces, of which the first token is the opening one.
    fn group(&mut self, tokens: &[String], parent: &[String]) -> usize {
        let mut at = 1;
        while let Some(token) = tokens.get(at) {
            at += 1;
            match token.as_str() {
                "}" => return at,
                "self" | "*" => self.add(parent),
                word if word.starts_with(is_word) => {
                    let mut path = parent.to_vec();
                    path.push(word.to_owned());
                    at += self.tree(&tokens[at..], path);
                }
                _ => {}
            }
        }
        at
    }

    /// Adds the file in which a path ends; the file's own items are no dependency.
    fn add(&mut self, path: &[String]) {
        let lengths = (0..=path.len()).rev();
        let file = lengths
            .map(|length| &path[..length])
            .find(|prefix| self.modules.contains(*prefix));
        if let Some(file) = file.filter(|file| *file != self.file) {
            self.found.insert(module_name(file));
        }
    }
}
