//! Model of instances, engines and prompts, some of which contain a part that crashes engines.

use std::time;

use coltsfoot_gateway::part_ledger::{
    CrashReport, PartKey, PartLedger, PartList, QuarantinedPart, RunId,
};
use coltsfoot_types::time as clock;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

/// Step of the model, in milliseconds.
const TICK_MS: u64 = 10;
/// Time to prefill a prompt; engines prefill one after the other.
const PREFILL_MS: u64 = 120;
/// Length of a response.
const RESPONSE_MS: u64 = 300;
/// Time from the begin of a response to the crash that its prompt causes.
const FATAL_MS: u64 = 50;
/// Time for which a crashed engine is down.
const OUTAGE_MS: u64 = 3000;
/// Time from a crash until a probe has confirmed it.
const PROBE_MS: u64 = 60;
/// Longest delay of a message between instances, and the share that is lost.
const MAX_DELAY_MS: u64 = 20;
const LOSS: f64 = 0.02;
/// Attempts of a prompt.
const MAX_ATTEMPTS: u32 = 2;
/// The part that crashes engines.
pub const CRASHING_PART: PartKey = PartKey(666);

/// Figures of a deployment and a load.
#[derive(Clone, Copy, Debug)]
pub struct WorldSettings {
    pub seed: u64,
    pub instances: usize,
    pub engines: usize,
    /// Prompts per second.
    pub rate: f64,
    /// Share of the prompts with the crashing part, from 4 s to 26 s.
    pub crashing_share: f64,
    /// Whether prompts with that part are served before 4 s.
    pub was_sound: bool,
    /// Times of crashes of a third of the engines for other causes.
    pub other_crashes: &'static [u64],
    /// Bound of the time in which all instances must know of a crash.
    pub contact_ms: u64,
}

/// What happened.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorldOutcome {
    /// Crashes that the crashing part caused.
    pub crashes: usize,
    /// Crashing prompts sent to engines later than the contact time after the fifth crash.
    pub late_sends: usize,
    /// Sound prompts that arrived, and those that were refused for a part.
    pub sound: usize,
    pub sound_refused: usize,
}

struct EngineRun {
    instance: usize,
    run: RunId,
    prompt: Prompt,
    prefill_left: u64,
    streamed: u64,
}

#[derive(Clone)]
struct Prompt {
    parts: PartList,
    attempts: u32,
}

impl Prompt {
    fn is_crashing(&self) -> bool {
        self.parts.contains(&CRASHING_PART)
    }
}

#[derive(Default)]
struct Engine {
    down_until: u64,
    runs: Vec<EngineRun>,
}

enum Message {
    Report(CrashReport),
    Cleared(PartList, u64),
    Quarantined(QuarantinedPart),
}

pub struct World {
    settings: WorldSettings,
    random: StdRng,
    now: u64,
    ledgers: Vec<PartLedger>,
    engines: Vec<Engine>,
    probes: Vec<(u64, usize, usize)>,
    messages: Vec<(u64, usize, Message)>,
    outcome: WorldOutcome,
    fifth_crash: Option<u64>,
}

fn at(ms: u64) -> clock::MonotonicTime {
    clock::MonotonicTime::default() + time::Duration::from_millis(ms)
}

impl World {
    pub fn new(settings: WorldSettings) -> Self {
        Self {
            settings,
            random: StdRng::seed_from_u64(settings.seed),
            now: 0,
            ledgers: (0..settings.instances).map(|_| PartLedger::default()).collect(),
            engines: (0..settings.engines).map(|_| Engine::default()).collect(),
            probes: Vec::new(),
            messages: Vec::new(),
            outcome: WorldOutcome::default(),
            fifth_crash: None,
        }
    }

    /// Runs the model for 30 s.
    pub fn run(mut self) -> WorldOutcome {
        while self.now < 30_000 {
            self.now += TICK_MS;
            self.deliver();
            self.confirm_crashes();
            self.admit();
            self.crash_for_other_causes();
            for engine in 0..self.engines.len() {
                self.advance(engine);
            }
        }
        self.outcome
    }

    /// Routes, customers and documents are parts that prompts share.
    fn prompt(&mut self) -> Prompt {
        let route = [0, 0, 0, 1, 2][self.random.random_range(0..5)];
        let customer = self.random.random_range(0..5_u64);
        let is_crashing = route == 0
            && (4_000..26_000).contains(&self.now)
            && self.random.random_bool(self.settings.crashing_share);
        let was_sound = self.settings.was_sound && self.now < 4_000;
        let document = match is_crashing || (was_sound && self.random.random_bool(0.05)) {
            true => CRASHING_PART,
            false => PartKey(1_000 + self.random.random_range(0..60)),
        };
        let parts = [PartKey(route), PartKey(100 + route * 10 + customer), document];
        Prompt { parts: PartList::from_slice(&parts), attempts: 0 }
    }

