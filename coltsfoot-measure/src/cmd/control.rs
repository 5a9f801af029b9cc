//! `control`: what the control thread of a daemon costs, and how that grows.

use std::time;

use coltsfoot_catalog::object;
use coltsfoot_fakes::{engine, store};
use coltsfoot_system::{caller, embedded, sample};

use crate::cmd::{MeasureError, MeasureOptions};
use crate::control_cost::{self, ControlCost};
use crate::path_load;

/// Zones of the measured deployments.
const ZONES: [&str; 3] = ["rennes", "brest", "nantes"];
/// Length of each reading.
const READING_LENGTH: time::Duration = time::Duration::from_secs(8);
/// Time for views, ownership and quota to settle before a reading.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(4);
/// Daemons of the later size.
const LATER_DAEMONS: f64 = 390.0;
/// Requests per second and daemon of the later size.
const LATER_REQUESTS_PER_SECOND: f64 = 6_400.0 / LATER_DAEMONS;
/// Engines for each daemon of the later size.
const LATER_ENGINES_PER_DAEMON: f64 = 730.0 / LATER_DAEMONS;

/// A deployment to read.
struct SizeCase {
    daemons_per_zone: usize,
    engines_per_zone: usize,
    requests_per_second: u64,
}

/// What the measure prints as JSON.
#[derive(serde::Serialize)]
struct ControlFigures {
    core_share: f64,
    rss_mib: f64,
    bytes_per_second: f64,
    member_bytes_per_second: f64,
    peer_bytes_per_second_base: f64,
    peer_bytes_per_daemon: f64,
    peer_bytes_per_request: f64,
    platform_bytes_per_second_base: f64,
    platform_bytes_per_engine: f64,
    core_share_base: f64,
    core_share_per_daemon: f64,
    core_share_per_request: f64,
    core_share_per_engine: f64,
}

/// Runs the measure.
pub fn run(_options: &MeasureOptions) -> Result<(), MeasureError> {
    let case = |daemons_per_zone, engines_per_zone, requests_per_second| SizeCase {
        daemons_per_zone,
        engines_per_zone,
        requests_per_second,
    };
    let cases = [
        case(1, 2, 0),
        case(2, 2, 0),
        case(4, 2, 0),
        case(8, 2, 0),
        case(2, 4, 0),
        case(2, 8, 0),
        case(2, 2, 5),
        case(2, 2, 10),
        case(2, 2, 20),
    ];
    println!(
        "{:>8} {:>8} {:>11} {:>12} {:>12} {:>12} {:>13}",
        "daemons", "engines", "requests/s", "core share", "member b/s", "peer b/s", "platform b/s"
    );
    let costs: Vec<ControlCost> = cases.iter().map(read).collect();
    let figures = fit(&cases, &costs);
    println!("{}", serde_json::to_string(&figures).expect("figures are plain numbers"));
    Ok(())
}

/// Reads the cost per daemon of one deployment.
fn read(case: &SizeCase) -> ControlCost {
    let engine_switches = engine::EngineSwitches::builder().token_us(0).load_ms(1).build();
    let store_switches = store::StoreSwitches::builder().loads_per_second(100.0).load_ms(1).build();
    let options = embedded::EmbeddedOptions::builder()
        .zones(ZONES.to_vec())
        .daemons_per_zone(case.daemons_per_zone)
        .engines_per_zone(case.engines_per_zone)
        .engine_switches(engine_switches)
        .store_switches(store_switches)
        .traffic_threads(1)
        .build();
    let deployment = embedded::EmbeddedCluster::start(options).expect("the deployment starts");
    deployment.publish(objects()).expect("the configuration is published");
    let korrigan = caller::HttpCaller::new(Some(&sample::key_of("korrigan")));
    deployment.wait_until_serving(&korrigan, "korrigan-drafts@1");
    std::thread::sleep(SETTLE_TIME);
    let before = control_cost::read(&deployment);
    let kinds_before = control_cost::bytes_by_kind(&deployment);
    let addresses = deployment.caller_addresses();
    let senders: Vec<_> = addresses
        .into_iter()
        .filter(|_| case.requests_per_second > 0)
        .map(|address| {
            let rate = case.requests_per_second;
            let key = sample::key_of("korrigan");
            std::thread::spawn(move || {
                path_load::paced(address, Some(&key), rate, READING_LENGTH);
            })
        })
        .collect();
    std::thread::sleep(READING_LENGTH);
    for sender in senders {
        let _ = sender.join();
    }
    let cost = control_cost::read(&deployment).per_daemon(&before, READING_LENGTH);
    println!(
        "{:>8} {:>8} {:>11} {:>12.5} {:>12.0} {:>12.0} {:>13.0}",
        case.daemons_per_zone * ZONES.len(),
        case.engines_per_zone * ZONES.len(),
        case.requests_per_second,
        cost.core_share,
        cost.member_bytes,
        cost.peer_bytes,
        cost.platform_bytes
    );
    let per = deployment.daemons.len() as f64 * READING_LENGTH.as_secs_f64();
    let kinds = control_cost::bytes_by_kind(&deployment).into_iter().zip(kinds_before);
    let kinds: Vec<_> = kinds
        .map(|((kind, after), (_, before))| format!("{kind} {:.0}", (after - before) / per))
        .collect();
    println!("         by kind: {}", kinds.join(", "));
    for daemon in deployment.daemons {
        daemon.stop();
    }
    cost
}

