//! Tests of sets: which rules apply, how their actions combine, and the faults and warnings at load.

mod common;

use common::{compile, request, rule, source};
use yarrowspoke::interface::{Class, DedupScope, Idempotency};
use yarrowspoke_expr::bounds::Bounds;
use yarrowspoke_expr::request::TooLong;
use yarrowspoke_expr::ruling::{Deployment, LimitSource, RuleActions};
use yarrowspoke_expr::set::{Order, RuleSet, RuleSetSource, RuleSource, Scratch};

fn class(idempotency: Idempotency, dedup_scope: DedupScope) -> Class {
    Class {
        latency_target: 1,
        deadline: 2,
        latency_target_per_work: 0.0,
        idempotency,
        dedup_scope,
        dedup_window: 5,
        late_worth: 0.0,
        worth: 1.0,
        streamed: false,
    }
}

struct Names {
    classes: Vec<String>,
    class_settings: Vec<Class>,
    single_name: Vec<String>,
}

impl Names {
    fn new() -> Self {
        let names = ["safe", "other", "keyed", "zoned", "once"].map(str::to_owned).to_vec();
        let class_settings = vec![
            class(Idempotency::Idempotent, DedupScope::All),
            class(Idempotency::Idempotent, DedupScope::All),
            class(Idempotency::Keyed, DedupScope::All),
            class(Idempotency::Keyed, DedupScope::Zone),
            class(Idempotency::AtMostOnce, DedupScope::All),
        ];
        Self { classes: names, class_settings, single_name: vec!["a".into()] }
    }

    fn deployment(&self) -> Deployment<'_> {
        Deployment {
            class_names: &self.classes,
            classes: &self.class_settings,
            tenants: &self.single_name,
            zones: &self.single_name,
            kinds: &self.single_name,
            max_attempts: 4,
            fronts: 2,
        }
    }
}

fn actions(when: &str, actions: RuleActions) -> RuleSetSource {
    let rules = vec![RuleSource { name: "r".into(), when: when.into(), actions }];
    RuleSetSource { rules, ..RuleSetSource::default() }
}

fn named(class: &str) -> RuleActions {
    RuleActions { class: Some(class.into()), ..RuleActions::default() }
}

#[test]
fn first_match_applies_one_rule_and_all_applies_each() {
    let whens = ["class == 'x'", "path.startsWith('/a')", "true", "class == 'article'"];
    let r = request("/article/1");
    let mut set = compile(Order::First, &whens).unwrap();
    let mut scratch = Scratch::new(&set, 1);
    assert_eq!(set.matches_indexed(&mut scratch, &r), [1]);
    set = compile(Order::All, &whens).unwrap();
    scratch = Scratch::new(&set, 1);
    assert_eq!(set.matches_indexed(&mut scratch, &r), [1, 2, 3]);
    assert_eq!(set.evaluate::<false>(&mut scratch, &r).matched, 3);
}

#[test]
fn the_tightest_bound_and_the_first_name_apply() {
    let names = Names::new();
    let mut set = RuleSetSource { order: Order::All, ..RuleSetSource::default() };
    let mut add = |actions: RuleActions| {
        let name = format!("r{}", set.rules.len());
        set.rules.push(RuleSource { name, when: "true".into(), actions });
    };
    add(RuleActions {
        attempts: Some(3),
        budget: Some(500),
        refuse: Some(10),
        zone: Some("a".into()),
        ..RuleActions::default()
    });
    add(RuleActions { attempts: Some(2), budget: Some(900), refuse: Some(20), ..named("other") });
    add(RuleActions { at_most_once: true, subject: Some("class".into()), ..named("once") });
    add(RuleActions { subject: Some("path".into()), attempts: Some(4), ..named("safe") });
    let mut set = RuleSet::compile(&set).unwrap();
    // The last rule would treat requests of an at-most-once class as safe.
    assert!(set.bind(&names.deployment()).is_err());
    let deployment = Deployment {
        class_names: &names.classes[..2],
        classes: &names.class_settings[..2],
        ..names.deployment()
    };
    let faults = set.bind(&deployment).unwrap_err();
    assert!(faults[0].found.contains("\"once\"") && faults[0].expected.contains("safe, other"), "{faults:?}");
    let mut source = source(Order::All, &["true", "true"]);
    source.rules[0].actions =
        RuleActions { attempts: Some(3), budget: Some(500), refuse: Some(10), ..named("other") };
    source.rules[1].actions = RuleActions {
        attempts: Some(2),
        budget: Some(900),
        refuse: Some(20),
        subject: Some("class".into()),
        ..named("safe")
    };
    let mut set = RuleSet::compile(&source).unwrap();
    set.bind(&deployment).unwrap();
    let mut scratch = Scratch::new(&set, 1);
    let ruling = set.evaluate::<false>(&mut scratch, &request("/safe"));
    assert_eq!(
        (ruling.policy.max_attempts, ruling.budget, ruling.policy.refuse_with_retry_after),
        (Some(2), Some(500), Some(20))
    );
    assert_eq!((ruling.policy.value_class, ruling.policy.at_most_once), (Some(1), false));
    assert!(ruling.policy.hash_key.is_some_and(|s| s != 0));
}

