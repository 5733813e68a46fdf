//! Fronts that see little: one of hundreds, no hints, no reports in answers. Each test names the danger it is for.

mod common;
use common::*;
use yarrowspoke::interface::*;

/// One of 400 fronts, where half of the wrong answers are reported.
fn thin() -> Settings {
    let mut set = Settings { fronts: 400, report_source: ReportSource::Probes, ..settings() };
    set.release.keeps_old_machines = true;
    (set.release.advance_votes, set.release.rollback_votes, set.release.complaint_share) = (200, 32, 0.5);
    set
}

/// A request in 700 ms, served after `took`.
fn serve(rig: &mut Rig, n: u32, took: Micros) {
    for _ in 0..n {
        let id = rig.request(0);
        while let Some(machine) = asked(rig) {
            answer(rig, machine, CallOutcome::Ok);
        }
        rig.now += took;
        rig.sent().into_iter().for_each(|(_, machine)| rig.end_after(id, 0, machine, CallOutcome::Ok, took));
        for _ in 0..(700 * MS - took) / (50 * MS) {
            rig.now += 50 * MS;
            rig.tick();
        }
    }
}

fn asked(rig: &Rig) -> Option<MachineId> {
    rig.did.iter().find_map(|a| if let Action::Probe { machine } = a { Some(*machine) } else { None })
}

fn answer(rig: &mut Rig, machine: MachineId, ending: CallOutcome) {
    rig.say(Event::ProbeEnded { machine, outcome: ending, duration: MS, load_report: &[] });
}

#[test]
fn the_first_answers_tell_how_long_answers_take() {
    // Danger: a time learned by a twentieth an answer takes a slow service for a silent machine, and sends twice.
    let mut rig = Rig::new(Settings { allows_hedging: true, ..thin() }, 20);
    serve(&mut rig, 1, 400 * MS);
    rig.request(0);
    assert!(rig.sent().is_some());
    for _ in 0..16 {
        rig.now += 50 * MS;
        rig.tick();
        assert!(rig.sent().is_none(), "twice the usual time is no silence");
    }
}

