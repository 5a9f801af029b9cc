//! The requests of a workload, the same for all ways of placing them.

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs;

use super::workload;
use crate::cmd;

/// Part of the adapters that change places in popularity in the case `shift`.
const SHIFTED_PART: f64 = 0.11;

/// Variant of the measure.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TraceCase {
    /// Constant popularity.
    Steady,
    /// Adapters wake and fall idle after the warm-up.
    Shift,
    /// All engines restart in the middle.
    Cold,
    /// The store is slow for a sixth of the time.
    StoreSlow,
}

impl TraceCase {
    /// Parses the value of `--case`.
    pub fn parse(case: Option<&str>) -> Result<Self, cmd::MeasureError> {
        match case {
            None | Some("steady") => Ok(Self::Steady),
            Some("shift") => Ok(Self::Shift),
            Some("cold") => Ok(Self::Cold),
            Some("store-slow") => Ok(Self::StoreSlow),
            Some(other) => {
                Err(cmd::MeasureError::UnknownCommand(format!("placement --case {other}")))
            }
        }
    }
}

/// A request.
#[derive(Clone, Debug)]
pub struct TraceRequest {
    /// Arrival, in microseconds.
    pub arrival_us: u64,
    /// Number of the zone where it arrives.
    pub zone: usize,
    /// Number of the adapter.
    pub adapter: usize,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Length of the output, in tokens.
    pub output_tokens: u32,
}

/// The requests and faults of a run.
#[derive(Clone, Debug)]
pub struct RequestTrace {
    /// Requests in order of arrival.
    pub requests: Vec<TraceRequest>,
    /// Exact popularity of each adapter at the start.
    pub popularity: Vec<f64>,
    /// When the popularity changes, and which two adapters change places.
    pub swaps: Vec<PopularitySwap>,
    /// When all engines restart, in microseconds.
    pub cold_at: Option<u64>,
    /// When the store is slow, in microseconds.
    pub slow: Option<(u64, u64)>,
}

/// Two adapters change places in popularity.
#[derive(Clone, Copy, Debug)]
pub struct PopularitySwap {
    /// When, in microseconds.
    pub at: u64,
    /// One adapter.
    pub left: usize,
    /// The other.
    pub right: usize,
}

impl RequestTrace {
    /// Draws the requests of a workload.
    pub fn draw(workload: &workload::PlacementWorkload, case: TraceCase, seed: u64) -> Self {
        let mut rng = rngs::SmallRng::seed_from_u64(seed);
        let ranks = 1..=workload.adapters;
        let weights: Vec<f64> = ranks.map(|rank| (rank as f64).powf(-workload.skew)).collect();
        let total = weights.iter().sum::<f64>();
        let mut sum = 0.0;
        let cumulated: Vec<f64> = weights
            .iter()
            .map(|weight| {
                sum += weight / total;
                sum
            })
            .collect();
        let mut by_rank: Vec<usize> = (0..workload.adapters).collect();
        shuffle(&mut by_rank, &mut rng);
        let mut popularity = vec![0.0; workload.adapters];
        for (rank, adapter) in by_rank.iter().enumerate() {
            popularity[*adapter] = weights[rank] / total;
        }
        let swap_ranks = Self::draw_swaps(workload, case, &mut rng);
        let mut swaps = Vec::new();
        let mut next_swap = 0;
        let mut requests = Vec::new();
        let mut arrival = 0.0;
        let end = workload.duration_s as f64;
        loop {
            let uniform: f64 = rng.random();
            arrival += -(1.0 - uniform).ln() / workload.requests_per_second;
            if arrival >= end {
                break;
            }
            let arrival_us = (arrival * 1e6) as u64;
            while let Some(&(at, left, right)) =
                swap_ranks.get(next_swap).filter(|swap| swap.0 <= arrival_us)
            {
                swaps.push(PopularitySwap { at, left: by_rank[left], right: by_rank[right] });
                by_rank.swap(left, right);
                next_swap += 1;
            }
            let point: f64 = rng.random();
            let rank = cumulated.partition_point(|sum| *sum < point).min(workload.adapters - 1);
            let adapter = by_rank[rank];
            let prefix = rng.random_range(0..workload.prefixes_per_adapter);
            let length: f64 = rng.random_range(0.3..1.7);
            requests.push(TraceRequest {
                arrival_us,
                zone: rng.random_range(0..workload.zones.len()),
                adapter,
                prefix,
                output_tokens: (f64::from(workload.output_tokens) * length) as u32 + 1,
            });
        }
        let warmup = workload.warmup_s * 1_000_000;
        let duration = workload.duration_s * 1_000_000;
        let middle = (warmup + duration) / 2;
        let cold_at = (case == TraceCase::Cold).then_some(middle);
        let slow = (case == TraceCase::StoreSlow).then_some((middle, middle + duration / 6));
        Self { requests, popularity, swaps, cold_at, slow }
    }

    /// Ranks that change places: half as many swaps as adapters that shift.
    fn draw_swaps(
        workload: &workload::PlacementWorkload,
        case: TraceCase,
        rng: &mut rngs::SmallRng,
    ) -> Vec<(u64, usize, usize)> {
        if case != TraceCase::Shift {
            return Vec::new();
        }
        let count = (workload.adapters as f64 * SHIFTED_PART / 2.0) as usize;
        let times = workload.warmup_s * 1_000_000..workload.duration_s * 1_000_000;
        let mut swaps: Vec<_> = (0..count)
            .map(|index| {
                // Every fourth swap wakes an idle adapter in the place of one of the hot ones.
                let hot = if index % 4 == 0 { 200 } else { workload.adapters };
                let left = rng.random_range(0..hot.min(workload.adapters));
                let right = rng.random_range(0..workload.adapters);
                (rng.random_range(times.clone()), left, right)
            })
            .collect();
        swaps.sort_unstable();
        swaps
    }
}

fn shuffle(values: &mut [usize], rng: &mut rngs::SmallRng) {
    for index in (1..values.len()).rev() {
        values.swap(index, rng.random_range(0..=index));
    }
}
