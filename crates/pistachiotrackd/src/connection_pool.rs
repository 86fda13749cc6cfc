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
    addresses: Mutex<FxHashMap<SocketAddr, AddressPool>>,
}

#[derive(Debug, Default)]
struct AddressPool {
    idle: Vec<Connection>,
    open: Arc<AtomicU32>,
    /// Whether a test has cut the path to the address.
    is_blocked: bool,
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
        ConnectionPool { connector, addresses: Mutex::default() }
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
        deadline: Time,
    ) -> Result<CheckedOut, CheckoutError> {
        if choice != ConnectionChoice::Fresh {
            while let Some(mut connection) = self.take_idle(address, choice) {
                if is_ready(&mut connection).await {
                    return Ok(CheckedOut { connection, fresh: false });
                }
            }
        }
        if self.is_blocked(address) {
            let source = io::ErrorKind::ConnectionRefused.into();
            return Err(ConnectError::Io { address, source }.into());
        }
        let Some(open) = self.acquire(address, budget) else {
            return Err(CheckoutError::OverBudget { address, budget });
        };
        let connection = self.connector.open(address, open, deadline).await?;
        Ok(CheckedOut { connection, fresh: true })
    }

    /// Looks whether `address` takes connections.
    pub(crate) async fn listening(&self, address: SocketAddr) -> Listening {
        if self.is_blocked(address) {
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
        if connection.sender.is_closed() || !self.is_within_max_age(&connection, now) {
            return;
        }
        let mut addresses = self.addresses.lock().unwrap_or_else(PoisonError::into_inner);
        addresses.entry(connection.address).or_default().idle.push(connection);
    }

    /// Closes all unused connections to `address`.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        let mut addresses = self.addresses.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(pool) = addresses.get_mut(&address) {
            pool.idle.clear();
        }
    }

    /// Cuts or restores the path to an address: a cut one refuses connections.
    pub(crate) fn set_blocked(&self, address: SocketAddr, is_blocked: bool) {
        let mut addresses = self.addresses.lock().unwrap_or_else(PoisonError::into_inner);
        let pool = addresses.entry(address).or_default();
        pool.is_blocked = is_blocked;
        pool.idle.clear();
    }

    fn is_blocked(&self, address: SocketAddr) -> bool {
        let addresses = self.addresses.lock().unwrap_or_else(PoisonError::into_inner);
        addresses.get(&address).is_some_and(|pool| pool.is_blocked)
    }

    /// Closes connections that have been unused for too long and forgets
    /// addresses without any.
    pub(crate) fn close_expired(&self) {
        let now = self.connector.clock.now();
        let mut addresses = self.addresses.lock().unwrap_or_else(PoisonError::into_inner);
        for pool in addresses.values_mut() {
            pool.idle.retain(|connection| {
                !connection.sender.is_closed() && self.is_usable(connection, now)
            });
        }
        addresses.retain(|_, pool| {
            !pool.idle.is_empty() || Arc::strong_count(&pool.open) > 1 || pool.is_blocked
        });
    }

    fn take_idle(&self, address: SocketAddr, choice: ConnectionChoice) -> Option<Connection> {
        let now = self.connector.clock.now();
        let mut addresses = self.addresses.lock().unwrap_or_else(PoisonError::into_inner);
        let idle = &mut addresses.get_mut(&address).filter(|pool| !pool.is_blocked)?.idle;
        while let Some(connection) = idle.pop() {
            if connection.sender.is_closed() || !self.is_usable(&connection, now) {
                continue;
            }
            if choice == ConnectionChoice::RecentlyUsed && !self.is_recently_used(&connection, now)
            {
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
        let mut addresses = self.addresses.lock().unwrap_or_else(PoisonError::into_inner);
        let pool = addresses.entry(address).or_default();
        let open = OpenCount::acquire(&pool.open, budget);
        if open.is_some() || pool.idle.is_empty() {
            return open;
        }
        pool.idle.remove(0);
        OpenCount::acquire(&pool.open, budget)
    }

    fn is_usable(&self, connection: &Connection, now: Time) -> bool {
        let idle_limit = Duration::from_millis(self.connector.limits.idle_ms);
        let last_use = connection.last_answer.unwrap_or(connection.opened);
        self.is_within_max_age(connection, now) && now.since(last_use) < idle_limit
    }

    fn is_within_max_age(&self, connection: &Connection, now: Time) -> bool {
        now.since(connection.opened) < Duration::from_millis(self.connector.limits.age_ms)
    }

    /// Failure guarded against: something between the two ends has lost track
    /// of the connection, and what is written to it vanishes. It shows as a
    /// connection on which no answer comes. A connection that has just
    /// answered was known to both ends then.
    fn is_recently_used(&self, connection: &Connection, now: Time) -> bool {
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
