//! Event loop around the decision module: feeds it events in order, runs its timers and carries out its actions.

mod event_loop;
mod usage_report;

use crate::event_bus::EventBus;
use crate::exchange::{Answer, Exchange};
use crate::input::{Addresses, Input, ListContent, ListMessage, Row};
use crate::listed_machines::ListedMachines;
use crate::net::list::Discovery;
use crate::net::machines::{parse_load_report, AttemptDeadlines, Machines, Progress};
use crate::net::peers::Peers;
use crate::net::platform::{self, Ballot};
use crate::shadow_settings::ShadowSettings;
use async_executor::{LocalExecutor, Task};
use futures_lite::FutureExt;
use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use yarrowspoke::interface::{
    Action, Arrival, AttemptEnd, Build, CallOutcome, Event, Idempotency, ListUpdate, MachineEntry, MachineId,
    Micros, RequestId, RolloutStatus,
};
use yarrowspoke::Front;
use yarrowspoke_settings::Settings;

/// Votes that may be in flight at the same time.
const MAX_VOTES_IN_FLIGHT: usize = 8;
/// Time after which a probe without a response has failed, in microseconds.
const PROBE_TIMEOUT: Micros = 250_000;
/// Period of the sweep over idle connections, in microseconds.
const SWEEP_PERIOD: Micros = 500_000;
/// Superseded watches that are kept for the response that each still waits for; the oldest are given up first.
const MAX_SUPERSEDED_WATCHES: usize = 4;
/// Sweeps between two usage reports in the log.
const SWEEPS_PER_REPORT: u32 = 10;

/// An attempt in flight; dropping its task closes its connection.
struct InFlightAttempt {
    machine: MachineId,
    build: Build,
    sent_at: Micros,
    timeout_timer: TimerKey,
    progress: Rc<Cell<Progress>>,
    _task: Task<()>,
}

struct OpenRequest {
    exchange: Rc<Exchange>,
    overdue_timer: TimerKey,
    attempts_sent: u16,
    in_flight: u16,
    /// Send time of the earliest attempt that has ended and may have run.
    may_have_run_since: Option<Micros>,
}

/// Due time of a timer and its sequence number, which make each timer unique so that it can be cancelled.
type TimerKey = (Micros, u64);

#[derive(Clone, Copy)]
enum TimerKind {
    Module(u64),
    Attempt(RequestId, u16),
    AnswerOverdue(RequestId),
    Sweep,
}

/// Connections of the driver to everything outside the process.
pub struct RemoteServices {
    /// Executor of the driver's tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Connections to the machines.
    pub machines: Rc<Machines>,
    /// Client of discovery.
    pub discovery: Rc<Discovery>,
    /// Address of the platform, if one is configured.
    pub platform: Option<SocketAddr>,
    /// Datagram socket for the peers, if any are configured.
    pub peers: Option<Rc<Peers>>,
}

/// An event that is queued for the decision module until the present one has been handled.
enum PendingEvent {
    AttemptEnded {
        id: RequestId,
        attempt: u16,
        machine: MachineId,
        outcome: CallOutcome,
        duration: Micros,
        load_report: Vec<f32>,
    },
    RolloutStatus(RolloutStatus),
}

/// Owns the decision module and everything that it acts on.
pub struct Driver {
    front: Front,
    settings: Settings,
    event_bus: Rc<EventBus>,
    remotes: RemoteServices,
    open_requests: BTreeMap<RequestId, OpenRequest>,
    attempts_in_flight: BTreeMap<(RequestId, u16), InFlightAttempt>,
    /// Timers by due time. Those of a finished request are removed with it: otherwise they would stay for as long as the
    /// client said that it would wait.
    timers: BTreeMap<TimerKey, TimerKind>,
    timer_sequence: u64,
    /// When the driver last read the clock, used to detect that the process was paused.
    last_turn_at: Micros,
    listed_machines: ListedMachines,
    rollout_status: Option<RolloutStatus>,
    /// The newest status that the platform itself reported.
    platform_status: Option<RolloutStatus>,
    list_watch: Option<Task<()>>,
    /// Earlier watches, kept until the present one gets a response, since this front counts as notified of whatever
    /// discovery wrote to them.
    superseded_watches: Vec<Task<()>>,
    /// Whether the present watch has got a response.
    watch_has_answered: bool,
    list_fetch: Option<Task<()>>,
    _platform_listener: Option<Task<()>>,
    votes_in_flight: Rc<Cell<usize>>,
    sweeps: u32,
    pending_events: VecDeque<PendingEvent>,
    shadow: Option<ShadowSettings>,
}

