//! Attempt budget as a token bucket.

/// Tokens earned by the first attempt for a part. The ratio of extra attempts to first attempts
/// stays below it in the long run.
const EARNED_RATIO: f64 = 0.045;

/// Maximum number of tokens, so that a long time with few failures does not pay for a retry storm.
const MAX_TOKENS: f64 = 40.0;

/// Initial number of tokens.
const INITIAL_TOKENS: f64 = 4.0;

/// Budget for the extra attempts of a broker: hedges, warm-up copies, and retries of attempts that
/// may have run.
#[derive(Clone, Debug)]
pub struct TokenBudget {
    tokens: f64,
    limited: bool,
}

impl Default for TokenBudget {
    fn default() -> Self {
        Self { tokens: INITIAL_TOKENS, limited: true }
    }
}

impl TokenBudget {
    /// Creates a budget without a limit, for experiments.
    pub fn unlimited() -> Self {
        Self { tokens: INITIAL_TOKENS, limited: false }
    }

    /// Adds the tokens earned by the first attempt for a part.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + EARNED_RATIO).min(MAX_TOKENS);
    }

    /// Spends a token for one extra attempt; returns false if there is none.
    pub fn spend(&mut self) -> bool {
        self.spend_above(0.0)
    }

    /// Spends a token if at least the fraction `reserve_ratio` of the maximum stays, so that less
    /// important uses leave tokens to hedges; returns whether a token was spent.
    pub fn spend_above(&mut self, reserve_ratio: f64) -> bool {
        if !self.limited {
            return true;
        }
        if self.tokens < 1.0 + reserve_ratio * MAX_TOKENS {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the token of an attempt that its upstream has not run.
    pub fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(MAX_TOKENS);
    }
}
