//! A stand-in for discovery that all fronts share: the whole list, watches that wait, changes by version.

use super::estate::{Estate, BUILD, ZONES};
use super::ports::Ports;
use super::proxy::Gate;
use crate::fleet::http::read_message;
use async_channel::{Receiver, Sender};
use async_executor::Executor;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncWriteExt, StreamExt};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Who calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Caller {
    /// A process of the built program.
    Real,
    /// A hollow front.
    Hollow,
}

impl Caller {
    /// Both.
    pub const ALL: [Self; 2] = [Self::Real, Self::Hollow];
}

/// How a machine is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Takes requests.
    Up,
    /// Wants nothing new.
    Draining,
    /// Gone from the list.
    Removed,
}

impl Status {
    fn word(self) -> &'static str {
        match self {
            Self::Up => "up",
            Self::Draining => "draining",
            Self::Removed => "removed",
        }
    }
}

/// A line of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The machine's name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone's number.
    pub zone: usize,
    /// How it is listed.
    pub status: Status,
    /// When it started, Unix milliseconds; 0 = long ago.
    pub since_ms: u64,
    /// Its build.
    pub build: u16,
}

/// What callers of one kind have asked and been told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Connections.
    pub connections: u64,
    /// Calls.
    pub calls: u64,
    /// Calls answered with the whole list.
    pub wholes: u64,
    /// Calls refused, as it was down.
    pub refused: u64,
    /// Bytes of calls.
    pub bytes_in: u64,
    /// Bytes of answers.
    pub bytes_out: u64,
}

impl std::ops::Sub for Tally {
    type Output = Self;

    fn sub(self, before: Self) -> Self {
        Self {
            connections: self.connections - before.connections,
            calls: self.calls - before.calls,
            wholes: self.wholes - before.wholes,
            refused: self.refused - before.refused,
            bytes_in: self.bytes_in - before.bytes_in,
            bytes_out: self.bytes_out - before.bytes_out,
        }
    }
}

struct State {
    index: u64,
    rows: Vec<(u64, Row)>,
    by_name: BTreeMap<String, usize>,
    /// Versions and the rows that were changed last at them.
    changed: BTreeSet<(u64, usize)>,
    /// Answers of the present version: the whole list, and what has changed since older ones.
    answers: BTreeMap<Option<u64>, Arc<(Vec<u8>, usize)>>,
    /// Closed whenever there is news, or it goes down; whoever waits holds the other end.
    news: (Sender<()>, Receiver<()>),
    down: bool,
    lines_per_s: Option<f64>,
    /// When it is through with the calls taken so far.
    free_at: Instant,
    tallies: BTreeMap<Caller, Tally>,
}

/// Discovery.
pub struct Discovery {
    state: Mutex<State>,
    doors: Vec<(Caller, usize, SocketAddr)>,
    gates: Vec<Gate>,
}

fn line(row: &Row) -> String {
    format!(
        "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"type\":\"m\",\"group\":0,\"status\":\"{}\",\
         \"weight\":1.0,\"since_ms\":{},\"build\":{}}}",
        row.name,
        row.address,
        ZONES[row.zone].0,
        row.status.word(),
        row.since_ms,
        row.build
    )
}

