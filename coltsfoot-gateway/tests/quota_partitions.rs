//! Quotas while instances do not hear of each other. Invariant: in any window, all groups together admit no more
//! than the rate over the window and the burst, beyond the tolerance of the guarantee.

use std::sync;
use std::time;

use coltsfoot_gateway::quota_ledger::{QuotaClass, QuotaLedger, QuotaLimit, UsageReport};
use coltsfoot_gateway::rendezvous;
use coltsfoot_types::time as clock;
use rstest::rstest;

const CUSTOMER: &str = "clinic";
/// Quota of a large customer, in tokens.
const LIMIT: QuotaLimit = QuotaLimit { rate_per_s: 192_891.0, burst: 192_891.0 };
/// Window, overage and slack of the guarantee.
const WINDOW_MS: u64 = 8_000;
const OVERAGE: f64 = 1.1;
const SLACK: f64 = 110_000.0;
const TICK_MS: u64 = 10;
const HEARTBEAT_MS: u64 = 150;
const UNHEARD_MS: u64 = 12_000;

fn at(ms: u64) -> clock::MonotonicTime {
    clock::MonotonicTime(ms * 1000)
}

/// Returns the most tokens that a window may hold.
fn allowed() -> f64 {
    (LIMIT.rate_per_s * WINDOW_MS as f64 / 1000.0 + LIMIT.burst) * OVERAGE + SLACK
}

struct Report {
    due: u64,
    from: usize,
    incarnation: u64,
    to: usize,
    total: u64,
    silent: Vec<u64>,
}

struct Instance {
    ledger: QuotaLedger,
    incarnation: u64,
    started: u64,
    /// Incarnations heard, by place.
    heard: Vec<Option<u64>>,
    /// Down or frozen until then.
    away_until: u64,
}

impl Instance {
    fn start(now: u64, incarnation: u64, places: usize) -> Self {
        let mut ledger = QuotaLedger::default();
        let customer: sync::Arc<str> = CUSTOMER.into();
        ledger.set_unheard(at(now), places as u32 - 1);
        ledger.set_limit(at(now), &customer, Some(LIMIT));
        Self { ledger, incarnation, started: now, heard: vec![None; places], away_until: now }
    }

    fn tick(&mut self, now: u64) {
        let heard = self.heard.iter().flatten().count();
        let is_new = now < self.started + UNHEARD_MS;
        let unheard = if is_new { self.heard.len() - 1 - heard } else { 0 };
        self.ledger.set_unheard(at(now), unheard as u32);
    }

    fn receive(&mut self, now: u64, report: &Report) {
        if self.heard[report.from] != Some(report.incarnation)
            && let Some(former) = self.heard[report.from].replace(report.incarnation)
        {
            self.ledger.forget_peer(former);
        }
        let is_deaf = report.silent.contains(&self.incarnation);
        let interval = time::Duration::from_millis(HEARTBEAT_MS);
        let usage = UsageReport { total: report.total, instances: 1, interval, is_deaf };
        self.ledger.record_peer_report(at(now), report.incarnation, CUSTOMER, usage);
    }
}

/// Demand in tokens per second at an instance.
type Demand = Box<dyn Fn(u64, usize) -> f64>;
/// Whether a message from one instance reaches another at a time.
type Link = Box<dyn Fn(u64, usize, usize) -> bool>;

struct Simulation {
    instances: Vec<Instance>,
    reports: Vec<Report>,
    draws: u64,
    seed: u64,
    /// Tokens admitted in each tick.
    admitted: Vec<f64>,
    refused: f64,
    backlog: Vec<f64>,
}

impl Simulation {
    fn new(seed: u64, places: usize) -> Self {
        let instances = (0..places).map(|place| Instance::start(0, place as u64, places)).collect();
        let (reports, admitted, refused) = (Vec::new(), Vec::new(), 0.0);
        let backlog = vec![0.0; places];
        Self { instances, reports, draws: 0, seed, admitted, refused, backlog }
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.draws += 1;
        rendezvous::weight(self.seed, self.draws) % bound
    }

