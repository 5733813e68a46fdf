//! A fleet of fronts around one discovery service that answers calls in turn, and machines that can drain, leave and return.
#![allow(dead_code)]

mod discovery;
mod front;
mod load;
mod oracle;
mod server;

#[allow(unused_imports)]
pub use {
    discovery::{BusyDiscovery, Change, Door, Service, Written},
    front::{Fleet, Front},
    load::{Load, Noted, Outcome, Tally},
    oracle::{late_requests, Late, GRACE, MOVED_TOLD_WITHIN, TOLD_WITHIN},
    server::{Came, Life, Server},
};

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Sleeps until the given time.
pub fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Reads the head of a request without a body; `None` at the end of the connection.
fn read_head(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut head = String::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line.trim_end().is_empty() {
            return Some(head);
        }
        head.push_str(&line);
    }
}

fn write_answer(stream: &mut TcpStream, status: &str, fields: &str, body: &str) -> std::io::Result<()> {
    let length = body.len();
    stream
        .write_all(format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {length}\r\n\r\n{body}").as_bytes())
}
