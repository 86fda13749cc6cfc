//! Customers of the soak: their API keys, a key that is taken away, and a customer that floods.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use pistachiotrack_core::{
    api_key::ApiKeyDigest,
    config::Config,
    customer::{Customer, CustomerRateLimit},
    name::Name,
};
use tokio::task::JoinSet;

use super::{clock::RunClock, oracle::CUSTOMER_WINDOW_MS};
use crate::{
    caller::{Caller, Operation, default_api_key},
    load::WorkIds,
    work::WorkId,
    workload::CALENDAR_LOOKUP,
};

/// Bound after which no VM may serve a key that was taken away.
pub(super) const KEY_MAX_AGE_S: f64 = 5.0;
/// Customer that floods.
const FLOODING_CUSTOMER: &str = "flooding";
/// Key that is taken away.
const TAKEN_KEY: &str = "soak-taken-key";
/// Limit of the customer that floods.
const FLOOD_LIMIT: CustomerRateLimit =
    CustomerRateLimit { requests_per_second: 10.0, burst_requests: 10.0 };
/// Tolerance above a customer's rate limit in a window: a factor and a number of requests.
const LIMIT_TOLERANCE: (f64, f64) = (1.25, 20.0);
/// Time between two requests with the key that is taken away.
const TAKEN_KEY_INTERVAL: Duration = Duration::from_millis(60);
/// Time between two requests of the flood.
const FLOOD_INTERVAL: Duration = Duration::from_millis(15);

/// A lookup and the time at which it was sent.
pub(super) type SentLookup = (WorkId, u64);

/// Returns how many requests the customer that floods may run in a window, with the tolerance
/// that VMs need which don't hear each other.
pub(super) fn flood_window_limit() -> f64 {
    let window_s = CUSTOMER_WINDOW_MS as f64 / 1_000.0;
    let allowed = FLOOD_LIMIT.requests_per_second * window_s + FLOOD_LIMIT.burst_requests;
    allowed * LIMIT_TOLERANCE.0 + LIMIT_TOLERANCE.1
}

/// Gives each customer an API key, and adds the one that floods.
///
/// # Errors
///
/// Returns an error if a key is invalid.
pub(super) fn require_api_keys(config: &mut Config) -> anyhow::Result<()> {
    config.api_keys_required = true;
    let flooding = Customer {
        rate_limit: Some(FLOOD_LIMIT),
        ..Customer::new(Name::from(FLOODING_CUSTOMER), Vec::new())
    };
    config.customers.push(flooding);
    for customer in &mut config.customers {
        customer.api_keys.push(default_api_key(&customer.name).parse()?);
    }
    Ok(())
}

/// Adds or removes the key that is taken away.
pub(super) fn set_taken_key(config: &mut Config, is_valid: bool) {
    let Ok(key) = TAKEN_KEY.parse::<ApiKeyDigest>() else { return };
    let is_holder = |customer: &&mut Customer| customer.name.as_str() == CALENDAR_LOOKUP.customer;
    for customer in config.customers.iter_mut().filter(is_holder) {
        customer.api_keys.retain(|other| *other != key);
        if is_valid {
            customer.api_keys.push(key);
        }
    }
}

/// Sends lookups with the key that is taken away to the VMs in turn.
pub(super) async fn use_taken_key(
    addresses: &[SocketAddr],
    ids: &WorkIds,
    clock: RunClock,
    time: Duration,
) -> Vec<SentLookup> {
    let operation = Operation { api_key: Some(TAKEN_KEY), ..CALENDAR_LOOKUP };
    send_lookups(addresses, ids, clock, (operation, TAKEN_KEY_INTERVAL), time).await
}

/// Sends lookups of the customer that floods to the VMs in turn.
pub(super) async fn flood(
    addresses: &[SocketAddr],
    ids: &WorkIds,
    clock: RunClock,
    time: Duration,
) -> Vec<SentLookup> {
    let operation = Operation { customer: FLOODING_CUSTOMER, ..CALENDAR_LOOKUP };
    send_lookups(addresses, ids, clock, (operation, FLOOD_INTERVAL), time).await
}

async fn send_lookups(
    addresses: &[SocketAddr],
    ids: &WorkIds,
    clock: RunClock,
    (operation, interval): (Operation, Duration),
    time: Duration,
) -> Vec<SentLookup> {
    let until = Instant::now() + time;
    let operation = Arc::new(operation);
    let sent: Arc<Mutex<Vec<SentLookup>>> = Arc::default();
    let mut running = JoinSet::new();
    for address in addresses.iter().cycle() {
        if Instant::now() >= until {
            break;
        }
        let caller = Caller::direct(vec![*address]);
        let (id, operation, sent) = (ids.next(), Arc::clone(&operation), Arc::clone(&sent));
        running.spawn(async move {
            sent.lock().unwrap_or_else(PoisonError::into_inner).push((id, clock.now_ms()));
            caller.send(&operation, id).await;
        });
        tokio::time::sleep(interval).await;
    }
    running.join_all().await;
    std::mem::take(&mut sent.lock().unwrap_or_else(PoisonError::into_inner))
}
