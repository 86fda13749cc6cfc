//! Configuration distribution under random faults, checked against a simple oracle.

mod config_support;

use std::{collections::BTreeMap, time::Duration};

use config_support::{Sizes, config, fleet::Fleet, json};
use pistachiotrack_core::{config::Config, config_sync::ConfigSyncSettings};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const VMS: u32 = 7;
const DATA_CENTRES: u32 = 3;
const SIZES: Sizes = Sizes { data_centres: 3, services: 2, endpoints: 8, customers: 3, rules: 4 };

#[derive(Clone, Copy, Debug)]
enum Step {
    Publish {
        jump: u8,
        edit: u8,
    },
    PublishInvalid {
        jump: u8,
    },
    /// The same version with different content.
    PublishConflict {
        edit: u8,
    },
    /// The platform returns to an earlier value.
    Stale {
        back: u8,
    },
    PlatformDown(bool),
    Cut {
        vm: u8,
        cut: bool,
    },
    /// VMs in different partitions can't communicate.
    Partition {
        sides: u8,
    },
    Loss(bool),
    Duplicate(bool),
    Corrupt(bool),
    Pause {
        vm: u8,
        paused: bool,
    },
    Restart {
        vm: u8,
    },
    Run {
        tenths: u8,
    },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let (a, b, on) = (u8::arbitrary(g), u8::arbitrary(g), bool::arbitrary(g));
        match u8::arbitrary(g) % 20 {
            0..4 => Step::Publish { jump: a % 3, edit: b },
            4 => Step::PublishInvalid { jump: a % 3 },
            5 => Step::PublishConflict { edit: b },
            6 => Step::Stale { back: a % 4 },
            7 => Step::PlatformDown(on),
            8 => Step::Cut { vm: a, cut: on },
            9 => Step::Partition { sides: a },
            10 => Step::Loss(on),
            11 => Step::Duplicate(on),
            12 => Step::Corrupt(on),
            13 => Step::Pause { vm: a, paused: on },
            14 => Step::Restart { vm: a },
            _ => Step::Run { tenths: a },
        }
    }
}

/// What was published: all valid contents by version, and all values in order.
struct Publications {
    valid_contents: BTreeMap<u64, Vec<Config>>,
    shown_values: Vec<(u64, Vec<u8>)>,
    newest: u64,
}

fn edited(version: u64, edit: u8) -> Config {
    let mut config = config(version, SIZES);
    let endpoints = &mut config.services[edit as usize % 2].endpoints;
    endpoints[0].slots += u32::from(edit);
    endpoints[1].leaving = edit.is_multiple_of(3);
    if edit.is_multiple_of(2) {
        config.rules.swap(0, edit as usize % 4);
    }
    if edit.is_multiple_of(5) {
        config.rules.remove(1);
    }
    config
}

impl Publications {
    fn publish(&mut self, fleet: &mut Fleet, config: Config) {
        self.newest = self.newest.max(config.version);
        self.show(fleet, config.version, json(&config));
        self.valid_contents.entry(config.version).or_default().push(config);
    }

    fn show(&mut self, fleet: &mut Fleet, version: u64, value: Vec<u8>) {
        self.shown_values.push((version, value.clone()));
        fleet.platform.value = Some((version, value));
    }

    fn apply(&mut self, fleet: &mut Fleet, step: Step) {
        let vm = |vm: u8| usize::from(vm) % VMS as usize;
        match step {
            Step::Publish { jump, edit } => {
                self.publish(fleet, edited(self.newest + 1 + u64::from(jump), edit));
            }
            Step::PublishInvalid { jump } => {
                let mut bad = edited(self.newest + 1 + u64::from(jump), jump);
                bad.services[0].floor = 99;
                self.newest = bad.version;
                self.show(fleet, bad.version, json(&bad));
            }
            Step::PublishConflict { edit } => self.publish(fleet, edited(self.newest, edit)),
            Step::Stale { back } => {
                let index = self.shown_values.len().saturating_sub(1 + usize::from(back));
                fleet.platform.value = self.shown_values.get(index).cloned();
            }
            Step::PlatformDown(down) => fleet.platform.down = down,
            Step::Cut { vm: index, cut } => fleet.nodes[vm(index)].is_cut_from_platform = cut,
            Step::Partition { sides } => {
                for (index, node) in fleet.nodes.iter_mut().enumerate() {
                    node.partition = sides >> index & 1;
                }
            }
            Step::Loss(on) => fleet.loss_rate = if on { 0.4 } else { 0.0 },
            Step::Duplicate(on) => fleet.duplicate_rate = if on { 0.5 } else { 0.0 },
            Step::Corrupt(on) => fleet.corruption_rate = if on { 0.5 } else { 0.0 },
            Step::Pause { vm: index, paused } => fleet.nodes[vm(index)].paused = paused,
            Step::Restart { vm: index } => fleet.restart(vm(index)),
            Step::Run { tenths } => fleet.run(Duration::from_millis(100 * u64::from(tenths))),
        }
    }

