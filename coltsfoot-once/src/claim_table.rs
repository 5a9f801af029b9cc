//! Fold of the claims stream: the lowest offset of a key wins.

use std::collections;

use coltsfoot_types::id;
use coltsfoot_wire::once;
use smallvec::SmallVec;

use crate::key_window;

/// What is known of a key.
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
    /// Offset of the oldest record that the log retains.
    pub start_offset: id::LogOffset,
    /// Offset that the next append will get.
    pub end_offset: id::LogOffset,
    /// Consecutive records, from the wanted offset or `start_offset` on.
    pub records: Vec<once::ClaimRecord>,
    /// Time of the read by the reader's wall clock, in milliseconds since the Unix epoch.
    pub read_at_ms: u64,
}

/// State of all keys in their window, the same at each instance that has folded as far.
#[derive(Clone, Debug)]
pub struct ClaimTable {
    window: key_window::KeyWindow,
    next: id::LogOffset,
    /// Claims from this time on are all known; from ever on if none.
    complete_since_ms: Option<u64>,
    last_timestamp_ms: u64,
    keys: collections::BTreeMap<once::IdempotencyKey, KeyState>,
    expired: collections::BTreeMap<once::ClaimId, u64>,
}

impl ClaimTable {
    /// Creates a fold that has read nothing.
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

    /// Returns the offset to read from.
    pub fn next_offset(&self) -> id::LogOffset {
        self.next
    }

    /// Returns the number of keys that are remembered.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Folds a page. Records below the next offset are skipped.
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

    /// Returns a time that no forgotten record can be younger than.
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

    /// Returns whether the claim has been read back.
    pub fn has_read(&self, claim: &once::ClaimEntry) -> bool {
        let is_known =
            |state: &KeyState| state.winner == claim.claim || state.losers.contains(&claim.claim);
        self.keys.get(&claim.key).is_some_and(is_known) || self.expired.contains_key(&claim.claim)
    }

    /// Returns whether the outcome has been read back, or can't matter any more.
    pub fn has_outcome(&self, entry: &once::OutcomeEntry) -> bool {
        match self.keys.get(&entry.key) {
            Some(state) => state.winner != entry.claim || state.outcome.is_some(),
            None => self.may_be_trimmed(entry.key),
        }
    }

    /// Returns what is known of a key without a claim of one's own, if another claim holds it.
    pub fn competing_verdict(&self, claim: &once::ClaimEntry) -> Option<once::ClaimVerdict> {
        let state = self.keys.get(&claim.key)?;
        (state.winner != claim.claim).then(|| self.verdict_of(state, claim))
    }

    /// Returns what became of a claim that has been read back, none if it has not been.
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

    /// Returns whether the log may have forgotten claims of the key.
    fn may_be_trimmed(&self, key: once::IdempotencyKey) -> bool {
        let earliest_ms = self.window.earliest_ms(key);
        self.complete_since_ms.is_some_and(|since_ms| since_ms > earliest_ms)
    }

    /// Forgets keys whose window has passed: no record to come can claim them.
    fn evict_expired(&mut self) {
        let now_ms = self.last_timestamp_ms;
        let keep_for = self.window.max_age + 4 * self.window.max_clock_skew;
        let keep_ms = keep_for.as_millis() as u64;
        self.keys.retain(|key, _| key_window::created_ms(*key) + keep_ms > now_ms);
        self.expired.retain(|_, timestamp_ms| *timestamp_ms + keep_ms > now_ms);
    }
}
