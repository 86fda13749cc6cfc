//! What may be said of a request whose copies are on their way.
//!
//! A clerk is told that a booking was not run, books again, and the interpreter is sent to
//! two courtrooms: one copy of the booking came back refused while another one was at an
//! endpoint.

use pistachiotrack_core::{
    copies::{Copies, OutstandingCopy, Undispatched},
    name::Name,
    refusal::{Execution, Reason, RefusalDecision},
    request::Outcome,
    time::Time,
};
use quickcheck::{Arbitrary, Gen, quickcheck};

/// What happens to a copy.
#[derive(Clone, Copy, Debug)]
enum Event {
    Send,
    Unsent,
    HolderSaysNotRun,
    HolderSaysUnknown,
    Shed,
    Broken,
    Answered,
    Forgotten,
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Event {
        let ends = [
            Event::Unsent,
            Event::HolderSaysNotRun,
            Event::HolderSaysUnknown,
            Event::Shed,
            Event::Broken,
            Event::Answered,
            Event::Forgotten,
        ];
        if bool::arbitrary(g) { Event::Send } else { *g.choose(&ends).unwrap() }
    }
}

fn send(copies: &mut Copies, number: usize) -> OutstandingCopy {
    copies.send(Name::from(format!("endpoint-{number}")), Time::ZERO)
}

quickcheck! {
    /// Compares with a plain count of copies that were sent and not certainly refused.
    fn not_run_is_said_only_if_every_copy_came_back(events: Vec<Event>) -> bool {
        let mut copies = Copies::from(Undispatched::on_arrival());
        let (mut out, mut may_run, mut sent) = (Vec::new(), 0, 0);
        for event in events {
            if matches!(event, Event::Send) {
                out.push(send(&mut copies, sent));
                may_run += 1;
                sent += 1;
                continue;
            }
            let Some(copy) = out.pop() else { continue };
            let returned = match event {
                Event::Unsent => Some(copy.unsent()),
                Event::HolderSaysNotRun => copy.on_reported_execution(Execution::NotRun),
                Event::HolderSaysUnknown => copy.on_reported_execution(Execution::Unknown),
                Event::Shed => copy.on_outcome(Outcome::Shed),
                Event::Broken => copy.on_outcome(Outcome::Broken { fresh_connection: true }),
                Event::Answered => {
                    copy.on_outcome(Outcome::Answered { status: 200, fresh_connection: true })
                }
                Event::Send | Event::Forgotten => None,
            };
            if let Some(copy) = returned {
                copies.record_not_run(copy);
                may_run -= 1;
            }
        }
        let expected = if may_run == 0 { Execution::NotRun } else { Execution::Unknown };
        let is_certainly_not_run = copies.is_certainly_not_run();
        let refusal = copies.refuse(Reason::QueueFull, Some(40));
        is_certainly_not_run == (may_run == 0)
            && refusal.execution() == expected
            && refusal.sent().len() == sent
            && refusal.retry_after_ms().is_some() == (expected == Execution::NotRun)
    }
}

#[test]
fn a_decision_that_says_not_run_is_not_believed_while_a_copy_is_out() {
    let not_run = RefusalDecision {
        execution: Execution::NotRun,
        reason: Reason::QueueFull,
        retry_after_ms: Some(40),
    };
    let (mut copies, copy) = Undispatched::on_arrival().send(Name::from("endpoint-0"), Time::ZERO);
    let second = send(&mut copies, 1);
    copies.record_not_run(second.unsent());
    assert_eq!(copies.finish().refuse_with(not_run).execution(), Execution::Unknown);
    drop(copy);
    let (mut copies, copy) = Undispatched::on_arrival().send(Name::from("endpoint-0"), Time::ZERO);
    copies.record_not_run(copy.unsent());
    assert_eq!(copies.refuse_with(not_run).execution(), Execution::NotRun);
}

#[test]
fn nothing_is_said_of_a_request_that_had_its_final_answer() {
    let mut copies = Copies::from(Undispatched::on_arrival());
    assert_eq!(copies.finish().refuse(Reason::Paused, None).execution(), Execution::NotRun);
    assert!(!copies.is_certainly_not_run());
    assert_eq!(copies.refuse(Reason::Paused, None).execution(), Execution::Unknown);
}
