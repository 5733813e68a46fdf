//! An installation that runs: planners and fronts of the built program, hollow fronts in processes of their own, and stand-ins
//! round them, with a counting proxy between any two roles.

use super::clients::{self, Clients};
use super::discovery::{Caller, Discovery};
use super::estate::{Estate, Extent, REGIONS, ZONES};
use super::hollow;
use super::machines::Machines;
use super::platform::Platform;
use super::ports::Ports;
use super::proxy::{Counts, Fault, Proxy};
use super::usage::{descriptors, usage, Usage};
use crate::fleet::ask;
use crate::fleet::process::Process;
use async_executor::{Executor, Task};
use serde_json::{json, Value};
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Threads that run stand-ins, proxies and clients.
const THREADS: usize = 3;
/// How often a state is looked at that is waited for.
const LOOK: Duration = Duration::from_millis(20);
/// How long one look at a process may take.
const PATIENCE: Duration = Duration::from_secs(2);
/// Most hollow fronts in one process: one thread runs them all.
const HOLLOW_AT_MOST: usize = 155;
/// Descriptors of a process that are no connection of a front, generously.
const SPARE_DESCRIPTORS: usize = 64;
/// The span over which hollow fronts start: a renewal, so that their heartbeats are spread over it.
const SPREAD_S: f64 = 0.2;
/// What the platform tells at first: nothing is on trial.
pub const RELEASED: &str = "41 2 stable 1.0";

/// A fault planted in a site, which its checks have to catch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    /// Proxies tell half of the bytes.
    HalfBytes,
    /// Half of the hollow fronts leave the first planner out.
    SkippedHeartbeats,
}

/// What a site is made of.
#[derive(Clone, Debug)]
pub struct Spec {
    /// The built program.
    pub program: PathBuf,
    /// The laboratory's own program.
    pub lab: PathBuf,
    /// Where its files go; a directory of this site's own.
    pub dir: PathBuf,
    /// Draws everything.
    pub seed: u64,
    /// The first port listened on; the system's choice if none.
    pub port: Option<u16>,
    /// Planners.
    pub planners: usize,
    /// Real fronts.
    pub real: usize,
    /// Hollow fronts.
    pub hollow: usize,
    /// What is drawn.
    pub extent: Extent,
    /// Requests a second that each hollow front notes.
    pub rate: f64,
    /// Requests a second that clients send to each real front once driven.
    pub real_rate: f64,
    /// The same of one hollow front that is hot, the first; as all others if none.
    pub hot_rate: Option<f64>,
    /// Planners keep their record in a directory, and so take part in the agreement.
    pub record: bool,
    /// Fields of the fleet's section.
    pub fleet: String,
    /// A fault planted in it.
    pub plant: Option<Plant>,
}

/// A process's part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// A planner.
    Planner,
    /// A real front.
    Front,
    /// A process of hollow fronts.
    Hollow,
}

/// A planner.
pub struct PlannerAt {
    /// The process.
    pub process: Process,
    /// Where it listens itself.
    pub listen: SocketAddr,
    /// Proxies in front of it, by caller and region.
    pub fronts: Vec<(Caller, usize, Arc<Proxy>)>,
    /// Proxies towards the other planners, with the other's number.
    pub others: Vec<(usize, Arc<Proxy>)>,
}

/// A real front.
pub struct FrontAt {
    /// The process.
    pub process: Process,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Its zone's number.
    pub zone: usize,
}

/// A process of hollow fronts; ended when dropped.
pub struct HollowAt {
    /// How many fronts it has.
    pub fronts: usize,
    spec: PathBuf,
    child: Option<Child>,
    told: Arc<Mutex<hollow::Told>>,
}

impl HollowAt {
    fn start(&mut self, lab: &Path, dir: &Path) -> io::Result<()> {
        self.kill();
        *self.told.lock().unwrap_or_else(PoisonError::into_inner) = hollow::Told::default();
        let log = File::options().create(true).append(true).open(dir.join("hollow.log"))?;
        let mut child = Command::new(lab)
            .arg("scale-hollow")
            .arg("--spec")
            .arg(&self.spec)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .map_err(|e| io::Error::new(e.kind(), format!("{}: {e}", lab.display())))?;
        if let Some(out) = child.stdout.take() {
            let told = Arc::clone(&self.told);
            std::thread::spawn(move || {
                for line in BufReader::new(out).lines().map_while(Result::ok) {
                    if let Ok(now) = serde_json::from_str(&line) {
                        *told.lock().unwrap_or_else(PoisonError::into_inner) = now;
                    }
                }
            });
        }
        self.child = Some(child);
        Ok(())
    }

