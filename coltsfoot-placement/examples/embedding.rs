//! Embeds quota and placement as a library: a single instance that owns everything, with its own
//! event loop, a virtual clock and one simulated engine. Run it with `cargo run -p
//! coltsfoot-placement --example embedding`.

use std::collections;
use std::time;

use coltsfoot_placement::{agent, cell, event as cells, settings};
use coltsfoot_quota::{bucket_owner, event as quota, limit_history, quota_agent, token_bucket};
use coltsfoot_types::{id, name, time as clock};
use coltsfoot_wire::{placement, quota as quota_messages};

/// Virtual time between two iterations of the loop.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Time the simulated engine takes to load an adapter.
const LOAD_TIME: time::Duration = time::Duration::from_millis(250);
/// Time a new owner waits for the grants of its predecessor to expire.
const TAKEOVER_TIME: time::Duration = time::Duration::from_secs(3);
/// Length of the run.
const RUN_LENGTH: time::Duration = time::Duration::from_secs(3);
/// Requests sent at the start.
const REQUESTS: u128 = 8;
/// Tokens charged per request.
const REQUEST_TOKENS: u64 = 100;

/// One instance with all its state machines.
struct EmbeddingHost {
    now: clock::MonotonicTime,
    instance: name::InstanceName,
    zone: name::ZoneName,
    quota_agent: quota_agent::QuotaAgent,
    bucket_owner: bucket_owner::BucketOwner,
    permit_agent: agent::PermitAgent,
    engine_cell: cell::EngineCell,
    loads: Vec<(clock::MonotonicTime, cells::OrderId)>,
    served: u64,
    refused: u64,
}

fn main() {
    let mut host = EmbeddingHost::new();
    host.configure();
    host.run_for(TAKEOVER_TIME);
    for number in 0..REQUESTS {
        host.admit(id::RequestId(number));
    }
    host.run_for(RUN_LENGTH);
    println!("served {}, refused {}", host.served, host.refused);
    assert_eq!(u128::from(host.served + host.refused), REQUESTS, "each request has its answer");
}

impl EmbeddingHost {
    fn new() -> Self {
        let instance: name::InstanceName = "embedded-1".into();
        let zone: name::ZoneName = "here".into();
        Self {
            now: clock::MonotonicTime(1_000_000),
            quota_agent: quota_agent::QuotaAgent::new(zone.clone(), quota_agent::DEFAULT_MAX_WAIT),
            bucket_owner: bucket_owner::BucketOwner::new(&instance, zone.clone()),
            permit_agent: agent::PermitAgent::new(settings::AgentSettings::default()),
            engine_cell: cell::EngineCell::new(settings::CellSettings::default()),
            loads: Vec::new(),
            served: 0,
            refused: 0,
            instance,
            zone,
        }
    }

    /// Configures the state machines and makes this instance the owner of everything.
    fn configure(&mut self) {
        let customer: name::CustomerName = "korrigan".into();
        let limits = limit_history::CustomerLimits {
            total: token_bucket::BucketLimits { rate: 400, burst: 500 },
            zone_permille: collections::BTreeMap::from([(self.zone.clone(), 1_000)]),
        };
        let view = id::FencingNumber(1);
        let until = self.now + RUN_LENGTH * 4;
        let term = quota::OwnershipTerm { view, active_from: self.now, share_permille: 1_000 };
        self.owner_event(quota::OwnerEvent::Configured {
            customer: customer.clone(),
            offset: id::LogOffset(1),
            limits: Some(limits.clone()),
        });
        self.owner_event(quota::OwnerEvent::OwnershipGained { customer: customer.clone(), term });
        self.owner_event(quota::OwnerEvent::LeaseRenewed { until });
        self.quota_event(quota::AgentEvent::Configured { customer, limits: Some(limits) });
        let engine = cells::EngineListing {
            name: "engine-1".into(),
            slots: 4,
            batch_size: 8,
            checks_fencing: true,
        };
        self.cell_event(cells::CellEvent::EngineListed { engine });
        let lease =
            cells::CellLease { fencing: view, active_from: self.now, until, restricted: false };
        let reporters = Vec::new();
        self.cell_event(cells::CellEvent::OwnershipGained {
            lease,
            reporters,
            unknown_permits: false,
        });
        // An engine is used only after its first report.
        let engine = "engine-1".into();
        let report = cells::EngineReport { generation: 1, ..cells::EngineReport::default() };
        self.cell_event(cells::CellEvent::EngineReported { engine, report });
        let owner = agent::CellOwner::Instance(self.instance.clone());
        let routes = vec![agent::CellRoute { cell: self.cell_id(), owner, is_local: true }];
        self.permit_event(agent::AgentEvent::RoutesChanged { routes });
    }

    fn cell_id(&self) -> placement::CellId {
        placement::CellId { zone: self.zone.clone(), base_model: "base".into(), index: 0 }
    }

    fn admit(&mut self, request: id::RequestId) {
        let admission = quota::AdmissionRequest {
            request,
            customer: "korrigan".into(),
            tokens: REQUEST_TOKENS,
            deadline: self.now + RUN_LENGTH,
            fingerprint: request.0 as u64,
        };
        self.quota_event(quota::AgentEvent::Admit(admission));
    }

