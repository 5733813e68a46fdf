//! The settings of an instance, read from the JSON of its first message.
//!
//! Absent keys take the wire's own "nothing said" values; unknown keys are skipped.

use serde::Deserialize;
use yarrowspoke::interface as api;

/// Settings that cannot be read; it names the field.
pub type SettingsError = serde_path_to_error::Error<serde_json::Error>;

/// All that the settings object tells.
#[derive(Clone, Debug)]
pub struct Settings {
    /// What the decision module is told.
    pub module: api::Settings,
    /// Names behind the positions that the module counts in.
    pub names: Names,
    /// Figures of the transport, of which the module knows nothing.
    pub transport: Transport,
}

/// Names in the order of the settings' lists.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// Request classes.
    pub classes: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of machine.
    pub kinds: Vec<String>,
    /// Fields of a load report.
    pub load_fields: Vec<String>,
}

/// Figures of the transport, in microseconds; 0 = not said.
#[derive(Clone, Copy, Debug, Default)]
pub struct Transport {
    /// A machine closes connections that have stood idle for so long.
    pub idle: u64,
    /// A connection not established within this time has failed.
    pub connect_timeout: u64,
    /// What discovery has of the list counts as told, whether or not it was asked for.
    pub pushed: bool,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Bounds {
    conn_idle_us: u64,
    connect_timeout_us: u64,
    max_attempts: u32,
    max_retry_after_us: u64,
    may_cancel: bool,
    peers: bool,
    probes: bool,
    retry_after: bool,
    second_copies: bool,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Class {
    aim_us: u64,
    aim_stretch: f64,
    deadline_us: u64,
    dedup_scope: String,
    effect: String,
    late_worth: f64,
    name: String,
    streamed: bool,
    window_us: u64,
    worth: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Domain {
    ayes_needed: u32,
    call_timeout_us: u64,
    counted_by: String,
    exposure_caps: Vec<f64>,
    exposure_window_us: u64,
    flag_share: f64,
    forward_only: bool,
    guarded_stages: u8,
    least_stage_us: u64,
    moves_after_us: u64,
    news_period_us: u64,
    sampled_share: f64,
    spare_tries: f64,
    stage_share: Vec<f64>,
    style: String,
    tally_every_us: u64,
    to_abort: u32,
    to_pause: u32,
    vote_mode: String,
    vote_stands_us: u64,
    votes_per_s: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Report {
    fields: Vec<String>,
    source: String,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Safety {
    answer_slack_us: u64,
    ask_within_us: u64,
    cold_from: f64,
    drain_grace_us: u64,
    fall_us: u64,
    tip_multiple: f64,
    warm_after_us: u64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Tenant {
    name: String,
    quota_rps: f64,
    share: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Prices {
    cross_zone: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Env {
    bounds: Bounds,
    classes: Vec<Class>,
    domain: Domain,
    host_types: Vec<String>,
    localities: Vec<String>,
    me: u32,
    membership_mode: String,
    over_share_worth: f64,
    peers_total: u32,
    prices: Prices,
    quantum_us: u64,
    report: Report,
    safety: Safety,
    tenants: Vec<Tenant>,
    zone: u16,
}

/// Reads an instance's settings from their JSON text.
pub fn parse(json: &[u8]) -> Result<Settings, SettingsError> {
    read(&mut serde_json::Deserializer::from_slice(json))
}

/// Reads an instance's settings from JSON already taken apart.
pub fn from_value(value: &serde_json::Value) -> Result<Settings, SettingsError> {
    read(value)
}

fn read<'de, D>(from: D) -> Result<Settings, serde_path_to_error::Error<D::Error>>
where
    D: serde::Deserializer<'de>,
{
    let env: Env = serde_path_to_error::deserialize(from)?;
    let names = Names {
        classes: env.classes.iter().map(|c| c.name.clone()).collect(),
        tenants: env.tenants.iter().map(|t| t.name.clone()).collect(),
        zones: env.localities.clone(),
        kinds: env.host_types.clone(),
        load_fields: env.report.fields.clone(),
    };
    let transport = Transport {
        idle: env.bounds.conn_idle_us,
        connect_timeout: env.bounds.connect_timeout_us,
        pushed: env.membership_mode == "push",
    };
    Ok(Settings { module: module(env), names, transport })
}

fn module(env: Env) -> api::Settings {
    api::Settings {
        classes: env.classes.iter().map(class).collect(),
        tenants: env.tenants.iter().map(tenant).collect(),
        front_id: env.me,
        fronts: env.peers_total,
        zone: env.zone,
        pulls_list: env.membership_mode == "ask",
        list_heartbeats: false,
        over_share_worth: env.over_share_worth,
        report_fields: env.report.fields.iter().map(|f| field(f)).collect(),
        report_source: match env.report.source.as_str() {
            // Not said, reports come with answers.
            "answers" | "" => api::ReportSource::Responses,
            "probe" => api::ReportSource::Probes,
            _ => api::ReportSource::None,
        },
        min_batch_gap: env.quantum_us,
        max_attempts: env.bounds.max_attempts,
        max_retry_after: env.bounds.max_retry_after_us,
        sends_retry_after: env.bounds.retry_after,
        allows_hedging: env.bounds.second_copies,
        allows_cancel: env.bounds.may_cancel,
        allows_peer_messages: env.bounds.peers,
        allows_probes: env.bounds.probes,
        answer_slack: env.safety.answer_slack_us,
        cold_start_capacity: env.safety.cold_from,
        warm_up_time: env.safety.warm_after_us,
        drain_grace: env.safety.drain_grace_us,
        cold_budget_window: env.safety.fall_us,
        cold_overload_factor: env.safety.tip_multiple,
        list_refresh_interval: env.safety.ask_within_us,
        cross_zone_price: env.prices.cross_zone,
        release: release(env.domain),
        error_rates: None,
    }
}

fn class(c: &Class) -> api::Class {
    api::Class {
        latency_target: c.aim_us,
        deadline: c.deadline_us,
        latency_target_per_work: c.aim_stretch,
        idempotency: match c.effect.as_str() {
            "repeatable" => api::Idempotency::Idempotent,
            "by_key" => api::Idempotency::Keyed,
            _ => api::Idempotency::AtMostOnce,
        },
        dedup_scope: match c.dedup_scope.as_str() {
            "all" => api::DedupScope::All,
            "zone" => api::DedupScope::Zone,
            _ => api::DedupScope::Cell,
        },
        dedup_window: c.window_us,
        late_worth: c.late_worth,
        worth: c.worth,
        streamed: c.streamed,
    }
}

fn tenant(t: &Tenant) -> api::Tenant {
    api::Tenant { quota_rps: t.quota_rps, share: t.share }
}

fn field(name: &str) -> api::LoadField {
    match name {
        "concurrent" => api::LoadField::Concurrent,
        "depth" => api::LoadField::QueueDepth,
        "load_share" => api::LoadField::CpuUtilization,
        "mean_ms" => api::LoadField::MeanServiceMs,
        "tps" => api::LoadField::RequestsPerSecond,
        "err_ps" => api::LoadField::ErrorsPerSecond,
        _ => api::LoadField::Unknown,
    }
}

fn release(d: Domain) -> api::Release {
    api::Release {
        mode: match d.vote_mode.as_str() {
            "first_voice" => api::VoteMode::FirstVote,
            "automatic" => api::VoteMode::Automatic,
            _ => api::VoteMode::Quorum,
        },
        rollback_votes: d.to_abort,
        advance_votes: d.ayes_needed,
        hold_votes: d.to_pause,
        min_stage_time: d.least_stage_us,
        stage_time: d.moves_after_us,
        vote_timeout: d.call_timeout_us,
        vote_rate_limit: d.votes_per_s,
        vote_lifetime: d.vote_stands_us,
        status_period: d.news_period_us,
        caps: d.exposure_caps,
        stage_shares: d.stage_share,
        exposure_window: d.exposure_window_us,
        free_attempts: d.spare_tries,
        counts_by_class: d.counted_by == "each_class",
        guarded_stages: d.guarded_stages,
        forward_only: d.forward_only,
        keeps_old_machines: d.style == "parallel",
        complaint_share: d.flag_share,
        tally_sample_share: d.sampled_share,
        tally_period: d.tally_every_us,
    }
}
