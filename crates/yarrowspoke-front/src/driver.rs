//! Drives the decision module: one clock, its timers, events in order, actions carried out.

use crate::event_bus::EventBus;
use crate::exchange::{Answer, Exchange};
use crate::input::{Addresses, Input, ListMessage, Row};
use crate::net::list::Discovery;
use crate::net::machines::{parse_load_report, AttemptDeadlines, Machines, Progress};
use crate::net::peers::Peers;
use crate::net::platform::{self, Ballot};
use crate::shadow_settings::ShadowSettings;
use async_channel::Receiver;
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use futures_lite::{future, FutureExt};
use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use yarrowspoke::interface::{
    Action, Arrival, AttemptEnd, Build, CallOutcome, Event, Idempotency, ListUpdate, MachineEntry, MachineId,
    MachineState, Micros, RequestId, RolloutStatus,
};
use yarrowspoke::Front;
use yarrowspoke_settings::Settings;

/// Inputs taken before the other tasks have their turn.
const INPUTS_AT_ONCE: usize = 64;
/// Votes that may be on their way together.
const VOTE_LIMIT: usize = 8;
/// A probe without an answer for so long has failed.
const PROBE_LIMIT: Micros = 250_000;
/// Period of the sweep over kept connections.
const SWEEP: Micros = 500_000;
/// A driver that has not turned for so long stood still: its shortest timer is due far more often.
const STANDSTILL: Micros = 1_000_000;
/// Sweeps from one report of what is held to the next.
const REPORT_EVERY: u32 = 10;

/// An attempt on its way; dropping its task closes its connection.
struct Flight {
    machine: MachineId,
    build: Build,
    sent: Micros,
    expires: DueAt,
    progress: Rc<Cell<Progress>>,
    _task: Task<()>,
}

struct Open {
    exchange: Rc<Exchange>,
    overdue: DueAt,
    attempts: u16,
    out: u16,
    /// When the first of its attempts that have ended and may have run was sent.
    ran_from: Option<Micros>,
}

/// When a timer is due, and its number, so that each can be taken back.
type DueAt = (Micros, u64);

#[derive(Clone, Copy)]
enum Due {
    Module(u64),
    Attempt(RequestId, u16),
    Overdue(RequestId),
    Sweep,
}

/// Where the driver reaches everybody.
pub struct RemoteServices {
    /// Runs the tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Machines.
    pub machines: Rc<Machines>,
    /// Discovery.
    pub discovery: Rc<Discovery>,
    /// The platform, if there is one.
    pub platform: Option<SocketAddr>,
    /// Peers, if there are any.
    pub peers: Option<Rc<Peers>>,
}

/// What the module is still to be told after the event in hand.
enum Follow {
    Outcome {
        id: RequestId,
        attempt: u16,
        machine: MachineId,
        ending: CallOutcome,
        took: Micros,
        load: Vec<f32>,
    },
    News(RolloutStatus),
}

/// Owns the decision module.
pub struct Driver {
    front: Front,
    settings: Settings,
    hub: Rc<EventBus>,
    outside: RemoteServices,
    open: BTreeMap<RequestId, Open>,
    flights: BTreeMap<(RequestId, u16), Flight>,
    /// Danger: entries of ended requests would stay for as long as their clients said they would wait.
    timers: BTreeMap<DueAt, Due>,
    timers_set: u64,
    /// When the driver last looked at the time, to notice that the process stood still.
    turned: Micros,
    listed: BTreeMap<MachineId, (MachineState, Build)>,
    news: Option<RolloutStatus>,
    /// The newest state that the platform itself has told.
    heard: Option<RolloutStatus>,
    watch: Option<Task<()>>,
    /// The watch before, until the present one has been answered: what was written to it counts as told.
    leaving: Option<Task<()>>,
    fetch: Option<Task<()>>,
    _listens: Option<Task<()>>,
    votes: Rc<Cell<usize>>,
    sweeps: u32,
    follow: VecDeque<Follow>,
    watched: Option<ShadowSettings>,
}

