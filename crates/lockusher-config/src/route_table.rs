//! Finds the route of a request by its host and the longest matching path prefix.
//!
//! The proxy builds a table from each configuration that it receives, and looks up every request in it.
//!
//! Prefixes start and end with a slash, so that a route's prefix consists of complete path segments. Each host has a
//! trie of segments: the time of a lookup depends on the length of the path, not on the number of routes.

use std::borrow::Cow;
use std::collections::HashMap;
use std::rc::Rc;

use crate::configuration::{Configuration, Route};

/// Index of a node in the nodes of a [`HostTrie`].
type NodeIndex = usize;

const ROOT: NodeIndex = 0;

/// The routes of one configuration, indexed for lookups; immutable.
#[derive(Clone, Debug)]
pub struct RouteTable {
    configuration: Rc<Configuration>,
    hosts: HashMap<String, HostTrie>,
}

/// Trie of the routes of one host.
#[derive(Clone, Debug)]
struct HostTrie {
    nodes: Vec<Node>,
}

/// A node of the trie: reached by a sequence of segments, each of which a slash terminates.
#[derive(Clone, Debug, Default)]
struct Node {
    children: HashMap<Box<str>, NodeIndex>,
    /// Index into the configuration's routes, if a prefix ends here.
    route: Option<usize>,
}

impl RouteTable {
    /// Builds the table of a configuration.
    pub fn new(configuration: Rc<Configuration>) -> Self {
        let mut hosts: HashMap<String, HostTrie> = HashMap::new();
        for (index, route) in configuration.routes.iter().enumerate() {
            let host = normalized_host(&route.host).into_owned();
            hosts
                .entry(host)
                .or_default()
                .insert(&route.path_prefix, index);
        }
        Self {
            configuration,
            hosts,
        }
    }

    /// The configuration that the table was built from.
    pub fn configuration(&self) -> &Rc<Configuration> {
        &self.configuration
    }

    /// The route of the host with the longest prefix of `path`. `host` is the value of the `Host` header: its letter
    /// case and port are ignored, as is the query of the path.
    pub fn lookup(&self, host: &str, path: &str) -> Option<&Route> {
        self.lookup_index(host, path)
            .map(|index| &self.configuration.routes[index])
    }

    /// As [`lookup`](Self::lookup), but returns the index into the configuration's routes.
    pub fn lookup_index(&self, host: &str, path: &str) -> Option<usize> {
        let trie = self.hosts.get(normalized_host(host).as_ref())?;
        trie.longest_match(without_query(path))
    }
}

impl Default for HostTrie {
    fn default() -> Self {
        Self {
            nodes: vec![Node::default()],
        }
    }
}

impl HostTrie {
    fn insert(&mut self, path_prefix: &str, route: usize) {
        let mut node = ROOT;
        for segment in terminated_segments(path_prefix) {
            node = self.child_or_new(node, segment);
        }
        // Of two equal prefixes the first is kept; a validated configuration has none.
        self.nodes[node].route.get_or_insert(route);
    }

    fn child_or_new(&mut self, parent: NodeIndex, segment: &str) -> NodeIndex {
        if let Some(child) = self.nodes[parent].children.get(segment) {
            return *child;
        }
        let child = self.nodes.len();
        self.nodes.push(Node::default());
        self.nodes[parent].children.insert(segment.into(), child);
        child
    }

    fn longest_match(&self, path: &str) -> Option<usize> {
        if !path.starts_with('/') {
            return None;
        }
        let mut node = &self.nodes[ROOT];
        let mut longest = node.route;
        for segment in terminated_segments(path) {
            let Some(child) = node.children.get(segment) else {
                break;
            };
            node = &self.nodes[*child];
            longest = node.route.or(longest);
        }
        longest
    }
}

/// The segments of a path that are followed by a slash: `a` and `b` of `/a/b/c`.
fn terminated_segments(path: &str) -> impl Iterator<Item = &str> {
    let after_first_slash = path.strip_prefix('/').unwrap_or(path);
    after_first_slash
        .split_inclusive('/')
        .filter_map(|segment| segment.strip_suffix('/'))
}

fn without_query(path: &str) -> &str {
    path.split_once('?').map_or(path, |(path, _)| path)
}

/// The host in lower case and without its port; allocates only if it has upper-case letters.
pub fn normalized_host(host: &str) -> Cow<'_, str> {
    let name = without_port(host.trim());
    if name.bytes().any(|byte| byte.is_ascii_uppercase()) {
        return Cow::Owned(name.to_ascii_lowercase());
    }
    Cow::Borrowed(name)
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
