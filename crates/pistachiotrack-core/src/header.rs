//! Names of the HTTP headers that the fleet, its callers and endpoints use.

/// Request: customer that the caller acts for.
pub const CUSTOMER: &str = "pistachiotrack-customer";
/// Request: service wanted, where the rules need it.
pub const SERVICE: &str = "pistachiotrack-service";
/// Request: class (`interactive`, `standard`, `batch`).
pub const CLASS: &str = "pistachiotrack-class";
/// Request, also towards endpoints: time left in milliseconds.
pub const DEADLINE_MS: &str = "pistachiotrack-deadline-ms";
/// Request: idempotency key.
pub const IDEMPOTENCY_KEY: &str = "pistachiotrack-key";
/// Request: `true` when the caller sent the request before and does not know
/// the outcome.
pub const REPEAT: &str = "pistachiotrack-repeat";
/// Answer: `not-run` or `unknown` on a refusal.
pub const OUTCOME: &str = "pistachiotrack-outcome";
/// Answer: machine-readable reason of a refusal.
pub const REASON: &str = "pistachiotrack-reason";
/// Answer: time in milliseconds after which the caller may ask again.
pub const RETRY_AFTER_MS: &str = "pistachiotrack-retry-after-ms";
/// Answer: endpoint that answered.
pub const ENDPOINT: &str = "pistachiotrack-endpoint";
/// Answer: VM that owned the dispatch.
pub const OWNER: &str = "pistachiotrack-owner";
/// Between VMs: marks a forwarded request, which is never forwarded again.
pub const HOP: &str = "pistachiotrack-hop";
/// Between VMs: rule decision of the entry VM, so that it is taken once.
pub const ROUTE: &str = "pistachiotrack-route";
/// Between VMs: has the receiver send the request to an endpoint that the
/// sender can't reach.
pub const VIA: &str = "pistachiotrack-via";
/// Between VMs: how a request that went through the receiver ended.
pub const VIA_END: &str = "pistachiotrack-via-end";
/// Between VMs: what the answering VM says of the request that was sent on to it.
pub const PEER_RESULT: &str = "pistachiotrack-peer-word";
/// Towards endpoints and between VMs: identity of the request. To callers: the same, on a
/// refusal.
pub const REQUEST_ID: &str = "pistachiotrack-request-id";
/// From endpoints: requests being worked on.
pub const LOAD: &str = "pistachiotrack-load";
/// From endpoints: requests a second that it takes from all VMs together, a decimal number.
pub const RATE_LIMIT: &str = "pistachiotrack-rate-limit";
/// From endpoints: `true` when the endpoint is leaving.
pub const DRAINING: &str = "pistachiotrack-draining";
/// From endpoints: `true` on a 503 that certainly did not run the request.
pub const NOT_RUN: &str = "pistachiotrack-not-run";

/// Path at which callers ask which addresses to use.
pub const ENTRIES_PATH: &str = "/pistachiotrack/v1/entries";
