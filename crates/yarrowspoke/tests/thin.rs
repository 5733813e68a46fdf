//! Fronts with little traffic: one of hundreds, without work hints and without load reports in responses. Comments name the
//! failure that a test guards against.

mod common;
use common::*;
use yarrowspoke::interface::*;

/// Returns the settings of one of 400 fronts, where half of the wrong answers are reported.
fn low_traffic_settings() -> Settings {
    let mut settings = Settings { fronts: 400, report_source: ReportSource::Probes, ..settings() };
    settings.release.keeps_old_machines = true;
    (settings.release.advance_votes, settings.release.rollback_votes, settings.release.complaint_share) =
        (200, 32, 0.5);
    settings
}

/// Serves `n` requests, one every 700 ms, each after `duration`.
fn serve_requests(rig: &mut Rig, n: u32, duration: Micros) {
    for _ in 0..n {
        let id = rig.request(0);
        while let Some(machine) = probed_machine(rig) {
            answer_probe(rig, machine, CallOutcome::Ok);
        }
        rig.now += duration;
        rig.sent()
            .into_iter()
            .for_each(|(_, machine)| rig.end_after(id, 0, machine, CallOutcome::Ok, duration));
        for _ in 0..(700 * MS - duration) / (50 * MS) {
            rig.now += 50 * MS;
            rig.tick();
        }
    }
}

fn probed_machine(rig: &Rig) -> Option<MachineId> {
    rig.did.iter().find_map(|a| if let Action::Probe { machine } = a { Some(*machine) } else { None })
}

fn answer_probe(rig: &mut Rig, machine: MachineId, outcome: CallOutcome) {
    rig.say(Event::ProbeEnded { machine, outcome, duration: MS, load_report: &[] });
}

#[test]
fn the_first_answers_set_the_usual_answer_time() {
    // With a weight of one twentieth for each answer, the usual time would stay too short, a slow service would be taken for
    // a silent machine, and requests would be sent twice.
    let mut rig = Rig::new(Settings { allows_hedging: true, ..low_traffic_settings() }, 20);
    serve_requests(&mut rig, 1, 400 * MS);
    rig.request(0);
    assert!(rig.sent().is_some());
    for _ in 0..16 {
        rig.now += 50 * MS;
        rig.tick();
        assert!(rig.sent().is_none(), "a machine that takes twice the usual time is taken as silent");
    }
}

#[test]
fn a_front_whose_attempts_end_unanswered_sheds_requests() {
    // If only served answers counted, a front would take an overloaded fleet for a quick one and add to its load.
    let mut rig = Rig::new(low_traffic_settings(), 20);
    serve_requests(&mut rig, 10, 100 * MS);
    let mut shed = 0;
    for _ in 0..60 {
        let id = rig.request(0);
        match rig.sent() {
            Some((_, machine)) => {
                rig.now += 700 * MS;
                rig.end_after(id, 0, machine, CallOutcome::Timeout, 2 * S);
            }
            None => {
                shed += u32::from(rig.refused());
                rig.now += 100 * MS;
            }
        }
        rig.tick();
    }
    assert!(shed > 20, "{shed} of 60");
}

#[test]
fn requests_meant_for_cold_machines_are_not_concentrated_on_warm_ones() {
    let mut rig = Rig::new(low_traffic_settings(), 9);
    serve_requests(&mut rig, 20, 60 * MS);
    // One machine of the new build is warm, eight have just started.
    let mut list = vec![entry(20, 2, rig.now - 60 * S)];
    list.extend((21..29).map(|m| entry(m, 2, rig.now + 10 * S)));
    rig.say(Event::RolloutStatus(rollout_status(2, 2, Phase::Trial, 1.0)));
    rig.now += 10 * S;
    rig.list(ListUpdate::Delta, &list);
    let mut sent_to_warm = 0;
    for _ in 0..300 {
        sent_to_warm += u32::from(rig.run_request(0, |_| (CallOutcome::Ok, 5 * MS)) == Some(20));
        rig.now += 5 * MS;
    }
    assert!(sent_to_warm < 75, "{sent_to_warm} of 300 were sent to the one warm machine of nine");
}