fn message(index: u64, whole: bool, rows: &[&Row]) -> Vec<u8> {
    let mut body = format!("{{\"index\":{index},\"snapshot\":{whole},\"endpoints\":[");
    for (n, row) in rows.iter().enumerate() {
        let _ = write!(body, "{}{}", if n > 0 { "," } else { "" }, line(row));
    }
    body.push_str("]}");
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

impl State {
    fn wake(&mut self) {
        self.news = async_channel::bounded(1);
    }

    /// The answer to a call that holds this version, as bytes, and how many lines it has.
    fn answer(&mut self, from: Option<u64>) -> Arc<(Vec<u8>, usize)> {
        let from = from.filter(|f| *f > 0 && *f <= self.index);
        if let Some(made) = self.answers.get(&from) {
            return Arc::clone(made);
        }
        let rows: Vec<&Row> = match from {
            None => self.rows.iter().map(|r| &r.1).filter(|r| r.status != Status::Removed).collect(),
            Some(from) => self.changed.range((from + 1, 0)..).map(|(_, n)| &self.rows[*n].1).collect(),
        };
        let made = Arc::new((message(self.index, from.is_none(), &rows), rows.len()));
        self.answers.insert(from, Arc::clone(&made));
        made
    }
}

impl Discovery {
    /// Opens it with these machines, at an address for callers of each kind and region, so that each can be told apart and
    /// held; `addresses` has where the machines of each zone listen.
    pub fn open(
        executor: &Arc<Executor<'static>>,
        ports: &Ports,
        regions: usize,
        estate: &Estate,
        address: impl Fn(usize, usize) -> SocketAddr,
    ) -> io::Result<Arc<Self>> {
        let row = |(n, m): (usize, &super::estate::Machine)| Row {
            name: m.name.clone(),
            address: address(m.zone, n),
            zone: m.zone,
            status: Status::Up,
            since_ms: 0,
            build: BUILD,
        };
        let rows: Vec<(u64, Row)> = estate.machines.iter().enumerate().map(row).map(|r| (1, r)).collect();
        let state = State {
            index: 1,
            by_name: rows.iter().enumerate().map(|(n, r)| (r.1.name.clone(), n)).collect(),
            changed: (0..rows.len()).map(|n| (1, n)).collect(),
            rows,
            answers: BTreeMap::new(),
            news: async_channel::bounded(1),
            down: false,
            lines_per_s: None,
            free_at: Instant::now(),
            tallies: BTreeMap::new(),
        };
        let (mut doors, mut listeners) = (Vec::new(), Vec::new());
        for region in 0..regions {
            for caller in Caller::ALL {
                let (listener, address) = ports.listen()?;
                doors.push((caller, region, address));
                listeners.push((listener, caller, region));
            }
        }
        let gates = (0..regions).map(|_| Gate::default()).collect();
        let discovery = Arc::new(Self { state: Mutex::new(state), doors, gates });
        for (listener, caller, region) in listeners {
            let (held, spawner) = (Arc::clone(&discovery), Arc::clone(executor));
            let accept = async move {
                let mut incoming = Box::pin(listener.incoming());
                while let Some(stream) = incoming.next().await {
                    let Ok(stream) = stream else { continue };
                    let held = Arc::clone(&held);
                    let talk = async move { drop(held.converse(stream, caller, region).await) };
                    spawner.spawn(talk).detach();
                }
            };
            executor.spawn(accept).detach();
        }
        Ok(discovery)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Where callers of this kind and region reach it.
    pub fn address(&self, caller: Caller, region: usize) -> SocketAddr {
        let door = self.doors.iter().find(|d| (d.0, d.1) == (caller, region));
        door.map_or_else(|| SocketAddr::from(([127, 0, 0, 1], 1)), |d| d.2)
    }

    /// What can be wrong on the way from a region.
    pub fn gate(&self, region: usize) -> &Gate {
        &self.gates[region]
    }

    /// The version of the list.
    pub fn index(&self) -> u64 {
        self.state().index
    }

    /// Rows that are not removed.
    pub fn rows(&self) -> Vec<Row> {
        self.state().rows.iter().map(|r| &r.1).filter(|r| r.status != Status::Removed).cloned().collect()
    }

    /// Bytes of the whole list as it stands, its head counted in.
    pub fn whole_bytes(&self) -> usize {
        self.state().answer(None).0.len()
    }

    /// What callers of this kind have asked and been told so far.
    pub fn tally(&self, caller: Caller) -> Tally {
        self.state().tallies.get(&caller).copied().unwrap_or_default()
    }

    fn count(&self, caller: Caller, with: impl FnOnce(&mut Tally)) {
        with(self.state().tallies.entry(caller).or_default());
    }

    /// It handles calls in turn, at so many lines a second; `None` for at once.
    pub fn pace(&self, lines_per_s: Option<f64>) {
        self.state().lines_per_s = lines_per_s;
    }

    /// Takes it down, which ends all watches, or brings it back up.
    pub fn set_down(&self, down: bool) {
        let mut state = self.state();
        state.down = down;
        state.wake();
    }

    /// Changes rows at once, as one version: each whose name is given, by `with`. The version.
    pub fn change(&self, names: &[&str], with: impl Fn(&mut Row)) -> u64 {
        let mut held = self.state();
        let state = &mut *held;
        state.index += 1;
        for name in names {
            let Some(n) = state.by_name.get(*name).copied() else { continue };
            let (at, row) = &mut state.rows[n];
            state.changed.remove(&(*at, n));
            *at = state.index;
            state.changed.insert((*at, n));
            with(row);
        }
        state.answers.clear();
        state.wake();
        state.index
    }

    /// Waits for its turn; the answer to a call, or nothing if it is down.
    async fn answer(&self, from: Option<u64>, hold: Duration) -> Option<Arc<(Vec<u8>, usize)>> {
        let until = Instant::now() + hold;
        loop {
            let changed = {
                let state = self.state();
                if state.down {
                    return None;
                }
                if from != Some(state.index) || Instant::now() >= until {
                    break;
                }
                state.news.1.clone()
            };
            let over = async {
                Timer::at(until).await;
            };
            let news = async {
                let _ = changed.recv().await;
            };
            future::or(news, over).await;
        }
        let (answer, turn) = {
            let mut state = self.state();
            let answer = state.answer(from);
            let span = state.lines_per_s.map_or(0.0, |per_s| answer.1.max(1) as f64 / per_s);
            state.free_at = state.free_at.max(Instant::now()) + Duration::from_secs_f64(span);
            (answer, (span > 0.0).then_some(state.free_at))
        };
        if let Some(turn) = turn {
            Timer::at(turn).await;
        }
        (!self.state().down).then_some(answer)
    }

    async fn converse(&self, mut stream: Async<TcpStream>, caller: Caller, region: usize) -> io::Result<()> {
        stream.get_ref().set_nodelay(true)?;
        self.count(caller, |t| t.connections += 1);
        let mut rest = Vec::new();
        while let Some(asked) = read_message(&mut stream, &mut rest).await? {
            let came = asked.bytes().len() as u64;
            self.gates[region].pass().await?;
            let number = |name: &str| -> Option<u64> {
                asked.word(1).split(['?', '&']).find_map(|p| p.strip_prefix(name)?.parse().ok())
            };
            let (from, hold) = (number("from="), Duration::from_millis(number("hold_ms=").unwrap_or(0)));
            let answer = self.answer(from, hold).await;
            self.gates[region].pass().await?;
            let refused = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
            let bytes = answer.as_ref().map_or(&refused[..], |a| &a.0);
            let whole = answer.is_some() && from.is_none_or(|f| f == 0);
            self.count(caller, |t| {
                t.calls += 1;
                t.wholes += u64::from(whole);
                t.refused += u64::from(answer.is_none());
                t.bytes_in += came;
                t.bytes_out += bytes.len() as u64;
            });
            stream.write_all(bytes).await?;
        }
        Ok(())
    }
}
