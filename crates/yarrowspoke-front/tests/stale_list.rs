//! Discovery returns overloaded from an outage in which machines drained, while most fronts restart with their old list.
//! A front sends requests only with a list that discovery or a peer has confirmed recently.

mod common;
mod crowded;

use crowded::{
    sleep_until, BusyDiscovery, Fleet, Front, Life, Load, Server, Service, Tally, GRACE, TOLD_WITHIN,
};
use std::time::{Duration, Instant};

/// Time in which discovery could serve one call of each front.
const ALL_CALLS: Duration = Duration::from_millis(7_500);
const STAYING: usize = 4;
const LEAVING: usize = 4;

/// Parameters of a test scenario.
struct Scenario {
    fronts: usize,
    /// Whether fronts exchange messages.
    peers: bool,
    /// How discovery serves after the outage.
    service: Service,
    /// How long the fleet is observed after the outage.
    watched: Duration,
    /// Share of the requests that must be served at the end.
    served: f64,
}

/// Measurements at clients and machines.
struct Seen {
    /// Times after the outage of requests that reached drained machines after the grace time.
    late: Vec<Duration>,
    /// Requests over two of the last seconds.
    at_end: Tally,
    /// Opening calls answered in time, and those processed after their caller had left.
    calls: (usize, usize),
}

fn play(scenario: &Scenario) -> Seen {
    let servers: Vec<Server> = Server::start_all(STAYING + LEAVING);
    let leaving: Vec<&Server> = servers[STAYING..].iter().collect();
    let discovery = BusyDiscovery::start(&servers);
    let mut fleet = Fleet::start(scenario.fronts, scenario.peers, &discovery);
    let fronts = &mut fleet.fronts;
    let every = Duration::from_millis(100);
    let loads: Vec<Load> =
        fronts.iter().enumerate().map(|(n, f)| Load::start(f.listen, format!("c{n}"), every)).collect();
    let down = Instant::now() + Duration::from_millis(1_500);
    sleep_until(down);
    discovery.serve(Service::Down, Duration::ZERO);
    sleep_until(down + Duration::from_millis(500));
    leaving.iter().for_each(|s| s.live(Life::Draining));
    sleep_until(down + Duration::from_millis(2_500));
    leaving.iter().for_each(|s| s.live(Life::Gone));
    let back = down + Duration::from_secs(3);
    sleep_until(back);
    discovery.change(&leaving, "removed");
    discovery.serve(scenario.service, ALL_CALLS / scenario.fronts as u32);
    sleep_until(back + Duration::from_millis(300));
    let killed = scenario.fronts * 7 / 10;
    fronts[..killed].iter_mut().for_each(Front::kill);
    sleep_until(back + Duration::from_millis(800));
    fronts[..killed].iter_mut().for_each(Front::restart);
    // Other processes start under the names and addresses of those that ended; discovery does not list them.
    sleep_until(back + TOLD_WITHIN - Duration::from_millis(200));
    leaving.iter().for_each(|s| s.live(Life::Serving));
    let end = back + scenario.watched;
    sleep_until(end);
    let bound = back + TOLD_WITHIN + GRACE;
    let came = leaving.iter().flat_map(|s| s.came()).map(|came| came.at);
    let mut late: Vec<Duration> = came.filter(|at| *at > bound).map(|at| at - back).collect();
    late.sort();
    let last = end - Duration::from_millis(3_500);
    let at_end = Tally::of(&loads, last, end - Duration::from_millis(1_500));
    Seen { late, at_end, calls: discovery.calls() }
}

fn check(scenario: &Scenario) {
    let seen = play(scenario);
    let Tally { served, answered: replied, asked } = seen.at_end;
    let (answered, wasted) = seen.calls;
    let summary = format!(
        "{} late requests, the first {:?} after the return; {served} served and {replied} answered of {asked} at the end; \
         {answered} calls answered, {wasted} worked off for nobody",
        seen.late.len(),
        seen.late.first(),
    );
    eprintln!("{summary}");
    assert!(seen.late.is_empty(), "{summary}");
    assert_eq!(replied, asked, "{summary}");
    assert!(asked > 5 * scenario.fronts && served as f64 >= asked as f64 * scenario.served, "{summary}");
}

#[test]
fn no_front_sends_to_a_drained_machine_on_a_list_that_a_busy_discovery_does_not_renew() {
    let watched = Duration::from_secs(19);
    check(&Scenario { fronts: 12, peers: true, service: Service::InTurn, watched, served: 0.9 });
}

#[test]
fn nor_does_one_that_cannot_ask_other_fronts() {
    let watched = Duration::from_secs(27);
    check(&Scenario { fronts: 12, peers: false, service: Service::InTurn, watched, served: 0.9 });
}

#[test]
fn nor_does_one_that_gets_half_an_answer() {
    // The unread part may have removed any machine: nothing is sent, and every request is answered.
    let watched = Duration::from_secs(15);
    check(&Scenario { fronts: 12, peers: true, service: Service::HalfAnswers, watched, served: 0.0 });
}

#[test]
fn an_outage_is_over_once_anybody_was_answered_be_it_unreadably() {
    // Observed: one request reached a drained machine 12 ms after the grace time, in one run with half responses. Four fronts
    // whose watches had ended with an outage reported for 8 s to the others that discovery was unreachable, without having
    // called it since. Fronts that had read half a response had newer evidence, but few of them were queried.
    // Cause: a report that discovery is unreachable had no age; the evidence that it works was not passed on, and was dropped
    // at the next failed call. In this scenario, where the first two calls get half a response and no other call any, the fault
    // showed as late requests until the end.
    let watched = Duration::from_secs(24);
    check(&Scenario { fronts: 12, peers: true, service: Service::Overloaded, watched, served: 0.0 });
}
