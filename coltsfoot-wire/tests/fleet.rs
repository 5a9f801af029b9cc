//! Messages between instances of different builds.

use coltsfoot_wire::fleet;
use rstest::rstest;

/// Messages as the build at commit b0854fd encodes them, in hexadecimal.
const HEARTBEAT: &str = "0081808080f0ddeff6fe01000a010019b03b0672656e6e6573fa01ac02960100281405ffffffff0f060c0300070b0102a001fa01014d03f0a204014d848688080201014d290101030184868808040109fa010108c0c407010102030104";
const LOAD_REQUEST: &str = "026301fd000000000000000000000000000001b03b4d026d30036131370301";
const ZONE_HEARTBEAT: &str = "060505627265737409ac0201010106000a01001ab03b78010601020304070050a002014d0100014d848688080201064d290101030184868808040109fa01010801";
/// Number of the kinds of messages that this build knows.
const KINDS: u8 = 20;

fn bytes_of(text: &str) -> Vec<u8> {
    let digits = text.as_bytes().chunks_exact(2);
    let texts = digits.map(|pair| str::from_utf8(pair).expect("digits"));
    texts.map(|pair| u8::from_str_radix(pair, 16).expect("a byte")).collect()
}

fn usage() -> Vec<fleet::AdapterUsage> {
    vec![fleet::AdapterUsage { upstream: 77, adapter: 0x0102_0304.into(), running: 2 }]
}

fn engine() -> fleet::OwnedEngine {
    fleet::OwnedEngine {
        upstream: 77,
        fence: 41,
        has_model: true,
        takes_orders: true,
        available_slots: 3,
        adapters: vec![fleet::ResidentAdapter { adapter: 0x0102_0304.into(), version: 4 }],
        pending: vec![fleet::PendingAdapter { adapter: 9.into(), ready_in_ms: 250 }],
    }
}

fn heartbeat() -> fleet::FleetMessage {
    fleet::FleetMessage::Heartbeat(fleet::FleetHeartbeat {
        sender: 0xfeed_beef_0000_0001,
        address: "10.1.0.25:7600".parse().expect("an address"),
        zone: "rennes".to_owned(),
        capacity: 250,
        sequence: 300,
        interval_ms: 150,
        is_draining: false,
        cross_zone_peers: 40,
        operator: fleet::TopicDigest { age_ms: 20, digest: 5 },
        upstreams: fleet::TopicDigest { age_ms: u32::MAX, digest: 6 },
        store_age_ms: 12,
        partitions: vec![0, 7, 11],
        fetching: 1,
        queued_fetches: 2,
        fetch_limit_tenths: 160,
        fetch_ms: 250,
        work: vec![fleet::UpstreamWork { upstream: 77, running: 3, prefill_tokens: 70_000 }],
        adapter_usage: usage(),
        engines: Some(vec![engine()]),
        quota_usage: vec![fleet::CustomerUsage { customer: 8, total: 123_456 }],
        origins: vec![fleet::StreamOrigin { stream: 1, build: 2, age_ms: 3 }],
        silent: vec![4],
    })
}

fn load_request() -> fleet::FleetMessage {
    fleet::FleetMessage::LoadRequest(fleet::LoadRequest {
        correlation_id: 99,
        reply_to: "[fd00::1]:7600".parse().expect("an address"),
        upstream: 77,
        model: "m0".to_owned(),
        adapter: "a17".to_owned(),
        version: 3,
        was_missing: true,
    })
}

fn zone_heartbeat() -> fleet::FleetMessage {
    fleet::FleetMessage::ZoneHeartbeat(fleet::ZoneHeartbeat {
        sender: 5,
        zone: "brest".to_owned(),
        sequence: 9,
        interval_ms: 300,
        is_forwarded: true,
        members: Some(vec![fleet::ZoneMember {
            id: 6,
            address: "10.1.0.26:7600".parse().expect("an address"),
            capacity: 120,
        }]),
        digests: vec![fleet::MemberDigests {
            instance: 6,
            operator: fleet::TopicDigest { age_ms: 1, digest: 2 },
            upstreams: fleet::TopicDigest { age_ms: 3, digest: 4 },
        }],
        fetching: 7,
        queued_fetches: 0,
        fetch_limit_tenths: 80,
        fetch_ms: 288,
        work: vec![fleet::UpstreamWork { upstream: 77, running: 1, prefill_tokens: 0 }],
        adapter_usage: usage(),
        engines: vec![fleet::ZoneEngine { owner: 6, engine: engine() }],
        quota_usage: vec![fleet::CustomerUsage { customer: 8, total: 1 }],
    })
}

