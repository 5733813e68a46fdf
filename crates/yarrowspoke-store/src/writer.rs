//! Group commit on a separate thread. One sync covers all waiting operations, so a slow disk delays only the requests that
//! need it.
//!
//! While one group is being synced, the next one collects, up to a configured delay and a maximum number of operations. The
//! caller that submits an operation never waits for the disk; if the queue is full, the submission fails.

use crate::store::{Op, OpResult, Store};
use async_channel::Sender;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Maximum number of queued operations; a further one is rejected.
const MAX_QUEUED_OPS: usize = 8_192;
/// Maximum number of operations in one group.
const MAX_GROUP_OPS: usize = 1_024;

/// Why an operation was not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteError {
    /// The queue for the disk is full.
    QueueFull,
    /// The disk has failed or the store is closed. It is unknown whether the operation is on disk.
    Failed,
}

struct Job {
    op: Op,
    reply: Sender<Result<OpResult, WriteError>>,
}

/// Counters of the writer, for reports.
#[derive(Debug, Default)]
pub struct WriterCounts {
    /// Number of operations carried out.
    pub ops: AtomicU64,
    /// Number of groups committed.
    pub groups: AtomicU64,
    /// Duration of the longest commit since the last report, in microseconds.
    pub longest_us: AtomicU64,
}

/// Submits operations to the writer. The handle may be cloned; the writer ends once all handles are dropped.
#[derive(Clone, Debug)]
pub struct WriterHandle {
    queue: SyncSender<Job>,
    failed: Arc<AtomicBool>,
    /// Counters of the writer.
    pub counts: Arc<WriterCounts>,
    id: u128,
}

/// Starts the writer of a store. It collects a group for at most `delay`, and owns `disk`, and with it the lock on the
/// directory, until it ends.
pub fn start(
    store: Store,
    disk: impl Send + 'static,
    delay: Duration,
) -> std::io::Result<(WriterHandle, JoinHandle<()>)> {
    let (queue, jobs) = sync_channel(MAX_QUEUED_OPS);
    let (failed, counts) = (Arc::<AtomicBool>::default(), Arc::<WriterCounts>::default());
    let handle =
        WriterHandle { queue, failed: Arc::clone(&failed), counts: Arc::clone(&counts), id: store.id() };
    let thread = std::thread::Builder::new().name("store".to_owned());
    let thread = thread.spawn(move || {
        commit_groups(store, delay, &jobs, &failed, &counts);
        drop(disk);
    })?;
    Ok((handle, thread))
}

fn commit_groups(
    mut store: Store,
    delay: Duration,
    jobs: &Receiver<Job>,
    failed: &AtomicBool,
    counts: &WriterCounts,
) {
    while let Ok(first) = jobs.recv() {
        let mut group = vec![first];
        let deadline = Instant::now() + delay;
        while group.len() < MAX_GROUP_OPS {
            match jobs.recv_timeout(deadline.saturating_duration_since(Instant::now())) {
                Ok(job) => group.push(job),
                Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => break,
            }
        }
        let ops: Vec<Op> = group.iter().map(|job| job.op.clone()).collect();
        let commit_started = Instant::now();
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64);
        match store.commit(&ops, now) {
            Ok(results) => {
                counts.ops.fetch_add(ops.len() as u64, Ordering::Relaxed);
                counts.groups.fetch_add(1, Ordering::Relaxed);
                counts.longest_us.fetch_max(commit_started.elapsed().as_micros() as u64, Ordering::Relaxed);
                for (job, result) in group.into_iter().zip(results) {
                    let _ = job.reply.try_send(Ok(result));
                }
            }
            Err(e) => {
                if !failed.swap(true, Ordering::SeqCst) {
                    log::error!("{e}; requests that must not run twice are refused until the next start");
                }
                for job in group {
                    let _ = job.reply.try_send(Err(WriteError::Failed));
                }
            }
        }
    }
}

impl WriterHandle {
    /// Submits an operation. The returned value resolves once the operation is durable.
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

    /// Returns whether the disk has failed.
    pub fn has_failed(&self) -> bool {
        self.failed.load(Ordering::SeqCst)
    }

    /// Returns the id of a request, by its class and its identity within the class.
    pub fn id_of(&self, class: &str, identity: &str) -> u128 {
        crate::store::id_of(self.id, class, identity)
    }

    /// Returns a digest of a request's content, given in parts.
    pub fn content_digest(&self, parts: &[&[u8]]) -> u64 {
        crate::store::content_digest(self.id, parts)
    }
}

/// A submitted operation that is not yet durable.
#[derive(Debug)]
pub struct Pending(async_channel::Receiver<Result<OpResult, WriteError>>);

impl Pending {
    /// Waits until the operation is durable or has failed.
    pub async fn done(self) -> Result<OpResult, WriteError> {
        self.0.recv().await.unwrap_or(Err(WriteError::Failed))
    }

    /// Blocks the calling thread until the operation is durable or has failed.
    pub fn wait(self) -> Result<OpResult, WriteError> {
        self.0.recv_blocking().unwrap_or(Err(WriteError::Failed))
    }
}
