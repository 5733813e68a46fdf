//! The five rules, each with tests that fail if its guard is removed.

mod common;
use common::*;
use yarrowspoke::interface::*;
use yarrowspoke::rules::forward_only::KeyBuilds;

// Rule 1: every request gets exactly one final answer in time.

#[test]
fn a_request_that_no_machine_can_take_gets_one_answer_before_its_deadline() {
    let mut rig = Rig::new(settings(), 0);
    rig.request(0);
    let mut finals = rig.finals();
    for _ in 0..40 {
        rig.now += 50 * MS;
        rig.tick();
        finals += rig.finals();
    }
    assert_eq!(finals, 1);
}

#[test]
fn a_timeout_at_the_deadline_is_answered_at_once_and_nothing_is_sent_after() {
    let mut rig = Rig::new(settings(), 3);
    let id = rig.request(0);
    let (_, machine) = rig.sent().expect("a ready machine takes it");
    rig.now += 2 * S;
    rig.end(id, 0, machine, CallOutcome::Timeout);
    assert_eq!((rig.finals(), rig.sent()), (1, None));
    rig.tick();
    assert_eq!((rig.finals(), rig.sent()), (0, None));
}

#[test]
fn a_request_whose_client_left_is_never_answered_or_sent_again() {
    let mut rig = Rig::new(settings(), 3);
    let id = rig.request(0);
    let (_, machine) = rig.sent().expect("a ready machine takes it");
    rig.say(Event::ClientLeft { id });
    rig.end(id, 0, machine, CallOutcome::Error);
    assert_eq!((rig.finals(), rig.sent()), (0, None));
}

#[test]
fn a_request_whose_last_attempt_failed_is_refused_at_once_with_a_retry_after_time() {
    let mut rig = Rig::new(Settings { max_attempts: 1, ..settings() }, 3);
    let id = rig.request(0);
    let (_, machine) = rig.sent().expect("a ready machine takes it");
    rig.end(id, 0, machine, CallOutcome::Error);
    assert!(rig.did.iter().any(|a| matches!(a, Action::Refuse { retry_after, .. } if *retry_after > 0)));
}

// Rule 2: no effect runs twice.

#[test]
fn an_at_most_once_request_that_may_have_run_is_neither_sent_again_nor_refused() {
    for outcome in [CallOutcome::Error, CallOutcome::Timeout, CallOutcome::Reset, CallOutcome::Cancelled] {
        let mut rig = Rig::new(settings(), 3);
        let id = rig.request(1);
        let (_, machine) = rig.sent().expect("a ready machine takes it");
        rig.end(id, 0, machine, outcome);
        assert!(rig.sent().is_none() && !rig.refused() && rig.failed(), "{outcome:?}: {:?}", rig.did);
    }
}

#[test]
fn an_at_most_once_request_that_never_ran_is_sent_to_another_machine() {
    for outcome in [CallOutcome::Rejected, CallOutcome::ConnectFailed] {
        let mut rig = Rig::new(settings(), 3);
        let id = rig.request(1);
        let (_, machine) = rig.sent().expect("a ready machine takes it");
        rig.end(id, 0, machine, outcome);
        assert!(rig.sent().is_some_and(|s| s.1 != machine), "{outcome:?}");
    }
}

#[test]
fn a_keyed_request_is_repeated_only_in_its_cell_and_within_the_dedup_window() {
    let mut settings = settings();
    settings.classes[2].dedup_scope = DedupScope::Cell;
    settings.classes[2].dedup_window = 300 * MS;
    let mut rig = Rig::new(settings, 0);
    let mut entries: Vec<MachineEntry> = (0..8).map(|m| entry(m, 1, 0)).collect();
    entries.iter_mut().for_each(|e| e.cell = (e.machine % 4) as u16);
    rig.list(ListUpdate::Snapshot, &entries);
    for _ in 0..20 {
        let id = rig.request(2);
        let (_, first) = rig.sent().expect("a ready machine takes it");
        rig.end(id, 0, first, CallOutcome::Error);
        let (_, second) = rig.sent().expect("its cell has another machine");
        assert_eq!(first % 4, second % 4);
        rig.end(id, 1, second, CallOutcome::Ok);
    }
    let id = rig.request(2);
    let (_, machine) = rig.sent().expect("a ready machine takes it");
    rig.now += 290 * MS;
    rig.end(id, 0, machine, CallOutcome::Error);
    assert!(rig.sent().is_none() && rig.failed(), "the dedup window may have ended: {:?}", rig.did);
}

#[test]
fn no_second_attempt_is_in_flight_where_hedging_is_not_allowed() {
    let mut rig = Rig::new(settings(), 3);
    let id = rig.request(0);
    let (_, machine) = rig.sent().expect("a ready machine takes it");
    for _ in 0..30 {
        rig.now += 50 * MS;
        rig.tick();
        assert!(rig.sent().is_none());
    }
    rig.end(id, 0, machine, CallOutcome::Cancelled);
    assert!(rig.sent().is_some_and(|s| s.1 != machine));
}

