//! Random sequences of faults: after the faults end, all VMs agree on the live members and
//! the owners, and no invariant was violated before.

mod membership_fleet;

use membership_fleet::{Fleet, name, vm_list};
use pistachiotrack_core::{membership::MemberState, vm::Vm};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

const VMS: usize = 7;
/// Maximum time to agree on the members: a round of probes of dead members and the refutations
/// that it causes.
const AGREE_LIMIT_MS: u64 = 90_000;
/// Maximum time to agree on the owners: the longest hold-down of a flapping VM with a margin.
const OWNERS_LIMIT_MS: u64 = 90_000;

/// A fault, the end of one, or a period of time.
#[derive(Clone, Debug)]
enum Event {
    Crash(usize),
    Start(usize),
    Pause(usize, u64),
    Leave(usize),
    BlockOutgoing(usize),
    BlockIncoming(usize),
    BlockPath(usize, usize),
    Partition(u8),
    UnblockAll,
    Loss(u8),
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
            5 => Event::BlockOutgoing(vm(source)),
            6 => Event::BlockIncoming(vm(source)),
            7 => Event::BlockPath(vm(source), vm(source)),
            8 => Event::Partition(u8::arbitrary(source)),
            9 => Event::UnblockAll,
            10 => Event::Loss(u8::arbitrary(source) % 40),
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
            fleet.deliver_list_to(vm, &vm_list(0..VMS, 1));
        }
        Event::Pause(vm, gap_ms) => fleet.pause_ms(vm, gap_ms),
        Event::Leave(vm) => fleet.leave(vm),
        Event::BlockOutgoing(vm) => fleet.block(&[vm], &others(vm)),
        Event::BlockIncoming(vm) => fleet.block(&others(vm), &[vm]),
        Event::BlockPath(from, to) => fleet.block(&[from], &[to]),
        Event::Partition(mask) => {
            let (one, other): (Vec<usize>, Vec<usize>) =
                (0..VMS).partition(|vm| mask & (1 << vm) != 0);
            fleet.partition(&one, &other);
        }
        Event::UnblockAll => fleet.unblock_all(),
        Event::Loss(percent) => fleet.network.loss = f64::from(percent) / 100.0,
        Event::Delay(ms) => fleet.network.delay_ms = 1..u64::from(ms) + 2,
        Event::Duplicate => fleet.network.duplicate = 0.3,
        Event::StaleList(mask) => {
            let listed = (0..VMS).filter(|vm| mask & (1 << vm) != 0);
            fleet.deliver_list(&vm_list(listed, list_version));
        }
        Event::MarkLeaving(vm) => {
            let mut marked = vm_list(0..VMS, list_version);
            marked.vms[vm].leaving = true;
            fleet.deliver_list(&marked);
        }
        Event::Run(ms) => {
            for _ in 0..u64::from(ms) / membership_fleet::TICK_MS {
                fleet.step();
                check_owners_are_present(fleet);
            }
        }
    }
}

fn check_owners_are_present(fleet: &Fleet) {
    let shards = fleet.shards();
    for number in fleet.numbers().into_iter().filter(|number| fleet.is_running(*number)) {
        let node = &fleet.nodes[&number];
        for shard in &shards {
            let Some(owner) = node.ownership.owner(shard) else { continue };
            let state = fleet.state(number, &owner.name);
            let present = matches!(state, None | Some(MemberState::Alive | MemberState::Suspect));
            let alone = fleet.alive_seen_by(number).len() == 1;
            assert!(
                present || alone,
                "VM {number} considers {} the owner of {shard:?}: {state:?}",
                owner.name
            );
        }
    }
}

/// Ends all faults, stops leaving and superseded VMs, and delivers an up-to-date list.
fn end_faults(fleet: &mut Fleet, version: u64) {
    fleet.unblock_all();
    fleet.network = Default::default();
    for number in 0..VMS {
        let leaves = fleet.nodes.get(&number).is_some_and(|node| node.membership.is_leaving());
        let superseded =
            fleet.nodes.get(&number).is_none_or(|node| node.membership.is_superseded());
        if leaves || superseded {
            fleet.crash(number);
        }
    }
    fleet.run_ms(membership_fleet::TICK_MS);
    let running = fleet.numbers();
    fleet.deliver_list(&vm_list(running, version));
}

fn reaches_agreement(seed: u64, events: &[Event]) -> bool {
    let mut fleet = Fleet::settled(VMS, seed, 4);
    for (number, event) in events.iter().enumerate() {
        apply(&mut fleet, event, 2 + number as u64);
    }
    end_faults(&mut fleet, 1_000);
    let live = fleet.numbers();
    if !fleet.reaches(AGREE_LIMIT_MS, |fleet| fleet.agree_on(&live)) {
        for viewer in &live {
            println!("VM {viewer} sees {:?}", fleet.alive_seen_by(*viewer));
        }
        return false;
    }
    let owners = fleet.reaches(OWNERS_LIMIT_MS, |fleet| {
        fleet.agree_on(&live)
            && see_running_incarnations(fleet, &live)
            && fleet.agree_on_owners(&live)
    });
    if !owners {
        println!(
            "incarnations: {} owners: {}",
            see_running_incarnations(&fleet, &live),
            fleet.agree_on_owners(&live)
        );
    }
    owners && fleet.premature_gains.is_empty()
}

/// Returns whether all members considered alive are the running incarnations.
fn see_running_incarnations(fleet: &Fleet, live: &[usize]) -> bool {
    let running = |vm: &Vm| live.iter().any(|number| fleet.nodes[number].membership.me() == vm);
    live.iter().all(|viewer| {
        let members = fleet.nodes[viewer].membership.members();
        members
            .filter(|member| member.state == MemberState::Alive)
            .all(|member| running(&member.vm))
    })
}

#[test]
fn vms_agree_after_any_sequence_of_faults() {
    fn property(seed: u64, events: Vec<Event>) -> TestResult {
        if events.len() > 40 {
            return TestResult::discard();
        }
        TestResult::from_bool(reaches_agreement(seed, &events))
    }
    let source = Gen::from_size_and_seed(24, 7);
    QuickCheck::new()
        .rng(source)
        .tests(60)
        .quickcheck(property as fn(u64, Vec<Event>) -> TestResult);
}

#[test]
fn settled_fleet_has_no_state_changes() {
    // Without faults no VM may be suspected and no shard may move.
    let mut fleet = Fleet::settled(VMS, 1, 4);
    fleet.run_ms(120_000);
    assert!(fleet.state_changes.is_empty());
    assert!(fleet.alive_seen_by(0).contains(&name(VMS - 1)));
}
