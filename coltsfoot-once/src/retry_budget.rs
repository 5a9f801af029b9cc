//! Budget of retries as a share of the traffic, so that failures don't multiply the load.

/// Thousandths of a retry in one.
const MILLI: u64 = 1000;

/// Settings of a budget.
#[derive(Clone, Copy, Debug)]
pub struct RetrySettings {
    /// Retries earned per request, in thousandths.
    pub ratio_permille: u64,
    /// Most retries that can be saved up.
    pub max_saved_retries: u64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self { ratio_permille: 100, max_saved_retries: 20 }
    }
}

/// Counts the retries that the traffic has earned. One per instance; all instances together stay
/// within the same share of the fleet's traffic.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    balance_milli: u64,
}

impl RetryBudget {
    /// Creates a budget with a full max_saved_retries.
    pub fn new(settings: RetrySettings) -> Self {
        Self { settings, balance_milli: settings.max_saved_retries * MILLI }
    }

    /// Earns the share of one request.
    pub fn deposit(&mut self) {
        let limit = self.settings.max_saved_retries * MILLI;
        self.balance_milli = (self.balance_milli + self.settings.ratio_permille).min(limit);
    }

    /// Returns whether a retry is left.
    pub fn has_retry(&self) -> bool {
        self.balance_milli >= MILLI
    }

    /// Takes one retry; returns false if none is left.
    pub fn withdraw(&mut self) -> bool {
        let Some(balance) = self.balance_milli.checked_sub(MILLI) else { return false };
        self.balance_milli = balance;
        true
    }
}
