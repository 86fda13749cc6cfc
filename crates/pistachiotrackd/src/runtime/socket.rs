//! Options of the daemon's TCP connections.

use std::{io, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// TCP keep-alive: idle time before the first probe, interval between probes, and
/// number of unacknowledged probes. A dead idle connection is detected within 7 s, an
/// outgoing one after the first unacknowledged probe, within 6 s: its
/// [`UNACKNOWLEDGED_TIMEOUT`] has passed by then, and decides in place of the number.
/// Connections in use are covered by their timeouts. Shorter times would cost bytes on
/// every idle connection.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 2;
/// Time for which sent bytes may stay unacknowledged; allows for at least two
/// retransmissions within a region.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Sets the options of an outgoing connection.
///
/// If a middlebox drops the connection's state, or the peer loses power, the
/// connection stays open without any error. With these options the system closes a
/// connection whose data or keep-alive probes aren't acknowledged.
///
/// # Errors
///
/// Returns an error if the system rejects an option.
pub(crate) fn configure_outgoing(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    socket.set_tcp_keepalive(&keepalive())
}

/// Sets the options of an incoming connection. There is no limit on unacknowledged
/// data, since the peer may be slow to read a response.
///
/// # Errors
///
/// Returns an error if the system rejects an option.
pub(crate) fn configure_incoming(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_keepalive(&keepalive())
}

fn keepalive() -> TcpKeepalive {
    TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES)
}
