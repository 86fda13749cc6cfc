//! Upstreams reject a part of the requests, and one sends a few of these answers a second time,
//! late. Does a booking run twice, or run though it was refused as not run?

use std::{
    collections::HashSet,
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

const LENGTH: Duration = Duration::from_secs(90);
const MACHINES: u8 = 2;
/// Time between the starts of two spells.
const PERIOD_S: f64 = 9.0;
/// Length of a spell in which answers come twice.
const EXTRA_S: f64 = 5.0;
/// Length of a spell in which requests are rejected.
const SHED_S: f64 = 8.5;
/// Share of the requests that are rejected in such a spell.
const SHED_SHARE: f64 = 0.3;
/// Share of one upstream's answers in a spell that come twice.
const EXTRA_SHARE: f64 = 0.03;
const WORK: Duration = Duration::from_millis(60);

/// Answers of an upstream in the present spell. The share holds within each spell: what one leaves
/// unused isn't carried over to the next.
#[derive(Default)]
struct Answers {
    spell: f64,
    all: f64,
    twice: f64,
    /// Requests that it has rejected.
    rejected: HashSet<String>,
}

/// Of the answers of a spell, the few that come twice are rejections of requests that the upstream
/// has rejected before.
fn behaviour(record: &Record, seed: u64, sends_twice: bool) -> Behaviour {
    let state = Arc::new(Mutex::new((Random(seed), Answers::default())));
    let record = record.clone();
    Arc::new(move |id| {
        let mut state = state.lock().unwrap();
        let (random, answers) = &mut *state;
        let now = record.now().as_secs_f64();
        let (spell, in_spell) = ((now / PERIOD_S).floor(), now % PERIOD_S);
        if answers.spell != spell {
            (answers.spell, answers.all, answers.twice) = (spell, 0.0, 0.0);
        }
        let sheds = in_spell < SHED_S && random.next() < SHED_SHARE;
        let is_spell = sends_twice && in_spell < EXTRA_S;
        if is_spell {
            answers.all += 1.0;
        }
        let came_before = sheds && !answers.rejected.insert(id.to_owned());
        let late_copy = is_spell && came_before && answers.twice + 1.0 <= answers.all * EXTRA_SHARE;
        if late_copy {
            answers.twice += 1.0;
        }
        if sheds { Action::Shed { late_copy } } else { Action::Run { work: WORK } }
    })
}

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let seed = u64::from(std::process::id());
    let behaviours =
        vec![behaviour(record, seed, trouble), behaviour(record, seed ^ 0x5555, false)];
    let deployment = Deployment::start(record, MACHINES, &[BOOKING], behaviours)?;
    let traffic = Traffic {
        consumers: 8,
        id_prefix: "",
        method: "POST",
        host: BOOKING.host,
        path: "/xapu221/ny95/2f",
        deadline_ms: 2_500,
        pause_s: (0.1, 0.5),
        until: LENGTH,
    };
    let sent = traffic.start(record, &deployment.machines).finish();
    Ok(deployment.seen.verdict_on_runs(record, &sent))
}
