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

/// Connects within a time limit and enables keep-alive.
pub async fn connect(address: net::SocketAddr, limit: time::Duration) -> io::Result<TcpStream> {
    let Some(connected) = message::with_timeout(limit, TcpStream::connect(address)).await else {
        return Err(io::Error::new(io::ErrorKind::TimedOut, "connection attempt timed out"));
    };
    let stream = connected?;
    enable_keepalive(&stream)?;
    Ok(stream)
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
