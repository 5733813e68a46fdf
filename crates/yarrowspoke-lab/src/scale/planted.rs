//! Faults planted in the run's own chain, each of which its checks have to catch: a check that can't fail shows nothing.

use super::discovery::Caller;
use super::estate::{Estate, Extent};
use super::fit::fit;
use super::report::Shape;
use super::run::Options;
use super::site::{Plant, Site, Spec};
use super::witness::{bytes_agree, messages_agree};
use std::io;
use std::time::Duration;

/// Hollow fronts and planners of the sites that faults are planted in.
const HOLLOW: usize = 20;
const PLANNERS: usize = 3;
/// Messages that are waited for: ten of each front at each planner.
const MESSAGES: u64 = (10 * HOLLOW * PLANNERS) as u64;
/// How long they may take; on a busy machine they are late, not fewer.
const WITHIN: Duration = Duration::from_secs(30);

/// What was planted and what was caught.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Planted {
    /// Faults planted.
    pub planted: usize,
    /// Of them, those caught.
    pub caught: usize,
    /// Checks that failed where nothing was planted, and faults that none caught.
    pub failures: Vec<String>,
}

impl Planted {
    fn note(&mut self, fault: &str, caught: bool) {
        self.planted += 1;
        self.caught += usize::from(caught);
        if !caught {
            self.failures.push(format!("planted and not caught: {fault}"));
        }
    }
}

/// What the checks say of a site with this fault, bytes and then messages.
fn checked(options: &Options, plant: Option<Plant>) -> io::Result<[Result<(), String>; 2]> {
    let name = plant.map_or("sound".to_owned(), |p| format!("{p:?}"));
    let site = Site::start(Spec {
        program: options.program.clone(),
        lab: options.lab.clone(),
        dir: options.dir.join("planted").join(name),
        seed: options.seed,
        port: options.port,
        planners: PLANNERS,
        real: 0,
        hollow: HOLLOW,
        extent: Extent { machines: 40, services: 4, routes: 10, tenants: 10 },
        rate: 20.0,
        real_rate: 1.0,
        hot_rate: None,
        record: false,
        fleet: String::new(),
        plant,
    })?;
    site.come_up(WITHIN)?;
    let most = site.wait(WITHIN, |site| site.control(Caller::Hollow).messages >= MESSAGES);
    most.ok_or_else(|| io::Error::other("planted: too few heartbeats came to compare"))?;
    let all = site.control(Caller::Hollow);
    let at = |p: &super::site::PlannerAt| {
        let of = p.fronts.iter().filter(|f| f.0 == Caller::Hollow).map(|f| f.2.counts().messages);
        (p.process.name.clone(), of.sum())
    };
    let planners: Vec<(String, u64)> = site.planners.iter().map(at).collect();
    Ok([bytes_agree(all.to, all.stated, all.messages), messages_agree(&planners)])
}

/// The shape of what an estate's names weigh over its machines, with a step planted that grows with the square or without.
pub fn shape(seed: u64, quadratic: bool) -> Shape {
    let weight = |machines: usize| {
        let estate = Estate::draw(seed, Extent { machines, services: 4, routes: 1, tenants: 1 });
        let bytes: usize = estate.machines.iter().map(|m| m.name.len()).sum();
        // The planted step: each machine is told of one in ten of all others.
        let step = if quadratic { machines * machines / 10 } else { 0 };
        (machines as f64, (bytes + step) as f64)
    };
    let points: Vec<(f64, f64)> = [40, 600, 2_400, 4_800, 9_700].into_iter().map(weight).collect();
    fit(&points).shape
}

/// Plants all of them.
pub fn all(options: &Options, tick: &dyn Fn(&str)) -> io::Result<Planted> {
    let mut found = Planted::default();
    tick("planted: nothing");
    for wrong in checked(options, None)?.into_iter().filter_map(Result::err) {
        found.failures.push(format!("nothing was planted: {wrong}"));
    }
    if shape(options.seed, false) != Shape::Linear {
        found.failures.push("nothing was planted: an even slope is not called linear".to_owned());
    }
    tick("planted: half of the bytes");
    found.note("half of the bytes reported", checked(options, Some(Plant::HalfBytes))?[0].is_err());
    tick("planted: heartbeats left out");
    let skipped = checked(options, Some(Plant::SkippedHeartbeats))?;
    found.note("a hollow front that skips what it should send", skipped[1].is_err());
    found.note("a quadratic step", shape(options.seed, true) == Shape::Quadratic);
    Ok(found)
}
