//! Network protocols of a front, one module per kind of remote party.

pub mod accept_queue;
pub mod arrival;
pub mod client_listener;
pub mod clients;
pub mod fleet;
pub mod http;
pub mod list;
pub mod list_codec;
pub mod machines;
pub mod peers;
pub mod platform;
pub mod request_head;
pub mod turn;

use async_io::Timer;
use futures_lite::{future, AsyncRead};
use std::future::{poll_fn, Future};
use std::io;
use std::pin::Pin;
use std::task::{ready, Poll};
use std::time::{Duration, Instant};

/// Largest number of bytes read from a socket at once.
const READ_SIZE: usize = 4 * 1024;

/// Reads available bytes into `sink` and returns their number, 0 at the end of the stream.
///
/// A buffer in each waiting task would cost memory for every silent connection, several times over where reads are raced
/// against other futures; so the buffer is on the stack, and only while bytes are being read.
pub async fn read_some<R>(stream: &mut R, mut sink: impl FnMut(&[u8])) -> io::Result<usize>
where
    R: AsyncRead + Unpin,
{
    poll_fn(|context| {
        let mut chunk = [0; READ_SIZE];
        let count = ready!(Pin::new(&mut *stream).poll_read(context, &mut chunk))?;
        sink(&chunk[..count]);
        Poll::Ready(Ok(count))
    })
    .await
}

/// Returns the output of `work`, or `None` after `timeout`.
pub async fn with_timeout<T>(timeout: Duration, work: impl Future<Output = T>) -> Option<T> {
    with_deadline(Instant::now() + timeout, work).await
}

/// Returns the output of `work`, or `None` from `deadline` on. Output that is there at once is returned even later.
pub async fn with_deadline<T>(deadline: Instant, work: impl Future<Output = T>) -> Option<T> {
    let expired = async {
        Timer::at(deadline).await;
        None
    };
    future::or(async { Some(work.await) }, expired).await
}

/// Converts microseconds to a [`Duration`].
pub fn micros_to_duration(micros: u64) -> Duration {
    Duration::from_micros(micros)
}
