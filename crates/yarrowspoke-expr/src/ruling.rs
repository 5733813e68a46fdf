//! What rules may say of a request, and what several of them come to. This module alone decides that.
//!
//! A rule only ever narrows: it makes a request unrepeatable and never the reverse, lowers the attempts, shortens the
//! wait, refuses. What it says of class, subject and place counts for what is not guarded: aim, worth, hash position,
//! preference. The guards of the decision module go by the request's own class and key whatever a rule says.

use crate::syntax::Span;
use std::collections::BTreeSet;
use yarrowspoke::interface::{Class, DedupScope, Idempotency, Micros, RequestPolicy};

/// A limit as the file states it.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitSource {
    /// Expression of the key; one bucket for all if none.
    pub key: Option<String>,
    /// Requests a second, of all fronts together.
    pub rate: f64,
    /// Requests at once, of all fronts together.
    pub burst: f64,
}

/// What a rule says, as the file states it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RuleActions {
    /// Counts with this class's aim and worth.
    pub class: Option<String>,
    /// Is never sent again once it may have run.
    pub at_most_once: bool,
    /// Expression of its subject.
    pub subject: Option<String>,
    /// Counts for this tenant.
    pub tenant: Option<String>,
    /// Most attempts.
    pub attempts: Option<u32>,
    /// A limit on such requests.
    pub limit: Option<LimitSource>,
    /// Prefers machines of this zone.
    pub zone: Option<String>,
    /// Prefers machines of this kind.
    pub kind: Option<String>,
    /// Longest time that the client's wait is taken for.
    pub budget: Option<Micros>,
    /// Is refused, to come back after so long.
    pub refuse: Option<Micros>,
}

impl RuleActions {
    /// Whether it says anything.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// The names and bounds of a deployment, as its settings tell them.
#[derive(Clone, Copy, Debug)]
pub struct Deployment<'a> {
    /// Names of the classes.
    pub class_names: &'a [String],
    /// The classes.
    pub classes: &'a [Class],
    /// Names of the tenants.
    pub tenants: &'a [String],
    /// Names of the zones.
    pub zones: &'a [String],
    /// Names of the machines' kinds.
    pub kinds: &'a [String],
    /// Most attempts of a request.
    pub max_attempts: u32,
    /// How many fronts share a limit.
    pub fronts: u32,
}

/// What a rule says, with names turned into positions.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BoundActions {
    /// For the decision module.
    pub policy: RequestPolicy,
    /// Counts for this tenant.
    pub tenant: Option<u32>,
    /// Longest time that the client's wait is taken for.
    pub budget: Option<Micros>,
    /// Rate and burst of this front's part of a limit.
    pub limit: Option<(f64, f64)>,
}

/// What is wrong with what a rule says: what stands there and what was expected.
pub type ActionFault = (String, String);

/// Turns names into positions, for a rule that may hold for the classes named in `holds`, or for any if that is `None`.
pub fn bind(
    actions: &RuleActions,
    holds: Option<&BTreeSet<String>>,
    deployment: &Deployment,
) -> Result<BoundActions, Vec<ActionFault>> {
    let mut faults = Vec::new();
    let mut place = |what: &str, name: &Option<String>, all: &[String]| -> Option<usize> {
        let name = name.as_ref()?;
        let found = all.iter().position(|n| n == name);
        if found.is_none() {
            faults.push((format!("{what} {name:?}"), format!("one of {}", all.join(", "))));
        }
        found
    };
    let class = place("class", &actions.class, deployment.class_names);
    let tenant = place("tenant", &actions.tenant, deployment.tenants);
    let zone = place("zone", &actions.zone, deployment.zones);
    let kind = place("kind", &actions.kind, deployment.kinds);
    if let Some(n) = actions.attempts.filter(|n| *n > deployment.max_attempts) {
        let wanted = format!("at most the settings' {}", deployment.max_attempts);
        faults.push((format!("{n} attempts"), wanted));
    }
    let mut at_most_once = actions.at_most_once;
    if let Some(target) = class {
        for (own_class, name) in deployment.class_names.iter().enumerate() {
            if holds.is_some_and(|h| !h.contains(name)) {
                continue;
            }
            if let Some(wanted) = loosening_fault(&deployment.classes[own_class], &deployment.classes[target])
            {
                faults.push((
                    format!("class {} for requests of class {name}", deployment.class_names[target]),
                    wanted,
                ));
            }
        }
        at_most_once |= deployment.classes[target].idempotency == Idempotency::AtMostOnce;
    }
    if !faults.is_empty() {
        return Err(faults);
    }
    let policy = RequestPolicy {
        at_most_once,
        max_attempts: actions.attempts,
        value_class: class.map(|c| c as u8),
        hash_key: None,
        preferred_zone: zone.map(|z| z as u16),
        preferred_kind: kind.map(|k| k as u8),
        deadline_cut: 0,
        refuse_with_retry_after: actions.refuse,
    };
    let fronts = f64::from(deployment.fronts.max(1));
    let limit = actions.limit.as_ref().map(|l| (l.rate / fronts, (l.burst / fronts).max(1.0)));
    Ok(BoundActions { policy, tenant: tenant.map(|t| t as u32), budget: actions.budget, limit })
}

