//! Logs why a control node isn't serving: it has no view, isn't a voter, or has no contact with a majority of the
//! voters.
//!
//! Owned by the [`ReplicaDriver`](super::replica_driver::ReplicaDriver), which passes it the replica's contact with the
//! voters at each tick. No I/O besides the log.

use std::fmt;

use lockusher_transport::recurrence::{Recurrence, RecurrenceLog};

use crate::replica::VoterContact;
use crate::time::Millis;

/// A node that isn't serving logs the reason after this time, in milliseconds.
const LOG_DELAY_MS: Millis = 500;
/// Time between two log lines while the node isn't serving, in milliseconds.
const LOG_INTERVAL_MS: Millis = 2_000;

/// The reason why a control node can't serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NotServing {
    /// It has not learned of a view yet, and contacts its seeds to find the other nodes.
    NoView,
    /// It isn't a voter of the newest view that it knows.
    NotAVoter {
        /// Epoch of that view.
        epoch: u64,
    },
    /// It has no contact with a majority of the voters.
    NoMajority(VoterContact),
}

impl NotServing {
    /// The reason why a node with this contact can't serve; none if it can.
    pub fn from_contact(contact: VoterContact) -> Option<NotServing> {
        let reached = contact.voters - contact.missing.len();
        if contact.epoch == 0 {
            Some(NotServing::NoView)
        } else if !contact.is_voter {
            Some(NotServing::NotAVoter {
                epoch: contact.epoch,
            })
        } else if reached < contact.majority {
            Some(NotServing::NoMajority(contact))
        } else {
            None
        }
    }
}

impl fmt::Display for NotServing {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NotServing::NoView => write!(formatter, "no view is known"),
            NotServing::NotAVoter { epoch } => {
                write!(formatter, "not a voter of view {epoch}")
            }
            NotServing::NoMajority(contact) => {
                let reached = contact.voters - contact.missing.len();
                write!(
                    formatter,
                    "no majority in view {}: {reached} of {} voters reached, {} needed; missing",
                    contact.epoch, contact.voters, contact.majority
                )?;
                for address in &contact.missing {
                    write!(formatter, " {address}")?;
                }
                Ok(())
            }
        }
    }
}

/// Logs the loss and the return of contact with a majority of the voters, at a limited rate.
#[derive(Debug)]
pub struct ServiceLog {
    not_serving: RecurrenceLog,
    has_served: bool,
}

impl Default for ServiceLog {
    fn default() -> Self {
        ServiceLog {
            not_serving: RecurrenceLog::new(LOG_DELAY_MS, LOG_INTERVAL_MS),
            has_served: false,
        }
    }
}

impl ServiceLog {
    /// Checks the contact with the voters, once for each tick.
    pub fn observe(&mut self, now: Millis, contact: VoterContact) {
        let (epoch, voters) = (contact.epoch, contact.voters);
        if let Some(reason) = NotServing::from_contact(contact) {
            if let Some(Recurrence { for_ms, .. }) = self.not_serving.observe(now) {
                log::warn!("control: not serving for {for_ms} ms: {reason}");
            }
            return;
        }
        let end = self.not_serving.end(now);
        if let Some(Recurrence { for_ms, .. }) = end {
            log::info!(
                "control: reaches a majority of {voters} voters in view {epoch}, after {for_ms} ms"
            );
        } else if !self.has_served {
            log::info!("control: reaches a majority of {voters} voters in view {epoch}");
        }
        self.has_served = true;
    }
}
