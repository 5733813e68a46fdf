//! Fronts and planners with the setting `paced`, in virtual time: what waits for the pace, what must not, and what is
//! sent.

mod common;

use common::{fleet, ready, rollout, version, MS};
use std::collections::BTreeMap;
use yarrowspoke_fleet::front::FrontSide;
use yarrowspoke_fleet::planner::Planner;
use yarrowspoke_fleet::report_log::ReportLog;
use yarrowspoke_fleet::settings::{Fleet, Lists, Paced, Spans};
use yarrowspoke_fleet::span::Stance;
use yarrowspoke_fleet::version::ListSource;
use yarrowspoke_fleet::wire::{
    decode_with_list, encode_with_list, Heartbeat, HeartbeatResponse, SCHEMA, SCHEMA_PACED,
};

/// Environment variable that names the mutant to enable in this process.
const MUTANT_VARIABLE: &str = "YARROWSPOKE_MUTANT";
const PACE: u64 = 600 * MS;
const STEP: u64 = 10 * MS;
const MACHINES: u32 = 400;

fn paced(fronts: usize) -> Fleet {
    let form = Paced { pace: PACE, lists: Lists::Delta, spans: Spans::Home };
    Fleet { lease: 2_000 * MS, paced: Some(form), ..fleet(fronts) }
}

/// What was sent over the link of one front and one planner.
#[derive(Clone, Debug, Default)]
struct Traffic {
    at: Vec<u64>,
    bytes: usize,
    whole_up: usize,
    whole_down: usize,
    spans: usize,
}

struct Site {
    fleet: Fleet,
    now: u64,
    fronts: Vec<FrontSide>,
    planners: Vec<Option<Planner>>,
    cut: Vec<(usize, usize)>,
    traffic: BTreeMap<(usize, usize), Traffic>,
    restricted_at: BTreeMap<usize, u64>,
    not_open_steps: u64,
}

impl Site {
    fn new(fleet: Fleet) -> Self {
        if let Ok(mutant) = std::env::var(MUTANT_VARIABLE) {
            yarrowspoke_fleet::mutant::enable(&mutant);
        }
        let side = |(n, m): (usize, &yarrowspoke_fleet::settings::Member)| {
            FrontSide::new(fleet.clone(), &m.name, 100 + n as u64, version())
        };
        let fronts: Vec<FrontSide> = fleet.fronts().enumerate().map(side).collect();
        let planner = |m: &yarrowspoke_fleet::settings::Member| {
            Some(Planner::new(fleet.clone(), &m.name, 1, 0, ReportLog::default()))
        };
        let planners = fleet.planners().map(planner).collect();
        Self {
            fleet,
            now: 0,
            fronts,
            planners,
            cut: vec![],
            traffic: BTreeMap::new(),
            restricted_at: BTreeMap::new(),
            not_open_steps: 0,
        }
    }

    fn list(&mut self, fronts: impl IntoIterator<Item = usize>, index: u64, but: &[u32]) {
        let at = (self.now, 1_000_000 + self.now);
        for f in fronts {
            self.fronts[f].list_received(at, (index, 7 * index), ListSource::Discovery, ready(MACHINES, but));
        }
    }

    fn exchange(&mut self, f: usize, p: usize) {
        let now = self.now;
        let mut heartbeat = self.fronts[f].heartbeat(p, now);
        let traffic = self.traffic.entry((f, p)).or_default();
        traffic.at.push(now);
        traffic.whole_up += usize::from(heartbeat.ready.is_some());
        traffic.spans += heartbeat.reports.len();
        let bytes = encode_with_list(&mut heartbeat);
        traffic.bytes += bytes.len();
        let cut = self.cut.contains(&(f, p));
        let answer = self.planners[p].as_mut().filter(|_| !cut).and_then(|planner| {
            let heartbeat = decode_with_list::<Heartbeat>(&bytes).unwrap();
            Some(encode_with_list(&mut planner.handle_heartbeat(now, heartbeat).ok()?))
        });
        match answer {
            Some(bytes) => {
                traffic.bytes += bytes.len();
                let answer = decode_with_list::<HeartbeatResponse>(&bytes).unwrap();
                traffic.whole_down += usize::from(answer.ready.is_some());
                if self.fronts[f].heartbeat_answered(p, now, now, answer).restricted {
                    self.restricted_at.insert(f, now);
                }
            }
            None => self.fronts[f].heartbeat_failed(p, now),
        }
    }

