//! Runs a command of the tool until it ends or is told to stop.

use std::future::Future;

use anyhow::Context;
use tokio::signal::unix::{SignalKind, signal};

/// Runs `command` and drops it, with all its daemons, when SIGINT or SIGTERM
/// comes.
///
/// # Errors
///
/// Returns the command's error, or one that says it was told to stop.
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
