//! Matching of rules, and the index compared with an ordered scan.

use pistachiotrack_core::{
    name::Name,
    request::Class,
    rule::{
        Conditions, HeaderCondition, QueueWaitCondition, Refuse, RequestAttributes, Rule,
        RuleAction, RuleSet, ServiceState, path_starts_with,
    },
};
use quickcheck::{Arbitrary, Gen, QuickCheck, empty_shrinker};

#[derive(Clone, Copy, Debug, Default)]
struct FixedServiceState {
    at_floor: bool,
    wait_ms: u64,
}

impl ServiceState for FixedServiceState {
    fn service_at_floor(&self, service: &str) -> bool {
        self.at_floor && service == "s0"
    }

    fn queue_wait_ms(&self, service: &str) -> u64 {
        if service == "s0" { self.wait_ms } else { 0 }
    }
}

const IDLE: FixedServiceState = FixedServiceState { at_floor: false, wait_ms: 0 };

fn rule(index: usize, when: Conditions) -> Rule {
    let then = RuleAction::Refuse(Refuse { status: 503, retry_after_ms: None });
    Rule { name: Name::from(format!("rule-{index}")), when, then }
}

fn rules(conditions: impl IntoIterator<Item = Conditions>) -> RuleSet {
    let rules: Vec<Rule> =
        conditions.into_iter().enumerate().map(|(index, when)| rule(index, when)).collect();
    RuleSet::new(&rules)
}

fn some(name: &str) -> Option<Name> {
    Some(Name::from(name))
}

const REQUEST: RequestAttributes<'static> = RequestAttributes {
    customer: "c0",
    host: "host",
    method: "GET",
    path: "/a/b",
    headers: &[("x-mode", "night"), ("x-mode", "fast")],
    class: Class::Interactive,
    service: Some("s0"),
    data_centre: "d0",
};

fn matches_alone(
    when: Conditions,
    attributes: &RequestAttributes<'_>,
    services: FixedServiceState,
) -> bool {
    rules([when]).decide(attributes, &services).is_some()
}

#[test]
fn prefixes_match_at_segment_boundaries() {
    let cases = [
        ("/a", "/a", true),
        ("/a", "/a/b", true),
        ("/a", "/ab", false),
        ("/a", "/A", false),
        ("/a", "/", false),
        ("/a/", "/a", false),
        ("/a/", "/a/", true),
        ("/a/", "/a/b", true),
        ("/", "/ab", true),
        ("/", "/", true),
        ("/", "", false),
        ("/a", "/a//b", true),
        ("/a/b", "/a", false),
    ];
    for (prefix, path, holds) in cases {
        let when = Conditions { path_prefix: some(prefix), ..Conditions::default() };
        assert_eq!(path_starts_with(path, prefix), holds, "{prefix} {path}");
        assert_eq!(
            matches_alone(when, &RequestAttributes { path, ..REQUEST }, IDLE),
            holds,
            "{prefix} {path}"
        );
    }
}

#[test]
fn each_condition_matches_only_its_value() {
    let header = |value: &str| {
        Some(HeaderCondition { name: Name::from("x-mode"), value: Name::from(value) })
    };
    let wait = |wait_ms| Some(QueueWaitCondition { service: Name::from("s0"), wait_ms });
    let none = Conditions::default;
    let services = FixedServiceState { at_floor: true, wait_ms: 20 };
    let cases = [
        (none(), true),
        (Conditions { customer: some("c0"), ..none() }, true),
        (Conditions { customer: some("c1"), ..none() }, false),
        (Conditions { method: some("GET"), ..none() }, true),
        (Conditions { method: some("get"), ..none() }, false),
        (Conditions { header: header("night"), ..none() }, true),
        (Conditions { header: header("fast"), ..none() }, true),
        (Conditions { header: header("slow"), ..none() }, false),
        (Conditions { class: Some(Class::Interactive), ..none() }, true),
        (Conditions { class: Some(Class::Batch), ..none() }, false),
        (Conditions { service: some("s0"), ..none() }, true),
        (Conditions { service: some("s1"), ..none() }, false),
        (Conditions { host: some("host"), ..none() }, true),
        (Conditions { host: some("other"), ..none() }, false),
        (Conditions { data_centre: some("d0"), ..none() }, true),
        (Conditions { data_centre: some("d1"), ..none() }, false),
        (Conditions { service_at_floor: some("s0"), ..none() }, true),
        (Conditions { service_at_floor: some("s1"), ..none() }, false),
        (Conditions { queue_wait_at_least: wait(20), ..none() }, true),
        (Conditions { queue_wait_at_least: wait(21), ..none() }, false),
    ];
    for (when, holds) in cases {
        assert_eq!(matches_alone(when.clone(), &REQUEST, services), holds, "{when:?}");
    }
    let when = Conditions { service: some("s0"), ..none() };
    assert!(!matches_alone(when, &RequestAttributes { service: None, ..REQUEST }, services));
}

