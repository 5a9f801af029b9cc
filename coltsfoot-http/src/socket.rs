//! Connections that notice a silent peer.

use std::io;
use std::net;
use std::time;

use async_net::TcpStream;

use crate::message;

/// Time after which sent bytes must be acknowledged.
const UNACKED_LIMIT: time::Duration = time::Duration::from_millis(2000);
/// Idle time before the first keep-alive probe, and between probes.
const PROBE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Unanswered probes after which a connection is dead.
const PROBE_LIMIT: u32 = 2;

/// Connects within a time limit.
pub async fn connect(address: net::SocketAddr, limit: time::Duration) -> io::Result<TcpStream> {
    let Some(connected) = message::with_timeout(limit, TcpStream::connect(address)).await else {
        return Err(io::Error::new(io::ErrorKind::TimedOut, "no connection in time"));
    };
    let stream = connected?;
    enable_keepalive(&stream)?;
    Ok(stream)
}

/// Makes a connection fail soon after its peer has stopped answering.
pub fn enable_keepalive(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKED_LIMIT))?;
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBE_LIMIT);
    socket.set_tcp_keepalive(&keepalive)
}
