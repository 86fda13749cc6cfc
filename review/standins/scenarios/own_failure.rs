//! Two upstreams of fourteen fail a part of the bookings that they have run, with 503 and without
//! `X-Pistachiotrack-Not-Executed`. Is a consumer told by this status that its booking has not run?

use std::{
    io,
    sync::{Arc, Mutex},
    time::Duration,
};

use super::{
    deployment::{BOOKING, Deployment, Random},
    traffic::Traffic,
};
use crate::{
    Verdict,
    record::Record,
    upstream::{Action, Behaviour},
};

const LENGTH: Duration = Duration::from_secs(16);
const MACHINES: u8 = 2;
const UPSTREAMS: usize = 14;
const FAILING: usize = 2;
const FAILING_SHARE: f64 = 0.45;
/// Start and end of the spell in which they fail, in seconds.
const SPELL: (f64, f64) = (6.0, 12.5);
const WORK: Duration = Duration::from_millis(160);

fn behaviour(record: &Record, seed: u64, fails: bool) -> Behaviour {
    let record = record.clone();
    let random = Mutex::new(Random(seed));
    Arc::new(move |_| {
        let is_spell = fails && (SPELL.0..SPELL.1).contains(&record.now().as_secs_f64());
        match is_spell && random.lock().unwrap().next() < FAILING_SHARE {
            true => Action::RunAndFail { work: WORK },
            false => Action::Run { work: WORK },
        }
    })
}

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let seed = u64::from(std::process::id());
    let behaviours = (0..UPSTREAMS)
        .map(|index| behaviour(record, seed + index as u64, trouble && index < FAILING));
    let deployment = Deployment::start(record, MACHINES, &[BOOKING], behaviours.collect())?;
    let traffic = Traffic {
        consumers: 16,
        id_prefix: "",
        method: "POST",
        host: BOOKING.host,
        path: "/xapu221/ny95/2f",
        deadline_ms: 2_500,
        pause_s: (0.05, 0.3),
        until: LENGTH,
    };
    let sent = traffic.start(record, &deployment.machines).finish();
    Ok(deployment.seen.verdict_on_runs(record, &sent))
}