    /// Advances the time: heartbeats are sent when due, spans close at ticks, and planners pull from each other.
    fn run(&mut self, time: u64) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            let now = self.now;
            // The fronts start at different times, so their turns fall on different planners.
            for f in (0..self.fronts.len()).filter(|f| now > 130 * MS * *f as u64) {
                if now.is_multiple_of(self.fleet.renew) {
                    self.fronts[f].recorder().record_attempt(1, 1);
                    self.fronts[f].tick(now, 1_000_000 + now);
                }
                for p in 0..self.planners.len() {
                    // The program checks in each part of a renewal, so that a change found then still goes out within
                    // the renewal.
                    let checks = (now / STEP).is_multiple_of(5);
                    if checks && self.fronts[f].next_heartbeat_at(p, now) <= now {
                        self.exchange(f, p);
                    }
                }
                self.not_open_steps += u64::from(self.fronts[f].stance(now) != Stance::Open);
            }
            if now.is_multiple_of(500 * MS) {
                self.pull();
            }
        }
    }

    fn pull(&mut self) {
        for p in 0..self.planners.len() {
            for q in (0..self.planners.len()).filter(|q| *q != p) {
                let Some(pull) = self.planners[p].as_ref().map(Planner::pull_request) else { continue };
                let Some(pushed) = self.planners[q].as_ref().map(|o| o.answer_pull(self.now, &pull).unwrap())
                else {
                    continue;
                };
                if let Some(planner) = self.planners[p].as_mut() {
                    planner.apply_pull_response(self.now, pushed);
                }
            }
        }
    }

    fn sum(&self, of: impl Fn(&Traffic) -> usize) -> usize {
        self.traffic.values().map(of).sum()
    }

    fn settled(fronts: usize) -> Self {
        Self::settled_by(paced(fronts))
    }

    fn settled_by(fleet: Fleet) -> Self {
        let mut site = Self::new(fleet);
        let all = 0..site.fronts.len();
        site.list(all, 1, &[]);
        site.run(6_000 * MS);
        site.traffic.clear();
        site
    }
}

#[test]
fn idle_heartbeats_are_paced_in_turns_and_no_lease_lapses() {
    let mut site = Site::settled(4);
    site.not_open_steps = 0;
    site.run(12_000 * MS);
    assert_eq!(site.not_open_steps, 0, "a lease lapsed while planners answered");
    for ((f, p), traffic) in &site.traffic {
        assert!((18..=22).contains(&traffic.at.len()), "f{f} p{p}: {}", traffic.at.len());
        assert!(traffic.at.windows(2).all(|w| w[1] - w[0] <= PACE + 50 * MS));
        assert_eq!((traffic.whole_up, traffic.whole_down), (0, 0));
    }
    let mut of_one: Vec<u64> = (0..3).flat_map(|p| site.traffic[&(0, p)].at.clone()).collect();
    of_one.sort_unstable();
    assert!(
        of_one.windows(2).all(|w| w[1] - w[0] <= site.fleet.renew + 50 * MS),
        "a planner receives a heartbeat in every renewal"
    );
    let mut plain = Site::settled_by(Fleet { paced: None, ..paced(4) });
    plain.run(12_000 * MS);
    let (slow, fast) = (site.sum(|p| p.bytes), plain.sum(|p| p.bytes));
    assert!(2 * slow < fast, "{slow} bytes against {fast}");
}

