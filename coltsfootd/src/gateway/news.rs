//! Records of the store that instances forward to each other. A reader pushes small records of the
//! operator, and entries of upstreams that changed anything (each is rewritten with every renewal).
//! An instance that can't read the store requests what its copy lacks.

use std::net;
use std::sync;
use std::time;

use coltsfoot_gateway::topic_replica::{BucketPage, KeyedRecord};
use coltsfoot_gateway::{peer_slot, reader_selection, rendezvous, topic_replica};
use coltsfoot_types::time as instant;
use coltsfoot_wire::fleet as wire;

use crate::event;
use crate::gateway::{fleet, follower, state};

/// Maximum size of a pushed record, in bytes: a datagram that fits one packet.
const MAX_PUSHED_BYTES: usize = 1_200;
/// Maximum number of buckets in the response to one request.
const MAX_PAGES: usize = 48;
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
    wire::StoreRecord { key: record.key.clone(), position: record.position, value }
}

fn decode(record: wire::StoreRecord) -> KeyedRecord {
    let value = (!record.value.is_empty()).then_some(record.value);
    KeyedRecord { key: record.key, value, position: record.position }
}

/// Sends an instance the buckets of a topic in which its copy differs, some at a time: a burst of datagrams
/// would overflow the queue of a slow link.
pub(crate) fn respond(state: &state::GatewayState, request: &wire::RecordsRequest) {
    let topic = request.topic;
    let own = bucket_digests(state, topic);
    let buckets =
        topic_replica::differing_buckets(&own, &request.digests, rand::random(), MAX_PAGES);
    let now = state.now();
    let grace = state.removal_time(now).since(now);
    let grace_ms = u32::try_from(grace.as_millis()).unwrap_or(u32::MAX);
    for bucket in buckets {
        let BucketPage { bucket, next, records } = state::lock(state.replica(topic)).bucket(bucket);
        let records = records.iter().map(encode).collect();
        let page = wire::TopicPage { topic, bucket, next, grace_ms, records };
        fleet::send(state, [request.reply_to], &wire::FleetMessage::TopicPage(page));
    }
}

/// Returns digests of the buckets of this instance's copy of a topic. Renewals of upstreams' entries leave
/// them as they are.
fn bucket_digests(state: &state::GatewayState, topic: wire::StoreTopic) -> Vec<u32> {
    match topic {
        wire::StoreTopic::Upstreams => {
            let view = state.view();
            let slots = view.upstreams();
            topic_replica::bucket_digests(slots.map(|slot| (&*slot.entry.id, slot.entry.digest())))
        }
        wire::StoreTopic::Operator => {
            let replica = state::lock(state.replica(topic));
            let digest = |record: &KeyedRecord| rendezvous::hash_of(&record.value);
            let contents = replica.records().map(|record| (&*record.key, digest(record)));
            topic_replica::bucket_digests(contents)
        }
    }
}

/// Applies a page of records from another instance: those that are newer, and removals of keys that it
/// lacks.
pub(crate) fn apply_page(state: &state::GatewayState, page: wire::TopicPage) {
    let topic = page.topic;
    let remove_at = state.now() + time::Duration::from_millis(u64::from(page.grace_ms));
    let page = BucketPage {
        bucket: page.bucket,
        next: page.next,
        records: page.records.into_iter().map(decode).collect(),
    };
    let news = state::lock(state.replica(topic)).merge_bucket(page);
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
                let request = wire::RecordsRequest {
                    topic,
                    reply_to: state.settings.fleet_address(),
                    digests: bucket_digests(&state, topic),
                };
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
