//! Pool of idle connections.
//!
//! The pool never sends a request and never retries one. The pools of HTTP libraries retry, which
//! would run a booking twice.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    pin::pin,
    sync::{Arc, Mutex, OnceLock, PoisonError, atomic::AtomicU32},
    time::Duration,
};

use kameo::actor::Recipient;
use pistachiotrack_core::{request::ConnectionChoice, time::Time};
use rustc_hash::FxHashMap;
use tokio::task::AbortHandle;

use crate::{
    connections::{
        carried_requests::SentRequest,
        connection::{ConnectError, Connection, Connector, OpenCount},
    },
    runtime::path_fault::PathFault,
};

/// Time without an answer after which an attempt to open a connection counts as failed.
const UNANSWERED_CONNECT_TIME: Duration = Duration::from_millis(250);
/// Time to wait for a connection that is just completing its last exchange.
const READY_WAIT: Duration = Duration::from_millis(5);

/// Idle connections to endpoints or to VMs, by address.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    connector: Connector,
    /// Gets the result of each attempt to open a connection, if anybody needs it.
    observer: OnceLock<Recipient<ConnectionTried>>,
    /// Fault of the paths to all addresses that a test has injected.
    fault: Mutex<Option<PathFault>>,
    addresses: Mutex<FxHashMap<SocketAddr, AddressPool>>,
}

#[derive(Debug, Default)]
struct AddressPool {
    idle: Vec<Connection>,
    open: Arc<AtomicU32>,
    /// Open connections, idle or in use.
    drivers: Vec<AbortHandle>,
    /// Whether a test has blocked connections to the address.
    is_blocked: bool,
}

/// Whether an address accepts connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Listening {
    /// It accepts connections.
    Open,
    /// Its host refuses connections: no process listens there.
    Refused,
    /// The connection attempt failed in another way or timed out.
    Unknown,
}

/// Reports whether a connection to an endpoint was opened for a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionTried {
    /// Address of the endpoint.
    pub(crate) address: SocketAddr,
    /// Whether it was.
    pub(crate) is_open: bool,
}

/// A connection for one exchange.
#[derive(Debug)]
pub(crate) struct CheckedOut {
    /// The connection.
    pub(crate) connection: Connection,
    /// Whether it was opened for this exchange.
    pub(crate) fresh: bool,
}

