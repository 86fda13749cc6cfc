//! The soak's plans, and that its checks bite: each promise broken in what was seen, and
//! the same with nothing wrong.

use std::path::Path;

use pistachiotrack_standins::{
    caller::Ending,
    soak::{
        oracle::{
            Asked, IN_FORCE_MS, Left, Limited, LoggedRefusals, Process, Promise, Published,
            RECOVER_MS, Record, VersionSeen, violations,
        },
        plan::Plan,
    },
    work::WorkId,
};

const ENDPOINTS: usize = 34;
const REQUEST: &str = "vm-01-1a23-7";

fn asked(id: u64, ending: Ending) -> Asked {
    let id = WorkId(id);
    let is_refused = matches!(ending, Ending::RefusedNotRun | Ending::Unknown);
    let request = is_refused.then(|| Box::from(REQUEST));
    Asked {
        id,
        non_idempotent: true,
        vm: Some(0),
        sent_ms: 5_000,
        ended_ms: 5_400,
        ending,
        request,
    }
}

fn process(started_ms: u64) -> Process {
    Process {
        vm: 0,
        number: 0,
        started_ms,
        asked_to_stop_ms: None,
        killed_ms: None,
        ended_ms: None,
        end_was_meant: false,
    }
}

fn seen(at_ms: u64, version: u64) -> VersionSeen {
    VersionSeen { at_ms, vm: 0, process: 0, version: Some(version) }
}

/// Returns a run in which all went well.
fn sound() -> Record {
    let stopping =
        Process { asked_to_stop_ms: Some(5_100), ended_ms: Some(6_000), ..process(1_000) };
    let left = Left {
        endpoint: "e1".to_owned(),
        from_ms: 1_000,
        until_ms: 30_000,
        arrivals_ms: vec![900, 2_000, 31_000],
    };
    Record {
        asked: vec![asked(1, Ending::Ok), asked(2, Ending::RefusedNotRun)],
        executions: [(WorkId(1), 1)].into_iter().collect(),
        versions: vec![seen(1_100, 1), seen(3_000, 2), seen(9_000, 2)],
        published: vec![Published { at_ms: 2_000, version: 2 }],
        left: vec![left],
        processes: vec![Process { end_was_meant: true, vm: 1, ..stopping }, process(0)],
        limited: vec![Limited {
            endpoint: "e2".to_owned(),
            per_second: 1.0,
            until_ms: 30_000,
            arrivals_ms: (0..20).map(|second| 5_000 + 1_000 * second).collect(),
        }],
        crash_runs_ms: vec![4_000, 4_100, 4_200, 6_900, 15_000, 16_000, 17_000],
        faults: Vec::new(),
        vm_faults: Vec::new(),
        logged: LoggedRefusals {
            requests: [Box::from(REQUEST)].into_iter().collect(),
            vms: vec!["vm-01".to_owned(), "vm-02".to_owned()],
            is_cut: false,
        },
        end_ms: 60_000,
    }
}

fn broken(record: &Record) -> Vec<Promise> {
    violations(record).into_iter().map(|violation| violation.promise).collect()
}

#[test]
fn a_run_in_which_all_went_well_breaks_nothing() {
    assert_eq!(broken(&sound()), []);
}

#[test]
fn each_promise_that_is_broken_is_found() {
    let mut twice = sound();
    twice.executions.insert(WorkId(1), 2);
    assert_eq!(broken(&twice), [Promise::AtMostOnce]);

    let mut ran = sound();
    ran.executions.insert(WorkId(2), 1);
    assert_eq!(broken(&ran), [Promise::NotRunIsTrue]);

    let mut wrong = sound();
    wrong.asked[0].ending = Ending::WrongAnswer;
    assert_eq!(broken(&wrong), [Promise::OwnAnswer]);

    let mut cut = sound();
    cut.asked.push(Asked { vm: Some(1), ..asked(3, Ending::Lost) });
    cut.executions.insert(WorkId(3), 1);
    assert_eq!(broken(&cut), [Promise::PlannedStop]);

    let mut older = sound();
    older.versions.push(seen(10_000, 1));
    assert_eq!(broken(&older), [Promise::NeverOlder]);

    let mut late = sound();
    late.published.push(Published { at_ms: 20_000, version: 3 });
    late.versions.push(seen(20_001 + IN_FORCE_MS, 3));
    assert_eq!(broken(&late), [Promise::InForce]);

    let mut crashing = sound();
    crashing.crash_runs_ms.push(18_000);
    assert_eq!(broken(&crashing), [Promise::CrashesHeldBack]);

    let mut exceeded = sound();
    exceeded.limited[0].arrivals_ms.splice(4..4, vec![9_000; 8]);
    assert_eq!(broken(&exceeded), [Promise::LimitKept]);

    let mut leaving = sound();
    leaving.left[0].arrivals_ms.push(1_000 + IN_FORCE_MS);
    assert_eq!(broken(&leaving), [Promise::Leaving]);

    let mut ended = sound();
    ended.processes[1].ended_ms = Some(59_000);
    assert_eq!(broken(&ended), [Promise::StaysUp]);

    let mut lost = sound();
    lost.faults.push((50_000, 51_000));
    lost.asked.extend((10..20).map(|id| Asked {
        sent_ms: 51_000 + RECOVER_MS,
        ended_ms: 51_400 + RECOVER_MS,
        ..asked(id, Ending::NoVm)
    }));
    assert_eq!(broken(&lost), [Promise::Recovery]);
}

