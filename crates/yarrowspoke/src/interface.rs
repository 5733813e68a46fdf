//! The interface of the decision module: settings, events and actions.
//!
//! Nothing here makes decisions. Times are microseconds on the host's clock; classes, tenants, zones and kinds are
//! numbered from 0 in the order of the settings' lists.

/// Microseconds, as a point in time or a duration.
pub type Micros = u64;
/// A request, unique within one incarnation of a front.
pub type RequestId = u64;
/// A machine, identified alike by every front.
pub type MachineId = u32;
/// A digest of the address of discovery; fronts that reach it at the same address have the same one.
pub type DiscoveryId = u32;
/// A build's number; later builds have higher ones.
pub type Build = u16;

/// How often a request of a class may take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may be repeated.
    Idempotent,
    /// The request carries a key by which a group of machines drops repeats.
    Keyed,
    /// The request must never run twice.
    AtMostOnce,
}

/// The group of machines that drops repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All machines.
    All,
    /// Machines of one zone.
    Zone,
    /// Machines of one cell.
    Cell,
}

/// How a stage of a rollout advances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteMode {
    /// One vote to advance suffices.
    FirstVote,
    /// A stated number of votes to advance must be valid at the same time.
    Quorum,
    /// The stage advances by the clock unless it is held.
    Automatic,
}

/// How load reports reach the front.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSource {
    /// With responses and probe results.
    Responses,
    /// With probe results only.
    Probes,
    /// Load reports are not sent.
    None,
}

/// A value that a load report may carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadField {
    /// Requests being handled.
    Concurrent,
    /// Requests awaiting service.
    QueueDepth,
    /// Share of the CPU that is busy.
    CpuUtilization,
    /// Recent service time in milliseconds.
    MeanServiceMs,
    /// Requests served per second.
    RequestsPerSecond,
    /// Errors per second.
    ErrorsPerSecond,
    /// A field that this version does not know.
    Unknown,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// A response within this time earns the request's full worth.
    pub latency_target: Micros,
    /// The whole time that the client waits.
    pub deadline: Micros,
    /// The latency target grows by this multiple of the request's work.
    pub latency_target_per_work: f64,
    /// How often the request may take effect.
    pub idempotency: Idempotency,
    /// The group that drops repeats of a keyed request.
    pub dedup_scope: DedupScope,
    /// How long that group remembers a key.
    pub dedup_window: Micros,
    /// Share of the worth that a response after the latency target earns.
    pub late_worth: f64,
    /// The worth of a request.
    pub worth: f64,
    /// The response is a stream.
    pub streamed: bool,
}

/// A tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests per second within its share, over all fronts.
    pub quota_rps: f64,
    /// Share of the service allotted to it.
    pub share: f64,
}

