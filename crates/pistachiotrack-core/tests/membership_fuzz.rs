//! Random histories of faults against a simple oracle: once the faults end, all
//! VMs agree on who lives and who owns what, and no rule was broken on the way.

mod membership_fleet;

use membership_fleet::{Fleet, list, name};
use pistachiotrack_core::{membership::MemberState, vm::Vm};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

const VMS: usize = 7;
/// Longest time to agree on the members: a round of probes of the dead and the
/// refutations that it sets off.
const AGREE_LIMIT_MS: u64 = 90_000;
/// Longest hold-down of a VM that flapped, with some room.
const OWNERS_LIMIT_MS: u64 = 90_000;

/// A fault or the end of one.
#[derive(Clone, Debug)]
enum Event {
    Crash(usize),
    Start(usize),
    Pause(usize, u64),
    Leave(usize),
    Mute(usize),
    Deafen(usize),
    BlockPath(usize, usize),
    Split(u8),
    Heal,
    Lose(u8),
    Delay(u16),
    Duplicate,
    StaleList(u8),
    MarkLeaving(usize),
    Run(u16),
}

impl Arbitrary for Event {
    fn arbitrary(source: &mut Gen) -> Event {
        let vm = |source: &mut Gen| usize::arbitrary(source) % VMS;
        match u8::arbitrary(source) % 20 {
            0 => Event::Crash(vm(source)),
            1 | 2 => Event::Start(vm(source)),
            3 => Event::Pause(vm(source), u64::arbitrary(source) % 40_000),
            4 => Event::Leave(vm(source)),
            5 => Event::Mute(vm(source)),
            6 => Event::Deafen(vm(source)),
            7 => Event::BlockPath(vm(source), vm(source)),
            8 => Event::Split(u8::arbitrary(source)),
            9 => Event::Heal,
            10 => Event::Lose(u8::arbitrary(source) % 40),
            11 => Event::Delay(u16::arbitrary(source) % 3_000),
            12 => Event::Duplicate,
            13 => Event::StaleList(u8::arbitrary(source)),
            14 => Event::MarkLeaving(vm(source)),
            _ => Event::Run(u16::arbitrary(source) % 20_000),
        }
    }
}

fn others(vm: usize) -> Vec<usize> {
    (0..VMS).filter(|other| *other != vm).collect()
}

fn apply(fleet: &mut Fleet, event: &Event, list_version: u64) {
    match *event {
        Event::Crash(vm) => fleet.crash(vm),
        Event::Start(vm) => {
            fleet.start(vm);
            fleet.give_list_to(vm, &list(0..VMS, 1));
        }
        Event::Pause(vm, gap_ms) => fleet.pause_ms(vm, gap_ms),
        Event::Leave(vm) => fleet.leave(vm),
        Event::Mute(vm) => fleet.block(&[vm], &others(vm)),
        Event::Deafen(vm) => fleet.block(&others(vm), &[vm]),
        Event::BlockPath(from, to) => fleet.block(&[from], &[to]),
        Event::Split(mask) => {
            let (one, other): (Vec<usize>, Vec<usize>) =
                (0..VMS).partition(|vm| mask & (1 << vm) != 0);
            fleet.split(&one, &other);
        }
        Event::Heal => fleet.heal(),
        Event::Lose(percent) => fleet.network.loss = f64::from(percent) / 100.0,
        Event::Delay(ms) => fleet.network.delay_ms = 1..u64::from(ms) + 2,
        Event::Duplicate => fleet.network.duplicate = 0.3,
        Event::StaleList(mask) => {
            let listed = (0..VMS).filter(|vm| mask & (1 << vm) != 0);
            fleet.give_list(&list(listed, list_version));
        }
        Event::MarkLeaving(vm) => {
            let mut marked = list(0..VMS, list_version);
            marked.vms[vm].leaving = true;
            fleet.give_list(&marked);
        }
        Event::Run(ms) => {
            for _ in 0..u64::from(ms) / membership_fleet::TICK_MS {
                fleet.step();
                check_owners_are_there(fleet);
            }
        }
    }
}

fn check_owners_are_there(fleet: &Fleet) {
    let shards = fleet.shards();
    for number in fleet.numbers().into_iter().filter(|number| fleet.is_running(*number)) {
        let node = &fleet.nodes[&number];
        for shard in &shards {
            let Some(owner) = node.ownership.owner(shard) else { continue };
            let state = fleet.state(number, &owner.name);
            let there = matches!(state, None | Some(MemberState::Alive | MemberState::Suspect));
            let alone = fleet.alive_seen_by(number).len() == 1;
            assert!(there || alone, "VM {number} has {} own {shard:?}: {state:?}", owner.name);
        }
    }
}

/// Ends all faults, replaces what leaves and gives everybody the right list.
fn end_faults(fleet: &mut Fleet, version: u64) {
    fleet.heal();
    fleet.network = Default::default();
    for number in 0..VMS {
        let leaves = fleet.nodes.get(&number).is_some_and(|node| node.membership.is_leaving());
        let gone = fleet.nodes.get(&number).is_none_or(|node| node.membership.is_superseded());
        if leaves || gone {
            fleet.crash(number);
        }
    }
    fleet.run_ms(membership_fleet::TICK_MS);
    let running = fleet.numbers();
    fleet.give_list(&list(running, version));
}

fn converges(seed: u64, events: &[Event]) -> bool {
    let mut fleet = Fleet::settled(VMS, seed, 4);
    for (number, event) in events.iter().enumerate() {
        apply(&mut fleet, event, 2 + number as u64);
    }
    end_faults(&mut fleet, 1_000);
    let live = fleet.numbers();
    if !fleet.settles(AGREE_LIMIT_MS, |fleet| fleet.agree_on(&live)) {
        for viewer in &live {
            println!("VM {viewer} sees {:?}", fleet.alive_seen_by(*viewer));
        }
        return false;
    }
    let owners = fleet.settles(OWNERS_LIMIT_MS, |fleet| {
        fleet.agree_on(&live) && sees_newest(fleet, &live) && fleet.agree_on_owners(&live)
    });
    if !owners {
        println!("newest: {} owners: {}", sees_newest(&fleet, &live), fleet.agree_on_owners(&live));
    }
    owners && fleet.hasty_gains.is_empty()
}

/// Whether all members held for alive are the daemons that run.
fn sees_newest(fleet: &Fleet, live: &[usize]) -> bool {
    let running = |vm: &Vm| live.iter().any(|number| fleet.nodes[number].membership.me() == vm);
    live.iter().all(|viewer| {
        let members = fleet.nodes[viewer].membership.members();
        members
            .filter(|member| member.state == MemberState::Alive)
            .all(|member| running(&member.vm))
    })
}

#[test]
fn any_history_of_faults_ends_in_agreement() {
    fn property(seed: u64, events: Vec<Event>) -> TestResult {
        if events.len() > 40 {
            return TestResult::discard();
        }
        TestResult::from_bool(converges(seed, &events))
    }
    let source = Gen::from_size_and_seed(24, 7);
    QuickCheck::new()
        .rng(source)
        .tests(60)
        .quickcheck(property as fn(u64, Vec<Event>) -> TestResult);
}

#[test]
fn settled_fleet_stays_still() {
    // Nothing fails. No VM may be suspected and no shard may move.
    let mut fleet = Fleet::settled(VMS, 1, 4);
    fleet.run_ms(120_000);
    assert!(fleet.log.is_empty());
    assert!(fleet.alive_seen_by(0).contains(&name(VMS - 1)));
}
