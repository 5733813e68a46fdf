//! Reads the configuration file into a typed value. An error names the field.

use crate::check;
use crate::input::Addresses;
use crate::net::http::BODY_LIMIT;
use crate::net::list::{self, ListResponse};
use crate::net::platform::{self, RolloutState};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::path::Path;
use thiserror::Error;
use yarrowspoke_settings::Settings;

/// Why a configuration cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("configuration {path}: {source}")]
    File {
        /// Path of the file.
        path: String,
        /// Why it cannot be read.
        source: std::io::Error,
    },
    /// A field is missing or its value is not valid.
    #[error("configuration field {field}: {why}")]
    Field {
        /// Path of the field.
        field: String,
        /// Why its value is not valid.
        why: String,
    },
}

impl ConfigError {
    fn field(field: &str, why: impl ToString) -> Self {
        Self::Field { field: field.to_owned(), why: why.to_string() }
    }
}

/// Resource limits of this front.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    /// Number of file descriptors that it may open.
    pub sockets: usize,
    /// Memory in MB.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: usize,
}

fn default_memory_mb() -> usize {
    192
}

impl Limits {
    /// Returns the number of bytes that large bodies may occupy together: an eighth of the memory.
    pub fn body_memory(&self) -> usize {
        self.memory_mb * (1024 * 1024 / 8)
    }

    /// Returns the number of bytes that large answers may occupy together: an eighth of the memory, and one answer at
    /// least.
    pub fn answer_memory(&self) -> usize {
        self.body_memory().max(BODY_LIMIT)
    }
}

/// Configuration of a front, as read at its start.
#[derive(Debug)]
pub struct Config {
    /// Name of this front.
    pub name: String,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Resource limits.
    pub limits: Limits,
    /// Address on which messages from peers arrive.
    pub peer_listen: Option<SocketAddr>,
    /// Address of each front of the tier, by its number.
    pub peers: Vec<SocketAddr>,
    /// Address that reaches all fronts at once.
    pub peers_all: Option<SocketAddr>,
    /// Address of the platform.
    pub platform: Option<SocketAddr>,
    /// Last known state of the newest build.
    pub rollout_status: Option<RolloutState>,
    /// Last known list of machines.
    pub initial_list: ListResponse,
    /// Settings of the front, in the form in which the simulator passes them.
    pub settings: Settings,
    /// Settings that run in shadow mode only: decisions that they would have changed are counted.
    pub shadow_settings: Option<Settings>,
}

/// The configuration file. The list of machines stays text until its lines are parsed one by one: parsed at once it takes ten
/// times its size, and the front never gets that memory back.
#[derive(Deserialize)]
struct File<'a> {
    #[serde(default)]
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    limits: Limits,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    rollouts: Option<Rollouts>,
    #[serde(default, borrow)]
    known: Option<&'a RawValue>,
    settings: serde_json::Value,
    watch: Option<serde_json::Value>,
}

#[derive(Deserialize)]
struct Rollouts {
    address: SocketAddr,
    news: Option<platform::RolloutStateConfig>,
}

impl Config {
    /// Returns the addresses that a reload may change while the front runs.
    pub fn addresses(&self) -> Addresses {
        Addresses {
            discovery: self.discovery,
            platform: self.platform,
            peers: self.peers.clone(),
            peers_all: self.peers_all,
        }
    }
}

/// Reads the configuration file at `path`.
pub fn load(path: &Path) -> Result<Config, ConfigError> {
    let named = || path.display().to_string();
    let bytes = std::fs::read(path).map_err(|source| ConfigError::File { path: named(), source })?;
    parse(&bytes)
}