    fn step(&mut self, now: u64, demand: &Demand, link: &Link) {
        let due = self.reports.extract_if(.., |report| report.due <= now).collect::<Vec<_>>();
        for report in due {
            let to = &mut self.instances[report.to];
            if now >= to.away_until {
                to.receive(now, &report);
            }
        }
        let mut admitted = 0.0;
        for place in 0..self.instances.len() {
            if now < self.instances[place].away_until {
                continue;
            }
            self.instances[place].tick(now);
            self.backlog[place] += demand(now, place) * TICK_MS as f64 / 1000.0;
            loop {
                let tokens = 1_000 + self.below(16_000);
                if self.backlog[place] < tokens as f64 {
                    break;
                }
                self.backlog[place] -= tokens as f64;
                let ledger = &mut self.instances[place].ledger;
                match ledger.admit(at(now), CUSTOMER, tokens, QuotaClass::Plain) {
                    Ok(()) => admitted += tokens as f64,
                    Err(_) => self.refused += tokens as f64,
                }
            }
            if (now + place as u64 * 20).is_multiple_of(HEARTBEAT_MS) {
                self.send(now, place, link);
            }
        }
        self.admitted.push(admitted);
    }

    fn send(&mut self, now: u64, from: usize, link: &Link) {
        let sender = &self.instances[from];
        let (incarnation, silent) = (sender.incarnation, sender.ledger.silent_peers(at(now)));
        let total = sender.ledger.totals().map(|(_, total)| total).sum();
        for to in (0..self.instances.len()).filter(|to| *to != from) {
            if link(now, from, to) {
                let due = now + 2 + self.below(40);
                let silent = silent.clone();
                self.reports.push(Report { due, from, incarnation, to, total, silent });
            }
        }
    }

    fn restart(&mut self, now: u64, place: usize, incarnation: u64) {
        let places = self.instances.len();
        self.instances[place] = Instance::start(now, incarnation, places);
        self.instances[place].away_until = now + 1_000;
    }

    /// Returns the most tokens of any window.
    fn largest_window(&self) -> f64 {
        let ticks = (WINDOW_MS / TICK_MS) as usize;
        let mut sum = 0.0;
        let mut largest = 0.0_f64;
        for (index, admitted) in self.admitted.iter().enumerate() {
            sum += admitted;
            if index >= ticks {
                sum -= self.admitted[index - ticks];
            }
            largest = largest.max(sum);
        }
        largest
    }

    fn admitted_between(&self, from_ms: u64, to_ms: u64) -> f64 {
        let ticks = (from_ms / TICK_MS) as usize..(to_ms / TICK_MS) as usize;
        self.admitted[ticks].iter().sum()
    }
}

/// A zone of two instances of six is cut off, and just after that the customer sends 7.5 times its usual
/// at all of them: neither side can know of the other's demand.
#[test]
fn both_sides_of_a_cut_share_the_bucket_of_a_customer_that_turns_hot() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed, 6);
        let is_cut = |now: u64| (12_000..17_900).contains(&(now % 20_000));
        let link: Link = Box::new(move |now, from, to| !is_cut(now) || (from < 2) == (to < 2));
        let demand: Demand = Box::new(|now, _| match (12_200..18_700).contains(&(now % 20_000)) {
            true => 150_000.0,
            false => 20_000.0,
        });
        for now in (0..60_000).step_by(TICK_MS as usize) {
            simulation.step(now, &demand, &link);
        }
        let largest = simulation.largest_window();
        assert!(largest <= allowed(), "seed {seed}: {largest} tokens, allowed {}", allowed());
    }
}

/// Returns the share of a steady demand that is refused in a cut of two instances of six; the demand is `load`
/// times the rate, `busy_share` of it at the two.
fn refused_in_a_cut(load: f64, busy_share: f64) -> f64 {
    let mut simulation = Simulation::new(1, 6);
    let link: Link = Box::new(|now, from, to| now < 10_000 || (from < 2) == (to < 2));
    let demand: Demand = Box::new(move |_, place| {
        let (share, instances) =
            if place < 2 { (busy_share, 2.0) } else { (1.0 - busy_share, 4.0) };
        LIMIT.rate_per_s * load * share / instances
    });
    for now in (0..20_000).step_by(TICK_MS as usize) {
        if now == 10_000 {
            simulation.refused = 0.0;
        }
        simulation.step(now, &demand, &link);
    }
    simulation.refused / (LIMIT.rate_per_s * load * 10.0)
}

