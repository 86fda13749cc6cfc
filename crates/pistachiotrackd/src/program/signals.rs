//! Signals to the process.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that the process handles in place of their default actions.
#[derive(Debug)]
pub(crate) struct Signals {
    /// SIGTERM.
    pub(crate) terminate: Signal,
    /// SIGINT.
    pub(crate) interrupt: Signal,
    /// SIGHUP.
    pub(crate) hang_up: Signal,
}

impl Signals {
    /// Begins to receive the signals.
    ///
    /// # Errors
    ///
    /// Returns an error if the system rejects a handler.
    pub(crate) fn receive() -> io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }
}
