//! Costs of the decisions that need no other VM: rules, ownership, steering.

use std::sync::Arc;

use pistachiotrack_core::{
    config::Config,
    config_sync::{ConfigSync, ConfigSyncSettings},
    membership::{Member, MemberState},
    ownership::{Ownership, OwnershipSettings, ShardId, shard_count},
    request::Class,
    rule::{RequestAttributes, RuleSet, ServiceState},
    steering,
    time::Time,
};

use super::{
    fit::Point,
    meter::{cpu_us, cpu_us_on, heap},
    report::{Cost, Figure, Report},
    sample,
    scale::{self, Size},
};

/// Fleet sizes of the ownership and steering measurements.
const FLEETS: [usize; 6] = [12, 48, 192, 768, 2_400, 5_800];
/// Rules of the largest list that is measured.
const RULES: [usize; 5] = [217, 1_736, 6_944, 52_500, 210_000];

/// Measures all of them.
pub(crate) fn measure(report: &mut Report) {
    rules(report);
    ownership(report);
    ticks(report);
    steering_answers(report);
}

struct QuietFacts;

impl ServiceState for QuietFacts {
    fn service_at_floor(&self, _service: &str) -> bool {
        false
    }

    fn queue_wait_ms(&self, _service: &str) -> u64 {
        0
    }
}

/// Time to decide a request whose rule is the last of its list.
fn rules(report: &mut Report) {
    let mut time = Vec::new();
    let mut held = Vec::new();
    for routes in RULES {
        let customers = routes * 2;
        let shape = Size { routes, customers, endpoints: 40, ..scale::deployment() };
        let config = Arc::new(sample::config(shape));
        let (rules, heap_bytes) = heap(|| RuleSet::of_config(Arc::clone(&config)));
        let customer = sample::customer_name(routes - 1);
        let subject = RequestAttributes {
            customer: &customer,
            host: "host",
            method: "GET",
            path: "/calendar/v1/slots",
            headers: &[],
            class: Class::Interactive,
            service: None,
            data_centre: "oslo-1",
        };
        assert!(rules.decide(&subject, &QuietFacts).is_some(), "the last rule matches");
        let size = routes as f64;
        time.push(Point { size, value: cpu_us(|| rules.decide(&subject, &QuietFacts).is_some()) });
        held.push(Point { size, value: heap_bytes });
    }
    let sizes = (scale::share(scale::ROUTES), scale::ROUTES);
    report.costs.push(Cost::new("rule.decide", "rules", "us", sizes, time));
    report.costs.push(Cost::new("rule.heap", "rules", "B", sizes, held));
}

/// Returns members that are all alive.
fn members(count: usize) -> Vec<Member> {
    (1..count)
        .map(|index| Member {
            vm: sample::vm(index),
            state: MemberState::Alive,
            since: Time::ZERO,
            config_version: Some(1),
            last_platform_response: None,
        })
        .collect()
}

/// Works out all owners among VMs that have long been alive.
fn update(config: &Config, members: &[Member]) -> Ownership {
    let mut ownership = Ownership::new(sample::vm(0), OwnershipSettings::default());
    ownership.update(Time::ZERO, config, members.iter());
    ownership.update(Time::from_millis(60_000), config, members.iter());
    ownership
}

/// Working out the owners of one deployment's shards, against its VMs.
fn ownership(report: &mut Report) {
    let config = sample::config(scale::deployment());
    let mut first = Vec::new();
    let mut idle = Vec::new();
    let mut lost = Vec::new();
    let mut held = Vec::new();
    for vms in FLEETS {
        let size = vms as f64;
        let members = members(vms);
        let cost = OwnershipCost::of(&config, &members);
        first.push(Point { size, value: cost.first_us });
        idle.push(Point { size, value: cost.idle_us });
        lost.push(Point { size, value: cost.lost_us });
        held.push(Point { size, value: cost.heap_bytes });
    }
    let sizes = (scale::VMS_PER_DEPLOYMENT, scale::VMS);
    let costs = [("first", "us", first), ("idle", "us", idle), ("vm_lost", "us", lost)];
    for (name, unit, points) in costs {
        report.costs.push(Cost::new(&format!("ownership.{name}"), "VMs", unit, sizes, points));
    }
    report.costs.push(Cost::new("ownership.heap", "VMs", "B", sizes, held));
    report.figures.extend(whole_ownership());
    report.figures.extend(skew(&config));
}

/// What working out the owners costs a VM.
struct OwnershipCost {
    first_us: f64,
    idle_us: f64,
    lost_us: f64,
    heap_bytes: f64,
}