impl Driver {
    /// Starts the decision module with the list and the rollout status from the configuration.
    pub fn start(
        seed: u64,
        settings: Settings,
        initial_list: (u64, Vec<Row>),
        rollout_status: Option<RolloutStatus>,
        event_bus: Rc<EventBus>,
        remotes: RemoteServices,
    ) -> Self {
        let (now, mut actions) = (event_bus.clock.now(), Vec::new());
        let front = Front::new(seed, settings.module.clone(), now, &mut actions);
        let mut driver = Self {
            front,
            settings,
            event_bus,
            remotes,
            open_requests: BTreeMap::new(),
            attempts_in_flight: BTreeMap::new(),
            timers: BTreeMap::new(),
            timer_sequence: 0,
            last_turn_at: now,
            listed_machines: ListedMachines::default(),
            rollout_status: None,
            platform_status: None,
            list_watch: None,
            superseded_watches: Vec::new(),
            watch_has_answered: false,
            list_fetch: None,
            _platform_listener: None,
            votes_in_flight: Rc::default(),
            sweeps: 0,
            pending_events: VecDeque::new(),
            shadow: None,
        };
        driver.listen_to_platform();
        actions.into_iter().for_each(|a| driver.perform(now, a));
        let discovery_id = driver.remotes.discovery.discovery_id();
        driver.handle_event(Event::DiscoveryAddress { discovery_id, moved: false });
        driver.update_list(ListUpdate::Cached, initial_list.0, now, initial_list.1);
        driver.process_pending_events();
        if let Some(status) = rollout_status {
            driver.handle_input(Input::RolloutStatus(status));
        }
        driver.set_timer(now + SWEEP_PERIOD, TimerKind::Sweep);
        // Where lists are pushed, the front counts as notified of discovery's list from the start, and the configured list
        // may be older: the front is ready only after the first response.
        driver.event_bus.ready.set(!driver.settings.transport.pushed);
        driver
    }

    /// Starts counting the decisions that would differ under these settings.
    pub fn enable_shadow_settings(&mut self, settings: yarrowspoke::interface::Settings) {
        self.shadow = Some(ShadowSettings::new(settings));
    }

    /// Returns the number of unfinished requests and of pending timers.
    pub fn open_requests_and_timers(&self) -> (usize, usize) {
        (self.open_requests.len(), self.timers.len())
    }

    fn set_timer(&mut self, at: Micros, kind: TimerKind) -> TimerKey {
        self.timer_sequence += 1;
        self.timers.insert((at, self.timer_sequence), kind);
        (at, self.timer_sequence)
    }

    fn fire_due_timers(&mut self) {
        let now = self.event_bus.clock.now();
        while let Some(first) = self.timers.first_entry().filter(|t| t.key().0 <= now) {
            match first.remove() {
                TimerKind::Module(name) => self.handle_event(Event::Timer { name }),
                TimerKind::Attempt(id, attempt) => self.on_attempt_timeout(id, attempt),
                TimerKind::AnswerOverdue(id) => self.on_answer_overdue(id),
                TimerKind::Sweep => {
                    self.remotes.machines.sweep(now);
                    self.event_bus.ledger_writer.write_snapshot(now, &self.settings.names);
                    self.log_limit_reached();
                    self.sweeps += 1;
                    if self.sweeps.is_multiple_of(SWEEPS_PER_REPORT) {
                        self.log_usage();
                    }
                    self.set_timer(now + SWEEP_PERIOD, TimerKind::Sweep);
                }
            }
            self.process_pending_events();
        }
    }

