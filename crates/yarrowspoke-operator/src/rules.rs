//! The section `rules`: matching expressions and what they say.

use crate::read::{within, Form};
use crate::Fault;
use yarrowspoke_expr::bounds::Bounds;
use yarrowspoke_expr::ruling::{Deployment, LimitSource, RuleActions, RuleFault, RulePart};
use yarrowspoke_expr::set::{Order, RuleSet, RuleSetSource, RuleSource};

/// Keys of limits that are counted apart, if the file says nothing.
const DEFAULT_LIMIT_KEYS: usize = 8_192;

/// The section, compiled.
pub struct Rules {
    /// The compiled set.
    pub set: RuleSet,
    /// Keys of limits that are counted apart.
    pub max_limit_keys: usize,
    positions: RulePositions,
}

impl std::fmt::Debug for Rules {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Rules").field("rules", &self.set.len()).finish_non_exhaustive()
    }
}

/// Where the rules' texts stand in the file.
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
            Some(at) if rule_part < 3 => within(&self.text, at, f.at.from),
            Some(at) => at,
            None => self.section,
        };
        Fault { line, column, found: f.found, expected: f.expected }
    }
}

impl Rules {
    /// Turns names into a deployment's positions; refuses what would loosen its guards.
    pub fn bind(&mut self, deployment: &Deployment) -> Result<(), Vec<Fault>> {
        let positions = &self.positions;
        self.set.bind(deployment).map_err(|faults| faults.into_iter().map(|f| positions.fault(f)).collect())
    }

    /// What is odd in the set, each with its line and column.
    pub fn warnings(&self) -> Vec<(usize, usize, String)> {
        let place = |rule: Option<usize>| {
            rule.and_then(|n| self.positions.rules.get(n))
                .and_then(|r| r[3])
                .unwrap_or(self.positions.section)
        };
        self.set.warnings.iter().map(|w| (place(w.rule).0, place(w.rule).1, w.text.clone())).collect()
    }
}

/// Reads and compiles the section.
pub fn rules(section: &Form, text: &str, faults: &mut Vec<Fault>) -> Option<Rules> {
    let before = faults.len();
    let mut source = RuleSetSource::default();
    let mut positions = RulePositions { text: text.to_owned(), section: section.place(), rules: Vec::new() };
    let mut max_limit_keys = DEFAULT_LIMIT_KEYS;
    let mut once: Vec<String> = Vec::new();
    for field in section.fields(faults) {
        if field.name != "rule" {
            if once.contains(&field.name) {
                faults.push(field.fault("each field once"));
                continue;
            }
            once.push(field.name.clone());
        }
        let bounds: &mut Bounds = &mut source.bounds;
        match field.name.as_str() {
            "order" => match field.word("first or all", faults).as_deref() {
                Some("first") => source.order = Order::First,
                Some("all") => source.order = Order::All,
                Some(_) => faults.push(field.fault_of_value("first or all")),
                None => {}
            },
            "steps" => {
                let wanted = "steps for a request, 100 to 1000000";
                let steps = field.whole(wanted, faults, |n| (100..=1_000_000).contains(&n));
                bounds.max_steps = steps.unwrap_or(bounds.max_steps);
            }
            "target" => {
                let wanted = "bytes of path and query, 16 to 8192";
                let bytes = field.whole(wanted, faults, |n| (16..=8_192).contains(&n));
                bounds.max_target_bytes = bytes.map_or(bounds.max_target_bytes, |n| n as usize);
            }
            "header" => {
                let wanted = "bytes of a header that rules read, 8 to 8192";
                let bytes = field.whole(wanted, faults, |n| (8..=8_192).contains(&n));
                bounds.max_header_bytes = bytes.map_or(bounds.max_header_bytes, |n| n as usize);
            }
            "bytes" => {
                let wanted = "bytes of the compiled set, 10000 to 1000000000";
                let bytes = field.whole(wanted, faults, |n| (10_000..=1_000_000_000).contains(&n));
                bounds.max_bytes = bytes.map_or(bounds.max_bytes, |n| n as usize);
            }
            "buckets" => {
                let wanted = "keys of limits counted apart, 2 to 1000000";
                let most = field.whole(wanted, faults, |n| (2..=1_000_000).contains(&n));
                max_limit_keys = most.map_or(max_limit_keys, |n| n as usize);
            }
            "rule" => {
                if let Some((rule, place)) = rule(&field, faults) {
                    source.rules.push(rule);
                    positions.rules.push(place);
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

type Place = [Option<(usize, usize)>; 4];

fn rule(form: &Form, faults: &mut Vec<Fault>) -> Option<(RuleSource, Place)> {
    let Some(name) = form.title() else {
        faults.push(form.fault("a name behind 'rule': (rule NAME (when \"...\") ...)"));
        return None;
    };
    let mut when = None;
    let mut actions = RuleActions::default();
    let mut place: Place = [None, None, None, Some(form.place())];
    let fields = form.fields_behind(1, faults);
    for (n, field) in fields.iter().enumerate() {
        if fields[..n].iter().any(|f| f.name == field.name) {
            faults.push(field.fault("each field once"));
            continue;
        }
        let expression = "an expression as a string";
        match field.name.as_str() {
            "when" => {
                when = field.text(expression, faults);
                place[0] = Some(field.value_place());
            }
            "subject" => {
                actions.subject = field.text(expression, faults);
                place[1] = Some(field.value_place());
            }
            "class" => actions.class = field.word("a class's name", faults),
            "tenant" => actions.tenant = field.word("a tenant's name", faults),
            "zone" => actions.zone = field.word("a zone's name", faults),
            "kind" => actions.kind = field.word("a kind of machine", faults),
            "effect" => {
                let wanted = "once: a rule can only make a request unrepeatable";
                let word = field.take(wanted, faults, |v| v.as_symbol().filter(|s| *s == "once").map(|_| ()));
                actions.at_most_once = word.is_some();
            }
            "attempts" => {
                let most = field.whole("attempts, 1 to 100", faults, |n| (1..=100).contains(&n));
                actions.attempts = most.map(|n| n as u32);
            }
            "budget" => {
                let wanted = "seconds, above 0 and at most 3600";
                let s = field.number(wanted, faults, |s| s > 0.0 && s <= 3_600.0);
                actions.budget = s.map(|s| ((s * 1e6) as u64).max(1));
            }
            "refuse" => actions.refuse = seconds(field, faults),
            "limit" => {
                actions.limit = limit(field, &mut place, faults);
            }
            _ => faults.push(field.fault(
                "one of the fields: when, class, effect, subject, tenant, attempts, limit, zone, kind, budget, refuse",
            )),
        }
    }
    if !fields.iter().any(|f| f.name == "when") {
        faults.push(form.fault("the field when in it"));
    }
    Some((RuleSource { name, when: when?, actions }, place))
}

fn limit(form: &Form, place: &mut Place, faults: &mut Vec<Fault>) -> Option<LimitSource> {
    let (mut key, mut rate, mut burst) = (None, None, None);
    for field in form.fields(faults) {
        match field.name.as_str() {
            "key" => {
                key = field.text("an expression as a string", faults);
                place[2] = Some(field.value_place());
            }
            "rate" => {
                let wanted = "requests a second of all fronts together, 0.001 to 1000000";
                rate = field.number(wanted, faults, |n| (0.001..=1e6).contains(&n));
            }
            "burst" => {
                let wanted = "requests at once of all fronts together, 1 to 1000000";
                burst = field.number(wanted, faults, |n| (1.0..=1e6).contains(&n));
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
