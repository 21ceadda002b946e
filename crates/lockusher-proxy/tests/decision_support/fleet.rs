//! A discrete-event simulation of proxies and the modelled searchers, in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use lockusher_proxy::decision::*;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::engine::{CallResult, Engine, Speeds};
use super::{MS, SECOND};

/// How a proxy chooses searchers.
pub trait Chooser {
    /// The searcher for a send, by its number in its stage; `None` to prefill in place (for prefill only) or not to
    /// send at all.
    fn choose(
        &mut self,
        now: Micros,
        request: usize,
        attributes: &RequestAttributes,
        purpose: Purpose,
    ) -> Option<usize>;
    /// Admits a request or returns the retry delay in milliseconds.
    fn admit(
        &mut self,
        _now: Micros,
        _request: usize,
        _facts: &RequestAttributes,
    ) -> Result<(), u64> {
        Ok(())
    }
    /// Whether a prefill searcher prefills this request's prompt.
    fn should_split(&mut self, now: Micros, request: usize, attributes: &RequestAttributes)
    -> bool;
    /// Records the outcome of a send.
    fn record_outcome(
        &mut self,
        now: Micros,
        request: usize,
        purpose: Purpose,
        searcher: usize,
        outcome: SendOutcome,
    );
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    pub requests_per_s: f64,
    /// For each shared part: the number of variants, and the tokens of each.
    pub shared: Vec<(u64, u32)>,
    pub own_tokens: u32,
    pub output_tokens: u32,
    pub target_ms: u64,
    pub deadline_ms: u64,
    pub priority: u8,
    /// The value of a response in time, and of a late one.
    pub value: f64,
    pub late_value: f64,
}

/// One simulated scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub classes: Vec<RequestClass>,
    pub proxies: usize,
    pub prefill: usize,
    pub decode: usize,
    /// Number of zones over which searchers and proxies are distributed in turn.
    pub zones: usize,
    pub seconds: u64,
    pub speeds: Speeds,
    pub repeated_prefill_window: Micros,
    pub seed: u64,
    /// Slowness factors of individual prefill searchers.
    pub slow_prefill: Vec<(usize, f64)>,
    /// Slowness factors of individual decode searchers.
    pub slow_decode: Vec<(usize, f64)>,
}

/// The results of a scenario.
#[derive(Clone, Debug, Default)]
pub struct Results {
    pub requests: usize,
    /// Requests whose first event arrived within the target latency.
    pub in_time: usize,
    pub first_event_ms: Vec<f64>,
    /// Tokens prefilled.
    pub prefilled: u64,
    /// Tokens of shared parts prefilled though some searcher had used them less than `repeated_prefill_window` before.
    pub prefilled_again: u64,
    pub in_place: usize,
    /// Tokens transferred within a zone, and between zones.
    pub transferred: [u64; 2],
    /// Refusals of first requests and of retries.
    pub refused: [usize; 2],
    pub value_earned: f64,
    pub value_offered: f64,
    /// By class: requests, and those whose first event arrived before the deadline.
    pub classes: Vec<(usize, usize)>,
    /// By class: refused first requests.
    pub refused_by_class: Vec<usize>,
    /// The same as `classes` for the largest tenth of all prompts, by their own parts.
    pub largest: (usize, usize),
    /// Prefill sends by searcher.
    pub prefills: Vec<usize>,
}

impl Results {
    /// A quantile of the time to the first event, in milliseconds.
    pub fn first_event(&self, share: f64) -> f64 {
        let mut sorted = self.first_event_ms.clone();
        sorted.sort_by(f64::total_cmp);
        sorted[((sorted.len() - 1) as f64 * share) as usize]
    }

    /// The mean time to the first event in milliseconds.
    pub fn mean(&self) -> f64 {
        self.first_event_ms.iter().sum::<f64>() / self.first_event_ms.len() as f64
    }