#[test]
fn no_action_weakens_the_guards_of_a_class() {
    // A class may only be treated as one that is at least as strict, whatever the condition leaves open. Otherwise a
    // request that must not run twice could be repeated.
    let names = Names::new();
    for (when, class, accepted) in [
        ("class == 'safe'", "other", true),
        ("class == 'safe'", "keyed", true),
        ("class == 'safe'", "once", true),
        ("class in ['safe', 'other']", "other", true),
        ("class in ['safe', 'once']", "other", false),
        ("path.startsWith('/safe')", "other", false),
        ("class == 'safe' || path == '/x'", "other", false),
        ("class == 'safe' && path == '/x' || class == 'other'", "other", true),
        ("class != 'once'", "other", false),
        ("class == 'keyed'", "safe", false),
        ("class == 'keyed'", "zoned", false),
        ("class == 'zoned'", "keyed", false),
        ("class == 'keyed'", "keyed", true),
        ("class == 'keyed'", "once", true),
        ("class == 'once'", "keyed", false),
        ("class == 'once'", "safe", false),
        ("true", "once", true),
        ("true", "safe", false),
    ] {
        let mut set = RuleSet::compile(&actions(when, named(class))).unwrap();
        assert_eq!(set.bind(&names.deployment()).is_ok(), accepted, "{when} as {class}");
    }
    let mut set = RuleSet::compile(&actions("true", named("once"))).unwrap();
    set.bind(&names.deployment()).unwrap();
    assert!(set.evaluate::<false>(&mut Scratch::new(&set, 1), &request("/safe")).policy.at_most_once);
    let more = RuleActions { attempts: Some(9), ..RuleActions::default() };
    let mut set = RuleSet::compile(&actions("true", more)).unwrap();
    let faults = set.bind(&names.deployment()).unwrap_err();
    assert!(faults[0].expected.contains("at most the settings' 4"), "{faults:?}");
    for (actions, word) in [
        (RuleActions { tenant: Some("b".into()), ..RuleActions::default() }, "tenant \"b\""),
        (RuleActions { zone: Some("b".into()), ..RuleActions::default() }, "zone \"b\""),
        (RuleActions { kind: Some("b".into()), ..RuleActions::default() }, "kind \"b\""),
        (named("nothing"), "class \"nothing\""),
    ] {
        let mut set = RuleSet::compile(&self::actions("true", actions)).unwrap();
        assert!(set.bind(&names.deployment()).unwrap_err()[0].found.contains(word));
    }
}

#[test]
fn rules_that_never_hold_or_are_shadowed_are_reported() {
    let warnings_of = |order, whens: &[&str]| -> Vec<String> {
        let set = compile(order, whens).unwrap();
        set.warnings.iter().map(|w| w.text.clone()).collect()
    };
    for condition in [
        "class == 'a' && class == 'b'",
        "class == 'a' && class in ['b', 'c']",
        "class == 'a' && class != 'a'",
        "class == 'abc' && class.startsWith('b')",
        "length < 3 && length > 5",
        "length == 3 && length >= 4",
        "budget < 1s && budget >= 1s",
        "length in [1, 2] && length > 2",
        "repeat && !repeat",
        "false",
        "class == 'a' && class == 'b' || repeat && !repeat",
    ] {
        assert!(
            warnings_of(Order::All, &[condition]).iter().any(|w| w.contains("can never hold")),
            "{condition}"
        );
    }
    for (earlier, later, shadows) in [
        ("class == 'a'", "class == 'a' && repeat", true),
        ("class in ['a', 'b']", "class == 'a'", true),
        ("class in ['a', 'b']", "class in ['a', 'c']", false),
        ("path.startsWith('/a')", "path == '/a/b'", true),
        ("path.startsWith('/a')", "path.startsWith('/a/b') && repeat", true),
        ("path.startsWith('/a/b')", "path.startsWith('/a')", false),
        ("class != 'b'", "class == 'a'", true),
        ("!(class == 'b')", "repeat && class != 'b'", true),
        ("length < 10", "length < 5", true),
        ("length < 5", "length < 10", false),
        ("length in [1, 9]", "length == 5", false),
        ("repeat", "class == 'a' && repeat", true),
        ("true", "class == 'a'", true),
        ("repeat", "!repeat", false),
        // The earlier rule sometimes has no value, and then the later one is reached.
        ("1 / length < 5", "1 / length < 5 && repeat", false),
        ("length / 2 < 5", "length / 2 < 5 && repeat", true),
    ] {
        let warnings = warnings_of(Order::First, &[earlier, later]);
        assert_eq!(
            warnings.iter().any(|w| w.contains("r1 is never reached: rule r0")),
            shadows,
            "{earlier} | {later}"
        );
        assert!(
            warnings_of(Order::All, &[earlier, later]).is_empty(),
            "{earlier} | {later}: with order all, no rule is shadowed"
        );
    }
}

