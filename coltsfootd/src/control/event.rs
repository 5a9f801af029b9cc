//! Events of the control thread and the queue that holds them.

use async_channel as channel;
use coltsfoot_member::event as member;
use coltsfoot_once::batcher_event;
use coltsfoot_placement::event as cell;
use coltsfoot_platform::protocol;
use coltsfoot_types::{id, name};
use coltsfoot_wire::{once, peer, placement};

use crate::control::{client, platform, status};

/// Something that the control thread acts on.
pub enum ControlEvent {
    /// Time has passed.
    Tick,
    /// A request asks for admission.
    Admit(client::AdmissionQuery, client::ReplySender<()>),
    /// A request did not use all tokens that it was charged, or no longer waits for admission.
    Refund {
        /// The request.
        request: id::RequestId,
        /// Tokens to give back.
        tokens: u64,
    },
    /// An attempt asks for a permit.
    Permit(client::PermitQuery, client::ReplySender<client::GrantedPermit>),
    /// An attempt no longer waits for its permit.
    CancelPermit(id::AttemptId),
    /// A permitted attempt has ended.
    Release(id::AttemptId, placement::AttemptOutcome),
    /// Another instance sent a message.
    Peer(Box<peer::PeerEnvelope>),
    /// The members stream was read to its end.
    MembersRead(Vec<member::StreamRecord>),
    /// The members stream can't be read.
    MembersUnreachable,
    /// An append to the members stream has ended.
    ViewAppended {
        /// Id of the record.
        record_id: uuid::Uuid,
        /// How it ended.
        outcome: member::AppendOutcome,
    },
    /// An order to an engine has ended.
    OrderEnded {
        /// The cell that gave it.
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
    /// A read for the configuration has ended.
    ConfigRead(platform::ConfigRead),
    /// An append of a part of a snapshot has ended.
    SnapshotAppended {
        /// Offset of the first value, nothing if it is not known to be appended.
        first_offset: Option<id::LogOffset>,
    },
    /// A request is suspected of a crash.
    CrashSuspected(once::CrashNotice),
    /// A once-only call asks for its claim.
    Claim(client::ClaimQuery, channel::Sender<client::ClaimDecision>),
    /// A once-only call has ended; the sender is closed when that is on the log.
    RecordOutcome(once::OutcomeEntry, channel::Sender<()>),
    /// A call of the claims stream has ended.
    ClaimsCallEnded(batcher_event::BatcherEvent),
    /// The instance list was read and has not changed.
    ListUnchanged,
    /// The instance list was read.
    ListRead(protocol::InstanceList),
    /// The instance list can't be read.
    ListUnreachable(String),
    /// An operator asks for the instance's status.
    Status(channel::Sender<status::InstanceReport>),
    /// A planned stop begins.
    Drain,
}

/// Puts events into the control thread's queue.
#[derive(Clone)]
pub struct EventSender(channel::Sender<ControlEvent>);

impl EventSender {
    /// Puts an event into the queue. Events after the end of the control thread are dropped.
    pub fn send(&self, event: ControlEvent) {
        let _ = self.0.try_send(event);
    }
}

/// Creates the queue of the control thread. Its length is bounded by the requests, of which the
/// limits of the listener permit a certain number, so the queue itself need not be.
pub fn event_queue() -> (EventSender, channel::Receiver<ControlEvent>) {
    let (sender, receiver) = channel::unbounded();
    (EventSender(sender), receiver)
}