impl Driver {
    /// Starts the module and hands it what the configuration holds: the list and the newest build's state.
    pub fn start(
        seed: u64,
        settings: Settings,
        known: (u64, Vec<Row>),
        news: Option<RolloutStatus>,
        hub: Rc<EventBus>,
        outside: RemoteServices,
    ) -> Self {
        let (now, mut actions) = (hub.clock.now(), Vec::new());
        let front = Front::new(seed, settings.module.clone(), now, &mut actions);
        let mut driver = Self {
            front,
            settings,
            hub,
            outside,
            open: BTreeMap::new(),
            flights: BTreeMap::new(),
            timers: BTreeMap::new(),
            timers_set: 0,
            turned: now,
            listed: BTreeMap::new(),
            news: None,
            heard: None,
            watch: None,
            leaving: None,
            fetch: None,
            _listens: None,
            votes: Rc::default(),
            sweeps: 0,
            follow: VecDeque::new(),
            watched: None,
        };
        driver.listen();
        actions.into_iter().for_each(|a| driver.act(now, a));
        let source = driver.outside.discovery.discovery_id();
        driver.tell(Event::DiscoveryAddress { discovery_id: source, moved: false });
        driver.list(ListUpdate::Cached, known.0, known.1);
        driver.follow_up();
        if let Some(news) = news {
            driver.handle_input(Input::RolloutStatus(news));
        }
        driver.due(now + SWEEP, Due::Sweep);
        // Danger: where lists are pushed, what discovery has counts as told from the first moment, and what the
        // configuration holds may be older.
        driver.hub.ready.set(!driver.settings.transport.pushed);
        driver
    }

    /// Counts from now on what these settings would have changed.
    pub fn enable_shadow_settings(&mut self, settings: yarrowspoke::interface::Settings) {
        self.watched = Some(ShadowSettings::new(settings));
    }

    /// Requests that are not done with, and timers that are set.
    pub fn open_requests_and_timers(&self) -> (usize, usize) {
        (self.open.len(), self.timers.len())
    }

    /// Serves for ever.
    pub async fn run(mut self, inputs: Receiver<Input>) {
        self.turned = self.hub.clock.now();
        loop {
            self.notice_standstill();
            self.fire();
            let next = self.timers.first_key_value().map(|t| self.hub.clock.instant(t.0 .0));
            let timer = async {
                match next {
                    Some(at) => Timer::at(at).await,
                    None => future::pending().await,
                };
                None
            };
            let input = future::or(async { inputs.recv().await.ok() }, timer).await;
            if let Some(first) = input {
                let more = (1..INPUTS_AT_ONCE).map_while(|_| inputs.try_recv().ok());
                for input in std::iter::once(first).chain(more) {
                    self.notice_standstill();
                    self.handle_input(input);
                }
            }
            future::yield_now().await;
        }
    }

    /// Looks at the time since it was last looked at. Danger: on a busy machine a stop meets a driver that works as often as
    /// one that waits; looked at around the wait alone, the first send after it stands on the list from before.
    fn notice_standstill(&mut self) {
        let now = self.hub.clock.now();
        let still = now - std::mem::replace(&mut self.turned, now);
        if still > STANDSTILL {
            self.stood_still(still);
        }
    }

    /// A process that stood still goes on with what it knew before, while news wait to be read: the list has to be confirmed
    /// before anything is sent on it.
    fn stood_still(&mut self, span: Micros) {
        log::warn!(span; "stood still; the list is let go until it is confirmed");
        // Danger: an answer that has waited to be read says that the list was current when it was written, not now.
        self.watch(false);
        self.tell(Event::List { kind: ListUpdate::Stalled, version: 0, entries: &[] });
    }