    fn run_for(&mut self, length: time::Duration) {
        let end = self.now + length;
        while self.now < end {
            self.now = self.now + TICK_INTERVAL;
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.owner_event(quota::OwnerEvent::Tick);
        self.quota_event(quota::AgentEvent::Tick);
        self.cell_event(cells::CellEvent::Tick);
        self.permit_event(agent::AgentEvent::Tick);
        let now = self.now;
        let (ended, running) =
            std::mem::take(&mut self.loads).into_iter().partition(|(ends_at, _)| *ends_at <= now);
        self.loads = running;
        let ended: Vec<(clock::MonotonicTime, cells::OrderId)> = ended;
        for (_, order) in ended {
            let outcome = cells::OrderOutcome::Done;
            self.cell_event(cells::CellEvent::LoadEnded { order, outcome });
        }
    }

    fn quota_event(&mut self, event: quota::AgentEvent) {
        let actions = self.quota_agent.handle(self.now, event);
        self.carry_out_quota(actions);
    }

    fn owner_event(&mut self, event: quota::OwnerEvent) {
        let actions = self.bucket_owner.handle(self.now, event);
        self.carry_out_quota(actions);
    }

    /// Delivers all messages to this instance; a fleet would send them over the network.
    fn carry_out_quota(&mut self, actions: quota::QuotaActions) {
        let sender = self.instance.clone();
        for action in actions {
            match action {
                quota::QuotaAction::Admit { request } => self.want_permit(request),
                quota::QuotaAction::Refuse { .. } => self.refused += 1,
                quota::QuotaAction::Send { message, .. } => match message {
                    quota_messages::QuotaMessage::Report(report) => {
                        let sender = sender.clone();
                        self.owner_event(quota::OwnerEvent::Report { sender, report });
                    }
                    quota_messages::QuotaMessage::Grant(update) => {
                        let sender = sender.clone();
                        self.quota_event(quota::AgentEvent::Grant { sender, update });
                    }
                    _ => {}
                },
            }
        }
    }

    fn want_permit(&mut self, request: id::RequestId) {
        let demand = placement::PermitDemand {
            attempt: id::AttemptId { request, number: 0 },
            customer: "korrigan".into(),
            weight: 1,
            priority: 0,
            adapter: "menus@1".parse().expect("an adapter version"),
            estimated_tokens: REQUEST_TOKENS as u32,
            time_left: RUN_LENGTH,
        };
        self.permit_event(agent::AgentEvent::PermitRequested { base_model: "base".into(), demand });
    }

    fn permit_event(&mut self, event: agent::AgentEvent) {
        for action in self.permit_agent.handle(self.now, event) {
            match action {
                agent::AgentAction::Send { message, .. } => self.deliver_to_cell(message),
                agent::AgentAction::Refuse { .. } => self.refused += 1,
                agent::AgentAction::Dispatch { attempt, .. } => self.dispatch(attempt),
            }
        }
    }

    /// Simulates an engine that answers immediately.
    fn dispatch(&mut self, attempt: id::AttemptId) {
        self.served += 1;
        let outcome = placement::AttemptOutcome::Answered {
            output_tokens: 10,
            duration: time::Duration::from_millis(100),
        };
        let release = placement::PermitRelease { attempt, outcome };
        self.permit_event(agent::AgentEvent::Ended { release });
    }

    fn deliver_to_cell(&mut self, message: placement::PlacementMessage) {
        let instance = self.instance.clone();
        match message {
            placement::PlacementMessage::Request { demand, .. } => {
                self.cell_event(cells::CellEvent::PermitRequested { instance, demand });
            }
            placement::PlacementMessage::Release { release, .. } => {
                self.cell_event(cells::CellEvent::PermitReleased { instance, release });
            }
            _ => {}
        }
    }

    fn cell_event(&mut self, event: cells::CellEvent) {
        for action in self.engine_cell.handle(self.now, event) {
            match action {
                cells::CellAction::Grant { grant, .. } => {
                    let message =
                        placement::PlacementMessage::Grant { cell: self.cell_id(), grant };
                    let sender = self.instance.clone();
                    self.permit_event(agent::AgentEvent::Received { message, sender });
                }
                cells::CellAction::Load { order } => {
                    self.loads.push((self.now + LOAD_TIME, order.id));
                }
                cells::CellAction::RequestLoads { wanted } => self.grant_loads(wanted),
                _ => {}
            }
        }
    }

    /// Grants loads without a budget; a fleet would use its `LoadLedger`.
    fn grant_loads(&mut self, wanted: u32) {
        for sequence in 0..wanted {
            let grant = placement::LoadGrantId {
                zone: self.zone.clone(),
                fencing: id::FencingNumber(1),
                sequence: u64::from(sequence),
            };
            let start_within = time::Duration::from_secs(1);
            self.cell_event(cells::CellEvent::LoadGranted { grant, start_within });
        }
    }
}
