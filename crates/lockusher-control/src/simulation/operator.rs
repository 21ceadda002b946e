//! A simulated operator: sends configurations and reads them, and repeats what wasn't answered.

use std::sync::Arc;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::{Document, Millis, Request, RequestTicket};

/// An operator with one call at a time.
#[derive(Debug)]
pub struct Operator {
    pub number: usize,
    /// Version that it believes current.
    pub believed: u64,
    /// The change that it wants taken, with the version it builds on.
    pub change: Option<Change>,
    pub call: Option<Call>,
    /// Nothing is sent before then.
    pub pause_until: Millis,
    written: u64,
    /// Machine asked last; another one is asked next, if there is one.
    pub asked: Option<usize>,
    /// Changes acknowledged to it, some of which it sends again.
    pub acknowledged: Vec<Change>,
}

/// A change of the configuration.
#[derive(Clone, Debug)]
pub struct Change {
    pub document: Document,
    pub if_match: u64,
    /// It was acknowledged before, and is sent again.
    pub again: bool,
}

/// A call under way.
#[derive(Clone, Debug)]
pub struct Call {
    pub ticket: RequestTicket,
    pub deadline: Millis,
    /// Highest version told when it began.
    pub floor: u64,
    pub is_read: bool,
}

impl Operator {
    /// An operator that believes nothing is there.
    pub fn new(number: usize) -> Self {
        Self {
            number,
            believed: 0,
            change: None,
            call: None,
            pause_until: 0,
            written: 0,
            asked: None,
            acknowledged: Vec::new(),
        }
    }

    /// The next change to be sent; the present one if it isn't decided.
    pub fn next_change(&mut self, random: &mut ChaCha8Rng) -> Change {
        if let Some(change) = &self.change {
            return change.clone();
        }
        let change = if !self.acknowledged.is_empty() && random.random_ratio(1, 5) {
            let old = &self.acknowledged[random.random_range(0..self.acknowledged.len())];
            Change { again: true, ..old.clone() }
        } else {
            self.new_change(random)
        };
        self.change = Some(change.clone());
        change
    }

    /// A change on top of what it believes current.
    pub fn new_change(&mut self, random: &mut ChaCha8Rng) -> Change {
        self.written += 1;
        let version = self.believed + random.random_range(1..=3);
        let body =
            format!("{{\"version\":{version},\"operator\":{},\"number\":{}}}", self.number, self.written);
        let document = Document::new(version, Arc::from(body.into_bytes()));
        Change { document, if_match: self.believed, again: false }
    }
}

impl Change {
    /// The request that asks for it.
    pub fn request(&self) -> Request {
        Request::Put {
            if_match: self.if_match,
            version: self.document.version,
            body: self.document.body.clone(),
        }
    }
}
