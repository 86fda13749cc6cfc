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
    meter::{cpu_us, cpu_us_with_setup, measure_heap},
    report::{Cost, Figure, Report},
    sample,
    scale::{self, Size},
};

/// Fleet sizes in VMs for the ownership and steering measurements.
const FLEETS: [usize; 6] = [12, 48, 192, 768, 2_400, 5_800];
/// Numbers of rules whose evaluation is measured.
const RULES: [usize; 5] = [217, 1_736, 6_944, 52_500, 210_000];

/// Adds all measurements of this module to the report.
pub(crate) fn measure(report: &mut Report) {
    measure_rules(report);
    measure_ownership(report);
    measure_ticks(report);
    measure_steering(report);
}

struct IdleServiceState;

impl ServiceState for IdleServiceState {
    fn service_at_floor(&self, _service: &str) -> bool {
        false
    }

    fn queue_wait_ms(&self, _service: &str) -> u64 {
        0
    }
}

/// Measures the time to decide a request that only the last rule of the list matches.
fn measure_rules(report: &mut Report) {
    let mut time_points = Vec::new();
    let mut heap_points = Vec::new();
    for routes in RULES {
        let customers = routes * 2;
        let shape = Size { routes, customers, endpoints: 40, ..scale::deployment() };
        let config = Arc::new(sample::config(shape));
        let (rules, heap_bytes) = measure_heap(|| RuleSet::of_config(Arc::clone(&config)));
        let customer = sample::customer_name(routes - 1);
        let request = RequestAttributes {
            customer: &customer,
            host: "host",
            method: "GET",
            path: "/calendar/v1/slots",
            headers: &[],
            class: Class::Interactive,
            service: None,
            data_centre: "oslo-1",
        };
        assert!(rules.decide(&request, &IdleServiceState).is_some(), "the last rule matches");
        let size = routes as f64;
        time_points.push(Point {
            size,
            value: cpu_us(|| rules.decide(&request, &IdleServiceState).is_some()),
        });
        heap_points.push(Point { size, value: heap_bytes });
    }
    let sizes = (scale::per_deployment(scale::ROUTES), scale::ROUTES);
    report.costs.push(Cost::new("rule.decide", "rules", "us", sizes, time_points));
    report.costs.push(Cost::new("rule.heap", "rules", "B", sizes, heap_points));
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
            is_cut_off: false,
        })
        .collect()
}

/// Computes the ownership among members that are settled.
fn compute_ownership(config: &Config, members: &[Member]) -> Ownership {
    let mut ownership = Ownership::new(sample::vm(0), OwnershipSettings::default());
    ownership.update(Time::ZERO, config, members.iter());
    ownership.update(Time::from_millis(60_000), config, members.iter());
    ownership
}

/// Measures the computation of one deployment's ownership for several fleet sizes.
fn measure_ownership(report: &mut Report) {
    let config = sample::config(scale::deployment());
    let mut first = Vec::new();
    let mut idle = Vec::new();
    let mut vm_lost = Vec::new();
    let mut heap_points = Vec::new();
    for vms in FLEETS {
        let size = vms as f64;
        let members = members(vms);
        let cost = OwnershipCost::measure(&config, &members);
        first.push(Point { size, value: cost.first_us });
        idle.push(Point { size, value: cost.idle_us });
        vm_lost.push(Point { size, value: cost.vm_lost_us });
        heap_points.push(Point { size, value: cost.heap_bytes });
    }
    let sizes = (scale::VMS_PER_DEPLOYMENT, scale::VMS);
    let costs = [("first", "us", first), ("idle", "us", idle), ("vm_lost", "us", vm_lost)];
    for (name, unit, points) in costs {
        report.costs.push(Cost::new(&format!("ownership.{name}"), "VMs", unit, sizes, points));
    }
    report.costs.push(Cost::new("ownership.heap", "VMs", "B", sizes, heap_points));
    report.figures.extend(single_deployment_ownership());
    report.figures.extend(shard_distribution(&config));
}

/// What computing the ownership costs a VM.
struct OwnershipCost {
    first_us: f64,
    idle_us: f64,
    vm_lost_us: f64,
    heap_bytes: f64,
}

