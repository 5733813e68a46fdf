//! Routing, admission, the judgement of builds and voting. Comments name the failure that a test guards against.

mod common;
use common::*;
use yarrowspoke::interface::*;

/// Returns a front with old machines 0 to 8 and `new` machines of build 2 from number 20 on, which start `start` from now,
/// at `stage`.
fn with_trial(settings: Settings, new: u32, stage: u8, start: Micros) -> Rig {
    let mut rig = Rig::new(settings, 9);
    for _ in 0..300 {
        rig.run_request(0, |_| (CallOutcome::Ok, 60 * MS));
        rig.run_request(1, |_| (CallOutcome::Ok, 60 * MS));
    }
    let entries: Vec<MachineEntry> = (20..20 + new).map(|m| entry(m, 2, rig.now + start)).collect();
    rig.say(Event::RolloutStatus(rollout_status(2, stage, Phase::Trial, 0.5)));
    rig.list(ListUpdate::Delta, &entries);
    rig
}

/// Runs for `span` with a request about every 5 ms, and returns the votes with the time since the start.
fn run_for(
    rig: &mut Rig,
    span: Micros,
    result_of: impl Fn(MachineId, u8) -> (CallOutcome, Micros),
) -> Vec<(Micros, Vote)> {
    let (from, mut votes, mut n) = (rig.now, Vec::new(), 0u8);
    while rig.now < from + span {
        for _ in 0..8 {
            n = n.wrapping_add(1);
            let class = u8::from(n % 5 == 0);
            rig.run_request(class, |m| result_of(m, class));
        }
        rig.tick();
        if let Some(v) = rig.vote() {
            votes.push((rig.now - from, v));
            let n = RolloutStatus { is_vote_reply: true, ..rollout_status(2, 1, Phase::Trial, 0.5) };
            rig.say(Event::RolloutStatus(n));
        }
    }
    votes
}

fn healthy(_: MachineId, _: u8) -> (CallOutcome, Micros) {
    (CallOutcome::Ok, 60 * MS)
}

#[test]
fn a_sound_build_advances_two_seconds_after_the_start_of_the_stage_clock_at_the_earliest() {
    let mut rig = with_trial(settings(), 2, 1, 0);
    let votes = run_for(&mut rig, 8 * S, healthy);
    let advance = votes.iter().find(|v| v.1 == Vote::Advance).expect("the build gets an advance vote");
    assert!(
        advance.0 >= 3 * S,
        "the clock starts one second after the machines, and two more are needed: {votes:?}"
    );
    assert!(votes.iter().all(|v| v.1 == Vote::Advance), "{votes:?}");
}

#[test]
fn a_standing_vote_is_renewed_before_it_expires() {
    let mut rig = with_trial(settings(), 2, 1, 0);
    let votes = run_for(&mut rig, 16 * S, healthy);
    let times: Vec<_> = votes.iter().map(|v| v.0).collect();
    assert!(times.len() > 2 && times.windows(2).all(|w| w[1] - w[0] < 6 * S), "{votes:?}");
}

#[test]
fn a_build_that_fails_on_all_its_machines_is_rolled_back() {
    let mut rig = with_trial(settings(), 3, 1, 0);
    let votes = run_for(&mut rig, 8 * S, |m, _| {
        if m >= 20 {
            (CallOutcome::Error, 20 * MS)
        } else {
            (CallOutcome::Ok, 60 * MS)
        }
    });
    assert!(votes.iter().any(|v| v.1 == Vote::RollBack), "{votes:?}");
    assert!(votes.iter().all(|v| v.1 != Vote::Advance), "{votes:?}");
}

#[test]
fn one_faulty_machine_among_several_is_no_fault_of_its_build() {
    let mut rig = with_trial(settings(), 4, 1, 0);
    let votes = run_for(&mut rig, 10 * S, |m, _| {
        if m == 20 {
            (CallOutcome::Error, 20 * MS)
        } else {
            (CallOutcome::Ok, 60 * MS)
        }
    });
    assert!(votes.iter().all(|v| v.1 != Vote::RollBack), "{votes:?}");
}

