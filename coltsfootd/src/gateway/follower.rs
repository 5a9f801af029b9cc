//! Follows two topics of the store: the operator's records and the upstreams' entries.

use std::sync;
use std::time;

use coltsfoot_gateway::topic_replica::KeyedRecord;
use coltsfoot_gateway::{peer_slot, reader_selection, retry_pace, topic_replica, upstream};
use coltsfoot_types::time as instant;
use coltsfoot_wire::fleet as wire;
use site_platform::{entry, rules, store};

use crate::event;
use crate::gateway::{cold, crashes, heartbeats, news, state};

/// Time that a long poll of the operator's records waits for new ones.
const OPERATOR_POLL_WAIT: time::Duration = time::Duration::from_millis(1000);
/// Interval between reads of the upstreams' entries. Well within the time in which a draining
/// upstream must stop receiving work.
const UPSTREAM_INTERVAL: time::Duration = time::Duration::from_millis(850);
/// Interval between looks for a topic that does not exist yet.
const MISSING_TOPIC_INTERVAL: time::Duration = time::Duration::from_millis(400);
/// Time since the last read beyond which the topic is read anew instead of the records since.
const MAX_INCREMENTAL_AGE: time::Duration = time::Duration::from_millis(2000);
/// Interval between checks of the readers' digests.
const DIGEST_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Read position and retry state of one topic.
struct TopicFollower {
    topic: &'static str,
    wait: time::Duration,
    /// Position to read from; `None` to begin with the newest record of each key.
    next: Option<wire::TopicPosition>,
    /// Era of the last read; `None` before the first one.
    era: Option<u64>,
    is_reachable: bool,
    /// Whether the topic may not exist yet. Before the operator's first record it counts as empty,
    /// not as an error that every instance retries.
    may_be_missing: bool,
    pace: retry_pace::RetryPace,
}

/// Records that a read brought and that are newer than those known.
struct TopicNews {
    records: Vec<KeyedRecord>,
    /// Time whose state of the topic the copy reflects at least.
    read_at: instant::MonotonicTime,
    /// Whether the store was restored from an older copy since the last read.
    is_restored: bool,
}

impl TopicFollower {
    fn new(topic: &'static str, wait: time::Duration) -> Self {
        let pace = retry_pace::RetryPace::default();
        let (is_reachable, may_be_missing) = (true, topic == store::OPERATOR_TOPIC);
        Self { topic, wait, next: None, era: None, is_reachable, may_be_missing, pace }
    }

    async fn read(
        &mut self,
        store: &store::StoreClient,
        replica: &sync::Mutex<topic_replica::TopicReplica>,
    ) -> Result<Vec<KeyedRecord>, store::StoreError> {
        let Some(from) = self.next else {
            let newest = match store.read_latest(self.topic).await {
                Err(store::StoreError::Refused(404)) if self.may_be_missing => {
                    async_io::Timer::after(MISSING_TOPIC_INTERVAL).await;
                    return Ok(Vec::new());
                }
                newest => newest?,
            };
            self.may_be_missing = false;
            self.era = Some(newest.next.era);
            self.next = Some(newest.next);
            log_unreadable(self.topic, newest.unreadable);
            return Ok(state::lock(replica).merge_snapshot(newest.records, newest.next));
        };
        let read = store.read(self.topic, from, self.wait).await?;
        self.next = Some(read.next);
        log_unreadable(self.topic, read.unreadable);
        Ok(state::lock(replica).merge_read(read.records, from, read.next))
    }

    /// Reads once and logs when the store becomes unreachable or reachable. After an error, returns
    /// `None` once the retry delay has passed.
    async fn poll(
        &mut self,
        state: &state::GatewayState,
        topic: wire::StoreTopic,
    ) -> Option<TopicNews> {
        let sent = state.now();
        let last_era = self.era;
        match self.read(&state.store, state.replica(topic)).await {
            Ok(records) => {
                self.pace.record_success();
                let is_restored = last_era.is_some() && self.era != last_era;
                if is_restored {
                    self.log_restored(last_era);
                }
                if !self.is_reachable {
                    self.is_reachable = true;
                    log::info!(event = event::LOG_REACHABLE.number, topic = self.topic; "log_reachable");
                }
                // The store answers a read once it has records or the wait is over; a response may
                // be late by any time after that.
                let read_at = state.now().min(sent + self.wait);
                Some(TopicNews { records, read_at, is_restored })
            }
            Err(store::StoreError::Restored(_)) => {
                self.next = None;
                None
            }
            Err(store::StoreError::Trimmed(_)) => {
                log::info!(event = event::HISTORY_TRIMMED.number, topic = self.topic; "history_trimmed");
                self.next = None;
                None
            }
            Err(error) => {
                if self.is_reachable {
                    self.is_reachable = false;
                    log::warn!(
                        event = event::LOG_UNREACHABLE.number, topic = self.topic;
                        "log_unreachable: {error}"
                    );
                }
                async_io::Timer::after(self.pace.record_failure(state.now(), sent)).await;
                None
            }
        }
    }

