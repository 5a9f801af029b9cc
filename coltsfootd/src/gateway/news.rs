//! Records of the store that instances pass on to each other: as soon as a reader has them, small ones
//! of the operator and entries of upstreams that tell of a change (each is written anew with every
//! heartbeat); all of them to an instance that can't read the store itself.

use std::collections;
use std::net;
use std::sync;
use std::time;

use coltsfoot_gateway::{peer_slot, reader_selection};
use coltsfoot_types::time as instant;
use coltsfoot_wire::fleet as wire;
use site_platform::store;

use crate::event;
use crate::gateway::{fleet, follower, state};

/// Longest record that is passed on without being asked for, in bytes: a datagram of one packet.
const MAX_PUSHED_BYTES: usize = 1_200;
/// Records sent in one datagram, in bytes, unless a single one is longer.
const MAX_ANSWER_BYTES: usize = 16 * 1024;
/// Time between looks at whether others know more.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(400);
/// Looks in a row at which others knew more, after which one of them is asked.
const CHECKS_BEFORE_ASK: u32 = 2;

/// The newest records of a topic, as they were read.
#[derive(Default)]
pub(crate) struct KnownRecords {
    records: collections::BTreeMap<String, store::KeyedRecord>,
}

impl KnownRecords {
    /// Keeps a record; returns false if a newer one of its key is known.
    fn keep(&mut self, record: &store::KeyedRecord) -> bool {
        let known = self.records.get(&record.key);
        if known.is_some_and(|known| known.offset > record.offset) {
            return false;
        }
        self.records.insert(record.key.clone(), record.clone());
        true
    }
}

/// Keeps records that were read from the store; `is_whole` if there are no others.
pub(crate) fn keep(
    state: &state::GatewayState,
    topic: wire::StoreTopic,
    records: &[store::KeyedRecord],
    is_whole: bool,
) {
    let mut known = state::lock(state.known_records(topic));
    if is_whole {
        known.records.clear();
    }
    for record in records {
        known.keep(record);
    }
}

/// Passes small records on to all instances; records without a value tell that a key is gone.
pub(crate) fn push(
    state: &state::GatewayState,
    topic: wire::StoreTopic,
    records: &[store::KeyedRecord],
) {
    let length = |record: &store::KeyedRecord| record.value.as_ref().map_or(0, Vec::len);
    let small = records.iter().filter(|record| length(record) <= MAX_PUSHED_BYTES);
    let addresses = state.view().peer_addresses();
    for record in small {
        let records = vec![encode(record)];
        let message = wire::FleetMessage::Records(wire::TopicRecords { topic, records });
        fleet::send(state, addresses.iter().copied(), &message);
    }
}

fn encode(record: &store::KeyedRecord) -> wire::StoreRecord {
    let value = record.value.clone().unwrap_or_default();
    wire::StoreRecord { key: record.key.clone(), offset: record.offset, value }
}

/// Sends all records of a topic to an instance that asked.
pub(crate) fn answer(state: &state::GatewayState, ask: &wire::RecordsRequest) {
    let records: Vec<wire::StoreRecord> = {
        let known = state::lock(state.known_records(ask.topic));
        known.records.values().filter(|record| record.value.is_some()).map(encode).collect()
    };
    let mut batch: Vec<wire::StoreRecord> = Vec::new();
    let mut size = 0;
    for record in records {
        if size + record.value.len() > MAX_ANSWER_BYTES && !batch.is_empty() {
            send_batch(state, ask, std::mem::take(&mut batch));
            size = 0;
        }
        size += record.value.len() + record.key.len();
        batch.push(record);
    }
    send_batch(state, ask, batch);
}

fn send_batch(
    state: &state::GatewayState,
    ask: &wire::RecordsRequest,
    records: Vec<wire::StoreRecord>,
) {
    let news = wire::TopicRecords { topic: ask.topic, records };
    fleet::send(state, [ask.reply_to], &wire::FleetMessage::Records(news));
}

/// Takes records from another instance.
pub(crate) fn take(state: &state::GatewayState, news: wire::TopicRecords) {
    for record in news.records {
        let value = (!record.value.is_empty()).then_some(record.value);
        let record = store::KeyedRecord { key: record.key, value, offset: record.offset };
        if !state::lock(state.known_records(news.topic)).keep(&record) {
            continue;
        }
        match news.topic {
            wire::StoreTopic::Operator => follower::apply_operator(state, &record),
            wire::StoreTopic::Upstreams => follower::put_record(state, &record),
        }
    }
}

/// Asks another instance whenever others know more for a while, which means that this one can't read
/// the store.
pub(crate) async fn ask_when_behind(state: sync::Arc<state::GatewayState>) {
    let mut behind = [0; 2];
    loop {
        async_io::Timer::after(CHECK_INTERVAL).await;
        let topics = [
            (wire::StoreTopic::Operator, state.own_operator()),
            (wire::StoreTopic::Upstreams, state.own_upstreams()),
        ];
        for (checks, (topic, own)) in behind.iter_mut().zip(topics) {
            let source = better_informed(&state, topic, own);
            *checks = if source.is_some() { *checks + 1 } else { 0 };
            if let Some(address) = source.filter(|_| *checks >= CHECKS_BEFORE_ASK) {
                *checks = 0;
                log::info!(
                    event = event::NEWS_ASKED.number, address = address.to_string(),
                    read_age_ms = state.told_reading(own).age_ms; "news_asked: {topic:?}"
                );
                let ask = wire::RecordsRequest { topic, reply_to: state.settings.fleet_address() };
                fleet::send(&state, [address], &wire::FleetMessage::RecordsRequest(ask));
            }
        }
    }
}

/// Returns the instance with the newest reading, if that tells more than this one knows.
fn better_informed(
    state: &state::GatewayState,
    topic: wire::StoreTopic,
    own: reader_selection::OwnDigest,
) -> Option<net::SocketAddr> {
    let reading = |peer: &peer_slot::PeerSlot| match topic {
        wire::StoreTopic::Operator => peer.operator,
        wire::StoreTopic::Upstreams => peer.upstreams,
    };
    let view = state.view();
    let now: instant::MonotonicTime = state.now();
    let readings = view.topic_digests(reading);
    if reader_selection::digest_status(now, own, &readings)
        != reader_selection::DigestStatus::Differs
    {
        return None;
    }
    let newest = reader_selection::newest_digest(now, &readings)?;
    view.peer(newest.id).map(|peer| peer.address)
}
