//! A token budget for extra load.

/// Tokens that one ordinary part earns: the extra load stays under this fraction.
const EARNED: f64 = 0.045;

/// Most tokens that can be saved up, so that a quiet hour does not pay for a storm.
const MOST: f64 = 40.0;

/// Tokens at the start.
const FIRST: f64 = 4.0;

/// Tokens for parts beyond one per shard.
#[derive(Clone, Debug)]
pub struct TokenBudget {
    tokens: f64,
    limited: bool,
}

impl Default for TokenBudget {
    fn default() -> Self {
        Self { tokens: FIRST, limited: true }
    }
}

impl TokenBudget {
    /// Returns a budget that never says no, for a part of an experiment.
    pub fn unlimited() -> Self {
        Self { tokens: FIRST, limited: false }
    }

    /// Earns for one ordinary part.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + EARNED).min(MOST);
    }

    /// Spends a token for one extra part; returns whether there was one.
    pub fn spend(&mut self) -> bool {
        self.spend_above(0.0)
    }

    /// Spends a token, but only while more than `reserve` of the most tokens stay, so that
    /// lesser uses leave some to hedges.
    pub fn spend_above(&mut self, reserve: f64) -> bool {
        if !self.limited {
            return true;
        }
        if self.tokens < 1.0 + reserve * MOST {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Gives back a token whose part never reached an upstream.
    pub fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(MOST);
    }
}
