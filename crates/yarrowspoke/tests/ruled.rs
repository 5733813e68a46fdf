//! The request policies that operators' rules set, none of which loosens a guard.

mod common;

use common::*;
use yarrowspoke::interface::*;

fn at_most_once_policy() -> RequestPolicy {
    RequestPolicy { at_most_once: true, ..RequestPolicy::default() }
}

#[test]
fn a_request_marked_at_most_once_is_never_sent_again_after_it_may_have_run() {
    // A class that is idempotent by its settings may still have a request with an effect, such as a GET that counts votes.
    for outcome in [CallOutcome::Error, CallOutcome::Reset, CallOutcome::Timeout] {
        let mut rig = Rig::new(settings(), 4);
        rig.ruled = at_most_once_policy();
        rig.request(0);
        let (id, machine) = rig.sent().unwrap();
        rig.end(id, 0, machine, outcome);
        assert_eq!((rig.sent(), rig.refused(), rig.failed()), (None, false, true), "{outcome:?}");
    }
    // A request that never ran may be sent elsewhere, and may be refused.
    let mut rig = Rig::new(settings(), 2);
    rig.ruled = at_most_once_policy();
    rig.request(0);
    let (id, machine) = rig.sent().unwrap();
    rig.end(id, 0, machine, CallOutcome::ConnectFailed);
    assert!(rig.sent().is_some());
}

#[test]
fn a_request_marked_at_most_once_is_not_sent_to_guarded_stages() {
    let mut settings = settings();
    settings.release.guarded_stages = 4;
    let mut rig = Rig::new(settings, 0);
    rig.list(ListUpdate::Snapshot, &[entry(1, 2, 0)]);
    rig.say(Event::RolloutStatus(rollout_status(2, 0, Phase::Trial, 1.0)));
    rig.ruled = at_most_once_policy();
    rig.request(0);
    assert_eq!(rig.sent(), None);
    rig.ruled = RequestPolicy::default();
    rig.request(0);
    assert!(rig.sent().is_some());
}

#[test]
fn attempts_are_limited_by_the_rules_and_by_the_settings() {
    for (limit, expected) in [(Some(1), 1), (Some(2), 2), (Some(9), 3), (None, 3)] {
        let mut rig = Rig::new(settings(), 8);
        rig.ruled.max_attempts = limit;
        rig.request(0);
        let mut attempts = 0;
        while let Some((id, machine)) = rig.sent() {
            rig.end(id, attempts, machine, CallOutcome::ConnectFailed);
            attempts += 1;
        }
        assert_eq!(attempts, expected, "{limit:?}");
        assert_eq!(rig.finals(), 1);
    }
}

#[test]
fn a_refusal_by_a_rule_is_final_at_once_with_its_retry_after_time() {
    let mut rig = Rig::new(settings(), 4);
    for (requested, expected) in [(300 * MS, 300 * MS), (0, 0), (60 * S, S)] {
        rig.ruled.refuse_with_retry_after = Some(requested);
        rig.request(1);
        assert_eq!(rig.did.iter().filter(|a| !matches!(a, Action::Log(_))).count(), 1, "{:?}", rig.did);
        assert!(
            matches!(rig.did[0], Action::Refuse { retry_after, .. } if retry_after == expected),
            "{:?}",
            rig.did
        );
    }
}

#[test]
fn exposure_is_counted_by_the_requests_own_class_whatever_its_value_class() {
    // Rule 5 by class: if counted as class 2, requests of class 0 would use up, or add to, the share of that class.
    let mut settings = settings();
    (settings.release.counts_by_class, settings.release.free_attempts) = (true, 3.0);
    let mut rig = Rig::new(settings, 0);
    rig.list(ListUpdate::Snapshot, &[entry(1, 2, 0)]);
    rig.say(Event::RolloutStatus(rollout_status(2, 0, Phase::Trial, 0.1)));
    rig.ruled.value_class = Some(2);
    let sent = (0..40).filter(|_| {
        rig.request(0);
        rig.sent().is_some()
    });
    assert!(sent.count() <= 3 + 4);
    rig.ruled = RequestPolicy::default();
    rig.request(2);
    assert!(rig.sent().is_some(), "the other class has no free attempts left");
}

#[test]
fn the_hash_key_sets_the_position_of_a_request_and_the_key_still_fixes_its_build() {
    let mut settings = settings();
    settings.release.forward_only = true;
    let mut rig = Rig::new(settings, 4);
    rig.list(ListUpdate::Delta, &[entry(9, 2, 0)]);
    rig.say(Event::RolloutStatus(rollout_status(2, 3, Phase::Trial, 1.0)));
    // The new build answers the key under some hash key...
    let mut answered_by_new = false;
    for subject_key in 0..200 {
        rig.ruled.hash_key = Some(subject_key);
        rig.request_with_key(0, 77);
        let Some((id, machine)) = rig.sent() else { continue };
        rig.end(id, 0, machine, CallOutcome::Ok);
        assert!(
            !answered_by_new || machine == 9,
            "a key answered by the new build was sent to an earlier one"
        );
        answered_by_new |= machine == 9;
    }
    assert!(answered_by_new);
    // ...and the key stays with that build under any other hash key.
    for subject_key in 0..50 {
        rig.ruled.hash_key = Some(subject_key);
        rig.request_with_key(0, 77);
        if let Some((id, machine)) = rig.sent() {
            assert_eq!(machine, 9);
            rig.end(id, 0, machine, CallOutcome::Ok);
        }
    }
}

#[test]
fn a_preferred_zone_is_used_until_it_has_clearly_more_load() {
    let mut rig = Rig::new(settings(), 0);
    let mut entries: Vec<MachineEntry> = (0..8).map(|m| entry(m, 1, 0)).collect();
    entries.iter_mut().take(2).for_each(|e| e.zone = 1);
    rig.list(ListUpdate::Snapshot, &entries);
    rig.ruled.preferred_zone = Some(1);
    let mut machines = Vec::new();
    for _ in 0..30 {
        rig.request(0);
        machines.extend(rig.sent().map(|s| s.1));
    }
    assert!(machines[..2].iter().all(|m| *m < 2), "{machines:?}");
    assert!(
        machines.iter().any(|m| *m >= 2),
        "the other zone gets no request although the preferred one has more load: {machines:?}"
    );
    // With no machine left in the preferred zone, others serve.
    let left: Vec<MachineEntry> = entries.iter().filter(|e| e.zone == 0).cloned().collect();
    rig.list(ListUpdate::Snapshot, &left);
    rig.request(0);
    assert!(rig.sent().is_some());
}

#[test]
fn a_deadline_cut_by_a_rule_does_not_count_as_time_waited_before() {
    // A client that states less than the longest wait is taken to have waited before, and is shed first.
    let mut rig = Rig::new(settings(), 1);
    for _ in 0..60 {
        let id = rig.request_with_remaining(0, 0, 2 * S);
        if let Some((_, machine)) = rig.sent() {
            rig.now += 400 * MS;
            rig.end_after(id, 0, machine, CallOutcome::Ok, 400 * MS);
        }
    }
    // Under load, a retry with half of its time left is late, and a request whose deadline a rule has cut is not.
    let is_shed = |rig: &mut Rig, cut| {
        rig.ruled.deadline_cut = cut;
        rig.request_with_remaining(0, 0, S);
        rig.refused()
    };
    assert_ne!(is_shed(&mut rig, 0), is_shed(&mut rig, S));
}