/// A refusal that no log knows is found, unless its line may be missing: lines were left out,
/// or the VM was killed before it wrote it.
#[test]
fn a_refusal_without_a_line_is_found() {
    let mut unlogged = sound();
    unlogged.logged.requests.clear();
    assert_eq!(broken(&unlogged), [Promise::RefusalLogged]);
    let mut nameless = sound();
    nameless.asked.iter_mut().for_each(|asked| asked.request = None);
    assert_eq!(broken(&nameless), [Promise::RefusalLogged]);

    let killed = Process {
        killed_ms: Some(5_500),
        ended_ms: Some(5_510),
        end_was_meant: true,
        ..process(0)
    };
    unlogged.processes = vec![killed];
    assert_eq!(broken(&unlogged), []);
    // The VM was stopping, and was killed before it had ended.
    unlogged.processes[0].asked_to_stop_ms = Some(3_000);
    assert_eq!(broken(&unlogged), []);
    unlogged.processes[0].killed_ms = None;
    assert_eq!(broken(&unlogged), [Promise::RefusalLogged]);
    unlogged.processes[0].killed_ms = Some(4_000);
    assert_eq!(broken(&unlogged), [Promise::RefusalLogged]);
    unlogged.logged.read("time=9 level=warn event=log_lines_left_out count=3");
    assert_eq!(broken(&unlogged), []);
}

/// A request that crosses the close of its connection was not taken, and one that a fault
/// besides may have cut says nothing of the stop.
#[test]
fn a_stop_is_not_held_to_what_it_did_not_cut() {
    let mut crossed = sound();
    crossed.asked.push(Asked { vm: Some(1), ended_ms: 5_010, ..asked(3, Ending::Lost) });
    assert_eq!(broken(&crossed), []);
    let mut faulty = sound();
    faulty.asked.push(Asked { vm: Some(1), ..asked(3, Ending::Lost) });
    faulty.executions.insert(WorkId(3), 1);
    faulty.faults.push((4_000, 4_500));
    assert!(!broken(&faulty).contains(&Promise::PlannedStop));
}

#[test]
fn a_seed_makes_the_same_plan_and_a_plan_survives_its_json() {
    for seed in 0..20 {
        let plan = Plan::new(seed, 6, 60, ENDPOINTS);
        assert_eq!(plan, Plan::new(seed, 6, 60, ENDPOINTS));
        assert!(plan.steps.len() > 40, "{}", plan.steps.len());
        let json = serde_json::to_string(&plan).unwrap();
        assert_eq!(plan, serde_json::from_str(&json).unwrap());
    }
    assert_ne!(Plan::new(1, 6, 60, ENDPOINTS), Plan::new(3, 6, 60, ENDPOINTS));
}

#[test]
fn a_plan_that_cannot_be_played_is_refused_with_file_and_field() {
    let directory = std::env::temp_dir();
    let refused = |name: &str, json: &str| {
        let file = directory.join(format!("pistachiotrack-{}-{name}.json", std::process::id()));
        std::fs::write(&file, json).unwrap();
        let error = format!("{:#}", Plan::read(&file, ENDPOINTS).unwrap_err());
        std::fs::remove_file(&file).unwrap();
        assert!(error.contains(name), "{error}");
        error
    };
    let with = |step: &str| {
        format!(
            r#"{{"seed": 1, "vms": 3, "dispatchers_per_data_centre": 0, "seconds": 9,
                "steps": [{{"at_ms": 1, "event": {step}}}]}}"#
        )
    };
    let vm = refused("vm", &with(r#"{"hang_up": {"vm": 3}}"#));
    assert!(vm.contains("steps[0]: vm 3 is not below 3"), "{vm}");
    let endpoint = refused("endpoint", &with(r#"{"leave": {"endpoint": 34, "for_ms": 1}}"#));
    assert!(endpoint.contains("steps[0].endpoint: 34 is not below 34"), "{endpoint}");
    let unknown = refused("unknown", &with(r#"{"explode": {}}"#));
    assert!(unknown.contains("explode"), "{unknown}");
    assert!(Plan::read(Path::new("nowhere.json"), ENDPOINTS).is_err());
}