#[rstest]
#[case::heartbeat(HEARTBEAT, heartbeat())]
#[case::load_request(LOAD_REQUEST, load_request())]
#[case::zone_heartbeat(ZONE_HEARTBEAT, zone_heartbeat())]
fn a_message_is_the_same_as_in_the_build_before(
    #[case] recorded: &str,
    #[case] message: fleet::FleetMessage,
) {
    let recorded = bytes_of(recorded);
    assert_eq!(fleet::FleetMessage::decode(&recorded), Ok(message.clone()));
    assert_eq!(message.encode(), Ok(recorded));
}

#[test]
fn cold_upstreams_have_the_agreed_number() {
    let cold = fleet::ColdUpstream { upstream: 77, remaining_ms: 3_000, hops: 1 };
    let message = fleet::FleetMessage::ColdUpstreams(vec![cold, cold]);
    let bytes = message.encode().expect("encoded");
    assert_eq!(bytes[0], 18);
    assert_eq!(fleet::FleetMessage::decode(&bytes), Ok(message));
}

/// An instance drops what it can't decode.
#[test]
fn an_unknown_kind_of_a_later_build_is_an_error() {
    for kind in KINDS..=u8::MAX / 2 {
        let bytes = [&[kind][..], &[0; 64]].concat();
        assert!(fleet::FleetMessage::decode(&bytes).is_err(), "{kind}");
    }
}

/// Returns a message with the digests of its adapters, counted from 1.
fn with_digests(mut message: fleet::FleetMessage) -> fleet::FleetMessage {
    let mut count = 0;
    let mut set = |adapter: &mut fleet::AdapterId| {
        count += 1;
        adapter.digest = [count, !count];
    };
    let mut set_engine = |engine: &mut fleet::OwnedEngine| {
        engine.adapters.iter_mut().for_each(|held| set(&mut held.adapter));
        engine.pending.iter_mut().for_each(|pending| set(&mut pending.adapter));
    };
    match &mut message {
        fleet::FleetMessage::Heartbeat(heartbeat) => {
            heartbeat.engines.iter_mut().flatten().for_each(set_engine);
            heartbeat.adapter_usage.iter_mut().for_each(|used| set(&mut used.adapter));
        }
        fleet::FleetMessage::ZoneHeartbeat(heartbeat) => {
            heartbeat.engines.iter_mut().for_each(|reported| set_engine(&mut reported.engine));
            heartbeat.adapter_usage.iter_mut().for_each(|used| set(&mut used.adapter));
        }
        fleet::FleetMessage::EngineChange(change) => set_engine(&mut change.engine),
        _ => {}
    }
    message
}

fn engine_change() -> fleet::FleetMessage {
    fleet::FleetMessage::EngineChange(fleet::EngineChange {
        sender: 5,
        sequence: 1,
        engine: engine(),
    })
}

/// Guards against two adapters that instances take for one because their names have the same short hash, and
/// against builds that do not understand each other.
#[rstest]
#[case::heartbeat(heartbeat())]
#[case::zone_heartbeat(zone_heartbeat())]
#[case::engine_change(engine_change())]
fn digests_of_adapters_follow_what_earlier_builds_read(#[case] message: fleet::FleetMessage) {
    let told = with_digests(message.clone());
    let bytes = told.encode().expect("encoded");
    assert_eq!(fleet::FleetMessage::decode(&bytes), Ok(told), "this build");
    let earlier = message.encode().expect("encoded");
    assert_eq!(bytes[..earlier.len()], earlier, "an earlier build reads the same");
    assert_eq!(postcard::from_bytes(&bytes), Ok(message.clone()), "and stops there");
    assert_eq!(fleet::FleetMessage::decode(&earlier), Ok(message), "its messages are understood");
}

/// A later build may add to the end; a damaged end does not lose the message.
#[test]
fn an_unreadable_end_of_a_message_is_left_out() {
    let told = with_digests(heartbeat());
    let bytes = told.encode().expect("encoded");
    let longer = [&bytes[..], &[1, 2, 3]].concat();
    assert_eq!(fleet::FleetMessage::decode(&longer), Ok(told));
    assert_eq!(fleet::FleetMessage::decode(&bytes[..bytes.len() - 1]), Ok(heartbeat()));
}
