//! Stand-ins and scenarios for the cases in `review/`: the platform's store, upstreams and
//! consumers as the users' pages describe them, and the project's own program as processes.
//!
//! Built by `review/build.sh` with the standard library alone. Started by `review/N/run.sh` from
//! the root of the repository as `target/review/standins SCENARIO RECORD`.

mod consumer;
mod http;
mod machine;
mod record;
mod scenarios;
mod store;
mod upstream;

use std::{process::exit, time::Duration};

/// Time after which a run is given up.
const LONGEST_RUN: Duration = Duration::from_secs(115);

/// How a scenario ended.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, scenario, file] = &arguments[..] else {
        eprintln!("usage: standins SCENARIO RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::new();
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST_RUN);
        eprintln!("could not end in time");
        machine::kill_all();
        exit(2);
    });
    let result = scenarios::run(scenario, &record, trouble);
    let code = match &result {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Err(_) => 2,
    };
    let last = match &result {
        Ok(Verdict::Held) => "the rule held".to_owned(),
        Ok(Verdict::Broken) => "the rule was broken".to_owned(),
        Err(error) => format!("could not run: {error}"),
    };
    println!("{scenario} trouble={trouble}: {last}");
    record.note(&last);
    if let Err(error) = record.write(file) {
        eprintln!("{file}: {error}");
        exit(2);
    }
    exit(code);
}
