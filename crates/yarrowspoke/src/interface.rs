//! What goes into and comes out of the decision module: settings, events and actions.
//!
//! Nothing here decides anything. Times are microseconds on the host's clock; positions of
//! classes, tenants, zones and kinds count from 0 in the settings' lists.

/// Microseconds, as a point in time or a span.
pub type Micros = u64;
/// A request, unique within one front's life.
pub type RequestId = u64;
/// A machine, the same at every front.
pub type MachineId = u32;
/// A digest of where discovery is reached; two fronts that reach it at one address name it alike.
pub type DiscoveryId = u32;
/// A build's number; later builds have higher ones.
pub type Build = u16;

/// How often a request of a class may take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Safe to repeat.
    Idempotent,
    /// Carries a key by which a group of machines drops repeats.
    Keyed,
    /// Must never run twice.
    AtMostOnce,
}

/// The machines that drop repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All machines.
    All,
    /// Machines of one zone.
    Zone,
    /// Machines of one cell.
    Cell,
}

/// How a stage advances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteMode {
    /// One 'on' suffices.
    FirstVote,
    /// A stated number of 'on' votes must stand.
    Quorum,
    /// The stage advances by the clock unless held.
    Automatic,
}

/// Where load reports travel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSource {
    /// Inside outcomes and probe results.
    Responses,
    /// Inside probe results only.
    Probes,
    /// Nowhere.
    None,
}

/// A value that a load report may carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadField {
    /// Requests being handled.
    Concurrent,
    /// Requests awaiting service.
    QueueDepth,
    /// Busy part of the CPU.
    CpuUtilization,
    /// Recent service time in milliseconds.
    MeanServiceMs,
    /// Requests served per second.
    RequestsPerSecond,
    /// Errors per second.
    ErrorsPerSecond,
    /// A field this version does not know.
    Unknown,
}

/// One class of request.
#[derive(Clone, Debug)]
pub struct Class {
    /// An answer inside this time earns full worth.
    pub latency_target: Micros,
    /// The client's whole waiting time.
    pub deadline: Micros,
    /// The aim grows by this multiple of the request's work.
    pub latency_target_per_work: f64,
    /// How often the request may take effect.
    pub idempotency: Idempotency,
    /// Group that drops repeats of a keyed request.
    pub dedup_scope: DedupScope,
    /// How long that group remembers.
    pub dedup_window: Micros,
    /// Part of the worth paid past the aim.
    pub late_worth: f64,
    /// Worth of a request.
    pub worth: f64,
    /// The answer is a stream.
    pub streamed: bool,
}

/// One tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second within its share, all fronts together.
    pub quota_rps: f64,
    /// Portion of the service allotted.
    pub share: f64,
}

/// All that a front is told when it starts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Request classes.
    pub classes: Vec<Class>,
    /// Tenants, possibly none.
    pub tenants: Vec<Tenant>,
    /// This front's number.
    pub front_id: u32,
    /// How many fronts there are.
    pub fronts: u32,
    /// This front's zone.
    pub zone: u16,
    /// The list must be asked for.
    pub pulls_list: bool,
    /// The host confirms a standing subscription every few seconds by a delta, also where nothing changed. Without this a
    /// subscription stands until it is said to have ended.
    pub list_heartbeats: bool,
    /// Worth of over-share requests as a part of their class's.
    pub over_share_worth: f64,
    /// Fields of a load report.
    pub report_fields: Vec<LoadField>,
    /// Where load reports travel.
    pub report_source: ReportSource,
    /// Least gap between batches.
    pub min_batch_gap: Micros,
    /// Attempts allowed for a request.
    pub max_attempts: u32,
    /// Longest wait that clients honour.
    pub max_retry_after: Micros,
    /// A time to come back reaches clients.
    pub sends_retry_after: bool,
    /// Two attempts of a request may be out together.
    pub allows_hedging: bool,
    /// `Cancel` is permitted.
    pub allows_cancel: bool,
    /// `Tell` is permitted.
    pub allows_peer_messages: bool,
    /// `Probe` is permitted.
    pub allows_probes: bool,
    /// Slack after the client's deadline.
    pub answer_slack: Micros,
    /// Part of capacity with which a machine starts.
    pub cold_start_capacity: f64,
    /// Time by which a started machine is warm.
    pub warm_up_time: Micros,
    /// Grace for drains and lower caps.
    pub drain_grace: Micros,
    /// Span of the cold budget.
    pub cold_budget_window: Micros,
    /// Multiple of present capacity that a cold machine stands.
    pub cold_overload_factor: f64,
    /// How long an unasked list stands for told.
    pub list_refresh_interval: Micros,
    /// Price for zone-crossing attempts.
    pub cross_zone_price: f64,
    /// The release's settings.
    pub release: Release,
    /// Rates of judging that the operators state; the module's own if none.
    pub error_rates: Option<ErrorRates>,
}

