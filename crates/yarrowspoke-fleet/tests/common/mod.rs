//! A fleet in virtual time: the state machines alone, with messages that the test delivers.
#![allow(dead_code)]

use std::collections::BTreeMap;
use yarrowspoke_fleet::front::FrontSide;
use yarrowspoke_fleet::planner::Planner;
use yarrowspoke_fleet::report_log::ReportLog;
use yarrowspoke_fleet::settings::{Alone, Fleet, Limit, Member, Role};
use yarrowspoke_fleet::version::{List, ListSource, RolloutStatus, Version};
use yarrowspoke_fleet::Micros;

pub const MS: Micros = 1_000;

pub fn member(name: &str, role: Role, zone: &str) -> Member {
    Member { name: name.into(), role, zone: zone.into(), address: None }
}

/// A fleet of three planners and `fronts` fronts, which alternate between the zones a and b.
pub fn fleet(fronts: usize) -> Fleet {
    let mut members: Vec<Member> = (0..3).map(|n| member(&format!("p{n}"), Role::Planner, "")).collect();
    members.extend((0..fronts).map(|n| member(&format!("f{n}"), Role::Front, ["a", "b"][n % 2])));
    Fleet {
        members,
        renew: 200 * MS,
        lease: 1_000 * MS,
        behind: 500 * MS,
        shut_after: 2_000 * MS,
        back_after: 600 * MS,
        list_within: 5_000 * MS,
        most_out: Limit::Number(2),
        most_out_zone: Limit::Number(1),
        alone: Alone::Narrow,
        ..Fleet::default()
    }
}

pub fn version() -> Version {
    let list = List { index: 0, source: ListSource::Cached, epoch: 0, digest: 0 };
    Version { list, rollout: None, config: 1, operator: 2, settings: 3, program: 4 }
}

pub fn rollout(build: u16, phase: u8, cap: u32) -> RolloutStatus {
    RolloutStatus { build, stage: 0, phase, cap }
}

/// Machines 1 to `n` on build 1, except those in `but`.
pub fn ready(n: u32, but: &[u32]) -> BTreeMap<u32, u16> {
    (1..=n).filter(|m| !but.contains(m)).map(|m| (m, 1)).collect()
}

/// A fleet whose messages the test delivers.
pub struct Rig {
    pub fleet: Fleet,
    pub now: Micros,
    pub fronts: Vec<FrontSide>,
    pub planners: Vec<Planner>,
    /// Whether a front's messages reach a planner, and whether the answers come back.
    pub links: BTreeMap<(usize, usize), (bool, bool)>,
}

impl Rig {
    pub fn new(fleet: Fleet) -> Self {
        let fronts: Vec<FrontSide> = fleet
            .fronts()
            .enumerate()
            .map(|(n, m)| FrontSide::new(fleet.clone(), &m.name, 100 + n as u64, version()))
            .collect();
        let planners = fleet
            .planners()
            .map(|m| Planner::new(fleet.clone(), &m.name, 1, 0, ReportLog::default()))
            .collect();
        let links = (0..fronts.len()).flat_map(|f| (0..3).map(move |p| ((f, p), (true, true)))).collect();
        Self { fleet, now: 0, fronts, planners, links }
    }

    pub fn cut(&mut self, front: usize, (to, back): (bool, bool)) {
        (0..3).for_each(|p| {
            self.links.insert((front, p), (to, back));
        });
    }

    /// Sends one heartbeat of a front to each planner.
    pub fn heartbeat(&mut self, front: usize) {
        for p in 0..self.planners.len() {
            let heartbeat = self.fronts[front].heartbeat(p, self.now);
            let (to, back) = self.links[&(front, p)];
            let answer = if to { self.planners[p].handle_heartbeat(self.now, heartbeat).ok() } else { None };
            match answer.filter(|_| back) {
                Some(answer) => drop(self.fronts[front].heartbeat_answered(p, self.now, self.now, answer)),
                None => self.fronts[front].heartbeat_failed(p, self.now),
            }
        }
    }

    /// Advances the time by this many renewals; the fronts in `suspended` are suspended.
    pub fn run(&mut self, renewals: usize, suspended: &[usize]) {
        for _ in 0..renewals {
            self.now += self.fleet.renew;
            for front in (0..self.fronts.len()).filter(|f| !suspended.contains(f)) {
                let now = self.now;
                self.fronts[front].tick(now, 1_000_000 + now);
                self.heartbeat(front);
            }
            for p in 0..3 {
                for q in (0..3).filter(|q| *q != p) {
                    let pull = self.planners[p].pull_request();
                    let pushed = self.planners[q].answer_pull(self.now, &pull).unwrap();
                    self.planners[p].apply_pull_response(self.now, pushed);
                }
            }
        }
    }

    /// Delivers a list from discovery to these fronts.
    pub fn list(&mut self, fronts: impl IntoIterator<Item = usize>, index: u64, ready: &BTreeMap<u32, u16>) {
        let now = self.now;
        for f in fronts {
            self.fronts[f].list_received(
                (now, now),
                (index, 7 * index),
                ListSource::Discovery,
                ready.clone(),
            );
        }
    }
}
