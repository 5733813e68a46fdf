//! The checker: holds what the audit and the planners say against what stand-ins, clients and looks from outside saw.
//!
//! It shares no code with the fleet's own crate. Whatever a bound of time decides here is wide: a figure is reported beside it.

use super::audit::{Watched, LEASE_MS, MOST_OUT};
use super::schedule::Kind;
use super::world::Seen;
use super::zone;
use serde::Serialize;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Rule 3's grace, with the protocol's slack and some for a crowded machine.
const DRAIN_WITHIN: u64 = 900_000;
/// A straggler that reaches a planner has what it lacks within this; the aim is 500 ms from a planner's knowing.
const RECONCILED_WITHIN: u64 = 1_800_000;
/// A front's last attempts, and its spans, may be seen so much later or earlier than it notes them.
const APART: u64 = 150_000;
/// How long a planner may call a front current that it has not heard: a lease, its drift, and a look.
const SILENT: u64 = LEASE_MS * 1_000 + 900_000;
/// After a front's quarantine was acknowledged, calls that were under way are over within this.
const SETTLED: u64 = 200_000;

/// What was found; all but the first five are wrongs.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Findings {
    /// Attempts that machines saw.
    pub attempts_seen: u64,
    /// Of these, attempts that the audit holds.
    pub attempts_audited: u64,
    /// Of these, attempts that the audit holds not, within stretches that it calls unknown.
    pub attempts_unknown: u64,
    /// Fronts that were behind for longer than the bound, by what discovery had told them.
    pub stragglers: u64,
    /// Of these, how many planners said were reconciled.
    pub reconciled: u64,
    /// How often a front was quarantined.
    pub quarantined: u64,
    /// Calls that clients made, and those that were served.
    pub calls: u64,
    /// Those served.
    pub served: u64,
    /// Audit against what a stand-in saw or told.
    pub contradicted: u64,
    /// A planner called a front current that was not, or of which it could not know.
    pub called_current_but_old: u64,
    /// Calls sent to a front behind its acknowledged quarantine that reached a machine.
    pub sent_after_quarantine: u64,
    /// Attempts at a build on trial by a front whose leases had surely lapsed.
    pub sent_without_lease: u64,
    /// Looks at which more fronts were out than the limits allow.
    pub out_over_limit: u64,
    /// Drains not kept by a front that was told, or that could be reconciled.
    pub rules_broken: u64,
    /// Calls without a final answer, or with what no machine made for them.
    pub requests_lost: u64,
    /// Calls with an effect that reached machines twice.
    pub requests_doubled: u64,
    /// Spans of fronts that still run, missing at a planner after all faults have ended.
    pub spans_missing: u64,
    /// Processes that ended by themselves.
    pub crashed: u64,
    /// Milliseconds of each reconciliation.
    #[serde(skip)]
    pub reconcile_ms: Vec<u64>,
    /// The first of each wrong, in words.
    pub first: BTreeMap<&'static str, String>,
}

