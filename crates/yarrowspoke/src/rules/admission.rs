//! Admission under overload: requests that cannot meet their latency target are refused at once.

use super::{Front, ANSWER_TIME_WINDOW, UNLOADED_SHARE};
use crate::accounting::*;
use crate::interface::*;
use rand_core::RngCore;

/// Multiple of the usual answer time up to which an attempt in flight counts as part of the queue.
const QUEUED_ANSWER_TIMES: f64 = 3.0;
/// Fraction of the shortest latency target that answers may take.
const TARGET_SHARE: f64 = 0.55;
/// The same fraction for requests over their tenant's share and for requests that would be late.
const LOW_PRIORITY_TARGET_SHARE: f64 = 0.25;
/// Greatest multiple of the usual work that a request's work hint, which is rough, is taken to mean.
const MAX_RELATIVE_WORK: f64 = 1.5;
/// Requests that one of many fronts may have in flight by chance, times the square root of what it can bear.
const CHANCE_FACTOR: f64 = 4.0;
/// Exponent on a class's worth, relative to the highest, that sets the order in which classes are shed.
const WORTH_EXPONENT: f64 = 0.5;
/// Number of requests that a tenant may always send at once to any front.
const MIN_QUOTA_BURST: f64 = 5.0;
/// Number of requests in flight per machine, over all fronts, up to which requests are always admitted.
const FREE_SLOTS_PER_MACHINE: f64 = 3.0;

impl Front {
    /// Returns whether a tenant has used up its quota at this front, and takes one request from the quota.
    pub(super) fn is_over_share(&mut self, now: Micros, tenant: usize) -> bool {
        let Some(quota) = self.settings.tenants.get(tenant) else { return false };
        let rate = quota.quota_rps / f64::from(self.settings.fronts.max(1));
        !self.state.tenant_quotas[tenant].try_take(now, rate, rate.max(MIN_QUOTA_BURST))
    }

    /// Returns the shortest latency target of all classes, in microseconds.
    pub(super) fn min_latency_target(&self) -> f64 {
        self.settings.classes.iter().map(|c| c.latency_target).min().unwrap_or(0) as f64
    }

    /// Returns the time in which a request is usually answered, by its work, in microseconds.
    pub(super) fn expected_answer_time(&self, request: &Request) -> f64 {
        self.state.answer_time * (request.work / self.state.answer_work.max(1.0)).min(MAX_RELATIVE_WORK)
    }

    /// Returns whether a request is admitted. By Little's law, the work in flight divided by the completion rate predicts
    /// the answer time.
    pub(super) fn admits(&mut self, now: Micros, request: &Request) -> bool {
        let (draw, min_target) = (hash_to_unit(self.rng.next_u64()), self.min_latency_target());
        if self.state.answer_time < UNLOADED_SHARE * min_target {
            return true;
        }
        // Where answers are lost or machines silent, attempts that have been in flight for long are not part of a queue.
        let queued_for = (QUEUED_ANSWER_TIMES * self.state.answer_time) as Micros;
        let queued = || self.state.attempts_in_flight.values().filter(|a| now <= a.sent_at + queued_for);
        // Refused clients retry, those with the largest requests last, until most of what is served is late. Requests
        // that would be late are therefore shed before others.
        let expected_time = self.expected_answer_time(request);
        let late = request.waited_before + expected_time
            > (self.settings.classes[request.value_class].latency_target as f64).max(self.state.answer_time);
        let max_worth = self.settings.classes.iter().map(|c| c.worth).fold(f64::MIN_POSITIVE, f64::max);
        let priority = (self.settings.classes[request.value_class].worth / max_worth).powf(WORTH_EXPONENT);
        // The queue of one build must not cause the refusal of requests for which machines of another have room.
        let open = |b: &&Build| self.exposure_cap(**b).is_none_or(|_| self.is_trial_turn(request, **b));
        let has_free_slot = self.state.subset.keys().filter(open).any(|b| {
            let slots = FREE_SLOTS_PER_MACHINE * self.state.ready_machines(*b).count() as f64
                / f64::from(self.settings.fronts.max(1));
            queued().filter(|a| a.build == *b).count() as f64 + draw < slots * priority
        });
        // A front that refuses everything gets no new answer times: one that has served nothing recently admits a
        // request when it has none queued.
        let queue_length = (queued().count() + 1) as f64;
        let idle = queue_length < 2.0 && now > self.state.answered_at + ANSWER_TIME_WINDOW;
        if has_free_slot && !late || idle {
            return true;
        }
        // A front that has stalled sees the answers of a second at once, so the best recent rate, which decays, is used.
        // One queue serves all classes: it is kept short enough for the shortest latency target, as that class would
        // starve first.
        let max_answer_time =
            if request.over_share || late { LOW_PRIORITY_TARGET_SHARE } else { TARGET_SHARE * priority }
                * min_target;
        // Each of a hundred fronts has a request or two in flight by chance, whatever the load of the machines: what
        // chance explains is no queue. In that range the answer time indicates the queue, and random draws shed the
        // excess.
        let bearable = max_answer_time * self.state.best_rate;
        let by_chance =
            CHANCE_FACTOR * ((1.0 - 1.0 / f64::from(self.settings.fronts.max(1))) / bearable.max(1.0)).sqrt();
        queue_length <= bearable
            || queue_length <= bearable + by_chance && draw * self.state.answer_time < max_answer_time
    }
}
