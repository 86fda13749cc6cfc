//! A source that makes the configuration of what operators wrote and of the
//! endpoints that register themselves.

use std::{collections::BTreeSet, fmt, sync::Arc, time::Duration};

use futures_util::future::BoxFuture;
use pistachiotrack_core::{
    admin::Counter,
    config::Config,
    name::Name,
    registry_view::{RegistryChange, RegistrySnapshot, RegistryView, RegistryViewSettings},
    time::Time,
};
use tokio::sync::{Mutex, watch};

use crate::{
    clock::Clock,
    source::{ConfigSource, PublishedConfig, SourceError},
};

/// What a registry changed after some revision.
#[derive(Clone, Debug)]
pub struct Changes {
    /// Revision to go on from.
    pub revision: u64,
    /// The changes, each with its revision, in their order.
    pub changes: Vec<(u64, RegistryChange)>,
}

/// Why a registry gave no answer.
#[derive(Debug, thiserror::Error)]
pub enum RegistryError {
    /// It no longer knows what changed since that revision.
    #[error("history is gone")]
    HistoryGone,
    /// It can't be reached, refuses or answers something else.
    #[error(transparent)]
    Unavailable(#[from] SourceError),
}

/// A store in which operators write and endpoints register themselves; only read.
pub trait Registry: fmt::Debug + Send + Sync + 'static {
    /// Reads everything.
    fn list(&self) -> BoxFuture<'_, Result<RegistrySnapshot, RegistryError>>;

    /// Returns how often it was called, by reason.
    fn calls(&self) -> Vec<Counter> {
        Vec::new()
    }

    /// Waits up to `wait` for changes after a revision.
    fn changes(&self, after: u64, wait: Duration) -> BoxFuture<'_, Result<Changes, RegistryError>>;
}

/// The configuration made of a registry's content.
#[derive(Debug)]
pub struct RegistrySource<R> {
    registry: R,
    clock: Clock,
    mirror: Mutex<Mirror>,
    /// Configuration in force, if there is one.
    in_force: watch::Sender<Option<Arc<Config>>>,
}

#[derive(Debug)]
struct Mirror {
    roster: RegistryView,
    /// Revision up to which the roster is complete; `None` before a listing.
    followed: Option<u64>,
    /// Registrations for services that nobody named, as far as they were logged.
    strays: BTreeSet<Name>,
}

impl<R: Registry> RegistrySource<R> {
    /// Creates a source that has read nothing so far.
    pub fn new(registry: R, settings: RegistryViewSettings) -> RegistrySource<R> {
        let mirror =
            Mirror { roster: RegistryView::new(settings), followed: None, strays: BTreeSet::new() };
        let in_force = watch::Sender::new(None);
        RegistrySource { registry, clock: Clock::start(), mirror: Mutex::new(mirror), in_force }
    }

    async fn next(
        &self,
        after: Option<u64>,
        wait: Duration,
    ) -> Result<Option<PublishedConfig>, RegistryError> {
        let mut mirror = self.mirror.lock().await;
        let give_up = self.clock.now() + wait;
        let in_force = self.in_force.borrow().clone();
        mirror.take_in_force(in_force.as_deref());
        if mirror.followed.is_none() {
            let listing = self.registry.list().await;
            mirror.take_listing(self.clock.now(), listing)?;
        }
        loop {
            let now = self.clock.now();
            let in_force = self.in_force.borrow().clone();
            mirror.take_in_force(in_force.as_deref());
            let due = mirror.roster.remove_expired(now);
            if let Some(config) = mirror.roster.config()
                && Some(config.version) > after
            {
                return Ok(Some(PublishedConfig::Assembled(Box::new(config))));
            }
            if now >= give_up {
                return Ok(None);
            }
            // A registry that was away is asked for an answer at once: a wait that
            // begins while it is silent would end long after its return.
            let give_up = if mirror.roster.is_unreachable() { now } else { give_up };
            let until = due.map_or(give_up, |due| due.min(give_up));
            let followed = mirror.followed.unwrap_or_default();
            let changes = self.registry.changes(followed, until.since(now)).await;
            mirror.take_changes(self.clock.now(), changes)?;
        }
    }
}

impl Mirror {
    fn take_in_force(&mut self, config: Option<&Config>) {
        let complete = config.and_then(|config| self.roster.on_active_config(config));
        if let (Some(complete), Some(followed)) = (complete, &mut self.followed) {
            *followed = complete.max(*followed);
        }
    }

    fn take_listing(
        &mut self,
        now: Time,
        listing: Result<RegistrySnapshot, RegistryError>,
    ) -> Result<(), RegistryError> {
        let listing = self.note_answer(now, listing)?;
        self.followed = Some(listing.revision);
        self.roster.on_snapshot(now, listing);
        self.tell_strays();
        Ok(())
    }

    fn take_changes(
        &mut self,
        now: Time,
        changes: Result<Changes, RegistryError>,
    ) -> Result<(), RegistryError> {
        let Changes { revision, changes } = match self.note_answer(now, changes) {
            Err(RegistryError::HistoryGone) => {
                self.followed = None;
                return Err(RegistryError::HistoryGone);
            }
            answer => answer?,
        };
        for (revision, change) in changes {
            self.roster.on_change(now, revision, change);
        }
        self.roster.on_complete_up_to(revision);
        self.followed = Some(revision);
        self.tell_strays();
        Ok(())
    }

    /// Logs what is registered for services that nobody named, each once while it is
    /// there.
    fn tell_strays(&mut self) {
        let mut strays = BTreeSet::new();
        for stray in self.roster.unassigned() {
            if !self.strays.contains(&stray.key) {
                log::warn!(
                    "event=registration_unused endpoint={} field=service value={:?} \
                     reason=unknown_service",
                    stray.key,
                    stray.service.as_str()
                );
            }
            strays.insert(stray.key.clone());
        }
        self.strays = strays;
    }

    /// Tells the roster and the log whether the registry answers.
    fn note_answer<T>(
        &mut self,
        now: Time,
        answer: Result<T, RegistryError>,
    ) -> Result<T, RegistryError> {
        match &answer {
            Err(RegistryError::Unavailable(error)) => {
                if self.roster.on_unreachable() {
                    log::warn!("event=registry_lost error={:?}", error.to_string());
                }
            }
            _ => {
                if self.roster.on_response(now) {
                    log::info!("event=registry_regained");
                }
            }
        }
        answer
    }
}

impl<R: Registry> ConfigSource for RegistrySource<R> {
    fn counters(&self) -> Vec<Counter> {
        self.registry.calls()
    }

    fn on_active_config(&self, config: &Arc<Config>) {
        self.in_force.send_replace(Some(Arc::clone(config)));
    }

    fn config(
        &self,
        after: Option<u64>,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Option<PublishedConfig>, SourceError>> {
        Box::pin(async move {
            match self.next(after, wait).await {
                Ok(value) => Ok(value),
                // The next call lists everything anew.
                Err(RegistryError::HistoryGone) => self.next(after, wait).await.map_err(unwrap),
                Err(error) => Err(unwrap(error)),
            }
        })
    }
}

fn unwrap(error: RegistryError) -> SourceError {
    match error {
        RegistryError::Unavailable(error) => error,
        RegistryError::HistoryGone => SourceError::new(error),
    }
}
