//! What the control thread decides with, and what it does on each event.

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
use crate::control::claims::{ClaimHost, ClaimTools};
use crate::control::contact::ContactTable;
use crate::control::directory::InstanceDirectory;
use crate::control::engines::EngineDesk;
use crate::control::member::{MemberHost, OwnershipNotice};
use crate::control::placement::{PlacementHost, PlacementTools};
use crate::control::quota::{QuotaHost, QuotaRouting};
use crate::control::resource::OwnedResource;
use crate::control::{ControlEvent, status};
use crate::peers::PeerNetwork;
use crate::{daemon, event, shared};

/// Ticks between two announcements of the folded offset.
const ANNOUNCE_TICKS: u64 = 20;

/// Everything that the control thread decides with.
pub(super) struct ControlState {
    pub(super) shared: sync::Arc<shared::InstanceShared>,
    pub(super) executor: rc::Rc<LocalExecutor<'static>>,
    pub(super) network: PeerNetwork,
    pub(super) engines: EngineDesk,
    pub(super) directory: InstanceDirectory,
    pub(super) contacts: ContactTable,
    pub(super) list_reachable: bool,
    pub(super) catalog: ConfigHost,
    pub(super) claims: ClaimHost,
    pub(super) member: MemberHost,
    pub(super) quota: QuotaHost,
    pub(super) placement: PlacementHost,
    pub(super) drained: channel::Sender<()>,
    /// Connections to the platform, and to engines for orders and reports.
    pub(super) pool: http::HttpPool,
    pub(super) counted_bytes: u64,
    pub(super) ticks: u64,
}

/// Borrows what quota messages are routed by, beside a mutable host.
macro_rules! quota_routing {
    ($state:ident) => {
        &QuotaRouting {
            member: &$state.member,
            directory: &$state.directory,
            network: &$state.network,
        }
    };
}

/// Borrows what claims are carried out with, beside a mutable host.
macro_rules! claim_tools {
    ($state:ident) => {
        &ClaimTools { member: &$state.member, network: &$state.network }
    };
}

/// Borrows what placement is carried out with, beside a mutable host.
macro_rules! placement_tools {
    ($state:ident) => {
        &PlacementTools {
            member: &$state.member,
            directory: &$state.directory,
            contacts: &$state.contacts,
            network: &$state.network,
            engines: &$state.engines,
        }
    };
}

