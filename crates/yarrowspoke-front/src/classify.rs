//! The operators' rules in the running front: holds the rule set in force and applies it to calls.
//!
//! `yarrowspoke_expr::{ruling, buckets}` define what rules may do and how limits count; this module carries it out. A rule set
//! is replaced as a whole: a request is read and classified under the set that was in force when its head was read.

use crate::exchange::Call;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use yarrowspoke::interface::Micros;
use yarrowspoke_expr::buckets::Buckets;
use yarrowspoke_expr::request::{Request, TooLong};
use yarrowspoke_expr::ruling::Deployment;
use yarrowspoke_expr::set::{RuleSet, Scratch};
use yarrowspoke_operator::rules::Rules;
use yarrowspoke_settings::Settings;

/// A compiled rule set in use.
pub struct LoadedRules {
    /// Compiled rules.
    pub set: RuleSet,
    scratch: RefCell<Scratch>,
}

/// Counts of requests to which rules were applied since the last report.
#[derive(Clone, Copy, Debug, Default)]
pub struct RuleCounts {
    evaluated: u64,
    matched: u64,
    refused: u64,
    limited: u64,
    too_long: u64,
    without_value: u64,
}

/// Holds the rules in force and the token buckets of their limits.
pub struct Classifier {
    loaded: RefCell<Option<Rc<LoadedRules>>>,
    buckets: RefCell<Buckets>,
    max_buckets: Cell<usize>,
    seed: u64,
    counts: Cell<RuleCounts>,
}

impl Classifier {
    /// Creates a classifier without rules. With the random `seed` clients cannot predict which limit keys collide.
    pub fn new(seed: u64) -> Rc<Self> {
        Rc::new(Self {
            loaded: RefCell::default(),
            buckets: RefCell::new(Buckets::new(0)),
            max_buckets: Cell::new(0),
            seed,
            counts: Cell::default(),
        })
    }

    /// Returns the rule set in force.
    pub fn loaded(&self) -> Option<Rc<LoadedRules>> {
        self.loaded.borrow().clone()
    }

    /// Replaces the rules in force; `None` removes them. Buckets of limits that remain are kept, so that a reload does not grant
    /// another burst.
    pub fn load(&self, rules: Option<Rules>) {
        let Some(rules) = rules else {
            *self.loaded.borrow_mut() = None;
            return;
        };
        let mut buckets = self.buckets.borrow_mut();
        if self.max_buckets.replace(rules.max_limit_keys) != rules.max_limit_keys {
            *buckets = Buckets::new(rules.max_limit_keys);
        }
        buckets.retain_rules(|id| rules.set.has_limit(id));
        let (set, (patterns, automata)) = (&rules.set, rules.set.regexes());
        log::info!(
            "rules: {} in force, up to {} steps a request, {} bytes; {patterns} patterns of {automata} bytes, {} rules \
             evaluated for every request",
            set.len(),
            set.cost(),
            set.bytes(),
            set.unindexed(),
        );
        for (line, column, text) in rules.warnings() {
            log::warn!("rules: {line}:{column}: {text}");
        }
        let scratch = RefCell::new(Scratch::new(&rules.set, self.seed));
        *self.loaded.borrow_mut() = Some(Rc::new(LoadedRules { set: rules.set, scratch }));
    }

    /// Applies the rules to `call` and sets its policy, budget and tenant. Returns the status to answer with if the call is
    /// longer than the bounds for which the rules' cost was computed.
    pub fn apply_rules(
        &self,
        loaded: &LoadedRules,
        call: &mut Call,
        headers: &[Option<String>],
        names: &yarrowspoke_settings::Names,
        now: Micros,
    ) -> Result<(), u16> {
        let mut counts = self.counts.get();
        counts.evaluated += 1;
        let request = as_request(call, headers, names);
        if let Err(too_long) = request.check_size(loaded.set.bounds()) {
            counts.too_long += 1;
            self.counts.set(counts);
            return Err(match too_long {
                TooLong::Target => 414,
                TooLong::Header => 431,
            });
        }
        let scratch = &mut *loaded.scratch.borrow_mut();
        let ruling = loaded.set.evaluate::<false>(scratch, &request);
        counts.matched += u64::from(ruling.matched > 0);
        counts.without_value += u64::from(ruling.without_value);
        let mut policy = ruling.policy;
        counts.refused += u64::from(policy.refuse_with_retry_after.is_some());
        if policy.refuse_with_retry_after.is_none() && !scratch.limits().is_empty() {
            policy.refuse_with_retry_after = self.buckets.borrow_mut().take(now, scratch.limits()).err();
            counts.limited += u64::from(policy.refuse_with_retry_after.is_some());
        }
        if let Some(budget) = ruling.budget.filter(|b| *b < call.budget) {
            policy.deadline_cut = call.budget - budget;
            call.budget = budget;
        }
        if let Some(tenant) = ruling.tenant {
            call.tenant = tenant;
        }
        call.policy = policy;
        self.counts.set(counts);
        Ok(())
    }

    /// Returns a line on what the rules did since the last call; `None` if they were not applied to any request.
    pub fn report(&self) -> Option<String> {
        let counts = self.counts.take();
        let shared = std::mem::take(&mut self.buckets.borrow_mut().counts).shared;
        (counts.evaluated > 0).then(|| {
            let percent = 100.0 * (counts.refused + counts.limited) as f64 / counts.evaluated as f64;
            format!(
                "rules: requests {}, matched {}, refused {}, over a limit {} (together {percent:.1} % of requests), \
                 too long {}, without a value {}, on shared buckets {shared}",
                counts.evaluated, counts.matched, counts.refused, counts.limited, counts.too_long, counts.without_value
            )
        })
    }
}

/// Returns a call in the form in which rules evaluate it.
pub fn as_request<'a>(
    call: &'a Call,
    headers: &'a [Option<String>],
    names: &'a yarrowspoke_settings::Names,
) -> Request<'a> {
    Request {
        method: &call.method,
        target: &call.target,
        class: names.classes.get(usize::from(call.class)).map_or("", String::as_str),
        tenant: names.tenants.get(call.tenant as usize).map_or("", String::as_str),
        headers,
        budget: call.budget.min(i64::MAX as u64) as i64,
        hint: call.work_hint.map(|h| h.min(i64::MAX as u64) as i64),
        repeat: call.is_retry,
        length: call.body.len() as i64,
    }
}

/// Returns the names and bounds of a deployment to which rules are bound.
pub fn rule_context(settings: &Settings) -> Deployment<'_> {
    let (names, module) = (&settings.names, &settings.module);
    Deployment {
        class_names: &names.classes,
        classes: &module.classes,
        tenants: &names.tenants,
        zones: &names.zones,
        kinds: &names.kinds,
        max_attempts: module.max_attempts,
        fronts: module.fronts,
    }
}
