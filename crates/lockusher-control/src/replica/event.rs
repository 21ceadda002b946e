//! What a replica is told by its driver.

use std::net::SocketAddrV4;

use crate::durable_record::PersistTicket;
use crate::message::Message;
use crate::request::{Request, RequestTicket};

/// What happens to a replica. [`Replica::handle`](super::Replica::handle) takes it with the time.
#[derive(Clone, Debug)]
pub enum Event {
    /// A message came.
    Message {
        /// The sender's internal listener.
        from: SocketAddrV4,
        /// The message.
        message: Message,
    },
    /// The records of this ticket are durable.
    Persisted {
        /// Ticket of the [`Effect::Persist`](super::Effect::Persist).
        ticket: PersistTicket,
    },
    /// The records of this ticket were refused by the disk; none of them counts.
    PersistFailed {
        /// Ticket of the [`Effect::Persist`](super::Effect::Persist).
        ticket: PersistTicket,
    },
    /// The operator asks for something.
    Request {
        /// Names the request until it is answered.
        ticket: RequestTicket,
        /// The request.
        request: Request,
    },
    /// Other control nodes were named by an agent that knows them; they are contacted while this node needs others.
    Introduced {
        /// Their internal listeners.
        addresses: Vec<SocketAddrV4>,
    },
    /// Comes about every 50 ms.
    Tick,
    /// The process will end soon: hand over.
    Stop,
}