    fn log_restored(&self, last_era: Option<u64>) {
        log::warn!(
            event = event::STORE_RESTORED.number, topic = self.topic, last_era = last_era,
            era = self.era, end = self.next.map(|next| next.offset); "store_restored"
        );
    }
}

fn log_unreadable(topic: &str, count: usize) {
    if count > 0 {
        log::warn!(
            event = event::ENTRY_REJECTED.number, topic = topic, count = count;
            "entry_rejected: records without a readable key or offset"
        );
    }
}

/// Waits until this instance needs to read a topic: a reader returns at once, others when the
/// readers' digest differs from theirs or no reader is heard.
async fn wait_until_read_needed(
    state: &state::GatewayState,
    own_digest: impl Fn(&state::GatewayState) -> reader_selection::OwnDigest,
    topic: impl Fn(&peer_slot::PeerSlot) -> wire::TopicDigest + Copy,
) {
    loop {
        let peers = state.view().topic_digests(topic);
        let now = state.now();
        if reader_selection::is_reader(now, state.incarnation, &peers) {
            return;
        }
        let status = reader_selection::digest_status(now, own_digest(state), &peers);
        if status != reader_selection::DigestStatus::Confirmed {
            return;
        }
        async_io::Timer::after(DIGEST_CHECK_INTERVAL).await;
    }
}

/// Follows the configuration and the adapter versions that the operator publishes.
pub(crate) async fn follow_operator(state: sync::Arc<state::GatewayState>) {
    let mut follower = TopicFollower::new(store::OPERATOR_TOPIC, OPERATOR_POLL_WAIT);
    loop {
        let is_known = follower.next.is_some();
        if is_known || state::lock(&state.operator_read_at).is_some() {
            let own_digest = state::GatewayState::own_operator_digest;
            wait_until_read_needed(&state, own_digest, |peer| peer.operator).await;
        }
        let started = state.now();
        let news = follower.poll(&state, wire::StoreTopic::Operator).await;
        if let Some(TopicNews { records, read_at, .. }) = news {
            for record in &records {
                apply_operator_record(&state, record);
            }
            *state::lock(&state.operator_read_at) = Some(read_at);
            state.view().evacuations_mut().confirm(read_at);
            if !records.is_empty() {
                if is_known {
                    news::push(&state, wire::StoreTopic::Operator, &records);
                }
                heartbeats::publish_digests(&state);
            }
        }
        if state.now().since(started) < retry_pace::MIN_READ_INTERVAL {
            async_io::Timer::after(retry_pace::MIN_READ_INTERVAL).await;
        }
    }
}

/// Applies a record of the operator: a configuration, an adapter version or an evacuated zone.
pub(crate) fn apply_operator_record(state: &state::GatewayState, record: &KeyedRecord) {
    if let Some(zone) = rules::evacuated_zone(&record.key) {
        apply_evacuation(state, zone, record);
        return;
    }
    let Some(value) = &record.value else { return };
    if record.key == rules::RULES_KEY {
        match rules::decode_rules(value) {
            Ok(rules) => {
                let version = rules.version;
                if state.apply_rules(rules) {
                    log::info!(
                        event = event::CHANGE_ACCEPTED.number, version = version,
                        era = record.position.era, offset = record.position.offset; "change_accepted"
                    );
                }
            }
            Err(error) => log::warn!(
                event = event::CHANGE_REJECTED.number, offset = record.position.offset;
                "change_rejected: {error}"
            ),
        }
    } else if record.key.starts_with(rules::VERSION_PREFIX) {
        match rules::decode_version(value) {
            Ok((name, version)) => {
                let (now, adapter) = (state.now(), name.adapter.to_string());
                // The records of the first read may be of any age.
                let learned = state::lock(&state.operator_read_at).map(|_| now);
                if state.view().record_version(now, &name, version, learned) {
                    state.controllers.wake_all();
                    log::info!(
                        event = event::VERSION_NAMED.number, adapter = adapter,
                        version = version; "version_named"
                    );
                }
            }
            Err(error) => log::warn!(
                event = event::CHANGE_REJECTED.number, offset = record.position.offset;
                "change_rejected: {error}"
            ),
        }
    }
}