    /// It dies at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Its process id, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// What it told last.
    pub fn told(&self) -> hollow::Told {
        self.told.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|c| !matches!(c.try_wait(), Ok(None)))
    }
}

impl Drop for HollowAt {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A site that runs.
///
/// Danger: its processes are killed when the thread that started them ends, so that nothing outlives this program; a site is
/// therefore started, and its processes started again, only by threads that last as long as it does.
pub struct Site {
    /// What it was made of.
    pub spec: Spec,
    /// What was drawn.
    pub estate: Estate,
    /// Discovery.
    pub discovery: Arc<Discovery>,
    /// The platform.
    pub platform: Arc<Platform>,
    /// Machines.
    pub machines: Arc<Machines>,
    /// Clients.
    pub clients: Arc<Clients>,
    /// Planners.
    pub planners: Vec<PlannerAt>,
    /// Real fronts: the first members.
    pub fronts: Vec<FrontAt>,
    /// Processes of hollow fronts: the members behind them, in order.
    pub hollow: Vec<HollowAt>,
    driven: Vec<Task<()>>,
    ports: Ports,
    executor: Arc<Executor<'static>>,
    stop: Option<async_channel::Sender<()>>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

/// The zone of a front.
fn zone_of(front: usize) -> usize {
    front % ZONES.len()
}

/// The region of a planner.
pub fn region_of_planner(planner: usize) -> usize {
    planner % REGIONS
}

/// Processes that such a site has, this one counted in.
pub fn processes(spec: &Spec) -> usize {
    1 + spec.planners + spec.real + spec.hollow.div_ceil(hollow_at_once(spec).max(1))
}

/// Descriptors that a hollow front takes: one to each planner, to discovery (two while a watch is begun anew) and the platform.
fn descriptors_each(spec: &Spec) -> usize {
    spec.planners + 3
}

fn hollow_at_once(spec: &Spec) -> usize {
    HOLLOW_AT_MOST.min(descriptors().saturating_sub(SPARE_DESCRIPTORS) / descriptors_each(spec))
}

/// Refuses beforehand what this process could not hold the connections of.
fn check(spec: &Spec) -> io::Result<()> {
    let fronts = spec.real + spec.hollow;
    let clients = (spec.real as f64 * spec.real_rate / 2.0) as usize;
    let needed = fronts * (2 * spec.planners + 3) + 40 * spec.real + clients + 4 * SPARE_DESCRIPTORS;
    let limit = descriptors();
    if needed > limit {
        return Err(io::Error::other(format!(
            "{fronts} fronts with {} planners need {needed} descriptors here, and {limit} are allowed (ulimit -n)",
            spec.planners
        )));
    }
    Ok(())
}

fn operator_text(spec: &Spec, planners: &[SocketAddr]) -> String {
    let mut text = format!("(fleet\n  {}\n", spec.fleet);
    for n in 0..spec.real + spec.hollow {
        text += &format!("  (member (name f{n}) (role front) (zone {}))\n", ZONES[zone_of(n)].0);
    }
    for (n, address) in planners.iter().enumerate() {
        text += &format!("  (member (name p{n}) (role planner) (address \"{address}\"))\n");
    }
    text + ")\n"
}

impl Site {
    /// Opens the stand-ins and proxies and starts all processes.
    pub fn start(spec: Spec) -> io::Result<Self> {
        check(&spec)?;
        std::fs::create_dir_all(&spec.dir)
            .map_err(|e| io::Error::new(e.kind(), format!("{}: {e}", spec.dir.display())))?;
        let executor: Arc<Executor<'static>> = Arc::new(Executor::new());
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let ports = Ports::new(spec.port);
        let estate = Estate::draw(spec.seed, spec.extent);
        let machines = Machines::open(&executor, &ports, spec.seed)?;
        let address = |zone, machine| machines.address(zone, machine);
        let discovery = Discovery::open(&executor, &ports, REGIONS, &estate, address)?;
        let platform = Platform::open(&executor, &ports, RELEASED)?;
        let run = |_| {
            let (executor, stopped) = (Arc::clone(&executor), stopped.clone());
            std::thread::spawn(move || {
                let _ = async_io::block_on(executor.run(stopped.recv()));
            })
        };
        let threads = (0..THREADS).map(run).collect();
        let mut site = Self {
            estate,
            discovery,
            platform,
            machines,
            clients: Arc::default(),
            planners: Vec::new(),
            fronts: Vec::new(),
            hollow: Vec::new(),
            driven: Vec::new(),
            ports,
            executor,
            stop: Some(stop),
            threads,
            spec,
        };
        site.open()?;
        for planner in &mut site.planners {
            planner.process.start()?;
        }
        for front in &mut site.fronts {
            front.process.start()?;
        }
        let (lab, dir) = (site.spec.lab.clone(), site.spec.dir.clone());
        site.hollow.iter_mut().try_for_each(|h| h.start(&lab, &dir))?;
        Ok(site)
    }

