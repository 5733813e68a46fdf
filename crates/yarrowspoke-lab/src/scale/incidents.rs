//! Bad days, played on real and hollow processes together.
//!
//! One site lives through all of them. Each has a sentence that says what must not happen, and that is looked for in what
//! clients and machines saw (`witness`); what planners and fronts say of themselves only tells when a change is in force. Beside
//! each an operator's file is changed at the real fronts and some machines are told to drain.

use super::discovery::{Caller, Status};
use super::estate::{Extent, REGIONS, ZONES};
use super::machines::Machines;
use super::observe::Observer;
use super::ports::Ports;
use super::proxy::Fault;
use super::record;
use super::report::{Incident, Report};
use super::run::Options;
use super::site::{Site, Spec};
use super::witness::{at_shut, lost, p90, refused_once_ready, served, silent, steady, Down, Load, Request};
use crate::fleet::ask;
use async_executor::Executor;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How often a state is looked at that is waited for.
const LOOK: Duration = Duration::from_millis(50);
/// How long one look at a process may take.
const PATIENCE: Duration = Duration::from_millis(500);
/// After a drain is in force a request that was under way may still come: the grace of the settings, and slack.
const GRACE_S: f64 = 0.5 + 1.0;
/// The stretch by which a load is compared.
const STRETCH_S: f64 = 2.0;
/// How long clients wait: what has not come by then is not coming.
const CLIENTS_WAIT: Duration = Duration::from_millis(4_300);
/// A front that is asked so often in so many seconds and serves nothing is silent.
const SILENT: (f64, usize) = (2.0, 10);
/// How long a process may take to end in good order, and to be ready again, before it is given up.
const END_WITHIN: Duration = Duration::from_secs(30);
const READY_WITHIN: Duration = Duration::from_secs(30);
/// How long a change may take before it counts as not seen.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(60);
/// The zone that goes, and the region that is apart.
const ZONE_GONE: usize = 6;
const REGION_APART: usize = 1;
/// One machine in so many is of the batch that is drained beside each incident.
const BATCH: usize = 10;

/// How large, and how long.
#[derive(Clone, Copy, Debug)]
struct Plan {
    planners: usize,
    real: usize,
    hollow: usize,
    machines: usize,
    /// Bytes of a planner's record.
    record: u64,
    /// How long a planner is lost, all are, a region is apart, and discovery is down.
    lost: Duration,
    all_lost: Duration,
    apart: Duration,
    down: Duration,
    /// How long after coming up an ordinary load is there.
    settled: Duration,
    /// How long it may take until all is as before.
    steady_within: Duration,
    /// What all of it may take; what doesn't fit is named as not measured.
    within: Duration,
    /// Only the first.
    first_only: bool,
}

impl Plan {
    fn of(options: &Options) -> Self {
        let s = Duration::from_secs;
        let most = |sizes: &[usize]| sizes.iter().copied().max().unwrap_or(1);
        let (fronts, machines) = (most(&options.sizes.fronts), most(&options.sizes.machines));
        let whole = Self {
            planners: 5,
            real: 12,
            // They share threads: a hundred of them need most of a core before the whole list.
            hollow: fronts.saturating_sub(12).min(180),
            machines,
            record: 256 << 20,
            lost: s(15),
            all_lost: s(20),
            apart: s(60),
            down: s(30),
            settled: s(8),
            steady_within: s(20),
            within: s(360),
            first_only: false,
        };
        let quick = Self {
            planners: 3,
            real: 8,
            hollow: fronts.min(60),
            record: 32 << 20,
            lost: s(2),
            all_lost: s(5),
            apart: s(8),
            down: s(8),
            settled: s(4),
            steady_within: s(4),
            within: s(90),
            ..whole
        };
        let small = Self {
            real: 2,
            hollow: fronts.min(20),
            machines: machines.min(400),
            record: 1 << 20,
            settled: s(2),
            steady_within: s(2),
            within: s(15),
            first_only: true,
            ..quick
        };
        match (options.small, options.quick) {
            (true, _) => small,
            (false, true) => quick,
            (false, false) => whole,
        }
    }
}

/// Machines with listeners of their own, so that each attempt at one of them is seen.
struct Apart {
    machines: Arc<Machines>,
    names: Vec<String>,
    stop: Option<async_channel::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
    reached: BTreeMap<String, f64>,
}

