//! LOST: the end of an answer is destroyed when its caller sends a further request late in a stop.

#[path = "common.rs"]
mod common;

use std::{
    io::{BufReader, Write},
    net::TcpStream,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use common::*;

const GRACE_S: f64 = 6.0;
/// Size of the answer: more than a caller's window holds.
const ANSWER_BYTES: usize = 200 * 1024;
/// Time after its first request at which the caller sends the second one, and begins to read.
const SECOND_AFTER: Duration = Duration::from_millis(2_000);
const READS_AFTER: Duration = Duration::from_millis(2_500);

fn main() {
    let record = Record::create(&std::env::args().nth(1).unwrap_or_else(|| "record.txt".into()));
    let plan = Plan::new();
    let store = Store::start(plan.other(1));
    store.put(
        "op/config",
        &format!(
            "{{\"version\":\"0000000c\",\"services\":[{{\"name\":\"plans\",\"health_path\":\"/healthz\",\
             \"max_conns\":390}}],\"limits\":{{\"header_bytes\":16384,\"body_bytes\":67108864,\
             \"header_timeout_s\":3,\"idle_timeout_s\":15}},\"hosts\":[{{\"host\":\"{HOST}\",\"paths\":[\
             {{\"name\":\"r-1\",\"prefix\":\"/plan/\",\"route_type\":\"safe\",\"timeout_s\":6,\"slo_s\":2.5,\
             \"priority\":1,\"service\":\"plans\",\"attempts\":2}}]}}]}}"
        ),
    );
    let log = record.clone();
    let handler: Handler = Arc::new(move |arrived: &mut Arrived<'_>| {
        log.line(&format!("{} runs {}", arrived.endpoint, arrived.id));
        thread::sleep(Duration::from_millis(300));
        write_signed(arrived, 200, &vec![b'p'; ANSWER_BYTES])?;
        log.line(&format!("{} has answered {} with {ANSWER_BYTES} bytes", arrived.endpoint, arrived.id));
        Ok(true)
    });
    for (index, zone) in [(0u8, "zone-a"), (1, "zone-b"), (2, "zone-a")] {
        let name = format!("i-0a{index}");
        start_endpoint(&store, &name, "plans", zone, plan.other(10 + index), None, Arc::clone(&handler));
    }
    let vm = plan.start_vm(store.address, 1, "zone-a", GRACE_S);
    let _second = plan.start_vm(store.address, 2, "zone-b", GRACE_S);
    thread::sleep(Duration::from_secs(3));
    let id = new_id();
    let mut stream = TcpStream::connect(vm.caller).unwrap();
    set_receive_buffer(&stream, 16 * 1024);
    stream.set_read_timeout(Some(Duration::from_secs(8))).unwrap();
    let sent = Instant::now();
    stream.write_all(&request("GET", "/plan/1", &id, 12_000, b"")).unwrap();
    record.line(&format!("caller sends {id} to {}, and doesn't read yet", vm.name));
    thread::sleep(Duration::from_millis(100));
    if has_trouble() {
        vm.signal(SIGTERM);
        record.line(&format!("SIGTERM to {}", vm.name));
    }
    thread::sleep(SECOND_AFTER.saturating_sub(sent.elapsed()));
    let second = new_id();
    let written = stream.write_all(&request("GET", "/plan/2", &second, 12_000, b""));
    record.line(&format!("caller sends {second} behind it: {written:?}"));
    thread::sleep(READS_AFTER.saturating_sub(sent.elapsed()));
    record.line("caller begins to read");
    let answer = read_answer(&mut BufReader::new(stream));
    let after = sent.elapsed();
    match &answer {
        Ok(answer) => record.line(&format!("caller gets {} for {id}", answer.text())),
        Err(error) => record.line(&format!("caller gets no whole answer for {id}: {error}")),
    }
    let is_whole = answer.is_ok_and(|answer| answer.head.status() == 200 && answer.body.len() == ANSWER_BYTES);
    let in_grace = after < Duration::from_secs_f64(GRACE_S * 5.0 / 6.0);
    record.line(&format!("{:.3} s after it was sent, whole answer: {is_whole}", after.as_secs_f64()));
    finish(&record, !is_whole && in_grace, "LOST")
}
