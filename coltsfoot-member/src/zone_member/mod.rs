//! State machine of one instance's membership in its zone.

mod change;
mod drain;
mod heartbeat;
mod join;
mod ownership;
mod plan;

use std::collections;

use coltsfoot_types::{id, name, time};
use coltsfoot_wire::member;
use rand::SeedableRng as _;

use crate::{contact, event, handover, lease, promise, proposal, record, settings};

/// Actions returned for one event; most events cause few.
pub type ActionList = smallvec::SmallVec<[event::MemberAction; 4]>;

/// Membership and ownership from the point of view of one instance.
///
/// Deterministic: equal seeds and events result in equal actions.
#[derive(bon::Builder, Clone, Debug)]
#[builder(finish_fn(vis = "", name = build_parts))]
pub struct ZoneMember {
    /// Name of this instance, unique to each start of its process.
    own_name: name::InstanceName,
    /// Zone of this instance.
    zone: name::ZoneName,
    /// Timing, the same on all instances of the zone.
    #[builder(default)]
    timing: settings::TimingSettings,
    /// Number of groups that the zone is divided into, the same on all its instances.
    #[builder(default = 1)]
    group_count: u8,
    /// Seed of the random number generator.
    #[builder(with = |seed: u64| rand::rngs::SmallRng::seed_from_u64(seed))]
    seed: rand::rngs::SmallRng,
    #[builder(skip)]
    group: Option<member::GroupNumber>,
    #[builder(skip)]
    promise: promise::PromiseState,
    #[builder(skip)]
    installed: Option<handover::ViewHandover>,
    #[builder(skip)]
    leases: lease::LeaseTable,
    #[builder(skip)]
    contacts: contact::ContactTable,
    #[builder(skip)]
    listing: contact::InstanceListing,
    #[builder(skip)]
    log: LogState,
    #[builder(skip)]
    attempt: ChangeAttempt,
    #[builder(skip)]
    clock: MemberClock,
    #[builder(skip)]
    owned: collections::BTreeMap<name::ResourceName, Option<id::FencingNumber>>,
    #[builder(skip)]
    draining_since: Option<time::MonotonicTime>,
    #[builder(skip)]
    drained: bool,
}

/// State of the log as last read.
#[derive(Clone, Debug, Default)]
struct LogState {
    records: record::RecordTable,
    read_at: Option<time::MonotonicTime>,
    reachable: bool,
}

/// The view change that this instance is proposing.
#[derive(Clone, Debug, Default)]
struct ChangeAttempt {
    stage: ChangeStage,
    /// Views named in rejections, to be included as predecessors in the next proposal.
    learned_views: Vec<member::ViewSummary>,
    /// Newest accepted view named in a rejection.
    newest_refusal: Option<member::ViewSummary>,
    needed_since: Option<time::MonotonicTime>,
    not_before: time::MonotonicTime,
    failures: u32,
}

/// Stage of a view change.
#[derive(Clone, Debug, Default)]
enum ChangeStage {
    #[default]
    Idle,
    /// The view is being appended to the log.
    Appending(PendingRecord),
    /// Acknowledgements are being collected.
    Collecting(proposal::ProposalRound),
}

/// A record being appended to the log.
#[derive(Clone, Debug)]
struct PendingRecord {
    record: record::ViewRecord,
    predecessors: Vec<member::ViewSummary>,
    started_at: time::MonotonicTime,
}

/// Times of recurring work and of past events.
#[derive(Clone, Debug, Default)]
struct MemberClock {
    started_at: Option<time::MonotonicTime>,
    last_contact: time::MonotonicTime,
    next_heartbeat: time::MonotonicTime,
    /// Index in the list of live peers at which the next heartbeat round starts.
    heartbeat_offset: usize,
    next_indirect: time::MonotonicTime,
    next_join: time::MonotonicTime,
    next_proposal: time::MonotonicTime,
    /// Last contact with an instance that holds a view.
    view_heard_at: Option<time::MonotonicTime>,
    /// Latest end of any lease held by this instance.
    lease_held_until: time::MonotonicTime,
    /// When the newest proposal was accepted.
    promised_at: time::MonotonicTime,
    /// When the instance last dropped its accepted views because of isolation.
    forgotten_at: Option<time::MonotonicTime>,
}

impl<State: zone_member_builder::IsComplete> ZoneMemberBuilder<State> {
    /// Builds the member, without a group if the zone has several.
    pub fn build(self) -> ZoneMember {
        let mut zone_member = self.build_parts();
        zone_member.group = (zone_member.group_count <= 1).then_some(member::GroupNumber(0));
        zone_member
    }
}

