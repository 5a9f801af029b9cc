//! Requests of a burst, drawn from a seed.

use coltsfoot_gateway::demand;
use rand::rngs;
use rand::{RngExt as _, SeedableRng as _};
use rand_distr::Distribution as _;
use smallvec::smallvec;

/// Adapters of the model.
const ADAPTERS: f64 = 3000.0;
/// Exponent of the adapters' popularity, of the users' sites.
const ADAPTER_EXPONENT: f64 = 1.2;
/// Requests a second outside and inside the burst, of the users' day scale-2.
const CALM_PER_S: f64 = 43.0;
const BURST_PER_S: f64 = 110.0;
/// Start and end of the burst, in milliseconds.
const BURST_MS: std::ops::Range<u64> = 4_000..10_000;
/// End of the arrivals, in milliseconds.
pub const END_MS: u64 = 16_000;
/// Share of requests with a short prompt and a long answer.
const NOTE_SHARE: f64 = 0.5;

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// When it came first, in milliseconds.
    pub arrival_ms: u64,
    /// What it asks of an engine.
    pub demand: demand::PromptDemand,
    /// Events of its answer.
    pub events: u32,
    /// Number of the instance that gets it.
    pub instance: usize,
}

/// Draws all requests, in the order of their arrival.
pub fn draw(
    seed: u64,
    instances: usize,
    has_adapters: bool,
    has_burst: bool,
) -> Vec<CallerRequest> {
    let mut rng = rngs::StdRng::seed_from_u64(seed);
    let popularity = rand_distr::Zipf::new(ADAPTERS, ADAPTER_EXPONENT).expect("a valid exponent");
    let spread = rand_distr::LogNormal::new(-0.3, 0.8).expect("a valid spread");
    let mut requests = Vec::new();
    let mut now = 0.0;
    loop {
        let rate =
            if has_burst && BURST_MS.contains(&(now as u64)) { BURST_PER_S } else { CALM_PER_S };
        let gap: f64 = rand_distr::Exp::new(rate / 1000.0).expect("a rate").sample(&mut rng);
        now += gap;
        if now as u64 >= END_MS {
            return requests;
        }
        let is_note = rng.random_bool(NOTE_SHARE);
        let (shared, own, events) = if is_note { (198, 628, 73) } else { (6300, 2890, 13) };
        let size: f64 = spread.sample(&mut rng);
        let own = (f64::from(own) * size) as u32 + 1;
        let rank = popularity.sample(&mut rng) as u64;
        let name = demand::AdapterName { model: "m".into(), adapter: format!("a{rank}").into() };
        let subject = rng.random_range(0..23_u64);
        let part = |id, tokens| demand::PromptPart { id, tokens };
        requests.push(CallerRequest {
            arrival_ms: now as u64,
            demand: demand::PromptDemand {
                model: "m".into(),
                adapter: has_adapters.then_some(name),
                prompt_tokens: shared + own,
                max_output_tokens: events * 4,
                parts: smallvec![
                    part(u64::from(is_note), shared * 2 / 5),
                    part(100 + subject * 2 + u64::from(is_note), shared * 3 / 5),
                    part(1_000_000 + requests.len() as u64, own)
                ],
            },
            events,
            instance: rng.random_range(0..instances),
        });
    }
}
