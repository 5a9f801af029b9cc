//! Retry budget proportional to traffic, which limits load amplification during failures.

/// Thousandths per retry.
const MILLI: u64 = 1000;

/// Settings of a retry budget.
#[derive(Clone, Copy, Debug)]
pub struct RetrySettings {
    /// Retries earned per request, in thousandths.
    pub ratio_permille: u64,
    /// Maximum number of unused retries that accumulate.
    pub max_saved_retries: u64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self { ratio_permille: 100, max_saved_retries: 20 }
    }
}

/// Token bucket of retries, filled by requests. Each instance has its own; together they keep the
/// same ratio for the fleet's traffic.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    balance_milli: u64,
}

impl RetryBudget {
    /// Creates a budget with the maximum number of saved retries.
    pub fn new(settings: RetrySettings) -> Self {
        Self { settings, balance_milli: settings.max_saved_retries * MILLI }
    }

    /// Adds the share earned by one request.
    pub fn deposit(&mut self) {
        let limit = self.settings.max_saved_retries * MILLI;
        self.balance_milli = (self.balance_milli + self.settings.ratio_permille).min(limit);
    }

    /// Returns whether a retry is available.
    pub fn has_retry(&self) -> bool {
        self.balance_milli >= MILLI
    }

    /// Takes one retry; returns false if none is available.
    pub fn withdraw(&mut self) -> bool {
        let Some(balance) = self.balance_milli.checked_sub(MILLI) else { return false };
        self.balance_milli = balance;
        true
    }
}
