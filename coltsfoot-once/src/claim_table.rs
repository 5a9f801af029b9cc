//! Claims by key, built from the claims stream: the claim with the lowest offset wins.

use std::collections;

use coltsfoot_types::id;
use coltsfoot_wire::once;
use smallvec::SmallVec;

use crate::key_window;

/// Claims and outcome of a key.
#[derive(Clone, Debug)]
struct KeyState {
    winner: once::ClaimId,
    digest: once::RequestDigest,
    outcome: Option<once::CallOutcome>,
    losers: SmallVec<[once::ClaimId; 1]>,
}

/// A page of the claims stream, as read from the log.
#[derive(Clone, Debug, Default)]
pub struct ClaimPage {
    /// Offset of the oldest retained record.
    pub start_offset: id::LogOffset,
    /// Offset of the next append.
    pub end_offset: id::LogOffset,
    /// Consecutive records from the requested offset, or from `start_offset` if that is higher.
    pub records: Vec<once::ClaimRecord>,
    /// Wall-clock time of the read at the reader, in milliseconds since the Unix epoch.
    pub read_at_ms: u64,
}

/// Claims of all keys in their window; the same at each instance that has applied the same offsets.
#[derive(Clone, Debug)]
pub struct ClaimTable {
    window: key_window::KeyWindow,
    next: id::LogOffset,
    /// Time from which all claims are known; `None` if no record was ever skipped.
    complete_since_ms: Option<u64>,
    last_timestamp_ms: u64,
    keys: collections::BTreeMap<once::IdempotencyKey, KeyState>,
    expired: collections::BTreeMap<once::ClaimId, u64>,
}

impl ClaimTable {
    /// Creates an empty table that starts at offset 0.
    pub fn new(window: key_window::KeyWindow) -> Self {
        Self {
            window,
            next: id::LogOffset(0),
            complete_since_ms: None,
            last_timestamp_ms: 0,
            keys: collections::BTreeMap::new(),
            expired: collections::BTreeMap::new(),
        }
    }

    /// Returns the offset from which to read next.
    pub fn next_offset(&self) -> id::LogOffset {
        self.next
    }

    /// Returns the number of keys in the table.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether the table has no keys.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Applies a page. Records below the next offset are skipped.
    pub fn apply(&mut self, page: &ClaimPage) {
        if page.start_offset > self.next {
            self.complete_since_ms = Some(self.oldest_complete_ms(page));
            self.next = page.start_offset;
        }
        for record in &page.records {
            if record.offset < self.next {
                continue;
            }
            assert_eq!(record.offset, self.next, "a page of the claims stream has a gap");
            self.apply_record(record);
            self.next = record.offset.next();
        }
        self.evict_expired();
    }

    /// Returns an upper bound on the timestamps of records that the log has trimmed.
    fn oldest_complete_ms(&self, page: &ClaimPage) -> u64 {
        let kept_for = self.window.retention.saturating_sub(self.window.max_clock_skew);
        let oldest_kept_ms = page.read_at_ms.saturating_sub(kept_for.as_millis() as u64);
        let first = page.records.first().map(|record| record.timestamp_ms);
        first.map_or(oldest_kept_ms, |first_ms| first_ms.min(oldest_kept_ms))
    }

    fn apply_record(&mut self, record: &once::ClaimRecord) {
        self.last_timestamp_ms = self.last_timestamp_ms.max(record.timestamp_ms);
        for entry in &record.batch.entries {
            match entry {
                once::OnceEntry::Claim(claim) => self.apply_claim(claim, record.timestamp_ms),
                once::OnceEntry::Outcome(outcome) => self.apply_outcome(outcome),
            }
        }
    }

    fn apply_claim(&mut self, claim: &once::ClaimEntry, timestamp_ms: u64) {
        if let Some(state) = self.keys.get_mut(&claim.key) {
            let is_known = state.winner == claim.claim || state.losers.contains(&claim.claim);
            if !is_known {
                state.losers.push(claim.claim);
            }
            return;
        }
        if self.window.check(claim.key, timestamp_ms).is_err() {
            self.expired.insert(claim.claim, timestamp_ms);
            return;
        }
        let state = KeyState {
            winner: claim.claim,
            digest: claim.digest,
            outcome: None,
            losers: SmallVec::new(),
        };
        self.keys.insert(claim.key, state);
    }

    fn apply_outcome(&mut self, entry: &once::OutcomeEntry) {
        let Some(state) = self.keys.get_mut(&entry.key) else { return };
        if state.winner == entry.claim && state.outcome.is_none() {
            state.outcome = Some(entry.outcome.clone());
        }
    }

    /// Returns whether the claim was read back from the log.
    pub fn has_read(&self, claim: &once::ClaimEntry) -> bool {
        let is_known =
            |state: &KeyState| state.winner == claim.claim || state.losers.contains(&claim.claim);
        self.keys.get(&claim.key).is_some_and(is_known) || self.expired.contains_key(&claim.claim)
    }

    /// Returns whether the outcome was read back or no longer matters.
    pub fn has_outcome(&self, entry: &once::OutcomeEntry) -> bool {
        match self.keys.get(&entry.key) {
            Some(state) => state.winner != entry.claim || state.outcome.is_some(),
            None => self.may_be_trimmed(entry.key),
        }
    }

    /// Returns the verdict on a claim that may not be in the log yet, if another claim holds its
    /// key.
    pub fn competing_verdict(&self, claim: &once::ClaimEntry) -> Option<once::ClaimVerdict> {
        let state = self.keys.get(&claim.key)?;
        (state.winner != claim.claim).then(|| self.verdict_of(state, claim))
    }

    /// Returns the verdict on a claim; `None` if it was not read back yet.
    pub fn verdict(&self, claim: &once::ClaimEntry) -> Option<once::ClaimVerdict> {
        if let Some(state) = self.keys.get(&claim.key) {
            let is_read = state.winner == claim.claim || state.losers.contains(&claim.claim);
            return is_read.then(|| self.verdict_of(state, claim));
        }
        self.expired.contains_key(&claim.claim).then_some(once::ClaimVerdict::Expired)
    }

    fn verdict_of(&self, state: &KeyState, claim: &once::ClaimEntry) -> once::ClaimVerdict {
        if state.digest != claim.digest {
            return once::ClaimVerdict::OtherRequest;
        }
        if let Some(outcome) = &state.outcome {
            return once::ClaimVerdict::Ended(outcome.clone());
        }
        if state.winner != claim.claim {
            return once::ClaimVerdict::Claimed;
        }
        if self.may_be_trimmed(claim.key) {
            return once::ClaimVerdict::Forgotten;
        }
        once::ClaimVerdict::Won
    }

    /// Returns whether the log may have trimmed claims of the key.
    fn may_be_trimmed(&self, key: once::IdempotencyKey) -> bool {
        let earliest_ms = self.window.earliest_ms(key);
        self.complete_since_ms.is_some_and(|since_ms| since_ms > earliest_ms)
    }

    /// Evicts keys whose window has passed, so that no later record can claim them.
    fn evict_expired(&mut self) {
        let now_ms = self.last_timestamp_ms;
        let keep_for = self.window.max_age + 4 * self.window.max_clock_skew;
        let keep_ms = keep_for.as_millis() as u64;
        self.keys.retain(|key, _| key_window::created_ms(*key) + keep_ms > now_ms);
        self.expired.retain(|_, timestamp_ms| *timestamp_ms + keep_ms > now_ms);
    }
}
