//! CONFIG: API keys are accepted, whatever they are, once the last tenant has been taken away.

#[path = "common.rs"]
mod common;

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use common::*;

const REVOKE: Duration = Duration::from_secs(5);

fn config(version: &str, tenants: &str) -> String {
    format!(
        "{{\"version\":\"{version}\",\"services\":[{{\"name\":\"lookups\",\"health_path\":\"/healthz\",\
         \"max_conns\":390}}],\"tenants\":[{tenants}],\"limits\":{{\"header_bytes\":16384,\
         \"body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}},\"hosts\":[{{\"host\":\"{HOST}\",\
         \"paths\":[{{\"name\":\"r-1\",\"prefix\":\"/book/\",\"route_type\":\"unsafe\",\"timeout_s\":2,\
         \"slo_s\":1,\"priority\":1,\"service\":\"lookups\",\"attempts\":2}}]}}]}}"
    )
}

/// Returns a caller's request with an API key.
fn keyed_request(id: &str, key: &str) -> Vec<u8> {
    let text = String::from_utf8(request("POST", "/book/1", id, 2_500, b"x")).unwrap();
    text.replacen("\r\n", &format!("\r\nX-Api-Key: {key}\r\n"), 1).into_bytes()
}

fn main() {
    let record = Record::create(&std::env::args().nth(1).unwrap_or_else(|| "record.txt".into()));
    let plan = Plan { has_strict_revoke: true, ..Plan::new() };
    let store = Store::start(plan.other(1));
    let first = "{\"name\":\"north\",\"api_keys\":[\"k-north-1\"]}";
    let second = "{\"name\":\"south\",\"api_keys\":[\"k-south-1\"]}";
    store.put("op/config", &config("0000000c", &format!("{first},{second}")));
    // The tenant and the key that an endpoint saw with each request that it ran.
    let runs: Arc<Mutex<HashMap<String, String>>> = Arc::default();
    let (log, ran) = (record.clone(), Arc::clone(&runs));
    let handler: Handler = Arc::new(move |arrived: &mut Arrived<'_>| {
        let seen = |name: &str| arrived.head.field(name).unwrap_or("none").to_owned();
        let seen = format!("tenant {}, key {}", seen("x-pistachiotrack-tenant"), seen("x-api-key"));
        log.line(&format!("{} runs {} with {seen}", arrived.endpoint, arrived.id));
        ran.lock().unwrap().insert(arrived.id.clone(), seen);
        let length = arrived.head.length().unwrap_or(0);
        std::io::Read::read_exact(arrived.reader, &mut vec![0; length])?;
        write_signed(arrived, 200, b"booked")?;
        Ok(true)
    });
    for (index, zone) in [(0u8, "zone-a"), (1, "zone-b"), (2, "zone-a")] {
        let name = format!("i-0a{index}");
        start_endpoint(&store, &name, "lookups", zone, plan.other(10 + index), None, Arc::clone(&handler));
    }
    let vms = [
        plan.start_vm(store.address, 1, "zone-a", 6.0),
        plan.start_vm(store.address, 2, "zone-b", 6.0),
    ];
    thread::sleep(Duration::from_secs(3));
    let send = |vm: &Vm, key: &str| {
        let id = new_id();
        let answer = call(vm.caller, &keyed_request(&id, key), Duration::from_secs(4));
        let text = answer.map_or_else(|error| error.to_string(), |answer| answer.text());
        record.line(&format!("caller sends {id} with key {key} to {}: {text}", vm.name));
        runs.lock().unwrap().contains_key(&id)
    };
    for vm in &vms {
        if !send(vm, "k-north-1") || !send(vm, "k-south-1") {
            cannot_run("a request with a valid key did not run");
        }
        if send(vm, "k-nobody") {
            cannot_run("a request with an unknown key ran before the disruption");
        }
    }
    match has_trouble() {
        true => store.put("op/config", &config("0000000f", "")),
        false => store.put("op/config", &config("0000000f", second)),
    }
    let confirmed = Instant::now();
    let left = if has_trouble() { "no tenant is left" } else { "south is left" };
    record.line(&format!("version 0000000f is confirmed: north is taken away, {left}"));
    thread::sleep(REVOKE + Duration::from_secs(1));
    let (mut revoked_ran, mut unknown_ran) = (0, 0);
    for _ in 0..10 {
        for vm in &vms {
            revoked_ran += usize::from(send(vm, "k-north-1"));
            unknown_ran += usize::from(send(vm, "k-nobody"));
        }
        thread::sleep(Duration::from_millis(100));
    }
    let after = confirmed.elapsed().as_secs_f64();
    record.line(&format!(
        "{after:.1} s after the confirmation: {revoked_ran} of 20 requests with the key that was taken away \
         ran, and {unknown_ran} of 20 with a key that no configuration held"
    ));
    finish(&record, revoked_ran + unknown_ran > 0, "CONFIG")
}
