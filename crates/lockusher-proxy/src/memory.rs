//! Limits the memory for the bodies of requests in flight.
//!
//! Each request owns a reservation that grows as its body arrives and is released when dropped.

use std::cell::Cell;
use std::rc::Rc;

/// The reserved bytes of request bodies and their limit.
#[derive(Debug)]
pub(crate) struct BodyMemory {
    limit: u64,
    reserved: Cell<u64>,
}

impl BodyMemory {
    pub(crate) fn new(limit: u64) -> Rc<Self> {
        Rc::new(BodyMemory {
            limit,
            reserved: Cell::new(0),
        })
    }

    /// An empty reservation, to grow as a body arrives.
    pub(crate) fn reserve(self: &Rc<Self>) -> Reservation {
        Reservation {
            memory: self.clone(),
            bytes: 0,
        }
    }
}

/// Memory reserved for one body; released when dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    memory: Rc<BodyMemory>,
    bytes: u64,
}

impl Reservation {
    /// Reserves more bytes; returns false without reserving any if the limit would be exceeded.
    pub(crate) fn grow(&mut self, bytes: u64) -> bool {
        let reserved = self.memory.reserved.get() + bytes;
        if reserved > self.memory.limit {
            return false;
        }
        self.memory.reserved.set(reserved);
        self.bytes += bytes;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory
            .reserved
            .set(self.memory.reserved.get() - self.bytes);
    }
}
