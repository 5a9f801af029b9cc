//! State of the control thread and its event handlers.

use std::rc;
use std::sync;

use async_channel as channel;
use async_executor::LocalExecutor;
use coltsfoot_member::event as members;
use coltsfoot_placement::event as cells;
use coltsfoot_platform::{http, protocol};
use coltsfoot_types::time as instant;
use coltsfoot_wire::{contact, once, peer};

use crate::control::catalog::ConfigHost;
use crate::control::claims::{ClaimContext, ClaimHost};
use crate::control::contact::ContactTable;
use crate::control::directory::InstanceDirectory;
use crate::control::engines::EngineDispatcher;
use crate::control::member::{MemberHost, OwnershipNotice};
use crate::control::placement::{PlacementContext, PlacementHost};
use crate::control::quota::{QuotaHost, QuotaRouting};
use crate::control::resource::OwnedResource;
use crate::control::{ControlEvent, status};
use crate::peers::PeerNetwork;
use crate::{daemon, event, shared};

/// Ticks between two announcements of the applied configuration offset.
const ANNOUNCE_TICKS: u64 = 20;

/// State of the control thread: one host for each protocol and what they share.
pub(super) struct ControlState {
    pub(super) shared: sync::Arc<shared::InstanceShared>,
    pub(super) executor: rc::Rc<LocalExecutor<'static>>,
    pub(super) network: PeerNetwork,
    pub(super) engines: EngineDispatcher,
    pub(super) directory: InstanceDirectory,
    pub(super) contacts: ContactTable,
    pub(super) list_reachable: bool,
    pub(super) catalog: ConfigHost,
    pub(super) claims: ClaimHost,
    pub(super) member: MemberHost,
    pub(super) quota: QuotaHost,
    pub(super) placement: PlacementHost,
    pub(super) drained: channel::Sender<()>,
    /// Connections to the platform's services, and to engines for orders and reports.
    pub(super) pool: http::HttpPool,
    pub(super) reported_bytes: u64,
    pub(super) ticks: u64,
}

/// Borrows the quota's dependencies by field, so that its host can be borrowed mutably.
macro_rules! quota_routing {
    ($state:ident) => {
        &QuotaRouting {
            member: &$state.member,
            directory: &$state.directory,
            network: &$state.network,
        }
    };
}

/// Borrows the claims' dependencies by field, so that their host can be borrowed mutably.
macro_rules! claim_context {
    ($state:ident) => {
        &ClaimContext { member: &$state.member, network: &$state.network }
    };
}

/// Borrows placement's dependencies by field, so that its host can be borrowed mutably.
macro_rules! placement_context {
    ($state:ident) => {
        &PlacementContext {
            member: &$state.member,
            directory: &$state.directory,
            contacts: &$state.contacts,
            network: &$state.network,
            engines: &$state.engines,
        }
    };
}

