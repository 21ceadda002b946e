//! The log lines of a subscription: which publisher serves it, why one was left, and while none is reached, how each
//! attempt ended.
//!
//! Owned by the [`SharedSubscriber`](super::SharedSubscriber). Attempts that fail in a row are collected into one line in
//! each interval, so that a fleet whose publishers are gone says why without flooding its logs.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddrV4;

use lockusher_transport::recurrence::{Recurrence, RecurrenceLog};

use crate::subscribe::error::SubscribeError;

/// No publisher was reached for this long, in milliseconds, before it is logged.
const UNREACHED_LOG_DELAY_MS: u64 = 500;
/// Time between two lines while no publisher is reached, in milliseconds.
const UNREACHED_LOG_INTERVAL_MS: u64 = 2_000;

/// What is logged of one subscription.
#[derive(Debug)]
pub struct ConnectionLog {
    unreached: RecurrenceLog,
    /// How the last attempt at each address ended, since the last line.
    ends: BTreeMap<SocketAddrV4, String>,
    /// The publisher that serves now.
    serving: Option<SocketAddrV4>,
}

impl Default for ConnectionLog {
    fn default() -> Self {
        ConnectionLog {
            unreached: RecurrenceLog::new(UNREACHED_LOG_DELAY_MS, UNREACHED_LOG_INTERVAL_MS),
            ends: BTreeMap::new(),
            serving: None,
        }
    }
}

impl ConnectionLog {
    /// A publisher has answered.
    pub fn established(&mut self, now_ms: u64, publisher: SocketAddrV4) {
        self.serving = Some(publisher);
        self.ends.clear();
        match self.unreached.end(now_ms) {
            Some(Recurrence { for_ms, count }) => {
                log::info!("publisher {publisher} answers, after {count} attempts in {for_ms} ms");
            }
            None => log::info!("publisher {publisher} answers"),
        }
    }

    /// An attempt failed, or its connection ended; `version` is that of the configuration applied, 0 for none.
    pub fn ended(
        &mut self,
        now_ms: u64,
        publisher: SocketAddrV4,
        error: &SubscribeError,
        version: u64,
    ) {
        if self.serving.take() == Some(publisher) {
            log::warn!("publisher {publisher} is left: {error}");
            return;
        }
        log::debug!("publisher {publisher}: {error}");
        self.ends.insert(publisher, error.to_string());
        if let Some(recurrence) = self.unreached.observe(now_ms) {
            log::warn!("{}", self.describe(recurrence, version));
            self.ends.clear();
        }
    }

    /// There is no address to try.
    pub fn no_address(&mut self, now_ms: u64) {
        if let Some(Recurrence { for_ms, .. }) = self.unreached.observe(now_ms) {
            log::warn!("no publisher for {for_ms} ms: no address is known");
        }
    }

    fn describe(&self, recurrence: Recurrence, version: u64) -> String {
        let Recurrence { for_ms, count } = recurrence;
        let mut text = format!("no publisher for {for_ms} ms, {count} attempts");
        match version {
            0 => text.push_str(", no configuration"),
            version => {
                // Writing to a string doesn't fail.
                let _ = write!(text, ", configuration {version}");
            }
        }
        for (publisher, end) in &self.ends {
            let _ = write!(text, "; {publisher}: {end}");
        }
        text
    }
}