    /// Handles one input and the events that follow from it.
    pub fn handle_input(&mut self, input: Input) {
        match input {
            Input::Arrived(exchange) => self.on_request(exchange),
            Input::ClientLeft(id) => self.on_client_left(id),
            Input::AttemptEnded(id, attempt, Ok(reply)) => {
                let report = reply.load_report.as_deref().unwrap_or_default();
                let load_report = parse_load_report(report, &self.settings.names.load_fields);
                if reply.outcome == CallOutcome::Ok {
                    if let Some(open) = self.open_requests.get(&id) {
                        if open.exchange.answer(Answer::Served(reply.body)) {
                            open.exchange.hold_memory(reply.memory);
                        }
                    }
                }
                self.end_attempt(id, attempt, reply.outcome, load_report);
            }
            Input::AttemptEnded(id, attempt, Err(outcome)) => {
                self.end_attempt(id, attempt, outcome, Vec::new())
            }
            Input::ListUpdated(message) if self.remotes.discovery.is_current(message.watch) => {
                self.on_list_message(message);
            }
            Input::ListUpdated(message) => self.apply_superseded_list(message),
            Input::ListConfirmed { watch, .. } if !self.remotes.discovery.is_current(watch) => {}
            Input::ListConfirmed { version, as_of, .. } => {
                self.on_watch_answered();
                self.remotes.discovery.set_version(version, false);
                let as_of = self.event_bus.clock.micros(as_of);
                self.handle_event(Event::List { kind: ListUpdate::Delta, version, as_of, entries: &[] });
            }
            Input::RolloutStatus(status) => self.on_rollout_status(status),
            Input::ShutdownBegun { answer_by } => self.on_shutdown(answer_by),
            Input::RestrictionsChanged => self.apply_fleet_changes(),
            Input::RefreshSources => self.reconnect_sources(),
            Input::PeerMessage(from, bytes) => self.handle_event(Event::PeerMessage { from, bytes: &bytes }),
            Input::AddressesChanged(addresses) => self.change_addresses(addresses),
            Input::ProbeEnded(machine, outcome, duration, load) => {
                let load_report =
                    parse_load_report(load.as_deref().unwrap_or_default(), &self.settings.names.load_fields);
                self.handle_event(Event::ProbeEnded {
                    machine,
                    outcome,
                    duration,
                    load_report: &load_report,
                });
            }
            Input::ErrorRatesChanged(rates) => {
                self.settings.module.error_rates = rates;
                self.front.replace_settings(self.settings.module.clone());
                if let Some(shadow) = &mut self.shadow {
                    shadow.set_error_rates(rates);
                }
            }
        }
        self.process_pending_events();
    }

    fn on_request(&mut self, exchange: Rc<Exchange>) {
        if exchange.is_finished() {
            return;
        }
        if let Some(answer_by) = self.event_bus.answer_by() {
            exchange.limit_deadline(answer_by);
        }
        let (id, call) = (exchange.id, &exchange.call);
        let arrival = Arrival {
            id,
            class: call.class,
            remaining: exchange.client_deadline.saturating_sub(self.event_bus.clock.now()),
            key: call.key,
            tenant: call.tenant,
            work_hint: call.work_hint,
            is_retry: call.is_retry,
            policy: call.policy,
        };
        // Fail-safe for rule 1: if the decision module does not answer, the client still gets an error in time.
        let overdue_at = exchange.deadline() + self.settings.module.answer_slack;
        let overdue_timer = self.set_timer(overdue_at, TimerKind::AnswerOverdue(id));
        self.open_requests.insert(
            id,
            OpenRequest { exchange, overdue_timer, attempts_sent: 0, in_flight: 0, may_have_run_since: None },
        );
        if let Some(member) = &self.event_bus.member {
            member.record_request();
        }
        self.handle_event(Event::Request(arrival));
        self.remove_if_finished(id);
    }

    /// Brings the deadlines of open requests and of their attempts forward to the time at which the process may be killed.
    fn on_shutdown(&mut self, answer_by: Micros) {
        let remaining = answer_by.saturating_sub(self.event_bus.clock.now());
        self.handle_event(Event::Shutdown { remaining });
        let overdue_at = answer_by + self.settings.module.answer_slack;
        let requests = self.open_requests.iter().filter(|(_, open)| open.exchange.limit_deadline(answer_by));
        for id in requests.map(|(id, _)| *id).collect::<Vec<_>>() {
            let timer = self.set_timer(overdue_at, TimerKind::AnswerOverdue(id));
            if let Some(open) = self.open_requests.get_mut(&id) {
                self.timers.remove(&std::mem::replace(&mut open.overdue_timer, timer));
            }
        }
        let attempts =
            self.attempts_in_flight.iter().filter(|(_, flight)| flight.timeout_timer.0 > answer_by);
        for (id, attempt) in attempts.map(|(key, _)| *key).collect::<Vec<_>>() {
            let timer = self.set_timer(answer_by, TimerKind::Attempt(id, attempt));
            if let Some(flight) = self.attempts_in_flight.get_mut(&(id, attempt)) {
                self.timers.remove(&std::mem::replace(&mut flight.timeout_timer, timer));
            }
        }
    }