    /// Tells now and then what is held, and what broke attempts since.
    fn report_held(&self) {
        let ((clients, lines), [fresh, kept]) =
            (self.hub.descriptors.in_use(), self.hub.idle_clients.each_ref().map(|c| c.get()));
        let (idle, broken) =
            (self.outside.machines.idle_count(), self.outside.machines.take_failure_counts());
        log::info!(
            "clients {clients} ({fresh} new, {kept} kept idle), requests {}, attempts out {}, \
             connections to machines {lines} ({idle} idle), attempts broken {broken:?}",
            self.open.len(),
            self.flights.len(),
        );
        let calls = self.outside.discovery.take_counts();
        log::info!(
            "list: version {}, last confirmed {:?} ago; calls to discovery: {} opened, {} renewed, failed {:?}, \
             slowest opening {:?}; since the start {:?}",
            self.outside.discovery.index(),
            self.outside.discovery.last_answered_at().map(|at| at.elapsed()),
            calls.opened,
            calls.renewed,
            calls.failed,
            calls.slowest_open,
            self.front.membership_counts(),
        );
        if let Some((events, counts)) = self.watched.as_ref().map(ShadowSettings::counts) {
            log::info!("watch: of {events} events otherwise under the settings watched: {counts:?}");
        }
        for told in [self.hub.classifier.report(), self.hub.ledger_writer.report()].into_iter().flatten() {
            log::info!("{told}");
        }
    }

    /// At a limit, tells what holds the places.
    fn report(&self) {
        let (((clients, held), (seats, lines)), idle) = (
            (self.hub.descriptors.in_use(), self.hub.descriptors.limits()),
            self.outside.machines.idle_count(),
        );
        if clients < seats && held - idle < lines && !self.hub.descriptors.is_full() {
            return;
        }
        let unsent = self.flights.values().filter(|f| f.progress.get() < Progress::Written).count();
        let [fresh, kept] = self.hub.idle_clients.each_ref().map(|c| c.get());
        let first = self.hub.max_first_byte_wait.take();
        let waiting = self.open.values().filter(|o| !o.exchange.is_finished()).count();
        let out = self.flights.len();
        log::warn!(
            "at a limit: clients {clients} of {seats} ({fresh} new, {kept} kept idle, \
             first bytes up to {first} us), requests waiting {waiting}, attempts out {out} \
             ({unsent} unsent), connections to machines {held} of {lines} ({idle} idle)"
        );
    }

    fn due(&mut self, at: Micros, what: Due) -> DueAt {
        self.timers_set += 1;
        self.timers.insert((at, self.timers_set), what);
        (at, self.timers_set)
    }

    fn fire(&mut self) {
        let now = self.hub.clock.now();
        while let Some(first) = self.timers.first_entry().filter(|t| t.key().0 <= now) {
            match first.remove() {
                Due::Module(name) => self.tell(Event::Timer { name }),
                Due::Attempt(id, attempt) => self.expire(id, attempt),
                Due::Overdue(id) => self.overdue(id),
                Due::Sweep => {
                    self.outside.machines.sweep(now);
                    self.hub.ledger_writer.write_snapshot(now, &self.settings.names);
                    self.report();
                    self.sweeps += 1;
                    if self.sweeps.is_multiple_of(REPORT_EVERY) {
                        self.report_held();
                    }
                    self.due(now + SWEEP, Due::Sweep);
                }
            }
            self.follow_up();
        }
    }

