//! Finds the route of a request by host and longest path prefix.
//!
//! The proxy makes a table from each configuration that it receives, and looks up every request. A table never changes.
//!
//! Prefixes start and end with a slash, so a route's prefix is a series of whole path segments. Each host has a
//! tree of segments: a lookup costs time in the length of the path, however many routes there are.

use std::borrow::Cow;
use std::collections::HashMap;
use std::rc::Rc;

use crate::configuration::{Configuration, Route};

/// Index of a node in the nodes of a [`HostTree`].
type NodeIndex = usize;

const ROOT: NodeIndex = 0;

/// The routes of one configuration, ready for lookups; immutable.
#[derive(Clone, Debug)]
pub struct RouteTable {
    configuration: Rc<Configuration>,
    hosts: HashMap<String, HostTree>,
}

/// The routes of one host.
#[derive(Clone, Debug)]
struct HostTree {
    nodes: Vec<Node>,
}

/// The position in a tree after a series of segments, each with the slash that ends it.
#[derive(Clone, Debug, Default)]
struct Node {
    children: HashMap<Box<str>, NodeIndex>,
    /// Index into the configuration's routes.
    route: Option<usize>,
}

impl RouteTable {
    /// Builds the table of a configuration.
    pub fn new(configuration: Rc<Configuration>) -> Self {
        let mut hosts: HashMap<String, HostTree> = HashMap::new();
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

    /// The configuration whose routes these are.
    pub fn configuration(&self) -> &Rc<Configuration> {
        &self.configuration
    }

    /// The route of that host whose prefix begins the path and is longest. `host` is as in the `Host` header:
    /// letter case and a port don't matter. A query behind the path is ignored.
    pub fn lookup(&self, host: &str, path: &str) -> Option<&Route> {
        self.lookup_index(host, path)
            .map(|index| &self.configuration.routes[index])
    }

    /// As [`lookup`](Self::lookup), as an index into the configuration's routes.
    pub fn lookup_index(&self, host: &str, path: &str) -> Option<usize> {
        let tree = self.hosts.get(normalized_host(host).as_ref())?;
        tree.longest_match(without_query(path))
    }
}

impl Default for HostTree {
    fn default() -> Self {
        Self {
            nodes: vec![Node::default()],
        }
    }
}

impl HostTree {
    fn insert(&mut self, path_prefix: &str, route: usize) {
        let mut at = ROOT;
        for segment in ended_segments(path_prefix) {
            at = self.child_or_new(at, segment);
        }
        // The first of two equal prefixes stays; a checked configuration has none.
        self.nodes[at].route.get_or_insert(route);
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
        let mut at = &self.nodes[ROOT];
        let mut found = at.route;
        for segment in ended_segments(path) {
            let Some(child) = at.children.get(segment) else {
                break;
            };
            at = &self.nodes[*child];
            found = at.route.or(found);
        }
        found
    }
}

/// The segments of a path that a slash ends: of `/a/b/c` these are `a` and `b`.
fn ended_segments(path: &str) -> impl Iterator<Item = &str> {
    let behind_first_slash = path.strip_prefix('/').unwrap_or(path);
    behind_first_slash
        .split_inclusive('/')
        .filter_map(|segment| segment.strip_suffix('/'))
}

fn without_query(path: &str) -> &str {
    path.split_once('?').map_or(path, |(path, _)| path)
}

/// The host in lower case and without its port; allocates only if there are upper-case letters.
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
