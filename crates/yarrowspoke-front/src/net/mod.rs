//! Everything that is spoken on sockets, a module for each peer.

pub mod clients;
pub mod fleet;
pub mod http;
pub mod list;
pub mod machines;
pub mod peers;
pub mod platform;
pub mod request_head;

use async_io::Timer;
use futures_lite::{future, AsyncRead};
use std::future::{poll_fn, Future};
use std::io;
use std::pin::Pin;
use std::task::{ready, Poll};
use std::time::Duration;

/// Bytes asked of a socket at once.
const READ_SIZE: usize = 4 * 1024;

/// Reads what has come, into `sink`; 0 at the end of the stream.
///
/// Danger: a chunk in each waiting task is memory for every silent connection, several times over where reads are
/// raced against something; so it stands on the stack only while bytes are taken in.
pub async fn read_some<R>(stream: &mut R, mut sink: impl FnMut(&[u8])) -> io::Result<usize>
where
    R: AsyncRead + Unpin,
{
    poll_fn(|context| {
        let mut chunk = [0; READ_SIZE];
        let n = ready!(Pin::new(&mut *stream).poll_read(context, &mut chunk))?;
        sink(&chunk[..n]);
        Poll::Ready(Ok(n))
    })
    .await
}

/// What `work` gives, or `None` once `span` is over.
pub async fn with_timeout<T>(span: Duration, work: impl Future<Output = T>) -> Option<T> {
    let over = async {
        Timer::after(span).await;
        None
    };
    future::or(async { Some(work.await) }, over).await
}

/// Microseconds as a span of the standard library.
pub fn micros_to_duration(micros: u64) -> Duration {
    Duration::from_micros(micros)
}
