//! Links between processes: each directed one goes through a relay here, and faults are put into it while it runs.
//!
//! A byte relay can hold, cut (both ways or one), slow and reset; on links that carry one message at a time it can also
//! lose, repeat and overtake a single message.

use super::http::{read_message, Message};
use async_executor::Executor;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt, StreamExt};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// How often a link that holds looks whether it may go on.
const LOOK: Duration = Duration::from_millis(10);

/// What is wrong with a link; nothing by default.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fault {
    /// Nothing goes towards the one called: connections come up and what is written there is held.
    pub cut_to: bool,
    /// Nothing comes back from him.
    pub cut_back: bool,
    /// Each piece waits so long.
    pub delay: Duration,
    /// Connections are ended at once.
    pub reset: bool,
    /// Chance that a message is lost, where messages are told apart.
    pub lose: f64,
    /// Chance that a message is given twice.
    pub repeat: f64,
    /// Chance that a copy of a message comes late, behind younger ones.
    pub overtake: f64,
}

/// What passed over a link that carries one message at a time, as both ends had to write it, heads counted in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Passed {
    /// Messages towards the one called.
    pub messages: u64,
    /// Their bytes.
    pub bytes_to: u64,
    /// Bytes of the answers.
    pub bytes_back: u64,
}

/// A directed link from one process to another.
#[derive(Debug)]
pub struct Link {
    /// Where the caller connects.
    pub address: SocketAddr,
    fault: Mutex<Fault>,
    passed: Mutex<Passed>,
    draws: Mutex<Pcg64Mcg>,
}

impl Link {
    /// Opens a link to `target`; `messages` if one request at a time passes, each answered by one message.
    pub fn open(
        executor: &Arc<Executor<'static>>,
        target: SocketAddr,
        messages: bool,
        seed: u64,
    ) -> io::Result<Arc<Self>> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
        let link = Arc::new(Self {
            address: listener.get_ref().local_addr()?,
            fault: Mutex::default(),
            passed: Mutex::default(),
            draws: Mutex::new(Pcg64Mcg::seed_from_u64(seed)),
        });
        let (held, spawner) = (Arc::clone(&link), Arc::clone(executor));
        let accept = async move {
            let mut incoming = Box::pin(listener.incoming());
            while let Some(stream) = incoming.next().await {
                let Ok(stream) = stream else { continue };
                let (link, inner) = (Arc::clone(&held), Arc::clone(&spawner));
                let pass = async move {
                    let _ = match messages {
                        true => link.pass_messages(stream, target, &inner).await,
                        false => link.pass(stream, target).await,
                    };
                };
                spawner.spawn(pass).detach();
            }
        };
        executor.spawn(accept).detach();
        Ok(link)
    }

    /// From now on this is wrong with it.
    pub fn set(&self, fault: Fault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// What has passed over it, where it carries messages.
    pub fn passed(&self) -> Passed {
        *self.passed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count(&self, messages: u64, bytes_to: u64, bytes_back: u64) {
        let mut passed = self.passed.lock().unwrap_or_else(PoisonError::into_inner);
        passed.messages += messages;
        passed.bytes_to += bytes_to;
        passed.bytes_back += bytes_back;
    }

    fn fault(&self) -> Fault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn chance(&self, share: f64) -> bool {
        share > 0.0 && self.draws.lock().unwrap_or_else(PoisonError::into_inner).gen_bool(share.min(1.0))
    }

    /// Waits until nothing cuts this way; an error if the link resets what it carries.
    async fn open_way(&self, towards: bool) -> io::Result<()> {
        loop {
            let fault = self.fault();
            if fault.reset {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            let cut = if towards { fault.cut_to } else { fault.cut_back };
            if !cut {
                Timer::after(fault.delay).await;
                return Ok(());
            }
            Timer::after(LOOK).await;
        }
    }

    async fn pump(&self, from: &Async<TcpStream>, to: &Async<TcpStream>, towards: bool) -> io::Result<()> {
        let (mut from, mut to, mut chunk) = (from, to, vec![0; 16 * 1024]);
        loop {
            let n = from.read(&mut chunk).await?;
            self.open_way(towards).await?;
            if n == 0 {
                return Ok(());
            }
            to.write_all(&chunk[..n]).await?;
        }
    }

    async fn pass(&self, caller: Async<TcpStream>, target: SocketAddr) -> io::Result<()> {
        self.open_way(true).await?;
        let called = Async::<TcpStream>::connect(target).await?;
        for stream in [&caller, &called] {
            stream.get_ref().set_nodelay(true)?;
        }
        future::or(self.pump(&caller, &called, true), self.pump(&called, &caller, false)).await
    }

    /// One message to the one called, on a connection of its own, and his answer.
    async fn carry(target: SocketAddr, message: &Message) -> io::Result<Option<Message>> {
        let mut called = Async::<TcpStream>::connect(target).await?;
        called.get_ref().set_nodelay(true)?;
        called.write_all(&message.bytes()).await?;
        read_message(&mut called, &mut Vec::new()).await
    }

    async fn pass_messages(
        &self,
        mut caller: Async<TcpStream>,
        target: SocketAddr,
        executor: &Executor<'static>,
    ) -> io::Result<()> {
        caller.get_ref().set_nodelay(true)?;
        let mut rest = Vec::new();
        while let Some(message) = read_message(&mut caller, &mut rest).await? {
            self.open_way(true).await?;
            self.count(1, message.bytes().len() as u64, 0);
            let fault = self.fault();
            if self.chance(fault.lose) {
                continue;
            }
            for (share, least) in [(fault.repeat, 0), (fault.overtake, 300)] {
                if self.chance(share) {
                    let copy = message.clone();
                    let late = async move {
                        Timer::after(Duration::from_millis(least)).await;
                        let _ = Self::carry(target, &copy).await;
                    };
                    executor.spawn(late).detach();
                }
            }
            let Some(answer) = Self::carry(target, &message).await? else { return Ok(()) };
            self.open_way(false).await?;
            let bytes = answer.bytes();
            self.count(0, 0, bytes.len() as u64);
            caller.write_all(&bytes).await?;
        }
        Ok(())
    }
}
