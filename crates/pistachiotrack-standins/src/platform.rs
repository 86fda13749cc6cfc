//! Test stand-in for the platform: the configuration service and the list of VMs.

use std::{
    io::Write,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use flate2::{Compression, write::GzEncoder};
use http_body_util::Full;
use hyper::{
    Method, Request,
    body::Incoming,
    header::{ACCEPT_ENCODING, CONTENT_ENCODING, HeaderValue},
};
use pistachiotrack_core::{config::Config, vm::VmList};
use tokio::sync::watch;

use crate::server::{Answer, Server, empty};

/// How the platform's services answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Availability {
    /// Normally.
    #[default]
    Up,
    /// With status 503.
    Refusing,
    /// Requests stay unanswered.
    Hanging,
}

/// Longest time that a watch request waits for a newer value.
pub const MAX_WAIT_MS: u64 = 60_000;

#[derive(Clone, Debug, Default)]
struct Value {
    version: u64,
    json: Bytes,
}

/// The stored values, and how the platform answers.
#[derive(Clone, Debug, Default)]
struct State {
    deployment: String,
    config: Value,
    previous_config: Option<Value>,
    stale: bool,
    vms: Value,
    availability: Availability,
}

/// A running platform; its values can be changed only through this handle.
#[derive(Debug)]
pub struct Platform {
    state: watch::Sender<State>,
    calls: Arc<AtomicU64>,
    server: Server,
}

impl Platform {
    /// Starts a platform without values.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(deployment: &str) -> std::io::Result<Platform> {
        let state = State { deployment: deployment.to_owned(), ..State::default() };
        let (state, receiver) = watch::channel(state);
        let calls = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&calls);
        let server = Server::start(move |request, _| {
            counter.fetch_add(1, Ordering::Relaxed);
            answer(receiver.clone(), request)
        })
        .await?;
        Ok(Platform { state, calls, server })
    }

    /// Returns the address that daemons read from.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the number of calls so far; a waiting watch is one call.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Publishes a configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be written as JSON.
    pub fn publish(&self, config: &Config) -> serde_json::Result<()> {
        self.publish_bytes(config.version, serde_json::to_vec(config)?);
        Ok(())
    }

    /// Publishes bytes as the configuration, without checking that they are valid.
    pub fn publish_bytes(&self, version: u64, json: Vec<u8>) {
        let value = Value { version, json: Bytes::from(json) };
        self.state.send_modify(|state| {
            let previous = std::mem::replace(&mut state.config, value);
            state.previous_config = (previous.version > 0).then_some(previous);
        });
    }

    /// Sets whether the configuration before the newest one is served instead of the newest.
    pub fn set_stale(&self, stale: bool) {
        self.state.send_modify(|state| state.stale = stale);
    }

    /// Publishes a list of VMs. Publishing it late simulates a list that lags.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be written as JSON.
    pub fn publish_vms(&self, list: &VmList) -> serde_json::Result<()> {
        let value = Value { version: list.version, json: serde_json::to_vec(list)?.into() };
        self.state.send_modify(|state| state.vms = value);
        Ok(())
    }

    /// Sets how the services answer.
    pub fn set_availability(&self, availability: Availability) {
        self.state.send_modify(|state| state.availability = availability);
    }
}

impl State {
    fn value(&self, path: &str) -> Option<Value> {
        let (kind, deployment) = path.strip_prefix("/v1/")?.split_once('/')?;
        if deployment != self.deployment {
            return None;
        }
        match kind {
            "config" => Some(self.config()),
            "vms" => Some(self.vms.clone()),
            _ => None,
        }
    }

    fn config(&self) -> Value {
        let previous = self.previous_config.as_ref().filter(|_| self.stale);
        previous.unwrap_or(&self.config).clone()
    }
}

async fn answer(mut receiver: watch::Receiver<State>, request: Request<Incoming>) -> Answer {
    if request.method() != Method::GET {
        return empty(405);
    }
    let path = request.uri().path();
    if receiver.borrow().value(path).is_none() {
        return empty(404);
    }
    let query = request.uri().query().unwrap_or_default();
    let after = query_number(query, "after");
    let wait_ms = query_number(query, "wait_ms").unwrap_or(0).min(MAX_WAIT_MS);
    let wait_deadline = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let state = receiver.borrow_and_update().clone();
        let hanging = state.availability == Availability::Hanging;
        if state.availability == Availability::Refusing {
            return empty(503);
        }
        if !hanging && let Some(found) = newer_than(&state, path, after) {
            return value_answer(found, accepts_gzip(&request));
        }
        tokio::select! {
            changed = receiver.changed() => {
                if changed.is_err() {
                    return empty(503);
                }
            }
            () = tokio::time::sleep_until(wait_deadline), if !hanging => {
                return if after.is_some() { empty(204) } else { empty(404) };
            }
        }
    }
}

fn newer_than(state: &State, path: &str, after: Option<u64>) -> Option<Bytes> {
    let value = state.value(path)?;
    if value.version == 0 || after.is_some_and(|after| value.version <= after) {
        return None;
    }
    Some(value.json)
}

fn accepts_gzip(request: &Request<Incoming>) -> bool {
    let codings = request.headers().get_all(ACCEPT_ENCODING).iter();
    codings
        .filter_map(|codings| codings.to_str().ok())
        .flat_map(|codings| codings.split(','))
        .any(|coding| coding.trim().eq_ignore_ascii_case("gzip"))
}

/// Returns the answer with a value, compressed if requested.
fn value_answer(json: Bytes, compressed: bool) -> Answer {
    if !compressed {
        return Answer::new(Full::new(json));
    }
    let mut encoder = GzEncoder::new(Vec::new(), Compression::default());
    let Ok(body) = encoder.write_all(&json).and_then(|()| encoder.finish()) else {
        return empty(500);
    };
    let mut answer = Answer::new(Full::new(body.into()));
    answer.headers_mut().insert(CONTENT_ENCODING, HeaderValue::from_static("gzip"));
    answer
}

fn query_number(query: &str, name: &str) -> Option<u64> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}
