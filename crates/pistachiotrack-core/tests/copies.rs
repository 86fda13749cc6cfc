//! Refusals of requests with outstanding copies.
//!
//! Guards against a booking that runs twice: one copy is refused while another one is at an
//! endpoint, the caller is told that the booking was not run, and books again.

use pistachiotrack_core::{
    copies::{Copies, OutstandingCopy, Undispatched},
    name::Name,
    refusal::{Execution, Reason, RefusalDecision},
    request::Outcome,
    time::Time,
};
use quickcheck::{Arbitrary, Gen, quickcheck};

/// Event of a copy.
#[derive(Clone, Copy, Debug)]
enum Event {
    Send,
    Unsent,
    ReportedNotRun,
    ReportedUnknown,
    Shed,
    Broken,
    Answered,
    Dropped,
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Event {
        let end_events = [
            Event::Unsent,
            Event::ReportedNotRun,
            Event::ReportedUnknown,
            Event::Shed,
            Event::Broken,
            Event::Answered,
            Event::Dropped,
        ];
        if bool::arbitrary(g) { Event::Send } else { *g.choose(&end_events).unwrap() }
    }
}

fn send(copies: &mut Copies, number: usize) -> OutstandingCopy {
    copies.send(Name::from(format!("endpoint-{number}")), Time::ZERO)
}

quickcheck! {
    /// Compares with a count of the copies that were sent and may have run.
    fn refused_as_not_run_only_if_no_copy_is_outstanding(events: Vec<Event>) -> bool {
        let mut copies = Copies::from(Undispatched::on_arrival());
        let (mut outstanding, mut may_run, mut sent) = (Vec::new(), 0, 0);
        for event in events {
            if matches!(event, Event::Send) {
                outstanding.push(send(&mut copies, sent));
                may_run += 1;
                sent += 1;
                continue;
            }
            let Some(copy) = outstanding.pop() else { continue };
            let not_run = match event {
                Event::Unsent => Some(copy.unsent()),
                Event::ReportedNotRun => copy.on_reported_execution(Execution::NotRun),
                Event::ReportedUnknown => copy.on_reported_execution(Execution::Unknown),
                Event::Shed => copy.on_outcome(Outcome::Shed),
                Event::Broken => copy.on_outcome(Outcome::Broken { fresh_connection: true }),
                Event::Answered => {
                    copy.on_outcome(Outcome::Answered { status: 200, fresh_connection: true })
                }
                Event::Send | Event::Dropped => None,
            };
            if let Some(copy) = not_run {
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
fn not_run_decision_is_overridden_while_a_copy_is_outstanding() {
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
fn request_with_a_final_answer_is_not_refused_as_not_run() {
    let mut copies = Copies::from(Undispatched::on_arrival());
    assert_eq!(copies.finish().refuse(Reason::Paused, None).execution(), Execution::NotRun);
    assert!(!copies.is_certainly_not_run());
    assert_eq!(copies.refuse(Reason::Paused, None).execution(), Execution::Unknown);
}
