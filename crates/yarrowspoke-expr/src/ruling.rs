//! Actions of rules, and the ruling that results from all rules that hold for a request.
//!
//! A rule can only restrict a request: it can make it at-most-once, lower its attempts, shorten its budget or reject
//! it, never the reverse. Its class, subject, zone and kind affect only what is not a safety guard: latency target,
//! worth, hash position and preference. The guards of the decision module use the class and the key of the request
//! itself, whatever the rules set.

use crate::syntax::Span;
use std::collections::BTreeSet;
use yarrowspoke::interface::{Class, DedupScope, Idempotency, Micros, RequestPolicy};

/// Limit as the file defines it.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitSource {
    /// Expression of the key; without one, all requests share one bucket.
    pub key: Option<String>,
    /// Requests per second over all fronts.
    pub rate: f64,
    /// Requests at once over all fronts.
    pub burst: f64,
}

/// Actions of a rule as the file defines them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RuleActions {
    /// Uses the latency target and worth of this class.
    pub class: Option<String>,
    /// Never sends the request again once it may have run.
    pub at_most_once: bool,
    /// Expression of the subject.
    pub subject: Option<String>,
    /// Accounts the request to this tenant.
    pub tenant: Option<String>,
    /// Maximum number of attempts.
    pub attempts: Option<u32>,
    /// Limits the rate of the requests.
    pub limit: Option<LimitSource>,
    /// Prefers machines of this zone.
    pub zone: Option<String>,
    /// Prefers machines of this kind.
    pub kind: Option<String>,
    /// Upper bound on the budget of the client.
    pub budget: Option<Micros>,
    /// Rejects the request with this time after which to retry.
    pub refuse: Option<Micros>,
}

impl RuleActions {
    /// Returns whether no action is set.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Names and bounds of a deployment, from its settings.
#[derive(Clone, Copy, Debug)]
pub struct Deployment<'a> {
    /// Names of the classes.
    pub class_names: &'a [String],
    /// The classes, in the order of `class_names`.
    pub classes: &'a [Class],
    /// Names of the tenants.
    pub tenants: &'a [String],
    /// Names of the zones.
    pub zones: &'a [String],
    /// Names of the machine kinds.
    pub kinds: &'a [String],
    /// Maximum number of attempts of a request.
    pub max_attempts: u32,
    /// Number of fronts that share a limit.
    pub fronts: u32,
}

/// Actions of a rule with names resolved to indexes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BoundActions {
    /// Policy for the decision module.
    pub policy: RequestPolicy,
    /// Tenant that the request is accounted to.
    pub tenant: Option<u32>,
    /// Upper bound on the budget of the client.
    pub budget: Option<Micros>,
    /// Rate and burst of this front's share of the limit.
    pub limit: Option<(f64, f64)>,
}

/// Fault in the actions of a rule: what was found and what was expected.
pub type ActionFault = (String, String);

/// Resolves the names in the actions of a rule that can hold for the classes in `possible_classes`, or for any class if
/// it is `None`.
pub fn bind(
    actions: &RuleActions,
    possible_classes: Option<&BTreeSet<String>>,
    deployment: &Deployment,
) -> Result<BoundActions, Vec<ActionFault>> {
    let mut faults = Vec::new();
    let mut resolve = |what: &str, name: &Option<String>, all: &[String]| -> Option<usize> {
        let name = name.as_ref()?;
        let found = all.iter().position(|n| n == name);
        if found.is_none() {
            faults.push((format!("{what} {name:?}"), format!("one of {}", all.join(", "))));
        }
        found
    };
    let class = resolve("class", &actions.class, deployment.class_names);
    let tenant = resolve("tenant", &actions.tenant, deployment.tenants);
    let preferred_zone = resolve("zone", &actions.zone, deployment.zones);
    let preferred_kind = resolve("kind", &actions.kind, deployment.kinds);
    if let Some(n) = actions.attempts.filter(|n| *n > deployment.max_attempts) {
        let expected = format!("at most the settings' {}", deployment.max_attempts);
        faults.push((format!("{n} attempts"), expected));
    }
    let mut at_most_once = actions.at_most_once;
    if let Some(target) = class {
        for (own_class, name) in deployment.class_names.iter().enumerate() {
            if possible_classes.is_some_and(|h| !h.contains(name)) {
                continue;
            }
            if let Some(expected) =
                loosening_fault(&deployment.classes[own_class], &deployment.classes[target])
            {
                faults.push((
                    format!("class {} for requests of class {name}", deployment.class_names[target]),
                    expected,
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
        preferred_zone: preferred_zone.map(|z| z as u16),
        preferred_kind: preferred_kind.map(|k| k as u8),
        deadline_cut: 0,
        refuse_with_retry_after: actions.refuse,
    };
    let fronts = f64::from(deployment.fronts.max(1));
    let limit = actions.limit.as_ref().map(|l| (l.rate / fronts, (l.burst / fronts).max(1.0)));
    Ok(BoundActions { policy, tenant: tenant.map(|t| t as u32), budget: actions.budget, limit })
}

/// If treating a request of class `own_class` as `target` would weaken its guards, returns the class that is expected
/// instead.
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
            let expected = format!(
                "a keyed class whose repeats {} drop for {} us",
                group(own_class),
                own_class.dedup_window
            );
            (!same).then_some(expected)
        }
    }
}

/// Combined result of all rules that hold.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ruling {
    /// Policy for the decision module; the caller sets `deadline_cut`.
    pub policy: RequestPolicy,
    /// Tenant that the request is accounted to.
    pub tenant: Option<u32>,
    /// Upper bound on the budget of the client.
    pub budget: Option<Micros>,
    /// Number of rules that held.
    pub matched: u32,
    /// Number of conditions, subjects and keys that had no value.
    pub without_value: u32,
}

impl Ruling {
    /// Adds the actions of one more rule. Of bounds the tightest applies, of everything else the first one set.
    pub fn add(&mut self, bound: &BoundActions, subject: Option<u64>) {
        let (combined, added) = (&mut self.policy, &bound.policy);
        self.matched += 1;
        combined.at_most_once |= added.at_most_once;
        combined.max_attempts = min_option(combined.max_attempts, added.max_attempts);
        combined.value_class = combined.value_class.or(added.value_class);
        combined.hash_key = combined.hash_key.or(subject);
        combined.preferred_zone = combined.preferred_zone.or(added.preferred_zone);
        combined.preferred_kind = combined.preferred_kind.or(added.preferred_kind);
        // The longest time applies: a client that retries sooner would be rejected by the other rule again.
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

/// Part of a rule that a fault refers to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RulePart {
    /// Its condition.
    When,
    /// Expression of its subject.
    Subject,
    /// Expression of its limit's key.
    LimitKey,
    /// The rule as a whole.
    #[default]
    Whole,
}

/// Fault in a rule or a set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RuleFault {
    /// Index of the rule; `None` for the set as a whole.
    pub rule: Option<usize>,
    /// Part of the rule.
    pub rule_part: RulePart,
    /// Position in the text of that part.
    pub at: Span,
    /// What was found.
    pub found: String,
    /// What was expected.
    pub expected: String,
}
