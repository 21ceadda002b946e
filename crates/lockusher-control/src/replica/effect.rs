//! What a replica asks its driver to do.

use std::net::SocketAddrV4;

use crate::document::ConfigurationDocument;
use crate::durable_record::{DurableRecord, PersistTicket};
use crate::message::Message;
use crate::request::{Reply, RequestTicket};

/// What a replica asks its driver to do, in order.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send this; it may be lost.
    Send {
        /// The receiver's internal listener.
        to: SocketAddrV4,
        /// The message.
        message: Message,
    },
    /// Append these and sync, in the order of the effects, and report the outcome under the ticket.
    Persist {
        /// Names the write.
        ticket: PersistTicket,
        /// What is to be durable.
        records: Vec<DurableRecord>,
    },
    /// Answer the operator.
    Reply {
        /// Names the request answered.
        ticket: RequestTicket,
        /// The reply.
        reply: Reply,
    },
    /// A newer configuration is known to be committed.
    Committed(ConfigurationDocument),
    /// This node became, or is no longer, head of the newest view it knows and in contact with a majority.
    RoleChanged {
        /// Whether it is now.
        head: bool,
        /// Epoch of that view.
        epoch: u64,
    },
    /// The control nodes known, for agents.
    Members(Vec<SocketAddrV4>),
}
