//! Stand-ins round a fleet of real fronts: machines, discovery and the platform. Each has a listener for each front, so
//! that what came from whom is known without asking the front; all that they saw and told is logged with its time.

use super::http::{read_message, Message};
use async_executor::Executor;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncBufReadExt, AsyncWriteExt, StreamExt};
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How often a watch looks whether there is news.
const LOOK: Duration = Duration::from_millis(5);
/// Pause between the platform's signs of life, and how often its tellers look for news.
const BREATH: Duration = Duration::from_secs(1);

/// Something a stand-in saw or told. Times are microseconds since the world began; fronts and machines by their numbers.
#[allow(missing_docs)] // the fields are what their names say
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// An attempt's last byte came to a machine, which then ran this build.
    Attempt { front: usize, machine: usize, build: u16, id: String, safe: bool },
    /// Discovery wrote a version of the list to a front.
    List { front: usize, index: u64 },
    /// The platform told a front the state of the newest build, as it words it.
    News { front: usize, state: String },
    /// A front's vote came.
    Vote { front: usize, line: String },
}

#[derive(Clone, Debug)]
struct Listed {
    index: u64,
    status: &'static str,
    build: u16,
    /// When it last started, Unix milliseconds; 0 = long ago.
    since_ms: u64,
}

struct State {
    log: Vec<(u64, Seen)>,
    index: u64,
    machines: Vec<Listed>,
    /// Changes of a machine, with when and at which version of the list.
    changes: Vec<(u64, u64, usize, &'static str)>,
    platform: String,
    platform_changed: u64,
    /// Milliseconds that a build takes for a request, and one in how many fails; 0 = none.
    builds: BTreeMap<u16, (u64, u32)>,
    served: u32,
}

/// The world outside the fronts.
pub struct World {
    /// When it began.
    pub begun: Instant,
    zones: usize,
    state: Mutex<State>,
}

async fn serve<F, W>(listener: Async<TcpListener>, executor: Arc<Executor<'static>>, with: W)
where
    F: Future<Output = io::Result<()>> + Send + 'static,
    W: Fn(Async<TcpStream>) -> F,
{
    let mut incoming = Box::pin(listener.incoming());
    while let Some(stream) = incoming.next().await {
        let Ok(stream) = stream else { continue };
        let _ = stream.get_ref().set_nodelay(true);
        let served = with(stream);
        executor.spawn(async move { drop(served.await) }).detach();
    }
}

fn bind() -> io::Result<(Async<TcpListener>, SocketAddr)> {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
    let address = listener.get_ref().local_addr()?;
    Ok((listener, address))
}

impl World {
    /// A world of so many machines, spread over the zones, all of build 1, which is released.
    pub fn new(machines: usize, zones: usize) -> Arc<Self> {
        let listed = |n: usize| Listed { index: n as u64 + 1, status: "up", build: 1, since_ms: 0 };
        Arc::new(Self {
            begun: Instant::now(),
            zones,
            state: Mutex::new(State {
                log: Vec::new(),
                index: machines as u64,
                machines: (0..machines).map(listed).collect(),
                changes: Vec::new(),
                platform: "1 2 stable 1.0".into(),
                platform_changed: 0,
                builds: [(1, (5, 0))].into(),
                served: 0,
            }),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Microseconds since it began.
    pub fn now(&self) -> u64 {
        self.begun.elapsed().as_micros() as u64
    }

    fn note(&self, seen: Seen) {
        let mut state = self.state();
        let at = self.now();
        state.log.push((at, seen));
    }

    /// All that was seen and told so far.
    pub fn log(&self) -> Vec<(u64, Seen)> {
        self.state().log.clone()
    }

    /// Changes of the list so far: when, to which version, which machine, to which status.
    pub fn changes(&self) -> Vec<(u64, u64, usize, &'static str)> {
        self.state().changes.clone()
    }

    /// Lists a machine anew, and says at which version of the list.
    pub fn list(&self, machine: usize, status: &'static str, build: u16) -> u64 {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let mut state = self.state();
        state.index += 1;
        let index = state.index;
        let old = &state.machines[machine];
        let anew = status == "up" && (old.build != build || old.status != "up");
        let since_ms = if anew { now.map_or(0, |d| d.as_millis() as u64) } else { old.since_ms };
        state.machines[machine] = Listed { index, status, build, since_ms };
        let at = self.now();
        state.changes.push((at, index, machine, status));
        index
    }

    /// The newest version of the list.
    pub fn index(&self) -> u64 {
        self.state().index
    }

    /// How a build serves: milliseconds, and one in how many fails.
    pub fn build(&self, build: u16, millis: u64, fails_one_in: u32) {
        self.state().builds.insert(build, (millis, fails_one_in));
    }

    /// The platform's state from now on, as `BUILD STAGE PHASE CAP`.
    pub fn tell(&self, state: &str) {
        let mut world = self.state();
        world.platform = state.to_owned();
        world.platform_changed = self.now();
    }

    fn platform_line(&self) -> String {
        let state = self.state();
        let age = (self.now() - state.platform_changed) / 1_000;
        format!("{} {age}", state.platform)
    }

    /// What `rollouts.news` of a configuration holds.
    pub fn news(&self) -> serde_json::Value {
        let line = self.platform_line();
        let words: Vec<&str> = line.split(' ').collect();
        let number = |n: usize| words[n].parse::<f64>().unwrap_or(0.0);
        serde_json::json!({"Revision": number(0) as u64, "Wave": number(1) as u64, "State": words[2],
            "MaxShare": number(3), "AgeMs": number(4)})
    }

    /// The list as a front of these doors is told it, in whole or from a version on.
    pub fn listing(&self, doors: &[SocketAddr], from: Option<u64>) -> (u64, String) {
        let state = self.state();
        let whole = from.is_none_or(|f| f > state.index);
        let news = |m: &&(usize, &Listed)| whole || from.is_some_and(|f| m.1.index > f);
        let rows: Vec<_> = state.machines.iter().enumerate().collect();
        let line = |(n, m): &(usize, &Listed)| {
            serde_json::json!({"name": format!("m{n}"), "address": doors[*n].to_string(),
                "zone": super::zone(*n, self.zones), "type": "m", "group": 0, "status": m.status, "weight": 1.0,
                "since_ms": m.since_ms, "build": m.build})
        };
        let lines: Vec<_> = rows.iter().filter(news).map(line).collect();
        let text = serde_json::json!({"index": state.index, "snapshot": whole, "endpoints": lines});
        (state.index, text.to_string())
    }

    /// Opens the machines for one front, a listener for each.
    pub fn open_machines(
        self: &Arc<Self>,
        executor: &Arc<Executor<'static>>,
        front: usize,
    ) -> io::Result<Vec<SocketAddr>> {
        let count = self.state().machines.len();
        let open = |machine| {
            let (listener, address) = bind()?;
            let world = Arc::clone(self);
            let with = move |stream| Arc::clone(&world).machine(stream, front, machine);
            executor.spawn(serve(listener, Arc::clone(executor), with)).detach();
            Ok(address)
        };
        (0..count).map(open).collect()
    }

    /// Opens discovery and the platform for one front, which reaches the machines at `doors`.
    pub fn open_sources(
        self: &Arc<Self>,
        executor: &Arc<Executor<'static>>,
        front: usize,
        doors: Vec<SocketAddr>,
    ) -> io::Result<(SocketAddr, SocketAddr)> {
        let (listener, discovery) = bind()?;
        let world = Arc::clone(self);
        let with = move |stream| Arc::clone(&world).discovery(stream, front, doors.clone());
        executor.spawn(serve(listener, Arc::clone(executor), with)).detach();
        let (listener, platform) = bind()?;
        let world = Arc::clone(self);
        let with = move |stream| Arc::clone(&world).platform(stream, front);
        executor.spawn(serve(listener, Arc::clone(executor), with)).detach();
        Ok((discovery, platform))
    }

    async fn machine(
        self: Arc<Self>,
        mut stream: Async<TcpStream>,
        front: usize,
        machine: usize,
    ) -> io::Result<()> {
        let mut rest = Vec::new();
        while let Some(asked) = read_message(&mut stream, &mut rest).await? {
            let (safe, id) = (asked.word(0) == "GET", asked.field("x-call-id").unwrap_or("").to_owned());
            let (millis, fails) = {
                let mut state = self.state();
                state.served += 1;
                let (build, served) = (state.machines[machine].build, state.served);
                let (millis, one_in) = state.builds.get(&build).copied().unwrap_or((5, 0));
                let at = self.now();
                state.log.push((at, Seen::Attempt { front, machine, build, id, safe }));
                (millis, one_in > 0 && served % one_in == 0)
            };
            Timer::after(Duration::from_millis(millis)).await;
            let body = [asked.word(1).as_bytes(), b"|", &asked.body].concat();
            let mut answer = match fails {
                true => Message::answer("500 Internal Server Error", vec![]),
                false => Message::answer("200 OK", body),
            };
            answer.lines.push(format!("X-Load-Report: mean_ms={millis}.0"));
            stream.write_all(&answer.bytes()).await?;
        }
        Ok(())
    }

    async fn discovery(
        self: Arc<Self>,
        mut stream: Async<TcpStream>,
        front: usize,
        doors: Vec<SocketAddr>,
    ) -> io::Result<()> {
        let mut rest = Vec::new();
        while let Some(asked) = read_message(&mut stream, &mut rest).await? {
            let number = |name: &str| -> Option<u64> {
                asked.word(1).split(['?', '&']).find_map(|p| p.strip_prefix(name)?.parse().ok())
            };
            let (from, hold) = (number("from="), Duration::from_millis(number("hold_ms=").unwrap_or(0)));
            let begun = Instant::now();
            while from.is_some_and(|f| f == self.index()) && begun.elapsed() < hold {
                Timer::after(LOOK).await;
            }
            let (index, text) = self.listing(&doors, from);
            stream.write_all(&Message::answer("200 OK", text).bytes()).await?;
            self.note(Seen::List { front, index });
        }
        Ok(())
    }

    async fn platform(self: Arc<Self>, stream: Async<TcpStream>, front: usize) -> io::Result<()> {
        let stream = Arc::new(stream);
        let mut lines = futures_lite::io::BufReader::new(&*stream).lines();
        while let Some(line) = lines.next().await {
            let line = line?;
            let mut out = &*stream;
            if line.trim() == "NOTIFY" {
                out.write_all(b"OK\r\n").await?;
                return future::or(self.notify(&stream, front), async {
                    while let Some(Ok(_)) = lines.next().await {}
                    Ok(())
                })
                .await;
            }
            self.note(Seen::Vote { front, line: line.trim().to_owned() });
            out.write_all(format!("OK {}\r\n", self.platform_line()).as_bytes()).await?;
        }
        Ok(())
    }

    async fn notify(&self, mut stream: &Async<TcpStream>, front: usize) -> io::Result<()> {
        let (mut told, mut breath) = (u64::MAX, Instant::now());
        loop {
            let changed = self.state().platform_changed;
            if changed != told {
                let line = self.platform_line();
                stream.write_all(format!("* progress {line}\r\n").as_bytes()).await?;
                self.note(Seen::News { front, state: line });
                told = changed;
            } else if breath.elapsed() > BREATH {
                stream.write_all(b"*\r\n").await?;
                breath = Instant::now();
            }
            Timer::after(LOOK).await;
        }
    }
}
