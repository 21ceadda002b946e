//! Proxies before the model's searchers, in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use lockusher_proxy::decision::*;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::engine::{Done, Engine, Speeds};
use super::{MS, SECOND};

/// How a proxy chooses.
pub trait Chooser {
    /// The searcher for a send, by number among those of its stage; nothing if the request is to be read in
    /// place (asked for prefill only) or not at all.
    fn choose(
        &mut self,
        now: Micros,
        request: usize,
        facts: &RequestFacts,
        purpose: Purpose,
    ) -> Option<usize>;
    /// Takes a request or says when to come back, in milliseconds.
    fn admit(&mut self, _now: Micros, _request: usize, _facts: &RequestFacts) -> Result<(), u64> {
        Ok(())
    }
    /// Whether a prefill searcher reads this request's prompt.
    fn split(&mut self, now: Micros, request: usize, facts: &RequestFacts) -> bool;
    /// What became of a send.
    fn outcome(
        &mut self,
        now: Micros,
        request: usize,
        purpose: Purpose,
        searcher: usize,
        outcome: SendOutcome,
    );
}

/// A kind of request.
#[derive(Clone, Debug)]
pub struct Kind {
    pub per_second: f64,
    /// For each shared part: how many different ones there are, and the tokens of each.
    pub shared: Vec<(u64, u32)>,
    pub own_tokens: u32,
    pub out_tokens: u32,
    pub target_ms: u64,
    pub deadline_ms: u64,
    pub priority: u8,
    /// What an answer in time earns, and a late one.
    pub worth: f64,
    pub late_worth: f64,
}

/// A day of the model.
#[derive(Clone, Debug)]
pub struct Day {
    pub kinds: Vec<Kind>,
    pub proxies: usize,
    pub prefill: usize,
    pub decode: usize,
    /// Zones over which searchers and proxies are spread in turn.
    pub zones: usize,
    pub seconds: u64,
    pub speeds: Speeds,
    pub again: Micros,
    pub seed: u64,
    /// Slowness of single prefill searchers.
    pub slow_prefill: Vec<(usize, f64)>,
    /// Slowness of single decode searchers.
    pub slow_decode: Vec<(usize, f64)>,
}

/// What a day came to.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    pub requests: usize,
    /// First event in time.
    pub in_time: usize,
    pub first_ms: Vec<f64>,
    /// Tokens read.
    pub read: u64,
    /// Tokens of shared parts read though some searcher of the day had them in use less than `again` before.
    pub read_again: u64,
    pub in_place: usize,
    /// Tokens that were handed over within a zone, and between zones.
    pub moved: [u64; 2],
    /// Refusals, of first tries and of second ones.
    pub refused: [usize; 2],
    pub earned: f64,
    pub owed: f64,
    /// By kind: requests, and those whose first event came before the deadline.
    pub kinds: Vec<(usize, usize)>,
    /// By kind: first tries that were refused.
    pub refused_kinds: Vec<usize>,
    /// The same for the largest tenth of all prompts, by their own parts.
    pub largest: (usize, usize),
    /// Prefill sends by searcher.
    pub prefills: Vec<usize>,
}

impl Figures {
    /// The time to the first event that a share of the requests keeps, in milliseconds.
    pub fn first_event(&self, share: f64) -> f64 {
        let mut sorted = self.first_ms.clone();
        sorted.sort_by(f64::total_cmp);
        sorted[((sorted.len() - 1) as f64 * share) as usize]
    }

    /// The mean time to the first event in milliseconds.
    pub fn mean(&self) -> f64 {
        self.first_ms.iter().sum::<f64>() / self.first_ms.len() as f64
    }

    /// One line of figures.
    pub fn line(&self) -> String {
        format!(
            "worth {:.3}, in time {:.3}, first event mean {:.0} ms, 95% {:.0} ms, 99% {:.0} ms, read {:.2} M, again {:.2} M, in place {}, moved {:.1?} M, refused {:?}, served {:.2?}, largest {:.2}",
            self.earned / self.owed,
            self.in_time as f64 / self.requests as f64,
            self.mean(),
            self.first_event(0.95),
            self.first_event(0.99),
            self.read as f64 / 1e6,
            self.read_again as f64 / 1e6,
            self.in_place,
            self.moved.map(|tokens| tokens as f64 / 1e6),
            self.refused,
            self.kinds
                .iter()
                .map(|(all, served)| *served as f64 / *all as f64)
                .collect::<Vec<_>>(),
            self.largest.1 as f64 / self.largest.0 as f64,
        )
    }
}

/// What happens at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives(usize),
    PromptRead(usize, usize),
    Begins(usize, usize, bool),
    Ends(usize, usize, bool),
}

struct Request {
    kind: usize,
    /// When its client asked first, and when this try came.
    at: Micros,
    tried_at: Micros,
    second_try: bool,
    proxy: usize,
    facts: RequestFacts,
}

