//! Cost of recording an outcome and of computing the findings.

#![allow(missing_docs)]

use criterion::{black_box, criterion_group, criterion_main, Criterion};

#[path = "../tests/common/mod.rs"]
mod common;

fn log(c: &mut Criterion) {
    let mut log = yarrowspoke_verdict::evidence_log::EvidenceLog::new(common::design());
    let mut stream = common::Stream::new(1);
    stream.trial_machines = 20;
    stream.earlier_machines = 20;
    stream.feed(&mut log, 3_000, |_, _, _, _, _| 0.01, |_, _, _| 30.0);
    c.bench_function("update", |b| {
        b.iter(|| {
            let (trial, outcome) = stream.next(|_, _, _, _, _| 0.01, |_, _, _| 30.0);
            log.record(trial, black_box(&outcome));
            log.close_due_blocks(stream.now);
        });
    });
    // The findings are computed when blocks are closed and only read later, so the cost is measured where blocks
    // close.
    c.bench_function("half a second's outcomes, their blocks closed and weighed", |b| {
        b.iter(|| {
            for _ in 0..50 {
                let (trial, outcome) = stream.next(|_, _, _, _, _| 0.01, |_, _, _| 30.0);
                log.record(trial, &outcome);
            }
            log.close_due_blocks(stream.now);
            black_box(log.findings())
        });
    });
}

criterion_group!(benches, log);
criterion_main!(benches);