impl ControlState {
    /// Handles an event.
    pub(super) fn handle(&mut self, event: ControlEvent) {
        let now = self.shared.clock.now();
        match event {
            ControlEvent::Tick => self.tick(now),
            ControlEvent::Admit(query, reply) => {
                self.quota.admit(now, query, reply, quota_routing!(self));
            }
            ControlEvent::Refund { request, tokens } => {
                self.quota.refund(now, request, tokens, quota_routing!(self));
            }
            ControlEvent::Permit(query, reply) => {
                self.placement.request_permit(now, query, reply, placement_context!(self));
            }
            ControlEvent::CancelPermit(attempt) => {
                self.placement.cancel(now, attempt, placement_context!(self));
            }
            ControlEvent::Release(attempt, outcome) => {
                self.placement.release(now, attempt, outcome, placement_context!(self));
            }
            ControlEvent::CrashSuspected(notice) => self.announce_crash(&notice),
            ControlEvent::Claim(query, reply) => {
                self.claims.claim(now, query, reply, claim_context!(self));
            }
            ControlEvent::RecordOutcome(entry, recorded) => {
                self.claims.record_outcome(now, entry, Some(recorded), claim_context!(self));
            }
            ControlEvent::ClaimsCallEnded(event) => {
                self.claims.drive_batcher(now, event, claim_context!(self));
            }
            ControlEvent::Peer(envelope) => self.handle_message(now, *envelope),
            ControlEvent::MembersRead(records) => {
                self.member_event(now, members::MemberEvent::LogRead(records));
            }
            ControlEvent::MembersUnreachable => {
                self.member_event(now, members::MemberEvent::LogUnreachable);
            }
            ControlEvent::ViewAppended { record_id, outcome } => {
                self.member_event(now, members::MemberEvent::AppendEnded { record_id, outcome });
            }
            ControlEvent::OrderEnded { cell, order, is_load, outcome } => {
                let event = match is_load {
                    true => cells::CellEvent::LoadEnded { order, outcome },
                    false => cells::CellEvent::UnloadEnded { order, outcome },
                };
                self.placement.end_order(now, &cell, event, placement_context!(self));
            }
            ControlEvent::EngineReported(engine, report) => {
                self.placement.apply_report(now, engine, report, placement_context!(self));
            }
            ControlEvent::EngineClosed(engine) => {
                self.placement.remove_closed_engine(now, engine, placement_context!(self));
            }
            ControlEvent::ConfigRead(read) => {
                let changed = self.catalog.handle_read(now, read);
                self.configure(now, changed);
            }
            ControlEvent::SnapshotAppended { first_offset } => {
                let changed = self.catalog.handle_append(now, first_offset);
                self.configure(now, changed);
            }
            ControlEvent::ListUnchanged => self.record_list_reachable(now),
            ControlEvent::ListRead(list) => self.apply_list(now, list),
            ControlEvent::ListUnreachable(cause) => self.record_list_unreachable(&cause),
            ControlEvent::Status(reply) => {
                let _ = reply.try_send(self.report(now));
            }
            ControlEvent::Drain => self.drain(now),
        }
    }

    fn tick(&mut self, now: instant::MonotonicTime) {
        self.ticks += 1;
        for instance in self.network.take_contacted_owners() {
            self.contacts.record_use(now, &instance);
        }
        let changed = self.catalog.tick(now);
        self.configure(now, changed);
        self.member_event(now, members::MemberEvent::Tick);
        self.quota.tick(now, quota_routing!(self));
        self.placement.tick(now, placement_context!(self));
        self.claims.tick(now, claim_context!(self));
        if self.ticks.is_multiple_of(ANNOUNCE_TICKS) {
            self.probe_contacts(now);
            self.count_platform_bytes();
            self.update_reachability(now);
            self.quota.announce_offset(quota_routing!(self));
        }
    }

    fn member_event(&mut self, now: instant::MonotonicTime, event: members::MemberEvent) {
        let notices = self.member.handle(now, event);
        self.apply_notices(now, notices);
    }

    fn apply_notices(&mut self, now: instant::MonotonicTime, notices: Vec<OwnershipNotice>) {
        for OwnershipNotice { resource, fencing } in notices {
            match resource {
                OwnedResource::Bucket(customer) => {
                    self.quota.apply_ownership(now, customer, fencing, quota_routing!(self));
                }
                OwnedResource::Cell(cell) => {
                    let context = placement_context!(self);
                    self.placement.apply_cell_ownership(now, &cell, fencing, context);
                }
                OwnedResource::Ledger => {
                    self.placement.apply_ledger_ownership(now, fencing, placement_context!(self));
                }
                // Ownership only decides where claims are batched; the log decides which one wins.
                OwnedResource::Claims => {}
            }
        }
    }

    fn count_platform_bytes(&mut self) {
        let carried = self.pool.carried_bytes();
        self.shared.metrics.count_platform_bytes(carried - self.reported_bytes);
        self.reported_bytes = carried;
    }

    /// Probes recently used instances that have not sent a message for a while.
    fn probe_contacts(&mut self, now: instant::MonotonicTime) {
        for instance in self.contacts.due_probes(now) {
            let probe = contact::ContactMessage::Probe;
            self.network.send(&instance, peer::PeerMessage::Contact(probe));
        }
    }

    /// Updates the quota on which other zones have a reachable instance.
    fn update_reachability(&mut self, now: instant::MonotonicTime) {
        let own_zone = &self.shared.settings.zone;
        let zones = self.directory.zones().into_iter().filter(|zone| zone != own_zone);
        for zone in zones {
            let is_reachable =
                |entry: &protocol::EntryListing| self.contacts.is_reachable(now, &entry.name);
            let reachable = self.directory.entries_of(&zone).any(is_reachable);
            self.quota.set_reachable(now, zone, reachable, quota_routing!(self));
        }
    }