    /// Lays out all processes with their files; none is started.
    fn open(&mut self) -> io::Result<()> {
        let listens: Vec<SocketAddr> =
            (0..self.spec.planners).map(|_| self.ports.reserve()).collect::<io::Result<_>>()?;
        for n in 0..self.spec.planners {
            let planner = self.planner(n, &listens)?;
            self.planners.push(planner);
        }
        for caller in Caller::ALL {
            for region in 0..REGIONS {
                let through = |p: &PlannerAt| {
                    let proxy = p.fronts.iter().find(|f| (f.0, f.1) == (caller, region));
                    proxy.map_or(p.listen, |f| f.2.address)
                };
                let addresses: Vec<SocketAddr> = self.planners.iter().map(through).collect();
                std::fs::write(self.operator(caller, region), operator_text(&self.spec, &addresses))?;
            }
        }
        for n in 0..self.spec.real {
            let front = self.front(n)?;
            self.fronts.push(front);
        }
        let at_once = hollow_at_once(&self.spec);
        if at_once == 0 {
            return Err(io::Error::other(format!(
                "one hollow front needs {} descriptors, and {} are allowed (ulimit -n)",
                descriptors_each(&self.spec) + SPARE_DESCRIPTORS,
                descriptors()
            )));
        }
        let (first, last) = (self.spec.real, self.spec.real + self.spec.hollow);
        let parts = self.spec.hollow.div_ceil(at_once).max(1);
        for part in 0..self.spec.hollow.min(parts) {
            let of = |n: usize| first + n * self.spec.hollow / parts;
            let fronts = (of(part)..of(part + 1).min(last)).map(|n| self.hollow_front(n)).collect();
            let spec =
                hollow::Spec { fronts, seed: self.spec.seed.wrapping_add(part as u64), spread_s: SPREAD_S };
            let path = self.spec.dir.join(format!("hollow-{part}.json"));
            std::fs::write(&path, serde_json::to_vec(&spec)?)?;
            let told = Arc::default();
            self.hollow.push(HollowAt { fronts: spec.fronts.len(), spec: path, child: None, told });
        }
        Ok(())
    }

    fn operator(&self, caller: Caller, region: usize) -> PathBuf {
        let kind = if caller == Caller::Real { "real" } else { "hollow" };
        self.spec.dir.join(format!("{kind}-{region}.sexp"))
    }

    /// A process that is killed when this one ends.
    fn process(&self, name: &str, args: Vec<String>, envs: Vec<(String, String)>) -> Process {
        let program = self.spec.program.display().to_string();
        let words = ["scale-child".to_owned(), "--".to_owned(), program];
        let args = words.into_iter().chain(args).collect();
        Process::new(name, &self.spec.lab, args, envs, &self.spec.dir)
    }

