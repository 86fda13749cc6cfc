//! The part of the fleet that a VM sees.

mod membership_fleet;

use membership_fleet::{Fleet, address};
use pistachiotrack_core::membership::VisibleFleet;

const VMS: usize = 9;
/// Time after which each VM has noticed the others' states.
const NOTICED_MS: u64 = 20_000;

fn seen_by(fleet: &Fleet, number: usize) -> VisibleFleet {
    fleet.nodes[&number].membership.visible_fleet()
}

/// Guards against the two sides of a partition that both take themselves for the whole fleet.
#[test]
fn a_side_of_a_partition_knows_of_the_other() {
    let mut fleet = Fleet::settled(VMS, 1, 1);
    fleet.partition(&[0, 1, 2, 3], &[4, 5, 6, 7, 8]);
    fleet.run_ms(NOTICED_MS);
    for number in 0..4 {
        let expected = VisibleFleet { live_vms: 4, known_vms: 9, has_joined: true };
        assert_eq!(seen_by(&fleet, number), expected, "VM {number}");
    }
}

/// Guards against a fleet that is made smaller and counts the VMs that have left as lost.
#[test]
fn vms_that_have_left_are_not_counted_but_crashed_ones_are() {
    let mut fleet = Fleet::settled(VMS, 2, 1);
    fleet.leave(8);
    fleet.run_ms(1_000);
    fleet.crash(8);
    fleet.crash(7);
    fleet.run_ms(NOTICED_MS);
    for number in fleet.numbers() {
        let expected = VisibleFleet { live_vms: 7, known_vms: 8, has_joined: true };
        assert_eq!(seen_by(&fleet, number), expected, "VM {number}");
    }
}

/// Guards against VMs that start in a partition and take their side for the whole fleet.
#[test]
fn vms_that_see_one_of_three_seeds_have_not_joined() {
    let mut fleet = Fleet::new(3, 1);
    fleet.settings.seeds = vec![address(0), address(1), address(8)];
    fleet.partition(&[0, 1, 2, 3], &[4, 5, 6, 7, 8]);
    for number in 0..VMS {
        fleet.start(number);
    }
    fleet.run_ms(NOTICED_MS);
    for number in 0..VMS {
        assert_eq!(seen_by(&fleet, number).has_joined, number < 4, "VM {number}");
    }
    fleet.unblock_all();
    fleet.run_ms(NOTICED_MS);
    for number in 0..VMS {
        let expected = VisibleFleet { live_vms: 9, known_vms: 9, has_joined: true };
        assert_eq!(seen_by(&fleet, number), expected, "VM {number}");
    }
}
