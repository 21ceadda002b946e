//! Whether transfers of KV cache succeed: what own outcomes say of a service, and of the two ends of one transfer.
//!
//! A circuit breaker with probes for the service, and the attribution of a failure to one of the ends. A decode searcher
//! answers alike whether the handle is gone or it is full itself. So a rejection is blamed on either end by as much as the
//! other end has been good for lately: a searcher that takes nothing says little against a handle, and a handle of a
//! searcher whose handles lapse says little against the one that rejects it.
//!
//! Owned by `Service`; asked before a prompt is prefilled for a transfer. Invariant: while
//! suspended, a probe is allowed only once the back-off since the last one is over. Without it
//! `decision_kv_transfer::prompts_are_read_in_place_while_no_handle_is_taken` fails.

use super::types::Micros;

/// Weight of the newest transfer in a service's success rate.
const NEWEST_WEIGHT: f64 = 1.0 / 8.0;

/// Transfers are suspended when less than this share of them succeeds.
const MIN_SUCCESS_RATE: f64 = 0.4;

/// The success rate with which a service starts again after a probe that succeeded.
const SUCCESS_RATE_AFTER_PROBE: f64 = 0.7;

/// A probe that fails makes the next back-off longer only if this much blame falls on the handle.
const MIN_BLAME_FOR_BACK_OFF: f64 = 0.5;

/// The first back-off between probes; it doubles with each probe that fails.
const INITIAL_BACK_OFF: Micros = 1_000_000;

/// The longest back-off between probes.
const MAX_BACK_OFF: Micros = 8_000_000;

/// The transfers of one service.
#[derive(Clone, Copy, Debug)]
pub struct KvTransfers {
    /// EWMA of the share that succeeded.
    success_rate: f64,
    suspension: Option<Suspension>,
}

/// Most transfers fail, and only probes are made.
#[derive(Clone, Copy, Debug)]
struct Suspension {
    /// Outcomes of transfers that were sent before say nothing new.
    since: Micros,
    /// When a prefill for a transfer was last sent.
    last_probe: Micros,
    back_off: Micros,
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
            .is_none_or(|suspension| now >= suspension.last_probe + suspension.back_off)
    }

    /// Records that a prompt is prefilled for a transfer.
    pub fn started(&mut self, now: Micros) {
        if let Some(suspension) = &mut self.suspension {
            suspension.last_probe = now;
        }
    }

    /// Records a transfer that succeeded.
    pub fn succeeded(&mut self) {
        if self.suspension.take().is_some() {
            self.success_rate = SUCCESS_RATE_AFTER_PROBE;
        }
        self.success_rate += (1.0 - self.success_rate) * NEWEST_WEIGHT;
    }

    /// Records a transfer, sent at `sent`, that was rejected. `blame` is the likelihood from 0 to 1 that the
    /// searcher that rejected it wasn't merely full.
    pub fn failed(&mut self, now: Micros, sent: Micros, blame: f64) {
        self.success_rate -= self.success_rate * NEWEST_WEIGHT * blame;
        match &mut self.suspension {
            Some(suspension) if sent >= suspension.since && blame >= MIN_BLAME_FOR_BACK_OFF => {
                suspension.since = now;
                suspension.back_off = (2 * suspension.back_off).min(MAX_BACK_OFF);
            }
            Some(_) => {}
            None if self.success_rate < MIN_SUCCESS_RATE => {
                self.suspension = Some(Suspension {
                    since: now,
                    last_probe: now,
                    back_off: INITIAL_BACK_OFF,
                });
            }
            None => {}
        }
    }
}
