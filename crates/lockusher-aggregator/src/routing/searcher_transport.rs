//! The interface between the router and the transport of calls to searchers. The end of each send is reported
//! through the router's queue; the methods here address a searcher, not one of its connections.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use lockusher_multiget::list::SearcherEndpoint;
use lockusher_policy::interface::{Budget, PartId, QuotaShare, SearcherEntry, SearcherId, Time};

use crate::protocol::frame::CallPart;

/// Returns whether the client that waits for a part is still connected.
pub type ClientConnected = Rc<dyn Fn() -> bool>;

/// Whether a part may be written, evaluated just before it is written.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Permission {
    Send,
    /// The part may be written, but its last byte must be written by this time.
    SendBy(Instant),
    /// The client has disconnected.
    Abandoned,
    /// The deduplication window has passed: the searcher would no longer drop a repeat.
    WindowExpired,
}

/// Deduplication window of a part whose repeats a searcher drops for a limited time only. The window starts with
/// the first byte of whichever send of the part is written first.
pub struct DedupWindow {
    span: std::time::Duration,
    started: Cell<Option<Instant>>,
}

impl DedupWindow {
    pub fn new(span: std::time::Duration) -> Self {
        DedupWindow {
            span,
            started: Cell::new(None),
        }
    }

    /// Whether a send may be written now; the first one that may starts the window.
    pub fn permission(&self, now: Instant) -> Permission {
        match self.started.get() {
            None => {
                self.started.set(Some(now));
                Permission::Send
            }
            Some(started) if now >= started + self.span => Permission::WindowExpired,
            Some(started) => Permission::SendBy(started + self.span),
        }
    }

    /// Restarts the window with the next send, when no send written so far can have been executed.
    pub fn reset(&self) {
        self.started.set(None);
    }
}

/// Index of a send, the part, and the permission check to evaluate before writing.
pub type OutgoingPart = (usize, CallPart, Rc<dyn Fn() -> Permission>);
/// A part and the index of a send that was not written.
pub type UnsentPart = (PartId, usize);

/// Sends parts to searchers. Sends of a part are identified by their index, starting at 0.
pub trait SearcherTransport {
    /// Sets the address of a searcher. If it changed, connections to the previous address are drained and their
    /// unwritten sends returned.
    fn set_address(&mut self, entry: &SearcherEntry, place: SearcherEndpoint) -> Vec<UnsentPart>;

    /// Stops sending to a searcher: returns the sends that were not written and lets the others end.
    fn drain(&mut self, id: &SearcherId) -> Vec<UnsentPart>;

    /// All searchers that have an address.
    fn searcher_ids(&self) -> Vec<SearcherId>;

    /// Maximum number of parts in one call.
    fn max_parts_per_call(&self) -> usize;

    /// Closes the idle connections to a searcher.
    fn close_idle(&mut self, to: &SearcherId);

    /// Sends a call of one or more parts. Returns the call if no connection is available for it, which says nothing
    /// about the health of the searcher.
    fn send(&mut self, to: &SearcherId, call: Vec<OutgoingPart>) -> Result<(), Vec<OutgoingPart>>;

    /// Reports that a send timed out. Returns other sends that were not written and will not be.
    fn send_timed_out(&mut self, to: &SearcherId, part: &PartId, nth: usize) -> Vec<UnsentPart>;

    /// Reports that a send is late enough for a hedged request; tests whether the searcher is slow or only the
    /// connection is dead.
    fn check_liveness(&mut self, to: &SearcherId, part: &PartId, nth: usize);

    /// Cancels a send in any state.
    fn cancel(&mut self, to: &SearcherId, part: &PartId, nth: usize);

    /// Cancels a send unless its last byte has been written; returns whether it was cancelled.
    fn cancel_unsent(&mut self, to: &SearcherId, part: &PartId, nth: usize) -> bool;

    /// Sets this mixer's shares of the fleet-wide budgets for connections and probes.
    fn set_shares(&mut self, now: Time, shares: &[(Budget, QuotaShare)]);

    /// Current rates per second at which these budgets are spent.
    fn spending_rates(&self, now: Time) -> Vec<(Budget, f64)>;

    /// Returns the time until which a send written just now may still be in transit, so that data written to a
    /// client next could overtake it.
    fn in_transit_until(&self, to: &SearcherId, part: &PartId, nth: usize) -> Option<Instant>;
}
