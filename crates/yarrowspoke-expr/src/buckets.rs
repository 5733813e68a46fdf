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
const LOOKED_AT: usize = 4;

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
    left: f64,
    at: Micros,
    /// Requests turned away since one was last let through.
    rejected: f64,
    rate: f64,
    burst: f64,
}

impl Bucket {
    fn new(now: Micros, limit: &Limit) -> Self {
        Self { left: limit.burst, at: now, rejected: 0.0, rate: limit.rate, burst: limit.burst }
    }

    /// Tokens at a later time. Time that goes backwards brings none.
    fn later(&self, now: Micros) -> f64 {
        (self.left + self.rate * now.saturating_sub(self.at) as f64 / 1e6).min(self.burst)
    }

    fn is_full(&self, now: Micros) -> bool {
        self.later(now) >= self.burst
    }

    fn refill(&mut self, now: Micros, limit: &Limit) {
        let left = self.later(now);
        (self.left, self.at) = (left.min(limit.burst), self.at.max(now));
        // A reload may state others for the same rule.
        (self.rate, self.burst) = (limit.rate, limit.burst);
    }

    /// Time until a token is there for one more than were turned away. Danger: all that are told the same time come back
    /// together; so each is told a time by which the rate has served those before it.
    fn wait(&mut self) -> Micros {
        let missing = (1.0 + self.rejected - self.left).max(0.0);
        self.rejected += 1.0;
        (missing / self.rate * 1e6).min(1e15) as Micros
    }
}

/// Where a key's bucket is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    Known,
    Fresh,
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
    known: LruCache<u64, Bucket>,
    fresh: LruCache<u64, Bucket>,
    shared: HashMap<u64, Bucket>,
    most: usize,
    /// What was done since it was last asked.
    pub counts: BucketCounts,
}

impl Buckets {
    /// An empty table for `most` keys, half of them for known ones.
    pub fn new(most: usize) -> Self {
        let half = NonZeroUsize::new(most / 2).unwrap_or(NonZeroUsize::MIN);
        Self {
            known: LruCache::new(half),
            fresh: LruCache::new(half),
            shared: HashMap::new(),
            most: half.get(),
            counts: BucketCounts::default(),
        }
    }

    /// Keys in the table.
    pub fn keys(&self) -> usize {
        self.known.len() + self.fresh.len()
    }

    /// Takes one token of each of these buckets, or none and tells when to come back. `key` is a hash of the rule and its
    /// key, by a hash that clients cannot foresee.
    pub fn take(&mut self, now: Micros, wanted: &[(Limit, u64)]) -> Result<(), Micros> {
        let mut wait = None;
        for (limit, key) in wanted {
            let bucket = self.find(now, limit, *key);
            if bucket.left < 1.0 {
                wait = wait.max(Some(bucket.wait()));
            }
        }
        if let Some(wait) = wait {
            self.counts.rejected += 1;
            return Err(wait);
        }
        for (limit, key) in wanted {
            let bucket = self.find(now, limit, *key);
            // Two limits of one request may share a bucket that has a single token left: it then goes below 0.
            bucket.left -= 1.0;
            bucket.rejected = (bucket.rejected - 1.0).max(0.0);
        }
        self.counts.admitted += 1;
        Ok(())
    }

    /// The bucket of a key, filled up to now.
    fn find(&mut self, now: Micros, limit: &Limit, key: u64) -> &mut Bucket {
        let place = self.place(now, limit, key);
        let bucket = match place {
            Place::Known => self.known.get_mut(&key),
            Place::Fresh => self.fresh.get_mut(&key),
            Place::Shared => {
                self.counts.shared += 1;
                None
            }
        };
        let bucket = match bucket {
            Some(bucket) => bucket,
            None => self.shared.entry(limit.rule).or_insert_with(|| Bucket::new(now, limit)),
        };
        bucket.refill(now, limit);
        if bucket.left >= bucket.burst {
            bucket.rejected = 0.0;
        }
        bucket
    }

    fn place(&mut self, now: Micros, limit: &Limit, key: u64) -> Place {
        if self.known.contains(&key) {
            return Place::Known;
        }
        if let Some(bucket) = self.fresh.peek(&key).copied() {
            // It comes back after its bucket had filled up: no flood, but somebody who was here before.
            let returns = now > bucket.at && bucket.left < bucket.burst && bucket.is_full(now);
            if returns && Self::room(&mut self.known, self.most, now) {
                self.fresh.pop(&key);
                self.known.put(key, bucket);
                return Place::Known;
            }
            return Place::Fresh;
        }
        if Self::room(&mut self.fresh, self.most, now) {
            // Danger: it may have drawn on the shared bucket before, and a fresh burst would come on top of that.
            let mut bucket = Bucket::new(now, limit);
            bucket.left = self.shared.get(&limit.rule).map_or(limit.burst, |s| s.later(now).min(limit.burst));
            self.fresh.put(key, bucket);
            return Place::Fresh;
        }
        Place::Shared
    }

    /// Whether one more fits, at most at the price of a full bucket that has rested long.
    fn room(table: &mut LruCache<u64, Bucket>, most: usize, now: Micros) -> bool {
        if table.len() < most {
            return true;
        }
        let full = table.iter().rev().take(LOOKED_AT).find(|b| b.1.is_full(now)).map(|b| *b.0);
        full.is_some_and(|key| table.pop(&key).is_some())
    }

    /// Forgets the shared buckets of rules that are no more.
    pub fn retain_rules(&mut self, rules: impl Fn(u64) -> bool) {
        self.shared.retain(|rule, _| rules(*rule));
    }
}
