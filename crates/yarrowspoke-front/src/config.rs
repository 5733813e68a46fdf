//! The configuration file, read into a typed value; an error names the field.

use crate::check;
use crate::input::Addresses;
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
        /// Where it should be.
        path: String,
        /// What went wrong.
        source: std::io::Error,
    },
    /// A field is missing or has no sense.
    #[error("configuration field {field}: {why}")]
    Field {
        /// The field.
        field: String,
        /// What is wrong with it.
        why: String,
    },
}

impl ConfigError {
    fn field(field: &str, why: impl ToString) -> Self {
        Self::Field { field: field.to_owned(), why: why.to_string() }
    }
}

/// Limits under which this front runs.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    /// File descriptors that it may hold.
    pub sockets: usize,
    /// Memory in MB.
    #[serde(default = "ample")]
    pub memory_mb: usize,
}

fn ample() -> usize {
    192
}

impl Limits {
    /// Bytes that large bodies may hold together: an eighth of the memory.
    pub fn body_memory(&self) -> usize {
        self.memory_mb * (1024 * 1024 / 8)
    }
}

/// All that this front is told when it starts.
#[derive(Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// Limits of its machine.
    pub limits: Limits,
    /// Where peers' messages arrive.
    pub peer_listen: Option<SocketAddr>,
    /// Where each front of the tier is reached, by number.
    pub peers: Vec<SocketAddr>,
    /// Where all of them are reached at once.
    pub peers_all: Option<SocketAddr>,
    /// Where the platform is.
    pub platform: Option<SocketAddr>,
    /// State of the newest build as last told.
    pub rollout_status: Option<RolloutState>,
    /// The list of machines as last held.
    pub initial_list: ListResponse,
    /// The settings that the simulator would hand over.
    pub settings: Settings,
    /// Settings that are only watched: what they would have changed is counted.
    pub shadow_settings: Option<Settings>,
}

/// The list held stays text until its lines are read one by one. Danger: taken apart at once it is ten times its size, and that
/// memory a front never gets back.
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
    /// Where the parties are that a front may be told to reach elsewhere while it runs.
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
    let settings = settings_of("settings", &file.settings)?;
    let shadow_settings = match &file.watch {
        Some(over) => Some(watched(&settings, &file.settings, over)?),
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

/// Reads settings, and checks those of them in which a slip would pass unnoticed.
fn settings_of(at: &str, value: &serde_json::Value) -> Result<Settings, ConfigError> {
    let field = |path: &str| format!("{at}.{path}");
    let mut settings = yarrowspoke_settings::from_value(value).map_err(|e| {
        let path = field(&e.path().to_string());
        ConfigError::field(&path, e.into_inner())
    })?;
    // Whether the platform calls it pushed or asked for, on sockets the list comes to those only who watch it.
    settings.module.pulls_list = true;
    // A watch answers at the end of each wait, also where nothing changed.
    settings.module.list_heartbeats = true;
    let module = &settings.module;
    if module.classes.is_empty() {
        return Err(ConfigError::field(&field("Classes"), "at least one class is needed"));
    }
    let source = value.pointer("/Report/Source").and_then(|s| s.as_str()).unwrap_or("answers");
    if !["answers", "probe", "none"].contains(&source) {
        let why = format!("{source:?}, expected \"answers\", \"probe\" or \"none\"");
        return Err(ConfigError::field(&field("Report.Source"), why));
    }
    if source == "probe" && !module.allows_probes {
        return Err(ConfigError::field(
            &field("Bounds.Probes"),
            "true is expected where reports come by probes",
        ));
    }
    check::words(value).and_then(|()| check::figures(&settings)).map_err(|f| {
        let path = field(&f.path);
        ConfigError::field(&path, f.why)
    })?;
    Ok(settings)
}

/// The settings with what is watched laid over them. Names and positions stay: what is counted would else be that
/// requests and machines are called otherwise.
fn watched(
    settings: &Settings,
    value: &serde_json::Value,
    over: &serde_json::Value,
) -> Result<Settings, ConfigError> {
    let mut merged = value.clone();
    lay_over(&mut merged, over);
    let watched = settings_of("watch", &merged)?;
    if watched.names != settings.names {
        let why = "classes, tenants, zones, kinds and report fields must be named as in settings";
        return Err(ConfigError::field("watch", why));
    }
    Ok(watched)
}

fn lay_over(base: &mut serde_json::Value, over: &serde_json::Value) {
    match (base, over) {
        (serde_json::Value::Object(base), serde_json::Value::Object(over)) => {
            for (key, value) in over {
                lay_over(base.entry(key.clone()).or_insert(serde_json::Value::Null), value);
            }
        }
        (base, over) => *base = over.clone(),
    }
}
