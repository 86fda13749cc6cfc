//! Endpoints that register themselves, through outages of the registry.

use std::time::Duration;

use pistachiotrack_core::{
    config::Config,
    data_centre::DataCentre,
    endpoint::{Endpoint, incarnation_name, registered_name, started_unix_ms},
    name::Name,
    roster::{Announced, Change, Listing, Operators, Roster, RosterSettings},
    service::Service,
    time::Time,
};

const START: Time = Time::from_millis(10_000);
const SERVICE: &str = "booking";

fn operators() -> Operators {
    let service = Service {
        name: Name::from(SERVICE),
        floor: 0,
        sensitivity: 1.0,
        timeout_ms: 1_000,
        queue_limit: 16,
        shard_endpoints: 64,
        dispatchers_per_data_centre: 2,
        retry_limit: None,
        probe_path: Name::from("/healthz"),
        endpoints: Vec::new(),
    };
    let config = Config {
        version: 0,
        deployment: Name::from("timeliten"),
        entry_lifetime_ms: 1_000,
        data_centres: vec![DataCentre { name: Name::from("oslo-1"), region: Name::from("oslo") }],
        services: vec![service],
        customers: Vec::new(),
        rules: Vec::new(),
    };
    Operators::new(config, [(Name::from(SERVICE), 90)].into()).unwrap()
}

fn announced(name: &str, port: u16, registered: u64, leaving: bool) -> Announced {
    let endpoint = Endpoint {
        name: Name::from(name),
        address: ([10, 0, 0, 1], port).into(),
        data_centre: Name::from("oslo-1"),
        slots: 2,
        connections: 400,
        leaving,
    };
    let (key, service) = (Name::from(name), Name::from(SERVICE));
    Announced { key, service, endpoint, registered, sequence: 0 }
}

fn listing(revision: u64, operators: Option<Operators>, endpoints: Vec<Announced>) -> Listing {
    Listing { revision, operators, endpoints, ..Listing::default() }
}

fn roster() -> Roster {
    let mut roster = Roster::new(RosterSettings::default());
    let endpoints = vec![announced("a", 1, 1, false), announced("b", 2, 2, false)];
    roster.on_listing(START, listing(10, Some(operators()), endpoints));
    roster
}

fn names(roster: &Roster) -> Vec<String> {
    let config = roster.config().unwrap();
    config.services[0].endpoints.iter().map(|endpoint| endpoint.name.to_string()).collect()
}

fn version(roster: &Roster) -> u64 {
    roster.config().unwrap().version
}

#[test]
fn nothing_is_known_before_operators_wrote() {
    let mut roster = Roster::new(RosterSettings::default());
    roster.on_listing(START, listing(3, None, vec![announced("a", 1, 1, false)]));
    assert!(roster.config().is_none());
}

#[test]
fn an_endpoint_that_is_withdrawn_goes_at_once() {
    let mut roster = roster();
    let before = version(&roster);
    roster.on_change(START, 11, Change::Withdrawn(Name::from("a")));
    assert_eq!(names(&roster), ["b"]);
    assert!(version(&roster) > before);
}

/// The registry is away for some seconds, and the entries of all endpoints run out
/// meanwhile. When it is back, the removals are seen first. Callers would find a
/// service without endpoints though all are well.
#[test]
fn endpoints_whose_entries_ran_out_in_an_outage_are_kept_until_they_are_back() {
    let mut roster = roster();
    assert!(roster.on_lost());
    assert!(roster.on_answer(START));
    roster.on_change(START, 11, Change::Withdrawn(Name::from("a")));
    roster.on_change(START, 12, Change::Withdrawn(Name::from("b")));
    assert_eq!(names(&roster), ["a", "b"]);
    let back = START + Duration::from_secs(1);
    roster.on_change(back, 13, Change::Announced(announced("a", 1, 13, false)));
    let due = roster.drop_due(back).unwrap();
    assert!(due.since(START) <= Duration::from_millis(2_500));
    assert_eq!(roster.drop_due(due), None);
    assert_eq!(names(&roster), ["a"]);
}

#[test]
fn an_endpoint_that_said_it_leaves_is_not_kept() {
    let mut roster = roster();
    roster.on_change(START, 11, Change::Announced(announced("a", 1, 1, true)));
    roster.on_lost();
    roster.on_answer(START);
    roster.on_change(START, 12, Change::Withdrawn(Name::from("a")));
    assert_eq!(names(&roster), ["b"]);
}

