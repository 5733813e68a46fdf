//! Assembles the parts of a front and runs them until the process is stopped by a signal.

use crate::classify::{self, Classifier};
use crate::config::{self, Config, ConfigError};
use crate::descriptor_budget::DescriptorBudget;
use crate::driver::{Driver, RemoteServices};
use crate::event_bus::EventBus;
use crate::fleet_member::{self, Member};
use crate::input::{Input, Row};
use crate::ledger_writer::{self, LedgerWriter};
use crate::net::client_listener::{self, ClientListener};
use crate::net::list::Discovery;
use crate::net::machines::Machines;
use crate::net::micros_to_duration;
use crate::net::peers::Peers;
use crate::shutdown::STOP_GRACE;
use async_executor::LocalExecutor;
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::{future, StreamExt};
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;
use yarrowspoke_fleet::settings::{Fleet, Role};
use yarrowspoke_operator::rules::Rules;
use yarrowspoke_operator::store::StoreSettings;
use yarrowspoke_operator::OperatorError;
use yarrowspoke_settings::Settings;
use yarrowspoke_store::disk::Dir;
use yarrowspoke_store::snapshot::{trust, Trust, TrustBounds};
use yarrowspoke_store::store::Store;
use yarrowspoke_store::writer;

/// Descriptors reserved for standard streams, the reactor, the listener, peers, discovery and the platform.
const RESERVED_DESCRIPTORS: usize = 28;
/// Largest difference between the clocks of one deployment, in microseconds.
const MAX_CLOCK_SKEW: u64 = 2_000_000;
/// Interval at which a stop checks whether all clients have disconnected.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The files that configure a front, read at its start and again on each reload signal.
#[derive(Clone, Debug)]
pub struct ConfigFiles {
    /// Path of the configuration.
    pub config: PathBuf,
    /// Path of the operator's file, if there is one.
    pub operator: Option<PathBuf>,
}

/// Why a front's files cannot be used.
#[derive(Debug, Error)]
pub enum ConfigFilesError {
    /// The configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The operator's file is invalid.
    #[error("operator's file:\n{0}")]
    Operator(#[from] OperatorError),
    /// The operator's file does not list this front as a member.
    #[error("{path}: section fleet: found no front {name:?} among its members, which is this front's name")]
    Member {
        /// Path of the operator's file.
        path: String,
        /// The front's name.
        name: String,
    },
}

fn check_member(fleet: &Fleet, name: &str, path: &std::path::Path) -> Result<(), ConfigFilesError> {
    let is_front = fleet.member(name).is_some_and(|m| m.role == Role::Front);
    let (path, name) = (path.display().to_string(), name.to_owned());
    if is_front {
        Ok(())
    } else {
        Err(ConfigFilesError::Member { path, name })
    }
}

impl ConfigFiles {
    /// Reads both files as one unit: an error in either means that neither is applied. Rules are bound to the `running`
    /// settings, or to those just read if there are none.
    pub fn read(&self, running: Option<&Settings>) -> Result<Setup, ConfigFilesError> {
        let mut config = config::load(&self.config)?;
        let (mut rules, mut store, mut fleet) = (None, None, None);
        if let Some(path) = &self.operator {
            let operator = yarrowspoke_operator::load(path)?;
            config.settings.module.error_rates = operator.error_rates;
            rules = operator.rules;
            store = operator.store;
            fleet = operator.fleet.map(|f| f.fleet);
            if let Some(fleet) = &fleet {
                check_member(fleet, &config.name, path)?;
            }
            if let Some(rules) = &mut rules {
                let context = classify::rule_context(running.unwrap_or(&config.settings));
                let path = path.display().to_string();
                rules.bind(&context).map_err(|faults| OperatorError::Faults { path, faults })?;
            }
        }
        Ok(Setup { config, rules, store, fleet })
    }
}

/// The decoded contents of a front's files.
#[derive(Debug)]
pub struct Setup {
    /// The configuration, including the settings from the operator's file.
    pub config: Config,
    /// The operators' rules, bound to the settings.
    pub rules: Option<Rules>,
    /// Settings of the store that survives restarts. Fixed at the start; a reload does not change them.
    pub store: Option<StoreSettings>,
    /// The fleet that the front belongs to. Its members are fixed at the start; a reload changes limits only.
    pub fleet: Option<Fleet>,
}

/// Opens the store, starts its writer, and loads the stored machine list as far as it can be trusted.
fn open_store(settings: StoreSettings, config: &Config) -> io::Result<(LedgerWriter, Option<Vec<Row>>)> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64);
    let dir = Dir::open(&settings.directory)?;
    let new_store_id = u128::from(config.seed) << 64 | u128::from(now);
    let (store, report) =
        Store::open(&dir, new_store_id, settings.max_bytes, now).map_err(io::Error::other)?;
    log::info!("store: {report:?}");
    let names = &config.settings.names;
    let bounds = TrustBounds {
        full_trust_age: settings.full_trust_age,
        no_trust_age: settings.no_trust_age,
        max_clock_skew: MAX_CLOCK_SKEW,
    };
    let rows = match store.snapshot().map_err(io::Error::other)? {
        None => None,
        Some(known) => match trust(&known, now, &ledger_writer::deployment(names), 0, &bounds) {
            Trust::None(why) => {
                log::warn!("store: the stored list is not used: {why}");
                None
            }
            trusted => {
                log::info!("store: a list of {} machines is stored: {trusted:?}", known.machines.len());
                Some(ledger_writer::snapshot_rows(&known, names))
            }
        },
    };
    let (handle, _) = writer::start(store, dir, Duration::from_micros(settings.group_delay))?;
    Ok((LedgerWriter::new(handle, settings, &config.settings), rows))
}