impl Findings {
    fn all(&self) -> [(&'static str, u64); 11] {
        [
            ("contradicted", self.contradicted),
            ("called_current_but_old", self.called_current_but_old),
            ("sent_after_quarantine", self.sent_after_quarantine),
            ("sent_without_lease", self.sent_without_lease),
            ("out_over_limit", self.out_over_limit),
            ("rules_broken", self.rules_broken),
            ("requests_lost", self.requests_lost),
            ("requests_doubled", self.requests_doubled),
            ("spans_missing", self.spans_missing),
            ("crashed", self.crashed),
            (
                "seen is not audited and unknown",
                u64::from(self.attempts_seen != self.attempts_audited + self.attempts_unknown),
            ),
        ]
    }

    /// Names of the wrongs that there are, with how many.
    pub fn wrongs(&self) -> Vec<String> {
        self.all().iter().filter(|w| w.1 > 0).map(|w| format!("{} {}", w.0, w.1)).collect()
    }

    /// In words.
    pub fn told(&self) -> String {
        let mut text = format!(
            "attempts seen {}, audited {}, unknown {}; stragglers {}, reconciled {}, quarantined {}; {} of {} calls served\n",
            self.attempts_seen,
            self.attempts_audited,
            self.attempts_unknown,
            self.stragglers,
            self.reconciled,
            self.quarantined,
            self.served,
            self.calls
        );
        let wrongs: Vec<String> = self.all().iter().map(|w| format!("{} {}", w.0, w.1)).collect();
        text += &wrongs.join(", ");
        for (name, first) in &self.first {
            text += &format!("\n  first {name}: {first}");
        }
        text
    }

    /// Adds those of another trial.
    pub fn add(&mut self, other: Self) {
        let sums: [(&mut u64, u64); 18] = [
            (&mut self.attempts_seen, other.attempts_seen),
            (&mut self.attempts_audited, other.attempts_audited),
            (&mut self.attempts_unknown, other.attempts_unknown),
            (&mut self.stragglers, other.stragglers),
            (&mut self.reconciled, other.reconciled),
            (&mut self.quarantined, other.quarantined),
            (&mut self.calls, other.calls),
            (&mut self.served, other.served),
            (&mut self.contradicted, other.contradicted),
            (&mut self.called_current_but_old, other.called_current_but_old),
            (&mut self.sent_after_quarantine, other.sent_after_quarantine),
            (&mut self.sent_without_lease, other.sent_without_lease),
            (&mut self.out_over_limit, other.out_over_limit),
            (&mut self.rules_broken, other.rules_broken),
            (&mut self.requests_lost, other.requests_lost),
            (&mut self.requests_doubled, other.requests_doubled),
            (&mut self.spans_missing, other.spans_missing),
            (&mut self.crashed, other.crashed),
        ];
        sums.into_iter().for_each(|(sum, n)| *sum += n);
        for (name, first) in other.first {
            self.first.entry(name).or_insert(first);
        }
    }

    fn wrong(&mut self, name: &'static str, what: impl FnOnce() -> String) {
        let count = match name {
            "contradicted" => &mut self.contradicted,
            "called_current_but_old" => &mut self.called_current_but_old,
            "sent_after_quarantine" => &mut self.sent_after_quarantine,
            "sent_without_lease" => &mut self.sent_without_lease,
            "out_over_limit" => &mut self.out_over_limit,
            "rules_broken" => &mut self.rules_broken,
            "requests_lost" => &mut self.requests_lost,
            "requests_doubled" => &mut self.requests_doubled,
            "spans_missing" => &mut self.spans_missing,
            _ => &mut self.crashed,
        };
        *count += 1;
        self.first.entry(name).or_insert_with(what);
    }
}

/// The number by which fronts call a machine: FNV-1a of its name, as the front's protocol page says.
fn machine_number(machine: usize) -> u64 {
    let name = format!("m{machine}");
    u64::from(name.bytes().fold(0x811c_9dc5u32, |h, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193)))
}

impl Watched {
    /// Whether a fault of these kinds lay on a front at any time of a stretch.
    fn hit(&self, front: usize, kinds: &[Kind], from: u64, to: u64) -> bool {
        let on = |f: &&(super::schedule::Fault, u64, u64)| f.0.who == front && kinds.contains(&f.0.kind);
        self.faults.iter().filter(on).any(|f| f.1 < to && f.2 > from)
    }

    /// What discovery had told a front by then: the highest version.
    fn told(&self, front: usize, by: u64) -> u64 {
        let told = self.seen.iter().filter(|s| s.0 <= by).filter_map(|s| match s.1 {
            Seen::List { front: f, index } if f == front => Some(index),
            _ => None,
        });
        told.max().unwrap_or(0)
    }
}

/// Kinds under which a front does nothing at all.
const GONE: [Kind; 2] = [Kind::Stop, Kind::Kill];
/// Kinds under which what discovery wrote need not have reached the front.
const UNTOLD: [Kind; 5] =
    [Kind::CutDiscovery, Kind::DeafToDiscovery, Kind::SlowDiscovery, Kind::Stop, Kind::Kill];

