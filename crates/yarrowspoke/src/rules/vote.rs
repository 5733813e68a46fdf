//! Votes on the newest build: when a finding counts, and when a stage has been observed for long enough.

use super::judge::{Finding, EVIDENCE_WINDOW, MIN_OUTCOMES, SLOWNESS_DURATION};
use super::{Front, BOOT_LIMIT, MIN_MACHINE_SHARE, MS, START_WAIT};
use crate::accounting::*;
use crate::interface::*;

/// Longest time from the last machine start seen in a stage to the start of the stage's clock, in microseconds.
const STAGE_CLOCK_LAG: Micros = 1_100 * MS;
/// Least time on the stage's clock before 'advance', in microseconds.
const MIN_OBSERVATION_TIME: Micros = 2_150 * MS;
/// Time in microseconds before the earliest end of a stage at which 'advance' is cast.
const ADVANCE_LEAD: Micros = 250 * MS;
/// Time in microseconds after the longest boot seen in earlier stages at which a stage counts as up.
const BOOT_MARGIN: Micros = 500 * MS;
/// Time in microseconds that a fault seen on a single machine must last before it counts.
const SINGLE_MACHINE_FAULT_DURATION: Micros = 6_000 * MS;
/// Time in microseconds that any fault of a released build with too few outcomes must last before it counts.
const UNSURE_FAULT_DURATION: Micros = 3_000 * MS;
/// Time in microseconds for which 'advance' is withheld because of failures that may come from a faulty machine.
const FAULTY_MACHINE_WAIT: Micros = 8_000 * MS;
/// Number of answers of a released build below which there are too few outcomes.
const MIN_RELEASED_OUTCOMES: usize = 200;
/// Least time between two votes of this front, in microseconds.
const MIN_VOTE_GAP: Micros = 400 * MS;
/// Fraction of a vote's lifetime after which it is renewed.
const VOTE_RENEWAL_SHARE: f64 = 0.6;

impl Front {
    /// Records the rollout status that the platform sends for the newest build: its stage and its phase.
    pub(super) fn on_rollout_status(&mut self, now: Micros, status: RolloutStatus) {
        if status.is_vote_reply {
            self.state.vote_pending = false;
            self.state.vote_accepted_at =
                (status.outcome == CallOutcome::Ok).then_some(self.state.vote_sent_at);
        }
        if status.outcome != CallOutcome::Ok {
            return;
        }
        if self.state.rollout_status.is_none_or(|s| s.build < status.build) {
            // These paces are the baseline for the build that this status names for the first time.
            let recent =
                self.state.samples_below(status.build).flatten().filter(|s| s.at + EVIDENCE_WINDOW > now);
            self.state.baseline_paces = medians(recent, |s| s.measured_pace, MIN_OUTCOMES / 2);
            self.open_evidence(status.build);
            self.state.key_builds.forget_before(status.build);
        }
        let changed = self
            .state
            .rollout_status
            .is_none_or(|s| (s.build, s.stage, s.phase) != (status.build, status.stage, status.phase));
        if changed {
            let previous =
                self.state.rollout_status.filter(|s| s.build == status.build && s.stage < status.stage);
            let boot_seen =
                previous.map(|s| self.state.newest_start(s.build).saturating_sub(self.state.stage_began_at));
            if let Some(boot) = boot_seen.filter(|b| *b > 0) {
                let longest = if self.state.boot_time == BOOT_LIMIT { 0 } else { self.state.boot_time };
                self.state.boot_time = longest.max(boot + BOOT_MARGIN).min(BOOT_LIMIT);
            }
            // While the list cannot be read, machines of a withdrawn build still appear ready.
            let superseded =
                self.state.rollout_status.filter(|s| s.build < status.build && s.phase != Phase::Released);
            self.state.withdrawn_builds.extend(superseded.map(|s| s.build));
            if matches!(status.phase, Phase::RollingBack | Phase::Withdrawn) {
                self.state.withdrawn_builds.insert(status.build);
            }
            (self.state.stage_began_at, self.state.vote, self.state.vote_accepted_at) =
                (now.saturating_sub(status.age), None, None);
            if status.stage == 0 || self.state.slots == 0 {
                let is_extra = self.settings.release.keeps_old_machines || status.stage == 0;
                self.state.slots = self.state.ready_machines_except(is_extra.then_some(status.build));
            }
        }
        if status.phase != Phase::Trial && status.phase != Phase::Released {
            self.state.key_builds.clear();
        }
        self.state.rollout_status = Some(status);
    }

    /// Returns the number of machines of the build that its stage should have.
    pub(super) fn wanted_machines(&self, status: &RolloutStatus) -> f64 {
        self.settings.release.stage_shares.get(usize::from(status.stage)).unwrap_or(&1.0)
            * self.state.slots as f64
    }

    /// Returns whether the list shows too few machines of the stage that the rollout status names. The few that it shows
    /// carry too much load for their pace to be judged, and the earlier machines are still needed.
    pub(super) fn list_is_behind(&self, build: Build) -> bool {
        let Some(status) = self.state.rollout_status.filter(|s| s.build == build) else { return true };
        (self.state.ready_machines(build).count() as f64) < self.wanted_machines(&status) * MIN_MACHINE_SHARE
    }

