//! The experiment `rules`: a large set of matching expressions, hostile ones offered beside it, its cost for a request.
//!
//! The verdict hangs on steps alone: what a request in fact took must stay within the bound that was computed at load,
//! every request must meet the same rules by the index and by the plain ways, and nothing hostile may be accepted. Times
//! are of this machine and this run; the ratio to the plain way is of one run.

pub mod draw;
pub mod fuzz;

use draw::{Draw, Drawn};
use serde::Serialize;
use std::time::Instant;
use yarrowspoke_expr::bounds::Bounds;
use yarrowspoke_expr::ruling::RuleActions;
use yarrowspoke_expr::set::{Order, RuleSet, RuleSetSource, RuleSource, Scratch};

/// One rule in so many has a regular expression.
const PATTERN_EVERY: usize = 10;
/// Rules in a set that nothing finds by a constant.
const GENERAL: usize = 5;
/// Requests that each plain way is timed on: they take long.
const PLAIN_REQUESTS: usize = 400;

/// How the experiment is run.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Rules of the set.
    pub rules: usize,
    /// Requests.
    pub requests: usize,
    /// The same seed draws the same rules and requests.
    pub seed: u64,
    /// First match, or all.
    pub order: Order,
}

/// What it showed.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Rules in force.
    pub rules: usize,
    /// Regular expressions among them.
    pub patterns: usize,
    /// Hostile texts refused at load.
    pub refused_at_load: usize,
    /// Hostile texts offered.
    pub hostile: usize,
    /// Names of those that were accepted.
    pub accepted: Vec<&'static str>,
    /// Longest time that a hostile text took to be refused, in milliseconds.
    pub refusal_max_ms: f64,
    /// Time to compile the set, in milliseconds.
    pub compile_ms: f64,
    /// Steps that a request may cost, computed at load.
    pub static_bound_steps: u64,
    /// Most steps that a request took.
    pub worst_steps_seen: u64,
    /// Requests.
    pub requests: usize,
    /// Requests for which the ways did not agree.
    pub disagreed: usize,
    /// Requests for which a rule held.
    pub matched: usize,
    /// Median time of a request, in microseconds.
    pub p50_us: f64,
    /// 99.9th percentile.
    pub p999_us: f64,
    /// Longest.
    pub max_us: f64,
    /// Time of trying each compiled rule in turn over ours, same run.
    pub naive_ratio: f64,
    /// Time of walking each rule's syntax tree in turn over ours, same run.
    pub walk_ratio: f64,
    /// Bytes of the compiled set.
    pub bytes: usize,
}

impl Report {
    /// What it checks: steps within the bound, the ways agree, nothing hostile accepted.
    pub fn held(&self) -> bool {
        self.worst_steps_seen <= self.static_bound_steps && self.accepted.is_empty() && self.disagreed == 0
    }
}

/// A set as engineers would write it.
pub fn everyday(draw: &mut Draw, rules: usize, order: Order) -> RuleSetSource {
    let mut all: Vec<RuleSource> = (0..GENERAL.min(rules)).map(|n| draw.general(n)).collect();
    all.extend((all.len()..rules).map(|n| draw.everyday(n, n % PATTERN_EVERY == 0)));
    // Room for the rules that all look at one constant, as all of one section do.
    let bounds = Bounds { max_steps: 50_000, max_bytes: 16 * 1024 * 1024, ..Bounds::default() };
    RuleSetSource { order, bounds, rules: all }
}

/// Offers every hostile text beside a set that is right: how many there were, which were accepted, and the longest
/// time to refuse one, in milliseconds.
pub fn offer_hostile(draw: &mut Draw) -> (usize, Vec<&'static str>, f64) {
    let texts = draw.hostile();
    let mut accepted = Vec::new();
    let mut longest = 0f64;
    for (name, text) in &texts {
        let mut set = everyday(draw, 20, Order::First);
        set.bounds = Bounds::default();
        let actions = RuleActions { at_most_once: true, ..RuleActions::default() };
        set.rules.push(RuleSource { name: "hostile".to_owned(), when: text.clone(), actions });
        let begun = Instant::now();
        if RuleSet::compile(&set).is_ok() {
            accepted.push(*name);
        }
        longest = longest.max(begun.elapsed().as_secs_f64() * 1e3);
    }
    (texts.len(), accepted, longest)
}