fn objects() -> Vec<object::CatalogObject> {
    sample::sample_objects(&ZONES, &["korrigan", "hotels", "festivals", "weddings", "clubs"])
}

/// Fits straight lines through the readings and follows them to the later size. The bytes of
/// membership don't grow beyond a group of about nine members, so the largest zone's are taken.
fn fit(cases: &[SizeCase], costs: &[ControlCost]) -> ControlFigures {
    let zones = ZONES.len() as f64;
    let daemons = |case: &SizeCase| case.daemons_per_zone as f64 * zones;
    let engines = |case: &SizeCase| case.engines_per_zone as f64 / case.daemons_per_zone as f64;
    let slope = |range: &[usize], x: &dyn Fn(&SizeCase) -> f64, y: fn(&ControlCost) -> f64| {
        let points: Vec<_> =
            range.iter().map(|place| (x(&cases[*place]), y(&costs[*place]))).collect();
        control_cost::slope(&points)
    };
    let by_daemons = [0, 1, 2, 3];
    let by_engines = [1, 4, 5];
    let by_requests = [1, 6, 7, 8];
    let requests = |case: &SizeCase| case.requests_per_second as f64;
    let base = &costs[1];
    let more_daemons = LATER_DAEMONS - daemons(&cases[1]);
    let more_engines = LATER_ENGINES_PER_DAEMON - engines(&cases[1]);
    let core_share_per_daemon = slope(&by_daemons, &daemons, |cost| cost.core_share);
    let core_share_per_engine = slope(&by_engines, &engines, |cost| cost.core_share);
    let core_share_per_request = slope(&by_requests, &requests, |cost| cost.core_share);
    let peer_bytes_per_daemon = slope(&by_daemons, &daemons, |cost| cost.peer_bytes);
    let peer_bytes_per_request = slope(&by_requests, &requests, |cost| cost.peer_bytes);
    let platform_bytes_per_engine = slope(&by_engines, &engines, |cost| cost.platform_bytes);
    ControlFigures {
        core_share: base.core_share
            + core_share_per_daemon * more_daemons
            + core_share_per_engine * more_engines
            + core_share_per_request * LATER_REQUESTS_PER_SECOND,
        rss_mib: path_load::resident_mib(),
        bytes_per_second: costs[3].member_bytes
            + base.peer_bytes
            + base.platform_bytes
            + peer_bytes_per_daemon * more_daemons
            + peer_bytes_per_request * LATER_REQUESTS_PER_SECOND
            + platform_bytes_per_engine * more_engines,
        member_bytes_per_second: costs[3].member_bytes,
        peer_bytes_per_second_base: base.peer_bytes,
        peer_bytes_per_daemon,
        peer_bytes_per_request,
        platform_bytes_per_second_base: base.platform_bytes,
        platform_bytes_per_engine,
        core_share_base: base.core_share,
        core_share_per_daemon,
        core_share_per_request,
        core_share_per_engine,
    }
}
