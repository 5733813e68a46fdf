//! Rate limits by a computed key, in a table of bounded size.
//!
//! Each limit is a token bucket that refills at a rate up to a burst (as with the single rate of RFC 2697). A full
//! bucket carries no more information than a new one, so it can be evicted. Evicting any other bucket would grant its
//! key another burst. The table therefore follows two rules:
//!
//! - Only full buckets are evicted. Where none can be, a new key draws on the **shared** bucket of its rule, so that no
//!   key ever gets more than its rate and burst, however many keys a hostile client makes up.
//! - Keys that return after their bucket has filled up again are **returning** keys, for which half of the table is
//!   reserved. Without it, a flood of new keys would leave regular clients only the shared bucket.

use lru::LruCache;
use std::collections::HashMap;
use std::num::NonZeroUsize;
use yarrowspoke::interface::Micros;

/// Number of least recently used buckets that are checked for eviction each time.
const EVICTION_CANDIDATES: usize = 4;

/// Limit of a rule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Identifier of the rule, the same before and after a reload.
    pub rule: u64,
    /// Requests per second.
    pub rate: f64,
    /// Requests that may be made at once.
    pub burst: f64,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    updated_at: Micros,
    /// Requests rejected since the bucket was last full, less one for each request admitted since.
    rejected: f64,
    rate: f64,
    burst: f64,
}

impl Bucket {
    fn new(now: Micros, limit: &Limit) -> Self {
        Self { tokens: limit.burst, updated_at: now, rejected: 0.0, rate: limit.rate, burst: limit.burst }
    }

    /// Returns the tokens at `now`. A clock that goes backwards adds no tokens.
    fn tokens_at(&self, now: Micros) -> f64 {
        (self.tokens + self.rate * now.saturating_sub(self.updated_at) as f64 / 1e6).min(self.burst)
    }

    fn is_full(&self, now: Micros) -> bool {
        self.tokens_at(now) >= self.burst
    }

    fn refill(&mut self, now: Micros, limit: &Limit) {
        let tokens = self.tokens_at(now);
        (self.tokens, self.updated_at) = (tokens.min(limit.burst), self.updated_at.max(now));
        // A reload may have changed the rate and the burst of the rule.
        (self.rate, self.burst) = (limit.rate, limit.burst);
    }

    /// Returns the time until there is a token for this request after those already rejected. If all rejected requests
    /// were given the same time, they would return together; each is given a time by which the rate has served those
    /// before it.
    fn next_retry_after(&mut self) -> Micros {
        let missing = (1.0 + self.rejected - self.tokens).max(0.0);
        self.rejected += 1.0;
        (missing / self.rate * 1e6).min(1e15) as Micros
    }
}

/// Table in which the bucket of a key is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BucketLocation {
    Returning,
    New,
    Shared,
}

/// Counters of admitted and rejected requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BucketCounts {
    /// Requests admitted.
    pub admitted: u64,
    /// Requests rejected.
    pub rejected: u64,
    /// Times that a shared bucket was used.
    pub shared: u64,
}

/// Bounded table of the token buckets of all limits.
pub struct Buckets {
    returning: LruCache<u64, Bucket>,
    new_keys: LruCache<u64, Bucket>,
    shared: HashMap<u64, Bucket>,
    max_keys: usize,
    /// Counts since they were last taken.
    pub counts: BucketCounts,
}

impl Buckets {
    /// Creates an empty table for `max_keys` keys, half of them for returning keys.
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

    /// Returns the number of keys in the table.
    pub fn keys(&self) -> usize {
        self.returning.len() + self.new_keys.len()
    }

    /// Takes one token from each of the buckets. If any has none left, takes nothing and returns the time after which
    /// to retry. The key of each limit is a keyed hash of the rule and its key that clients cannot predict.
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
            // Two limits of one request may share a bucket with a single token left, which then goes below 0.
            bucket.tokens -= 1.0;
            bucket.rejected = (bucket.rejected - 1.0).max(0.0);
        }
        self.counts.admitted += 1;
        Ok(())
    }

    /// Returns the bucket of a key, refilled up to `now`.
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
            // The key returns after its bucket has filled up, so it is a regular client and not part of a flood.
            let returns = now > bucket.updated_at && bucket.tokens < bucket.burst && bucket.is_full(now);
            if returns && Self::make_room(&mut self.returning, self.max_keys, now) {
                self.new_keys.pop(&key);
                self.returning.put(key, bucket);
                return BucketLocation::Returning;
            }
            return BucketLocation::New;
        }
        if Self::make_room(&mut self.new_keys, self.max_keys, now) {
            // The key may have drawn on the shared bucket before. A full new bucket would grant it a burst on top of
            // that.
            let mut bucket = Bucket::new(now, limit);
            bucket.tokens =
                self.shared.get(&limit.rule).map_or(limit.burst, |s| s.tokens_at(now).min(limit.burst));
            self.new_keys.put(key, bucket);
            return BucketLocation::New;
        }
        BucketLocation::Shared
    }

    /// Makes sure that `table` has room for one more key; if needed, evicts a full bucket that was not used recently.
    /// Returns whether there is room.
    fn make_room(table: &mut LruCache<u64, Bucket>, max_keys: usize, now: Micros) -> bool {
        if table.len() < max_keys {
            return true;
        }
        let full = table.iter().rev().take(EVICTION_CANDIDATES).find(|b| b.1.is_full(now)).map(|b| *b.0);
        full.is_some_and(|key| table.pop(&key).is_some())
    }

    /// Removes the shared buckets of rules that no longer exist.
    pub fn retain_rules(&mut self, rules: impl Fn(u64) -> bool) {
        self.shared.retain(|rule, _| rules(*rule));
    }
}
