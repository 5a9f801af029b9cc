//! The owner's state of one customer's bucket in one zone.

use std::collections;
use std::time;

use coltsfoot_types::{name, time as clock};
use coltsfoot_wire::quota;

use crate::demand_meter;
use crate::event;
use crate::loan_table;
use crate::pending_list;
use crate::reservation_list;
use crate::session;
use crate::token_bucket;

/// Time constant of the spending estimate.
const SPENDING_DECAY_TIME: time::Duration = time::Duration::from_secs(4);
/// Fill level above which holders report spending early, in thousandths of the burst.
const NEARLY_FULL_PERMILLE: u16 = 700;

/// Identifies a holder of granted tokens.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct HolderKey {
    pub(crate) instance: name::InstanceName,
    pub(crate) role: quota::HolderRole,
}

/// The owner's side of a session and the requests that wait at the holder.
#[derive(Clone, Debug)]
pub(crate) struct HolderState {
    pub(crate) lender: session::LenderSession,
    pub(crate) pending: pending_list::PendingList,
    /// Whether an update has to be sent to the holder.
    pub(crate) needs_update: bool,
}

/// Grants of an earlier owner that may still be spent.
#[derive(Clone, Copy, Debug)]
struct LegacyGrants {
    tokens: u64,
    until: clock::MonotonicTime,
}

/// A share of the zone's limits that takes effect at an instant.
#[derive(Clone, Copy, Debug)]
struct PendingShare {
    permille: u16,
    from: clock::MonotonicTime,
}

/// The bucket of one customer in one zone.
#[derive(Clone, Debug)]
pub(crate) struct ZoneBucket {
    pub(crate) term: event::OwnershipTerm,
    /// Instant from which tokens accrue, when all grants of earlier owners have expired.
    starts_at: clock::MonotonicTime,
    share_permille: u16,
    pending_share: Option<PendingShare>,
    limits: token_bucket::BucketLimits,
    pub(crate) bucket: token_bucket::TokenBucket,
    legacy: Option<LegacyGrants>,
    pub(crate) holders: collections::BTreeMap<HolderKey, HolderState>,
    pub(crate) loans: loan_table::LoanTable,
    pub(crate) reservations: reservation_list::ReservationList,
    /// Cumulative refunds per instance that have been credited.
    refunds: collections::BTreeMap<name::InstanceName, u64>,
    spending: demand_meter::DemandMeter,
}

impl ZoneBucket {
    /// Creates the empty bucket of a new owner.
    pub(crate) fn new(term: event::OwnershipTerm) -> Self {
        let starts_at = term.active_from + session::GRANT_LIFETIME + session::CLOCK_DRIFT_MARGIN;
        let limits = token_bucket::BucketLimits::default();
        Self {
            term,
            starts_at,
            share_permille: term.share_permille,
            pending_share: None,
            limits,
            bucket: token_bucket::TokenBucket::new(limits, starts_at),
            legacy: None,
            holders: collections::BTreeMap::new(),
            loans: loan_table::LoanTable::default(),
            reservations: reservation_list::ReservationList::default(),
            refunds: collections::BTreeMap::new(),
            spending: demand_meter::DemandMeter::new(SPENDING_DECAY_TIME),
        }
    }

    /// Returns whether the owner may grant, provided that its lease is valid.
    pub(crate) fn has_started(&self, now: clock::MonotonicTime) -> bool {
        now >= self.starts_at
    }

    /// Applies another term of the same owner. A smaller share takes effect at once, a larger one
    /// after the grants of the other part of the zone have expired.
    pub(crate) fn change_term(&mut self, term: event::OwnershipTerm) {
        self.term = term;
        self.pending_share = None;
        if term.share_permille <= self.share_permille {
            self.share_permille = term.share_permille;
            return;
        }
        let from = term.active_from + session::GRANT_LIFETIME + session::CLOCK_DRIFT_MARGIN;
        self.pending_share = Some(PendingShare { permille: term.share_permille, from });
    }

    /// Continues with the state that the former owner handed over; only once per term and only
    /// before the bucket started empty.
    pub(crate) fn take_over(
        &mut self,
        now: clock::MonotonicTime,
        handover: &quota::BucketHandover,
    ) {
        if handover.view != self.term.view || self.has_started(now) {
            return;
        }
        self.starts_at = now;
        self.bucket = token_bucket::TokenBucket::new(self.limits, now);
        let until = now + session::GRANT_LIFETIME + session::CLOCK_DRIFT_MARGIN;
        self.legacy = Some(LegacyGrants { tokens: handover.outstanding, until });
        self.bucket.refresh(now, self.effective_limits(), self.own_outstanding());
        self.bucket.add(handover.level);
    }