#[test]
fn a_machine_is_probed_first_and_another_picked_if_the_probe_is_not_answered() {
    let mut rig = Rig::new(Settings { allows_probes: true, ..low_traffic_settings() }, 20);
    serve_requests(&mut rig, 10, 300 * MS);
    let id = rig.request(0);
    let first = probed_machine(&rig).expect("answers take half the latency target, so a machine is probed");
    assert!(rig.sent().is_none());
    rig.now += 25 * MS;
    rig.say(Event::Timer { name: id + 1 });
    let (_, taken) = rig.sent().expect("sent without a second probe");
    assert_ne!(taken, first);
    // A late answer to the probe changes nothing.
    answer_probe(&mut rig, first, CallOutcome::Ok);
    assert!(rig.sent().is_none());
    rig.end(id, 0, taken, CallOutcome::Ok);
    // A client that is about to leave must get its final answer before a probe could be answered (rule 1).
    rig.request_with_remaining(0, 0, 60 * MS);
    assert!(probed_machine(&rig).is_none() && (rig.sent().is_some() || rig.refused()));
    // A machine that answers its probe at once gets the request.
    rig.request(0);
    let first = probed_machine(&rig).unwrap();
    answer_probe(&mut rig, first, CallOutcome::Ok);
    assert_eq!(rig.sent().map(|s| s.1), Some(first));
}

#[test]
fn where_connections_fail_machines_that_answered_recently_are_used() {
    let mut rig = Rig::new(low_traffic_settings(), 20);
    let reachable = rig.run_request(0, |_| (CallOutcome::Ok, 50 * MS)).unwrap();
    let mut sent_elsewhere = 0;
    for n in 0..80 {
        let result =
            |m| if m == reachable { (CallOutcome::Ok, 50 * MS) } else { (CallOutcome::ConnectFailed, MS) };
        sent_elsewhere += u32::from(rig.run_request(0, result) != Some(reachable) && n >= 40);
        rig.now += 20 * MS;
    }
    assert!(sent_elsewhere <= 8, "{sent_elsewhere} of 40");
}

/// Returns a front with a build on trial on four machines, after about forty answers.
fn with_trial() -> Rig {
    let mut rig = Rig::new(low_traffic_settings(), 9);
    for _ in 0..60 {
        rig.run_request(0, |_| (CallOutcome::Ok, 60 * MS));
    }
    rig.say(Event::RolloutStatus(rollout_status(2, 2, Phase::Trial, 1.0)));
    let list: Vec<MachineEntry> = (20..24).map(|m| entry(m, 2, rig.now - 60 * S)).collect();
    rig.list(ListUpdate::Delta, &list);
    for _ in 0..40 {
        rig.run_request(0, |_| (CallOutcome::Ok, 60 * MS));
        rig.now += 20 * MS;
    }
    rig
}

fn votes_rollback(rig: &mut Rig) -> bool {
    (0..200).any(|_| {
        rig.run_request(0, |_| (CallOutcome::Ok, 60 * MS));
        rig.now += 40 * MS;
        rig.tick();
        rig.vote() == Some(Vote::RollBack)
    })
}

#[test]
fn a_few_complaints_about_several_machines_roll_a_build_back() {
    // One machine that spoils its answers is no fault of its build, nor is a complaint about a correct answer now and then.
    for (machines, rolled_back) in [(&[20, 21, 22][..], true), (&[20, 20, 20], false), (&[21], false)] {
        let mut rig = with_trial();
        machines.iter().for_each(|m| rig.say(Event::Complaint { machine: *m, class: 0, age: S }));
        assert_eq!(
            votes_rollback(&mut rig),
            rolled_back,
            "complaints about {machines:?} among about forty answers"
        );
    }
}

#[test]
fn errors_of_bad_requests_do_not_roll_a_released_build_back() {
    // With no earlier machine to compare with, a front with little traffic would attribute failures that occur everywhere to
    // the build.
    let mut rig = Rig::new(low_traffic_settings(), 9);
    let mut n = 0u32;
    let mut votes_to_roll_back = |rig: &mut Rig| {
        n += 1;
        let result = if n.is_multiple_of(3) { (CallOutcome::Error, MS) } else { (CallOutcome::Ok, 60 * MS) };
        rig.run_request(0, |_| result);
        rig.now += 20 * MS;
        rig.tick();
        rig.vote() == Some(Vote::RollBack)
    };
    (0..60).for_each(|_| assert!(!votes_to_roll_back(&mut rig)));
    rig.say(Event::RolloutStatus(rollout_status(2, 2, Phase::Trial, 1.0)));
    let list: Vec<MachineEntry> = (20..29).map(|m| entry(m, 2, rig.now - 60 * S)).collect();
    rig.list(ListUpdate::Delta, &list);
    (0..60).for_each(|_| assert!(!votes_to_roll_back(&mut rig)));
    rig.say(Event::RolloutStatus(rollout_status(2, 2, Phase::Released, 1.0)));
    rig.list(ListUpdate::Snapshot, &list);
    (0..400).for_each(|_| assert!(!votes_to_roll_back(&mut rig)));
}
