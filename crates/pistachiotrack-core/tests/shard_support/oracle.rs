//! Checks of a shard's actions against the actual state.

use std::time::Duration;

use pistachiotrack_core::{
    admin::EndpointStatus,
    endpoint::Endpoint,
    name::Name,
    refusal::Execution,
    request::{ConnectionChoice, Request, RequestId},
    shard::{Dispatch, ShardAction, ShardMode},
};

use super::{AttemptRecord, Harness, State};

/// Times for which a draining report stays valid if the endpoint has withdrawn it since, and if
/// it has not answered again.
const DENIED_DRAINING_TTL: Duration = Duration::from_secs(10);
const UNANSWERED_DRAINING_TTL: Duration = Duration::from_secs(60);

impl Harness {
    /// Checks the actions of one event against the actual state.
    pub(crate) fn check(&mut self, actions: Vec<ShardAction>) {
        for action in actions {
            match action {
                ShardAction::Dispatch(dispatch) => self.check_dispatch(dispatch),
                ShardAction::Cancel { attempt, .. } => {
                    let known = self.attempts.get_mut(&attempt).is_some_and(|record| {
                        let first = !record.cancelled;
                        record.cancelled = true;
                        first
                    });
                    self.expect(known, || format!("{attempt:?} cancelled without need"));
                }
                ShardAction::Abandon { attempt, .. } => {
                    let record = self.attempts.get_mut(&attempt);
                    let is_silent = record.is_some_and(|record| {
                        let is_first = !record.abandoned && !record.cancelled;
                        record.abandoned = true;
                        is_first && record.state == State::InFlight
                    });
                    self.expect(is_silent, || format!("{attempt:?} abandoned without need"));
                }
                ShardAction::Deliver { request, attempt } => {
                    let begun = self.attempts.get(&attempt).is_some_and(|record| {
                        record.dispatch.request == request
                            && !record.cancelled
                            && record.state == State::Answered
                    });
                    self.expect(begun, || format!("{request:?} delivered without an answer"));
                    self.finish(request, ShardAction::Deliver { request, attempt });
                }
                ShardAction::Replay { request, answer } => {
                    let replayed_request = &self.requests[&request].request;
                    let key = replayed_request
                        .key
                        .clone()
                        .map(|key| (replayed_request.customer.clone(), key));
                    let stored = key.and_then(|key| self.answers.get(&key));
                    let is_same = stored == Some(&*answer);
                    self.expect(is_same, || format!("{request:?} got another one's answer"));
                    self.finish(request, ShardAction::Replay { request, answer });
                }
                ShardAction::Refuse { request, refusal } => {
                    if refusal.execution == Execution::NotRun {
                        self.check_not_run(request);
                    }
                    self.finish(request, ShardAction::Refuse { request, refusal });
                }
                ShardAction::Probe { attempt, endpoint, .. } => {
                    self.probes.push((attempt, endpoint))
                }
                ShardAction::CheckPath { endpoint, .. } => self.path_checks.push(endpoint),
                ShardAction::Broadcast(update) => panic!("an owner broadcast {update:?}"),
                ShardAction::RequestRetryRights { to, .. } => panic!("an owner asked {to}"),
                ShardAction::Notice { .. }
                | ShardAction::RateLimit { .. }
                | ShardAction::Health(_) => {}
            }
        }
        self.check_floor();
    }

    fn check_dispatch(&mut self, dispatch: Dispatch) {
        let record = self.requests[&dispatch.request].clone();
        let (request, now) = (&record.request, self.now);
        self.expect(record.final_actions.is_empty() && !record.cancelled, || {
            format!("{:?} dispatched after its end", request.id)
        });
        self.expect(
            now < dispatch.not_after
                && dispatch.not_after <= request.deadline
                && dispatch.time_limit > now
                && dispatch.time_limit <= request.deadline,
            || format!("{dispatch:?} at {now:?} out of time"),
        );
        if !request.idempotent {
            self.expect(self.may_run(request), || format!("{:?} run twice", request.id));
            self.expect(!request.repeat, || format!("{:?} repeat run", request.id));
            self.expect(dispatch.connection != ConnectionChoice::Any, || {
                format!("{:?} on any connection", request.id)
            });
        }
        self.attempts.insert(
            dispatch.attempt,
            AttemptRecord {
                dispatch: dispatch.clone(),
                state: State::InFlight,
                cancelled: false,
                abandoned: false,
            },
        );
        self.check_endpoint(&dispatch);
    }

