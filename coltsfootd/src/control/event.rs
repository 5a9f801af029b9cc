//! Events of the control thread and the queue that holds them.

use async_channel as channel;
use coltsfoot_member::event as member;
use coltsfoot_once::batcher_event;
use coltsfoot_placement::event as cell;
use coltsfoot_platform::protocol;
use coltsfoot_types::{id, name};
use coltsfoot_wire::{once, peer, placement};

use crate::control::{client, platform, status};

/// Event that the control thread handles.
pub enum ControlEvent {
    /// Periodic tick.
    Tick,
    /// A request needs admission.
    Admit(client::AdmissionQuery, client::ReplySender<()>),
    /// A request ended without using all charged tokens, or no longer waits for admission.
    Refund {
        /// The request.
        request: id::RequestId,
        /// Unused tokens.
        tokens: u64,
    },
    /// An attempt needs a permit.
    Permit(client::PermitQuery, client::ReplySender<client::GrantedPermit>),
    /// An attempt no longer waits for its permit.
    CancelPermit(id::AttemptId),
    /// A permitted attempt has ended.
    Release(id::AttemptId, placement::AttemptOutcome),
    /// Another instance sent a message.
    Peer(Box<peer::PeerEnvelope>),
    /// The members stream was read up to its end.
    MembersRead(Vec<member::StreamRecord>),
    /// The members stream can't be read.
    MembersUnreachable,
    /// An append to the members stream completed or failed.
    ViewAppended {
        /// Id of the record.
        record_id: uuid::Uuid,
        /// How it ended.
        outcome: member::AppendOutcome,
    },
    /// An order to an engine completed or failed.
    OrderEnded {
        /// The cell that issued it.
        cell: placement::CellId,
        /// The order.
        order: cell::OrderId,
        /// Whether it was a load.
        is_load: bool,
        /// How it ended.
        outcome: cell::OrderOutcome,
    },
    /// An engine reported its state.
    EngineReported(name::UpstreamName, protocol::LoadReport),
    /// An engine's port is closed: its process has ended.
    EngineClosed(name::UpstreamName),
    /// A read of a configuration stream completed or failed.
    ConfigRead(platform::ConfigRead),
    /// An append of a snapshot chunk completed or failed.
    SnapshotAppended {
        /// Offset of the first value; none if the append was not confirmed.
        first_offset: Option<id::LogOffset>,
    },
    /// A request is suspected of having crashed an engine.
    CrashSuspected(once::CrashNotice),
    /// A once-only call needs its claim.
    Claim(client::ClaimQuery, channel::Sender<client::ClaimDecision>),
    /// A once-only call has ended; the sender is closed once the outcome is on the log.
    RecordOutcome(once::OutcomeEntry, channel::Sender<()>),
    /// An append or read of the claims stream completed or failed.
    ClaimsCallEnded(batcher_event::BatcherEvent),
    /// The instance list was polled and has not changed.
    ListUnchanged,
    /// The instance list was polled and has changed.
    ListRead(protocol::InstanceList),
    /// The instance list can't be read.
    ListUnreachable(String),
    /// An operator requested the instance's status.
    Status(channel::Sender<status::InstanceReport>),
    /// A graceful shutdown begins.
    Drain,
}

/// Puts events into the control thread's queue.
#[derive(Clone)]
pub struct EventSender(channel::Sender<ControlEvent>);

impl EventSender {
    /// Enqueues an event; dropped if the control thread has stopped.
    pub fn send(&self, event: ControlEvent) {
        let _ = self.0.try_send(event);
    }
}

/// Creates the event queue of the control thread. The channel is unbounded, since the listener's
/// limits on requests already bound the number of queued events.
pub fn event_queue() -> (EventSender, channel::Receiver<ControlEvent>) {
    let (sender, receiver) = channel::unbounded();
    (EventSender(sender), receiver)
}
