//! The view of the registry: registrations, outages of the registry and late updates.

mod registry_support;

use std::time::Duration;

use pistachiotrack_core::{
    endpoint::{Endpoint, incarnation_name, registered_name, started_unix_ms},
    name::Name,
    registry_view::{
        OperatorConfig, Registration, RegistryChange, RegistryPosition, RegistrySnapshot,
        RegistryView, RegistryViewSettings,
    },
    service::Service,
    time::Time,
};
use registry_support::{SERVICE, operators};

const START: Time = Time::from_millis(10_000);
fn registration(name: &str, port: u16, create_revision: u64, leaving: bool) -> Registration {
    let endpoint = Endpoint {
        name: Name::from(name),
        address: ([10, 0, 0, 1], port).into(),
        data_centre: Name::from("oslo-1"),
        slots: 2,
        connections: 400,
        leaving,
    };
    let (key, service) = (Name::from(name), Name::from(SERVICE));
    Registration { key, service, endpoint, create_revision, sequence: 0 }
}

fn snapshot(
    revision: u64,
    operators: Option<OperatorConfig>,
    endpoints: Vec<Registration>,
) -> RegistrySnapshot {
    RegistrySnapshot {
        revision,
        operators,
        registrations: endpoints,
        ..RegistrySnapshot::default()
    }
}

fn view() -> RegistryView {
    let mut view = RegistryView::new(RegistryViewSettings::default());
    let endpoints = vec![registration("a", 1, 1, false), registration("b", 2, 2, false)];
    view.on_snapshot(START, snapshot(10, Some(operators()), endpoints));
    view
}

/// Lets the registry be away until [`START`], for as long as registrations need to expire.
fn lose_registry(view: &mut RegistryView) {
    let lost = Time::from_millis(START.as_millis() - 5_000);
    view.on_response(lost);
    assert!(view.on_unreachable(lost + Duration::from_secs(1), lost));
    let recovery = view.on_response(START).expect("calls have failed");
    assert!(recovery.is_outage, "{recovery:?}");
}

fn at(revision: u64) -> RegistryPosition {
    RegistryPosition { era: 0, revision }
}

fn names(view: &RegistryView) -> Vec<String> {
    let config = view.config().unwrap();
    config.services[0].endpoints.iter().map(|endpoint| endpoint.name.to_string()).collect()
}

fn version(view: &RegistryView) -> u64 {
    view.config().unwrap().version
}

#[test]
fn there_is_no_configuration_without_operators_part() {
    let mut view = RegistryView::new(RegistryViewSettings::default());
    view.on_snapshot(START, snapshot(3, None, vec![registration("a", 1, 1, false)]));
    assert!(view.config().is_none());
}

#[test]
fn a_deregistered_endpoint_is_removed_at_once() {
    let mut view = view();
    let before = version(&view);
    view.on_change(START, 11, RegistryChange::Deregistered(Name::from("a")));
    assert_eq!(names(&view), ["b"]);
    assert!(version(&view) > before);
}

/// All registrations expire during an outage of the registry of some seconds, and the
/// removals are seen first after it. The service would have no endpoints though all are
/// healthy.
#[test]
fn endpoints_that_expire_in_an_outage_are_retained_for_the_grace_period() {
    let mut view = view();
    lose_registry(&mut view);
    view.on_change(START, 11, RegistryChange::Deregistered(Name::from("a")));
    view.on_change(START, 12, RegistryChange::Deregistered(Name::from("b")));
    assert_eq!(names(&view), ["a", "b"]);
    let back = START + Duration::from_secs(1);
    view.on_change(back, 13, RegistryChange::Registered(registration("a", 1, 13, false)));
    let due = view.remove_expired(back).unwrap();
    assert!(due.since(START) <= Duration::from_millis(2_500));
    view.on_response(due);
    assert_eq!(view.remove_expired(due), None);
    assert_eq!(names(&view), ["a"]);
}

#[test]
fn a_draining_endpoint_is_not_retained() {
    let mut view = view();
    view.on_change(START, 11, RegistryChange::Registered(registration("a", 1, 1, true)));
    lose_registry(&mut view);
    view.on_change(START, 12, RegistryChange::Deregistered(Name::from("a")));
    assert_eq!(names(&view), ["b"]);
}

