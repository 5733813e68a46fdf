//! Logging that neither blocks the front nor floods the log. Lines go through a bounded queue to a writer thread; lines
//! beyond a steady rate are dropped and counted.

use std::io::{self, Write};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::time::Instant;

/// Lines that may be queued for the writer thread.
const QUEUE_LINES: usize = 1_024;
/// Size of the token bucket: lines that may be written at once.
const BURST_LINES: f64 = 400.0;
/// Refill rate of the token bucket.
const LINES_PER_S: f64 = 40.0;

/// Starts logging to standard error, at the level that `RUST_LOG` names, by default `info`.
pub fn start() -> io::Result<()> {
    let (lines, queue) = sync_channel(QUEUE_LINES);
    std::thread::Builder::new().name("log".into()).stack_size(64 * 1024).spawn(move || write_out(&queue))?;
    let writer = RateLimitedWriter::new(lines, BURST_LINES);
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .target(env_logger::Target::Pipe(Box::new(writer)))
        .init();
    // A panic takes the same path as other log lines, so it cannot block the front either.
    std::panic::set_hook(Box::new(|panic| log::error!("{panic}")));
    Ok(())
}

fn write_out(queue: &Receiver<Vec<u8>>) {
    while let Ok(line) = queue.recv() {
        // There is no other output on which to report that the log cannot be written.
        let _ = io::stderr().write_all(&line);
    }
}

/// Passes lines to the writer thread within the rate limit and as long as the queue has room.
pub struct RateLimitedWriter {
    lines: SyncSender<Vec<u8>>,
    tokens: f64,
    refilled_at: Instant,
    dropped: u64,
}

impl RateLimitedWriter {
    /// Creates a writer to this queue whose token bucket starts with `burst` tokens.
    pub fn new(lines: SyncSender<Vec<u8>>, burst: f64) -> Self {
        Self { lines, tokens: burst, refilled_at: Instant::now(), dropped: 0 }
    }

    /// Returns how many lines were dropped since the last one that was passed on.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}

impl Write for RateLimitedWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let now = Instant::now();
        self.tokens =
            (self.tokens + LINES_PER_S * now.duration_since(self.refilled_at).as_secs_f64()).min(BURST_LINES);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            self.dropped += 1;
            return Ok(line.len());
        }
        let mut text = line.to_vec();
        if self.dropped > 0 {
            text.extend_from_slice(format!("({} lines dropped before this one)\n", self.dropped).as_bytes());
        }
        if self.lines.try_send(text).is_ok() {
            self.tokens -= 1.0;
            self.dropped = 0;
        } else {
            self.dropped += 1;
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
