//! Puts the parts together and runs them until the program is told to stop.

use crate::classify::{self, Classifier};
use crate::config::{self, Config, ConfigError};
use crate::descriptor_budget::DescriptorBudget;
use crate::driver::{Driver, RemoteServices};
use crate::event_bus::EventBus;
use crate::fleet_member::{self, Member};
use crate::input::{Input, Row};
use crate::ledger_writer::{self, LedgerWriter};
use crate::net::clients::{self, ClientListener};
use crate::net::list::Discovery;
use crate::net::machines::Machines;
use crate::net::peers::Peers;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::{future, StreamExt};
use std::io;
use std::net::TcpListener;
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
use yarrowspoke_store::snapshot::{trust, Bounds, Trust};
use yarrowspoke_store::store::Store;
use yarrowspoke_store::writer;

/// Descriptors kept for standard streams, the reactor, the listener, peers, discovery and the platform.
const RESERVED: usize = 28;
/// New connections keep coming for a while after a stop has begun.
const STILL_COMING: Duration = Duration::from_millis(700);
/// Clocks of one deployment may be apart by so much.
const CLOCKS_APART: u64 = 2_000_000;
/// How often a stop looks whether all clients have gone.
const STOP_CHECK: Duration = Duration::from_millis(20);

/// The files that a front is told to run by, read at its start and again whenever it is told to.
#[derive(Clone, Debug)]
pub struct ConfigFiles {
    /// The configuration.
    pub config: PathBuf,
    /// The operator's file, if there is one.
    pub operator: Option<PathBuf>,
}

/// Why a front cannot run by its files.
#[derive(Debug, Error)]
pub enum ConfigFilesError {
    /// The configuration.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The operator's file.
    #[error("operator's file:\n{0}")]
    Operator(#[from] OperatorError),
    /// The operator's file names no such front.
    #[error("{path}: section fleet: found no front {name:?} among its members, which is this front's name")]
    Member {
        /// The file.
        path: String,
        /// The front's name.
        name: String,
    },
}

fn check_member(fleet: &Fleet, name: &str, path: &std::path::Path) -> Result<(), ConfigFilesError> {
    let front = fleet.member(name).is_some_and(|m| m.role == Role::Front);
    let (path, name) = (path.display().to_string(), name.to_owned());
    if front {
        Ok(())
    } else {
        Err(ConfigFilesError::Member { path, name })
    }
}

impl ConfigFiles {
    /// Reads both as one whole: a fault of either leaves nothing half told. Rules are bound to the settings that
    /// `running` goes by, or to those just read.
    pub fn read(&self, running: Option<&Settings>) -> Result<Setup, ConfigFilesError> {
        let mut config = config::load(&self.config)?;
        let (mut rules, mut store, mut fleet) = (None, None, None);
        if let Some(path) = &self.operator {
            let operator = yarrowspoke_operator::load(path)?;
            config.settings.module.error_rates = operator.verdicts;
            rules = operator.rules;
            store = operator.store;
            fleet = operator.fleet.map(|f| f.fleet);
            if let Some(fleet) = &fleet {
                check_member(fleet, &config.name, path)?;
            }
            if let Some(rules) = &mut rules {
                let world = classify::rule_context(running.unwrap_or(&config.settings));
                let path = path.display().to_string();
                rules.bind(&world).map_err(|faults| OperatorError::Faults { path, faults })?;
            }
        }
        Ok(Setup { config, rules, store, fleet })
    }
}

/// What the files of a front hold.
#[derive(Debug)]
pub struct Setup {
    /// The configuration, with what the operators state of the settings.
    pub config: Config,
    /// The operators' rules, bound to the settings.
    pub rules: Option<Rules>,
    /// What outlasts a restart, and where. It holds from the start; a reload changes nothing of it.
    pub store: Option<StoreSettings>,
    /// The fleet that it is a front of. Who its members are holds from the start; a reload changes limits only.
    pub fleet: Option<Fleet>,
}

/// Opens the store, starts its writer, and reads what the front knew as far as that is trusted.
fn open_store(settings: StoreSettings, config: &Config) -> io::Result<(LedgerWriter, Option<Vec<Row>>)> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64);
    let dir = Dir::open(&settings.directory)?;
    let fresh = u128::from(config.seed) << 64 | u128::from(now);
    let (store, report) = Store::open(&dir, fresh, settings.bytes, now).map_err(io::Error::other)?;
    log::info!("store: {report:?}");
    let names = &config.settings.names;
    let bounds = Bounds { fresh: settings.fresh, stale: settings.stale, ahead: CLOCKS_APART };
    let rows = match store.known().map_err(io::Error::other)? {
        None => None,
        Some(known) => match trust(&known, now, &ledger_writer::deployment(names), 0, &bounds) {
            Trust::None(why) => {
                log::warn!("store: the list kept is not used: {why}");
                None
            }
            trusted => {
                log::info!("store: a list of {} machines is kept: {trusted:?}", known.lines.len());
                Some(ledger_writer::snapshot_rows(&known, names))
            }
        },
    };
    let (hand, _) = writer::start(store, dir, Duration::from_micros(settings.delay))?;
    Ok((LedgerWriter::new(hand, settings, &config.settings), rows))
}

/// What a front is told by signals: those that come before it serves wait until it does.
#[derive(Debug)]
pub struct SignalHandlers {
    stop: Signals,
    reload: Signals,
}