/// One VM is cut off from the registry while an endpoint is withdrawn; the others
/// see the removal. The VM is back, keeps the endpoint for the grace, and the next
/// change has it publish a version with the endpoint in it. A booking that reaches
/// the endpoint then is lost when it exits.
#[test]
fn a_vm_that_was_cut_off_alone_brings_no_endpoint_back() {
    let (mut cut_off, mut witness) = (roster(), roster());
    witness.on_change(START, 11, Change::Withdrawn(Name::from("a")));
    cut_off.on_lost();
    cut_off.on_answer(START);
    cut_off.on_change(START, 11, Change::Withdrawn(Name::from("a")));
    assert!(version(&cut_off) < version(&witness), "the one that keeps less knows more");
    cut_off.on_in_force(&witness.config().unwrap());
    cut_off.on_change(START, 12, Change::Announced(announced("c", 3, 12, false)));
    assert_eq!(names(&cut_off), ["b", "c"]);
}

/// Two watchers were both cut off; neither knows more than the other, so what one
/// of them published proves nothing to the other.
#[test]
fn a_version_that_keeps_endpoints_itself_proves_nothing() {
    let mut roster = roster();
    roster.on_lost();
    roster.on_answer(START);
    roster.on_change(START, 11, Change::Withdrawn(Name::from("a")));
    let config = roster.config().unwrap();
    roster.on_in_force(&config);
    assert_eq!(names(&roster), ["a", "b"]);
}

/// An endpoint has crashed, and its address was given to a new one before its entry
/// ran out. Both entries name the address; only the later one is true.
#[test]
fn an_address_belongs_to_the_endpoint_that_registered_last() {
    let mut roster = roster();
    roster.on_change(START, 20, Change::Announced(announced("c", 1, 20, false)));
    assert_eq!(names(&roster), ["b", "c"]);
    let config = roster.config().unwrap();
    assert!(config.check("test").is_empty());
    assert!(config.services[0].endpoints.iter().all(|endpoint| endpoint.connections == 90));
}

/// A VM read the registry at its start and has taken configurations from others since.
/// An endpoint has left meanwhile. The VM is to watch again, finds the history gone
/// and the registry just back, and would keep the endpoint for the grace.
#[test]
fn a_vm_that_has_not_followed_for_a_while_brings_no_endpoint_back() {
    let (mut idle, mut follower) = (roster(), roster());
    follower.on_change(START, 11, Change::Announced(announced("a", 1, 1, true)));
    follower.on_change(START, 12, Change::Withdrawn(Name::from("a")));
    idle.on_lost();
    idle.on_answer(START);
    assert_eq!(idle.on_in_force(&follower.config().unwrap()), Some(12));
    idle.on_listing(START, listing(14, None, vec![announced("b", 2, 2, false)]));
    assert_eq!(names(&idle), ["b"]);
}

/// All endpoints of a service are being replaced, and a VM that hasn't followed learns of
/// it from another. It must still know how many connections each new one accepts: beyond
/// that they reset connections.
#[test]
fn a_vm_that_has_not_followed_knows_the_connections_of_a_service_without_endpoints() {
    let (mut idle, mut follower) = (roster(), roster());
    for (revision, name) in (11..).zip(["a", "b", "c"]) {
        follower.on_change(START, revision, Change::Withdrawn(Name::from(name)));
    }
    assert!(names(&follower).is_empty());
    assert_eq!(idle.on_in_force(&follower.config().unwrap()), Some(13));
    idle.on_change(START, 14, Change::Announced(announced("d", 4, 14, false)));
    assert_eq!(idle.config().unwrap().services[0].endpoints[0].connections, 90);
}

/// As above, and operators wrote something meanwhile. The VM must not go back to what
/// they wrote before.
#[test]
fn a_vm_that_has_not_followed_for_a_while_keeps_what_operators_wrote_since() {
    let (mut idle, mut follower) = (roster(), roster());
    let mut config = operators().config().clone();
    config.services[0].timeout_ms = 4_321;
    let written = Operators::new(config, operators().connections().clone()).unwrap();
    follower.on_change(START, 11, Change::Operators(Box::new(written)));
    assert_eq!(idle.on_in_force(&follower.config().unwrap()), Some(11));
    idle.on_change(START, 12, Change::Withdrawn(Name::from("a")));
    let config = idle.config().unwrap();
    assert_eq!(config.services[0].timeout_ms, 4_321);
    assert_eq!(config.services[0].endpoints[0].connections, 90);
}

/// An endpoint's word number `sequence` in the incarnation that started at `started`.
fn said(started: u64, sequence: u64, leaving: bool) -> Change {
    let mut announced = announced("a", 1, 1, leaving);
    announced.endpoint.name = incarnation_name("a", Some(started));
    Change::Announced(Announced { sequence, ..announced })
}

