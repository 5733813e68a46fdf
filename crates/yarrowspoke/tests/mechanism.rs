//! The mechanism and the defences: routing, judging, voting. Each test names the danger it is for.

mod common;
use common::*;
use yarrowspoke::interface::*;

/// Old machines 0 to 8 and `new` machines of build 2 from 20 on, started at `start`, at `stage`.
fn trial(set: Settings, new: u32, stage: u8, start: Micros) -> Rig {
    let mut rig = Rig::new(set, 9);
    for _ in 0..300 {
        rig.round(0, |_| (CallOutcome::Ok, 60 * MS));
        rig.round(1, |_| (CallOutcome::Ok, 60 * MS));
    }
    let entries: Vec<MachineEntry> = (20..20 + new).map(|m| entry(m, 2, rig.now + start)).collect();
    rig.say(Event::RolloutStatus(news(2, stage, Phase::Trial, 0.5)));
    rig.list(ListUpdate::Delta, &entries);
    rig
}

/// Plays `span` with a request every 5 ms or so, and returns the votes with the time since the start.
fn play(
    rig: &mut Rig,
    span: Micros,
    how: impl Fn(MachineId, u8) -> (CallOutcome, Micros),
) -> Vec<(Micros, Vote)> {
    let (from, mut votes, mut n) = (rig.now, Vec::new(), 0u8);
    while rig.now < from + span {
        for _ in 0..8 {
            n = n.wrapping_add(1);
            let class = u8::from(n % 5 == 0);
            rig.round(class, |m| how(m, class));
        }
        rig.tick();
        if let Some(v) = rig.vote() {
            votes.push((rig.now - from, v));
            let n = RolloutStatus { is_vote_reply: true, ..news(2, 1, Phase::Trial, 0.5) };
            rig.say(Event::RolloutStatus(n));
        }
    }
    votes
}

fn fine(_: MachineId, _: u8) -> (CallOutcome, Micros) {
    (CallOutcome::Ok, 60 * MS)
}

#[test]
fn a_sound_build_is_voted_on_two_seconds_after_the_stage_clock_at_the_soonest() {
    let mut rig = trial(settings(), 2, 1, 0);
    let votes = play(&mut rig, 8 * S, fine);
    let on = votes.iter().find(|v| v.1 == Vote::Advance).expect("it is voted on");
    assert!(on.0 >= 3 * S, "clock one second after the start, then two more: {votes:?}");
    assert!(votes.iter().all(|v| v.1 == Vote::Advance), "{votes:?}");
}

#[test]
fn a_standing_vote_is_renewed_before_it_expires() {
    let mut rig = trial(settings(), 2, 1, 0);
    let votes = play(&mut rig, 16 * S, fine);
    let times: Vec<_> = votes.iter().map(|v| v.0).collect();
    assert!(times.len() > 2 && times.windows(2).all(|w| w[1] - w[0] < 6 * S), "{votes:?}");
}

