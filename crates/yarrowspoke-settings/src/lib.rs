//! Parses the settings of an instance from the JSON of its first message.
//!
//! Absent keys take the protocol's defaults for "unspecified"; unknown keys are ignored.

use serde::Deserialize;
use yarrowspoke::interface as api;

/// Error of settings that cannot be parsed; it names the field.
pub type SettingsError = serde_path_to_error::Error<serde_json::Error>;

/// The parsed settings object.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Settings of the decision module.
    pub module: api::Settings,
    /// Names of the positions by which the module refers to classes, tenants, zones and kinds.
    pub names: Names,
    /// Transport settings, which the module does not use.
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

/// Transport settings; times are in microseconds, 0 = unspecified.
#[derive(Clone, Copy, Debug, Default)]
pub struct Transport {
    /// Time after which a machine closes an idle connection.
    pub idle: u64,
    /// Time within which a connection must be established.
    pub connect_timeout: u64,
    /// Whether the list that discovery holds counts as delivered even if it was not requested.
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

/// Parses the settings of an instance from JSON text.
pub fn parse(json: &[u8]) -> Result<Settings, SettingsError> {
    deserialize(&mut serde_json::Deserializer::from_slice(json))
}

/// Parses the settings of an instance from a JSON value.
pub fn from_value(value: &serde_json::Value) -> Result<Settings, SettingsError> {
    deserialize(value)
}

fn deserialize<'de, D>(deserializer: D) -> Result<Settings, serde_path_to_error::Error<D::Error>>
where
    D: serde::Deserializer<'de>,
{
    let env: Env = serde_path_to_error::deserialize(deserializer)?;
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
        list_counts_unsubscribed: false,
        over_share_worth: env.over_share_worth,
        report_fields: env.report.fields.iter().map(|f| load_field(f)).collect(),
        report_source: match env.report.source.as_str() {
            // If unspecified, load reports arrive with responses.
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

fn class(class: &Class) -> api::Class {
    api::Class {
        latency_target: class.aim_us,
        deadline: class.deadline_us,
        latency_target_per_work: class.aim_stretch,
        idempotency: match class.effect.as_str() {
            "repeatable" => api::Idempotency::Idempotent,
            "by_key" => api::Idempotency::Keyed,
            _ => api::Idempotency::AtMostOnce,
        },
        dedup_scope: match class.dedup_scope.as_str() {
            "all" => api::DedupScope::All,
            "zone" => api::DedupScope::Zone,
            _ => api::DedupScope::Cell,
        },
        dedup_window: class.window_us,
        late_worth: class.late_worth,
        worth: class.worth,
        streamed: class.streamed,
    }
}

fn tenant(tenant: &Tenant) -> api::Tenant {
    api::Tenant { quota_rps: tenant.quota_rps, share: tenant.share }
}

fn load_field(name: &str) -> api::LoadField {
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

fn release(domain: Domain) -> api::Release {
    api::Release {
        mode: match domain.vote_mode.as_str() {
            "first_voice" => api::VoteMode::FirstVote,
            "automatic" => api::VoteMode::Automatic,
            _ => api::VoteMode::Quorum,
        },
        rollback_votes: domain.to_abort,
        advance_votes: domain.ayes_needed,
        hold_votes: domain.to_pause,
        min_stage_time: domain.least_stage_us,
        stage_time: domain.moves_after_us,
        vote_timeout: domain.call_timeout_us,
        vote_rate_limit: domain.votes_per_s,
        vote_lifetime: domain.vote_stands_us,
        status_period: domain.news_period_us,
        caps: domain.exposure_caps,
        stage_shares: domain.stage_share,
        exposure_window: domain.exposure_window_us,
        free_attempts: domain.spare_tries,
        counts_by_class: domain.counted_by == "each_class",
        guarded_stages: domain.guarded_stages,
        forward_only: domain.forward_only,
        keeps_old_machines: domain.style == "parallel",
        complaint_share: domain.flag_share,
        tally_sample_share: domain.sampled_share,
        tally_period: domain.tally_every_us,
    }
}
