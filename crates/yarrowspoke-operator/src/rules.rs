//! The section `rules`: match expressions and the policy that each rule sets.

use crate::read::{position_in_string, Form};
use crate::Fault;
use yarrowspoke_expr::bounds::Bounds;
use yarrowspoke_expr::ruling::{Deployment, LimitSource, RuleActions, RuleFault, RulePart};
use yarrowspoke_expr::set::{Order, RuleSet, RuleSetSource, RuleSource};

/// Default for the number of limit keys that are counted separately.
const DEFAULT_LIMIT_KEYS: usize = 8_192;

/// The compiled section.
pub struct Rules {
    /// The compiled rules.
    pub set: RuleSet,
    /// Number of limit keys that are counted separately.
    pub max_limit_keys: usize,
    positions: RulePositions,
}

impl std::fmt::Debug for Rules {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Rules").field("rules", &self.set.len()).finish_non_exhaustive()
    }
}

/// Positions of the rules' texts in the file.
struct RulePositions {
    text: String,
    section: (usize, usize),
    rules: Vec<[Option<(usize, usize)>; 4]>,
}

impl RulePositions {
    fn fault(&self, f: RuleFault) -> Fault {
        let rule_part = match f.rule_part {
            RulePart::When => 0,
            RulePart::Subject => 1,
            RulePart::LimitKey => 2,
            RulePart::Whole => 3,
        };
        let rule = f.rule.and_then(|n| self.rules.get(n));
        let at = rule.and_then(|r| r[rule_part]);
        let (line, column) = match at {
            Some(at) if rule_part < 3 => position_in_string(&self.text, at, f.at.from),
            Some(at) => at,
            None => self.section,
        };
        Fault { line, column, found: f.found, expected: f.expected }
    }
}

impl Rules {
    /// Resolves names to the positions of a deployment. Fails if a rule would weaken the deployment's safeguards.
    pub fn bind(&mut self, deployment: &Deployment) -> Result<(), Vec<Fault>> {
        let positions = &self.positions;
        self.set.bind(deployment).map_err(|faults| faults.into_iter().map(|f| positions.fault(f)).collect())
    }

    /// Returns warnings about suspicious rules, each with its line and column.
    pub fn warnings(&self) -> Vec<(usize, usize, String)> {
        let position = |rule: Option<usize>| {
            rule.and_then(|n| self.positions.rules.get(n))
                .and_then(|r| r[3])
                .unwrap_or(self.positions.section)
        };
        self.set.warnings.iter().map(|w| (position(w.rule).0, position(w.rule).1, w.text.clone())).collect()
    }
}

/// Parses and compiles the section.
pub fn rules(section: &Form, text: &str, faults: &mut Vec<Fault>) -> Option<Rules> {
    let before = faults.len();
    let mut source = RuleSetSource::default();
    let mut positions =
        RulePositions { text: text.to_owned(), section: section.position(), rules: Vec::new() };
    let mut max_limit_keys = DEFAULT_LIMIT_KEYS;
    let mut seen_fields: Vec<String> = Vec::new();
    for field in section.fields(faults) {
        if field.name != "rule" {
            if seen_fields.contains(&field.name) {
                faults.push(field.fault("each field once"));
                continue;
            }
            seen_fields.push(field.name.clone());
        }
        let bounds: &mut Bounds = &mut source.bounds;
        match field.name.as_str() {
            "order" => match field.name("first or all", faults).as_deref() {
                Some("first") => source.order = Order::First,
                Some("all") => source.order = Order::All,
                Some(_) => faults.push(field.fault_of_value("first or all")),
                None => {}
            },
            "steps" => {
                let expected = "steps for a request, 100 to 1000000";
                let steps = field.integer(expected, faults, |n| (100..=1_000_000).contains(&n));
                bounds.max_steps = steps.unwrap_or(bounds.max_steps);
            }
            "target" => {
                let expected = "bytes of path and query, 16 to 8192";
                let bytes = field.integer(expected, faults, |n| (16..=8_192).contains(&n));
                bounds.max_target_bytes = bytes.map_or(bounds.max_target_bytes, |n| n as usize);
            }
            "header" => {
                let expected = "bytes of a header that rules read, 8 to 8192";
                let bytes = field.integer(expected, faults, |n| (8..=8_192).contains(&n));
                bounds.max_header_bytes = bytes.map_or(bounds.max_header_bytes, |n| n as usize);
            }
            "bytes" => {
                let expected = "bytes of the compiled set, 10000 to 1000000000";
                let bytes = field.integer(expected, faults, |n| (10_000..=1_000_000_000).contains(&n));
                bounds.max_bytes = bytes.map_or(bounds.max_bytes, |n| n as usize);
            }
            "buckets" => {
                let expected = "keys of limits counted apart, 2 to 1000000";
                let keys = field.integer(expected, faults, |n| (2..=1_000_000).contains(&n));
                max_limit_keys = keys.map_or(max_limit_keys, |n| n as usize);
            }
            "rule" => {
                if let Some((rule, position)) = rule(&field, faults) {
                    source.rules.push(rule);
                    positions.rules.push(position);
                }
            }
            _ => faults
                .push(field.fault("one of the fields: order, steps, target, header, bytes, buckets, rule")),
        }
    }
    if faults.len() > before {
        return None;
    }
    match RuleSet::compile(&source) {
        Ok(set) => Some(Rules { set, max_limit_keys, positions }),
        Err(found) => {
            faults.extend(found.into_iter().map(|f| positions.fault(f)));
            None
        }
    }
}

