//! Stories of a fleet whose VMs crash, are cut off, pause, leave and return.

mod membership_fleet;

use membership_fleet::{Fleet, START_MS, address, list, name, vm};
use pistachiotrack_core::{
    membership::{MemberState, Membership, MembershipSettings},
    message::{Codec, Datagram, Identity, MemberDetails, Message, Update},
    time::Time,
};

#[test]
fn fleet_converges_from_the_list_within_seconds() {
    // All VMs of a deployment are started at once and know only the platform's
    // list, which also names four VMs that are gone. Callers are waiting.
    let mut fleet = Fleet::new(1, 3);
    for number in 0..48 {
        fleet.start(number);
    }
    fleet.give_list(&list(0..52, 1));
    let all = fleet.numbers();
    assert!(fleet.alive_seen_by(0).len() == 1, "a listed VM is not alive by being listed");
    fleet.run_until(8_000, |fleet| fleet.agree_on(&all));
    fleet.run_until(12_000, |fleet| fleet.all_see(&all, 50, MemberState::Dead));
    fleet.run_until(1_000, |fleet| fleet.agree_on_owners(&all));
}

#[test]
fn crash_is_detected_by_all() {
    // A VM crashes without a word. Requests sent to it hang until the others
    // notice, so all of them have to within a bounded time.
    for seed in 0..5 {
        let mut fleet = Fleet::settled(48, seed, 3);
        fleet.crash(7);
        let rest = fleet.numbers();
        fleet.run_until(15_000, |fleet| fleet.all_see(&rest, 7, MemberState::Dead));
        fleet.run_until(1_000, |fleet| fleet.agree_on_owners(&rest));
        assert!(fleet.agree_on(&rest));
        assert!(fleet.log.iter().all(|(_, _, vm, _)| *vm == name(7)), "only the crashed VM");
    }
}

#[test]
fn broken_path_between_two_vms_is_bridged_by_relays() {
    // Datagrams from VM 3 to VM 5 get lost in a switch; all other paths work.
    // Both VMs serve callers well, so neither may lose its shards.
    let mut fleet = Fleet::settled(12, 2, 3);
    fleet.block(&[3], &[5]);
    fleet.run_ms(120_000);
    let all = fleet.numbers();
    assert!(fleet.agree_on(&all));
    let deaths = fleet.log.iter().filter(|(.., state)| *state == MemberState::Dead).count();
    assert_eq!(deaths, 0);
    assert!(!fleet.nodes[&3].membership.is_direct(&name(5)), "the broken path is known");
    assert!(fleet.nodes[&3].membership.is_direct(&name(6)));
}

#[test]
fn mute_vm_is_dead_and_does_not_flap() {
    // A VM hears everybody but nothing that it sends arrives. It learns of its
    // own death and refutes it, which nobody hears; it must stay dead for all.
    let mut fleet = Fleet::settled(24, 3, 3);
    let rest: Vec<usize> = (0..24).filter(|number| *number != 4).collect();
    fleet.block(&[4], &rest);
    fleet.run_until(20_000, |fleet| fleet.all_see(&rest, 4, MemberState::Dead));
    fleet.log.clear();
    fleet.run_ms(180_000);
    assert!(fleet.all_see(&rest, 4, MemberState::Dead));
    let flaps = fleet.log.iter().filter(|(_, viewer, vm, _)| *viewer != 4 && *vm == name(4));
    assert_eq!(flaps.count(), 0);
    assert!(fleet.agree_on(&rest));
    assert!(fleet.agree_on_owners(&rest));
}

#[test]
fn deaf_vm_is_dead_and_its_accusations_end() {
    // A VM's datagrams arrive, but it hears nobody. It holds everybody for ill
    // and says so. The others must not believe it for long, nor hold it for alive
    // because they hear it.
    let mut fleet = Fleet::settled(24, 4, 3);
    let rest: Vec<usize> = (0..24).filter(|number| *number != 4).collect();
    fleet.block(&rest, &[4]);
    fleet.run_until(20_000, |fleet| fleet.all_see(&rest, 4, MemberState::Dead));
    fleet.run_ms(5_000);
    fleet.log.clear();
    fleet.run_ms(180_000);
    assert!(fleet.all_see(&rest, 4, MemberState::Dead));
    let among_rest = fleet.log.iter().filter(|(_, viewer, ..)| *viewer != 4);
    assert_eq!(among_rest.count(), 0, "neither flaps nor accusations");
    assert!(!fleet.alive_seen_by(4).contains(&name(5)), "heard one way only");
    fleet.heal();
    let all = fleet.numbers();
    fleet.run_until(30_000, |fleet| fleet.agree_on(&all));
}

