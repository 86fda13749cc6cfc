//! A machine gets SIGHUP, and just after it two uploads arrive whose upstreams are silent for some
//! seconds in the middle of the answer. Do the consumers get the whole answers?

use std::{io, sync::Arc, thread, time::Duration};

use super::{
    deployment::{Deployment, Route},
    traffic::Traffic,
};
use crate::{
    Verdict,
    machine::SIGHUP,
    record::Record,
    upstream::{Action, Behaviour},
};

/// Route of uploads: its requests may run once at most and have 20 s.
const UPLOAD: Route = Route {
    host: "hulo84.example",
    prefix: "/xapu221/ny95/",
    route_type: "upload",
    timeout_s: 20.0,
};
const UPSTREAMS: usize = 5;
/// Work of most requests.
const WORK: Duration = Duration::from_millis(500);
/// First letter of the IDs of the few that take long.
const LONG: &str = "f";
const LONG_REQUESTS: usize = 2;
/// Their work until the answer begins, and the silence in the middle of the answer.
const BEFORE_ANSWER: Duration = Duration::from_millis(250);
const SILENCE: Duration = Duration::from_millis(11_000);
/// The silence without the disruption.
const SHORT_SILENCE: Duration = Duration::from_millis(3_250);
const SIGNAL_AT: Duration = Duration::from_secs(7);

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let pause = if trouble { SILENCE } else { SHORT_SILENCE };
    let behaviour: Behaviour = Arc::new(move |id| match id.starts_with(LONG) {
        true => Action::RunInTwoParts { work: BEFORE_ANSWER, pause },
        false => Action::Run { work: WORK },
    });
    let deployment = Deployment::start(record, 1, &[UPLOAD], vec![behaviour; UPSTREAMS])?;
    let usual = Traffic {
        consumers: 12,
        id_prefix: "",
        method: "POST",
        host: UPLOAD.host,
        path: "/xapu221/ny95/2f",
        deadline_ms: 20_000,
        pause_s: (0.1, 0.4),
        until: SIGNAL_AT,
    };
    let usual = usual.start(record, &deployment.machines);
    thread::sleep(SIGNAL_AT.saturating_sub(record.now()));
    deployment.machines[0].signal(SIGHUP);
    record.note(&format!("SIGHUP to {}", deployment.machines[0].name));
    let long = Traffic {
        consumers: LONG_REQUESTS,
        id_prefix: LONG,
        method: "POST",
        host: UPLOAD.host,
        path: "/xapu221/ny95/2f",
        deadline_ms: 20_000,
        pause_s: (0.1, 0.2),
        until: record.now() + Duration::from_millis(50),
    };
    let long = long.start(record, &deployment.machines).finish();
    let usual = usual.finish();
    record.note(&format!("{} requests, {} of them long", usual.len() + long.len(), long.len()));
    let lost: Vec<_> = usual.iter().chain(&long).filter(|sent| sent.status == 0).collect();
    for sent in &lost {
        let after = (sent.ended_at - sent.sent_at).as_secs_f64();
        record.note(&format!(
            "LOST: the connection of {} ended after {after:.3} s without a whole answer",
            sent.request
        ));
    }
    Ok(if lost.is_empty() { Verdict::Held } else { Verdict::Broken })
}