    /// Updates the bucket to `now`: limits, share, expired grants and accrued tokens.
    pub(crate) fn refresh(
        &mut self,
        now: clock::MonotonicTime,
        limits: token_bucket::BucketLimits,
    ) {
        self.limits = limits;
        if let Some(pending) = self.pending_share
            && now >= pending.from
        {
            self.share_permille = pending.permille;
            self.pending_share = None;
        }
        if self.legacy.is_some_and(|legacy| now >= legacy.until) {
            self.legacy = None;
        }
        self.expire_holders(now);
        self.loans.expire(now);
        self.reservations.expire(now);
        self.bucket.refresh(now, self.effective_limits(), self.own_outstanding());
    }

    /// Returns the zone's limits scaled to the owner's share.
    pub(crate) fn effective_limits(&self) -> token_bucket::BucketLimits {
        self.limits.scaled(self.share_permille)
    }

    /// Returns the own and borrowed tokens that can be granted to instances.
    pub(crate) fn available(&self, now: clock::MonotonicTime) -> u64 {
        self.bucket.level() + self.loans.available(now)
    }

    /// Returns the tokens that accrue between `now` and `until`.
    pub(crate) fn accrued_until(
        &self,
        now: clock::MonotonicTime,
        until: clock::MonotonicTime,
    ) -> u64 {
        let micros = until.since(now).as_micros();
        (micros * u128::from(self.bucket.limits().rate) / 1_000_000) as u64
    }

    /// Returns whether no grants of an earlier owner, which may include loans, can still be in use.
    pub(crate) fn can_borrow(&self) -> bool {
        self.legacy.is_none()
    }

    /// Returns the recent spending of the zone's instances in tokens per second.
    pub(crate) fn local_demand(&self, now: clock::MonotonicTime) -> u64 {
        self.spending.token_rate(now) as u64
    }

    /// Returns the tokens that the zone's instances want to hold.
    pub(crate) fn local_wanted(&self) -> u64 {
        self.local_sessions().map(|lender| lender.wanted).sum()
    }

    /// Returns the tokens that the zone's instances want to hold beyond those they hold.
    pub(crate) fn local_shortfall(&self) -> u64 {
        let shortfall =
            |lender: &session::LenderSession| lender.wanted.saturating_sub(lender.outstanding());
        self.local_sessions().map(shortfall).sum()
    }

    fn is_nearly_full(&self) -> bool {
        let occupied = self.bucket.level() + self.bucket.outstanding();
        occupied > self.effective_limits().scaled(NEARLY_FULL_PERMILLE).burst
    }

    /// Returns the tokens per second that accrue beyond the zone's demand; zero while there are
    /// reservations.
    fn spare_rate(&self, now: clock::MonotonicTime) -> u64 {
        if !self.reservations.is_empty() {
            return 0;
        }
        self.bucket.limits().rate.saturating_sub(self.local_demand(now))
    }

    fn local_sessions(&self) -> impl Iterator<Item = &session::LenderSession> {
        let local = self.holders.iter().filter(|(key, _)| key.role == quota::HolderRole::Instance);
        local.map(|(_, holder)| &holder.lender)
    }

    /// Grants tokens: borrowed ones first to an instance, since they expire; only own ones to a
    /// zone.
    pub(crate) fn grant(&mut self, now: clock::MonotonicTime, key: &HolderKey, tokens: u64) {
        let Some(holder) = self.holders.get_mut(key) else {
            return;
        };
        let borrowed = match key.role {
            quota::HolderRole::Instance => tokens.min(self.loans.available(now)),
            quota::HolderRole::Zone => 0,
        };
        self.loans.take(now, borrowed);
        self.bucket.take(tokens - borrowed);
        holder.lender.grant(tokens);
        holder.needs_update = true;
    }

