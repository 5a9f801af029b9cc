//! Keeps quarantines of requests and prompt parts in the platform's store.

use std::sync;
use std::time;

use coltsfoot_gateway::quarantine_archive;
use coltsfoot_gateway::quarantine_archive::{ArchiveSubject, ArchiveTime, ArchiveWrite};
use coltsfoot_types::time as instant;
use coltsfoot_wire::fleet::TopicPosition;
use coltsfoot_wire::once::QuarantineRecord;
use site_platform::store;

use crate::gateway::{crashes, parts, state};
use crate::{clock, event};

/// Keyed topic with a record per quarantined or suspected request and per quarantined prompt part.
const QUARANTINE_TOPIC: &str = "keyed.coltsfoot-quarantines";
/// Interval between checks whether an update is due.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Interval between checks whether a request may be forwarded right after a start.
const START_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(10);
/// Maximum jitter of an update by an instance that was told of a crash.
const MAX_JITTER: time::Duration = time::Duration::from_millis(400);

/// Waits until the quarantines have been read after a start, or could not be in time. Without a configuration
/// a request is refused anyway, so that it does not wait.
pub(crate) async fn wait_until_open(state: &state::GatewayState) {
    while state.routes.load().is_some() && !state.archive().is_open(state.now()) {
        async_io::Timer::after(START_CHECK_INTERVAL).await;
    }
}

/// Schedules the record of a suspicion or quarantine, found out here if `is_own`.
pub(super) fn update(state: &state::GatewayState, subject: ArchiveSubject, is_own: bool) {
    if let Some(due) = update_time(state, subject, is_own) {
        state.archive().update(due, subject);
    }
}

/// Schedules the deletion of a record after a completed run, seen here if `is_own`.
pub(super) fn clear(state: &state::GatewayState, subject: ArchiveSubject, is_own: bool) {
    if let Some(due) = update_time(state, subject, is_own) {
        state.archive().clear(due, subject);
    }
}

/// Returns when this instance updates a record: at once if it has the news itself, later if it is one of those
/// that check whether another one has; `None` if it is not.
fn update_time(
    state: &state::GatewayState,
    subject: ArchiveSubject,
    is_own: bool,
) -> Option<instant::MonotonicTime> {
    if is_own {
        return Some(state.now());
    }
    let is_collector = state.view().is_collector(state.incarnation, subject.number());
    let delay = quarantine_archive::BACKUP_DELAY + MAX_JITTER.mul_f64(rand::random());
    is_collector.then(|| state.now() + delay)
}

/// Reads the records at the start and after a restore of the store, and writes those that are due; never
/// returns.
pub(crate) async fn maintain(state: sync::Arc<state::GatewayState>) {
    loop {
        if state.archive().needs_read(state.now(), state.store.era())
            && let Err(error) = synchronize(&state).await
        {
            state.archive().read_failed(state.now());
            log::warn!(
                event = event::LOG_UNREACHABLE.number, topic = QUARANTINE_TOPIC;
                "could not read or record quarantines, retrying: {error}"
            );
        }
        async_io::Timer::after(CHECK_INTERVAL).await;
    }
}

async fn synchronize(state: &state::GatewayState) -> Result<(), store::StoreError> {
    let (stored, end) = read_records(state).await?;
    for record in &stored {
        if state.archive().is_valid(record) {
            merge(state, record);
        }
    }
    if state.archive().records_read(end.era) {
        update_all(state);
    }
    let writes = {
        let crashes = state.crashes.ledger();
        let parts = state.part_ledger();
        state.archive().plan(archive_time(state), &stored, &crashes, &parts)
    };
    write(state, writes, end).await
}

async fn read_records(
    state: &state::GatewayState,
) -> Result<(Vec<QuarantineRecord>, TopicPosition), store::StoreError> {
    let newest = match state.store.read_latest(QUARANTINE_TOPIC).await {
        // The topic is created with its first record.
        Err(store::StoreError::Refused(404)) => {
            return Ok((Vec::new(), TopicPosition { era: state.store.era(), offset: 0 }));
        }
        newest => newest?,
    };
    let values = newest.records.iter().filter_map(|record| record.value.as_deref());
    let decoded = values.filter_map(|value| {
        let decoded = QuarantineRecord::decode(value);
        decoded
            .inspect_err(|error| {
                log::warn!(
                    event = event::ENTRY_REJECTED.number, topic = QUARANTINE_TOPIC;
                    "entry_rejected: {error}"
                );
            })
            .ok()
    });
    Ok((decoded.collect(), newest.next))
}

fn merge(state: &state::GatewayState, record: &QuarantineRecord) {
    let at = archive_time(state);
    if let Some(notice) = quarantine_archive::to_notice(at, record) {
        crashes::adopt(state, &notice);
    }
    if let Some(listed) = quarantine_archive::to_quarantined_part(at, record) {
        parts::adopt(state, listed);
    }
}

/// Schedules checks of all that is known, which a store restored from an older copy may lack.
fn update_all(state: &state::GatewayState) {
    let now = state.now();
    let requests = state.crashes.ledger().shared_digests(now);
    let parts: Vec<_> = state.part_ledger().quarantined(now).map(|listed| listed.part).collect();
    let subjects = requests.into_iter().map(ArchiveSubject::Request);
    for subject in subjects.chain(parts.into_iter().map(ArchiveSubject::Part)) {
        update(state, subject, false);
    }
}

/// Writes records one after the other. After a failure, for example as another instance has written since the
/// read, the rest is planned again.
async fn write(
    state: &state::GatewayState,
    writes: Vec<ArchiveWrite>,
    mut end: TopicPosition,
) -> Result<(), store::StoreError> {
    let mut result = Ok(());
    for write in &writes {
        if result.is_ok() {
            match write_one(state, write, end).await {
                Ok(next) => {
                    end = next;
                    continue;
                }
                Err(error) => result = Err(error),
            }
        }
        state.archive().write_failed(state.now(), write);
    }
    result
}

async fn write_one(
    state: &state::GatewayState,
    write: &ArchiveWrite,
    end: TopicPosition,
) -> Result<TopicPosition, store::StoreError> {
    let value = match &write.record {
        Some(record) => record.encode().map_err(|_| store::StoreError::Malformed("record"))?,
        None => Vec::new(),
    };
    let key = write.subject.to_string();
    let next = state.store.put_at(QUARANTINE_TOPIC, &key, &value, end.offset).await?;
    log::info!(
        event = event::QUARANTINE_RECORDED.number, subject = key, deleted = value.is_empty(),
        offset = end.offset; "quarantine_recorded"
    );
    Ok(next)
}

fn archive_time(state: &state::GatewayState) -> ArchiveTime {
    ArchiveTime { now: state.now(), unix_ms: clock::wall_time().0 }
}
