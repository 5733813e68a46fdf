//! Everything that is spoken on sockets, a module for each peer.

pub mod clients;
pub mod http;
pub mod list;
pub mod machines;
pub mod peers;
pub mod platform;

use async_io::Timer;
use futures_lite::{future, AsyncRead, AsyncReadExt};
use std::future::Future;
use std::io;
use std::time::Duration;

/// Bytes asked of a socket at once.
const READ_SIZE: usize = 4 * 1024;

/// Reads what has come, into `sink`; 0 at the end of the stream.
pub async fn read_some<R>(stream: &mut R, mut sink: impl FnMut(&[u8])) -> io::Result<usize>
where
    R: AsyncRead + Unpin,
{
    let mut chunk = [0; READ_SIZE];
    let n = stream.read(&mut chunk).await?;
    sink(&chunk[..n]);
    Ok(n)
}

/// What `work` gives, or `None` once `span` is over.
pub async fn within<T>(span: Duration, work: impl Future<Output = T>) -> Option<T> {
    let over = async {
        Timer::after(span).await;
        None
    };
    future::or(async { Some(work.await) }, over).await
}

/// Microseconds as a span of the standard library.
pub fn span(micros: u64) -> Duration {
    Duration::from_micros(micros)
}
