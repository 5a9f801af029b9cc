//! Messages to and from other instances: TCP for requests and responses, UDP for heartbeats.

use std::cell;
use std::collections;
use std::io;
use std::net;
use std::rc;
use std::sync;
use std::time;

use async_net::{TcpListener, TcpStream, UdpSocket};
use coltsfoot_types::name;
use coltsfoot_wire::{codec, peer, quota};
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _, FutureExt as _, StreamExt as _};

use crate::{control, event, shared};

/// Maximum size of a message, in bytes.
const MAX_MESSAGE_BYTES: usize = 4 * 1_024 * 1_024;
/// Maximum number of messages queued for one peer; further ones are dropped.
const MAX_QUEUED_MESSAGES: usize = 1_024;
/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Timeout for writing a message to a peer.
const WRITE_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Maximum size of a datagram, in bytes; larger messages are sent by TCP.
const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Addresses at which peers listen, by name.
type PeerDirectory = collections::HashMap<name::InstanceName, net::SocketAddr>;

/// Queue of the messages to a peer, which a task writes to its connection.
struct PeerLink {
    address: net::SocketAddr,
    queue: async_channel::Sender<Vec<u8>>,
}

/// Sends messages to other instances. Belongs to the control thread and is not `Send`.
#[derive(Clone)]
pub struct PeerNetwork {
    inner: rc::Rc<NetworkState>,
}

struct NetworkState {
    own_name: name::InstanceName,
    codec: codec::MessageCodec,
    executor: rc::Rc<async_executor::LocalExecutor<'static>>,
    socket: UdpSocket,
    shared: sync::Arc<shared::InstanceShared>,
    events: control::EventSender,
    directory: cell::RefCell<PeerDirectory>,
    links: cell::RefCell<collections::HashMap<name::InstanceName, PeerLink>>,
    /// Peers that were sent messages as owners since the last `take_contacted_owners`.
    contacted_owners: cell::RefCell<Vec<name::InstanceName>>,
}

impl PeerNetwork {
    /// Creates a network that sends datagrams through `socket` and runs its tasks on `executor`.
    pub fn new(
        own_name: name::InstanceName,
        codec: codec::MessageCodec,
        executor: rc::Rc<async_executor::LocalExecutor<'static>>,
        socket: UdpSocket,
        shared: sync::Arc<shared::InstanceShared>,
        events: control::EventSender,
    ) -> Self {
        let state = NetworkState {
            own_name,
            codec,
            executor,
            socket,
            shared,
            events,
            directory: cell::RefCell::default(),
            links: cell::RefCell::default(),
            contacted_owners: cell::RefCell::default(),
        };
        Self { inner: rc::Rc::new(state) }
    }

    /// Replaces the addresses of the peers and closes links to those that have changed or are gone.
    pub fn set_directory(
        &self,
        entries: impl Iterator<Item = (name::InstanceName, net::SocketAddr)>,
    ) {
        let directory: PeerDirectory = entries.collect();
        let keep = |name: &name::InstanceName, link: &mut PeerLink| {
            directory.get(name) == Some(&link.address)
        };
        self.inner.links.borrow_mut().retain(keep);
        self.inner.directory.replace(directory);
    }

    /// Sends a message without delivery guarantee: small membership messages by UDP, all others by
    /// TCP. A message to this instance itself is put into the control thread's queue.
    pub fn send(&self, receiver: &name::InstanceName, message: peer::PeerMessage) {
        if *receiver == self.inner.own_name {
            let envelope = peer::PeerEnvelope { sender: receiver.clone(), message };
            return self.inner.events.send(control::ControlEvent::Peer(Box::new(envelope)));
        }
        let Some(address) = self.inner.directory.borrow().get(receiver).copied() else {
            return;
        };
        let by_datagram =
            matches!(message, peer::PeerMessage::Member(_) | peer::PeerMessage::Contact(_));
        if is_sent_to_owner(&message) {
            self.inner.contacted_owners.borrow_mut().push(receiver.clone());
        }
        let sender = self.inner.own_name.clone();
        let kind = message.kind();
        let Ok(bytes) = self.inner.codec.encode(&peer::PeerEnvelope { sender, message }) else {
            return;
        };
        self.inner.shared.metrics.count_peer_bytes(kind, bytes.len());
        if by_datagram && bytes.len() <= MAX_DATAGRAM_BYTES {
            self.send_datagram(address, bytes);
        } else {
            self.enqueue(receiver, address, bytes);
        }
    }

    /// Returns the peers that were sent messages as owners since the last call, sorted by name.
    pub fn take_contacted_owners(&self) -> Vec<name::InstanceName> {
        let mut owners = self.inner.contacted_owners.take();
        owners.sort();
        owners.dedup();
        owners
    }

    fn send_datagram(&self, address: net::SocketAddr, bytes: Vec<u8>) {
        let socket = self.inner.socket.clone();
        let sending = async move {
            let _ = socket.send_to(&bytes, address).await;
        };
        self.inner.executor.spawn(sending).detach();
    }

