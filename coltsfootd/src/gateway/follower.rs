//! Follows the operator's records and the upstreams' entries in the store.

use std::sync;
use std::time;

use coltsfoot_gateway::{peer_slot, reader_selection, upstream};
use coltsfoot_types::time as instant;
use coltsfoot_wire::fleet as wire;
use rustc_hash::FxHashMap;
use site_platform::{entry, rules, store};

use crate::event;
use crate::gateway::{beats, crashes, news, state};

/// Time that a read of the operator's records waits for news.
const OPERATOR_WAIT: time::Duration = time::Duration::from_millis(1000);
/// Time between reads of the upstreams' entries. Well within the time in which an upstream that
/// leaves must get no more work.
const UPSTREAM_INTERVAL: time::Duration = time::Duration::from_millis(850);
/// Time since the last read up to which all records since are read.
const LONGEST_CATCH_UP: time::Duration = time::Duration::from_millis(2000);
/// Time between looks at what the readers know.
const NEED_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Shortest time between reads of the operator's records that waited for nothing.
const MIN_READ_INTERVAL: time::Duration = time::Duration::from_millis(30);
/// Time between reads while the store is unavailable: it doubles with each failure, since refused calls
/// are charged too and others pass on what they read.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(400);
const LONGEST_RETRY: time::Duration = time::Duration::from_millis(1600);
/// Time after the store's return in which entries that lapsed meanwhile may come back.
const RETURN_GRACE: time::Duration = time::Duration::from_millis(2200);

/// A topic that is followed.
struct TopicFollower {
    topic: &'static str,
    wait: time::Duration,
    /// Offset to read from; `None` to begin with the newest record of each key.
    next: Option<u64>,
    is_reachable: bool,
    /// Whether the topic may not exist yet, before the operator's first record: nothing to read then,
    /// but no reason for every instance to ask again and again.
    may_be_missing: bool,
    retry_interval: time::Duration,
}

/// What a read brought.
enum TopicRecords {
    /// The newest record of every key.
    Whole(Vec<store::KeyedRecord>),
    /// Further records.
    Further(Vec<store::KeyedRecord>),
}

impl TopicFollower {
    fn new(topic: &'static str, wait: time::Duration) -> Self {
        let retry_interval = RETRY_INTERVAL;
        let (is_reachable, may_be_missing) = (true, topic == store::OPERATOR_TOPIC);
        Self { topic, wait, next: None, is_reachable, may_be_missing, retry_interval }
    }

    async fn read(
        &mut self,
        store: &store::StoreClient,
    ) -> Result<TopicRecords, store::StoreError> {
        let Some(next) = self.next else {
            let newest = match store.newest(self.topic).await {
                Err(store::StoreError::Refused(404)) if self.may_be_missing => {
                    async_io::Timer::after(RETRY_INTERVAL).await;
                    return Ok(TopicRecords::Further(Vec::new()));
                }
                newest => newest?,
            };
            self.may_be_missing = false;
            self.next = Some(newest.next);
            return Ok(TopicRecords::Whole(newest.records));
        };
        let read = store.read(self.topic, next, self.wait).await?;
        self.next = Some(read.next);
        Ok(TopicRecords::Further(read.records))
    }

    /// Reads once; logs when the store is lost or regained. Returns nothing if it is lost.
    async fn poll(&mut self, store: &store::StoreClient) -> Option<TopicRecords> {
        match self.read(store).await {
            Ok(news) => {
                self.retry_interval = RETRY_INTERVAL;
                if !self.is_reachable {
                    self.is_reachable = true;
                    log::info!(event = event::LOG_REACHABLE.number, topic = self.topic; "log_reachable");
                }
                Some(news)
            }
            Err(store::StoreError::Trimmed) => {
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
                async_io::Timer::after(self.retry_interval).await;
                self.retry_interval = (self.retry_interval * 2).min(LONGEST_RETRY);
                None
            }
        }
    }
}

/// Waits until this instance has to read a topic: at once if it is one of the readers, otherwise when
/// a reader knows something else or none is heard.
async fn wait_for_need(
    state: &state::GatewayState,
    own: impl Fn(&state::GatewayState) -> reader_selection::OwnDigest,
    topic: impl Fn(&peer_slot::PeerSlot) -> wire::TopicDigest + Copy,
) {
    loop {
        let peers = state.view().topic_digests(topic);
        let now = state.now();
        if reader_selection::is_reader(now, state.incarnation, &peers) {
            return;
        }
        let need = reader_selection::digest_status(now, own(state), &peers);
        if need != reader_selection::DigestStatus::Confirmed {
            return;
        }
        async_io::Timer::after(NEED_INTERVAL).await;
    }
}