#[test]
fn explains_the_first_match_and_each_skipped_rule() {
    let none = Conditions::default;
    let wait = QueueWaitCondition { service: Name::from("s0"), wait_ms: 50 };
    let header = HeaderCondition { name: Name::from("x-mode"), value: Name::from("slow") };
    let set = rules([
        Conditions { customer: some("c1"), method: some("PUT"), ..none() },
        Conditions { path_prefix: some("/a/c"), ..none() },
        Conditions { header: Some(header), ..none() },
        Conditions { customer: some("c0"), service_at_floor: some("s0"), ..none() },
        Conditions { queue_wait_at_least: Some(wait), ..none() },
        Conditions { customer: some("c0"), ..none() },
        none(),
    ]);
    let services = FixedServiceState { at_floor: false, wait_ms: 12 };
    let explanation = set.explain(&REQUEST, &services);
    assert_eq!(explanation.matched.as_ref(), set.decide(&REQUEST, &services));
    assert_eq!(explanation.matched.unwrap().name.as_str(), "rule-5");
    let skipped: Vec<&str> = explanation.skipped.iter().map(|it| it.condition.as_str()).collect();
    assert_eq!(
        skipped,
        [
            r#"customer wanted="c1" found="c0""#,
            r#"path_prefix wanted="/a/c" found="/a/b""#,
            r#"header x-mode wanted="slow" found="night""#,
            r#"service_at_floor wanted="s0" found=not at its floor"#,
            r#"queue_wait_at_least "s0" wanted_ms=50 found_ms=12"#,
        ]
    );
}

#[test]
fn no_rule_decides_where_none_matches() {
    let set = rules([Conditions { customer: some("c9"), ..Conditions::default() }]);
    assert_eq!(set.decide(&REQUEST, &IDLE), None);
    assert_eq!(set.explain(&REQUEST, &IDLE).skipped.len(), 1);
    assert_eq!(RuleSet::new(&[]).decide(&REQUEST, &IDLE), None);
}

#[test]
fn rules_after_a_covering_rule_are_unreachable() {
    let none = Conditions::default;
    let wait = |wait_ms| {
        let service = Name::from("s0");
        Conditions { queue_wait_at_least: Some(QueueWaitCondition { service, wait_ms }), ..none() }
    };
    let set = rules([
        wait(50),
        Conditions { path_prefix: some("/a"), ..none() },
        Conditions { path_prefix: some("/a/b"), customer: some("c0"), ..none() },
        Conditions { path_prefix: some("/ab"), customer: some("c0"), ..none() },
        wait(20),
        wait(60),
        Conditions { customer: some("c0"), ..none() },
        Conditions { customer: some("c0"), service_at_floor: some("s0"), ..none() },
    ]);
    assert_eq!(set.unreachable(), [(2, 1), (5, 0), (7, 6)]);
}

/// Conditions drawn from a small set of values, so that rules often overlap.
#[derive(Clone, Debug)]
struct AnyConditions(Conditions);

const PATHS: [&str; 10] = ["/", "/a", "/a/", "/a/b", "/ab", "/a//b", "/a/b/c/d", "", "a", "/a/b/"];
const VALUES: [&str; 3] = ["0", "1", "2"];

fn numbered(g: &mut Gen, kind: &str) -> Name {
    Name::from(format!("{kind}{}", g.choose(&VALUES).unwrap()))
}

fn optional<T>(g: &mut Gen, value: impl FnOnce(&mut Gen) -> T) -> Option<T> {
    u8::arbitrary(g).is_multiple_of(3).then(|| value(g))
}

