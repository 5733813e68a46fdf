//! Queries to other fronts about the list: to which fronts, how often, and how their answers are interpreted.

use super::message::{Confirmation, Standing, Subscription};
use crate::interface::Micros;
use rand_core::RngCore;
use std::collections::{BTreeMap, VecDeque};

/// Number of queries in one round.
const QUERIES_PER_ROUND: usize = 3;
/// Minimum time between rounds of queries.
const ROUND_INTERVAL: Micros = 500_000;
/// Minimum time between rounds while no machine may be sent to.
const URGENT_ROUND_INTERVAL: Micros = 100_000;
/// An answer that takes longer is not used: its content is too old to be of use.
const ANSWER_TIMEOUT: Micros = 1_000_000;
/// Minimum and maximum number of answers from which the share of fronts without a subscription is estimated.
const MIN_SUBSCRIPTION_SAMPLES: usize = 3;
const MAX_SUBSCRIPTION_SAMPLES: usize = 12;
/// How long an answer is used for that estimate.
const SUBSCRIPTION_SAMPLE_LIFETIME: Micros = 2_000_000;

/// A query that has not been answered yet.
#[derive(Clone, Copy, Debug)]
struct PendingQuery {
    peer: u16,
    nonce: u32,
    sent_at: Micros,
}

/// The meaning of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerReply {
    /// The front has a confirmed list.
    Confirmed {
        /// When discovery confirmed that list.
        confirmed_at: Micros,
        /// Machines by fingerprint, and when discovery confirmed each.
        machines: BTreeMap<u32, Micros>,
    },
    /// The front cannot reach discovery.
    Unreachable {
        /// No change by discovery was missed up to this time.
        nothing_missed_until: Micros,
        /// Fingerprints of the machines that it last knew.
        last_known: Vec<u32>,
    },
    /// Discovery was up, but the front has no usable response of it.
    Unreadable {
        /// When discovery was up.
        at: Micros,
    },
    /// The front knows nothing of discovery.
    Unknown,
}

impl PeerReply {
    /// Interprets the answer to a query that was sent at `query_sent_at`.
    pub fn from_answer(query_sent_at: Micros, standing: Standing, confirmations: &[Confirmation]) -> Self {
        // Ages are counted back from when the query was sent, which is before the answer was written.
        let before = |age| query_sent_at.saturating_sub(age);
        match standing {
            Standing::Confirmed(age) => {
                let machines = confirmations.iter().map(|v| (v.fingerprint, before(v.age))).collect();
                Self::Confirmed { confirmed_at: before(age), machines }
            }
            Standing::Unreachable(age) => {
                let last_known = confirmations.iter().map(|v| v.fingerprint).collect();
                Self::Unreachable { nothing_missed_until: before(age), last_known }
            }
            Standing::Unreadable(age) => Self::Unreadable { at: before(age) },
            Standing::Unknown => Self::Unknown,
        }
    }
}

/// The subscriptions of other fronts, estimated from their recent answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerSubscriptions {
    /// Share of the fronts that have none.
    pub waiting_share: f64,
    /// The shortest time that one of them recently took to open one: the cost of a call to a discovery that is not
    /// busy.
    pub call_cost: Option<Micros>,
}

/// The state of another front's subscription, from one of its answers.
#[derive(Clone, Copy, Debug)]
struct SubscriptionSample {
    at: Micros,
    subscription: Subscription,
}

/// The queries of one front.
#[derive(Clone)]
pub struct PeerQueries {
    front_id: u32,
    fronts: u32,
    last_round_at: Micros,
    pending: VecDeque<PendingQuery>,
    /// The last answers.
    samples: VecDeque<SubscriptionSample>,
}

impl PeerQueries {
    /// Creates the state of front `front_id` of `fronts`, which may send queries from `now` on.
    pub fn new(front_id: u32, fronts: u32, now: Micros) -> Self {
        Self {
            front_id,
            fronts,
            last_round_at: now.saturating_sub(ROUND_INTERVAL),
            pending: VecDeque::new(),
            samples: VecDeque::new(),
        }
    }

    /// Returns the fronts to query now, with a nonce for each; none if the last round is too recent.
    pub fn next_queries(&mut self, now: Micros, urgent: bool, random: &mut impl RngCore) -> Vec<(u16, u32)> {
        let interval = if urgent { URGENT_ROUND_INTERVAL } else { ROUND_INTERVAL };
        if now < self.last_round_at + interval {
            return Vec::new();
        }
        self.last_round_at = now;
        self.pending.retain(|q| now < q.sent_at + ANSWER_TIMEOUT);
        let mut queries = Vec::new();
        for _ in 0..QUERIES_PER_ROUND {
            let Some(peer) = self.pick_peer(random) else { continue };
            let nonce = random.next_u32();
            self.pending.push_back(PendingQuery { peer, nonce, sent_at: now });
            queries.push((peer, nonce));
        }
        queries
    }

    /// Picks any other front at random.
    fn pick_peer(&self, random: &mut impl RngCore) -> Option<u16> {
        let others = self.fronts.checked_sub(1).filter(|n| *n > 0)?;
        let step = 1 + (random.next_u64() % u64::from(others)) as u32;
        u16::try_from((self.front_id + step) % self.fronts).ok()
    }

    /// Drops the subscriptions of other fronts: the way discovery is reached has changed since their answers.
    pub fn forget_subscriptions(&mut self) {
        self.samples.clear();
    }

    /// Returns when the query with this answer was sent; `None` if there was no such query, or it was sent too long
    /// ago.
    pub fn take_query(&mut self, now: Micros, peer: u16, nonce: u32) -> Option<Micros> {
        let at = self.pending.iter().position(|q| q.peer == peer && q.nonce == nonce)?;
        let query = self.pending.remove(at)?;
        (now < query.sent_at + ANSWER_TIMEOUT).then_some(query.sent_at)
    }

    /// Records the state of another front's subscription. Returns the estimate from recent answers, or `None` if
    /// there are too few.
    pub fn record_subscription(
        &mut self,
        now: Micros,
        subscription: Subscription,
    ) -> Option<PeerSubscriptions> {
        self.samples.push_back(SubscriptionSample { at: now, subscription });
        if self.samples.len() > MAX_SUBSCRIPTION_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.retain(|sample| now < sample.at + SUBSCRIPTION_SAMPLE_LIFETIME);
        let min_samples = MIN_SUBSCRIPTION_SAMPLES.min(self.fronts.saturating_sub(1) as usize);
        let subscriptions = || self.samples.iter().map(|sample| sample.subscription);
        let (all, subscribed) = (self.samples.len(), subscriptions().filter(|s| s.is_open()).count());
        (all >= min_samples && all > 0).then(|| PeerSubscriptions {
            waiting_share: 1.0 - subscribed as f64 / all as f64,
            call_cost: subscriptions().filter_map(Subscription::opening_time).min(),
        })
    }
}