#[test]
fn a_silent_new_machine_is_no_fault_of_its_build() {
    let mut rig = with_trial(settings(), 3, 1, 0);
    let votes = run_for(&mut rig, 8 * S, |m, _| {
        if m == 20 {
            (CallOutcome::Timeout, 600 * MS)
        } else {
            (CallOutcome::Ok, 60 * MS)
        }
    });
    assert!(votes.iter().all(|v| v.1 != Vote::RollBack), "{votes:?}");
}

#[test]
fn lost_answers_on_earlier_machines_do_not_mask_a_bad_build() {
    let mut rig = with_trial(settings(), 3, 1, 0);
    let votes = run_for(&mut rig, 8 * S, |m, _| match m {
        20.. => (CallOutcome::Error, 20 * MS),
        0..=2 => (CallOutcome::Timeout, 600 * MS),
        _ => (CallOutcome::Ok, 60 * MS),
    });
    assert!(votes.iter().any(|v| v.1 == Vote::RollBack), "{votes:?}");
}

#[test]
fn a_build_that_takes_three_times_as_long_is_rolled_back() {
    let mut rig = with_trial(settings(), 3, 1, 0);
    let votes = run_for(&mut rig, 14 * S, |m, _| (CallOutcome::Ok, if m >= 20 { 180 * MS } else { 60 * MS }));
    assert!(votes.iter().any(|v| v.1 == Vote::RollBack), "{votes:?}");
}

#[test]
fn a_slow_period_that_ends_is_not_attributed_to_the_build() {
    for ends in [4_000, 5_000, 6_000] {
        let mut rig = with_trial(settings(), 3, 1, 0);
        let mut votes = run_for(&mut rig, ends * MS, |_, _| (CallOutcome::Ok, 150 * MS));
        votes.extend(run_for(&mut rig, 12 * S, healthy));
        assert!(votes.iter().all(|v| v.1 != Vote::RollBack), "{votes:?}");
        assert!(votes.iter().any(|v| v.1 == Vote::Advance), "{votes:?}");
    }
}

#[test]
fn complaints_count_as_failures_of_the_build() {
    let mut rig = with_trial(settings(), 3, 1, 0);
    run_for(&mut rig, 2 * S, healthy);
    for n in 0..60 {
        rig.say(Event::Complaint { machine: 20 + n % 3, class: 0, age: S });
    }
    let votes = run_for(&mut rig, 3 * S, healthy);
    assert!(votes.iter().any(|v| v.1 == Vote::RollBack), "{votes:?}");
}

#[test]
fn a_few_false_complaints_do_not_roll_a_build_back() {
    let mut rig = with_trial(settings(), 3, 1, 0);
    run_for(&mut rig, 5 * S, healthy);
    rig.say(Event::Complaint { machine: 20, class: 0, age: S });
    rig.say(Event::Complaint { machine: 21, class: 0, age: S });
    let votes = run_for(&mut rig, 3 * S, healthy);
    assert!(votes.iter().all(|v| v.1 != Vote::RollBack), "{votes:?}");
}

#[test]
fn a_failing_build_is_rolled_back_after_its_release_too() {
    let mut rig = with_trial(settings(), 9, 3, 0);
    rig.say(Event::RolloutStatus(rollout_status(2, 3, Phase::Released, 1.0)));
    let old: Vec<MachineEntry> =
        (0..9).map(|m| MachineEntry { state: MachineState::Gone, ..entry(m, 1, 0) }).collect();
    rig.list(ListUpdate::Delta, &old);
    let mut rolled_back = false;
    for _ in 0..400 {
        for _ in 0..8 {
            rig.run_request(0, |m| {
                if m % 2 == 0 {
                    (CallOutcome::Error, 20 * MS)
                } else {
                    (CallOutcome::Ok, 60 * MS)
                }
            });
        }
        rig.tick();
        rolled_back |= rig.vote() == Some(Vote::RollBack);
    }
    assert!(rolled_back);
}

#[test]
fn in_automatic_mode_a_front_never_votes_advance_and_holds_while_in_doubt() {
    let mut settings = settings();
    settings.release.mode = VoteMode::Automatic;
    let mut rig = with_trial(settings.clone(), 3, 1, 0);
    assert_eq!(run_for(&mut rig, 8 * S, healthy), vec![]);
    let mut rig = with_trial(settings, 3, 1, 0);
    let votes = run_for(&mut rig, 8 * S, |m, _| (CallOutcome::Ok, if m >= 20 { 85 * MS } else { 60 * MS }));
    assert!(votes.iter().any(|v| v.1 == Vote::Hold), "{votes:?}");
    assert!(votes.iter().all(|v| v.1 != Vote::Advance), "{votes:?}");
    let votes = run_for(&mut rig, 12 * S, healthy);
    assert_eq!(votes.last().map(|v| v.1), Some(Vote::Withdraw), "the hold is not withdrawn: {votes:?}");
}

