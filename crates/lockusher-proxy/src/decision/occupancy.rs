//! How many own sends are out at the searchers of a stage, averaged over the last seconds.

use super::interface::Micros;

/// What was longer ago counts half as much after this time, in microseconds.
const HALF_LIFE: f64 = 2e6;

/// A fading time average of the number of sends that are out.
#[derive(Clone, Copy, Debug, Default)]
pub struct Occupancy {
    out: u32,
    mean: f64,
    at: Micros,
}

impl Occupancy {
    /// Notes a send.
    pub fn sent(&mut self, now: Micros) {
        self.settle(now);
        self.out += 1;
    }

    /// Notes the end of a send.
    pub fn ended(&mut self, now: Micros) {
        self.settle(now);
        self.out = self.out.saturating_sub(1);
    }

    /// The average up to now.
    pub fn mean(&self, now: Micros) -> f64 {
        let kept = 0.5f64.powf(now.saturating_sub(self.at) as f64 / HALF_LIFE);
        f64::from(self.out) + (self.mean - f64::from(self.out)) * kept
    }

    fn settle(&mut self, now: Micros) {
        self.mean = self.mean(now);
        self.at = self.at.max(now);
    }
}