    fn on_client_left(&mut self, id: RequestId) {
        if !self.open_requests.contains_key(&id) {
            return;
        }
        self.handle_event(Event::ClientLeft { id });
        // Attempts run only as long as their client waits.
        self.cancel_attempts(id);
    }

    fn cancel_attempts(&mut self, id: RequestId) {
        let attempts: Vec<u16> =
            self.attempts_in_flight.range((id, 0)..=(id, u16::MAX)).map(|f| f.0 .1).collect();
        attempts
            .into_iter()
            .for_each(|attempt| self.end_attempt(id, attempt, CallOutcome::Cancelled, Vec::new()));
        self.remove_if_finished(id);
    }

    fn on_answer_overdue(&mut self, id: RequestId) {
        let Some(open) = self.open_requests.get(&id) else { return };
        if open.exchange.answer(Answer::Failed) {
            log::error!("request {id} got no final answer by its deadline");
            self.handle_event(Event::ClientLeft { id });
        }
        self.cancel_attempts(id);
    }

    fn on_watch_answered(&mut self) {
        self.superseded_watches.clear();
        self.watch_has_answered = true;
    }

    /// Applies the result of a call of the present watch.
    fn on_list_message(&mut self, message: ListMessage) {
        if message.needs_snapshot {
            return self.apply_unrelated_changes(&message);
        }
        let ListMessage { index, content, .. } = message;
        let as_of = self.event_bus.clock.micros(message.as_of);
        let (kind, rows) = match content {
            ListContent::Failed => return self.update_list(ListUpdate::Failed, index, as_of, Vec::new()),
            ListContent::Unreadable => {
                return self.update_list(ListUpdate::Unreadable, index, as_of, Vec::new())
            }
            ListContent::Snapshot(rows) => {
                self.remotes.discovery.snapshot_applied();
                (ListUpdate::Snapshot, rows)
            }
            // What the undecoded lines name is as it was, so this is applied as changes.
            ListContent::PartialSnapshot { mut rows, undecoded } => {
                rows.extend(self.listed_machines.removed_by_absence(&rows, &undecoded));
                self.handle_event(Event::UndecodedMachines(&undecoded));
                (ListUpdate::Delta, rows)
            }
            ListContent::PartialDelta { rows, undecoded } => {
                self.handle_event(Event::UndecodedMachines(&undecoded));
                (ListUpdate::Delta, rows)
            }
            ListContent::Delta(rows) => (ListUpdate::Delta, rows),
        };
        self.on_watch_answered();
        self.remotes.discovery.set_version(index, false);
        self.update_list(kind, index, as_of, rows);
    }

    /// Applies changes to a list that this front does not hold, since discovery's version went back. They may take machines
    /// away, but say nothing of the others: only the whole list, which is requested next, confirms those.
    fn apply_unrelated_changes(&mut self, message: &ListMessage) {
        self.remotes.discovery.set_version(message.index, true);
        let rows = self.listed_machines.restricted_by(&message.content);
        if !rows.is_empty() {
            self.restrict_list(&rows);
        }
    }

    fn update_list(&mut self, kind: ListUpdate, index: u64, as_of: Micros, rows: Vec<Row>) {
        if kind != ListUpdate::Cached {
            self.event_bus.ready.set(true);
        }
        self.event_bus.ledger_writer.record_list(kind, &rows);
        let rows = match &self.event_bus.member {
            Some(member) => member.apply_list(kind, index, rows),
            None => rows,
        };
        self.apply_list(kind, index, as_of, &rows);
    }

