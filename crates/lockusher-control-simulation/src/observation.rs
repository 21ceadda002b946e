//! Accessors and requests for scenarios.

use std::sync::Arc;

use lockusher_control::{ConfigurationDocument, Millis, Replica, Reply, Request};

use crate::{
    cluster::{ACKNOWLEDGE_MS, Cluster},
    operator::Change,
    violation::Violation,
};

impl Cluster {
    /// Virtual time, in milliseconds.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// The replica of a machine; `None` while its process is down.
    pub fn replica(&self, number: usize) -> Option<&Replica> {
        self.nodes[number].replica.as_ref()
    }

    /// The machine whose replica acts as head; with several, the one of the newest epoch.
    pub fn head(&self) -> Option<usize> {
        let heads = (0..self.nodes.len()).filter(|number| {
            self.nodes[*number]
                .replica
                .as_ref()
                .is_some_and(Replica::is_head)
        });
        heads.max_by_key(|number| self.epoch_of(*number))
    }

    fn epoch_of(&self, number: usize) -> u64 {
        let view = self.nodes[number].replica.as_ref().and_then(Replica::view);
        view.map_or(0, |view| view.epoch)
    }

    /// The machines in the newest view's chain, head first.
    pub fn chain(&self) -> Vec<usize> {
        let newest = (0..self.nodes.len()).max_by_key(|number| self.epoch_of(*number));
        let view = newest.and_then(|number| self.nodes[number].replica.as_ref()?.view());
        let addresses = view.into_iter().flat_map(|view| {
            view.chain
                .iter()
                .filter_map(|member| view.address_of(*member))
        });
        addresses
            .filter_map(|address| self.nodes.iter().position(|node| node.address == address))
            .collect()
    }

    /// Number of voters in the newest view.
    pub fn voters(&self) -> usize {
        let views = self
            .nodes
            .iter()
            .filter_map(|node| node.replica.as_ref()?.view());
        views
            .max_by_key(|view| view.epoch)
            .map_or(0, |view| view.voters.len())
    }

    /// Whether this machine has adopted the newest view and its replica considers itself an up-to-date member of the chain.
    pub fn is_member(&self, number: usize) -> bool {
        let newest = (0..self.nodes.len())
            .map(|number| self.epoch_of(number))
            .max();
        newest == Some(self.epoch_of(number))
            && self.nodes[number]
                .replica
                .as_ref()
                .is_some_and(Replica::is_clean)
    }

    /// Runs until the condition holds. Returns the time taken, or `None` after `limit`.
    pub fn run_until(
        &mut self,
        limit: Millis,
        condition: impl Fn(&Self) -> bool,
    ) -> Option<Millis> {
        let since = self.now;
        while !condition(self) {
            if self.now - since >= limit {
                return None;
            }
            self.advance(self.now + 5);
        }
        Some(self.now - since)
    }

    /// Runs until every machine that isn't removed is an up-to-date member of the chain.
    pub fn run_until_all_members(&mut self, limit: Millis) -> Option<Millis> {
        self.run_until(limit, |cluster| {
            (0..cluster.nodes.len())
                .all(|number| cluster.nodes[number].removed || cluster.is_member(number))
        })
    }

    /// Lets one operator write, with retries at any machine. Returns the time until the acknowledgement.
    pub fn write(&mut self) -> Option<Millis> {
        let since = self.now;
        self.write_until_acknowledged(ACKNOWLEDGE_MS)
            .map(|_| self.now - since)
    }

    /// Sends a configuration of about this size to a machine, without retries. Returns the time until the acknowledgement.
    pub fn write_document(
        &mut self,
        number: usize,
        version: u64,
        bytes: usize,
        limit: Millis,
    ) -> Option<Millis> {
        let body = format!("{{\"version\":{version}}}{}", " ".repeat(bytes));
        let document = ConfigurationDocument::new(version, Arc::from(body.into_bytes()));
        let request = Request::Put {
            if_match: self.version(),
            document,
        };
        let since = self.now;
        let reply = self.request_within(number, request, limit);
        (reply == Some(Reply::Accepted)).then(|| self.now - since)
    }

    /// Sends a read to one machine. Returns its reply if it arrives within a second.
    pub fn read_at(&mut self, number: usize) -> Option<Reply> {
        self.request(number, Request::Read)
    }

    /// The newest committed version; 0 before the first.
    pub fn version(&self) -> u64 {
        self.model.newest_version()
    }

    /// The changes acknowledged to the operator of [`Cluster::write`], as requests that resend them.
    pub fn acknowledged_changes(&self) -> Vec<Request> {
        self.operators[0]
            .acknowledged
            .iter()
            .map(Change::request)
            .collect()
    }

    /// Violations found so far, in the order in which they were found.
    pub fn violations(&self) -> &[Violation] {
        self.violations.as_slice()
    }

    /// Number of messages sent so far.
    pub fn messages(&self) -> u64 {
        self.network.sent
    }

    /// Bytes of the messages that arrived so far, extrapolated from a sample.
    pub fn bytes(&self) -> u64 {
        self.network.bytes
    }

    /// Present state of the nodes, one line each.
    pub fn describe(&self) -> String {
        let lines = self.nodes.iter().map(|node| {
            let Some(replica) = &node.replica else {
                return format!("{} down", node.address);
            };
            let view = replica
                .view()
                .map(|view| (view.epoch, view.voters.len(), view.chain.clone()));
            format!(
                "{} {} head={} clean={} at={:?} committed={:?} view={view:?} {:?}",
                node.address,
                replica.identity(),
                replica.is_head(),
                replica.is_clean(),
                replica.position(),
                replica.committed().map(|document| document.version),
                replica.counters(),
            )
        });
        lines.collect::<Vec<_>>().join("\n")
    }
}
