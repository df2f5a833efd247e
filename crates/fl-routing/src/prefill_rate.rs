//! The rate at which servers prefill prompts.

/// Prefill rate assumed before the first observation, in tokens per millisecond.
const INITIAL_PREFILL_RATE: f64 = 50.0;
/// Number of observations over which the prefill rate is averaged.
const AVERAGED_OBSERVATIONS: u32 = 20;
/// Smallest prefill, in tokens, that is used as an observation. The duration of a shorter one says
/// little about the rate.
const MIN_OBSERVED_TOKENS: u64 = 5000;

/// The observed rate at which a server of mean pace prefills prompts while it generates tokens for
/// other calls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillRate {
    tokens_per_ms: f64,
    observations: u32,
}

impl Default for PrefillRate {
    fn default() -> Self {
        PrefillRate { tokens_per_ms: INITIAL_PREFILL_RATE, observations: 0 }
    }
}

impl PrefillRate {
    /// Records the time to the first token of a call and the number of tokens that were prefilled
    /// until then, which includes the prompts that were pending before it.
    ///
    /// The time is the one that a server of mean pace would take: the observed one times the pace.
    pub fn observe(&mut self, tokens: u64, first_token_ms: f64) {
        if tokens < MIN_OBSERVED_TOKENS || first_token_ms <= 0.0 {
            return;
        }
        let observed_rate = tokens as f64 / first_token_ms;
        // The first observations have equal weight; after that this is an exponential moving
        // average.
        self.observations = (self.observations + 1).min(AVERAGED_OBSERVATIONS);
        self.tokens_per_ms += (observed_rate - self.tokens_per_ms) / f64::from(self.observations);
    }

    /// Returns the rate in tokens per millisecond, or the assumed one before the first observation.
    pub fn tokens_per_ms(&self) -> f64 {
        self.tokens_per_ms
    }

    /// Returns the rate in tokens per millisecond, or `None` before the first observation.
    pub fn observed(&self) -> Option<f64> {
        (self.observations > 0).then_some(self.tokens_per_ms)
    }

    /// Returns the rate of a server of this pace.
    pub fn at_pace(&self, pace: f64) -> PrefillRate {
        PrefillRate { tokens_per_ms: self.tokens_per_ms * pace, ..*self }
    }

    /// Returns the time to prefill a number of tokens, in milliseconds.
    pub fn prefill_ms(&self, tokens: u64) -> f64 {
        tokens as f64 / self.tokens_per_ms.max(f64::MIN_POSITIVE)
    }
}
