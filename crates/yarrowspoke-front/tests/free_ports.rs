//! Addresses from `free_port` can be bound, whatever else the test process does.

mod common;

use common::free_port;
use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};

const ADDRESSES: usize = 3_000;
const SPAWNING_THREADS: usize = 4;

/// Starts processes that exit at once, until `stop` is set.
fn start_processes(stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_yarrowspoke"));
        command.arg("--version").stdout(Stdio::null()).stderr(Stdio::null());
        command.status().unwrap();
    }
}

#[test]
fn a_free_port_can_be_bound_while_other_threads_start_processes() {
    // Guards against a rare failure in which a front of a fleet did not listen within 20 s, and a fake found its address in
    // use; both occurred in one run of many. A socket that had listened on the port to test it was still open in a process
    // between its fork and its exec.
    let stop = AtomicBool::new(false);
    let taken = std::thread::scope(|scope| {
        for _ in 0..SPAWNING_THREADS {
            scope.spawn(|| start_processes(&stop));
        }
        let taken = (0..ADDRESSES).filter(|_| TcpListener::bind(free_port()).is_err()).count();
        stop.store(true, Ordering::Relaxed);
        taken
    });
    assert_eq!(taken, 0, "of {ADDRESSES}");
}
