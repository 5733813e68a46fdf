//! What rules cost a front: CPU for each request with none, with `examples/quiet.sexp` (three dozen that change no
//! decision) and with `examples/rules.sexp`, taken in turn several times over in one run over loopback.
//!
//! `cargo bench -p yarrowspoke-front --bench rules`. Figures are of one machine; the ratios within a run count.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{connect, TestEnvironment};
use yarrowspoke_toy::Behaviour;

const CLIENTS: usize = 4;
const EACH: usize = 5_000;
const ROUNDS: usize = 3;
/// Ticks of the system's CPU clock in a second, as Linux counts them for programs.
const TICKS: f64 = 100.0;

/// CPU seconds that the front has taken.
fn cpu(world: &TestEnvironment) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", world.front.id())).unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |n: usize| fields.get(n).and_then(|t| t.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / TICKS
}

fn round(operator: &str, round: usize) -> f64 {
    let world = TestEnvironment::with_rules(&[Behaviour::Serve, Behaviour::Serve], operator);
    let listen = world.listen;
    let before = cpu(&world);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|c| {
            std::thread::spawn(move || {
                let mut line = connect(listen).expect("the front listens");
                for n in 0..EACH {
                    let answer =
                        line.request(&common::get(&format!("{round}-{c}-{n}"), "1.0")).expect("an answer");
                    assert!(answer.start().contains(" 200 "), "{answer:?}");
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|c| c.join().expect("no client fails"));
    (cpu(&world) - before) / (CLIENTS * EACH) as f64 * 1e6
}

fn main() {
    let quiet = std::fs::read_to_string(common::root().join("examples/quiet.sexp")).expect("the file");
    let rules = std::fs::read_to_string(common::root().join("examples/rules.sexp")).expect("the file");
    let mut sums = [0.0; 3];
    for n in 0..ROUNDS {
        for (sum, operator) in sums.iter_mut().zip(["", &quiet, &rules]) {
            *sum += round(operator, n) / ROUNDS as f64;
        }
    }
    let [none, quiet, rules] = sums;
    println!(
        "CPU a request: no rules {none:.1} us, quiet.sexp {quiet:.1} us ({:.3} times), rules.sexp {rules:.1} us ({:.3} times)",
        quiet / none,
        rules / none,
    );
}
