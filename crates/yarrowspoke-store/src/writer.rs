//! Group commit on a thread of its own: one sync for all that waits, so that a slow disk costs the requests that need it
//! and nobody else.
//!
//! While one group is being synced the next one gathers, up to a stated delay and number. Whoever hands in an operation
//! never waits for the disk to do so: if too much waits already, the hand refuses.

use crate::store::{Op, OpResult, Store};
use async_channel::Sender;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Operations that may wait at the most; one more is refused.
const MAX_QUEUED_OPS: usize = 8_192;
/// Operations in one group at the most.
const MAX_GROUP_OPS: usize = 1_024;

/// Why an operation was not done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteError {
    /// Too much waits for the disk.
    QueueFull,
    /// The disk has failed, or the store is closed. Whether the operation is on disk is not known.
    Failed,
}

struct Job {
    op: Op,
    reply: Sender<Result<OpResult, WriteError>>,
}

/// What the writer did, for reports.
#[derive(Debug, Default)]
pub struct WriterCounts {
    /// Operations done.
    pub ops: AtomicU64,
    /// Groups committed.
    pub groups: AtomicU64,
    /// Longest commit since it was last told, in microseconds.
    pub longest_us: AtomicU64,
}

/// Hands operations to the writer. It may be cloned; the writer ends when all hands are gone.
#[derive(Clone, Debug)]
pub struct WriterHandle {
    queue: SyncSender<Job>,
    failed: Arc<AtomicBool>,
    /// What the writer did.
    pub counts: Arc<WriterCounts>,
    id: u128,
}

/// Starts the writer of a store, which gathers a group for `delay` at the most and holds `disk`, and with it the
/// directory's lock, until it ends.
pub fn start(
    store: Store,
    disk: impl Send + 'static,
    delay: Duration,
) -> std::io::Result<(WriterHandle, JoinHandle<()>)> {
    let (queue, waiting) = sync_channel(MAX_QUEUED_OPS);
    let (failed, counts) = (Arc::<AtomicBool>::default(), Arc::<WriterCounts>::default());
    let handle =
        WriterHandle { queue, failed: Arc::clone(&failed), counts: Arc::clone(&counts), id: store.id() };
    let thread = std::thread::Builder::new().name("store".to_owned());
    let thread = thread.spawn(move || {
        write(store, delay, &waiting, &failed, &counts);
        drop(disk);
    })?;
    Ok((handle, thread))
}

fn write(
    mut store: Store,
    delay: Duration,
    waiting: &Receiver<Job>,
    failed: &AtomicBool,
    counts: &WriterCounts,
) {
    while let Ok(first) = waiting.recv() {
        let mut group = vec![first];
        let deadline = Instant::now() + delay;
        while group.len() < MAX_GROUP_OPS {
            match waiting.recv_timeout(deadline.saturating_duration_since(Instant::now())) {
                Ok(job) => group.push(job),
                Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => break,
            }
        }
        let ops: Vec<Op> = group.iter().map(|job| job.op.clone()).collect();
        let commit_started = Instant::now();
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64);
        match store.commit(&ops, now) {
            Ok(done) => {
                counts.ops.fetch_add(ops.len() as u64, Ordering::Relaxed);
                counts.groups.fetch_add(1, Ordering::Relaxed);
                counts.longest_us.fetch_max(commit_started.elapsed().as_micros() as u64, Ordering::Relaxed);
                for (job, done) in group.into_iter().zip(done) {
                    let _ = job.reply.try_send(Ok(done));
                }
            }
            Err(e) => {
                if !failed.swap(true, Ordering::SeqCst) {
                    log::error!("{e}; requests that may not run twice are refused until the next start");
                }
                for job in group {
                    let _ = job.reply.try_send(Err(WriteError::Failed));
                }
            }
        }
    }
}

impl WriterHandle {
    /// Hands in an operation; what comes back tells once it is durable.
    pub fn submit(&self, op: Op) -> Result<Pending, WriteError> {
        if self.has_failed() {
            return Err(WriteError::Failed);
        }
        let (reply, receiver) = async_channel::bounded(1);
        match self.queue.try_send(Job { op, reply }) {
            Ok(()) => Ok(Pending(receiver)),
            Err(TrySendError::Full(_)) => Err(WriteError::QueueFull),
            Err(TrySendError::Disconnected(_)) => Err(WriteError::Failed),
        }
    }

    /// Whether the disk has failed.
    pub fn has_failed(&self) -> bool {
        self.failed.load(Ordering::SeqCst)
    }

    /// The id of a request.
    pub fn id_of(&self, class: &str, identity: &str) -> u128 {
        crate::store::id_of(self.id, class, identity)
    }
}

/// An operation on its way to the disk.
#[derive(Debug)]
pub struct Pending(async_channel::Receiver<Result<OpResult, WriteError>>);

impl Pending {
    /// Waits until it is durable, or known not to be.
    pub async fn done(self) -> Result<OpResult, WriteError> {
        self.0.recv().await.unwrap_or(Err(WriteError::Failed))
    }

    /// The same for those who have a thread to spare.
    pub fn wait(self) -> Result<OpResult, WriteError> {
        self.0.recv_blocking().unwrap_or(Err(WriteError::Failed))
    }
}
