//! State machine that keeps an instance's replica of the configuration up to date.
//!
//! The follower polls the log, forwards new records to peers, fetches missing records from peers
//! while the log is unavailable, writes snapshots when it is its turn, and tracks the age of its
//! configuration. It does no I/O: it takes events and returns actions. Its offset never decreases.

mod exchange;
mod reading;
mod writing;

use std::time;

use bon::bon;
use coltsfoot_types::{id, name, time::MonotonicTime};
use rand::{RngExt as _, SeedableRng as _, rngs};

use crate::{catch_up, feed, gossip, replica, schedule, view};

/// Time without a response after which a call to the log counts as failed.
const LOG_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Time after the start during which an instance restores from the log only.
const PEER_RESTORE_DELAY: time::Duration = time::Duration::from_millis(300);
/// Time between two probes of peers until the configuration is restored.
const RESTORE_PROBE_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Jitter of intervals, in thousandths in each direction.
const JITTER_PERMILLE: u32 = 100;

/// The configuration was known to be current `age` before `at`.
#[derive(Clone, Copy, Debug)]
struct Confirmation {
    at: MonotonicTime,
    age: time::Duration,
}

impl Confirmation {
    fn staleness(&self, now: MonotonicTime) -> time::Duration {
        now.since(self.at) + self.age
    }
}

/// A read of the log that waits for its response.
#[derive(Debug)]
struct PendingRead {
    stream: feed::LogStream,
    offset: id::LogOffset,
    sent_at: MonotonicTime,
}

/// A snapshot that this instance is writing.
#[derive(Debug)]
struct PendingWrite {
    writer: schedule::SnapshotWriter,
    /// When the values are appended again, unless the append is confirmed before.
    retry_at: MonotonicTime,
}

/// Follows the configuration log for one instance.
#[derive(Debug)]
pub struct ConfigFollower {
    instance: name::InstanceName,
    zone: name::ZoneName,
    poll_interval: time::Duration,
    rng: rngs::SmallRng,
    replica: replica::CatalogReplica,
    confirmation: Option<Confirmation>,
    log_failed: bool,
    poll_at: MonotonicTime,
    probe_at: MonotonicTime,
    pending_read: Option<PendingRead>,
    pending_write: Option<PendingWrite>,
    catch_up: Option<catch_up::SnapshotCatchUp>,
    schedule: schedule::SnapshotSchedule,
    table: gossip::PeerTable,
    cache: gossip::RecordCache,
    offer: gossip::StateOffer,
    fetch: Option<gossip::StateFetch>,
}

#[bon]
impl ConfigFollower {
    /// Creates a follower with an empty replica.
    #[builder]
    pub fn new(
        /// Name of the instance.
        instance: name::InstanceName,
        /// Its zone.
        zone: name::ZoneName,
        /// Time for which the log retains records.
        log_retention: time::Duration,
        /// Time between two polls of the log, and between two probes of peers.
        #[builder(default = time::Duration::from_secs(1))]
        poll_interval: time::Duration,
        /// Seed of jitter and of the choice of peers.
        seed: u64,
        /// The current time.
        now: MonotonicTime,
    ) -> Self {
        Self {
            instance,
            zone,
            poll_interval,
            rng: rngs::SmallRng::seed_from_u64(seed),
            replica: replica::CatalogReplica::new(),
            confirmation: None,
            log_failed: false,
            poll_at: now,
            probe_at: now + PEER_RESTORE_DELAY,
            pending_read: None,
            pending_write: None,
            catch_up: Some(catch_up::SnapshotCatchUp::default()),
            schedule: schedule::SnapshotSchedule::new(log_retention),
            table: gossip::PeerTable::default(),
            cache: gossip::RecordCache::default(),
            offer: gossip::StateOffer::default(),
            fetch: None,
        }
    }
}

impl ConfigFollower {
    /// Returns an immutable view of the configuration for traffic threads.
    pub fn view(&self) -> view::CatalogView {
        self.replica.view()
    }

    /// Returns the replica of the configuration.
    pub fn replica(&self) -> &replica::CatalogReplica {
        &self.replica
    }

    /// Returns whether the configuration has been current at any time since the start.
    pub fn is_ready(&self) -> bool {
        self.confirmation.is_some()
    }

    /// Returns the time since the configuration was last known to be current, `None` if it never
    /// was.
    pub fn staleness(&self, now: MonotonicTime) -> Option<time::Duration> {
        self.confirmation.map(|confirmation| confirmation.staleness(now))
    }

    /// Returns when the next [`feed::FollowerEvent::Tick`] is due.
    pub fn next_wake(&self) -> MonotonicTime {
        let read_wake = self.pending_read.as_ref().map_or(self.poll_at, read_deadline);
        let write_wake = self.pending_write.as_ref().map(|write| write.retry_at);
        let wake = read_wake.min(self.probe_at);
        write_wake.map_or(wake, |write_wake| wake.min(write_wake))
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(
        &mut self,
        now: MonotonicTime,
        event: feed::FollowerEvent,
    ) -> feed::FollowerActions {
        let mut actions = feed::FollowerActions::new();
        let before = self.replica.next_offset();
        match event {
            feed::FollowerEvent::Tick => self.on_tick(now, &mut actions),
            feed::FollowerEvent::Peers(peers) => self.table.replace(peers, &self.instance),
            feed::FollowerEvent::LogRead { stream, offset, page } => {
                self.on_log_read(now, stream, offset, page, &mut actions);
            }
            feed::FollowerEvent::LogAppended { first_offset } => {
                self.on_log_appended(now, first_offset, &mut actions);
            }
            feed::FollowerEvent::Message { sender, message } => {
                self.on_message(now, sender, message, &mut actions);
            }
        }
        let after = self.replica.next_offset();
        assert!(after >= before, "configuration went back from offset {before} to {after}");
        if after > before {
            actions.push(feed::FollowerAction::Publish);
        }
        actions
    }

    fn on_tick(&mut self, now: MonotonicTime, actions: &mut feed::FollowerActions) {
        self.offer.expire(now);
        if self.pending_read.as_ref().is_some_and(|read| now >= read_deadline(read)) {
            self.on_log_failure(now);
        }
        self.retry_write(now, actions);
        if self.pending_read.is_none() && now >= self.poll_at {
            self.poll(now, actions);
        }
        if now >= self.probe_at {
            self.probe(now, actions);
        }
        self.start_snapshot(now, actions);
    }

    fn replace_replica(&mut self, replica: replica::CatalogReplica) {
        if replica.next_offset() <= self.replica.next_offset() {
            return;
        }
        self.replica = replica;
        self.cache.clear();
    }

    /// Adopts the confirmation if it is more recent than the known one.
    fn confirm(&mut self, now: MonotonicTime, confirmation: Confirmation) {
        let known = self.confirmation.map(|known| known.staleness(now));
        if known.is_none_or(|known| confirmation.staleness(now) < known) {
            self.confirmation = Some(confirmation);
        }
    }

    fn jittered(&mut self, interval: time::Duration) -> time::Duration {
        let permille = self.rng.random_range(1_000 - JITTER_PERMILLE..=1_000 + JITTER_PERMILLE);
        interval * permille / 1_000
    }
}

fn read_deadline(read: &PendingRead) -> MonotonicTime {
    read.sent_at + LOG_TIMEOUT
}
