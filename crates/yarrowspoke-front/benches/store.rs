//! Cost of the store: latency of comments and articles, memory, descriptors and ledger bytes per comment, with the store off and
//! on within one run over loopback.
//!
//! Run with `cargo bench -p yarrowspoke-front --bench store`. The figures depend on the machine; compare the ratios within a run.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{connect, TestEnvironment};
use std::time::Instant;
use yarrowspoke_toy::Behaviour;

const CLIENTS: usize = 8;
const REQUESTS_PER_CLIENT: usize = 1_500;

fn request(kind: &str, id: &str) -> String {
    if kind == "comment" {
        common::post(id, "4.0")
    } else {
        common::get(id, "4.0")
    }
}

/// Returns the sorted latencies of comments and of articles in microseconds, with both kinds sent at the same time.
fn latencies(environment: &TestEnvironment, round: &str) -> [Vec<f64>; 2] {
    let listen = environment.listen;
    let run = |kind: &'static str| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|c| {
                let round = round.to_owned();
                std::thread::spawn(move || {
                    let mut connection = connect(listen).expect("the front listens");
                    let mut latencies = Vec::with_capacity(REQUESTS_PER_CLIENT);
                    for n in 0..REQUESTS_PER_CLIENT {
                        let started = Instant::now();
                        let answer = connection
                            .request(&request(kind, &format!("{round}-{kind}-{c}-{n}")))
                            .expect("an answer");
                        assert!(answer.start().contains(" 200 "), "{answer:?}");
                        latencies.push(started.elapsed().as_secs_f64() * 1e6);
                    }
                    latencies
                })
            })
            .collect();
        clients
    };
    let (comments, articles) = (run("comment"), run("article"));
    [comments, articles].map(|clients| {
        let mut all: Vec<f64> =
            clients.into_iter().flat_map(|c| c.join().expect("no client fails")).collect();
        all.sort_by(f64::total_cmp);
        all
    })
}

fn status_value(environment: &TestEnvironment, name: &str) -> u64 {
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", environment.front.id())).unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with(name)).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0)
}

fn main() {
    let dir = std::env::temp_dir().join(format!("yarrowspoke-cost-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a directory");
    let section = format!("(store (directory \"{}\") (delay 0) (bytes 100000000))", dir.display());
    for (name, operator) in [("off", ""), ("on", section.as_str())] {
        let environment =
            TestEnvironment::with_rules(&[Behaviour::Serve, Behaviour::Serve, Behaviour::Serve], operator);
        let [comments, articles] = latencies(&environment, name);
        let percentile = |all: &[f64], p: f64| all[((all.len() as f64 * p) as usize).min(all.len() - 1)];
        let descriptors =
            std::fs::read_dir(format!("/proc/{}/fd", environment.front.id())).map_or(0, |d| d.count());
        println!(
            "store {name:<3} comments p50 {:.0} us, p99 {:.0} us; articles p50 {:.0} us, p99 {:.0} us; {} kB, {} threads, \
             {descriptors} descriptors",
            percentile(&comments, 0.5),
            percentile(&comments, 0.99),
            percentile(&articles, 0.5),
            percentile(&articles, 0.99),
            status_value(&environment, "VmRSS"),
            status_value(&environment, "Threads"),
        );
    }
    let file = std::fs::metadata(dir.join("ledger")).map_or(0, |m| m.len());
    println!(
        "ledger {file} bytes for {} comments, {} per comment",
        CLIENTS * REQUESTS_PER_CLIENT,
        file / (CLIENTS * REQUESTS_PER_CLIENT) as u64
    );
    let _ = std::fs::remove_dir_all(dir);
}
