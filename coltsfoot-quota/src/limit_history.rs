//! Limits of a customer while a configuration change propagates.

use std::collections;

use coltsfoot_types::{id, name, time as clock};

use crate::session;
use crate::token_bucket;

/// Fleet-wide rate and burst of a customer and their division among zones.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CustomerLimits {
    /// Rate and burst of all instances together.
    pub total: token_bucket::BucketLimits,
    /// Part of each zone in thousandths, which sum to 1,000.
    pub zone_permille: collections::BTreeMap<name::ZoneName, u16>,
}

impl CustomerLimits {
    /// Returns the limits of a zone, zero for an unlisted one.
    pub fn zone(&self, zone: &name::ZoneName) -> token_bucket::BucketLimits {
        self.total.scaled(self.zone_permille.get(zone).copied().unwrap_or(0))
    }
}

#[derive(Clone, Debug)]
struct LimitVersion {
    offset: id::LogOffset,
    limits: CustomerLimits,
}

/// Versions of a customer's limits that some instance may still enforce.
#[derive(Clone, Debug, Default)]
pub struct LimitHistory {
    versions: Vec<LimitVersion>,
    /// Offset below which versions are dropped, and the instant at which that happens.
    pending_drop: Option<(id::LogOffset, clock::MonotonicTime)>,
}

impl LimitHistory {
    /// Adds a version; ignored if its offset is not newer than the last. Absent limits remove the
    /// customer and count as zero.
    pub fn push(&mut self, offset: id::LogOffset, limits: Option<CustomerLimits>) {
        if self.versions.last().is_some_and(|last| last.offset >= offset) {
            return;
        }
        self.versions.push(LimitVersion { offset, limits: limits.unwrap_or_default() });
    }

    /// Records that every instance has applied the log up to `offset`. Older versions are dropped
    /// once the grants that they allowed have expired.
    pub fn mark_applied(&mut self, now: clock::MonotonicTime, offset: id::LogOffset) {
        self.refresh(now);
        let newest = self.versions.iter().rev().find(|version| version.offset <= offset);
        let Some(newest) = newest.map(|version| version.offset) else {
            return;
        };
        let known = self.pending_drop.is_some_and(|(pending_drop, _)| pending_drop >= newest);
        if !known && self.versions[0].offset < newest {
            self.pending_drop =
                Some((newest, now + session::GRANT_LIFETIME + session::CLOCK_DRIFT_MARGIN));
        }
    }

    /// Drops superseded versions whose grants have expired.
    pub fn refresh(&mut self, now: clock::MonotonicTime) {
        if let Some((offset, at)) = self.pending_drop
            && now >= at
        {
            self.versions.retain(|version| version.offset >= offset);
            self.pending_drop = None;
        }
    }

    /// Returns the newest limits, which may not be in force everywhere.
    pub fn newest(&self) -> Option<&CustomerLimits> {
        self.versions.last().map(|version| &version.limits)
    }

    /// Returns the minimum rate and burst of a zone over all versions that may still be enforced.
    pub fn zone(&self, zone: &name::ZoneName) -> token_bucket::BucketLimits {
        let limits = self.versions.iter().map(|version| version.limits.zone(zone));
        limits.reduce(token_bucket::BucketLimits::min).unwrap_or_default()
    }
}