#[test]
fn a_change_reaches_every_planner_within_a_renewal() {
    for at in [0, 70, 130, 210, 370, 550].map(|ms| ms * MS) {
        let mut site = Site::settled(2);
        site.run(at);
        site.traffic.clear();
        let changed = site.now;
        site.list([0], 2, &[7]);
        site.run(250 * MS);
        for p in 0..3 {
            let first = site.traffic[&(0, p)].at.iter().find(|t| **t >= changed).copied();
            assert!(
                first.is_some_and(|t| t - changed <= site.fleet.renew + 50 * MS),
                "p{p}: {first:?} after {changed}"
            );
        }
        assert_eq!(site.sum(|p| p.whole_up + p.whole_down), 0, "a drain is sent as a delta");
    }
}

#[test]
fn a_drain_known_to_one_front_reaches_the_others_within_two_renewals() {
    for at in [0, 70, 130, 210, 370, 550].map(|ms| ms * MS) {
        let mut site = Site::settled(3);
        site.run(at);
        let changed = site.now;
        site.list([0], 2, &[7]);
        site.run(1_000 * MS);
        for f in [1, 2] {
            assert!(site.fronts[f].excludes(site.now, 7, 1) && !site.fronts[f].excludes(site.now, 8, 1));
            let took = site.restricted_at[&f] - changed;
            assert!(took <= 2 * site.fleet.renew + 100 * MS, "f{f} after {} ms", took / MS);
        }
    }
}

#[test]
fn a_planner_without_state_asks_only_one_front_for_the_whole_list() {
    let mut site = Site::settled(6);
    site.planners[1] = None;
    site.run(1_500 * MS);
    site.traffic.clear();
    site.planners[1] = Some(Planner::new(site.fleet.clone(), "p1", 2, site.now, ReportLog::default()));
    site.run(4_000 * MS);
    assert_eq!(
        site.sum(|p| p.whole_up),
        1,
        "{:?}",
        site.traffic.iter().map(|p| (p.0, p.1.whole_up)).collect::<Vec<_>>()
    );
    site.traffic.clear();
    site.list(0..6, 2, &[9]);
    site.run(1_000 * MS);
    site.list([0], 3, &[9, 10]);
    site.run(1_000 * MS);
    assert_eq!(site.sum(|p| p.whole_up + p.whole_down), 0);
    assert!((1..6).all(|f| site.fronts[f].excludes(site.now, 10, 1)));
}

#[test]
fn planners_without_state_get_the_list_and_a_straggler_gets_it_whole_once() {
    let mut site = Site::settled(4);
    site.list(0..3, 2, &[5]);
    // The last front has received nothing since its start, so no delta fits it.
    let old: Vec<String> = site.fleet.planners().map(|p| p.name.clone()).collect();
    for (p, name) in old.iter().enumerate() {
        site.planners[p] = Some(Planner::new(site.fleet.clone(), name, 2, site.now, ReportLog::default()));
    }
    site.traffic.clear();
    site.run(3_000 * MS);
    assert!(site.fronts[3].excludes(site.now, 5, 1));
    let down: usize = (0..3).map(|p| site.traffic.get(&(3, p)).map_or(0, |p| p.whole_down)).sum();
    assert!(down <= 1, "{down} whole lists for one front");
    assert!(site.sum(|p| p.whole_up) <= 6, "{}", site.sum(|p| p.whole_up));
}

#[test]
fn spans_go_to_one_planner_and_reach_all_even_if_it_dies() {
    let mut site = Site::settled(6);
    site.run(6_000 * MS);
    let planners_with_spans = |site: &Site, f: usize| -> Vec<usize> {
        (0..3).filter(|p| site.traffic.get(&(f, *p)).is_some_and(|p| p.spans > 0)).collect()
    };
    let homes: Vec<Vec<usize>> = (0..6).map(|f| planners_with_spans(&site, f)).collect();
    assert!(homes.iter().all(|h| h.len() == 1), "{homes:?}");
    let spread: std::collections::BTreeSet<usize> = homes.iter().flatten().copied().collect();
    assert!(spread.len() > 1, "one planner is the home of all fronts: {homes:?}");
    let home = homes[0][0];
    // The home planner dies with spans that only it had, and stays away.
    site.planners[home] = None;
    site.run(6_000 * MS);
    for (p, planner) in site.planners.iter().enumerate().filter(|p| p.0 != home) {
        let held = planner.as_ref().unwrap().report_log.contiguous_through("f0", 100);
        let closed = site.fronts[0].recorder().last_number();
        assert!(
            closed - held <= 6 && planner.as_ref().unwrap().report_log.gaps("f0", 100).len() <= 1,
            "p{p}: {held} of {closed}"
        );
    }
    // A front that is cut off from its home planner alone reports to the next one.
    let mut site = Site::settled(6);
    site.cut.push((0, home));
    site.traffic.clear();
    site.run(3_000 * MS);
    assert!(planners_with_spans(&site, 0).iter().any(|p| *p != home));
}

