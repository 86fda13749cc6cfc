//! LOST: an upload whose endpoint reads slowly is broken off while a VM stops.

#[path = "common.rs"]
mod common;

use std::{
    io::{BufReader, Read, Write},
    net::TcpStream,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use common::*;

const BODY_BYTES: usize = 60_000;
const READ_PAUSE: Duration = Duration::from_millis(2_500);
const GRACE_S: f64 = 6.0;

fn main() {
    let record = Record::create(&std::env::args().nth(1).unwrap_or_else(|| "record.txt".into()));
    let plan = Plan::new();
    let store = Store::start(plan.other(1));
    store.put(
        "op/config",
        "{\"version\":\"0000000c\",\"services\":[{\"name\":\"surveys\",\"health_path\":\"/healthz\",\
         \"max_conns\":390}],\"limits\":{\"header_bytes\":16384,\"body_bytes\":67108864,\
         \"header_timeout_s\":3,\"idle_timeout_s\":15},\"hosts\":[{\"host\":\"jepu9.example\",\"paths\":[\
         {\"name\":\"r-1\",\"prefix\":\"/scan/\",\"route_type\":\"upload\",\"timeout_s\":10,\"slo_s\":3,\
         \"priority\":1,\"service\":\"surveys\",\"attempts\":2}]}]}",
    );
    // Times at which an endpoint began and ended to work on the upload.
    let worked: Arc<Mutex<Option<(Instant, Option<Instant>)>>> = Arc::default();
    let (log, times) = (record.clone(), Arc::clone(&worked));
    let handler: Handler = Arc::new(move |arrived: &mut Arrived<'_>| {
        let length = arrived.head.length().unwrap_or(0);
        let is_large = length == BODY_BYTES;
        let mut body = vec![0; length];
        if is_large {
            let begun = Instant::now();
            *times.lock().unwrap() = Some((begun, None));
            log.line(&format!("{} begins to work on {}", arrived.endpoint, arrived.id));
            arrived.reader.read_exact(&mut body[..2_000])?;
            if has_trouble() {
                log.line(&format!("{} reads no further for {READ_PAUSE:?}", arrived.endpoint));
                thread::sleep(READ_PAUSE);
            }
            if let Err(error) = arrived.reader.read_exact(&mut body[2_000..]) {
                log.line(&format!("{}: the rest of {} did not come: {error}", arrived.endpoint, arrived.id));
                return Ok(false);
            }
        } else {
            arrived.reader.read_exact(&mut body)?;
        }
        thread::sleep(Duration::from_millis(200));
        write_signed(arrived, 200, b"stored")?;
        if is_large {
            if let Some((_, ended)) = &mut *times.lock().unwrap() {
                *ended = Some(Instant::now());
            }
            log.line(&format!("{} answers {} with 200", arrived.endpoint, arrived.id));
        }
        Ok(true)
    });
    for (index, zone) in [(1u8, "zone-a"), (2, "zone-a"), (3, "zone-b"), (4, "zone-b")] {
        let address = plan.other(10 + index);
        // The platform's links have small windows.
        let buffer = Some(4_096);
        let name = format!("i-7f3a91c{index}");
        start_endpoint(&store, &name, "surveys", zone, address, buffer, Arc::clone(&handler));
    }
    let vm = plan.start_vm(store.address, 1, "zone-a", GRACE_S);
    let _second = plan.start_vm(store.address, 2, "zone-b", GRACE_S);
    thread::sleep(Duration::from_secs(3));
    for _ in 0..20 {
        let bytes = request("POST", "/scan/small", &new_id(), 20_000, b"small");
        match call(vm.caller, &bytes, Duration::from_secs(5)) {
            Ok(answer) if answer.head.status() == 200 => {}
            other => cannot_run(&format!("a small upload without disruption: {other:?}")),
        }
    }
    let id = new_id();
    let bytes = request("POST", "/scan/large", &id, 20_000, &vec![b's'; BODY_BYTES]);
    let mut stream = TcpStream::connect(vm.caller).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(12))).unwrap();
    stream.write_all(&bytes).unwrap();
    record.line(&format!("caller has sent upload {id}, {} bytes, to {}", bytes.len(), vm.name));
    thread::sleep(Duration::from_millis(300));
    if worked.lock().unwrap().is_none() {
        cannot_run("the upload did not reach an endpoint");
    }
    let stopped_at = Instant::now();
    vm.signal(SIGTERM);
    record.line(&format!("SIGTERM to {}", vm.name));
    let answer = read_answer(&mut BufReader::new(stream));
    let after = stopped_at.elapsed();
    match &answer {
        Ok(answer) => record.line(&format!("caller gets {} for {id}", answer.text())),
        Err(error) => record.line(&format!("caller gets no whole answer for {id}: {error}")),
    }
    thread::sleep(Duration::from_millis(1_500));
    let is_whole = answer.is_ok_and(|answer| answer.head.status() == 200 && answer.is_signed());
    let was_at_work = worked.lock().unwrap().is_some();
    // Not counted: an endpoint that is still at work in the last sixth of the grace.
    let in_grace = after < Duration::from_secs_f64(GRACE_S * 5.0 / 6.0);
    record.line(&format!("{:.3} s after SIGTERM, whole answer: {is_whole}", after.as_secs_f64()));
    finish(&record, !is_whole && was_at_work && in_grace, "LOST")
}
