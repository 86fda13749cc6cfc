//! Identification of callers by the API key in their request.

use crate::{
    api_key::ApiKeyDigest,
    config::{Config, IndexedConfig},
    customer::Customer,
    name::Name,
    request::Class,
    rule::Route,
};

/// The API key of a request, as far as it can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PresentedKey {
    /// The request has no key.
    Missing,
    /// The request has several keys, and it is unknown which one the caller means.
    Several,
    /// The key is empty or contains bytes that no key has.
    Malformed,
    /// The digest of the key.
    Digest(ApiKeyDigest),
}

impl PresentedKey {
    /// Returns the key of a request, given all values that it has in the place of the key.
    pub fn from_values<'a>(mut values: impl Iterator<Item = &'a [u8]>) -> PresentedKey {
        let Some(value) = values.next() else { return PresentedKey::Missing };
        if values.next().is_some() {
            return PresentedKey::Several;
        }
        ApiKeyDigest::of(value.trim_ascii()).map_or(PresentedKey::Malformed, PresentedKey::Digest)
    }
}

/// Why a caller isn't identified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unidentified {
    /// The request has no key.
    Missing,
    /// The request has several keys.
    Several,
    /// The key is malformed.
    Malformed,
    /// No customer holds the key.
    Unknown,
}

impl Unidentified {
    /// Returns the cause's name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Unidentified::Missing => "missing",
            Unidentified::Several => "several",
            Unidentified::Malformed => "malformed",
            Unidentified::Unknown => "unknown",
        }
    }
}

/// Identifies the customer that a request is sent for.
///
/// # Errors
///
/// Returns why the caller isn't identified.
pub fn identify(config: &IndexedConfig, key: PresentedKey) -> Result<&Customer, Unidentified> {
    match key {
        PresentedKey::Missing => Err(Unidentified::Missing),
        PresentedKey::Several => Err(Unidentified::Several),
        PresentedKey::Malformed => Err(Unidentified::Malformed),
        PresentedKey::Digest(key) => config.customer_of_key(&key).ok_or(Unidentified::Unknown),
    }
}

/// What API keys decide under a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyPolicy {
    /// A request needs the key of a customer, except on public routes.
    Required,
    /// No request needs a key. A key that a caller sends anyway has been taken away with the
    /// configuration's other keys, and its request is refused, except on public routes.
    Revoked,
    /// No request needs a key, and nothing is known of keys.
    Ignored,
}

impl KeyPolicy {
    /// Returns the policy under `config`, given whether the deployment bounds the time in which a key
    /// that was taken away is still served.
    ///
    /// A deployment with such a bound has keys. If its configuration doesn't speak of them, operators
    /// have withdrawn all, and no VM can know which ones there were before it started.
    pub fn new(config: &Config, bounds_revocation: bool) -> KeyPolicy {
        match (config.api_keys_required, bounds_revocation) {
            (true, _) => KeyPolicy::Required,
            (false, true) => KeyPolicy::Revoked,
            (false, false) => KeyPolicy::Ignored,
        }
    }

    /// Identifies the customer that a request is sent for, given what is in the place of its key.
    ///
    /// # Errors
    ///
    /// Returns why the caller isn't identified.
    pub fn identify(
        self,
        config: &IndexedConfig,
        key: PresentedKey,
    ) -> Result<&Customer, Unidentified> {
        match (self, identify(config, key)) {
            (KeyPolicy::Required, identified) => identified,
            (_, Ok(_)) => Err(Unidentified::Unknown),
            (_, Err(cause)) => Err(cause),
        }
    }
}

/// Whether a request needs a key, and whose it is.
#[derive(Clone, Copy, Debug)]
pub enum Caller<'c> {
    /// The configuration or the route requires no key, and the configuration revokes none.
    Anonymous,
    /// The key is that of a customer.
    Customer(&'c Customer),
    /// The route requires a key, and the caller isn't identified.
    Unidentified(Unidentified),
}

impl<'c> Caller<'c> {
    /// Decides on a request for `route`, given the result of [`KeyPolicy::identify`].
    pub fn on_route(
        policy: KeyPolicy,
        route: &Route,
        identified: Result<&'c Customer, Unidentified>,
    ) -> Caller<'c> {
        match (policy, identified) {
            _ if route.public => Caller::Anonymous,
            (KeyPolicy::Ignored, _) => Caller::Anonymous,
            (KeyPolicy::Revoked, Err(Unidentified::Missing)) => Caller::Anonymous,
            (_, Ok(customer)) => Caller::Customer(customer),
            (_, Err(cause)) => Caller::Unidentified(cause),
        }
    }

    /// Returns the class of the customer's requests, if it has one.
    pub fn class(&self) -> Option<Class> {
        match self {
            Caller::Customer(customer) => customer.class,
            Caller::Anonymous | Caller::Unidentified(_) => None,
        }
    }

    /// Returns the customer's name, if a key was required.
    pub fn customer(&self) -> Option<&'c Name> {
        match self {
            Caller::Customer(customer) => Some(&customer.name),
            Caller::Anonymous | Caller::Unidentified(_) => None,
        }
    }
}
