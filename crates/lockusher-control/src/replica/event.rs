//! Events: inputs that the driver passes to a replica.

use std::net::SocketAddrV4;

use crate::durable_record::PersistTicket;
use crate::message::Message;
use crate::request::{Request, RequestTicket};

/// An input to a replica, which [`Replica::handle`](super::Replica::handle) takes together with the current time.
#[derive(Clone, Debug)]
pub enum Event {
    /// A message was received.
    Message {
        /// Address of the sender's internal listener.
        from: SocketAddrV4,
        /// The message.
        message: Message,
    },
    /// The records of this ticket are durable.
    Persisted {
        /// Ticket of the [`Effect::Persist`](super::Effect::Persist).
        ticket: PersistTicket,
    },
    /// The write with this ticket failed; none of its records counts as durable.
    PersistFailed {
        /// Ticket of the [`Effect::Persist`](super::Effect::Persist).
        ticket: PersistTicket,
    },
    /// The operator sent a request.
    Request {
        /// Identifies the request until it is answered.
        ticket: RequestTicket,
        /// The request.
        request: Request,
    },
    /// An agent reported other control nodes. They are contacted while this node isn't a voter in contact with a
    /// majority.
    Introduced {
        /// Addresses of their internal listeners.
        addresses: Vec<SocketAddrV4>,
    },
    /// Triggers time-driven work; sent about every 50 ms.
    Tick,
    /// The process is shutting down: the others are informed, so that they replace this node.
    Stop,
}