    fn proxy(&self, target: SocketAddr) -> io::Result<Arc<Proxy>> {
        let proxy = Proxy::open(&self.executor, &self.ports, target)?;
        if self.spec.plant == Some(Plant::HalfBytes) {
            proxy.tell_half();
        }
        Ok(proxy)
    }

    fn planner(&self, n: usize, listens: &[SocketAddr]) -> io::Result<PlannerAt> {
        let (name, dir) = (format!("p{n}"), &self.spec.dir);
        let (mut fronts, mut others, mut addresses) = (Vec::new(), Vec::new(), listens.to_vec());
        for caller in Caller::ALL {
            for region in 0..REGIONS {
                fronts.push((caller, region, self.proxy(listens[n])?));
            }
        }
        for (other, target) in listens.iter().enumerate().filter(|(other, _)| *other != n) {
            let proxy = self.proxy(*target)?;
            addresses[other] = proxy.address;
            others.push((other, proxy));
        }
        let file = dir.join(format!("{name}.sexp"));
        std::fs::write(&file, operator_text(&self.spec, &addresses))?;
        let mut args: Vec<String> = ["planner", "--name", &name, "--operator"].map(str::to_owned).into();
        args.push(file.display().to_string());
        if self.spec.record {
            let store = dir.join(&name);
            std::fs::create_dir_all(&store)?;
            args.extend(["--found".to_owned(), "--dir".to_owned(), store.display().to_string()]);
        }
        let envs = vec![("RUST_LOG".to_owned(), "warn".to_owned())];
        Ok(PlannerAt { process: self.process(&name, args, envs), listen: listens[n], fronts, others })
    }

    fn front(&self, n: usize) -> io::Result<FrontAt> {
        let (name, listen, zone) = (format!("f{n}"), self.ports.reserve()?, zone_of(n));
        let region = ZONES[zone].1;
        let mut config: Value = serde_json::from_str(include_str!("../../../../examples/config.json"))?;
        config["name"] = name.clone().into();
        config["listen"] = listen.to_string().into();
        config["discovery"] = self.discovery.address(Caller::Real, region).to_string().into();
        config["seed"] = format!("{:016x}", self.spec.seed.wrapping_add(n as u64)).into();
        config["rollouts"] = json!({"address": self.platform.address.to_string()});
        let settings = &mut config["settings"];
        settings["Localities"] = ZONES.iter().map(|z| z.0).collect();
        settings["Zone"] = zone.into();
        settings["Me"] = n.into();
        settings["PeersTotal"] = (self.spec.real + self.spec.hollow).into();
        let tenant = |t: &super::estate::Tenant| json!({"Name": t.name, "QuotaRps": 1e6, "Share": t.share});
        settings["Tenants"] = self.estate.tenants.iter().map(tenant).collect();
        let path = self.spec.dir.join(format!("{name}.json"));
        std::fs::write(&path, serde_json::to_vec(&config)?)?;
        let mut args = vec!["serve".to_owned()];
        if self.spec.planners > 0 {
            let file = self.operator(Caller::Real, region).display().to_string();
            args.extend(["--operator".to_owned(), file]);
        }
        let envs = vec![
            ("PROXY_CONFIG".to_owned(), path.display().to_string()),
            ("RUST_LOG".to_owned(), "warn".to_owned()),
        ];
        Ok(FrontAt { process: self.process(&name, args, envs), listen, zone })
    }

    fn hollow_front(&self, n: usize) -> hollow::Front {
        let (region, all) = (ZONES[zone_of(n)].1, self.spec.real + self.spec.hollow);
        let hot = self.spec.hot_rate.filter(|_| n == self.spec.real);
        hollow::Front {
            name: format!("f{n}"),
            operator: self.operator(Caller::Hollow, region),
            discovery: self.discovery.address(Caller::Hollow, region),
            platform: self.platform.address,
            part: n as f64 / all as f64,
            rate: hot.unwrap_or(self.spec.rate),
            skips: self.spec.plant == Some(Plant::SkippedHeartbeats) && n.is_multiple_of(2),
        }
    }

    /// Whether a real front says that it is ready.
    pub fn is_up(&self, front: usize) -> bool {
        ask(self.fronts[front].listen, "/up", PATIENCE).map(|a| a.0) == Some(200)
    }