#[test]
fn a_front_votes_advance_in_the_first_vote_mode() {
    let mut settings = settings();
    settings.release.mode = VoteMode::FirstVote;
    let mut rig = with_trial(settings, 2, 1, 0);
    assert!(run_for(&mut rig, 8 * S, healthy).iter().any(|v| v.1 == Vote::Advance));
}

#[test]
fn a_vote_without_a_reply_is_repeated_at_a_limited_rate() {
    let mut rig = with_trial(settings(), 2, 1, 0);
    run_for(&mut rig, 2500 * MS, healthy);
    let mut times = Vec::new();
    for _ in 0..160 {
        for _ in 0..8 {
            rig.run_request(0, |_| (CallOutcome::Ok, 60 * MS));
        }
        rig.tick();
        if rig.vote().is_some() {
            times.push(rig.now);
        }
    }
    assert!(times.len() > 2, "{times:?}");
    assert!(times.windows(2).all(|w| w[1] - w[0] >= 1_200 * MS), "{times:?}");
}

#[test]
fn without_a_machine_start_seen_a_front_still_votes_after_the_boot_limit() {
    let mut rig = with_trial(settings(), 0, 1, 0);
    let votes = run_for(&mut rig, 20 * S, healthy);
    assert!(votes.iter().any(|v| v.1 == Vote::Advance && v.0 >= 8 * S), "{votes:?}");
}

#[test]
fn the_trial_has_no_more_than_the_cap_of_the_attempts_in_flight() {
    let mut rig = with_trial(settings(), 3, 2, 0);
    rig.now += 20 * S;
    let mut in_flight = (0, 0);
    for _ in 0..40 {
        rig.request(0);
        if let Some((_, m)) = rig.sent() {
            in_flight = (in_flight.0 + 1, in_flight.1 + i32::from(m >= 20));
            assert!(in_flight.1 <= (f64::from(in_flight.0) * 0.5).ceil() as i32, "{in_flight:?}");
        }
    }
}

#[test]
fn a_silent_machine_is_ejected_and_its_idempotent_requests_are_sent_elsewhere() {
    let mut rig = Rig::new(settings(), 4);
    for _ in 0..100 {
        rig.run_request(0, |_| (CallOutcome::Ok, 60 * MS));
    }
    let id = rig.request(0);
    let (_, silent) = rig.sent().expect("a machine is ready");
    let mut cancelled = false;
    for _ in 0..30 {
        rig.now += 50 * MS;
        rig.tick();
        cancelled |= rig.did.iter().any(|a| matches!(a, Action::Cancel { id: c, .. } if *c == id));
    }
    assert!(cancelled, "the attempt is not cancelled");
    rig.end(id, 0, silent, CallOutcome::Cancelled);
    assert!(rig.sent().is_some_and(|s| s.1 != silent), "the request is not sent elsewhere");
    for _ in 0..20 {
        assert_ne!(rig.run_request(0, |_| (CallOutcome::Ok, 60 * MS)), Some(silent));
    }
}

#[test]
fn requests_in_excess_of_capacity_are_refused_at_once_with_a_retry_after_time() {
    let mut rig = Rig::new(settings(), 3);
    for _ in 0..200 {
        rig.run_request(0, |_| (CallOutcome::Ok, 400 * MS));
        rig.now += 20 * MS;
        rig.tick();
    }
    let mut refused = 0;
    for _ in 0..400 {
        rig.request(0);
        if rig.refused() {
            assert!(rig
                .did
                .iter()
                .any(|a| matches!(a, Action::Refuse { retry_after, .. } if *retry_after > 0)));
            refused += 1;
        }
    }
    assert!(refused > 200, "{refused}");
}

