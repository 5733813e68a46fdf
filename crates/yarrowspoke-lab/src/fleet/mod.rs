//! The rig: many processes of the built program over loopback, with stand-ins round them and faults between them.
//!
//! What was done is read from what the stand-ins and the clients saw. Nothing here uses the fleet's own code.

pub mod agreed;
pub mod audit;
pub mod before;
pub mod check;
pub mod cost;
pub mod http;
pub mod load;
pub mod picture;
pub mod process;
pub mod relay;
pub mod schedule;
pub mod world;

use async_executor::{Executor, Task};
use async_io::{Async, Timer};
use futures_lite::{future, AsyncWriteExt};
use load::Load;
use process::Process;
use relay::Link;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use world::World;

/// Threads that run the stand-ins, relays and clients.
const THREADS: usize = 2;
/// How long processes may take to come up; one that takes longer has failed to start.
const COME_UP: Duration = Duration::from_secs(20);

/// What a site is made of.
#[derive(Clone, Debug)]
pub struct Options {
    /// The built program.
    pub program: PathBuf,
    /// Where configurations, logs and stores go; a directory of this run's own.
    pub dir: PathBuf,
    /// Fronts.
    pub fronts: usize,
    /// Planners; 0 leaves the fleet's section out.
    pub planners: usize,
    /// Machines.
    pub machines: usize,
    /// Zones, 1 to 3.
    pub zones: usize,
    /// Calls a second to each front.
    pub rate: f64,
    /// For all that is drawn.
    pub seed: u64,
    /// Fields of the fleet's section, as they stand in the file.
    pub fleet: String,
    /// Set in the environment of each process.
    pub envs: Vec<(String, String)>,
}

/// A front and its links.
#[derive(Debug)]
pub struct FrontAt {
    /// The process.
    pub process: Process,
    /// Where it listens.
    pub listen: SocketAddr,
    /// To discovery.
    pub discovery: Arc<Link>,
    /// To the platform.
    pub platform: Arc<Link>,
    /// To each machine.
    pub machines: Vec<Arc<Link>>,
    /// To each planner.
    pub planners: Vec<Arc<Link>>,
}

/// A planner and its links.
#[derive(Debug)]
pub struct PlannerAt {
    /// The process.
    pub process: Process,
    /// Where it listens.
    pub listen: SocketAddr,
    /// To each planner; the one to itself is not used.
    pub planners: Vec<Arc<Link>>,
}

/// A fleet that runs, and its world.
pub struct Site {
    /// The world.
    pub world: Arc<World>,
    /// The clients.
    pub load: Arc<Load>,
    /// Fronts.
    pub fronts: Vec<FrontAt>,
    /// Planners.
    pub planners: Vec<PlannerAt>,
    /// What it was made of.
    pub options: Options,
    clients: Vec<Task<()>>,
    executor: Arc<Executor<'static>>,
    stop: Option<async_channel::Sender<()>>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

/// An address of the loopback range that no other process of this run, and no outgoing connection, has: a port that was
/// free a moment ago may be taken by the time a process is started, or started again, on it.
fn own_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let (n, run) = (NEXT.fetch_add(1, Ordering::Relaxed), std::process::id());
    let byte = |x: u32| (1 + x % 250) as u8;
    SocketAddr::from(([127, byte(run), byte(run / 250 + n / 250), byte(n)], 5_000))
}

/// The name of a zone.
pub fn zone(front: usize, zones: usize) -> &'static str {
    ["a", "b", "c"][front % zones]
}

fn operator_file(options: &Options, planners: &[SocketAddr]) -> String {
    let mut text = format!("(fleet\n  {}\n", options.fleet);
    for n in 0..options.fronts {
        text += &format!("  (member (name f{n}) (role front) (zone {}))\n", zone(n, options.zones));
    }
    for (n, address) in planners.iter().enumerate() {
        text += &format!("  (member (name p{n}) (role planner) (address \"{address}\"))\n");
    }
    text + ")\n"
}

