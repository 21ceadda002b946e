//! Selects the protocol for each searcher: HTTP/2 for the hosts that the operator's settings select, frames for all
//! others.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use lockusher_http2::connection::{Host, HostContext, OutgoingPart as Http2Part, SendResult};
use lockusher_http2::pool::{Limits, MAX_CALLS_PER_CONNECTION};
use lockusher_http2::wire;
use lockusher_multiget::list::SearcherEndpoint;
use lockusher_multiget::settings::Names;
use lockusher_policy::interface::*;
use tokio::sync::mpsc;

use super::frame_transport::FrameTransport;
use crate::clock::duration;
use crate::config::SocketLimits;
use crate::operator::Http2;
use crate::protocol::frame::CallPart;
use crate::routing::searcher_transport::{OutgoingPart, Permission, SearcherTransport, UnsentPart};
use crate::routing::{RouterEvent, SendEnded};

/// Whether an id matches a pattern, in which `*` matches any sequence of characters.
pub fn matches(pattern: &str, id: &str) -> bool {
    let Some((prefix, suffix)) = pattern.split_once('*') else {
        return pattern == id;
    };
    let Some(rest) = id.strip_prefix(prefix) else {
        return false;
    };
    (0..=rest.len()).any(|at| rest.is_char_boundary(at) && matches(suffix, &rest[at..]))
}

/// The HTTP/2 host of a searcher, and hosts at its previous addresses that still have pending calls.
struct Http2Hosts {
    host: Option<Rc<Host<RouterEvent>>>,
    retired: Vec<Rc<Host<RouterEvent>>>,
}

/// Sends calls over HTTP/2 or frames, depending on the searcher.
pub struct ProtocolSelector {
    frames: FrameTransport,
    http2: Http2,
    names: Names,
    connect_timeout: Span,
    shared: Rc<HostContext<RouterEvent>>,
    hosts: HashMap<SearcherId, Http2Hosts>,
}

/// Converts the end of an HTTP/2 call to a router event.
fn send_ended_event(came: SendResult) -> RouterEvent {
    let SendResult {
        part,
        nth,
        outcome,
        at,
        answer,
    } = came;
    RouterEvent::SendEnded(SendEnded {
        part,
        nth,
        outcome,
        at,
        answer,
    })
}