    /// Takes one input, and carries out what follows from it.
    pub fn handle_input(&mut self, input: Input) {
        match input {
            Input::Arrived(exchange) => self.arrived(exchange),
            Input::ClientLeft(id) => self.left(id),
            Input::AttemptEnded(id, attempt, Ok(reply)) => {
                let report = reply.load_report.as_deref().unwrap_or_default();
                let load = parse_load_report(report, &self.settings.names.load_fields);
                if reply.outcome == CallOutcome::Ok {
                    if let Some(open) = self.open.get(&id) {
                        open.exchange.answer(Answer::Served(reply.body));
                    }
                }
                self.land(id, attempt, reply.outcome, load);
            }
            Input::AttemptEnded(id, attempt, Err(ending)) => self.land(id, attempt, ending, Vec::new()),
            Input::ListUpdated(news) if self.outside.discovery.is_current(news.watch) => {
                self.leaving = None;
                if !news.kind.is_failure() {
                    self.outside.discovery.set_version(news.index, news.needs_snapshot);
                }
                self.list(news.kind, news.index, news.rows);
            }
            Input::ListUpdated(news) => self.list_of_before(news),
            Input::ListConfirmed(watch, _) if !self.outside.discovery.is_current(watch) => {}
            Input::ListConfirmed(_, version) => {
                self.leaving = None;
                self.outside.discovery.set_version(version, false);
                self.tell(Event::List { kind: ListUpdate::Delta, version, entries: &[] });
            }
            Input::RolloutStatus(news) => self.told(news),
            Input::RestrictionsChanged => self.fleet(),
            Input::RefreshSources => self.ask_again(),
            Input::PeerMessage(from, bytes) => self.tell(Event::PeerMessage { from, bytes: &bytes }),
            Input::AddressesChanged(addresses) => self.moved(addresses),
            Input::ProbeEnded(machine, ending, took, load) => {
                let load =
                    parse_load_report(load.as_deref().unwrap_or_default(), &self.settings.names.load_fields);
                self.tell(Event::ProbeEnded { machine, outcome: ending, duration: took, load_report: &load });
            }
            Input::ErrorRatesChanged(rates) => {
                self.settings.module.error_rates = rates;
                self.front.replace_settings(self.settings.module.clone());
                if let Some(watch) = &mut self.watched {
                    watch.set_error_rates(rates);
                }
            }
        }
        self.follow_up();
    }

    fn arrived(&mut self, exchange: Rc<Exchange>) {
        if exchange.is_finished() {
            return;
        }
        let (id, call) = (exchange.id, &exchange.call);
        let arrival = Arrival {
            id,
            class: call.class,
            remaining: exchange.deadline.saturating_sub(self.hub.clock.now()),
            key: call.key,
            tenant: call.tenant,
            work_hint: call.work_hint,
            is_retry: call.is_retry,
            policy: call.policy,
        };
        // Rule 1, last resort: should the module fail to answer, the client is told of the failure in time.
        let last = exchange.deadline + self.settings.module.answer_slack;
        let overdue = self.due(last, Due::Overdue(id));
        self.open.insert(id, Open { exchange, overdue, attempts: 0, out: 0, ran_from: None });
        if let Some(member) = &self.hub.member {
            member.record_request();
        }
        self.tell(Event::Request(arrival));
        self.tidy(id);
    }

    fn left(&mut self, id: RequestId) {
        if !self.open.contains_key(&id) {
            return;
        }
        self.tell(Event::ClientLeft { id });
        // An attempt lasts until the client stops waiting: nobody waits for these any more.
        self.give_up(id);
    }

    fn give_up(&mut self, id: RequestId) {
        let out: Vec<u16> = self.flights.range((id, 0)..=(id, u16::MAX)).map(|f| f.0 .1).collect();
        out.into_iter().for_each(|attempt| self.land(id, attempt, CallOutcome::Cancelled, Vec::new()));
        self.tidy(id);
    }

    fn overdue(&mut self, id: RequestId) {
        let Some(open) = self.open.get(&id) else { return };
        if open.exchange.answer(Answer::Failed) {
            log::error!("request {id} had no final answer in time");
            self.tell(Event::ClientLeft { id });
        }
        self.give_up(id);
    }

    fn list(&mut self, kind: ListUpdate, index: u64, rows: Vec<Row>) {
        if kind != ListUpdate::Cached {
            self.hub.ready.set(true);
        }
        self.hub.ledger_writer.record_list(kind, &rows);
        let rows = match &self.hub.member {
            Some(member) => member.apply_list(kind, index, rows),
            None => rows,
        };
        self.put_list(kind, index, &rows);
    }

