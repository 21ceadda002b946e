//! Log lines of a subscription: which publisher it is connected to, why a connection ended and, while no publisher is
//! reached, how each attempt failed.
//!
//! Owned by the [`SharedSubscriber`](super::SharedSubscriber). Consecutive failed attempts are collected into one line
//! per interval, so that a fleet without publishers reports the cause without flooding its logs.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddrV4;

use lockusher_transport::recurrence::{Recurrence, RecurrenceLog};

use crate::subscribe::error::SubscribeError;

/// Time without a reachable publisher before it is logged, in milliseconds.
const UNREACHED_LOG_DELAY_MS: u64 = 500;
/// Minimum time between two lines while no publisher is reached, in milliseconds.
const UNREACHED_LOG_INTERVAL_MS: u64 = 2_000;

/// State of the log lines of one subscription.
#[derive(Debug)]
pub struct ConnectionLog {
    unreached: RecurrenceLog,
    /// Error of the last attempt at each address, since the last line.
    last_errors: BTreeMap<SocketAddrV4, String>,
    /// The publisher of the established connection.
    connected: Option<SocketAddrV4>,
}

impl Default for ConnectionLog {
    fn default() -> Self {
        ConnectionLog {
            unreached: RecurrenceLog::new(UNREACHED_LOG_DELAY_MS, UNREACHED_LOG_INTERVAL_MS),
            last_errors: BTreeMap::new(),
            connected: None,
        }
    }
}

impl ConnectionLog {
    /// Logs that a publisher has answered.
    pub fn log_established(&mut self, now_ms: u64, publisher: SocketAddrV4) {
        self.connected = Some(publisher);
        self.last_errors.clear();
        match self.unreached.end(now_ms) {
            Some(Recurrence { for_ms, count }) => {
                log::info!(
                    "connected to publisher {publisher} after {count} attempts in {for_ms} ms"
                );
            }
            None => log::info!("connected to publisher {publisher}"),
        }
    }

    /// Logs that an attempt failed or its connection ended; `version` is that of the applied configuration, 0 for none.
    pub fn log_ended(
        &mut self,
        now_ms: u64,
        publisher: SocketAddrV4,
        error: &SubscribeError,
        version: u64,
    ) {
        if self.connected.take() == Some(publisher) {
            log::warn!("disconnected from publisher {publisher}: {error}");
            return;
        }
        log::debug!("attempt to connect to publisher {publisher} failed: {error}");
        self.last_errors.insert(publisher, error.to_string());
        if let Some(recurrence) = self.unreached.observe(now_ms) {
            log::warn!("{}", self.unreached_line(recurrence, version));
            self.last_errors.clear();
        }
    }

    /// Logs that no address is known, at most once per interval.
    pub fn log_no_address(&mut self, now_ms: u64) {
        if let Some(Recurrence { for_ms, .. }) = self.unreached.observe(now_ms) {
            log::warn!("no publisher for {for_ms} ms: no address is known");
        }
    }

    fn unreached_line(&self, recurrence: Recurrence, version: u64) -> String {
        let Recurrence { for_ms, count } = recurrence;
        let mut text = format!("no publisher for {for_ms} ms, {count} attempts");
        match version {
            0 => text.push_str(", no configuration"),
            version => {
                // Writing to a string doesn't fail.
                let _ = write!(text, ", configuration {version}");
            }
        }
        for (publisher, error) in &self.last_errors {
            let _ = write!(text, "; {publisher}: {error}");
        }
        text
    }
}
