//! Snapshots: round trip, order of chunks, corruption, and records applied after a restore.

mod common;

use coltsfoot_catalog::{object, replica, snapshot};
use coltsfoot_types::id;

/// Number of adapters in the large configuration, enough for several chunks.
const ADAPTERS: u32 = 20_000;

fn large_replica() -> replica::CatalogReplica {
    let mut replica = common::base_replica();
    for part in 0..ADAPTERS / 1_000 {
        let names = (part * 1_000..(part + 1) * 1_000).map(|number| format!("adapter-{number}"));
        let puts = names.map(|name| common::put(None, common::adapter(&name, "hotel", &[1, 2])));
        let set = common::set(100 + u128::from(part), puts.collect());
        let outcome = replica.apply(replica.next_offset(), &common::text(&set));
        assert!(matches!(outcome, replica::ApplyOutcome::Accepted { .. }));
    }
    replica
}

fn restored(chunks: &[Vec<u8>]) -> Result<replica::CatalogReplica, snapshot::SnapshotError> {
    let mut restorer = snapshot::SnapshotRestorer::new();
    for chunk in chunks {
        restorer.add(chunk)?;
    }
    restorer.restore()
}

#[test]
fn a_restored_replica_behaves_like_the_original() {
    let mut original = large_replica();
    let encoded = snapshot::encode(&original).unwrap();
    assert!(encoded.chunks.len() > 2, "{} chunks", encoded.chunks.len());
    let texts = encoded.chunks.iter().rev().map(|chunk| snapshot::chunk_text(chunk));
    let chunks: Vec<_> = texts.map(|text| snapshot::chunk_from_text(&text).unwrap()).collect();
    let mut copy = restored(&chunks).unwrap();
    let repeated = common::text(&common::base_set());
    let removal = common::remove(Some(0), object::ObjectKind::Exception, "festival-brief");
    let invalid = common::text(&common::set(7, vec![removal]));
    for value in [&repeated, &invalid] {
        let offset = original.next_offset();
        let outcomes = [original.apply(offset, value), copy.apply(offset, value)];
        assert_eq!(format!("{:?}", outcomes[0]), format!("{:?}", outcomes[1]));
        assert!(!matches!(outcomes[0], replica::ApplyOutcome::Accepted { .. }));
    }
    let again = snapshot::encode(&copy).unwrap();
    assert_eq!(again.chunks, snapshot::encode(&original).unwrap().chunks);
}

#[test]
fn a_missing_corrupt_or_foreign_chunk_is_refused() {
    let replica = large_replica();
    let chunks = snapshot::encode(&replica).unwrap().chunks;
    let missing = restored(&chunks[1..]).unwrap_err();
    assert!(matches!(missing, snapshot::SnapshotError::Incomplete { missing: 1 }));
    let mut corrupt = chunks.clone();
    let last = corrupt[1].len() - 1;
    corrupt[1][last] ^= 1;
    assert!(matches!(restored(&corrupt).unwrap_err(), snapshot::SnapshotError::WrongDigest));
    let mut mixed = chunks;
    mixed[0] = snapshot::encode(&common::base_replica()).unwrap().chunks.remove(0);
    assert!(matches!(restored(&mixed).unwrap_err(), snapshot::SnapshotError::OtherSnapshot));
    assert!(matches!(restored(&[vec![1, 2]]).unwrap_err(), snapshot::SnapshotError::Malformed));
}

#[test]
fn an_empty_replica_has_a_snapshot() {
    let chunks = snapshot::encode(&replica::CatalogReplica::new()).unwrap().chunks;
    let copy = restored(&chunks).unwrap();
    assert_eq!((copy.next_offset(), copy.state().len()), (id::LogOffset(0), 0));
}
