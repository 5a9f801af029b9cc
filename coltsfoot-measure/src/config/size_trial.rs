//! Memory and restore time of a large configuration, in this process.

use std::fs;
use std::time;

use coltsfoot_catalog::{replica, snapshot};
use coltsfoot_fakes::fleet;
use coltsfoot_types::id;
use smallvec::smallvec;

use crate::cmd::MeasureError;
use crate::config::change_text;

/// Keys of the large configuration.
const KEYS: u32 = 1_000;
/// Routes of the large configuration.
const ROUTES: u32 = 1_000;
/// Changes that are folded one by one while the views before them are held.
const CHANGES: u32 = 1_000;
/// Views that traffic threads hold at most.
const HELD_VIEWS: usize = 8;
/// Time after which a restore has failed.
const RESTORE_LIMIT: time::Duration = time::Duration::from_secs(30);

/// What the large configuration costs.
pub struct SizeTrial {
    /// Resident memory of this process, with the fold and the views of recent changes.
    pub rss_mib: f64,
    /// Size of the snapshot as text on the log.
    pub snapshot_mib: f64,
    /// Time that the encoding of a snapshot takes.
    pub encode_ms: f64,
    /// Processor time of the fold of one change.
    pub change_us: f64,
    /// Time from the start of an instance until it is ready, by snapshot and tail.
    pub restore_s: f64,
    /// The same with the log out, from a peer.
    pub restore_from_peer_s: f64,
}

/// Builds the configuration, changes it, and restores it.
pub fn run(adapters: u32) -> Result<SizeTrial, MeasureError> {
    let mut fold = replica::CatalogReplica::new();
    let mut rejected = 0;
    change_text::for_each_setup_record(adapters, KEYS, ROUTES, |record| {
        rejected += u32::from(!is_accepted(&mut fold, &record));
    })?;
    let change_us = change_one_by_one(&mut fold, &mut rejected)?;
    if rejected > 0 {
        return Err(MeasureError::Violated(format!("{rejected} sets of the setup were rejected")));
    }
    let rss_mib = resident_mib()?;
    let start = time::Instant::now();
    let encoded =
        snapshot::encode(&fold).map_err(|error| MeasureError::Violated(error.to_string()))?;
    let encode_ms = start.elapsed().as_secs_f64() * 1e3;
    let texts: Vec<_> = encoded.chunks.iter().map(|chunk| snapshot::chunk_text(chunk)).collect();
    let bytes: usize = texts.iter().map(String::len).sum();
    drop(fold);
    Ok(SizeTrial {
        rss_mib,
        snapshot_mib: bytes as f64 / 1024.0 / 1024.0,
        encode_ms,
        change_us,
        restore_s: restore(texts.clone(), encoded.offset, false)?,
        restore_from_peer_s: restore(texts, encoded.offset, true)?,
    })
}

fn is_accepted(fold: &mut replica::CatalogReplica, record: &str) -> bool {
    let offset = fold.next_offset();
    matches!(fold.apply(offset, record), replica::ApplyOutcome::Accepted { .. })
}

/// Folds changes of adapters while some views before them are held. Returns the time of one.
fn change_one_by_one(
    fold: &mut replica::CatalogReplica,
    rejected: &mut u32,
) -> Result<f64, MeasureError> {
    let mut views = std::collections::VecDeque::new();
    let mut elapsed = time::Duration::ZERO;
    for number in 0..CHANGES {
        let adapter = change_text::adapter(number * 97, 3);
        let name = coltsfoot_catalog::reference::ObjectRef::new(adapter.kind(), adapter.name());
        let put = change_text::put(fold.state().revision(&name), adapter);
        let record = change_text::set(1_000_000 + u64::from(number), vec![put])?;
        let start = time::Instant::now();
        *rejected += u32::from(!is_accepted(fold, &record));
        views.push_back(fold.view());
        elapsed += start.elapsed();
        if views.len() > HELD_VIEWS {
            views.pop_front();
        }
    }
    Ok(elapsed.as_secs_f64() * 1e6 / f64::from(CHANGES))
}

/// Restores an instance and returns the sum of the virtual time of calls and messages and of the
/// time that the decisions took in reality.
fn restore(
    texts: Vec<String>,
    offset: id::LogOffset,
    from_peer: bool,
) -> Result<f64, MeasureError> {
    let switches = fleet::FleetLogSwitches {
        latency: time::Duration::from_millis(10),
        retention: time::Duration::from_secs(24 * 3_600),
        outage: false,
        lost_answers: false,
    };
    let link = Box::new(|_: fleet::LinkTransfer<'_>| smallvec![time::Duration::from_micros(1_500)]);
    let mut fleet = fleet::FollowerFleet::new(1, switches, link);
    fleet.load_snapshot(offset, texts);
    if from_peer {
        let peer = fleet.start("peer", "rennes");
        await_ready(&mut fleet, peer)?;
        fleet.log.outage = true;
    }
    let instance = fleet.start("new", "brest");
    await_ready(&mut fleet, instance)
}

fn await_ready(fleet: &mut fleet::FollowerFleet, index: usize) -> Result<f64, MeasureError> {
    let begun_at = fleet.now();
    let start = time::Instant::now();
    let is_ready = |fleet: &fleet::FollowerFleet| fleet.members[index].follower.is_ready();
    if !fleet.run_until(begun_at + RESTORE_LIMIT, is_ready) {
        return Err(MeasureError::Violated("the instance was not restored".to_owned()));
    }
    Ok(fleet.now().since(begun_at).as_secs_f64() + start.elapsed().as_secs_f64())
}

/// Returns the resident memory of this process.
fn resident_mib() -> Result<f64, MeasureError> {
    let status = fs::read_to_string("/proc/self/status");
    let status = status.map_err(|error| MeasureError::Violated(error.to_string()))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<f64>().ok());
    let missing = || MeasureError::Violated("the system does not tell VmRSS".to_owned());
    Ok(kib.ok_or_else(missing)? / 1024.0)
}