#[test]
fn under_load_requests_that_would_miss_their_latency_target_are_shed_before_new_ones() {
    // Refused clients retry, until most of what is served misses its latency target.
    let mut rig = Rig::new(settings(), 3);
    let mut shed_under_load = |duration| {
        for _ in 0..200 {
            rig.run_request(0, |_| (CallOutcome::Ok, duration));
            rig.now += 20 * MS;
            rig.tick();
        }
        // A client that states a wait of an hour does not make others appear to have waited before.
        rig.request_with_remaining(0, 0, 3_600 * S);
        let in_flight: Vec<_> = (0..8).filter(|_| (rig.request(0), rig.sent().is_some()).1).collect();
        assert_eq!(in_flight.len(), 8, "new requests are refused while slots are free");
        // This client has already waited for half a second of its two, and the latency target is 0.6 s.
        rig.request_with_remaining(0, 0, 1_500 * MS);
        let stale = (rig.refused(), rig.finals());
        // Twice the usual work does not fit the latency target either; half of it does, however slow the fleet.
        rig.request_with_work(0, 0, 2 * S, 100 * MS);
        let large = rig.refused();
        rig.request_with_work(0, 0, 2 * S, 25 * MS);
        (stale, large, rig.sent().is_some())
    };
    assert_eq!(
        shed_under_load(450 * MS),
        ((true, 1), true, true),
        "late or large ones are refused at once, and a new one is sent"
    );
    let mut unloaded = Rig::new(settings(), 3);
    for _ in 0..200 {
        unloaded.run_request(0, |_| (CallOutcome::Ok, 60 * MS));
    }
    unloaded.request_with_remaining(0, 0, 1_500 * MS);
    assert!(unloaded.sent().is_some(), "shed although answers are quick");
}

#[test]
fn the_queue_of_one_build_refuses_no_requests_for_the_machines_of_another() {
    // An earlier build that has become slow would use all slots while the machines of the next one are idle.
    let mut rig = with_trial(settings(), 9, 1, 0);
    rig.now += 4 * S;
    for _ in 0..400 {
        rig.request(1);
        let Some((id, machine)) = rig.sent() else { continue };
        rig.now += 20 * MS;
        rig.end_after(id, 0, machine, CallOutcome::Ok, 400 * MS);
        rig.tick();
    }
    // Requests that are not idempotent wait for the third stage, so these fill the earlier machines.
    let stuck = (0..60).filter(|_| (rig.request(1), rig.sent().is_some()).1).count();
    assert!(stuck >= 18 && rig.refused(), "{stuck}");
    let mut sent = 0;
    for _ in 0..20 {
        rig.request(0);
        sent += usize::from(rig.sent().is_some_and(|s| s.1 >= 20));
    }
    assert!(sent >= 5, "{sent} of 20 were sent to the new machines");
}

#[test]
fn under_load_hardly_a_machine_is_idle_beside_a_queue() {
    // With two machines drawn, both may have a queue while others are idle, and their capacity is lost.
    let busy_machines = |duration: Micros| {
        let mut rig = Rig::new(settings(), 12);
        for _ in 0..300 {
            rig.run_request(0, |_| (CallOutcome::Ok, duration));
            rig.now += 20 * MS;
            rig.tick();
        }
        let mut in_flight = [0; 12];
        for _ in 0..24 {
            rig.request(0);
            in_flight[rig.sent().expect("admitted").1 as usize] += 1;
        }
        in_flight.iter().filter(|h| (1..=3).contains(*h)).count()
    };
    assert_eq!(busy_machines(300 * MS), 12, "some machines are idle or have a long queue");
}

#[test]
fn a_pulled_list_is_requested_again_after_a_failure() {
    let mut rig = Rig::new(Settings { pulls_list: true, ..settings() }, 2);
    let mut calls = 0;
    for _ in 0..200 {
        rig.now += 50 * MS;
        rig.tick();
        if rig.did.contains(&Action::Subscribe(true)) {
            calls += 1;
            rig.list(ListUpdate::Failed, &[]);
        }
    }
    assert!((4..=10).contains(&calls), "{calls} calls in ten seconds");
    rig.list(ListUpdate::Snapshot, &[entry(0, 1, 0)]);
    for _ in 0..100 {
        rig.now += 50 * MS;
        rig.tick();
        assert!(!rig.did.contains(&Action::Subscribe(true)), "an open subscription is requested again");
    }
}