#[test]
fn spans_at_an_unreachable_home_planner_are_sent_to_the_others() {
    let mut site = Site::settled(1);
    let home = (0..3).find(|p| {
        site.run(1_500 * MS);
        site.traffic.get(&(0, *p)).is_some_and(|p| p.spans > 0)
    });
    let home = home.unwrap();
    // The home planner answers, and no planner pulls from it.
    let before: Vec<u64> =
        site.planners.iter().map(|p| p.as_ref().unwrap().report_log.contiguous_through("f0", 100)).collect();
    for _ in 0..600 {
        let now = site.now + STEP;
        site.now = now;
        if now.is_multiple_of(site.fleet.renew) {
            site.fronts[0].tick(now, now);
        }
        (0..3).for_each(|p| {
            if site.fronts[0].next_heartbeat_at(p, now) <= now {
                site.exchange(0, p);
            }
        });
    }
    for p in (0..3).filter(|p| *p != home) {
        let held = site.planners[p].as_ref().unwrap().report_log.contiguous_through("f0", 100);
        assert!(held > before[p] + 2, "p{p}: {} and then {held}", before[p]);
    }
}

/// Restarts a planner with what of its log was on disk.
fn restarted(site: &Site, planner: usize, log: &ReportLog) -> Option<Planner> {
    let mut read = ReportLog::default();
    for (front, incarnation, report) in log.missing_from(&[], u64::MAX) {
        assert!(read.insert(&front, incarnation, report).unwrap());
    }
    Some(Planner::new(site.fleet.clone(), &format!("p{planner}"), 2, site.now, read))
}

#[test]
fn planners_that_lost_acknowledged_spans_get_the_later_ones_once() {
    let mut site = Site::settled(4);
    site.run(6_000 * MS);
    let flushed: Vec<ReportLog> =
        site.planners.iter().map(|p| p.as_ref().unwrap().report_log.clone()).collect();
    site.run(6_000 * MS);
    site.traffic.clear();
    site.run(20_000 * MS);
    let (spans, bytes) = (site.sum(|p| p.spans), site.sum(|p| p.bytes));
    for (p, log) in flushed.iter().enumerate() {
        site.planners[p] = restarted(&site, p, log);
    }
    // Twice as many spans as one heartbeat holds: nothing may pile up.
    site.run(80_000 * MS);
    site.traffic.clear();
    site.run(20_000 * MS);
    let after = (site.sum(|p| p.spans), site.sum(|p| p.bytes));
    assert!(
        after.0 <= spans + spans / 5 && after.1 <= bytes + bytes / 5,
        "{} spans and {} bytes in the same time, {spans} and {bytes} before",
        after.0,
        after.1
    );
    for f in 0..4 {
        let (name, closed) = (format!("f{f}"), site.fronts[f].recorder().last_number());
        for planner in site.planners.iter().flatten() {
            let view = planner.report_log.view(&name, 100 + f as u64);
            let newest = view.last().unwrap().last;
            assert!(closed - newest <= 6, "{name}: {newest} of {closed}");
            let gaps = planner.report_log.gaps(&name, 100 + f as u64);
            let lost = flushed.iter().map(|b| b.contiguous_through(&name, 100 + f as u64)).max().unwrap();
            assert_eq!(gaps[0].0, lost + 1, "{name}: lost spans are shown: {gaps:?}");
            assert!(gaps[1..].iter().all(|g| g.1 == closed || g.0 > closed - 6), "{name}: {gaps:?}");
        }
    }
}