const SECONDS: &str = "seconds, 0 to 3600";

fn seconds(field: &Form, faults: &mut Vec<Fault>) -> Option<u64> {
    let seconds = field.number(SECONDS, faults, |s| (0.0..=3_600.0).contains(&s))?;
    Some((seconds * 1e6) as u64)
}

type RulePosition = [Option<(usize, usize)>; 4];

fn rule(form: &Form, faults: &mut Vec<Fault>) -> Option<(RuleSource, RulePosition)> {
    let Some(name) = form.first_name() else {
        faults.push(form.fault("a name behind 'rule': (rule NAME (when \"...\") ...)"));
        return None;
    };
    let mut when = None;
    let mut actions = RuleActions::default();
    let mut position: RulePosition = [None, None, None, Some(form.position())];
    let fields = form.fields_after(1, faults);
    for (n, field) in fields.iter().enumerate() {
        if fields[..n].iter().any(|f| f.name == field.name) {
            faults.push(field.fault("each field once"));
            continue;
        }
        let expression = "an expression as a string";
        match field.name.as_str() {
            "when" => {
                when = field.string(expression, faults);
                position[0] = Some(field.value_position());
            }
            "subject" => {
                actions.subject = field.string(expression, faults);
                position[1] = Some(field.value_position());
            }
            "class" => actions.class = field.name("a class's name", faults),
            "tenant" => actions.tenant = field.name("a tenant's name", faults),
            "zone" => actions.zone = field.name("a zone's name", faults),
            "kind" => actions.kind = field.name("a kind of machine", faults),
            "effect" => {
                let expected = "once: a rule can only make a request unrepeatable";
                let effect =
                    field.convert_value(expected, faults, |v| v.as_symbol().filter(|s| *s == "once").map(|_| ()));
                actions.at_most_once = effect.is_some();
            }
            "attempts" => {
                let attempts = field.integer("attempts, 1 to 100", faults, |n| (1..=100).contains(&n));
                actions.attempts = attempts.map(|n| n as u32);
            }
            "budget" => {
                let expected = "seconds, above 0 and at most 3600";
                let s = field.number(expected, faults, |s| s > 0.0 && s <= 3_600.0);
                actions.budget = s.map(|s| ((s * 1e6) as u64).max(1));
            }
            "refuse" => actions.refuse = seconds(field, faults),
            "limit" => {
                actions.limit = limit(field, &mut position, faults);
            }
            _ => faults.push(field.fault(
                "one of the fields: when, class, effect, subject, tenant, attempts, limit, zone, kind, budget, refuse",
            )),
        }
    }
    if !fields.iter().any(|f| f.name == "when") {
        faults.push(form.fault("the field when in it"));
    }
    Some((RuleSource { name, when: when?, actions }, position))
}

fn limit(form: &Form, position: &mut RulePosition, faults: &mut Vec<Fault>) -> Option<LimitSource> {
    let (mut key, mut rate, mut burst) = (None, None, None);
    for field in form.fields(faults) {
        match field.name.as_str() {
            "key" => {
                key = field.string("an expression as a string", faults);
                position[2] = Some(field.value_position());
            }
            "rate" => {
                let expected = "requests a second of all fronts together, 0.001 to 1000000";
                rate = field.number(expected, faults, |n| (0.001..=1e6).contains(&n));
            }
            "burst" => {
                let expected = "requests at once of all fronts together, 1 to 1000000";
                burst = field.number(expected, faults, |n| (1.0..=1e6).contains(&n));
            }
            _ => faults.push(field.fault("one of the fields: key, rate, burst")),
        }
    }
    if !form.names().iter().any(|n| n == "rate") {
        faults.push(form.fault("the field rate in it"));
    }
    let rate = rate?;
    Some(LimitSource { key, rate, burst: burst.unwrap_or(rate.max(1.0)) })
}
