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
        me: env.me,
        fronts: env.peers_total,
        zone: env.zone,
        ask_list: env.membership_mode == "ask",
        list_heartbeats: false,
        over_share_worth: env.over_share_worth,
        report_fields: env.report.fields.iter().map(|f| field(f)).collect(),
        report_source: match env.report.source.as_str() {
            // Not said, reports come with answers.
            "answers" | "" => api::ReportSource::Answers,
            "probe" => api::ReportSource::Probe,
            _ => api::ReportSource::None,
        },
        quantum: env.quantum_us,
        max_attempts: env.bounds.max_attempts,
        max_retry_after: env.bounds.max_retry_after_us,
        retry_after: env.bounds.retry_after,
        second_copies: env.bounds.second_copies,
        may_cancel: env.bounds.may_cancel,
        peers: env.bounds.peers,
        probes: env.bounds.probes,
        answer_slack: env.safety.answer_slack_us,
        cold_from: env.safety.cold_from,
        warm_after: env.safety.warm_after_us,
        drain_grace: env.safety.drain_grace_us,
        fall: env.safety.fall_us,
        tip_multiple: env.safety.tip_multiple,
        ask_within: env.safety.ask_within_us,
        cross_zone_price: env.prices.cross_zone,
        release: release(env.domain),
        verdicts: None,
    }
}

fn class(c: &Class) -> api::Class {
    api::Class {
        aim: c.aim_us,
        deadline: c.deadline_us,
        aim_stretch: c.aim_stretch,
        effect: match c.effect.as_str() {
            "repeatable" => api::Effect::Repeatable,
            "by_key" => api::Effect::ByKey,
            _ => api::Effect::Once,
        },
        scope: match c.dedup_scope.as_str() {
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
        "depth" => api::LoadField::Depth,
        "load_share" => api::LoadField::LoadShare,
        "mean_ms" => api::LoadField::MeanMs,
        "tps" => api::LoadField::Tps,
        "err_ps" => api::LoadField::ErrPs,
        _ => api::LoadField::Unknown,
    }
}

fn release(d: Domain) -> api::Release {
    api::Release {
        mode: match d.vote_mode.as_str() {
            "first_voice" => api::VoteMode::FirstVoice,
            "automatic" => api::VoteMode::Automatic,
            _ => api::VoteMode::ByCount,
        },
        back_votes: d.to_abort,
        on_votes: d.ayes_needed,
        hold_votes: d.to_pause,
        least_stage: d.least_stage_us,
        moves_after: d.moves_after_us,
        call_timeout: d.call_timeout_us,
        votes_per_s: d.votes_per_s,
        vote_stands: d.vote_stands_us,
        news_period: d.news_period_us,
        caps: d.exposure_caps,
        shares: d.stage_share,
        window: d.exposure_window_us,
        free: d.spare_tries,
        by_class: d.counted_by == "each_class",
        guarded_stages: d.guarded_stages,
        forward_only: d.forward_only,
        parallel: d.style == "parallel",
        flag_share: d.flag_share,
        sampled_share: d.sampled_share,
        tally_every: d.tally_every_us,
    }
}