/// One VM loses the registry while an endpoint deregisters; the others see the removal.
/// The VM reconnects and retains the endpoint for the grace period, and its next version
/// would contain it. Requests sent to the endpoint are lost when it exits.
#[test]
fn a_vm_that_alone_lost_the_registry_restores_no_endpoint() {
    let (mut disconnected, mut connected) = (view(), view());
    connected.on_change(START, 11, RegistryChange::Deregistered(Name::from("a")));
    lose_registry(&mut disconnected);
    disconnected.on_change(START, 11, RegistryChange::Deregistered(Name::from("a")));
    assert!(version(&disconnected) < version(&connected), "the view that retains fewer is newer");
    disconnected.on_active_config(START, &connected.config().unwrap());
    disconnected.on_change(START, 12, RegistryChange::Registered(registration("c", 3, 12, false)));
    assert_eq!(names(&disconnected), ["b", "c"]);
}

/// Two VMs both lost the registry; neither has seen the removals, so a version that one of
/// them published must not remove endpoints that the other retains.
#[test]
fn a_version_with_retained_endpoints_removes_none() {
    let mut view = view();
    lose_registry(&mut view);
    view.on_change(START, 11, RegistryChange::Deregistered(Name::from("a")));
    let config = view.config().unwrap();
    view.on_active_config(START, &config);
    assert_eq!(names(&view), ["a", "b"]);
}

/// An endpoint crashes, and a new endpoint gets its address before the old registration
/// expires. Both registrations have the address; only the later one is valid.
#[test]
fn an_address_belongs_to_the_endpoint_that_registered_last() {
    let mut view = view();
    view.on_change(START, 20, RegistryChange::Registered(registration("c", 1, 20, false)));
    assert_eq!(names(&view), ["b", "c"]);
    let config = view.config().unwrap();
    assert!(config.check("test").is_empty());
    assert!(config.services[0].endpoints.iter().all(|endpoint| endpoint.connections == 90));
}

/// A VM read the registry at its start and has taken configurations from peers since, and an
/// endpoint left in that time. When the VM watches again right after an outage and the
/// history is compacted, it would retain the endpoint for the grace period.
#[test]
fn a_stale_view_restores_no_endpoint() {
    let (mut stale, mut current) = (view(), view());
    current.on_change(START, 11, RegistryChange::Registered(registration("a", 1, 1, true)));
    current.on_change(START, 12, RegistryChange::Deregistered(Name::from("a")));
    lose_registry(&mut stale);
    assert_eq!(stale.on_active_config(START, &current.config().unwrap()), Some(at(12)));
    stale.on_snapshot(START, snapshot(14, None, vec![registration("b", 2, 2, false)]));
    assert_eq!(names(&stale), ["b"]);
}

/// All endpoints of a service are being replaced, and a VM with a stale view receives the
/// configuration without them from a peer. It must still have the maximum connections for
/// the new endpoints: they reset connections above it.
#[test]
fn a_stale_view_keeps_the_connections_of_a_service_without_endpoints() {
    let (mut stale, mut current) = (view(), view());
    for (revision, name) in (11..).zip(["a", "b", "c"]) {
        current.on_change(START, revision, RegistryChange::Deregistered(Name::from(name)));
    }
    assert!(names(&current).is_empty());
    assert_eq!(stale.on_active_config(START, &current.config().unwrap()), Some(at(13)));
    stale.on_change(START, 14, RegistryChange::Registered(registration("d", 4, 14, false)));
    assert_eq!(stale.config().unwrap().services[0].endpoints[0].connections, 90);
}

/// As above, and the operators' part changed in the meantime. The VM must not return to the
/// older one.
#[test]
fn a_stale_view_takes_the_newer_operators_part() {
    let (mut stale, mut current) = (view(), view());
    let mut config = operators().config().clone();
    config.services[0].timeout_ms = 4_321;
    let written = OperatorConfig::new(config, operators().connections().clone()).unwrap();
    current.on_change(START, 11, RegistryChange::Operators(Box::new(written)));
    assert_eq!(stale.on_active_config(START, &current.config().unwrap()), Some(at(11)));
    stale.on_change(START, 12, RegistryChange::Deregistered(Name::from("a")));
    let config = stale.config().unwrap();
    assert_eq!(config.services[0].timeout_ms, 4_321);
    assert_eq!(config.services[0].endpoints[0].connections, 90);
}

/// Report number `sequence` of the endpoint's incarnation that started at `started`.
fn reported(started: u64, sequence: u64, leaving: bool) -> RegistryChange {
    let mut registration = registration("a", 1, 1, leaving);
    registration.endpoint.name = incarnation_name("a", Some(started));
    RegistryChange::Registered(Registration { sequence, ..registration })
}

