//! Connections to searchers: opened on demand, pooled by incarnation, with one request at a time.

pub(crate) mod connection;
pub(crate) mod exchange;
pub(crate) mod pool;