/// Applies the record of an evacuated zone, without a value once the zone is taken back.
fn apply_evacuation(state: &state::GatewayState, zone: &str, record: &KeyedRecord) {
    let now = state.now();
    let offset = record.position.offset;
    let mut view = state.view();
    let evacuations = view.evacuations_mut();
    if record.value.is_none() {
        if evacuations.take_back(now, zone) {
            view.suspect_zone(now, zone);
            log::info!(
                event = event::ZONE_RETURNED.number, zone = zone, offset = offset; "zone_returned"
            );
        }
    } else if let Some(closes) = evacuations.evacuate(now, zone, state.bounds.load().evacuation) {
        log::warn!(
            event = event::ZONE_EVACUATED.number, zone = zone, offset = offset,
            closes_ms = closes.since(now).as_millis() as u64; "zone_evacuated"
        );
    }
    let zones = view.evacuations().count();
    drop(view);
    state.metrics.record_evacuated_zones(zones);
    state.controllers.wake_all();
}

/// Removal of an upstream whose entry has expired.
pub(crate) struct PendingRemoval {
    remove_at: instant::MonotonicTime,
    /// Position of the record that ended the entry.
    position: wire::TopicPosition,
}

/// Follows the upstreams' entries, which expire unless the upstreams renew them.
pub(crate) async fn follow_upstreams(state: sync::Arc<state::GatewayState>) {
    let mut follower = TopicFollower::new(store::UPSTREAM_TOPIC, time::Duration::ZERO);
    let mut last_digest: Option<u64> = None;
    loop {
        let has_removals = !state::lock(&state.removals).is_empty();
        if follower.next.is_some() && !has_removals && follower.is_reachable {
            let own_digest = state::GatewayState::own_upstream_digest;
            wait_until_read_needed(&state, own_digest, |peer| peer.upstreams).await;
            let last = *state::lock(&state.upstreams_read_at);
            if last.is_none_or(|last| state.now().since(last) > MAX_INCREMENTAL_AGE) {
                // A snapshot holds fewer records than all renewals since.
                follower.next = None;
            }
        }
        let update = follower.poll(&state, wire::StoreTopic::Upstreams).await;
        let Some(TopicNews { records, read_at, is_restored }) = update else { continue };
        state::lock(&state.outages).record_read(read_at);
        if is_restored {
            state::lock(&state.outages).record_restore(read_at);
        }
        let remove_at = state.removal_time(state.now());
        let is_first = state::lock(&state.upstreams_read_at).is_none();
        let changed: Vec<KeyedRecord> = records
            .into_iter()
            .filter(|record| apply_upstream_record(&state, record, remove_at))
            .collect();
        if !is_first {
            push_changes(&state, &changed);
        }
        remove_expired(&state);
        *state::lock(&state.upstreams_read_at) = Some(read_at);
        let digest = state.view().upstream_digest();
        if last_digest.replace(digest) != Some(digest) {
            heartbeats::publish_digests(&state);
        }
        let elapsed = state.now().since(read_at);
        async_io::Timer::after(
            UPSTREAM_INTERVAL.saturating_sub(elapsed).max(retry_pace::MIN_READ_INTERVAL),
        )
        .await;
    }
}

/// Notes when the store's topics were last read, by whichever instance.
pub(crate) fn check_reads(state: &state::GatewayState) {
    let own = state.own_operator_digest();
    let peers = state.view().topic_digests(|peer| peer.operator);
    if let Some(read_at) = reader_selection::confirmed_at(own.digest, &peers) {
        state.view().evacuations_mut().confirm(read_at);
    }
    let peers = state.view().topic_digests(|peer| peer.upstreams);
    let newest = reader_selection::newest_read(&peers);
    state::lock(&state.outages).check(state.now(), newest);
}

/// Returns whether this instance is one of those that read the upstreams' entries for the fleet.
fn is_reader(state: &state::GatewayState) -> bool {
    let peers = state.view().topic_digests(|peer| peer.upstreams);
    reader_selection::is_reader(state.now(), state.incarnation, &peers)
}

/// Decodes an upstream's entry; `None` if it was withdrawn or is malformed.
fn decode_entry(
    state: &state::GatewayState,
    record: &KeyedRecord,
) -> Option<upstream::UpstreamEntry> {
    let value = record.value.as_ref()?;
    let decoded = entry::decode_entry(&record.key, value).map_err(|error| error.to_string());
    let checked = decoded.and_then(|entry| match state.is_instance_address(entry.address) {
        true => Err(format!("{} is an instance's address", entry.address)),
        false => Ok(entry),
    });
    if let Err(error) = &checked {
        log::warn!(
            event = event::ENTRY_REJECTED.number, upstream = record.key.as_str(),
            offset = record.position.offset; "entry_rejected: {error}"
        );
    }
    checked.ok()
}

