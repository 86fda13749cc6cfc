//! Identifies callers by their API keys, and refuses those that need one.

use hyper::HeaderMap;
use pistachiotrack_core::{
    authentication::{Caller, KeyPolicy, Unidentified},
    config::IndexedConfig,
    customer::Customer,
    name::Name,
};

use crate::{request::rejection::Rejection, serving::context::Context};

/// Identifies the customer of a request by its API key, which is removed from its headers.
///
/// # Errors
///
/// Returns why the caller isn't identified.
pub(crate) fn identify<'c>(
    context: &Context,
    policy: KeyPolicy,
    config: &'c IndexedConfig,
    fields: &mut HeaderMap,
) -> Result<&'c Customer, Unidentified> {
    match policy {
        KeyPolicy::Ignored => Err(Unidentified::Missing),
        KeyPolicy::Required | KeyPolicy::Revoked => {
            policy.identify(config, context.dialect.take_credentials(fields))
        }
    }
}

/// Refuses a request that needs an API key and has none that this VM knows to be valid.
///
/// # Errors
///
/// Returns why the request is refused.
pub(crate) fn check_caller(
    context: &Context,
    config: &IndexedConfig,
    caller: &Caller<'_>,
    has_lease: bool,
    fleet_id: &Name,
) -> Result<(), Rejection> {
    let confirmed_age_ms = || context.confirmed_age().map(|age| age.as_millis());
    match caller {
        Caller::Anonymous => Ok(()),
        // Without a lease it is unknown whether a key has been added or taken away.
        Caller::Customer(_) | Caller::Unidentified(_) if !has_lease => {
            log::info!(
                "event=config_unconfirmed request={fleet_id} config_version={} \
                 confirmed_age_ms={:?}",
                config.version,
                confirmed_age_ms()
            );
            Err(Rejection::unconfirmed())
        }
        Caller::Customer(_) => Ok(()),
        Caller::Unidentified(cause) => {
            log::info!(
                "event=caller_unidentified request={fleet_id} key={} config_version={} \
                 confirmed_age_ms={:?}",
                cause.as_str(),
                config.version,
                confirmed_age_ms()
            );
            Err(Rejection::unidentified())
        }
    }
}
