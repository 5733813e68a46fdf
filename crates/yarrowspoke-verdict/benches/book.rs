//! Cost of an update and of a look.

#![allow(missing_docs)]

use criterion::{black_box, criterion_group, criterion_main, Criterion};

#[path = "../tests/common/mod.rs"]
mod common;

fn book(c: &mut Criterion) {
    let mut book = yarrowspoke_verdict::evidence_log::EvidenceLog::new(common::design());
    let mut stream = common::Stream::new(1);
    stream.trial_machines = 20;
    stream.earlier_machines = 20;
    stream.feed(&mut book, 3_000, |_, _, _, _, _| 0.01, |_, _, _| 30.0);
    c.bench_function("update", |b| {
        b.iter(|| {
            let (trial, o) = stream.next(|_, _, _, _, _| 0.01, |_, _, _| 30.0);
            book.record(trial, black_box(&o));
            book.close_due_blocks(stream.now);
        });
    });
    // A look reads what was weighed when blocks were last closed; the cost stands where they are closed.
    c.bench_function("half a second's outcomes, their blocks closed and weighed", |b| {
        b.iter(|| {
            for _ in 0..50 {
                let (trial, o) = stream.next(|_, _, _, _, _| 0.01, |_, _, _| 30.0);
                book.record(trial, &o);
            }
            book.close_due_blocks(stream.now);
            black_box(book.findings())
        });
    });
}

criterion_group!(benches, book);
criterion_main!(benches);