    fn admit(&mut self) {
        let expected = self.settings.rate * TICK_MS as f64 / 1000.0;
        let count = expected as usize + usize::from(self.random.random_bool(expected.fract()));
        for _ in 0..count {
            let prompt = self.prompt();
            self.outcome.sound += usize::from(!prompt.is_crashing());
            let instance = self.random.random_range(0..self.settings.instances);
            self.send(instance, prompt);
        }
    }

    /// Sends a prompt to the engine with the least work of a few.
    fn send(&mut self, instance: usize, mut prompt: Prompt) {
        if self.ledgers[instance].quarantine_left(at(self.now), &prompt.parts).is_some() {
            self.outcome.sound_refused += usize::from(!prompt.is_crashing());
            return;
        }
        let sample: Vec<usize> =
            (0..4).map(|_| self.random.random_range(0..self.engines.len())).collect();
        let up = sample.into_iter().filter(|engine| self.engines[*engine].down_until <= self.now);
        let Some(engine) = up.min_by_key(|engine| self.engines[*engine].runs.len()) else { return };
        prompt.attempts += 1;
        if prompt.is_crashing()
            && self.fifth_crash.is_some_and(|fifth| self.now > fifth + self.settings.contact_ms)
        {
            self.outcome.late_sends += 1;
        }
        let run = self.ledgers[instance].begin(&engine.to_string(), prompt.parts.clone());
        let prefill_left = PREFILL_MS;
        self.engines[engine].runs.push(EngineRun {
            instance,
            run,
            prompt,
            prefill_left,
            streamed: 0,
        });
    }

    fn advance(&mut self, engine: usize) {
        let now = at(self.now);
        let runs = &mut self.engines[engine].runs;
        if let Some(run) = runs.iter_mut().find(|run| run.prefill_left > 0) {
            run.prefill_left -= TICK_MS;
        }
        let mut told = Vec::new();
        let mut is_fatal = false;
        for run in runs.iter_mut().filter(|run| run.prefill_left == 0) {
            run.streamed += TICK_MS;
            let ledger = &mut self.ledgers[run.instance];
            told.extend(ledger.event_received(now, run.run).map(|shown| (run.instance, shown)));
            is_fatal |= run.prompt.is_crashing() && run.streamed > FATAL_MS && self.now >= 4_000;
            if run.streamed >= RESPONSE_MS {
                told.extend(ledger.complete(now, run.run).map(|shown| (run.instance, shown)));
            }
        }
        runs.retain(|run| run.streamed < RESPONSE_MS);
        for (instance, shown) in told {
            if !shown.cleared.is_empty() {
                self.broadcast(instance, |now| Message::Cleared(shown.cleared.clone(), now));
            }
            for listed in shown.quarantined {
                self.broadcast(instance, |_| Message::Quarantined(listed));
            }
        }
        if is_fatal {
            self.outcome.crashes += 1;
            if self.outcome.crashes == 5 {
                self.fifth_crash = Some(self.now);
            }
            self.crash(engine);
        }
    }

    fn crash(&mut self, engine: usize) {
        self.engines[engine].down_until = self.now + OUTAGE_MS;
        for ended in std::mem::take(&mut self.engines[engine].runs) {
            self.ledgers[ended.instance].lose(at(self.now), ended.run);
            let probe = (self.now + PROBE_MS, ended.instance, engine);
            if !self.probes.contains(&probe) {
                self.probes.push(probe);
            }
            if ended.prompt.attempts < MAX_ATTEMPTS {
                self.send(ended.instance, ended.prompt);
            }
        }
    }

    fn crash_for_other_causes(&mut self) {
        if self.settings.other_crashes.contains(&self.now) {
            (0..self.engines.len()).step_by(3).for_each(|engine| self.crash(engine));
        }
    }

    fn confirm_crashes(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.probes.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, instance, engine) in due {
            let report = self.ledgers[instance].end_runs(at(now), &engine.to_string(), false);
            let Some(report) = report else { continue };
            self.apply(instance, &Message::Report(report.clone()));
            self.broadcast(instance, |_| Message::Report(report.clone()));
        }
    }

    fn broadcast(&mut self, sender: usize, message: impl Fn(u64) -> Message) {
        for receiver in (0..self.settings.instances).filter(|receiver| *receiver != sender) {
            if !self.random.random_bool(LOSS) {
                let delay = self.random.random_range(1..=MAX_DELAY_MS);
                self.messages.push((self.now + delay, receiver, message(self.now)));
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.messages.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, receiver, message) in due {
            self.apply(receiver, &message);
        }
    }

    fn apply(&mut self, instance: usize, message: &Message) {
        let now = at(self.now);
        let ledger = &mut self.ledgers[instance];
        match message {
            Message::Report(report) => {
                for listed in ledger.merge_report(now, report) {
                    self.broadcast(instance, |_| Message::Quarantined(listed));
                }
            }
            Message::Cleared(parts, served_at) => drop(ledger.clear(parts, at(*served_at))),
            Message::Quarantined(listed) => drop(ledger.adopt(now, *listed)),
        }
    }
}
