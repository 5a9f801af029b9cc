//! Budget of retries as a share of the traffic, so that failures don't multiply the load.

/// Thousandths of a retry in one.
const MILLI: u64 = 1000;

/// Settings of a budget.
#[derive(Clone, Copy, Debug)]
pub struct RetrySettings {
    /// Retries earned per request, in thousandths.
    pub share_permille: u64,
    /// Most retries that can be saved up.
    pub reserve: u64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self { share_permille: 100, reserve: 20 }
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
    /// Creates a budget with a full reserve.
    pub fn new(settings: RetrySettings) -> Self {
        Self { settings, balance_milli: settings.reserve * MILLI }
    }

    /// Earns the share of one request.
    pub fn deposit(&mut self) {
        let limit = self.settings.reserve * MILLI;
        self.balance_milli = (self.balance_milli + self.settings.share_permille).min(limit);
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
