//! Measurements of membership and ownership: `cargo bench -p pistachiotrack-core --bench
//! membership -- [NAME...]`; without a name, runs all of them.

#[path = "../tests/membership_fleet/mod.rs"]
mod membership_fleet;

use std::{
    collections::{BTreeMap, HashMap},
    time::Instant,
};

use membership_fleet::{Fleet, address, name, vm, vm_list};
use pistachiotrack_core::{
    membership::{Member, MemberState, Membership, MembershipAction, MembershipSettings},
    message::{Codec, Datagram, Identity, MemberDetails, Message, Update},
    name::Name,
    ownership::{Ownership, OwnershipSettings},
    time::Time,
};

/// Measurements by name.
const MEASUREMENTS: &[(&str, fn())] = &[
    ("detection_time_of_a_crash", detection_time_of_a_crash),
    ("false_deaths_under_loss", false_deaths_under_loss),
    ("bytes_of_whole_fleets", bytes_of_whole_fleets),
    ("bytes_of_one_vm_of_5800", bytes_of_one_vm_of_5800),
    ("cost_and_spread_of_ownership", cost_and_spread_of_ownership),
    ("time_of_disagreement_about_owners", time_of_disagreement_about_owners),
];
const SEEDS: u64 = 40;
const PACKET_HEADER_BYTES: usize = 28;

fn summary(values: &mut [u64]) -> String {
    values.sort_unstable();
    let median = values[values.len() / 2];
    let max = values[values.len() - 1];
    format!("median={median} max={max} n={}", values.len())
}

fn detection_time_of_a_crash() {
    for loss in [0.0, 0.2] {
        let (mut first, mut all) = (Vec::new(), Vec::new());
        for seed in 0..SEEDS {
            let mut fleet = Fleet::settled(48, seed, 1);
            fleet.network.loss = loss;
            fleet.run_ms(seed * 37 % 500);
            fleet.crash(7);
            let peers = fleet.numbers();
            let sees_dead = |fleet: &Fleet, viewer: &usize| {
                fleet.state(*viewer, &name(7)) == Some(MemberState::Dead)
            };
            let to_first = fleet
                .run_until(60_000, |fleet| peers.iter().any(|viewer| sees_dead(fleet, viewer)));
            let to_all = fleet
                .run_until(60_000, |fleet| peers.iter().all(|viewer| sees_dead(fleet, viewer)));
            first.push(to_first);
            all.push(to_first + to_all);
        }
        println!("crash vms=48 loss={loss} first_ms: {}", summary(&mut first));
        println!("crash vms=48 loss={loss} all_ms: {}", summary(&mut all));
    }
}

fn false_deaths_under_loss() {
    for loss in [0.05, 0.2, 0.3] {
        let mut fleet = Fleet::settled(48, 1, 1);
        fleet.network.loss = loss;
        fleet.run_ms(30 * 60 * 1000);
        let dead = fleet.state_changes.iter().filter(|(.., state)| *state == MemberState::Dead);
        let mut incidents: BTreeMap<Name, Vec<u64>> = BTreeMap::new();
        let mut views = 0;
        for (at, _, vm, _) in dead {
            views += 1;
            let seen = incidents.entry(vm.clone()).or_default();
            if seen.last().is_none_or(|last| at - last > 10_000) {
                seen.push(*at);
            }
        }
        let count: usize = incidents.values().map(Vec::len).sum();
        println!("false_deaths loss={loss} vm_hours=24 incidents={count} views={views}");
        let suspected =
            fleet.state_changes.iter().filter(|(.., state)| *state == MemberState::Suspect);
        println!("suspicions loss={loss} views={}", suspected.count());
    }
}

fn bytes_of_whole_fleets() {
    for count in [48, 480] {
        let mut fleet = Fleet::new(1, 1);
        for number in 0..count {
            fleet.start(number);
        }
        fleet.deliver_list(&vm_list(0..count, 1));
        let all = fleet.numbers();
        let took = fleet.run_until(120_000, |fleet| fleet.agree_on(&all));
        let total = |fleet: &Fleet| -> (usize, usize) {
            let sent = fleet.nodes.values().map(|node| node.sent_bytes).sum();
            (sent, fleet.nodes.values().map(|node| node.received_bytes).sum())
        };
        let start = total(&fleet);
        println!("start vms={count} agreed_ms={took} bytes_per_vm={}", (start.0 + start.1) / count);
        fleet.run_ms(60_000);
        let before = total(&fleet);
        fleet.run_ms(60_000);
        let after = total(&fleet);
        let per_vm = |bytes: usize| bytes / 60 / count;
        let (sent, received) = (per_vm(after.0 - before.0), per_vm(after.1 - before.1));
        println!("quiet vms={count} sent_per_s={sent} received_per_s={received}");
    }
}

/// Simulation of the other VMs of a fleet of 5,800, which respond with the real encoding.
struct SimulatedPeers {
    codec: Codec,
    count: usize,
    incarnations: HashMap<usize, u64>,
}