#[test]
fn the_name_of_an_incarnation_gives_back_what_it_was_made_of() {
    for registered in ["i-1", "a#b", "a#", "#", ""] {
        for started in [None, Some(0), Some(1_775_000_000_123), Some(u64::MAX)] {
            let name = incarnation_name(registered, started);
            assert_eq!((registered_name(&name), started_unix_ms(&name)), (registered, started));
        }
    }
}

/// An endpoint crashes and starts again under the name that it had. Were it taken for
/// the one of before, its requests in flight and its failures would count against it.
#[test]
fn an_endpoint_that_starts_again_is_another_one_under_the_same_name() {
    let mut roster = roster();
    roster.on_change(START, 11, said(1_000, 40, false));
    let before = names(&roster);
    roster.on_change(START, 12, said(2_000, 1, false));
    let after = names(&roster);
    assert_eq!(before.len(), 2);
    assert_eq!(after.len(), 2, "{after:?}");
    assert!(!after.contains(&before[0]) && registered_name(&after[0]) == "a", "{after:?}");
    roster.on_change(START, 13, Change::Withdrawn(Name::from("a")));
    assert_eq!(names(&roster), ["b"]);
}

/// What an endpoint wrote before it started again, or before it said that it leaves,
/// is delayed and reaches the registry last. Taken as it comes, requests go to an
/// incarnation that is gone, or to an endpoint that leaves.
#[test]
fn a_word_that_was_overtaken_changes_nothing() {
    let mut roster = roster();
    roster.on_change(START, 11, said(2_000, 3, true));
    let told = roster.config().unwrap().services[0].endpoints.clone();
    roster.on_change(START, 12, said(2_000, 2, false));
    roster.on_change(START, 13, said(1_000, 90, false));
    assert_eq!(roster.config().unwrap().services[0].endpoints, told);
    roster.on_change(START, 14, said(2_000, 4, false));
    assert!(!roster.config().unwrap().services[0].endpoints[0].leaving);
}

/// A VM takes over from another's configuration, which tells incarnations but not how
/// far each has counted.
#[test]
fn a_vm_that_takes_over_still_tells_incarnations_apart() {
    let (mut idle, mut follower) = (roster(), roster());
    follower.on_change(START, 11, said(2_000, 7, false));
    assert_eq!(idle.on_in_force(&follower.config().unwrap()), Some(11));
    let before = names(&idle);
    idle.on_change(START, 12, said(1_000, 90, false));
    assert_eq!(names(&idle), before);
    idle.on_change(START, 13, said(2_000, 8, true));
    assert!(idle.config().unwrap().services[0].endpoints[0].leaving);
}

/// Somebody registers for a service that nobody named, at a live endpoint's address.
/// The endpoint must keep its address.
#[test]
fn what_is_registered_for_an_unknown_service_takes_no_address() {
    let mut roster = roster();
    let mut stray = announced("c", 1, 30, false);
    stray.service = Name::from("nowhere");
    roster.on_change(START, 11, Change::Announced(stray));
    assert_eq!(names(&roster), ["a", "b"]);
    let strays: Vec<&str> = roster.strays().map(|stray| stray.key.as_str()).collect();
    assert_eq!(strays, ["c"]);
}

/// An entry turns into something that can't be used while the registry has just come
/// back, and is good again later.
#[test]
fn an_entry_that_can_t_be_used_goes_at_once_and_comes_back_when_it_is_good() {
    let mut roster = roster();
    roster.on_lost();
    roster.on_answer(START);
    roster.on_change(START, 11, Change::Unusable(Name::from("a")));
    assert_eq!(names(&roster), ["b"]);
    roster.on_change(START, 12, Change::Announced(announced("a", 1, 1, false)));
    assert_eq!(names(&roster), ["a", "b"]);
    let unusable = vec![Name::from("b")];
    let listed = listing(13, None, vec![announced("a", 1, 1, false)]);
    roster.on_listing(START, Listing { unusable, ..listed });
    assert_eq!(names(&roster), ["a"]);
}

#[test]
fn a_listing_with_a_part_newer_than_its_revision_waits_for_the_changes_between() {
    let mut roster = Roster::new(RosterSettings::default());
    let endpoints = vec![announced("a", 1, 1, false)];
    let listed = listing(10, Some(operators()), endpoints);
    roster.on_listing(START, Listing { newest: 12, ..listed });
    assert!(roster.config().is_none());
    roster.on_change(START, 11, Change::Announced(announced("b", 2, 2, false)));
    roster.on_followed(11);
    assert!(roster.config().is_none());
    roster.on_change(START, 12, Change::Operators(Box::new(operators())));
    roster.on_followed(12);
    assert_eq!(names(&roster), ["a", "b"]);
}
