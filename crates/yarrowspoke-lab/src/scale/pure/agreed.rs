//! The planners' agreed log: what it takes on disk and in memory for each order, as it is never compacted.

use super::{probe, slope};
use crate::scale::report::Report;
use crate::scale::run::Options;
use crate::scale::target;
use std::io;
use std::path::Path;
use yarrowspoke_fleet::permits::{Entry, Order};
use yarrowspoke_front::agreed_log::{AgreedLog, LoggedEntry};

/// Planners that agree.
const NAMES: [&str; 3] = ["p0", "p1", "p2"];
/// Rounds without a decision after which it is given up.
const PATIENCE: usize = 2_000;

/// Entries of so many orders: each front in turn out, taken, back in, done.
pub fn entries(orders: usize) -> Vec<Entry> {
    let entry = |n: usize| {
        let (front, number) = (format!("front-{}", n / 4 % target::FRONTS), n as u64 / 4 + 1);
        let order = |order| Entry::Order {
            order,
            by: "operator at the desk".to_owned(),
            known_orders: Some(n as u64),
            ticket: 1_786_000_000_000_000 + n as u64,
        };
        match n % 4 {
            0 => order(Order::Out { front, incarnation: 1_786_000_000_000_000, cause: "restart".to_owned() }),
            1 => Entry::Took { front, number, incarnation: 1_786_000_000_000_000 },
            2 => order(Order::In { front }),
            _ => Entry::Done { front, number },
        }
    };
    (0..4 * orders).map(entry).collect()
}

/// Entries as the log holds them in memory.
pub fn held(entries: &[Entry]) -> Vec<LoggedEntry> {
    entries.iter().cloned().map(LoggedEntry).collect()
}

/// Three planners agree on so many orders; bytes of one's journal, and nothing if they came to no end.
fn on_disk(dir: &Path, orders: usize) -> io::Result<Option<u64>> {
    let names: Vec<String> = NAMES.iter().map(ToString::to_string).collect();
    let opened = NAMES.iter().map(|name| {
        let dir = dir.join(format!("agreed-{orders}-{name}"));
        std::fs::create_dir_all(&dir)?;
        AgreedLog::open(names.clone(), name, 1, Some(&dir), true)
            .map_err(|_| io::Error::other("an agreed log cannot be opened"))
    });
    let mut all: Vec<AgreedLog> = opened.collect::<io::Result<_>>()?;
    let (mut left, wanted) = (entries(orders).into_iter(), 4 * orders);
    let mut rounds = 0;
    while all[0].applied() < wanted {
        let leader = all[0].leader().and_then(|l| NAMES.iter().position(|n| *n == l));
        if let Some(leader) = leader {
            // In batches, as more than one waits at the busiest moment.
            left.by_ref().take(64).for_each(|entry| all[leader].propose(entry));
        }
        for from in 0..all.len() {
            for to in 0..all.len() {
                while let Some(batch) = (from != to).then(|| all[from].next_batch(NAMES[to])).flatten() {
                    all[to].receive(batch);
                }
            }
        }
        all.iter_mut().for_each(AgreedLog::tick);
        rounds += 1;
        if rounds > PATIENCE {
            return Ok(None);
        }
    }
    let path = dir.join(format!("agreed-{orders}-{}", NAMES[0])).join("agreed");
    Ok(Some(std::fs::metadata(path)?.len()))
}

/// Slopes over orders.
pub fn measure(options: &Options, seen: &mut Report, tick: &dyn Fn(&str)) -> io::Result<()> {
    let sizes: &[usize] = if options.small { &[15, 30, 60, 120] } else { &[100, 200, 400, 800] };
    let (mut disk, mut memory) = (vec![], vec![]);
    for orders in sizes {
        tick(&format!("agreed log, {orders} orders"));
        match on_disk(&options.dir, *orders)? {
            Some(bytes) => disk.push((*orders as f64, bytes as f64)),
            None => seen
                .not_measured
                .push(format!("the agreed log at {orders} orders: no end within {PATIENCE} rounds")),
        }
    }
    for orders in [10_000, 20_000, 40_000, 80_000].map(|n| if options.small { n / 10 } else { n }) {
        memory.push((orders as f64, probe::grown(options, "agreed", &[orders])?.resident_mb));
    }
    slope(seen, ("planner", "agreed log on disk, an order taken and done", "bytes", "orders"), disk);
    slope(seen, ("planner", "agreed log in memory", "MB", "orders"), memory);
    Ok(())
}
