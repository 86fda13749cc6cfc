//! An upstream sends, after a few of its answers, one answer more where the next one on the
//! connection is expected: a 421 with the ID of the earlier request. Does a booking run twice?

use std::{
    io,
    sync::{Arc, Mutex},
    time::Duration,
};

use super::{
    deployment::{BOOKING, Deployment},
    traffic::Traffic,
};
use crate::{
    Verdict,
    record::Record,
    upstream::{Action, Behaviour},
};

const LENGTH: Duration = Duration::from_secs(30);
const MACHINES: u8 = 2;
/// Time between the starts of two spells, and length of one.
const PERIOD_S: f64 = 9.0;
const EXTRA_S: f64 = 5.0;
/// Share of one upstream's answers in a spell that are followed by another.
const EXTRA_SHARE: f64 = 0.03;
const WORK: Duration = Duration::from_millis(60);

fn behaviour(record: &Record, sends_extra: bool) -> Behaviour {
    let counts = Arc::new(Mutex::new((0.0, 0.0, 0.0)));
    let record = record.clone();
    Arc::new(move |_| {
        let mut counts = counts.lock().unwrap();
        let (spell, answers, extra) = &mut *counts;
        let now = record.now().as_secs_f64();
        if !sends_extra || now % PERIOD_S >= EXTRA_S {
            return Action::Run { work: WORK };
        }
        // The share holds within each spell.
        if *spell != (now / PERIOD_S).floor() {
            (*spell, *answers, *extra) = ((now / PERIOD_S).floor(), 0.0, 0.0);
        }
        *answers += 1.0;
        if *extra + 1.0 > *answers * EXTRA_SHARE {
            return Action::Run { work: WORK };
        }
        *extra += 1.0;
        Action::RunWithExtra { work: WORK }
    })
}

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let sound = || behaviour(record, false);
    let behaviours = vec![behaviour(record, trouble), sound(), sound(), sound()];
    let deployment = Deployment::start(record, MACHINES, &[BOOKING], behaviours)?;
    let traffic = Traffic {
        consumers: 12,
        id_prefix: "",
        method: "POST",
        host: BOOKING.host,
        path: "/xapu221/ny95/2f",
        deadline_ms: 2_500,
        pause_s: (0.02, 0.1),
        until: LENGTH,
    };
    let sent = traffic.start(record, &deployment.machines).finish();
    Ok(deployment.seen.verdict_on_runs(record, &sent))
}
