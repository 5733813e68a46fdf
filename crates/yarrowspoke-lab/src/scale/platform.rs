//! A stand-in for the release platform: text lines, a state that is told to all who asked for it, votes that are taken.

use super::ports::Ports;
use async_channel::{Receiver, Sender};
use async_executor::Executor;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncBufReadExt, AsyncWriteExt, StreamExt};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Pause between its signs of life.
const BREATH: Duration = Duration::from_secs(1);

struct State {
    /// The newest build's state, as `BUILD STAGE PHASE CAP`.
    told: String,
    since: Instant,
    /// Closed whenever there is news.
    news: (Sender<()>, Receiver<()>),
    votes: u64,
}

/// The platform.
pub struct Platform {
    /// Where it listens.
    pub address: SocketAddr,
    state: Mutex<State>,
}

impl Platform {
    /// Opens it in this state.
    pub fn open(executor: &Arc<Executor<'static>>, ports: &Ports, told: &str) -> io::Result<Arc<Self>> {
        let (listener, address) = ports.listen()?;
        let (told, news) = (told.to_owned(), async_channel::bounded(1));
        let state = Mutex::new(State { told, since: Instant::now(), news, votes: 0 });
        let platform = Arc::new(Self { address, state });
        let (held, spawner) = (Arc::clone(&platform), Arc::clone(executor));
        let accept = async move {
            let mut incoming = Box::pin(listener.incoming());
            while let Some(stream) = incoming.next().await {
                let Ok(stream) = stream else { continue };
                let held = Arc::clone(&held);
                spawner.spawn(async move { drop(held.converse(stream).await) }).detach();
            }
        };
        executor.spawn(accept).detach();
        Ok(platform)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Votes taken.
    pub fn votes(&self) -> u64 {
        self.state().votes
    }

    /// The state from now on, as `BUILD STAGE PHASE CAP`.
    pub fn tell(&self, told: &str) {
        let mut state = self.state();
        (state.told, state.since) = (told.to_owned(), Instant::now());
        state.news = async_channel::bounded(1);
    }

    /// The state and for how many milliseconds it has stood.
    pub fn line(&self) -> String {
        let state = self.state();
        format!("{} {}", state.told, state.since.elapsed().as_millis())
    }

    async fn converse(&self, stream: Async<TcpStream>) -> io::Result<()> {
        stream.get_ref().set_nodelay(true)?;
        let mut lines = futures_lite::io::BufReader::with_capacity(512, &stream).lines();
        while let Some(line) = lines.next().await {
            let mut out = &stream;
            if line?.trim() == "NOTIFY" {
                out.write_all(b"OK\r\n").await?;
                return future::or(self.notify(&stream), async {
                    while let Some(Ok(_)) = lines.next().await {}
                    Ok(())
                })
                .await;
            }
            self.state().votes += 1;
            out.write_all(format!("OK {}\r\n", self.line()).as_bytes()).await?;
        }
        Ok(())
    }

    async fn notify(&self, mut stream: &Async<TcpStream>) -> io::Result<()> {
        loop {
            let changed = self.state().news.1.clone();
            stream.write_all(format!("* progress {}\r\n", self.line()).as_bytes()).await?;
            loop {
                let breath = async {
                    Timer::after(BREATH).await;
                    true
                };
                let news = async {
                    let _ = changed.recv().await;
                    false
                };
                if !future::or(news, breath).await {
                    break;
                }
                stream.write_all(b"*\r\n").await?;
            }
        }
    }
}
