//! Sockets. They move bytes and make no decisions; what they observe is sent to the router through its queue.

pub mod client_stream;
pub mod clients;
pub mod discovery;
pub mod frame_transport;
pub mod protocol_selection;
