//! What a world is made of: plain values, drawn from a seed, without any behaviour.

use rand::Rng;
use yarrowspoke::interface::{
    Class, DedupScope, Idempotency, LoadField, Micros, Release, ReportSource, Settings, VoteMode,
};

/// A millisecond.
pub const MS: Micros = 1_000;
/// A second.
pub const S: Micros = 1_000_000;

/// What is wrong with a build.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Fails this share of all requests.
    Errors(f64),
    /// Fails this share of one class.
    Class(usize, f64),
    /// Needs this many times the work.
    Slow(f64),
    /// Fails this share once its machine has run for so long.
    Late(Micros, f64),
    /// Fails this share while its machine's cores are busy beyond the first figure.
    Load(f64, f64),
    /// Slows all machines, old and new, up to this many times, in step with its part of the places.
    Shared(f64),
}

/// What else goes wrong while the build is on trial.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// Nothing.
    None,
    /// Zone 0 is this many times slower for all, and the first trial machines stand there.
    SlowZone(f64),
    /// Machines of kind 1 are this many times slower, and the first trial machines are of it.
    SlowKind(f64),
    /// One machine of the trial's first two fails this share of what it gets, for the span given.
    SickMachine(f64, Micros),
    /// This part of the new machines, by lot, fails the share given from its start for the span given.
    SickPart(f64, f64, Micros),
    /// Every machine fails this share in runs of a second, every three seconds.
    Runs(f64),
    /// A dependency slows every machine so many times, for the span given.
    SharedSlow(f64, Micros),
    /// Earlier machines fail this share, new ones do too.
    EarlierErrs(f64),
    /// Every front restarts with empty knowledge once the second stage is up.
    Restart,
    /// Load reports are frozen, missing, zero, absurd or not a number, by machine.
    Reports,
}

/// One world: a fleet, its traffic, the build offered and the trouble beside it.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Fronts.
    pub fronts: u32,
    /// Places for machines.
    pub places: u32,
    /// Zones, over which places are spread evenly.
    pub zones: u16,
    /// Kinds of machine, spread evenly.
    pub kinds: u8,
    /// Cores of a machine.
    pub cores: u32,
    /// Requests a second of the whole fleet.
    pub rate: f64,
    /// How a stage moves.
    pub mode: VoteMode,
    /// Fronts that send a build back.
    pub back_votes: u32,
    /// Fronts that move a stage on.
    pub on_votes: u32,
    /// Speed of the offered build, as a multiple of the earlier one's.
    pub speed: f64,
    /// What is wrong with it.
    pub fault: Option<Fault>,
    /// What else goes wrong.
    pub trouble: Trouble,
    /// Coefficient of variation of the machines' speeds.
    pub speed_cv: f64,
    /// When the build is offered.
    pub offered: Micros,
    /// The world ends here at the latest.
    pub length: Micros,
    /// A released build is watched for so long.
    pub watched: Micros,
}

/// Part of its capacity with which a machine starts.
pub const COLD_FROM: f64 = 0.35;
/// Time by which a started machine is warm.
pub const WARM_AFTER: Micros = 5 * S;
/// Mean work of each class, in microseconds on one core, and its share of the requests.
pub const CLASSES: [(Micros, f64); 3] = [(30 * MS, 0.48), (45 * MS, 0.30), (40 * MS, 0.22)];
/// The class that has an effect: comments, 22 % of the traffic.
pub const COMMENTS: usize = 2;

impl Scenario {
    /// A quiet world of `fronts` fronts, each with some requests a second, sized to a medium load.
    pub fn plain(fronts: u32, rng: &mut impl Rng) -> Self {
        let (rate, cores) = if fronts > 60 { (f64::from(fronts) * 8.0, 4) } else { (320.0, 2) };
        let work: f64 = CLASSES.iter().map(|c| c.0 as f64 / 1e6 * c.1).sum();
        let load = rng.gen_range(0.45..0.60);
        let places = (rate * work / load / f64::from(cores)).round().max(12.0) as u32;
        Self {
            fronts,
            places,
            zones: 3,
            kinds: 2,
            cores,
            rate,
            mode: VoteMode::Quorum,
            back_votes: 1.max(fronts / 12),
            on_votes: fronts.div_ceil(2),
            speed: rng.gen_range(0.9..1.1),
            fault: None,
            trouble: Trouble::None,
            speed_cv: rng.gen_range(0.05..0.2),
            offered: 7 * S,
            length: 70 * S,
            watched: 12 * S,
        }
    }

    /// The settings that front `me` starts with.
    pub fn settings(&self, me: u32) -> Settings {
        let class = |i: usize| Class {
            latency_target: 800 * MS,
            deadline: 2 * S,
            latency_target_per_work: 0.0,
            idempotency: if i == COMMENTS { Idempotency::AtMostOnce } else { Idempotency::Idempotent },
            dedup_scope: DedupScope::All,
            dedup_window: 5 * S,
            late_worth: 0.0,
            worth: 1.0,
            streamed: false,
        };
        Settings {
            classes: (0..CLASSES.len()).map(class).collect(),
            tenants: vec![],
            front_id: me,
            fronts: self.fronts,
            zone: (me % u32::from(self.zones)) as u16,
            pulls_list: false,
            list_heartbeats: false,
            list_counts_unsubscribed: false,
            over_share_worth: 0.1,
            report_fields: vec![LoadField::MeanServiceMs],
            report_source: ReportSource::Responses,
            min_batch_gap: 5 * MS,
            max_attempts: 3,
            max_retry_after: S,
            sends_retry_after: true,
            allows_hedging: false,
            allows_cancel: true,
            allows_peer_messages: false,
            allows_probes: false,
            answer_slack: 20 * MS,
            cold_start_capacity: COLD_FROM,
            warm_up_time: WARM_AFTER,
            drain_grace: 500 * MS,
            cold_budget_window: 1_500 * MS,
            cold_overload_factor: 4.0,
            list_refresh_interval: 10 * S,
            cross_zone_price: 0.0,
            release: Release {
                mode: self.mode,
                rollback_votes: self.back_votes,
                advance_votes: self.on_votes,
                hold_votes: 1.max(self.fronts / 5),
                min_stage_time: 2 * S,
                stage_time: 3_500 * MS,
                vote_timeout: 1_200 * MS,
                vote_rate_limit: 40.0,
                vote_lifetime: 6 * S,
                status_period: 2 * S,
                caps: vec![0.16, 0.5, 1.0, 1.0],
                stage_shares: vec![0.08, 0.25, 0.6, 1.0],
                exposure_window: 2 * S,
                free_attempts: 3.0,
                counts_by_class: false,
                guarded_stages: 1,
                forward_only: false,
                keeps_old_machines: false,
                complaint_share: 0.0,
                tally_sample_share: 0.0,
                tally_period: 0,
            },
            error_rates: None,
        }
    }
}