    fn handle_message(&mut self, now: instant::MonotonicTime, envelope: peer::PeerEnvelope) {
        let peer::PeerEnvelope { sender, message } = envelope;
        self.contacts.record_contact(now, &sender);
        if !matches!(message, peer::PeerMessage::Member(_)) {
            self.member_event(now, members::MemberEvent::PeerContact);
        }
        match message {
            peer::PeerMessage::Member(message) => {
                let notices = self.member.handle_message(now, sender, message);
                self.apply_notices(now, notices);
            }
            peer::PeerMessage::Contact(contact::ContactMessage::Answer) => {}
            peer::PeerMessage::Contact(contact::ContactMessage::Probe) => {
                let reply = contact::ContactMessage::Answer;
                self.network.send(&sender, peer::PeerMessage::Contact(reply));
            }
            peer::PeerMessage::Quota(message) => {
                self.quota.handle_message(now, sender, message, quota_routing!(self));
            }
            peer::PeerMessage::Placement(message) => {
                self.placement.handle_message(now, sender, message, placement_context!(self));
            }
            peer::PeerMessage::Config(message) => {
                let changed = self.catalog.handle_message(now, sender, message);
                self.configure(now, changed);
            }
            peer::PeerMessage::Claim(message) => {
                self.claims.handle_message(now, sender, message, claim_context!(self));
            }
        }
    }

    /// Applies a changed configuration to the hosts that depend on it.
    fn configure(&mut self, now: instant::MonotonicTime, changed: bool) {
        if !changed {
            return;
        }
        let view = self.catalog.view();
        self.quota.configure(now, &view, quota_routing!(self));
        self.track_resources();
    }

    fn apply_list(&mut self, now: instant::MonotonicTime, list: protocol::InstanceList) {
        self.directory.replace(list);
        self.network.set_directory(self.directory.peer_addresses());
        self.shared.services.store(sync::Arc::new(self.directory.services()));
        let changed = self.catalog.apply_list(now, &self.directory);
        self.configure(now, changed);
        self.placement.apply_list(now, placement_context!(self));
        self.track_resources();
        self.record_list_reachable(now);
    }

    fn record_list_reachable(&mut self, now: instant::MonotonicTime) {
        if !self.list_reachable {
            self.list_reachable = true;
            event::emit(event::LIST_REACHABLE, format_args!("the instance list is readable again"));
        }
        let notices = self.member.apply_list(now, &self.directory);
        self.apply_notices(now, notices);
    }

    /// Sends a crash notice to all other listed instances.
    fn announce_crash(&self, notice: &once::CrashNotice) {
        let own_name = &self.shared.settings.instance;
        for (receiver, _) in self.directory.peer_addresses().filter(|(name, _)| name != own_name) {
            let message = once::ClaimMessage::Crash(notice.clone());
            self.network.send(&receiver, peer::PeerMessage::Claim(message));
        }
    }

    fn record_list_unreachable(&mut self, cause: &str) {
        if self.list_reachable {
            self.list_reachable = false;
            event::emit(event::LIST_UNREACHABLE, format_args!("{cause}"));
        }
    }

    fn track_resources(&mut self) {
        let resources = self.quota.resources().chain(self.placement.resources());
        self.member.track(resources.chain([OwnedResource::Claims]));
    }

    fn report(&self, now: instant::MonotonicTime) -> status::InstanceReport {
        status::InstanceReport {
            instance: self.shared.settings.instance.clone(),
            zone: self.shared.settings.zone.clone(),
            offset: self.catalog.next_offset(),
            ready: self.shared.status.is_ready(),
            draining: self.shared.status.is_draining(),
            running: self.shared.status.running(),
            view: self.member.members(),
            ownership: self.member.mode_text(now),
            cells: self.placement.owned_cells(now, &self.member),
        }
    }

    /// Hands over ownership while running requests end, then reports the drain as complete.
    fn drain(&mut self, now: instant::MonotonicTime) {
        if !self.shared.status.set_draining() {
            return;
        }
        event::emit(event::DRAINING, format_args!("{}", self.shared.settings.instance));
        self.member_event(now, members::MemberEvent::StartDrain);
        let shared = sync::Arc::clone(&self.shared);
        let drained = self.drained.clone();
        let finishing = async move {
            daemon::finish_requests(&shared).await;
            let _ = drained.try_send(());
        };
        self.executor.spawn(finishing).detach();
    }
}