#[test]
fn machines_of_a_withdrawn_build_get_no_requests_while_the_list_still_shows_them() {
    let mut rig = with_trial(settings(), 3, 1, 0);
    rig.say(Event::RolloutStatus(rollout_status(2, 1, Phase::Withdrawn, 0.0)));
    rig.say(Event::RolloutStatus(rollout_status(3, 0, Phase::Trial, 0.2)));
    for _ in 0..200 {
        assert!(rig.run_request(0, |_| (CallOutcome::Ok, 60 * MS)).is_some_and(|m| m < 20));
    }
}

#[test]
fn unknown_and_hostile_input_is_ignored_and_counted() {
    let mut rig = Rig::new(settings(), 2);
    let before = rig.front.ignored_events();
    rig.say(Event::PeerMessage { from: 99, bytes: &[255; 256] });
    rig.say(Event::Complaint { machine: 4242, class: 0, age: 0 });
    rig.say(Event::Complaint { machine: 0, class: 200, age: 0 });
    rig.end(777, 3, 0, CallOutcome::Ok);
    rig.say(Event::Timer { name: u64::MAX });
    rig.say(Event::ClientLeft { id: 888 });
    assert_eq!(rig.finals(), 0);
    assert!(rig.front.ignored_events() >= before + 4);
    rig.request(99);
    assert!(rig.refused(), "a request of an unknown class gets no answer");
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut rig = with_trial(settings(), 3, 1, 0);
        let mut all = Vec::new();
        for _ in 0..200 {
            rig.request(0);
            all.extend(rig.did.clone());
            rig.now += 3 * MS;
            rig.tick();
            all.extend(rig.did.clone());
        }
        all
    };
    assert_eq!(run(), run());
}

#[test]
fn links_that_break_on_most_machines_do_not_concentrate_the_load_on_a_few() {
    let mut rig = Rig::new(settings(), 8);
    let mut per_machine = [0; 8];
    for n in 0..800 {
        let broken = |m| m < 6 && n % 3 == 0;
        let machine = rig.run_request(0, |m| {
            if broken(m) {
                (CallOutcome::Reset, 20 * MS)
            } else {
                (CallOutcome::Ok, 60 * MS)
            }
        });
        rig.tick();
        per_machine[machine.expect("a machine is ready") as usize] += 1;
    }
    assert!(per_machine[..6].iter().sum::<i32>() > 300, "{per_machine:?}");
}

#[test]
fn failures_that_have_ceased_do_not_roll_a_build_back() {
    let mut rig = with_trial(settings(), 1, 0, 0);
    let mut votes = run_for(&mut rig, 2_500 * MS, |m, _| {
        if m >= 20 {
            (CallOutcome::Error, 20 * MS)
        } else {
            (CallOutcome::Ok, 60 * MS)
        }
    });
    votes.extend(run_for(&mut rig, 9 * S, healthy));
    assert!(votes.iter().all(|v| v.1 != Vote::RollBack), "{votes:?}");
    assert!(votes.iter().any(|v| v.1 == Vote::Advance), "{votes:?}");
}

#[test]
fn a_slow_build_is_not_compared_with_a_slow_build_withdrawn_before_it() {
    let mut rig = with_trial(settings(), 3, 1, 0);
    let slow = |m: MachineId, _| (CallOutcome::Ok, if m >= 20 { 180 * MS } else { 60 * MS });
    let votes = run_for(&mut rig, 9 * S, slow);
    assert!(votes.iter().any(|v| v.1 == Vote::RollBack), "{votes:?}");
    rig.say(Event::RolloutStatus(rollout_status(2, 1, Phase::Withdrawn, 0.0)));
    let gone = |m| MachineEntry { state: MachineState::Gone, ..entry(m, 2, 0) };
    rig.list(ListUpdate::Delta, &[gone(20), gone(21), gone(22)]);
    run_for(&mut rig, 9 * S, healthy);
    rig.say(Event::RolloutStatus(rollout_status(3, 1, Phase::Trial, 0.5)));
    let start = rig.now;
    rig.list(ListUpdate::Delta, &[entry(30, 3, start), entry(31, 3, start), entry(32, 3, start)]);
    let mut rolled_back = false;
    while rig.now < start + 10 * S {
        for _ in 0..8 {
            rig.run_request(0, |m| slow(m, 0));
        }
        rig.tick();
        rolled_back |= rig.vote() == Some(Vote::RollBack);
    }
    assert!(rolled_back);
}
