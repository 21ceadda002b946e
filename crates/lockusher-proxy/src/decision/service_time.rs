//! How long requests of one purpose usually take, by the tokens that they must prefill or transfer.
//!
//! An exponentially weighted ridge regression of the measured times over the tokens, so that latency tells of a searcher's
//! speed and not of prompts' lengths. One for each purpose, owned by `Service` and fed with good
//! answers alone. Invariant: both the fixed part and the time for each token are at least 0.

/// The newest sample weighs at least one in so many: the load of a service changes within tens of seconds.
const SAMPLE_MEMORY: f64 = 256.0;

/// Weight of the assumption that half of the time grows with the tokens, against what samples show.
const RIDGE_WEIGHT: f64 = 0.05;

/// The least time for a token rises by this factor with each sample.
const MINIMUM_RISE_PER_SAMPLE: f64 = 1.001;

/// A sample counts for at most so many times the usual.
const MAX_MULTIPLE_OF_USUAL: f64 = 8.0;

/// Samples after which outliers are told from a wrong start.
const MIN_SAMPLES_FOR_OUTLIERS: f64 = 16.0;

/// A line through the measured times of a purpose over their tokens: a fixed part and a time for each token.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimeModel {
    weight: f64,
    tokens: f64,
    elapsed: f64,
    tokens_squared: f64,
    tokens_elapsed: f64,
    base: f64,
    slope: f64,
    /// The least time for each token seen, rising slowly.
    min_per_token: Option<f64>,
    /// The least time of all seen, rising slowly.
    minimum: Option<f64>,
}

impl ServiceTimeModel {
    /// Feeds the time in microseconds that a good answer with so many tokens took.
    pub fn feed(&mut self, tokens: f64, elapsed: f64) {
        let elapsed = if self.weight >= MIN_SAMPLES_FOR_OUTLIERS {
            elapsed.min(MAX_MULTIPLE_OF_USUAL * self.usual(tokens))
        } else {
            elapsed
        };
        if tokens >= 1.0 {
            let each = elapsed / tokens;
            self.min_per_token = Some(
                self.min_per_token
                    .map_or(each, |minimum| each.min(minimum * MINIMUM_RISE_PER_SAMPLE)),
            );
        }
        self.minimum = Some(self.minimum.map_or(elapsed, |minimum| {
            elapsed.min(minimum * MINIMUM_RISE_PER_SAMPLE)
        }));
        let keep = 1.0 - 1.0 / SAMPLE_MEMORY;
        self.weight = self.weight * keep + 1.0;
        self.tokens = self.tokens * keep + tokens;
        self.elapsed = self.elapsed * keep + elapsed;
        self.tokens_squared = self.tokens_squared * keep + tokens * tokens;
        self.tokens_elapsed = self.tokens_elapsed * keep + tokens * elapsed;
        self.fit();
    }

    fn fit(&mut self) {
        let mean_tokens = self.tokens / self.weight;
        let mean_elapsed = self.elapsed / self.weight;
        let variance = (self.tokens_squared / self.weight - mean_tokens * mean_tokens).max(0.0);
        let covariance = self.tokens_elapsed / self.weight - mean_tokens * mean_elapsed;
        let assumed = RIDGE_WEIGHT * mean_tokens * mean_elapsed / 2.0;
        let spread = variance + RIDGE_WEIGHT * mean_tokens * mean_tokens;
        let steepest = if mean_tokens > 0.0 {
            mean_elapsed / mean_tokens
        } else {
            0.0
        };
        self.slope = if spread > 0.0 {
            ((covariance + assumed) / spread).clamp(0.0, steepest)
        } else {
            0.0
        };
        self.base = mean_elapsed - self.slope * mean_tokens;
    }

    /// The mean number of tokens lately; 0 before the first sample.
    pub fn mean_tokens(&self) -> f64 {
        if self.is_measured() {
            self.tokens / self.weight
        } else {
            0.0
        }
    }

    /// Whether anything was measured.
    pub fn is_measured(&self) -> bool {
        self.weight > 0.0
    }

    /// Whether enough was measured to go by.
    pub fn is_known(&self) -> bool {
        self.weight >= MIN_SAMPLES_FOR_OUTLIERS / 2.0
    }

    /// The usual time for so many tokens, in microseconds. With no sample yet only the ratio between two
    /// sizes means anything: time grows with the tokens, and the fixed part is like that of a thousand.
    pub fn usual(&self, tokens: f64) -> f64 {
        if !self.is_measured() {
            return 1_000.0 + tokens;
        }
        (self.base + self.slope * tokens).max(1.0)
    }

    /// The time of the quickest answer of all, in microseconds: what every answer takes, whatever its size.
    pub fn minimum(&self) -> f64 {
        self.minimum.unwrap_or(0.0)
    }

    /// The share of the time for so many tokens that is spared where only `left` of them are to be done, waits apart.
    pub fn saved_share(&self, tokens: u32, left: u32) -> f64 {
        let saved = f64::from(tokens.saturating_sub(left));
        let all = f64::from(tokens.max(1));
        match self.min_per_token {
            Some(each) if each > 0.0 => each * saved / (self.minimum() + each * all),
            _ => saved / all,
        }
    }

    /// Microseconds for each token.
    pub fn slope(&self) -> f64 {
        self.slope
    }

    /// The time for each token where nothing else was to be done, in microseconds: no wait counts in it.
    pub fn min_per_token(&self) -> f64 {
        self.min_per_token.unwrap_or(0.0)
    }
}
