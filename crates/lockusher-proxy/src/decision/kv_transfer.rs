//! Tracks whether KV cache transfers succeed, per service and per end of a transfer, from this proxy's own outcomes.
//!
//! A circuit breaker with probes for the service, and the attribution of a failure to one of the two ends. A decode
//! searcher responds in the same way when the handle is gone and when it is full itself. A rejection is therefore
//! attributed to either end in proportion to the recent acceptance rate of the other: a rejection by a searcher that
//! accepts nothing says little about the handle, and the rejection of a handle from a searcher whose handles expire
//! says little about the decode searcher.
//!
//! Owned by `Service`; consulted before a prompt is prefilled for a transfer. Invariant: while transfers are suspended,
//! a probe is allowed only once the backoff since the last one has elapsed. Without it
//! `decision_kv_transfer::prompts_are_prefilled_in_place_while_every_handle_is_rejected` fails.

use super::types::Micros;

/// Weight of the newest transfer in a service's success rate.
const NEWEST_WEIGHT: f64 = 1.0 / 8.0;

/// Transfers are suspended when the success rate falls below this value.
const MIN_SUCCESS_RATE: f64 = 0.4;

/// The success rate to which a service is reset after a successful probe.
const SUCCESS_RATE_AFTER_PROBE: f64 = 0.7;

/// A failed probe extends the backoff only if its failure is attributed to the handle with at least this weight.
const MIN_WEIGHT_FOR_BACKOFF: f64 = 0.5;

/// The first backoff between probes; it doubles with each failed probe.
const INITIAL_BACKOFF: Micros = 1_000_000;

/// The longest backoff between probes.
const MAX_BACKOFF: Micros = 8_000_000;

/// The KV transfers of one service.
#[derive(Clone, Copy, Debug)]
pub struct KvTransfers {
    /// EWMA of the share of transfers that succeeded.
    success_rate: f64,
    suspension: Option<Suspension>,
}

/// State while most transfers fail and only probes are sent.
#[derive(Clone, Copy, Debug)]
struct Suspension {
    /// Outcomes of transfers that were sent before this time don't extend the backoff.
    since: Micros,
    /// When the last prefill for a transfer was sent.
    last_probe: Micros,
    backoff: Micros,
}

impl Default for KvTransfers {
    fn default() -> Self {
        KvTransfers {
            success_rate: 1.0,
            suspension: None,
        }
    }
}

impl KvTransfers {
    /// Whether a prompt may be prefilled for a transfer now.
    pub fn are_allowed(&self, now: Micros) -> bool {
        self.suspension
            .is_none_or(|suspension| now >= suspension.last_probe + suspension.backoff)
    }

    /// Records that a prompt is prefilled for a transfer.
    pub fn record_prefill(&mut self, now: Micros) {
        if let Some(suspension) = &mut self.suspension {
            suspension.last_probe = now;
        }
    }

    /// Records a successful transfer.
    pub fn record_success(&mut self) {
        if self.suspension.take().is_some() {
            self.success_rate = SUCCESS_RATE_AFTER_PROBE;
        }
        self.success_rate += (1.0 - self.success_rate) * NEWEST_WEIGHT;
    }

    /// Records a rejected transfer that was sent at `sent`. `handle_fault_weight`, from 0 to 1, is the likelihood that
    /// the handle caused the rejection and not a full decode searcher.
    pub fn record_rejection(&mut self, now: Micros, sent_at: Micros, handle_fault_weight: f64) {
        self.success_rate -= self.success_rate * NEWEST_WEIGHT * handle_fault_weight;
        match &mut self.suspension {
            Some(suspension)
                if sent_at >= suspension.since && handle_fault_weight >= MIN_WEIGHT_FOR_BACKOFF =>
            {
                suspension.since = now;
                suspension.backoff = (2 * suspension.backoff).min(MAX_BACKOFF);
            }
            Some(_) => {}
            None if self.success_rate < MIN_SUCCESS_RATE => {
                self.suspension = Some(Suspension {
                    since: now,
                    last_probe: now,
                    backoff: INITIAL_BACKOFF,
                });
            }
            None => {}
        }
    }
}
