//! Records of the store that instances forward to each other. A reader pushes small records of the
//! operator, and entries of upstreams that changed anything (each is rewritten with every renewal).
//! An instance that can't read the store requests all records.

use std::net;
use std::sync;
use std::time;

use coltsfoot_gateway::topic_replica::KeyedRecord;
use coltsfoot_gateway::{peer_slot, reader_selection};
use coltsfoot_types::time as instant;
use coltsfoot_wire::fleet as wire;

use crate::event;
use crate::gateway::{fleet, follower, state};

/// Maximum size of a pushed record, in bytes: a datagram that fits one packet.
const MAX_PUSHED_BYTES: usize = 1_200;
/// Size of the records in one datagram, in bytes, unless a single one is larger.
const MAX_BATCH_BYTES: usize = 16 * 1024;
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

/// Sends all records of a topic to an instance that requested them.
pub(crate) fn respond(state: &state::GatewayState, request: &wire::RecordsRequest) {
    let records: Vec<wire::StoreRecord> = {
        let replica = state::lock(state.replica(request.topic));
        replica.records().map(encode).collect()
    };
    let mut batch: Vec<wire::StoreRecord> = Vec::new();
    let mut size = 0;
    for record in records {
        if size + record.value.len() > MAX_BATCH_BYTES && !batch.is_empty() {
            send_batch(state, request, std::mem::take(&mut batch));
            size = 0;
        }
        size += record.value.len() + record.key.len();
        batch.push(record);
    }
    send_batch(state, request, batch);
}

fn send_batch(
    state: &state::GatewayState,
    request: &wire::RecordsRequest,
    records: Vec<wire::StoreRecord>,
) {
    let topic_records = wire::TopicRecords { topic: request.topic, records };
    fleet::send(state, [request.reply_to], &wire::FleetMessage::Records(topic_records));
}

/// Applies records from another instance unless newer ones are known.
pub(crate) fn apply(state: &state::GatewayState, topic_records: wire::TopicRecords) {
    for record in topic_records.records {
        let value = (!record.value.is_empty()).then_some(record.value);
        let record = KeyedRecord { key: record.key, value, offset: record.offset };
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
        let topics = [
            (wire::StoreTopic::Operator, state.own_operator_digest()),
            (wire::StoreTopic::Upstreams, state.own_upstream_digest()),
        ];
        for (checks, (topic, own_digest)) in newer_checks.iter_mut().zip(topics) {
            let source = most_current_peer(&state, topic, own_digest);
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

/// Returns the address of the peer that read a topic last, if its digest differs from this
/// instance's.
fn most_current_peer(
    state: &state::GatewayState,
    topic: wire::StoreTopic,
    own_digest: reader_selection::OwnDigest,
) -> Option<net::SocketAddr> {
    let topic_digest = |peer: &peer_slot::PeerSlot| match topic {
        wire::StoreTopic::Operator => peer.operator,
        wire::StoreTopic::Upstreams => peer.upstreams,
    };
    let view = state.view();
    let now: instant::MonotonicTime = state.now();
    let digests = view.topic_digests(topic_digest);
    if reader_selection::digest_status(now, own_digest, &digests)
        != reader_selection::DigestStatus::Differs
    {
        return None;
    }
    let newest = reader_selection::newest_digest(now, &digests)?;
    view.peer(newest.id).map(|peer| peer.address)
}
