//! MIXED: an answer with two framings reaches the caller cut short, and looks complete.

#[path = "common.rs"]
mod common;

use std::{
    collections::HashMap,
    io::Write,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use common::*;

const REQUESTS: usize = 400;
/// Endpoints that spoil answers: half of them.
const SPOILING: [&str; 2] = ["i-0a0", "i-0a1"];
/// One in so many of their answers is spoiled.
const SPOILED_ONE_IN: usize = 20;
/// Length that a spoiled answer announces beside its chunks.
const FALSE_LENGTH: usize = 40;

/// Returns the body of an endpoint's answer.
fn body(id: &str) -> Vec<u8> {
    format!("roster of {id}: ").repeat(12).into_bytes()
}

fn main() {
    let record = Record::create(&std::env::args().nth(1).unwrap_or_else(|| "record.txt".into()));
    let plan = Plan::new();
    let store = Store::start(plan.other(1));
    store.put(
        "op/config",
        &format!(
            "{{\"version\":\"0000000c\",\"services\":[{{\"name\":\"lookups\",\"health_path\":\"/healthz\",\
             \"max_conns\":390}}],\"limits\":{{\"header_bytes\":16384,\"body_bytes\":67108864,\
             \"header_timeout_s\":3,\"idle_timeout_s\":15}},\"hosts\":[{{\"host\":\"{HOST}\",\"paths\":[\
             {{\"name\":\"r-1\",\"prefix\":\"/roster/\",\"route_type\":\"safe\",\"timeout_s\":2,\"slo_s\":1,\
             \"priority\":1,\"service\":\"lookups\",\"attempts\":2}}]}}]}}"
        ),
    );
    let answers = Arc::new(AtomicUsize::new(0));
    let spoiled: Arc<Mutex<HashMap<String, usize>>> = Arc::default();
    let (log, count, ids) = (record.clone(), Arc::clone(&answers), Arc::clone(&spoiled));
    let handler: Handler = Arc::new(move |arrived: &mut Arrived<'_>| {
        thread::sleep(Duration::from_millis(10));
        let body = body(&arrived.id);
        let spoils = has_trouble()
            && SPOILING.contains(&arrived.endpoint)
            && count.fetch_add(1, Ordering::Relaxed) % SPOILED_ONE_IN == SPOILED_ONE_IN - 1;
        if !spoils {
            write_signed(arrived, 200, &body)?;
            return Ok(true);
        }
        *ids.lock().unwrap().entry(arrived.id.clone()).or_default() += 1;
        log.line(&format!(
            "{} answers {} with {} bytes in chunks, and a Content-Length of {FALSE_LENGTH}",
            arrived.endpoint,
            arrived.id,
            body.len()
        ));
        let mut bytes = format!(
            "HTTP/1.1 200 OK\r\nX-Pistachiotrack-Request-Id: {}\r\nX-Pistachiotrack-Server-Signature: {}.{}\r\n\
             Content-Length: {FALSE_LENGTH}\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n",
            arrived.id,
            arrived.endpoint,
            arrived.id,
            body.len()
        )
        .into_bytes();
        bytes.extend_from_slice(&body);
        bytes.extend_from_slice(b"\r\n0\r\n\r\n");
        arrived.writer.write_all(&bytes)?;
        Ok(true)
    });
    for (index, zone) in [(0u8, "zone-a"), (1, "zone-b"), (2, "zone-a"), (3, "zone-b")] {
        let name = format!("i-0a{index}");
        start_endpoint(&store, &name, "lookups", zone, plan.other(10 + index), None, Arc::clone(&handler));
    }
    let vms = [
        plan.start_vm(store.address, 1, "zone-a", 6.0),
        plan.start_vm(store.address, 2, "zone-b", 6.0),
    ];
    thread::sleep(Duration::from_secs(3));
    let (mut whole, mut cut, mut failed) = (0, 0, 0);
    for number in 0..REQUESTS {
        let vm = &vms[number % vms.len()];
        let id = new_id();
        let answer = call(vm.caller, &request("GET", "/roster/7", &id, 2_000, b""), Duration::from_secs(4));
        match answer {
            Ok(answer) if answer.head.status() == 200 && answer.body == body(&id) => whole += 1,
            Ok(answer) if answer.head.status() == 200 => {
                cut += 1;
                let wanted = body(&id).len();
                record.line(&format!("caller gets {} for {id}, complete; it has {wanted} bytes", answer.text()));
            }
            Ok(answer) => {
                failed += 1;
                record.line(&format!("caller gets {} for {id}", answer.text()));
            }
            Err(error) => {
                failed += 1;
                record.line(&format!("caller gets no whole answer for {id}: {error}"));
            }
        }
    }
    record.line(&format!(
        "{REQUESTS} requests sent: {whole} answered whole, {cut} with a success that was cut short and looks \
         complete, {failed} failed; {} answers were spoiled",
        spoiled.lock().unwrap().values().sum::<usize>()
    ));
    finish(&record, cut > 0, "MIXED")
}