    /// The results on one line.
    pub fn summary(&self) -> String {
        format!(
            "value {:.3}, in time {:.3}, first event mean {:.0} ms, 95% {:.0} ms, 99% {:.0} ms, prefilled {:.2} M, repeated {:.2} M, in place {}, transferred {:.1?} M, refused {:?}, served {:.2?}, largest {:.2}",
            self.value_earned / self.value_offered,
            self.in_time as f64 / self.requests as f64,
            self.mean(),
            self.first_event(0.95),
            self.first_event(0.99),
            self.prefilled as f64 / 1e6,
            self.prefilled_again as f64 / 1e6,
            self.in_place,
            self.transferred.map(|tokens| tokens as f64 / 1e6),
            self.refused,
            self.classes
                .iter()
                .map(|(all, served)| *served as f64 / *all as f64)
                .collect::<Vec<_>>(),
            self.largest.1 as f64 / self.largest.0 as f64,
        )
    }
}

/// A simulated event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    PrefillDone(usize, usize),
    StreamStart(usize, usize, bool),
    StreamEnd(usize, usize, bool),
}

struct Request {
    class: usize,
    /// When the client first sent it, and when it sent this try.
    first_sent_at: Micros,
    sent_at: Micros,
    is_retry: bool,
    proxy: usize,
    attributes: RequestAttributes,
}

impl Request {
    /// When its client abandons it: at its deadline, and earlier if this try has had no response for long.
    fn deadline(&self, scenario: &Scenario) -> Micros {
        let class = &scenario.classes[self.class];
        let client_timeout = (4 * class.target_ms).max(2_000);
        (self.first_sent_at + class.deadline_ms * MS).min(self.sent_at + client_timeout * MS)
    }

    fn is_large(&self, scenario: &Scenario) -> bool {
        let own_tokens = self.attributes.prompt.last().map_or(0, |part| part.tokens);
        // The upper tenth of an exponential distribution.
        f64::from(own_tokens) > 2.3 * f64::from(scenario.classes[self.class].own_tokens)
    }
}

