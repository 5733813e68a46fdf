//! Asking other fronts about the list: whom, how often, and what their answers come to.

use super::message::{Confirmation, Standing, Subscription};
use crate::interface::Micros;
use rand_core::RngCore;
use std::collections::{BTreeMap, VecDeque};

/// Fronts asked at once.
const ASKED_AT_ONCE: usize = 3;
/// Least time from one round of questions to the next...
const ROUND: Micros = 500_000;
/// ...and where no machine may be sent to meanwhile.
const URGENT_ROUND: Micros = 100_000;
/// An answer that takes longer is not used: what it says is older than it seems worth.
const ANSWER_WITHIN: Micros = 1_000_000;
/// Answers by which a front reckons how many others are without a list, at least and at most.
const CROWD_SEEN: usize = 3;
const CROWD_MOST: usize = 12;
/// How long an answer counts for that.
const CROWD_LASTS: Micros = 2_000_000;

/// A question whose answer is to come.
#[derive(Clone, Copy, Debug)]
struct Question {
    peer: u16,
    nonce: u32,
    asked: Micros,
}

/// What an answer comes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerReply {
    /// The front has a confirmed list.
    Confirmed {
        /// When discovery confirmed it.
        confirmed: Micros,
        /// Machines by fingerprint, and when discovery confirmed each.
        machines: BTreeMap<u32, Micros>,
    },
    /// The front cannot reach discovery.
    Unreachable {
        /// Nothing that discovery had to tell was missed up to then.
        nothing_missed_until: Micros,
        /// Machines that it last knew, by fingerprint.
        last_known: Vec<u32>,
    },
    /// Discovery was at work then, though the front has nothing of it.
    Unreadable {
        /// When it was.
        at: Micros,
    },
    /// The front knows nothing of discovery.
    Unknown,
}

impl PeerReply {
    /// What the answer of a front comes to that was asked at `asked`.
    pub fn of(asked: Micros, standing: Standing, vouched: &[Confirmation]) -> Self {
        // Counted from the question, which came before the answer was thought of.
        let before = |age| asked.saturating_sub(age);
        match standing {
            Standing::Confirmed(age) => {
                let machines = vouched.iter().map(|v| (v.fingerprint, before(v.age))).collect();
                Self::Confirmed { confirmed: before(age), machines }
            }
            Standing::Unreachable(age) => {
                let last_known = vouched.iter().map(|v| v.fingerprint).collect();
                Self::Unreachable { nothing_missed_until: before(age), last_known }
            }
            Standing::Unreadable(age) => Self::Unreadable { at: before(age) },
            Standing::Unknown => Self::Unknown,
        }
    }
}

/// Other fronts' subscriptions, as far as they told of them lately.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerSubscriptions {
    /// Part of the fronts that have none.
    pub waiting_share: f64,
    /// The least time that one of them took to open one lately: what a call costs a discovery that is not busy.
    pub call_cost: Option<Micros>,
}

/// An answer of another front, as far as it tells of its subscription.
#[derive(Clone, Copy, Debug)]
struct Heartbeat {
    at: Micros,
    subscription: Subscription,
}

/// The questions of one front.
#[derive(Clone)]
pub struct PeerQueries {
    me: u32,
    fronts: u32,
    asked: Micros,
    questions: VecDeque<Question>,
    /// The last answers.
    answers: VecDeque<Heartbeat>,
}

impl PeerQueries {
    /// Front `me` of `fronts`, which asks from `now` on.
    pub fn new(me: u32, fronts: u32, now: Micros) -> Self {
        Self {
            me,
            fronts,
            asked: now.saturating_sub(ROUND),
            questions: VecDeque::new(),
            answers: VecDeque::new(),
        }
    }

    /// Fronts to ask now, with a nonce for each; none if the last round is too recent.
    pub fn next_queries(&mut self, now: Micros, urgent: bool, random: &mut impl RngCore) -> Vec<(u16, u32)> {
        let pause = if urgent { URGENT_ROUND } else { ROUND };
        if now < self.asked + pause {
            return Vec::new();
        }
        self.asked = now;
        self.questions.retain(|q| now < q.asked + ANSWER_WITHIN);
        let mut asked = Vec::new();
        for _ in 0..ASKED_AT_ONCE {
            let Some(peer) = self.draw(random) else { continue };
            let nonce = random.next_u32();
            self.questions.push_back(Question { peer, nonce, asked: now });
            asked.push((peer, nonce));
        }
        asked
    }

    /// Any other front.
    fn draw(&self, random: &mut impl RngCore) -> Option<u16> {
        let others = self.fronts.checked_sub(1).filter(|n| *n > 0)?;
        let step = 1 + (random.next_u64() % u64::from(others)) as u32;
        u16::try_from((self.me + step) % self.fronts).ok()
    }

    /// Something has changed in how discovery is reached: what others told of their subscriptions is from before.
    pub fn forget_subscriptions(&mut self) {
        self.answers.clear();
    }

    /// When the question that this answers was asked; `None` if nothing of the kind was asked, or too long ago.
    pub fn take_query(&mut self, now: Micros, peer: u16, nonce: u32) -> Option<Micros> {
        let at = self.questions.iter().position(|q| q.peer == peer && q.nonce == nonce)?;
        let question = self.questions.remove(at)?;
        (now < question.asked + ANSWER_WITHIN).then_some(question.asked)
    }

    /// Takes note of another front's subscription. The crowd, as far as fronts answered lately; `None` if too few did.
    pub fn record_subscription(
        &mut self,
        now: Micros,
        subscription: Subscription,
    ) -> Option<PeerSubscriptions> {
        self.answers.push_back(Heartbeat { at: now, subscription });
        if self.answers.len() > CROWD_MOST {
            self.answers.pop_front();
        }
        self.answers.retain(|answer| now < answer.at + CROWD_LASTS);
        let enough = CROWD_SEEN.min(self.fronts.saturating_sub(1) as usize);
        let subscriptions = || self.answers.iter().map(|answer| answer.subscription);
        let (all, subscribed) = (self.answers.len(), subscriptions().filter(|s| s.is_open()).count());
        (all >= enough && all > 0).then(|| PeerSubscriptions {
            waiting_share: 1.0 - subscribed as f64 / all as f64,
            call_cost: subscriptions().filter_map(Subscription::opening_time).min(),
        })
    }
}