impl OwnershipCost {
    fn of(config: &Config, members: &[Member]) -> OwnershipCost {
        let (known, heap_bytes) = heap(|| update(config, members));
        let later = Time::from_millis(61_000);
        let mut idle = known.clone();
        let mut fewer = members.to_vec();
        fewer[0].state = MemberState::Dead;
        fewer[0].since = later;
        let lost_us =
            cpu_us_on(|| known.clone(), |known| known.update(later, config, fewer.iter()));
        OwnershipCost {
            first_us: cpu_us(|| update(config, members)),
            idle_us: cpu_us(|| idle.update(later, config, members.iter())),
            lost_us,
            heap_bytes,
        }
    }
}

/// Ownership of all services by all VMs in one membership, measured as it is.
fn whole_ownership() -> Vec<Figure> {
    let shape = Size { routes: 0, customers: 0, ..scale::whole() };
    let config = sample::config(shape);
    let members = members(scale::VMS as usize);
    let cost = OwnershipCost::of(&config, &members);
    vec![
        Figure::new("ownership.whole.first", "us", cost.first_us),
        Figure::new("ownership.whole.idle", "us", cost.idle_us),
        Figure::new("ownership.whole.vm_lost", "us", cost.lost_us),
        Figure::new("ownership.whole.heap", "B", cost.heap_bytes),
    ]
}

/// How unevenly the shards of one deployment fall on its VMs.
fn skew(config: &Config) -> Vec<Figure> {
    let vms = scale::VMS_PER_DEPLOYMENT as usize;
    let ownership = update(config, &members(vms));
    let mut shards = vec![0_u32; vms];
    for service in &config.services {
        for index in 0..shard_count(service) {
            let shard = ShardId { service: service.name.clone(), index };
            let owner = ownership.owner(&shard).expect("every shard has an owner");
            let place = (0..vms).find(|vm| sample::vm(*vm).name == owner.name);
            shards[place.expect("owners are members")] += 1;
        }
    }
    let total: u32 = shards.iter().sum();
    let busiest = shards.iter().copied().max().unwrap_or(0);
    let idle = shards.iter().filter(|count| **count == 0).count();
    vec![
        Figure::new("ownership.shards", "shards", f64::from(total)),
        Figure::new("ownership.busiest_vm", "shards", f64::from(busiest)),
        Figure::new("ownership.vms_without_shard", "VMs", idle as f64),
    ]
}

/// What the fleet's timer does at each tick and at each update of the owners.
fn ticks(report: &mut Report) {
    let config = sample::config(scale::deployment());
    let json = sample::json(&config);
    let mut ticked = Vec::new();
    let mut published = Vec::new();
    for vms in FLEETS {
        let size = vms as f64;
        let members = members(vms);
        let ownership = update(&config, &members);
        let publish = || (ownership.clone(), members.clone());
        published.push(Point { size, value: cpu_us(publish) });
        let settings = ConfigSyncSettings::default();
        let mut sync = ConfigSync::new(sample::vm(0), sample::deployment_name(), settings, 1);
        sync.on_platform_value(Time::ZERO, Some(&json));
        let now = Time::from_millis(1);
        ticked.push(Point { size, value: cpu_us(|| sync.on_tick(now, members.iter())) });
    }
    let sizes = (scale::VMS_PER_DEPLOYMENT, scale::VMS);
    report.costs.push(Cost::new("spread.tick", "VMs", "us", sizes, ticked));
    report.costs.push(Cost::new("view.publish", "VMs", "us", sizes, published));
}

/// Answers to callers who ask which addresses to use.
fn steering_answers(report: &mut Report) {
    let config = sample::config(scale::deployment());
    let me = sample::vm(0);
    let service = sample::service_name(scale::deployment().services - 1);
    let mut points = Vec::new();
    for vms in FLEETS {
        let members = members(vms);
        let ownership = update(&config, &members);
        let answer = || steering::entries(&config, &ownership, &me, members.iter(), &service);
        points.push(Point { size: vms as f64, value: cpu_us(answer) });
    }
    let sizes = (scale::VMS_PER_DEPLOYMENT, scale::VMS);
    report.costs.push(Cost::new("steering.answer", "VMs", "us", sizes, points));
    let members = members(scale::VMS_PER_DEPLOYMENT as usize);
    let ownership = update(&config, &members);
    let answer = steering::entries(&config, &ownership, &me, members.iter(), &service);
    let bytes = serde_json::to_vec(&answer).expect("an answer has only string keys").len();
    report.figures.push(Figure::new("steering.answer.bytes", "B", bytes as f64));
}