    fn enqueue(&self, receiver: &name::InstanceName, address: net::SocketAddr, bytes: Vec<u8>) {
        let mut links = self.inner.links.borrow_mut();
        let link = links.entry(receiver.clone()).or_insert_with(|| {
            let (queue, waiting) = async_channel::bounded(MAX_QUEUED_MESSAGES);
            let delivering = deliver(receiver.clone(), address, waiting);
            self.inner.executor.spawn(delivering).detach();
            PeerLink { address, queue }
        });
        let _ = link.queue.try_send(bytes);
    }
}

/// Returns whether a message is sent to an owner, whose reachability is then probed.
fn is_sent_to_owner(message: &peer::PeerMessage) -> bool {
    match message {
        peer::PeerMessage::Quota(quota::QuotaMessage::Applied(_)) => false,
        peer::PeerMessage::Quota(_) | peer::PeerMessage::Placement(_) => true,
        peer::PeerMessage::Claim(_) => true,
        peer::PeerMessage::Member(_)
        | peer::PeerMessage::Contact(_)
        | peer::PeerMessage::Config(_) => false,
    }
}

/// Writes queued messages to a peer and reconnects after failures. A message that could not be
/// written is dropped, which the protocols between instances tolerate.
async fn deliver(
    receiver: name::InstanceName,
    address: net::SocketAddr,
    queue: async_channel::Receiver<Vec<u8>>,
) {
    let mut connection: Option<TcpStream> = None;
    let mut is_reported = false;
    while let Ok(bytes) = queue.recv().await {
        match write_message(&mut connection, address, &bytes).await {
            Ok(()) => is_reported = false,
            Err(error) => {
                connection = None;
                if !is_reported {
                    event::emit(event::PEER_UNREACHABLE, format_args!("{receiver}: {error}"));
                    is_reported = true;
                }
            }
        }
    }
}

async fn write_message(
    connection: &mut Option<TcpStream>,
    address: net::SocketAddr,
    bytes: &[u8],
) -> io::Result<()> {
    let stream = match connection {
        Some(stream) => stream,
        None => {
            let stream = or_timeout(TcpStream::connect(address), CONNECT_TIMEOUT).await?;
            stream.set_nodelay(true)?;
            connection.insert(stream)
        }
    };
    let length = (bytes.len() as u32).to_le_bytes();
    let mut frame = Vec::with_capacity(length.len() + bytes.len());
    frame.extend_from_slice(&length);
    frame.extend_from_slice(bytes);
    or_timeout(stream.write_all(&frame), WRITE_TIMEOUT).await
}

async fn or_timeout<T>(
    operation: impl Future<Output = io::Result<T>>,
    timeout: time::Duration,
) -> io::Result<T> {
    let expiry = async {
        async_io::Timer::after(timeout).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    operation.or(expiry).await
}

/// Receives messages of other instances and queues them for the control thread.
pub struct PeerListener {
    /// Authenticates and decodes messages.
    pub codec: codec::MessageCodec,
    /// Queue of the control thread.
    pub events: control::EventSender,
}

impl PeerListener {
    /// Accepts TCP connections until the listener fails.
    pub async fn accept(
        self: rc::Rc<Self>,
        listener: TcpListener,
        executor: rc::Rc<async_executor::LocalExecutor<'static>>,
    ) {
        let mut incoming = listener.incoming();
        while let Some(accepted) = incoming.next().await {
            let Ok(stream) = accepted else { continue };
            let reader = rc::Rc::clone(&self);
            let reading = async move {
                let _ = reader.read_messages(stream).await;
            };
            executor.spawn(reading).detach();
        }
    }

    /// Receives datagrams; never returns.
    pub async fn receive(self: rc::Rc<Self>, socket: UdpSocket) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        loop {
            if let Ok((length, _)) = socket.recv_from(&mut buffer).await {
                self.handle_bytes(&buffer[..length]);
            }
        }
    }

    async fn read_messages(&self, mut stream: TcpStream) -> io::Result<()> {
        loop {
            let mut length = [0; 4];
            stream.read_exact(&mut length).await?;
            let length = u32::from_le_bytes(length) as usize;
            if length > MAX_MESSAGE_BYTES {
                return Err(io::ErrorKind::InvalidData.into());
            }
            let mut bytes = vec![0; length];
            stream.read_exact(&mut bytes).await?;
            if !self.handle_bytes(&bytes) {
                return Err(io::ErrorKind::InvalidData.into());
            }
        }
    }

    fn handle_bytes(&self, bytes: &[u8]) -> bool {
        match self.codec.decode(bytes) {
            Ok(envelope) => {
                self.events.send(control::ControlEvent::Peer(Box::new(envelope)));
                true
            }
            Err(error) => {
                event::emit(event::PEER_MESSAGE_REFUSED, format_args!("{error}"));
                false
            }
        }
    }
}