impl Site {
    /// Opens the world and the links and starts all processes.
    pub fn start(options: Options, world: Arc<World>) -> io::Result<Self> {
        std::fs::create_dir_all(&options.dir)?;
        let executor: Arc<Executor<'static>> = Arc::new(Executor::new());
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let run = |_| {
            let (executor, stopped) = (Arc::clone(&executor), stopped.clone());
            std::thread::spawn(move || {
                let _ = async_io::block_on(executor.run(stopped.recv()));
            })
        };
        let threads = (0..THREADS).map(run).collect();
        let mut site = Self {
            world,
            load: Arc::default(),
            fronts: vec![],
            planners: vec![],
            options: options.clone(),
            clients: vec![],
            executor,
            stop: Some(stop),
            threads,
        };
        let listens = (0..options.planners).map(|_| own_address()).collect::<Vec<_>>();
        for n in 0..options.planners {
            let planner = site.planner(n, &listens)?;
            site.planners.push(planner);
        }
        for n in 0..options.fronts {
            let front = site.front(n, &listens)?;
            site.fronts.push(front);
        }
        for planner in &mut site.planners {
            planner.process.start()?;
        }
        for front in &mut site.fronts {
            front.process.start()?;
        }
        Ok(site)
    }

    fn links(&self, targets: &[SocketAddr], messages: bool, salt: u64) -> io::Result<Vec<Arc<Link>>> {
        let seed = self.options.seed ^ salt << 20;
        let open = |(n, t): (usize, &SocketAddr)| Link::open(&self.executor, *t, messages, seed + n as u64);
        targets.iter().enumerate().map(open).collect()
    }

    fn planner(&self, n: usize, listens: &[SocketAddr]) -> io::Result<PlannerAt> {
        let (options, name) = (&self.options, format!("p{n}"));
        let planners = self.links(listens, true, 1_000 + n as u64)?;
        let mut addresses: Vec<SocketAddr> = planners.iter().map(|l| l.address).collect();
        addresses[n] = listens[n];
        let file = options.dir.join(format!("{name}.sexp"));
        std::fs::write(&file, operator_file(options, &addresses))?;
        let store = options.dir.join(&name);
        std::fs::create_dir_all(&store)?;
        let words = ["planner", "--found", "--name", &name, "--operator"];
        let mut args: Vec<String> = words.map(str::to_owned).into();
        args.extend([file, "--dir".into(), store].map(|p: PathBuf| p.display().to_string()));
        let process = Process::new(&name, &options.program, args, options.envs.clone(), &options.dir);
        Ok(PlannerAt { process, listen: listens[n], planners })
    }

    fn front(&self, n: usize, listens: &[SocketAddr]) -> io::Result<FrontAt> {
        let (options, name, listen) = (&self.options, format!("f{n}"), own_address());
        let (doors, salt) = (self.world.open_machines(&self.executor, n)?, 10 * n as u64);
        let machines = self.links(&doors, false, salt + 2)?;
        // The list is worded with the links, as the front is to go through them.
        let addresses: Vec<SocketAddr> = machines.iter().map(|l| l.address).collect();
        let (discovery, platform) = self.world.open_sources(&self.executor, n, addresses.clone())?;
        let discovery = self.links(&[discovery], false, salt)?.remove(0);
        let platform = self.links(&[platform], false, salt + 1)?.remove(0);
        let planners = self.links(listens, true, salt + 3)?;
        let mut config: serde_json::Value =
            serde_json::from_str(include_str!("../../../../examples/config.json"))?;
        config["name"] = name.clone().into();
        config["listen"] = listen.to_string().into();
        config["discovery"] = discovery.address.to_string().into();
        config["seed"] = format!("{:016x}", self.options.seed.wrapping_add(n as u64)).into();
        config["rollouts"] =
            serde_json::json!({"address": platform.address.to_string(), "news": self.world.news()});
        config["known"] = serde_json::from_str(&self.world.listing(&addresses, None).1)?;
        let settings = &mut config["settings"];
        settings["Localities"] = (0..options.zones).map(|z| zone(z, options.zones)).collect();
        settings["Zone"] = (n % options.zones).into();
        settings["Me"] = n.into();
        settings["PeersTotal"] = options.fronts.into();
        let path = options.dir.join(format!("{name}.json"));
        std::fs::write(&path, serde_json::to_vec_pretty(&config)?)?;
        let mut args = vec![];
        if options.planners > 0 {
            let planners: Vec<SocketAddr> = planners.iter().map(|l| l.address).collect();
            let file = options.dir.join(format!("{name}.sexp"));
            std::fs::write(&file, operator_file(options, &planners))?;
            args = vec!["serve".to_owned(), "--operator".to_owned(), file.display().to_string()];
        }
        let mut envs = options.envs.clone();
        envs.push(("PROXY_CONFIG".into(), path.display().to_string()));
        let process = Process::new(&name, &options.program, args, envs, &options.dir);
        Ok(FrontAt { process, listen, discovery, platform, machines, planners })
    }