    fn check_endpoint(&mut self, dispatch: &Dispatch) {
        let endpoints = self.config.services[0].endpoints.clone();
        let endpoint = endpoints.iter().find(|endpoint| endpoint.name == dispatch.endpoint);
        let takes_work = endpoint.is_some_and(|endpoint| !self.is_leaving(endpoint));
        self.expect(takes_work, || format!("{dispatch:?} to a leaving endpoint"));
        let is_refusing =
            self.refusing.get(&dispatch.endpoint).is_some_and(|until| self.now < *until);
        self.expect(!is_refusing, || format!("{dispatch:?} to a refusing endpoint"));
        let status = self.shard.endpoints(self.now);
        let others = status.iter().any(|status| is_working(status) && !self.is_draining(status));
        let is_avoidable = others && self.is_reported_draining(&dispatch.endpoint);
        self.expect(!is_avoidable, || format!("{dispatch:?} to a draining endpoint"));
        let state = status.iter().find(|status| status.endpoint == dispatch.endpoint);
        self.expect(
            state.is_some_and(|status| !matches!(&*status.state, "ejected" | "draining")),
            || format!("{dispatch:?} to {state:?}"),
        );
        let busy = |name: Option<&Name>| {
            self.attempts
                .values()
                .filter(|record| matches!(record.state, State::InFlight | State::Answered))
                .filter(|record| name.is_none_or(|name| record.dispatch.endpoint == *name))
                .count() as u32
        };
        let (here, all) = (busy(Some(&dispatch.endpoint)), busy(None));
        let slots = endpoint.map_or(0, |endpoint| endpoint.slots);
        let total: u32 = endpoints.iter().map(|endpoint| endpoint.slots).sum();
        let fits = match self.mode {
            ShardMode::Owner | ShardMode::Shared => here <= slots,
            ShardMode::Careful => here <= 1 && all <= (total / 4).max(1),
        };
        self.expect(fits, || format!("{dispatch:?}: {here} of {slots} slots, {all} of {total}"));
    }

    /// Returns whether the endpoint's draining report is still valid.
    fn is_reported_draining(&self, endpoint: &Name) -> bool {
        let Some((said_at, denied)) = self.draining.get(endpoint) else { return false };
        self.now.since(*said_at)
            < if *denied { DENIED_DRAINING_TTL } else { UNANSWERED_DRAINING_TTL }
    }

    /// Returns whether the configuration or the endpoint itself says that it is leaving.
    fn is_leaving(&self, endpoint: &Endpoint) -> bool {
        endpoint.leaving || self.leaving.contains(&endpoint.name)
    }

    fn is_draining(&self, status: &EndpointStatus) -> bool {
        &*status.state == "draining" || self.is_reported_draining(&status.endpoint)
    }

    /// Returns whether it is safe to run a request: no attempt of it, or of another one with its
    /// key, may have run.
    fn may_run(&self, request: &Request) -> bool {
        self.attempts.values().all(|record| {
            let other = &self.requests[&record.dispatch.request].request;
            let same_key = !other.idempotent
                && !request.idempotent
                && request.key.is_some()
                && other.key == request.key
                && other.customer == request.customer;
            record.state == State::NotRun || (other.id != request.id && !same_key)
        })
    }

    fn check_not_run(&mut self, id: RequestId) {
        let request = self.requests[&id].request.clone();
        self.expect(self.may_run(&request), || format!("{id:?} wrongly refused as not run"));
    }

    fn check_floor(&mut self) {
        let status = self.shard.endpoints(self.now);
        let alive = status.iter().filter(|status| !self.is_draining(status)).count();
        let working =
            status.iter().filter(|status| is_working(status) && !self.is_draining(status));
        let (floor, working) = (self.config.services[0].floor as usize, working.count());
        self.expect(working >= floor.min(alive), || format!("{working} working, floor {floor}"));
        let mut configured = self.config.services[0].endpoints.iter();
        let is_needed = floor > 0 && configured.any(|endpoint| !self.is_leaving(endpoint));
        self.expect(!is_needed || status.iter().any(is_working), || "no endpoint left".to_owned());
    }

    fn finish(&mut self, id: RequestId, action: ShardAction) {
        let Some(record) = self.requests.get_mut(&id) else { return };
        record.final_actions.push(action);
        let (final_actions, cancelled) = (record.final_actions.len(), record.cancelled);
        self.expect(final_actions == 1 && !cancelled, || {
            format!("{id:?} ended {final_actions} times")
        });
    }

    pub(super) fn expect(&mut self, holds: bool, violation: impl FnOnce() -> String) {
        if !holds {
            let violation = violation();
            self.violations.push(violation);
        }
    }
}

fn is_working(status: &EndpointStatus) -> bool {
    !matches!(&*status.state, "ejected" | "draining" | "trial")
}
