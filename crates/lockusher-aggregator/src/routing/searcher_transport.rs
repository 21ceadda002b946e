//! What carries calls to searchers, as the router sees it. A carrier reports each send's end through the router's
//! queue; what is told here is told of the searcher as a whole.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use lockusher_multiget::list::Place;
use lockusher_policy::interface::{Budget, Listed, PartId, Portion, SearcherId, Time};

use crate::protocol::frame::CallPart;

/// Whether anyone still waits for a part.
pub type ClientConnected = Rc<dyn Fn() -> bool>;

/// Whether a part may leave, asked as it is about to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Permission {
    Send,
    /// Its last byte too must leave by then.
    SendBy(Instant),
    /// Nobody waits for it any more.
    Abandoned,
    /// Its window has passed: no repeat of it is dropped any more.
    WindowExpired,
}

/// Where a searcher drops repeats of a part for a time only: that time runs from the first byte of the first of its
/// sends to leave, whichever that is.
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

    /// Whether a send may leave now; the first that may begins the window.
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

    /// No send of it that left can have run: the next to leave is the first again.
    pub fn reset(&self) {
        self.started.set(None);
    }
}

/// A part with the number of its send.
pub type OutgoingPart = (usize, CallPart, Rc<dyn Fn() -> Permission>);
/// One that had not left.
pub type UnsentPart = (PartId, usize);

pub trait SearcherTransport {
    /// Where a searcher listens. Connections to where it listened before carry nothing new.
    fn set_address(&mut self, entry: &Listed, place: Place) -> Vec<UnsentPart>;

    /// Nothing new goes to a searcher: hands back what had not left, lets the rest end.
    fn drain(&mut self, id: &SearcherId) -> Vec<UnsentPart>;

    /// All that have an address.
    fn searcher_ids(&self) -> Vec<SearcherId>;

    /// Parts that one call may hold.
    fn max_parts_per_call(&self) -> usize;

    /// Closes what unused connections there are to a searcher.
    fn close_idle(&mut self, to: &SearcherId);

    /// Sends a call of one or more parts; hands it back if no connection can be had for it, which says nothing of
    /// the searcher.
    fn send(&mut self, to: &SearcherId, call: Vec<OutgoingPart>) -> Result<(), Vec<OutgoingPart>>;

    /// A send has waited in vain. Tells what else had not left and won't.
    fn send_timed_out(&mut self, to: &SearcherId, part: &PartId, nth: usize) -> Vec<UnsentPart>;

    /// A send is late enough for a copy: is it the searcher, or the connection to it?
    fn check_liveness(&mut self, to: &SearcherId, part: &PartId, nth: usize);

    /// Gives a send up, wherever it is.
    fn cancel(&mut self, to: &SearcherId, part: &PartId, nth: usize);

    /// Takes back a send that has not left whole; tells whether that was so.
    fn cancel_unsent(&mut self, to: &SearcherId, part: &PartId, nth: usize) -> bool;

    /// What may be spent on connections and probes from now on, of what the whole fleet may.
    fn set_portions(&mut self, now: Time, portions: &[(Budget, Portion)]);

    /// What is spent on them a second.
    fn spending_rates(&self, now: Time) -> Vec<(Budget, f64)>;

    /// What was written just now may reach its searcher after what is written to a client next: until when that is so.
    fn in_transit_until(&self, to: &SearcherId, part: &PartId, nth: usize) -> Option<Instant>;
}
