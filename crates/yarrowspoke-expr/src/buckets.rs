//! Limits by a computed key, in a table of bounded size. This module alone decides on them.
//!
//! A bucket holds tokens that come at a rate, up to a burst (the token bucket of RFC 2697's single rate). One that is
//! full again says nothing that a new one would not, so it can be forgotten: forgetting any other would give its key a
//! fresh burst. Hence the two rules of the table:
//!
//! - Only full buckets make room. Where none can, a new key draws on its rule's **shared** bucket, so that no key ever
//!   gets more than its rate and burst, however many keys a hostile client makes up.
//! - Keys that come back after their bucket had filled up again become **known**, and half of the table is theirs. Danger:
//!   without it a flood of new keys would leave those who come every day only the shared bucket.

use lru::LruCache;
use std::collections::HashMap;
use std::num::NonZeroUsize;
use yarrowspoke::interface::Micros;

/// Buckets that have gone longest without a request and are looked at for room, each time.
const EVICTION_CANDIDATES: usize = 4;

/// A limit as a rule states it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// The rule, the same number before and after a reload.
    pub rule: u64,
    /// Requests a second.
    pub rate: f64,
    /// Requests at once.
    pub burst: f64,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    updated_at: Micros,
    /// Requests turned away since one was last let through.
    rejected: f64,
    rate: f64,
    burst: f64,
}

impl Bucket {
    fn new(now: Micros, limit: &Limit) -> Self {
        Self { tokens: limit.burst, updated_at: now, rejected: 0.0, rate: limit.rate, burst: limit.burst }
    }

    /// Tokens at a later time. Time that goes backwards brings none.
    fn tokens_at(&self, now: Micros) -> f64 {
        (self.tokens + self.rate * now.saturating_sub(self.updated_at) as f64 / 1e6).min(self.burst)
    }

    fn is_full(&self, now: Micros) -> bool {
        self.tokens_at(now) >= self.burst
    }

    fn refill(&mut self, now: Micros, limit: &Limit) {
        let tokens = self.tokens_at(now);
        (self.tokens, self.updated_at) = (tokens.min(limit.burst), self.updated_at.max(now));
        // A reload may state others for the same rule.
        (self.rate, self.burst) = (limit.rate, limit.burst);
    }

    /// Time until a token is there for one more than were turned away. Danger: all that are told the same time come back
    /// together; so each is told a time by which the rate has served those before it.
    fn next_retry_after(&mut self) -> Micros {
        let missing = (1.0 + self.rejected - self.tokens).max(0.0);
        self.rejected += 1.0;
        (missing / self.rate * 1e6).min(1e15) as Micros
    }
}

/// Where a key's bucket is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BucketLocation {
    Returning,
    New,
    Shared,
}

/// Counts of what the table did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BucketCounts {
    /// Requests let through.
    pub admitted: u64,
    /// Requests turned away.
    pub rejected: u64,
    /// Requests that drew on a shared bucket.
    pub shared: u64,
}

/// All buckets.
pub struct Buckets {
    returning: LruCache<u64, Bucket>,
    new_keys: LruCache<u64, Bucket>,
    shared: HashMap<u64, Bucket>,
    max_keys: usize,
    /// What was done since it was last asked.
    pub counts: BucketCounts,
}

impl Buckets {
    /// An empty table for `max_keys` keys, half of them for known ones.
    pub fn new(max_keys: usize) -> Self {
        let half = NonZeroUsize::new(max_keys / 2).unwrap_or(NonZeroUsize::MIN);
        Self {
            returning: LruCache::new(half),
            new_keys: LruCache::new(half),
            shared: HashMap::new(),
            max_keys: half.get(),
            counts: BucketCounts::default(),
        }
    }

    /// Keys in the table.
    pub fn keys(&self) -> usize {
        self.returning.len() + self.new_keys.len()
    }

    /// Takes one token of each of these buckets, or none and tells when to come back. `key` is a hash of the rule and its
    /// key, by a hash that clients cannot foresee.
    pub fn take(&mut self, now: Micros, limits: &[(Limit, u64)]) -> Result<(), Micros> {
        let mut retry_after = None;
        for (limit, key) in limits {
            let bucket = self.bucket(now, limit, *key);
            if bucket.tokens < 1.0 {
                retry_after = retry_after.max(Some(bucket.next_retry_after()));
            }
        }
        if let Some(retry_after) = retry_after {
            self.counts.rejected += 1;
            return Err(retry_after);
        }
        for (limit, key) in limits {
            let bucket = self.bucket(now, limit, *key);
            // Two limits of one request may share a bucket that has a single token left: it then goes below 0.
            bucket.tokens -= 1.0;
            bucket.rejected = (bucket.rejected - 1.0).max(0.0);
        }
        self.counts.admitted += 1;
        Ok(())
    }

    /// The bucket of a key, filled up to now.
    fn bucket(&mut self, now: Micros, limit: &Limit, key: u64) -> &mut Bucket {
        let location = self.locate(now, limit, key);
        let bucket = match location {
            BucketLocation::Returning => self.returning.get_mut(&key),
            BucketLocation::New => self.new_keys.get_mut(&key),
            BucketLocation::Shared => {
                self.counts.shared += 1;
                None
            }
        };
        let bucket = match bucket {
            Some(bucket) => bucket,
            None => self.shared.entry(limit.rule).or_insert_with(|| Bucket::new(now, limit)),
        };
        bucket.refill(now, limit);
        if bucket.tokens >= bucket.burst {
            bucket.rejected = 0.0;
        }
        bucket
    }

    fn locate(&mut self, now: Micros, limit: &Limit, key: u64) -> BucketLocation {
        if self.returning.contains(&key) {
            return BucketLocation::Returning;
        }
        if let Some(bucket) = self.new_keys.peek(&key).copied() {
            // It comes back after its bucket had filled up: no flood, but somebody who was here before.
            let returns = now > bucket.updated_at && bucket.tokens < bucket.burst && bucket.is_full(now);
            if returns && Self::make_room(&mut self.returning, self.max_keys, now) {
                self.new_keys.pop(&key);
                self.returning.put(key, bucket);
                return BucketLocation::Returning;
            }
            return BucketLocation::New;
        }
        if Self::make_room(&mut self.new_keys, self.max_keys, now) {
            // Danger: it may have drawn on the shared bucket before, and a fresh burst would come on top of that.
            let mut bucket = Bucket::new(now, limit);
            bucket.tokens =
                self.shared.get(&limit.rule).map_or(limit.burst, |s| s.tokens_at(now).min(limit.burst));
            self.new_keys.put(key, bucket);
            return BucketLocation::New;
        }
        BucketLocation::Shared
    }

    /// Whether one more fits, at most at the price of a full bucket that has rested long.
    fn make_room(table: &mut LruCache<u64, Bucket>, max_keys: usize, now: Micros) -> bool {
        if table.len() < max_keys {
            return true;
        }
        let full = table.iter().rev().take(EVICTION_CANDIDATES).find(|b| b.1.is_full(now)).map(|b| *b.0);
        full.is_some_and(|key| table.pop(&key).is_some())
    }

    /// Forgets the shared buckets of rules that are no more.
    pub fn retain_rules(&mut self, rules: impl Fn(u64) -> bool) {
        self.shared.retain(|rule, _| rules(*rule));
    }
}