    /// A watch that another has taken the place of tells what was written to it before. Danger: it counts as told, but the
    /// list may have gone on since, and discovery may be elsewhere: so it takes machines away and vouches for none.
    fn list_of_before(&mut self, news: ListMessage) {
        let is_in_use =
            |row: &Row| matches!(self.listed.get(&row.entry.machine), Some((MachineState::Ready, _)));
        let leaves = |row: &Row| row.entry.state != MachineState::Ready && is_in_use(row);
        let rows: Vec<Row> = news.rows.into_iter().filter(leaves).collect();
        log::info!(index = news.index, leave = rows.len(); "discovery: last answer of a watch that was left");
        if !rows.is_empty() {
            self.put_list(ListUpdate::Restricted, 0, &rows);
        }
    }

    /// What planners take away has changed, or the lease has: the module is told as if its own sources had.
    fn fleet(&mut self) {
        let Some(member) = self.hub.member.clone() else { return };
        let rows = member.changed_rows();
        if !rows.is_empty() {
            self.put_list(ListUpdate::Restricted, 0, &rows);
        }
        if let Some(news) = member.changed_status() {
            self.put_news(news);
        }
    }

    /// Begins the watch and the platform's connection anew: one that is silent may be cut without a sign.
    fn ask_again(&mut self) {
        if self.watch.is_some() {
            self.watch(true);
        }
        self.listen();
    }

    fn put_list(&mut self, kind: ListUpdate, version: u64, rows: &[Row]) {
        if matches!(kind, ListUpdate::Snapshot | ListUpdate::Cached) {
            self.listed.clear();
            self.outside.machines.keep_only(rows);
        }
        for row in rows {
            self.listed.insert(row.entry.machine, (row.entry.state, row.entry.build));
            self.outside.machines.update(row);
        }
        log::debug!(kind:?, lines = rows.len(); "list");
        let entries: Vec<MachineEntry> = rows.iter().map(|r| r.entry.clone()).collect();
        self.tell(Event::List { kind, version, entries: &entries });
        // An attempt still unwritten when its machine drains, leaves or comes back with another build.
        let listed = std::mem::take(&mut self.listed);
        self.recall(|f| listed.get(&f.machine) != Some(&(MachineState::Ready, f.build)));
        self.listed = listed;
    }

    fn told(&mut self, news: RolloutStatus) {
        let news =
            match self.heard.filter(|held| news.is_vote_reply && platform::is_outdated_reply(&news, held)) {
                Some(held) => RolloutStatus { is_vote_reply: true, ..held },
                None => news,
            };
        if news.outcome == CallOutcome::Ok {
            self.heard = Some(news);
        }
        let news = match &self.hub.member {
            Some(member) if news.outcome == CallOutcome::Ok => member.apply_status(news),
            _ => news,
        };
        self.put_news(news);
    }

    fn put_news(&mut self, news: RolloutStatus) {
        let before = self.news;
        let RolloutStatus { build, stage, phase, outcome: ending, cap, is_vote_reply: answer, .. } = news;
        log::debug!(build, stage, phase:?, ending:?, cap, answer; "news");
        self.tell(Event::RolloutStatus(news));
        if news.outcome != CallOutcome::Ok {
            return;
        }
        self.news = Some(news);
        self.hub.ledger_writer.record_status(self.hub.clock.now(), &news);
        // An attempt still unwritten when its build's cap falls.
        let fell = before.is_none_or(|b| b.build != news.build || news.cap < b.cap || b.phase != news.phase);
        if fell {
            self.recall(|f| f.build >= news.build);
        }
    }

