//! Open-loop clients: calls come at their times whether or not earlier ones were answered, and each is logged.

use super::http::read_message;
use super::world::World;
use async_executor::Executor;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncWriteExt};
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// How long a client waits in all; longer than any budget, so that a late answer shows.
const PATIENCE: Duration = Duration::from_secs(8);

/// One call, as its client knows it.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its id.
    pub id: String,
    /// The front it went to.
    pub front: usize,
    /// Whether it may be repeated.
    pub safe: bool,
    /// Microseconds that the client stated.
    pub budget: u64,
    /// When its last byte was written; `None` if the front took no connection.
    pub sent: Option<u64>,
    /// When its answer came, its status, and whether the body was the one that a machine makes of this very request.
    pub answer: Option<(u64, u16, bool)>,
}

/// All clients together.
#[derive(Default)]
pub struct Load {
    calls: Mutex<Vec<Call>>,
}

impl Load {
    /// Calls that have ended.
    pub fn calls(&self) -> Vec<Call> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sends so many calls a second to a front, until dropped with the executor; the same seed draws the same calls.
    pub fn start(
        self: &Arc<Self>,
        executor: &Arc<Executor<'static>>,
        world: &Arc<World>,
        (front, address): (usize, SocketAddr),
        rate: f64,
        seed: u64,
    ) -> async_executor::Task<()> {
        let (load, world, spawner) = (Arc::clone(self), Arc::clone(world), Arc::clone(executor));
        executor.spawn(async move {
            let mut draws = Pcg64Mcg::seed_from_u64(seed ^ (front as u64) << 32);
            let gaps = Exp::new(rate).expect("a rate above 0");
            let mut at = std::time::Instant::now();
            for n in 0u64.. {
                at += Duration::from_secs_f64(gaps.sample(&mut draws));
                Timer::at(at).await;
                let safe = draws.gen_bool(0.8);
                let id = format!("{seed:x}-{front}-{n}");
                let (load, world) = (Arc::clone(&load), Arc::clone(&world));
                spawner.spawn(async move { load.call(&world, address, id, front, safe).await }).detach();
            }
        })
    }

    async fn call(&self, world: &World, address: SocketAddr, id: String, front: usize, safe: bool) {
        let budget = if safe { 2_000_000 } else { 3_000_000 };
        let mut call = Call { id, front, safe, budget, sent: None, answer: None };
        let (method, path, body) =
            if safe { ("GET", "/article/7", "") } else { ("POST", "/comment", "hello") };
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: h\r\nX-Call-Id: {}\r\nX-Call-Class: {}\r\nX-Caller: acme\r\nX-Budget: {:.3}\r\n\
             Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
            call.id,
            &path[1..].split('/').next().unwrap_or(""),
            budget as f64 / 1e6,
            body.len()
        );
        let talk = async {
            let mut stream = Async::<TcpStream>::connect(address).await?;
            stream.write_all(text.as_bytes()).await?;
            call.sent = Some(world.now());
            let answer = read_message(&mut stream, &mut Vec::new()).await?;
            if let Some(answer) = answer {
                let status = answer.word(1).parse().unwrap_or(0);
                let right = answer.body == format!("{path}|{body}").as_bytes();
                call.answer = Some((world.now(), status, right));
            }
            std::io::Result::Ok(())
        };
        let over = async {
            Timer::after(PATIENCE).await;
            Ok(())
        };
        let _ = future::or(talk, over).await;
        self.calls.lock().unwrap_or_else(PoisonError::into_inner).push(call);
    }
}