#[test]
fn after_a_start_or_a_failure_heartbeats_come_at_every_renewal() {
    let mut site = Site::new(paced(1));
    site.run(1_000 * MS);
    assert!((4..=6).contains(&site.traffic[&(0, 0)].at.len()), "{:?}", site.traffic[&(0, 0)].at);
    let mut site = Site::settled(1);
    site.cut.push((0, 1));
    site.run(3_000 * MS);
    // One of three planners fails: the next failure would cost the lease.
    assert!((0..3).all(|p| site.traffic[&(0, p)].at.len() >= 11), "{:?}", site.traffic);
    assert_eq!(site.fronts[0].stance(site.now), Stance::Open);
}

#[test]
fn without_paced_the_bytes_are_unchanged_and_one_planner_serves_both() {
    let plain = Fleet { paced: None, ..paced(2) };
    let mut planner = Planner::new(paced(2), "p0", 1, 0, ReportLog::default());
    let mut old = FrontSide::new(plain, "f0", 100, version());
    let mut new = FrontSide::new(paced(2), "f1", 101, version());
    let schema = |bytes: &[u8]| u16::from_le_bytes([bytes[4], bytes[5]]);
    for step in 1..=8u64 {
        let now = step * 200 * MS;
        if step == 3 {
            old.list_received((now, now), (2, 14), ListSource::Discovery, ready(MACHINES, &[7]));
        }
        if step == 1 {
            old.list_received((now, now), (1, 7), ListSource::Discovery, ready(MACHINES, &[]));
            new.list_received((now, now), (1, 7), ListSource::Discovery, ready(MACHINES, &[]));
        }
        for (front, expected_schema) in [(&mut old, SCHEMA), (&mut new, SCHEMA_PACED)] {
            front.tick(now, now);
            let mut heartbeat = front.heartbeat(0, now);
            let bytes = encode_with_list(&mut heartbeat);
            assert_eq!(schema(&bytes), expected_schema);
            if expected_schema == SCHEMA {
                assert_eq!(bytes, yarrowspoke_fleet::wire::encode(&heartbeat));
            }
            let mut answer = planner.handle_heartbeat(now, decode_with_list(&bytes).unwrap()).unwrap();
            let bytes = encode_with_list(&mut answer);
            assert_eq!(schema(&bytes), expected_schema, "the answer uses the schema of the heartbeat");
            front.heartbeat_answered(0, now, now, decode_with_list(&bytes).unwrap());
        }
    }
    assert!(new.excludes(1_600 * MS, 7, 1), "a drain reported by an old front reaches a new one");
}

#[test]
fn a_narrower_rollout_reaches_a_front_whose_source_did_not_send_it() {
    let mut site = Site::settled(3);
    let at = (site.now, site.now);
    (0..3).for_each(|f| site.fronts[f].rollout_received(at, rollout(2, 0, 500_000)));
    site.run(2_000 * MS);
    let changed = site.now;
    site.fronts[0].rollout_received((changed, changed), rollout(2, 2, 0));
    site.run(1_000 * MS);
    for f in [1, 2] {
        assert_eq!(site.fronts[f].restricting_rollout(), Some(rollout(2, 2, 0)), "f{f}");
        assert!(site.restricted_at[&f] - changed <= 2 * site.fleet.renew + 100 * MS);
    }
}

#[test]
fn each_mutant_is_caught() {
    let program = std::env::current_exe().unwrap();
    let succeeds = |mutant: &str, test: &str| {
        let mut run = std::process::Command::new(&program);
        let run = run.args(["--exact", test]).env(MUTANT_VARIABLE, mutant).output().unwrap();
        assert!(String::from_utf8_lossy(&run.stdout).contains("running 1 test"), "{test} does not exist");
        run.status.success()
    };
    for (mutant, test) in [
        ("delta-on-any-base", "a_front_with_an_unknown_list_gets_one_whole_list_and_then_deltas"),
        ("change-waits-for-pace", "a_change_reaches_every_planner_within_a_renewal"),
        ("spans-to-nobody", "spans_go_to_one_planner_and_reach_all_even_if_it_dies"),
        ("spans-to-nobody", "spans_at_an_unreachable_home_planner_are_sent_to_the_others"),
    ] {
        assert!(succeeds("", test), "{test} fails without a mutant");
        assert!(!succeeds(mutant, test), "{mutant} is not caught by {test}");
    }
}