    /// Returns the end of the stage's waiting time: a fixed time after the newest start seen, once all machines that the
    /// stage should have are seen, or after the platform's own limit on their boot.
    pub(super) fn stage_wait_end(&self, build: Build) -> Micros {
        let Some(status) = self.state.rollout_status.filter(|s| s.build == build) else { return Micros::MAX };
        let of_build = || self.state.machines.values().filter(|m| m.entry.build == build);
        let newest_start = self.state.newest_start(build);
        let wanted = self.wanted_machines(&status);
        let ready = of_build().filter(|m| m.entry.state == MachineState::Ready).count();
        let observation =
            MIN_OBSERVATION_TIME.max(self.settings.release.min_stage_time.saturating_sub(ADVANCE_LEAD));
        let wait = START_WAIT.max(STAGE_CLOCK_LAG + observation);
        if (ready as f64) < wanted.floor().max(1.0) {
            return (self.state.stage_began_at + self.state.boot_time + STAGE_CLOCK_LAG + observation)
                .max(newest_start + wait);
        }
        newest_start + wait
    }

    /// Returns the vote that the present finding calls for, or `None` if there is none to cast.
    pub(super) fn choose_vote(&mut self, now: Micros, status: &RolloutStatus) -> Option<Vote> {
        let finding = self.judge(now, status.build).0;
        // A front that has restarted has few outcomes, and the rollback of a released build is costly.
        let unsure =
            status.phase == Phase::Released && self.state.sample_count(status.build) < MIN_RELEASED_OUTCOMES;
        let required_duration = match finding {
            Finding::Fault if unsure => UNSURE_FAULT_DURATION,
            Finding::Fault => 0,
            Finding::Slow => SLOWNESS_DURATION,
            Finding::SingleMachineFault => SINGLE_MACHINE_FAULT_DURATION,
            _ => Micros::MAX,
        };
        // A rollback cannot be undone: a finding that may pass by itself must last before it counts.
        let suspect = required_duration < Micros::MAX || finding == Finding::SingleMachineDoubt;
        self.state.suspect_since = suspect.then(|| self.state.suspect_since.unwrap_or(now));
        if self.state.suspect_since.is_some_and(|t| now >= t.saturating_add(required_duration)) {
            self.state.build_to_roll_back = Some(status.build);
        }
        self.state.faulty_machine_since =
            (finding == Finding::FaultyMachine).then(|| self.state.faulty_machine_since.unwrap_or(now));
        let waits = self.state.faulty_machine_since.is_some_and(|t| now < t + FAULTY_MACHINE_WAIT);
        let rolls_back = self.state.build_to_roll_back == Some(status.build);
        if rolls_back || status.phase != Phase::Trial {
            return rolls_back.then_some(Vote::RollBack);
        }
        if self.settings.release.mode == VoteMode::Automatic {
            let holds = finding >= Finding::Doubt || waits;
            let has_held = self.state.vote.is_some_and(|v| v.2 == Vote::Hold);
            return if holds { Some(Vote::Hold) } else { has_held.then_some(Vote::Withdraw) };
        }
        let end = self.stage_wait_end(status.build);
        // Once cast, 'advance' stays in force while nothing speaks against it: machines of the next stage may appear
        // before the status of that stage does.
        let has_advanced = self.state.vote == Some((status.build, status.stage, Vote::Advance));
        match finding {
            Finding::Clear | Finding::TooFewOutcomes if has_advanced => Some(Vote::Advance),
            Finding::Clear if now >= end => Some(Vote::Advance),
            Finding::FaultyMachine if now >= end && !waits => Some(Vote::Advance),
            Finding::TooFewOutcomes
                if now >= end.max(self.state.newest_start(status.build) + 2 * START_WAIT) =>
            {
                Some(Vote::Advance)
            }
            _ => None,
        }
    }

    /// Casts, renews or changes this front's vote on the present stage, at a limited rate.
    pub(super) fn cast_vote(&mut self, now: Micros, out: &mut Vec<Action>) {
        let Some(status) =
            self.state.rollout_status.filter(|s| matches!(s.phase, Phase::Trial | Phase::Released))
        else {
            return;
        };
        let pause = if self.state.vote_pending {
            self.settings.release.vote_timeout + MIN_VOTE_GAP
        } else {
            MIN_VOTE_GAP
        };
        if now < self.state.vote_sent_at + pause {
            return;
        }
        let in_force = self.state.vote.filter(|v| v.2 != Vote::Withdraw);
        let Some(vote) = self.choose_vote(now, &status).or(in_force.map(|_| Vote::Withdraw)) else { return };
        let wanted = (status.build, status.stage, vote);
        let renewal_time = (self.settings.release.vote_lifetime as f64 * VOTE_RENEWAL_SHARE) as Micros;
        let is_recent = self.state.vote_accepted_at.is_some_and(|t| now < t + renewal_time);
        if self.state.vote == Some(wanted) && is_recent {
            return;
        }
        (self.state.vote, self.state.vote_accepted_at, self.state.vote_pending) = (Some(wanted), None, true);
        self.state.vote_sent_at = now + self.jitter(MIN_VOTE_GAP / 4);
        out.push(Action::Vote { build: status.build, stage: status.stage, vote });
        let reason = self.judge(now, status.build).1;
        out.push(Action::Log(format!("{vote:?} {} stage {}: {reason}", status.build, status.stage)));
    }
}
