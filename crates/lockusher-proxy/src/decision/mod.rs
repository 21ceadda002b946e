//! All routing decisions of one proxy: load balancing, admission control, retries, prefix-cache affinity and KV cache
//! transfers.
//!
//! [`RequestRouter`] is the entry point. No I/O and no clock: the time is passed in, and random numbers come from a
//! seed, so that the same seed and calls give the same choices.
//!
//! | concept | module |
//! | --- | --- |
//! | load balancing, the score | `selection`, `scoring`, `searcher` |
//! | admission control | `admission_control` |
//! | retry budget, attempts | `budget`, `plan` |
//! | slow start, outlier detection | `searcher` |
//! | prefix-cache affinity | `prefix_cache`, `service` (`Group::affinity_targets`), `selection` |
//! | KV cache transfers, split of prefill and decode | `kv_transfer`, `split` |
//! | locality | `locality` |
//! | service times, load report | `service_time`, `load` |
//!
//! # Load balancing
//!
//! For each searcher the proxy tracks its own in-flight count Q, an EWMA of Q and an EWMA of latency, all from its own
//! sends and their outcomes. Q is incremented before a send and decremented by every final outcome; every outcome,
//! including a timeout, contributes its elapsed time to the latency. Among the ready searchers of the service that
//! serve the stage, the lowest `(Q + Q EWMA + 1)^3 x latency` wins. The newest sample has a weight of one third. A
//! searcher that hasn't responded yet is given the mean of its peers; if no peer has responded either, all have the
//! same latency, so that only in-flight counts decide. Ties are broken at random.
//!
//! # Admission control
//!
//! While response times exceed three tenths of the client timeouts on average, at most as many requests may wait for
//! their first event as are answered within four tenths of the timeout at the current response rate
//! (`admission_control`). The client timeout of a stream is the longer of two seconds and four target latencies, that
//! of other requests is the remaining time. A late response still has some value, so exceeding the target latency alone
//! is no reason to refuse. Higher priorities may fill more of the limit than lower ones; each priority has half of its
//! share reserved. A refusal carries the time until the requests that wait now will have been answered. Engine memory
//! isn't counted: full engines reject requests, and requests that wait for them are late, so admission control observes
//! both.
//!
//! # Retries
//!
//! A request is sent to at most `attempts` searchers, not counting the first accepted prefill call, and a request that
//! isn't idempotent is sent again only if it provably hasn't run (`plan`). The retry budget of a service holds over all
//! proxies without communication: each proxy enforces `retries <= ratio x own requests in the preceding window + own
//! share of the slack` for every window; after a start it uses only a quarter of its share of the slack (`budget`).
//!
//! # Extensions to the basic algorithm
//!
//! | extension | reason | applies |
//! | --- | --- | --- |
//! | Latency is the ratio of the elapsed time to the expected service time of a request of the same size: a linear fit of measured times over the tokens to prefill or transfer (`service_time`) | latency should reflect a searcher's speed and not the length of prompts | always; for requests without tokens the fit is constant |
//! | The elapsed time of a streamed response ends at its first event, that of a prefill call at its response | the remaining duration of a stream depends on its length | to streams |
//! | Only successful responses lower a latency average. A failure counts as at least the peers' mean, a rejection as at least twice that, and any sample as at most eight times the expected service time | fast errors look like speed | after a send that failed or was rejected |
//! | Outlier detection: the score is divided by the square of the success rate. A searcher below half of the median success rate is ejected, and probed by requests that may be retried, after a time that doubles from 2 to 32 s | a failing searcher looks idle | after failures; never to the last searchers, and never if most fail |
//! | The age of the oldest send without a response is a lower bound of the latency | a searcher that doesn't respond at all produces no outcomes | while a send takes longer than expected |
//! | Averages of an idle searcher decay towards those of its peers (half-life 8 s; 1 s for the in-flight average), and the newest sample has the weight `1 - (2/3)^(1 + seconds)` | a searcher that was slow once gets too few requests to correct its average | to searchers with nothing in flight |
//! | Slow start: a searcher that is new in its stage counts as busy as its peers, with a weight that decreases to 0 over 2 s, or over the remaining cold time if that is longer | its low in-flight count would attract requests of all proxies at once | if other searchers of its stage were known before |
//! | Affinity: the target of a prompt by rendezvous hashing of its shared parts is selected while the wait there, `(Q + Q EWMA + 1) x latency`, is at most `1 + 30 x saved share` times the wait at the best searcher, where the saved share is the fraction of the prefill that a cached prefix saves, or may save for a session. For decode searchers the factor is four. Otherwise the second target is tested in the same way. Decode targets are preferred in the zone of the prompt's prefill target | a repeated prefill of shared parts delays all other requests; KV cache transfers within a zone are faster and cheaper | to prompts with named parts |
//! | The tokens left to prefill at a target follow from what this proxy sent there within twice `repeated_prefill_window_ms`; the first target is assumed to have cached the shared parts | other proxies send them there too | to prompts with named parts |
//! | Whether the target had cached the shared parts is inferred from the elapsed time; such a sample doesn't update the service times | otherwise a first prefill would look like a slow searcher | to the first prefill of a prefix by this proxy |
//! | A crossing between zones adds the expected service time once, a crossing between regions ten times. A KV cache transfer also adds the extra transfer time | crossings have a cost, and KV cache transfers take twice as long between zones and ten times as long between regions | to searchers in other zones |
//! | A prefill succeeds only once its handle is accepted. A rejected KV cache transfer counts against the prefill searcher with the recent acceptance rate of the decode searcher as its weight (`kv_transfer`) | an expired handle shows only at the decode searcher, whose response is the same when it is full | after rejected KV cache transfers |
//! | Prompts aren't prefilled for transfers while less than four tenths of the KV cache transfers succeed, except for probes after 1 s, then 2, 4 and 8 s | a prefill that can't be transferred is wasted and costs a retry | while most KV cache transfers fail |
//! | If a rejected handle is likely gone, the last attempt sends the complete request to a decode searcher; the searcher that rejected the transfer may get the complete request once more | a lost handle should not fail the request | after rejected KV cache transfers |
//! | `Priority` of a prefill call follows the tokens to prefill, one step per doubling of the mean; all other sends carry their route's priority (`request_router`) | a prompt of 70,000 tokens occupies a searcher for over a second, during which clients of short prompts behind it leave; no proxy sees a searcher's queue, but the searcher does | always; it doesn't affect the choice of a searcher |
//! | The prompt is prefilled in place if the prefill of its uncached tokens there, at half the speed and weighted ten times, takes less than the shortest prefill call plus the transfer of the complete prompt. A short prompt is also prefilled in place if prefill searchers would take half of its target latency and a decode searcher responds within a quarter of it (`split`) | the KV cache transfer of a long prompt with few uncached tokens costs more than it saves; but prefills that move to decode searchers to avoid a wait keep these from decoding | once both stages have been measured |

mod admission_control;
mod budget;
mod interface;
mod kv_transfer;
mod load;
mod locality;
mod plan;
mod prefix_cache;
mod request_router;
mod scoring;
mod searcher;
mod selection;
mod service;
mod service_time;
mod split;
mod trace;
mod types;

pub use interface::{Admission, Choice, RequestAttributes, RequestRouterSettings, SendTicket};
pub use plan::RequestPlan;
pub use request_router::RequestRouter;
pub use types::{MICROS_PER_MS, Micros, PromptPart, Purpose, SendOutcome};
