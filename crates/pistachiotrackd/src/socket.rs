//! Options of the daemon's TCP connections.

use std::{io, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Time without a sign of the other end after which it is asked for one, time
/// between two such questions, and how many may stay unanswered. A connection that
/// was forgotten on the way is found within 7 s, of which one that is in use is
/// found by its timeouts; shorter times cost bytes on every idle connection.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 2;
/// Time for which sent bytes may stay unacknowledged: two retransmissions and more
/// within a region.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1_500);

/// Sets the options of a connection that this VM opened.
///
/// Failure guarded against: something between the two ends has lost track of the
/// connection, or the other end has lost power, and nothing says so. It shows as a
/// connection that stays open and silent. The guard holds because the system ends
/// a connection whose bytes, or whose keep-alive probes, nobody acknowledges.
///
/// # Errors
///
/// Returns an error if the system refuses an option.
pub(crate) fn configure_outgoing(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    socket.set_tcp_keepalive(&keepalive())
}

/// Sets the options of a connection that came in; its other end may be slow to take
/// an answer, so that only its idle times are watched.
///
/// # Errors
///
/// Returns an error if the system refuses an option.
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