/// The settings of a front, passed when it starts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Request classes.
    pub classes: Vec<Class>,
    /// Tenants, possibly none.
    pub tenants: Vec<Tenant>,
    /// The number of this front.
    pub front_id: u32,
    /// The number of fronts.
    pub fronts: u32,
    /// This front's zone.
    pub zone: u16,
    /// The list must be requested; otherwise it is pushed to the front.
    pub pulls_list: bool,
    /// The host confirms an open subscription every few seconds by a delta, even if nothing changed. Without this, a
    /// subscription is valid until the host reports its end.
    pub list_heartbeats: bool,
    /// Changes of the list count as received as soon as discovery can send them, whether or not a subscription is open.
    pub list_counts_unsubscribed: bool,
    /// Worth of requests beyond a tenant's share, as a share of their class's worth.
    pub over_share_worth: f64,
    /// Fields of a load report, in order.
    pub report_fields: Vec<LoadField>,
    /// How load reports reach the front.
    pub report_source: ReportSource,
    /// Minimum time between batches.
    pub min_batch_gap: Micros,
    /// Maximum number of attempts of a request.
    pub max_attempts: u32,
    /// The longest retry-after that clients honour.
    pub max_retry_after: Micros,
    /// A retry-after is passed on to clients.
    pub sends_retry_after: bool,
    /// Two attempts of a request may be in flight at the same time.
    pub allows_hedging: bool,
    /// [`Action::Cancel`] is permitted.
    pub allows_cancel: bool,
    /// [`Action::SendToPeer`] is permitted.
    pub allows_peer_messages: bool,
    /// [`Action::Probe`] is permitted.
    pub allows_probes: bool,
    /// Time allowed for a final answer after the client's deadline.
    pub answer_slack: Micros,
    /// Share of its capacity with which a machine starts.
    pub cold_start_capacity: f64,
    /// Time after its start at which a machine is warm.
    pub warm_up_time: Micros,
    /// Grace period after a machine starts to drain or a cap is lowered.
    pub drain_grace: Micros,
    /// Length of the window of the cold-start budget.
    pub cold_budget_window: Micros,
    /// Load that a cold machine withstands, as a multiple of its present capacity.
    pub cold_overload_factor: f64,
    /// Time after which a front must act on a change of the list even if it did not request the list; 0 if not given.
    pub list_refresh_interval: Micros,
    /// Cost of an attempt that crosses zones.
    pub cross_zone_price: f64,
    /// Settings of staged releases.
    pub release: Release,
    /// Error rates that the operators set; the module's defaults if there are none.
    pub error_rates: Option<ErrorRates>,
}

/// Error rates of judging a build, for the whole fleet and a whole release.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ErrorRates {
    /// Probability that a good build is rolled back.
    pub false_rollback: f64,
    /// Probability that a bad build is kept, where the stages are long enough to detect the fault.
    pub missed_fault: f64,
    /// Minimum increase over the earlier build's share of failures that counts as a fault.
    pub min_failure_increase: f64,
    /// Minimum multiple of the earlier build's service time that counts as a fault.
    pub min_slowdown: f64,
}

/// Settings of staged releases.
#[derive(Clone, Debug)]
pub struct Release {
    /// How a stage advances.
    pub mode: VoteMode,
    /// Number of votes that roll a build back.
    pub rollback_votes: u32,
    /// Number of votes that advance a stage.
    pub advance_votes: u32,
    /// Number of votes that stop the clock.
    pub hold_votes: u32,
    /// Minimum duration of a stage.
    pub min_stage_time: Micros,
    /// Duration of a stage that advances by the clock.
    pub stage_time: Micros,
    /// Maximum wait for the reply to a vote.
    pub vote_timeout: Micros,
    /// Votes per second, over all fronts.
    pub vote_rate_limit: f64,
    /// How long a vote is valid.
    pub vote_lifetime: Micros,
    /// Interval at which the rollout status is sent without a vote.
    pub status_period: Micros,
    /// The cap on exposure of each stage.
    pub caps: Vec<f64>,
    /// The share of the fleet's slots of each stage.
    pub stage_shares: Vec<f64>,
    /// Length of the window over which exposure is counted.
    pub exposure_window: Micros,
    /// Attempts per window that are allowed in addition to the cap.
    pub free_attempts: f64,
    /// Exposure is counted for each class separately.
    pub counts_by_class: bool,
    /// Number of first stages that are closed to requests with side effects.
    pub guarded_stages: u8,
    /// Keys that the new build has answered stay with it.
    pub forward_only: bool,
    /// The machines of the earlier build stay until the release.
    pub keeps_old_machines: bool,
    /// Share of wrong responses that clients report.
    pub complaint_share: f64,
    /// Share of attempts that the platform's tallies count.
    pub tally_sample_share: f64,
    /// Interval between tallies; 0 if there are none.
    pub tally_period: Micros,
}

/// The state of a machine, as listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// It accepts requests.
    Ready,
    /// It finishes its requests and accepts no new ones.
    Draining,
    /// It has been removed.
    Gone,
}

