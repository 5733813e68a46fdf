//! A front's side: its record, its lease, what planners take away, and how it stands at any moment.

use crate::agreed::Holder;
use crate::mutant;
use crate::settings::{Alone, Fleet};
use crate::span::{Recorder, Stance};
use crate::version::{Ages, News, Source, Version};
use crate::wire::{Answer, Heartbeat, Ready, Slot, REPORTS_AT_ONCE};
use crate::Micros;
use std::collections::BTreeMap;

/// One planner, as a front knows it.
#[derive(Clone, Debug, Default)]
struct AtPlanner {
    sent: u64,
    answered: u64,
    acked: u64,
    /// Until when the lease that it granted last holds.
    until: Micros,
    /// When a heartbeat was begun that then failed, with none answered since.
    failed: Option<Micros>,
    vote: Option<Slot>,
    knows: (u64, u64),
    echo: (u64, Micros),
    /// The number of the highest permit that it knows has ended, if it is this front's.
    ended: u64,
}

/// What an answer changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Change {
    /// What is to be left out has changed: see [`FrontSide::leaves_out`].
    pub narrowed: bool,
    /// Its own sources are to be asked again.
    pub again: bool,
    /// Another process was heard under this front's name.
    pub twin: bool,
}

/// The front's side of the ladder.
#[derive(Debug)]
pub struct FrontSide {
    fleet: Fleet,
    name: String,
    incarnation: u64,
    recorder: Recorder,
    planners: Vec<AtPlanner>,
    heard_list: Option<Micros>,
    heard_news: Micros,
    ready: BTreeMap<u32, u16>,
    /// What planners brought: a list newer than its own, and news.
    reconciled_list: Option<Ready>,
    reconciled_news: Option<News>,
    /// A lease was ever held.
    held: bool,
    refused_shrink: u64,
    holder: Holder,
}

impl FrontSide {
    /// A front that has just started; `now` is 0 on its clock.
    pub fn new(fleet: Fleet, name: &str, incarnation: u64, version: Version) -> Self {
        let planners = fleet.planners().map(|_| AtPlanner::default()).collect();
        let recorder = Recorder::new(0, version, fleet.outbox);
        Self {
            name: name.to_owned(),
            incarnation,
            recorder,
            planners,
            heard_list: None,
            heard_news: 0,
            ready: BTreeMap::new(),
            reconciled_list: None,
            reconciled_news: None,
            held: false,
            refused_shrink: 0,
            holder: Holder::default(),
            fleet,
        }
    }

    /// The settings.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Other settings from now on, as told by a reload; who the planners are stays.
    pub fn restate(&mut self, fleet: Fleet) {
        let members = std::mem::take(&mut self.fleet.members);
        self.fleet = Fleet { members, ..fleet };
    }

    /// The record.
    pub fn recorder(&mut self) -> &mut Recorder {
        &mut self.recorder
    }

    /// What it acts on by its own sources.
    pub fn version(&self) -> Version {
        *self.recorder.version()
    }

    fn moves_to(&mut self, now: Micros, wall: Micros, version: Version) {
        let stance = self.stance(now);
        self.recorder.close(now, wall, version, stance);
    }

    /// Its own sources told a list: the index, its digest, and all machines that are ready on it with their builds. An index
    /// below the one held begins another epoch.
    pub fn listed(
        &mut self,
        (now, wall): (Micros, Micros),
        (index, digest): (u64, u64),
        source: Source,
        ready: BTreeMap<u32, u16>,
    ) {
        if source == Source::Discovery {
            self.heard_list = Some(now);
        }
        let mut version = self.version();
        let back = source == Source::Discovery && index < version.list.index;
        let epoch = version.list.epoch + u32::from(back);
        version.list = crate::version::List { index, source, epoch, digest };
        self.ready = ready;
        if self.reconciled_list.as_ref().is_some_and(|b| b.epoch != epoch || b.index <= index) {
            self.reconciled_list = None;
        }
        if version != self.version() {
            self.moves_to(now, wall, version);
        }
    }

    /// Discovery confirmed that nothing has changed.
    pub fn confirmed(&mut self, now: Micros) {
        self.heard_list = Some(now);
    }

    /// Its own source told news.
    pub fn told(&mut self, (now, wall): (Micros, Micros), news: News) {
        self.heard_news = now;
        let mut version = self.version();
        version.news = Some(news);
        let over = |b: &News| news.build != b.build || !b.narrows(&news);
        if self.reconciled_news.as_ref().is_some_and(over) {
            self.reconciled_news = None;
        }
        if version != self.version() {
            self.moves_to(now, wall, version);
        }
    }

