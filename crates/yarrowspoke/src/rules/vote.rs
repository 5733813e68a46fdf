//! Votes on the newest build: when a finding counts, and when a stage has been watched for long enough.

use super::judge::{Finding, EVIDENCE_WINDOW, MIN_OUTCOMES, SLOWNESS_DURATION};
use super::{Front, BOOT_LIMIT, MIN_MACHINE_SHARE, MS, START_WAIT};
use crate::accounting::*;
use crate::interface::*;

const CLOCK_LAG: Micros = 1_100 * MS; // a stage's clock starts so long after its last start seen, or sooner
const PATIENCE: Micros = 2_150 * MS; // least stage clock time before an 'on'
const BAKE_LEAD: Micros = 250 * MS; // an 'on' is cast this long before the stage may end
const BOOT_MARGIN: Micros = 500 * MS; // a stage counts as up this long after the longest boot seen in earlier stages
const SOLE_LASTS: Micros = 6_000 * MS; // a fault seen on one machine only counts once it has lasted this long
const UNSURE_LASTS: Micros = 3_000 * MS; // the same for any fault of a released build of which too little was seen
const SICKLY_HELD: Micros = 8_000 * MS; // 'on' waits so long for failures of what may be a sick machine
const RELEASED_LEAST: usize = 200; // answers of a released build of which less is too little
const VOTE_GAP: Micros = 400 * MS; // least time between two votes of this front
const RENEW_PART: f64 = 0.6; // part of a vote's standing time after which it is renewed

impl Front {
    /// Takes note of what the platform tells of the newest build, its stage and its phase.
    pub(super) fn on_rollout_status(&mut self, now: Micros, n: RolloutStatus) {
        if n.is_vote_reply {
            self.state.vote_pending = false;
            self.state.vote_accepted_at = (n.outcome == CallOutcome::Ok).then_some(self.state.vote_sent_at);
        }
        if n.outcome != CallOutcome::Ok {
            return;
        }
        if self.state.rollout_status.is_none_or(|o| o.build < n.build) {
            // Figures against which the build just named will be held.
            let lately = self.state.samples_below(n.build).flatten().filter(|s| s.at + EVIDENCE_WINDOW > now);
            self.state.baseline_paces = medians(lately, |s| s.measured_pace, MIN_OUTCOMES / 2);
            self.open_evidence(n.build);
        }
        let fresh = self
            .state
            .rollout_status
            .is_none_or(|o| (o.build, o.stage, o.phase) != (n.build, n.stage, n.phase));
        if fresh {
            let before = self.state.rollout_status.filter(|o| o.build == n.build && o.stage < n.stage);
            let seen =
                before.map(|o| self.state.newest_start(o.build).saturating_sub(self.state.stage_began_at));
            if let Some(boot) = seen.filter(|b| *b > 0) {
                let known = if self.state.boot_time == BOOT_LIMIT { 0 } else { self.state.boot_time };
                self.state.boot_time = known.max(boot + BOOT_MARGIN).min(BOOT_LIMIT);
            }
            // Danger: with the list out of reach, machines of a build taken off still look ready.
            let superseded =
                self.state.rollout_status.filter(|o| o.build < n.build && o.phase != Phase::Released);
            self.state.withdrawn_builds.extend(superseded.map(|o| o.build));
            if matches!(n.phase, Phase::RollingBack | Phase::Withdrawn) {
                self.state.withdrawn_builds.insert(n.build);
            }
            (self.state.stage_began_at, self.state.vote, self.state.vote_accepted_at) =
                (now.saturating_sub(n.age), None, None);
            if n.stage == 0 || self.state.slots == 0 {
                let beside = self.settings.release.keeps_old_machines || n.stage == 0;
                self.state.slots = self.state.ready_machines_except(beside.then_some(n.build));
            }
        }
        if n.phase != Phase::Trial && n.phase != Phase::Released {
            self.state.key_builds.clear();
        }
        self.state.rollout_status = Some(n);
    }

    /// Machines that the stage should have, for this build.
    pub(super) fn wanted_machines(&self, n: &RolloutStatus) -> f64 {
        self.settings.release.stage_shares.get(usize::from(n.stage)).unwrap_or(&1.0) * self.state.slots as f64
    }

    /// The news speaks of a stage whose machines the list hardly shows: the few it shows carry too much to be
    /// judged by pace, and the earlier ones are still needed.
    pub(super) fn list_is_behind(&self, build: Build) -> bool {
        let Some(n) = self.state.rollout_status.filter(|n| n.build == build) else { return true };
        (self.state.ready_machines(build).count() as f64) < self.wanted_machines(&n) * MIN_MACHINE_SHARE
    }