/// What would be expected, if counting a request of class `own_class` as `target` were to loosen what guards it.
fn loosening_fault(own_class: &Class, target: &Class) -> Option<String> {
    let group = |c: &Class| match c.dedup_scope {
        DedupScope::All => "all machines",
        DedupScope::Zone => "one zone",
        DedupScope::Cell => "one cell",
    };
    match (own_class.idempotency, target.idempotency) {
        (Idempotency::Idempotent, _) | (_, Idempotency::AtMostOnce) => None,
        (Idempotency::AtMostOnce, _) => Some("a class that must never run twice either".to_owned()),
        (Idempotency::Keyed, Idempotency::Idempotent) => {
            Some("a class at least as strict: keyed or never twice".to_owned())
        }
        (Idempotency::Keyed, Idempotency::Keyed) => {
            let same =
                own_class.dedup_scope == target.dedup_scope && own_class.dedup_window == target.dedup_window;
            let wanted = format!(
                "a keyed class whose repeats {} drop for {} us",
                group(own_class),
                own_class.dedup_window
            );
            (!same).then_some(wanted)
        }
    }
}

/// What all rules that hold come to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ruling {
    /// For the decision module; `cut` is for the caller to fill in.
    pub policy: RequestPolicy,
    /// Counts for this tenant.
    pub tenant: Option<u32>,
    /// Longest time that the client's wait is taken for.
    pub budget: Option<Micros>,
    /// Rules that held.
    pub matched: u32,
    /// Conditions and keys that had no value.
    pub without_value: u32,
}

impl Ruling {
    /// Takes in what one more rule says. Of bounds the tightest holds, of everything else the first that says it.
    pub fn add(&mut self, bound: &BoundActions, subject: Option<u64>) {
        let (combined, added) = (&mut self.policy, &bound.policy);
        self.matched += 1;
        combined.at_most_once |= added.at_most_once;
        combined.max_attempts = min_option(combined.max_attempts, added.max_attempts);
        combined.value_class = combined.value_class.or(added.value_class);
        combined.hash_key = combined.hash_key.or(subject);
        combined.preferred_zone = combined.preferred_zone.or(added.preferred_zone);
        combined.preferred_kind = combined.preferred_kind.or(added.preferred_kind);
        // The longest time to come back: sooner, another rule would refuse it again.
        combined.refuse_with_retry_after =
            combined.refuse_with_retry_after.max(added.refuse_with_retry_after);
        self.tenant = self.tenant.or(bound.tenant);
        self.budget = min_option(self.budget, bound.budget);
    }
}

fn min_option<T: Ord>(a: Option<T>, b: Option<T>) -> Option<T> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

/// A place in a rule's texts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RulePart {
    /// Its condition.
    When,
    /// The expression of its subject.
    Subject,
    /// The expression of its limit's key.
    LimitKey,
    /// The rule as a whole.
    #[default]
    Whole,
}

/// Where a rule is at fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RuleFault {
    /// The rule's position; `None` for the set as a whole.
    pub rule: Option<usize>,
    /// Which of its texts.
    pub rule_part: RulePart,
    /// Where in that text.
    pub at: Span,
    /// What stands there.
    pub found: String,
    /// What was expected.
    pub expected: String,
}