    /// Its files were read again.
    pub fn reread(&mut self, (now, wall): (Micros, Micros), (config, operator, settings): (u64, u64, u64)) {
        let version = Version { config, operator, settings, ..self.version() };
        if version != self.version() {
            self.moves_to(now, wall, version);
        }
    }

    /// Closes a span, as is due at every renewal.
    pub fn tick(&mut self, now: Micros, wall: Micros) {
        let version = self.version();
        self.moves_to(now, wall, version);
    }

    /// Until when a majority of planners has granted a lease.
    fn leased_until(&self) -> Micros {
        let mut until: Vec<Micros> = self.planners.iter().map(|p| p.until).collect();
        until.sort_unstable_by(|a, b| b.cmp(a));
        until.get(self.fleet.majority() - 1).copied().unwrap_or(0)
    }

    /// The slot that a majority has voted it into.
    fn out(&self) -> Option<Slot> {
        let votes: Vec<Slot> = self.planners.iter().filter_map(|p| p.vote).collect();
        votes.iter().copied().find(|v| votes.iter().filter(|w| *w == v).count() >= self.fleet.majority())
    }

    /// How it stands. To be looked at before each request taken and each attempt sent: a process that stood still wakes up on
    /// a lease that lapsed meanwhile, and nothing else has told it yet.
    pub fn stance(&self, now: Micros) -> Stance {
        if self.out().is_some() || self.holder.is_out() {
            return Stance::Out;
        }
        let until = self.leased_until();
        if now < until || mutant::is("lease-unchecked") && self.held {
            return Stance::Open;
        }
        // A front that has just started goes by its own sources until its first lease could have come.
        if !self.held && now < self.fleet.lease {
            return Stance::Open;
        }
        // Alone is found out, not supposed: a heartbeat went to every planner after the lease had lapsed, and none answered.
        let alone = self.planners.iter().all(|p| p.failed.is_some_and(|at| at >= until));
        match self.fleet.alone {
            Alone::Serve if alone => Stance::Alone,
            _ => Stance::Narrowed,
        }
    }

    /// Whether a new request may be taken. A narrowed front whose own list was not confirmed for long has no ground to send
    /// anything on: every machine may be draining.
    pub fn takes(&self, now: Micros) -> bool {
        match self.stance(now) {
            Stance::Open | Stance::Alone => true,
            Stance::Narrowed => {
                self.heard_list.is_none_or(|at| now.saturating_sub(at) <= self.fleet.list_within)
            }
            Stance::Out => mutant::is("out-still-serves"),
        }
    }

    /// The build on trial, if one is.
    pub fn on_trial(&self) -> Option<u16> {
        self.version().news.filter(|n| n.phase != 1).map(|n| n.build)
    }

    /// Whether nothing may be sent to this machine of this build now, whatever its own sources say.
    pub fn leaves_out(&self, now: Micros, machine: u32, build: u16) -> bool {
        if self.stance(now) == Stance::Narrowed && self.on_trial().is_some_and(|trial| build >= trial) {
            return true;
        }
        let listed = |b: &Ready| b.machines.binary_search(&(machine, build)).is_ok();
        self.reconciled_list.as_ref().is_some_and(|b| !listed(b))
    }

    /// News that planners brought, where it takes away from what its own source told.
    pub fn narrower_news(&self) -> Option<News> {
        self.reconciled_news
    }

    /// When its list was last confirmed by discovery, if it ever was.
    fn ages(&self, now: Micros) -> Ages {
        Ages { list: now - self.heard_list.unwrap_or(0).min(now), news: now.saturating_sub(self.heard_news) }
    }

