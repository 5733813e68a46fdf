//! New configurations move discovery while machines drain.
//!
//! Observed in pre-production with 185 and 210 fronts: 4.6 to 4.9 s after a SIGHUP that moved discovery, fronts sent requests to
//! machines that had drained. A front counts as notified of discovery's list 4 s after SIGHUP. The fronts' own leases expired in
//! time, but confirmations by peers did not: they lasted 6 s from when discovery had confirmed the list to the peer, whatever the
//! receiving front had been notified of meanwhile. Fronts relied on them because calls to the new address are spread over 8 s.
//! The first test drains machines between another front's call and the end of the 4 s, where only fronts with such a confirmation
//! sent requests; the second does the same with confirmations by fronts that have not moved. The third checks that a response
//! written before the signal is neither lost with the watch nor taken for one from the new address.

mod common;
mod crowded;

use crowded::{late_requests, sleep_until, BusyDiscovery, Fleet, Load, Server, Service, Tally};
use std::time::{Duration, Instant};

const FRONTS: usize = 12;
const STAYING: usize = 4;
const LEAVING: usize = 4;
/// Time in which discovery serves one call of each front.
const ALL_CALLS: Duration = Duration::from_secs(2);
/// Time for all fronts to start and open a watch.
const SETTLED: Duration = Duration::from_millis(1_500);
/// A client's pause between requests.
const PACE: Duration = Duration::from_millis(50);

/// A test scenario; times are relative to the move.
struct Scenario {
    /// The old address keeps answering, but reports no changes.
    old_is_silent: bool,
    /// When each front is notified of the new address.
    notified_at: fn(usize) -> Duration,
    /// When the machines that leave begin to drain.
    drains: Duration,
    /// How long the fleet is observed.
    watched: Duration,
}

/// Machines, discovery, fronts and their clients.
struct Stage {
    servers: Vec<Server>,
    old: BusyDiscovery,
    fleet: Fleet,
    loads: Vec<Load>,
}

impl Stage {
    fn set() -> Self {
        let servers: Vec<Server> = Server::start_all(STAYING + LEAVING);
        let old = BusyDiscovery::start(&servers);
        let fleet = Fleet::start(FRONTS, true, &old);
        let load = |front: &crowded::Front| Load::start(front.listen, format!("c{}", front.number), PACE);
        let loads = fleet.fronts.iter().map(load).collect();
        std::thread::sleep(SETTLED);
        Self { servers, old, fleet, loads }
    }

    /// Lists machines as draining. They keep serving, so a front that still sends to them cannot notice it by itself.
    fn drain(&self, discovery: &BusyDiscovery) {
        let leaving: Vec<&Server> = self.servers[STAYING..].iter().collect();
        discovery.change(&leaving, "draining");
    }

    /// Checks that no request was late, and that in the last seconds all were answered and nearly all served.
    fn check(&self, discovery: &BusyDiscovery) {
        let end = Instant::now();
        let late = late_requests(discovery, &self.servers, &self.fleet.fronts);
        let (from, to) = (end - Duration::from_secs(3), end - Duration::from_secs(1));
        let Tally { served, answered: replied, asked } = Tally::of(&self.loads, from, to);
        let summary = format!(
            "{} late requests, the first {:?}; {served} served and {replied} answered of {asked} at the end",
            late.len(),
            late.first(),
        );
        eprintln!("{summary}");
        assert!(late.is_empty(), "{summary}");
        assert!(replied == asked && served * 10 >= asked * 9, "{summary}");
    }
}

fn play(scenario: &Scenario) {
    let mut stage = Stage::set();
    let old = stage.old.clone();
    let new = if scenario.old_is_silent { BusyDiscovery::start(&stage.servers) } else { old.clone() };
    new.serve(Service::InTurn, ALL_CALLS / FRONTS as u32);
    let begun = Instant::now();
    let mut steps: Vec<Duration> = (0..FRONTS).map(scenario.notified_at).collect();
    steps.push(scenario.drains);
    steps.sort();
    steps.dedup();
    for step in steps {
        sleep_until(begun + step);
        stage.fleet.move_to(&new, |front| (scenario.notified_at)(front) == step);
        if step == scenario.drains {
            stage.drain(&new);
        }
    }
    sleep_until(begun + scenario.watched);
    stage.check(&new);
}

#[test]
fn the_word_of_fronts_that_called_the_new_address_lasts_no_longer_than_what_counts_as_told() {
    play(&Scenario {
        old_is_silent: false,
        notified_at: |_| Duration::ZERO,
        drains: Duration::from_millis(3_500),
        watched: Duration::from_secs(10),
    });
}

#[test]
fn nor_does_that_of_fronts_that_have_not_moved() {
    play(&Scenario {
        old_is_silent: true,
        notified_at: |front| if front % 4 == 3 { Duration::from_secs(6) } else { Duration::ZERO },
        drains: Duration::from_millis(300),
        watched: Duration::from_secs(14),
    });
}

#[test]
fn what_was_written_before_a_move_is_taken_and_does_not_stand_for_the_new_address() {
    // Both the change and the signal are pending when the processes resume, in whichever order they are handled.
    let mut stage = Stage::set();
    let discovery = stage.old.clone();
    discovery.serve(Service::InTurn, ALL_CALLS / FRONTS as u32);
    stage.fleet.signal("-STOP");
    stage.drain(&discovery);
    std::thread::sleep(Duration::from_millis(100));
    stage.fleet.move_to(&discovery, |_| true);
    stage.fleet.signal("-CONT");
    std::thread::sleep(Duration::from_secs(12));
    stage.check(&discovery);
}
