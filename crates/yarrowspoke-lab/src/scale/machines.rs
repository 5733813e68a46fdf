//! Machines as fronts see them: rows of discovery's list, many of which share a listener, each answered after a drawn time.
//!
//! A front tells machines apart by their names, so rows with one address are as many machines to it.

use super::estate::ZONES;
use super::ports::Ports;
use super::proxy::Gate;
use crate::fleet::http::{read_message, Message};
use async_executor::Executor;
use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, StreamExt};
use rand::SeedableRng;
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Listeners of each zone.
const LISTENERS: usize = 4;
/// Mean time that a machine takes for a request.
const MEAN_S: f64 = 0.005;

/// What machines of a zone have been asked.
#[derive(Debug, Default)]
struct Zone {
    gate: Gate,
    requests: AtomicU64,
    bytes: AtomicU64,
}

/// All machines.
pub struct Machines {
    addresses: Vec<Vec<SocketAddr>>,
    zones: Vec<Zone>,
    draws: Mutex<Pcg64Mcg>,
    /// By id: when a request's last byte was read, and when the first byte of its answer was written. Kept while traced.
    passed: Mutex<Option<BTreeMap<String, (Instant, Instant)>>>,
}

impl Machines {
    /// Opens the listeners of all zones.
    pub fn open(executor: &Arc<Executor<'static>>, ports: &Ports, seed: u64) -> io::Result<Arc<Self>> {
        let (mut addresses, mut listeners) = (Vec::new(), Vec::new());
        for zone in 0..ZONES.len() {
            let opened = (0..LISTENERS).map(|_| ports.listen()).collect::<io::Result<Vec<_>>>()?;
            addresses.push(opened.iter().map(|l| l.1).collect());
            listeners.extend(opened.into_iter().map(|l| (zone, l.0)));
        }
        let machines = Arc::new(Self {
            addresses,
            zones: ZONES.iter().map(|_| Zone::default()).collect(),
            draws: Mutex::new(Pcg64Mcg::seed_from_u64(seed ^ 0x3ac4)),
            passed: Mutex::default(),
        });
        for (zone, listener) in listeners {
            let (held, spawner) = (Arc::clone(&machines), Arc::clone(executor));
            let accept = async move {
                let mut incoming = Box::pin(listener.incoming());
                while let Some(stream) = incoming.next().await {
                    let Ok(stream) = stream else { continue };
                    let held = Arc::clone(&held);
                    spawner.spawn(async move { drop(held.converse(stream, zone).await) }).detach();
                }
            };
            executor.spawn(accept).detach();
        }
        Ok(machines)
    }

    /// Where a machine of a zone listens.
    pub fn address(&self, zone: usize, machine: usize) -> SocketAddr {
        self.addresses[zone][machine % LISTENERS]
    }

    /// What can be wrong with all machines of a zone.
    pub fn gate(&self, zone: usize) -> &Gate {
        &self.zones[zone].gate
    }

    /// Requests that machines of a zone were asked, and their bytes.
    pub fn asked(&self, zone: usize) -> (u64, u64) {
        let zone = &self.zones[zone];
        (zone.requests.load(Ordering::Relaxed), zone.bytes.load(Ordering::Relaxed))
    }

    /// Keeps when each request came and went from now on.
    pub fn trace(&self) {
        *self.passed.lock().unwrap_or_else(PoisonError::into_inner) = Some(BTreeMap::new());
    }

    /// What was kept, by id: when the last byte of a request came, and when the first of its answer went.
    pub fn traced(&self) -> BTreeMap<String, (Instant, Instant)> {
        self.passed.lock().unwrap_or_else(PoisonError::into_inner).take().unwrap_or_default()
    }

    async fn converse(&self, mut stream: Async<TcpStream>, zone: usize) -> io::Result<()> {
        stream.get_ref().set_nodelay(true)?;
        let (mut rest, times) = (Vec::new(), Exp::new(1.0 / MEAN_S).map_err(io::Error::other)?);
        let held = &self.zones[zone];
        while let Some(asked) = read_message(&mut stream, &mut rest).await? {
            let came = Instant::now();
            held.gate.pass().await?;
            held.requests.fetch_add(1, Ordering::Relaxed);
            held.bytes.fetch_add(asked.bytes().len() as u64, Ordering::Relaxed);
            let took = times.sample(&mut *self.draws.lock().unwrap_or_else(PoisonError::into_inner));
            Timer::after(Duration::from_secs_f64(took.min(20.0 * MEAN_S))).await;
            held.gate.pass().await?;
            let body = [asked.word(1).as_bytes(), b"|", &asked.body].concat();
            let mut answer = Message::answer("200 OK", body);
            answer.lines.push(format!("X-Load-Report: mean_ms={:.1}", took * 1e3));
            let bytes = answer.bytes();
            let went = Instant::now();
            stream.write_all(&bytes).await?;
            if let Some(passed) = self.passed.lock().unwrap_or_else(PoisonError::into_inner).as_mut() {
                // The first time counts: a request may come again.
                passed.entry(asked.field("x-call-id").unwrap_or("").to_owned()).or_insert((came, went));
            }
        }
        Ok(())
    }
}
