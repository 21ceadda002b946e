//! What a replica asks its driver to do.

use std::net::SocketAddrV4;

use crate::document::ConfigurationDocument;
use crate::durable_record::{DurableRecord, PersistTicket};
use crate::message::Message;
use crate::request::{Reply, RequestTicket};

/// What a replica asks its shell to do, in order.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send this; it may be lost.
    Send { to: SocketAddrV4, message: Message },
    /// Append these and sync, in order, and answer by the ticket afterwards.
    Persist { ticket: PersistTicket, records: Vec<DurableRecord> },
    /// Answer the operator.
    Reply { ticket: RequestTicket, reply: Reply },
    /// A newer configuration is known to be committed.
    Committed(ConfigurationDocument),
    /// This node became, or is no longer, head of the newest view it knows while it hears a majority.
    RoleChanged { head: bool, epoch: u64 },
    /// The control nodes known, for agents.
    Members(Vec<SocketAddrV4>),
}