impl Request {
    /// When its client gives up: at its deadline, and sooner if it has heard nothing of this try for long.
    fn deadline(&self, day: &Day) -> Micros {
        let kind = &day.kinds[self.kind];
        let patience = (4 * kind.target_ms).max(2_000);
        (self.at + kind.deadline_ms * MS).min(self.tried_at + patience * MS)
    }

    fn is_large(&self, day: &Day) -> bool {
        let own = self.facts.prompt.last().map_or(0, |part| part.tokens);
        // The tenth of an exponential spread.
        f64::from(own) > 2.3 * f64::from(day.kinds[self.kind].own_tokens)
    }
}

/// Plays a day with a chooser for each proxy.
#[expect(clippy::too_many_lines, reason = "one simulated day, event by event")]
pub fn play(day: &Day, mut choosers: Vec<Box<dyn Chooser>>) -> Figures {
    let mut requests = draw(day);
    let mut readers = vec![Engine::new(); day.prefill];
    let mut makers = vec![Engine::new(); day.decode];
    for (number, slowness) in &day.slow_prefill {
        readers[*number].slowness = *slowness;
    }
    for (number, slowness) in &day.slow_decode {
        makers[*number].slowness = *slowness;
    }
    let kinds = vec![(0, 0); day.kinds.len()];
    let refused_kinds = vec![0; day.kinds.len()];
    let prefills = vec![0; day.prefill];
    let mut figures = Figures {
        prefills,
        kinds,
        refused_kinds,
        ..Figures::default()
    };
    let mut last_use: HashMap<Vec<u64>, Micros> = HashMap::new();
    let mut events: BinaryHeap<Reverse<(Micros, Event)>> = BinaryHeap::new();
    for (number, request) in requests.iter().enumerate() {
        events.push(Reverse((request.at, Event::Arrives(number))));
    }
    while let Some(Reverse((now, event))) = events.pop() {
        match event {
            Event::Arrives(number) => {
                let request = &requests[number];
                let (facts, chooser) = (&request.facts, &mut choosers[request.proxy]);
                if !request.second_try {
                    figures.note_request(day, request);
                }
                if let Err(retry_after_ms) = chooser.admit(now, number, facts) {
                    figures.refused[usize::from(request.second_try)] += 1;
                    if request.second_try {
                        // Coming back in vain is priced.
                        figures.earned -= 0.3 * day.kinds[request.kind].worth;
                    } else {
                        figures.refused_kinds[request.kind] += 1;
                        let again =
                            now + (retry_after_ms * MS).min((request.deadline(day) - now) / 3);
                        come_back(&mut requests[number], again, day);
                        events.push(Reverse((again, Event::Arrives(number))));
                    }
                    continue;
                }
                let reader = if chooser.split(now, number, facts) {
                    chooser.choose(now, number, facts, Purpose::Prefill)
                } else {
                    None
                };
                let deadline = request.deadline(day);
                if let Some(reader) = reader {
                    let done = readers[reader].prefill(now, &facts.prompt, &day.speeds, deadline);
                    figures.prefills[reader] += 1;
                    figures.note_read(now, facts, &done, day.again, &mut last_use);
                    events.push(Reverse((
                        done.at as Micros,
                        Event::PromptRead(number, reader),
                    )));
                } else if let Some(maker) = chooser.choose(now, number, facts, Purpose::Whole) {
                    figures.in_place += 1;
                    let done = makers[maker].whole(
                        now,
                        &facts.prompt,
                        facts.tokens_out,
                        &day.speeds,
                        deadline,
                    );
                    figures.note_read(now, facts, &done, day.again, &mut last_use);
                    push_stream(&mut events, number, maker, &done, true);
                }
            }
            Event::PromptRead(number, reader) => {
                let request = &requests[number];
                let (facts, chooser) = (&request.facts, &mut choosers[request.proxy]);
                let late = now >= request.deadline(day);
                let outcome = if late {
                    SendOutcome::TimedOut
                } else {
                    SendOutcome::Answered
                };
                chooser.outcome(now, number, Purpose::Prefill, reader, outcome);
                if late {
                    continue;
                }
                if let Some(maker) = chooser.choose(now, number, facts, Purpose::Decode) {
                    let far = reader % day.zones != maker % day.zones;
                    figures.moved[usize::from(far)] += u64::from(facts.tokens_in);
                    let done = makers[maker].decode(
                        now,
                        &facts.prompt,
                        facts.tokens_out,
                        &day.speeds,
                        far,
                    );
                    push_stream(&mut events, number, maker, &done, false);
                }
            }
            Event::Begins(number, maker, whole) => {
                let request = &requests[number];
                choosers[request.proxy].outcome(
                    now,
                    number,
                    purpose(whole),
                    maker,
                    SendOutcome::FirstEvent,
                );
                figures.note_first_event(now, day, request);
            }
            Event::Ends(number, maker, whole) => {
                choosers[requests[number].proxy].outcome(
                    now,
                    number,
                    purpose(whole),
                    maker,
                    SendOutcome::Answered,
                );
            }
        }
    }
    figures
}

