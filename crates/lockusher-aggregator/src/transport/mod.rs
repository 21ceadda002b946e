//! Sockets. They move bytes and decide nothing; what they learn goes to the router through its queue.

pub mod client_stream;
pub mod clients;
pub mod discovery;
pub mod frame_transport;
pub mod protocol_selection;
