//! Runs the membership protocol of the instance's zone.

use std::collections;
use std::rc;
use std::sync;

use async_channel as channel;
use coltsfoot_member::{ZoneMember, event as member, rendezvous};
use coltsfoot_platform::log;
use coltsfoot_types::{id, name, time as instant};
use coltsfoot_wire::{member as messages, peer};

use crate::control::directory::InstanceDirectory;
use crate::control::resource::OwnedResource;
use crate::control::{EventSender, platform};
use crate::peers::PeerNetwork;
use crate::{event, shared};

/// Change of this instance's ownership of a resource.
pub struct OwnershipNotice {
    /// The resource.
    pub resource: OwnedResource,
    /// Fencing number for its orders if ownership was gained; none if it was lost.
    pub fencing: Option<id::FencingNumber>,
}

/// Dependencies of [`MemberHost`] for executing the protocol's actions.
pub struct MemberContext {
    /// Executor of the control thread's tasks.
    pub executor: rc::Rc<async_executor::LocalExecutor<'static>>,
    /// Connections to other instances.
    pub network: PeerNetwork,
    /// Client of the platform's log.
    pub log: log::LogClient,
    /// Queue for the control thread's events.
    pub events: EventSender,
    /// Triggers an immediate read of the members stream.
    pub wakeups: channel::Sender<()>,
}

/// Membership of this instance and the resources that it owns.
pub struct MemberHost {
    shared: sync::Arc<shared::InstanceShared>,
    context: MemberContext,
    zone_member: ZoneMember,
    resources: collections::BTreeMap<name::ResourceName, OwnedResource>,
}

impl MemberHost {
    /// Creates a host without a view.
    pub fn new(shared: sync::Arc<shared::InstanceShared>, context: MemberContext) -> Self {
        let zone_member = ZoneMember::builder()
            .own_name(shared.settings.instance.clone())
            .zone(shared.settings.zone.clone())
            .group_count(shared.settings.member_groups)
            .seed(rand::random())
            .build();
        let resources = collections::BTreeMap::new();
        Self { shared, context, zone_member, resources }
    }

    /// Handles an event and returns the ownership changes that it caused.
    pub fn handle(
        &mut self,
        now: instant::MonotonicTime,
        event: member::MemberEvent,
    ) -> Vec<OwnershipNotice> {
        let actions = self.zone_member.handle(now, event);
        let mut notices = Vec::new();
        for action in actions {
            self.execute(action, &mut notices);
        }
        notices
    }

    /// Updates the zone's instances from the platform's list and returns ownership changes.
    pub fn apply_list(
        &mut self,
        now: instant::MonotonicTime,
        directory: &InstanceDirectory,
    ) -> Vec<OwnershipNotice> {
        let entries = directory.entries_of(&self.shared.settings.zone);
        let listed = entries
            .map(|entry| member::ListedInstance {
                name: entry.name.clone(),
                leaving: entry.leaving,
            })
            .collect();
        self.handle(now, member::MemberEvent::ListRead(listed))
    }

    /// Handles a message of another instance and returns ownership changes.
    pub fn handle_message(
        &mut self,
        now: instant::MonotonicTime,
        sender: name::InstanceName,
        message: messages::MemberMessage,
    ) -> Vec<OwnershipNotice> {
        self.handle(now, member::MemberEvent::Message { sender, message })
    }

    /// Replaces the set of tracked resources. Ownership of removed ones is given up.
    pub fn track(&mut self, resources: impl Iterator<Item = OwnedResource>) {
        let tracked: collections::BTreeMap<_, _> =
            resources.map(|resource| (resource.name(), resource)).collect();
        for name in self.resources.keys().filter(|name| !tracked.contains_key(*name)) {
            self.zone_member.untrack(name);
        }
        for name in tracked.keys().filter(|name| !self.resources.contains_key(*name)) {
            self.zone_member.track(name.clone());
        }
        self.resources = tracked;
    }

    /// Returns this instance's lease on a resource at `now`; none if it isn't the owner.
    pub fn lease(
        &self,
        now: instant::MonotonicTime,
        resource: &OwnedResource,
    ) -> Option<member::OwnerLease> {
        self.zone_member.lease(now, &resource.name())
    }

    /// Returns the owner of a resource of this zone.
    pub fn owner_of(&self, resource: &OwnedResource) -> Option<name::InstanceName> {
        self.zone_member.owner_of(&resource.name())
    }

    /// Computes the likely owner of a resource of another zone from the platform's list, which may
    /// be outdated. An instance that isn't the owner refuses the message.
    pub fn expected_owner(
        directory: &InstanceDirectory,
        zone: &name::ZoneName,
        resource: &OwnedResource,
    ) -> Option<name::InstanceName> {
        rendezvous::choose_member(&resource.name(), directory.members_of(zone)).cloned()
    }

    /// Returns the current view of the zone.
    pub fn view(&self) -> Option<member::ZoneView> {
        self.zone_member.view()
    }

    /// Returns the members of the current view; empty if there is none.
    pub fn members(&self) -> Vec<name::InstanceName> {
        self.zone_member.view().map(|view| view.members).unwrap_or_default()
    }

    /// Returns the ownership mode as shown to operators: `inactive`, `full` or `restricted K/N`.
    pub fn mode_text(&self, now: instant::MonotonicTime) -> String {
        match self.zone_member.mode(now) {
            member::MemberMode::Inactive => "inactive".to_owned(),
            member::MemberMode::Full => "full".to_owned(),
            member::MemberMode::Restricted { kept, of } => format!("restricted {kept}/{of}"),
        }
    }

    fn execute(&mut self, action: member::MemberAction, notices: &mut Vec<OwnershipNotice>) {
        match action {
            member::MemberAction::Send { receiver, message } => {
                self.context.network.send(&receiver, peer::PeerMessage::Member(message));
            }
            member::MemberAction::AppendView { record_id, text } => self.append(record_id, text),
            member::MemberAction::ViewChanged(view) => report_view(view),
            member::MemberAction::OwnershipGained { resource, fencing } => {
                self.push_notice(&resource, Some(fencing), notices);
            }
            member::MemberAction::OwnershipLost { resource } => {
                self.push_notice(&resource, None, notices);
            }
            member::MemberAction::Drained { .. } => self.shared.status.set_handed_over(),
        }
    }

    fn push_notice(
        &self,
        resource: &name::ResourceName,
        fencing: Option<id::FencingNumber>,
        notices: &mut Vec<OwnershipNotice>,
    ) {
        if let Some(resource) = self.resources.get(resource) {
            notices.push(OwnershipNotice { resource: resource.clone(), fencing });
        }
    }

    fn append(&self, record_id: uuid::Uuid, text: String) {
        let log = self.context.log.clone();
        let events = self.context.events.clone();
        let wakeups = self.context.wakeups.clone();
        let appending = async move {
            platform::append_view(log, events, record_id, text).await;
            let _ = wakeups.try_send(());
        };
        self.context.executor.spawn(appending).detach();
    }
}

fn report_view(view: Option<member::ZoneView>) {
    match view {
        Some(view) => {
            let members: Vec<_> = view.members.iter().map(name::InstanceName::as_str).collect();
            let members = members.join(", ");
            event::emit(event::VIEW_CHANGED, format_args!("epoch {}: {members}", view.epoch));
        }
        None => event::emit(event::VIEW_CHANGED, format_args!("no view")),
    }
}