// Rule 3: nothing is sent to draining or removed machines.

#[test]
fn nothing_is_sent_to_a_draining_or_removed_machine() {
    for state in [MachineState::Draining, MachineState::Gone] {
        let mut rig = Rig::new(settings(), 2);
        rig.list(ListUpdate::Delta, &[MachineEntry { state, ..entry(0, 1, 0) }]);
        for _ in 0..30 {
            rig.request(0);
            assert_eq!(rig.sent().map(|s| s.1), Some(1));
            let id = rig.next - 1;
            rig.end(id, 0, 1, CallOutcome::Ok);
        }
    }
}

#[test]
fn nothing_is_sent_to_a_machine_missing_from_a_snapshot() {
    let mut rig = Rig::new(settings(), 2);
    rig.list(ListUpdate::Snapshot, &[entry(1, 1, 0)]);
    for _ in 0..20 {
        assert_eq!(rig.run_request(0, |_| (CallOutcome::Ok, 50 * MS)), Some(1));
    }
}

// Rule 4: cold machines are not overloaded.

#[test]
fn a_cold_machine_gets_less_work_than_its_cold_budget() {
    let mut rig = Rig::new(settings(), 2);
    for _ in 0..200 {
        rig.run_request(0, |_| (CallOutcome::Ok, 50 * MS));
    }
    // The warm machines now keep their attempts in flight, so that the cold one always has the least load.
    rig.list(ListUpdate::Delta, &[entry(9, 1, rig.now)]);
    let mut cold = 0;
    for _ in 0..150 {
        rig.now += 2 * MS;
        let id = rig.request(0);
        if rig.sent() == Some((id, 9)) {
            cold += 1;
            rig.end(id, 0, 9, CallOutcome::Ok);
        }
    }
    // Each warm machine was sent about 150 requests in the last cold budget window. The cold one starts at 30 % of its
    // capacity and can bear three times that; the guard allows half of it.
    assert!(cold > 0, "the cold machine gets no work to warm up");
    assert!(cold <= 75, "{cold} of 150 went to the cold machine");
}

#[test]
fn a_front_without_history_sends_a_cold_machine_one_request() {
    let mut rig = Rig::new(settings(), 0);
    rig.list(ListUpdate::Snapshot, &[entry(9, 1, rig.now)]);
    let sent = (0..20).filter(|_| rig.run_request(0, |_| (CallOutcome::Ok, 50 * MS)).is_some()).count();
    assert_eq!(sent, 1);
}

// Rule 5: the exposure of a build on trial stays within its cap.

/// Returns a front with one new and nine old machines, all warm, at `stage` with `cap`.
fn with_trial(settings: Settings, stage: u8, cap: f64) -> Rig {
    let mut rig = Rig::new(settings, 9);
    rig.list(ListUpdate::Delta, &[entry(20, 2, 1)]);
    rig.say(Event::RolloutStatus(rollout_status(2, stage, Phase::Trial, cap)));
    rig
}

fn count_sent_to_trial(rig: &mut Rig, class: u8, n: usize) -> usize {
    (0..n).filter(|_| rig.run_request(class, |_| (CallOutcome::Ok, 50 * MS)) == Some(20)).count()
}

#[test]
fn attempts_on_the_trial_build_stay_within_free_attempts_plus_cap_times_requests() {
    let mut rig = with_trial(settings(), 0, 0.05);
    rig.list(ListUpdate::Snapshot, &[entry(20, 2, 1)]);
    let sent = count_sent_to_trial(&mut rig, 0, 100);
    assert!(sent <= 3 + 5, "{sent} of 100 at a cap of 5 % and 3 free");
    assert!(sent >= 3, "{sent}: the free attempts are not used although no other machine is left");
}

#[test]
fn exposure_is_counted_by_class_where_the_settings_say_so() {
    let mut settings = settings();
    settings.release.counts_by_class = true;
    let mut rig = with_trial(settings, 2, 0.05);
    rig.list(ListUpdate::Snapshot, &[entry(20, 2, 1)]);
    for _ in 0..60 {
        rig.now += MS;
        rig.request(1); // refused or failed after a while; counts for class 1 only
    }
    assert!(count_sent_to_trial(&mut rig, 0, 20) <= 3 + 1);
}

#[test]
fn a_cap_of_zero_takes_effect_at_once() {
    let mut rig = with_trial(settings(), 2, 1.0);
    assert!(count_sent_to_trial(&mut rig, 0, 50) > 0);
    rig.say(Event::RolloutStatus(rollout_status(2, 2, Phase::RollingBack, 0.0)));
    rig.list(ListUpdate::Snapshot, &[entry(20, 2, 1)]);
    assert_eq!(count_sent_to_trial(&mut rig, 0, 20), 0);
}