    /// Applies a report and returns its holder's key; `None` if the report is not newer than the
    /// holder's last one.
    pub(crate) fn apply_report(
        &mut self,
        now: clock::MonotonicTime,
        sender: name::InstanceName,
        report: &quota::GrantReport,
        next_session: &mut u64,
    ) -> Option<HolderKey> {
        let key = HolderKey { instance: sender, role: report.role };
        if self.holders.get(&key).is_some_and(|held| held.lender.sequence >= report.sequence) {
            return None;
        }
        self.ensure_session(now, &key, report, next_session);
        let holder = self.holders.get_mut(&key)?;
        let delta = holder.lender.apply(now, report);
        holder.pending.replace(now, &report.requests);
        holder.needs_update |= report.expects_answer;
        self.record_spending(now, report.role, delta.spent);
        let own = self.loans.put_back(delta.returned);
        self.bucket.put_back(own);
        self.bucket.refresh(now, self.effective_limits(), self.own_outstanding());
        self.credit_refund(now, &key, report);
        Some(key)
    }

    fn record_spending(&mut self, now: clock::MonotonicTime, role: quota::HolderRole, tokens: u64) {
        self.loans.spend(tokens);
        if role == quota::HolderRole::Instance && tokens > 0 {
            self.spending.add(now, tokens);
        }
    }

    /// Credits the unused tokens of an instance's requests. An owner credits only the increase
    /// since the instance's first report to it, so that nothing is credited twice.
    fn credit_refund(
        &mut self,
        now: clock::MonotonicTime,
        key: &HolderKey,
        report: &quota::GrantReport,
    ) {
        if key.role != quota::HolderRole::Instance {
            return;
        }
        let seen = self.refunds.entry(key.instance.clone()).or_insert(report.refunded);
        let refunded = report.refunded.saturating_sub(*seen);
        *seen += refunded;
        if refunded > 0 {
            let age = time::Duration::from_millis(report.refund_age_ms.into());
            self.bucket.refund(now, now - age, refunded);
        }
    }

    /// Extends a holder's session and builds an update for it. An overdrawn bucket extends none, so
    /// that its grants expire.
    pub(crate) fn build_update(
        &mut self,
        now: clock::MonotonicTime,
        customer: &name::CustomerName,
        zone: &name::ZoneName,
        key: &HolderKey,
    ) -> Option<quota::GrantUpdate> {
        let overdrawn = self.own_outstanding() > self.effective_limits().burst;
        let until = now + session::GRANT_LIFETIME;
        let until = self.loans.valid_until().map_or(until, |valid| valid.min(until));
        let spare_rate = self.spare_rate(now);
        let is_nearly_full = self.is_nearly_full();
        let holder = self.holders.get_mut(key)?;
        holder.needs_update = false;
        if !overdrawn {
            holder.lender.extend(until);
        }
        let mut update = holder.lender.build_update(customer, zone, key.role);
        update.spare_rate = spare_rate;
        update.is_nearly_full = is_nearly_full;
        update.served = holder.pending.served().collect();
        update.refusals = holder.pending.refusals(now).collect();
        Some(update)
    }

    /// Returns the outstanding tokens of this bucket, those regranted from loans excluded.
    pub(crate) fn own_outstanding(&self) -> u64 {
        let granted = self.holders.values().map(|holder| holder.lender.outstanding()).sum::<u64>();
        let borrowed = self.loans.regranted();
        assert!(borrowed <= granted, "more borrowed tokens are regranted than granted");
        granted - borrowed + self.legacy.map_or(0, |legacy| legacy.tokens)
    }

    /// Opens a session unless the report continues the current one.
    fn ensure_session(
        &mut self,
        now: clock::MonotonicTime,
        key: &HolderKey,
        report: &quota::GrantReport,
        next_session: &mut u64,
    ) {
        let present = self.holders.get(key).map(|holder| &holder.lender);
        if present
            .is_some_and(|lender| !lender.acknowledged || report.session == Some(lender.number))
        {
            return;
        }
        // The holder's newest report names another session, so it holds no tokens of this one.
        self.close_session(key);
        *next_session += 1;
        let lender = session::LenderSession::new(*next_session, now);
        let pending = pending_list::PendingList::default();
        self.holders.insert(key.clone(), HolderState { lender, pending, needs_update: true });
    }

    fn close_session(&mut self, key: &HolderKey) {
        if let Some(holder) = self.holders.remove(key) {
            self.loans.spend(holder.lender.outstanding());
        }
    }

    fn expire_holders(&mut self, now: clock::MonotonicTime) {
        let expired = self.holders.iter().filter(|(_, holder)| holder.lender.is_expired(now));
        let expired = expired.map(|(key, _)| key.clone()).collect::<Vec<_>>();
        for key in &expired {
            self.close_session(key);
        }
    }
}