    /// Asserts that versions only increase on each VM, and that everything activated was
    /// published with that version.
    fn verify(&self, fleet: &Fleet) {
        for node in &fleet.nodes {
            let versions: Vec<u64> = node.accepted.iter().map(|config| config.version).collect();
            assert!(versions.is_sorted_by(|old, new| old < new), "{}: {versions:?}", node.vm.name);
            assert_eq!(versions.last().copied(), node.sync.version());
            for config in &node.accepted {
                let published = &self.valid_contents[&config.version];
                assert!(
                    published.contains(config),
                    "{} activated {config:?}, which was never published",
                    node.vm.name
                );
            }
        }
    }
}

fn repair_all(fleet: &mut Fleet) {
    (fleet.loss_rate, fleet.duplicate_rate, fleet.corruption_rate) = (0.0, 0.0, 0.0);
    fleet.platform.down = false;
    for node in &mut fleet.nodes {
        (node.paused, node.is_cut_from_platform, node.partition) = (false, false, 0);
    }
}

/// A VM that stays behind, returns to an older version or activates content that was
/// never published routes by wrong rules. The faults come in any order: lost, delayed,
/// duplicated and corrupted messages, partitions, pauses, replaced VMs, and a platform
/// that is down or has a stale or invalid value.
#[test]
fn versions_only_increase_and_all_vms_converge() {
    fn property(seed: u64, steps: Vec<Step>) -> bool {
        let mut fleet = Fleet::new(VMS, DATA_CENTRES, ConfigSyncSettings::default(), seed);
        let mut publications =
            Publications { valid_contents: BTreeMap::new(), shown_values: Vec::new(), newest: 0 };
        publications.publish(&mut fleet, edited(1, 1));
        for step in steps {
            publications.apply(&mut fleet, step);
            publications.verify(&fleet);
        }
        repair_all(&mut fleet);
        let last = edited(publications.newest + 1, 200);
        publications.publish(&mut fleet, last.clone());
        let limit = Duration::from_secs(100);
        let converged = fleet.run_until(limit, |fleet| fleet.all_have(last.version));
        publications.verify(&fleet);
        converged.is_some() && fleet.nodes.iter().all(|it| **it.sync.config().unwrap() == last)
    }
    let rng = Gen::from_size_and_seed(40, 17);
    QuickCheck::new().rng(rng).tests(150).quickcheck(property as fn(u64, Vec<Step>) -> bool);
}

/// As above, without a further publication: while the platform is down, a version that
/// one VM has still reaches all others.
#[test]
fn a_version_that_one_vm_holds_reaches_all_without_the_platform() {
    fn property(seed: u64, steps: Vec<Step>) -> bool {
        let mut fleet = Fleet::new(VMS, DATA_CENTRES, ConfigSyncSettings::default(), seed);
        let mut publications =
            Publications { valid_contents: BTreeMap::new(), shown_values: Vec::new(), newest: 0 };
        publications.publish(&mut fleet, edited(1, 1));
        for step in steps {
            publications.apply(&mut fleet, step);
        }
        repair_all(&mut fleet);
        fleet.platform.down = true;
        fleet.run(Duration::from_secs(10));
        publications.verify(&fleet);
        let newest = fleet.nodes.iter().filter_map(|node| node.sync.version()).max();
        fleet.nodes.iter().all(|node| node.sync.version() == newest)
    }
    let rng = Gen::from_size_and_seed(40, 18);
    QuickCheck::new().rng(rng).tests(150).quickcheck(property as fn(u64, Vec<Step>) -> bool);
}
