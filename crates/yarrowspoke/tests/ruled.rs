//! What the operators' rules may bring into the module, and that no guard is loosened by it.

mod common;

use common::*;
use yarrowspoke::interface::*;

fn once() -> RequestPolicy {
    RequestPolicy { at_most_once: true, ..RequestPolicy::default() }
}

#[test]
fn a_request_marked_once_is_never_sent_again_once_it_may_have_run() {
    // Danger: an effect behind a class that is safe by its settings, as a GET that counts votes.
    for ending in [CallOutcome::Error, CallOutcome::Reset, CallOutcome::Timeout] {
        let mut rig = Rig::new(settings(), 4);
        rig.ruled = once();
        rig.request(0);
        let (id, machine) = rig.sent().unwrap();
        rig.end(id, 0, machine, ending);
        assert_eq!((rig.sent(), rig.refused(), rig.failed()), (None, false, true), "{ending:?}");
    }
    // What never ran may go elsewhere, and may be refused.
    let mut rig = Rig::new(settings(), 2);
    rig.ruled = once();
    rig.request(0);
    let (id, machine) = rig.sent().unwrap();
    rig.end(id, 0, machine, CallOutcome::ConnectFailed);
    assert!(rig.sent().is_some());
}

#[test]
fn a_request_marked_once_keeps_away_from_guarded_stages() {
    let mut s = settings();
    s.release.guarded_stages = 4;
    let mut rig = Rig::new(s, 0);
    rig.list(ListUpdate::Snapshot, &[entry(1, 2, 0)]);
    rig.say(Event::RolloutStatus(news(2, 0, Phase::Trial, 1.0)));
    rig.ruled = once();
    rig.request(0);
    assert_eq!(rig.sent(), None);
    rig.ruled = RequestPolicy::default();
    rig.request(0);
    assert!(rig.sent().is_some());
}

#[test]
fn attempts_are_at_most_the_rules_and_never_more_than_the_settings() {
    for (said, expected) in [(Some(1), 1), (Some(2), 2), (Some(9), 3), (None, 3)] {
        let mut rig = Rig::new(settings(), 8);
        rig.ruled.max_attempts = said;
        rig.request(0);
        let mut attempts = 0;
        while let Some((id, machine)) = rig.sent() {
            rig.end(id, attempts, machine, CallOutcome::ConnectFailed);
            attempts += 1;
        }
        assert_eq!(attempts, expected, "{said:?}");
        assert_eq!(rig.finals(), 1);
    }
}

#[test]
fn a_ruled_refusal_is_final_at_once_with_its_time_to_come_back() {
    let mut rig = Rig::new(settings(), 4);
    for (asked, told) in [(300 * MS, 300 * MS), (0, 0), (60 * S, S)] {
        rig.ruled.refuse_with_retry_after = Some(asked);
        rig.request(1);
        assert_eq!(rig.did.iter().filter(|a| !matches!(a, Action::Log(_))).count(), 1, "{:?}", rig.did);
        assert!(
            matches!(rig.did[0], Action::Refuse { retry_after: backoff, .. } if backoff == told),
            "{:?}",
            rig.did
        );
    }
}

#[test]
fn exposure_counts_by_the_requests_own_class_whatever_it_counts_as() {
    // Danger: rule 5 by class. Counted as class 2, requests of class 0 would use up, or add to, another class's share.
    let mut s = settings();
    (s.release.counts_by_class, s.release.free_attempts) = (true, 3.0);
    let mut rig = Rig::new(s, 0);
    rig.list(ListUpdate::Snapshot, &[entry(1, 2, 0)]);
    rig.say(Event::RolloutStatus(news(2, 0, Phase::Trial, 0.1)));
    rig.ruled.value_class = Some(2);
    let sent = (0..40).filter(|_| {
        rig.request(0);
        rig.sent().is_some()
    });
    assert!(sent.count() <= 3 + 4);
    rig.ruled = RequestPolicy::default();
    rig.request(2);
    assert!(rig.sent().is_some(), "the other class has its free attempts still");
}

#[test]
fn the_subject_places_a_request_and_the_key_still_ties_it() {
    let mut s = settings();
    s.release.forward_only = true;
    let mut rig = Rig::new(s, 4);
    rig.list(ListUpdate::Delta, &[entry(9, 2, 0)]);
    rig.say(Event::RolloutStatus(news(2, 3, Phase::Trial, 1.0)));
    // The new build answers the key through some subject...
    let mut tied = false;
    for subject in 0..200 {
        rig.ruled.hash_key = Some(subject);
        rig.keyed(0, 77);
        let Some((id, machine)) = rig.sent() else { continue };
        rig.end(id, 0, machine, CallOutcome::Ok);
        assert!(!tied || machine == 9, "a tied key went back to an earlier build");
        tied |= machine == 9;
    }
    assert!(tied);
    // ...and stays with it under any other.
    for subject in 0..50 {
        rig.ruled.hash_key = Some(subject);
        rig.keyed(0, 77);
        if let Some((id, machine)) = rig.sent() {
            assert_eq!(machine, 9);
            rig.end(id, 0, machine, CallOutcome::Ok);
        }
    }
}

#[test]
fn a_preferred_zone_is_taken_until_it_carries_clearly_more() {
    let mut rig = Rig::new(settings(), 0);
    let mut entries: Vec<MachineEntry> = (0..8).map(|m| entry(m, 1, 0)).collect();
    entries.iter_mut().take(2).for_each(|e| e.zone = 1);
    rig.list(ListUpdate::Snapshot, &entries);
    rig.ruled.preferred_zone = Some(1);
    let mut to = Vec::new();
    for _ in 0..30 {
        rig.request(0);
        to.extend(rig.sent().map(|s| s.1));
    }
    assert!(to[..2].iter().all(|m| *m < 2), "{to:?}");
    assert!(to.iter().any(|m| *m >= 2), "the rest helps once the zone carries more: {to:?}");
    // With nobody left there, others serve.
    let left: Vec<MachineEntry> = entries.iter().filter(|e| e.zone == 0).cloned().collect();
    rig.list(ListUpdate::Snapshot, &left);
    rig.request(0);
    assert!(rig.sent().is_some());
}

#[test]
fn a_wait_cut_short_makes_nobody_seem_old() {
    // Danger: whoever states less than the longest wait is taken for one who has waited before, and is shed first.
    let mut rig = Rig::new(settings(), 1);
    for _ in 0..60 {
        let id = rig.asked(0, 0, 2 * S);
        if let Some((_, machine)) = rig.sent() {
            rig.now += 400 * MS;
            rig.end_after(id, 0, machine, CallOutcome::Ok, 400 * MS);
        }
    }
    // Crowded now: a repeat with half its time left is stale, one whose wait a rule cut is not.
    let shed = |rig: &mut Rig, cut| {
        rig.ruled.deadline_cut = cut;
        rig.asked(0, 0, S);
        rig.refused()
    };
    assert_ne!(shed(&mut rig, 0), shed(&mut rig, S));
}
