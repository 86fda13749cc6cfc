//! CONFIG: the endpoints of a service that the operator adds are missing for good.

#[path = "common.rs"]
mod common;

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use common::*;

const CONFIG_APPLY: Duration = Duration::from_secs(2);
/// Number of endpoints of the first service. Two releases replace half of them each, one at a time.
const ENDPOINTS: u8 = 14;
const REPLACED: u8 = ENDPOINTS;
const REPLACEMENT_GAP: Duration = Duration::from_secs(1);
/// Time for which an endpoint that drains still serves before it leaves.
const DRAIN: Duration = Duration::from_millis(2_500);
const ZONES: [&str; 4] = ["zone-a", "zone-b", "zone-a", "zone-b"];

/// Returns a version of the configuration. Service `orders` is either listed without a route, left
/// out, or listed with its route.
fn config(version: &str, has_orders: bool, has_route: bool) -> String {
    let service = |name: &str| format!("{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_conns\":390}}");
    let route = |name: &str, prefix: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"prefix\":\"{prefix}\",\"route_type\":\"unsafe\",\"timeout_s\":2,\
             \"slo_s\":1,\"priority\":1,\"service\":\"{name}\",\"attempts\":2}}"
        )
    };
    let mut services = vec![service("lookups")];
    let mut routes = vec![route("lookups", "/first/")];
    if has_orders {
        services.push(service("orders"));
    }
    if has_route {
        routes.push(route("orders", "/later/"));
    }
    format!(
        "{{\"version\":\"{version}\",\"services\":[{}],\"limits\":{{\"header_bytes\":16384,\
         \"body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}},\"hosts\":[{{\"host\":\"{HOST}\",\
         \"paths\":[{}]}}]}}",
        services.join(","),
        routes.join(",")
    )
}

fn main() {
    let record = Record::create(&std::env::args().nth(1).unwrap_or_else(|| "record.txt".into()));
    let plan = Plan::new();
    let store = Store::start(plan.other(1));
    // Without the disruption the first version has the service, and only its route is added later.
    store.put("op/config", &config("0000000c", !has_trouble(), false));
    let handler: Handler = Arc::new(|arrived: &mut Arrived<'_>| {
        thread::sleep(Duration::from_millis(20));
        write_signed(arrived, 200, b"done")?;
        Ok(true)
    });
    let start = |name: &str, service: &str, zone: &str, host: u8| {
        start_endpoint(&store, name, service, zone, plan.other(host), None, Arc::clone(&handler))
    };
    for index in 0..ENDPOINTS {
        start(&format!("i-0a{index:02}"), "lookups", ZONES[usize::from(index) % 4], 10 + index);
    }
    for index in 0..4u8 {
        start(&format!("i-0b{index}"), "orders", ZONES[usize::from(index)], 30 + index);
    }
    record.line(&format!("lookups has {ENDPOINTS} endpoints and orders has 4, which are registered"));
    let vms: Vec<Vm> = (1..=4u8)
        .map(|index| plan.start_vm(store.address, index, ZONES[usize::from(index) - 1], 6.0))
        .collect();
    thread::sleep(Duration::from_secs(4));
    // Planned work: the endpoints of lookups are replaced one after the other. The new one starts first,
    // the old one drains and leaves.
    let mut serving: VecDeque<(String, SocketAddr, &str)> = (0..ENDPOINTS)
        .map(|index| (format!("i-0a{index:02}"), plan.other(10 + index), ZONES[usize::from(index) % 4]))
        .collect();
    let mut leaving: VecDeque<(Instant, String)> = VecDeque::new();
    for step in 0..REPLACED {
        let (name, zone) = (format!("i-0c{step:02}"), ZONES[usize::from(step) % 4]);
        let address = start(&name, "lookups", zone, 40 + step);
        serving.push_back((name.clone(), address, zone));
        thread::sleep(Duration::from_millis(100));
        if let Some((old, address, zone)) = serving.pop_front() {
            register(&store, &old, "lookups", zone, address, "draining", 2);
            record.line(&format!("{name} of lookups starts, {old} drains"));
            leaving.push_back((Instant::now(), old));
        }
        thread::sleep(REPLACEMENT_GAP - Duration::from_millis(100));
        while let Some((_, left)) = leaving.pop_front_if(|(since, _)| since.elapsed() >= DRAIN) {
            store.remove(&format!("servers/{left}"));
            record.line(&format!("{left} has left"));
        }
    }
    store.put("op/config", &config("0000000f", true, true));
    let confirmed = Instant::now();
    record.line("version 0000000f is confirmed: the route /later/ of orders is added");
    // Until the change is in force, and as long again for the calm that the rule asks for.
    thread::sleep(2 * CONFIG_APPLY + Duration::from_secs(1));
    let (mut first, mut later) = (0, 0);
    const REQUESTS: usize = 40;
    for round in 0..REQUESTS {
        for (path, served) in [("/first/x", &mut first), ("/later/x", &mut later)] {
            let vm = &vms[round % vms.len()];
            let id = new_id();
            let bytes = request("POST", path, &id, 2_500, b"x");
            let answer = call(vm.caller, &bytes, Duration::from_secs(4));
            let text = match &answer {
                Ok(answer) => answer.text(),
                Err(error) => error.to_string(),
            };
            let is_served = answer.is_ok_and(|answer| answer.head.status() == 200 && answer.is_signed());
            *served += usize::from(is_served);
            let after = confirmed.elapsed().as_secs_f64();
            record.line(&format!("{path} {id} at {}, {after:.1} s after the confirmation: {text}", vm.name));
        }
        thread::sleep(Duration::from_millis(50));
    }
    record.line(&format!("served: {first} of {REQUESTS} on /first/, {later} of {REQUESTS} on /later/"));
    finish(&record, later * 4 < first, "CONFIG")
}
