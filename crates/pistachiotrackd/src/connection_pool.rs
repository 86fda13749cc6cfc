//! Connections that wait for their next request.
//!
//! A pool never sends anything and never repeats a request by itself: libraries'
//! pools do, which would run a booking twice.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError, atomic::AtomicU32},
    time::Duration,
};

use pistachiotrack_core::{request::ConnectionChoice, time::Time};
use rustc_hash::FxHashMap;

use crate::connection::{ConnectError, Connection, Connector, OpenCount};

/// Time for which a connection that is just finishing its last exchange is
/// waited for.
const READY_WAIT: Duration = Duration::from_millis(5);

/// The idle connections to all addresses of one kind.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    connector: Connector,
    places: Mutex<FxHashMap<SocketAddr, Place>>,
}

#[derive(Debug, Default)]
struct Place {
    idle: Vec<Connection>,
    open: Arc<AtomicU32>,
    /// Whether a test has cut the path to the address.
    is_cut: bool,
}

/// Whether an address takes connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Listening {
    /// It does.
    Open,
    /// Its machine says that nobody listens there.
    Refused,
    /// There was no answer that tells.
    Unknown,
}

/// A connection for one exchange.
#[derive(Debug)]
pub(crate) struct CheckedOut {
    /// The connection.
    pub(crate) connection: Connection,
    /// Whether it was opened for this exchange.
    pub(crate) fresh: bool,
}

/// Why no connection could be had; nothing was sent.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CheckoutError {
    /// No connection could be opened.
    #[error(transparent)]
    Connect(#[from] ConnectError),
    /// This VM's budget of connections to the address is used up.
    #[error("connect to {address}: all {budget} connections are in use")]
    OverBudget {
        /// The other end.
        address: SocketAddr,
        /// Connections that this VM may have open.
        budget: u32,
    },
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub(crate) fn new(connector: Connector) -> ConnectionPool {
        ConnectionPool { connector, places: Mutex::default() }
    }

    /// Returns a connection to `address` that fits `choice`, a new one if needed.
    ///
    /// # Errors
    ///
    /// Returns an error if none could be opened before `give_up` or within
    /// `budget` open connections.
    pub(crate) async fn check_out(
        &self,
        address: SocketAddr,
        choice: ConnectionChoice,
        budget: u32,
        give_up: Time,
    ) -> Result<CheckedOut, CheckoutError> {
        if choice != ConnectionChoice::Fresh {
            while let Some(mut connection) = self.take_idle(address, choice) {
                if is_ready(&mut connection).await {
                    return Ok(CheckedOut { connection, fresh: false });
                }
            }
        }
        if self.is_cut(address) {
            let source = io::ErrorKind::ConnectionRefused.into();
            return Err(ConnectError::Io { address, source }.into());
        }
        let Some(open) = self.acquire(address, budget) else {
            return Err(CheckoutError::OverBudget { address, budget });
        };
        let connection = self.connector.open(address, open, give_up).await?;
        Ok(CheckedOut { connection, fresh: true })
    }

    /// Looks whether `address` takes connections.
    pub(crate) async fn listening(&self, address: SocketAddr) -> Listening {
        if self.is_cut(address) {
            return Listening::Unknown;
        }
        match self.connector.try_connect(address).await {
            Ok(()) => Listening::Open,
            Err(ConnectError::Io { source, .. })
                if source.kind() == io::ErrorKind::ConnectionRefused =>
            {
                Listening::Refused
            }
            Err(_) => Listening::Unknown,
        }
    }

    /// Takes back a connection whose exchange ended whole.
    pub(crate) fn check_in(&self, mut connection: Connection) {
        let now = self.connector.clock.now();
        connection.last_answer = Some(now);
        if connection.sender.is_closed() || !self.is_young(&connection, now) {
            return;
        }
        let mut places = self.places.lock().unwrap_or_else(PoisonError::into_inner);
        places.entry(connection.address).or_default().idle.push(connection);
    }

    /// Closes all unused connections to `address`.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        let mut places = self.places.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(place) = places.get_mut(&address) {
            place.idle.clear();
        }
    }

    /// Cuts or restores the path to an address: a cut one refuses connections.
    pub(crate) fn set_blocked(&self, address: SocketAddr, is_cut: bool) {
        let mut places = self.places.lock().unwrap_or_else(PoisonError::into_inner);
        let place = places.entry(address).or_default();
        place.is_cut = is_cut;
        place.idle.clear();
    }

    fn is_cut(&self, address: SocketAddr) -> bool {
        let places = self.places.lock().unwrap_or_else(PoisonError::into_inner);
        places.get(&address).is_some_and(|place| place.is_cut)
    }

    /// Closes connections that have been unused for too long and forgets
    /// addresses without any.
    pub(crate) fn sweep(&self) {
        let now = self.connector.clock.now();
        let mut places = self.places.lock().unwrap_or_else(PoisonError::into_inner);
        for place in places.values_mut() {
            place.idle.retain(|connection| {
                !connection.sender.is_closed() && self.is_usable(connection, now)
            });
        }
        places.retain(|_, place| {
            !place.idle.is_empty() || Arc::strong_count(&place.open) > 1 || place.is_cut
        });
    }

    fn take_idle(&self, address: SocketAddr, choice: ConnectionChoice) -> Option<Connection> {
        let now = self.connector.clock.now();
        let mut places = self.places.lock().unwrap_or_else(PoisonError::into_inner);
        let idle = &mut places.get_mut(&address).filter(|place| !place.is_cut)?.idle;
        while let Some(connection) = idle.pop() {
            if connection.sender.is_closed() || !self.is_usable(&connection, now) {
                continue;
            }
            if choice == ConnectionChoice::RecentlyUsed && !self.is_lively(&connection, now) {
                // The list is in the order of last answers: no other one is
                // livelier. This one stays for requests that may be repeated.
                idle.push(connection);
                return None;
            }
            return Some(connection);
        }
        None
    }

    fn acquire(&self, address: SocketAddr, budget: u32) -> Option<OpenCount> {
        let mut places = self.places.lock().unwrap_or_else(PoisonError::into_inner);
        let place = places.entry(address).or_default();
        let open = OpenCount::acquire(&place.open, budget);
        if open.is_some() || place.idle.is_empty() {
            return open;
        }
        place.idle.remove(0);
        OpenCount::acquire(&place.open, budget)
    }

    fn is_usable(&self, connection: &Connection, now: Time) -> bool {
        let idle_limit = Duration::from_millis(self.connector.limits.idle_ms);
        let last_use = connection.last_answer.unwrap_or(connection.opened);
        self.is_young(connection, now) && now.since(last_use) < idle_limit
    }

    fn is_young(&self, connection: &Connection, now: Time) -> bool {
        now.since(connection.opened) < Duration::from_millis(self.connector.limits.age_ms)
    }

    /// Failure guarded against: something between the two ends has lost track
    /// of the connection, and what is written to it vanishes. It shows as a
    /// connection on which no answer comes. A connection that has just
    /// answered was known to both ends then.
    fn is_lively(&self, connection: &Connection, now: Time) -> bool {
        let limit = Duration::from_millis(self.connector.limits.lively_ms);
        connection.last_answer.is_some_and(|last| now.since(last) < limit)
    }
}

async fn is_ready(connection: &mut Connection) -> bool {
    if connection.sender.is_ready() {
        return true;
    }
    tokio::time::timeout(READY_WAIT, connection.sender.ready())
        .await
        .is_ok_and(|ready| ready.is_ok())
}
