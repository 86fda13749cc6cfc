//! Sources of a deployment's configuration.

use std::{fmt, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use pistachiotrack_core::{admin::Counter, config::Config, time::Time};

/// Why a read of a source failed.
#[derive(Debug, thiserror::Error)]
#[error("{error}")]
pub struct SourceError {
    error: Box<dyn std::error::Error + Send + Sync>,
    /// Time before an earlier request of the same read whose response showed nothing newer.
    asked_at: Option<Time>,
}

impl SourceError {
    /// Wraps an error.
    pub fn new(error: impl std::error::Error + Send + Sync + 'static) -> SourceError {
        SourceError { error: Box::new(error), asked_at: None }
    }

    /// Adds the time before an earlier request of the same read whose response showed nothing newer.
    pub fn after_response(self, asked_at: Option<Time>) -> SourceError {
        SourceError { asked_at, ..self }
    }

    /// Returns the time before an earlier request of the same read whose response showed nothing
    /// newer.
    pub fn asked_at(&self) -> Option<Time> {
        self.asked_at
    }
}

/// Result of reading a source.
#[derive(Clone, Debug)]
pub struct SourceReading {
    /// A newer configuration; `None` if there is none.
    pub config: Option<PublishedConfig>,
    /// Time before the request whose response shows that there is nothing newer than `config`;
    /// `None` if the source can't tell.
    pub asked_at: Option<Time>,
}

/// A configuration as a source provides it.
#[derive(Clone, Debug)]
pub enum PublishedConfig {
    /// The value as stored by the platform, in JSON.
    Encoded(Bytes),
    /// A configuration assembled from several values, each within its own limits.
    Assembled(Box<Config>),
}

/// Source of a deployment's configuration; it is only read.
pub trait ConfigSource: fmt::Debug + Send + Sync + 'static {
    /// Records the configuration that has become active, which may have come from
    /// another VM.
    fn on_active_config(&self, _config: &Arc<Config>) {}

    /// Returns the source's counters, such as its calls by reason.
    fn counters(&self) -> Vec<Counter> {
        Vec::new()
    }

    /// Reads a configuration newer than version `after`, waiting up to `wait` for one.
    fn config(
        &self,
        after: Option<u64>,
        wait: Duration,
    ) -> BoxFuture<'_, Result<SourceReading, SourceError>>;
}