#[test]
fn incarnation_name_round_trips() {
    for registered in ["i-1", "a#b", "a#", "#", ""] {
        for started in [None, Some(0), Some(1_775_000_000_123), Some(u64::MAX)] {
            let name = incarnation_name(registered, started);
            assert_eq!((registered_name(&name), started_unix_ms(&name)), (registered, started));
        }
    }
}

/// An endpoint crashes and restarts under the same key. If it were treated as the same
/// endpoint, requests in flight and failures of the previous one would count against it.
#[test]
fn a_restarted_endpoint_is_another_endpoint_with_the_same_key() {
    let mut view = view();
    view.on_change(START, 11, reported(1_000, 40, false));
    let before = names(&view);
    view.on_change(START, 12, reported(2_000, 1, false));
    let after = names(&view);
    assert_eq!(before.len(), 2);
    assert_eq!(after.len(), 2, "{after:?}");
    assert!(!after.contains(&before[0]) && registered_name(&after[0]) == "a", "{after:?}");
    view.on_change(START, 13, RegistryChange::Deregistered(Name::from("a")));
    assert_eq!(names(&view), ["b"]);
}

/// A write from before an endpoint restarted or began to drain reaches the registry last.
/// If it were applied, requests would go to an ended incarnation or to a draining endpoint.
#[test]
fn an_older_report_that_arrives_late_changes_nothing() {
    let mut view = view();
    view.on_change(START, 11, reported(2_000, 3, true));
    let before = view.config().unwrap().services[0].endpoints.clone();
    view.on_change(START, 12, reported(2_000, 2, false));
    view.on_change(START, 13, reported(1_000, 90, false));
    assert_eq!(view.config().unwrap().services[0].endpoints, before);
    view.on_change(START, 14, reported(2_000, 4, false));
    assert!(!view.config().unwrap().services[0].endpoints[0].leaving);
}

/// The view is replaced from a peer's configuration, which contains incarnations but not
/// their sequence numbers.
#[test]
fn a_replaced_view_still_distinguishes_incarnations() {
    let (mut stale, mut current) = (view(), view());
    current.on_change(START, 11, reported(2_000, 7, false));
    assert_eq!(stale.on_active_config(START, &current.config().unwrap()), Some(at(11)));
    let before = names(&stale);
    stale.on_change(START, 12, reported(1_000, 90, false));
    assert_eq!(names(&stale), before);
    stale.on_change(START, 13, reported(2_000, 8, true));
    assert!(stale.config().unwrap().services[0].endpoints[0].leaving);
}

/// Returns the operators' part with a second service.
fn operators_with(service: &str) -> OperatorConfig {
    let mut config = operators().config().clone();
    let added = Service { name: Name::from(service), ..config.services[0].clone() };
    config.services.push(added);
    let mut connections = operators().connections().clone();
    connections.insert(Name::from(service), 90);
    OperatorConfig::new(config, connections).unwrap()
}

/// Returns a registration for a service other than the first one.
fn registration_for(service: &str, name: &str, port: u16) -> Registration {
    Registration { service: Name::from(service), ..registration(name, port, 5, false) }
}

/// Returns a stale view and one that has followed a change since, both with an endpoint of a service
/// that isn't listed.
fn views_with_unlisted_endpoint() -> (RegistryView, RegistryView) {
    let mut view = RegistryView::new(RegistryViewSettings::default());
    let endpoints = vec![registration("a", 1, 1, false), registration_for("orders", "o", 9)];
    view.on_snapshot(START, snapshot(10, Some(operators()), endpoints));
    let mut current = view.clone();
    current.on_change(START, 11, RegistryChange::Registered(registration("b", 2, 11, false)));
    (view, current)
}

fn endpoints_of(view: &RegistryView, service: &str) -> Vec<String> {
    let config = view.config().unwrap();
    let endpoints = &config.service(service).unwrap().endpoints;
    endpoints.iter().map(|endpoint| endpoint.name.to_string()).collect()
}