/// Rates of judging, for the whole fleet and a whole release.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ErrorRates {
    /// Chance that a good build is sent back.
    pub false_rollback: f64,
    /// Chance that a bad one is kept, where the time of the stages allows it to be found.
    pub missed_fault: f64,
    /// Least share above the earlier build's failures that counts as a fault.
    pub min_failure_increase: f64,
    /// Least multiple of the earlier build's pace that counts as one.
    pub min_slowdown: f64,
}

/// Settings of staged releases.
#[derive(Clone, Debug)]
pub struct Release {
    /// How a stage advances.
    pub mode: VoteMode,
    /// Fronts that send a build back.
    pub rollback_votes: u32,
    /// Fronts that move a stage on.
    pub advance_votes: u32,
    /// Fronts that hold the clock.
    pub hold_votes: u32,
    /// Least time of a stage.
    pub min_stage_time: Micros,
    /// Stage time under the clock.
    pub stage_time: Micros,
    /// Longest wait for a vote's answer.
    pub vote_timeout: Micros,
    /// Votes a second from all fronts.
    pub vote_rate_limit: f64,
    /// How long a vote stands.
    pub vote_lifetime: Micros,
    /// Period of unasked news.
    pub status_period: Micros,
    /// Cap for each stage.
    pub caps: Vec<f64>,
    /// Part of the fleet's places for each stage.
    pub stage_shares: Vec<f64>,
    /// Span of the exposure count.
    pub exposure_window: Micros,
    /// Attempts free in each span.
    pub free_attempts: f64,
    /// The count is kept for each class by itself.
    pub counts_by_class: bool,
    /// Stages closed to requests with an effect.
    pub guarded_stages: u8,
    /// Keys answered by the new build stay with it.
    pub forward_only: bool,
    /// The earlier machines stay until the release.
    pub keeps_old_machines: bool,
    /// Part of wrong answers reported.
    pub complaint_share: f64,
    /// Part of attempts that tallies count.
    pub tally_sample_share: f64,
    /// Period of tallies; 0 = none.
    pub tally_period: Micros,
}

/// Where a machine stands in its life, as listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// Takes work.
    Ready,
    /// Finishes its work and takes none.
    Draining,
    /// Removed.
    Gone,
}

/// One line of the list.
#[derive(Clone, Debug)]
pub struct MachineEntry {
    /// Which machine.
    pub machine: MachineId,
    /// Its zone.
    pub zone: u16,
    /// Its kind.
    pub kind: u8,
    /// The build that it runs.
    pub build: Build,
    /// Its cell.
    pub cell: u16,
    /// Its state.
    pub state: MachineState,
    /// Size, as the settings' weights say.
    pub weight: f64,
    /// When it started; 0 = long ago.
    pub started_at: Micros,
}

/// What a list event holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// A call or the subscription failed.
    Failed,
    /// The whole list.
    Snapshot,
    /// Changed lines only.
    Delta,
    /// The whole list as last held before a start.
    Cached,
    /// A call or the subscription failed by an answer that cannot be used: discovery is at work, and may have told changes.
    Unreadable,
    /// Lines that the host has changed itself; no word of discovery's.
    Restricted,
    /// No lines: the host stood still, and what it was told meanwhile is still to be read.
    Stalled,
}

impl ListUpdate {
    /// A call or the subscription failed, whatever came of it.
    pub fn is_failure(self) -> bool {
        matches!(self, Self::Failed | Self::Unreadable)
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The machine gave an error.
    Error,
    /// Served.
    Ok,
    /// Sent back unseen.
    Rejected,
    /// No answer in time.
    Timeout,
    /// No connection.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// Cancelled.
    Cancelled,
    /// Not issued.
    NotSent,
}

/// Where a build stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// On trial.
    Trial,
    /// Going back.
    RollingBack,
    /// Released.
    Released,
    /// Withdrawn.
    Withdrawn,
}

/// News of the newest build.
#[derive(Clone, Copy, Debug)]
pub struct RolloutStatus {
    /// The newest build.
    pub build: Build,
    /// Its stage, from 0.
    pub stage: u8,
    /// Its phase.
    pub phase: Phase,
    /// The news answers a vote.
    pub is_vote_reply: bool,
    /// How the call went; unasked news is `Ok`.
    pub outcome: CallOutcome,
    /// Cap on exposure.
    pub cap: f64,
    /// Time since this state began.
    pub age: Micros,
}