/// Signal streams; signals that arrive before the front serves are queued until it does.
#[derive(Debug)]
pub struct SignalHandlers {
    stop: Signals,
    reload: Signals,
}

impl SignalHandlers {
    /// Installs the signal handlers.
    pub fn install() -> io::Result<Self> {
        Ok(Self { stop: Signals::new([Signal::Term, Signal::Int])?, reload: Signals::new([Signal::Hup])? })
    }
}

/// Runs a front until it is stopped; `files` are read again on each reload signal.
pub fn run(setup: Setup, files: ConfigFiles, signals: SignalHandlers) -> io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(serve(setup, files, signals, Rc::clone(&executor))))
}

async fn serve(
    setup: Setup,
    files: ConfigFiles,
    signals: SignalHandlers,
    executor: Rc<LocalExecutor<'static>>,
) -> io::Result<()> {
    let Setup { config, rules, store, fleet } = setup;
    let SignalHandlers { stop: mut stop_signals, reload: reload_signals } = signals;
    let listener = client_listener::bind(config.listen)?;
    let descriptors = DescriptorBudget::new(config.limits.sockets.saturating_sub(RESERVED_DESCRIPTORS));
    let classifier = Classifier::new(config.seed);
    classifier.load(rules);
    let (ledger, stored_rows) = match store {
        Some(settings) => open_store(settings, &config)?,
        None => (LedgerWriter::default(), None),
    };
    let body_memory = config.limits.body_memory();
    let discovery = {
        let (names, refresh_interval) =
            (config.settings.names.clone(), config.settings.module.list_refresh_interval);
        Discovery::new(config.discovery, names, config.initial_list.index, refresh_interval)
    };
    let member = fleet.map(|fleet| {
        let bounds = &config.settings.module;
        let retry_after = if bounds.sends_retry_after { bounds.max_retry_after } else { 0 };
        let digests = fleet_member::digests(&files.config, files.operator.as_deref());
        Member::new(fleet, &config.name, digests, Rc::clone(&discovery), retry_after)
    });
    let (event_bus, inputs) = EventBus::new(
        &config.settings,
        Rc::clone(&descriptors),
        body_memory,
        Rc::clone(&classifier),
        ledger,
        member.clone(),
    );
    let module = &config.settings.module;
    let peers = match config.peer_listen.filter(|_| module.allows_peer_messages) {
        Some(listen) => Some(Peers::bind(listen, config.peers, config.peers_all)?),
        None => None,
    };
    let remotes = RemoteServices {
        executor: Rc::clone(&executor),
        machines: Machines::new(
            Rc::clone(&descriptors),
            config.settings.transport,
            config.limits.answer_memory(),
        ),
        discovery,
        platform: config.platform,
        peers: peers.clone(),
    };
    let settings_summary = format!("settings: {:?} {:?}", config.settings.module, config.settings.transport);
    let running = config.settings.clone();
    let rollout_status = config.rollout_status.map(|s| s.to_status(false));
    // The configured list comes from the platform and takes precedence; without one, the list that this front stored is used.
    let rows = match stored_rows {
        Some(rows) if config.initial_list.rows.is_empty() => (0, rows),
        _ => (config.initial_list.index, config.initial_list.rows),
    };
    let mut driver =
        Driver::start(config.seed, config.settings, rows, rollout_status, Rc::clone(&event_bus), remotes);
    if let Some(shadow) = config.shadow_settings {
        driver.enable_shadow_settings(shadow.module);
    }
    if let Some(peers) = peers {
        executor.spawn(peers.listen(event_bus.inputs.clone())).detach();
    }
    if let Some(member) = &member {
        fleet_member::start(member, &executor, &event_bus.inputs);
    }
    executor.spawn(reload(reload_signals, files, running, Rc::clone(&event_bus))).detach();
    executor.spawn(client_listener::close_idle_when_low(Rc::clone(&event_bus))).detach();
    let client_listener = Rc::new(ClientListener::new(listener, Rc::clone(&event_bus), Rc::clone(&executor)));
    executor.spawn(Rc::clone(&client_listener).serve()).detach();
    log::info!("{settings_summary}");
    log::info!("{} serves on {}", config.name, config.listen);
    let stop = async {
        stop_signals.next().await;
        log::info!("stopping: {} client connections", descriptors.in_use().0);
        event_bus.begin_stop().await;
        Timer::after(micros_to_duration(STOP_GRACE)).await;
        // Connections that wait to be accepted may already carry a request and are reset when the process exits.
        while client_listener.accept_waiting() || descriptors.in_use().0 > 0 {
            Timer::after(STOP_CHECK_INTERVAL).await;
        }
        log::info!("stopped");
    };
    future::or(driver.run(inputs), stop).await;
    Ok(())
}

/// Reloads the files on each reload signal. An unhandled signal would end the process, and a half-written file must not
/// remove addresses that still serve, so the files are applied as a whole or not at all; requests, the decision module's
/// state and idle connections are kept.
async fn reload(mut reload_signals: Signals, files: ConfigFiles, running: Settings, event_bus: Rc<EventBus>) {
    while reload_signals.next().await.is_some() {
        match files.read(Some(&running)) {
            Ok(Setup { config, rules, fleet, .. }) => {
                if let Some(member) = &event_bus.member {
                    member.reload(fleet_member::digests(&files.config, files.operator.as_deref()), fleet);
                }
                event_bus.classifier.load(rules);
                let (addresses, rates) = (config.addresses(), config.settings.module.error_rates);
                log::info!("files read again: {addresses:?} {rates:?}");
                let _ = event_bus.inputs.send(Input::ErrorRatesChanged(rates)).await;
                let _ = event_bus.inputs.send(Input::AddressesChanged(addresses)).await;
            }
            Err(e) => log::error!("the old configuration stays: {e}"),
        }
    }
}
