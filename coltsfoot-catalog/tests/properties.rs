//! Random logs: every instance reaches the same consistent state, in whatever order records arrive.

mod common;

use coltsfoot_catalog::{object, replica, snapshot, validate};
use coltsfoot_types::id;
use proptest::prelude::*;
use serde_json::json;

/// Number of change ids that random sets choose from, small enough that some repeat.
const CHANGE_IDS: u128 = 40;

const CUSTOMERS: [&str; 3] = ["hotel", "festival", "farm"];
const ADAPTERS: [&str; 4] = ["menus", "crews", "wells", "tales"];
const ROUTES: [&str; 3] = ["brief", "book", "ask"];

fn pick(names: &'static [&'static str]) -> impl Strategy<Value = &'static str> {
    proptest::sample::select(names)
}

fn random_object() -> impl Strategy<Value = serde_json::Value> {
    let customer = pick(&CUSTOMERS).prop_map(common::customer);
    let key = (pick(&["k1", "k2"]), pick(&CUSTOMERS), pick(&["s1", "s2"]))
        .prop_map(|(name, customer, secret)| common::key(name, customer, secret));
    let adapter = (pick(&ADAPTERS), pick(&CUSTOMERS), 1..3_u32)
        .prop_map(|(name, customer, version)| common::adapter(name, customer, &[version, 7]));
    let route = (pick(&ROUTES), pick(&ADAPTERS), pick(&CUSTOMERS), pick(&CUSTOMERS)).prop_map(
        |(name, adapter, first, second)| common::route(name, adapter, &[first, second][..]),
    );
    let exception =
        (pick(&["e1", "e2"]), pick(&CUSTOMERS), pick(&ROUTES), pick(&ADAPTERS), 1..3_u32).prop_map(
            |(name, customer, route, adapter, version)| {
                json!({"kind": "exception", "name": name, "customer": customer, "route": route,
                "adapter": adapter, "version": version})
            },
        );
    prop_oneof![customer, key, adapter, route, exception]
}

/// A change that expects the current revision, or a wrong one if `stale`.
#[derive(Clone, Debug)]
struct DraftChange {
    object: serde_json::Value,
    removes: bool,
    stale: bool,
}

#[derive(Clone, Debug)]
struct DraftSet {
    change_id: u128,
    changes: Vec<DraftChange>,
}

fn draft_set() -> impl Strategy<Value = DraftSet> {
    let change = (random_object(), prop::bool::weighted(0.2), prop::bool::weighted(0.05))
        .prop_map(|(object, removes, stale)| DraftChange { object, removes, stale });
    (2..CHANGE_IDS, prop::collection::vec(change, 1..4))
        .prop_map(|(change_id, changes)| DraftSet { change_id, changes })
}

/// Encodes the sets with the revisions that `replica` holds, and applies them to it.
fn records_of(drafts: &[DraftSet], replica: &mut replica::CatalogReplica) -> Vec<String> {
    let mut records = vec![common::text(&common::base_set())];
    replica.apply(id::LogOffset(0), &records[0]);
    for draft in drafts {
        let changes = draft.changes.iter().map(|change| {
            let put = common::put(None, change.object.clone());
            let object = put.action.object();
            let revision = replica.state().revision(&object);
            let revision = if change.stale { Some(id::LogOffset(999)) } else { revision };
            let action = if change.removes {
                object::ChangeAction::Remove { kind: object.kind, name: object.name }
            } else {
                put.action
            };
            object::ObjectChange { revision, action }
        });
        let text = common::text(&common::set(draft.change_id, changes.collect()));
        replica.apply(replica.next_offset(), &text);
        records.push(text);
    }
    records
}

fn deliver(replica: &mut replica::CatalogReplica, records: &[String], offset: usize) {
    let before = replica.next_offset();
    if let Some(value) = records.get(offset) {
        replica.apply(id::LogOffset(offset as u64), value);
    }
    assert!(replica.next_offset() >= before, "the offset decreased");
}

/// A fixed seed, so that failures are reproducible.
fn fixed_config() -> ProptestConfig {
    let rng_seed = proptest::test_runner::RngSeed::Fixed(1);
    ProptestConfig { cases: 200, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(fixed_config())]

    #[test]
    fn every_order_of_delivery_yields_the_same_consistent_state(
        drafts in prop::collection::vec(draft_set(), 1..40),
        deliveries in prop::collection::vec(0..40_usize, 0..120),
        snapshot_after in 0..40_usize,
    ) {
        let mut reference = replica::CatalogReplica::new();
        let records = records_of(&drafts, &mut reference);
        let errors = validate::check_all(reference.state());
        prop_assert!(errors.is_empty(), "{errors:?}");
        let mut instance = replica::CatalogReplica::new();
        for (step, offset) in deliveries.into_iter().enumerate() {
            deliver(&mut instance, &records, offset);
            if step == snapshot_after {
                let encoded = snapshot::encode(&instance).unwrap();
                let mut restorer = snapshot::SnapshotRestorer::new();
                for chunk in &encoded.chunks {
                    restorer.add(chunk).unwrap();
                }
                instance = restorer.restore().unwrap();
            }
        }
        for offset in 0..records.len() {
            deliver(&mut instance, &records, offset);
        }
        let chunks = |replica: &replica::CatalogReplica| snapshot::encode(replica).unwrap().chunks;
        prop_assert_eq!(chunks(&instance), chunks(&reference));
    }
}