/// Follows the configuration and the named versions of adapters.
pub(crate) async fn follow_operator(state: sync::Arc<state::GatewayState>) {
    let mut follower = TopicFollower::new(store::OPERATOR_TOPIC, OPERATOR_WAIT);
    loop {
        let is_known = follower.next.is_some();
        if is_known || state::lock(&state.operator_read).is_some() {
            let own = state::GatewayState::own_operator;
            wait_for_need(&state, own, |peer| peer.operator).await;
        }
        let begun = state.now();
        let news = follower.poll(&state.store).await;
        let is_whole = matches!(news, Some(TopicRecords::Whole(_)));
        if let Some(TopicRecords::Whole(records) | TopicRecords::Further(records)) = news {
            *state::lock(&state.operator_read) = Some(state.now());
            for record in &records {
                apply_operator(&state, record);
            }
            news::keep(&state, wire::StoreTopic::Operator, &records, is_whole);
            if !records.is_empty() {
                if is_known {
                    news::push(&state, wire::StoreTopic::Operator, &records);
                }
                beats::publish_reading(&state);
            }
        }
        if state.now().since(begun) < MIN_READ_INTERVAL {
            async_io::Timer::after(MIN_READ_INTERVAL).await;
        }
    }
}

/// Takes a record of the operator.
pub(crate) fn apply_operator(state: &state::GatewayState, record: &store::KeyedRecord) {
    let Some(value) = &record.value else { return };
    if record.key == rules::RULES_KEY {
        match rules::decode_rules(value) {
            Ok(rules) => {
                let version = rules.version;
                if state.apply_rules(rules) {
                    log::info!(
                        event = event::CHANGE_ACCEPTED.number, version = version,
                        offset = record.offset; "change_accepted"
                    );
                }
            }
            Err(error) => log::warn!(
                event = event::CHANGE_REJECTED.number, offset = record.offset;
                "change_rejected: {error}"
            ),
        }
    } else if record.key.starts_with(rules::VERSION_PREFIX) {
        match rules::decode_version(value) {
            Ok((name, version)) => {
                let adapter = name.adapter.to_string();
                if state.view().record_version(state.now(), name, version) {
                    state.desks.wake_all();
                    log::info!(
                        event = event::VERSION_NAMED.number, adapter = adapter,
                        version = version; "version_named"
                    );
                }
            }
            Err(error) => log::warn!(
                event = event::CHANGE_REJECTED.number, offset = record.offset;
                "change_rejected: {error}"
            ),
        }
    }
}

/// Follows the upstreams' entries.
pub(crate) async fn follow_upstreams(state: sync::Arc<state::GatewayState>) {
    let mut follower = TopicFollower::new(store::UPSTREAM_TOPIC, time::Duration::ZERO);
    let mut lapsed: FxHashMap<String, instant::MonotonicTime> = FxHashMap::default();
    let mut lost_at: Option<instant::MonotonicTime> = None;
    let mut last_digest: Option<u64> = None;
    let mut returned_at: Option<instant::MonotonicTime> = None;
    loop {
        if follower.next.is_some() && lapsed.is_empty() && lost_at.is_none() {
            let own = state::GatewayState::own_upstreams;
            wait_for_need(&state, own, |peer| peer.upstreams).await;
            let last = *state::lock(&state.upstreams_read);
            if last.is_none_or(|last| state.now().since(last) > LONGEST_CATCH_UP) {
                // The newest entries are fewer than all heartbeats since.
                follower.next = None;
            }
        }
        let news = follower.poll(&state.store).await;
        let now = state.now();
        if !follower.is_reachable {
            lost_at = Some(now);
            continue;
        }
        if lost_at.take().is_some() {
            returned_at = Some(now);
        }
        let grace_end = returned_at.map(|returned| returned + RETURN_GRACE);
        let removal = grace_end.filter(|end| *end > now).unwrap_or(now);
        let is_first = state::lock(&state.upstreams_read).is_none();
        let mut changed = match news {
            Some(TopicRecords::Whole(records)) => {
                news::keep(&state, wire::StoreTopic::Upstreams, &records, true);
                lapse_missing(&state, &records, removal, &mut lapsed);
                apply_entries(&state, records, removal, &mut lapsed)
            }
            Some(TopicRecords::Further(records)) => {
                news::keep(&state, wire::StoreTopic::Upstreams, &records, false);
                apply_entries(&state, records, removal, &mut lapsed)
            }
            None => continue,
        };
        let read_to = follower.next.unwrap_or_default();
        changed.extend(remove_lapsed(&state, now, read_to, &mut lapsed));
        if !is_first && is_reader(&state) {
            // The others need not read what they are told here.
            news::push(&state, wire::StoreTopic::Upstreams, &changed);
        }
        *state::lock(&state.upstreams_read) = Some(now);
        let digest = state.view().upstream_digest();
        if last_digest.replace(digest) != Some(digest) {
            beats::publish_reading(&state);
        }
        async_io::Timer::after(UPSTREAM_INTERVAL).await;
    }
}