impl Apart {
    /// Moves these machines of a site to listeners of their own.
    fn open(site: &Site, seed: u64, names: Vec<String>) -> io::Result<Self> {
        let executor: Arc<Executor<'static>> = Arc::new(Executor::new());
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let machines = Machines::open(&executor, &Ports::new(None), seed)?;
        machines.trace();
        let address = machines.address(0, 0);
        let thread = std::thread::spawn(move || {
            let _ = async_io::block_on(executor.run(stopped.recv()));
        });
        let named: Vec<&str> = names.iter().map(String::as_str).collect();
        site.discovery.change(&named, |row| row.address = address);
        Ok(Self { machines, names, stop: Some(stop), thread: Some(thread), reached: BTreeMap::new() })
    }

    fn list(&self, site: &Site, status: Status) -> u64 {
        let named: Vec<&str> = self.names.iter().map(String::as_str).collect();
        site.discovery.change(&named, |row| row.status = status)
    }

    fn asked(&self) -> u64 {
        self.machines.asked(0).0
    }

    /// Takes over what was traced so far.
    fn gather(&mut self, begun: Instant) {
        let traced = self.machines.traced();
        self.machines.trace();
        self.reached.extend(traced.into_iter().map(|(id, (came, _))| (id, seconds(begun, came))));
    }
}

