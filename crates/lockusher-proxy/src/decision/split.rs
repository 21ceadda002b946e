//! Whether to split prefill and decode: whether transferring a prompt's KV cache is cheaper than prefilling the prompt at
//! the decode searcher.
//!
//! Called by `RequestRouter::split`, without state. Waits play a part for short prompts only,
//! and only while decode searchers have time. Where waits at prefill searchers are long, the stages of searchers follow the
//! load; long prompts that evade them to decode searchers take several times as much of a searcher there and keep it from
//! making tokens. `tests/decision_locality.rs` has a test for each side.

use super::selection::SelectedSearcher;
use super::service::Service;
use super::types::{Micros, Purpose};

/// A decode searcher prefills at half the pace, as the operators state.
const DECODE_PREFILL_SLOWDOWN: f64 = 2.0;

/// Prefill in place keeps the other requests of the batch waiting: its time counts so many times more.
const INTERFERENCE: f64 = 10.0;

/// A prompt is short if its prefill in place takes at most this share of its target latency.
const SHORT_PREFILL_SHARE: f64 = 0.1;

/// The wait at prefill searchers is long if the best is expected to take this share of the target latency.
const LONG_PREFILL_WAIT_SHARE: f64 = 0.5;

/// Decode searchers have time if the best is expected to answer within this share of the target latency. Without this
/// bound, short prompts clogged them under lasting load (measured: a day's score fell from 0.62 to below 0.2).
const IDLE_DECODE_SHARE: f64 = 0.25;

/// The best searchers of a request whose prompt may be prefilled in either stage.
#[derive(Clone, Copy, Debug)]
pub struct SplitCandidates<'a> {
    /// All tokens of the prompt.
    pub tokens: u32,
    /// The time within which the answer should begin.
    pub target: Micros,
    /// The best prefill searcher.
    pub prefill: &'a SelectedSearcher,
    /// The best decode searcher to read the prompt itself.
    pub whole: &'a SelectedSearcher,
}

/// Whether a prefill searcher reads the prompt, and a decode searcher fetches it. In place is cheaper where the prefill of
/// what isn't cached there takes less than one more call and transferring all of the prompt. Before both were measured
/// they are chosen, as nothing is known against them.
pub fn is_split_cheaper(service: &Service, choice: &SplitCandidates) -> bool {
    let (prefills, transfers) = (
        service.service_time(Purpose::Prefill),
        service.service_time(Purpose::Decode),
    );
    if !prefills.is_known() || !transfers.is_known() {
        return true;
    }
    let transfer_time = prefills.minimum() + transfers.slope() * f64::from(choice.tokens);
    let prefill_in_place = DECODE_PREFILL_SLOWDOWN
        * prefills.min_per_token()
        * f64::from(choice.whole.tokens_upper_bound);
    INTERFERENCE * prefill_in_place >= transfer_time && !evades_wait(choice, prefill_in_place)
}

/// Whether a short prompt goes to an idle decode searcher, as prefill searchers would be late with it.
fn evades_wait(choice: &SplitCandidates, prefill_in_place: f64) -> bool {
    let target = choice.target as f64;
    let is_short = prefill_in_place <= SHORT_PREFILL_SHARE * target;
    let prefill_is_late = choice.prefill.expected >= LONG_PREFILL_WAIT_SHARE * target;
    let decode_is_idle = choice.whole.expected <= IDLE_DECODE_SHARE * target;
    is_short && prefill_is_late && decode_is_idle
}