/// One entry of the list.
#[derive(Clone, Debug)]
pub struct MachineEntry {
    /// The machine.
    pub machine: MachineId,
    /// The machine's zone.
    pub zone: u16,
    /// The machine's kind.
    pub kind: u8,
    /// The build that the machine runs.
    pub build: Build,
    /// The machine's cell.
    pub cell: u16,
    /// The machine's state.
    pub state: MachineState,
    /// The machine's size, according to the settings' weights.
    pub weight: f64,
    /// When the machine started; 0 = long ago.
    pub started_at: Micros,
}

/// What a list event contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Nothing: a call or the subscription failed.
    Failed,
    /// The whole list.
    Snapshot,
    /// Changed entries only.
    Delta,
    /// The whole list as it was last known before a restart.
    Cached,
    /// Nothing: a call or the subscription failed with a response that cannot be used. Discovery is up, and may have
    /// sent changes.
    Unreadable,
    /// Entries that the host itself has changed; discovery did not send them.
    Restricted,
    /// No entries: the host was stalled, and has not yet read what was sent meanwhile.
    Stalled,
}

impl ListUpdate {
    /// Returns whether a call or the subscription failed.
    pub fn is_failure(self) -> bool {
        matches!(self, Self::Failed | Self::Unreadable)
    }
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The machine returned an error.
    Error,
    /// The machine served the request.
    Ok,
    /// The machine rejected the request without processing it.
    Rejected,
    /// There was no response within the time-out.
    Timeout,
    /// No connection could be made.
    ConnectFailed,
    /// The connection was broken.
    Reset,
    /// The attempt was cancelled.
    Cancelled,
    /// The attempt was not sent.
    NotSent,
}

/// The phase of a build's rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The build is on trial.
    Trial,
    /// The build is being rolled back.
    RollingBack,
    /// The build is released.
    Released,
    /// The build is withdrawn.
    Withdrawn,
}

/// The rollout status of the newest build.
#[derive(Clone, Copy, Debug)]
pub struct RolloutStatus {
    /// The newest build.
    pub build: Build,
    /// The stage of its rollout, from 0.
    pub stage: u8,
    /// The phase of its rollout.
    pub phase: Phase,
    /// The status is the reply to a vote.
    pub is_vote_reply: bool,
    /// The outcome of the call; `Ok` for a status sent without a vote.
    pub outcome: CallOutcome,
    /// The cap on exposure.
    pub cap: f64,
    /// Time since this status began.
    pub age: Micros,
}

/// A client's request.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// The request's id.
    pub id: RequestId,
    /// The request's class.
    pub class: u8,
    /// Time until the client stops waiting.
    pub remaining: Micros,
    /// The request's key; 0 = none.
    pub key: u64,
    /// The request's tenant.
    pub tenant: u32,
    /// Expected work.
    pub work_hint: Option<Micros>,
    /// The client marked it as a retry.
    pub is_retry: bool,
    /// What the operators' rules state for this request.
    pub policy: RequestPolicy,
}

/// What the operators' rules state for a request. A policy only restricts: guards use the request's own class and
/// key.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestPolicy {
    /// Never sent again once it may have run, whatever its class allows.
    pub at_most_once: bool,
    /// Maximum number of attempts, if lower than that of the settings.
    pub max_attempts: Option<u32>,
    /// The class whose latency target and worth apply to the request.
    pub value_class: Option<u8>,
    /// Determines the request's hash position in place of its key.
    pub hash_key: Option<u64>,
    /// Machines of this zone are preferred.
    pub preferred_zone: Option<u16>,
    /// Machines of this kind are preferred.
    pub preferred_kind: Option<u8>,
    /// Time subtracted from the client's deadline.
    pub deadline_cut: Micros,
    /// The request is refused with this retry-after.
    pub refuse_with_retry_after: Option<Micros>,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd<'a> {
    /// The request.
    pub id: RequestId,
    /// The attempt.
    pub attempt: u16,
    /// The machine.
    pub machine: MachineId,
    /// The outcome of the attempt.
    pub outcome: CallOutcome,
    /// The request is finished.
    pub request_done: bool,
    /// Time since the attempt was sent.
    pub duration: Micros,
    /// The load report, possibly empty.
    pub load_report: &'a [f32],
}

