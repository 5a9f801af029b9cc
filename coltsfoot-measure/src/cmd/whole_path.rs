//! `path`: one daemon against going straight to the same engine stand-in.

use std::net;
use std::time;

use coltsfoot_catalog::object;
use coltsfoot_fakes::engine;
use coltsfoot_system::{caller, embedded, sample};
use hdrhistogram::Histogram;

use crate::cmd::{MeasureError, MeasureOptions};
use crate::path_load;

/// Requests a second of the paced part.
const PACED_REQUESTS_PER_SECOND: u64 = 200;
/// Length of each paced part.
const PACED_LENGTH: time::Duration = time::Duration::from_secs(10);
/// Length of the part with as many requests as are answered.
const FULL_LENGTH: time::Duration = time::Duration::from_secs(5);
/// Requests at a time in the part with as many requests as are answered.
const FULL_CONCURRENCY: usize = 64;
/// Configured adapters.
const ADAPTERS: usize = 130_000;
/// Adapters in one change set.
const ADAPTERS_PER_CHANGE: usize = 10_000;
/// Adapter version that the requests name.
const MODEL: &str = "korrigan-drafts@1";

/// What the measure prints as JSON.
#[derive(serde::Serialize)]
struct PathFigures {
    added_p50_ms: f64,
    added_p99_ms: f64,
    direct_p50_ms: f64,
    direct_p99_ms: f64,
    requests_per_second: f64,
    rss_mib: f64,
    failed: u64,
}

/// Runs the measure.
pub fn run(_options: &MeasureOptions) -> Result<(), MeasureError> {
    let deployment = start();
    let through = deployment.daemons[0].caller_address;
    let engine = deployment.engines[0].address();
    let direct = path_load::paced(engine, None, PACED_REQUESTS_PER_SECOND, PACED_LENGTH);
    let key = sample::key_of("korrigan");
    let added = path_load::paced(through, Some(&key), PACED_REQUESTS_PER_SECOND, PACED_LENGTH);
    let full = path_load::saturating(through, &key, FULL_CONCURRENCY, FULL_LENGTH);
    let before_mib = path_load::resident_mib();
    publish_adapters(&deployment);
    let rss_mib = path_load::resident_mib() - before_mib;
    let quantile_ms = |histogram: &Histogram<u64>, quantile: f64| {
        histogram.value_at_quantile(quantile) as f64 / 1e3
    };
    let difference = |quantile| {
        quantile_ms(&added.latencies_us, quantile) - quantile_ms(&direct.latencies_us, quantile)
    };
    let figures = PathFigures {
        added_p50_ms: difference(0.5),
        added_p99_ms: difference(0.99),
        direct_p50_ms: quantile_ms(&direct.latencies_us, 0.5),
        direct_p99_ms: quantile_ms(&direct.latencies_us, 0.99),
        requests_per_second: full.answered as f64 / FULL_LENGTH.as_secs_f64(),
        rss_mib,
        failed: direct.failed + added.failed + full.failed,
    };
    println!("{:<28} {:>10} {:>10}", "", "p50 ms", "p99 ms");
    println!(
        "{:<28} {:>10.3} {:>10.3}",
        "straight to the engine", figures.direct_p50_ms, figures.direct_p99_ms
    );
    println!(
        "{:<28} {:>10.3} {:>10.3}",
        "added by the daemon", figures.added_p50_ms, figures.added_p99_ms
    );
    println!("{:<28} {:>10.0}", "requests per second", figures.requests_per_second);
    println!("{:<28} {:>10.1}", "MiB for 130,000 adapters", figures.rss_mib);
    println!("{}", serde_json::to_string(&figures).expect("figures are plain numbers"));
    Ok(())
}

fn start() -> embedded::EmbeddedCluster {
    let switches = engine::EngineSwitches::builder().token_us(0).load_ms(1).build();
    let options = embedded::EmbeddedOptions::builder()
        .zones(vec!["rennes"])
        .engines_per_zone(1)
        .batch_size(256)
        .engine_switches(switches)
        .build();
    let deployment = embedded::EmbeddedCluster::start(options).expect("the deployment starts");
    let mut objects = sample::sample_objects(&["rennes"], &["korrigan"]);
    for object in &mut objects {
        if let object::CatalogObject::Customer(customer) = object {
            customer.rate_tokens_per_second = 1_000_000;
            customer.burst_tokens = 10_000_000;
        }
    }
    deployment.publish(objects).expect("the configuration is published");
    let korrigan = caller::HttpCaller::new(Some(&sample::key_of("korrigan")));
    deployment.wait_until_serving(&korrigan, MODEL);
    deployment
}

fn publish_adapters(deployment: &embedded::EmbeddedCluster) {
    let numbers: Vec<usize> = (0..ADAPTERS).collect();
    for chunk in numbers.chunks(ADAPTERS_PER_CHANGE) {
        let objects = chunk.iter().map(|number| {
            object::CatalogObject::Adapter(object::AdapterObject {
                name: format!("idle-{number}").into(),
                base_model: sample::BASE_MODEL.into(),
                customer: "korrigan".into(),
                versions: vec![1],
            })
        });
        deployment.publish(objects.collect()).expect("the adapters are published");
    }
    let offset = 1 + ADAPTERS.div_ceil(ADAPTERS_PER_CHANGE) as u64;
    wait_for_offset(deployment.daemons[0].operator_address, offset);
}

fn wait_for_offset(address: net::SocketAddr, offset: u64) {
    coltsfoot_system::cluster::wait_until("the adapters are in force", || {
        coltsfoot_system::cluster::status(address)
            .is_some_and(|status| status["offset"].as_u64().is_some_and(|at| at >= offset))
    });
}