impl Arbitrary for AnyConditions {
    fn arbitrary(g: &mut Gen) -> AnyConditions {
        AnyConditions(Conditions {
            customer: optional(g, |g| numbered(g, "c")),
            host: optional(g, |g| numbered(g, "x")),
            method: optional(g, |g| numbered(g, "m")),
            path_prefix: optional(g, |g| Name::from(*g.choose(&PATHS).unwrap())),
            header: optional(g, |g| HeaderCondition {
                name: numbered(g, "h"),
                value: numbered(g, "v"),
            }),
            class: optional(g, |g| *g.choose(&Class::ALL).unwrap()),
            service: optional(g, |g| numbered(g, "s")),
            data_centre: optional(g, |g| numbered(g, "d")),
            service_at_floor: optional(g, |g| numbered(g, "s")),
            queue_wait_at_least: optional(g, |g| QueueWaitCondition {
                service: numbered(g, "s"),
                wait_ms: u64::from(u8::arbitrary(g) % 4),
            }),
        })
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = AnyConditions>> {
        let when = &self.0;
        let fewer = [
            Conditions { customer: None, ..when.clone() },
            Conditions { host: None, ..when.clone() },
            Conditions { method: None, ..when.clone() },
            Conditions { path_prefix: None, ..when.clone() },
            Conditions { header: None, ..when.clone() },
            Conditions { class: None, ..when.clone() },
            Conditions { service: None, ..when.clone() },
            Conditions { data_centre: None, ..when.clone() },
            Conditions { service_at_floor: None, ..when.clone() },
            Conditions { queue_wait_at_least: None, ..when.clone() },
        ];
        let when = when.clone();
        Box::new(fewer.into_iter().filter(move |fewer| *fewer != when).map(AnyConditions))
    }
}

#[derive(Clone, Debug)]
struct AnyRequest {
    names: [Name; 5],
    path: &'static str,
    headers: Vec<(Name, Name)>,
    class: Class,
    with_service: bool,
    at_floor: bool,
    wait_ms: u64,
}

impl Arbitrary for AnyRequest {
    fn arbitrary(g: &mut Gen) -> AnyRequest {
        AnyRequest {
            names: ["c", "m", "s", "d", "x"].map(|kind| numbered(g, kind)),
            path: g.choose(&PATHS).unwrap(),
            headers: (0..u8::arbitrary(g) % 4)
                .map(|_| (numbered(g, "h"), numbered(g, "v")))
                .collect(),
            class: *g.choose(&Class::ALL).unwrap(),
            with_service: bool::arbitrary(g),
            at_floor: bool::arbitrary(g),
            wait_ms: u64::from(u8::arbitrary(g) % 4),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = AnyRequest>> {
        empty_shrinker()
    }
}

impl AnyRequest {
    fn with<T>(&self, test: impl FnOnce(&RequestAttributes<'_>, FixedServiceState) -> T) -> T {
        let headers: Vec<(&str, &str)> =
            self.headers.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
        let attributes = RequestAttributes {
            customer: &self.names[0],
            host: &self.names[4],
            method: &self.names[1],
            path: self.path,
            headers: &headers,
            class: self.class,
            service: self.with_service.then_some(&*self.names[2]),
            data_centre: &self.names[3],
        };
        test(&attributes, FixedServiceState { at_floor: self.at_floor, wait_ms: self.wait_ms })
    }
}

/// An ordered scan, implemented independently of the code under test.
fn scan<'r>(
    rules: &'r [Rule],
    attributes: &RequestAttributes<'_>,
    services: FixedServiceState,
) -> Option<&'r Rule> {
    let is_under = |path: &str, prefix: &str| {
        path == prefix
            || (path.starts_with(prefix)
                && (prefix.ends_with('/') || path.as_bytes()[prefix.len()] == b'/'))
    };
    rules.iter().find(|rule| {
        let when = &rule.when;
        let mut holds = true;
        holds &= when.customer.as_ref().is_none_or(|it| it.as_str() == attributes.customer);
        holds &= when.host.as_ref().is_none_or(|it| it.as_str() == attributes.host);
        holds &= when.method.as_ref().is_none_or(|it| it.as_str() == attributes.method);
        holds &= when.path_prefix.as_ref().is_none_or(|it| is_under(attributes.path, it));
        holds &= when
            .header
            .as_ref()
            .is_none_or(|it| attributes.headers.contains(&(it.name.as_str(), it.value.as_str())));
        holds &= when.class.is_none_or(|it| it == attributes.class);
        holds &= when.service.as_ref().is_none_or(|it| Some(it.as_str()) == attributes.service);
        holds &= when.data_centre.as_ref().is_none_or(|it| it.as_str() == attributes.data_centre);
        holds &= when.service_at_floor.as_ref().is_none_or(|it| services.service_at_floor(it));
        holds &= when
            .queue_wait_at_least
            .as_ref()
            .is_none_or(|it| services.queue_wait_ms(&it.service) >= it.wait_ms);
        holds
    })
}

#[test]
fn index_and_ordered_scan_agree() {
    fn property(conditions: Vec<AnyConditions>, requests: Vec<AnyRequest>) -> bool {
        let rules: Vec<Rule> =
            conditions.into_iter().enumerate().map(|(index, it)| rule(index, it.0)).collect();
        let set = RuleSet::new(&rules);
        requests.iter().all(|request| {
            request.with(|attributes, services| {
                let expected = scan(&rules, attributes, services);
                let explanation = set.explain(attributes, &services);
                let before = expected.map_or(rules.len(), |expected| {
                    rules.iter().position(|rule| rule.name == expected.name).unwrap()
                });
                set.decide(attributes, &services) == expected
                    && explanation.matched.as_ref() == expected
                    && explanation.skipped.len() == before
            })
        })
    }
    let rng = Gen::from_size_and_seed(60, 3);
    QuickCheck::new()
        .rng(rng)
        .tests(3_000)
        .quickcheck(property as fn(Vec<AnyConditions>, Vec<AnyRequest>) -> bool);
}

#[test]
fn unreachable_rules_never_decide() {
    fn property(conditions: Vec<AnyConditions>, requests: Vec<AnyRequest>) -> bool {
        let rules: Vec<Rule> =
            conditions.into_iter().enumerate().map(|(index, it)| rule(index, it.0)).collect();
        let unreachable = RuleSet::new(&rules).unreachable();
        requests.iter().all(|request| {
            request.with(|attributes, services| {
                let first_match = scan(&rules, attributes, services);
                unreachable.iter().all(|(rule, by)| {
                    by < rule && first_match.is_none_or(|it| it.name != rules[*rule].name)
                })
            })
        })
    }
    let rng = Gen::from_size_and_seed(60, 4);
    QuickCheck::new()
        .rng(rng)
        .tests(1_000)
        .quickcheck(property as fn(Vec<AnyConditions>, Vec<AnyRequest>) -> bool);
}