impl SignalHandlers {
    /// Handles signals from now on.
    pub fn install() -> io::Result<Self> {
        Ok(Self { stop: Signals::new([Signal::Term, Signal::Int])?, reload: Signals::new([Signal::Hup])? })
    }
}

/// Runs a front to its end; `files` are read again when it is told to.
pub fn run(setup: Setup, files: ConfigFiles, told: SignalHandlers) -> io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(serve(setup, files, told, Rc::clone(&executor))))
}

async fn serve(
    setup: Setup,
    files: ConfigFiles,
    told: SignalHandlers,
    executor: Rc<LocalExecutor<'static>>,
) -> io::Result<()> {
    let Setup { config, rules, store, fleet } = setup;
    let SignalHandlers { stop: mut signals, reload: reloads } = told;
    let listener = Async::<TcpListener>::bind(config.listen)?;
    let places = DescriptorBudget::new(config.limits.sockets.saturating_sub(RESERVED));
    let classifier = Classifier::new(config.seed);
    classifier.load(rules);
    let (keeper, kept) = match store {
        Some(settings) => open_store(settings, &config)?,
        None => (LedgerWriter::default(), None),
    };
    let bodies = config.limits.body_memory();
    let discovery = {
        let (names, within) = (config.settings.names.clone(), config.settings.module.list_refresh_interval);
        Discovery::new(config.discovery, names, config.initial_list.index, within)
    };
    let member = fleet.map(|fleet| {
        let bounds = &config.settings.module;
        let back = if bounds.sends_retry_after { bounds.max_retry_after } else { 0 };
        let digests = fleet_member::digests(&files.config, files.operator.as_deref());
        Member::new(fleet, &config.name, digests, Rc::clone(&discovery), back)
    });
    let (hub, inputs) = EventBus::new(
        &config.settings,
        Rc::clone(&places),
        bodies,
        Rc::clone(&classifier),
        keeper,
        member.clone(),
    );
    let module = &config.settings.module;
    let peers = match config.peer_listen.filter(|_| module.allows_peer_messages) {
        Some(listen) => Some(Peers::bind(listen, config.peers, config.peers_all)?),
        None => None,
    };
    let outside = RemoteServices {
        executor: Rc::clone(&executor),
        machines: Machines::new(Rc::clone(&places), config.settings.transport),
        discovery,
        platform: config.platform,
        peers: peers.clone(),
    };
    let about = format!("settings: {:?} {:?}", config.settings.module, config.settings.transport);
    let running = config.settings.clone();
    let news = config.rollout_status.map(|s| s.to_status(false));
    // The configuration's list is the platform's word; without one, what this front knew itself is better than nothing.
    let rows = match kept {
        Some(rows) if config.initial_list.rows.is_empty() => (0, rows),
        _ => (config.initial_list.index, config.initial_list.rows),
    };
    let mut driver = Driver::start(config.seed, config.settings, rows, news, Rc::clone(&hub), outside);
    if let Some(watch) = config.shadow_settings {
        driver.enable_shadow_settings(watch.module);
    }
    if let Some(peers) = peers {
        executor.spawn(peers.listen(hub.inputs.clone())).detach();
    }
    if let Some(member) = &member {
        fleet_member::start(member, &executor, &hub.inputs);
    }
    executor.spawn(reload(reloads, files, running, Rc::clone(&hub))).detach();
    executor.spawn(clients::close_idle_when_low(Rc::clone(&hub))).detach();
    let door = Rc::new(ClientListener::new(listener, Rc::clone(&hub), Rc::clone(&executor)));
    executor.spawn(Rc::clone(&door).serve()).detach();
    log::info!("{about}");
    log::info!("{} serves on {}", config.name, config.listen);
    let stop = async {
        signals.next().await;
        log::info!("stopping: {} client connections", places.in_use().0);
        hub.begin_stop();
        Timer::after(STILL_COMING).await;
        // Danger: who waits to be accepted may have sent a request already, and is reset when the program ends.
        while door.accept_waiting() || places.in_use().0 > 0 {
            Timer::after(STOP_CHECK).await;
        }
        log::info!("stopped");
    };
    future::or(driver.run(inputs), stop).await;
    Ok(())
}

/// Reads the configuration again whenever told to. Danger: a signal that nobody handles ends the program, and a
/// file caught half written must not take addresses away that still serve. So it is read as one whole or not
/// at all; requests, the module's state and kept connections stay.
async fn reload(mut told: Signals, files: ConfigFiles, running: Settings, hub: Rc<EventBus>) {
    while told.next().await.is_some() {
        match files.read(Some(&running)) {
            Ok(Setup { config, rules, fleet, .. }) => {
                if let Some(member) = &hub.member {
                    member.reload(fleet_member::digests(&files.config, files.operator.as_deref()), fleet);
                }
                hub.classifier.load(rules);
                let (addresses, rates) = (config.addresses(), config.settings.module.error_rates);
                log::info!("files read again: {addresses:?} {rates:?}");
                let _ = hub.inputs.send(Input::ErrorRatesChanged(rates)).await;
                let _ = hub.inputs.send(Input::AddressesChanged(addresses)).await;
            }
            Err(e) => log::error!("the old configuration stays: {e}"),
        }
    }
}
