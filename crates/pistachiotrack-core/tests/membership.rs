//! Membership of a simulated fleet whose VMs crash, lose connectivity, pause, leave and return.

mod membership_fleet;

use membership_fleet::{Fleet, START_MS, address, name, vm, vm_list};
use pistachiotrack_core::{
    membership::{MemberState, Membership, MembershipSettings},
    message::{Codec, Datagram, Identity, MemberDetails, Message, Update},
    time::Time,
};

#[test]
fn fleet_converges_from_the_list_within_seconds() {
    // All VMs of a deployment start at once and know only the platform's list, which also
    // contains four VMs that don't exist any more.
    let mut fleet = Fleet::new(1, 3);
    for number in 0..48 {
        fleet.start(number);
    }
    fleet.deliver_list(&vm_list(0..52, 1));
    let all = fleet.numbers();
    assert!(fleet.alive_seen_by(0).len() == 1, "a VM isn't alive only because it is listed");
    fleet.run_until(8_000, |fleet| fleet.agree_on(&all));
    fleet.run_until(12_000, |fleet| fleet.all_see(&all, 50, MemberState::Dead));
    fleet.run_until(1_000, |fleet| fleet.agree_on_owners(&all));
}

#[test]
fn crash_is_detected_by_all() {
    // A VM crashes without leaving. Requests sent to it hang until the other VMs detect that,
    // so all of them have to within a bounded time.
    for seed in 0..5 {
        let mut fleet = Fleet::settled(48, seed, 3);
        fleet.crash(7);
        let others = fleet.numbers();
        fleet.run_until(15_000, |fleet| fleet.all_see(&others, 7, MemberState::Dead));
        fleet.run_until(1_000, |fleet| fleet.agree_on_owners(&others));
        assert!(fleet.agree_on(&others));
        assert!(
            fleet.state_changes.iter().all(|(_, _, vm, _)| *vm == name(7)),
            "only the crashed VM changes state"
        );
    }
}

#[test]
fn broken_path_between_two_vms_is_bridged_by_relays() {
    // A switch loses the datagrams from VM 3 to VM 5; all other paths work. Both VMs can serve
    // callers, so neither may lose its shards.
    let mut fleet = Fleet::settled(12, 2, 3);
    fleet.block(&[3], &[5]);
    fleet.run_ms(120_000);
    let all = fleet.numbers();
    assert!(fleet.agree_on(&all));
    let dead = fleet.state_changes.iter().filter(|(.., state)| *state == MemberState::Dead).count();
    assert_eq!(dead, 0);
    assert!(!fleet.nodes[&3].membership.is_direct(&name(5)), "the broken path is detected");
    assert!(fleet.nodes[&3].membership.is_direct(&name(6)));
}

#[test]
fn vm_that_can_only_receive_is_dead_and_does_not_flap() {
    // A VM receives all datagrams, but none that it sends arrive. Its refutations of its death
    // don't arrive either, so it must stay dead for all.
    let mut fleet = Fleet::settled(24, 3, 3);
    let others: Vec<usize> = (0..24).filter(|number| *number != 4).collect();
    fleet.block(&[4], &others);
    fleet.run_until(20_000, |fleet| fleet.all_see(&others, 4, MemberState::Dead));
    fleet.state_changes.clear();
    fleet.run_ms(180_000);
    assert!(fleet.all_see(&others, 4, MemberState::Dead));
    let flaps =
        fleet.state_changes.iter().filter(|(_, viewer, vm, _)| *viewer != 4 && *vm == name(4));
    assert_eq!(flaps.count(), 0);
    assert!(fleet.agree_on(&others));
    assert!(fleet.agree_on_owners(&others));
}

#[test]
fn vm_that_can_only_send_is_dead_and_its_suspicions_are_ignored() {
    // A VM's datagrams arrive, but it receives none, so it suspects all other VMs. The others
    // must not trust these suspicions for long, nor consider the VM alive because of its
    // datagrams.
    let mut fleet = Fleet::settled(24, 4, 3);
    let others: Vec<usize> = (0..24).filter(|number| *number != 4).collect();
    fleet.block(&others, &[4]);
    fleet.run_until(20_000, |fleet| fleet.all_see(&others, 4, MemberState::Dead));
    fleet.run_ms(5_000);
    fleet.state_changes.clear();
    fleet.run_ms(180_000);
    assert!(fleet.all_see(&others, 4, MemberState::Dead));
    let among_others = fleet.state_changes.iter().filter(|(_, viewer, ..)| *viewer != 4);
    assert_eq!(among_others.count(), 0, "neither flaps nor suspicions");
    assert!(!fleet.alive_seen_by(4).contains(&name(5)), "reachable in one direction only");
    fleet.unblock_all();
    let all = fleet.numbers();
    fleet.run_until(30_000, |fleet| fleet.agree_on(&all));
}