/// Checks one trial.
pub fn check(w: &Watched) -> Findings {
    let mut found = Findings::default();
    for ended in &w.ended {
        found.wrong("crashed", || ended.clone());
    }
    for (n, audit) in w.audits.iter().enumerate() {
        match audit {
            None => found.wrong("crashed", || format!("planner {n} gives no audit")),
            Some(audit) => {
                for c in audit["contradictions"].as_array().into_iter().flatten() {
                    found.wrong("contradicted", || format!("planner {n} itself: {c}"));
                }
            }
        }
    }
    attempts(w, &mut found);
    versions(w, &mut found);
    statuses(w, &mut found);
    limits(w, &mut found);
    drains(w, &mut found);
    trial(w, &mut found);
    calls(w, &mut found);
    found
}

/// The incarnation of a front in which something happened.
fn incarnation_at(w: &Watched, front: usize, at: u64) -> usize {
    w.incarnations[front].iter().rposition(|l| l.0 <= at).unwrap_or(0)
}

/// The audits' incarnations: every planner is to know all in the end, so each is held against what was seen.
fn attempts(w: &Watched, found: &mut Findings) {
    // By machine, not by build: a front that has just started notes the build that its list names, which may be an old one.
    let mut seen: BTreeMap<(usize, usize, u64), Vec<u64>> = BTreeMap::new();
    for (at, s) in &w.seen {
        if let Seen::Attempt { front, machine, .. } = s {
            let key = (*front, incarnation_at(w, *front, *at), machine_number(*machine));
            seen.entry(key).or_default().push(*at);
        }
    }
    let ended = w.looks.last().map_or(0, |l| l.at);
    for (n, audit) in w.audits.iter().enumerate().filter_map(|(n, a)| Some((n, a.as_ref()?))) {
        let mut audited: BTreeMap<(usize, usize, u64), u64> = BTreeMap::new();
        let mut unknown: BTreeMap<(usize, usize), Vec<(u64, u64)>> = BTreeMap::new();
        let mut known: BTreeSet<(usize, usize)> = BTreeSet::new();
        for one in audit["lives"].as_array().into_iter().flatten() {
            let Some((front, number)) = incarnation_of(w, one) else {
                found.wrong("contradicted", || {
                    format!("planner {n}: an incarnation that was never started: {}", one["front"])
                });
                continue;
            };
            known.insert((front, number));
            for row in one["rows"].as_array().into_iter().flatten() {
                for a in row["span"]["attempts"].as_array().into_iter().flatten() {
                    let field = |i: usize| a[i].as_u64().unwrap_or(0);
                    *audited.entry((front, number, field(0))).or_default() += field(2);
                }
            }
            // Wall clock and world differ by what they were apart at the incarnation's start; all run on one machine here.
            let (world, wall) = w.incarnations[front][number];
            let to_world = |t: u64| (t + world).saturating_sub(wall);
            for u in one["unknown"].as_array().into_iter().flatten() {
                let from = u["from_wall"].as_u64().filter(|t| *t > 0).map_or(world, to_world);
                let until = u["until_wall"].as_u64().map_or(u64::MAX, to_world);
                unknown.entry((front, number)).or_default().push((from, until));
                let runs = number + 1 == w.incarnations[front].len();
                // What is younger may still be on its way from one planner to another.
                let settled = until.saturating_add(2_000_000) < ended;
                if runs && settled && u["why"].as_str().is_some_and(|why| why.contains("have not come")) {
                    found.wrong("spans_missing", || format!("planner {n}: f{front}: {}", u["why"]));
                }
            }
        }
        for ((front, incarnation, machine), times) in &seen {
            let held = audited.get(&(*front, *incarnation, *machine)).copied().unwrap_or(0);
            let total = times.len() as u64;
            let missing = total.saturating_sub(held);
            let in_unknown = |t: &&u64| {
                let spans = unknown.get(&(*front, *incarnation));
                // Of an incarnation that nobody ever heard, all is unknown.
                !known.contains(&(*front, *incarnation))
                    || spans
                        .is_some_and(|all| all.iter().any(|u| u.0.saturating_sub(APART) <= **t && **t <= u.1))
            };
            let explained = times.iter().filter(in_unknown).count() as u64;
            if n == 0 {
                found.attempts_seen += total;
                found.attempts_audited += total - missing;
                found.attempts_unknown += missing.min(explained);
            }
            if missing > explained {
                found.wrong("contradicted", || {
                    format!("planner {n}: f{front} incarnation {incarnation}: {total} attempts seen at machine {machine}, {held} audited, {explained} in unknown stretches")
                });
            }
        }
    }
}

