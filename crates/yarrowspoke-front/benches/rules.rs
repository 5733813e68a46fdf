//! CPU time that rules cost a front per request: without rules, with `examples/quiet.sexp` (three dozen rules that change no
//! decision) and with `examples/rules.sexp`. The three are measured in turn several times within one run over loopback.
//!
//! Run with `cargo bench -p yarrowspoke-front --bench rules`. The figures depend on the machine; compare the ratios within a run.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{connect, TestEnvironment};
use yarrowspoke_toy::Behaviour;

const CLIENTS: usize = 4;
const REQUESTS_PER_CLIENT: usize = 5_000;
const ROUNDS: usize = 3;
/// Ticks per second of the CPU times in `/proc`.
const TICKS_PER_S: f64 = 100.0;

/// Returns the CPU seconds that the front has used.
fn cpu_seconds(environment: &TestEnvironment) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", environment.front.id())).unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |n: usize| fields.get(n).and_then(|t| t.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / TICKS_PER_S
}

/// Returns the CPU microseconds per request of one round with this operator's file.
fn cpu_us_per_request(operator: &str, round: usize) -> f64 {
    let environment = TestEnvironment::with_rules(&[Behaviour::Serve, Behaviour::Serve], operator);
    let listen = environment.listen;
    let before = cpu_seconds(&environment);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|c| {
            std::thread::spawn(move || {
                let mut connection = connect(listen).expect("the front listens");
                for n in 0..REQUESTS_PER_CLIENT {
                    let answer = connection
                        .request(&common::get(&format!("{round}-{c}-{n}"), "1.0"))
                        .expect("an answer");
                    assert!(answer.start().contains(" 200 "), "{answer:?}");
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|c| c.join().expect("no client fails"));
    (cpu_seconds(&environment) - before) / (CLIENTS * REQUESTS_PER_CLIENT) as f64 * 1e6
}

fn main() {
    let quiet = std::fs::read_to_string(common::root().join("examples/quiet.sexp")).expect("the file");
    let rules = std::fs::read_to_string(common::root().join("examples/rules.sexp")).expect("the file");
    let mut sums = [0.0; 3];
    for n in 0..ROUNDS {
        for (sum, operator) in sums.iter_mut().zip(["", &quiet, &rules]) {
            *sum += cpu_us_per_request(operator, n) / ROUNDS as f64;
        }
    }
    let [none, quiet, rules] = sums;
    println!(
        "CPU per request: no rules {none:.1} us, quiet.sexp {quiet:.1} us ({:.3} times), rules.sexp {rules:.1} us ({:.3} times)",
        quiet / none,
        rules / none,
    );
}
