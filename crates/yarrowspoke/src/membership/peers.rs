//! Asking other fronts about the list: whom, how often, and what their answers come to.

use super::message::{Standing, Vouched};
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
/// Fronts that must have said lately that they cannot reach discovery before that counts for all of them.
const CUT_OFF_ENOUGH: usize = 3;
/// Answers by which a front reckons how many others are without a list, at least and at most.
const CROWD_SEEN: usize = 3;
const CROWD_MOST: usize = 12;
/// How long ago is lately.
const CUT_OFF_WITHIN: Micros = 2_000_000;

/// A question whose answer is to come.
#[derive(Clone, Copy, Debug)]
struct Question {
    peer: u16,
    nonce: u32,
    asked: Micros,
}

/// What an answer comes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Heard {
    /// The front has a confirmed list.
    Vouched {
        /// Until when its list holds.
        list_until: Micros,
        /// Machines by fingerprint, and until when each is vouched for.
        machines: BTreeMap<u32, Micros>,
    },
    /// The front cannot reach discovery.
    CutOff {
        /// So have others said lately, and none said otherwise: discovery reaches nobody.
        outage: bool,
    },
    /// Discovery is at work, though the front has nothing of it.
    AtWork,
    /// The front knows nothing of discovery.
    Untried,
}

/// The questions of one front.
#[derive(Clone)]
pub struct PeerAsks {
    me: u32,
    fronts: u32,
    asked: Micros,
    questions: VecDeque<Question>,
    /// The last answers: when each came, and whether its front's subscription stands.
    answers: VecDeque<(Micros, bool)>,
    /// Fronts that said lately that they cannot reach discovery, and when.
    cut_off: BTreeMap<u16, Micros>,
}

impl PeerAsks {
    /// Front `me` of `fronts`, which asks from `now` on.
    pub fn new(me: u32, fronts: u32, now: Micros) -> Self {
        Self {
            me,
            fronts,
            asked: now.saturating_sub(ROUND),
            questions: VecDeque::new(),
            answers: VecDeque::new(),
            cut_off: BTreeMap::new(),
        }
    }

    /// Fronts to ask now, with a nonce for each; none if the last round is too recent.
    pub fn ask(&mut self, now: Micros, urgent: bool, random: &mut impl RngCore) -> Vec<(u16, u32)> {
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

    /// Takes an answer; `None` if nothing of the kind was asked, or too long ago.
    pub fn heard(
        &mut self,
        now: Micros,
        peer: u16,
        nonce: u32,
        standing: Standing,
        vouched: &[Vouched],
    ) -> Option<Heard> {
        let at = self.questions.iter().position(|q| q.peer == peer && q.nonce == nonce)?;
        let question = self.questions.remove(at)?;
        if now >= question.asked + ANSWER_WITHIN {
            return None;
        }
        match standing {
            Standing::Confirmed(left) => {
                self.cut_off.clear();
                // Counted from the question, which came before the answer was thought of.
                let machines = vouched.iter().map(|v| (v.fingerprint, question.asked + v.left)).collect();
                Some(Heard::Vouched { list_until: question.asked + left, machines })
            }
            Standing::OutOfReach => {
                self.cut_off.insert(peer, now);
                Some(Heard::CutOff { outage: self.all_cut_off(now) })
            }
            Standing::Unreadable => {
                self.cut_off.clear();
                Some(Heard::AtWork)
            }
            Standing::Untried => Some(Heard::Untried),
        }
    }

    /// Takes note of whether a front that answered is `subscribed`. Part of the other fronts that are not, as far as they
    /// answered lately; `None` if too few did.
    pub fn crowd(&mut self, now: Micros, subscribed: bool) -> Option<f64> {
        self.answers.push_back((now, subscribed));
        if self.answers.len() > CROWD_MOST {
            self.answers.pop_front();
        }
        self.answers.retain(|a| now < a.0 + CUT_OFF_WITHIN);
        let (all, with_list) = (self.answers.len(), self.answers.iter().filter(|a| a.1).count());
        let enough = CROWD_SEEN.min(self.fronts.saturating_sub(1) as usize);
        (all >= enough && all > 0).then(|| 1.0 - with_list as f64 / all as f64)
    }

    fn all_cut_off(&mut self, now: Micros) -> bool {
        self.cut_off.retain(|_, at| now < *at + CUT_OFF_WITHIN);
        let others = self.fronts.saturating_sub(1) as usize;
        self.cut_off.len() >= CUT_OFF_ENOUGH.min(others)
    }
}