/// A client's request.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: u8,
    /// Time before the client stops waiting.
    pub remaining: Micros,
    /// Its subject; 0 = none.
    pub key: u64,
    /// Its tenant.
    pub tenant: u32,
    /// Expected work.
    pub work_hint: Option<Micros>,
    /// Marked by the client as a repeat.
    pub is_retry: bool,
    /// What the operators' rules say of it.
    pub policy: RequestPolicy,
}

/// What the operators' rules say of a request. It only ever narrows: the guards go by the request's own class and key.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestPolicy {
    /// Never sent again once it may have run, whatever its class allows.
    pub at_most_once: bool,
    /// Most attempts, if fewer than the settings allow.
    pub max_attempts: Option<u32>,
    /// The class whose aim and worth count for it.
    pub value_class: Option<u8>,
    /// Its subject for its hash position, in place of its key.
    pub hash_key: Option<u64>,
    /// Machines of this zone are preferred.
    pub preferred_zone: Option<u16>,
    /// Machines of this kind are preferred.
    pub preferred_kind: Option<u8>,
    /// Time cut off what its client would wait.
    pub deadline_cut: Micros,
    /// It is refused, to come back after so long.
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
    /// How it ended.
    pub outcome: CallOutcome,
    /// The request is over.
    pub request_done: bool,
    /// Time since the send.
    pub duration: Micros,
    /// Load report, possibly empty.
    pub load_report: &'a [f32],
}

/// What a front is told.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// The list, or a part of it.
    List {
        /// What the entries are.
        kind: ListUpdate,
        /// Discovery's version of the list; nothing where the kind has none.
        version: u64,
        /// The lines.
        entries: &'a [MachineEntry],
    },
    /// Where discovery is. Where it has moved, the subscription at the old address has ended, and what its new one has counts
    /// as told before long.
    DiscoveryAddress {
        /// Names the address.
        discovery_id: DiscoveryId,
        /// It was elsewhere before; otherwise this is where it is from the start on.
        moved: bool,
    },
    /// A client's request.
    Request(Arrival),
    /// A streamed answer has begun.
    FirstByte {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u16,
    },
    /// A timer set by the front.
    Timer {
        /// The front's name for it.
        name: u64,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnd<'a>),
    /// A probe has ended.
    ProbeEnded {
        /// The machine.
        machine: MachineId,
        /// How it ended.
        outcome: CallOutcome,
        /// Time since it was sent.
        duration: Micros,
        /// Load report, possibly empty.
        load_report: &'a [f32],
    },
    /// A client called a served answer wrong.
    Complaint {
        /// The machine.
        machine: MachineId,
        /// The class.
        class: u8,
        /// Time since the attempt was sent.
        age: Micros,
    },
    /// A peer's message: untrusted.
    PeerMessage {
        /// The sender.
        from: u32,
        /// The content.
        bytes: &'a [u8],
    },
    /// News of a build, or a vote's answer.
    RolloutStatus(RolloutStatus),
    /// The platform's count for a build and class.
    PlatformTally {
        /// The build.
        build: Build,
        /// The class.
        class: u8,
        /// Attempts counted.
        count: u32,
        /// Those not served.
        failed: u32,
        /// Mean time of the rest.
        mean_time: Micros,
        /// Time since the period ended.
        age: Micros,
    },
    /// The client left.
    ClientLeft {
        /// The request.
        id: RequestId,
    },
}

/// A front's word on a build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Vote {
    /// Takes the vote away.
    Withdraw,
    /// Move on.
    Advance,
    /// Stop the clock.
    Hold,
    /// Send the build back.
    RollBack,
}

/// What a front wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// The machine.
        machine: MachineId,
        /// Time-out; 0 = until the client stops waiting.
        timeout: Micros,
    },
    /// Final answer: refused, a retry is harmless.
    Refuse {
        /// The request.
        id: RequestId,
        /// When to come back; 0 = not said.
        retry_after: Micros,
    },
    /// Final answer: failed.
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
    /// Ask once for the whole list.
    FetchList,
    /// Ask for a timer.
    Timer {
        /// The front's name for it.
        name: u64,
        /// Time from now.
        after: Micros,
    },
    /// Vote on a build.
    Vote {
        /// The build.
        build: Build,
        /// The stage meant.
        stage: u8,
        /// The verdict.
        vote: Vote,
    },
    /// Close idle connections to a machine.
    CloseIdle {
        /// The machine.
        machine: MachineId,
    },
    /// Send bytes to a peer, or to all.
    SendToPeer {
        /// The peer; `None` = all.
        peer: Option<u16>,
        /// The message.
        bytes: Vec<u8>,
    },
    /// A line for the operators.
    Log(String),
}