#[test]
fn resumed_vm_does_not_declare_others_dead() {
    // A VM is paused for a minute and declared dead. When it resumes, its socket contains
    // old datagrams and all its timers have expired. It must neither declare the others dead
    // nor take its old shards back at once.
    let mut fleet = Fleet::settled(24, 5, 6);
    let others: Vec<usize> = (0..24).filter(|number| *number != 4).collect();
    fleet.pause_ms(4, 60_000);
    fleet.run_until(20_000, |fleet| fleet.all_see(&others, 4, MemberState::Dead));
    fleet.run_ms(60_000 - 20_000);
    fleet.state_changes.clear();
    let all = fleet.numbers();
    let took_ms = fleet.run_until(40_000, |fleet| fleet.agree_on(&all));
    assert!(took_ms < 30_000);
    fleet.run_until(10_000, |fleet| fleet.agree_on_owners(&all));
    let declared_dead = fleet
        .state_changes
        .iter()
        .filter(|(.., vm, state)| *vm != name(4) && *state == MemberState::Dead);
    assert_eq!(declared_dead.count(), 0);
}

#[test]
fn partitioned_fleet_reconnects_without_the_list() {
    // The network partitions the fleet in two for three minutes; each side continues and is_owner
    // all shards. The platform's list is stale. After the partition heals, all VMs have to
    // reconnect with a bounded number of bytes.
    let mut fleet = Fleet::settled(24, 6, 6);
    let (one, other): (Vec<usize>, Vec<usize>) = (0..24).partition(|number| number % 2 == 0);
    fleet.partition(&one, &other);
    fleet.run_until(30_000, |fleet| fleet.agree_on(&one) && fleet.agree_on(&other));
    fleet.run_until(5_000, |fleet| fleet.agree_on_owners(&one) && fleet.agree_on_owners(&other));
    fleet.run_ms(180_000);
    fleet.unblock_all();
    let before: usize = fleet.nodes.values().map(|node| node.sent_bytes).sum();
    let all = fleet.numbers();
    let took_ms = fleet.run_until(30_000, |fleet| fleet.agree_on(&all));
    let sent: usize = fleet.nodes.values().map(|node| node.sent_bytes).sum::<usize>() - before;
    let per_vm_and_second = sent as u64 * 1000 / took_ms / 24;
    assert!(per_vm_and_second < 10_000, "{per_vm_and_second} bytes per VM and second");
    fleet.run_until(10_000, |fleet| fleet.agree_on_owners(&all));
}