impl SimulatedPeers {
    fn identity(&self, number: usize) -> Identity {
        let incarnation = self.incarnations.get(&number).copied();
        Identity {
            name: name(number),
            incarnation: incarnation.unwrap_or(vm(number, 0).incarnation),
            refutation: 0,
            leaving: false,
            config_version: Some(7),
            platform_age_ms: None,
        }
    }

    fn update(&self, number: usize, state: MemberState, alive_ms: u32) -> Update {
        let identity = self.identity(number);
        let vm = vm(number, 0);
        Update {
            name: identity.name,
            incarnation: identity.incarnation,
            refutation: 0,
            state,
            details: Some(MemberDetails {
                data_centre: vm.data_centre,
                caller_address: vm.caller_address,
                peer_address: vm.peer_address,
                alive_ms,
                capacity: 20,
            }),
        }
    }

    fn datagram(&self, from: usize, message: Message, updates: Vec<Update>) -> Vec<u8> {
        let datagram = Datagram { sender: self.identity(from), message, updates };
        self.codec.encode(&datagram).expect("it fits")
    }

    fn respond(&self, number: usize, bytes: &[u8]) -> Option<Vec<u8>> {
        match self.codec.decode(bytes).expect("valid").message {
            Message::Ping { sequence, known_incarnation, .. } => {
                let known = known_incarnation == self.identity(number).incarnation;
                let update = (!known).then(|| self.update(number, MemberState::Alive, 3_600_000));
                Some(self.datagram(number, Message::Ack { sequence }, update.into_iter().collect()))
            }
            Message::TableRequest { after } => {
                let start = after.map_or(1, |after| {
                    after
                        .as_str()
                        .rsplit('-')
                        .next()
                        .expect("a number")
                        .parse::<usize>()
                        .expect("one")
                        + 1
                });
                let page = start..(start + 15).min(self.count);
                let next = (page.end < self.count).then(|| name(page.end - 1));
                let updates = page.map(|number| self.update(number, MemberState::Alive, 3_600_000));
                let updates = updates.collect();
                Some(self.datagram(number, Message::TablePage { next }, updates))
            }
            _ => None,
        }
    }
}

fn bytes_of_one_vm_of_5800() {
    let count = 5_800;
    let deployment = Name::from("timeliten");
    let mut peers =
        SimulatedPeers { codec: Codec::new(&deployment), count, incarnations: HashMap::new() };
    let settings = MembershipSettings { deployment, ..Default::default() };
    let mut now_ms = 1_000_000;
    let mut membership = Membership::new(Time::from_millis(now_ms), vm(0, 3_600_000), settings, 1);
    membership.set_config_version(7);
    let mut actions = membership.on_vm_list(Time::from_millis(now_ms), &vm_list(0..count, 1));
    let (mut sent, mut received, mut samples) = (0, 0, Vec::new());
    let mut events = 0;
    let mut cpu = std::time::Duration::ZERO;
    for tick in 0..20 * 60 * 15 {
        let now = Time::from_millis(now_ms);
        let started = Instant::now();
        actions.extend(membership.on_tick(now));
        cpu += started.elapsed();
        // The other VMs probe this one as often as it probes them.
        if tick % 10 == 0 {
            let prober = 1 + tick * 7 % (count - 1);
            let message = Message::Ping {
                sequence: tick as u32,
                target: name(0),
                known_incarnation: membership.me().incarnation,
            };
            let mut updates = Vec::new();
            // In the last third, restarts and crashes happen at the rate of 23,000 and 620 a
            // day, each with an update to leaving or dead and one to alive.
            if tick > 20 * 60 * 10 && tick % 70 == 0 {
                let changed = 1 + tick * 13 % (count - 1);
                let leaving =
                    if tick % 420 == 0 { MemberState::Dead } else { MemberState::Leaving };
                updates.push(Update { details: None, ..peers.update(changed, leaving, 0) });
                peers.incarnations.insert(changed, vm(changed, now_ms).incarnation);
                updates.push(peers.update(changed, MemberState::Alive, 10));
                events += 1;
            }
            let bytes = peers.datagram(prober, message, updates);
            received += bytes.len() + PACKET_HEADER_BYTES;
            let started = Instant::now();
            actions.extend(membership.on_datagram(now, address(prober), &bytes).expect("valid"));
            cpu += started.elapsed();
        }
        while let Some(action) = actions.pop() {
            let MembershipAction::Send { to, bytes } = action else { continue };
            sent += bytes.len() + PACKET_HEADER_BYTES;
            let number = (1..count).find(|number| address(*number) == to).expect("one of them");
            if let Some(response) = peers.respond(number, &bytes) {
                received += response.len() + PACKET_HEADER_BYTES;
                let started = Instant::now();
                actions.extend(membership.on_datagram(now, to, &response).expect("valid"));
                cpu += started.elapsed();
            }
        }
        now_ms += 50;
        if (tick + 1) % (20 * 60 * 5) == 0 {
            samples.push((sent, received, events, cpu));
        }
    }
    let alive = membership.members().filter(|member| member.state == MemberState::Alive).count();
    println!("one vm of {count}: alive={alive}");
    println!("join and 5 min: sent={} received={}", samples[0].0, samples[0].1);
    for (label, pair) in [("quiet", &samples[0..2]), ("churn", &samples[1..3])] {
        let sent = (pair[1].0 - pair[0].0) / 300;
        let received = (pair[1].1 - pair[0].1) / 300;
        let cpu_us = (pair[1].3 - pair[0].3).as_micros() / 300;
        let events = pair[1].2 - pair[0].2;
        println!(
            "{label} sent_per_s={sent} received_per_s={received} both_by_symmetry_per_s={} \
            events={events} cpu_us_per_s={cpu_us}",
            2 * sent
        );
    }
}

