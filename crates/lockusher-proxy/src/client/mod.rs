//! Client connections: accepts them within the descriptor limit, serves their requests and closes idle ones.

pub(crate) mod connection;
pub(crate) mod listener;