#[test]
fn replacement_supersedes_the_paused_vm() {
    // The platform replaces a VM under the same name and address while the old one is only
    // paused. The old one resumes and sends again: it must be ignored and detect that it was
    // replaced.
    let mut fleet = Fleet::settled(12, 7, 3);
    let old = fleet.nodes.remove(&4).expect("VM 4 runs").membership;
    fleet.run_ms(2_000);
    fleet.start(4);
    fleet.deliver_list_to(4, &vm_list(0..12, 1));
    let all = fleet.numbers();
    let newest = fleet.nodes[&4].membership.me().incarnation;
    fleet.run_until(20_000, |fleet| {
        let sees_newest = |viewer: &usize| {
            let member = fleet.nodes[viewer].membership.member(&name(4));
            member.is_none_or(|member| {
                member.vm.incarnation == newest && member.state == MemberState::Alive
            })
        };
        all.iter().all(sees_newest)
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
fn leaving_vm_releases_its_shards_before_it_stops() {
    // A VM is stopped as planned. It announces this to several peers, and all others see it as
    // leaving within a few seconds, long before it stops; then it is declared dead.
    let mut fleet = Fleet::settled(48, 8, 6);
    fleet.leave(9);
    let all = fleet.numbers();
    fleet.run_until(4_000, |fleet| fleet.all_see(&all, 9, MemberState::Leaving));
    fleet.run_until(1_000, |fleet| fleet.agree_on_owners(&all));
    let is_owner = fleet.shards().iter().any(|shard| {
        fleet.nodes[&1].ownership.owner(shard).is_some_and(|owner| owner.name == name(9))
    });
    assert!(!is_owner);
    assert!(fleet.state_changes.iter().all(|(.., state)| *state == MemberState::Leaving));
    fleet.crash(9);
    let others = fleet.numbers();
    fleet.run_until(60_000, |fleet| fleet.all_see(&others, 9, MemberState::Dead));
}

#[test]
fn outdated_list_changes_no_states() {
    // The platform's list still contains a crashed VM and lacks a running one, and then an
    // older list is delivered. The probes decide.
    let mut fleet = Fleet::settled(8, 9, 2);
    fleet.crash(2);
    let others = fleet.numbers();
    fleet.run_until(15_000, |fleet| fleet.all_see(&others, 2, MemberState::Dead));
    fleet.state_changes.clear();
    fleet.deliver_list(&vm_list([0, 1, 2, 3, 4, 5, 6], 2));
    fleet.deliver_list(&vm_list([2], 1));
    fleet.run_ms(60_000);
    assert!(fleet.agree_on(&others), "unlisted VM 7 responds and is alive");
    assert!(fleet.all_see(&others, 2, MemberState::Dead));
    assert!(fleet.state_changes.is_empty());
}

#[test]
fn leaving_mark_applies_to_its_incarnation_only() {
    // The platform marks a VM as leaving, then replaces it; the outdated list still contains
    // the mark. The new VM must not inherit it.
    let mut fleet = Fleet::settled(8, 10, 2);
    let mut marked = vm_list(0..8, 2);
    marked.vms[3].leaving = true;
    fleet.deliver_list(&marked);
    let others: Vec<usize> = (0..8).filter(|number| *number != 3).collect();
    assert!(fleet.all_see(&others, 3, MemberState::Leaving));
    assert!(fleet.nodes[&3].membership.is_leaving());
    fleet.start(3);
    fleet.deliver_list_to(3, &vm_list(0..8, 1));
    fleet.run_ms(5_000);
    for viewer in &others {
        fleet.deliver_list_to(*viewer, &marked);
    }
    fleet.run_ms(5_000);
    assert!(fleet.all_see(&others, 3, MemberState::Alive));
}

#[test]
fn unlisted_vm_joins_through_one_seed() {
    // A new VM isn't on any list yet and knows one seed. It has to read all members from the
    // seed's table and become alive for all.
    let mut fleet = Fleet::settled(48, 11, 2);
    fleet.start(60);
    fleet.deliver_list_to(60, &vm_list([5], 1));
    let all = fleet.numbers();
    fleet.run_until(10_000, |fleet| fleet.agree_on(&all));
    fleet.run_until(10_000, |fleet| fleet.agree_on_owners(&all));
}

#[test]
fn removed_member_is_not_restored_by_a_resumed_vm() {
    // A VM died and was removed. A VM that was paused during this resumes and still has the dead
    // one as alive.
    let mut fleet = Fleet::new(12, 1);
    fleet.settings.forget_ms = 20_000;
    for number in 0..8 {
        fleet.start(number);
    }
    for number in 0..8 {
        fleet.deliver_list_to(number, &vm_list((0..8).filter(|seed| *seed != 3), 1));
    }
    fleet.run_ms(20_000);
    fleet.pause_ms(6, 60_000);
    fleet.crash(3);
    fleet.run_ms(50_000);
    let others: Vec<usize> = vec![0, 1, 2, 4, 5, 7];
    assert!(others.iter().all(|viewer| fleet.state(*viewer, &name(3)).is_none()), "forgotten");
    fleet.state_changes.clear();
    fleet.run_ms(40_000);
    let restored =
        fleet.state_changes.iter().filter(|(_, viewer, vm, _)| *viewer != 6 && *vm == name(3));
    assert_eq!(restored.count(), 0);
    assert!(fleet.agree_on(&fleet.numbers()));
}

#[test]
fn removed_member_is_not_restored_by_a_delayed_update() {
    // A VM died and was removed. A delayed datagram of a live, trusted VM, sent before the
    // death, still has it as alive.
    let mut fleet = Fleet::new(13, 1);
    fleet.settings.forget_ms = 20_000;
    for number in 0..4 {
        fleet.start(number);
    }
    for number in 0..4 {
        fleet.deliver_list_to(number, &vm_list(0..3, 1));
    }
    fleet.run_until(10_000, |fleet| fleet.state(0, &name(3)) == Some(MemberState::Alive));
    fleet.crash(3);
    fleet.run_until(90_000, |fleet| fleet.state(0, &name(3)).is_none());
    deliver_delayed_update(&mut fleet, 0, 1, 3);
    assert_eq!(fleet.state(0, &name(3)), None);
}

#[test]
fn replaced_incarnation_is_not_restored_by_a_delayed_update() {
    // A VM crashed and was restarted at once. A delayed datagram from before still has the old
    // incarnation as alive.
    let mut fleet = Fleet::new(14, 1);
    for number in 0..4 {
        fleet.start(number);
        fleet.deliver_list_to(number, &vm_list(0..4, 1));
    }
    fleet.run_ms(10_000);
    fleet.start(3);
    fleet.deliver_list_to(3, &vm_list(0..4, 1));
    let incarnation = |fleet: &Fleet| {
        let mut members = fleet.nodes[&0].membership.members();
        members.find(|member| member.vm.name == name(3)).map(|member| member.vm.incarnation)
    };
    let newer = vm(3, fleet.now_ms).incarnation;
    fleet.run_until(10_000, |fleet| incarnation(fleet) == Some(newer));
    deliver_delayed_update(&mut fleet, 0, 1, 3);
    assert_eq!(incarnation(&fleet), Some(newer));
}

/// Delivers a delayed datagram of `from` to `to` with an update that the first incarnation of
/// `about` is alive.
fn deliver_delayed_update(fleet: &mut Fleet, to: usize, from: usize, about: usize) {
    let (sender_vm, dead) = (vm(from, START_MS), vm(about, START_MS));
    let details = MemberDetails {
        data_centre: dead.data_centre,
        caller_address: dead.caller_address,
        peer_address: dead.peer_address,
        alive_ms: 10_000,
        capacity: 20,
    };
    let delayed_update = Update {
        name: dead.name,
        incarnation: dead.incarnation,
        refutation: 0,
        state: MemberState::Alive,
        details: Some(details),
    };
    let sender = Identity {
        name: sender_vm.name,
        incarnation: sender_vm.incarnation,
        refutation: 0,
        leaving: false,
        config_version: None,
        platform_age_ms: None,
    };
    let message = Message::Nack { sequence: 0 };
    let datagram = Datagram { sender, message, updates: vec![delayed_update] };
    let bytes = Codec::new("timeliten").encode(&datagram).unwrap();
    let now = fleet.now();
    let viewer = fleet.nodes.get_mut(&to).unwrap();
    viewer.membership.on_datagram(now, address(from), &bytes).unwrap();
}

#[test]
fn config_versions_are_reported_with_probes() {
    // One VM receives a new configuration; every other VM must get its version, together with
    // the VM from which it can pull the configuration.
    let mut fleet = Fleet::settled(12, 13, 1);
    fleet.nodes.get_mut(&2).expect("VM 2 runs").membership.set_config_version(7);
    fleet.run_ms(8_000);
    for (number, node) in fleet.nodes.iter().filter(|(number, _)| **number != 2) {
        assert_eq!(node.config_versions, [(name(2), 7)], "seen by VM {number}");
    }
}

#[test]
fn datagrams_of_another_deployment_are_ignored() {
    // Two deployments share a network, and a VM of one has an address that the other's list
    // still contains.
    let now = Time::from_millis(1);
    let settings = MembershipSettings { deployment: "tlmocnik".into(), ..Default::default() };
    let mut other_deployment = Membership::new(now, vm(1, 0), settings, 1);
    other_deployment.on_vm_list(now, &vm_list(0..2, 1));
    let pings = other_deployment.on_tick(now);
    let settings = MembershipSettings { deployment: "timeliten".into(), ..Default::default() };
    let mut ours = Membership::new(now, vm(0, 0), settings, 2);
    for ping in pings {
        if let pistachiotrack_core::membership::MembershipAction::Send { bytes, .. } = ping {
            assert_eq!(ours.on_datagram(now, address(1), &bytes), Ok(Vec::new()));
        }
    }
    assert_eq!(ours.members().count(), 0);
}

/// Guards against a VM that stays without work because its report that it reaches no endpoint
/// outlives it or is never taken back.
#[test]
fn a_report_of_a_vm_that_reaches_no_endpoint_reaches_all_and_expires() {
    let mut fleet = Fleet::settled(8, 5, 3);
    let seen = |fleet: &Fleet| {
        let others = fleet.nodes.iter().filter(|(number, _)| **number != 2);
        let marks = others.map(|(_, node)| node.membership.member(&name(2)).unwrap().is_cut_off);
        marks.filter(|is_cut_off| *is_cut_off).count()
    };
    fleet.set_cut_off(2, true);
    fleet.run_until(1_500, |fleet| seen(fleet) == 7);
    fleet.run_ms(10_000);
    assert_eq!(seen(&fleet), 7);
    fleet.set_cut_off(2, false);
    fleet.run_until(500, |fleet| seen(fleet) == 0);

    fleet.set_cut_off(2, true);
    fleet.run_until(1_500, |fleet| seen(fleet) == 7);
    fleet.crash(2);
    fleet.run_until(5_000, |fleet| seen(fleet) == 0);
}