impl ZoneMember {
    /// Applies an event and returns the resulting actions.
    pub fn handle(&mut self, now: time::MonotonicTime, event: event::MemberEvent) -> ActionList {
        let mut actions = ActionList::new();
        if self.clock.started_at.is_none() {
            self.clock.started_at = Some(now);
            self.clock.last_contact = now;
        }
        self.check_isolation(now, &mut actions);
        self.dispatch(now, event, &mut actions);
        self.advance_change(now, &mut actions);
        self.report_ownership(now, &mut actions);
        actions
    }

    fn dispatch(
        &mut self,
        now: time::MonotonicTime,
        event: event::MemberEvent,
        actions: &mut ActionList,
    ) {
        match event {
            event::MemberEvent::Tick => self.handle_tick(now, actions),
            event::MemberEvent::Message { sender, message } => {
                self.clock.last_contact = now;
                self.contacts.record_contact(&sender, now);
                self.handle_message(now, sender, message, actions);
            }
            event::MemberEvent::PeerContact => self.clock.last_contact = now,
            event::MemberEvent::ListRead(listed) => self.handle_list(now, &listed),
            event::MemberEvent::LogRead(records) => self.handle_log(now, &records, actions),
            event::MemberEvent::LogUnreachable => self.log.reachable = false,
            event::MemberEvent::AppendEnded { record_id, outcome } => {
                self.handle_append(now, record_id, outcome, actions);
            }
            event::MemberEvent::StartDrain => self.start_drain(now),
        }
    }

    fn handle_message(
        &mut self,
        now: time::MonotonicTime,
        sender: name::InstanceName,
        message: member::MemberMessage,
        actions: &mut ActionList,
    ) {
        match message {
            member::MemberMessage::Probe(probe) => self.answer_probe(now, sender, &probe, actions),
            member::MemberMessage::ProbeAnswer(answer) => {
                self.handle_probe_answer(now, sender, &answer, actions);
            }
            member::MemberMessage::IndirectProbe { target } => {
                self.answer_indirect(now, sender, target, actions);
            }
            member::MemberMessage::IndirectAnswer { target, age_ms } => {
                self.handle_indirect_answer(now, &target, age_ms);
            }
            member::MemberMessage::Join { group } => self.handle_join(now, sender, group, actions),
            member::MemberMessage::Propose(proposal) => {
                self.answer_proposal(now, sender, &proposal, actions);
            }
            member::MemberMessage::Accept(accept) => self.handle_accept(now, sender, accept),
            member::MemberMessage::Reject(reject) => self.handle_reject(now, reject),
            member::MemberMessage::OtherGroup { epoch } => self.handle_bystander(sender, epoch),
            member::MemberMessage::Installed(installed) => {
                self.install_view(now, installed, actions);
            }
        }
    }

    fn handle_tick(&mut self, now: time::MonotonicTime, actions: &mut ActionList) {
        self.drop_superseded_views(now);
        self.send_heartbeats(now, actions);
        self.send_indirect_probes(now, actions);
        self.send_joins(now, actions);
        self.check_drain(now, actions);
        self.contacts.prune(now, self.timing.removal_time);
    }

    fn handle_list(&mut self, now: time::MonotonicTime, listed: &[event::ListedInstance]) {
        self.clock.last_contact = now;
        let known = self.known_names();
        self.listing.read(now, listed, known.iter());
    }

    fn handle_log(
        &mut self,
        now: time::MonotonicTime,
        records: &[event::StreamRecord],
        actions: &mut ActionList,
    ) {
        self.clock.last_contact = now;
        self.log.reachable = true;
        self.log.read_at = Some(now);
        for stream_record in records {
            self.log.records.apply(&self.zone, stream_record);
        }
        self.check_pending_record(now, actions);
    }

    /// Returns the instances whose absence from the platform's list is tracked.
    fn known_names(&self) -> collections::BTreeSet<name::InstanceName> {
        let open = self.promise.open().iter().chain(&self.attempt.learned_views);
        let mut names: collections::BTreeSet<_> =
            open.flat_map(|view| view.members.iter().cloned()).collect();
        if let Some(installed) = &self.installed {
            names.extend(installed.view().members.iter().cloned());
        }
        let head = self.group.and_then(|group| self.log.records.head(group));
        names.extend(head.iter().flat_map(|head| head.record.members.iter().cloned()));
        names.insert(self.own_name.clone());
        names
    }
}
