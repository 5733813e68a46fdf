//! Tests that no key gets more than its rate and burst, whatever other keys are used, and that returning keys are not
//! evicted.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use yarrowspoke_expr::buckets::{Buckets, Limit};

const SECOND: u64 = 1_000_000;
const LIMIT: Limit = Limit { rule: 1, rate: 10.0, burst: 5.0 };

#[test]
fn rejected_requests_find_a_token_at_their_retry_time() {
    let mut buckets = Buckets::new(100);
    let mut admitted = 0;
    let mut retry_times = Vec::new();
    for _ in 0..20 {
        match buckets.take(SECOND, &[(LIMIT, 7)]) {
            Ok(()) => admitted += 1,
            Err(retry_after) => retry_times.push(retry_after),
        }
    }
    assert_eq!((admitted, retry_times.len()), (5, 15));
    // The retry times are a tenth of a second apart, and at each of them a token is available.
    assert!(retry_times.windows(2).all(|w| w[1] - w[0] == SECOND / 10), "{retry_times:?}");
    for retry_after in retry_times {
        assert_eq!(buckets.take(SECOND + retry_after, &[(LIMIT, 7)]), Ok(()), "retry after {retry_after}");
    }
}

#[test]
fn limits_of_one_request_take_all_tokens_or_none() {
    let mut buckets = Buckets::new(100);
    let tight = Limit { rule: 2, rate: 1.0, burst: 1.0 };
    assert_eq!(buckets.take(SECOND, &[(LIMIT, 1), (tight, 2)]), Ok(()));
    for _ in 0..50 {
        assert!(buckets.take(SECOND, &[(LIMIT, 1), (tight, 2)]).is_err());
    }
    // The rejected requests took nothing from the other bucket.
    assert_eq!((0..10).filter(|_| buckets.take(SECOND, &[(LIMIT, 1)]).is_ok()).count(), 4);
}

#[test]
fn a_clock_going_backwards_adds_no_tokens() {
    let mut buckets = Buckets::new(100);
    while buckets.take(9 * SECOND, &[(LIMIT, 1)]).is_ok() {}
    assert!(buckets.take(SECOND, &[(LIMIT, 1)]).is_err());
    assert!(buckets.take(9 * SECOND, &[(LIMIT, 1)]).is_err());
    assert!(buckets.take(9 * SECOND + SECOND / 5, &[(LIMIT, 1)]).is_ok());
}

#[test]
fn a_flood_of_new_keys_is_bounded_and_evicts_no_returning_key() {
    let mut buckets = Buckets::new(1_000);
    // Fifty readers who send a request once a second become returning keys.
    let readers: Vec<u64> = (0..50).collect();
    let mut now = SECOND;
    for _ in 0..3 {
        assert!(readers.iter().all(|r| buckets.take(now, &[(LIMIT, *r)]).is_ok()));
        now += SECOND;
    }
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let mut admitted_by_reader: HashMap<u64, u32> = HashMap::new();
    let mut admitted_flood = 0;
    for second in 0..20 {
        for _ in 0..20_000 {
            let key = 1_000 + rng.gen_range(0..1_000_000u64);
            admitted_flood +=
                u32::from(buckets.take(now + rng.gen_range(0..SECOND), &[(LIMIT, key)]).is_ok());
            assert!(buckets.keys() <= 1_000);
        }
        now += SECOND;
        for reader in &readers {
            assert!(buckets.take(now, &[(LIMIT, *reader)]).is_ok(), "reader {reader} in second {second}");
            *admitted_by_reader.entry(*reader).or_default() += 1;
        }
    }
    assert!(admitted_by_reader.values().all(|n| *n == 20));
    // The flood gets at most its half of the table, with each key's burst and rate, and the rate of the shared bucket.
    assert!(admitted_flood <= 500 * (5 + 20 * 10) + 20 * 10 + 5, "{admitted_flood}");
}

#[test]
fn no_key_gets_more_than_its_rate_and_burst() {
    // With a table of four keys and sixty keys in use, eviction must never grant another burst.
    for seed in 0..200 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut buckets = Buckets::new(4);
        let mut admitted_at: HashMap<u64, Vec<u64>> = HashMap::new();
        let mut now = SECOND;
        for _ in 0..2_000 {
            now += rng.gen_range(0..SECOND / 50);
            let key = if rng.gen_bool(0.5) { rng.gen_range(0..3) } else { rng.gen_range(0..60) };
            if buckets.take(now, &[(LIMIT, key)]).is_ok() {
                admitted_at.entry(key).or_default().push(now);
            }
        }
        for (key, times) in admitted_at {
            for (n, from) in times.iter().enumerate() {
                let within = times[n..].iter().take_while(|t| **t <= from + SECOND).count();
                assert!(
                    within as f64 <= 5.0 + 10.0 + 1.0,
                    "seed {seed}, key {key}: {within} within a second"
                );
            }
        }
    }
}

#[test]
fn a_reload_keeps_buckets_and_applies_the_new_rate() {
    let mut buckets = Buckets::new(100);
    while buckets.take(SECOND, &[(LIMIT, 1)]).is_ok() {}
    let slower = Limit { rate: 1.0, ..LIMIT };
    assert!(buckets.take(SECOND, &[(slower, 1)]).is_err());
    // 1.05 s at the new rate yield one token; the remaining 0.05 s are not yet a second one.
    assert_eq!((0..9).filter(|_| buckets.take(SECOND + 1_050_000, &[(slower, 1)]).is_ok()).count(), 1);
    buckets.retain_rules(|rule| rule != 1);
    assert!(buckets.take(SECOND + 1_050_000, &[(slower, 1)]).is_err(), "the key's own bucket stays");
}
