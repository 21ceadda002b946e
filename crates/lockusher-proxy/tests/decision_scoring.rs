//! The choice against a plain, slow model of the score.

mod decision_support;

use std::collections::HashMap;

use decision_support::*;
use lockusher_proxy::decision::*;
use proptest::prelude::*;

const SEARCHERS: usize = 5;

/// One searcher as the design describes it.
#[derive(Clone, Debug, Default)]
struct Plain {
    in_flight: f64,
    queue: f64,
    latency: Option<f64>,
    heard: Micros,
    /// Sends that were not answered yet.
    out: Vec<Micros>,
}

/// The plain model of a service whose searchers never fail.
#[derive(Default)]
struct Model {
    searchers: HashMap<String, Plain>,
    /// Weight and sum of the elapsed times.
    work: (f64, f64),
}

impl Model {
    fn usual(&self) -> f64 {
        if self.work.0 == 0.0 {
            1_000.0
        } else {
            self.work.1 / self.work.0
        }
    }

    fn peers(&self) -> f64 {
        let heard: Vec<f64> = self
            .searchers
            .values()
            .filter_map(|searcher| searcher.latency)
            .collect();
        if heard.is_empty() {
            1.0
        } else {
            heard.iter().sum::<f64>() / heard.len() as f64
        }
    }

    /// Quarters of a second, about, that it was idle.
    fn idle(searcher: &Plain, now: Micros) -> f64 {
        if searcher.in_flight > 0.0 {
            0.0
        } else {
            ((now - searcher.heard) / (1 << 18)) as f64
        }
    }

    fn latency(&self, searcher: &Plain, now: Micros) -> f64 {
        let own = searcher.latency.unwrap_or(self.peers());
        let memory = 0.977_54f64.powf(Model::idle(searcher, now));
        self.peers() + (own - self.peers()) * memory
    }

    fn queue(searcher: &Plain, now: Micros) -> f64 {
        searcher.queue * 0.977_54f64.powf(8.0 * Model::idle(searcher, now))
    }

    fn score(&self, identifier: &str, now: Micros) -> f64 {
        let searcher = &self.searchers[identifier];
        let silence = searcher
            .out
            .iter()
            .map(|sent| now - sent)
            .max()
            .unwrap_or(0) as f64;
        let latency = (self.latency(searcher, now) * self.usual()).max(silence);
        (searcher.in_flight + Model::queue(searcher, now) + 1.0).powi(3) * latency
    }

    fn sent(&mut self, identifier: &str, now: Micros) {
        let queue = Model::queue(&self.searchers[identifier], now);
        let searcher = self.searchers.get_mut(identifier).expect("listed");
        searcher.in_flight += 1.0;
        searcher.queue = queue + (searcher.in_flight - queue) / 3.0;
        searcher.out.push(now);
    }

    fn answered(&mut self, identifier: &str, sent: Micros, now: Micros) {
        let peers = self.peers();
        let elapsed = (now - sent) as f64;
        let fed = if self.work.0 >= 16.0 {
            elapsed.min(8.0 * self.usual())
        } else {
            elapsed
        };
        self.work = (
            self.work.0 * 255.0 / 256.0 + 1.0,
            self.work.1 * 255.0 / 256.0 + fed,
        );
        let sample = (elapsed / self.usual()).min(8.0);
        let searcher = self.searchers.get_mut(identifier).expect("listed");
        let place = searcher
            .out
            .iter()
            .position(|at| *at == sent)
            .expect("was sent");
        searcher.out.remove(place);
        searcher.in_flight -= 1.0;
        searcher.queue += (searcher.in_flight - searcher.queue) / 3.0;
        let mut before = searcher.clone();
        let weight = 1.0 - (2.0f64 / 3.0).powf(1.0 + (now - searcher.heard) as f64 / 1e6);
        let idle = Model::idle(&before, now);
        before.queue *= 0.977_54f64.powf(8.0 * idle);
        let own = before
            .latency
            .map(|own| peers + (own - peers) * 0.977_54f64.powf(idle));
        searcher.queue = before.queue;
        searcher.latency = Some(own.map_or(sample, |own| own + (sample - own) * weight));
        searcher.heard = now;
    }
}

/// Gap before a request, and how long its answer takes at each searcher.
fn requests() -> impl Strategy<Value = Vec<(Micros, Micros)>> {
    let gap = prop_oneof![8 => 0..30 * MS, 1 => 0..5 * SECOND];
    let takes = prop_oneof![6 => MS..80 * MS, 1 => MS..2 * SECOND];
    proptest::collection::vec((gap, takes), 1..200)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn the_lowest_score_wins(requests in requests(), seed: u64) {
        let list = plain(SEARCHERS);
        let mut router = router(&list, seed);
        let mut model = Model::default();
        for instance in &list {
            model.searchers.insert(instance.identifier.clone(), Plain::default());
        }
        // Answers may take long here: none is late, so that the gate takes all.
        let facts = RequestFacts { target_latency_ms: 3_600_000, ..request() };
        let mut out: Vec<(Micros, Micros, String, SendTicket)> = Vec::new();
        let mut now = 0;
        for (gap, takes) in requests {
            now += gap;
            out.sort();
            while out.first().is_some_and(|(at, ..)| *at <= now) {
                let (at, sent, identifier, ticket) = out.remove(0);
                router.outcome(at, ticket, SendOutcome::Answered);
                model.answered(&identifier, sent, at);
            }
            let mut plan = admit(&mut router, now, &facts);
            let (identifier, ticket) = send(&mut router, now, &mut plan, Purpose::Whole);
            let lowest = model.searchers.keys().map(|each| model.score(each, now)).fold(f64::MAX, f64::min);
            let chosen = model.score(&identifier, now);
            prop_assert!(chosen <= lowest * (1.0 + 1e-9), "{identifier}: {chosen}, but the lowest is {lowest}");
            model.sent(&identifier, now);
            out.push((now + takes, now, identifier, ticket));
        }
    }
}
