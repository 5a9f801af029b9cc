//! Records of the store that instances forward to each other. A reader pushes small records of the
//! operator, and entries of upstreams that changed anything (each is rewritten with every renewal).
//! An instance that can't read the store requests all records.

use std::net;
use std::sync;
use std::time;

use coltsfoot_gateway::topic_replica::{KeyRange, KeyedRecord, ReplicaPage};
use coltsfoot_gateway::{peer_slot, reader_selection};
use coltsfoot_types::time as instant;
use coltsfoot_wire::fleet as wire;

use crate::event;
use crate::gateway::{fleet, follower, state};

/// Maximum size of a pushed record or of a page of records, in bytes: a datagram that fits one packet.
const MAX_PUSHED_BYTES: usize = 1_200;
/// Interval between checks whether peers have newer records.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(400);
/// Number of consecutive checks with newer records at a peer before one is asked for them.
const CHECKS_BEFORE_REQUEST: u32 = 2;

/// Pushes small records to all instances; a record without a value removes its key.
pub(crate) fn push(state: &state::GatewayState, topic: wire::StoreTopic, records: &[KeyedRecord]) {
    let length = |record: &KeyedRecord| record.value.as_ref().map_or(0, Vec::len);
    let small = records.iter().filter(|record| length(record) <= MAX_PUSHED_BYTES);
    let addresses = state.view().peer_addresses();
    for record in small {
        let records = vec![encode(record)];
        let message = wire::FleetMessage::Records(wire::TopicRecords { topic, records });
        fleet::send(state, addresses.iter().copied(), &message);
    }
}

fn encode(record: &KeyedRecord) -> wire::StoreRecord {
    let value = record.value.clone().unwrap_or_default();
    wire::StoreRecord { key: record.key.clone(), offset: record.offset, value }
}

fn decode(record: wire::StoreRecord) -> KeyedRecord {
    let value = (!record.value.is_empty()).then_some(record.value);
    KeyedRecord { key: record.key, value, offset: record.offset }
}

/// Sends all records of a topic to an instance that requested them, in pages that fit one packet each.
pub(crate) fn respond(state: &state::GatewayState, request: &wire::RecordsRequest) {
    let topic = request.topic;
    let pages = state::lock(state.replica(topic)).pages(MAX_PUSHED_BYTES);
    let now = state.now();
    let grace = state.removal_time(now).since(now);
    let grace_ms = u32::try_from(grace.as_millis()).unwrap_or(u32::MAX);
    for page in pages {
        let KeyRange { after, through } = page.range;
        let records = page.records.iter().map(encode).collect();
        let page = wire::TopicPage { topic, after, through, next: page.next, grace_ms, records };
        fleet::send(state, [request.reply_to], &wire::FleetMessage::TopicPage(page));
    }
}

/// Applies a page of records from another instance: those that are newer, and removals of keys that it
/// lacks.
pub(crate) fn apply_page(state: &state::GatewayState, page: wire::TopicPage) {
    let topic = page.topic;
    let remove_at = state.now() + time::Duration::from_millis(u64::from(page.grace_ms));
    let page = ReplicaPage {
        range: KeyRange { after: page.after, through: page.through },
        next: page.next,
        records: page.records.into_iter().map(decode).collect(),
    };
    let news = state::lock(state.replica(topic)).merge_page(page);
    for record in &news {
        apply_record(state, topic, record, remove_at);
    }
}

/// Applies records from another instance unless newer ones are known.
pub(crate) fn apply(state: &state::GatewayState, topic_records: wire::TopicRecords) {
    for record in topic_records.records {
        let record = decode(record);
        if !state::lock(state.replica(topic_records.topic)).merge(&record) {
            continue;
        }
        apply_record(state, topic_records.topic, &record, state.now());
    }
}

/// Applies a record that is newer than those known; an upstream without an entry is removed at
/// `remove_at`.
fn apply_record(
    state: &state::GatewayState,
    topic: wire::StoreTopic,
    record: &KeyedRecord,
    remove_at: instant::MonotonicTime,
) {
    match topic {
        wire::StoreTopic::Operator => follower::apply_operator_record(state, record),
        wire::StoreTopic::Upstreams => {
            follower::apply_upstream_record(state, record, remove_at);
        }
    }
}

/// Requests records from a peer whenever peers have had newer ones for a while, which means that
/// this instance can't read the store.
pub(crate) async fn request_when_behind(state: sync::Arc<state::GatewayState>) {
    let mut newer_checks = [0; 2];
    loop {
        async_io::Timer::after(CHECK_INTERVAL).await;
        follower::check_reads(&state);
        follower::remove_expired(&state);
        let topics = [
            (wire::StoreTopic::Operator, state.own_operator_digest()),
            (wire::StoreTopic::Upstreams, state.own_upstream_digest()),
        ];
        for (checks, (topic, own_digest)) in newer_checks.iter_mut().zip(topics) {
            let source = current_peer(&state, topic, own_digest);
            *checks = if source.is_some() { *checks + 1 } else { 0 };
            if let Some(address) = source.filter(|_| *checks >= CHECKS_BEFORE_REQUEST) {
                *checks = 0;
                log::info!(
                    event = event::NEWS_ASKED.number, address = address.to_string(),
                    read_age_ms = state.to_topic_digest(own_digest).age_ms; "news_asked: {topic:?}"
                );
                let request =
                    wire::RecordsRequest { topic, reply_to: state.settings.fleet_address() };
                fleet::send(&state, [address], &wire::FleetMessage::RecordsRequest(request));
            }
        }
    }
}

/// Returns the address of a random one of the peers with the most recent copy of a topic, if that
/// differs from this instance's. They share the load of instances that can't read the store.
fn current_peer(
    state: &state::GatewayState,
    topic: wire::StoreTopic,
    own_digest: reader_selection::OwnDigest,
) -> Option<net::SocketAddr> {
    let topic_digest = |peer: &peer_slot::PeerSlot| match topic {
        wire::StoreTopic::Operator => peer.operator,
        wire::StoreTopic::Upstreams => peer.upstreams,
    };
    let view = state.view();
    let now = state.now();
    let digests = view.topic_digests(topic_digest);
    if reader_selection::digest_status(now, own_digest, &digests)
        != reader_selection::DigestStatus::Differs
    {
        return None;
    }
    let current = reader_selection::current_peers(now, &digests);
    let id = rand::seq::IndexedRandom::choose(&*current, &mut rand::rng())?;
    view.peer(*id).map(|peer| peer.address)
}