fn members(count: usize) -> Vec<Member> {
    (1..count)
        .map(|number| Member {
            vm: vm(number, 0),
            state: MemberState::Alive,
            since: Time::from_millis(1),
            config_version: None,
            last_platform_response: None,
            is_cut_off: false,
        })
        .collect()
}

fn cost_and_spread_of_ownership() {
    let config = membership_fleet::config(4_700);
    for count in [48, 480, 5_800] {
        let mut members = members(count);
        let mut ownership = Ownership::new(vm(0, 0), OwnershipSettings::default());
        let mut now_ms = 1_000_000;
        let mut timed = |label: &str, members: &[Member], after_ms: u64| {
            now_ms += after_ms;
            let started = Instant::now();
            let changes = ownership.update(Time::from_millis(now_ms), &config, members.iter());
            let took = started.elapsed().as_micros();
            println!("ownership vms={count} {label}_us={took} changes={}", changes.len());
        };
        timed("first", &members, 0);
        timed("all_settle", &members, 3_000);
        timed("no_change", &members, 100);
        timed("no_change", &members, 100);
        members[17].state = MemberState::Dead;
        timed("one_dies", &members, 100);
        members[17].vm.incarnation += 1;
        members[17].state = MemberState::Alive;
        members[17].since = Time::from_millis(1_003_300);
        timed("one_comes", &members, 100);
        timed("one_settles", &members, 60_000);
        let mut loads: HashMap<Name, usize> = HashMap::new();
        for service in &config.services {
            let shard =
                pistachiotrack_core::ownership::ShardId { service: service.name.clone(), index: 0 };
            let owner = ownership.owner(&shard).expect("an owner");
            *loads.entry(owner.name.clone()).or_default() += 1;
        }
        let max = loads.values().max().copied().unwrap_or(0);
        let mean = config.services.len() as f64 / count as f64;
        println!(
            "spread vms={count} shards=4700 max={max} mean={mean:.2} ratio={:.2} idle={}",
            max as f64 / mean,
            count - loads.len()
        );
    }
}

/// Returns for how long any two running VMs computed different owners within `ms`, and the
/// time of the last disagreement.
fn disagreement(fleet: &mut Fleet, ms: u64) -> (u64, u64) {
    let start = fleet.now_ms;
    let (mut total, mut last) = (0, 0);
    while fleet.now_ms < start + ms {
        fleet.step();
        let running: Vec<usize> =
            fleet.numbers().into_iter().filter(|number| fleet.is_running(*number)).collect();
        if !fleet.agree_on_owners(&running) {
            total += membership_fleet::TICK_MS;
            last = fleet.now_ms - start;
        }
    }
    (total, last)
}

fn time_of_disagreement_about_owners() {
    let kinds = ["crash", "restart", "join", "leave", "pause_10s"];
    for kind in kinds {
        let (mut totals, mut lasts) = (Vec::new(), Vec::new());
        for seed in 0..10 {
            let mut fleet = Fleet::settled(48, seed, 200);
            match kind {
                "crash" => fleet.crash(7),
                "restart" => {
                    fleet.start(7);
                    fleet.deliver_list_to(7, &vm_list(0..48, 1));
                }
                "join" => {
                    fleet.start(50);
                    fleet.deliver_list_to(50, &vm_list(0..48, 1));
                }
                "leave" => fleet.leave(7),
                _ => fleet.pause_ms(7, 10_000),
            }
            let (total, last) = disagreement(&mut fleet, 45_000);
            totals.push(total);
            lasts.push(last);
        }
        println!(
            "disagreement {kind} total_ms: {} last_ms: {}",
            summary(&mut totals),
            summary(&mut lasts)
        );
    }
}

fn main() {
    let selected: Vec<String> =
        std::env::args().skip(1).filter(|argument| !argument.starts_with("--")).collect();
    for (name, measure) in MEASUREMENTS {
        if selected.is_empty() || selected.iter().any(|selected| selected == name) {
            measure();
        }
    }
}
