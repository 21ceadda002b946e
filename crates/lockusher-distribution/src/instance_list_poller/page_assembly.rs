//! Assembly of the pages of one poll.
//!
//! Owned by the [`InstanceListPoller`](crate::instance_list_poller::InstanceListPoller) while a poll is in progress.
//! Invariant: each identifier occurs once; of two entries with the same identifier, a draining one takes precedence.

use std::collections::BTreeMap;

use lockusher_config::instances::{Instance, InstanceState};
use lockusher_config::instances_reader::InstancePage;

/// A poll in progress.
#[derive(Debug)]
pub struct PageAssembly {
    /// When the first page was requested.
    pub started_at_ms: u64,
    /// When the next page is due to be requested.
    pub next_call_at_ms: u64,
    /// Token of the next page; absent for the first.
    token: Option<String>,
    /// Number of pages received.
    pub pages: u32,
    /// Entries of those pages, by identifier.
    pub instances: BTreeMap<String, Instance>,
}

impl PageAssembly {
    /// Starts a poll whose first page is requested now.
    pub fn start(now_ms: u64) -> Self {
        PageAssembly {
            started_at_ms: now_ms,
            next_call_at_ms: now_ms,
            token: None,
            pages: 0,
            instances: BTreeMap::new(),
        }
    }

    /// Adds the requested page; returns whether it was the last one.
    pub fn add_page(&mut self, page: InstancePage) -> bool {
        self.pages += 1;
        for instance in page.instances {
            self.add(instance);
        }
        self.token = page.next_token;
        self.token.is_none()
    }

    fn add(&mut self, instance: Instance) {
        let known = self.instances.get(&instance.identifier);
        if known.is_some_and(|known| known.state == InstanceState::Draining) {
            return;
        }
        self.instances.insert(instance.identifier.clone(), instance);
    }

    /// Returns path and query of the next page.
    pub fn next_path(&self) -> String {
        match &self.token {
            None => "/instances".to_owned(),
            Some(token) => format!("/instances?pageToken={}", percent_encoded(token)),
        }
    }
}

/// Percent-encodes all but the unreserved characters of RFC 3986, section 2.3.
fn percent_encoded(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => {
                encoded.push(byte.into());
            }
            _ => encoded.push_str(&format!("%{byte:02X}")),
        }
    }
    encoded
}