/// Runs the experiment; `done` is told of each request.
pub fn run(options: Options, done: impl Fn()) -> Result<Report, String> {
    let mut draw = Draw::new(options.seed);
    let (hostile, accepted, refusal_max_ms) = offer_hostile(&mut draw);
    let source = everyday(&mut draw, options.rules, options.order);
    let begun = Instant::now();
    let set = RuleSet::compile(&source).map_err(|f| format!("the set is refused: {f:?}"))?;
    let compile_ms = begun.elapsed().as_secs_f64() * 1e3;
    let requests: Vec<Drawn> =
        (0..options.requests).map(|_| draw.request(source.bounds.max_target_bytes, options.rules)).collect();
    let mut scratch = Scratch::new(&set, options.seed);
    let mut report = Report {
        seed: options.seed,
        rules: set.len(),
        patterns: set.regexes().0,
        refused_at_load: hostile - accepted.len(),
        hostile,
        accepted,
        refusal_max_ms,
        compile_ms,
        static_bound_steps: set.cost(),
        worst_steps_seen: 0,
        requests: requests.len(),
        disagreed: 0,
        matched: 0,
        p50_us: 0.0,
        p999_us: 0.0,
        max_us: 0.0,
        naive_ratio: 0.0,
        walk_ratio: 0.0,
        bytes: set.bytes(),
    };
    // Counted, and held against the ways without an index.
    let trees = set.syntax_trees();
    for (n, drawn) in requests.iter().enumerate() {
        let headers = drawn.headers(set.headers());
        let request = drawn.request(&headers);
        let ruling = set.evaluate::<true>(&mut scratch, &request);
        report.worst_steps_seen = report.worst_steps_seen.max(scratch.steps());
        report.matched += usize::from(ruling.matched > 0);
        if n < PLAIN_REQUESTS {
            let found = set.matches_indexed(&mut scratch, &request);
            let same = found == set.matches_sequential(&mut scratch, &request)
                && found == set.matches_interpreted(&trees, &request);
            report.disagreed += usize::from(!same);
        }
        done();
    }
    // Timed, nothing counted.
    let mut times = Vec::with_capacity(requests.len());
    for drawn in &requests {
        let headers = drawn.headers(set.headers());
        let request = drawn.request(&headers);
        let begun = Instant::now();
        std::hint::black_box(set.evaluate::<false>(&mut scratch, &request));
        times.push(begun.elapsed().as_secs_f64() * 1e6);
        done();
    }
    let plain = &requests[..requests.len().min(PLAIN_REQUESTS)];
    let ours: f64 = times[..plain.len()].iter().sum();
    let mut timed = |way: &mut dyn FnMut(&mut Scratch, &Drawn)| {
        let begun = Instant::now();
        plain.iter().for_each(|drawn| way(&mut scratch, drawn));
        begun.elapsed().as_secs_f64() * 1e6 / ours.max(f64::MIN_POSITIVE)
    };
    report.naive_ratio = timed(&mut |scratch, drawn| {
        let headers = drawn.headers(set.headers());
        std::hint::black_box(set.matches_sequential(scratch, &drawn.request(&headers)));
    });
    report.walk_ratio = timed(&mut |_, drawn| {
        let headers = drawn.headers(set.headers());
        std::hint::black_box(set.matches_interpreted(&trees, &drawn.request(&headers)));
    });
    times.sort_by(f64::total_cmp);
    let at = |p: f64| times.get(((times.len() as f64 * p) as usize).min(times.len().saturating_sub(1)));
    report.p50_us = at(0.5).copied().unwrap_or(0.0);
    report.p999_us = at(0.999).copied().unwrap_or(0.0);
    report.max_us = times.last().copied().unwrap_or(0.0);
    Ok(report)
}

/// The report for a terminal.
pub fn table(r: &Report) -> String {
    format!(
        "{} rules, {} patterns, {} bytes, compiled in {:.0} ms\n\
         hostile: {} of {} refused at load, the slowest in {:.1} ms{}\n\
         steps: {} bound, {} seen at the most, over {} requests ({} met a rule, {} disagreed)\n\
         time: p50 {:.2} us, p99.9 {:.2} us, max {:.2} us; each rule in turn takes {:.0} times as long, \
         walking the trees {:.0} times\n",
        r.rules,
        r.patterns,
        r.bytes,
        r.compile_ms,
        r.refused_at_load,
        r.hostile,
        r.refusal_max_ms,
        if r.accepted.is_empty() { String::new() } else { format!("; accepted: {}", r.accepted.join(", ")) },
        r.static_bound_steps,
        r.worst_steps_seen,
        r.requests,
        r.matched,
        r.disagreed,
        r.p50_us,
        r.p999_us,
        r.max_us,
        r.naive_ratio,
        r.walk_ratio,
    )
}
