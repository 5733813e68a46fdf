//! What the store costs: latency of comments and articles, memory, descriptors and bytes for each comment, with the store
//! off and on in one run over loopback.
//!
//! `cargo bench -p yarrowspoke-front --bench store`. Figures are of one machine; the ratios within a run count.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{connect, TestEnvironment};
use std::time::Instant;
use yarrowspoke_toy::Behaviour;

const CLIENTS: usize = 8;
const EACH: usize = 1_500;

fn ask(what: &str, id: &str) -> String {
    if what == "comment" {
        common::post(id, "4.0")
    } else {
        common::get(id, "4.0")
    }
}

/// Times of one kind of request, in microseconds, sorted, while the other kind goes on beside it.
fn times(world: &TestEnvironment, round: &str) -> [Vec<f64>; 2] {
    let listen = world.listen;
    let run = |what: &'static str| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|c| {
                let round = round.to_owned();
                std::thread::spawn(move || {
                    let mut line = connect(listen).expect("the front listens");
                    let mut out = Vec::with_capacity(EACH);
                    for n in 0..EACH {
                        let begun = Instant::now();
                        let answer =
                            line.request(&ask(what, &format!("{round}-{what}-{c}-{n}"))).expect("an answer");
                        assert!(answer.start().contains(" 200 "), "{answer:?}");
                        out.push(begun.elapsed().as_secs_f64() * 1e6);
                    }
                    out
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

fn of(world: &TestEnvironment, name: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", world.front.id())).unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with(name)).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0)
}

fn main() {
    let dir = std::env::temp_dir().join(format!("yarrowspoke-cost-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a directory");
    let section = format!("(store (directory \"{}\") (delay 0) (bytes 100000000))", dir.display());
    for (name, operator) in [("off", ""), ("on", section.as_str())] {
        let world =
            TestEnvironment::with_rules(&[Behaviour::Serve, Behaviour::Serve, Behaviour::Serve], operator);
        let [comments, articles] = times(&world, name);
        let at = |all: &[f64], p: f64| all[((all.len() as f64 * p) as usize).min(all.len() - 1)];
        let descriptors =
            std::fs::read_dir(format!("/proc/{}/fd", world.front.id())).map_or(0, |d| d.count());
        println!(
            "store {name:<3} comments p50 {:.0} us, p99 {:.0} us; articles p50 {:.0} us, p99 {:.0} us; {} kB, {} threads, \
             {descriptors} descriptors",
            at(&comments, 0.5),
            at(&comments, 0.99),
            at(&articles, 0.5),
            at(&articles, 0.99),
            of(&world, "VmRSS"),
            of(&world, "Threads"),
        );
    }
    let file = std::fs::metadata(dir.join("ledger")).map_or(0, |m| m.len());
    println!(
        "ledger {file} bytes for {} comments, {} a comment",
        CLIENTS * EACH,
        file / (CLIENTS * EACH) as u64
    );
    let _ = std::fs::remove_dir_all(dir);
}