    /// Applies the last response of a superseded watch. This front counts as notified of it, but the list may have changed
    /// since and discovery may have moved: so the response may take machines away but confirms none.
    fn apply_superseded_list(&mut self, message: ListMessage) {
        let is_outdated = self.watch_has_answered && message.index <= self.remotes.discovery.index();
        let rows = match is_outdated {
            true => Vec::new(),
            false => self.listed_machines.restricted_by(&message.content),
        };
        log::info!(index = message.index, leave = rows.len(); "discovery: last response of a superseded watch");
        if rows.is_empty() {
            return;
        }
        // What the present address sends as changes would not bring back a machine that is missing from this response.
        if !matches!(message.content, ListContent::Delta(_)) {
            self.remotes.discovery.request_snapshot();
        }
        self.restrict_list(&rows);
    }

    /// Applies a change of the planners' restrictions or of the lease, as if the front's own sources had reported it.
    fn apply_fleet_changes(&mut self) {
        let Some(member) = self.event_bus.member.clone() else { return };
        let rows = member.changed_rows();
        if !rows.is_empty() {
            self.restrict_list(&rows);
        }
        if let Some(status) = member.changed_status() {
            self.apply_rollout_status(status);
        }
    }

    /// Reopens the list watch and the platform's connection, since a silent connection may have been cut without notice.
    fn reconnect_sources(&mut self) {
        if self.list_watch.is_some() {
            self.set_watch(true);
        }
        self.listen_to_platform();
    }

    /// Applies rows that only take machines away.
    fn restrict_list(&mut self, rows: &[Row]) {
        self.apply_list(ListUpdate::Restricted, 0, self.event_bus.clock.now(), rows);
    }

    fn apply_list(&mut self, kind: ListUpdate, version: u64, as_of: Micros, rows: &[Row]) {
        if matches!(kind, ListUpdate::Snapshot | ListUpdate::Cached) {
            self.remotes.machines.keep_only(rows);
        }
        self.listed_machines.apply(kind, rows);
        rows.iter().for_each(|row| self.remotes.machines.update(row));
        log::debug!(kind:?, lines = rows.len(); "list");
        let entries: Vec<MachineEntry> = rows.iter().map(|r| r.entry.clone()).collect();
        self.handle_event(Event::List { kind, version, as_of, entries: &entries });
        // Fails attempts that are not written yet when their machine drains, leaves or returns with another build.
        let listed_machines = std::mem::take(&mut self.listed_machines);
        self.fail_unwritten(|f| !listed_machines.is_ready(f.machine, f.build));
        self.listed_machines = listed_machines;
    }

    fn on_rollout_status(&mut self, status: RolloutStatus) {
        let status = match self
            .platform_status
            .filter(|newest| status.is_vote_reply && platform::is_outdated_reply(&status, newest))
        {
            Some(newest) => RolloutStatus { is_vote_reply: true, ..newest },
            None => status,
        };
        if status.outcome == CallOutcome::Ok {
            self.platform_status = Some(status);
        }
        let status = match &self.event_bus.member {
            Some(member) if status.outcome == CallOutcome::Ok => member.apply_status(status),
            _ => status,
        };
        self.apply_rollout_status(status);
    }

    fn apply_rollout_status(&mut self, status: RolloutStatus) {
        let before = self.rollout_status;
        let RolloutStatus { build, stage, phase, outcome, cap, is_vote_reply, .. } = status;
        log::debug!(build, stage, phase:?, ending:? = outcome, cap, answer = is_vote_reply; "rollout status");
        self.handle_event(Event::RolloutStatus(status));
        if status.outcome != CallOutcome::Ok {
            return;
        }
        self.rollout_status = Some(status);
        self.event_bus.ledger_writer.record_status(self.event_bus.clock.now(), &status);
        // Fails attempts that are not written yet when the cap of their build falls.
        let is_lowered =
            before.is_none_or(|b| b.build != status.build || status.cap < b.cap || b.phase != status.phase);
        if is_lowered {
            self.fail_unwritten(|f| f.build >= status.build);
        }
    }

    /// Ends attempts that are not written yet and no longer may be; they have not run.
    fn fail_unwritten(&mut self, is_affected: impl Fn(&InFlightAttempt) -> bool) {
        let unwritten = |f: &InFlightAttempt| f.progress.get() < Progress::Written && is_affected(f);
        let ids: Vec<_> = self.attempts_in_flight.iter().filter(|f| unwritten(f.1)).map(|f| *f.0).collect();
        for (id, attempt) in ids {
            self.end_attempt(id, attempt, CallOutcome::ConnectFailed, Vec::new());
        }
    }

