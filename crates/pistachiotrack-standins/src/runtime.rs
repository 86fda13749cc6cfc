//! Runs a command of the tool until it finishes or a signal stops it.

use std::future::Future;

use anyhow::Context;
use tokio::signal::unix::{SignalKind, signal};

/// Runs `command`. On SIGINT or SIGTERM it is dropped, which stops all its daemons.
///
/// # Errors
///
/// Returns the command's error, or an error that names the signal.
pub fn run<T>(command: impl Future<Output = anyhow::Result<T>>) -> anyhow::Result<T> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut interrupt = signal(SignalKind::interrupt()).context("SIGINT")?;
        let mut terminate = signal(SignalKind::terminate()).context("SIGTERM")?;
        tokio::select! {
            result = command => result,
            _ = interrupt.recv() => anyhow::bail!("interrupted"),
            _ = terminate.recv() => anyhow::bail!("terminated"),
        }
    })
}