    /// Waits until every front says that it is ready.
    pub fn come_up(&self) -> io::Result<()> {
        for front in &self.fronts {
            let begun = Instant::now();
            while ask(front.listen, "/up", Duration::from_secs(1)).map(|a| a.0) != Some(200) {
                if begun.elapsed() > COME_UP {
                    let why = format!("{} did not come up: {}", front.process.name, front.process.logged());
                    return Err(io::Error::other(why));
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        }
        Ok(())
    }

    /// Starts the clients of all fronts.
    pub fn drive(&mut self) {
        let (rate, seed) = (self.options.rate, self.options.seed);
        for (n, front) in self.fronts.iter().enumerate() {
            let to = (n, front.listen);
            self.clients.push(self.load.start(&self.executor, &self.world, to, rate, seed));
        }
    }

    /// No further call begins; those begun go on.
    pub fn rest(&mut self) {
        self.clients.clear();
    }

    /// All links of a front towards its own sources.
    pub fn sources(&self, front: usize) -> [&Arc<Link>; 2] {
        [&self.fronts[front].discovery, &self.fronts[front].platform]
    }

    /// Processes that have ended by themselves, with their logs' last lines.
    pub fn ended(&mut self) -> Vec<String> {
        let processes = self.fronts.iter_mut().map(|f| &mut f.process);
        let all = processes.chain(self.planners.iter_mut().map(|p| &mut p.process));
        let last = |log: String| {
            log.lines().rev().take(3).collect::<Vec<_>>().into_iter().rev().collect::<Vec<_>>().join(" | ")
        };
        all.filter_map(|p| p.has_ended().then(|| format!("{}: {}", p.name, last(p.logged())))).collect()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.clients.clear();
        self.fronts.clear();
        self.planners.clear();
        self.stop = None;
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Asks something once, as a client that gives up; the status and the body.
pub fn ask(address: SocketAddr, target: &str, patience: Duration) -> Option<(u16, Vec<u8>)> {
    let talk = async {
        let mut stream = Async::<TcpStream>::connect(address).await.ok()?;
        let text = format!("GET {target} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        stream.write_all(text.as_bytes()).await.ok()?;
        let answer = http::read_message(&mut stream, &mut Vec::new()).await.ok()??;
        Some((answer.word(1).parse().ok()?, answer.body))
    };
    let over = async {
        Timer::after(patience).await;
        None
    };
    async_io::block_on(future::or(talk, over))
}

/// The program beside the one that runs, or as an environment variable names it.
pub fn program(path: Option<&Path>) -> io::Result<PathBuf> {
    match path {
        Some(path) => Ok(path.to_owned()),
        None => Ok(std::env::current_exe()?.with_file_name("yarrowspoke")),
    }
}