/// Reads a configuration from its JSON text.
pub fn parse(json: &[u8]) -> Result<Config, ConfigError> {
    let reader = &mut serde_json::Deserializer::from_slice(json);
    let file: File = serde_path_to_error::deserialize(reader).map_err(|e| {
        let field = e.path().to_string();
        ConfigError::field(&field, e.into_inner())
    })?;
    let seed = u64::from_str_radix(&file.seed, 16).map_err(|e| ConfigError::field("seed", e))?;
    let settings = read_settings("settings", &file.settings)?;
    let shadow_settings = match &file.watch {
        Some(over) => Some(merge_shadow_settings(&settings, &file.settings, over)?),
        None => None,
    };
    let initial_list = match file.known {
        None => ListResponse::default(),
        Some(raw) => {
            list::decode(raw.get().as_bytes(), &settings.names).map_err(|e| ConfigError::field("known", e))?
        }
    };
    let (platform, rollout_status) = file.rollouts.map_or((None, None), |r| (Some(r.address), r.news));
    let rollout_status = match rollout_status {
        Some(fields) => {
            Some(RolloutState::try_from(fields).map_err(|e| ConfigError::field("rollouts.news", e))?)
        }
        None => None,
    };
    Ok(Config {
        name: file.name,
        listen: file.listen,
        discovery: file.discovery,
        seed,
        limits: file.limits,
        peer_listen: file.peer_listen,
        peers: file.peers,
        peers_all: file.peers_all,
        platform,
        rollout_status,
        initial_list,
        settings,
        shadow_settings,
    })
}

/// Reads settings, and checks those in which a mistake would go unnoticed.
fn read_settings(section: &str, value: &serde_json::Value) -> Result<Settings, ConfigError> {
    let field = |path: &str| format!("{section}.{path}");
    let mut settings = yarrowspoke_settings::from_value(value).map_err(|e| {
        let path = field(&e.path().to_string());
        ConfigError::field(&path, e.into_inner())
    })?;
    // Whether the settings call the list pushed or pulled, over sockets a front gets it only by subscribing to it.
    settings.module.pulls_list = true;
    // A subscription is answered at the end of each long poll, even if nothing has changed.
    settings.module.list_heartbeats = true;
    settings.module.list_counts_unsubscribed = settings.transport.pushed;
    let module = &settings.module;
    if module.classes.is_empty() {
        return Err(ConfigError::field(&field("Classes"), "at least one class is required"));
    }
    let source = value.pointer("/Report/Source").and_then(|s| s.as_str()).unwrap_or("answers");
    if !["answers", "probe", "none"].contains(&source) {
        let why = format!("{source:?}, expected \"answers\", \"probe\" or \"none\"");
        return Err(ConfigError::field(&field("Report.Source"), why));
    }
    if source == "probe" && !module.allows_probes {
        return Err(ConfigError::field(
            &field("Bounds.Probes"),
            "expected true, since Report.Source is \"probe\"",
        ));
    }
    check::check_words(value).and_then(|()| check::check_values(&settings)).map_err(|fault| {
        let path = field(&fault.path);
        ConfigError::field(&path, fault.why)
    })?;
    Ok(settings)
}

/// Merges the section `watch` over the settings. Names and their positions must not differ; otherwise the counts would only
/// show that requests and machines have other names.
fn merge_shadow_settings(
    settings: &Settings,
    value: &serde_json::Value,
    over: &serde_json::Value,
) -> Result<Settings, ConfigError> {
    let mut merged = value.clone();
    merge_over(&mut merged, over);
    let shadow_settings = read_settings("watch", &merged)?;
    if shadow_settings.names != settings.names {
        let why = "classes, tenants, zones, kinds and report fields must have the same names as in settings";
        return Err(ConfigError::field("watch", why));
    }
    Ok(shadow_settings)
}

fn merge_over(base: &mut serde_json::Value, over: &serde_json::Value) {
    match (base, over) {
        (serde_json::Value::Object(base), serde_json::Value::Object(over)) => {
            for (key, value) in over {
                merge_over(base.entry(key.clone()).or_insert(serde_json::Value::Null), value);
            }
        }
        (base, over) => *base = over.clone(),
    }
}