    /// Whether a real front serves a request by a machine's answer, as a client sees it.
    pub fn serves(&self, front: usize) -> bool {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let id = format!("look-{}", NEXT.fetch_add(1, Ordering::Relaxed));
        let tenant = self.estate.tenants.first().map_or("", |t| t.name.as_str());
        async_io::block_on(clients::once(self.fronts[front].listen, &id, tenant)) == Some(200)
    }

    /// Whether a planner answers.
    pub fn answers(&self, planner: usize) -> bool {
        ask(self.planners[planner].listen, "/up", PATIENCE).map(|a| a.0) == Some(200)
    }

    /// The versions of the list that all real fronts act on, as the first planner that answers has heard; 0 where it has not.
    pub fn listed_by_real(&self) -> Vec<u64> {
        let mut listed = vec![0; self.spec.real];
        let status = |p: &PlannerAt| -> Option<Value> {
            let (200, body) = ask(p.listen, "/fleet/status", PATIENCE)? else { return None };
            serde_json::from_slice(&body).ok()
        };
        let Some(status) = self.planners.iter().find_map(status) else { return listed };
        for (n, listed) in listed.iter_mut().enumerate() {
            let of = status["fronts"].as_array().into_iter().flatten();
            let mut of = of.filter(|f| f["name"].as_str().is_some_and(|name| name == format!("f{n}")));
            *listed = of.next().and_then(|f| f["version"]["list"]["index"].as_u64()).unwrap_or(0);
        }
        listed
    }

    /// The versions that all hollow fronts act on, in order; 0 before one has any.
    pub fn listed_by_hollow(&self) -> Vec<u64> {
        let of = |h: &HollowAt| {
            let mut listed = h.told().listed;
            listed.resize(h.fronts, 0);
            listed
        };
        self.hollow.iter().flat_map(of).collect()
    }

    /// Fronts that act on this version of the list, or a newer one, and all.
    pub fn acting_on(&self, index: u64) -> (usize, usize) {
        let mut listed = self.listed_by_hollow();
        if self.spec.real > 0 {
            listed.extend(self.listed_by_real());
        }
        (listed.iter().filter(|l| **l >= index).count(), listed.len())
    }

    /// Seconds until all fronts act on this version of the list, or nothing if they don't within a time.
    pub fn in_force(&self, index: u64, within: Duration) -> Option<f64> {
        self.wait(within, |site| {
            let (acting, all) = site.acting_on(index);
            acting == all
        })
    }

    /// Seconds until something holds, or nothing if it doesn't within a time.
    pub fn wait(&self, within: Duration, holds: impl Fn(&Self) -> bool) -> Option<f64> {
        let begun = Instant::now();
        while !holds(self) {
            if begun.elapsed() > within {
                return None;
            }
            std::thread::sleep(LOOK);
        }
        Some(begun.elapsed().as_secs_f64())
    }

    /// Waits until all planners answer, all real fronts are ready and all fronts act on the list; the seconds it took.
    pub fn come_up(&self, within: Duration) -> io::Result<f64> {
        let begun = Instant::now();
        let up = |site: &Self| {
            (0..site.planners.len()).all(|p| site.answers(p)) && (0..site.fronts.len()).all(|f| site.is_up(f))
        };
        let index = self.discovery.index();
        let left = || within.saturating_sub(begun.elapsed());
        if self.wait(left(), up).is_none() || self.in_force(index, left()).is_none() {
            let (acting, all) = self.acting_on(index);
            let logs = self.planners.iter().map(|p| &p.process).chain(self.fronts.iter().map(|f| &f.process));
            let last = |p: &Process| p.logged().lines().last().map(|l| format!("{}: {l}", p.name));
            let last: Vec<String> = logs.filter_map(last).take(3).collect();
            let within = within.as_secs_f64();
            return Err(io::Error::other(format!(
                "{acting} of {all} fronts act on the list after {within} s; {}",
                last.join(" | ")
            )));
        }
        Ok(begun.elapsed().as_secs_f64())
    }

