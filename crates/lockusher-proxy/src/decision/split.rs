//! Decides whether to split prefill and decode: whether transferring a prompt's KV cache is cheaper than prefilling the
//! prompt at the decode searcher.
//!
//! Called by `RequestRouter::should_split`; stateless. Waits matter for short prompts only, and only while decode
//! searchers are idle. Where waits at prefill searchers are long, the control plane reassigns searchers between the
//! stages. A long prompt that is prefilled at a decode searcher to avoid the wait takes several times as much of its
//! capacity and keeps it from decoding. `tests/decision_locality.rs` has a test for each case.

use super::selection::SelectedSearcher;
use super::service::Service;
use super::types::{Micros, Purpose};

/// A decode searcher prefills at half the speed, as specified by the operators.
const DECODE_PREFILL_SLOWDOWN: f64 = 2.0;

/// Prefill in place delays the other requests of the batch: its time is weighted by this factor.
const INTERFERENCE_FACTOR: f64 = 10.0;

/// A prompt is short if its prefill in place takes at most this share of its target latency.
const SHORT_PREFILL_SHARE: f64 = 0.1;

/// The wait at prefill searchers is long if the best one is expected to take at least this share of the target latency.
const LONG_PREFILL_WAIT_SHARE: f64 = 0.5;

/// Decode searchers are idle if the best one is expected to respond within this share of the target latency. Without
/// this bound, short prompts overload them under sustained load: a benchmark score fell from 0.62 to below 0.2.
const IDLE_DECODE_SHARE: f64 = 0.25;

/// The best searchers of a request whose prompt may be prefilled in either stage.
#[derive(Clone, Copy, Debug)]
pub struct SplitCandidates<'a> {
    /// All tokens of the prompt.
    pub prompt_tokens: u32,
    /// The time within which the first event should arrive.
    pub target_latency: Micros,
    /// The best prefill searcher.
    pub prefill: &'a SelectedSearcher,
    /// The best decode searcher for a prefill in place.
    pub in_place: &'a SelectedSearcher,
}

/// Whether to prefill at a prefill searcher and transfer the KV cache to a decode searcher. In place is cheaper if the
/// prefill of the uncached tokens takes less than one more call plus the transfer of the complete prompt. Until both
/// stages have been measured the request is split, which provides the measurements.
pub fn is_split_cheaper(service: &Service, candidates: &SplitCandidates) -> bool {
    let (prefill_model, transfer_model) = (
        service.service_time(Purpose::Prefill),
        service.service_time(Purpose::Decode),
    );
    if !prefill_model.is_reliable() || !transfer_model.is_reliable() {
        return true;
    }
    let split_time =
        prefill_model.min_elapsed() + transfer_model.slope() * f64::from(candidates.prompt_tokens);
    let in_place_time = DECODE_PREFILL_SLOWDOWN
        * prefill_model.min_per_token()
        * f64::from(candidates.in_place.tokens_upper_bound);
    INTERFERENCE_FACTOR * in_place_time >= split_time
        && !avoids_prefill_wait(candidates, in_place_time)
}

/// Whether a short prompt goes to an idle decode searcher because prefill searchers would be late.
fn avoids_prefill_wait(candidates: &SplitCandidates, in_place_time: f64) -> bool {
    let target_latency = candidates.target_latency as f64;
    let is_short = in_place_time <= SHORT_PREFILL_SHARE * target_latency;
    let prefill_is_late =
        candidates.prefill.expected_micros >= LONG_PREFILL_WAIT_SHARE * target_latency;
    let decode_is_idle = candidates.in_place.expected_micros <= IDLE_DECODE_SHARE * target_latency;
    is_short && prefill_is_late && decode_is_idle
}
