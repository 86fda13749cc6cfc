//! The scenarios of the cases.

mod deployment;
mod drain;
mod drip;
mod extra_answer;
mod foreign_answer;
mod gone;
mod own_failure;
mod silence;
pub mod traffic;

use std::io;

use crate::{Verdict, record::Record};

pub fn run(name: &str, record: &Record, trouble: bool) -> io::Result<Verdict> {
    match name {
        "drip" => drip::run(record, trouble),
        "extra-answer" => extra_answer::run(record, trouble),
        "drain" => drain::run(record, trouble),
        "foreign-answer" => foreign_answer::run(record, trouble),
        "gone" => gone::run(record, trouble),
        "own-failure" => own_failure::run(record, trouble),
        "silence" => silence::run(record, trouble),
        _ => Err(io::Error::other(format!("no scenario {name}"))),
    }
}
