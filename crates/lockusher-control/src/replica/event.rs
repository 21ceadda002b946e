//! What a replica is told by its driver.

use std::net::SocketAddrV4;

use crate::durable_record::PersistTicket;
use crate::message::Message;
use crate::request::{Request, RequestTicket};

/// What happens to a replica.
#[derive(Clone, Debug)]
pub enum Event {
    /// A message came; `from` is the sender's internal listener.
    Message { from: SocketAddrV4, message: Message },
    /// The records of this ticket are durable.
    Persisted { ticket: PersistTicket },
    /// The records of this ticket were refused by the disk; none of them counts.
    PersistFailed { ticket: PersistTicket },
    /// The operator asks for something.
    Request { ticket: RequestTicket, request: Request },
    /// Comes about every 50 ms.
    Tick,
    /// The process will end soon: hand over.
    Stop,
}
