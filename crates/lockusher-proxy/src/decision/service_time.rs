//! The expected service time of requests of one purpose, by the tokens to prefill or transfer.
//!
//! An exponentially weighted ridge regression of the measured times over the tokens, so that latency reflects a
//! searcher's speed and not the length of prompts. One model per purpose, owned by `Service` and updated only by
//! successful responses. Invariant: both the base and the time per token are at least 0.

/// The weight of the newest sample is at least one in this many: the load of a service changes within tens of seconds.
const SAMPLE_WINDOW: f64 = 256.0;

/// Weight of the prior that half of the service time is proportional to the tokens, relative to the samples.
const RIDGE_WEIGHT: f64 = 0.05;

/// Growth per sample of the tracked minimum times.
const MINIMUM_RISE_PER_SAMPLE: f64 = 1.001;

/// A sample counts for at most this multiple of the expected service time.
const MAX_TIME_RATIO: f64 = 8.0;

/// Number of samples from which on outliers are clamped. With fewer, a large deviation may be due to a wrong start.
const MIN_SAMPLES_FOR_OUTLIERS: f64 = 16.0;

/// A linear fit of the service times of one purpose over their tokens: a base and a slope per token.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimeModel {
    weight: f64,
    token_sum: f64,
    elapsed_sum: f64,
    token_square_sum: f64,
    token_elapsed_sum: f64,
    base: f64,
    slope: f64,
    /// Shortest time per token seen, growing slowly.
    min_per_token: Option<f64>,
    /// Shortest elapsed time seen, growing slowly.
    min_elapsed: Option<f64>,
}

impl ServiceTimeModel {
    /// Records the elapsed time of a successful response with this many tokens, in microseconds.
    pub fn record(&mut self, tokens: f64, elapsed: f64) {
        let elapsed = if self.weight >= MIN_SAMPLES_FOR_OUTLIERS {
            elapsed.min(MAX_TIME_RATIO * self.predict(tokens))
        } else {
            elapsed
        };
        if tokens >= 1.0 {
            let cost = elapsed / tokens;
            self.min_per_token = Some(
                self.min_per_token
                    .map_or(cost, |minimum| cost.min(minimum * MINIMUM_RISE_PER_SAMPLE)),
            );
        }
        self.min_elapsed = Some(self.min_elapsed.map_or(elapsed, |minimum| {
            elapsed.min(minimum * MINIMUM_RISE_PER_SAMPLE)
        }));
        let decay = 1.0 - 1.0 / SAMPLE_WINDOW;
        self.weight = self.weight * decay + 1.0;
        self.token_sum = self.token_sum * decay + tokens;
        self.elapsed_sum = self.elapsed_sum * decay + elapsed;
        self.token_square_sum = self.token_square_sum * decay + tokens * tokens;
        self.token_elapsed_sum = self.token_elapsed_sum * decay + tokens * elapsed;
        self.fit();
    }

    fn fit(&mut self) {
        let mean_tokens = self.token_sum / self.weight;
        let mean_elapsed = self.elapsed_sum / self.weight;
        let variance = (self.token_square_sum / self.weight - mean_tokens * mean_tokens).max(0.0);
        let covariance = self.token_elapsed_sum / self.weight - mean_tokens * mean_elapsed;
        let prior_covariance = RIDGE_WEIGHT * mean_tokens * mean_elapsed / 2.0;
        let regularized_variance = variance + RIDGE_WEIGHT * mean_tokens * mean_tokens;
        let max_slope = if mean_tokens > 0.0 {
            mean_elapsed / mean_tokens
        } else {
            0.0
        };
        self.slope = if regularized_variance > 0.0 {
            ((covariance + prior_covariance) / regularized_variance).clamp(0.0, max_slope)
        } else {
            0.0
        };
        self.base = mean_elapsed - self.slope * mean_tokens;
    }

    /// The recent mean number of tokens; 0 before the first sample.
    pub fn mean_tokens(&self) -> f64 {
        if self.has_samples() {
            self.token_sum / self.weight
        } else {
            0.0
        }
    }

    /// Whether there is any sample.
    pub fn has_samples(&self) -> bool {
        self.weight > 0.0
    }

    /// Whether there are enough samples to rely on.
    pub fn is_reliable(&self) -> bool {
        self.weight >= MIN_SAMPLES_FOR_OUTLIERS / 2.0
    }

    /// The expected service time for this many tokens, in microseconds. Before the first sample only the ratio between
    /// two sizes is meaningful: the time is proportional to the tokens, with a base equal to a thousand tokens.
    pub fn predict(&self, tokens: f64) -> f64 {
        if !self.has_samples() {
            return 1_000.0 + tokens;
        }
        (self.base + self.slope * tokens).max(1.0)
    }

    /// The shortest elapsed time of all responses, in microseconds: the cost of any request, whatever its size.
    pub fn min_elapsed(&self) -> f64 {
        self.min_elapsed.unwrap_or(0.0)
    }

    /// The share of the service time for `tokens` that is saved if only `remaining` of them are left to prefill,
    /// without waits.
    pub fn saved_share(&self, tokens: u32, remaining: u32) -> f64 {
        let saved = f64::from(tokens.saturating_sub(remaining));
        let total = f64::from(tokens.max(1));
        match self.min_per_token {
            Some(cost) if cost > 0.0 => cost * saved / (self.min_elapsed() + cost * total),
            _ => saved / total,
        }
    }

    /// Microseconds per token.
    pub fn slope(&self) -> f64 {
        self.slope
    }

    /// The shortest time per token in microseconds, which contains no wait.
    pub fn min_per_token(&self) -> f64 {
        self.min_per_token.unwrap_or(0.0)
    }
}
