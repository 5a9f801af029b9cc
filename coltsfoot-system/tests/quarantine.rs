//! A request that crashes whatever engine runs it, sent again and again through all instances.

use coltsfoot_fakes::engine;
use coltsfoot_system::{caller, cluster, sample};
use http_types::Method;

const MODEL: &str = "korrigan-drafting";

/// Counts the crashes of all engines, once their ports are open again.
fn crashes(cluster: &cluster::ProcessCluster) -> u64 {
    let caller = caller::HttpCaller::new(None);
    let engines = cluster
        .upstreams
        .iter()
        .filter(|upstream| upstream.listing.name.as_str().starts_with("engine"));
    let mut total = 0;
    for engine in engines {
        let mut seen = serde_json::Value::Null;
        cluster::wait_until("the engine is back", || {
            let call = caller.call(Method::Get, engine.fake.address, "/observations", "");
            seen = async_io::block_on(call).map(|answer| answer.json()).unwrap_or_default();
            seen["crashes"].is_u64()
        });
        total += seen["crashes"].as_u64().unwrap_or_default();
    }
    total
}

#[test]
fn poison_crashes_two_engines_at_most_whoever_sends_it_again() {
    let switches = engine::EngineSwitches::builder()
        .token_us(2_000)
        .crash_prompt("boom".to_owned())
        .crash_outage_ms(1_000)
        .build();
    let options = cluster::ClusterOptions::builder().engine_switches(switches).build();
    let cluster = cluster::ProcessCluster::start(options);
    let zones = cluster.options.zones.clone();
    let (code, output) = cluster.apply(&sample::sample_objects(&zones, &["korrigan"]));
    assert_eq!(code, Some(0), "{output}");
    cluster.wait_for_offset(1);
    let korrigan = caller::HttpCaller::new(Some(&sample::key_of("korrigan")));
    cluster.wait_until_serving(&korrigan, MODEL);

    let addresses: Vec<_> =
        cluster.instances.iter().map(|instance| instance.caller_address).collect();
    let send = |place: usize| {
        let call = korrigan.chat(addresses[place % addresses.len()], MODEL, "boom", 20);
        async_io::block_on(call).expect("an answer")
    };
    let mut place = 0;
    cluster::wait_until("the poison is quarantined", || {
        place += 1;
        send(place).code() == "quarantined"
    });
    let after = crashes(&cluster);
    assert!((1..=2).contains(&after), "{after} engines crashed");
    for place in 0..addresses.len() {
        let answer = send(place);
        assert_eq!((answer.status, answer.code().as_str()), (422, "quarantined"));
    }
    assert_eq!(crashes(&cluster), after);
    cluster.wait_until_serving(&korrigan, MODEL);
}
