//! Two carriers side by side: HTTP/2 for the hosts that the operator's settings name, frames for all others.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use lockusher_http2::connection::{Came, Host, Sent as H2Sent, Shared};
use lockusher_http2::pool::{Limits, MOST_CALLS};
use lockusher_http2::wire;
use lockusher_multiget::list::Place;
use lockusher_multiget::settings::Names;
use lockusher_policy::interface::*;
use tokio::sync::mpsc;

use super::frame_transport::Searchers;
use crate::clock::duration;
use crate::config::Sockets;
use crate::operator::Http2;
use crate::protocol::frame::CallPart;
use crate::routing::searcher_transport::{Carrier, May, Sent, Unsent};
use crate::routing::{Arrival, SendEnded};

/// Whether an id matches a pattern in which a star stands for any letters.
pub fn matches(pattern: &str, id: &str) -> bool {
    let Some((before, after)) = pattern.split_once('*') else {
        return pattern == id;
    };
    let Some(rest) = id.strip_prefix(before) else {
        return false;
    };
    (0..=rest.len()).any(|at| rest.is_char_boundary(at) && matches(after, &rest[at..]))
}

/// One host by HTTP/2; those before it, at other addresses, end what is out there.
struct ByHttp2 {
    host: Option<Rc<Host<Arrival>>>,
    before: Vec<Rc<Host<Arrival>>>,
}

pub struct Carriers {
    frames: Searchers,
    http2: Http2,
    names: Names,
    connect_timeout: Span,
    shared: Rc<Shared<Arrival>>,
    hosts: HashMap<SearcherId, ByHttp2>,
}

fn arrival(came: Came) -> Arrival {
    let Came {
        part,
        nth,
        outcome,
        at,
        answer,
    } = came;
    Arrival::Ended(SendEnded {
        part,
        nth,
        outcome,
        at,
        answer,
    })
}

fn handed((nth, part, may): Sent) -> H2Sent {
    let wanted = Rc::new(move || matches!(may(), May::Leave | May::LeaveBy(_)));
    let CallPart {
        id,
        shard,
        wait,
        first_step,
        text,
    } = part;
    let first_step = first_step.map(|(shards, whole)| (shards.to_vec(), whole));
    H2Sent {
        nth,
        part: wire::Part {
            id,
            shard,
            wait,
            first_step,
            text,
        },
        wanted,
    }
}

fn handed_back(sent: H2Sent) -> Sent {
    let wire::Part {
        id,
        shard,
        wait,
        first_step,
        text,
    } = sent.part;
    let first_step = first_step.map(|(shards, whole)| (shards.into(), whole));
    let may = move || {
        if (sent.wanted)() {
            May::Leave
        } else {
            May::Unwanted
        }
    };
    (
        sent.nth,
        CallPart {
            id,
            shard,
            wait,
            first_step,
            text,
        },
        Rc::new(may),
    )
}

impl Carriers {
    pub fn new(
        frames: Searchers,
        http2: Http2,
        sockets: Sockets,
        names: Names,
        open: Rc<Cell<usize>>,
        queue: mpsc::Sender<Arrival>,
    ) -> Self {
        let limits = Limits {
            most_connections: http2.most_connections,
            most_streams: http2.most_streams,
            most_calls: MOST_CALLS,
            most_waiting: sockets.most_open,
            idle: sockets.idle,
            age: http2.age,
            silent_after: http2.silent_after,
            resets_per_s: http2.resets_per_s,
        };
        let shared = Rc::new(Shared {
            limits,
            connect_timeout: sockets.connect_timeout,
            open,
            most_open: sockets.most_searchers,
            queue,
            came: arrival,
            started: Instant::now(),
        });
        let connect_timeout = sockets.connect_timeout;
        Carriers {
            frames,
            http2,
            names,
            connect_timeout,
            shared,
            hosts: HashMap::new(),
        }
    }

    /// Whether a host is spoken to by HTTP/2.
    fn chosen(&self, line: &Listed, place: Place) -> bool {
        let zone =
            |name: &String| line.zone.is_some() && self.names.zones.get(name).copied() == line.zone;
        self.http2.zones.iter().any(zone)
            || self
                .http2
                .names
                .iter()
                .any(|pattern| matches(pattern, line.id.as_str()))
            || (self.http2.entries && place.http2)
    }

    /// The host that holds a send by HTTP/2, if one does.
    fn holding(&self, to: &SearcherId, part: &PartId, nth: usize) -> Option<&Rc<Host<Arrival>>> {
        let by = self.hosts.get(to)?;
        by.host
            .iter()
            .chain(&by.before)
            .find(|host| host.holds(part, nth))
    }