#[test]
fn a_delta_on_a_base_that_the_receiver_lacks_is_rejected() {
    let mut site = Site::settled(3);
    // The last front misses two changes; the planner that restarts without state misses all.
    site.planners[2] = None;
    site.list(0..2, 2, &[5]);
    site.run(500 * MS);
    site.planners[2] = Some(Planner::new(site.fleet.clone(), "p2", 2, site.now, ReportLog::default()));
    site.cut.extend([(2, 0), (2, 1), (2, 2)]);
    site.list(0..2, 3, &[5, 6]);
    site.run(500 * MS);
    site.list(0..2, 4, &[6, 7]);
    site.cut.clear();
    site.run(3_000 * MS);
    let excluded: Vec<u32> = (1..=MACHINES).filter(|m| site.fronts[2].excludes(site.now, *m, 1)).collect();
    assert_eq!(excluded, [6, 7]);
    for planner in site.planners.iter_mut().flatten() {
        let pull = yarrowspoke_fleet::wire::Pull { planner: "p0".into(), held: vec![], known_list: (0, 0) };
        let held = planner.answer_pull(site.now, &pull).unwrap().ready.unwrap();
        let expected: Vec<(u32, u16)> = ready(MACHINES, &[6, 7]).into_iter().collect();
        assert_eq!((held.index, &held.machines), (4, &expected));
    }
}

#[test]
fn a_front_with_an_unknown_list_gets_one_whole_list_and_then_deltas() {
    let mut site = Site::settled(3);
    site.cut.extend([(2, 0), (2, 1), (2, 2)]);
    site.list(0..2, 3, &[9]);
    // Discovery delivered an index to this front that the others skipped, and then nothing more.
    site.list([2], 2, &[8]);
    site.run(500 * MS);
    site.cut.clear();
    site.run(2_000 * MS);
    assert!(site.fronts[2].excludes(site.now, 9, 1));
    let whole = |site: &Site| -> usize {
        (0..3).map(|p| site.traffic.get(&(2, p)).map_or(0, |p| p.whole_down)).sum()
    };
    let first = whole(&site);
    assert!(first >= 1);
    for index in 4..8u32 {
        let changed = site.now;
        site.list(0..2, u64::from(index), &[9, 10 + index]);
        site.run(800 * MS);
        let excluded = |m: u32| site.fronts[2].excludes(site.now, m, 1);
        assert!(excluded(10 + index) && excluded(9) && !excluded(8) && (index == 4 || !excluded(9 + index)));
        assert!(site.restricted_at[&2] - changed <= 2 * site.fleet.renew + 100 * MS);
    }
    assert_eq!(whole(&site), first, "a list from planners is a base too");
}

#[test]
fn a_front_without_answers_does_not_block_queries_to_others() {
    let mut planner = Planner::new(paced(2), "p0", 1, 0, ReportLog::default());
    let front = |n: usize| FrontSide::new(paced(2), &format!("f{n}"), 100, version());
    let (mut unanswered, mut other) = (front(0), front(1));
    for side in [&mut unanswered, &mut other] {
        side.list_received((1, 1), (1, 7), ListSource::Discovery, ready(MACHINES, &[]));
    }
    let mut is_asked = |side: &mut FrontSide, at: u64| {
        let answer = planner.handle_heartbeat(at, side.heartbeat(0, at)).unwrap();
        answer.list.unwrap().wants_whole
    };
    assert!(is_asked(&mut unanswered, 200 * MS));
    assert!(!is_asked(&mut other, 300 * MS), "only one front is asked at a time");
    // The planner keeps receiving this front's heartbeats, and its answers are lost.
    assert!(is_asked(&mut unanswered, 400 * MS) && is_asked(&mut unanswered, 600 * MS));
    assert!(is_asked(&mut other, 700 * MS));
    assert!(!is_asked(&mut unanswered, 800 * MS));
}
