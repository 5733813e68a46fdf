//! The operators' rules in the running front: which set is in force, and what it makes of a call.
//!
//! What rules may say and how limits count is decided in `yarrowspoke_expr::{ruling, buckets}`; here it is only carried
//! out. A set is taken into use as one whole: a request is read and ruled under the set that was in force when its head
//! was read.

use crate::exchange::Call;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use yarrowspoke::interface::Micros;
use yarrowspoke_expr::buckets::Buckets;
use yarrowspoke_expr::request::{Request, TooLong};
use yarrowspoke_expr::ruling::World;
use yarrowspoke_expr::set::{Scratch, Set};
use yarrowspoke_operator::rules::Rules;
use yarrowspoke_settings::Settings;

/// A compiled set in use.
pub struct LoadedRules {
    /// The set.
    pub set: Set,
    scratch: RefCell<Scratch>,
}

/// Requests that rules looked at since it was last told.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ruled {
    seen: u64,
    matched: u64,
    refused: u64,
    limited: u64,
    too_long: u64,
    no_value: u64,
}

/// Which rules are in force, and the buckets of their limits.
pub struct Classifier {
    loaded: RefCell<Option<Rc<LoadedRules>>>,
    buckets: RefCell<Buckets>,
    most: Cell<usize>,
    seed: u64,
    counts: Cell<Ruled>,
}

impl Classifier {
    /// No rules yet. `seed` keeps clients from foreseeing which keys of limits fall together.
    pub fn new(seed: u64) -> Rc<Self> {
        Rc::new(Self {
            loaded: RefCell::default(),
            buckets: RefCell::new(Buckets::new(0)),
            most: Cell::new(0),
            seed,
            counts: Cell::default(),
        })
    }

    /// The set in force.
    pub fn loaded(&self) -> Option<Rc<LoadedRules>> {
        self.loaded.borrow().clone()
    }

    /// Takes other rules into use, or none. Buckets of limits that go on are kept: a reload is no way to a fresh burst.
    pub fn load(&self, rules: Option<Rules>) {
        let Some(rules) = rules else {
            *self.loaded.borrow_mut() = None;
            return;
        };
        let mut buckets = self.buckets.borrow_mut();
        if self.most.replace(rules.buckets) != rules.buckets {
            *buckets = Buckets::new(rules.buckets);
        }
        buckets.keep_rules(|id| rules.set.has_limit(id));
        let (set, (patterns, automata)) = (&rules.set, rules.set.regexes());
        log::info!(
            "rules: {} in force, up to {} steps a request, {} bytes; {patterns} patterns of {automata} bytes, {} rules \
             looked at for every request",
            set.len(),
            set.price(),
            set.bytes(),
            set.unfound(),
        );
        for (line, column, text) in rules.warnings() {
            log::warn!("rules: {line}:{column}: {text}");
        }
        let scratch = RefCell::new(Scratch::new(&rules.set, self.seed));
        *self.loaded.borrow_mut() = Some(Rc::new(LoadedRules { set: rules.set, scratch }));
    }

    /// Takes into `call` what the rules say of it; else the status with which it is answered, as it is longer than the
    /// bounds on which the rules' prices rest.
    pub fn apply_rules(
        &self,
        loaded: &LoadedRules,
        call: &mut Call,
        headers: &[Option<String>],
        names: &yarrowspoke_settings::Names,
        now: Micros,
    ) -> Result<(), u16> {
        let mut counts = self.counts.get();
        counts.seen += 1;
        let request = as_request(call, headers, names);
        if let Err(long) = request.fits(loaded.set.bounds()) {
            counts.too_long += 1;
            self.counts.set(counts);
            return Err(match long {
                TooLong::Target => 414,
                TooLong::Header => 431,
            });
        }
        let scratch = &mut *loaded.scratch.borrow_mut();
        let ruling = loaded.set.rule::<false>(scratch, &request);
        counts.matched += u64::from(ruling.matched > 0);
        counts.no_value += u64::from(ruling.faults);
        let mut ruled = ruling.ruled;
        counts.refused += u64::from(ruled.refuse_with_retry_after.is_some());
        if ruled.refuse_with_retry_after.is_none() && !scratch.limits().is_empty() {
            ruled.refuse_with_retry_after = self.buckets.borrow_mut().take(now, scratch.limits()).err();
            counts.limited += u64::from(ruled.refuse_with_retry_after.is_some());
        }
        if let Some(budget) = ruling.budget.filter(|b| *b < call.budget) {
            ruled.deadline_cut = call.budget - budget;
            call.budget = budget;
        }
        if let Some(tenant) = ruling.tenant {
            call.tenant = tenant;
        }
        call.policy = ruled;
        self.counts.set(counts);
        Ok(())
    }

    /// What rules did since this was last asked, in words; `None` if they looked at nothing.
    pub fn report(&self) -> Option<String> {
        let c = self.counts.take();
        let shared = std::mem::take(&mut self.buckets.borrow_mut().counts).shared;
        (c.seen > 0).then(|| {
            let part = 100.0 * (c.refused + c.limited) as f64 / c.seen as f64;
            format!(
                "rules: requests {}, matched {}, refused {}, over a limit {} ({part:.1} % of all), too long {}, without a \
                 value {}, keys beyond the table {shared}",
                c.seen, c.matched, c.refused, c.limited, c.too_long, c.no_value
            )
        })
    }
}

/// A call as rules see it.
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

/// A deployment's names and bounds, as rules are bound to them.
pub fn rule_context(settings: &Settings) -> World<'_> {
    let (names, module) = (&settings.names, &settings.module);
    World {
        class_names: &names.classes,
        classes: &module.classes,
        tenants: &names.tenants,
        zones: &names.zones,
        kinds: &names.kinds,
        max_attempts: module.max_attempts,
        fronts: module.fronts,
    }
}