    fn on_attempt_timeout(&mut self, id: RequestId, attempt: u16) {
        let Some(flight) = self.attempts_in_flight.get(&(id, attempt)) else { return };
        // An attempt that ends before its last byte was written cannot have run.
        let written = flight.progress.get() == Progress::Written;
        let outcome = if written { CallOutcome::Timeout } else { CallOutcome::ConnectFailed };
        self.end_attempt(id, attempt, outcome, Vec::new());
    }

    /// Ends an attempt; its connection is closed unless it was already returned to the idle pool.
    fn end_attempt(&mut self, id: RequestId, attempt: u16, outcome: CallOutcome, load_report: Vec<f32>) {
        let Some(flight) = self.attempts_in_flight.remove(&(id, attempt)) else { return };
        self.timers.remove(&flight.timeout_timer);
        if let Some(open) = self.open_requests.get_mut(&id) {
            open.in_flight -= 1;
            if !matches!(outcome, CallOutcome::ConnectFailed | CallOutcome::Rejected) {
                open.may_have_run_since =
                    Some(open.may_have_run_since.map_or(flight.sent_at, |at| at.min(flight.sent_at)));
            }
        }
        let (machine, duration) = (flight.machine, self.event_bus.clock.now() - flight.sent_at);
        let class = self.open_requests.get(&id).map(|o| o.exchange.call.class);
        log::debug!(machine, build = flight.build, class:?, ending:? = outcome, took = duration; "attempt ended");
        self.pending_events.push_back(PendingEvent::AttemptEnded {
            id,
            attempt,
            machine,
            outcome,
            duration,
            load_report,
        });
    }

    fn process_pending_events(&mut self) {
        while let Some(follow) = self.pending_events.pop_front() {
            match follow {
                PendingEvent::AttemptEnded { id, attempt, machine, outcome, duration, load_report } => {
                    let request_done = self.open_requests.get(&id).is_none_or(|o| o.exchange.is_finished());
                    let load_report = &load_report;
                    self.handle_event(Event::AttemptEnded(AttemptEnd {
                        id,
                        attempt,
                        machine,
                        outcome,
                        request_done,
                        duration,
                        load_report,
                    }));
                    self.remove_if_finished(id);
                }
                PendingEvent::RolloutStatus(status) => self.handle_event(Event::RolloutStatus(status)),
            }
        }
    }

    /// Removes a finished request once all its attempts have ended.
    fn remove_if_finished(&mut self, id: RequestId) {
        if self.open_requests.get(&id).is_some_and(|o| o.in_flight == 0 && o.exchange.is_finished()) {
            if let Some(open) = self.open_requests.remove(&id) {
                self.timers.remove(&open.overdue_timer);
            }
        }
    }

    /// Passes one event to the decision module and carries out the resulting actions.
    fn handle_event(&mut self, event: Event) {
        let (now, mut actions) = (self.event_bus.clock.now(), Vec::new());
        let before = self.shadow.is_some().then(|| self.front.clone());
        let front = &mut self.front;
        // A bug triggered by one event must not end the requests of all others.
        if catch_unwind(AssertUnwindSafe(|| front.handle(now, &event, &mut actions))).is_err() {
            log::error!("decision module panicked on event {event:?}");
        }
        if let (Some(shadow), Some(before)) = (&mut self.shadow, before) {
            shadow.compare(before, now, &event, &actions);
        }
        actions.into_iter().for_each(|action| self.perform(now, action));
    }