fn purpose(whole: bool) -> Purpose {
    if whole {
        Purpose::Whole
    } else {
        Purpose::Decode
    }
}

fn push_stream(
    events: &mut BinaryHeap<Reverse<(Micros, Event)>>,
    number: usize,
    maker: usize,
    done: &Done,
    whole: bool,
) {
    events.push(Reverse((
        done.at as Micros,
        Event::Begins(number, maker, whole),
    )));
    events.push(Reverse((
        done.end as Micros + 1,
        Event::Ends(number, maker, whole),
    )));
}

/// A client that was told to come back asks again.
fn come_back(request: &mut Request, at: Micros, day: &Day) {
    request.tried_at = at;
    request.second_try = true;
    request.facts.remaining_ms = (request.at + day.kinds[request.kind].deadline_ms * MS - at) / MS;
}

impl Figures {
    fn note_request(&mut self, day: &Day, request: &Request) {
        self.requests += 1;
        self.owed += day.kinds[request.kind].worth;
        self.kinds[request.kind].0 += 1;
        self.largest.0 += usize::from(request.is_large(day));
    }

    fn note_first_event(&mut self, now: Micros, day: &Day, request: &Request) {
        if now >= request.deadline(day) {
            return;
        }
        let kind = &day.kinds[request.kind];
        let in_time = now <= request.tried_at + kind.target_ms * MS;
        self.first_ms.push((now - request.at) as f64 / MS as f64);
        self.in_time += usize::from(in_time && !request.second_try);
        self.kinds[request.kind].1 += 1;
        self.largest.1 += usize::from(request.is_large(day));
        self.earned += match (in_time, request.second_try) {
            (true, false) => kind.worth,
            // Refused early and then served in time.
            (true, true) => (kind.worth + kind.late_worth) / 2.0,
            (false, _) => kind.late_worth,
        };
    }

    /// Counts what was read, and which of it some searcher had used a short time before.
    fn note_read(
        &mut self,
        now: Micros,
        facts: &RequestFacts,
        done: &Done,
        again: Micros,
        last_use: &mut HashMap<Vec<u64>, Micros>,
    ) {
        self.read += done.read;
        let whole: u64 = facts.prompt.iter().map(|part| u64::from(part.tokens)).sum();
        let kept = whole - done.read;
        let mut before = 0;
        for length in 1..facts.prompt.len() {
            let chain: Vec<u64> = facts.prompt[..length].iter().map(|part| part.id).collect();
            let tokens = u64::from(facts.prompt[length - 1].tokens);
            let used = last_use.insert(chain, now);
            if before >= kept && used.is_some_and(|used| now - used <= again) {
                self.read_again += tokens;
            }
            before += tokens;
        }
    }
}

/// Draws the day's requests; uneven shares of the proxies, arrivals by chance.
fn draw(day: &Day) -> Vec<Request> {
    let mut luck = ChaCha8Rng::seed_from_u64(day.seed);
    let mut requests = Vec::new();
    for (number, kind) in day.kinds.iter().enumerate() {
        let mut at = 0.0;
        loop {
            at += -(1.0 - luck.random::<f64>()).ln() / kind.per_second * SECOND as f64;
            if at > (day.seconds * SECOND) as f64 {
                break;
            }
            requests.push(Request {
                kind: number,
                at: at as Micros,
                tried_at: at as Micros,
                second_try: false,
                proxy: luck.random_range(0..day.proxies),
                facts: facts(kind, number as u64, &mut luck),
            });
        }
    }
    requests.sort_by_key(|request| request.at);
    requests
}

fn facts(kind: &Kind, number: u64, luck: &mut impl Rng) -> RequestFacts {
    let mut prompt = Vec::new();
    let mut chain = number;
    for (things, tokens) in &kind.shared {
        // Somewhat uneven: the lower numbers are asked for more.
        let thing = (*things as f64 * luck.random::<f64>().powf(1.3)) as u64;
        chain = chain * 1_000 + thing + 1;
        prompt.push(PromptPart {
            id: chain,
            tokens: *tokens,
        });
    }
    // Sizes spread by chance, with a long tail.
    let own = f64::from(kind.own_tokens) * (-(1.0 - luck.random::<f64>()).ln()).clamp(0.05, 6.0);
    prompt.push(PromptPart {
        id: luck.random(),
        tokens: own as u32,
    });
    let tokens_in = prompt.iter().map(|part| part.tokens).sum();
    let out = f64::from(kind.out_tokens) * (-(1.0 - luck.random::<f64>()).ln()).clamp(0.1, 4.0);
    RequestFacts {
        target_latency_ms: kind.target_ms,
        remaining_ms: kind.deadline_ms,
        priority: kind.priority,
        prompt,
        tokens_in,
        tokens_out: out as u32 + 1,
        ..super::prompt(0, 0)
    }
}