    /// Starts the clients of all real fronts.
    pub fn drive(&mut self) -> io::Result<()> {
        let tenants: Arc<Vec<String>> =
            Arc::new(self.estate.tenants.iter().map(|t| t.name.clone()).collect());
        for (n, front) in self.fronts.iter().enumerate() {
            let (rate, seed) = (self.spec.real_rate, self.spec.seed);
            let to = (n, front.listen);
            let task = self.clients.drive(&self.executor, to, rate, (seed, Arc::clone(&tenants)))?;
            self.driven.push(task);
        }
        Ok(())
    }

    /// No further request begins; those begun go on.
    pub fn rest(&mut self) {
        self.driven.clear();
    }

    /// Kills all processes of hollow fronts and starts them again.
    pub fn restart_hollow(&mut self) -> io::Result<()> {
        self.hollow.iter_mut().for_each(HollowAt::kill);
        let (lab, dir) = (self.spec.lab.clone(), self.spec.dir.clone());
        self.hollow.iter_mut().try_for_each(|h| h.start(&lab, &dir))
    }

    /// Kills all real fronts and starts them again.
    pub fn restart_real(&mut self) -> io::Result<()> {
        self.fronts.iter_mut().for_each(|f| f.process.kill());
        self.fronts.iter_mut().try_for_each(|f| f.process.start())
    }

    /// Parts a region from all others, or joins it again: its fronts reach no planner elsewhere, its planners no other region's;
    /// discovery, the platform and machines stay in reach.
    pub fn part(&self, region: usize, apart: bool) {
        let fault = Fault { cut: apart, ..Fault::default() };
        for (n, planner) in self.planners.iter().enumerate() {
            let home = region_of_planner(n);
            for (_, of, proxy) in &planner.fronts {
                if (*of == region) != (home == region) {
                    proxy.gate.set(fault);
                }
            }
            for (other, proxy) in &planner.others {
                if (region_of_planner(*other) == region) != (home == region) {
                    proxy.gate.set(fault);
                }
            }
        }
    }

    /// What has passed between fronts of a kind and all planners.
    pub fn control(&self, caller: Caller) -> Counts {
        let of = |p: &PlannerAt| -> Counts {
            p.fronts.iter().filter(|f| f.0 == caller).map(|f| f.2.counts()).sum()
        };
        self.planners.iter().map(of).sum()
    }

    /// What has passed among planners.
    pub fn among_planners(&self) -> Counts {
        let of = |p: &PlannerAt| -> Counts { p.others.iter().map(|o| o.1.counts()).sum() };
        self.planners.iter().map(of).sum()
    }

    /// What each process has taken so far, by role; those that do not run are left out.
    pub fn usage(&self) -> Vec<(Role, String, Usage)> {
        let planners = self.planners.iter().map(|p| (Role::Planner, p.process.name.clone(), p.process.id()));
        let fronts = self.fronts.iter().map(|f| (Role::Front, f.process.name.clone(), f.process.id()));
        let hollow =
            self.hollow.iter().enumerate().map(|(n, h)| (Role::Hollow, format!("hollow-{n}"), h.id()));
        let all = planners.chain(fronts).chain(hollow);
        all.filter_map(|(role, name, id)| Some((role, name, usage(id?)?))).collect()
    }

    /// All processes now, this one counted in, and their resident memory together, MB.
    pub fn footprint(&self) -> (usize, f64) {
        let all = self.usage();
        let own = usage(std::process::id()).unwrap_or_default().rss_mb;
        (all.len() + 1, own + all.iter().map(|u| u.2.rss_mb).sum::<f64>())
    }

    /// Processes that have ended by themselves, which none should, with their last lines.
    pub fn ended(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        let processes = self.planners.iter_mut().map(|p| &mut p.process);
        for process in processes.chain(self.fronts.iter_mut().map(|f| &mut f.process)) {
            if process.has_ended() {
                let log = process.logged();
                ended.push(format!("{}: {}", process.name, log.lines().last().unwrap_or("")));
            }
        }
        let hollow = self.hollow.iter_mut().enumerate().filter_map(|(n, h)| h.has_ended().then_some(n));
        ended.extend(hollow.map(|n| format!("hollow-{n}")));
        ended
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.driven.clear();
        self.hollow.clear();
        self.fronts.clear();
        self.planners.clear();
        self.stop = None;
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}
