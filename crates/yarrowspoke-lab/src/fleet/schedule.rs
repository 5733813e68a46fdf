//! A schedule of faults is data: drawn from a seed, printed, played, and read again by the checker.

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

/// What is done to whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Nothing passes between a front and discovery.
    CutDiscovery,
    /// A front is heard by discovery and hears nothing of it.
    DeafToDiscovery,
    /// Nothing passes between a front and the platform.
    CutPlatform,
    /// Nothing passes between a front and any planner.
    CutPlanners,
    /// A front is heard by the planners and hears none.
    DeafToPlanners,
    /// Messages to the planners are lost, repeated and overtaken.
    Spoilt,
    /// A front stands still.
    Stop,
    /// A front is killed, and started again at the end.
    Kill,
    /// A planner stands still.
    StopPlanner,
    /// A planner is killed, and started again at the end with what it kept.
    KillPlanner,
    /// A planner is killed, and started again at the end with nothing.
    EmptyPlanner,
    /// Nothing passes between a planner and the others.
    SplitPlanner,
    /// Each piece between a planner and the others is late.
    SlowPlanner,
    /// Discovery's answers to a front are late.
    SlowDiscovery,
}

/// A fault with its time, in milliseconds from when the load began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// What is done.
    pub kind: Kind,
    /// To which front or planner.
    pub who: usize,
    /// When it begins.
    pub at: u64,
    /// When it ends.
    pub until: u64,
}

/// When faults have ended, and when the whole trial has.
pub const FAULTS_END: u64 = 12_500;
/// Some seconds of quiet, in which everything is to come right.
pub const END: u64 = 16_500;

/// The faults of a seed: a core that every trial has, so that each step of the ladder is met, and others drawn beside it.
pub fn draw(seed: u64, fronts: usize) -> Vec<Fault> {
    let mut draws = Pcg64Mcg::seed_from_u64(seed);
    let mut jitter = |at: u64, spread: u64| at + draws.gen_range(0..=spread);
    let mut out = vec![
        // Two of one zone first, then one of each other zone: more stragglers than may be out, in a zone and in all.
        Fault { kind: Kind::CutDiscovery, who: 0, at: jitter(1_500, 200), until: jitter(10_500, 500) },
        Fault { kind: Kind::CutDiscovery, who: 3, at: jitter(1_500, 200), until: jitter(10_500, 500) },
        Fault { kind: Kind::CutDiscovery, who: 1, at: jitter(2_500, 300), until: jitter(10_500, 500) },
        Fault { kind: Kind::DeafToDiscovery, who: 2, at: jitter(2_500, 300), until: jitter(10_500, 500) },
        // One that loses its leases while a build is on trial.
        Fault { kind: Kind::CutPlanners, who: 4, at: jitter(3_000, 500), until: jitter(9_000, 1_000) },
    ];
    let mut rest: Vec<usize> = (5..fronts).collect();
    rest.shuffle(&mut draws);
    let kill = rest.pop().unwrap_or(0);
    let at = draws.gen_range(3_000..6_000);
    out.push(Fault { kind: Kind::Kill, who: kill, at, until: at + draws.gen_range(50..1_500) });
    for who in rest {
        let kinds = [
            Kind::Stop,
            Kind::Stop,
            Kind::Spoilt,
            Kind::DeafToPlanners,
            Kind::CutPlatform,
            Kind::SlowDiscovery,
        ];
        let kind = *kinds.choose(&mut draws).unwrap_or(&Kind::Stop);
        let at = draws.gen_range(2_000..6_000);
        out.push(Fault { kind, who, at, until: at + draws.gen_range(2_500..5_500) });
    }
    let kinds =
        [Kind::StopPlanner, Kind::KillPlanner, Kind::EmptyPlanner, Kind::SplitPlanner, Kind::SlowPlanner];
    let kind = *kinds.choose(&mut draws).unwrap_or(&Kind::StopPlanner);
    let at = draws.gen_range(2_000..8_000);
    out.push(Fault { kind, who: draws.gen_range(0..3), at, until: at + draws.gen_range(1_000..3_500) });
    out
}
