//! Reads of the configuration source and what they show.

use std::{sync::Arc, time::Duration};

use kameo::message::{Context as MessageContext, Message};
use pistachiotrack_core::{config_lease::Confirmation, config_sync::ConfigAction, time::Time};

use super::Fleet;
use crate::config::source::{PublishedConfig, SourceError, SourceReading};

/// The configuration source's response to a read or watch.
pub(crate) struct SourceResponse(pub(crate) Result<SourceReading, SourceError>);

impl Message<SourceResponse> for Fleet {
    type Reply = ();

    async fn handle(&mut self, message: SourceResponse, _: &mut MessageContext<Self, ()>) {
        let now = self.clock.now();
        self.watching.send_replace(false);
        match message.0 {
            Ok(reading) => self.on_source_reading(now, now, reading),
            Err(error) => {
                // Otherwise watches that are cut one after the other would count as failures in
                // series, and each delay the next call for longer.
                if let Some(asked_at) = error.asked_at() {
                    let reading = SourceReading { config: None, asked_at: Some(asked_at) };
                    self.on_source_reading(now, asked_at, reading);
                }
                log::warn!("event=config_unavailable error={:?}", error.to_string());
                self.sync.on_platform_error(now);
            }
        }
    }
}

impl Fleet {
    /// Watches the source for a configuration newer than `after`.
    pub(super) fn watch(&mut self, after: Option<u64>) {
        self.watching.send_replace(true);
        self.read_source(after, self.watch_wait);
    }

    /// Reads a configuration newer than `after`, waiting up to `wait` for one.
    pub(super) fn read_source(&mut self, after: Option<u64>, wait: Duration) {
        let Some(fleet) = self.actor_ref.upgrade() else { return };
        let source = Arc::clone(&self.source);
        self.replace_watch(tokio::spawn(async move {
            let value = source.config(after, wait).await;
            // The fleet actor stops only with the process.
            let _ = fleet.tell(SourceResponse(value)).try_send();
        }));
    }

    /// Processes what the source has responded at `responded_at`.
    fn on_source_reading(&mut self, now: Time, responded_at: Time, reading: SourceReading) {
        let SourceReading { config, asked_at } = reading;
        self.membership.on_platform_response(responded_at);
        let actions = match config {
            Some(PublishedConfig::Assembled(config)) => self.sync.on_platform_config(now, *config),
            Some(PublishedConfig::Encoded(value)) => self.sync.on_platform_value(now, Some(&value)),
            None => self.sync.on_platform_value(responded_at, None),
        };
        // A source that lies behind proves nothing. A value that was rejected is not in
        // force, so that the active one stays the newest.
        let is_behind = actions.iter().any(|action| matches!(action, ConfigAction::Stale { .. }));
        self.apply_config(now, actions);
        let confirmation = |version, at| Some(Confirmation { version: version?, at: at? });
        if !is_behind {
            if let Some(confirmed) = confirmation(self.sync.version(), asked_at) {
                self.lease.on_confirmation(confirmed);
            }
            self.lease.hold(confirmation(self.sync.first_value_version(), asked_at));
        }
        let standbys = self.sync.standbys(self.membership.members());
        let actions = self.membership.announce(now, standbys);
        self.apply_membership(now, actions);
    }
}