    /// Ends attempts that are not written yet and must not be any more: they have not run.
    fn recall(&mut self, which: impl Fn(&Flight) -> bool) {
        let unwritten = |f: &Flight| f.progress.get() < Progress::Written && which(f);
        let ids: Vec<_> = self.flights.iter().filter(|f| unwritten(f.1)).map(|f| *f.0).collect();
        for (id, attempt) in ids {
            self.land(id, attempt, CallOutcome::ConnectFailed, Vec::new());
        }
    }

    fn expire(&mut self, id: RequestId, attempt: u16) {
        let Some(flight) = self.flights.get(&(id, attempt)) else { return };
        // Given up before its last byte was written, it cannot have run.
        let written = flight.progress.get() == Progress::Written;
        let ending = if written { CallOutcome::Timeout } else { CallOutcome::ConnectFailed };
        self.land(id, attempt, ending, Vec::new());
    }

    /// An attempt has ended: its connection is closed unless it was given back before.
    fn land(&mut self, id: RequestId, attempt: u16, ending: CallOutcome, load: Vec<f32>) {
        let Some(flight) = self.flights.remove(&(id, attempt)) else { return };
        self.timers.remove(&flight.expires);
        if let Some(open) = self.open.get_mut(&id) {
            open.out -= 1;
            if !matches!(ending, CallOutcome::ConnectFailed | CallOutcome::Rejected) {
                open.ran_from = Some(open.ran_from.map_or(flight.sent, |at| at.min(flight.sent)));
            }
        }
        let (machine, took) = (flight.machine, self.hub.clock.now() - flight.sent);
        let class = self.open.get(&id).map(|o| o.exchange.call.class);
        log::debug!(machine, build = flight.build, class:?, ending:?, took; "attempt ended");
        self.follow.push_back(Follow::Outcome { id, attempt, machine, ending, took, load });
    }

    fn follow_up(&mut self) {
        while let Some(follow) = self.follow.pop_front() {
            match follow {
                Follow::Outcome { id, attempt, machine, ending, took, load } => {
                    let settled = self.open.get(&id).is_none_or(|o| o.exchange.is_finished());
                    let load = &load;
                    self.tell(Event::AttemptEnded(AttemptEnd {
                        id,
                        attempt,
                        machine,
                        outcome: ending,
                        request_done: settled,
                        duration: took,
                        load_report: load,
                    }));
                    self.tidy(id);
                }
                Follow::News(news) => self.tell(Event::RolloutStatus(news)),
            }
        }
    }

    /// Forgets a request that is over once its attempts have ended.
    fn tidy(&mut self, id: RequestId) {
        if self.open.get(&id).is_some_and(|o| o.out == 0 && o.exchange.is_finished()) {
            if let Some(open) = self.open.remove(&id) {
                self.timers.remove(&open.overdue);
            }
        }
    }

    /// Hands one event to the module and carries out what it wants.
    fn tell(&mut self, event: Event) {
        let (now, mut actions) = (self.hub.clock.now(), Vec::new());
        let before = self.watched.is_some().then(|| self.front.clone());
        let front = &mut self.front;
        // Danger: a defect met by one event must not end the requests of all others.
        if catch_unwind(AssertUnwindSafe(|| front.handle(now, &event, &mut actions))).is_err() {
            log::error!("decision module panicked on {event:?}");
        }
        if let (Some(watch), Some(before)) = (&mut self.watched, before) {
            watch.compare(before, now, &event, &actions);
        }
        actions.into_iter().for_each(|action| self.act(now, action));
    }