/// An event that the host passes to a front.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// The list of machines, or a part of it.
    List {
        /// What the entries are.
        kind: ListUpdate,
        /// Discovery's version of the list; meaningless for kinds that have none.
        version: u64,
        /// The earliest time at which discovery may have looked at its list for this response: the list is known to be
        /// current up to then, and for no later time.
        as_of: Micros,
        /// The entries.
        entries: &'a [MachineEntry],
    },
    /// The next list names these machines in lines that could not be decoded, so it says nothing of them.
    UndecodedMachines(&'a [MachineId]),
    /// The address of discovery. If it has moved, the subscription at the old address has ended, and the front must
    /// soon act on the list at the new one.
    DiscoveryAddress {
        /// Identifies the address.
        discovery_id: DiscoveryId,
        /// Discovery was at another address before; otherwise it has been at this one from the start.
        moved: bool,
    },
    /// A request of a client has arrived.
    Request(Arrival),
    /// The first byte of a streamed response has arrived.
    FirstByte {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u16,
    },
    /// A timer set by the front has expired.
    Timer {
        /// The front's identifier of the timer.
        name: u64,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnd<'a>),
    /// A probe has ended.
    ProbeEnded {
        /// The machine.
        machine: MachineId,
        /// The outcome of the probe.
        outcome: CallOutcome,
        /// Time since the probe was sent.
        duration: Micros,
        /// The load report, possibly empty.
        load_report: &'a [f32],
    },
    /// A client reported that a response was wrong.
    Complaint {
        /// The machine.
        machine: MachineId,
        /// The class.
        class: u8,
        /// Time since the attempt was sent.
        age: Micros,
    },
    /// A message of a peer, which is not trusted.
    PeerMessage {
        /// The sender.
        from: u32,
        /// The content.
        bytes: &'a [u8],
    },
    /// The rollout status of a build, or the reply to a vote.
    RolloutStatus(RolloutStatus),
    /// The platform's tally for a build and class.
    PlatformTally {
        /// The build.
        build: Build,
        /// The class.
        class: u8,
        /// Number of attempts counted.
        count: u32,
        /// Number of those that were not served.
        failed: u32,
        /// Mean time of the others.
        mean_time: Micros,
        /// Time since the tally's period ended.
        age: Micros,
    },
    /// The process is shutting down.
    Shutdown {
        /// Time from now after which the process may be killed, so that an answer may not reach its client any more.
        remaining: Micros,
    },
    /// The client has left.
    ClientLeft {
        /// The request.
        id: RequestId,
    },
}

/// A front's vote on a build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Vote {
    /// Withdraws the vote.
    Withdraw,
    /// Advances the stage.
    Advance,
    /// Stops the clock.
    Hold,
    /// Rolls the build back.
    RollBack,
}

/// What a front wants the host to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// The machine.
        machine: MachineId,
        /// Time-out of the attempt; 0 = until the client stops waiting.
        timeout: Micros,
    },
    /// Give the final answer: refused, and safe to retry.
    Refuse {
        /// The request.
        id: RequestId,
        /// When to retry; 0 = not stated.
        retry_after: Micros,
    },
    /// Give the final answer: failed.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u16,
    },
    /// Probe a machine.
    Probe {
        /// The machine.
        machine: MachineId,
    },
    /// Subscribe to the list, or stop.
    Subscribe(bool),
    /// Fetch the whole list once.
    FetchList,
    /// Set a timer.
    Timer {
        /// The front's identifier of the timer.
        name: u64,
        /// Time from now.
        after: Micros,
    },
    /// Cast a vote on a build.
    Vote {
        /// The build.
        build: Build,
        /// The stage that the vote applies to.
        stage: u8,
        /// The vote.
        vote: Vote,
    },
    /// Close idle connections to a machine.
    CloseIdle {
        /// The machine.
        machine: MachineId,
    },
    /// Send a message to one peer, or to all.
    SendToPeer {
        /// The peer; `None` = all.
        peer: Option<u16>,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Write a line to the log, for the operators.
    Log(String),
}