    /// End of the stage's waiting window: after the newest start seen, once all machines that the stage
    /// should have are seen, or after the platform's own limit on their boot.
    pub(super) fn stage_wait_end(&self, build: Build) -> Micros {
        let Some(n) = self.state.rollout_status.filter(|n| n.build == build) else { return Micros::MAX };
        let mine = || self.state.machines.values().filter(|m| m.entry.build == build);
        let newest = self.state.newest_start(build);
        let wanted = self.wanted_machines(&n);
        let up = mine().filter(|m| m.entry.state == MachineState::Ready).count();
        let bake = PATIENCE.max(self.settings.release.min_stage_time.saturating_sub(BAKE_LEAD));
        let wait = START_WAIT.max(CLOCK_LAG + bake);
        if (up as f64) < wanted.floor().max(1.0) {
            return (self.state.stage_began_at + self.state.boot_time + CLOCK_LAG + bake).max(newest + wait);
        }
        newest + wait
    }

    pub(super) fn choose_vote(&mut self, now: Micros, n: &RolloutStatus) -> Option<Vote> {
        let finding = self.judge(now, n.build).0;
        // Danger: a front that restarted has seen little, and taking off a released build is dear.
        let unsure = n.phase == Phase::Released && self.state.sample_count(n.build) < RELEASED_LEAST;
        let lasts = match finding {
            Finding::Fault if unsure => UNSURE_LASTS,
            Finding::Fault => 0,
            Finding::Slow => SLOWNESS_DURATION,
            Finding::SingleMachineFault => SOLE_LASTS,
            _ => Micros::MAX,
        };
        // 'Back' cannot be undone: what may pass by itself must last before it counts.
        let suspect = lasts < Micros::MAX || finding == Finding::SingleMachineDoubt;
        self.state.suspect_since = suspect.then(|| self.state.suspect_since.unwrap_or(now));
        if self.state.suspect_since.is_some_and(|t| now >= t.saturating_add(lasts)) {
            self.state.build_to_roll_back = Some(n.build);
        }
        self.state.faulty_machine_since =
            (finding == Finding::FaultyMachine).then(|| self.state.faulty_machine_since.unwrap_or(now));
        let waits = self.state.faulty_machine_since.is_some_and(|t| now < t + SICKLY_HELD);
        let condemned = self.state.build_to_roll_back == Some(n.build);
        if condemned || n.phase != Phase::Trial {
            return condemned.then_some(Vote::RollBack);
        }
        if self.settings.release.mode == VoteMode::Automatic {
            let holds = finding >= Finding::Doubt || waits;
            let held = self.state.vote.is_some_and(|v| v.2 == Vote::Hold);
            return if holds { Some(Vote::Hold) } else { held.then_some(Vote::Withdraw) };
        }
        let end = self.stage_wait_end(n.build);
        // Once cast, 'on' stands while nothing speaks against it: the next stage's machines may show first.
        let cast = self.state.vote == Some((n.build, n.stage, Vote::Advance));
        match finding {
            Finding::Clear | Finding::TooFewOutcomes if cast => Some(Vote::Advance),
            Finding::Clear if now >= end => Some(Vote::Advance),
            Finding::FaultyMachine if now >= end && !waits => Some(Vote::Advance),
            Finding::TooFewOutcomes if now >= end.max(self.state.newest_start(n.build) + 2 * START_WAIT) => {
                Some(Vote::Advance)
            }
            _ => None,
        }
    }

    /// Casts, renews or changes this front's vote, paced and matched to the present stage.
    pub(super) fn cast_vote(&mut self, now: Micros, out: &mut Vec<Action>) {
        let Some(n) = self.state.rollout_status.filter(|n| matches!(n.phase, Phase::Trial | Phase::Released))
        else {
            return;
        };
        let pause =
            if self.state.vote_pending { self.settings.release.vote_timeout + VOTE_GAP } else { VOTE_GAP };
        if now < self.state.vote_sent_at + pause {
            return;
        }
        let standing = self.state.vote.filter(|v| v.2 != Vote::Withdraw);
        let Some(verdict) = self.choose_vote(now, &n).or(standing.map(|_| Vote::Withdraw)) else { return };
        let wish = (n.build, n.stage, verdict);
        let renew = (self.settings.release.vote_lifetime as f64 * RENEW_PART) as Micros;
        let stands = self.state.vote_accepted_at.is_some_and(|t| now < t + renew);
        if self.state.vote == Some(wish) && stands {
            return;
        }
        (self.state.vote, self.state.vote_accepted_at, self.state.vote_pending) = (Some(wish), None, true);
        self.state.vote_sent_at = now + self.jitter(VOTE_GAP / 4);
        out.push(Action::Vote { build: n.build, stage: n.stage, vote: verdict });
        let why = self.judge(now, n.build).1;
        out.push(Action::Log(format!("{verdict:?} {} stage {}: {why}", n.build, n.stage)));
    }
}