impl Drop for Apart {
    fn drop(&mut self) {
        self.stop = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn seconds(begun: Instant, at: Instant) -> f64 {
    at.saturating_duration_since(begun).as_secs_f64()
}

/// Which machines were out of use, from when until when, to which fronts.
struct Shut {
    what: &'static str,
    /// The batch that is drained, or else the zone that went.
    batch: bool,
    span: (f64, f64),
    fronts: Vec<usize>,
}

/// An incident that was played; what clients and machines saw of it is looked at in the end.
struct Played {
    incident: Incident,
    span: (f64, f64),
    /// Fronts that must go on serving.
    serving: Vec<usize>,
    shut: Vec<Shut>,
    /// Of which fronts and stretch it is told how many requests were served.
    told: Option<(&'static str, Vec<usize>, (f64, f64))>,
}

struct Day {
    site: Site,
    plan: Plan,
    begun: Instant,
    observer: Observer,
    batch: Apart,
    zone: Apart,
    reached: BTreeMap<String, f64>,
    downs: Vec<Down>,
    ready: Vec<Option<f64>>,
    findings: Vec<String>,
    played: Vec<Played>,
    /// When the last change was in force at which fronts.
    in_force_by: String,
    /// In what it was not as before when it was last waited for, if it was not.
    unsteady: String,
    /// What each role takes on an ordinary day.
    ordinary: Vec<Load>,
    /// How often the operator's file was changed.
    changes: usize,
}

/// What a planner has heard of a real front.
struct Heard {
    operator: u64,
    index: u64,
    out: bool,
    /// Spans of its record that the planner lacks.
    missing: u64,
}

impl Day {
    fn start(options: &Options, plan: Plan) -> io::Result<Self> {
        let most = |sizes: &[usize]| sizes.iter().copied().max().unwrap_or(1);
        let sizes = &options.sizes;
        let extent = Extent {
            machines: plan.machines,
            services: most(&sizes.services),
            routes: most(&sizes.routes),
            tenants: most(&sizes.tenants),
        };
        let site = Site::start(Spec {
            program: options.program.clone(),
            lab: options.lab.clone(),
            dir: options.dir.join("incidents"),
            seed: options.seed,
            port: options.port,
            planners: plan.planners,
            real: plan.real,
            hollow: plan.hollow,
            extent,
            rate: 20.0,
            real_rate: 20.0,
            hot_rate: None,
            record: true,
            fleet: options.fleet().to_owned(),
            plant: None,
        })?;
        site.machines.trace();
        let begun = Instant::now();
        let of = |batch: bool| -> Vec<String> {
            let all = site.estate.machines.iter().enumerate();
            let all = all.filter(|(n, m)| match n % BATCH == 0 {
                true => batch,
                false => !batch && m.zone == ZONE_GONE,
            });
            all.map(|(_, m)| m.name.clone()).collect()
        };
        let batch = Apart::open(&site, options.seed ^ 1, of(true))?;
        let zone = Apart::open(&site, options.seed ^ 2, of(false))?;
        let mut day = Self {
            site,
            plan,
            begun,
            observer: Observer::new(begun),
            batch,
            zone,
            reached: BTreeMap::new(),
            downs: vec![],
            ready: vec![],
            findings: vec![],
            played: vec![],
            in_force_by: String::new(),
            unsteady: String::new(),
            ordinary: vec![],
            changes: 0,
        };
        day.site.come_up(Duration::from_secs(60))?;
        day.fill_records()?;
        day.site.drive()?;
        // A load to compare with, once what coming up takes is over.
        day.pass(plan.settled + Duration::from_secs_f64(0.2));
        day.ordinary = day.observer.load(STRETCH_S).unwrap_or_default();
        day.observer.peaks();
        // A witness that sees nothing would find nothing.
        let seen = |day: &Self| day.batch.asked() > 0 && (plan.first_only || day.zone.asked() > 0);
        match day.until(Duration::from_secs(10), seen) {
            Some(_) => Ok(day),
            None => Err(io::Error::other("no request came to the machines that are looked at")),
        }
    }

    /// Planners come to have a record as after a full day, and read it.
    fn fill_records(&mut self) -> io::Result<()> {
        self.site.planners.iter().for_each(|p| p.process.end());
        self.await_planners()?;
        let (reports, life) = (record::reports_of(self.plan.record), record::life());
        let fronts = self.plan.real + self.plan.hollow;
        let dirs = (0..self.plan.planners).map(|p| self.site.spec.dir.join(format!("p{p}")));
        std::thread::scope(|scope| {
            let fill = |dir: PathBuf| scope.spawn(move || record::fill(&dir, life, fronts, reports));
            let filling: Vec<_> = dirs.map(fill).collect();
            filling.into_iter().try_for_each(|f| f.join().unwrap_or_else(|_| Err(io::Error::other("panic"))))
        })?;
        self.site.planners.iter_mut().try_for_each(|p| p.process.start())?;
        self.site.come_up(Duration::from_secs(60)).map(drop)
    }

    /// Waits until all planners have ended.
    fn await_planners(&mut self) -> io::Result<()> {
        let begun = Instant::now();
        let mut left = true;
        while left && begun.elapsed() < END_WITHIN {
            left = self.site.planners.iter_mut().any(|p| !p.process.has_ended());
            std::thread::sleep(LOOK / 5);
        }
        match left {
            false => Ok(()),
            true => Err(io::Error::other(format!("planners did not end within {} s", END_WITHIN.as_secs()))),
        }
    }

    fn now(&self) -> f64 {
        self.observer.now()
    }

    /// Looks on until something holds; the seconds it took, or nothing if it did not within a time.
    fn until(&mut self, within: Duration, mut holds: impl FnMut(&Self) -> bool) -> Option<f64> {
        let begun = Instant::now();
        loop {
            self.observer.look(&self.site);
            if holds(self) {
                return Some(begun.elapsed().as_secs_f64());
            }
            if begun.elapsed() >= within {
                return None;
            }
            std::thread::sleep(LOOK);
        }
    }

    /// Looks on for a time.
    fn pass(&mut self, span: Duration) {
        self.until(span, |_| false);
    }

    fn real(&self) -> Vec<usize> {
        (0..self.plan.real).collect()
    }

    /// Real fronts of a region, or of all others.
    fn of_region(&self, region: usize, there: bool) -> Vec<usize> {
        let fronts = self.site.fronts.iter().enumerate();
        fronts.filter(|(_, f)| (ZONES[f.zone].1 == region) == there).map(|(n, _)| n).collect()
    }

    /// What the first planner that answers, of those that are asked, has heard of the real fronts.
    fn heard(&self, planners: impl Iterator<Item = usize>) -> Option<Vec<Heard>> {
        let mut told = planners.filter_map(|p| {
            let (200, body) = ask(self.site.planners[p].listen, "/fleet/status", PATIENCE)? else {
                return None;
            };
            serde_json::from_slice::<Value>(&body).ok()
        });
        let status = told.next()?;
        let fronts = status["fronts"].as_array()?;
        let of = |n: usize| {
            let front = fronts.iter().find(|f| f["name"] == format!("f{n}").as_str());
            let front = front.unwrap_or(&Value::Null);
            let version = &front["version"];
            Heard {
                operator: version["operator"].as_u64().unwrap_or(0),
                index: version["list"]["index"].as_u64().unwrap_or(0),
                out: !front["out"].is_null(),
                missing: front["missing"].as_u64().unwrap_or(0),
            }
        };
        Some((0..self.plan.real).map(of).collect())
    }

    /// Changes the operator's file at all real fronts, and tells them; the digest that they act on from then.
    fn change_file(&mut self) -> io::Result<u64> {
        self.changes += 1;
        let mut digest = 0;
        for region in 0..REGIONS {
            let path = self.site.spec.dir.join(format!("real-{region}.sexp"));
            let text = std::fs::read_to_string(&path)?;
            let members = text.find("  (member").unwrap_or(0);
            let fresh = path.with_extension("fresh");
            let outbox = 1_024 + self.changes;
            // Danger: a file without the fields of the run would be another change than that of one value.
            let fields = &self.site.spec.fleet;
            std::fs::write(&fresh, format!("(fleet\n  {fields}\n  (outbox {outbox})\n{}", &text[members..]))?;
            std::fs::rename(&fresh, &path)?;
            // Addresses have no part in it, so it is the same for all.
            digest = yarrowspoke_front::fleet_member::digests(&PathBuf::new(), Some(&path)).1;
        }
        self.site.fronts.iter().for_each(|f| f.process.reload());
        Ok(digest)
    }

    /// Seconds from `since` until these real fronts act on this version of the list and this file, and all hollow ones on the
    /// list if these are all real ones; nothing if they don't.
    fn in_force(
        &mut self,
        since: f64,
        fronts: &[usize],
        planners: &[usize],
        (index, file): (u64, u64),
    ) -> Option<f64> {
        let whole = fronts.len() == self.plan.real;
        let mut first: [Option<f64>; 2] = [None, None];
        let took = self.until(IN_FORCE_WITHIN, |day| {
            let now = day.now() - since;
            if first[1].is_none() && (!whole || day.site.listed_by_hollow().iter().all(|l| *l >= index)) {
                first[1] = Some(now);
            }
            let acts = |heard: Vec<Heard>| {
                fronts.iter().all(|f| heard[*f].operator == file && heard[*f].index >= index)
            };
            if first[0].is_none() && day.heard(planners.iter().copied()).is_some_and(acts) {
                first[0] = Some(now);
            }
            first.iter().all(Option::is_some)
        });
        if whole {
            let said = |t: Option<f64>| t.map_or("never".to_owned(), |t| format!("{t:.1} s"));
            self.in_force_by = format!(
                "the change was in force at all real fronts after {}, at all hollow ones after {}",
                said(first[0]),
                said(first[1])
            );
        }
        took?;
        first.into_iter().flatten().reduce(f64::max)
    }

    fn planners(&self) -> Vec<usize> {
        (0..self.plan.planners).collect()
    }

    /// Seconds until each role takes what it took before and requests are served; nothing if that is not seen.
    fn settle(&mut self) -> Option<f64> {
        let (from, clients) = (self.now(), Arc::clone(&self.site.clients));
        let before = self.ordinary.clone();
        let within = self.plan.steady_within + Duration::from_secs_f64(STRETCH_S);
        let (mut at, mut last) = (None, (Vec::new(), true));
        self.until(within, |day| {
            let now = day.now();
            if now - from < STRETCH_S {
                return false;
            }
            let taken = day.observer.load(STRETCH_S).unwrap_or_default();
            let same = steady(&before, &taken);
            let failed = || {
                let recent = |r: &&super::clients::Request| {
                    r.sent.is_none_or(|s| seconds(day.begun, s) > now - STRETCH_S)
                };
                let ended = clients.ended();
                // The newest have ended last; older ones are of no matter here.
                let newest = ended.iter().rev().take(200 * day.plan.real).filter(recent);
                // One on a kept connection that had gone was not taken.
                newest
                    .filter(|r| r.sent.is_some() && !(r.kept && r.answered.is_none()))
                    .any(|r| r.answered.is_none_or(|a| a.1 != 200))
            };
            let served = !failed();
            if same && served {
                at = Some((now - STRETCH_S - from).max(0.0));
            }
            last = (taken, served);
            same && served
        });
        if at.is_none() {
            let (now, served) = last;
            let roles = ["fronts", "hollow fronts", "planners"].iter().zip(before.iter().zip(&now));
            let said = |(role, (b, n)): (&&str, (&Load, &Load))| {
                format!(
                    "{role} {:.0} bytes/s and {:.2} cores, {:.0} and {:.2} before",
                    n.bytes_per_s, n.cores, b.bytes_per_s, b.cores
                )
            };
            let said: Vec<String> = roles.map(said).collect();
            let failing = if served { "" } else { "; requests fail" };
            let missing: u64 = self.heard(0..1).iter().flatten().map(|h| h.missing).sum();
            self.unsteady = format!(
                "not as before after {:.1} s: {}; p0 lacks {missing} spans of real fronts{failing}",
                within.as_secs_f64(),
                said.join("; ")
            );
        }
        at
    }

    /// Takes note of an incident that has been played.
    fn note(&mut self, name: String, must_not: &str, played: Noted) {
        let until = self.now();
        let incident = Incident {
            name,
            must_not: must_not.to_owned(),
            held: true,
            broken: played.broken,
            steady_after_s: played.steady_after_s,
            change_in_force_s: played.change_in_force_s,
            peaks: self.observer.peaks(),
        };
        let span = (played.from, until);
        self.findings.push(format!("incident, {}: {}", incident.name, self.in_force_by));
        let unsteady = std::mem::take(&mut self.unsteady);
        if !unsteady.is_empty() {
            self.findings.push(format!("incident, {}: {unsteady}", incident.name));
        }
        let (serving, shut, told) = (played.serving, played.shut, played.told);
        self.played.push(Played { incident, span, serving, shut, told });
    }

    /// The batch is drained, and the operator's file is changed.
    fn change(&mut self) -> io::Result<(u64, u64)> {
        let index = self.batch.list(&self.site, Status::Draining);
        Ok((index, self.change_file()?))
    }

    /// The batch is in use again; since when.
    fn undrain(&mut self) -> f64 {
        let at = self.now();
        let index = self.batch.list(&self.site, Status::Up);
        self.until(IN_FORCE_WITHIN, |day| {
            let (acting, all) = day.site.acting_on(index);
            acting == all
        });
        at
    }

    /// All processes of the fleet end and are started again at once.
    fn restart(&mut self) -> io::Result<()> {
        let from = self.now();
        let mut broken = Vec::new();
        let index = self.batch.list(&self.site, Status::Draining);
        let old = self.heard(0..1).and_then(|h| h.first().map(|h| h.operator)).unwrap_or(0);
        let (all, planners) = (self.real(), self.planners());
        if self.in_force(from, &all, &planners, (index, old)).is_none() {
            broken.push("the drain before it did not come into force".to_owned());
        }
        let drained = self.now() + GRACE_S;
        self.pass(Duration::from_secs_f64(GRACE_S));
        let told = self.now();
        let file = self.change_file()?;
        self.site.fronts.iter().for_each(|f| f.process.end());
        self.site.planners.iter().for_each(|p| p.process.end());
        self.site.hollow.iter_mut().for_each(|h| h.kill());
        let begun = Instant::now();
        loop {
            let planners = self.site.planners.iter_mut().map(|p| &mut p.process);
            let processes = planners.chain(self.site.fronts.iter_mut().map(|f| &mut f.process));
            let left: Vec<String> =
                processes.filter_map(|p| (!p.has_ended()).then(|| p.name.clone())).collect();
            if left.is_empty() {
                break;
            }
            if begun.elapsed() > END_WITHIN {
                broken.push(format!("did not end within {} s: {}", END_WITHIN.as_secs(), left.join(", ")));
                break;
            }
            std::thread::sleep(LOOK / 5);
        }
        let mut starting: Vec<(Option<usize>, std::net::SocketAddr, Instant)> = Vec::new();
        for planner in &mut self.site.planners {
            planner.process.start()?;
            starting.push((None, planner.listen, Instant::now()));
        }
        for (n, front) in self.site.fronts.iter_mut().enumerate() {
            front.process.start()?;
            starting.push((Some(n), front.listen, Instant::now()));
        }
        self.site.restart_hollow()?;
        let begun = Instant::now();
        let mut ready = Vec::new();
        while !starting.is_empty() && begun.elapsed() < READY_WITHIN {
            self.observer.look(&self.site);
            starting.retain(|(front, listen, at)| {
                let up = ask(*listen, "/up", PATIENCE).map(|a| a.0) == Some(200);
                if up {
                    ready.push(Some(at.elapsed().as_secs_f64()));
                    if let Some(front) = *front {
                        self.downs.push(Down { front, from: told, until: self.observer.now() });
                    }
                }
                !up
            });
            std::thread::sleep(LOOK / 5);
        }
        for (front, listen, _) in &starting {
            ready.push(None);
            let until = self.observer.now();
            self.downs.extend(front.map(|front| Down { front, from: told, until }));
            broken.push(format!("{listen} was not ready within {} s", READY_WITHIN.as_secs()));
        }
        self.ready.extend(ready);
        let change_in_force_s = self.in_force(told, &all, &planners, (index, file));
        let steady_after_s = self.settle();
        // Where the record is read the planners come after the fronts, which then go by their own sources.
        let until = self.undrain();
        let shut = Shut { what: "drained before", batch: true, span: (drained, until), fronts: all.clone() };
        let name = format!(
            "all restart at once: {} planners with a record of {} MB, {} real and {} hollow fronts, {} machines",
            self.plan.planners,
            self.plan.record >> 20,
            self.plan.real,
            self.plan.hollow,
            self.plan.machines
        );
        let must_not = "No attempt goes to a machine that was told as drained before the restart; no request that a front \
            has taken is lost.";
        let (serving, told) = (all, None);
        let noted =
            Noted { from, broken, steady_after_s, change_in_force_s, serving, shut: vec![shut], told };
        self.note(name, must_not, noted);
        Ok(())
    }

    /// Fronts that planners have ordered out, as one line.
    fn ordered_out(&self) -> Option<String> {
        let heard = self.heard(0..self.plan.planners)?;
        let out: Vec<String> =
            heard.iter().enumerate().filter(|(_, h)| h.out).map(|(n, _)| format!("f{n}")).collect();
        (!out.is_empty()).then(|| format!("quarantine: planners order out {}", out.join(", ")))
    }

    /// One planner is lost, then all are, then they come back.
    fn planners_lost(&mut self) -> io::Result<()> {
        let (from, all) = (self.now(), self.real());
        let last = self.plan.planners - 1;
        self.site.planners[last].process.kill();
        let changed = self.now();
        let change = self.change()?;
        let left: Vec<usize> = (0..last).collect();
        let change_in_force_s = self.in_force(changed, &all, &left, change);
        let drained = self.now() + GRACE_S;
        let mut broken: Vec<String> = self.ordered_out().into_iter().collect();
        let hold = self.plan.lost.as_secs_f64() - (self.now() - changed);
        self.pass(Duration::from_secs_f64(hold.max(0.0)));
        self.site.planners.iter_mut().for_each(|p| p.process.kill());
        self.pass(self.plan.all_lost);
        self.site.planners.iter_mut().try_for_each(|p| p.process.start())?;
        let back = self.until(READY_WITHIN, |day| (0..day.plan.planners).all(|p| day.site.answers(p)));
        if back.is_none() {
            broken
                .push(format!("planners did not answer within {} s of their start", READY_WITHIN.as_secs()));
        }
        let steady_after_s = self.settle();
        broken.extend(self.ordered_out());
        let until = self.undrain();
        let shut =
            Shut { what: "drained beside it", batch: true, span: (drained, until), fronts: all.clone() };
        let name = format!(
            "a planner lost for {} s, then all for {} s, and back",
            self.plan.lost.as_secs(),
            self.plan.all_lost.as_secs()
        );
        let must_not = "No front stops serving; no front is put in quarantine; no attempt goes to a machine drained beside it.";
        let (serving, told) = (all, None);
        let noted =
            Noted { from, broken, steady_after_s, change_in_force_s, serving, shut: vec![shut], told };
        self.note(name, must_not, noted);
        Ok(())
    }

    /// All machines of a zone are gone within a second.
    fn zone_gone(&mut self) -> io::Result<()> {
        let (from, all, planners) = (self.now(), self.real(), self.planners());
        let mut broken = Vec::new();
        self.zone.machines.gate(0).set(Fault { reset: true, ..Fault::default() });
        let changed = self.now();
        let half = self.zone.names.len() / 2;
        let names: Vec<String> = self.zone.names.clone();
        for (part, names) in [&names[..half], &names[half..]].into_iter().enumerate() {
            let named: Vec<&str> = names.iter().map(String::as_str).collect();
            self.site.discovery.change(&named, |row| row.status = Status::Removed);
            if part == 0 {
                self.pass(Duration::from_millis(500));
            }
        }
        let change = self.change()?;
        let change_in_force_s = self.in_force(changed, &all, &planners, change);
        if change_in_force_s.is_none() {
            broken.push("not all fronts act on a list without the zone".to_owned());
        }
        let gone = self.now() + GRACE_S;
        // Whoever still sends there is answered, and seen.
        self.pass(Duration::from_secs_f64(GRACE_S));
        self.zone.machines.gate(0).set(Fault::default());
        let steady_after_s = self.settle();
        let until = self.now();
        self.zone.list(&self.site, Status::Up);
        self.undrain();
        let shut = |what, batch| Shut { what, batch, span: (gone, until), fronts: all.clone() };
        let shut = vec![shut("gone zone", false), shut("drained beside it", true)];
        let name =
            format!("a zone's machines gone within a second: {} of {}", names.len(), self.plan.machines);
        let must_not = "No attempt goes to a machine told as gone later than the drain's grace and a second after that is in \
            force; no front stops serving.";
        let (serving, told) = (all, None);
        let noted = Noted { from, broken, steady_after_s, change_in_force_s, serving, shut, told };
        self.note(name, must_not, noted);
        Ok(())
    }

    /// A region is cut from the planners of the others and from discovery, and rejoined.
    fn region_apart(&mut self) -> io::Result<()> {
        let (from, all, planners) = (self.now(), self.real(), self.planners());
        let (apart, others) = (self.of_region(REGION_APART, true), self.of_region(REGION_APART, false));
        let elsewhere: Vec<usize> =
            planners.iter().copied().filter(|p| super::site::region_of_planner(*p) != REGION_APART).collect();
        let mut broken = Vec::new();
        let cut = Fault { cut: true, ..Fault::default() };
        self.site.part(REGION_APART, true);
        self.site.discovery.gate(REGION_APART).set(cut);
        let parted = self.now();
        let change = self.change()?;
        // The file reaches all by their own machines; the list only those that discovery reaches.
        let there = self.in_force(parted, &others, &elsewhere, change);
        let drained = self.now() + GRACE_S;
        let left = self.plan.apart.as_secs_f64() - (self.now() - parted);
        self.pass(Duration::from_secs_f64(left.max(0.0)));
        let rejoined = self.now();
        self.site.part(REGION_APART, false);
        self.site.discovery.gate(REGION_APART).set(Fault::default());
        let after = self.in_force(rejoined, &all, &planners, change);
        if after.is_none() {
            broken.push("not all fronts act on the change after the rejoining".to_owned());
        }
        let together = self.now() + GRACE_S;
        let steady_after_s = self.settle();
        broken.extend(self.ordered_out());
        let until = self.undrain();
        let shut = |what, from, fronts: &[usize]| Shut {
            what,
            batch: true,
            span: (from, until),
            fronts: fronts.to_vec(),
        };
        let shut = vec![
            shut("drained, other regions", drained, &others),
            shut("drained, after the rejoining", together, &apart),
        ];
        let seconds = self.plan.apart.as_secs();
        let name = format!("a region apart for {seconds} s (minutes, scaled down) and rejoined");
        let must_not = "No front of the other regions stops serving; no attempt of theirs goes to a machine drained meanwhile, \
            and none of the region's after the rejoining; no front is put in quarantine. The change's time counts from the \
            rejoining for the region's own fronts.";
        let change_in_force_s = there.zip(after).map(|(a, b)| a.max(b));
        let told = Some(("the region's own fronts while apart", apart, (parted, rejoined)));
        let serving = others;
        let noted = Noted { from, broken, steady_after_s, change_in_force_s, serving, shut, told };
        self.note(name, must_not, noted);
        Ok(())
    }

    /// Discovery is down, and all come back to it at once.
    fn discovery_down(&mut self) -> io::Result<()> {
        let (from, all, planners) = (self.now(), self.real(), self.planners());
        let mut broken = Vec::new();
        self.site.discovery.set_down(true);
        let change = self.change()?;
        self.pass(self.plan.down);
        let calls: u64 = Caller::ALL.iter().map(|c| self.site.discovery.tally(*c).refused).sum();
        self.site.discovery.set_down(false);
        let back = self.now();
        let change_in_force_s = self.in_force(back, &all, &planners, change);
        if change_in_force_s.is_none() {
            broken.push("not all fronts act on the list after discovery was back".to_owned());
        }
        let drained = self.now() + GRACE_S;
        let steady_after_s = self.settle();
        broken.extend(self.ordered_out());
        let until = self.undrain();
        let shut =
            Shut { what: "drained meanwhile", batch: true, span: (drained, until), fronts: all.clone() };
        let name = format!(
            "discovery down for {} s{} and everyone back at once; {calls} calls refused",
            self.plan.down.as_secs(),
            if self.plan.down.as_secs() < 30 { " (30 s, scaled down)" } else { "" }
        );
        let must_not = "No front stops serving or is put in quarantine; no attempt goes to a machine drained meanwhile once \
            discovery has told it. The change's time counts from when it was back.";
        let (serving, told) = (all, None);
        let noted =
            Noted { from, broken, steady_after_s, change_in_force_s, serving, shut: vec![shut], told };
        self.note(name, must_not, noted);
        Ok(())
    }

    /// Looks for what must not have happened in what clients and machines saw, and reports.
    fn end(mut self, seen: &mut Report) {
        self.site.rest();
        self.pass(CLIENTS_WAIT);
        let begun = self.begun;
        self.batch.gather(begun);
        self.zone.gather(begun);
        let traced = self.site.machines.traced();
        self.reached.extend(traced.into_iter().map(|(id, (came, _))| (id, seconds(begun, came))));
        let request = |r: super::clients::Request| Request {
            reached: [&self.reached, &self.batch.reached, &self.zone.reached]
                .iter()
                .filter_map(|m| m.get(&r.id).copied())
                .reduce(f64::min),
            sent: r.sent.map(|s| seconds(begun, s)),
            answered: r.answered.map(|(at, status)| (seconds(begun, at), status)),
            front: r.front,
            kept: r.kept,
            crossed: r.crossed.map(|c| seconds(begun, c)),
            id: r.id,
        };
        let requests: Vec<Request> = self.site.clients.ended().into_iter().map(request).collect();
        let front_of = |id: &str| id.split('-').nth(1).and_then(|n| n.parse::<usize>().ok());
        let early = refused_once_ready(&requests, &self.downs, 2.0);
        self.findings
            .push(format!("restart: {early} requests refused in the 2 s after their front was ready"));
        for mut played in std::mem::take(&mut self.played) {
            let broken = &mut played.incident.broken;
            let (from, until) = played.span;
            let here: Vec<Request> = requests
                .iter()
                .filter(|r| r.sent.is_some_and(|s| (from..until).contains(&s)))
                .cloned()
                .collect();
            broken.extend(lost(&here));
            broken.extend(silent(&requests, &played.serving, played.span, SILENT, &self.downs));
            for shut in &played.shut {
                let reached = if shut.batch { &self.batch.reached } else { &self.zone.reached };
                let attempts = reached.iter().map(|(id, at)| (id.as_str(), *at));
                let of = attempts.filter(|a| front_of(a.0).is_some_and(|f| shut.fronts.contains(&f)));
                broken.extend(at_shut(shut.what, of, shut.span));
            }
            played.incident.held = broken.is_empty();
            let (good, all) = served(&requests, &self.real(), played.span);
            let name = &played.incident.name;
            self.findings.push(format!("incident, {name}: {good} of {all} requests served"));
            if let Some((what, fronts, span)) = &played.told {
                let (good, all) = served(&requests, fronts, *span);
                self.findings.push(format!("incident, {name}: {what}: {good} of {all} requests served"));
            }
            seen.incidents.push(played.incident);
        }
        for ended in self.site.ended() {
            seen.failures.push(format!("incidents: ended by itself: {ended}"));
        }
        seen.findings.append(&mut self.findings);
        seen.ready_s_p90 = p90(&self.ready).or(seen.ready_s_p90);
        let in_force = seen.incidents.iter().filter_map(|i| i.change_in_force_s);
        seen.change_in_force_s_max = in_force.reduce(f64::max);
        seen.real_fronts = seen.real_fronts.max(self.plan.real);
        seen.hollow_fronts = seen.hollow_fronts.max(self.plan.hollow);
    }
}

/// What an incident says of itself when it was played.
struct Noted {
    from: f64,
    broken: Vec<String>,
    steady_after_s: Option<f64>,
    change_in_force_s: Option<f64>,
    serving: Vec<usize>,
    shut: Vec<Shut>,
    /// Of which fronts and stretch it is told how many requests were served.
    told: Option<(&'static str, Vec<usize>, (f64, f64))>,
}

type Scene = fn(&mut Day) -> io::Result<()>;

/// In the order in which they are played.
const SCENES: [(&str, Scene); 5] = [
    ("all restart at once", Day::restart),
    ("planners lost", Day::planners_lost),
    ("a zone gone", Day::zone_gone),
    ("a region apart", Day::region_apart),
    ("discovery down", Day::discovery_down),
];

/// What is not played at all.
const NOT_PLAYED: [&str; 1] =
    ["incidents: a rack or a switch alone, as the zone's is the larger of the same kind"];

/// Plays all that there is time for, and adds what it saw; `tick` is told what comes next.
pub fn play(options: &Options, seen: &mut Report, tick: &dyn Fn(&str)) -> io::Result<()> {
    let plan = Plan::of(options);
    let begun = Instant::now();
    tick("incidents: coming up");
    let mut day = Day::start(options, plan)?;
    for (n, (name, scene)) in SCENES.into_iter().enumerate() {
        // The last stretch belongs to what clients still wait for.
        let over = begun.elapsed() + CLIENTS_WAIT > plan.within;
        if over || plan.first_only && n > 0 {
            seen.not_measured.push(format!("incident: {name}: no time in a run of this length"));
            continue;
        }
        tick(&format!("incident: {name}"));
        scene(&mut day)?;
    }
    seen.not_measured.extend(NOT_PLAYED.map(str::to_owned));
    let (played, asked) = (plan.real + plan.hollow, options.sizes.fronts.iter().copied().max().unwrap_or(0));
    if played < asked {
        seen.not_measured.push(format!("incidents with {asked} fronts: {played} were played"));
    }
    day.end(seen);
    Ok(())
}