    /// Its heartbeat for a planner now.
    pub fn heartbeat(&mut self, planner: usize, now: Micros) -> Heartbeat {
        let (version, stance) = (self.version(), self.stance(now));
        let list = version.list;
        let votes = self.planners.iter().map(|p| p.vote).collect();
        let at = &mut self.planners[planner];
        at.sent += 1;
        let told = at.knows == (list.index, list.digest) || at.knows.0 > list.index;
        let mut shown = version;
        if mutant::is("relay-called-own") {
            if let Some(reconciled) = &self.reconciled_list {
                (shown.list.index, shown.list.digest) = (reconciled.index, reconciled.digest);
            }
        }
        Heartbeat {
            front: self.name.clone(),
            incarnation: self.incarnation,
            number: at.sent,
            now,
            echo: at.echo,
            version: shown,
            ages: Ages::default(),
            reconciled: (self.reconciled_list.as_ref().map_or(0, |b| b.index), self.reconciled_news),
            stance,
            votes,
            head: self.recorder.number(),
            permit: self.holder.word(),
            reports: self.recorder.behind(at.acked, REPORTS_AT_ONCE),
            ready: (!told && list.source == Source::Discovery).then(|| Ready {
                index: list.index,
                epoch: list.epoch,
                digest: list.digest,
                vouched: 1,
                machines: self.ready.iter().map(|(m, b)| (*m, *b)).collect(),
            }),
        }
        .aged(self.ages(now))
    }

    /// A heartbeat has failed that was begun at `sent_at`.
    pub fn failed(&mut self, planner: usize, sent_at: Micros) {
        let at = &mut self.planners[planner];
        at.failed = Some(at.failed.unwrap_or(0).max(sent_at));
    }

    /// A planner has answered the heartbeat that was begun at `sent_at`.
    pub fn answered(&mut self, planner: usize, sent_at: Micros, now: Micros, answer: Answer) -> Change {
        let lease = answer.lease.min(self.fleet.lease);
        let at = &mut self.planners[planner];
        if answer.number <= at.answered || answer.number > at.sent {
            return Change::default();
        }
        (at.answered, at.failed, at.vote) = (answer.number, None, answer.vote);
        // The lease counts from when its heartbeat was sent, by this front's own clock: that is before any planner granted it.
        at.until = if lease > 0 { sent_at + lease } else { 0 };
        (at.acked, at.knows) = (answer.acked, answer.knows);
        at.echo = (answer.incarnation, answer.now);
        // By the clock of now, not of the heartbeat: it may have stood still in between.
        let held = self.holder.word().map_or(0, |w| w.0);
        let stands = answer.permit.as_ref().is_some_and(|p| p.number == held);
        at.ended = if !stands && answer.granted >= held { held } else { 0 };
        self.holder.shown(now, self.incarnation, answer.permit.as_ref(), self.fleet.lease / 2);
        // Taken from it by name, or done in the eyes of a majority: there is nothing left to be out by.
        if self.planners.iter().filter(|p| held > 0 && p.ended == held).count() >= self.fleet.majority() {
            self.holder.end(now);
        }
        self.held |= sent_at < self.leased_until();
        // Kept until a majority has it, and every other planner that answers: those that don't get it from these.
        let mut acked: Vec<u64> = self.planners.iter().map(|p| p.acked).collect();
        acked.sort_unstable_by(|a, b| b.cmp(a));
        let answering = self.planners.iter().filter(|p| p.failed.is_none()).map(|p| p.acked).min();
        self.recorder.drop_to(acked[self.fleet.majority() - 1].min(answering.unwrap_or(0)));
        let mut change = Change { narrowed: false, again: answer.again, twin: answer.twin };
        if mutant::is("relay-ignored") {
            return change;
        }
        let own = self.version();
        if let Some(ready) = answer.ready {
            let newer = ready.epoch == own.list.epoch && ready.index > own.list.index;
            let held = self.reconciled_list.as_ref().is_some_and(|b| b.index >= ready.index);
            // Danger: one front that was told nonsense must not empty all others; what takes most machines away at once is
            // believed only where two fronts hold it from their own sources.
            let left =
                self.ready.iter().filter(|(m, b)| ready.machines.binary_search(&(**m, **b)).is_ok()).count();
            if newer && !held && 2 * left < self.ready.len() && ready.vouched < 2 {
                self.refused_shrink += 1;
            } else if newer && !held {
                self.reconciled_list = Some(ready);
                change.narrowed = true;
            }
        }
        if let (Some(news), Some(told)) = (answer.news, own.news) {
            let narrower = self.reconciled_news.is_none_or(|b| news.narrows(&b));
            if news.narrows(&told) && narrower {
                self.reconciled_news = Some(news);
                change.narrowed = true;
            }
        }
        change
    }

    /// Lists from planners that were held back for taking most machines away.
    pub fn refused_shrinks(&self) -> u64 {
        self.refused_shrink
    }
}

impl Heartbeat {
    fn aged(self, ages: Ages) -> Self {
        Self { ages, ..self }
    }
}