#[test]
fn a_build_not_named_yet_counts_as_in_the_first_stage() {
    let mut rig = Rig::new(settings(), 0);
    rig.list(ListUpdate::Snapshot, &[entry(20, 3, 1)]);
    rig.say(Event::RolloutStatus(rollout_status(2, 3, Phase::Released, 1.0)));
    assert!(count_sent_to_trial(&mut rig, 0, 100) <= 3 + 20);
}

#[test]
fn guarded_stages_take_only_idempotent_requests() {
    let mut settings = settings();
    settings.release.guarded_stages = 3;
    let mut rig = with_trial(settings, 2, 1.0);
    rig.list(ListUpdate::Snapshot, &[entry(20, 2, 1)]);
    assert_eq!(count_sent_to_trial(&mut rig, 1, 20) + count_sent_to_trial(&mut rig, 2, 20), 0);
    assert!(count_sent_to_trial(&mut rig, 0, 20) > 0);
}

#[test]
fn requests_that_are_not_idempotent_wait_for_the_third_stage_while_earlier_machines_remain() {
    for (stage, open) in [(0, false), (1, false), (2, true)] {
        let mut rig = with_trial(settings(), stage, 1.0);
        assert_eq!(count_sent_to_trial(&mut rig, 1, 100) > 0, open, "stage {stage}");
    }
}

#[test]
fn a_key_answered_by_the_new_build_is_sent_to_no_earlier_build() {
    let mut settings = settings();
    settings.release.forward_only = true;
    let mut rig = with_trial(settings, 2, 1.0);
    let key = (1..500)
        .find(|key| {
            rig.request_with_key(0, *key);
            let (id, machine) = rig.sent().expect("a machine is ready");
            rig.end(id, 0, machine, CallOutcome::Ok);
            machine == 20
        })
        .expect("some key goes to the new build");
    rig.list(ListUpdate::Delta, &[MachineEntry { state: MachineState::Draining, ..entry(20, 2, 1) }]);
    rig.request_with_key(0, key);
    assert_eq!(rig.sent(), None, "sent to an earlier build");
    let mut finals = 0;
    for _ in 0..40 {
        rig.now += 50 * MS;
        rig.tick();
        assert_eq!(rig.sent(), None);
        finals += rig.finals();
    }
    assert_eq!(finals, 1, "not answered before its deadline");
}

#[test]
fn ever_new_keys_take_a_bounded_memory_and_keep_the_rule() {
    // Guards against a client that sends every request under a new key: each key was kept for as long as the process ran.
    let mut keys = KeyBuilds::default();
    (0..1_000_000).for_each(|key| keys.record(key, 2));
    assert!(keys.len() <= 131_072, "{} keys", keys.len());
    assert!((0..2_000_000).all(|key| keys.newest(key) == Some(2)));
    // What an earlier build answered is of no use once a newer one is known, and makes room for its keys.
    keys.record(7, 3);
    keys.forget_before(3);
    assert_eq!((keys.newest(7), keys.newest(8), keys.len()), (Some(3), None, 1));
}

#[test]
fn a_late_answer_of_an_earlier_build_does_not_take_a_key_back() {
    let mut keys = KeyBuilds::default();
    keys.record(7, 3);
    keys.record(7, 2);
    assert_eq!(keys.newest(7), Some(3));
}

// Rule 1 at the end of the process: nothing is answered once it may have been killed.

#[test]
fn requests_that_are_open_at_a_shutdown_are_answered_by_its_end() {
    for (class, written) in [(0, true), (1, true), (1, false)] {
        let mut rig = Rig::new(settings(), 3);
        let id = rig.request_with_remaining(class, 0, 5 * S);
        let (_, machine) = rig.sent().expect("a ready machine takes it");
        rig.say(Event::Shutdown { remaining: S });
        assert_eq!(rig.finals(), 0);
        rig.now += S;
        let outcome = if written { CallOutcome::Timeout } else { CallOutcome::ConnectFailed };
        rig.end(id, 0, machine, outcome);
        assert_eq!((rig.finals(), rig.sent()), (1, None));
        // Only what may have run, and must not run twice, fails; for anything else a retry is harmless.
        assert_eq!(rig.failed(), class == 1 && written);
    }
}

#[test]
fn a_request_that_can_hardly_be_answered_before_the_shutdown_ends_is_refused_unsent() {
    let mut rig = Rig::new(settings(), 3);
    rig.run_request(0, |_| (CallOutcome::Ok, 300 * MS));
    rig.say(Event::Shutdown { remaining: 2 * S });
    rig.request_with_remaining(1, 0, 5 * S);
    assert!(rig.sent().is_some());
    rig.now += 1_500 * MS;
    rig.request_with_remaining(1, 0, 5 * S);
    assert!(rig.refused() && rig.sent().is_none());
    rig.now += S;
    rig.request_with_remaining(0, 0, 5 * S);
    assert!(rig.refused() && rig.sent().is_none());
}