/// Guards against a service that has no endpoints for good on a VM that took a configuration from
/// another one before operators listed the service: such a configuration doesn't contain them.
#[test]
fn endpoints_of_a_service_that_is_listed_later_are_read_again() {
    let (mut stale, mut current) = views_with_unlisted_endpoint();
    assert_eq!(stale.on_active_config(START, &current.config().unwrap()), Some(at(11)));
    assert!(!stale.lacks_registrations(), "the listed service is known");
    for view in [&mut stale, &mut current] {
        let listed = RegistryChange::Operators(Box::new(operators_with("orders")));
        view.on_change(START, 12, listed);
    }
    assert!(stale.lacks_registrations());
    assert!(version(&stale) < version(&current), "a view that lacks endpoints gives way");
    let endpoints = vec![
        registration("a", 1, 1, false),
        registration("b", 2, 11, false),
        registration_for("orders", "o", 9),
    ];
    stale.on_snapshot(START, snapshot(12, Some(operators_with("orders")), endpoints));
    assert!(!stale.lacks_registrations());
    assert_eq!(endpoints_of(&stale, "orders"), ["o"]);
    assert_eq!(stale.config(), current.config());
}

/// Guards against the same where a listed service is taken away and put back.
#[test]
fn endpoints_of_a_service_that_is_put_back_are_read_again() {
    let (mut stale, mut current) = views_with_unlisted_endpoint();
    for view in [&mut stale, &mut current] {
        let listed = RegistryChange::Operators(Box::new(operators_with("orders")));
        view.on_change(START, 12, listed);
        assert_eq!(endpoints_of(view, "orders"), ["o"]);
    }
    current.on_change(START, 13, RegistryChange::Operators(Box::new(operators())));
    assert_eq!(stale.on_active_config(START, &current.config().unwrap()), Some(at(13)));
    let listed = RegistryChange::Operators(Box::new(operators_with("orders")));
    stale.on_change(START, 14, listed);
    assert!(stale.lacks_registrations());
}

/// Guards against an endpoint that counts as gone, though nobody said so, when the registry is restored
/// from a copy: its service wasn't listed in a configuration that came from another VM.
#[test]
fn an_endpoint_of_an_unlisted_service_has_not_left_when_the_registry_is_restored() {
    let (mut stale, current) = views_with_unlisted_endpoint();
    stale.on_active_config(START, &current.config().unwrap());
    let endpoints = vec![registration("a", 1, 1, false), registration_for("orders", "o", 9)];
    let restored = snapshot(9, Some(operators_with("orders")), endpoints);
    stale.on_snapshot(START, RegistrySnapshot { era: Some(1), ..restored });
    assert_eq!(endpoints_of(&stale, "orders"), ["o"]);
}

/// Guards against an endpoint that gets more connections than it accepts: operators lowered the maximum
/// of its service while that had no endpoints, which a configuration doesn't contain.
#[test]
fn the_maximum_of_a_service_without_endpoints_is_read_again_with_its_first_one() {
    let (mut stale, mut current) = (view(), view());
    for (revision, name) in (11..).zip(["a", "b"]) {
        current.on_change(START, revision, RegistryChange::Deregistered(Name::from(name)));
    }
    let lowered = [(Name::from(SERVICE), 60)].into();
    let operators = OperatorConfig::new(operators().config().clone(), lowered).unwrap();
    current.on_change(START, 13, RegistryChange::Operators(Box::new(operators)));
    assert_eq!(stale.on_active_config(START, &current.config().unwrap()), Some(at(13)));
    assert!(!stale.lacks_registrations(), "nothing connects to a service without endpoints");
    stale.on_change(START, 14, RegistryChange::Registered(registration("d", 4, 14, false)));
    assert!(stale.lacks_registrations());
}

/// Guards against an address that an older registration takes from a newer one: the newer one is known
/// from another VM, without its creation revision.
#[test]
fn registrations_of_one_address_that_have_no_order_are_read_again() {
    let (mut stale, mut current) = (view(), view());
    current.on_change(START, 11, RegistryChange::Registered(registration("c", 3, 11, false)));
    assert_eq!(stale.on_active_config(START, &current.config().unwrap()), Some(at(11)));
    let mut newer = stale.clone();
    newer.on_change(START, 12, RegistryChange::Registered(registration("d", 3, 12, false)));
    assert!(!newer.lacks_registrations(), "one that was created since is the newer one");
    stale.on_change(START, 12, RegistryChange::Registered(registration("d", 3, 9, false)));
    assert!(stale.lacks_registrations());
}