#[test]
fn paused_vm_wakes_without_accusing_others() {
    // A VM is stopped for a minute and declared dead. When it wakes, datagrams of
    // the old time lie in its socket and all its timers are over. It must neither
    // hold the others for dead nor take its old shards back at once.
    let mut fleet = Fleet::settled(24, 5, 6);
    let rest: Vec<usize> = (0..24).filter(|number| *number != 4).collect();
    fleet.pause_ms(4, 60_000);
    fleet.run_until(20_000, |fleet| fleet.all_see(&rest, 4, MemberState::Dead));
    fleet.run_ms(60_000 - 20_000);
    fleet.log.clear();
    let all = fleet.numbers();
    let took = fleet.run_until(40_000, |fleet| fleet.agree_on(&all));
    assert!(took < 30_000);
    fleet.run_until(10_000, |fleet| fleet.agree_on_owners(&all));
    let accused =
        fleet.log.iter().filter(|(.., vm, state)| *vm != name(4) && *state == MemberState::Dead);
    assert_eq!(accused.count(), 0);
}

#[test]
fn split_fleet_finds_itself_again_without_the_list() {
    // The network splits the fleet in two for three minutes; each side goes on
    // and owns all shards. The platform's list is stale. After the split all VMs
    // have to meet again, and the datagrams must stay bounded.
    let mut fleet = Fleet::settled(24, 6, 6);
    let (one, other): (Vec<usize>, Vec<usize>) = (0..24).partition(|number| number % 2 == 0);
    fleet.split(&one, &other);
    fleet.run_until(30_000, |fleet| fleet.agree_on(&one) && fleet.agree_on(&other));
    fleet.run_until(5_000, |fleet| fleet.agree_on_owners(&one) && fleet.agree_on_owners(&other));
    fleet.run_ms(180_000);
    fleet.heal();
    let before: usize = fleet.nodes.values().map(|node| node.sent_bytes).sum();
    let all = fleet.numbers();
    let took_ms = fleet.run_until(30_000, |fleet| fleet.agree_on(&all));
    let sent: usize = fleet.nodes.values().map(|node| node.sent_bytes).sum::<usize>() - before;
    let per_vm_and_second = sent as u64 * 1000 / took_ms / 24;
    assert!(per_vm_and_second < 10_000, "{per_vm_and_second} bytes per VM and second");
    fleet.run_until(10_000, |fleet| fleet.agree_on_owners(&all));
}

#[test]
fn replaced_vm_wins_over_its_predecessor() {
    // The platform replaces a VM under the same name and address while the old
    // one is only paused. The old one wakes up and sends again: it must be ignored
    // and learn that it was replaced.
    let mut fleet = Fleet::settled(12, 7, 3);
    let old = fleet.nodes.remove(&4).expect("VM 4 runs").membership;
    fleet.run_ms(2_000);
    fleet.start(4);
    fleet.give_list_to(4, &list(0..12, 1));
    let all = fleet.numbers();
    let newest = fleet.nodes[&4].membership.me().incarnation;
    fleet.run_until(20_000, |fleet| {
        let sees_new = |viewer: &usize| {
            let member = fleet.nodes[viewer].membership.member(&name(4));
            member.is_none_or(|member| {
                member.vm.incarnation == newest && member.state == MemberState::Alive
            })
        };
        all.iter().all(sees_new)
    });
    let mut old = old;
    old.on_pause(fleet.now(), std::time::Duration::from_secs(10));
    let pings = old.on_tick(fleet.now());
    assert!(!pings.is_empty());
    let mut answers = Vec::new();
    for ping in pings {
        let pistachiotrack_core::membership::MembershipAction::Send { to, bytes } = ping else {
            continue;
        };
        let receiver = (0..12).find(|number| address(*number) == to).expect("a VM");
        let Some(node) = fleet.nodes.get_mut(&receiver) else { continue };
        let now = Time::from_millis(fleet.now_ms);
        answers.extend(node.membership.on_datagram(now, address(4), &bytes).expect("valid"));
    }
    for answer in answers {
        if let pistachiotrack_core::membership::MembershipAction::Send { bytes, .. } = answer {
            old.on_datagram(fleet.now(), address(1), &bytes).expect("valid");
        }
    }
    assert!(old.is_superseded());
    assert!(old.on_tick(fleet.now()).is_empty());
    assert!(fleet.agree_on(&all));
}