fn incarnation_of(w: &Watched, one: &Value) -> Option<(usize, usize)> {
    let front: usize = one["front"].as_str()?.strip_prefix('f')?.parse().ok()?;
    let (incarnation, incarnations) = (one["incarnation"].as_u64()?, w.incarnations.get(front)?);
    Some((front, incarnations.iter().rposition(|l| l.1 <= incarnation)?))
}

/// No front may be said to have acted on a list that nobody had told it yet.
fn versions(w: &Watched, found: &mut Findings) {
    for (n, audit) in w.audits.iter().enumerate().filter_map(|(n, a)| Some((n, a.as_ref()?))) {
        for one in audit["lives"].as_array().into_iter().flatten() {
            let Some((front, number)) = incarnation_of(w, one) else { continue };
            let (world, wall) = w.incarnations[front][number];
            for row in one["rows"].as_array().into_iter().flatten() {
                let span = &row["span"];
                let ended = (span["wall"].as_u64().unwrap_or(0) + world).saturating_sub(wall);
                let list = &span["version"]["list"];
                let index = list["index"].as_u64().unwrap_or(0);
                if list["source"] == "Discovery" && index > w.told(front, ended + APART) {
                    found.wrong("contradicted", || {
                        format!(
                            "planner {n}: f{front} on list {index} at {ended} us, told {}",
                            w.told(front, ended + APART)
                        )
                    });
                }
            }
        }
    }
}

fn named(status: &Value, front: usize) -> Option<&Value> {
    let name = format!("f{front}");
    status["fronts"].as_array()?.iter().find(|f| f["name"] == name.as_str())
}

/// What planners said of fronts while it all went on.
fn statuses(w: &Watched, found: &mut Findings) {
    let fronts = w.incarnations.len();
    let (mut stragglers, mut reconciled, mut outs) = (BTreeSet::new(), BTreeSet::new(), BTreeSet::new());
    for look in &w.looks {
        for (n, status) in look.status.iter().enumerate().filter_map(|(n, s)| Some((n, s.as_ref()?))) {
            for front in 0..fronts {
                let Some(f) = named(status, front) else { continue };
                let step = f["step"].as_str().unwrap_or("");
                if step == "reconciled" {
                    reconciled.insert(front);
                }
                if step == "out" || step == "ordered-out" {
                    outs.insert(front);
                }
                if step != "current" {
                    continue;
                }
                // It stands still, is dead or is cut off for longer than a lease: nobody can know that it is current.
                let since = look.at.saturating_sub(SILENT);
                let dumb = [Kind::Stop, Kind::Kill, Kind::CutPlanners];
                let silent = w.faults.iter().any(|x| {
                    x.0.who == front && dumb.contains(&x.0.kind) && x.1 <= since && x.2 > look.at + APART
                });
                // Or this very planner heard another front lately that was told something newer long ago.
                let had = w.told(front, look.at);
                let newer = (0..fronts).any(|g| {
                    let heard =
                        named(status, g).filter(|g| g["heard_ms_ago"].as_u64().is_some_and(|ms| ms < 500));
                    let old = look.at.saturating_sub(2_600_000);
                    heard.is_some_and(|h| h["version"]["list"]["index"].as_u64().unwrap_or(0) > had)
                        && w.told(g, old) > had
                        && f["heard_ms_ago"].as_u64().is_some_and(|ms| ms < 500)
                });
                if silent || newer {
                    found.wrong("called_current_but_old", || {
                        let on = |f: &Value| f["version"]["list"].to_string();
                        let all: Vec<String> = (0..fronts).filter_map(|g| named(status, g)).map(on).collect();
                        format!(
                            "planner {n} at {} us calls f{front} current: silent {silent}, older {newer}; lists {all:?}",
                            look.at
                        )
                    });
                }
            }
        }
    }
    for front in 0..fronts {
        let behind = w.changes.iter().any(|c| {
            let later = c.0 + 1_500_000;
            w.told(front, later) < c.1
                && w.hit(front, &UNTOLD, c.0, later)
                && !w.hit(front, &GONE, c.0, later)
        });
        if behind {
            stragglers.insert(front);
        }
    }
    found.stragglers += stragglers.len() as u64;
    found.reconciled += reconciled.len() as u64;
    found.quarantined += outs.len() as u64;
}

