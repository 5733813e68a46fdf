//! Admission under overload: requests that cannot meet their aim are refused at once.

use super::{Front, ANSWER_TIME_WINDOW, UNLOADED_SHARE};
use crate::accounting::*;
use crate::interface::*;
use rand_core::RngCore;

const QUEUE_TIMES: f64 = 3.0; // multiple of the usual answer time up to which an attempt counts as queue
const FIT: (f64, f64) = (0.55, 0.25); // part of the tightest aim that answers may take; over share or late
const WORK_MOST: f64 = 1.5; // most times the usual work that a request's rough hint is taken to mean
const CHANCE: f64 = 4.0; // requests one of many fronts may hold by chance, over the root of what it bears
const WORTH_POWER: f64 = 0.5; // power of its worth over the dearest by which a class is given up first
const QUOTA_LEAST: f64 = 5.0; // requests that a tenant may send at once to any front
const FREE_SLOTS: f64 = 3.0; // requests a machine always admitted

impl Front {
    /// Whether a tenant has used up what its quota allows it at this front.
    pub(super) fn is_over_share(&mut self, now: Micros, tenant: usize) -> bool {
        let Some(set) = self.settings.tenants.get(tenant) else { return false };
        let rate = set.quota_rps / f64::from(self.settings.fronts.max(1));
        !self.state.tenant_quotas[tenant].try_take(now, rate, rate.max(QUOTA_LEAST))
    }

    /// The shortest time in which any class wants its answers.
    pub(super) fn min_latency_target(&self) -> f64 {
        self.settings.classes.iter().map(|c| c.latency_target).min().unwrap_or(0) as f64
    }

    /// By Little's law the work in flight over the completion rate predicts the answer time.
    pub(super) fn admits(&mut self, now: Micros, r: &Request) -> bool {
        let (lot, tightest) = (hash_to_unit(self.rng.next_u64()), self.min_latency_target());
        if self.state.answer_time < UNLOADED_SHARE * tightest {
            return true;
        }
        // Danger: where answers are lost or machines silent, what is long out is no queue.
        let late = (QUEUE_TIMES * self.state.answer_time) as Micros;
        let recent = || self.state.attempts_in_flight.values().filter(|o| now <= o.sent_at + late);
        // Danger: those turned away come again, the largest last, until most of what is served is too late.
        let takes = self.state.answer_time * (r.work / self.state.answer_work.max(1.0)).min(WORK_MOST);
        let stale = r.waited_before + takes
            > (self.settings.classes[r.value_class].latency_target as f64).max(self.state.answer_time);
        let dearest = self.settings.classes.iter().map(|c| c.worth).fold(f64::MIN_POSITIVE, f64::max);
        let rank = (self.settings.classes[r.value_class].worth / dearest).powf(WORTH_POWER);
        // Danger: one build's queue must not turn away what another's machines have room for.
        let open = |b: &&Build| self.exposure_cap(**b).is_none_or(|_| self.is_trial_turn(r, **b));
        let free = self.state.subset.keys().filter(open).any(|b| {
            let slots = FREE_SLOTS * self.state.ready_machines(*b).count() as f64
                / f64::from(self.settings.fronts.max(1));
            recent().filter(|o| o.build == *b).count() as f64 + lot < slots * rank
        });
        // Danger: who turns all away learns no more: one that has served nothing lately takes what it can.
        let held = (recent().count() + 1) as f64;
        let idle = held < 2.0 && now > self.state.answered_at + ANSWER_TIME_WINDOW;
        if free && !stale || idle {
            return true;
        }
        // Danger: a stalled front sees a second's answers at once; the best recent rate, fading, bridges it.
        // One queue serves all: it is kept short enough for the tightest aim, or that class starves first.
        let fit = if r.over_share || stale { FIT.1 } else { FIT.0 * rank } * tightest;
        // Danger: of a hundred fronts each holds a request or two by chance, whatever the machines hold: what
        // chance explains is no queue. There the answer time tells of the queue, and lots shed what is over.
        let bears = fit * self.state.best_rate;
        let chance = CHANCE * ((1.0 - 1.0 / f64::from(self.settings.fronts.max(1))) / bears.max(1.0)).sqrt();
        held <= bears || held <= bears + chance && lot * self.state.answer_time < fit
    }
}
