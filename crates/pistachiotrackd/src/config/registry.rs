//! A source that assembles the configuration from the operators' part and from the
//! endpoints that register themselves.

use std::{
    collections::BTreeSet,
    fmt,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use futures_util::future::BoxFuture;
use pistachiotrack_core::{
    admin::Counter,
    config::Config,
    name::Name,
    registry_view::{
        RegistryChange, RegistryPosition, RegistrySnapshot, RegistryView, RegistryViewSettings,
    },
    time::Time,
};
use tokio::sync::{Mutex, watch};

use crate::{
    config::source::{ConfigSource, PublishedConfig, SourceError, SourceReading},
    runtime::clock::Clock,
};

/// Changes in a registry after a revision.
#[derive(Clone, Debug)]
pub struct Changes {
    /// Era of the revisions, see [`RegistryPosition`]; `None` if the registry doesn't tell.
    pub era: Option<u64>,
    /// Revision from which the next read continues.
    pub revision: u64,
    /// The changes, each with its revision, in order.
    pub changes: Vec<(u64, RegistryChange)>,
}

/// Why a read of a registry failed.
#[derive(Debug, thiserror::Error)]
pub enum RegistryError {
    /// The registry no longer has the changes since the revision.
    #[error("changes since the last read revision are no longer available")]
    HistoryGone,
    /// The response is from before the registry was restored.
    #[error("response from before the registry was restored")]
    Outdated,
    /// The registry can't be reached, rejects the request or sends an unexpected response.
    #[error(transparent)]
    Unavailable(#[from] SourceError),
}

/// A store that operators write to and in which endpoints register themselves; it is
/// only read.
pub trait Registry: fmt::Debug + Send + Sync + 'static {
    /// Reads the whole content.
    fn list(&self) -> BoxFuture<'_, Result<RegistrySnapshot, RegistryError>>;

    /// Returns the number of calls, by reason.
    fn calls(&self) -> Vec<Counter> {
        Vec::new()
    }

    /// Returns changes after a revision, waiting up to `wait` for one.
    fn changes(&self, after: u64, wait: Duration) -> BoxFuture<'_, Result<Changes, RegistryError>>;
}

/// A configuration source that assembles configurations from a registry's content.
#[derive(Debug)]
pub struct RegistrySource<R> {
    registry: R,
    clock: Clock,
    state: Mutex<RegistryState>,
    /// Active configuration, if there is one.
    active: watch::Sender<Option<Arc<Config>>>,
    /// Number of times that the registry was found restored from a copy.
    restores: AtomicU64,
    /// Number of times that the registry was listed, since skipped changes mattered.
    gaps: AtomicU64,
}

#[derive(Debug)]
struct RegistryState {
    view: RegistryView,
    /// Position up to which the view is complete; `None` if the content must be listed.
    synced: Option<RegistryPosition>,
    /// Time before the last request whose response the view contains.
    asked_at: Option<Time>,
    /// Registrations for unknown services that have been logged.
    logged_unassigned: BTreeSet<Name>,
}

impl<R: Registry> RegistrySource<R> {
    /// Creates a source that hasn't read the registry yet.
    pub fn new(registry: R, settings: RegistryViewSettings) -> RegistrySource<R> {
        let state = RegistryState {
            view: RegistryView::new(settings),
            synced: None,
            asked_at: None,
            logged_unassigned: BTreeSet::new(),
        };
        let active = watch::Sender::new(None);
        let state = Mutex::new(state);
        let restores = AtomicU64::new(0);
        let gaps = AtomicU64::new(0);
        RegistrySource { registry, clock: Clock::start(), state, active, restores, gaps }
    }

    async fn next(
        &self,
        after: Option<u64>,
        wait: Duration,
    ) -> Result<SourceReading, RegistryError> {
        let mut state = self.state.lock().await;
        let deadline = self.clock.now() + wait;
        let active = self.active.borrow().clone();
        state.apply_active_config(self.clock.now(), active.as_deref());
        let mut has_asked = state.synced.is_none();
        if has_asked {
            self.list(&mut state).await?;
        }
        loop {
            let active = self.active.borrow().clone();
            state.apply_active_config(self.clock.now(), active.as_deref());
            if state.view.lacks_registrations() {
                self.fill_gap(&mut state).await;
            }
            let now = self.clock.now();
            let due = state.view.remove_expired(now);
            let config = state.view.config();
            // Without a configuration of its own the view may lack changes that were made before
            // the last request.
            let confirmed_at = state.asked_at.filter(|_| config.is_some());
            if let Some(config) = config.filter(|config| Some(config.version) > after) {
                let config = Some(PublishedConfig::Assembled(Box::new(config)));
                return Ok(SourceReading { config, asked_at: confirmed_at });
            }
            if now >= deadline && has_asked {
                return Ok(SourceReading { config: None, asked_at: confirmed_at });
            }
            // After a failed request, the next one doesn't wait: a wait that starts
            // while the registry is unreachable could end long after it recovers.
            let deadline = if state.view.is_unreachable() { now } else { deadline };
            let until = due.map_or(deadline, |due| due.min(deadline));
            let synced = state.synced.unwrap_or_default();
            let asked_at = self.clock.now();
            let changes = self.registry.changes(synced.revision, until.since(now)).await;
            let confirmed_at = confirmed_at.filter(|_| has_asked);
            let applied = state.apply_changes(self.clock.now(), asked_at, changes);
            applied.map_err(|error| match error {
                RegistryError::Unavailable(error) => {
                    RegistryError::Unavailable(error.after_response(confirmed_at))
                }
                error => error,
            })?;
            state.asked_at = Some(asked_at);
            has_asked = true;
        }
    }

    async fn list(&self, state: &mut RegistryState) -> Result<(), RegistryError> {
        let asked_at = self.clock.now();
        let snapshot = self.registry.list().await;
        if state.apply_listing(self.clock.now(), asked_at, snapshot)? {
            self.restores.fetch_add(1, Ordering::Relaxed);
        }
        state.asked_at = Some(asked_at);
        Ok(())
    }

    /// Lists the registry, since the view has skipped changes that matter now.
    ///
    /// If that fails, the other changes take effect all the same, under a version that gives way to
    /// that of a VM which lacks nothing; the gap is filled later.
    async fn fill_gap(&self, state: &mut RegistryState) {
        let position = state.view.position();
        log::info!("event=registry_gap era={} revision={}", position.era, position.revision);
        self.gaps.fetch_add(1, Ordering::Relaxed);
        if let Err(error) = self.list(state).await {
            log::warn!("event=registry_gap_remains error={:?}", error.to_string());
        }
    }
}

impl RegistryState {
    fn apply_active_config(&mut self, now: Time, config: Option<&Config>) {
        let complete = config.and_then(|config| self.view.on_active_config(now, config));
        if let (Some(complete), Some(synced)) = (complete, &mut self.synced) {
            *synced = complete.max(*synced);
        }
    }

    /// Returns whether the registry has been restored from a copy since it was last read.
    fn apply_listing(
        &mut self,
        now: Time,
        asked_at: Time,
        snapshot: Result<RegistrySnapshot, RegistryError>,
    ) -> Result<bool, RegistryError> {
        let snapshot = self.record_response(now, asked_at, snapshot)?;
        let before = self.view.position();
        let era = snapshot.era.unwrap_or(before.era);
        let position = RegistryPosition { era, revision: snapshot.revision };
        if position.era < before.era {
            return Err(RegistryError::Outdated);
        }
        let is_restored = position.era > before.era && before != RegistryPosition::default();
        if is_restored {
            log::warn!(
                "event=registry_restored era={} revision={} before_era={} before_revision={}",
                position.era,
                position.revision,
                before.era,
                before.revision
            );
        }
        self.synced = Some(position);
        self.view.on_snapshot(now, snapshot);
        self.log_unassigned();
        Ok(is_restored)
    }

    fn apply_changes(
        &mut self,
        now: Time,
        asked_at: Time,
        changes: Result<Changes, RegistryError>,
    ) -> Result<(), RegistryError> {
        let response = self.record_response(now, asked_at, changes);
        let Changes { era, revision, changes } = match response {
            Err(RegistryError::HistoryGone) => {
                self.synced = None;
                return Err(RegistryError::HistoryGone);
            }
            response => response?,
        };
        // The revision that was asked for exists in both eras, but the changes up to it differ.
        let present_era = self.view.position().era;
        if era.is_some_and(|era| era != present_era) {
            self.synced = None;
            return Err(RegistryError::HistoryGone);
        }
        for (revision, change) in changes {
            self.view.on_change(now, revision, change);
        }
        self.view.on_complete_up_to(revision);
        self.synced = Some(RegistryPosition { era: present_era, revision });
        self.log_unassigned();
        Ok(())
    }

    /// Logs registrations for services that the operators haven't configured, each
    /// once for as long as it exists.
    fn log_unassigned(&mut self) {
        let mut logged_unassigned = BTreeSet::new();
        for registration in self.view.unassigned() {
            if !self.logged_unassigned.contains(&registration.key) {
                log::warn!(
                    "event=registration_unused endpoint={} field=service value={:?} \
                     reason=unknown_service",
                    registration.key,
                    registration.service.as_str()
                );
            }
            logged_unassigned.insert(registration.key.clone());
        }
        self.logged_unassigned = logged_unassigned;
    }

    /// Updates the view and the log on whether the registry responds.
    fn record_response<T>(
        &mut self,
        now: Time,
        asked_at: Time,
        response: Result<T, RegistryError>,
    ) -> Result<T, RegistryError> {
        match &response {
            Err(RegistryError::Unavailable(error)) => {
                if self.view.on_unreachable(now, asked_at) {
                    log::warn!(
                        "event=registry_lost error={:?} asked_ms_ago={}",
                        error.to_string(),
                        now.since(asked_at).as_millis()
                    );
                }
            }
            _ => {
                if let Some(recovery) = self.view.on_response(now) {
                    log::info!(
                        "event=registry_regained lost_for_ms={} retains_endpoints={}",
                        recovery.failing_for.as_millis(),
                        recovery.is_outage
                    );
                }
            }
        }
        response
    }
}

impl<R: Registry> ConfigSource for RegistrySource<R> {
    fn counters(&self) -> Vec<Counter> {
        let counter = |name: &'static str, value: &AtomicU64| Counter {
            name: Name::from(name),
            value: value.load(Ordering::Relaxed),
        };
        let own =
            [counter("registry_restores", &self.restores), counter("registry_gaps", &self.gaps)];
        self.registry.calls().into_iter().chain(own).collect()
    }

    fn on_active_config(&self, config: &Arc<Config>) {
        self.active.send_replace(Some(Arc::clone(config)));
    }

    fn config(
        &self,
        after: Option<u64>,
        wait: Duration,
    ) -> BoxFuture<'_, Result<SourceReading, SourceError>> {
        Box::pin(async move {
            match self.next(after, wait).await {
                Ok(value) => Ok(value),
                // The next call lists the whole content again.
                Err(RegistryError::HistoryGone) => {
                    self.next(after, wait).await.map_err(into_source_error)
                }
                Err(error) => Err(into_source_error(error)),
            }
        })
    }
}

fn into_source_error(error: RegistryError) -> SourceError {
    match error {
        RegistryError::Unavailable(error) => error,
        RegistryError::HistoryGone | RegistryError::Outdated => SourceError::new(error),
    }
}