/// Simulates a scenario with one chooser per proxy.
#[expect(
    clippy::too_many_lines,
    reason = "one simulated scenario, event by event"
)]
pub fn simulate(scenario: &Scenario, mut choosers: Vec<Box<dyn Chooser>>) -> Results {
    let mut requests = generate_requests(scenario);
    let mut prefill_engines = vec![Engine::new(); scenario.prefill];
    let mut decode_engines = vec![Engine::new(); scenario.decode];
    for (number, slowness) in &scenario.slow_prefill {
        prefill_engines[*number].slowness = *slowness;
    }
    for (number, slowness) in &scenario.slow_decode {
        decode_engines[*number].slowness = *slowness;
    }
    let classes = vec![(0, 0); scenario.classes.len()];
    let refused_by_class = vec![0; scenario.classes.len()];
    let prefills = vec![0; scenario.prefill];
    let mut results = Results {
        prefills,
        classes,
        refused_by_class,
        ..Results::default()
    };
    let mut last_use: HashMap<Vec<u64>, Micros> = HashMap::new();
    let mut events: BinaryHeap<Reverse<(Micros, Event)>> = BinaryHeap::new();
    for (number, request) in requests.iter().enumerate() {
        events.push(Reverse((request.first_sent_at, Event::Arrival(number))));
    }
    while let Some(Reverse((now, event))) = events.pop() {
        match event {
            Event::Arrival(number) => {
                let request = &requests[number];
                let (attributes, chooser) = (&request.attributes, &mut choosers[request.proxy]);
                if !request.is_retry {
                    results.record_request(scenario, request);
                }
                if let Err(retry_after_ms) = chooser.admit(now, number, attributes) {
                    results.refused[usize::from(request.is_retry)] += 1;
                    if request.is_retry {
                        // A refused retry has a cost.
                        results.value_earned -= 0.3 * scenario.classes[request.class].value;
                    } else {
                        results.refused_by_class[request.class] += 1;
                        let retry_at =
                            now + (retry_after_ms * MS).min((request.deadline(scenario) - now) / 3);
                        schedule_retry(&mut requests[number], retry_at, scenario);
                        events.push(Reverse((retry_at, Event::Arrival(number))));
                    }
                    continue;
                }
                let prefill_index = if chooser.should_split(now, number, attributes) {
                    chooser.choose(now, number, attributes, Purpose::Prefill)
                } else {
                    None
                };
                let deadline = request.deadline(scenario);
                if let Some(prefill_index) = prefill_index {
                    let call = prefill_engines[prefill_index].prefill(
                        now,
                        &attributes.prompt,
                        &scenario.speeds,
                        deadline,
                    );
                    results.prefills[prefill_index] += 1;
                    results.record_prefill(
                        now,
                        attributes,
                        &call,
                        scenario.repeated_prefill_window,
                        &mut last_use,
                    );
                    events.push(Reverse((
                        call.at as Micros,
                        Event::PrefillDone(number, prefill_index),
                    )));
                } else if let Some(decode_index) =
                    chooser.choose(now, number, attributes, Purpose::Whole)
                {
                    results.in_place += 1;
                    let call = decode_engines[decode_index].prefill_in_place(
                        now,
                        &attributes.prompt,
                        attributes.max_output_tokens,
                        &scenario.speeds,
                        deadline,
                    );
                    results.record_prefill(
                        now,
                        attributes,
                        &call,
                        scenario.repeated_prefill_window,
                        &mut last_use,
                    );
                    push_stream(&mut events, number, decode_index, &call, true);
                }
            }
            Event::PrefillDone(number, prefill_index) => {
                let request = &requests[number];
                let (attributes, chooser) = (&request.attributes, &mut choosers[request.proxy]);
                let is_late = now >= request.deadline(scenario);
                let outcome = if is_late {
                    SendOutcome::TimedOut
                } else {
                    SendOutcome::Answered
                };
                chooser.record_outcome(now, number, Purpose::Prefill, prefill_index, outcome);
                if is_late {
                    continue;
                }
                if let Some(decode_index) = chooser.choose(now, number, attributes, Purpose::Decode)
                {
                    let is_other_zone =
                        prefill_index % scenario.zones != decode_index % scenario.zones;
                    results.transferred[usize::from(is_other_zone)] +=
                        u64::from(attributes.prompt_tokens);
                    let call = decode_engines[decode_index].decode(
                        now,
                        &attributes.prompt,
                        attributes.max_output_tokens,
                        &scenario.speeds,
                        is_other_zone,
                    );
                    push_stream(&mut events, number, decode_index, &call, false);
                }
            }
            Event::StreamStart(number, decode_index, is_in_place) => {
                let request = &requests[number];
                choosers[request.proxy].record_outcome(
                    now,
                    number,
                    purpose(is_in_place),
                    decode_index,
                    SendOutcome::FirstEvent,
                );
                results.record_first_event(now, scenario, request);
            }
            Event::StreamEnd(number, decode_index, is_in_place) => {
                choosers[requests[number].proxy].record_outcome(
                    now,
                    number,
                    purpose(is_in_place),
                    decode_index,
                    SendOutcome::Answered,
                );
            }
        }
    }
    results
}

fn purpose(is_in_place: bool) -> Purpose {
    if is_in_place {
        Purpose::Whole
    } else {
        Purpose::Decode
    }
}

fn push_stream(
    events: &mut BinaryHeap<Reverse<(Micros, Event)>>,
    number: usize,
    decode_index: usize,
    call: &CallResult,
    is_in_place: bool,
) {
    events.push(Reverse((
        call.at as Micros,
        Event::StreamStart(number, decode_index, is_in_place),
    )));
    events.push(Reverse((
        call.end as Micros + 1,
        Event::StreamEnd(number, decode_index, is_in_place),
    )));
}

/// Schedules the retry of a refused request.
fn schedule_retry(request: &mut Request, at: Micros, scenario: &Scenario) {
    request.sent_at = at;
    request.is_retry = true;
    request.attributes.remaining_ms =
        (request.first_sent_at + scenario.classes[request.class].deadline_ms * MS - at) / MS;
}

impl Results {
    fn record_request(&mut self, scenario: &Scenario, request: &Request) {
        self.requests += 1;
        self.value_offered += scenario.classes[request.class].value;
        self.classes[request.class].0 += 1;
        self.largest.0 += usize::from(request.is_large(scenario));
    }

