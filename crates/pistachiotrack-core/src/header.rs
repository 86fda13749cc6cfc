//! Names of the HTTP headers between callers, VMs and endpoints.

/// Request: customer on whose behalf the caller sends it.
pub const CUSTOMER: &str = "pistachiotrack-customer";
/// Request: requested service, where the rules need it.
pub const SERVICE: &str = "pistachiotrack-service";
/// Request: class (`interactive`, `standard`, `batch`).
pub const CLASS: &str = "pistachiotrack-class";
/// Request, also to endpoints: time left until the deadline in milliseconds.
pub const DEADLINE_MS: &str = "pistachiotrack-deadline-ms";
/// Request: idempotency key.
pub const IDEMPOTENCY_KEY: &str = "pistachiotrack-key";
/// Request: `true` if the caller sent the request before and does not know the
/// outcome.
pub const REPEAT: &str = "pistachiotrack-repeat";
/// Answer: `not-run` or `unknown` on a refusal.
pub const OUTCOME: &str = "pistachiotrack-outcome";
/// Answer: machine-readable reason of a refusal.
pub const REASON: &str = "pistachiotrack-reason";
/// Answer: time in milliseconds after which the caller may retry.
pub const RETRY_AFTER_MS: &str = "pistachiotrack-retry-after-ms";
/// Answer: endpoint that answered.
pub const ENDPOINT: &str = "pistachiotrack-endpoint";
/// Answer: VM that dispatched the request.
pub const OWNER: &str = "pistachiotrack-owner";
/// Between VMs: marks a forwarded request, which is never forwarded again.
pub const HOP: &str = "pistachiotrack-hop";
/// Between VMs: routing decision of the entry VM, so that rules are evaluated once.
pub const ROUTE: &str = "pistachiotrack-route";
/// Between VMs: which copy of which request this is, and the request's attempts so far.
pub const TRANSFER: &str = "pistachiotrack-transfer";
/// Between VMs: requests that the receiver relay the request to an endpoint that
/// the sender can't reach.
pub const VIA: &str = "pistachiotrack-via";
/// Between VMs: outcome of a relayed request.
pub const VIA_END: &str = "pistachiotrack-via-end";
/// Between VMs: result of a forwarded request, as the answering VM reports it.
pub const PEER_RESULT: &str = "pistachiotrack-peer-word";
/// To endpoints and between VMs: identifier of the request. To callers: the same, on a
/// refusal.
pub const REQUEST_ID: &str = "pistachiotrack-request-id";
/// From endpoints: number of requests in flight.
pub const LOAD: &str = "pistachiotrack-load";
/// From endpoints: requests per second accepted from all VMs together, a decimal number.
pub const RATE_LIMIT: &str = "pistachiotrack-rate-limit";
/// From endpoints: `true` if the endpoint is draining.
pub const DRAINING: &str = "pistachiotrack-draining";
/// From endpoints: `true` if the endpoint is leaving for good and must get no new requests.
pub const LEAVING: &str = "pistachiotrack-leaving";
/// From endpoints: `true` on a 503 answer if the request certainly was not run.
pub const NOT_RUN: &str = "pistachiotrack-not-run";

/// Path at which callers query the entry addresses to use.
pub const ENTRIES_PATH: &str = "/pistachiotrack/v1/entries";
