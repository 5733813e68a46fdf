//! Tests of settings for another kind of deployment, in force and as shadow settings. No result depends on speed.

mod common;

use common::{get, unique_id, wait_until, TestEnvironment};
use std::io::{BufRead, BufReader};
use std::sync::{Arc, Mutex};
use yarrowspoke::interface::{Action, Vote};
use yarrowspoke_front::config::{parse, Config, ConfigError};
use yarrowspoke_front::shadow_settings::{differences, DecisionKind};
use yarrowspoke_toy::Behaviour;

const PROBES: &str = r#""Bounds": {"#;

/// Returns the number of requests at the machines without a call id.
fn probes(world: &TestEnvironment) -> usize {
    let seen = world.machines.iter().flat_map(|m| m.seen());
    seen.filter(|m| m.field("x-call-id").is_none()).count()
}

fn ask(world: &TestEnvironment) {
    let answer = world.client().request(&get(&unique_id(), "2.0")).unwrap();
    assert!(answer.start().contains(" 200 "), "{answer:?}");
}

#[test]
fn where_probes_are_allowed_a_slow_machine_is_asked_before_it_gets_a_request() {
    // Slow enough that another machine would be better, but fast enough to answer the probe in time.
    let late = [Behaviour::ServeLate(200), Behaviour::ServeLate(200)];
    let world = TestEnvironment::with_config_change(&late, PROBES, r#""Bounds": {"Probes": true, "#);
    (0..4).for_each(|_| ask(&world));
    wait_until("a machine was asked", || {
        ask(&world);
        probes(&world) > 0
    });
    // A probe is not an attempt: it has no id, and each request still ran once.
    let calls = world.seen() - probes(&world);
    let ids: std::collections::BTreeSet<String> = world
        .machines
        .iter()
        .flat_map(|m| m.seen())
        .filter_map(|m| m.field("x-call-id").map(str::to_owned))
        .collect();
    assert_eq!(ids.len(), calls);
}

#[test]
fn what_is_watched_is_counted_by_kind_and_never_done() {
    let late = [Behaviour::ServeLate(200), Behaviour::ServeLate(200)];
    let mut world = TestEnvironment::with_config_change(
        &late,
        r#""seed""#,
        r#""watch": {"Bounds": {"Probes": true}}, "seed""#,
    );
    let told = Arc::new(Mutex::new(String::new()));
    let (lines, sink) = (BufReader::new(world.front.stderr.take().unwrap()), Arc::clone(&told));
    std::thread::spawn(move || {
        lines.lines().map_while(Result::ok).filter(|l| l.contains("watch:")).for_each(|l| {
            sink.lock().unwrap().push_str(&l);
        });
    });
    wait_until("the log tells of a probe that would have been", || {
        ask(&world);
        told.lock().unwrap().contains("Probe: ")
    });
    assert_eq!(probes(&world), 0);
}

fn with(from: &str, to: &str) -> Result<Config, ConfigError> {
    let example = include_str!("../../../examples/config.json");
    assert!(example.contains(from), "{from}");
    parse(example.replace(from, to).as_bytes())
}

#[test]
fn settings_of_the_new_shape_are_read_and_slips_in_them_are_named() {
    let plain = with("\"toy\"", "\"toy\"").unwrap();
    assert!(plain.shadow_settings.is_none() && !plain.settings.module.allows_probes);
    let without = with(", \"Source\": \"answers\"", "").unwrap();
    assert_eq!(without.settings.module.report_source, plain.settings.module.report_source);
    for (from, to, field) in [
        ("\"Source\": \"answers\"", "\"Source\": \"answer\"", "settings.Report.Source"),
        ("\"Source\": \"answers\"", "\"Source\": \"probe\"", "settings.Bounds.Probes"),
        ("\"Domain\": {", "\"Domain\": {\"FlagShare\": 1.5, ", "settings.Domain.FlagShare"),
        ("\"seed\"", "\"watch\": {\"Domain\": {\"FlagShare\": -1}}, \"seed\"", "watch.Domain.FlagShare"),
        ("\"seed\"", "\"watch\": {\"Classes\": []}, \"seed\"", "watch.Classes"),
        ("\"seed\"", "\"watch\": {\"HostTypes\": [\"n\"]}, \"seed\"", "watch:"),
    ] {
        let error = with(from, to).unwrap_err().to_string();
        assert!(error.contains(field), "{error}");
    }
}

#[test]
fn what_is_watched_lies_over_the_settings_and_changes_nothing_in_force() {
    let over = "\"watch\": {\"Bounds\": {\"Probes\": true}, \"Domain\": {\"FlagShare\": 0.5}}, \"seed\"";
    let config = with("\"seed\"", over).unwrap();
    let watch = config.shadow_settings.unwrap().module;
    assert!(watch.allows_probes && !config.settings.module.allows_probes);
    assert_eq!((watch.release.complaint_share, config.settings.module.release.complaint_share), (0.5, 0.0));
    assert_eq!(watch.max_attempts, config.settings.module.max_attempts);
}

#[test]
fn only_what_is_decided_otherwise_is_counted_and_by_its_kind() {
    let send = |machine| Action::Send { id: 1, machine, timeout: 0 };
    let (log, timer) = (Action::Log("x".into()), Action::Timer { name: 0, after: 1 });
    let vote = Action::Vote { build: 2, stage: 0, vote: Vote::Advance };
    assert_eq!(differences(&[send(1), log], &[timer, send(1)]), []);
    assert_eq!(differences(&[send(1)], &[send(2)]), [DecisionKind::Send]);
    assert_eq!(
        differences(&[send(1)], &[Action::Probe { machine: 1 }]),
        [DecisionKind::Send, DecisionKind::Probe]
    );
    assert_eq!(
        differences(&[], &[Action::Fail { id: 1 }, vote]),
        [DecisionKind::RefuseOrFail, DecisionKind::Vote]
    );
}
