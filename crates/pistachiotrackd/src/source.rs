//! Where a deployment's configuration comes from.

use std::{fmt, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use pistachiotrack_core::{admin::Counter, config::Config};

/// Why a source gave no answer.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct SourceError(#[from] Box<dyn std::error::Error + Send + Sync>);

impl SourceError {
    /// Wraps the error of a layer below.
    pub fn new(error: impl std::error::Error + Send + Sync + 'static) -> SourceError {
        SourceError(Box::new(error))
    }
}

/// A configuration as a source has it.
#[derive(Clone, Debug)]
pub enum PublishedConfig {
    /// The value as the platform holds it, in JSON.
    Encoded(Bytes),
    /// A configuration made here of several values, each within its own limits.
    Assembled(Box<Config>),
}

/// Where a deployment's configuration comes from; only read.
pub trait ConfigSource: fmt::Debug + Send + Sync + 'static {
    /// Takes the configuration that is in force now, which may have come from another
    /// VM.
    fn on_active_config(&self, _config: &Arc<Config>) {}

    /// Returns what it counts, such as its calls by reason.
    fn counters(&self) -> Vec<Counter> {
        Vec::new()
    }

    /// Returns a configuration newer than version `after`, and waits up to `wait` for
    /// one; `None` if there is none by then.
    fn config(
        &self,
        after: Option<u64>,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Option<PublishedConfig>, SourceError>>;
}