    fn record_first_event(&mut self, now: Micros, scenario: &Scenario, request: &Request) {
        if now >= request.deadline(scenario) {
            return;
        }
        let class = &scenario.classes[request.class];
        let in_time = now <= request.sent_at + class.target_ms * MS;
        self.first_event_ms
            .push((now - request.first_sent_at) as f64 / MS as f64);
        self.in_time += usize::from(in_time && !request.is_retry);
        self.classes[request.class].1 += 1;
        self.largest.1 += usize::from(request.is_large(scenario));
        self.value_earned += match (in_time, request.is_retry) {
            (true, false) => class.value,
            // Refused at first, then served in time.
            (true, true) => (class.value + class.late_value) / 2.0,
            (false, _) => class.late_value,
        };
    }

    /// Counts the prefilled tokens, and those of them that a searcher had used shortly before.
    fn record_prefill(
        &mut self,
        now: Micros,
        attributes: &RequestAttributes,
        call: &CallResult,
        repeated_prefill_window: Micros,
        last_use: &mut HashMap<Vec<u64>, Micros>,
    ) {
        self.prefilled += call.prefilled_tokens;
        let prompt_tokens: u64 = attributes
            .prompt
            .iter()
            .map(|part| u64::from(part.tokens))
            .sum();
        let cached = prompt_tokens - call.prefilled_tokens;
        let mut preceding_tokens = 0;
        for length in 1..attributes.prompt.len() {
            let prefix: Vec<u64> = attributes.prompt[..length]
                .iter()
                .map(|part| part.id)
                .collect();
            let tokens = u64::from(attributes.prompt[length - 1].tokens);
            let last_used = last_use.insert(prefix, now);
            if preceding_tokens >= cached
                && last_used.is_some_and(|last_used| now - last_used <= repeated_prefill_window)
            {
                self.prefilled_again += tokens;
            }
            preceding_tokens += tokens;
        }
    }
}

/// Generates the requests of a scenario with random arrivals and randomly chosen proxies.
fn generate_requests(scenario: &Scenario) -> Vec<Request> {
    let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
    let mut requests = Vec::new();
    for (number, class) in scenario.classes.iter().enumerate() {
        let mut at = 0.0;
        loop {
            at += -(1.0 - rng.random::<f64>()).ln() / class.requests_per_s * SECOND as f64;
            if at > (scenario.seconds * SECOND) as f64 {
                break;
            }
            requests.push(Request {
                class: number,
                first_sent_at: at as Micros,
                sent_at: at as Micros,
                is_retry: false,
                proxy: rng.random_range(0..scenario.proxies),
                attributes: attributes(class, number as u64, &mut rng),
            });
        }
    }
    requests.sort_by_key(|request| request.first_sent_at);
    requests
}

fn attributes(class: &RequestClass, number: u64, rng: &mut impl Rng) -> RequestAttributes {
    let mut prompt = Vec::new();
    let mut prefix_id = number;
    for (variants, tokens) in &class.shared {
        // Skewed: lower numbers are more frequent.
        let variant = (*variants as f64 * rng.random::<f64>().powf(1.3)) as u64;
        prefix_id = prefix_id * 1_000 + variant + 1;
        prompt.push(PromptPart {
            id: prefix_id,
            tokens: *tokens,
        });
    }
    // Sizes are distributed exponentially, with a long tail.
    let own_tokens =
        f64::from(class.own_tokens) * (-(1.0 - rng.random::<f64>()).ln()).clamp(0.05, 6.0);
    prompt.push(PromptPart {
        id: rng.random(),
        tokens: own_tokens as u32,
    });
    let prompt_tokens = prompt.iter().map(|part| part.tokens).sum();
    let output_tokens =
        f64::from(class.output_tokens) * (-(1.0 - rng.random::<f64>()).ln()).clamp(0.1, 4.0);
    RequestAttributes {
        target_latency_ms: class.target_ms,
        remaining_ms: class.deadline_ms,
        priority: class.priority,
        prompt,
        prompt_tokens,
        max_output_tokens: output_tokens as u32 + 1,
        ..super::streaming_request(0, 0)
    }
}
