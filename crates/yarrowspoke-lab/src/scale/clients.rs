//! Open-loop clients on kept connections: a request goes at its time on a connection that is free, or on a new one.

use crate::fleet::http::read_message;
use async_executor::{Executor, Task};
use async_io::{Async, Timer};
use futures_lite::{future, AsyncWriteExt};
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// How long a client waits in all.
const PATIENCE: Duration = Duration::from_secs(4);

/// A request, as its client knows it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: String,
    /// The front's number.
    pub front: usize,
    /// It went on a connection kept from an earlier one; the front had closed that meanwhile where it went again on a new one.
    pub kept: bool,
    /// When a kept connection ended without an answer, after which it went once more. Danger: one that a machine saw before was
    /// taken, and is lost whatever came of the second.
    pub crossed: Option<Instant>,
    /// When its last byte was written; nothing if no connection was taken.
    pub sent: Option<Instant>,
    /// When the last byte of its answer came, and the status.
    pub answered: Option<(Instant, u16)>,
}

fn wording(id: &str, tenant: &str) -> String {
    format!(
        "GET /article/7 HTTP/1.1\r\nHost: h\r\nX-Call-Id: {id}\r\nX-Call-Class: article\r\nX-Caller: {tenant}\r\n\
         X-Budget: 2.000\r\n\r\n"
    )
}

/// One request on a connection of its own; its status, if an answer came.
pub async fn once(address: SocketAddr, id: &str, tenant: &str) -> Option<u16> {
    let talk = async {
        let mut stream = Async::<TcpStream>::connect(address).await.ok()?;
        stream.write_all(wording(id, tenant).as_bytes()).await.ok()?;
        let answer = read_message(&mut stream, &mut Vec::new()).await.ok()??;
        answer.word(1).parse().ok()
    };
    let over = async {
        Timer::after(PATIENCE).await;
        None
    };
    future::or(talk, over).await
}

/// Sends a request and reads its answer; whether the connection stays, or nothing if it ended without one.
async fn exchange(
    stream: &mut Async<TcpStream>,
    text: &str,
    request: &mut Request,
) -> io::Result<Option<bool>> {
    stream.get_ref().set_nodelay(true)?;
    stream.write_all(text.as_bytes()).await?;
    request.sent = Some(Instant::now());
    let Some(answer) = read_message(stream, &mut Vec::new()).await? else { return Ok(None) };
    request.answered = Some((Instant::now(), answer.word(1).parse().unwrap_or(0)));
    Ok(Some(!answer.field("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"))))
}

/// All clients of some fronts.
#[derive(Debug, Default)]
pub struct Clients {
    ended: Mutex<Vec<Request>>,
}

type Kept = Arc<Mutex<Vec<Async<TcpStream>>>>;

impl Clients {
    /// Requests that have ended so far.
    pub fn ended(&self) -> Vec<Request> {
        self.ended.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sends so many requests a second to a front until the task is dropped; the same seed draws the same times and tenants.
    pub fn drive(
        self: &Arc<Self>,
        executor: &Arc<Executor<'static>>,
        (front, address): (usize, SocketAddr),
        rate: f64,
        (seed, tenants): (u64, Arc<Vec<String>>),
    ) -> io::Result<Task<()>> {
        let gaps = Exp::new(rate).map_err(io::Error::other)?;
        let (clients, spawner, kept) = (Arc::clone(self), Arc::clone(executor), Kept::default());
        Ok(executor.spawn(async move {
            let mut draws = Pcg64Mcg::seed_from_u64(seed ^ (front as u64) << 32);
            let mut at = Instant::now();
            for n in 0u64.. {
                at += Duration::from_secs_f64(gaps.sample(&mut draws));
                Timer::at(at).await;
                // The larger a tenant, the earlier it stands, and the oftener it comes.
                let tenant = (draws.gen::<f64>().powi(3) * tenants.len() as f64) as usize;
                let tenant = tenants.get(tenant).cloned().unwrap_or_default();
                let id = format!("{seed:x}-{front}-{n}");
                let (clients, kept) = (Arc::clone(&clients), Arc::clone(&kept));
                let call = async move { clients.call(address, &kept, id, front, &tenant).await };
                spawner.spawn(call).detach();
            }
        }))
    }

    async fn call(&self, address: SocketAddr, kept: &Kept, id: String, front: usize, tenant: &str) {
        let mut request = Request { id, front, kept: false, crossed: None, sent: None, answered: None };
        let text = wording(&request.id, tenant);
        let talk = async {
            let free = kept.lock().unwrap_or_else(PoisonError::into_inner).pop();
            request.kept = free.is_some();
            // Between requests a front may close a connection: what crosses that goes once more, on a new one.
            let mut answered = None;
            if let Some(mut stream) = free {
                answered = exchange(&mut stream, &text, &mut request)
                    .await
                    .unwrap_or(None)
                    .map(|keep| (stream, keep));
            }
            let (stream, keep) = match answered {
                Some(done) => done,
                None => {
                    request.crossed = request.kept.then(Instant::now);
                    request.kept = false;
                    let mut stream = Async::<TcpStream>::connect(address).await?;
                    let keep = exchange(&mut stream, &text, &mut request).await?;
                    (stream, keep.unwrap_or(false))
                }
            };
            if keep {
                kept.lock().unwrap_or_else(PoisonError::into_inner).push(stream);
            }
            io::Result::Ok(())
        };
        let over = async {
            Timer::after(PATIENCE).await;
            Ok(())
        };
        let _ = future::or(talk, over).await;
        self.ended.lock().unwrap_or_else(PoisonError::into_inner).push(request);
    }
}
