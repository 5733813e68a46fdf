//! The operators' rules, a set as large as the routes: one rule for each.

use super::{median, probe, slope, timed};
use crate::rules::draw::{Draw, Drawn};
use crate::rules::everyday;
use crate::scale::report::Report;
use crate::scale::run::Options;
use yarrowspoke_expr::bounds::Bounds;
use yarrowspoke_expr::set::{Order, RuleSet, RuleSetSource, Scratch};

/// The widest bounds that an operator's file may state.
const WIDEST: (u64, usize) = (1_000_000, 1_000_000_000);

/// A drawn set of so many rules.
pub fn source(rules: usize, seed: u64) -> RuleSetSource {
    everyday(&mut Draw::new(seed), rules, Order::First)
}

/// The set compiled under the widest bounds.
pub fn compiled(source: &RuleSetSource) -> Result<RuleSet, String> {
    let bounds = Bounds { max_steps: WIDEST.0, max_bytes: WIDEST.1, ..source.bounds };
    RuleSet::compile(&RuleSetSource { bounds, ..source.clone() }).map_err(|faults| match faults.first() {
        Some(f) => format!("found {}, expected {}", f.found, f.expected),
        None => "refused without a reason".to_owned(),
    })
}

/// Slopes over rules; what is refused is said.
pub fn measure(options: &Options, seen: &mut Report, tick: &dyn Fn(&str)) {
    let requests = match (options.small, options.quick) {
        (true, _) => 500,
        (_, true) => 1_000,
        _ => 4_000,
    };
    let (mut load, mut each, mut worst, mut memory) = (vec![], vec![], vec![], vec![]);
    for rules in &options.sizes.routes {
        tick(&format!("rules, {rules} routes"));
        let (size, source) = (*rules as f64, source(*rules, options.seed));
        let plain = RuleSetSource { bounds: Bounds::default(), ..source.clone() };
        if let Err(faults) = RuleSet::compile(&plain) {
            let why = faults
                .first()
                .map_or(String::new(), |f| format!("found {}, expected {}", f.found, f.expected));
            seen.findings
                .push(format!("{rules} rules under the bounds that hold where the file states none: {why}"));
        }
        let (took, set) = timed(|| compiled(&source));
        let set = match set {
            Ok(set) => set,
            Err(why) => {
                seen.findings
                    .push(format!("{rules} rules under the widest bounds that a file may state: {why}"));
                continue;
            }
        };
        load.push((size, 1e3 * took));
        worst.push((size, set.cost() as f64));
        let mut draw = Draw::new(options.seed);
        let drawn: Vec<Drawn> =
            (0..requests).map(|_| draw.request(source.bounds.max_target_bytes, *rules)).collect();
        let mut scratch = Scratch::new(&set, options.seed);
        let mut pass = || {
            let (took, ()) = timed(|| {
                for drawn in &drawn {
                    let headers = drawn.headers(set.headers());
                    std::hint::black_box(set.evaluate::<false>(&mut scratch, &drawn.request(&headers)));
                }
            });
            1e6 * took / requests as f64
        };
        each.push((size, median((0..3).map(|_| pass()).collect())));
        if let Ok(grown) = probe::grown(options, "rules", &[*rules]) {
            memory.push((size, grown.resident_mb));
        }
    }
    slope(seen, ("front", "rules: loading a set", "ms of processor", "routes"), load);
    slope(seen, ("front", "rules: a request", "us of processor", "routes"), each);
    slope(seen, ("front", "rules: most that a request may cost, computed at load", "steps", "routes"), worst);
    slope(seen, ("front", "rules: resident memory of a set", "MB", "routes"), memory);
}