/// Applies a record of the upstreams' topic that is newer than those known; returns whether it changed
/// anything. Without a readable entry the upstream is removed at `remove_at`, at once if that has passed.
pub(crate) fn apply_upstream_record(
    state: &state::GatewayState,
    record: &KeyedRecord,
    remove_at: instant::MonotonicTime,
) -> bool {
    if let Some(entry) = decode_entry(state, record) {
        state::lock(&state.removals).remove(&record.key);
        return apply_entry(state, entry, record.position);
    }
    if state.now() < remove_at {
        let removal = PendingRemoval { remove_at, position: record.position };
        if state.view().upstream(&record.key).is_some() {
            log::info!(
                event = event::UPSTREAM_MISSING.number, upstream = record.key.as_str(),
                offset = record.position.offset,
                grace_ms = remove_at.since(state.now()).as_millis() as u64;
                "upstream_missing"
            );
        }
        state::lock(&state.removals).insert(record.key.clone(), removal);
        return false;
    }
    state::lock(&state.removals).remove(&record.key);
    remove_upstream(state, &record.key, record.position)
}

/// Applies an upstream's entry; returns whether it is new or its state changed.
fn apply_entry(
    state: &state::GatewayState,
    entry: upstream::UpstreamEntry,
    position: wire::TopicPosition,
) -> bool {
    let (id, address) = (entry.id.to_string(), entry.address);
    let build = entry.build().to_string();
    let is_ready = entry.state == upstream::UpstreamState::Ready;
    let mut view = state.view();
    let previous = view.upstream(&id).map(|slot| (slot.entry.born_ms, slot.entry.state));
    let is_older = previous.is_some_and(|(born_ms, _)| entry.born_ms < born_ms);
    if is_older {
        return false;
    }
    let had_state = previous.map(|(_, state)| state);
    let new_state = entry.state;
    let cold_remaining = entry.cold_remaining;
    let is_new = view.put_upstream(entry);
    drop(view);
    let is_newly_cold = cold::record_entry(state, &id, cold_remaining);
    if is_new && previous.is_some() {
        crashes::record_removal(state, &id);
    }
    let has_changed = is_new || had_state != Some(new_state);
    if has_changed {
        log::info!(
            event = event::UPSTREAM_CHANGED.number, upstream = id,
            address = address.to_string(), ready = is_ready, new = is_new, build = build,
            offset = position.offset, read_age_ms = read_age_ms(state); "upstream_changed"
        );
        state.controllers.wake_all();
    }
    has_changed || is_newly_cold
}

/// Removes upstreams whose entries have expired and whose grace period is over.
pub(crate) fn remove_expired(state: &state::GatewayState) {
    let now = state.now();
    let due: Vec<(String, PendingRemoval)> =
        state::lock(&state.removals).extract_if(|_, removal| removal.remove_at <= now).collect();
    let removed =
        due.into_iter().filter(|(id, removal)| remove_upstream(state, id, removal.position));
    let records: Vec<KeyedRecord> = removed
        .map(|(key, removal)| KeyedRecord { key, value: None, position: removal.position })
        .collect();
    push_changes(state, &records);
}

/// Pushes changes of upstreams to the peers that don't read them, if this instance is a reader.
fn push_changes(state: &state::GatewayState, changed: &[KeyedRecord]) {
    if !changed.is_empty() && is_reader(state) {
        news::push(state, wire::StoreTopic::Upstreams, changed);
    }
}

/// Removes an upstream and its pooled connections; returns whether it was known.
fn remove_upstream(state: &state::GatewayState, id: &str, position: wire::TopicPosition) -> bool {
    let Some(entry) = state.view().remove_upstream(id) else { return false };
    state.pool.close_idle(entry.address);
    if entry.state == upstream::UpstreamState::Ready {
        crashes::record_removal(state, id);
    }
    log::info!(
        event = event::UPSTREAM_GONE.number, upstream = id, offset = position.offset,
        read_age_ms = read_age_ms(state); "upstream_gone"
    );
    true
}

/// Returns the age of this instance's last read, for logs: a record that is newer came from a peer.
fn read_age_ms(state: &state::GatewayState) -> Option<u64> {
    let read_at = *state::lock(&state.upstreams_read_at);
    read_at.map(|read_at| state.now().since(read_at).as_millis() as u64)
}