/// Never more out than allowed, by `GET /up` of fronts that can hold a lease and are neither starting nor dead.
fn limits(w: &Watched, found: &mut Findings) {
    let fronts = w.incarnations.len();
    // The build on trial, its list and its leases settle first.
    let begun = w.looks.first().map_or(0, |l| l.at) + 1_000_000;
    for look in w.looks.iter().filter(|l| l.at > begun) {
        let since = look.at.saturating_sub(2_500_000);
        let able = |front: usize| {
            let cut = [Kind::CutPlanners, Kind::DeafToPlanners, Kind::Stop, Kind::Kill, Kind::Spoilt];
            !w.hit(front, &cut, since, look.at + 500_000)
        };
        let out: Vec<usize> = (0..fronts).filter(|f| look.up[*f] == Some(503) && able(*f)).collect();
        let most_of_zone =
            (0..w.zones).map(|z| out.iter().filter(|f| zone(**f, w.zones) == zone(z, w.zones)).count()).max();
        if out.len() > MOST_OUT.0 || most_of_zone.unwrap_or(0) > MOST_OUT.1 {
            found.wrong("out_over_limit", || format!("at {} us out: {out:?}", look.at));
        }
    }
    // Calls behind an acknowledged quarantine reach no machine.
    let arrived: BTreeSet<&str> = w
        .seen
        .iter()
        .filter_map(|s| if let Seen::Attempt { id, .. } = &s.1 { Some(id.as_str()) } else { None })
        .collect();
    for front in 0..fronts {
        let acknowledged = |l: &&super::audit::Look| {
            let out = |s: &Value| named(s, front).is_some_and(|f| f["out"] == "acknowledged");
            l.status.iter().flatten().any(out)
        };
        let Some(first) = w.looks.iter().find(acknowledged).map(|l| l.at) else { continue };
        // The first stretch of it, less what a planner may not know yet when it ends.
        let looks = w.looks.iter().filter(|l| l.at >= first);
        let mut last = first;
        for look in looks {
            if acknowledged(&look) {
                last = look.at;
            } else if look.at > last + 400_000 {
                break;
            }
        }
        let stretch = first + SETTLED..last.saturating_sub(800_000);
        for call in w.calls.iter().filter(|c| c.front == front) {
            if call.sent.is_some_and(|t| stretch.contains(&t)) && arrived.contains(call.id.as_str()) {
                found.wrong("sent_after_quarantine", || {
                    format!("f{front} sent on {} at {:?}", call.id, call.sent)
                });
            }
        }
    }
}

