//! The store cuts the watches that wait, and just then the entry of an upstream is removed, which
//! never reported that it drains. Does the upstream still get requests after `drain_s`?

use std::{io, sync::Arc, thread, time::Duration};

use super::{
    deployment::{BOOKING, Deployment},
    traffic::Traffic,
};
use crate::{
    Verdict,
    record::Record,
    upstream::{Action, Behaviour},
};

const LENGTH: Duration = Duration::from_secs(24);
const MACHINES: u8 = 2;
const WORK: Duration = Duration::from_millis(160);
/// When the entry is removed.
const REMOVAL: Duration = Duration::from_secs(12);
/// `drain_s`.
const DRAIN: Duration = Duration::from_secs(2);
/// Time after the removal at which the upstream exits: `drain_s` and a little longer.
const EXIT: Duration = Duration::from_millis(2_400);

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let behaviour: Behaviour = Arc::new(|_| Action::Run { work: WORK });
    let deployment = Deployment::start(record, MACHINES, &[BOOKING], vec![behaviour; 4])?;
    let traffic = Traffic {
        consumers: 16,
        id_prefix: "",
        method: "POST",
        host: BOOKING.host,
        path: "/xapu221/ny95/2f",
        deadline_ms: 2_500,
        pause_s: (0.02, 0.1),
        until: LENGTH,
    };
    let consumers = traffic.start(record, &deployment.machines);
    thread::sleep(REMOVAL.saturating_sub(record.now()));
    if trouble {
        let mut cut = 0;
        while cut < usize::from(MACHINES) {
            thread::sleep(Duration::from_millis(2));
            cut = deployment.store.cut_waiting_watches(usize::from(MACHINES));
        }
        record.note(&format!("the store cuts {cut} waiting watches"));
        thread::sleep(Duration::from_millis(20));
    }
    let leaving = &deployment.upstreams[0];
    deployment.store.remove(&leaving.key());
    let removed = record.now();
    record.note(&format!("the store has removed the entry of {}", leaving.id));
    thread::sleep(EXIT);
    record.note(&format!("server {} exits", leaving.id));
    leaving.end();
    let sent = consumers.finish();
    let arrivals = deployment.seen.arrivals.lock().unwrap();
    let after = arrivals.iter().filter(|event| event.server == leaving.id && event.at > removed);
    let last = after.clone().map(|event| event.at - removed).max().unwrap_or_default();
    let late: Vec<_> = after.filter(|event| event.at > removed + DRAIN).collect();
    record.note(&format!(
        "the last request reached {} {:.3} s after the removal; {} came later than drain_s",
        leaving.id,
        last.as_secs_f64(),
        late.len()
    ));
    for event in &late {
        let after = (event.at - removed).as_secs_f64();
        let status = sent.iter().find(|sent| sent.request == event.request);
        let status = status.map_or(0, |sent| sent.status);
        record.note(&format!("DRAIN: {} after {after:.3} s, answered {status}", event.request));
    }
    Ok(if late.is_empty() { Verdict::Held } else { Verdict::Broken })
}