#[test]
fn leaving_vm_is_out_of_the_answers_at_once() {
    // A VM is stopped as planned. It tells several peers, and all others see it
    // leave within a few seconds, long before it is gone; then it dies quietly.
    let mut fleet = Fleet::settled(48, 8, 6);
    fleet.leave(9);
    let all = fleet.numbers();
    fleet.run_until(4_000, |fleet| fleet.all_see(&all, 9, MemberState::Leaving));
    fleet.run_until(1_000, |fleet| fleet.agree_on_owners(&all));
    let owns = fleet.shards().iter().any(|shard| {
        fleet.nodes[&1].ownership.owner(shard).is_some_and(|owner| owner.name == name(9))
    });
    assert!(!owns);
    assert!(fleet.log.iter().all(|(.., state)| *state == MemberState::Leaving));
    fleet.crash(9);
    let rest = fleet.numbers();
    fleet.run_until(60_000, |fleet| fleet.all_see(&rest, 9, MemberState::Dead));
}

#[test]
fn lagging_list_neither_kills_nor_revives() {
    // The platform's list still names a VM that crashed, misses one that runs,
    // and then an older list comes again. What the VMs hear decides.
    let mut fleet = Fleet::settled(8, 9, 2);
    fleet.crash(2);
    let rest = fleet.numbers();
    fleet.run_until(15_000, |fleet| fleet.all_see(&rest, 2, MemberState::Dead));
    fleet.log.clear();
    fleet.give_list(&list([0, 1, 2, 3, 4, 5, 6], 2));
    fleet.give_list(&list([2], 1));
    fleet.run_ms(60_000);
    assert!(fleet.agree_on(&rest), "unlisted VM 7 answers and is alive");
    assert!(fleet.all_see(&rest, 2, MemberState::Dead));
    assert!(fleet.log.is_empty());
}

#[test]
fn listed_leaving_mark_is_taken_for_its_incarnation_only() {
    // The platform marks a VM as leaving, then replaces it; the mark lingers in
    // the lagging list. The new VM must not inherit it.
    let mut fleet = Fleet::settled(8, 10, 2);
    let mut marked = list(0..8, 2);
    marked.vms[3].leaving = true;
    fleet.give_list(&marked);
    let rest: Vec<usize> = (0..8).filter(|number| *number != 3).collect();
    assert!(fleet.all_see(&rest, 3, MemberState::Leaving));
    assert!(fleet.nodes[&3].membership.is_leaving());
    fleet.start(3);
    fleet.give_list_to(3, &list(0..8, 1));
    fleet.run_ms(5_000);
    for viewer in &rest {
        fleet.give_list_to(*viewer, &marked);
    }
    fleet.run_ms(5_000);
    assert!(fleet.all_see(&rest, 3, MemberState::Alive));
}

#[test]
fn unlisted_vm_joins_by_one_seed() {
    // A new VM isn't on anybody's list yet and knows one seed. It has to learn
    // all members from the seed's table and become alive for all.
    let mut fleet = Fleet::settled(48, 11, 2);
    fleet.start(60);
    fleet.give_list_to(60, &list([5], 1));
    let all = fleet.numbers();
    fleet.run_until(10_000, |fleet| fleet.agree_on(&all));
    fleet.run_until(10_000, |fleet| fleet.agree_on_owners(&all));
}

#[test]
fn forgotten_member_is_not_revived_by_an_old_rumour() {
    // A VM died and was forgotten. A VM that slept through it wakes and still
    // tells that the dead one is alive.
    let mut fleet = Fleet::new(12, 1);
    fleet.settings.forget_ms = 20_000;
    for number in 0..8 {
        fleet.start(number);
    }
    for number in 0..8 {
        fleet.give_list_to(number, &list((0..8).filter(|seed| *seed != 3), 1));
    }
    fleet.run_ms(20_000);
    fleet.pause_ms(6, 60_000);
    fleet.crash(3);
    fleet.run_ms(50_000);
    let rest: Vec<usize> = vec![0, 1, 2, 4, 5, 7];
    assert!(rest.iter().all(|viewer| fleet.state(*viewer, &name(3)).is_none()), "forgotten");
    fleet.log.clear();
    fleet.run_ms(40_000);
    let revived = fleet.log.iter().filter(|(_, viewer, vm, _)| *viewer != 6 && *vm == name(3));
    assert_eq!(revived.count(), 0);
    assert!(fleet.agree_on(&fleet.numbers()));
}