impl ControlState {
    /// Acts on an event.
    pub(super) fn handle(&mut self, event: ControlEvent) {
        let now = self.shared.clock.now();
        match event {
            ControlEvent::Tick => self.tick(now),
            ControlEvent::Admit(query, answer) => {
                self.quota.admit(now, query, answer, quota_routing!(self));
            }
            ControlEvent::Refund { request, tokens } => {
                self.quota.refund(now, request, tokens, quota_routing!(self));
            }
            ControlEvent::Permit(query, answer) => {
                self.placement.want_permit(now, query, answer, placement_tools!(self));
            }
            ControlEvent::CancelPermit(attempt) => {
                self.placement.cancel(now, attempt, placement_tools!(self));
            }
            ControlEvent::Release(attempt, outcome) => {
                self.placement.release(now, attempt, outcome, placement_tools!(self));
            }
            ControlEvent::CrashSeen(notice) => self.announce_crash(&notice),
            ControlEvent::Claim(query, answer) => {
                self.claims.claim(now, query, answer, claim_tools!(self));
            }
            ControlEvent::Settle(entry, settled) => {
                self.claims.settle(now, entry, Some(settled), claim_tools!(self));
            }
            ControlEvent::ClaimsCalled(event) => {
                self.claims.drive_batcher(now, event, claim_tools!(self));
            }
            ControlEvent::Peer(envelope) => self.take_message(now, *envelope),
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
                self.placement.end_order(now, &cell, event, placement_tools!(self));
            }
            ControlEvent::EngineReported(engine, report) => {
                self.placement.take_report(now, engine, report, placement_tools!(self));
            }
            ControlEvent::EngineClosed(engine) => {
                self.placement.take_closed_engine(now, engine, placement_tools!(self));
            }
            ControlEvent::ConfigRead(read) => {
                let changed = self.catalog.take_read(now, read);
                self.configure(now, changed);
            }
            ControlEvent::SnapshotAppended { first_offset } => {
                let changed = self.catalog.take_append(now, first_offset);
                self.configure(now, changed);
            }
            ControlEvent::ListUnchanged => self.note_list_reachable(now),
            ControlEvent::ListRead(list) => self.take_list(now, list),
            ControlEvent::ListUnreachable(cause) => self.note_list_unreachable(&cause),
            ControlEvent::Status(answer) => {
                let _ = answer.try_send(self.report(now));
            }
            ControlEvent::Drain => self.drain(now),
        }
    }

    fn tick(&mut self, now: instant::MonotonicTime) {
        self.ticks += 1;
        for instance in self.network.take_contacted_owners() {
            self.contacts.note_used(now, &instance);
        }
        let changed = self.catalog.tick(now);
        self.configure(now, changed);
        self.member_event(now, members::MemberEvent::Tick);
        self.quota.tick(now, quota_routing!(self));
        self.placement.tick(now, placement_tools!(self));
        self.claims.tick(now, claim_tools!(self));
        if self.ticks.is_multiple_of(ANNOUNCE_TICKS) {
            self.probe_contacts(now);
            self.count_platform_bytes();
            self.update_reachability(now);
            self.quota.announce_offset(quota_routing!(self));
        }
    }

    fn member_event(&mut self, now: instant::MonotonicTime, event: members::MemberEvent) {
        let notices = self.member.handle(now, event);
        self.take_notices(now, notices);
    }

    fn take_notices(&mut self, now: instant::MonotonicTime, notices: Vec<OwnershipNotice>) {
        for OwnershipNotice { resource, fencing } in notices {
            match resource {
                OwnedResource::Bucket(customer) => {
                    self.quota.take_ownership(now, customer, fencing, quota_routing!(self));
                }
                OwnedResource::Cell(cell) => {
                    let tools = placement_tools!(self);
                    self.placement.take_cell_ownership(now, &cell, fencing, tools);
                }
                OwnedResource::Ledger => {
                    self.placement.take_ledger_ownership(now, fencing, placement_tools!(self));
                }
                // Ownership only tells where claims are batched; the log decides who wins.
                OwnedResource::Claims => {}
            }
        }
    }

    fn count_platform_bytes(&mut self) {
        let carried = self.pool.carried_bytes();
        self.shared.metrics.count_platform_bytes(carried - self.counted_bytes);
        self.counted_bytes = carried;
    }

    /// Asks instances that are in use and silent for a sign of life.
    fn probe_contacts(&mut self, now: instant::MonotonicTime) {
        for instance in self.contacts.due_probes(now) {
            let probe = contact::ContactMessage::Probe;
            self.network.send(&instance, peer::PeerMessage::Contact(probe));
        }
    }

    /// Tells the quota which other zones can be reached.
    fn update_reachability(&mut self, now: instant::MonotonicTime) {
        let own_zone = &self.shared.settings.zone;
        let zones = self.directory.zones().into_iter().filter(|zone| zone != own_zone);
        for zone in zones {
            let is_heard =
                |entry: &protocol::EntryListing| self.contacts.is_reachable(now, &entry.name);
            let reachable = self.directory.entries_of(&zone).any(is_heard);
            self.quota.set_reachable(now, zone, reachable, quota_routing!(self));
        }
    }

    fn take_message(&mut self, now: instant::MonotonicTime, envelope: peer::PeerEnvelope) {
        let peer::PeerEnvelope { sender, message } = envelope;
        self.contacts.note_heard(now, &sender);
        if !matches!(message, peer::PeerMessage::Member(_)) {
            self.member_event(now, members::MemberEvent::PeerContact);
        }
        match message {
            peer::PeerMessage::Member(message) => {
                let notices = self.member.take_message(now, sender, message);
                self.take_notices(now, notices);
            }
            peer::PeerMessage::Contact(contact::ContactMessage::Answer) => {}
            peer::PeerMessage::Contact(contact::ContactMessage::Probe) => {
                let answer = contact::ContactMessage::Answer;
                self.network.send(&sender, peer::PeerMessage::Contact(answer));
            }
            peer::PeerMessage::Quota(message) => {
                self.quota.take_message(now, sender, message, quota_routing!(self));
            }
            peer::PeerMessage::Placement(message) => {
                self.placement.take_message(now, sender, message, placement_tools!(self));
            }
            peer::PeerMessage::Config(message) => {
                let changed = self.catalog.take_message(now, sender, message);
                self.configure(now, changed);
            }
            peer::PeerMessage::Claim(message) => {
                self.claims.take_message(now, sender, message, claim_tools!(self));
            }
        }
    }

    /// Passes a changed configuration on to the hosts that keep parts of it.
    fn configure(&mut self, now: instant::MonotonicTime, changed: bool) {
        if !changed {
            return;
        }
        let view = self.catalog.view();
        self.quota.configure(now, &view, quota_routing!(self));
        self.track_resources();
    }

    fn take_list(&mut self, now: instant::MonotonicTime, list: protocol::InstanceList) {
        self.directory.replace(list);
        self.network.set_directory(self.directory.peer_addresses());
        self.shared.services.store(sync::Arc::new(self.directory.services()));
        let changed = self.catalog.take_list(now, &self.directory);
        self.configure(now, changed);
        self.placement.take_list(now, placement_tools!(self));
        self.track_resources();
        self.note_list_reachable(now);
    }

    fn note_list_reachable(&mut self, now: instant::MonotonicTime) {
        if !self.list_reachable {
            self.list_reachable = true;
            event::emit(event::LIST_REACHABLE, format_args!("the list can be read"));
        }
        let notices = self.member.take_list(now, &self.directory);
        self.take_notices(now, notices);
    }

    /// Tells all instances that can be reached of a suspected request.
    fn announce_crash(&self, notice: &once::CrashNotice) {
        let own_name = &self.shared.settings.instance;
        for (receiver, _) in self.directory.peer_addresses().filter(|(name, _)| name != own_name) {
            let message = once::ClaimMessage::Crash(notice.clone());
            self.network.send(&receiver, peer::PeerMessage::Claim(message));
        }
    }

    fn note_list_unreachable(&mut self, cause: &str) {
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

    /// Hands ownership over while running requests end, then reports that the stop is complete.
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
