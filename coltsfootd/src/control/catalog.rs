//! Runs the configuration follower and publishes its views to the traffic threads.

use std::rc;
use std::sync;

use coltsfoot_catalog::{feed, follower, view};
use coltsfoot_platform::log;
use coltsfoot_types::{id, name, time as instant};
use coltsfoot_wire::{config, peer};

use crate::control::directory::InstanceDirectory;
use crate::control::{EventSender, platform};
use crate::peers::PeerNetwork;
use crate::{event, shared};

/// Dependencies of [`ConfigHost`] for executing the follower's actions.
pub struct ConfigContext {
    /// Executor of the control thread's tasks.
    pub executor: rc::Rc<async_executor::LocalExecutor<'static>>,
    /// Connections to other instances.
    pub network: PeerNetwork,
    /// Client of the platform's log.
    pub log: log::LogClient,
    /// Queue for the control thread's events.
    pub events: EventSender,
}

/// Configuration follower of the control thread.
pub struct ConfigHost {
    shared: sync::Arc<shared::InstanceShared>,
    context: ConfigContext,
    follower: follower::ConfigFollower,
    reachable: bool,
}

impl ConfigHost {
    /// Creates a host that starts reading at offset 0.
    pub fn new(shared: sync::Arc<shared::InstanceShared>, context: ConfigContext) -> Self {
        let follower = follower::ConfigFollower::builder()
            .instance(shared.settings.instance.clone())
            .zone(shared.settings.zone.clone())
            .log_retention(shared.settings.log_retention)
            .seed(rand::random())
            .now(shared.clock.now())
            .build();
        Self { shared, context, follower, reachable: true }
    }

    /// Returns the offset of the next record to apply.
    pub fn next_offset(&self) -> id::LogOffset {
        self.follower.replica().next_offset()
    }

    /// Returns the current configuration.
    pub fn view(&self) -> view::CatalogView {
        self.follower.view()
    }

    /// Advances timers to `now`. Returns whether the configuration changed.
    pub fn tick(&mut self, now: instant::MonotonicTime) -> bool {
        now >= self.follower.next_wake() && self.handle(now, feed::FollowerEvent::Tick)
    }

    /// Handles the result of a log read. Returns whether the configuration changed.
    pub fn handle_read(&mut self, now: instant::MonotonicTime, read: platform::ConfigRead) -> bool {
        self.record_reachability(read.page.as_ref().err());
        let page = read.page.ok();
        let platform::ConfigRead { stream, offset, .. } = read;
        self.handle(now, feed::FollowerEvent::LogRead { stream, offset, page })
    }

    /// Handles the result of a snapshot append. Returns whether the configuration changed.
    pub fn handle_append(
        &mut self,
        now: instant::MonotonicTime,
        first_offset: Option<id::LogOffset>,
    ) -> bool {
        self.handle(now, feed::FollowerEvent::LogAppended { first_offset })
    }

    /// Updates the peers from the instance list. Returns whether the configuration changed.
    pub fn apply_list(&mut self, now: instant::MonotonicTime, list: &InstanceDirectory) -> bool {
        self.handle(now, feed::FollowerEvent::Peers(list.config_peers()))
    }

    /// Handles a message from another instance. Returns whether the configuration changed.
    pub fn handle_message(
        &mut self,
        now: instant::MonotonicTime,
        sender: name::InstanceName,
        message: config::ConfigMessage,
    ) -> bool {
        self.handle(now, feed::FollowerEvent::Message { sender, message })
    }

    fn handle(&mut self, now: instant::MonotonicTime, event: feed::FollowerEvent) -> bool {
        let mut changed = false;
        for action in self.follower.handle(now, event) {
            changed |= action == feed::FollowerAction::Publish;
            self.execute(action);
        }
        if let Some(staleness) = self.follower.staleness(now) {
            self.shared.status.set_catalog_age(now, staleness);
            self.mark_restored();
        }
        changed
    }

    fn execute(&self, action: feed::FollowerAction) {
        let context = &self.context;
        match action {
            feed::FollowerAction::ReadLog { stream, offset, limit } => {
                let (log, events) = (context.log.clone(), context.events.clone());
                let read = platform::read_config(log, events, stream, offset, limit);
                context.executor.spawn(read).detach();
            }
            feed::FollowerAction::AppendLog { stream, values } => {
                let (log, events) = (context.log.clone(), context.events.clone());
                context
                    .executor
                    .spawn(platform::append_snapshot(log, events, stream, values))
                    .detach();
            }
            feed::FollowerAction::Send { to, message } => {
                context.network.send(&to, peer::PeerMessage::Config(message));
            }
            feed::FollowerAction::Publish => {
                self.shared.catalog.store(sync::Arc::new(self.follower.view()));
            }
            feed::FollowerAction::Report(feed::ApplyReport::Accepted { offset, objects }) => {
                let details = format_args!("offset {offset}: {objects} objects");
                event::emit(event::CHANGE_ACCEPTED, details);
            }
            feed::FollowerAction::Report(feed::ApplyReport::Rejected { offset, reason }) => {
                event::emit(event::CHANGE_REJECTED, format_args!("offset {offset}: {reason}"));
            }
        }
    }

    fn record_reachability(&mut self, error: Option<&String>) {
        match error {
            Some(error) if self.reachable => {
                event::emit(event::LOG_UNREACHABLE, format_args!("{error}"));
            }
            None if !self.reachable => {
                event::emit(event::LOG_REACHABLE, format_args!("offset {}", self.next_offset()));
            }
            _ => {}
        }
        self.reachable = error.is_none();
    }

    fn mark_restored(&self) {
        if !self.shared.status.is_ready() {
            self.shared.status.set_ready();
            event::emit(event::RESTORED, format_args!("offset {}", self.next_offset()));
        }
    }
}
