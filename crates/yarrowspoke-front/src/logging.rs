//! Logging that neither blocks nor floods: lines go to a writer of their own through a bounded queue, and
//! beyond a steady rate they are dropped and counted.

use std::io::{self, Write};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::time::Instant;

/// Lines that may wait for the writer.
const QUEUE: usize = 1_024;
/// Lines that may come at once...
const BURST: f64 = 400.0;
/// ...and each second from then on.
const RATE: f64 = 40.0;

/// Starts logging to standard error, at the level that `RUST_LOG` names or at `info`.
pub fn start() -> io::Result<()> {
    let (lines, queue) = sync_channel(QUEUE);
    std::thread::Builder::new().name("log".into()).stack_size(64 * 1024).spawn(move || write_out(&queue))?;
    let gate = RateLimitedWriter::new(lines, BURST);
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .target(env_logger::Target::Pipe(Box::new(gate)))
        .init();
    // A panic is logged like everything else, so that it cannot block either.
    std::panic::set_hook(Box::new(|panic| log::error!("{panic}")));
    Ok(())
}

fn write_out(queue: &Receiver<Vec<u8>>) {
    while let Ok(line) = queue.recv() {
        // There is nowhere to report that the log itself cannot be written.
        let _ = io::stderr().write_all(&line);
    }
}

/// Lets lines through while they are few and the writer keeps up.
pub struct RateLimitedWriter {
    lines: SyncSender<Vec<u8>>,
    left: f64,
    at: Instant,
    dropped: u64,
}

impl RateLimitedWriter {
    /// A gate to these lines that lets `at_once` of them through before the steady rate holds.
    pub fn new(lines: SyncSender<Vec<u8>>, at_once: f64) -> Self {
        Self { lines, left: at_once, at: Instant::now(), dropped: 0 }
    }

    /// Lines dropped since the last that went through.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}

impl Write for RateLimitedWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let now = Instant::now();
        self.left = (self.left + RATE * now.duration_since(self.at).as_secs_f64()).min(BURST);
        self.at = now;
        if self.left < 1.0 {
            self.dropped += 1;
            return Ok(line.len());
        }
        let mut text = line.to_vec();
        if self.dropped > 0 {
            text.extend_from_slice(format!("({} lines dropped before this one)\n", self.dropped).as_bytes());
        }
        if self.lines.try_send(text).is_ok() {
            self.left -= 1.0;
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