    fn act(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { id, machine, timeout } => self.send(now, id, machine, timeout),
            Action::Refuse { id, retry_after: backoff } => self.answer(id, Answer::Refused(backoff)),
            Action::Fail { id } => self.answer(id, Answer::Failed),
            Action::Cancel { id, attempt } => self.land(id, attempt, CallOutcome::Cancelled, Vec::new()),
            Action::Probe { machine } => self.probe(machine),
            Action::Subscribe(on) => self.watch(on),
            Action::FetchList => self.fetch(),
            Action::Timer { name, after } => {
                self.due(now + after, Due::Module(name));
            }
            Action::Vote { build, stage, vote } => self.vote(Ballot { build, stage, vote }),
            Action::CloseIdle { machine } => self.outside.machines.close_idle(machine),
            Action::SendToPeer { peer, bytes } => {
                if let Some(peers) = &self.outside.peers {
                    peers.send(peer, &bytes);
                }
            }
            Action::Log(text) => log::info!("module: {text}"),
        }
    }

    fn watch(&mut self, on: bool) {
        let number = self.outside.discovery.supersede_watches();
        if let Some(standing) = self.watch.take() {
            self.leaving = Some(standing);
        }
        let watch = Rc::clone(&self.outside.discovery).watch(number, self.hub.inputs.clone());
        self.watch = on.then(|| self.outside.executor.spawn(watch));
    }

    fn fetch(&mut self) {
        let fetch = Rc::clone(&self.outside.discovery).fetch(self.hub.inputs.clone());
        self.fetch = Some(self.outside.executor.spawn(fetch));
    }

    fn listen(&mut self) {
        let inputs = &self.hub.inputs;
        let listen = self.outside.platform.map(|address| platform::listen(address, inputs.clone()));
        self._listens = listen.map(|l| self.outside.executor.spawn(l));
    }

    /// What the module has asked for goes on at the new addresses. Danger: the old ones answer nothing
    /// new, and what is told only at the new ones counts as told. A vote on its way ends where it began.
    fn moved(&mut self, to: Addresses) {
        if let Some(peers) = &self.outside.peers {
            peers.set_addresses(to.peers, to.peers_all);
        }
        let from = self.outside.discovery.address();
        if self.outside.discovery.set_address(to.discovery) {
            log::info!(from:%, to:% = to.discovery, watching = self.watch.is_some(), held = self.outside.discovery.index(); "discovery moved");
            // What the old one still says confirms nothing; the module has the new one called in its turn.
            self.watch(false);
            let source = self.outside.discovery.discovery_id();
            self.tell(Event::DiscoveryAddress { discovery_id: source, moved: true });
            if self.fetch.as_ref().is_some_and(|f| !f.is_finished()) {
                self.fetch();
            }
        }
        if std::mem::replace(&mut self.outside.platform, to.platform) != to.platform {
            self.listen();
        }
    }

    fn answer(&mut self, id: RequestId, answer: Answer) {
        if let Some(open) = self.open.get(&id) {
            log::debug!(class = open.exchange.call.class, answer:?; "given up");
            open.exchange.answer(answer);
            if let Some(member) = &self.hub.member {
                member.record_shed_request();
            }
        }
        self.tidy(id);
    }

    /// The moment from which a further attempt of this request must not be written. Danger: the module allows it
    /// while the group of machines remembers the key, and a connection that comes up late brings it after that.
    fn write_by(&self, id: RequestId) -> Option<Micros> {
        let open = self.open.get(&id)?;
        let class = self.settings.module.classes.get(usize::from(open.exchange.call.class))?;
        let out = self.flights.range((id, 0)..=(id, u16::MAX)).map(|f| f.1.sent);
        let first = out.chain(open.ran_from).min()?;
        (class.idempotency == Idempotency::Keyed).then(|| first.saturating_add(class.dedup_window))
    }

    fn send(&mut self, now: Micros, id: RequestId, machine: MachineId, timeout: Micros) {
        let write_by = self.write_by(id);
        let Some(open) = self.open.get_mut(&id) else {
            log::error!("the module sent for request {id}, which is over");
            return;
        };
        let attempt = open.attempts;
        open.attempts += 1;
        let exchange = Rc::clone(&open.exchange);
        let build = self.listed.get(&machine).map_or(0, |m| m.1);
        let late = exchange.is_finished() || now >= exchange.deadline;
        // Danger: a process that stood still wakes up with the module's orders of before; the lease is looked at here.
        let late = late || self.hub.member.as_ref().is_some_and(|m| m.excludes(machine, build));
        if late || u32::from(attempt) >= self.settings.module.max_attempts {
            let (ending, load) = (CallOutcome::NotSent, Vec::new());
            self.follow.push_back(Follow::Outcome { id, attempt, machine, ending, took: 0, load });
            return;
        }
        if log::log_enabled!(log::Level::Debug) {
            let discovery = &self.outside.discovery;
            let age_ms = discovery.last_answered_at().map(|at| at.elapsed().as_millis() as u64);
            let (version, basis) = (discovery.index(), self.front.lease_basis(now, machine));
            log::debug!(id, attempt, machine, build, version, age_ms:?, basis:?; "attempt sent");
        }
        open.out += 1;
        let wait = exchange.deadline - now;
        let wait = if timeout > 0 { wait.min(timeout) } else { wait };
        let until = AttemptDeadlines { expires: now + wait, write_by: write_by.map(|by| by.min(now + wait)) };
        let expires = self.due(until.expires, Due::Attempt(id, attempt));
        let progress = Rc::new(Cell::new(Progress::Connecting));
        if let Some(member) = &self.hub.member {
            member.record_attempt(machine, build);
        }
        let (machines, hub) = (Rc::clone(&self.outside.machines), Rc::clone(&self.hub));
        let told = Rc::clone(&progress);
        let task = self.outside.executor.spawn(async move {
            let tried = machines.attempt(machine, &exchange, until, &told, &hub.clock);
            // A defect met by one attempt ends that attempt only.
            let tried = AssertUnwindSafe(tried).catch_unwind().await;
            let result = match tried {
                Ok(Ok(reply)) => Ok(reply),
                Ok(Err(e)) => {
                    log::debug!("attempt {id}/{attempt}: {e}");
                    Err(e.outcome())
                }
                Err(_) if told.get() == Progress::Written => Err(CallOutcome::Reset),
                Err(_) => Err(CallOutcome::ConnectFailed),
            };
            let _ = hub.inputs.send(Input::AttemptEnded(id, attempt, result)).await;
        });
        let flight = Flight { machine, build, sent: now, expires, progress, _task: task };
        self.flights.insert((id, attempt), flight);
    }

    fn probe(&mut self, machine: MachineId) {
        let (machines, hub) = (Rc::clone(&self.outside.machines), Rc::clone(&self.hub));
        let probe = async move {
            let begun = hub.clock.now();
            let (ending, load) = machines.probe(machine, PROBE_LIMIT).await;
            let took = hub.clock.now() - begun;
            let _ = hub.inputs.send(Input::ProbeEnded(machine, ending, took, load)).await;
        };
        self.outside.executor.spawn(probe).detach();
    }

    fn vote(&mut self, ballot: Ballot) {
        let out = self.hub.member.as_ref().is_some_and(|m| m.withholds_votes());
        let room = self.votes.get() < VOTE_LIMIT && !out;
        let Some(address) = self.outside.platform.filter(|_| room) else {
            let Ballot { build, stage, .. } = ballot;
            let (phase, ending) = (yarrowspoke::interface::Phase::Trial, CallOutcome::ConnectFailed);
            let news =
                RolloutStatus { build, stage, phase, is_vote_reply: true, outcome: ending, cap: 0.0, age: 0 };
            self.follow.push_back(Follow::News(news));
            return;
        };
        let (votes, inputs) = (Rc::clone(&self.votes), self.hub.inputs.clone());
        let limit = self.settings.module.release.vote_timeout;
        votes.set(votes.get() + 1);
        if let Some(member) = &self.hub.member {
            member.record_vote();
        }
        let cast = async move {
            platform::vote(address, ballot, limit, inputs).await;
            votes.set(votes.get() - 1);
        };
        self.outside.executor.spawn(cast).detach();
    }
}
