//! The decisions by which an instance follows the configuration log.
//!
//! The follower polls the log, passes new records on to peers, fetches what it lacks from peers
//! while the log is out, writes snapshots when it is its turn, and knows how old its configuration
//! is. It does no I/O: it takes events and returns actions. Its offset never falls.

mod exchange;

use std::time;

use bon::bon;
use coltsfoot_types::{id, name, time::MonotonicTime};
use coltsfoot_wire::config;
use rand::{RngExt as _, SeedableRng as _, rngs};

use crate::{catch_up, feed, fold, gossip, schedule, snapshot, view};

/// Records read by one call; they are large where operators publish many objects at a time.
const PAGE_RECORDS: u32 = 32;
/// Index records read by one call.
const INDEX_PAGE_RECORDS: u32 = 500;
/// Time without an answer after which a call to the log counts as failed.
const LOG_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Time for which a starting instance relies on the log alone.
const PEER_RESTORE_DELAY: time::Duration = time::Duration::from_millis(300);
/// Time between two requests for a state while nothing is restored.
const RESTORE_PROBE_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Jitter of intervals, in thousandths to either side.
const JITTER_PERMILLE: u32 = 100;

/// When the configuration was known to be current: `age` before `at`.
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

/// A call to the log without an answer yet.
#[derive(Debug)]
struct PendingRead {
    stream: feed::LogStream,
    offset: id::LogOffset,
    sent_at: MonotonicTime,
}

/// The snapshot that this instance is writing.
#[derive(Debug)]
struct PendingWrite {
    writer: schedule::SnapshotWriter,
    /// When the values are appended again, unless an answer comes.
    retry_at: MonotonicTime,
}