/// Guards against an endpoint that is missing once its address is free again: another one held it in the
/// configuration of another VM, and has left since.
#[test]
fn an_endpoint_whose_address_is_free_again_is_read_again() {
    let (mut stale, mut current) = (view(), view());
    current.on_change(START, 11, RegistryChange::Registered(registration("c", 1, 11, false)));
    assert_eq!(names(&current), ["b", "c"]);
    assert_eq!(stale.on_active_config(START, &current.config().unwrap()), Some(at(11)));
    assert!(!stale.lacks_registrations(), "the address is held");
    for view in [&mut stale, &mut current] {
        view.on_change(START, 12, RegistryChange::Deregistered(Name::from("c")));
    }
    assert_eq!(names(&current), ["a", "b"]);
    assert!(stale.lacks_registrations());
}

/// Guards against calls to the registry that aren't needed: as long as only endpoints of listed
/// services change, an adopted configuration tells all.
#[test]
fn changes_of_listed_services_need_no_further_read() {
    let (mut stale, mut current) = views_with_unlisted_endpoint();
    stale.on_active_config(START, &current.config().unwrap());
    let changes = [
        RegistryChange::Registered(registration("c", 3, 12, false)),
        RegistryChange::Registered(registration("c", 3, 12, true)),
        RegistryChange::Deregistered(Name::from("a")),
        RegistryChange::Operators(Box::new(operators())),
        RegistryChange::Deregistered(Name::from("c")),
    ];
    for (revision, change) in (12..).zip(changes) {
        stale.on_change(START, revision, change.clone());
        current.on_change(START, revision, change);
        assert!(!stale.lacks_registrations(), "after revision {revision}");
        assert_eq!(stale.config(), current.config(), "after revision {revision}");
    }
}

/// Guards against an endpoint that gets requests after it said that it leaves: an earlier report of it
/// reaches the registry late, at a VM that knows its leaving from another one.
#[test]
fn an_adopted_endpoint_that_leaves_is_not_taken_back_by_a_late_report() {
    let (mut stale, mut current) = (view(), view());
    current.on_change(START, 11, reported(2_000, 3, true));
    assert_eq!(stale.on_active_config(START, &current.config().unwrap()), Some(at(11)));
    stale.on_change(START, 12, reported(2_000, 2, false));
    assert!(stale.config().unwrap().services[0].endpoints[0].leaving);
    stale.on_change(START, 13, reported(3_000, 1, false));
    assert!(!stale.config().unwrap().services[0].endpoints[0].leaving, "it has started again");
}

/// A registration for an unknown service has the address of a live endpoint, which must keep
/// its address.
#[test]
fn a_registration_for_an_unknown_service_takes_no_address() {
    let mut view = view();
    let mut unknown = registration("c", 1, 30, false);
    unknown.service = Name::from("nowhere");
    view.on_change(START, 11, RegistryChange::Registered(unknown));
    assert_eq!(names(&view), ["a", "b"]);
    let unassigned: Vec<&str> = view.unassigned().map(|unknown| unknown.key.as_str()).collect();
    assert_eq!(unassigned, ["c"]);
}

/// An entry becomes invalid right after an outage of the registry, and is valid again later.
#[test]
fn an_invalid_entry_is_removed_at_once_and_returns_when_valid() {
    let mut view = view();
    lose_registry(&mut view);
    view.on_change(START, 11, RegistryChange::Invalid(Name::from("a")));
    assert_eq!(names(&view), ["b"]);
    view.on_change(START, 12, RegistryChange::Registered(registration("a", 1, 1, false)));
    assert_eq!(names(&view), ["a", "b"]);
    let invalid_keys = vec![Name::from("b")];
    let newer = snapshot(13, None, vec![registration("a", 1, 1, false)]);
    view.on_snapshot(START, RegistrySnapshot { invalid_keys, ..newer });
    assert_eq!(names(&view), ["a"]);
}

#[test]
fn a_snapshot_with_a_newer_entry_waits_for_the_changes_between() {
    let mut view = RegistryView::new(RegistryViewSettings::default());
    let endpoints = vec![registration("a", 1, 1, false)];
    let newer = snapshot(10, Some(operators()), endpoints);
    view.on_snapshot(START, RegistrySnapshot { newest_revision: 12, ..newer });
    assert!(view.config().is_none());
    view.on_change(START, 11, RegistryChange::Registered(registration("b", 2, 2, false)));
    view.on_complete_up_to(11);
    assert!(view.config().is_none());
    view.on_change(START, 12, RegistryChange::Operators(Box::new(operators())));
    view.on_complete_up_to(12);
    assert_eq!(names(&view), ["a", "b"]);
}