fn lapse_missing(
    state: &state::GatewayState,
    records: &[store::KeyedRecord],
    removal: instant::MonotonicTime,
    lapsed: &mut FxHashMap<String, instant::MonotonicTime>,
) {
    let view = state.view();
    for slot in view.upstreams() {
        let id = &*slot.entry.id;
        if !records.iter().any(|record| record.key == id && record.value.is_some()) {
            lapsed.entry(id.to_owned()).or_insert(removal);
        }
    }
}

/// Returns whether this instance is one of those that read the upstreams' entries for all.
fn is_reader(state: &state::GatewayState) -> bool {
    let peers = state.view().topic_digests(|peer| peer.upstreams);
    reader_selection::is_reader(state.now(), state.incarnation, &peers)
}

/// Takes upstreams' entries; returns the records that told anything new.
fn apply_entries(
    state: &state::GatewayState,
    records: Vec<store::KeyedRecord>,
    removal: instant::MonotonicTime,
    lapsed: &mut FxHashMap<String, instant::MonotonicTime>,
) -> Vec<store::KeyedRecord> {
    let mut changed = Vec::new();
    for record in records {
        match decode_entry(&record) {
            Some(entry) => {
                lapsed.remove(&record.key);
                if put_entry(state, entry) {
                    changed.push(record);
                }
            }
            None => {
                lapsed.entry(record.key).or_insert(removal);
            }
        }
    }
    changed
}

/// Decodes an upstream's entry; `None` if it was withdrawn or is not one.
fn decode_entry(record: &store::KeyedRecord) -> Option<upstream::UpstreamEntry> {
    let value = record.value.as_ref()?;
    let decoded = entry::decode_entry(&record.key, value);
    if let Err(error) = &decoded {
        log::warn!(
            event = event::ENTRY_REJECTED.number, upstream = record.key.as_str(),
            offset = record.offset; "entry_rejected: {error}"
        );
    }
    decoded.ok()
}

/// Takes an upstream's entry that another instance passed on, or that it found to be gone for good.
pub(crate) fn put_record(state: &state::GatewayState, record: &store::KeyedRecord) {
    if record.value.is_none() {
        remove_upstream(state, &record.key);
    } else if let Some(entry) = decode_entry(record) {
        put_entry(state, entry);
    }
}

/// Takes an upstream's entry; returns whether it is new or its state changed.
fn put_entry(state: &state::GatewayState, entry: upstream::UpstreamEntry) -> bool {
    let (id, address) = (entry.id.to_string(), entry.address);
    let is_ready = entry.state == upstream::UpstreamState::Ready;
    let mut view = state.view();
    let known = view.upstream(&id).map(|slot| (slot.entry.born_ms, slot.entry.state));
    let is_older = known.is_some_and(|(born, _)| entry.born_ms < born);
    if is_older {
        return false;
    }
    let had_state = known.map(|(_, state)| state);
    let new_state = entry.state;
    let is_new = view.put_upstream(entry);
    drop(view);
    if is_new && known.is_some() {
        crashes::note_gone(state, &id);
    }
    let has_changed = is_new || had_state != Some(new_state);
    if has_changed {
        log::info!(
            event = event::UPSTREAM_CHANGED.number, upstream = id,
            address = address.to_string(), ready = is_ready, new = is_new; "upstream_changed"
        );
        state.desks.wake_all();
    }
    has_changed
}

/// Removes upstreams whose entries are gone for good, as read up to an offset; returns records that
/// tell so.
fn remove_lapsed(
    state: &state::GatewayState,
    now: instant::MonotonicTime,
    read_to: u64,
    lapsed: &mut FxHashMap<String, instant::MonotonicTime>,
) -> Vec<store::KeyedRecord> {
    let mut removed = Vec::new();
    lapsed.retain(|id, removal| {
        if now < *removal {
            return true;
        }
        if remove_upstream(state, id) {
            removed.push(store::KeyedRecord { key: id.clone(), value: None, offset: read_to });
        }
        false
    });
    removed
}

/// Forgets an upstream; returns whether it was known.
fn remove_upstream(state: &state::GatewayState, id: &str) -> bool {
    let Some(entry) = state.view().remove_upstream(id) else { return false };
    state.pool.forget(entry.address);
    if entry.state == upstream::UpstreamState::Ready {
        crashes::note_gone(state, id);
    }
    log::info!(event = event::UPSTREAM_GONE.number, upstream = id; "upstream_gone");
    true
}