#[test]
fn a_set_that_rejects_every_request_is_reported() {
    let names = Names::new();
    let refuse = RuleActions { refuse: Some(1), ..RuleActions::default() };
    let warnings = |when: &str| {
        let mut set = RuleSet::compile(&actions(when, refuse.clone())).unwrap();
        set.bind(&names.deployment()).unwrap();
        set.warnings.iter().map(|w| w.text.clone()).collect::<Vec<_>>().join("; ")
    };
    assert!(warnings("true").contains("every request is refused"));
    assert!(warnings("class in ['safe', 'once']").contains("every request of safe, once is refused"));
    assert!(!warnings("class == 'safe' && repeat").contains("refused"));
    assert!(warnings("class == 'sage'").contains("which the settings don't name"));
}

#[test]
fn duplicate_names_empty_rules_and_too_many_rules_are_rejected() {
    let mut two = source(Order::First, &["true", "true"]);
    two.rules[1].name = "r0".into();
    assert!(RuleSet::compile(&two).err().unwrap()[0].expected.contains("rule 1 has it"));
    let faults = RuleSet::compile(&actions("true", RuleActions::default())).err().unwrap();
    assert!(faults[0].found.contains("says nothing"), "{faults:?}");
    let many = RuleSetSource {
        rules: (0..20_001).map(|n| rule(&n.to_string(), "true")).collect(),
        ..RuleSetSource::default()
    };
    assert!(RuleSet::compile(&many).err().unwrap()[0].expected.contains("at most 20000"));
}

#[test]
fn requests_over_the_bounds_are_rejected() {
    let bounds = Bounds { max_target_bytes: 10, max_header_bytes: 3, ..Bounds::default() };
    assert_eq!(request("/123456789").check_size(&bounds), Ok(()));
    assert_eq!(request("/1234567890").check_size(&bounds), Err(TooLong::Target));
    let headers = [None, Some("1234".to_owned())];
    let mut r = request("/a");
    r.headers = &headers;
    assert_eq!(r.check_size(&bounds), Err(TooLong::Header));
}

#[test]
fn limits_have_separate_keys_and_are_divided_among_fronts() {
    let names = Names::new();
    let limit = |key: Option<&str>| LimitSource { key: key.map(str::to_owned), rate: 10.0, burst: 8.0 };
    let mut two = source(Order::All, &["true", "true"]);
    two.rules[0].actions =
        RuleActions { limit: Some(limit(Some("segments[1].orValue('')"))), ..RuleActions::default() };
    two.rules[1].actions = RuleActions { limit: Some(limit(None)), ..RuleActions::default() };
    let mut set = RuleSet::compile(&two).unwrap();
    set.bind(&names.deployment()).unwrap();
    let mut scratch = Scratch::new(&set, 7);
    let mut keys = |target: &str| {
        set.evaluate::<false>(&mut scratch, &request(target));
        let keys: Vec<u64> = scratch.limits().iter().map(|l| l.1).collect();
        assert!(scratch.limits().iter().all(|l| (l.0.rate, l.0.burst) == (5.0, 4.0)));
        keys
    };
    let (a, b, again) = (keys("/x/a"), keys("/x/b"), keys("/y/a"));
    assert_eq!(a, again);
    assert!(a[0] != b[0] && a[1] == b[1] && a[0] != a[1]);
    assert_ne!(a, {
        let mut other = Scratch::new(&set, 8);
        set.evaluate::<false>(&mut other, &request("/x/a"));
        other.limits().iter().map(|l| l.1).collect::<Vec<_>>()
    });
}
