//! Counting proxies: what passes between two roles is counted here, by bytes and messages, and can be held here.

use super::ports::Ports;
use async_channel::{Receiver, Sender};
use async_executor::Executor;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt, StreamExt};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::Sub;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Bytes read at once.
const CHUNK: usize = 4 * 1024;

/// What is wrong with what passes here; nothing by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// All that comes is held, both ways, until this is over.
    pub cut: bool,
    /// Connections are ended at once.
    pub reset: bool,
    /// Each piece waits so long.
    pub delay: Duration,
}

/// A place that everything on some links has to pass.
#[derive(Debug)]
pub struct Gate {
    /// Anything is wrong: looked at for each piece, so it is no lock.
    wrong: AtomicBool,
    state: Mutex<(Fault, Sender<()>, Receiver<()>)>,
}

impl Default for Gate {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { wrong: AtomicBool::new(false), state: Mutex::new((Fault::default(), sender, receiver)) }
    }
}

impl Gate {
    fn state(&self) -> MutexGuard<'_, (Fault, Sender<()>, Receiver<()>)> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// From now on this is wrong.
    pub fn set(&self, fault: Fault) {
        let (sender, receiver) = async_channel::bounded(1);
        // The old sender goes with this, which wakes all that wait.
        let mut state = self.state();
        *state = (fault, sender, receiver);
        self.wrong.store(fault != Fault::default(), Ordering::Release);
    }

    /// Waits until nothing is held here; an error where connections are ended.
    pub async fn pass(&self) -> io::Result<()> {
        while self.wrong.load(Ordering::Acquire) {
            let (fault, changed) = {
                let state = self.state();
                (state.0, state.2.clone())
            };
            if fault.reset {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            if !fault.cut {
                if !fault.delay.is_zero() {
                    Timer::after(fault.delay).await;
                }
                return Ok(());
            }
            let _ = changed.recv().await;
        }
        Ok(())
    }
}

/// What has passed, as counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Connections that came.
    pub connections: u64,
    /// Messages towards the one called, which are as many as turns in the talk.
    pub messages: u64,
    /// Bytes towards the one called.
    pub to: u64,
    /// Bytes back.
    pub back: u64,
    /// Bytes towards the one called as the messages' own heads state them: they have to agree with those that passed.
    pub stated: u64,
}

impl Counts {
    /// Bytes both ways.
    pub fn bytes(&self) -> u64 {
        self.to + self.back
    }
}

impl Sub for Counts {
    type Output = Self;

    fn sub(self, before: Self) -> Self {
        Self {
            connections: self.connections - before.connections,
            messages: self.messages - before.messages,
            to: self.to - before.to,
            back: self.back - before.back,
            stated: self.stated - before.stated,
        }
    }
}

impl std::iter::Sum for Counts {
    fn sum<I: Iterator<Item = Self>>(all: I) -> Self {
        all.fold(Self::default(), |a, b| Self {
            connections: a.connections + b.connections,
            messages: a.messages + b.messages,
            to: a.to + b.to,
            back: a.back + b.back,
            stated: a.stated + b.stated,
        })
    }
}

/// A counting proxy in front of one process, for some callers of it.
#[derive(Debug)]
pub struct Proxy {
    /// Where the callers connect.
    pub address: SocketAddr,
    /// What can be wrong with it.
    pub gate: Gate,
    target: SocketAddr,
    connections: AtomicU64,
    messages: AtomicU64,
    to: AtomicU64,
    back: AtomicU64,
    stated: AtomicU64,
    halved: AtomicBool,
}

/// The whole length that the head of a message states.
fn stated(bytes: &[u8]) -> u64 {
    let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else { return 0 };
    let head = String::from_utf8_lossy(&bytes[..end]);
    let mut fields = head.lines().filter_map(|l| l.split_once(':'));
    let length = fields.rfind(|f| f.0.eq_ignore_ascii_case("content-length"));
    (end + 4) as u64 + length.and_then(|f| f.1.trim().parse::<u64>().ok()).unwrap_or(0)
}

impl Proxy {
    /// Opens one.
    pub fn open(
        executor: &Arc<Executor<'static>>,
        ports: &Ports,
        target: SocketAddr,
    ) -> io::Result<Arc<Self>> {
        let (listener, address) = ports.listen()?;
        let proxy = Arc::new(Self {
            address,
            gate: Gate::default(),
            target,
            connections: AtomicU64::new(0),
            messages: AtomicU64::new(0),
            to: AtomicU64::new(0),
            back: AtomicU64::new(0),
            stated: AtomicU64::new(0),
            halved: AtomicBool::new(false),
        });
        executor.spawn(Self::accept(Arc::clone(&proxy), listener, Arc::clone(executor))).detach();
        Ok(proxy)
    }

    async fn accept(proxy: Arc<Self>, listener: Async<TcpListener>, executor: Arc<Executor<'static>>) {
        let mut incoming = Box::pin(listener.incoming());
        while let Some(stream) = incoming.next().await {
            let Ok(stream) = stream else { continue };
            let proxy = Arc::clone(&proxy);
            executor.spawn(async move { drop(proxy.carry(stream).await) }).detach();
        }
    }

    /// What has passed so far.
    pub fn counts(&self) -> Counts {
        let part = if self.halved.load(Ordering::Relaxed) { 2 } else { 1 };
        Counts {
            connections: self.connections.load(Ordering::Relaxed),
            messages: self.messages.load(Ordering::Relaxed),
            to: self.to.load(Ordering::Relaxed) / part,
            back: self.back.load(Ordering::Relaxed) / part,
            stated: self.stated.load(Ordering::Relaxed),
        }
    }

    /// A planted fault: only half of the bytes are told.
    pub fn tell_half(&self) {
        self.halved.store(true, Ordering::Relaxed);
    }

    async fn carry(&self, caller: Async<TcpStream>) -> io::Result<()> {
        self.connections.fetch_add(1, Ordering::Relaxed);
        self.gate.pass().await?;
        let called = Async::<TcpStream>::connect(self.target).await?;
        for stream in [&caller, &called] {
            stream.get_ref().set_nodelay(true)?;
        }
        // One message at a time passes, so a piece to the called after one from him begins the next.
        let answered = AtomicBool::new(true);
        let to = self.pump(&caller, &called, (&self.to, &answered), true);
        let back = self.pump(&called, &caller, (&self.back, &answered), false);
        future::or(to, back).await
    }

    async fn pump(
        &self,
        mut from: &Async<TcpStream>,
        mut to: &Async<TcpStream>,
        (count, answered): (&AtomicU64, &AtomicBool),
        towards: bool,
    ) -> io::Result<()> {
        let mut chunk = vec![0; CHUNK];
        loop {
            let n = from.read(&mut chunk).await?;
            self.gate.pass().await?;
            if n == 0 {
                return Ok(());
            }
            if answered.swap(!towards, Ordering::Relaxed) && towards {
                self.messages.fetch_add(1, Ordering::Relaxed);
                self.stated.fetch_add(stated(&chunk[..n]), Ordering::Relaxed);
            }
            count.fetch_add(n as u64, Ordering::Relaxed);
            to.write_all(&chunk[..n]).await?;
        }
    }
}