/// Converts a part to the type of the HTTP/2 transport.
fn to_http2((nth, part, permission): OutgoingPart) -> Http2Part {
    let wanted = Rc::new(move || matches!(permission(), Permission::Send | Permission::SendBy(_)));
    let CallPart {
        id,
        shard,
        wait,
        first_step,
        text,
    } = part;
    let first_step = first_step.map(|(shards, whole)| (shards.to_vec(), whole));
    Http2Part {
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

/// Converts a part that HTTP/2 did not accept back.
fn from_http2(sent: Http2Part) -> OutgoingPart {
    let wire::Part {
        id,
        shard,
        wait,
        first_step,
        text,
    } = sent.part;
    let first_step = first_step.map(|(shards, whole)| (shards.into(), whole));
    let permission = move || {
        if (sent.wanted)() {
            Permission::Send
        } else {
            Permission::Abandoned
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
        Rc::new(permission),
    )
}

impl ProtocolSelector {
    /// Creates a selector without hosts; `open_sockets` counts the descriptors in use for searchers.
    pub fn new(
        frames: FrameTransport,
        http2: Http2,
        sockets: SocketLimits,
        names: Names,
        open_sockets: Rc<Cell<usize>>,
        queue: mpsc::Sender<RouterEvent>,
    ) -> Self {
        let limits = Limits {
            max_connections: http2.max_connections,
            max_streams: http2.max_streams,
            max_calls_per_connection: MAX_CALLS_PER_CONNECTION,
            max_queued_calls: sockets.max_in_flight,
            idle_timeout: sockets.idle_timeout,
            max_connection_age: http2.max_connection_age,
            silent_after: http2.silent_after,
            max_resets_per_s: http2.max_resets_per_s,
        };
        let shared = Rc::new(HostContext {
            limits,
            connect_timeout: sockets.connect_timeout,
            open_sockets,
            max_open_sockets: sockets.max_searcher_connections,
            queue,
            to_event: send_ended_event,
            started: Instant::now(),
        });
        let connect_timeout = sockets.connect_timeout;
        ProtocolSelector {
            frames,
            http2,
            names,
            connect_timeout,
            shared,
            hosts: HashMap::new(),
        }
    }

    /// Whether the settings select HTTP/2 for a host.
    fn uses_http2(&self, host: &SearcherEntry, place: SearcherEndpoint) -> bool {
        let zone =
            |name: &String| host.zone.is_some() && self.names.zones.get(name).copied() == host.zone;
        self.http2.zones.iter().any(zone)
            || self
                .http2
                .id_patterns
                .iter()
                .any(|pattern| matches(pattern, host.id.as_str()))
            || (self.http2.select_by_registry_entry && place.http2)
    }

    /// The HTTP/2 host that a send is pending at, if any.
    fn host_with_send(
        &self,
        to: &SearcherId,
        part: &PartId,
        nth: usize,
    ) -> Option<&Rc<Host<RouterEvent>>> {
        let hosts = self.hosts.get(to)?;
        hosts
            .host
            .iter()
            .chain(&hosts.retired)
            .find(|host| host.has_pending(part, nth))
    }

    /// The HTTP/2 host of a searcher, unless it turned out not to speak HTTP/2 and falling back to frames is
    /// allowed.
    fn http2_host(&self, to: &SearcherId) -> Option<&Rc<Host<RouterEvent>>> {
        let host = self.hosts.get(to)?.host.as_ref()?;
        (!self.http2.fall_back_to_frames || host.speaks_http2()).then_some(host)
    }

    /// Drains the HTTP/2 host of a searcher and returns its unwritten sends.
    fn retire_host(&mut self, id: &SearcherId) -> Vec<UnsentPart> {
        let Some(hosts) = self.hosts.get_mut(id) else {
            return Vec::new();
        };
        hosts.retired.retain(|host| !host.is_closed());
        let Some(host) = hosts.host.take() else {
            return Vec::new();
        };
        let unsent = host.drain();
        hosts.retired.push(host);
        unsent
    }
}

impl SearcherTransport for ProtocolSelector {
    fn set_address(&mut self, entry: &SearcherEntry, place: SearcherEndpoint) -> Vec<UnsentPart> {
        // The frame transport is told of every searcher, so that it has an address for those that fall back to it.
        let mut unsent = self.frames.set_address(entry, place);
        let current = self
            .hosts
            .get(&entry.id)
            .and_then(|hosts| hosts.host.as_ref())
            .map(|host| host.address());
        let wanted = self.uses_http2(entry, place).then_some(place.address);
        if current != wanted {
            unsent.extend(self.retire_host(&entry.id));
            if let Some(address) = wanted {
                let host = Host::start(self.shared.clone(), address);
                let hosts = self.hosts.entry(entry.id.clone());
                hosts
                    .or_insert_with(|| Http2Hosts {
                        host: None,
                        retired: Vec::new(),
                    })
                    .host = Some(host);
            }
        }
        unsent
    }

    fn drain(&mut self, id: &SearcherId) -> Vec<UnsentPart> {
        let mut unsent = self.frames.drain(id);
        unsent.extend(self.retire_host(id));
        // Drops retired hosts without pending calls, so that state does not accumulate as hosts are replaced.
        self.hosts.retain(|_, hosts| {
            hosts.retired.retain(|host| !host.is_closed());
            hosts.host.is_some() || !hosts.retired.is_empty()
        });
        unsent
    }

    fn searcher_ids(&self) -> Vec<SearcherId> {
        self.frames.searcher_ids()
    }

    fn max_parts_per_call(&self) -> usize {
        self.frames.max_parts_per_call()
    }

    fn close_idle(&mut self, to: &SearcherId) {
        match self.http2_host(to) {
            Some(host) => host.drain_idle(),
            None => self.frames.close_idle(to),
        }
    }

    fn send(&mut self, to: &SearcherId, call: Vec<OutgoingPart>) -> Result<(), Vec<OutgoingPart>> {
        match self.http2_host(to).cloned() {
            Some(host) => {
                let refused = host.send(call.into_iter().map(to_http2).collect());
                refused.map_err(|call| call.into_iter().map(from_http2).collect())
            }
            None => self.frames.send(to, call),
        }
    }

    fn send_timed_out(&mut self, to: &SearcherId, part: &PartId, nth: usize) -> Vec<UnsentPart> {
        match self.host_with_send(to, part, nth) {
            Some(host) => {
                host.check_liveness(part, nth, true);
                Vec::new()
            }
            None => self.frames.send_timed_out(to, part, nth),
        }
    }

    fn check_liveness(&mut self, to: &SearcherId, part: &PartId, nth: usize) {
        match self.host_with_send(to, part, nth) {
            Some(host) => host.check_liveness(part, nth, false),
            None => self.frames.check_liveness(to, part, nth),
        }
    }

    fn cancel(&mut self, to: &SearcherId, part: &PartId, nth: usize) {
        match self.host_with_send(to, part, nth) {
            Some(host) => host.cancel(part, nth),
            None => self.frames.cancel(to, part, nth),
        }
    }

    fn cancel_unsent(&mut self, to: &SearcherId, part: &PartId, nth: usize) -> bool {
        match self.host_with_send(to, part, nth) {
            Some(host) => host.cancel_unsent(part, nth),
            None => self.frames.cancel_unsent(to, part, nth),
        }
    }

    /// Only frames count against the shared budgets: HTTP/2 keeps few connections to a host, with limits of its
    /// own.
    fn set_shares(&mut self, now: Time, shares: &[(Budget, QuotaShare)]) {
        self.frames.set_shares(now, shares);
    }

    fn spending_rates(&self, now: Time) -> Vec<(Budget, f64)> {
        self.frames.spending_rates(now)
    }

    fn in_transit_until(&self, to: &SearcherId, part: &PartId, nth: usize) -> Option<Instant> {
        let Some(host) = self.host_with_send(to, part, nth) else {
            return self.frames.in_transit_until(to, part, nth);
        };
        let until = host.written_at(part, nth)? + duration(self.connect_timeout) / 50;
        (until > Instant::now()).then_some(until)
    }
}