/// Why no connection is available; nothing was sent.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CheckoutError {
    /// No connection could be opened.
    #[error(transparent)]
    Connect(#[from] ConnectError),
    /// This VM's budget of connections to the address is used up.
    #[error("connect to {address}: all {budget} connections are in use")]
    OverBudget {
        /// Address of the peer.
        address: SocketAddr,
        /// Connections that this VM may have open.
        budget: u32,
    },
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub(crate) fn new(connector: Connector) -> ConnectionPool {
        ConnectionPool {
            connector,
            observer: OnceLock::new(),
            fault: Mutex::default(),
            addresses: Mutex::default(),
        }
    }

    /// Returns a connection to `address` that satisfies `choice` and has not carried `request`, a new
    /// one if needed.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection could be opened before `deadline` or within `budget`
    /// open connections.
    pub(crate) async fn check_out(
        &self,
        address: SocketAddr,
        choice: ConnectionChoice,
        request: Option<SentRequest>,
        budget: u32,
        deadline: Time,
    ) -> Result<CheckedOut, CheckoutError> {
        if choice != ConnectionChoice::Fresh {
            while let Some(mut connection) = self.take_idle(address, choice, request) {
                if is_ready(&mut connection).await {
                    return Ok(CheckedOut { connection, fresh: false });
                }
            }
        }
        let Some(open) = self.acquire(address, budget) else {
            return Err(CheckoutError::OverBudget { address, budget });
        };
        let opening = async {
            self.check_path(address).await?;
            self.connector.open(address, open, deadline).await
        };
        let connection = self.observe(address, opening).await?;
        self.record_open(&connection);
        Ok(CheckedOut { connection, fresh: true })
    }

    /// Opens a connection and reports the result to the observer, a failure as soon as there has been
    /// no answer for some time: the request may be given up before the attempt ends.
    async fn observe(
        &self,
        address: SocketAddr,
        opening: impl Future<Output = Result<Connection, ConnectError>>,
    ) -> Result<Connection, ConnectError> {
        let mut opening = pin!(opening);
        let in_time = tokio::time::timeout(UNANSWERED_CONNECT_TIME, opening.as_mut()).await;
        let is_unanswered = in_time.is_err();
        if is_unanswered {
            self.notify(address, false);
        }
        let opened = match in_time {
            Ok(opened) => opened,
            Err(_) => opening.await,
        };
        match &opened {
            Ok(_) => self.notify(address, true),
            // One that ran out of time has failed only if it had enough.
            Err(ConnectError::TimedOut { .. }) => {}
            Err(_) if is_unanswered => {}
            Err(_) => self.notify(address, false),
        }
        opened
    }

    fn record_open(&self, connection: &Connection) {
        let mut addresses = self.addresses.lock().unwrap_or_else(PoisonError::into_inner);
        let drivers = &mut addresses.entry(connection.address).or_default().drivers;
        drivers.retain(|driver| !driver.is_finished());
        drivers.push(connection.abort_handle());
    }

    /// Injects a fault of the paths to all addresses, or ends it.
    pub(crate) fn set_fault(&self, fault: Option<PathFault>) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
        if !fault.is_some_and(PathFault::breaks_open_connections) {
            return;
        }
        let mut addresses = self.addresses.lock().unwrap_or_else(PoisonError::into_inner);
        for pool in addresses.values_mut() {
            pool.idle.clear();
            pool.drivers.drain(..).for_each(|driver| driver.abort());
        }
    }

    /// Returns the error with which a fault that a test has injected ends a new connection.
    async fn check_path(&self, address: SocketAddr) -> Result<(), ConnectError> {
        let fault = *self.fault.lock().unwrap_or_else(PoisonError::into_inner);
        match fault {
            None if !self.is_blocked(address) => Ok(()),
            Some(PathFault::Silent) => {
                let limit = Duration::from_millis(self.connector.limits.connect_timeout_ms);
                tokio::time::sleep(limit).await;
                Err(ConnectError::TimedOut { address, limit })
            }
            _ => {
                let source = io::ErrorKind::ConnectionRefused.into();
                Err(ConnectError::Io { address, source })
            }
        }
    }

    /// Reports each attempt to open a connection to `observer` from now on.
    pub(crate) fn set_observer(&self, observer: Recipient<ConnectionTried>) {
        // Set once at the start.
        let _ = self.observer.set(observer);
    }

    fn notify(&self, address: SocketAddr, is_open: bool) {
        if let Some(observer) = self.observer.get() {
            // The monitor stops only with the process.
            let _ = observer.tell(ConnectionTried { address, is_open }).try_send();
        }
    }

    /// Checks whether `address` accepts connections, and reports a refusal to the observer.
    pub(crate) async fn listening(&self, address: SocketAddr) -> Listening {
        let listening = self.try_address(address).await;
        if listening == Listening::Refused {
            self.notify(address, false);
        }
        listening
    }

    /// Checks whether `address` accepts connections.
    pub(crate) async fn try_address(&self, address: SocketAddr) -> Listening {
        if self.is_blocked(address) {
            return Listening::Unknown;
        }
        let result = match self.check_path(address).await {
            Ok(()) => self.connector.try_connect(address).await,
            error => error,
        };
        match result {
            Ok(()) => Listening::Open,
            Err(ConnectError::Io { source, .. })
                if source.kind() == io::ErrorKind::ConnectionRefused =>
            {
                Listening::Refused
            }
            Err(_) => Listening::Unknown,
        }
    }

    /// Returns a connection to the pool after a complete exchange.
    pub(crate) fn check_in(&self, mut connection: Connection) {
        let now = self.connector.clock.now();
        connection.last_answer = Some(now);
        if connection.is_last_exchange
            || connection.sender.is_closed()
            || !self.is_within_max_age(&connection, now)
        {
            return;
        }
        let mut addresses = self.addresses.lock().unwrap_or_else(PoisonError::into_inner);
        addresses.entry(connection.address).or_default().idle.push(connection);
    }

    /// Closes all idle connections to `address`.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        let mut addresses = self.addresses.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(pool) = addresses.get_mut(&address) {
            pool.idle.clear();
        }
    }

    /// Blocks or unblocks an address; connections to a blocked one are refused.
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

    /// Closes connections that have been idle for too long and removes addresses without
    /// connections.
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

    /// Takes the idle connection with the latest answer that satisfies `choice` and has not carried
    /// `request`; others stay in the pool.
    fn take_idle(
        &self,
        address: SocketAddr,
        choice: ConnectionChoice,
        request: Option<SentRequest>,
    ) -> Option<Connection> {
        let now = self.connector.clock.now();
        let mut addresses = self.addresses.lock().unwrap_or_else(PoisonError::into_inner);
        let idle = &mut addresses.get_mut(&address).filter(|pool| !pool.is_blocked)?.idle;
        idle.retain(|connection| !connection.sender.is_closed() && self.is_usable(connection, now));
        let index = idle.iter().rposition(|connection| {
            let has_carried = request.is_some_and(|request| connection.carried.contains(request));
            let satisfies =
                choice != ConnectionChoice::RecentlyUsed || self.is_recently_used(connection, now);
            satisfies && !has_carried
        })?;
        Some(idle.remove(index))
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

    /// Returns whether the connection received an answer recently.
    ///
    /// A middlebox (firewall, NAT) on the path can drop its state for an idle connection, after
    /// which requests on it are lost and no answer arrives. A connection with a recent answer was
    /// known to both ends at that time.
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