    /// The host, unless it turned out to speak no HTTP/2 and may be left to frames.
    fn speaks(&self, to: &SearcherId) -> Option<&Rc<Host<Arrival>>> {
        let host = self.hosts.get(to)?.host.as_ref()?;
        (!self.http2.fall_back || host.speaks()).then_some(host)
    }

    fn end(&mut self, id: &SearcherId) -> Vec<Unsent> {
        let Some(by) = self.hosts.get_mut(id) else {
            return Vec::new();
        };
        by.before.retain(|host| !host.is_over());
        let Some(host) = by.host.take() else {
            return Vec::new();
        };
        let unsent = host.leave();
        by.before.push(host);
        unsent
    }
}

impl Carrier for Carriers {
    fn at(&mut self, line: &Listed, place: Place) -> Vec<Unsent> {
        // Frames know all, so that what is left to them has an address.
        let mut unsent = self.frames.at(line, place);
        let here = self
            .hosts
            .get(&line.id)
            .and_then(|by| by.host.as_ref())
            .map(|host| host.address());
        let wanted = self.chosen(line, place).then_some(place.address);
        if here != wanted {
            unsent.extend(self.end(&line.id));
            if let Some(address) = wanted {
                let host = Host::start(self.shared.clone(), address);
                let by = self.hosts.entry(line.id.clone());
                by.or_insert_with(|| ByHttp2 {
                    host: None,
                    before: Vec::new(),
                })
                .host = Some(host);
            }
        }
        unsent
    }

    fn leave(&mut self, id: &SearcherId) -> Vec<Unsent> {
        let mut unsent = self.frames.leave(id);
        unsent.extend(self.end(id));
        // Hosts come and go for good: nothing is kept of those with nothing out.
        self.hosts.retain(|_, by| {
            by.before.retain(|host| !host.is_over());
            by.host.is_some() || !by.before.is_empty()
        });
        unsent
    }

    fn known(&self) -> Vec<SearcherId> {
        self.frames.known()
    }

    fn most_parts(&self) -> usize {
        self.frames.most_parts()
    }

    fn close_unused(&mut self, to: &SearcherId) {
        match self.speaks(to) {
            Some(host) => host.retire_unused(),
            None => self.frames.close_unused(to),
        }
    }

    fn send(&mut self, to: &SearcherId, call: Vec<Sent>) -> Result<(), Vec<Sent>> {
        match self.speaks(to).cloned() {
            Some(host) => {
                let refused = host.send(call.into_iter().map(handed).collect());
                refused.map_err(|call| call.into_iter().map(handed_back).collect())
            }
            None => self.frames.send(to, call),
        }
    }

    fn in_vain(&mut self, to: &SearcherId, part: &PartId, nth: usize) -> Vec<Unsent> {
        match self.holding(to, part, nth) {
            Some(host) => {
                host.doubt(part, nth, true);
                Vec::new()
            }
            None => self.frames.in_vain(to, part, nth),
        }
    }

    fn doubt(&mut self, to: &SearcherId, part: &PartId, nth: usize) {
        match self.holding(to, part, nth) {
            Some(host) => host.doubt(part, nth, false),
            None => self.frames.doubt(to, part, nth),
        }
    }

    fn give_up(&mut self, to: &SearcherId, part: &PartId, nth: usize) {
        match self.holding(to, part, nth) {
            Some(host) => host.give_up(part, nth),
            None => self.frames.give_up(to, part, nth),
        }
    }

    fn recall(&mut self, to: &SearcherId, part: &PartId, nth: usize) -> bool {
        match self.holding(to, part, nth) {
            Some(host) => host.recall(part, nth),
            None => self.frames.recall(to, part, nth),
        }
    }

    /// Frames alone are metered: HTTP/2 holds few connections to a host, by limits of its own.
    fn portions(&mut self, now: Time, portions: &[(Budget, Portion)]) {
        self.frames.portions(now, portions);
    }

    fn spends(&self, now: Time) -> Vec<(Budget, f64)> {
        self.frames.spends(now)
    }

    fn on_its_way(&self, to: &SearcherId, part: &PartId, nth: usize) -> Option<Instant> {
        let Some(host) = self.holding(to, part, nth) else {
            return self.frames.on_its_way(to, part, nth);
        };
        let until = host.left_at(part, nth)? + duration(self.connect_timeout) / 50;
        (until > Instant::now()).then_some(until)
    }
}
