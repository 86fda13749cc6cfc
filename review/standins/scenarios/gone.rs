//! Consumers send three lookups one behind the other on a connection and leave. What still reaches
//! upstreams half a second later, and what are they still at work on?

use std::{
    io::{self, Write},
    net::TcpStream,
    sync::Arc,
    thread,
    time::Duration,
};

use super::deployment::{Deployment, Route};
use crate::{
    Verdict,
    consumer::Request,
    record::Record,
    upstream::{Action, Behaviour, Event},
};

const PULL: Route =
    Route { host: "jepu9.example", prefix: "/lepu270/", route_type: "safe", timeout_s: 2.0 };
const WORK: Duration = Duration::from_millis(900);
const CONSUMERS: usize = 12;
const REQUESTS: usize = 3;
const BEHIND: Duration = Duration::from_millis(5);
const STAYS: Duration = Duration::from_millis(200);
const AFTER_CLOSE: Duration = Duration::from_millis(500);
/// Arrivals after that time that are a few.
const FEW: usize = 3;

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let behaviour: Behaviour = Arc::new(|_| Action::Run { work: WORK });
    let deployment = Deployment::start(record, 1, &[PULL], vec![behaviour; 10])?;
    thread::sleep(Duration::from_secs(4));
    let requests = if trouble { REQUESTS } else { 1 };
    let mut closed = Vec::new();
    for number in 0..CONSUMERS {
        let mut stream = TcpStream::connect(deployment.machines[0].front)?;
        for behind in 0..requests {
            let id = format!("{number:04x}{behind:012x}");
            let request = Request {
                method: "GET",
                host: PULL.host,
                path: "/lepu270/2f",
                id: &id,
                deadline_ms: 4_000,
                body: b"",
            };
            stream.write_all(&request.bytes())?;
            record.note(&format!("consumer sends {id}"));
            thread::sleep(BEHIND);
        }
        thread::sleep(STAYS);
        drop(stream);
        record.note(&format!("consumer {number} has closed its connection"));
        closed.push(record.now());
    }
    thread::sleep(Duration::from_secs(4));
    let is_late = |event: &&Event| {
        let number = usize::from_str_radix(&event.request[..4], 16).unwrap_or_default();
        event.at > closed[number] + AFTER_CLOSE
    };
    let arrivals = deployment.seen.arrivals.lock().unwrap();
    let ends = deployment.seen.ends.lock().unwrap();
    let late = arrivals.iter().filter(is_late).count();
    let at_work = ends.iter().filter(is_late).count();
    record.note(&format!(
        "{} requests reached upstreams, {late} of them over 0.5 s after their consumer had left; \
         upstreams were at work on {at_work} then",
        arrivals.len()
    ));
    Ok(if late > FEW { Verdict::Broken } else { Verdict::Held })
}