    fn perform(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { id, machine, timeout } => self.send_attempt(now, id, machine, timeout),
            Action::Refuse { id, retry_after } => self.answer_request(id, Answer::Refused(retry_after)),
            Action::Fail { id } => self.answer_request(id, Answer::Failed),
            Action::Cancel { id, attempt } => {
                self.end_attempt(id, attempt, CallOutcome::Cancelled, Vec::new())
            }
            Action::Probe { machine } => self.probe(machine),
            Action::Subscribe(on) => self.set_watch(on),
            Action::FetchList => self.fetch_list(),
            Action::Timer { name, after } => {
                self.set_timer(now + after, TimerKind::Module(name));
            }
            Action::Vote { build, stage, vote } => self.cast_vote(Ballot { build, stage, vote }),
            Action::CloseIdle { machine } => self.remotes.machines.close_idle(machine),
            Action::SendToPeer { peer, bytes } => {
                if let Some(peers) = &self.remotes.peers {
                    peers.send(peer, &bytes);
                }
            }
            Action::Log(text) => log::info!("module: {text}"),
        }
    }

    fn set_watch(&mut self, on: bool) {
        let number = self.remotes.discovery.supersede_watches();
        self.supersede_watch();
        let watch = Rc::clone(&self.remotes.discovery).watch(number, self.event_bus.inputs.clone());
        self.list_watch = on.then(|| self.remotes.executor.spawn(watch));
    }

    fn supersede_watch(&mut self) {
        self.watch_has_answered = false;
        self.superseded_watches.retain(|watch| !watch.is_finished());
        self.superseded_watches.extend(self.list_watch.take());
        if self.superseded_watches.len() > MAX_SUPERSEDED_WATCHES {
            drop(self.superseded_watches.remove(0));
        }
    }

    fn fetch_list(&mut self) {
        let fetch = Rc::clone(&self.remotes.discovery).fetch(self.event_bus.inputs.clone());
        self.list_fetch = Some(self.remotes.executor.spawn(fetch));
    }

    fn listen_to_platform(&mut self) {
        let inputs = &self.event_bus.inputs;
        let listen = self.remotes.platform.map(|address| platform::listen(address, inputs.clone()));
        self._platform_listener = listen.map(|l| self.remotes.executor.spawn(l));
    }

    /// Moves the open watch, fetch and subscription to the new addresses. The old ones send no more updates, and this front
    /// counts as notified of what is sent at the new ones. A vote in flight ends at the address where it began.
    fn change_addresses(&mut self, to: Addresses) {
        if let Some(peers) = &self.remotes.peers {
            peers.set_addresses(to.peers, to.peers_all);
        }
        let from = self.remotes.discovery.address();
        if self.remotes.discovery.set_address(to.discovery) {
            log::info!(from:%, to:% = to.discovery, watching = self.list_watch.is_some(), held = self.remotes.discovery.index(); "discovery moved");
            // Responses from the old address confirm nothing; the decision module schedules the call to the new one.
            self.set_watch(false);
            let discovery_id = self.remotes.discovery.discovery_id();
            self.handle_event(Event::DiscoveryAddress { discovery_id, moved: true });
            if self.list_fetch.as_ref().is_some_and(|f| !f.is_finished()) {
                self.fetch_list();
            }
        }
        if std::mem::replace(&mut self.remotes.platform, to.platform) != to.platform {
            self.listen_to_platform();
        }
    }

    fn answer_request(&mut self, id: RequestId, answer: Answer) {
        if let Some(open) = self.open_requests.get(&id) {
            log::debug!(class = open.exchange.call.class, answer:?; "request shed or failed");
            open.exchange.answer(answer);
            if let Some(member) = &self.event_bus.member {
                member.record_shed_request();
            }
        }
        self.remove_if_finished(id);
    }

    /// Returns the time from which a further attempt of this request must not be written. The decision module allows one while
    /// the dedup group remembers the key, but a connection that is established late would deliver it after that.
    fn write_by(&self, id: RequestId) -> Option<Micros> {
        let open = self.open_requests.get(&id)?;
        let class = self.settings.module.classes.get(usize::from(open.exchange.call.class))?;
        let sent_times = self.attempts_in_flight.range((id, 0)..=(id, u16::MAX)).map(|f| f.1.sent_at);
        let first = sent_times.chain(open.may_have_run_since).min()?;
        (class.idempotency == Idempotency::Keyed).then(|| first.saturating_add(class.dedup_window))
    }

    fn send_attempt(&mut self, now: Micros, id: RequestId, machine: MachineId, timeout: Micros) {
        let write_by = self.write_by(id);
        let Some(open) = self.open_requests.get_mut(&id) else {
            log::error!("decision module sent an attempt of request {id}, which has ended");
            return;
        };
        let attempt = open.attempts_sent;
        open.attempts_sent += 1;
        let exchange = Rc::clone(&open.exchange);
        let build = self.listed_machines.build(machine).unwrap_or(0);
        let late = exchange.is_finished() || now >= exchange.deadline();
        // A process resumes from a pause with actions decided before it, so the lease is checked again here.
        let late = late || self.event_bus.member.as_ref().is_some_and(|m| m.excludes(machine, build));
        if late || u32::from(attempt) >= self.settings.module.max_attempts {
            let (outcome, load_report) = (CallOutcome::NotSent, Vec::new());
            self.pending_events.push_back(PendingEvent::AttemptEnded {
                id,
                attempt,
                machine,
                outcome,
                duration: 0,
                load_report,
            });
            return;
        }
        if log::log_enabled!(log::Level::Debug) {
            let discovery = &self.remotes.discovery;
            let age_ms = discovery.last_answered_at().map(|at| at.elapsed().as_millis() as u64);
            let (version, basis) = (discovery.index(), self.front.lease_basis(now, machine));
            log::debug!(id, attempt, machine, build, version, age_ms:?, basis:?; "attempt sent");
        }
        open.in_flight += 1;
        exchange.record_attempt();
        let wait = exchange.deadline() - now;
        let wait = if timeout > 0 { wait.min(timeout) } else { wait };
        let deadlines =
            AttemptDeadlines { expires: now + wait, write_by: write_by.map(|by| by.min(now + wait)) };
        let timeout_timer = self.set_timer(deadlines.expires, TimerKind::Attempt(id, attempt));
        let progress = Rc::new(Cell::new(Progress::Connecting));
        if let Some(member) = &self.event_bus.member {
            member.record_attempt(machine, build);
        }
        let (machines, event_bus) = (Rc::clone(&self.remotes.machines), Rc::clone(&self.event_bus));
        let progress_reader = Rc::clone(&progress);
        let task = self.remotes.executor.spawn(async move {
            let attempted =
                machines.attempt(machine, &exchange, deadlines, &progress_reader, &event_bus.clock);
            // A bug triggered by one attempt ends only that attempt.
            let attempted = AssertUnwindSafe(attempted).catch_unwind().await;
            let result = match attempted {
                Ok(Ok(reply)) => Ok(reply),
                Ok(Err(e)) => {
                    log::debug!("attempt {id}/{attempt}: {e}");
                    Err(e.outcome())
                }
                Err(_) if progress_reader.get() == Progress::Written => Err(CallOutcome::Reset),
                Err(_) => Err(CallOutcome::ConnectFailed),
            };
            let _ = event_bus.inputs.send(Input::AttemptEnded(id, attempt, result)).await;
        });
        let flight = InFlightAttempt { machine, build, sent_at: now, timeout_timer, progress, _task: task };
        self.attempts_in_flight.insert((id, attempt), flight);
    }

    fn probe(&mut self, machine: MachineId) {
        let (machines, event_bus) = (Rc::clone(&self.remotes.machines), Rc::clone(&self.event_bus));
        let probe = async move {
            let started_at = event_bus.clock.now();
            let (outcome, load_report) = machines.probe(machine, PROBE_TIMEOUT).await;
            let duration = event_bus.clock.now() - started_at;
            let _ = event_bus.inputs.send(Input::ProbeEnded(machine, outcome, duration, load_report)).await;
        };
        self.remotes.executor.spawn(probe).detach();
    }

    fn cast_vote(&mut self, ballot: Ballot) {
        let withheld = self.event_bus.member.as_ref().is_some_and(|m| m.withholds_votes());
        let may_vote = self.votes_in_flight.get() < MAX_VOTES_IN_FLIGHT && !withheld;
        let Some(address) = self.remotes.platform.filter(|_| may_vote) else {
            let Ballot { build, stage, .. } = ballot;
            let (phase, outcome) = (yarrowspoke::interface::Phase::Trial, CallOutcome::ConnectFailed);
            let status =
                RolloutStatus { build, stage, phase, is_vote_reply: true, outcome, cap: 0.0, age: 0 };
            self.pending_events.push_back(PendingEvent::RolloutStatus(status));
            return;
        };
        let (votes_in_flight, inputs) = (Rc::clone(&self.votes_in_flight), self.event_bus.inputs.clone());
        let timeout = self.settings.module.release.vote_timeout;
        votes_in_flight.set(votes_in_flight.get() + 1);
        if let Some(member) = &self.event_bus.member {
            member.record_vote();
        }
        let cast = async move {
            platform::vote(address, ballot, timeout, inputs).await;
            votes_in_flight.set(votes_in_flight.get() - 1);
        };
        self.remotes.executor.spawn(cast).detach();
    }
}
