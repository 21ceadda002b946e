//! Effects: actions that a replica requests from its driver.

use std::net::SocketAddrV4;

use crate::document::ConfigurationDocument;
use crate::durable_record::{DurableRecord, PersistTicket};
use crate::message::Message;
use crate::request::{Reply, RequestTicket};

/// An action for the driver, which carries out effects in order.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Sends a message, which may be lost.
    Send {
        /// Address of the receiver's internal listener.
        to: SocketAddrV4,
        /// The message.
        message: Message,
    },
    /// Appends the records to the log and syncs it, in the order of the effects. The driver reports the outcome with
    /// the ticket.
    Persist {
        /// Identifies the write.
        ticket: PersistTicket,
        /// Records to make durable.
        records: Vec<DurableRecord>,
    },
    /// Replies to the operator.
    Reply {
        /// Identifies the request.
        ticket: RequestTicket,
        /// The reply.
        reply: Reply,
    },
    /// A newer configuration is known to be committed.
    Committed(ConfigurationDocument),
    /// This node became or ceased to be head of the newest view it knows and in contact with a majority, or is head in
    /// a new epoch.
    RoleChanged {
        /// Whether this node is head now.
        head: bool,
        /// Epoch of the newest view.
        epoch: u64,
    },
    /// The known control nodes, to be announced to agents.
    Members(Vec<SocketAddrV4>),
}