/// Follows the configuration for one instance.
#[derive(Debug)]
pub struct ConfigFollower {
    instance: name::InstanceName,
    zone: name::ZoneName,
    poll_interval: time::Duration,
    rng: rngs::SmallRng,
    fold: fold::CatalogFold,
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
    /// Creates a follower that knows nothing yet.
    #[builder]
    pub fn new(
        /// Name of the instance.
        instance: name::InstanceName,
        /// Its zone.
        zone: name::ZoneName,
        /// Time for which the log keeps records.
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
            fold: fold::CatalogFold::new(),
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
    /// Returns the configuration for traffic threads.
    pub fn view(&self) -> view::CatalogView {
        self.fold.view()
    }

    /// Returns the fold.
    pub fn fold(&self) -> &fold::CatalogFold {
        &self.fold
    }

    /// Returns whether the configuration was current at some time since the start.
    pub fn is_ready(&self) -> bool {
        self.confirmation.is_some()
    }

    /// Returns the time since the configuration was known to be current, nothing before that.
    pub fn staleness(&self, now: MonotonicTime) -> Option<time::Duration> {
        self.confirmation.map(|confirmation| confirmation.staleness(now))
    }

    /// Returns when the next [`feed::FollowerEvent::Tick`] is due.
    pub fn next_wake(&self) -> MonotonicTime {
        let read_wake = self.pending_read.as_ref().map_or(self.poll_at, deadline_of_read);
        let write_wake = self.pending_write.as_ref().map(|write| write.retry_at);
        let wake = read_wake.min(self.probe_at);
        write_wake.map_or(wake, |write_wake| wake.min(write_wake))
    }

    /// Handles an event and returns what is to be done.
    pub fn handle(
        &mut self,
        now: MonotonicTime,
        event: feed::FollowerEvent,
    ) -> feed::FollowerActions {
        let mut actions = feed::FollowerActions::new();
        let before = self.fold.next_offset();
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
        let after = self.fold.next_offset();
        assert!(after >= before, "configuration fell from offset {before} to {after}");
        if after > before {
            actions.push(feed::FollowerAction::Publish);
        }
        actions
    }

    fn on_tick(&mut self, now: MonotonicTime, actions: &mut feed::FollowerActions) {
        self.offer.expire(now);
        if self.pending_read.as_ref().is_some_and(|read| now >= deadline_of_read(read)) {
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

    /// Reads what is due: the index of snapshots, or new records.
    fn poll(&mut self, now: MonotonicTime, actions: &mut feed::FollowerActions) {
        let looks = self.catch_up.is_some() || self.schedule.wants_look(now);
        if looks {
            let offset = match self.catch_up {
                Some(_) => id::LogOffset(0),
                None => self.schedule.next_index(),
            };
            self.read(now, feed::LogStream::SnapshotIndex, offset, INDEX_PAGE_RECORDS, actions);
        } else {
            self.read_records(now, actions);
        }
    }

    fn read_records(&mut self, now: MonotonicTime, actions: &mut feed::FollowerActions) {
        let offset = self.fold.next_offset();
        self.read(now, feed::LogStream::Config, offset, PAGE_RECORDS, actions);
    }

    fn read(
        &mut self,
        now: MonotonicTime,
        stream: feed::LogStream,
        offset: id::LogOffset,
        limit: u32,
        actions: &mut feed::FollowerActions,
    ) {
        self.pending_read = Some(PendingRead { stream, offset, sent_at: now });
        actions.push(feed::FollowerAction::ReadLog { stream, offset, limit });
    }

    fn on_log_read(
        &mut self,
        now: MonotonicTime,
        stream: feed::LogStream,
        offset: id::LogOffset,
        page: Option<feed::LogPage>,
        actions: &mut feed::FollowerActions,
    ) {
        let awaited = |read: &PendingRead| (read.stream, read.offset) == (stream, offset);
        let Some(read) = self.pending_read.take_if(|read| awaited(read)) else { return };
        let Some(page) = page else {
            self.on_log_failure(now);
            return;
        };
        self.log_failed = false;
        match stream {
            feed::LogStream::Config => self.on_records_page(now, read.sent_at, page, actions),
            feed::LogStream::SnapshotIndex => self.on_index_page(now, page, actions),
            feed::LogStream::SnapshotChunks => self.on_chunks_page(now, &page, actions),
        }
    }

    fn on_log_failure(&mut self, now: MonotonicTime) {
        self.pending_read = None;
        self.log_failed = true;
        self.poll_at = now + self.jittered(self.poll_interval);
        if self.catch_up.is_some() {
            self.catch_up = Some(catch_up::SnapshotCatchUp::default());
        }
        if !self.is_ready() {
            self.probe_at = self.probe_at.min(now);
        }
    }

    fn on_records_page(
        &mut self,
        now: MonotonicTime,
        sent_at: MonotonicTime,
        page: feed::LogPage,
        actions: &mut feed::FollowerActions,
    ) {
        self.poll_at = sent_at + self.jittered(self.poll_interval);
        if page.start_offset > self.fold.next_offset() {
            self.catch_up = Some(catch_up::SnapshotCatchUp::default());
            return;
        }
        let records = page.records.into_iter();
        let records = records
            .map(|record| config::ConfigRecord { offset: record.offset, value: record.value });
        let added = self.apply(records.collect(), actions).added;
        self.push_records(&added, None, actions);
        if self.fold.next_offset() >= page.end_offset {
            self.confirm(now, Confirmation { at: sent_at, age: time::Duration::ZERO });
        } else if !added.is_empty() {
            self.read_records(now, actions);
        }
    }

    fn on_index_page(
        &mut self,
        now: MonotonicTime,
        page: feed::LogPage,
        actions: &mut feed::FollowerActions,
    ) {
        let next_index = page.records.last().map_or(page.end_offset, |last| last.offset.next());
        for record in page.records {
            let Ok(index) = serde_json::from_str::<snapshot::SnapshotIndex>(&record.value) else {
                continue;
            };
            let age_ms = page.read_at.0.saturating_sub(record.appended_at.0);
            self.schedule.note_snapshot(now, time::Duration::from_millis(age_ms));
            if let Some(catch_up) = &mut self.catch_up {
                catch_up.add_candidate(index);
            }
        }
        if next_index < page.end_offset {
            let stream = feed::LogStream::SnapshotIndex;
            self.read(now, stream, next_index, INDEX_PAGE_RECORDS, actions);
            return;
        }
        self.schedule.note_look(now, next_index);
        self.continue_catch_up(now, actions);
    }

    fn on_chunks_page(
        &mut self,
        now: MonotonicTime,
        page: &feed::LogPage,
        actions: &mut feed::FollowerActions,
    ) {
        let restored = self.catch_up.as_mut().and_then(|catch_up| catch_up.add_page(page));
        if let Some(fold) = restored {
            self.replace_fold(fold);
        }
        self.continue_catch_up(now, actions);
    }

    /// Reads on in a snapshot, or the records if there is none above the own offset.
    fn continue_catch_up(&mut self, now: MonotonicTime, actions: &mut feed::FollowerActions) {
        let above = self.fold.next_offset();
        let next = self.catch_up.as_mut().and_then(|catch_up| catch_up.next_read(above));
        if let Some(next) = next {
            self.read(now, feed::LogStream::SnapshotChunks, next.offset, next.limit, actions);
            return;
        }
        self.catch_up = None;
        self.read_records(now, actions);
    }

    fn on_log_appended(
        &mut self,
        now: MonotonicTime,
        first_offset: Option<id::LogOffset>,
        actions: &mut feed::FollowerActions,
    ) {
        let Some(mut write) = self.pending_write.take() else { return };
        let Some(first_offset) = first_offset else {
            let retry_at = now + self.poll_interval;
            self.pending_write = Some(PendingWrite { retry_at, ..write });
            return;
        };
        let step = write.writer.on_appended(first_offset);
        self.write(now, write.writer, step, actions);
    }

    /// Appends values again whose answer has not come.
    fn retry_write(&mut self, now: MonotonicTime, actions: &mut feed::FollowerActions) {
        let is_due = |write: &mut PendingWrite| now >= write.retry_at;
        let Some(mut write) = self.pending_write.take_if(is_due) else { return };
        let step = write.writer.next();
        self.write(now, write.writer, step, actions);
    }

    /// Starts to write a snapshot if it is this instance's turn.
    fn start_snapshot(&mut self, now: MonotonicTime, actions: &mut feed::FollowerActions) {
        let idle = self.pending_write.is_none() && !self.log_failed && self.is_ready();
        let has_state = self.fold.next_offset() > id::LogOffset(0);
        if !idle || !has_state || !self.schedule.is_due(now, &self.instance, self.table.peers()) {
            return;
        }
        let Ok(encoded) = snapshot::encode(&self.fold) else { return };
        let mut writer = schedule::SnapshotWriter::new(&encoded);
        let step = writer.next();
        self.write(now, writer, step, actions);
    }

    fn write(
        &mut self,
        now: MonotonicTime,
        writer: schedule::SnapshotWriter,
        step: schedule::WriterStep,
        actions: &mut feed::FollowerActions,
    ) {
        match step {
            schedule::WriterStep::Append(stream, values) => {
                self.pending_write = Some(PendingWrite { writer, retry_at: now + LOG_TIMEOUT });
                actions.push(feed::FollowerAction::AppendLog { stream, values });
            }
            schedule::WriterStep::Finished => {
                self.schedule.note_snapshot(now, time::Duration::ZERO);
            }
            schedule::WriterStep::Failed => self.schedule.postpone(now),
        }
    }

    fn replace_fold(&mut self, fold: fold::CatalogFold) {
        if fold.next_offset() <= self.fold.next_offset() {
            return;
        }
        self.fold = fold;
        self.cache.clear();
    }

    /// Takes over the more recent of two confirmations.
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

fn deadline_of_read(read: &PendingRead) -> MonotonicTime {
    read.sent_at + LOG_TIMEOUT
}
