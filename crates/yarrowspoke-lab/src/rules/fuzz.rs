//! Long runs against the language: drawn sets by which the three ways to find rules are held against each other, and
//! texts made by changing known ones, which must be read or refused without a panic and print as what they mean.

use super::draw::Draw;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rayon::prelude::*;
use serde::Serialize;
use std::panic::{catch_unwind, AssertUnwindSafe};
use yarrowspoke_expr::bounds::Bounds;
use yarrowspoke_expr::parse::parse;
use yarrowspoke_expr::ruling::RuleActions;
use yarrowspoke_expr::set::{Order, RuleSet, RuleSetSource, RuleSource, Scratch};

/// Requests that each drawn set is tried on.
const REQUESTS: usize = 12;
/// Failures that are told in full.
const TOLD: usize = 20;

/// What a run showed.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Drawn sets.
    pub sets: u64,
    /// Requests that they were tried on.
    pub requests: u64,
    /// Those that met a rule.
    pub met: u64,
    /// Changed texts.
    pub texts: u64,
    /// Those that were accepted as conditions.
    pub accepted: u64,
    /// What went wrong, the first few in full.
    pub failures: Vec<String>,
}

impl Report {
    fn join(mut self, other: Self) -> Self {
        self.sets += other.sets;
        self.requests += other.requests;
        self.met += other.met;
        self.texts += other.texts;
        self.accepted += other.accepted;
        self.failures.extend(other.failures);
        self.failures.truncate(TOLD);
        self
    }
}

fn marked(n: usize, when: &str) -> RuleSource {
    let actions = RuleActions { at_most_once: true, ..RuleActions::default() };
    RuleSource { name: format!("r{n}"), when: when.to_owned(), actions }
}

/// Tries a set on drawn requests: every way must find the same rules, within the bound.
fn agree(set: &RuleSet, draw: &mut Draw, most: usize, report: &mut Report) -> Result<(), String> {
    let trees = set.syntax_trees();
    let mut scratch = Scratch::new(set, 1);
    for _ in 0..REQUESTS {
        let drawn = draw.request(most, 40);
        let headers = drawn.headers(set.headers());
        let request = drawn.request(&headers);
        let plain = set.matches_interpreted(&trees, &request);
        let found = set.matches_indexed(&mut scratch, &request);
        let in_turn = set.matches_sequential(&mut scratch, &request);
        let ruling = set.evaluate::<true>(&mut scratch, &request);
        report.requests += 1;
        report.met += u64::from(!plain.is_empty());
        if found != plain || in_turn != plain || ruling.matched as usize != plain.len() {
            return Err(format!("{found:?} by the index, {in_turn:?} in turn, {plain:?} plainly: {drawn:?}"));
        }
        if scratch.steps() > set.cost() {
            return Err(format!("{} steps of {} computed: {drawn:?}", scratch.steps(), set.cost()));
        }
    }
    Ok(())
}

/// One drawn set of so many odd rules.
pub fn drawn_set(seed: u64, rules: usize) -> Report {
    let mut report = Report { sets: 1, ..Report::default() };
    let mut draw = Draw::new(seed);
    let order = if seed.is_multiple_of(2) { Order::First } else { Order::All };
    let bounds = Bounds { max_steps: 1_000_000, max_target_bytes: 300, ..Bounds::default() };
    let compile = |rules| RuleSet::compile(&RuleSetSource { order, bounds, rules });
    // A division by a constant 0 is drawn now and then; it is refused at load.
    let rules = (0..rules).map(|n| draw.odd(n)).filter(|r| compile(vec![r.clone()]).is_ok()).collect();
    let tried = match compile(rules) {
        Ok(set) => agree(&set, &mut draw, bounds.max_target_bytes, &mut report),
        Err(faults) => Err(format!("refused: {faults:?}")),
    };
    report.failures.extend(tried.err().map(|e| format!("set of seed {seed}: {e}")));
    report
}

/// One text, changed in a few places.
pub fn changed_text(seed: u64, corpus: &[String]) -> Report {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut text: Vec<char> = corpus.choose(&mut rng).map_or_else(Vec::new, |t| t.chars().collect());
    for _ in 0..rng.gen_range(1..6) {
        let at = rng.gen_range(0..=text.len());
        match rng.gen_range(0..6) {
            0 if at < text.len() => {
                text.remove(at);
            }
            1 if at < text.len() => {
                let c = text[at];
                text.insert(at, c);
            }
            2 => text.insert(at, *SIGNS.choose(&mut rng).unwrap_or(&' ')),
            3 if at < text.len() => text[at] = char::from_u32(rng.gen_range(0..0x800)).unwrap_or('?'),
            4 => {
                let other: Vec<char> = corpus.choose(&mut rng).map_or_else(Vec::new, |t| t.chars().collect());
                let (from, to) = (rng.gen_range(0..=other.len()), rng.gen_range(0..=other.len()));
                text.splice(at..at, other[from.min(to)..from.max(to)].iter().copied());
            }
            _ => {
                let to = rng.gen_range(at..=text.len());
                let rule_part: Vec<char> = text[at..to].to_vec();
                text.splice(at..at, rule_part);
            }
        }
    }
    let text: String = text.into_iter().take(4_000).collect();
    let mut report = Report { texts: 1, ..Report::default() };
    let tried = catch_unwind(AssertUnwindSafe(|| try_text(seed, &text, &mut report)));
    let failed = match tried {
        Ok(result) => result.err(),
        Err(_) => Some("a panic".to_owned()),
    };
    report.failures.extend(failed.map(|e| format!("{text:?}: {e}")));
    report
}

const SIGNS: [char; 24] = [
    '(', ')', '[', ']', '\'', '"', '\\', '&', '|', '!', '=', '<', '>', '+', '-', '*', '/', '%', '?', ':',
    ',', '.', '0', '9',
];

fn try_text(seed: u64, text: &str, report: &mut Report) -> Result<(), String> {
    if let Ok(tree) = parse(text) {
        let printed = tree.to_string();
        let again = parse(&printed).map_err(|f| format!("prints as {printed}, which is refused: {f}"))?;
        if again.to_string() != printed {
            return Err(format!("prints as {printed}, then as {again}"));
        }
    }
    let bounds = Bounds { max_target_bytes: 200, ..Bounds::default() };
    let source = RuleSetSource { order: Order::All, bounds, rules: vec![marked(0, text), marked(1, "true")] };
    let Ok(set) = RuleSet::compile(&source) else { return Ok(()) };
    report.accepted += 1;
    agree(&set, &mut Draw::new(seed), bounds.max_target_bytes, report)
}

/// Tries `sets` drawn sets and `texts` changed texts, in parallel; `done` is told of each.
pub fn run(seed: u64, sets: u64, texts: u64, corpus: &[String], done: impl Fn() + Sync) -> Report {
    let mixed = |n: u64| seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(n);
    let of_sets = (0..sets).into_par_iter().map(|n| {
        done();
        drawn_set(mixed(n), if n.is_multiple_of(30) { 120 } else { 6 })
    });
    let of_texts = (0..texts).into_par_iter().map(|n| {
        done();
        changed_text(mixed(n), corpus)
    });
    let report = of_sets.chain(of_texts).reduce(Report::default, Report::join);
    Report { seed, ..report }
}