/// Drains: kept by whoever was told, and by whoever could be reconciled.
fn drains(w: &Watched, found: &mut Findings) {
    let fronts = w.incarnations.len();
    for (at, index, machine, status) in &w.changes {
        if *status != "draining" {
            continue;
        }
        let back =
            w.changes.iter().find(|c| c.0 > *at && c.2 == *machine && c.3 == "up").map_or(u64::MAX, |c| c.0);
        let first_told = (0..fronts).filter_map(|f| told_at(w, f, *index)).min();
        // When a planner knew, to the grain of the looks.
        let knows = |s: &Value| {
            let on = |f: &Value| f["version"]["list"]["index"].as_u64().unwrap_or(0) >= *index;
            s["fronts"].as_array().is_some_and(|all| all.iter().any(on))
        };
        let known = w.looks.iter().find(|l| l.at > *at && l.status.iter().flatten().any(knows)).map(|l| l.at);
        for front in 0..fronts {
            let attempts = w.seen.iter().filter(|s| s.0 > *at && s.0 < back).filter_map(|s| match &s.1 {
                Seen::Attempt { front: f, machine: m, .. } if f == &front && m == machine => Some(s.0),
                _ => None,
            });
            let attempts: Vec<u64> = attempts.collect();
            let window = (*at, back.min(at + 3_000_000));
            if let Some(told) =
                told_at(w, front, *index).filter(|_| !w.hit(front, &UNTOLD, at - 1_000_000, window.1))
            {
                if let Some(late) = attempts.iter().find(|t| **t > told + DRAIN_WITHIN) {
                    found.wrong("rules_broken", || {
                        format!("f{front} sent to m{machine} {} us after it was told", late - told)
                    });
                }
            }
            let own_dead = [Kind::CutDiscovery, Kind::DeafToDiscovery];
            let unreached = [Kind::CutPlanners, Kind::DeafToPlanners, Kind::Stop, Kind::Kill, Kind::Spoilt];
            let cut = w.hit(front, &own_dead, at.saturating_sub(200_000), *at)
                && told_at(w, front, *index).is_none_or(|t| t > window.1);
            let first_told =
                first_told.filter(|_| cut && !w.hit(front, &unreached, at - 2_000_000, window.1));
            if let Some(known) = known.filter(|_| first_told.is_some_and(|t| t < at + 500_000)) {
                let last =
                    attempts.iter().copied().filter(|t| *t < window.1).max().unwrap_or(known).max(known);
                found.reconcile_ms.push((last - known) / 1_000);
                if last > known + RECONCILED_WITHIN {
                    found.wrong("rules_broken", || {
                        format!(
                            "f{front}, cut from discovery, sent to m{machine} {} us after a planner knew",
                            last - known
                        )
                    });
                }
            }
        }
    }
}

fn told_at(w: &Watched, front: usize, index: u64) -> Option<u64> {
    w.seen.iter().find_map(|s| match s.1 {
        Seen::List { front: f, index: i } if f == front && i >= index => Some(s.0),
        _ => None,
    })
}

/// A front that no planner can grant a lease to sends nothing to the build on trial once the last one has lapsed.
fn trial(w: &Watched, found: &mut Findings) {
    for (fault, from, to) in &w.faults {
        if !matches!(fault.kind, Kind::CutPlanners | Kind::DeafToPlanners) {
            continue;
        }
        let lapsed = from + LEASE_MS * 1_000 + 500_000;
        for (at, s) in &w.seen {
            let Seen::Attempt { front, machine, build: 2, .. } = s else { continue };
            if *front == fault.who && (lapsed..*to).contains(at) && (w.trial.0..w.trial.1).contains(at) {
                found.wrong("sent_without_lease", || {
                    format!("f{front} sent to m{machine} {} us after the cut", at - from)
                });
            }
        }
    }
}

/// Every call that a running front took gets one final answer, made by a machine for it if it is served.
fn calls(w: &Watched, found: &mut Findings) {
    let mut arrivals: BTreeMap<&str, u32> = BTreeMap::new();
    for (_, s) in &w.seen {
        if let Seen::Attempt { id, safe: false, .. } = s {
            *arrivals.entry(id).or_default() += 1;
        }
    }
    for (id, n) in arrivals.iter().filter(|a| *a.1 > 1) {
        found.wrong("requests_doubled", || format!("{id} reached machines {n} times"));
    }
    for call in &w.calls {
        found.calls += 1;
        let Some(sent) = call.sent else { continue };
        let due = sent + call.budget + 500_000;
        let gone = w.hit(call.front, &GONE, sent.saturating_sub(500_000), due);
        match call.answer {
            Some((_, 200, true)) => found.served += 1,
            Some((_, 200, false)) => {
                found.wrong("requests_lost", || {
                    format!("{} served with what no machine made for it", call.id)
                });
            }
            Some((at, ..)) if at <= due || gone => {}
            _ if gone => {}
            _ => {
                found.wrong("requests_lost", || format!("{} at f{}: {:?}", call.id, call.front, call.answer))
            }
        }
    }
}
