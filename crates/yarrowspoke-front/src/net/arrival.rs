//! Bounds on when bytes arrived that were read later.
//!
//! A process that is suspended, or short of processor time, reads bytes long after they came. Where their age matters, the
//! last moment at which nothing had arrived bounds it.

use super::read_some;
use async_io::Timer;
use futures_lite::{future, AsyncRead};
use std::future::{poll_fn, Future};
use std::io;
use std::pin::pin;
use std::time::{Duration, Instant};

/// Longest time between two looks at a socket on which nothing has arrived, and so the precision of the bound.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Reads as [`read_some`] does, and sets `empty_at` to the last moment at which there was nothing to read.
pub async fn read_noting_arrival<R>(
    stream: &mut R,
    sink: impl FnMut(&[u8]),
    empty_at: &mut Instant,
) -> io::Result<usize>
where
    R: AsyncRead + Unpin,
{
    let mut reading = pin!(read_some(stream, sink));
    let noting = poll_fn(|context| {
        let looked_at = Instant::now();
        let read = reading.as_mut().poll(context);
        if read.is_pending() {
            *empty_at = looked_at;
        }
        read
    });
    // Each wake-up of this task polls the read as well.
    let looking = async {
        loop {
            Timer::after(LOOK_INTERVAL).await;
        }
    };
    future::or(noting, looking).await
}
