//! Tests that no key gets more than its rate and burst, whatever other keys are used, and that returning keys are not
//! evicted.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use yarrowspoke_expr::buckets::{Buckets, Limit};

const S: u64 = 1_000_000;
const LIMIT: Limit = Limit { rule: 1, rate: 10.0, burst: 5.0 };

#[test]
fn a_burst_then_the_rate_and_a_time_to_come_back_at_which_there_is_room() {
    let mut buckets = Buckets::new(100);
    let mut passed = 0;
    let mut told = Vec::new();
    for _ in 0..20 {
        match buckets.take(S, &[(LIMIT, 7)]) {
            Ok(()) => passed += 1,
            Err(wait) => told.push(wait),
        }
    }
    assert_eq!((passed, told.len()), (5, 15));
    // The retry times are a tenth of a second apart, and at each of them a token is available.
    assert!(told.windows(2).all(|w| w[1] - w[0] == S / 10), "{told:?}");
    for wait in told {
        assert_eq!(buckets.take(S + wait, &[(LIMIT, 7)]), Ok(()), "told {wait}");
    }
}

#[test]
fn several_limits_take_all_or_nothing() {
    let mut buckets = Buckets::new(100);
    let tight = Limit { rule: 2, rate: 1.0, burst: 1.0 };
    assert_eq!(buckets.take(S, &[(LIMIT, 1), (tight, 2)]), Ok(()));
    for _ in 0..50 {
        assert!(buckets.take(S, &[(LIMIT, 1), (tight, 2)]).is_err());
    }
    // The rejected requests took nothing from the other bucket.
    assert_eq!((0..10).filter(|_| buckets.take(S, &[(LIMIT, 1)]).is_ok()).count(), 4);
}

#[test]
fn time_that_goes_backwards_brings_nothing() {
    let mut buckets = Buckets::new(100);
    while buckets.take(9 * S, &[(LIMIT, 1)]).is_ok() {}
    assert!(buckets.take(S, &[(LIMIT, 1)]).is_err());
    assert!(buckets.take(9 * S, &[(LIMIT, 1)]).is_err());
    assert!(buckets.take(9 * S + S / 5, &[(LIMIT, 1)]).is_ok());
}

#[test]
fn a_flood_of_new_keys_stays_bounded_and_pushes_out_nobody_known() {
    let mut buckets = Buckets::new(1_000);
    // Fifty readers who send a request once a second become returning keys.
    let readers: Vec<u64> = (0..50).collect();
    let mut now = S;
    for _ in 0..3 {
        assert!(readers.iter().all(|r| buckets.take(now, &[(LIMIT, *r)]).is_ok()));
        now += S;
    }
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let mut through: HashMap<u64, u32> = HashMap::new();
    let mut flood = 0;
    for second in 0..20 {
        for _ in 0..20_000 {
            let key = 1_000 + rng.gen_range(0..1_000_000u64);
            flood += u32::from(buckets.take(now + rng.gen_range(0..S), &[(LIMIT, key)]).is_ok());
            assert!(buckets.keys() <= 1_000);
        }
        now += S;
        for reader in &readers {
            assert!(buckets.take(now, &[(LIMIT, *reader)]).is_ok(), "reader {reader} in second {second}");
            *through.entry(*reader).or_default() += 1;
        }
    }
    assert!(through.values().all(|n| *n == 20));
    // The flood gets at most its half of the table, with each key's burst and rate, and the rate of the shared bucket.
    assert!(flood <= 500 * (5 + 20 * 10) + 20 * 10 + 5, "{flood}");
}

#[test]
fn no_key_gets_more_than_its_rate_and_burst() {
    // With a table of four keys and sixty keys in use, eviction must never grant another burst.
    for seed in 0..200 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut buckets = Buckets::new(4);
        let mut taken: HashMap<u64, Vec<u64>> = HashMap::new();
        let mut now = S;
        for _ in 0..2_000 {
            now += rng.gen_range(0..S / 50);
            let key = if rng.gen_bool(0.5) { rng.gen_range(0..3) } else { rng.gen_range(0..60) };
            if buckets.take(now, &[(LIMIT, key)]).is_ok() {
                taken.entry(key).or_default().push(now);
            }
        }
        for (key, times) in taken {
            for (n, from) in times.iter().enumerate() {
                let within = times[n..].iter().take_while(|t| **t <= from + S).count();
                assert!(
                    within as f64 <= 5.0 + 10.0 + 1.0,
                    "seed {seed}, key {key}: {within} within a second"
                );
            }
        }
    }
}

#[test]
fn a_reload_keeps_buckets_and_takes_the_new_rate() {
    let mut buckets = Buckets::new(100);
    while buckets.take(S, &[(LIMIT, 1)]).is_ok() {}
    let slower = Limit { rate: 1.0, ..LIMIT };
    assert!(buckets.take(S, &[(slower, 1)]).is_err());
    // 1.05 s at the new rate yield one token; the remaining 0.05 s are not yet a second one.
    assert_eq!((0..9).filter(|_| buckets.take(S + 1_050_000, &[(slower, 1)]).is_ok()).count(), 1);
    buckets.retain_rules(|rule| rule != 1);
    assert!(buckets.take(S + 1_050_000, &[(slower, 1)]).is_err(), "the key's own bucket stays");
}