#[rstest]
#[case::even(0.8, 1.0 / 3.0)]
#[case::all_on_the_smaller_side(0.6, 1.0)]
#[case::all_on_the_larger_side(0.8, 0.0)]
fn a_customer_that_is_not_near_its_limit_does_not_notice_a_cut(
    #[case] load: f64,
    #[case] busy_share: f64,
) {
    assert_eq!(refused_in_a_cut(load, busy_share), 0.0);
}

/// The price of a cut: none of the quota is lost to both sides if the demand stays as it was.
#[rstest]
#[case::even(1.0 / 3.0)]
#[case::mostly_on_the_smaller_side(0.6)]
fn a_customer_at_its_limit_keeps_most_of_its_quota_in_a_cut(#[case] busy_share: f64) {
    let refused = refused_in_a_cut(0.95, busy_share);
    assert!(refused < 0.2, "{refused} of the demand was refused");
}

#[test]
fn a_hot_customer_gets_its_full_rate_while_all_hear_each_other() {
    let mut simulation = Simulation::new(1, 6);
    let link: Link = Box::new(|_, _, _| true);
    let demand: Demand = Box::new(|_, _| LIMIT.rate_per_s);
    for now in (0..30_000).step_by(TICK_MS as usize) {
        simulation.step(now, &demand, &link);
    }
    let rate = simulation.admitted_between(14_000, 30_000) / 16.0;
    let share = rate / LIMIT.rate_per_s;
    assert!((0.98..1.05).contains(&share), "{share} of the rate");
}

/// The cut may last long, since shares are held until the other side no longer counts.
#[test]
fn a_long_cut_adds_nothing_to_the_rate() {
    let mut simulation = Simulation::new(3, 6);
    let link: Link = Box::new(|now, from, to| now < 10_000 || (from < 2) == (to < 2));
    let demand: Demand = Box::new(|_, _| LIMIT.rate_per_s);
    for now in (0..38_000).step_by(TICK_MS as usize) {
        simulation.step(now, &demand, &link);
    }
    let share = simulation.admitted_between(12_000, 38_000) / 26.0 / LIMIT.rate_per_s;
    assert!((0.9..OVERAGE).contains(&share), "{share} of the rate");
}

/// Seeded cuts of groups, both ways and one way, with instances that freeze or restart in them and demand that
/// moves between the sides.
#[test]
fn no_seed_exceeds_the_rate_and_burst() {
    for seed in 0..300_u64 {
        let places = 3 + (seed % 7) as usize;
        let mut simulation = Simulation::new(seed, places);
        let one_way = simulation.below(3) == 0;
        let border = 1 + simulation.below(places as u64 - 1) as usize;
        let (start, length) = (13_000 + simulation.below(4_000), 500 + simulation.below(12_000));
        let link: Link = Box::new(move |now, from, to| {
            let is_cut = (start..start + length).contains(&now);
            let is_across = (from < border) != (to < border);
            !is_cut || !is_across || (one_way && from < border)
        });
        let hot_from = start + simulation.below(2_000);
        let hot_sides = simulation.below(3);
        let demand: Demand = Box::new(move |now, place| {
            let is_hot = match hot_sides {
                0 => true,
                1 => place < border,
                _ => place >= border,
            };
            let is_hot = is_hot && (hot_from..hot_from + 9_000).contains(&now);
            LIMIT.rate_per_s / places as f64 * if is_hot { 5.0 } else { 0.4 }
        });
        let (event, place) = (simulation.below(4), simulation.below(places as u64) as usize);
        let event_at = (start + simulation.below(6_000)) / TICK_MS * TICK_MS;
        for now in (0..40_000).step_by(TICK_MS as usize) {
            if now == event_at {
                match event {
                    0 => simulation.restart(now, place, 100),
                    1 => simulation.instances[place].away_until = now + 3_000,
                    _ => {}
                }
            }
            simulation.step(now, &demand, &link);
        }
        let largest = simulation.largest_window();
        assert!(largest <= allowed(), "seed {seed}: {largest} tokens, allowed {}", allowed());
    }
}