#[test]
fn forgotten_member_is_not_revived_by_an_old_rumour_of_a_living_one() {
    // A VM died and was forgotten. A datagram of a VM that all believe in, sent
    // before the death and held up on its way, still says that it is alive.
    let mut fleet = Fleet::new(13, 1);
    fleet.settings.forget_ms = 20_000;
    for number in 0..4 {
        fleet.start(number);
    }
    for number in 0..4 {
        fleet.give_list_to(number, &list(0..3, 1));
    }
    fleet.run_until(10_000, |fleet| fleet.state(0, &name(3)) == Some(MemberState::Alive));
    fleet.crash(3);
    fleet.run_until(90_000, |fleet| fleet.state(0, &name(3)).is_none());
    deliver_old_rumour(&mut fleet, 0, 1, 3);
    assert_eq!(fleet.state(0, &name(3)), None);
}

#[test]
fn replaced_vm_is_not_put_back_by_an_old_rumour() {
    // A VM crashed and was started again at once. A datagram from before, held
    // up on its way, says that the old daemon is alive.
    let mut fleet = Fleet::new(14, 1);
    for number in 0..4 {
        fleet.start(number);
        fleet.give_list_to(number, &list(0..4, 1));
    }
    fleet.run_ms(10_000);
    fleet.start(3);
    fleet.give_list_to(3, &list(0..4, 1));
    let incarnation = |fleet: &Fleet| {
        let mut members = fleet.nodes[&0].membership.members();
        members.find(|member| member.vm.name == name(3)).map(|member| member.vm.incarnation)
    };
    let newer = vm(3, fleet.now_ms).incarnation;
    fleet.run_until(10_000, |fleet| incarnation(fleet) == Some(newer));
    deliver_old_rumour(&mut fleet, 0, 1, 3);
    assert_eq!(incarnation(&fleet), Some(newer));
}

/// Has a VM hear from another, in a datagram of old, that the first daemon of
/// a third one is alive.
fn deliver_old_rumour(fleet: &mut Fleet, to: usize, from: usize, about: usize) {
    let (teller, dead) = (vm(from, START_MS), vm(about, START_MS));
    let details = MemberDetails {
        data_centre: dead.data_centre,
        caller_address: dead.caller_address,
        peer_address: dead.peer_address,
        alive_ms: 10_000,
        capacity: 20,
    };
    let old_rumour = Update {
        name: dead.name,
        incarnation: dead.incarnation,
        refutation: 0,
        state: MemberState::Alive,
        details: Some(details),
    };
    let sender = Identity {
        name: teller.name,
        incarnation: teller.incarnation,
        refutation: 0,
        leaving: false,
        config_version: None,
        platform_age_ms: None,
    };
    let message = Message::Nack { sequence: 0 };
    let datagram = Datagram { sender, message, updates: vec![old_rumour] };
    let bytes = Codec::new("timeliten").encode(&datagram).unwrap();
    let now = fleet.now();
    let viewer = fleet.nodes.get_mut(&to).unwrap();
    viewer.membership.on_datagram(now, address(from), &bytes).unwrap();
}

#[test]
fn config_versions_travel_with_probes() {
    // One VM learns of a new configuration; every other must hear of the version
    // from whom it can pull it.
    let mut fleet = Fleet::settled(12, 13, 1);
    fleet.nodes.get_mut(&2).expect("VM 2 runs").membership.set_config_version(7);
    fleet.run_ms(8_000);
    for (number, node) in fleet.nodes.iter().filter(|(number, _)| **number != 2) {
        assert_eq!(node.config_versions, [(name(2), 7)], "seen by VM {number}");
    }
}

#[test]
fn datagrams_of_another_deployment_are_left_aside() {
    // Two deployments share a network, and a VM of one sits on an address that
    // the other's list still names.
    let now = Time::from_millis(1);
    let settings = MembershipSettings { deployment: "tlmocnik".into(), ..Default::default() };
    let mut stranger = Membership::new(now, vm(1, 0), settings, 1);
    stranger.on_vm_list(now, &list(0..2, 1));
    let pings = stranger.on_tick(now);
    let settings = MembershipSettings { deployment: "timeliten".into(), ..Default::default() };
    let mut ours = Membership::new(now, vm(0, 0), settings, 2);
    for ping in pings {
        if let pistachiotrack_core::membership::MembershipAction::Send { bytes, .. } = ping {
            assert_eq!(ours.on_datagram(now, address(1), &bytes), Ok(Vec::new()));
        }
    }
    assert_eq!(ours.members().count(), 0);
}
