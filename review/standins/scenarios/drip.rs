//! Two upstreams of fourteen fail a part of their requests: their answers begin and then come byte by
//! byte, without end. Are these requests ended at their route's `timeout_s`?

use std::{
    io,
    sync::{Arc, Mutex},
    time::Duration,
};

use super::{
    deployment::{Deployment, Random, Route},
    traffic::Traffic,
};
use crate::{
    Verdict,
    record::Record,
    upstream::{Action, Behaviour},
};

/// Route of calendar exports.
const PULL: Route =
    Route { host: "jepu9.example", prefix: "/lepu270/", route_type: "safe", timeout_s: 2.0 };
const MACHINES: u8 = 3;
const UPSTREAMS: usize = 14;
const FAILING: usize = 2;
const FAILING_SHARE: f64 = 0.45;
/// Start and end of the spells in which they fail, in seconds.
const SPELLS: [(f64, f64); 2] = [(6.0, 12.5), (20.0, 26.5)];
const LENGTH: Duration = Duration::from_secs(32);
const WORK: Duration = Duration::from_millis(200);
const BYTE_EACH: Duration = Duration::from_millis(500);
const TIMEOUT: Duration = Duration::from_secs(2);
const AFTER_TIMEOUT: Duration = Duration::from_millis(500);
/// Requests without a final answer half a second after the timeout that break the rule, which
/// must also be more than half of those that are unanswered at the timeout.
const LATE: usize = 8;

fn behaviour(record: &Record, seed: u64, fails: bool) -> Behaviour {
    let record = record.clone();
    let random = Mutex::new(Random(seed));
    Arc::new(move |_| {
        let now = record.now().as_secs_f64();
        let is_spell = fails && SPELLS.iter().any(|(start, end)| (*start..*end).contains(&now));
        if is_spell && random.lock().unwrap().next() < FAILING_SHARE {
            return Action::RunWithoutEnd { work: WORK, pause: BYTE_EACH };
        }
        Action::Run { work: WORK }
    })
}

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let seed = u64::from(std::process::id());
    let behaviours = (0..UPSTREAMS)
        .map(|index| behaviour(record, seed + index as u64, trouble && index < FAILING));
    let deployment = Deployment::start(record, MACHINES, &[PULL], behaviours.collect())?;
    let traffic = Traffic {
        consumers: 24,
        id_prefix: "",
        method: "GET",
        host: PULL.host,
        path: "/lepu270/2f",
        deadline_ms: 4_000,
        pause_s: (0.1, 0.5),
        until: LENGTH,
    };
    let sent = traffic.start(record, &deployment.machines).finish();
    let lasted = |limit| sent.iter().filter(move |sent| sent.ended_at - sent.sent_at > limit);
    let unanswered = lasted(TIMEOUT).count();
    let late: Vec<_> = lasted(TIMEOUT + AFTER_TIMEOUT).collect();
    record.note(&format!(
        "{} requests, {unanswered} unanswered at timeout_s, {} half a second later",
        sent.len(),
        late.len()
    ));
    for sent in &late {
        let after = (sent.ended_at - sent.sent_at).as_secs_f64();
        record.note(&format!("CONFIG: {} had no final answer after {after:.3} s", sent.request));
    }
    let is_broken = late.len() >= LATE && late.len() * 2 > unanswered;
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}
