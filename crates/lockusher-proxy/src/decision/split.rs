//! Whether handing a prompt's KV cache over is cheaper than reading the prompt where the tokens are made.
//!
//! Waits play a part for short prompts only, and only while decode searchers have time. Where waits at prefill searchers
//! are long, the stages of searchers follow the load; long prompts that evade them to decode searchers take several times
//! as much of a searcher there and keep it from making tokens.

use super::interface::{Micros, Purpose};
use super::selection::Pick;
use super::service::Service;

/// The pages say that a decode searcher reads at half the pace.
const SLOWER_IN_PLACE: f64 = 2.0;

/// Reading in place keeps the other requests of the batch waiting: its reading time counts so many times more.
const INTERFERENCE: f64 = 10.0;

/// A reading in place holds those up that run there for so many times as long as one at a prefill searcher would: at half
/// the pace, and in pieces between their tokens.
const HELD_UP_IN_PLACE: f64 = 3.0;

/// A prompt is short if reading it in place takes at most this share of its target latency.
const SHORT_READING: f64 = 0.1;

/// The wait at prefill searchers is long if the best is expected to take this share of the target latency.
const LONG_WAIT: f64 = 0.5;

/// Decode searchers have time if the best is expected to answer within this share of the target latency. Without this
/// bound, short prompts clogged them under lasting load (measured: a day's score fell from 0.62 to below 0.2).
const IDLE_DECODE: f64 = 0.25;

/// The same two bounds where reading in place holds up fewer requests.
const QUICK_READING: f64 = 0.25;
const QUICK_ANSWER: f64 = 0.5;

/// What is known of a request whose prompt may be read in either place.
#[derive(Clone, Copy, Debug)]
pub struct ReadingChoice<'a> {
    pub now: Micros,
    /// All tokens of the prompt.
    pub tokens: u32,
    /// The time within which the answer should begin.
    pub target: Micros,
    /// The best prefill searcher.
    pub prefill: &'a Pick,
    /// The best decode searcher to read the prompt itself.
    pub whole: &'a Pick,
}

/// Whether a prefill searcher reads the prompt, and a decode searcher fetches it. In place is cheaper where reading what
/// isn't held there takes less than one more call and moving the whole prompt. Before reads and hand-overs were measured
/// they are chosen, as nothing is known against them.
pub fn is_split_cheaper(service: &Service, choice: &ReadingChoice) -> bool {
    let (reads, moves) = (service.work(Purpose::Prefill), service.work(Purpose::Decode));
    if !reads.is_known() || !moves.is_known() {
        return true;
    }
    let handing_over = reads.least() + moves.slope() * f64::from(choice.tokens);
    let reading = reading_in_place(service, choice.whole);
    INTERFERENCE * reading >= handing_over && !evades_wait(service, choice, reading)
}

/// How long a decode searcher reads what it may not hold, in microseconds.
fn reading_in_place(service: &Service, whole: &Pick) -> f64 {
    SLOWER_IN_PLACE * service.work(Purpose::Prefill).quickest() * f64::from(whole.at_most)
}

/// Whether a short prompt goes to an idle decode searcher, as prefill searchers would be late with it, or later and that
/// holds up fewer requests.
fn evades_wait(service: &Service, choice: &ReadingChoice, reading: f64) -> bool {
    let target = choice.target as f64;
    let (prefill, whole) = (choice.prefill.expected, choice.whole.expected);
    let evades_lateness =
        reading <= SHORT_READING * target && prefill >= LONG_WAIT * target && whole <= IDLE_DECODE * target;
    let evades_queue = reading <= QUICK_READING * target
        && prefill >= whole
        && whole <= QUICK_ANSWER * target
        && holds_up_fewer(service, choice.now);
    evades_lateness || evades_queue
}

/// Whether a reading in place holds up fewer requests than one at a prefill searcher: it takes longer, and all that are at
/// the searcher wait meanwhile. Never under overload: there it counts that a reading in place takes twice the work.
fn holds_up_fewer(service: &Service, now: Micros) -> bool {
    if service.gate.is_late() {
        return false;
    }
    let (reading, running) = service.sends_out(now);
    HELD_UP_IN_PLACE * running <= reading
}

/// Reading elsewhere may take so many times as long as expected.
const RESCUE_MARGIN: f64 = 2.0;

/// A prefill call has this share of the target latency at least.
const LEAST_PATIENCE: f64 = 0.25;

/// How long a prefill call may take, from now, so that a decode searcher can still read the prompt within the target
/// latency. Nothing for a long prompt, and where decode searchers are busy: the wait would only move there.
pub fn patience_for_prefill(
    service: &Service,
    now: Micros,
    target: Micros,
    waited: Micros,
    whole: &Pick,
) -> Option<Micros> {
    let target = target as f64;
    let is_short = reading_in_place(service, whole) <= QUICK_READING * target;
    if !is_short || whole.expected > QUICK_ANSWER * target || !holds_up_fewer(service, now) {
        return None;
    }
    let latest = target - RESCUE_MARGIN * whole.expected - waited as f64;
    Some(latest.max(LEAST_PATIENCE * target) as Micros)
}