#[test]
fn a_build_that_fails_on_all_its_machines_is_sent_back() {
    let mut rig = trial(settings(), 3, 1, 0);
    let votes = play(&mut rig, 8 * S, |m, _| {
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
fn one_sick_machine_among_several_is_no_fault_of_its_build() {
    let mut rig = trial(settings(), 4, 1, 0);
    let votes = play(&mut rig, 10 * S, |m, _| {
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
    let mut rig = trial(settings(), 3, 1, 0);
    let votes = play(&mut rig, 8 * S, |m, _| {
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
    let mut rig = trial(settings(), 3, 1, 0);
    let votes = play(&mut rig, 8 * S, |m, _| match m {
        20.. => (CallOutcome::Error, 20 * MS),
        0..=2 => (CallOutcome::Timeout, 600 * MS),
        _ => (CallOutcome::Ok, 60 * MS),
    });
    assert!(votes.iter().any(|v| v.1 == Vote::RollBack), "{votes:?}");
}

#[test]
fn a_build_that_needs_thrice_the_work_is_sent_back() {
    let mut rig = trial(settings(), 3, 1, 0);
    let votes = play(&mut rig, 14 * S, |m, _| (CallOutcome::Ok, if m >= 20 { 180 * MS } else { 60 * MS }));
    assert!(votes.iter().any(|v| v.1 == Vote::RollBack), "{votes:?}");
}

#[test]
fn a_slow_time_that_ends_is_not_blamed_on_the_build() {
    for ends in [4_000, 5_000, 6_000] {
        let mut rig = trial(settings(), 3, 1, 0);
        let mut votes = play(&mut rig, ends * MS, |_, _| (CallOutcome::Ok, 150 * MS));
        votes.extend(play(&mut rig, 12 * S, fine));
        assert!(votes.iter().all(|v| v.1 != Vote::RollBack), "{votes:?}");
        assert!(votes.iter().any(|v| v.1 == Vote::Advance), "{votes:?}");
    }
}

#[test]
fn complaints_count_as_failures_of_the_build() {
    let mut rig = trial(settings(), 3, 1, 0);
    play(&mut rig, 2 * S, fine);
    for n in 0..60 {
        rig.say(Event::Complaint { machine: 20 + n % 3, class: 0, age: S });
    }
    let votes = play(&mut rig, 3 * S, fine);
    assert!(votes.iter().any(|v| v.1 == Vote::RollBack), "{votes:?}");
}

#[test]
fn a_few_false_complaints_do_not_send_a_build_back() {
    let mut rig = trial(settings(), 3, 1, 0);
    play(&mut rig, 5 * S, fine);
    rig.say(Event::Complaint { machine: 20, class: 0, age: S });
    rig.say(Event::Complaint { machine: 21, class: 0, age: S });
    let votes = play(&mut rig, 3 * S, fine);
    assert!(votes.iter().all(|v| v.1 != Vote::RollBack), "{votes:?}");
}

#[test]
fn a_failing_build_is_sent_back_after_its_release_too() {
    let mut rig = trial(settings(), 9, 3, 0);
    rig.say(Event::RolloutStatus(news(2, 3, Phase::Released, 1.0)));
    let old: Vec<MachineEntry> =
        (0..9).map(|m| MachineEntry { state: MachineState::Gone, ..entry(m, 1, 0) }).collect();
    rig.list(ListUpdate::Delta, &old);
    let mut back = false;
    for _ in 0..400 {
        for _ in 0..8 {
            rig.round(
                0,
                |m| if m % 2 == 0 { (CallOutcome::Error, 20 * MS) } else { (CallOutcome::Ok, 60 * MS) },
            );
        }
        rig.tick();
        back |= rig.vote() == Some(Vote::RollBack);
    }
    assert!(back);
}

#[test]
fn under_a_clock_it_never_votes_on_and_holds_while_in_doubt() {
    let mut set = settings();
    set.release.mode = VoteMode::Automatic;
    let mut rig = trial(set.clone(), 3, 1, 0);
    assert_eq!(play(&mut rig, 8 * S, fine), vec![]);
    let mut rig = trial(set, 3, 1, 0);
    let votes = play(&mut rig, 8 * S, |m, _| (CallOutcome::Ok, if m >= 20 { 85 * MS } else { 60 * MS }));
    assert!(votes.iter().any(|v| v.1 == Vote::Hold), "{votes:?}");
    assert!(votes.iter().all(|v| v.1 != Vote::Advance), "{votes:?}");
    let votes = play(&mut rig, 12 * S, fine);
    assert_eq!(votes.last().map(|v| v.1), Some(Vote::Withdraw), "the hold is withdrawn: {votes:?}");
}

#[test]
fn one_voice_suffices_in_the_first_voice_mode() {
    let mut set = settings();
    set.release.mode = VoteMode::FirstVote;
    let mut rig = trial(set, 2, 1, 0);
    assert!(play(&mut rig, 8 * S, fine).iter().any(|v| v.1 == Vote::Advance));
}

#[test]
fn a_vote_without_an_answer_is_cast_again_and_paced() {
    let mut rig = trial(settings(), 2, 1, 0);
    play(&mut rig, 2500 * MS, fine);
    let mut times = Vec::new();
    for _ in 0..160 {
        for _ in 0..8 {
            rig.round(0, |_| (CallOutcome::Ok, 60 * MS));
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
fn with_no_start_seen_it_still_votes_in_the_end() {
    let mut rig = trial(settings(), 0, 1, 0);
    let votes = play(&mut rig, 20 * S, fine);
    assert!(votes.iter().any(|v| v.1 == Vote::Advance && v.0 >= 8 * S), "{votes:?}");
}

#[test]
fn the_trial_holds_no_more_than_the_cap_of_what_the_front_holds() {
    let mut rig = trial(settings(), 3, 2, 0);
    rig.now += 20 * S;
    let mut held = (0, 0);
    for _ in 0..40 {
        rig.request(0);
        if let Some((_, m)) = rig.sent() {
            held = (held.0 + 1, held.1 + i32::from(m >= 20));
            assert!(held.1 <= (f64::from(held.0) * 0.5).ceil() as i32, "{held:?}");
        }
    }
}

#[test]
fn a_silent_machine_is_left_alone_and_its_repeatable_work_goes_elsewhere() {
    let mut rig = Rig::new(settings(), 4);
    for _ in 0..100 {
        rig.round(0, |_| (CallOutcome::Ok, 60 * MS));
    }
    let id = rig.request(0);
    let (_, silent) = rig.sent().expect("a machine is ready");
    let mut cancelled = false;
    for _ in 0..30 {
        rig.now += 50 * MS;
        rig.tick();
        cancelled |= rig.did.iter().any(|a| matches!(a, Action::Cancel { id: c, .. } if *c == id));
    }
    assert!(cancelled, "it is called off");
    rig.end(id, 0, silent, CallOutcome::Cancelled);
    assert!(rig.sent().is_some_and(|s| s.1 != silent), "and sent elsewhere");
    for _ in 0..20 {
        assert_ne!(rig.round(0, |_| (CallOutcome::Ok, 60 * MS)), Some(silent));
    }
}

#[test]
fn overload_is_refused_at_once_with_a_time_to_come_back() {
    let mut rig = Rig::new(settings(), 3);
    for _ in 0..200 {
        rig.round(0, |_| (CallOutcome::Ok, 400 * MS));
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
                .any(|a| matches!(a, Action::Refuse { retry_after: backoff, .. } if *backoff > 0)));
            refused += 1;
        }
    }
    assert!(refused > 200, "{refused}");
}

#[test]
fn when_crowded_what_would_miss_its_aim_is_shed_before_fresh_requests() {
    // Danger: those turned away come again until most of what is served comes too late for its aim.
    let mut rig = Rig::new(settings(), 3);
    let mut crowd = |took| {
        for _ in 0..200 {
            rig.round(0, |_| (CallOutcome::Ok, took));
            rig.now += 20 * MS;
            rig.tick();
        }
        // One who says that he waits for an hour makes nobody else seem old.
        rig.asked(0, 0, 3_600 * S);
        let held: Vec<_> = (0..8).filter(|_| (rig.request(0), rig.sent().is_some()).1).collect();
        assert_eq!(held.len(), 8, "fresh requests are admitted while slots are free");
        // This client has waited for half a second of its two before, and the aim is 0.6 s.
        rig.asked(0, 0, 1_500 * MS);
        let stale = (rig.refused(), rig.finals());
        // Twice the usual work does not fit the aim either; half of it does, however slow the fleet.
        rig.hinted(0, 0, 2 * S, 100 * MS);
        let large = rig.refused();
        rig.hinted(0, 0, 2 * S, 25 * MS);
        (stale, large, rig.sent().is_some())
    };
    assert_eq!(crowd(450 * MS), ((true, 1), true, true), "refused at once, and a fresh one still goes out");
    let mut calm = Rig::new(settings(), 3);
    for _ in 0..200 {
        calm.round(0, |_| (CallOutcome::Ok, 60 * MS));
    }
    calm.asked(0, 0, 1_500 * MS);
    assert!(calm.sent().is_some(), "while answers are quick nothing is shed");
}

#[test]
fn one_builds_queue_turns_nobody_away_from_another_builds_machines() {
    // Danger: an earlier build gone bad holds all slots while the machines of the next one stand idle.
    let mut rig = trial(settings(), 9, 1, 0);
    rig.now += 4 * S;
    for _ in 0..400 {
        rig.request(1);
        let Some((id, machine)) = rig.sent() else { continue };
        rig.now += 20 * MS;
        rig.end_after(id, 0, machine, CallOutcome::Ok, 400 * MS);
        rig.tick();
    }
    // Calls with an effect wait for the third stage: these fill the earlier machines.
    let stuck = (0..60).filter(|_| (rig.request(1), rig.sent().is_some()).1).count();
    assert!(stuck >= 18 && rig.refused(), "{stuck}");
    let mut went = 0;
    for _ in 0..20 {
        rig.request(0);
        went += usize::from(rig.sent().is_some_and(|s| s.1 >= 20));
    }
    assert!(went >= 5, "{went} of 20 went to the new machines");
}

#[test]
fn when_crowded_hardly_a_machine_stands_idle_beside_a_queue() {
    // Danger: of two machines drawn both may have a queue while others idle, and what is left of capacity is lost.
    let spread = |took: Micros| {
        let mut rig = Rig::new(settings(), 12);
        for _ in 0..300 {
            rig.round(0, |_| (CallOutcome::Ok, took));
            rig.now += 20 * MS;
            rig.tick();
        }
        let mut held = [0; 12];
        for _ in 0..24 {
            rig.request(0);
            held[rig.sent().expect("admitted").1 as usize] += 1;
        }
        held.iter().filter(|h| (1..=3).contains(*h)).count()
    };
    assert_eq!(spread(300 * MS), 12, "all at work, none with a long queue");
}

#[test]
fn an_asked_list_is_asked_for_again_after_a_failure() {
    let mut rig = Rig::new(Settings { pulls_list: true, ..settings() }, 2);
    let mut asks = 0;
    for _ in 0..200 {
        rig.now += 50 * MS;
        rig.tick();
        if rig.did.contains(&Action::Subscribe(true)) {
            asks += 1;
            rig.list(ListUpdate::Failed, &[]);
        }
    }
    assert!((4..=10).contains(&asks), "{asks} asks in ten seconds");
    rig.list(ListUpdate::Snapshot, &[entry(0, 1, 0)]);
    for _ in 0..100 {
        rig.now += 50 * MS;
        rig.tick();
        assert!(!rig.did.contains(&Action::Subscribe(true)), "a standing subscription is left alone");
    }
}

#[test]
fn machines_of_a_build_taken_off_are_shunned_while_the_list_still_shows_them() {
    let mut rig = trial(settings(), 3, 1, 0);
    rig.say(Event::RolloutStatus(news(2, 1, Phase::Withdrawn, 0.0)));
    rig.say(Event::RolloutStatus(news(3, 0, Phase::Trial, 0.2)));
    for _ in 0..200 {
        assert!(rig.round(0, |_| (CallOutcome::Ok, 60 * MS)).is_some_and(|m| m < 20));
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
    assert!(rig.refused(), "an unknown class still gets its one answer");
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut rig = trial(settings(), 3, 1, 0);
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
fn links_that_break_on_all_machines_do_not_leave_the_work_to_a_few() {
    let mut rig = Rig::new(settings(), 8);
    let mut per = [0; 8];
    for n in 0..800 {
        let broken = |m| m < 6 && n % 3 == 0;
        let machine =
            rig.round(
                0,
                |m| if broken(m) { (CallOutcome::Reset, 20 * MS) } else { (CallOutcome::Ok, 60 * MS) },
            );
        rig.tick();
        per[machine.expect("a machine is ready") as usize] += 1;
    }
    assert!(per[..6].iter().sum::<i32>() > 300, "{per:?}");
}

#[test]
fn failures_that_have_ceased_do_not_send_a_build_back() {
    let mut rig = trial(settings(), 1, 0, 0);
    let mut votes = play(&mut rig, 2_500 * MS, |m, _| {
        if m >= 20 {
            (CallOutcome::Error, 20 * MS)
        } else {
            (CallOutcome::Ok, 60 * MS)
        }
    });
    votes.extend(play(&mut rig, 9 * S, fine));
    assert!(votes.iter().all(|v| v.1 != Vote::RollBack), "{votes:?}");
    assert!(votes.iter().any(|v| v.1 == Vote::Advance), "{votes:?}");
}

#[test]
fn a_slow_build_is_not_held_against_a_slow_one_taken_off_before_it() {
    let mut rig = trial(settings(), 3, 1, 0);
    let slow = |m: MachineId, _| (CallOutcome::Ok, if m >= 20 { 180 * MS } else { 60 * MS });
    let votes = play(&mut rig, 9 * S, slow);
    assert!(votes.iter().any(|v| v.1 == Vote::RollBack), "{votes:?}");
    rig.say(Event::RolloutStatus(news(2, 1, Phase::Withdrawn, 0.0)));
    let gone = |m| MachineEntry { state: MachineState::Gone, ..entry(m, 2, 0) };
    rig.list(ListUpdate::Delta, &[gone(20), gone(21), gone(22)]);
    play(&mut rig, 9 * S, fine);
    rig.say(Event::RolloutStatus(news(3, 1, Phase::Trial, 0.5)));
    let start = rig.now;
    rig.list(ListUpdate::Delta, &[entry(30, 3, start), entry(31, 3, start), entry(32, 3, start)]);
    let mut back = false;
    while rig.now < start + 10 * S {
        for _ in 0..8 {
            rig.round(0, |m| slow(m, 0));
        }
        rig.tick();
        back |= rig.vote() == Some(Vote::RollBack);
    }
    assert!(back);
}