impl OwnershipCost {
    fn measure(config: &Config, members: &[Member]) -> OwnershipCost {
        let (ownership, heap_bytes) = measure_heap(|| compute_ownership(config, members));
        let later = Time::from_millis(61_000);
        let mut idle = ownership.clone();
        let mut members_after_loss = members.to_vec();
        members_after_loss[0].state = MemberState::Dead;
        members_after_loss[0].since = later;
        let vm_lost_us = cpu_us_with_setup(
            || ownership.clone(),
            |ownership| ownership.update(later, config, members_after_loss.iter()),
        );
        OwnershipCost {
            first_us: cpu_us(|| compute_ownership(config, members)),
            idle_us: cpu_us(|| idle.update(later, config, members.iter())),
            vm_lost_us,
            heap_bytes,
        }
    }
}

/// Measures the ownership of all services by all VMs in a single deployment.
fn single_deployment_ownership() -> Vec<Figure> {
    let shape = Size { routes: 0, customers: 0, ..scale::single_deployment() };
    let config = sample::config(shape);
    let members = members(scale::VMS as usize);
    let cost = OwnershipCost::measure(&config, &members);
    vec![
        Figure::new("ownership.whole.first", "us", cost.first_us),
        Figure::new("ownership.whole.idle", "us", cost.idle_us),
        Figure::new("ownership.whole.vm_lost", "us", cost.vm_lost_us),
        Figure::new("ownership.whole.heap", "B", cost.heap_bytes),
    ]
}

/// Returns how evenly the shards of one deployment are distributed over its VMs.
fn shard_distribution(config: &Config) -> Vec<Figure> {
    let vms = scale::VMS_PER_DEPLOYMENT as usize;
    let ownership = compute_ownership(config, &members(vms));
    let mut shards = vec![0_u32; vms];
    for service in &config.services {
        for index in 0..shard_count(service) {
            let shard = ShardId { service: service.name.clone(), index };
            let owner = ownership.owner(&shard).expect("every shard has an owner");
            let owner_index = (0..vms).find(|vm| sample::vm(*vm).name == owner.name);
            shards[owner_index.expect("owners are members")] += 1;
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

/// Measures the work of the daemon's fleet timer at each tick and at each update of the ownership.
fn measure_ticks(report: &mut Report) {
    let config = sample::config(scale::deployment());
    let json = sample::json(&config);
    let mut tick_points = Vec::new();
    let mut publish_points = Vec::new();
    for vms in FLEETS {
        let size = vms as f64;
        let members = members(vms);
        let ownership = compute_ownership(&config, &members);
        let publish = || (ownership.clone(), members.clone());
        publish_points.push(Point { size, value: cpu_us(publish) });
        let settings = ConfigSyncSettings::default();
        let mut sync = ConfigSync::new(sample::vm(0), sample::deployment_name(), settings, 1);
        sync.on_platform_value(Time::ZERO, Some(&json));
        let now = Time::from_millis(1);
        tick_points.push(Point { size, value: cpu_us(|| sync.on_tick(now, members.iter())) });
    }
    let sizes = (scale::VMS_PER_DEPLOYMENT, scale::VMS);
    report.costs.push(Cost::new("spread.tick", "VMs", "us", sizes, tick_points));
    report.costs.push(Cost::new("view.publish", "VMs", "us", sizes, publish_points));
}

/// Measures the responses to callers that request entry addresses.
fn measure_steering(report: &mut Report) {
    let config = sample::config(scale::deployment());
    let this_vm = sample::vm(0);
    let service = sample::service_name(scale::deployment().services - 1);
    let mut points = Vec::new();
    for vms in FLEETS {
        let members = members(vms);
        let ownership = compute_ownership(&config, &members);
        let response =
            || steering::entries(&config, &ownership, &this_vm, members.iter(), &service);
        points.push(Point { size: vms as f64, value: cpu_us(response) });
    }
    let sizes = (scale::VMS_PER_DEPLOYMENT, scale::VMS);
    report.costs.push(Cost::new("steering.answer", "VMs", "us", sizes, points));
    let members = members(scale::VMS_PER_DEPLOYMENT as usize);
    let ownership = compute_ownership(&config, &members);
    let response = steering::entries(&config, &ownership, &this_vm, members.iter(), &service);
    let bytes = serde_json::to_vec(&response).expect("a response has only string keys").len();
    report.figures.push(Figure::new("steering.answer.bytes", "B", bytes as f64));
}
