//! What carries calls to searchers, as the router sees it. A carrier reports each send's end through the router's
//! queue; what is told here is told of the searcher as a whole.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use lockusher_multiget::list::Place;
use lockusher_policy::interface::{Budget, Listed, PartId, Portion, SearcherId, Time};

use crate::protocol::frame::CallPart;

/// Whether anyone still waits for a part.
pub type Wanted = Rc<dyn Fn() -> bool>;

/// Whether a part may leave, asked as it is about to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum May {
    Leave,
    /// Its last byte too must leave by then.
    LeaveBy(Instant),
    /// Nobody waits for it any more.
    Unwanted,
    /// Its window has passed: no repeat of it is dropped any more.
    Late,
}

/// Where a searcher drops repeats of a part for a time only: that time runs from the first byte of the first of its
/// sends to leave, whichever that is.
pub struct RepeatWindow {
    span: std::time::Duration,
    began: Cell<Option<Instant>>,
}

impl RepeatWindow {
    pub fn new(span: std::time::Duration) -> Self {
        RepeatWindow {
            span,
            began: Cell::new(None),
        }
    }

    /// Whether a send may leave now; the first that may begins the window.
    pub fn may_leave(&self, now: Instant) -> May {
        match self.began.get() {
            None => {
                self.began.set(Some(now));
                May::Leave
            }
            Some(began) if now >= began + self.span => May::Late,
            Some(began) => May::LeaveBy(began + self.span),
        }
    }

    /// No send of it that left can have run: the next to leave is the first again.
    pub fn never_ran(&self) {
        self.began.set(None);
    }
}

/// A part with the number of its send.
pub type Sent = (usize, CallPart, Rc<dyn Fn() -> May>);
/// One that had not left.
pub type Unsent = (PartId, usize);

pub trait Carrier {
    /// Where a searcher listens. Connections to where it listened before carry nothing new.
    fn at(&mut self, line: &Listed, place: Place) -> Vec<Unsent>;

    /// Nothing new goes to a searcher: hands back what had not left, lets the rest end.
    fn leave(&mut self, id: &SearcherId) -> Vec<Unsent>;

    /// All that have an address.
    fn known(&self) -> Vec<SearcherId>;

    /// Parts that one call may hold.
    fn most_parts(&self) -> usize;

    /// Closes what unused connections there are to a searcher.
    fn close_unused(&mut self, to: &SearcherId);

    /// Sends a call of one or more parts; hands it back if no connection can be had for it, which says nothing of
    /// the searcher.
    fn send(&mut self, to: &SearcherId, call: Vec<Sent>) -> Result<(), Vec<Sent>>;

    /// A send has waited in vain. Tells what else had not left and won't.
    fn in_vain(&mut self, to: &SearcherId, part: &PartId, nth: usize) -> Vec<Unsent>;

    /// A send is late enough for a copy: is it the searcher, or the connection to it?
    fn doubt(&mut self, to: &SearcherId, part: &PartId, nth: usize);

    /// Gives a send up, wherever it is.
    fn give_up(&mut self, to: &SearcherId, part: &PartId, nth: usize);

    /// Takes back a send that has not left whole; tells whether that was so.
    fn recall(&mut self, to: &SearcherId, part: &PartId, nth: usize) -> bool;

    /// What may be spent on connections and probes from now on, of what the whole fleet may.
    fn portions(&mut self, now: Time, portions: &[(Budget, Portion)]);

    /// What is spent on them a second.
    fn spends(&self, now: Time) -> Vec<(Budget, f64)>;

    /// What was written just now may reach its searcher after what is written to a client next: until when that is so.
    fn on_its_way(&self, to: &SearcherId, part: &PartId, nth: usize) -> Option<Instant>;
}
