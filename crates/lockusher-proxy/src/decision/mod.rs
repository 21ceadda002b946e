//! All decisions of one proxy: load balancing, admission control, retries, prefix-cache affinity and KV transfers.
//!
//! [`RequestRouter`] is the entry. No I/O and no clock: the time is passed in, and random numbers come from a seed, so that
//! the same seed and calls give the same choices.
//!
//! | concept | module |
//! | --- | --- |
//! | load balancing, the score | `selection`, `scoring`, `searcher` |
//! | admission control | `admission_control` |
//! | retry budget, attempts | `budget`, `plan` |
//! | slow start, outlier detection | `searcher` |
//! | prefix-cache affinity | `prefix_cache`, `service` (`Group::affinity_targets`), `selection` |
//! | KV transfer, split of prefill and decode | `kv_transfer`, `split` |
//! | locality | `locality` |
//! | service times, load report | `service_time`, `load` |
//!
//! # The ordinary path
//!
//! Per searcher the proxy keeps its own in-flight count Q, an EWMA of Q and an EWMA of latency, fed by its own
//! sends and outcomes alone. Q rises before a send and falls with every final outcome; every outcome, a time-out
//! included, feeds elapsed time. The lowest `(Q + Q EWMA + 1)^3 x latency` among the ready searchers of the
//! service that serve the stage wins. The newest sample weighs a third. One that hasn't responded takes its peers'
//! mean; while no peer has responded either, all take what is usual, so that own sends alone decide. Equal
//! scores are decided at random.
//!
//! # Admission
//!
//! While answers take more than three tenths of the time that clients give, no more requests may wait for their
//! first event than are answered within four tenths of it at the present pace (`admission_control`). Clients of streams give
//! the longer of two seconds and four target latencies, others the time that is left. A late answer still earns
//! something: an answer that is merely past its target is no reason to refuse. The more urgent ranks may fill more
//! of this limit than the less urgent; each has half of its share reserved. What is refused is told when those that
//! wait now will have been answered. Engine memory isn't counted: full engines reject, and what waits for them
//! is late, so admission control sees both.
//!
//! # Retries
//!
//! A request is sent to at most `attempts` searchers, the first prefill call that is taken up apart, and what
//! may run once only is sent again only after proof that it hasn't run (`plan`). The retry budget of a service
//! holds over all proxies without communication: each keeps `retries <= ratio x own requests in the window before + own
//! share of the slack` for every window; the shares leave a quarter for starts (`budget`).
//!
//! # What departs from the talk
//!
//! | departure | why | acts when |
//! | --- | --- | --- |
//! | Elapsed time counts in multiples of what a request of its size usually takes: a line through the measured times over the tokens to read or move (`service_time`) | latency should tell of speed, not of prompts | always; for plain requests the line is flat |
//! | A streamed answer's elapsed time ends at its first event, a prefill call's at its answer | the rest of a stream depends on its length | streams |
//! | Only good answers lower an average; a failure feeds at least the peers' mean, a rejection twice that; eight times the usual at most | fast errors look like speed | after a send that didn't end well |
//! | Outlier detection: the score is divided by the square of the success rate; one below half of the median is ejected and probed after a time that doubles from 2 to 32 s, by requests that may be repeated | an erring searcher looks empty | after failures; never the last ones, never if most fail |
//! | The age of the oldest send without a response is a lower bound of the latency | one that swallows requests ends none | while a send is out longer than expected |
//! | Averages of an idle searcher drift to its peers' (half in 8 s; its queue's in 1 s), and the newest sample weighs `1 - (2/3)^(1 + seconds)` | one slowed once gets too few requests to correct itself | with nothing out there |
//! | Slow start: a searcher new in its stage counts as busy as its peers, fading over 2 s or its cold time | its empty count draws a rush from all proxies | when others of its stage were known before |
//! | Affinity: a prompt's target by rendezvous hashing of its shared parts is taken while the wait there, `(Q + Q EWMA + 1) x latency`, is at most `1 + 30 x` the share of the reading that it spares, or may spare a session, times that at the best (four times for decode), else the second target by the same test. A decode searcher's target lies in the zone of the prompt's prefill target | a second reading of shared parts makes all others wait; KV transfers within a zone are quicker and cost less | prompts with named parts |
//! | What is left to prefill at a target is worked out by what this proxy sent there within twice `again_ms`; a first target is taken to have cached the shared parts | other proxies send them there too | prompts with named parts |
//! | Whether the target had cached them is told from the time it took; such a sample doesn't feed the usual times | else a first reading looks like a slow searcher | first reading of a chain by this proxy |
//! | A crossing between zones adds as much as the usual latency, between regions ten times that; for a KV transfer the time that it takes longer besides | crossings are priced, and KV transfers between zones take twice as long, between regions ten times | searchers elsewhere |
//! | A searcher that reads for others is good once its handles are taken: a rejected KV transfer counts against it by as much as the decode searcher has taken lately (`kv_transfer`) | a handle that lapses shows only at the decode searcher, whose answer is the same when it is full | after rejected KV transfers |
//! | No prompt is read for others while less than four tenths of the KV transfers succeed, except for a probe after 1 s, then 2, 4 and 8 | what can't be transferred is read for nothing and costs a repeat | most KV transfers fail |
//! | If a rejected handle seems to be gone, the last send that the attempts allow goes whole to a decode searcher; the one that rejected a KV transfer may be asked once more for the whole | a handle that is gone may not cost the request | after rejected KV transfers |
//! | `Priority` of a prefill call follows the tokens to read, a step for each doubling of the mean; all other sends carry their route's rank (`request_router`) | a prompt of 70,000 tokens is read for over a second in front of short ones, whose clients leave meanwhile; no proxy sees a searcher's queue, the searcher does | always; it chooses no searcher |
//! | The prompt is read in place if reading there what isn't held, counted ten times at half the pace, takes less than a prefill call's least time and moving the whole prompt, or if it is short, prefill searchers would take half of the target and a decode searcher answers within a quarter of it (`split`) | a KV transfer of a long prompt of which little is to be read costs more than it saves; evading waits to decode searchers keeps them from making tokens | both stages were measured |

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

pub use interface::{Admission, Choice, RequestFacts, RequestRouterSettings, SendTicket};
pub use plan::RequestPlan;
pub use request_router::RequestRouter;
pub use types::{MICROS_PER_MS, Micros, PromptPart, Purpose, SendOutcome};