#[test]
fn a_front_whose_attempts_end_unanswered_sheds() {
    // Danger: with served answers alone to go by, a front in a jam takes it for quick and feeds it.
    let mut rig = Rig::new(thin(), 20);
    serve(&mut rig, 10, 100 * MS);
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
fn turns_of_cold_machines_are_not_heaped_on_the_warm_ones() {
    let mut rig = Rig::new(thin(), 9);
    serve(&mut rig, 20, 60 * MS);
    // One machine of the new build is warm, eight have just started.
    let mut list = vec![entry(20, 2, rig.now - 60 * S)];
    list.extend((21..29).map(|m| entry(m, 2, rig.now + 10 * S)));
    rig.say(Event::RolloutStatus(news(2, 2, Phase::Trial, 1.0)));
    rig.now += 10 * S;
    rig.list(ListUpdate::Delta, &list);
    let mut warm = 0;
    for _ in 0..300 {
        warm += u32::from(rig.round(0, |_| (CallOutcome::Ok, 5 * MS)) == Some(20));
        rig.now += 5 * MS;
    }
    assert!(warm < 75, "{warm} of 300 at the one warm machine of nine");
}

#[test]
fn a_slow_machine_is_asked_first_and_another_taken_if_it_keeps_silent() {
    let mut rig = Rig::new(Settings { allows_probes: true, ..thin() }, 20);
    serve(&mut rig, 10, 300 * MS);
    let id = rig.request(0);
    let first = asked(&rig).expect("answers take half the aim: a machine is asked");
    assert!(rig.sent().is_none());
    rig.now += 25 * MS;
    rig.say(Event::Timer { name: id + 1 });
    let (_, taken) = rig.sent().expect("sent without a second question");
    assert_ne!(taken, first);
    // An answer that comes after all changes nothing.
    answer(&mut rig, first, CallOutcome::Ok);
    assert!(rig.sent().is_none());
    rig.end(id, 0, taken, CallOutcome::Ok);
    // Danger: a client about to leave is owed its answer before the machine's could come (rule 1).
    rig.asked(0, 0, 60 * MS);
    assert!(asked(&rig).is_none() && (rig.sent().is_some() || rig.refused()));
    // One that answers at once gets the request.
    rig.request(0);
    let first = asked(&rig).unwrap();
    answer(&mut rig, first, CallOutcome::Ok);
    assert_eq!(rig.sent().map(|s| s.1), Some(first));
}

#[test]
fn where_connections_fail_those_that_stand_are_used() {
    let mut rig = Rig::new(thin(), 20);
    let open = rig.round(0, |_| (CallOutcome::Ok, 50 * MS)).unwrap();
    let mut elsewhere = 0;
    for n in 0..80 {
        let how = |m| if m == open { (CallOutcome::Ok, 50 * MS) } else { (CallOutcome::ConnectFailed, MS) };
        elsewhere += u32::from(rig.round(0, how) != Some(open) && n >= 40);
        rig.now += 20 * MS;
    }
    assert!(elsewhere <= 8, "{elsewhere} of 40");
}

/// A build on trial on four machines, and as many answers of it.
fn on_trial() -> Rig {
    let mut rig = Rig::new(thin(), 9);
    for _ in 0..60 {
        rig.round(0, |_| (CallOutcome::Ok, 60 * MS));
    }
    rig.say(Event::RolloutStatus(news(2, 2, Phase::Trial, 1.0)));
    let list: Vec<MachineEntry> = (20..24).map(|m| entry(m, 2, rig.now - 60 * S)).collect();
    rig.list(ListUpdate::Delta, &list);
    for _ in 0..40 {
        rig.round(0, |_| (CallOutcome::Ok, 60 * MS));
        rig.now += 20 * MS;
    }
    rig
}

fn votes_back(rig: &mut Rig) -> bool {
    (0..200).any(|_| {
        rig.round(0, |_| (CallOutcome::Ok, 60 * MS));
        rig.now += 40 * MS;
        rig.tick();
        rig.vote() == Some(Vote::RollBack)
    })
}

#[test]
fn a_few_complaints_about_several_machines_send_a_build_back() {
    // Danger: one machine that spoils its answers is no fault of its build, nor is now and then a right answer that
    // is complained of.
    for (about, back) in [(&[20, 21, 22][..], true), (&[20, 20, 20], false), (&[21], false)] {
        let mut rig = on_trial();
        about.iter().for_each(|m| rig.say(Event::Complaint { machine: *m, class: 0, age: S }));
        assert_eq!(votes_back(&mut rig), back, "{about:?} among some forty answers");
    }
}

#[test]
fn errors_of_bad_requests_send_no_released_build_back() {
    // Danger: with no earlier machine beside it, a thin front holds what fails everywhere against the build.
    let mut rig = Rig::new(thin(), 9);
    let mut n = 0u32;
    let mut round = |rig: &mut Rig| {
        n += 1;
        let how = if n.is_multiple_of(3) { (CallOutcome::Error, MS) } else { (CallOutcome::Ok, 60 * MS) };
        rig.round(0, |_| how);
        rig.now += 20 * MS;
        rig.tick();
        rig.vote() == Some(Vote::RollBack)
    };
    (0..60).for_each(|_| assert!(!round(&mut rig)));
    rig.say(Event::RolloutStatus(news(2, 2, Phase::Trial, 1.0)));
    let list: Vec<MachineEntry> = (20..29).map(|m| entry(m, 2, rig.now - 60 * S)).collect();
    rig.list(ListUpdate::Delta, &list);
    (0..60).for_each(|_| assert!(!round(&mut rig)));
    rig.say(Event::RolloutStatus(news(2, 2, Phase::Released, 1.0)));
    rig.list(ListUpdate::Snapshot, &list);
    (0..400).for_each(|_| assert!(!round(&mut rig)));
}
