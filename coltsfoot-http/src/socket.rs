//! TCP connections that detect an unresponsive peer.

use std::io;
use std::net;
use std::time;

use async_net::TcpStream;

use crate::message;

/// `TCP_USER_TIMEOUT`: the connection fails if sent bytes or keep-alive probes stay unacknowledged for this time.
/// It also overrides the count of probes, and it must be longer than sound peers pause.
const USER_TIMEOUT: time::Duration = time::Duration::from_millis(4000);
/// Idle time before the first keep-alive probe, and between probes.
const PROBE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Unanswered keep-alive probes after which the connection fails.
const MAX_PROBES: u32 = 4;
/// A connection without blocking is being established.
const IN_PROGRESS: rustix::io::Errno = rustix::io::Errno::INPROGRESS;
/// Bytes of the receive buffers of callers' and upstreams' connections, as the system is asked for them: the
/// most that a peer can make it hold of what was not read is about twice as much.
const RECEIVE_BUFFER: usize = 16 * 1024;
/// Memory that the receive buffer of a connection may take, in bytes.
pub const UNREAD_BYTES: usize = 2 * RECEIVE_BUFFER;
/// Connections that wait to be accepted.
const BACKLOG: i32 = 128;

/// Connects within a time limit and enables keep-alive.
pub async fn connect(address: net::SocketAddr, limit: time::Duration) -> io::Result<TcpStream> {
    let Some(connected) = message::with_timeout(limit, TcpStream::connect(address)).await else {
        return Err(io::Error::new(io::ErrorKind::TimedOut, "connection attempt timed out"));
    };
    let stream = connected?;
    enable_keepalive(&stream)?;
    Ok(stream)
}

/// Connects like [`connect`]; the connection has a receive buffer of a fixed size, as [`listen`] gives to those of
/// callers.
pub async fn connect_bounded(
    address: net::SocketAddr,
    limit: time::Duration,
) -> io::Result<TcpStream> {
    let Some(connected) = message::with_timeout(limit, begin_connect(address)).await else {
        return Err(io::Error::new(io::ErrorKind::TimedOut, "connection attempt timed out"));
    };
    let stream = connected?;
    enable_keepalive(&stream)?;
    Ok(stream)
}

async fn begin_connect(address: net::SocketAddr) -> io::Result<TcpStream> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM.nonblocking(), None)?;
    limit_unread(&socket);
    match socket.connect(&address.into()) {
        Err(error) if rustix::io::Errno::from_io_error(&error) != Some(IN_PROGRESS) => {
            return Err(error);
        }
        _ => {}
    }
    let stream = async_io::Async::new_nonblocking(net::TcpStream::from(socket))?;
    stream.writable().await?;
    match stream.get_ref().take_error()? {
        Some(error) => Err(error),
        None => Ok(stream.into()),
    }
}

/// Makes the connection fail within seconds of its peer becoming unresponsive; disables Nagle's algorithm.
pub fn enable_keepalive(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}

/// Sets whether the end of the socket resets its connection, which discards what was not delivered yet, or closes
/// it in order.
pub fn set_reset_on_close(stream: &TcpStream, resets: bool) -> io::Result<()> {
    socket2::SockRef::from(stream).set_linger(resets.then_some(time::Duration::ZERO))
}

/// Listens for callers, whose connections have a receive buffer of a fixed size: one that grows with the peer's
/// pace would hold megabytes that are not read.
pub fn listen(address: net::SocketAddr) -> io::Result<net::TcpListener> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    // Connections that are not accepted yet inherit it.
    limit_unread(&socket);
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Limits what a connection holds that was received and not read. A system that refuses it keeps its own limit.
fn limit_unread(socket: &socket2::Socket) {
    if let Err(error) = socket.set_recv_buffer_size(RECEIVE_BUFFER) {
        log::warn!("could not limit the receive buffer of a connection: {error}");
    }
}
