//! The choice compared with a simple, slow model of the score.

mod decision_support;

use std::collections::HashMap;

use decision_support::*;
use lockusher_proxy::decision::*;
use proptest::prelude::*;

const SEARCHERS: usize = 5;

/// One searcher as specified by the design.
#[derive(Clone, Debug, Default)]
struct ModelSearcher {
    in_flight: f64,
    in_flight_average: f64,
    latency: Option<f64>,
    last_response: Micros,
    /// Send times of the sends without a response.
    unanswered: Vec<Micros>,
}

/// A model of a service whose searchers never fail.
#[derive(Default)]
struct Model {
    searchers: HashMap<String, ModelSearcher>,
    /// Weight and weighted sum of the elapsed times.
    weighted_elapsed: (f64, f64),
}

impl Model {
    fn expected_time(&self) -> f64 {
        if self.weighted_elapsed.0 == 0.0 {
            1_000.0
        } else {
            self.weighted_elapsed.1 / self.weighted_elapsed.0
        }
    }

    fn peer_latency(&self) -> f64 {
        let latencies: Vec<f64> = self
            .searchers
            .values()
            .filter_map(|searcher| searcher.latency)
            .collect();
        if latencies.is_empty() {
            1.0
        } else {
            latencies.iter().sum::<f64>() / latencies.len() as f64
        }
    }

    /// Idle time in decay steps of about a quarter of a second.
    fn idle_steps(searcher: &ModelSearcher, now: Micros) -> f64 {
        if searcher.in_flight > 0.0 {
            0.0
        } else {
            ((now - searcher.last_response) / (1 << 18)) as f64
        }
    }

    fn latency(&self, searcher: &ModelSearcher, now: Micros) -> f64 {
        let own = searcher.latency.unwrap_or(self.peer_latency());
        let decay = 0.977_54f64.powf(Model::idle_steps(searcher, now));
        self.peer_latency() + (own - self.peer_latency()) * decay
    }

    fn in_flight_average(searcher: &ModelSearcher, now: Micros) -> f64 {
        searcher.in_flight_average * 0.977_54f64.powf(8.0 * Model::idle_steps(searcher, now))
    }

    fn score(&self, identifier: &str, now: Micros) -> f64 {
        let searcher = &self.searchers[identifier];
        let oldest_unanswered = searcher
            .unanswered
            .iter()
            .map(|sent| now - sent)
            .max()
            .unwrap_or(0) as f64;
        let latency = (self.latency(searcher, now) * self.expected_time()).max(oldest_unanswered);
        (searcher.in_flight + Model::in_flight_average(searcher, now) + 1.0).powi(3) * latency
    }

    fn sent(&mut self, identifier: &str, now: Micros) {
        let in_flight_average = Model::in_flight_average(&self.searchers[identifier], now);
        let searcher = self.searchers.get_mut(identifier).expect("listed");
        searcher.in_flight += 1.0;
        searcher.in_flight_average =
            in_flight_average + (searcher.in_flight - in_flight_average) / 3.0;
        searcher.unanswered.push(now);
    }

    fn answered(&mut self, identifier: &str, sent: Micros, now: Micros) {
        let peer_latency = self.peer_latency();
        let elapsed = (now - sent) as f64;
        let clamped = if self.weighted_elapsed.0 >= 16.0 {
            elapsed.min(8.0 * self.expected_time())
        } else {
            elapsed
        };
        self.weighted_elapsed = (
            self.weighted_elapsed.0 * 255.0 / 256.0 + 1.0,
            self.weighted_elapsed.1 * 255.0 / 256.0 + clamped,
        );
        let sample = (elapsed / self.expected_time()).min(8.0);
        let searcher = self.searchers.get_mut(identifier).expect("listed");
        let position = searcher
            .unanswered
            .iter()
            .position(|at| *at == sent)
            .expect("was sent");
        searcher.unanswered.remove(position);
        searcher.in_flight -= 1.0;
        searcher.in_flight_average += (searcher.in_flight - searcher.in_flight_average) / 3.0;
        let mut before = searcher.clone();
        let weight = 1.0 - (2.0f64 / 3.0).powf(1.0 + (now - searcher.last_response) as f64 / 1e6);
        let idle_steps = Model::idle_steps(&before, now);
        before.in_flight_average *= 0.977_54f64.powf(8.0 * idle_steps);
        let own = before
            .latency
            .map(|own| peer_latency + (own - peer_latency) * 0.977_54f64.powf(idle_steps));
        searcher.in_flight_average = before.in_flight_average;
        searcher.latency = Some(own.map_or(sample, |own| own + (sample - own) * weight));
        searcher.last_response = now;
    }
}

/// The gap before each request, and the duration of its response.
fn requests() -> impl Strategy<Value = Vec<(Micros, Micros)>> {
    let gap = prop_oneof![8 => 0..30 * MS, 1 => 0..5 * SECOND];
    let duration = prop_oneof![6 => MS..80 * MS, 1 => MS..2 * SECOND];
    proptest::collection::vec((gap, duration), 1..200)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn the_lowest_score_wins(requests in requests(), seed: u64) {
        let list = plain_searchers(SEARCHERS);
        let mut router = router(&list, seed);
        let mut model = Model::default();
        for instance in &list {
            model.searchers.insert(instance.identifier.clone(), ModelSearcher::default());
        }
        // Responses may take long here: a long target latency keeps admission control from refusing requests.
        let attributes = RequestAttributes { target_latency_ms: 3_600_000, ..request() };
        let mut in_flight: Vec<(Micros, Micros, String, SendTicket)> = Vec::new();
        let mut now = 0;
        for (gap, duration) in requests {
            now += gap;
            in_flight.sort();
            while in_flight.first().is_some_and(|(at, ..)| *at <= now) {
                let (at, sent, identifier, ticket) = in_flight.remove(0);
                router.record_outcome(at, ticket, SendOutcome::Answered);
                model.answered(&identifier, sent, at);
            }
            let mut plan = admit(&mut router, now, &attributes);
            let (identifier, ticket) = send(&mut router, now, &mut plan, Purpose::Whole);
            let lowest = model.searchers.keys().map(|identifier| model.score(identifier, now)).fold(f64::MAX, f64::min);
            let chosen = model.score(&identifier, now);
            prop_assert!(chosen <= lowest * (1.0 + 1e-9), "{identifier} scores {chosen}, but the lowest is {lowest}");
            model.sent(&identifier, now);
            in_flight.push((now + duration, now, identifier, ticket));
        }
    }
}
